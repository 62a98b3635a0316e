"""Detection of a watch that the store will never answer.

Pattern: the store, or only the connection of the watch, falls silent while it stays
open; changes that are made meanwhile or later must still reach the host.
"""

import random

import eventlet
import pytest

from corianderrill.gateway import (
    change_history,
    event_log,
    store_eras,
    store_probe,
    store_watcher,
    watch_timing,
)
from corianderrill.platform import store
from tests.utils import fake_stores
from tests.utils import gateway_builders as builders

APPLY_DELAY_S = 0.25
TIMEOUT_S = 5.0
# Long enough that a held-up test does not count as a late change.
SLOW_APPLY_DELAY_S = 1.5


class FakeClient:
    """A store client whose watches end without changes, or tell of a newer revision.

    While `is_silent` is set, calls fail after a read timeout. A watch that was opened
    before `revision` was raised, or while `are_watches_silent` is set, stays without a
    reply. Stale reads show `stale_revision` unless it is None.
    """

    is_watch_answered = False

    def __init__(self):
        self.revision = 5
        self.is_silent = False
        self.are_watches_silent = False
        self.are_watches_reset = False
        self.era = 1
        self.stale_revision = None
        self.are_current_reads_failing = False
        self.watches = []
        self.probe_count = 0

    def _fail_if_silent(self):
        if self.is_silent:
            eventlet.sleep(0.05)
            raise store.StoreError(store.FailureKind.UNREACHABLE, "ReadTimeoutError")

    def read_range(self, prefix, after, allow_stale=False, timeout_s=None):
        self._fail_if_silent()
        return store.Batch((), self.revision, self.era)

    def probe_revision(self):
        self.probe_count += 1
        self._fail_if_silent()
        revision = self.stale_revision or self.revision
        return store.Batch((), revision, self.era)

    def read_revision(self):
        self._fail_if_silent()
        if self.are_current_reads_failing:
            raise store.StoreError(store.FailureKind.UNREACHABLE, "reset")
        return store.Batch((), self.revision, self.era)

    def watch(self, prefix, after, wait_s, timeout_s):
        self._fail_if_silent()
        self.watches.append(after)
        if self.are_watches_reset:
            eventlet.sleep(0.01)
            raise store.StoreError(store.FailureKind.UNREACHABLE, "reset")
        if self.are_watches_silent:
            # One long sleep: a loop would outlast the test.
            eventlet.sleep(timeout_s)
            raise store.StoreError(store.FailureKind.SILENT, "no reply")
        revision = self.revision
        if after >= revision:
            eventlet.sleep(wait_s)
        if self.revision != revision:
            eventlet.sleep(timeout_s - wait_s)
            raise store.StoreError(store.FailureKind.SILENT, "no reply")
        return store.Batch((), revision, self.era)


class FakePools:
    def retain(self, addresses):
        pass


class Watched:
    """A running watcher and its probe against a fake store client."""

    def __init__(self, apply_delay_s=APPLY_DELAY_S):
        self.client = FakeClient()
        self.log = fake_stores.RecordingLog()
        self.view = builders.build_view()
        rng = random.Random(1)
        self.watcher = store_watcher.StoreWatcher(
            self.client,
            self.view,
            FakePools(),
            builders.build_aggregator_directory(),
            builders.build_rate_limits(self.log),
            builders.ZONE,
            self.log,
            rng,
            change_history.ChangeHistory(),
            builders.build_quarantine(),
            timing=watch_timing.WatchTiming(apply_delay_s, batch_delay_ratio=0.0),
        )
        self.probe = store_probe.StoreProbe(self.watcher, rng)
        self.threads = [
            eventlet.spawn(self.watcher.run),
            eventlet.spawn(self.probe.run),
        ]

    def wait_until(self, condition):
        with eventlet.Timeout(TIMEOUT_S):
            while not condition():
                eventlet.sleep(0.01)

    def wait_until_watching(self):
        self.wait_until(lambda: self.watcher.watching_since is not None)

    def stop(self):
        for thread in self.threads:
            thread.kill()


@pytest.fixture
def watched(monkeypatch):
    monkeypatch.setattr(store_probe, "WATCH_REPLY_GRACE_S", 0.05)
    running = Watched()
    running.wait_until(running.view.was_confirmed)
    running.wait_until_watching()
    yield running
    running.stop()


@pytest.fixture
def slowly_watched():
    running = Watched(SLOW_APPLY_DELAY_S)
    running.wait_until(running.view.was_confirmed)
    running.wait_until_watching()
    yield running
    running.stop()


def test_store_that_falls_silent_is_noticed_and_the_age_of_its_last_reply_logged(
    watched,
):
    watched.client.is_silent = True
    watched.wait_until(lambda: watched.log.list_of(event_log.StoreLost))
    lost = watched.log.list_of(event_log.StoreLost)[0]
    assert lost.silent_ms >= 1000 * 0.8 * watched.probe.get_interval_s()


def test_change_made_in_an_outage_is_applied_once_the_store_answers_again(watched):
    watched.client.is_silent = True
    watched.wait_until(lambda: watched.log.list_of(event_log.StoreLost))
    watched.client.revision = 9
    watched.client.is_silent = False
    watched.wait_until(lambda: watched.watcher.revision == 9)
    assert watched.log.list_of(event_log.StoreReturned)


def test_watch_whose_connection_alone_is_silent_is_sent_again(watched):
    watched.client.revision = 7
    watched.wait_until(lambda: watched.watcher.revision == 7)
    assert watched.client.watches[-1] >= 5


# Guards against hosts that stay at one version for minutes: the store answered reads
# and probes, but no watch, and each silent watch was followed by another one.
def test_changes_arrive_while_the_store_answers_no_watch(watched):
    watched.client.are_watches_silent = True
    for _ in range(3):
        watched.client.revision += 1
        watched.wait_until(lambda: watched.watcher.revision == watched.client.revision)
    watched.view.max_unconfirmed_s = 4 * APPLY_DELAY_S
    assert watched.view.is_current(watched.watcher.clock())
    assert watched.log.list_of(event_log.WatchSilent)


# Guards against the same for a store that ends each watch and answers all else.
def test_changes_arrive_while_the_store_resets_each_watch(watched):
    watched.client.are_watches_reset = True
    for _ in range(3):
        watched.client.revision += 1
        watched.wait_until(lambda: watched.watcher.revision == watched.client.revision)


# Guards against an outage that is none: the store has nothing to tell.
def test_store_without_changes_is_watched_on_while_it_answers_probes(watched):
    probe_count = watched.client.probe_count
    watched.wait_until(lambda: watched.client.probe_count >= probe_count + 3)
    assert not watched.log.list_of(event_log.StoreLost)
    assert not watched.log.list_of(event_log.WatchSilent)
    assert set(watched.client.watches) == {5}


# Guards against watches that follow each other as fast as they are answered.
def test_watches_without_changes_follow_each_other_at_the_interval(watched):
    watch_count = len(watched.client.watches)
    source = watch_timing.Source.STORE
    interval_s = watched.watcher.timing.get_interval_s(source)
    eventlet.sleep(5 * interval_s)
    assert len(watched.client.watches) - watch_count <= 6


def test_watch_that_ends_without_changes_confirms_the_view(watched):
    confirmed_at = watched.view.confirmed_at
    watched.wait_until(lambda: watched.view.confirmed_at > confirmed_at)


# Guards against a view that stale reads confirm: they show that the store answers.
def test_probe_of_an_answering_store_confirms_nothing(watched):
    watched.client.are_watches_silent = True
    watched.client.are_current_reads_failing = True
    watched.wait_until(lambda: watched.log.list_of(event_log.WatchSilent))
    confirmed_at = watched.view.confirmed_at
    probe_count = watched.client.probe_count
    watched.wait_until(lambda: watched.client.probe_count >= probe_count + 3)
    assert watched.view.confirmed_at == confirmed_at


# Guards against hosts that stay at one version while stale reads show that version.
def test_changes_arrive_in_time_while_no_watch_is_answered_and_probes_are_old(
    slowly_watched,
):
    slowly_watched.client.are_watches_silent = True
    slowly_watched.client.stale_revision = slowly_watched.client.revision
    for _ in range(2):
        slowly_watched.client.revision += 1
        changed_at = slowly_watched.watcher.clock()
        slowly_watched.wait_until(
            lambda: slowly_watched.watcher.revision == slowly_watched.client.revision
        )
        assert slowly_watched.watcher.clock() - changed_at <= SLOW_APPLY_DELAY_S


def test_change_of_a_lost_reply_arrives_in_time_while_probes_are_old(
    slowly_watched,
):
    for _ in range(2):
        slowly_watched.wait_until_watching()
        slowly_watched.client.stale_revision = slowly_watched.client.revision
        slowly_watched.client.revision += 1
        changed_at = slowly_watched.watcher.clock()
        slowly_watched.wait_until(
            lambda: slowly_watched.watcher.revision == slowly_watched.client.revision
        )
        assert slowly_watched.watcher.clock() - changed_at <= SLOW_APPLY_DELAY_S


def test_current_reads_confirm_the_view_while_no_watch_is_answered(watched):
    watched.client.are_watches_silent = True
    watched.wait_until(lambda: watched.log.list_of(event_log.WatchSilent))
    confirmed_at = watched.view.confirmed_at
    watched.wait_until(lambda: watched.view.confirmed_at > confirmed_at)
    assert not watched.log.list_of(event_log.StoreLost)


# Guards against a view that the first, cheap call after an outage confirms.
def test_probe_after_an_outage_confirms_nothing(watched):
    watched.client.is_silent = True
    watched.wait_until(lambda: watched.log.list_of(event_log.StoreLost))
    confirmed_at = watched.view.confirmed_at
    watched.client.are_watches_silent = True
    watched.client.are_current_reads_failing = True
    watched.client.is_silent = False
    probe_count = watched.client.probe_count
    watched.wait_until(lambda: watched.client.probe_count >= probe_count + 3)
    assert watched.view.confirmed_at == confirmed_at


def test_view_is_no_longer_current_when_the_store_stays_silent(watched):
    watched.view.max_unconfirmed_s = 0.2
    assert watched.view.is_current(watched.watcher.clock())
    watched.client.is_silent = True
    watched.wait_until(lambda: not watched.view.is_current(watched.watcher.clock()))


def test_check_on_request_probes_at_once(watched):
    watched.probe.interval_ratio = 600.0
    eventlet.sleep(0.15)
    probe_count = watched.client.probe_count
    watched.probe.check()
    assert watched.client.probe_count == probe_count + 1


# Guards against confirming a revision that a restored store counts anew.
def test_probe_that_names_a_new_era_makes_the_host_read_all_keys_again(watched):
    watched.client.era, watched.client.revision = 2, 3
    watched.wait_until(lambda: watched.watcher.era == 2)
    assert watched.watcher.revision == 3
    assert watched.log.list_of(event_log.StoreRestored)[0].before == 1
    watched.wait_until(lambda: watched.client.watches[-1] == 3)


def test_probe_reply_from_before_the_restore_confirms_nothing(watched):
    watched.client.era = 2
    watched.wait_until(lambda: watched.watcher.era == 2)
    watched.wait_until_watching()
    confirmed_at = watched.view.confirmed_at
    watched.watcher.record_probe(store.Batch((), 1, 1))
    assert watched.view.confirmed_at == confirmed_at


# Guards against hosts that stay at one version for good, since a store that began to
# count its eras anew is taken for one that is late.
def test_store_whose_era_stays_lower_is_followed_after_a_while(watched, monkeypatch):
    monkeypatch.setattr(store_eras, "MAX_OUTDATED_S", 0.3)
    watched.client.era, watched.client.revision = 3, 8
    watched.wait_until(lambda: watched.watcher.era == 3)
    watched.client.era, watched.client.revision = 1, 20
    watched.wait_until(lambda: watched.watcher.era == 1)
    assert watched.watcher.revision == 20


def test_replies_of_a_lower_era_are_refused_for_a_while(watched):
    watched.client.era, watched.client.revision = 3, 8
    watched.wait_until(lambda: watched.watcher.era == 3)
    watched.client.era, watched.client.revision = 1, 20
    eventlet.sleep(1.0)
    assert (watched.watcher.era, watched.watcher.revision) == (3, 8)


def test_page_of_a_later_era_than_the_first_one_is_not_mixed_with_it(watched):
    pages = [store.Batch((), 4, 2, has_more=False), store.Batch((), 9, 1, True)]
    watched.client.read_range = lambda *_: pages.pop()
    item = store.Item(store.Key("a"), 9, b"v")
    pages[-1] = store.Batch((item,), 9, 1, True)
    with pytest.raises(store.StoreError) as error:
        watched.watcher._read_all()
    assert error.value.kind is store.FailureKind.RESTORED
    assert watched.watcher.era == 1


# Guards against a probe that ends a watch whose reply is under way, and so has all of
# it sent again.
def test_probes_leave_a_watch_alone_whose_reply_is_under_way(watched):
    client = watched.client
    way_s = 8 * watched.probe.get_interval_s()
    watches = []

    def watch(prefix, after, wait_s, timeout_s):
        watches.append(after)
        client.is_watch_answered = True
        eventlet.sleep(way_s)
        return store.Batch((), 9, client.era)

    client.watch = watch
    watched.wait_until(lambda: watches)
    client.revision = 9
    watched.wait_until(lambda: watched.watcher.revision == 9)
    assert watches[0] == 5
    assert not watched.log.list_of(event_log.WatchSilent)
