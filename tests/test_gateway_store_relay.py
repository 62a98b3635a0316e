"""Watches that an aggregator answers in place of the store."""

import base64
import json

import eventlet
import msgspec
import pytest

from corianderrill.gateway import change_history, store_relay
from corianderrill.platform import documents, store
from tests.utils import gateway_builders as builders
from tests.utils import gateway_rig

TIMEOUT_S = 5.0
ERA = 3


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def relay():
    view = builders.build_view()
    clock = Clock()
    view.confirmed_at = clock.now
    history = change_history.ChangeHistory()
    history.restart(10, ERA)
    return store_relay.StoreRelay(history, view, clock, max_view_age_s=2.0)


def build_item(revision, value=b"v"):
    return store.Item(store.Key(f"servers/i-{revision}"), revision, value)


def watch(relay, after, wait_ms=1000, era=ERA):
    with eventlet.Timeout(TIMEOUT_S):
        body = relay.answer(
            store.WATCH_PATH, f"after={after}&era={era}&wait_ms={wait_ms}"
        )
    return None if body is None else json.loads(body)


def test_watch_returns_the_changes_after_a_revision(relay):
    relay.history.append((build_item(11), build_item(12, None)), 12)
    reply = watch(relay, 11)
    assert reply["at"] == 12
    assert reply["events"] == [{"key": "servers/i-12", "revision": 12, "deleted": True}]


def encode_configuration(**tenant):
    tenants = [{"name": "kami", "rate_per_s": 2.5, **tenant}, {"name": "anu"}]
    return json.dumps(gateway_rig.build_configuration(4, tenants)).encode()


def relay_configuration(relay, value):
    """Return the value of a configuration as another host gets it."""
    key = store.Key(documents.CONFIGURATION_KEY)
    relay.history.append((store.Item(key, 11, value),), 11)
    (event,) = watch(relay, 10)["events"]
    return base64.b64decode(event["value"])


# Guards against the keys of callers in messages between hosts.
def test_configuration_is_passed_on_without_its_keys(relay):
    value = encode_configuration(api_keys=["k-3f9a", "k-77c1"])
    relayed = relay_configuration(relay, value)
    assert b"k-3f9a" not in relayed
    assert b"k-77c1" not in relayed
    original = documents.decode_configuration(value)
    decoded = documents.decode_configuration(relayed)
    assert decoded.find_workspace("k-3f9a") == original.find_workspace("k-3f9a")
    assert decoded.find_workspace("k-3f9a").requests_per_s == 2.5
    assert decoded.workspaces_by_key == original.workspaces_by_key
    assert decoded.version == original.version
    assert len(decoded.routes) == len(original.routes)


def test_digest_of_a_key_is_no_key(relay):
    value = encode_configuration(api_keys=["k-3f9a"])
    for version in (value, relay_configuration(relay, value)):
        configuration = documents.decode_configuration(version)
        (digest,) = configuration.workspaces_by_key
        assert configuration.find_workspace(digest) is None


def test_configuration_without_workspaces_is_passed_on_as_it_is(relay):
    value = json.dumps(gateway_rig.build_configuration(4), indent=3).encode()
    assert relay_configuration(relay, value) == value


@pytest.mark.parametrize("cut", [1, 40])
def test_invalid_configuration_is_not_passed_on_since_it_may_hold_keys(relay, cut):
    value = encode_configuration(api_keys=["k-3f9a"])[:-cut]
    assert relay_configuration(relay, value) == b""


def test_configuration_with_keys_of_another_shape_is_not_passed_on(relay):
    assert relay_configuration(relay, encode_configuration(api_keys="k-3f9a")) == b""


def test_watch_waits_for_a_change(relay):
    eventlet.spawn_after(0.05, relay.history.append, (build_item(11),), 11)
    assert [event["revision"] for event in watch(relay, 10)["events"]] == [11]


def test_watch_ends_without_changes_after_its_time(relay):
    reply = watch(relay, 10, wait_ms=50)
    assert (reply["events"], reply["at"]) == ([], 10)


def test_host_that_is_ahead_waits_until_the_aggregator_has_caught_up(relay):
    eventlet.spawn_after(0.02, relay.history.append, (build_item(11),), 11)
    eventlet.spawn_after(0.05, relay.history.append, (build_item(13),), 13)
    assert [event["revision"] for event in watch(relay, 12)["events"]] == [13]


def test_changes_that_were_forgotten_are_asked_from_the_store(relay):
    assert watch(relay, 9) is None
    for revision in range(11, 12 + change_history.MAX_CHANGES):
        relay.history.append((build_item(revision),), revision)
    assert watch(relay, 10) is None
    assert watch(relay, 11) is not None


def test_aggregator_that_read_all_keys_again_forgets_what_was_before(relay):
    relay.history.append((build_item(11),), 11)
    relay.history.restart(20, ERA)
    assert watch(relay, 11) is None


@pytest.mark.parametrize("path", [store.WATCH_PATH, store.RANGE_PATH])
def test_nothing_is_answered_while_the_own_view_is_not_current(relay, path):
    # Also after a suspension, which the clock counts.
    relay.clock.now += 3.0
    query = f"prefix={store.EMPTY_PREFIX}&after=10&era={ERA}&wait_ms=10"
    assert relay.answer(path, query) is None


def test_probe_returns_the_revision_of_the_aggregator(relay):
    body = relay.answer(store.RANGE_PATH, f"prefix={store.EMPTY_PREFIX}")
    assert json.loads(body)["at"] == 10


def test_other_reads_are_left_to_the_store(relay):
    assert relay.answer(store.RANGE_PATH, "prefix=op/") is None
    assert relay.answer(store.WATCH_PATH, "after=x") is None


def test_open_watch_ends_when_the_aggregator_shuts_down(relay):
    eventlet.spawn_after(0.05, relay.close)
    assert watch(relay, 10, wait_ms=4000) is None


def test_distrust_of_removals_is_passed_on(relay):
    relay.view.record_store_recovery(relay.clock.now)
    relay.history.append((build_item(11, None),), 11)
    assert watch(relay, 10)["removals_untrusted_ms"] > 2000


# Guards against holding the watch of a host until the revisions of a restored store
# have passed the one that it has from before.
def test_host_with_a_revision_of_another_era_is_told_so_at_once(relay):
    relay.history.restart(4, ERA + 1)
    with eventlet.Timeout(1.0):
        reply = watch(relay, 10, wait_ms=4000)
    assert (reply["events"], reply["at"]) == ([], 4)


def test_open_watch_ends_when_the_aggregator_enters_a_new_era(relay):
    eventlet.spawn_after(0.05, relay.history.restart, 4, ERA + 1)
    reply = watch(relay, 10, wait_ms=4000)
    assert (reply["events"], reply["at"]) == ([], 4)


def test_watch_without_an_era_is_left_to_the_store(relay):
    assert relay.answer(store.WATCH_PATH, "after=10&wait_ms=10") is None


def encode_great_configuration(version=7):
    """Return a configuration of 1,400 routes to 36 shards each."""
    document = gateway_rig.build_configuration(36, [{"name": "kami"}])
    (route, *_) = document["routes"]
    routes = [
        {**route, "name": f"r-{number}", "prefix": f"/{number}/"}
        for number in range(1_400)
    ]
    return json.dumps({**document, "version": version, "routes": routes}).encode()


def watch_packed(relay, after):
    """Return the body of the reply to a host that reads packed values."""
    query = f"after={after}&era={ERA}&wait_ms=1000&{store.PACKED_FIELD}=1"
    return relay.answer(store.WATCH_PATH, query)


def append_configuration(relay, revision, value):
    item = store.Item(store.Key(documents.CONFIGURATION_KEY), revision, value)
    relay.history.append((item,), revision)


# Guards against an aggregator whose link cannot carry a great configuration to all
# hosts behind it within the time that they wait.
def test_great_configuration_is_sent_in_a_tenth_of_its_bytes(relay):
    value = encode_great_configuration()
    append_configuration(relay, 11, value)
    assert len(watch_packed(relay, 10)) < len(value) / 10


def test_packed_configuration_is_the_one_that_was_written(relay):
    value = encode_configuration(api_keys=["k-3f9a"])
    append_configuration(relay, 11, value)
    changes = msgspec.json.decode(watch_packed(relay, 10), type=store._WireWatch)
    (item,) = map(store._decode_item, changes.events)
    assert b"k-3f9a" not in item.value
    decoded = documents.decode_configuration(item.value)
    assert decoded.find_workspace("k-3f9a").name == "kami"


@pytest.mark.parametrize("packed", ["AAAA", "no base64"])
def test_packed_value_that_cannot_be_read_is_an_empty_one(packed):
    item = store._WireItem(key="op/config", revision=8, packed=packed)
    assert store._decode_item(item).value == b""
