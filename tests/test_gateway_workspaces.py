"""End-to-end tests of gateway processes whose callers need a key."""

import base64
import contextlib
import itertools
import json
import socket

import eventlet
import pytest

from corianderrill.gateway import delegation_messages
from corianderrill.platform import documents, requests, store
from tests.utils import aggregator_zones, gateway_rig

KEY = "k-3f9a77c1"
OTHER_KEY = "k-b01d52e8"
UNKNOWN_KEY = "k-00c0ffee"
TENANTS = [
    {"name": "kami", "api_keys": [KEY], "priority": 1},
    {"name": "anu", "api_keys": [OTHER_KEY], "priority": 1},
]
PUBLIC = {"public": True}
# By the ratio of the retry budget, with room for what was spent before.
REQUESTS_FOR_AN_EXTRA_ATTEMPT = 12


@pytest.fixture
def rig(tmp_path):
    with gateway_rig.run(tmp_path) as running:
        running.publish_configuration(version=2, tenants=TENANTS)
        running.wait_until(lambda: send(running, "/single/x", key=None) == 401)
        yield running


def build_headers(key, **more):
    headers = {} if key is None else {"Authorization": f"Bearer {key}"}
    return {**headers, **more}


def send(host, path, key=KEY, request_id="9c41", **options):
    headers = build_headers(key, **options.pop("headers", {}))
    return host.send_request(path, request_id, headers=headers, **options)[0].status


def find_identity_headers(server, request_id):
    """Return the headers of a request at a replica that tell who the caller is."""
    return {
        name: value
        for name, value in server.headers[request_id].items()
        if name in ("HTTP_X_TENANT", "HTTP_AUTHORIZATION")
    }


def read_records(host):
    host.terminate()
    output = host.read_output()
    return output, [json.loads(line)["record"] for line in output.splitlines()]


def test_only_a_known_key_is_served(rig):
    assert send(rig, "/single/x", request_id="known") == 200
    assert send(rig, "/single/x", UNKNOWN_KEY, "unknown") == 401
    response, _ = rig.send_request("/gather/x", "missing")
    assert response.status == 401
    assert response.headers["WWW-Authenticate"] == "Bearer"
    assert response.headers["X-Request-Id"] == "missing"
    served = {"unknown", "missing", "known"} & set(rig.single_server.requests)
    assert served == {"known"}


def test_request_without_a_known_key_is_refused_before_its_body_comes(rig):
    ip, _, port = rig.gateway_address.partition(":")
    with socket.create_connection((ip, int(port)), timeout=5.0) as caller:
        head = f"POST /single/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
        caller.sendall(f"{head}X-Request-Id: q\r\nContent-Length: 9\r\n\r\n".encode())
        assert caller.recv(12) == b"HTTP/1.1 401"


def test_replica_gets_the_workspace_and_nothing_else_about_the_caller(rig):
    forged = {"X-Tenant": "anu", "X_Tenant": "anu"}
    assert send(rig, "/single/x", request_id="one", headers=forged) == 200
    assert send(rig, "/gather/x", OTHER_KEY, "two", headers=forged) == 200
    assert find_identity_headers(rig.single_server, "one") == {"HTTP_X_TENANT": "kami"}
    for server in rig.shard_servers:
        assert find_identity_headers(server, "two") == {"HTTP_X_TENANT": "anu"}


def test_public_route_needs_no_key_and_names_no_workspace(rig):
    rig.publish_configuration(version=3, tenants=TENANTS, single=PUBLIC)
    rig.wait_until(lambda: send(rig, "/single/x", key=None) == 200)
    forged = {"X-Tenant": "anu"}
    assert send(rig, "/single/x", KEY, "public", headers=forged) == 200
    assert find_identity_headers(rig.single_server, "public") == {}
    assert send(rig, "/gather/x", None) == 401


# Guards against a workspace that is kept with the connection on which it was found.
def test_removed_key_is_refused_from_the_next_request_on_an_open_connection(rig):
    connection = rig.connect()
    assert send(rig, "/single/x", connection=connection) == 200
    rig.publish_configuration(version=3, tenants=TENANTS[1:])
    rig.wait_until(lambda: send(rig, "/single/x") == 401)
    assert send(rig, "/single/x", connection=connection) == 401
    assert send(rig, "/single/x", OTHER_KEY, connection=connection) == 200


# Guards against a route of one configuration with the keys of another.
def test_key_that_is_removed_while_the_body_comes_is_refused(rig):
    ip, _, port = rig.gateway_address.partition(":")
    with socket.create_connection((ip, int(port)), timeout=5.0) as caller:
        head = f"POST /single/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
        fields = f"X-Request-Id: slow\r\nAuthorization: Bearer {KEY}\r\n"
        caller.sendall(f"{head}{fields}Content-Length: 4\r\n\r\nab".encode())
        eventlet.sleep(0.2)
        rig.publish_configuration(version=3, tenants=TENANTS[1:])
        rig.wait_until(lambda: send(rig, "/single/x") == 401)
        caller.sendall(b"cd")
        assert caller.recv(12) == b"HTTP/1.1 401"
    assert "slow" not in rig.single_server.requests


def test_request_in_flight_ends_under_the_configuration_under_which_it_began(rig):
    rig.single_server.delay_s = 1.0
    begun = eventlet.spawn(send, rig, "/single/x", KEY, "begun")
    rig.wait_until(lambda: "begun" in rig.single_server.requests)
    rig.publish_configuration(version=3, tenants=TENANTS[1:])
    rig.wait_until(lambda: send(rig, "/gather/x") == 401)
    assert begun.wait() == 200


def test_host_with_an_old_copy_refuses_an_unknown_key_as_not_run(rig):
    rig.store.fall_silent()
    rig.wait_until(lambda: send(rig, "/single/x", UNKNOWN_KEY) == 503)
    headers = build_headers(UNKNOWN_KEY)
    response, _ = rig.send_request("/single/x", "unknown", headers=headers)
    assert float(response.headers["Retry-After"]) > 0
    assert send(rig, "/single/x", key=None) == 503
    assert send(rig, "/single/x") == 200
    rig.store.end_silence()
    rig.wait_until(lambda: send(rig, "/single/x", UNKNOWN_KEY) == 401)


def test_host_without_a_configuration_refuses_as_not_run(tmp_path):
    rig = gateway_rig.GatewayRig(tmp_path)
    try:
        rig.start()
        rig.wait_until(lambda: can_connect(rig))
        response, _ = rig.send_request("/single/x", headers=build_headers(KEY))
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
    finally:
        rig.stop()


def can_connect(rig):
    with contextlib.suppress(OSError):
        rig.connect().connect()
        return True
    return False


def test_hedges_and_retries_carry_the_workspace(rig):
    failing, slow = rig.shard_servers[:2]
    spare = [
        type(server)(server.service, server.zone, server.records)
        for server in (failing, slow)
    ]
    numbers = itertools.count()
    repeated = set()

    def set_fault(is_faulty):
        for server in (failing, spare[0]):
            server.status = "500 Internal Server Error" if is_faulty else "200 OK"
        for server in (slow, spare[1]):
            server.delay_s = 0.3 if is_faulty else 0.0

    def send_next():
        request_id = f"q-{next(numbers)}"
        send(rig, "/gather/x", request_id=request_id, headers={"X-Tenant": "anu"})
        return request_id

    def has_repeated_both():
        # Sound replies allow the retry budget an extra attempt, and end what the host
        # believes of a slowdown, in which it sends no hedge to a replica.
        set_fault(False)
        for _ in range(REQUESTS_FOR_AN_EXTRA_ATTEMPT):
            send_next()
        set_fault(True)
        request_id = send_next()
        for pair in ((failing, spare[0]), (slow, spare[1])):
            if all(request_id in server.headers for server in pair):
                repeated.add(pair)
        return len(repeated) == 2

    try:
        for server in spare:
            server.register(rig.store)
        rig.wait_until(has_repeated_both)
        for server in (failing, slow, *spare):
            for request_id in server.headers.keys() - {"warm-up"}:
                found = find_identity_headers(server, request_id)
                assert found == {"HTTP_X_TENANT": "kami"}
    finally:
        for server in spare:
            server.stop()


# Guards against a key in a log line, a metric or a trace, also of malformed requests.
def test_key_is_in_no_output_of_the_process(rig):
    duplicate = {"name": "third", "api_keys": [KEY, OTHER_KEY]}
    rig.store.put("op/config", json.dumps({"tenants": [{"api_keys": KEY}]}).encode())
    rig.store.put("op/config", f'{{"tenants": [{{"api_keys": ["{KEY}'.encode())
    rig.publish_configuration(version=3, tenants=[*TENANTS, duplicate])
    rig.wait_until(lambda: send(rig, "/single/x", key=None) == 401)
    for key in (KEY, OTHER_KEY, UNKNOWN_KEY):
        send(rig, "/gather/x", key)
        send(rig, "/single/x", key, body=b"question")
        send(rig, "/none/x", key)
    rig.single_server.status = "500 Internal Server Error"
    send(rig, "/single/x", KEY, "failed")
    for line in (
        f"GET /single/x HTTP/1.1\r\nAuthorization Bearer {KEY}\r\n\r\n",
        f"GET /single/x HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n\r\n",
        f"GET /single/x HTTP/1.1\r\nAuthorization: Bearer\r\n {KEY}\r\n\r\n",
        f"POST /single/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\nX-Request-Id: q\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 9\r\n\r\n{KEY[:3]}",
        f"Bearer {KEY}\r\n\r\n",
    ):
        send_raw(rig, line.encode())
    connection = gateway_rig.connect(rig.metrics_address)
    connection.request("GET", "/metrics")
    metrics_text = connection.getresponse().read().decode()
    output, _ = read_records(rig)
    for key in (KEY, OTHER_KEY, UNKNOWN_KEY):
        assert key not in output
        assert key not in metrics_text


def send_raw(rig, data):
    ip, _, port = rig.gateway_address.partition(":")
    with socket.create_connection((ip, int(port)), timeout=5.0) as caller:
        caller.sendall(data)
        caller.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionError):
            while caller.recv(4096):
                pass


def watch_aggregator(zone, after):
    """Return the configurations that an aggregator sends to other hosts."""
    connection = gateway_rig.connect(zone.aggregation_address)
    query = f"after={after}&era={zone.rig.store.era}&wait_ms=2000"
    connection.request("GET", f"{store.WATCH_PATH}?{query}")
    events = json.loads(connection.getresponse().read())["events"]
    return [
        base64.b64decode(event["value"])
        for event in events
        if event["key"] == documents.CONFIGURATION_KEY
    ]


def test_refused_key_is_logged_with_its_reason(rig):
    send(rig, "/single/x", UNKNOWN_KEY, "q-1")
    _, records = read_records(rig)
    (record,) = [r for r in records if r.get("request_id") == "q-1"]
    assert record["event"] == "refused"
    assert (record["status"], record["reason"]) == (401, "unknown-key")
    assert record["route"] == "single"


# Guards against requests that come without their workspace to the queue of a replica.
def test_hot_workspace_keeps_no_other_one_waiting(rig):
    goal = {"latency_goal_ms": 8000, "timeout_ms": 8000}
    rig.publish_configuration(version=3, tenants=TENANTS, single={**goal, **PUBLIC})
    rig.wait_until(lambda: send(rig, "/single/x", key=None) == 200)
    rig.publish_configuration(version=4, tenants=TENANTS, single=goal)
    rig.wait_until(lambda: send(rig, "/single/x", key=None) == 401)
    rig.single_server.delay_s = 0.3
    deadline = {"X-Deadline-Ms": "8000"}
    hot = [
        eventlet.spawn(send, rig, "/single/x", KEY, f"hot-{n}", headers=deadline)
        for n in range(16)
    ]
    rig.wait_until(lambda: any(map(is_hot, rig.single_server.requests)))
    assert send(rig, "/single/x", OTHER_KEY, "other", headers=deadline) == 200
    assert [request.wait() for request in hot] == [200] * 16
    order = [n for n in rig.single_server.requests if n == "other" or is_hot(n)]
    assert order.index("other") < 10


def is_hot(request_id):
    return request_id.startswith("hot-")


def test_request_that_waited_behind_others_names_them_in_the_log(rig):
    rig.single_server.delay_s = 1.5
    # More than this host has connections to the replica, which all are used up.
    first = [eventlet.spawn(send, rig, "/single/x", KEY, f"hot-{n}") for n in range(6)]
    rig.wait_until(lambda: any(map(is_hot, rig.single_server.requests)))
    eventlet.sleep(0.2)
    hurried = {"X-Deadline-Ms": "300"}
    assert send(rig, "/single/x", OTHER_KEY, "late", headers=hurried) == 503
    assert "late" not in rig.single_server.requests
    for request in first:
        request.kill()
    _, records = read_records(rig)
    own = [r for r in records if r.get("request_id") == "late"]
    (held,) = [r for r in own if r["event"] == "held-in-queue"]
    assert held["workspace"] == "anu"
    assert held["replica"] == rig.single_server.id
    assert set(held["waiting"]) == {"kami"}
    (ended,) = [r for r in own if r["event"] == "request"]
    assert (ended["outcome"], ended["workspace"]) == ("not-run", "anu")


# Guards against an aggregator that asks the entry host for a key, or that believes what
# the caller has sent.
def test_workspace_passes_the_hop_to_an_aggregator_and_the_key_does_not(tmp_path):
    with aggregator_zones.run(tmp_path) as zone:
        rig = zone.rig
        rig.publish_configuration(version=2, tenants=TENANTS, gather=PUBLIC)
        for host in rig.hosts:
            rig.wait_until(lambda host=host: send(host, "/single/x", None) == 401)
        before = rig.store.revision
        rig.publish_configuration(version=3, tenants=TENANTS)
        for host in rig.hosts:
            rig.wait_until(lambda host=host: send(host, "/gather/x", None) == 401)
        configurations = watch_aggregator(zone, before)
        assert configurations
        assert not any(key in str(configurations) for key in (KEY, OTHER_KEY))
        forged = {"X-Tenant": "anu"}
        ids = [f"q-{number}" for number in range(20)]
        for request_id in ids:
            assert send(zone.entry, "/gather/x", KEY, request_id, headers=forged) == 200
        _, records = read_records(zone.aggregator)
        answered = {
            record["request_id"]
            for record in records
            if record["event"] == "answered-for" and record["outcome"] == "answered"
        }
        assert answered & set(ids)
        for request_id in ids:
            for server in rig.shard_servers:
                found = find_identity_headers(server, request_id)
                assert found == {"HTTP_X_TENANT": "kami"}


# Guards against a host of another version that sends a key on, and against an
# aggregator that takes a query for one without a workspace.
def test_aggregator_sends_the_workspace_of_a_query_and_no_key(tmp_path):
    with aggregator_zones.run(tmp_path) as zone:
        rig = zone.rig
        rig.publish_configuration(version=2, tenants=TENANTS)
        rig.wait_until(lambda: send(zone.aggregator, "/gather/x", None) == 401)
        headers = [
            ("Host", gateway_rig.HOST),
            ("X-Request-Id", "q-1"),
            ("Authorization", f"Bearer {OTHER_KEY}"),
            ("X-Tenant", "kami"),
        ]
        request = requests.build_inbound_request(
            "GET", "/gather/x", headers, b"", 2.0, 0.0
        )
        terms = delegation_messages.Terms(
            version=2,
            shards=(0, 1, 2),
            min_parts=2,
            goal_s=1.0,
            hedge_after_s=0.1,
            may_delegate=False,
        )
        ip, _, port = zone.aggregation_address.partition(":")
        with socket.create_connection((ip, int(port)), timeout=5.0) as sock:
            sock.sendall(delegation_messages.render_query(request, terms, 2.0))
            received = b""
            while b"HTTP/1.1 200" not in received:
                received += sock.recv(4096)
        for server in rig.shard_servers:
            assert find_identity_headers(server, "q-1") == {"HTTP_X_TENANT": "kami"}
