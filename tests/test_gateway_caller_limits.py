"""Requests at the limits of the configuration, within them and beyond."""

import contextlib
import json
import socket

import eventlet
import pytest

from tests.utils import gateway_rig

LIMITS = {
    "max_header_bytes": 8_000,
    "max_body_bytes": 20_000,
    "header_timeout_ms": 2_000,
    "idle_timeout_ms": 60_000,
}
TIMEOUT_S = 10.0
START = b"POST /single/x HTTP/1.1\r\nHost: leno.example\r\nX-Request-Id: q\r\n"
PAUSE_S = 0.1


@pytest.fixture(scope="module")
def rig(tmp_path_factory):
    with gateway_rig.run(tmp_path_factory.mktemp("limits")) as running:
        configuration = gateway_rig.build_configuration(version=2)
        running.store.put("op/config", {**configuration, "limits": LIMITS})
        body = b"a" * (LIMITS["max_body_bytes"] + 1)
        running.wait_until(
            lambda: running.send_request("/single/x", body=body)[0].status == 413
        )
        yield running


@contextlib.contextmanager
def connect(rig):
    ip, _, port = rig.gateway_address.partition(":")
    with socket.create_connection((ip, int(port)), timeout=TIMEOUT_S) as caller:
        yield caller


def read_answer(caller):
    """Return the head and the body of the next answer; empty ones at the end."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = caller.recv(65_536)
        if not data:
            return received, b""
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split()[0])
    while len(body) < length:
        body += caller.recv(65_536)
    return head, body


def exchange(rig, *pieces, pause_s=0.0):
    """Return the answer to bytes on a new connection."""
    with connect(rig) as caller:
        with contextlib.suppress(ConnectionError):
            for piece in pieces:
                caller.sendall(piece)
                eventlet.sleep(pause_s)
        return read_answer(caller)


def encode_chunks(body, size):
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n"


BODY = bytes(range(250)) * 80
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
HEADERS = b"".join(b"X-%d: a\r\n" % number for number in range(700))

SERVED = {
    "greatest-body": START + b"Content-Length: 20000\r\n\r\n" + BODY,
    "chunks-of-one-byte": CHUNKED + encode_chunks(BODY, 1),
    "one-chunk": CHUNKED + encode_chunks(BODY, 20_000),
    "extensions": CHUNKED + b"4e20;a=b;c\r\n" + BODY + b"\r\n0;d\r\nX-T: a\r\n\r\n",
    "long-header": START
    + b"X-A: "
    + b"a" * 7_500
    + b"\r\nContent-Length: 20000\r\n\r\n"
    + BODY,
    "empty-lines-before": b"\r\n\n" + START + b"Content-Length: 20000\r\n\r\n" + BODY,
    "line-feeds": START.replace(b"\r", b"") + b"Content-Length: 20000\n\n" + BODY,
}


@pytest.mark.parametrize("data", SERVED.values(), ids=SERVED)
def test_request_within_the_limits_is_served(rig, data):
    head, body = exchange(rig, data)
    assert head.startswith(b"HTTP/1.1 200"), head
    assert body == BODY


def test_request_that_is_sent_slowly_within_the_times_is_served(rig):
    data = SERVED["greatest-body"]
    pieces = [data[:20], data[20:60], data[60:70], data[70:10_000], data[10_000:]]
    head, body = exchange(rig, *pieces, pause_s=PAUSE_S)
    assert head.startswith(b"HTTP/1.1 200"), head
    assert body == BODY


def test_pipelined_requests_are_answered_in_order(rig):
    request = START + b"Transfer-Encoding: chunked\r\n\r\n"
    with connect(rig) as caller:
        caller.sendall(
            b"".join(request + encode_chunks(b"%d" % n, 1) for n in range(4))
        )
        received = b""
        while received.count(b"HTTP/1.1 200") < 4 or not received.endswith(b"3"):
            data = caller.recv(65_536)
            assert data
            received += data
        bodies = [part[-1:] for part in received.split(b"HTTP/1.1 200")[1:]]
        assert bodies == [b"0", b"1", b"2", b"3"]


# The fake replica takes a hundred header lines only, so the request is for no route.
def test_head_of_many_lines_within_the_limit_is_read(rig):
    unknown = START.replace(b"/single/", b"/none/")
    head, _ = exchange(rig, unknown + HEADERS + b"\r\n")
    assert head.startswith(b"HTTP/1.1 404"), head


# Guards against a body that is left unread and then taken for the next request.
@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 4\r\n\r\nbody",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    ],
)
def test_connection_is_kept_after_a_refusal_with_an_unread_body(rig, body):
    unknown = START.replace(b"/single/", b"/none/") + body
    with connect(rig) as caller:
        caller.sendall(unknown)
        assert read_answer(caller)[0].startswith(b"HTTP/1.1 404")
        caller.sendall(START + b"Content-Length: 1\r\n\r\na")
        head, answer = read_answer(caller)
        assert (head[:12], answer) == (b"HTTP/1.1 200", b"a")


def test_word_to_continue_is_sent_before_a_body(rig):
    with connect(rig) as caller:
        caller.sendall(START + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n")
        assert caller.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        caller.sendall(b"a")
        head, answer = read_answer(caller)
        assert (head[:12], answer) == (b"HTTP/1.1 200", b"a")


REFUSED = {
    "long-line": (b"GET /" + b"a" * 70_000, b"414"),
    "long-header": (START + b"X-A: " + b"a" * 17_000, b"431"),
    "long-headers": (START + b"X-A: aaaaaaaaaaaaaaaa\r\n" * 1_000, b"431"),
    "many-headers": (START + b"a:\r\n" * 1_100, b"431"),
    "over-the-limit": (START + b"X-A: " + b"a" * 9_000 + b"\r\n\r\n", b"431"),
    "long-body": (START + b"Content-Length: 20001\r\n\r\n", b"413"),
    "long-chunk": (CHUNKED + b"4e21\r\n", b"413"),
    "long-chunks": (CHUNKED + b"1\r\na\r\n" * 20_001, b"413"),
    "extension": (CHUNKED + b"1;" + b"a" * 5_000, b"400"),
    "extensions": (CHUNKED + (b"1;" + b"a" * 100 + b"\r\na\r\n") * 100, b"400"),
    "trailers": (CHUNKED + b"0\r\n" + b"X-A: aaaaaaaaaaaaaaaa\r\n" * 500, b"400"),
    "chunk-end": (CHUNKED + b"1\r\nab\r\n", b"400"),
    "two-lengths": (
        START + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"400",
    ),
    "signed-length": (START + b"Content-Length: +1\r\n\r\na", b"400"),
    "length-and-chunks": (
        START + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"400",
    ),
    "odd-coding": (START + b"Transfer-Encoding: gzip, chunked\r\n\r\n", b"400"),
    "carriage-return": (START + b"X-A: a\rX-B: b\r\n\r\n", b"400"),
}


@pytest.mark.parametrize(("data", "status"), REFUSED.values(), ids=REFUSED)
def test_request_beyond_a_limit_is_refused_and_its_connection_closed(rig, data, status):
    forwarded_count = len(rig.single_server.requests)
    with connect(rig) as caller:
        with contextlib.suppress(ConnectionError):
            caller.sendall(data)
        head, _ = read_answer(caller)
        assert head.split(b" ")[1] == status, head
        caller.shutdown(socket.SHUT_WR)
        assert caller.recv(1) == b""
    assert len(rig.single_server.requests) == forwarded_count


@pytest.mark.parametrize(
    "data", [b"\r\n" * 100, b"GET /single/x HTTP/1.1\r\nX-A: a"], ids=["empty", "slow"]
)
def test_connection_without_a_request_is_closed_without_an_answer(rig, data):
    assert exchange(rig, data) == (b"", b"")


def test_refusals_are_logged_and_counted(rig):
    exchange(rig, REFUSED["long-header"][0])
    connection = gateway_rig.connect(rig.metrics_address)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    assert 'gateway_input_refusals_total{reason="headers-too-large"}' in text
    rig.terminate()
    records = [json.loads(line)["record"] for line in rig.read_output().splitlines()]
    refused = [r for r in records if r["event"] == "input-refused"]
    assert {"headers-too-large", "empty-lines"} <= {r["reason"] for r in refused}
    assert not any(r["event"] == "internal-error" for r in records)
