"""Keeps the view current: reads the store once, then follows what changes."""

import dataclasses
import random
import time
from collections.abc import Callable

import eventlet

from corianderrill.gateway import decisions, pools, view
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
class Follower:
    """Follows the store for one host."""

    client: store.StoreClient
    view: view.View
    pools: pools.PoolManager
    log: decisions.Log
    rng: random.Random
    gather_s: float = 0.5
    clock: Callable[[], float] = time.monotonic
    revision: view.StoreRevision = view.StoreRevision(0)
    away_since: float | None = None
    answered_at: float = 0.0
    _failures: int = 0

    def follow_within(self, bound_s: float, hosts: float) -> None:
        """Set the time within which a change has to be in force, and who watches."""
        share = min(GATHER_SHARE + GATHER_SHARE_A_HOST * hosts, GATHER_SHARE_MOST)
        self.gather_s = share * bound_s

    def follow(self) -> None:
        """Read and watch until the process ends."""
        is_current = False
        while True:
            try:
                if is_current:
                    self._watch()
                else:
                    self._read_all()
                    is_current = True
            except store.StoreError as error:
                is_current = is_current and error.fault in (
                    store.Fault.UNREACHABLE,
                    store.Fault.BUSY,
                )
                self._note_failure(error)

    def _read_all(self) -> None:
        """Read every key; what changes meanwhile comes with the first watch."""
        # At a start, the first watch tells what an older copy lacks.
        may_be_old = not self.revision
        batch = self.client.read_range(ALL_KEYS, None, may_be_old)
        self._note_success()
        first_at = batch.at
        items = list(batch.items)
        while batch.has_more and batch.items:
            last = batch.items[-1].key
            batch = self.client.read_range(ALL_KEYS, last, may_be_old)
            first_at = min(first_at, batch.at)
            items += batch.items
        now = self.clock()
        self._take(items, now)
        seen = {
            documents.read_instance(item.key)
            for item in items
            if item.key.startswith(documents.REPLICA_PREFIX)
        }
        for instance in self.view.list_instances() - seen:
            self._withdraw(instance, first_at, now)
        self.revision = first_at
        self._retain_pools()

    def _watch(self) -> None:
        wait_s = WATCH_S if self.away_since is None else WATCH_AFTER_FAILURE_S
        batch = self.client.watch(ALL_KEYS, self.revision, wait_s)
        self._note_success()
        self._take(batch.items, self.clock())
        self.revision = view.StoreRevision(max(self.revision, batch.at))
        if batch.items:
            self._retain_pools()
        if 0 < len(batch.items) < BACKLOG_CHANGES:
            eventlet.sleep(self.gather_s)

    def _note_success(self) -> None:
        now = self.clock()
        self._failures = 0
        self.answered_at = now
        if self.away_since is None:
            return
        away_s = now - self.away_since
        self.away_since = None
        if away_s >= AWAY_AT_LEAST_S:
            self.view.note_store_returned(now)
        self.log.record(decisions.StoreReturned(round(1000 * away_s), self.revision))

    def _note_failure(self, error: store.StoreError) -> None:
        now = self.clock()
        if error.fault is store.Fault.HISTORY_LOST:
            self.log.record(decisions.HistoryLost(self.revision))
            return
        if self.away_since is None:
            self.away_since = now
            self.log.record(
                decisions.StoreLost(error.fault.value, str(error), self.revision)
            )
        backoff_s = min(BACKOFF_BASE_S * 2**self._failures, BACKOFF_MAX_S)
        self._failures = min(self._failures + 1, 8)
        eventlet.sleep(backoff_s * (0.5 + self.rng.random()))

    # What was read.

    def _take(self, items: list[store.Item], now: float) -> None:
        for item in items:
            if item.key == documents.CONFIGURATION_KEY:
                self._take_configuration(item)
            elif item.key.startswith(documents.REPLICA_PREFIX):
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
            decisions.ConfigurationSeen(
                version=configuration.version,
                revision=item.revision,
                before=None if before is None else before.version,
                outcome=change.value,
            )
        )

    def _take_entry(self, item: store.Item, now: float) -> None:
        instance = documents.read_instance(item.key)
        if item.value is None:
            self._withdraw(instance, item.revision, now)
            return
        try:
            registration = documents.decode_registration(item.key, item.value)
        except documents.DocumentError as error:
            self._skip(item, str(error))
            self._withdraw(instance, item.revision, now)
            return
        change = self.view.register(registration, item.revision, now)
        self.log.record(
            decisions.ReplicaSeen(
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
        change = self.view.withdraw(instance, revision, now)
        self.log.record(
            decisions.ReplicaSeen(instance, "", "removed", revision, change.value)
        )

    def _skip(self, item: store.Item, reason: str) -> None:
        self.log.record(decisions.EntrySkipped(item.key, item.revision, reason[:300]))

    def _retain_pools(self) -> None:
        self.pools.retain(self.view.list_addresses())

    def tidy(self) -> None:
        """Drop the replicas whose spare time is over."""
        for instance in self.view.advance(self.clock()):
            self.log.record(
                decisions.ReplicaSeen(instance, "", "gone", self.revision, "dropped")
            )
