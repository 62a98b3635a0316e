import contextlib
import dataclasses
import time

import eventlet
import pytest

from corianderrill import metrics
from tests.utils import raw_callers

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"


def echo(environ, start_response):
    length = int(environ.get("CONTENT_LENGTH") or 0)
    read = length <= raw_callers.BOUNDS.body_bytes_at_most
    body = environ["wsgi.input"].read(length) if read else b"too long"
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


@pytest.fixture
def server():
    with raw_callers.serve(echo) as (address, recorder):
        yield address, recorder


def ask(address, body=b"hello", head=HEAD):
    length = b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(body)
    return raw_callers.exchange(address, head + length + body)


def test_request_in_one_piece_is_answered(server):
    address, recorder = server
    assert ask(address).endswith(b"\r\n\r\nhello")
    assert recorder.total(metrics.BAD_REQUESTS) == 0


@pytest.mark.parametrize(
    ("start", "reason"),
    [
        (HEAD, "slow"),
        (HEAD + b"Content-Length: 900\r\n\r\n", "slow"),
    ],
)
def test_sender_of_single_bytes_is_ended_within_the_bound(server, start, reason):
    address, recorder = server
    began = time.monotonic()
    with raw_callers.connect(address) as connection:
        connection.sendall(start)
        with contextlib.suppress(ConnectionError):
            while time.monotonic() - began < raw_callers.TIMEOUT_S:
                connection.sendall(b"x")
                eventlet.sleep(0.02)
    elapsed_s = time.monotonic() - began
    assert elapsed_s < raw_callers.TIMEOUT_S, "the server let a slow sender go on"
    assert recorder.read(metrics.BAD_REQUESTS, reason) == 1


def test_reply_reaches_a_sender_whose_body_is_too_long(server):
    address, recorder = server
    reply = ask(address, b"x" * 500_000)
    assert reply.endswith(b"\r\n\r\ntoo long")
    assert b"Connection: close" in reply
    assert recorder.read(metrics.BAD_REQUESTS, "oversized") == 1


def test_body_without_end_is_not_read_for_ever(server):
    address, _ = server
    sent = 0
    with raw_callers.connect(address) as connection:
        connection.sendall(HEAD + b"Content-Length: 999999999999\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while sent < 50_000_000:
                sent += connection.send(b"x" * 65_536)
    assert sent < 50_000_000


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (HEAD + b"Content-Length: -1\r\n\r\n", b"400"),
        (HEAD + b"Content-Length: \xb2\r\n\r\n", b"400"),
        (HEAD + b"X: " + b"y" * 100_000 + b"\r\n\r\n", b"400"),
        (HEAD + b"X: y\r\n" * 20_000 + b"\r\n", b"4"),
        (b"GET /" + b"x" * 20_000 + b" HTTP/1.1\r\n\r\n", b"414"),
        (b"\x00\xff\x16\x03\x01\r\n\r\n", b"400"),
        (b"GET / HTTP/9.9\r\n\r\n", b"505"),
    ],
)
def test_malformed_request_gets_a_status(server, sent, status, capfd):
    address, _ = server
    reply = raw_callers.exchange(address, sent)
    assert reply.partition(b" ")[2].startswith(status) or status in reply
    assert ask(address).endswith(b"hello")
    assert capfd.readouterr().err == ""


def test_chunked_body_is_not_parsed_and_ends_the_connection(server):
    address, recorder = server
    chunk_line = b"f" * 1_000_000
    reply = raw_callers.exchange(
        address, HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk_line
    )
    assert b"Connection: close" in reply
    assert recorder.read(metrics.BAD_REQUESTS, "chunked") == 1


def test_idle_connections_give_way_to_a_new_caller(server):
    address, recorder = server
    with contextlib.ExitStack() as stack:
        for _ in range(5 * raw_callers.BOUNDS.connections_at_most):
            stack.enter_context(raw_callers.connect(address))
        assert ask(address).endswith(b"hello")
    assert recorder.total(metrics.CALLERS_EVICTED) > 0


def test_connection_in_use_is_not_ended_for_a_new_one():
    release = eventlet.event.Event()

    def wait(environ, start_response):
        release.wait()
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    bounds = dataclasses.replace(raw_callers.BOUNDS, connections_at_most=2)
    with raw_callers.serve(wait, bounds) as (address, recorder):
        asked = [eventlet.spawn(ask, address) for _ in range(5)]
        eventlet.sleep(0.1)
        release.send(True)
        assert all(reply.wait().endswith(b"ok") for reply in asked)
    assert recorder.total(metrics.CALLERS_EVICTED) == 0


def test_caller_that_waits_gets_the_place_of_one_that_keeps_its_connection():
    bounds = dataclasses.replace(raw_callers.BOUNDS, connections_at_most=1)

    def work(environ, start_response):
        eventlet.sleep(0.1)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    with (
        raw_callers.serve(work, bounds) as (address, _),
        raw_callers.connect(address) as keeping,
    ):
        keeping.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert ask(address).endswith(b"ok")
        assert raw_callers.read_until_close(keeping).endswith(b"ok")


def test_fault_of_the_program_is_not_shown_to_the_caller():
    def fail(environ, start_response):
        raise RuntimeError("a detail of the inside")

    with raw_callers.serve(fail) as (address, _):
        reply = ask(address)
    assert b" 500 " in reply
    assert b"inside" not in reply
