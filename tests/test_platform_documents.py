"""Decoding of store entries, valid and invalid ones."""

import json
import time

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
# Processor time, of a core that is faster than that of a host.
MAX_DECODING_S = 0.2
SERVICE = {"name": "one", "health_path": "/health", "max_conns": 31}


def decode_server(**changes):
    # A field that is set to `...` is left out.
    fields = {k: v for k, v in {**SERVER, **changes}.items() if v is not ...}
    value = json.dumps(fields).encode()
    return documents.decode_registration("servers/i-1", value)


def decode_configuration(*wire_routes, **changes):
    document = {
        "version": 7,
        "routes": list(wire_routes),
        "services": [SERVICE],
        **changes,
    }
    return documents.decode_configuration(json.dumps(document).encode())


def test_entry_is_decoded_into_a_registration():
    registration = decode_server(warmup_left_ms=1500, born=1700000000000)
    assert registration.id == "i-1"
    assert str(registration.address) == "10.128.0.9:8080"
    assert registration.slots == 3
    assert registration.state is replicas.ReplicaState.READY
    assert registration.warmup_s == 1.5
    assert registration.started_at_ms == 1700000000000


@pytest.mark.parametrize("field", sorted(SERVER))
def test_entry_with_a_missing_field_is_rejected(field):
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
def test_entry_with_an_invalid_field_is_rejected(changes):
    with pytest.raises(documents.DocumentError):
        decode_server(**changes)


# Guards against a decoder that lets another error than its own through: a deeply nested
# entry ended the thread that follows the store, on all hosts.
@pytest.mark.parametrize("field", ["colour", "born"])
@pytest.mark.parametrize("closing", [b"", b"]" * 100_000 + b"}"], ids=["cut", "whole"])
def test_deeply_nested_entry_is_rejected(field, closing):
    value = b'{"%b":' % field.encode() + b"[" * 100_000 + closing
    for decode in (
        documents.decode_registration,
        documents.decode_demand,
        documents.decode_notes,
    ):
        with pytest.raises(documents.DocumentError):
            decode("servers/i-1", value)
    with pytest.raises(documents.DocumentError):
        documents.decode_configuration(value)
    with pytest.raises(documents.DocumentError):
        documents.decode_aggregator("aggregators/zone-a/1", value)


# Guards against numbers that later arithmetic or a log line can't take.
@pytest.mark.parametrize("field", ["born", "seq_no", "capacity"])
@pytest.mark.parametrize("number", [10**30, 10**400, -(10**30)])
def test_entry_with_a_number_too_large_is_rejected(field, number):
    with pytest.raises(documents.DocumentError):
        decode_server(**{field: number})


# Guards against addresses that raise when they are parsed or connected to, or that
# would be looked up by name, which blocks the process.
@pytest.mark.parametrize(
    "address",
    [
        "10.128.0.9:\u00b2",
        "10.128.0.9:0",
        "10.128.0.9:65536",
        "10.128.0.9:" + "9" * 5_000,
        "10.128.0.9:+80",
        "10.128.0.9: 80",
        "shard.example:8080",
        "localhost:8080",
        "10.128.0:8080",
        "10.128.0.256:8080",
        "10.128.0.9\n:8080",
        "10.128.0.9\0:8080",
        "[::1]:8080",
    ],
)
def test_entry_with_an_address_that_cannot_be_used_is_rejected(address):
    with pytest.raises(documents.DocumentError):
        decode_server(address=address)


# Guards against an id that would add a header to the requests that name it.
@pytest.mark.parametrize("name", ["", "i 1", "i\r\nX-A: b", "i\0", "\u0130", "i" * 193])
def test_entry_under_a_key_that_names_no_replica_is_rejected(name):
    value = json.dumps(SERVER).encode()
    with pytest.raises(documents.DocumentError):
        documents.decode_registration(f"servers/{name}", value)


@pytest.mark.parametrize("slot", ["", "-1", "\u00b2", "9" * 5_000, "one"])
def test_aggregator_key_without_a_slot_number_is_rejected(slot):
    with pytest.raises(documents.DocumentError):
        documents.parse_aggregator_key(f"aggregators/zone-a/{slot}")


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"{", b'"ready"'])
def test_entry_that_is_not_a_json_object_is_rejected(value):
    with pytest.raises(documents.DocumentError):
        documents.decode_registration("servers/i-1", value)


def test_unknown_fields_are_ignored():
    assert decode_server(colour="red").id == "i-1"
    assert decode_configuration({**ROUTE, "colour": "red"}).version == 7


def test_gather_route_is_decoded():
    route = decode_configuration(ROUTE).routes[0]
    assert route.target == routes.ScatterGather(("one", "two"), 5, 0.75)
    assert route.retry_safety is routes.RetrySafety.IDEMPOTENT
    assert (route.timeout_s, route.goal_s, route.max_attempts) == (0.6, 0.068, 2)


def test_route_type_other_than_safe_is_executed_at_most_once():
    for kind in ("unsafe", "keyed", "later"):
        route = decode_configuration({**ROUTE, "type": kind}).routes[0]
        assert route.retry_safety is routes.RetrySafety.AT_MOST_ONCE


def test_split_route_is_decoded():
    split = [{"service": "one", "weight": 0.7}, {"service": "two", "weight": 0.3}]
    fields = {k: v for k, v in ROUTE.items() if k != "gather"}
    route = decode_configuration({**fields, "split": split}).routes[0]
    assert [share.weight for share in route.target.services] == [0.7, 0.3]


def test_configuration_with_a_route_without_a_target_is_rejected():
    fields = {k: v for k, v in ROUTE.items() if k != "gather"}
    with pytest.raises(documents.DocumentError, match="r-1"):
        decode_configuration(fields)


def test_service_with_another_protocol_is_ignored():
    other = {**SERVICE, "name": "two", "protocol": "h2"}
    configuration = decode_configuration(ROUTE, services=[SERVICE, other])
    assert list(configuration.services) == ["one"]


def test_limits_are_decoded_with_times_in_seconds():
    limits = decode_configuration(
        ROUTE, limits={"max_body_bytes": 10, "idle_timeout_ms": 4000}
    ).limits
    assert (limits.max_body_bytes, limits.idle_timeout_s) == (10, 4.0)


def test_workspaces_are_found_by_each_of_their_keys():
    tenant = {
        "name": "kami770",
        "api_keys": ["k-1", "k-2"],
        "priority": 3,
        "rate_per_s": 22,
        "burst": 11,
    }
    configuration = decode_configuration(tenants=[tenant])
    expected = routes.Workspace("kami770", 3, 22.0, 11.0)
    assert configuration.has_workspaces
    assert configuration.find_workspace("k-1") == expected
    assert configuration.find_workspace("k-2") == expected
    assert configuration.find_workspace("k-3") is None


def test_configuration_whose_last_workspace_is_gone_still_requires_keys():
    assert decode_configuration(tenants=[]).has_workspaces
    assert not decode_configuration().has_workspaces


def test_workspace_without_a_rate_has_no_limit():
    configuration = decode_configuration(
        tenants=[{"name": "kami770", "api_keys": ["k-1"], "rate_per_s": 0}]
    )
    assert configuration.find_workspace("k-1").requests_per_s is None


# Guards against a pause of all requests of a host while a configuration is decoded.
def test_large_configuration_is_decoded_without_a_pause():
    tenants = [
        {"name": f"w-{n}", "api_keys": [f"k-{n}-{m:032x}" for m in range(50)]}
        for n in range(200)
    ]
    large = [
        {**ROUTE, "name": f"r-{n}", "prefix": f"/{n % 40}/{n}/"} for n in range(1_400)
    ]
    document = {"version": 7, "routes": large, "services": [SERVICE]}
    value = json.dumps({**document, "tenants": tenants}).encode()
    durations_s = []
    for _ in range(3):
        started_at = time.process_time()
        configuration = documents.decode_configuration(value)
        durations_s.append(time.process_time() - started_at)
    assert len(configuration.routes) == 1_400
    assert len(configuration.workspaces_by_key) == 10_000
    assert configuration.find_workspace(f"k-199-{49:032x}").name == "w-199"
    assert min(durations_s) < MAX_DECODING_S


def test_first_of_two_workspaces_holds_a_key_of_both():
    tenants = [{"name": name, "api_keys": ["k-1"]} for name in ("one", "two")]
    assert decode_configuration(tenants=tenants).find_workspace("k-1").name == "one"


def test_route_and_service_fields_for_regions_and_warm_up_are_decoded():
    route = {**ROUTE, "public": True, "allowed_regions": ["lima"]}
    service = {**SERVICE, "warmup_s": 3.0, "warmup_per_s": 8.0}
    configuration = decode_configuration(routes=[route], services=[service])
    assert configuration.routes[0].is_public
    assert configuration.routes[0].allowed_regions == {"lima"}
    assert configuration.services["one"].warmup_requests_per_s == 8.0
