"""How old a host may take its view to be, by each way in which it learns of changes.

Pattern: a reply that is old is taken for one of now, and ages add up from hop to hop.
"""

import itertools
import random

import pytest

from corianderrill.gateway import (
    change_history,
    open_watch,
    store_relay,
    store_watcher,
    watch_timing,
)
from corianderrill.platform import store
from corianderrill.standins import loopback
from tests.utils import fake_stores
from tests.utils import gateway_builders as builders

Source = watch_timing.Source
NEVER_S = float("inf")
# The times within which a host has to apply a change, on sites of each size.
APPLY_DELAYS_S = (3.0, 5.0, 6.0)
# A slow store takes this long for a reply.
SLOW_REPLY_S = 0.4
ROUND_TRIP_S = 0.05


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


class FakePools:
    def retain(self, addresses):
        pass


class ScriptedClient:
    """A store client that returns the given replies in turn, each after a while."""

    def __init__(self, clock, *replies):
        self.clock = clock
        self.replies = list(replies)
        self.waits = []

    def _reply(self, took_s=0.0):
        self.clock.now += took_s
        reply = self.replies.pop(0)
        if isinstance(reply, store.StoreError):
            raise reply
        return reply

    def read_range(self, prefix, after, allow_stale=False, timeout_s=None):
        return self._reply(1.0)

    def watch(self, prefix, after, wait_s, timeout_s):
        self.waits.append(wait_s)
        return self._reply(wait_s)


def build_watcher(clock, *replies, apply_delay_s=3.0):
    log = fake_stores.RecordingLog()
    return store_watcher.StoreWatcher(
        ScriptedClient(clock, *replies),
        builders.build_view(),
        FakePools(),
        builders.build_aggregator_directory(),
        builders.build_rate_limits(log),
        builders.ZONE,
        log,
        random.Random(1),
        change_history.ChangeHistory(),
        builders.build_quarantine(),
        timing=watch_timing.WatchTiming(apply_delay_s, batch_delay_ratio=0.0),
        clock=clock,
    )


@pytest.fixture
def clock():
    return Clock()


def build_item(revision):
    return store.Item(store.Key(f"servers/i-{revision}"), revision, b"v")


# Guards against a host that takes part as current on the word of a stale first read.
def test_first_read_confirms_nothing_and_the_watch_after_it_does_not_wait(clock):
    watcher = build_watcher(clock, store.Batch((), 5), store.Batch((), 5))
    watcher._read_all()
    assert not watcher.view.was_confirmed()
    watcher._watch_once()
    assert watcher.client.waits == [watch_timing.MIN_WAIT_S]
    assert watcher.view.get_age_s(clock()) == pytest.approx(0.0)


def test_read_of_all_keys_confirms_the_view_from_its_first_page_on(clock):
    pages = (store.Batch((build_item(8),), 9, has_more=True), store.Batch((), 9))
    watcher = build_watcher(clock, *pages)
    watcher.revision = 5
    watcher._read_all()
    assert watcher.view.get_age_s(clock()) == pytest.approx(1.0)


# Guards against a view that counts as current though its first page was read for long.
def test_read_of_all_keys_is_as_old_as_the_way_of_its_first_page(clock):
    watcher = build_watcher(clock, store.Batch((), 9, age_s=0.4))
    watcher.revision = 5
    watcher._read_all()
    assert watcher.view.get_age_s(clock()) == pytest.approx(0.4)


# Guards against a view that counts as current though no page of it was applied.
def test_read_of_all_keys_that_fails_midway_confirms_nothing(clock):
    failure = store.StoreError(store.FailureKind.UNREACHABLE, "reset")
    page = store.Batch((build_item(8),), 9, has_more=True)
    watcher = build_watcher(clock, page, failure)
    watcher.revision = 5
    with pytest.raises(store.StoreError):
        watcher._read_all()
    assert not watcher.view.was_confirmed()


def test_wait_of_a_watch_is_what_is_left_of_the_interval(clock):
    watcher = build_watcher(clock, *(store.Batch((), 5) for _ in range(2)))
    watcher.revision = 5
    watcher.view.confirm(clock() - 1.0)
    watcher._watch_once()
    interval_s = watcher.timing.get_interval_s(Source.STORE)
    watcher._watch_once()
    assert watcher.client.waits == pytest.approx([interval_s - 1.0, interval_s])


# Guards against a process that was frozen and takes what it reads then for news.
def test_reply_without_changes_is_as_old_as_the_end_of_its_wait(clock):
    def call(terms):
        clock.now += 20.0
        return store.Batch((), 5)

    terms = watch_timing.WatchTerms(1.5, 2.0)
    reply = open_watch.OpenWatch(clock).wait(call, terms)
    assert clock() - reply.complete_at == pytest.approx(18.5)


# Guards against a host that takes an aggregator's answer for one of now.
def test_reply_of_an_aggregator_is_as_old_as_its_view(clock):
    watcher = build_watcher(clock)
    reply = store.Batch((build_item(6),), 6, age_s=2.0)
    watched = open_watch.OpenWatch(clock).wait(
        lambda terms: reply, watch_timing.WatchTerms(1.0, 1.5)
    )
    watcher._apply_reply(watched)
    assert watcher.view.get_age_s(clock()) == pytest.approx(2.0)


def test_older_word_does_not_make_the_view_older(clock):
    watcher = build_watcher(clock)
    watcher.view.confirm(clock())
    watcher._apply_reply(open_watch.WatchReply(store.Batch((), 4), clock() - 2.0))
    assert watcher.view.get_age_s(clock()) == pytest.approx(0.0)


class RelayServer(loopback.LoopbackServer):
    """Answers the calls of a host as an aggregator does."""

    def __init__(self, relay):
        self._relay = relay
        super().__init__()

    def handle_request(self, environ):
        body = self._relay.answer(environ["PATH_INFO"], environ["QUERY_STRING"])
        return ("200 OK", {}, body) if body else ("503 Busy", {}, b"")


def test_age_of_an_aggregators_view_reaches_the_host_behind_it(clock):
    view = builders.build_view()
    view.confirm(clock() - 1.5)
    history = change_history.ChangeHistory()
    history.restart(10, 0)
    relay = store_relay.StoreRelay(history, view, clock, max_view_age_s=2.0)
    server = RelayServer(relay)
    client = store.StoreClient(server.address)
    try:
        reply = client.watch_relay(10, 0, 0.01, 1.0)
    finally:
        client.close()
        server.stop()
    # The reply is older by its way, which is short here.
    assert 1.5 <= reply.age_s < 1.5 + ROUND_TRIP_S


@pytest.mark.parametrize("apply_delay_s", APPLY_DELAYS_S)
@pytest.mark.parametrize(
    "hops", [(Source.STORE,), (Source.STORE_FOR_AGGREGATOR, Source.AGGREGATOR)]
)
def test_change_applies_in_time_though_each_hop_loses_a_reply(apply_delay_s, hops):
    timing = watch_timing.WatchTiming(apply_delay_s)
    bound_s = sum(timing.get_max_age_s(hop) + ROUND_TRIP_S for hop in hops)
    assert bound_s < apply_delay_s


@pytest.mark.parametrize("apply_delay_s", APPLY_DELAYS_S)
def test_change_applies_in_time_though_two_watches_go_unanswered(apply_delay_s):
    timing = watch_timing.WatchTiming(apply_delay_s)
    overdue = timing.compute_terms(Source.STORE, timing.get_max_age_s(Source.STORE))
    bound_s = timing.get_max_age_s(Source.STORE) + overdue.timeout_s
    assert bound_s + 2 * ROUND_TRIP_S < apply_delay_s


@pytest.mark.parametrize("apply_delay_s", APPLY_DELAYS_S)
@pytest.mark.parametrize("source", Source)
def test_reply_is_due_at_the_same_age_whenever_the_watch_is_sent(apply_delay_s, source):
    timing = watch_timing.WatchTiming(apply_delay_s)
    if source is Source.AGGREGATOR:
        return
    interval_s = timing.get_interval_s(source)
    for age_s in itertools.takewhile(
        lambda age_s: age_s < interval_s - watch_timing.MIN_WAIT_S,
        itertools.count(0.0, 0.1),
    ):
        terms = timing.compute_terms(source, age_s)
        assert age_s + terms.timeout_s == pytest.approx(timing.get_max_age_s(source))


# Guards against an outage that the host makes itself, since a slow store is taken for
# one that answers no watch.
@pytest.mark.parametrize("apply_delay_s", APPLY_DELAYS_S)
@pytest.mark.parametrize("age_s", [0.0, 1.0, NEVER_S])
def test_reply_of_a_slow_store_is_waited_for(apply_delay_s, age_s):
    terms = watch_timing.WatchTiming(apply_delay_s).compute_terms(Source.STORE, age_s)
    assert terms.timeout_s - terms.wait_s > SLOW_REPLY_S
    assert terms.wait_s >= watch_timing.MIN_WAIT_S


# Guards against a host that asks its aggregator again without a pause, since the
# aggregator's view is older than the host wants its own to be.
@pytest.mark.parametrize("apply_delay_s", APPLY_DELAYS_S)
def test_host_waits_at_an_aggregator_whose_view_is_as_old_as_it_may_be(apply_delay_s):
    timing = watch_timing.WatchTiming(apply_delay_s)
    oldest_s = timing.get_max_age_s(Source.STORE_FOR_AGGREGATOR)
    terms = timing.compute_terms(Source.AGGREGATOR, oldest_s)
    assert terms.wait_s == timing.get_interval_s(Source.AGGREGATOR)
