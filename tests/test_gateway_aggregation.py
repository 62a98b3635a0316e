"""Gateway processes of one zone, of which one is an aggregator."""

import http.client
import json
import signal
import socket
import time

import eventlet
import pytest

from tests.utils import aggregator_zones, gateway_rig

GOAL_S = 0.5
DEADLINE_S = 2.0


class Zone(aggregator_zones.Zone):
    """Counts the queries that the entry host delegates."""

    def start(self):
        super().start()
        self.rig.wait_until(self.delegates)

    def delegates(self):
        """Return whether a query went from the entry host to the aggregator."""
        before = self.count_delegated()
        eventlet.sleep(0.1)
        self.query("warm-up")
        return self.count_delegated() > before

    def count_delegated(self):
        connection = gateway_rig.connect(self.aggregator.metrics_address)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        samples = [
            line.split()[-1]
            for line in text.splitlines()
            if line.startswith("corianderrill_gateway_delegated_queries_total{")
            and 'outcome="answered"' in line
        ]
        return sum(map(float, samples))

    def connect_to_aggregator(self):
        """Return a connection to the port on which the aggregator answers hosts."""
        ip, _, _ = self.aggregator.gateway_address.partition(":")
        port = self.port_range[0]
        return socket.create_connection((ip, port), timeout=5.0)

    def query(self, request_id):
        started_at = time.monotonic()
        response, body = self.entry.send_request("/gather/x", request_id)
        return response, body, time.monotonic() - started_at


@pytest.fixture
def zone(tmp_path):
    running = Zone(tmp_path)
    try:
        running.start()
        yield running
    finally:
        running.rig.stop()


def assert_complete(response, body):
    assert response.status == 200
    assert response.headers["X-Missing-Parts"] == "0"
    assert body == b"C" * 32 + b"B" * 16


def test_delegated_query_is_answered_like_any_other(zone):
    before = zone.count_delegated()
    response, body, _ = zone.query("q-1")
    assert_complete(response, body)
    signatures = response.headers["X-Part-Stamps"].split(", ")
    assert sorted(signatures) == sorted(f"{s.id}.q-1" for s in zone.rig.shard_servers)
    assert zone.count_delegated() == before + 1
    assert all(s.requests.count("q-1") == 1 for s in zone.rig.shard_servers)


def test_queries_are_answered_in_time_while_the_aggregator_is_paused(zone):
    zone.aggregator.signal(signal.SIGSTOP)
    try:
        for number in range(4):
            response, body, took_s = zone.query(f"paused-{number}")
            assert_complete(response, body)
            assert took_s < GOAL_S
    finally:
        zone.aggregator.signal(signal.SIGCONT)
    eventlet.sleep(0.5)
    # The aggregator read the query when its sender had given it up.
    for server in zone.rig.shard_servers:
        assert server.requests.count("paused-0") == 1


def test_queries_are_answered_after_the_aggregator_was_killed(zone):
    zone.aggregator.signal(signal.SIGKILL)
    eventlet.sleep(0.1)
    for number in range(4):
        response, body, took_s = zone.query(f"killed-{number}")
        assert_complete(response, body)
        assert took_s < GOAL_S


def test_caller_that_leaves_stops_the_work_of_the_aggregator(zone):
    for server in zone.rig.shard_servers:
        server.delay_s = 1.0
    connection = zone.entry.connect()
    connection.request(
        "GET",
        "/gather/x",
        headers={
            "Host": gateway_rig.HOST,
            "X-Request-Id": "left",
            "X-Deadline-Ms": "2000",
        },
    )
    eventlet.sleep(0.2)
    connection.close()
    eventlet.sleep(0.3)
    zone.aggregator.terminate()
    lines = map(json.loads, zone.aggregator.read_output().splitlines())
    ended = [
        line["record"]
        for line in lines
        if line["record"].get("request_id") == "left"
        and line["record"]["event"] == "answered-for"
    ]
    assert [record["outcome"] for record in ended] == ["abandoned"]
    assert ended[0]["took_ms"] < 700


def test_aggregator_that_stops_refuses_queries_and_gives_up_its_slot(zone):
    zone.aggregator.terminate()
    zone.rig.wait_until(
        lambda: "aggregators/zone-a/0" not in zone.rig.store.list_keys()
    )
    response, body, took_s = zone.query("stopping")
    assert_complete(response, body)
    assert took_s < GOAL_S
    zone.aggregator.read_output()
    assert zone.aggregator.process.returncode == 0


def test_configuration_reaches_a_host_that_watches_the_aggregator(zone):
    calls_before = zone.rig.store.watch_count
    zone.rig.publish_configuration(version=5, single={"prefix": "/new-single/"})
    with eventlet.Timeout(gateway_rig.CONFIG_APPLY_S):
        while zone.entry.send_request("/new-single/x")[0].status != 200:
            eventlet.sleep(gateway_rig.POLL_INTERVAL_S)
    # One watch of the aggregator returned and was sent again.
    assert zone.rig.store.watch_count - calls_before <= 2


def test_configuration_reaches_a_host_whose_aggregator_is_paused(zone):
    zone.aggregator.signal(signal.SIGSTOP)
    try:
        zone.rig.publish_configuration(version=5, single={"prefix": "/new-single/"})
        with eventlet.Timeout(gateway_rig.CONFIG_APPLY_S + gateway_rig.CONTACT_S):
            while zone.entry.send_request("/new-single/x")[0].status != 200:
                eventlet.sleep(gateway_rig.POLL_INTERVAL_S)
    finally:
        zone.aggregator.signal(signal.SIGCONT)


# Guards against a task that goes on calling the store's former address, where its lease
# is not renewed once nobody answers there.
def test_all_calls_go_to_the_new_address_of_the_store_after_a_reload(zone):
    alias = gateway_rig.Alias(zone.rig.store)
    try:
        zone.aggregator.change_store_address(alias.address)
        zone.aggregator.signal(signal.SIGHUP)
        zone.rig.wait_until(lambda: "/api/kv-watch" in alias.paths)
        zone.rig.wait_until(lambda: any("kv-keep" in path for path in alias.paths))
    finally:
        alias.stop()


# Guards against an aggregator that keeps a body without end in memory.
@pytest.mark.parametrize(
    "framing", ["Content-Length: 2000000000", "Transfer-Encoding: chunked"]
)
def test_delegated_query_with_a_body_without_end_is_refused(zone, framing):
    keys = {"X-Query-Shards": "7", "X-Query-Min-Parts": "1", "X-Query-Goal-Ms": "300"}
    keys |= {"X-Query-Version": "1", "X-Query-Hedge-After-Ms": "50"}
    lines = "".join(f"{name}: {value}\r\n" for name, value in keys.items())
    head = (
        f"POST /gather/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n{lines}"
        f"X-Query-May-Delegate: 0\r\nX-Request-Id: endless\r\n{framing}\r\n\r\n"
    )
    with zone.connect_to_aggregator() as sock:
        sock.sendall(head.encode())
        chunk = b"10000\r\n" + b"a" * 65_536 + b"\r\n"
        received = b""
        with eventlet.Timeout(10.0):
            try:
                for _ in range(100):
                    sock.sendall(chunk)
                received = sock.recv(65_536)
            except OSError:
                # It has closed the connection, with bytes of ours unread.
                received = received or b"closed"
    assert b" 200 " not in received
    assert all("endless" not in s.requests for s in zone.rig.shard_servers)


# Guards against an entry host that asks a replica again of which an aggregator was told
# that it leaves.
def test_entry_host_learns_from_an_aggregator_that_a_replica_leaves(zone):
    zone.rig.shard_servers[0].is_leaving = True
    zone.rig.wait_until(lambda: _learns(zone))
    zone.entry.terminate()
    records = [
        json.loads(line)["record"] for line in zone.entry.read_output().splitlines()
    ]
    noticed = [r for r in records if r["event"] == "replica-leaving"]
    assert noticed[0]["replica"] == zone.rig.shard_servers[0].id
    assert noticed[0]["source"] == "aggregator"


def _learns(zone):
    eventlet.sleep(0.1)
    zone.query("leaving")
    connection = gateway_rig.connect(zone.entry.metrics_address)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    return 'gateway_replica_notices_total{notice="leaving"} 1' in text


# Guards against an answer with parts of some shards of one version that claims to hold
# all shards of another one.
def test_query_whose_body_outlasts_a_repartition_is_drawn_from_one_version(zone):
    ip, _, port = zone.entry.gateway_address.partition(":")
    head = (
        f"POST /gather/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
        "X-Request-Id: split\r\nX-Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nab"
    )
    with socket.create_connection((ip, int(port)), timeout=10.0) as caller:
        caller.sendall(head.encode())
        eventlet.sleep(0.3)
        # The same three shards and one more, in another order.
        shards = ["three", "single", "two", "one"]
        zone.rig.publish_configuration(version=2, gather={"gather": shards})
        eventlet.sleep(1.5)
        caller.sendall(b"cd")
        answer = http.client.HTTPResponse(caller)
        answer.begin()
        answer.read()
    assert answer.status == 200
    stamps = answer.headers["X-Part-Stamps"].split(",")
    assert len(stamps) + int(answer.headers["X-Missing-Parts"]) == len(shards)
