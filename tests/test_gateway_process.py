"""End-to-end tests of one gateway process against fakes of the platform."""

import json
import signal
import socket
import time

import eventlet
import pytest
from eventlet import wsgi

from corianderrill.standins import platform, platform_servers
from tests.utils import gateway_rig

# The answer of 1.5 MB below then ends within the grace of a stop, but late in it.
SLOW_READER_BYTES_PER_S = 400_000


@pytest.fixture
def rig(tmp_path):
    with gateway_rig.run(tmp_path) as running:
        yield running


def test_query_returns_the_greatest_records_of_all_shards(rig):
    response, body = rig.send_request("/gather/x")
    assert response.status == 200
    assert body == b"C" * 32 + b"B" * 16
    assert response.headers["X-Missing-Parts"] == "0"
    signatures = response.headers["X-Part-Stamps"].split(", ")
    assert sorted(signatures) == sorted(f"{s.id}.9c41" for s in rig.shard_servers)


def test_request_to_one_service_is_forwarded_and_its_reply_returned(rig):
    response, body = rig.send_request("/single/x?y=1", body=b"question")
    assert (response.status, body) == (200, b"question")
    assert response.headers["X-Server-Stamp"] == f"{rig.single_server.id}.9c41"


def test_error_reply_to_a_non_idempotent_request_is_returned_without_retry(rig):
    rig.single_server.status = "500 Internal Server Error"
    response, _ = rig.send_request("/single/x", "once", body=b"question")
    assert response.status == 500
    assert rig.single_server.requests.count("once") == 1


def test_chunked_request_body_is_forwarded_completely(rig):
    chunks = iter([b"ab", b"cde"])
    response, body = rig.send_request("/single/x", body=chunks)
    assert (response.status, body) == (200, b"abcde")


@pytest.mark.parametrize(
    "framing", ["Content-Length: 10", "Transfer-Encoding: chunked"]
)
def test_request_with_an_incomplete_body_is_not_forwarded(rig, framing):
    host_and_port = rig.gateway_address.partition(":")
    with socket.create_connection((host_and_port[0], int(host_and_port[2]))) as caller:
        head = f"POST /single/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n{framing}\r\n"
        caller.sendall(head.encode() + b"X-Request-Id: cut\r\n\r\n5\r\nabcde")
    rig.send_request("/single/x", "after")
    eventlet.sleep(0.3)
    assert "cut" not in rig.single_server.requests


def test_malformed_chunked_body_is_refused(rig):
    host_and_port = rig.gateway_address.partition(":")
    with socket.create_connection((host_and_port[0], int(host_and_port[2]))) as caller:
        head = f"POST /single/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
        caller.sendall(head.encode() + b"X-Request-Id: bad\r\n")
        caller.sendall(b"Transfer-Encoding: chunked\r\n\r\nnone\r\n")
        assert caller.recv(12) == b"HTTP/1.1 400"
    assert "bad" not in rig.single_server.requests


def test_path_without_a_route_returns_404(rig):
    assert rig.send_request("/other/x")[0].status == 404


def test_newer_configuration_applies_and_an_older_version_is_ignored(rig):
    rig.publish_configuration(version=5, single={"prefix": "/new-single/"})
    rig.wait_until(lambda: rig.send_request("/new-single/x")[0].status == 200)
    rig.publish_configuration(version=4)
    rig.publish_configuration(
        version=6, gather={"prefix": "/new-gather/"}, single={"prefix": "/new-single/"}
    )
    rig.wait_until(lambda: rig.send_request("/new-gather/x")[0].status == 200)
    assert rig.send_request("/single/x")[0].status == 404


def test_configuration_published_after_the_store_fell_silent_applies_in_time(rig):
    # The watch that was open when the store fell silent is never answered.
    rig.store.fall_silent()
    eventlet.sleep(2.0)
    rig.store.end_silence()
    rig.publish_configuration(version=5, single={"prefix": "/new-single/"})
    with eventlet.Timeout(gateway_rig.CONFIG_APPLY_S + gateway_rig.CONTACT_S):
        while rig.send_request("/new-single/x")[0].status != 200:
            eventlet.sleep(gateway_rig.POLL_INTERVAL_S)


# Guards against a host that stays on an old configuration for as long as a watch may
# wait, because the watch that follows a change went to a store that had just fallen
# silent.
def test_watch_sent_after_the_store_fell_silent_does_not_delay_later_changes(rig):
    rig.publish_configuration(version=5, single={"prefix": "/before/"})
    rig.wait_until(lambda: rig.send_request("/before/x")[0].status == 200)
    rig.store.fall_silent()
    rig.publish_configuration(version=6, single={"prefix": "/meanwhile/"})
    eventlet.sleep(2.0)
    rig.store.end_silence()
    rig.publish_configuration(version=7, single={"prefix": "/afterwards/"})
    with eventlet.Timeout(gateway_rig.CONFIG_APPLY_S + gateway_rig.CONTACT_S):
        while rig.send_request("/afterwards/x")[0].status != 200:
            eventlet.sleep(gateway_rig.POLL_INTERVAL_S)
    assert rig.send_request("/before/x")[0].status == 404


def test_unknown_route_is_refused_as_not_run_while_the_store_is_silent(rig):
    rig.store.fall_silent()
    rig.wait_until(lambda: rig.send_request("/other/x")[0].status == 503)
    response, _ = rig.send_request("/other/x")
    assert float(response.headers["Retry-After"]) > 0
    rig.store.end_silence()
    rig.wait_until(lambda: rig.send_request("/other/x")[0].status == 404)


def test_malformed_configuration_is_skipped_and_logged(rig):
    rig.store.put("op/config", b"{nonsense")
    rig.publish_configuration(version=7, single={"prefix": "/new-single/"})
    rig.wait_until(lambda: rig.send_request("/new-single/x")[0].status == 200)
    rig.terminate()
    skipped = [
        line["record"]
        for line in map(json.loads, rig.read_output().splitlines())
        if line["record"]["event"] == "entry-skipped"
    ]
    assert [record["key"] for record in skipped] == ["op/config"]


def test_malformed_server_entries_do_not_affect_other_replicas(rig):
    rig.store.put("servers/forged", b"\xff\xfe")
    rig.store.put("servers/other", {"service": "single", "state": "ready"})
    assert rig.send_request("/single/x")[0].status == 200


def test_draining_replica_gets_no_requests_while_another_is_ready(rig):
    other = platform_servers.FakeBackendServer("single", "zone-b")
    try:
        other.register(rig.store)
        rig.single_server.register(rig.store, state="draining")
        rig.wait_until(
            lambda: rig.send_request("/single/x", "moved")[0] and other.requests
        )
        eventlet.sleep(1.0)
        rig.send_request("/single/x", "later")
        assert "later" in other.requests
    finally:
        other.stop()


def test_server_does_not_execute_requests_meant_for_another_instance(rig):
    rig.store.put(
        "servers/i-gone",
        {
            "service": "single",
            "address": str(rig.shard_servers[0].address),
            "zone": "zone-a",
            "version": "v1",
            "capacity": 4,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq_no": 1,
        },
    )
    eventlet.sleep(1.0)
    for index in range(6):
        assert rig.send_request("/single/x", f"q-{index}")[0].status == 200
    assert not any(
        request_id.startswith("q-") for request_id in rig.shard_servers[0].requests
    )


def test_requests_are_served_during_a_store_outage_and_lost_history_is_reread(rig):
    rig.store.is_down = True
    rig.store.compact_history()
    eventlet.sleep(0.5)
    assert rig.send_request("/gather/x")[0].status == 200
    rig.publish_configuration(version=8, single={"prefix": "/new-single/"})
    rig.store.is_down = False
    rig.wait_until(lambda: rig.send_request("/new-single/x")[0].status == 200)


def test_gateway_without_a_configuration_is_not_ready_and_says_not_run(tmp_path):
    rig = gateway_rig.GatewayRig(tmp_path)
    try:
        rig.start()
        rig.wait_until(lambda: rig.probe_readiness() is not None)
        assert rig.probe_readiness() == 503
        response, _ = rig.send_request("/gather/x")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
    finally:
        rig.stop()


def test_query_is_abandoned_when_its_caller_disconnects(rig):
    for server in rig.shard_servers:
        server.delay_s = 1.5
    connection = rig.connect()
    connection.request(
        "GET", "/gather/x", headers={"Host": gateway_rig.HOST, "X-Request-Id": "left"}
    )
    rig.wait_until(lambda: "left" in rig.shard_servers[0].requests)
    connection.close()
    eventlet.sleep(0.5)
    rig.terminate()
    records = [
        line["record"]
        for line in map(json.loads, rig.read_output().splitlines())
        if line["record"].get("request_id") == "left"
    ]
    assert records[-1]["outcome"] == "abandoned"


def test_sigterm_finishes_requests_in_flight_and_closes_keep_alive_connections(rig):
    rig.single_server.delay_s = 1.0
    keep_alive_connection = rig.connect()
    rig.send_request("/gather/x", connection=keep_alive_connection)
    slow = eventlet.spawn(rig.send_request, "/single/x", "slow", body=b"question")
    rig.wait_until(lambda: "slow" in rig.single_server.requests)
    rig.terminate()
    rig.wait_until(lambda: rig.probe_readiness() == 503)
    response, _ = rig.send_request("/gather/x", connection=keep_alive_connection)
    assert response.status == 200
    assert response.headers["Connection"] == "close"
    assert slow.wait()[0].status == 200
    records = [json.loads(line)["record"] for line in rig.read_output().splitlines()]
    assert rig.process.returncode == 0
    assert records[-1] == {"event": "stopped", "ending": "finished", "cut_off": 0}


def test_sigterm_refuses_new_connections_while_requests_are_in_flight(rig):
    rig.single_server.delay_s = 3.4
    slow = eventlet.spawn(
        rig.send_request,
        "/single/x",
        "slow",
        body=b"q",
        headers={"X-Deadline-Ms": "4500"},
    )
    rig.wait_until(lambda: "slow" in rig.single_server.requests)
    rig.terminate()

    def is_refused():
        try:
            rig.send_request("/gather/x")
        except ConnectionError:
            return True
        return False

    rig.wait_until(is_refused)
    assert not slow.dead
    assert slow.wait()[0].status == 200


def test_metrics_are_served(rig):
    rig.send_request("/gather/x")
    connection = gateway_rig.connect(rig.metrics_address)
    connection.request("GET", "/metrics")
    body = connection.getresponse().read().decode()
    assert (
        'corianderrill_gateway_requests_total{outcome="answered",route="gather"}'
        in (body)
    )


def test_startup_accepts_a_stale_read_and_then_applies_newer_changes(tmp_path):
    rig = gateway_rig.GatewayRig(tmp_path)
    try:
        rig.publish_configuration()
        rig.store.snapshot_for_stale_reads()
        rig.publish_configuration(version=2, single={"prefix": "/new-single/"})
        rig.register_servers()
        rig.start()
        rig.wait_until(lambda: rig.probe_readiness() == 200)
        rig.wait_until(lambda: rig.send_request("/new-single/x")[0].status == 200)
        assert rig.store.stale_read_count == 1
    finally:
        rig.stop()


def test_lost_history_is_not_reread_from_a_stale_copy(rig):
    reads_before = rig.store.stale_read_count
    rig.store.snapshot_for_stale_reads()
    rig.store.compact_history()
    rig.publish_configuration(version=2, single={"prefix": "/new-single/"})
    rig.wait_until(lambda: rig.send_request("/new-single/x")[0].status == 200)
    assert rig.store.stale_read_count == reads_before


def test_caller_that_sends_its_headers_too_slowly_is_disconnected(rig):
    limits = {"header_timeout_ms": 200.0}
    rig.store.put("op/config", {**gateway_rig.build_configuration(2), "limits": limits})
    rig.wait_until(lambda: is_slow_caller_disconnected(rig))


def is_slow_caller_disconnected(rig):
    ip, _, port = rig.gateway_address.partition(":")
    with socket.create_connection((ip, int(port)), timeout=2.0) as caller:
        caller.sendall(b"GET /single/x HTTP/1.1\r\nHost:")
        try:
            return caller.recv(1) == b""
        except TimeoutError:
            return False


def test_502_after_failed_attempts_has_the_request_id(rig):
    for server in rig.shard_servers:
        server.status = "500 Internal Server Error"
    response, _ = rig.send_request("/gather/x", "broken")
    assert response.status == 502
    assert response.headers["X-Request-Id"] == "broken"


def test_store_changes_that_need_several_watch_replies_are_all_applied(rig):
    rig.store.is_down = True
    eventlet.sleep(0.1)
    for index in range(2 * platform.MAX_WATCH_CHANGES):
        rig.store.remove(f"servers/i-none-{index}")
    rig.publish_configuration(version=2, single={"prefix": "/new-single/"})
    rig.store.is_down = False
    rig.wait_until(lambda: rig.send_request("/new-single/x")[0].status == 200)


def start_upload(rig, request_id, length):
    """Send the head of an unsafe request whose body is still to come; return both."""
    ip, _, port = rig.gateway_address.partition(":")
    caller = socket.create_connection((ip, int(port)))
    head = (
        f"POST /single/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 20000\r\n"
        f"Content-Length: {length}\r\n\r\n"
    )
    caller.sendall(head.encode())
    return caller


def read_to_end(caller):
    received = b""
    while data := caller.recv(65_536):
        received += data
    return received


# Guards against requests that are taken late in the grace of a planned stop and cut at
# its end without an answer.
def test_request_that_cannot_end_within_the_grace_is_refused_at_once(rig):
    rig.publish_configuration(
        version=2, single={"timeout_ms": 20_000, "latency_goal_ms": 1_500}
    )
    rig.single_server.delay_s = 1.0
    eventlet.sleep(1.5)
    caller = start_upload(rig, "late", 1)
    rig.send_request("/gather/x", "read-by-now")
    rig.terminate()
    eventlet.sleep(5.0)
    sent_at = time.monotonic()
    caller.sendall(b"q")
    answer = read_to_end(caller)
    assert answer.startswith(b"HTTP/1.1 503"), answer
    assert b"Retry-After" in answer
    assert time.monotonic() - sent_at < 0.3
    assert "late" not in rig.single_server.requests


# Guards against unsafe requests that end with their connection, and no answer, when a
# replica needs longer than the grace of a planned stop.
def test_request_that_does_not_end_within_the_grace_is_answered_before_it_is_over(rig):
    rig.publish_configuration(version=2, single={"timeout_ms": 20_000})
    rig.single_server.delay_s = 12.0
    eventlet.sleep(1.5)
    slow = eventlet.spawn(
        rig.send_request,
        "/single/x",
        "slow",
        body=b"q",
        headers={"X-Deadline-Ms": "20000"},
    )
    rig.wait_until(lambda: "slow" in rig.single_server.requests)
    rig.terminate()
    response, _ = slow.wait()
    assert response.status == 504
    records = [json.loads(line)["record"] for line in rig.read_output().splitlines()]
    assert records[-1] == {"event": "stopped", "ending": "finished", "cut_off": 0}


# Guards against answers that a stopping host cuts while it still writes them.
def test_sigterm_waits_for_a_caller_that_reads_its_answer_slowly(rig):
    body = b"a" * 1_500_000
    ip, _, port = rig.gateway_address.partition(":")
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_460)
    caller.connect((ip, int(port)))
    rig.single_server.records = (body,)
    head = (
        f"POST /single/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
        "X-Request-Id: read\r\nX-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nq"
    )
    caller.sendall(head.encode())
    rig.wait_until(lambda: "read" in rig.single_server.requests)
    eventlet.sleep(0.3)
    rig.terminate()
    received = b""
    while data := caller.recv(32_768):
        received += data
        eventlet.sleep(len(data) / SLOW_READER_BYTES_PER_S)
    assert received.endswith(body)


# Guards against a request that is forwarded with another path than it came with, and
# takes the route of that one.
@pytest.mark.parametrize(
    "target",
    ["//single/x", "/single//x", "/single/x?", "/single/x?a=%2F", "/single/%2Fx"],
)
def test_request_is_forwarded_with_the_path_that_was_sent(rig, target):
    rig.publish_configuration(version=2, gather={"prefix": "/", "gather": ["single"]})
    rig.wait_until(lambda: rig.send_request("/other/x")[0].status == 200)
    rig.send_request(target, "as-sent")
    assert rig.single_server.targets["as-sent"] == target


def test_header_longer_than_16_kilobytes_is_forwarded(rig, monkeypatch):
    # The stand-in of the server runs in this process.
    monkeypatch.setattr(wsgi, "MAX_HEADER_LINE", 65_536)
    response, _ = rig.send_request("/single/x", headers={"X-Long": "a" * 30_000})
    assert response.status == 200


# Guards against a process that a reload ends before it has installed its handlers.
@pytest.mark.parametrize("delay_s", [0.05, 0.15, 0.25, 0.35])
def test_reload_during_the_start_does_not_end_the_process(rig, delay_s):
    host = rig.add_host("front-2")
    host.start()
    eventlet.sleep(delay_s)
    host.signal(signal.SIGHUP)
    rig.wait_until_ready(host)
