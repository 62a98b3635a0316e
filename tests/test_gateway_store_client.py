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


REPLY_BODY = b'{"items":[],"at":7}'


def answer_probe(era_header):
    length = b"Content-Length: %d\r\n\r\n" % len(REPLY_BODY)
    with serve(HEAD + era_header + length + REPLY_BODY, b"", 1.0) as client:
        return client.probe_revision()


@pytest.mark.parametrize(
    ("header", "era"), [(b"Store-Era: 3\r\n", 3), (b"", 0)], ids=["named", "missing"]
)
def test_reply_has_the_era_that_its_header_names(header, era):
    assert answer_probe(header) == store.Batch((), 7, era)


def test_reply_with_an_era_that_is_no_number_is_malformed():
    with pytest.raises(store.StoreError) as error:
        answer_probe(b"Store-Era: new\r\n")
    assert error.value.kind is store.FailureKind.MALFORMED
