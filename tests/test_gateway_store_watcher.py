"""The delay before the store watcher sends its next watch."""

import json
import random

import pytest

from corianderrill.gateway import change_history, open_watch, store_watcher
from corianderrill.platform import documents, store
from tests.utils import gateway_builders as builders
from tests.utils import gateway_rig

BATCH_DELAY_S = 1.5


class FakeClient:
    """A store client whose watches return the given numbers of changes in turn."""

    def __init__(self, *change_counts, way_s=0.0):
        self.counts = list(change_counts)
        self.way_s = way_s

    def watch(self, prefix, after, wait_s, timeout_s):
        count = self.counts.pop(0)
        items = tuple(
            store.Item(store.Key(f"servers/i-{number}"), after + number + 1, None)
            for number in range(count)
        )
        return store.Batch(items, after + count, age_s=self.way_s)


class FakePools:
    def retain(self, addresses):
        pass


class FakeLog:
    def record(self, record):
        pass


def build_watcher(client):
    return store_watcher.StoreWatcher(
        client,
        builders.build_view(),
        FakePools(),
        builders.build_aggregator_directory(),
        builders.build_rate_limits(FakeLog()),
        builders.ZONE,
        FakeLog(),
        random.Random(1),
        change_history.ChangeHistory(),
        builders.build_quarantine(),
    )


def record_sleeps(monkeypatch, *counts, was_confirmed=True, way_s=0.0):
    sleeps = []
    monkeypatch.setattr(store_watcher.eventlet, "sleep", sleeps.append)
    watcher = build_watcher(FakeClient(*counts, way_s=way_s))
    watcher.timing.batch_delay_ratio = BATCH_DELAY_S / watcher.timing.max_apply_delay_s
    if was_confirmed:
        watcher.view.confirm(watcher.clock())
    for _ in counts:
        watcher._watch_once()
    return sleeps


@pytest.mark.parametrize("count", [1, 20])
def test_batch_delay_follows_a_few_changes(monkeypatch, count):
    assert record_sleeps(monkeypatch, count) == [BATCH_DELAY_S]


# Guards against a series of great configurations whose last one waits for the delay and
# for the way of those before it, one after the other.
@pytest.mark.parametrize(("way_s", "delay_s"), [(1.2, 0.3), (4.0, 0.0)])
def test_batch_delay_counts_from_the_start_of_the_reply(monkeypatch, way_s, delay_s):
    sleeps = record_sleeps(monkeypatch, 1, way_s=way_s)
    assert sleeps == pytest.approx([delay_s])


def test_full_batches_of_a_backlog_are_read_without_delay(monkeypatch):
    assert record_sleeps(monkeypatch, 500, 500, 3) == [BATCH_DELAY_S]


def test_watch_without_changes_is_sent_again_without_delay(monkeypatch):
    assert record_sleeps(monkeypatch, 0, 0) == []


def test_batch_delay_follows_the_first_watch_of_a_host_though_nothing_has_changed(
    monkeypatch,
):
    assert record_sleeps(monkeypatch, 0, 0, was_confirmed=False) == [BATCH_DELAY_S]


def build_configuration_item(revision, value=None):
    if value is None:
        value = json.dumps(gateway_rig.build_configuration(revision)).encode()
    return store.Item(store.Key(documents.CONFIGURATION_KEY), revision, value)


def list_passed_on(*items):
    """Return the revisions that hosts behind this one get, of one reply's changes."""
    watcher = build_watcher(FakeClient())
    reply = store.Batch(items, items[-1].revision)
    watcher._apply_reply(open_watch.WatchReply(reply, watcher.clock()))
    return [item.revision for item in watcher.history.list_after(0)]


# Guards against a series of great configurations that an aggregator passes on in full,
# to each host behind it, for seconds.
def test_only_the_last_configuration_of_a_series_is_passed_on():
    server = store.Item(store.Key("servers/i-1"), 5, None)
    series = [build_configuration_item(revision) for revision in (4, 6, 7)]
    assert list_passed_on(series[0], server, *series[1:]) == [5, 7]


def test_configuration_in_force_is_passed_on_though_an_invalid_one_follows():
    valid = [build_configuration_item(revision) for revision in (4, 5)]
    assert list_passed_on(*valid, build_configuration_item(6, b"{")) == [5, 6]
