"""Replies whose status line holds no status: none of them is an answer."""

import contextlib
import dataclasses

import eventlet
import pytest

from corianderrill import backends, names
from corianderrill.gateway import connections
from corianderrill.platform import store
from tests.utils import gateway_rig, hosts, scripted_servers

INVALID_STATUSES = ("000", "001", "099", "600", "999")
# Versions of the protocol that no server of this platform speaks.
INVALID_LINES = (
    *(f"HTTP/1.1 {status} Odd" for status in INVALID_STATUSES),
    "HTTP/2.0 200 OK",
    "HTTP/0.9 200 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1 101 Switching Protocols",
)
HEADERS = b"\r\nX-Request-Id: q\r\nContent-Length: 2\r\n\r\nok"
STORE_HEADERS = b'\r\nContent-Length: 19\r\n\r\n{"at":1,"items":[]}'
# Far less than any attempt waits.
AT_ONCE_S = 2.0


@pytest.fixture
def rig(tmp_path):
    with gateway_rig.run(tmp_path) as running:
        yield running


# Guards against an attempt that waits to its end since its reply was taken for an
# interim one, and against a connection that is used again after such a reply.
@pytest.mark.parametrize("line", INVALID_LINES)
def test_reply_without_a_status_fails_at_once_and_closes_the_connection(line):
    odd = scripted_servers.script_replies(line.encode() + HEADERS)
    sound = scripted_servers.script_replies(scripted_servers.REPLY)
    with scripted_servers.serve(odd, sound) as pool, eventlet.Timeout(AT_ONCE_S):
        assert scripted_servers.send(pool).wait() == connections.FailedExchange(
            connections.Failure.MALFORMED, sent=True
        )
        assert scripted_servers.send(pool).wait().status == 200
        assert pool.opened_count == 2


# Guards against a reply whose connection stays fit for use though more follows it.
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_sound_reply_is_kept_when_one_without_a_status_follows(status):
    line = f"HTTP/1.1 {status} Odd".encode()
    both = scripted_servers.script_replies(scripted_servers.REPLY + line + HEADERS)
    sound = scripted_servers.script_replies(scripted_servers.REPLY)
    with scripted_servers.serve(both, sound) as pool, eventlet.Timeout(AT_ONCE_S):
        assert scripted_servers.send(pool).wait().status == 200
        assert scripted_servers.send(pool).wait().status == 200
        assert pool.opened_count == 2


def test_interim_replies_are_still_followed_by_the_reply():
    interim = b"".join(
        b"HTTP/1.1 %d Interim\r\n\r\n" % status for status in (100, 102, 103, 199)
    )
    script = scripted_servers.script_replies(interim + scripted_servers.REPLY)
    with scripted_servers.serve(script) as pool, eventlet.Timeout(AT_ONCE_S):
        request = scripted_servers.send(pool)
        assert request.wait().status == 200
        assert request.interim_replies == 4


# Guards against callers that get a status that is none, or a promise that nothing ran.
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_caller_of_one_service_gets_502_for_a_reply_without_a_status(rig, status):
    rig.single_server.status = f"{status} Odd"
    response, _ = rig.send_request("/single/x", "odd", body=b"question")
    assert response.status == 502
    assert rig.single_server.requests.count("odd") == 1
    assert count_unusable(rig) >= 1


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_part_without_a_status_is_missing_from_the_answer(rig, status):
    rig.shard_servers[0].status = f"{status} Odd"
    response, body = rig.send_request("/gather/x", "odd")
    assert (response.status, response.headers["X-Missing-Parts"]) == (200, "1")
    assert b"A" not in body
    assert count_unusable(rig) >= 1


def count_unusable(rig):
    """Return how many attempts ended with a reply that can't be used."""
    connection = gateway_rig.connect(rig.metrics_address)
    connection.request("GET", "/metrics")
    lines = connection.getresponse().read().decode().splitlines()
    return sum(
        float(line.split()[-1])
        for line in lines
        if line.startswith("corianderrill_gateway_attempts_total")
        and 'outcome="unusable"' in line
    )


@contextlib.contextmanager
def serve_store(line):
    """Yield a client of a store that sends one odd reply, and a list of connections."""
    listener = eventlet.listen(("127.0.0.1", 0))
    accepted = []

    def accept():
        while True:
            connection, _ = listener.accept()
            accepted.append(connection)
            eventlet.spawn(answer, connection)

    def answer(connection):
        reply = line.encode() if len(accepted) == 1 else b"HTTP/1.1 200 OK"
        while scripted_servers.read_request(connection):
            connection.sendall(reply + STORE_HEADERS)

    thread = eventlet.spawn(accept)
    try:
        yield store.StoreClient(names.Address(*listener.getsockname())), accepted
    finally:
        thread.kill()
        listener.close()


# Guards against a store's connection that is used again after bytes that are no reply,
# of which the next call would read the rest.
@pytest.mark.parametrize(
    "line",
    [
        *(f"HTTP/1.1 {status} Odd" for status in INVALID_STATUSES),
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 102 Processing",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 OK",
        "HTTP/2.0 200 OK",
    ],
)
def test_reply_of_the_store_without_a_status_fails_and_closes_the_connection(line):
    with serve_store(line) as (client, accepted), eventlet.Timeout(AT_ONCE_S):
        with pytest.raises(store.StoreError) as error:
            client.probe_revision()
        assert error.value.kind is store.FailureKind.UNREACHABLE
        assert client.probe_revision().revision == 1
        assert len(accepted) == 2


# Guards against a health check that takes a reply without a status for a report.
@pytest.mark.parametrize("status", [*INVALID_STATUSES, "102"])
def test_health_check_takes_no_report_without_a_status(status):
    report = b'{"load":0.0,"healthy":true,"draining":false,"held":[1,2]}'
    length = b"\r\nContent-Length: %d\r\n\r\n" % len(report)
    odd = scripted_servers.script_replies(
        f"HTTP/1.1 {status} Odd".encode() + length + report
    )
    sound = scripted_servers.script_replies(b"HTTP/1.1 200 OK" + length + report)
    checks = backends.BackendPools(lambda _: 1)
    with scripted_servers.serve(odd, sound) as pool, eventlet.Timeout(AT_ONCE_S):
        server = dataclasses.replace(hosts.build_backend_server(), address=pool.address)
        assert checks.fetch_status(server, AT_ONCE_S) is None
        # Read on a connection of its own.
        assert checks.fetch_status(server, AT_ONCE_S) is not None
