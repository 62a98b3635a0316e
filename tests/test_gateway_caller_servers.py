"""The server of callers' connections, and what reaches it as it stops."""

import contextlib

import eventlet
import pytest

from corianderrill import metrics, names
from corianderrill.gateway import (
    caller_connections,
    caller_resources,
    listeners,
    routes,
)
from tests.utils import fake_stores, kept_callers

CALLERS = 20
LIMIT_BYTES = 8_000_000
SERVE_S = 0.02


class App:
    """An application that notes the ids of its requests, and answers each."""

    def __init__(self):
        self.is_stopping = False
        self.served = []

    def get_idle_timeout_s(self):
        return kept_callers.TIMEOUT_S

    def get_header_timeout_s(self):
        return kept_callers.TIMEOUT_S

    def __call__(self, environ, start_response):
        body = environ["wsgi.input"].read_body(LIMIT_BYTES)
        self.served.append(environ["HTTP_X_REQUEST_ID"])
        eventlet.sleep(SERVE_S)
        connection = environ["corianderrill.connection"]
        if self.is_stopping and not connection.has_next_request():
            connection.close_connection = True
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


class Scene:
    """A server, and callers whose kept connections to it are idle."""

    def __init__(self):
        self.app = App()
        log = fake_stores.RecordingLog()
        memory = caller_resources.BufferMemory(LIMIT_BYTES, lambda: 0, lambda *_: None)
        self.server = caller_connections.Server(
            caller_resources.ConnectionSlots(2 * CALLERS, memory),
            memory,
            routes.CallerLimits,
            log,
            metrics.Recorder(),
        )
        self.listener = listeners.listen(names.Address("127.0.0.1", 0), log)
        ip, port = self.listener.getsockname()
        self.address = f"{ip}:{port}"
        self.thread = eventlet.spawn(self.server.run, self.listener, self.app)
        self.callers = [kept_callers.Caller(self.address) for _ in range(CALLERS)]
        for number, caller in enumerate(self.callers):
            caller.exchange(kept_callers.build_request(f"earlier-{number}"))
        self.app.served.clear()

    def send_at_once(self, messages, callers=None):
        """Send a message of each caller before the server gets its turn."""
        for caller, message in zip(callers or self.callers, messages, strict=True):
            assert caller.sock.fd.send(message) == len(message)

    def read_statuses(self):
        """Return the statuses of the answers that each caller gets."""
        return [
            [answer.status for answer in caller.read_answers()]
            for caller in self.callers
        ]

    def stop(self):
        """Stop as a process does."""
        self.app.is_stopping = True
        self.listener.stop()
        self.server.stop()

    def close(self):
        for caller in self.callers:
            caller.sock.close()
        with contextlib.suppress(OSError):
            self.listener.close()


@pytest.fixture
def scene():
    running = Scene()
    yield running
    running.close()


def build_messages(prefix="r"):
    ids = [f"{prefix}-{number}" for number in range(CALLERS)]
    return ids, [kept_callers.build_request(id_) for id_ in ids]


# Guards against requests that are served on connections that were shut down: they had
# arrived, and were not yet read, when idle connections were closed.
def test_requests_that_arrived_before_the_stop_are_answered(scene):
    ids, messages = build_messages()
    scene.send_at_once(messages)
    scene.stop()
    assert scene.read_statuses() == [[200]] * CALLERS
    assert sorted(scene.app.served) == sorted(ids)
    assert scene.server.count_connections() == 0


# Guards against the same if the event loop does not get its turn before the close.
def test_connection_with_unread_bytes_is_not_idle(scene):
    ids, messages = build_messages()
    scene.send_at_once([message[:1] for message in messages])
    scene.app.is_stopping = True
    scene.server.stop()
    eventlet.sleep(SERVE_S)
    scene.send_at_once([message[1:] for message in messages])
    assert scene.read_statuses() == [[200]] * CALLERS
    assert sorted(scene.app.served) == sorted(ids)


# Guards against requests that are read after the decision to close their connection.
def test_requests_that_come_after_the_stop_are_not_served(scene):
    _, messages = build_messages()
    scene.stop()
    eventlet.sleep(SERVE_S)
    for caller, message in zip(scene.callers, messages, strict=True):
        caller.send(message)
    assert scene.read_statuses() == [[]] * CALLERS
    assert scene.app.served == []


# Guards against connections that were accepted, but whose requests were not yet read.
def test_requests_on_new_connections_are_answered_after_the_stop(scene):
    callers = [kept_callers.Caller(scene.address) for _ in range(CALLERS)]
    ids, messages = build_messages("new")
    scene.send_at_once(messages, callers)
    scene.stop()
    scene.callers += callers
    assert scene.read_statuses() == [[]] * CALLERS + [[200]] * CALLERS
    assert sorted(scene.app.served) == sorted(ids)


# Guards against an idle connection that keeps the process: it closes once it has been
# served, also if the answer did not say so.
def test_connection_that_was_served_as_the_server_stopped_is_closed(scene):
    _, messages = build_messages()
    scene.send_at_once(messages)
    scene.listener.stop()
    scene.server.stop()
    assert scene.read_statuses() == [[200]] * CALLERS


# Guards against a stop that breaks the loop which accepts connections: its end shuts
# down connections whose requests have arrived.
def test_stopped_listener_refuses_connections_and_does_not_end_its_server(scene):
    scene.stop()
    with pytest.raises(ConnectionRefusedError):
        kept_callers.Caller(scene.address)
    eventlet.sleep(SERVE_S)
    assert not scene.thread.dead
