"""Replies of the store that take long on their way, as a great configuration does.

Pattern: a time limit that takes a reply under way for one that is missing.
"""

import contextlib
import json

import eventlet
import pytest

from corianderrill import names
from corianderrill.platform import store
from tests.utils import scripted_servers as servers

# About what is left of a narrow link that several hosts share.
PIECE_BYTES = 20_000
PIECE_INTERVAL_S = 0.1
WAIT_S = 0.05
TIMEOUT_S = 0.4


def build_reply(size):
    """Return the head and the body of a watch's reply with one change."""
    event = {"key": "op/config", "revision": 8, "value": "A" * (size // 4 * 4)}
    body = json.dumps({"events": [event], "at": 8}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body


@contextlib.contextmanager
def serve(head, body, sent_bytes=None):
    """Serve a client whose replies come piece by piece, some of them to the end."""
    listener = eventlet.listen(("127.0.0.1", 0))

    def answer(connection):
        while servers.read_request(connection):
            connection.sendall(head)
            for start in range(0, sent_bytes or len(body), PIECE_BYTES):
                connection.sendall(body[start : start + PIECE_BYTES])
                eventlet.sleep(PIECE_INTERVAL_S)

    def accept():
        while True:
            connection, _ = listener.accept()
            eventlet.spawn(answer, connection)

    thread = eventlet.spawn(accept)
    client = store.StoreClient(names.Address(*listener.getsockname()))
    try:
        yield client
    finally:
        client.close()
        thread.kill()
        listener.close()


# Guards against a host that never gets a configuration which its link needs longer for
# than a watch may take.
def test_reply_under_way_is_waited_for():
    head, body = build_reply(400_000)
    with serve(head, body) as client:
        batch = client.watch("", 7, WAIT_S, TIMEOUT_S)
        again = client.watch("", 7, WAIT_S, TIMEOUT_S)
    assert [item.revision for item in batch.items] == [8]
    assert again.items == batch.items


# Guards against a view that counts as current though it was read for seconds.
def test_reply_is_as_old_as_its_way_was_long():
    head, body = build_reply(200_000)
    with serve(head, body) as client:
        batch = client.watch("", 7, WAIT_S, TIMEOUT_S)
    expected_s = len(body) / PIECE_BYTES * PIECE_INTERVAL_S
    assert batch.age_s == pytest.approx(expected_s, abs=0.3)


def test_reply_that_stops_on_its_way_is_an_error(monkeypatch):
    monkeypatch.setattr(store, "BODY_PIECE_TIMEOUT_S", 0.3)
    head, body = build_reply(400_000)
    with (
        serve(head, body, sent_bytes=200_000) as client,
        eventlet.Timeout(servers.TIMEOUT_S),
        pytest.raises(store.StoreError, match="no end of the reply after"),
    ):
        client.watch("", 7, WAIT_S, TIMEOUT_S)
