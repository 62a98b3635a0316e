import contextlib

from tests.utils import processes


class Server:
    def __init__(self, port):
        self.port = port

    def getsockname(self):
        return "127.0.0.1", self.port


def test_port_that_the_system_gives_again_is_not_picked_twice(monkeypatch):
    ports = iter([1, 1, 2])

    def create_server(_address):
        return contextlib.nullcontext(Server(next(ports)))

    monkeypatch.setattr(processes.socket, "create_server", create_server)
    assert processes.pick_address() == "127.0.0.1:1"
    assert processes.pick_address() == "127.0.0.1:2"
