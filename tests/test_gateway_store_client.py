"""Replies of the store without an end in bytes or time."""

import contextlib

import eventlet
import pytest

from corianderrill import names
from corianderrill.platform import store
from tests.utils import scripted_servers as servers

HEAD = b"HTTP/1.1 200 OK\r\n"


@contextlib.contextmanager
def serve(first, piece, pause_s):
    listener = eventlet.listen(("127.0.0.1", 0))

    def answer():
        connection, _ = listener.accept()
        servers.read_request(connection)
        try:
            connection.sendall(first)
            while True:
                connection.sendall(piece)
                eventlet.sleep(pause_s)
        except OSError:
            connection.close()

    thread = eventlet.spawn(answer)
    try:
        yield store.StoreClient(names.Address(*listener.getsockname()))
    finally:
        thread.kill()
        listener.close()


@pytest.mark.parametrize(
    "first",
    [HEAD + b"\r\n", HEAD + b"Content-Length: 99999999999\r\n\r\n"],
    ids=["until-closed", "length"],
)
def test_body_without_an_end_is_an_error(first, monkeypatch):
    monkeypatch.setattr(store, "MAX_BODY_BYTES", 200_000)
    with (
        serve(first, b"a" * 9_000, 0.0) as client,
        pytest.raises(store.StoreError) as error,
    ):
        client.probe_revision()
    assert error.value.kind is store.FailureKind.MALFORMED


@pytest.mark.parametrize("first", [HEAD, HEAD + b"\r\n"], ids=["head", "body"])
def test_reply_that_keeps_coming_slowly_ends_after_the_time_of_the_call(
    first, monkeypatch
):
    monkeypatch.setattr(store, "PROBE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(store, "CONNECT_TIMEOUT_S", 0.1)
    with (
        serve(first, b"a", 0.01) as client,
        eventlet.Timeout(servers.TIMEOUT_S),
        pytest.raises(store.StoreError),
    ):
        client.probe_revision()
