import pathlib

from benchmarks import ports
from tests.utils import processes

EPHEMERAL = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class Ports:
    def __init__(self, *ports):
        self.ports = iter(ports)

    def randrange(self, *_):
        return next(self.ports)


def test_port_is_not_picked_twice(monkeypatch):
    monkeypatch.setattr(ports, "_rng", Ports(1, 1, 2))
    monkeypatch.setattr(ports, "_given", set())
    monkeypatch.setattr(ports, "is_free", lambda _address: True)
    assert processes.pick_address() == "127.0.0.1:1"
    assert processes.pick_address() == "127.0.0.1:2"


def test_port_is_none_that_an_outgoing_connection_may_take():
    least = int(EPHEMERAL.read_text().split()[0])
    assert ports.PORTS[1] <= least
