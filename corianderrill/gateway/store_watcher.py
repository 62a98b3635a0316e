"""Watches the platform's store and applies its changes to the view of a host.

The watcher reads all keys once, then sends long-poll watches from the revision it
has reached. It reads all keys again when the store no longer has the history, or when
the era of a reply tells that the store has come back from an older copy. `watch_timing`
decides when the reply to a watch is missing; `store_probe` interrupts a watch sooner
when the store does not answer at all.

Only replies that the store does not allow to be stale confirm the view.

Where an aggregator of the zone answers watches, the watcher sends them there, and to
the store when no aggregator does.
"""

import dataclasses
import functools
import random
from collections.abc import Callable

import eventlet

from corianderrill import names
from corianderrill.gateway import (
    aggregators,
    change_history,
    evacuation_records,
    event_log,
    loop,
    open_watch,
    pools,
    quarantine,
    rate_limits,
    store_changes,
    store_eras,
    view,
    watch_timing,
)
from corianderrill.platform import documents, store

# The store limits a watch reply to a few hundred changes. A reply with this many or
# more may be incomplete, so the next watch is sent without delay.
MIN_BACKLOG_CHANGES = 100
BACKOFF_BASE_S = 0.15
BACKOFF_MAX_S = 0.5
# In an outage shorter than this, no registration lapses. After a longer one, removals
# are not trusted for `view.RECOVERY_GRACE_S`.
MIN_LAPSE_OUTAGE_S = 0.8
ALL_KEYS_PREFIX = ""
# After so many watches in a row that failed, the store may answer none.
MIN_FAILED_WATCHES = 2

# The changes since the revision are asked for again; after others all keys are read.
_KEEPS_REVISION = (
    store.FailureKind.UNREACHABLE,
    store.FailureKind.BUSY,
    store.FailureKind.OUTDATED,
    store.FailureKind.SILENT,
)


@dataclasses.dataclass(slots=True)
class StoreWatcher:
    """Keeps the view of one host current with the store.

    `revision` is the revision, in `era`, up to which changes are applied.
    `outage_started_at` and `last_reply_at` are times of `clock`; the first is the time
    of the last reply before the outage. `watched_client` is the client that the open
    watch, or the last one, was sent with.
    """

    client: store.StoreClient
    view: view.View
    pools: pools.PoolManager
    aggregators: aggregators.AggregatorDirectory
    limits: rate_limits.RateLimits
    zone: names.ZoneName
    log: event_log.EventLog
    rng: random.Random
    history: change_history.ChangeHistory
    quarantine: quarantine.Quarantine
    timing: watch_timing.WatchTiming = dataclasses.field(
        default_factory=watch_timing.WatchTiming
    )
    clock: Callable[[], float] = loop.read_clock
    revision: view.StoreRevision = view.StoreRevision(0)
    outage_started_at: float | None = None
    last_reply_at: float = 0.0
    watched_client: store.StoreClient | None = None
    _consecutive_failures: int = 0
    _eras: store_eras.EraMonitor = dataclasses.field(
        default_factory=store_eras.EraMonitor
    )
    # Watches of the store that failed since one was answered.
    _failed_watches: int = 0
    _open_watch: open_watch.OpenWatch = dataclasses.field(init=False)
    _changes: store_changes.StoreChanges = dataclasses.field(init=False)
    _relay_clients: dict[names.Address, store.StoreClient] = dataclasses.field(
        default_factory=dict
    )

    @property
    def era(self) -> view.StoreEra:
        """The era of `revision`."""
        return self._changes.era

    @property
    def watching_since(self) -> float | None:
        """When the open watch was sent, a time of `clock`; None unless one is open."""
        return self._open_watch.opened_at

    def __post_init__(self) -> None:
        self._open_watch = open_watch.OpenWatch(self.clock)
        self._changes = store_changes.StoreChanges(
            self.view, self.aggregators, self.limits, self.quarantine, self.log
        )
        self.last_reply_at = self.clock()

    def run(self) -> None:
        """Read all keys and watch for changes; return only by an unexpected error."""
        is_current = False
        while True:
            try:
                if is_current:
                    self._watch_once()
                else:
                    self._read_all()
                    is_current = True
            except store.StoreError as error:
                is_current = is_current and error.kind in _KEEPS_REVISION
                self._handle_failure(error)
                is_lower = self._eras.is_lower_for_good(self.clock())
                is_current = is_current and not is_lower

    def _read_all(self) -> None:
        """Read all keys and remove the replicas that have no entry.

        The next watch starts at the oldest revision of the pages that were read, so it
        returns all changes made meanwhile.
        """
        # Only the read at startup may be stale. The first watch returns newer changes
        # at once, and confirms the view.
        allow_stale = not self.revision
        timeout_s = self.timing.get_read_timeout_s()
        batch = self.client.read_range(ALL_KEYS_PREFIX, None, allow_stale, timeout_s)
        era = batch.era
        self._refuse_outdated(era)
        self._record_reply()
        read_at = self.clock() - batch.age_s
        oldest_revision = batch.revision
        items = list(batch.items)
        while batch.has_more and batch.items:
            last_key = batch.items[-1].key
            batch = self.client.read_range(
                ALL_KEYS_PREFIX, last_key, allow_stale, timeout_s
            )
            if batch.era != era:
                raise store_eras.describe_era(batch.era, era)
            oldest_revision = min(oldest_revision, batch.revision)
            items += batch.items
        now = self.clock()
        is_restored = self._enter_era(era, now)
        self._changes.apply(items, now)
        self._changes.remove_unlisted(items, oldest_revision, now, is_restored)
        self.revision = oldest_revision
        self.history.restart(oldest_revision, era)
        if not allow_stale:
            self.view.confirm(read_at)
        self._retain_pools()

    def _watch_once(self) -> None:
        now = self.clock()
        relay = self.aggregators.select_relay(self.zone, now, self.rng)
        if relay is None:
            self._watch_store()
            return
        source = watch_timing.Source.AGGREGATOR
        try:
            reply = self._wait_for_changes(self._get_relay_client(relay), source)
        except store.StoreError as error:
            if error.kind is store.FailureKind.RESTORED:
                raise
            now = self.clock()
            self.aggregators.record_relay_failure(relay, now)
            self.log.record(
                event_log.RelayLost(
                    relay.host,
                    str(error),
                    self.revision,
                    self.era,
                    self.view.get_age_ms(now),
                )
            )
            return
        self._apply_reply(reply)

    def _get_relay_client(self, relay: aggregators.Aggregator) -> store.StoreClient:
        client = self._relay_clients.get(relay.address)
        if client is None:
            client = self._relay_clients[relay.address] = store.StoreClient(
                relay.address
            )
        return client

    def _watch_store(self) -> None:
        if self._failed_watches >= MIN_FAILED_WATCHES:
            if not self._confirm_by_read():
                self._read_all()
                self._failed_watches = MIN_FAILED_WATCHES - 1
                return
        elif self.outage_started_at is not None:
            self._probe_after_failure()
        source = self._get_store_source()
        is_first = not self.view.was_confirmed()
        self._failed_watches += 1
        reply = self._wait_for_changes(self.client, source)
        self._failed_watches = 0
        self._apply_reply(reply)
        change_count = len(reply.changes.items)
        # Where many hosts start, changes soon follow.
        if change_count < MIN_BACKLOG_CHANGES and (change_count or is_first):
            delay_s = self.timing.compute_batch_delay_s(source)
            # Of a reply that was long on its way, what follows has waited already.
            eventlet.sleep(max(delay_s - reply.changes.age_s, 0.0))

    def _get_store_source(self) -> watch_timing.Source:
        if self.aggregators.is_aggregator():
            return watch_timing.Source.STORE_FOR_AGGREGATOR
        return watch_timing.Source.STORE

    def get_store_interval_s(self) -> float:
        """Return the time between the replies of the store to watches, in seconds."""
        return self.timing.get_interval_s(self._get_store_source())

    def _probe_after_failure(self) -> None:
        """Raise StoreError while the store is away.

        A probe is cheaper than a watch that fails. Its reply may be stale.
        """
        probe = self.client.probe_revision()
        if probe.era > self.era:
            raise store_eras.describe_era(probe.era, self.era)

    def _confirm_by_read(self) -> bool:
        """Confirm the view by a current read; return False if it shows changes."""
        # If this fails as well, the store is away, and probes are cheaper.
        self._failed_watches = 0
        reply = self.client.read_revision()
        self._failed_watches = MIN_FAILED_WATCHES
        self._check_era(reply.era)
        self.last_reply_at = self.clock()
        if reply.revision > self.revision:
            return False
        self.view.confirm(self.last_reply_at)
        return True

    def _apply_reply(self, reply: open_watch.WatchReply) -> None:
        self._record_reply()
        now = self.clock()
        changes = reply.changes
        self.view.distrust_removals(now + changes.removals_untrusted_s)
        self._changes.apply(changes.items, now)
        self.revision = view.StoreRevision(max(self.revision, changes.revision))
        self.history.append(changes.items, self.revision)
        if any(item.key == documents.CONFIGURATION_KEY for item in changes.items):
            self.history.drop_superseded(
                documents.CONFIGURATION_KEY, self._changes.configuration_revision
            )
        self.view.confirm(reply.complete_at)
        if changes.items:
            self._retain_pools()

    def _wait_for_changes(
        self, client: store.StoreClient, source: watch_timing.Source
    ) -> open_watch.WatchReply:
        self.watched_client = client
        terms = self.timing.compute_terms(source, self.view.get_age_s(self.clock()))
        call = self._call_store if client is self.client else self._call_relay
        reply = self._open_watch.wait(functools.partial(call, client), terms)
        self._check_era(reply.changes.era)
        return reply

    def _call_store(
        self, client: store.StoreClient, terms: watch_timing.WatchTerms
    ) -> store.Batch:
        return client.watch(
            ALL_KEYS_PREFIX, self.revision, terms.wait_s, terms.timeout_s
        )

    def _call_relay(
        self, client: store.StoreClient, terms: watch_timing.WatchTerms
    ) -> store.Batch:
        return client.watch_relay(
            self.revision, self.era, terms.wait_s, terms.timeout_s
        )

    def interrupt(self, error: store.StoreError) -> None:
        """End the open watch, if any, with an error; its connection is closed."""
        self._open_watch.interrupt(error)

    def record_probe(self, reply: store.Batch) -> None:
        """Record a reply that may be stale: it shows that the store answers."""
        self.last_reply_at = self.clock()
        self._record_era(reply.era)
        if self._eras.is_lower_for_good(self.last_reply_at):
            self.interrupt(store_eras.describe_era(reply.era, self.era))

    def _record_reply(self) -> None:
        now = self.clock()
        self._consecutive_failures = 0
        self._eras.clear()
        self.last_reply_at = now
        if self.outage_started_at is None:
            return
        outage_s = now - self.outage_started_at
        self.outage_started_at = None
        if outage_s >= MIN_LAPSE_OUTAGE_S:
            self.view.record_store_recovery(now)
        self.log.record(
            event_log.StoreReturned(round(1000 * outage_s), self.revision, self.era)
        )

    def _record_era(self, era: view.StoreEra) -> None:
        self._eras.record(era, self.era, self.clock())

    def _check_era(self, era: view.StoreEra) -> None:
        """Raise StoreError if a reply has revisions of another era than this host."""
        self._record_era(era)
        if era != self.era:
            raise store_eras.describe_era(era, self.era)

    def _refuse_outdated(self, era: view.StoreEra) -> None:
        self._record_era(era)
        if era < self.era and not self._eras.is_lower_for_good(self.clock()):
            raise store_eras.describe_era(era, self.era)

    def _enter_era(self, era: view.StoreEra, now: float) -> bool:
        """Go on in the era of the keys that were read; return whether it is a new one.

        At the start there is nothing from an earlier era.
        """
        if era == self.era:
            return False
        is_restored = self.revision > 0
        if is_restored:
            self.log.record(event_log.StoreRestored(era, self.era, self.revision))
            # Entries that were written since the copy are written again.
            self.view.record_store_recovery(now)
        self._changes.enter_era(era, now)
        return is_restored

    def _handle_failure(self, error: store.StoreError) -> None:
        now = self.clock()
        if error.kind is store.FailureKind.HISTORY_LOST:
            self.log.record(event_log.HistoryLost(self.revision, self.era))
            return
        if error.kind is store.FailureKind.SILENT:
            self.log.record(
                event_log.WatchSilent(
                    self.revision, self.era, self.view.get_age_ms(now)
                )
            )
            return
        if error.kind is store.FailureKind.RESTORED:
            # The line that tells of the new era follows when all keys are read. Most
            # hosts notice at the same time.
            eventlet.sleep(BACKOFF_BASE_S * self.rng.random())
            return
        if self.outage_started_at is None:
            self.outage_started_at = self.last_reply_at
            silent_ms = round(1000 * (now - self.last_reply_at))
            self.log.record(
                event_log.StoreLost(
                    error.kind.value, str(error), self.revision, silent_ms, self.era
                )
            )
        backoff_s = min(BACKOFF_BASE_S * 2**self._consecutive_failures, BACKOFF_MAX_S)
        self._consecutive_failures = min(self._consecutive_failures + 1, 8)
        eventlet.sleep(backoff_s * (0.5 + self.rng.random()))

    def _retain_pools(self) -> None:
        self.pools.retain(self.view.list_addresses())
        addresses = self.view.list_evacuated_addresses()
        if not addresses:
            return
        withdrawn = self.pools.withdraw_evacuated(addresses)
        if withdrawn:
            self.log.record(evacuation_records.AttemptsWithdrawn(withdrawn))

    def drop_expired(self) -> None:
        """Drop what was kept for a limited time after it left the store."""
        self._changes.drop_expired(self.revision, self.clock())
