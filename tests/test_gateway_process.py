"""The whole path on the platform's stand-ins: one gateway as a process."""

import json
import socket

import eventlet
import pytest

from corianderrill.standins import platform
from tests.utils import gateway_rig


@pytest.fixture
def rig(tmp_path):
    with gateway_rig.run(tmp_path) as found:
        yield found


def test_query_holds_the_greatest_records_of_all_shards(rig):
    reply, body = rig.ask("/sweep/x")
    assert reply.status == 200
    assert body == b"C" * 32 + b"B" * 16
    assert reply.headers["X-Missing-Parts"] == "0"
    signatures = reply.headers["X-Part-Stamps"].split(", ")
    assert sorted(signatures) == sorted(f"{s.id}.9c41" for s in rig.shards)


def test_single_request_is_forwarded_and_its_reply_returned(rig):
    reply, body = rig.ask("/desk/x?y=1", body=b"question")
    assert (reply.status, body) == (200, b"question")
    assert reply.headers["X-Server-Stamp"] == f"{rig.desk.id}.9c41"


def test_failure_of_a_request_that_may_run_once_is_returned_as_it_is(rig):
    rig.desk.status = "500 Internal Server Error"
    reply, _ = rig.ask("/desk/x", "once", body=b"question")
    assert reply.status == 500
    assert rig.desk.requests.count("once") == 1


def test_chunked_body_arrives_whole(rig):
    chunks = iter([b"ab", b"cde"])
    reply, body = rig.ask("/desk/x", body=chunks)
    assert (reply.status, body) == (200, b"abcde")


@pytest.mark.parametrize(
    "framing", ["Content-Length: 10", "Transfer-Encoding: chunked"]
)
def test_request_whose_caller_leaves_in_its_body_is_not_sent_on(rig, framing):
    address = rig.front.partition(":")
    with socket.create_connection((address[0], int(address[2]))) as caller:
        head = f"POST /desk/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n{framing}\r\n"
        caller.sendall(head.encode() + b"X-Request-Id: cut\r\n\r\n5\r\nabcde")
    rig.ask("/desk/x", "after")
    eventlet.sleep(0.3)
    assert "cut" not in rig.desk.requests


def test_chunks_that_are_malformed_are_refused(rig):
    address = rig.front.partition(":")
    with socket.create_connection((address[0], int(address[2]))) as caller:
        head = f"POST /desk/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
        caller.sendall(head.encode() + b"X-Request-Id: bad\r\n")
        caller.sendall(b"Transfer-Encoding: chunked\r\n\r\nnone\r\n")
        assert caller.recv(12) == b"HTTP/1.1 400"
    assert "bad" not in rig.desk.requests


def test_path_without_a_route_is_not_found(rig):
    assert rig.ask("/other/x")[0].status == 404


def test_new_configuration_is_in_force_and_an_older_one_never_again(rig):
    rig.publish(version=5, desk={"prefix": "/moved/"})
    rig.wait_until(lambda: rig.ask("/moved/x")[0].status == 200)
    rig.publish(version=4)
    rig.publish(version=6, sweep={"prefix": "/swept/"}, desk={"prefix": "/moved/"})
    rig.wait_until(lambda: rig.ask("/swept/x")[0].status == 200)
    assert rig.ask("/desk/x")[0].status == 404


def test_configuration_that_cannot_be_read_changes_nothing(rig):
    rig.store.put("op/config", b"{nonsense")
    rig.publish(version=7, desk={"prefix": "/moved/"})
    rig.wait_until(lambda: rig.ask("/moved/x")[0].status == 200)
    rig.terminate()
    skipped = [
        line["record"]
        for line in map(json.loads, rig.read_output().splitlines())
        if line["record"]["event"] == "entry-skipped"
    ]
    assert [record["key"] for record in skipped] == ["op/config"]


def test_entry_that_cannot_be_read_names_no_replica_and_the_others_hold(rig):
    rig.store.put("servers/forged", b"\xff\xfe")
    rig.store.put("servers/other", {"service": "desk", "state": "ready"})
    assert rig.ask("/desk/x")[0].status == 200


def test_replica_that_drains_gets_nothing_where_another_is_ready(rig):
    other = platform.FakeBackendServer("desk", "zone-b")
    try:
        other.register(rig.store)
        rig.desk.register(rig.store, state="draining")
        rig.wait_until(lambda: rig.ask("/desk/x", "moved")[0] and other.requests)
        eventlet.sleep(1.0)
        rig.ask("/desk/x", "later")
        assert "later" in other.requests
    finally:
        other.stop()


def test_address_with_another_server_runs_nothing(rig):
    rig.store.put(
        "servers/i-gone",
        {
            "service": "desk",
            "address": str(rig.shards[0].address),
            "zone": "zone-a",
            "version": "v1",
            "capacity": 4,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq_no": 1,
        },
    )
    eventlet.sleep(1.0)
    for number in range(6):
        assert rig.ask("/desk/x", f"q-{number}")[0].status == 200
    assert not any(seen.startswith("q-") for seen in rig.shards[0].requests)


def test_store_that_is_away_changes_nothing_and_its_lost_history_is_read_anew(rig):
    rig.store.is_down = True
    rig.store.compact_history()
    eventlet.sleep(0.5)
    assert rig.ask("/sweep/x")[0].status == 200
    rig.publish(version=8, desk={"prefix": "/moved/"})
    rig.store.is_down = False
    rig.wait_until(lambda: rig.ask("/moved/x")[0].status == 200)


def test_gateway_without_a_configuration_is_not_ready_and_says_not_run(tmp_path):
    rig = gateway_rig.GatewayRig(tmp_path)
    try:
        rig.start()
        rig.wait_until(lambda: rig.probe_readiness() is not None)
        assert rig.probe_readiness() == 503
        reply, _ = rig.ask("/sweep/x")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
    finally:
        rig.stop()


def test_caller_that_leaves_ends_the_work_of_its_query(rig):
    for server in rig.shards:
        server.delay_s = 1.5
    connection = rig.connect()
    connection.request(
        "GET", "/sweep/x", headers={"Host": gateway_rig.HOST, "X-Request-Id": "left"}
    )
    rig.wait_until(lambda: "left" in rig.shards[0].requests)
    connection.close()
    eventlet.sleep(0.5)
    rig.terminate()
    ended = [
        line["record"]
        for line in map(json.loads, rig.read_output().splitlines())
        if line["record"].get("request_id") == "left"
    ]
    assert ended[-1]["outcome"] == "abandoned"


def test_term_finishes_what_is_in_flight_and_ends_kept_connections(rig):
    rig.desk.delay_s = 1.0
    kept = rig.connect()
    rig.ask("/sweep/x", connection=kept)
    slow = eventlet.spawn(rig.ask, "/desk/x", "slow", body=b"question")
    rig.wait_until(lambda: "slow" in rig.desk.requests)
    rig.terminate()
    rig.wait_until(lambda: rig.probe_readiness() == 503)
    reply, _ = rig.ask("/sweep/x", connection=kept)
    assert reply.status == 200
    assert reply.headers["Connection"] == "close"
    assert slow.wait()[0].status == 200
    lines = [json.loads(line)["record"] for line in rig.read_output().splitlines()]
    assert rig.process.returncode == 0
    assert lines[-1] == {"event": "stopped", "ending": "finished", "cut_off": 0}


def test_term_refuses_new_connections_while_it_finishes_what_is_in_flight(rig):
    rig.desk.delay_s = 3.4
    slow = eventlet.spawn(
        rig.ask, "/desk/x", "slow", body=b"q", headers={"X-Deadline-Ms": "4500"}
    )
    rig.wait_until(lambda: "slow" in rig.desk.requests)
    rig.terminate()

    def is_refused():
        try:
            rig.ask("/sweep/x")
        except ConnectionError:
            return True
        return False

    rig.wait_until(is_refused)
    assert not slow.dead
    assert slow.wait()[0].status == 200


def test_metrics_are_served(rig):
    rig.ask("/sweep/x")
    connection = gateway_rig.connect(rig.metrics)
    connection.request("GET", "/metrics")
    body = connection.getresponse().read().decode()
    assert 'corianderrill_gateway_requests_total{outcome="answered",route="sweep"}' in (
        body
    )


def test_start_reads_an_old_copy_and_then_takes_in_what_it_lacks(tmp_path):
    rig = gateway_rig.GatewayRig(tmp_path)
    try:
        rig.publish()
        rig.store.freeze_stale_reads()
        rig.publish(version=2, desk={"prefix": "/office/"})
        rig.register()
        rig.start()
        rig.wait_until(lambda: rig.probe_readiness() == 200)
        rig.wait_until(lambda: rig.ask("/office/x")[0].status == 200)
        assert rig.store.stale_reads == 1
    finally:
        rig.stop()


def test_lost_history_is_read_from_no_old_copy(rig):
    before = rig.store.stale_reads
    rig.store.freeze_stale_reads()
    rig.store.compact_history()
    rig.publish(version=2, desk={"prefix": "/office/"})
    rig.wait_until(lambda: rig.ask("/office/x")[0].status == 200)
    assert rig.store.stale_reads == before


def test_caller_that_takes_too_long_for_its_headers_is_left(rig):
    limits = {"header_timeout_ms": 200.0}
    rig.store.put("op/config", {**gateway_rig.build_configuration(2), "limits": limits})
    rig.wait_until(lambda: leaves_slow_caller(rig))


def leaves_slow_caller(rig):
    ip, _, port = rig.front.partition(":")
    with socket.create_connection((ip, int(port)), timeout=2.0) as caller:
        caller.sendall(b"GET /desk/x HTTP/1.1\r\nHost:")
        try:
            return caller.recv(1) == b""
        except TimeoutError:
            return False


def test_answer_of_its_own_after_attempts_has_the_id_of_the_request(rig):
    for server in rig.shards:
        server.status = "500 Internal Server Error"
    reply, _ = rig.ask("/sweep/x", "broken")
    assert reply.status == 502
    assert reply.headers["X-Request-Id"] == "broken"


def test_backlog_longer_than_one_watch_is_taken_in_to_its_end(rig):
    rig.store.is_down = True
    eventlet.sleep(0.1)
    for number in range(2 * platform.MAX_WATCH_CHANGES):
        rig.store.remove(f"servers/i-none-{number}")
    rig.publish(version=2, desk={"prefix": "/office/"})
    rig.store.is_down = False
    rig.wait_until(lambda: rig.ask("/office/x")[0].status == 200)
