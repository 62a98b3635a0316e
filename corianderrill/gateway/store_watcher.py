"""Keeps the view current: reads the store once, then follows what changes."""

import dataclasses
import random
import time
from collections.abc import Callable

import eventlet

from corianderrill.gateway import event_log, pools, view
from corianderrill.platform import documents, store

WATCH_S = 25.0
# The first watch after a failure shows soon that the store is back.
WATCH_AFTER_FAILURE_S = 0.5
# Changes that come in quick succession are taken in with one call, a part of the
# time within which a host has to follow them; a larger one where many hosts watch.
GATHER_SHARE = 0.3
GATHER_SHARE_A_HOST = 0.004
GATHER_SHARE_MOST = 0.55
# The store answers a watch with some hundred changes at most; there may be more.
BACKLOG_CHANGES = 100
BACKOFF_BASE_S = 0.15
BACKOFF_MAX_S = 0.5
# A short silence is no outage: nothing lapses in it.
AWAY_AT_LEAST_S = 0.8
ALL_KEYS = ""


@dataclasses.dataclass(slots=True)
class StoreWatcher:
    """Follows the store for one host."""

    client: store.StoreClient
    view: view.View
    pools: pools.Pools
    log: event_log.EventLog
    rng: random.Random
    batch_delay_s: float = 0.5
    clock: Callable[[], float] = time.monotonic
    revision: view.StoreRevision = view.StoreRevision(0)
    outage_started_at: float | None = None
    last_reply_at: float = 0.0
    _failures: int = 0

    def set_propagation_bound(self, bound_s: float, hosts: float) -> None:
        """Set the time within which a change has to be in force, and who watches."""
        share = min(GATHER_SHARE + GATHER_SHARE_A_HOST * hosts, GATHER_SHARE_MOST)
        self.batch_delay_s = share * bound_s

    def run(self) -> None:
        """Read and watch until the process ends."""
        is_current = False
        while True:
            try:
                if is_current:
                    self._watch_once()
                else:
                    self._read_all()
                    is_current = True
            except store.StoreError as error:
                is_current = is_current and error.kind in (
                    store.FailureKind.UNREACHABLE,
                    store.FailureKind.BUSY,
                )
                self._note_failure(error)

    def _read_all(self) -> None:
        """Read every key; what changes meanwhile comes with the first watch."""
        # At a start, the first watch tells what an older copy lacks.
        may_be_old = not self.revision
        batch = self.client.read_range(ALL_KEYS, None, may_be_old)
        self._note_success()
        first_at = batch.revision
        items = list(batch.items)
        while batch.has_more and batch.items:
            last = batch.items[-1].key
            batch = self.client.read_range(ALL_KEYS, last, may_be_old)
            first_at = min(first_at, batch.revision)
            items += batch.items
        now = self.clock()
        self._take(items, now)
        seen = {
            documents.parse_instance_id(item.key)
            for item in items
            if item.key.startswith(documents.SERVER_KEY_PREFIX)
        }
        for instance in self.view.list_instances() - seen:
            self._withdraw(instance, first_at, now)
        self.revision = first_at
        self._retain_pools()

    def _watch_once(self) -> None:
        wait_s = WATCH_S if self.outage_started_at is None else WATCH_AFTER_FAILURE_S
        batch = self.client.watch(ALL_KEYS, self.revision, wait_s)
        self._note_success()
        self._take(batch.items, self.clock())
        self.revision = view.StoreRevision(max(self.revision, batch.revision))
        if batch.items:
            self._retain_pools()
        if 0 < len(batch.items) < BACKLOG_CHANGES:
            eventlet.sleep(self.batch_delay_s)

    def _note_success(self) -> None:
        now = self.clock()
        self._failures = 0
        self.last_reply_at = now
        if self.outage_started_at is None:
            return
        away_s = now - self.outage_started_at
        self.outage_started_at = None
        if away_s >= AWAY_AT_LEAST_S:
            self.view.record_store_recovery(now)
        self.log.record(event_log.StoreReturned(round(1000 * away_s), self.revision))

    def _note_failure(self, error: store.StoreError) -> None:
        now = self.clock()
        if error.kind is store.FailureKind.HISTORY_LOST:
            self.log.record(event_log.HistoryLost(self.revision))
            return
        if self.outage_started_at is None:
            self.outage_started_at = now
            self.log.record(
                event_log.StoreLost(error.kind.value, str(error), self.revision)
            )
        backoff_s = min(BACKOFF_BASE_S * 2**self._failures, BACKOFF_MAX_S)
        self._failures = min(self._failures + 1, 8)
        eventlet.sleep(backoff_s * (0.5 + self.rng.random()))

    # What was read.

    def _take(self, items: list[store.Item], now: float) -> None:
        for item in items:
            if item.key == documents.CONFIGURATION_KEY:
                self._take_configuration(item)
            elif item.key.startswith(documents.SERVER_KEY_PREFIX):
                self._take_entry(item, now)

    def _take_configuration(self, item: store.Item) -> None:
        if item.value is None:
            self._skip(item, "removed; the last configuration stays in force")
            return
        try:
            configuration = documents.decode_configuration(item.value)
        except documents.DocumentError as error:
            self._skip(item, str(error))
            return
        before = self.view.configuration
        change = self.view.apply_configuration(configuration)
        self.log.record(
            event_log.ConfigurationSeen(
                version=configuration.version,
                revision=item.revision,
                before=None if before is None else before.version,
                outcome=change.value,
            )
        )

    def _take_entry(self, item: store.Item, now: float) -> None:
        instance = documents.parse_instance_id(item.key)
        if item.value is None:
            self._withdraw(instance, item.revision, now)
            return
        try:
            registration = documents.decode_registration(item.key, item.value)
        except documents.DocumentError as error:
            self._skip(item, str(error))
            self._withdraw(instance, item.revision, now)
            return
        change = self.view.apply_registration(registration, item.revision, now)
        self.log.record(
            event_log.ReplicaSeen(
                replica=instance,
                service=registration.service,
                state=registration.state.value,
                revision=item.revision,
                outcome=change.value,
            )
        )

    def _withdraw(
        self,
        instance: str,
        revision: view.StoreRevision,
        now: float,
    ) -> None:
        change = self.view.apply_removal(instance, revision, now)
        self.log.record(
            event_log.ReplicaSeen(instance, "", "removed", revision, change.value)
        )

    def _skip(self, item: store.Item, reason: str) -> None:
        self.log.record(event_log.EntrySkipped(item.key, item.revision, reason[:300]))

    def _retain_pools(self) -> None:
        self.pools.retain(self.view.list_addresses())

    def drop_expired_replicas(self) -> None:
        """Drop the replicas whose spare time is over."""
        for instance in self.view.drop_expired(self.clock()):
            self.log.record(
                event_log.ReplicaSeen(instance, "", "gone", self.revision, "dropped")
            )
