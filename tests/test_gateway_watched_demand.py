"""Demand reports of other hosts, as the store watcher applies them.

Pattern: reports are written, lapse while the store is away, or are no reports at all.
"""

import random

from corianderrill import names
from corianderrill.gateway import (
    change_history,
    demand,
    demand_reporter,
    event_log,
    store_watcher,
    watch_timing,
)
from corianderrill.platform import documents, store
from tests.utils import fake_stores
from tests.utils import gateway_builders as builders

HOST = names.HostName("front-2")
KEY = store.Key("demand/front-2")
SERVICE = names.ServiceName("shard-1")


class ScriptedClient:
    """A store client that answers reads and watches in the given order."""

    def __init__(self, *batches):
        self.batches = list(batches)

    def read_range(self, prefix, after, allow_stale=False, timeout_s=None):
        return self.batches.pop(0)

    def watch(self, prefix, after, wait_s, timeout_s):
        return self.batches.pop(0)


class FakePools:
    def retain(self, addresses):
        pass


def build_item(revision, per_s=None, value=None):
    if per_s is not None:
        report = demand.DemandReport(HOST, builders.ZONE, {SERVICE: per_s})
        value = documents.encode_demand(report)
    return store.Item(KEY, revision, value)


def build_watcher(*batches):
    return store_watcher.StoreWatcher(
        ScriptedClient(*batches),
        builders.build_view(),
        FakePools(),
        builders.build_aggregator_directory(),
        builders.build_rate_limits(fake_stores.RecordingLog()),
        builders.ZONE,
        fake_stores.RecordingLog(),
        random.Random(1),
        change_history.ChangeHistory(),
        builders.build_quarantine(),
        timing=watch_timing.WatchTiming(batch_delay_ratio=0.0),
    )


def test_reports_are_applied_and_removed_with_their_keys():
    watcher = build_watcher(
        store.Batch((build_item(4, per_s=3.0),), 5),
        store.Batch((build_item(6),), 6),
    )
    watcher._read_all()
    assert watcher.limits.directory.list_hosts() == {HOST}
    watcher._watch_once()
    assert not watcher.limits.directory.list_hosts()


def test_report_that_lapsed_unseen_is_forgotten_when_all_keys_are_read_again():
    watcher = build_watcher(
        store.Batch((build_item(4, per_s=3.0),), 5), store.Batch((), 9)
    )
    watcher._read_all()
    watcher._read_all()
    assert not watcher.limits.directory.list_hosts()


def test_key_that_is_no_report_is_skipped_with_a_line_and_the_one_before_stays():
    watcher = build_watcher(
        store.Batch((build_item(4, per_s=3.0),), 5),
        store.Batch((build_item(6, value=b"{nonsense"),), 6),
    )
    watcher._read_all()
    watcher._watch_once()
    assert watcher.limits.directory.list_hosts() == {HOST}
    (skipped,) = watcher.log.list_of(event_log.EntrySkipped)
    assert skipped.key == KEY


# Guards against dividing the share of a host that does not know yet that a restored
# store has lost its report.
def test_report_that_a_restored_store_lacks_counts_until_its_lease_has_run_out():
    watcher = build_watcher(
        store.Batch((build_item(4, per_s=3.0),), 5, 1), store.Batch((), 3, 2)
    )
    now = 10.0
    watcher.clock = lambda: now
    watcher._read_all()
    watcher._read_all()
    now += demand_reporter.LEASE_TTL_S - 0.1
    watcher.drop_expired()
    assert watcher.limits.directory.list_hosts() == {HOST}
    now += 0.2
    watcher.drop_expired()
    assert not watcher.limits.directory.list_hosts()


def test_report_that_is_published_again_after_the_restore_stays():
    watcher = build_watcher(
        store.Batch((build_item(4, per_s=3.0),), 5, 1),
        store.Batch((), 3, 2),
        store.Batch((build_item(4, per_s=7.0),), 4, 2),
    )
    now = 10.0
    watcher.clock = lambda: now
    watcher._read_all()
    watcher._read_all()
    watcher._watch_once()
    now += 10 * demand_reporter.LEASE_TTL_S
    watcher.drop_expired()
    assert watcher.limits.directory.list_hosts() == {HOST}
