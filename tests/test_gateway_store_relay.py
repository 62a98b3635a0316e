"""Watches that an aggregator answers in place of the store."""

import json

import eventlet
import pytest

from corianderrill.gateway import change_history, store_relay
from corianderrill.platform import store
from tests.utils import gateway_builders as builders

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
