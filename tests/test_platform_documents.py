"""Entries of the store as other writers leave them."""

import json

import pytest

from corianderrill.gateway import replicas, routes
from corianderrill.platform import documents

SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "ulemiste",
    "version": "v1",
    "capacity": 3,
    "state": "ready",
    "warmup_left_ms": 0,
    "seq_no": 4,
}
ROUTE = {
    "name": "r-1",
    "host": "leno12.example",
    "prefix": "/a/",
    "type": "safe",
    "timeout_ms": 600,
    "latency_goal_ms": 68,
    "priority": 2,
    "gather": ["one", "two"],
    "max_attempts": 2,
    "top_k": 5,
    "min_coverage": 0.75,
}
SERVICE = {"name": "one", "health_path": "/health", "max_conns": 31}


def decode_server(**changes):
    fields = {k: v for k, v in {**SERVER, **changes}.items() if v is not ...}
    value = json.dumps(fields).encode()
    return documents.decode_registration("servers/i-1", value)


def decode_configuration(*given, **changes):
    document = {"version": 7, "routes": list(given), "services": [SERVICE], **changes}
    return documents.decode_configuration(json.dumps(document).encode())


def test_registration_holds_what_the_entry_says():
    registration = decode_server(warmup_left_ms=1500, born=1700000000000)
    assert registration.id == "i-1"
    assert str(registration.address) == "10.128.0.9:8080"
    assert registration.slots == 3
    assert registration.state is replicas.ReplicaState.READY
    assert registration.warmup_s == 1.5
    assert registration.started_at_ms == 1700000000000


@pytest.mark.parametrize("field", sorted(SERVER))
def test_entry_without_a_field_names_no_replica(field):
    with pytest.raises(documents.DocumentError):
        decode_server(**{field: ...})


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"state": 1},
        {"capacity": "3"},
        {"capacity": 0},
        {"address": "10.128.0.9"},
        {"address": "10.128.0.9:none"},
        {"zone": None},
        {"born": 1.5},
        {"born": "now"},
        {"seq_no": {}},
    ],
)
def test_entry_with_a_wrong_field_names_no_replica(changes):
    with pytest.raises(documents.DocumentError):
        decode_server(**changes)


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"{", b'"ready"'])
def test_bytes_that_cannot_be_read_name_no_replica(value):
    with pytest.raises(documents.DocumentError):
        documents.decode_registration("servers/i-1", value)


def test_unknown_fields_are_passed_over():
    assert decode_server(colour="red").id == "i-1"
    assert decode_configuration({**ROUTE, "colour": "red"}).version == 7


def test_route_over_shards():
    route = decode_configuration(ROUTE).routes[0]
    assert route.target == routes.Gather(("one", "two"), 5, 0.75)
    assert route.repeatability is routes.Repeatability.IDEMPOTENT
    assert (route.timeout_s, route.goal_s, route.max_attempts) == (0.6, 0.068, 2)


def test_kind_that_is_not_known_runs_at_most_once():
    for kind in ("unsafe", "keyed", "later"):
        route = decode_configuration({**ROUTE, "type": kind}).routes[0]
        assert route.repeatability is routes.Repeatability.AT_MOST_ONCE


def test_split_route():
    split = [{"service": "one", "weight": 0.7}, {"service": "two", "weight": 0.3}]
    fields = {k: v for k, v in ROUTE.items() if k != "gather"}
    route = decode_configuration({**fields, "split": split}).routes[0]
    assert [share.weight for share in route.target.shares] == [0.7, 0.3]


def test_route_without_a_target_refuses_the_configuration_whole():
    fields = {k: v for k, v in ROUTE.items() if k != "gather"}
    with pytest.raises(documents.DocumentError, match="r-1"):
        decode_configuration(fields)


def test_service_of_another_protocol_is_not_used():
    other = {**SERVICE, "name": "two", "protocol": "h2"}
    configuration = decode_configuration(ROUTE, services=[SERVICE, other])
    assert list(configuration.services) == ["one"]


def test_limits_are_seconds_and_bytes():
    limits = decode_configuration(
        ROUTE, limits={"max_body_bytes": 10, "idle_timeout_ms": 4000}
    ).limits
    assert (limits.body_bytes, limits.idle_timeout_s) == (10, 4.0)
