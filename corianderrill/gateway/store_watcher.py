"""Watches the platform's store and applies its changes to the view of a host.

The watcher reads all keys once, then sends long-poll watches from the revision it
has reached. It reads all keys again when the store no longer has the history, or when
the era of a reply tells that the store has come back from an older copy. A watch that
gets no reply is interrupted by `store_probe`.

Where an aggregator of the zone answers watches, the watcher sends them there, and to
the store when no aggregator does.
"""

import dataclasses
import random
from collections.abc import Callable

import eventlet
from eventlet import greenthread

from corianderrill import names
from corianderrill.gateway import (
    aggregators,
    change_history,
    evacuation_records,
    event_log,
    loop,
    pools,
    quarantine,
    rate_limits,
    store_changes,
    view,
)
from corianderrill.platform import store

WATCH_WAIT_S = 25.0
# A short first watch after a failure detects early that the store has recovered.
WATCH_WAIT_AFTER_FAILURE_S = 0.5
# The delay before the next watch, as a ratio of the time within which a host has to
# apply a change. With it, one call returns several changes that follow each other
# quickly. The ratio grows with the number of hosts that watch the store.
BATCH_DELAY_RATIO = 0.3
BATCH_DELAY_RATIO_PER_HOST = 0.004
MAX_BATCH_DELAY_RATIO = 0.55
# The store limits a watch reply to a few hundred changes. A reply with this many or
# more may be incomplete, so the next watch is sent without delay.
MIN_BACKLOG_CHANGES = 100
BACKOFF_BASE_S = 0.15
BACKOFF_MAX_S = 0.5
# In an outage shorter than this, no registration lapses. After a longer one, removals
# are not trusted for `view.RECOVERY_GRACE_S`.
MIN_LAPSE_OUTAGE_S = 0.8
# For so long replies of an earlier era may come late. A store that names nothing else
# after that counts its eras anew.
MAX_OUTDATED_S = 10.0
ALL_KEYS_PREFIX = ""

# The next call is to be like the one that failed; after others all keys are read.
_KEEPS_REVISION = (
    store.FailureKind.UNREACHABLE,
    store.FailureKind.BUSY,
    store.FailureKind.OUTDATED,
)


@dataclasses.dataclass(slots=True)
class StoreWatcher:
    """Keeps the view of one host current with the store.

    `revision` is the revision, in `era`, up to which changes are applied.
    `outage_started_at`, `last_reply_at` and `watching_since` are times of `clock`; the
    first is the time of the last reply before the outage, the last is None unless a
    watch is open.
    `watched_client` is the client that the open watch, or the last one, was sent with.
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
    batch_delay_s: float = 0.5
    min_batch_delay_s: float = 0.5
    clock: Callable[[], float] = loop.read_clock
    revision: view.StoreRevision = view.StoreRevision(0)
    outage_started_at: float | None = None
    last_reply_at: float = 0.0
    watching_since: float | None = None
    watched_client: store.StoreClient | None = None
    _consecutive_failures: int = 0
    # When the first of the replies came that name an earlier era, with none of this era
    # since.
    _outdated_since: float | None = None
    # Whether the store answered a probe, but not the watch that followed.
    _are_watches_failing: bool = False
    _watch_thread: greenthread.GreenThread | None = None
    _changes: store_changes.StoreChanges = dataclasses.field(init=False)
    _relay_clients: dict[names.Address, store.StoreClient] = dataclasses.field(
        default_factory=dict
    )

    @property
    def era(self) -> view.StoreEra:
        """The era of `revision`."""
        return self._changes.era

    def __post_init__(self) -> None:
        self._changes = store_changes.StoreChanges(
            self.view, self.aggregators, self.limits, self.quarantine, self.log
        )
        self.last_reply_at = self.clock()

    def set_batch_delay(self, max_apply_delay_s: float, host_count: float) -> None:
        """Set the batch delay from the time within which a host has to apply a change.

        `host_count` is the number of hosts that watch the store.
        """
        ratio = min(
            BATCH_DELAY_RATIO + BATCH_DELAY_RATIO_PER_HOST * host_count,
            MAX_BATCH_DELAY_RATIO,
        )
        self.batch_delay_s = ratio * max_apply_delay_s
        self.min_batch_delay_s = BATCH_DELAY_RATIO * max_apply_delay_s

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
                is_current = is_current and not self.is_era_lower_for_good()

    def _read_all(self) -> None:
        """Read all keys and remove the replicas that have no entry.

        The first watch starts at the oldest revision of the pages that were read, so
        it returns all changes made meanwhile.
        """
        # Only the read at startup may be stale. The first watch returns the newer
        # changes.
        allow_stale = not self.revision
        batch = self.client.read_range(ALL_KEYS_PREFIX, None, allow_stale)
        era = batch.era
        self._refuse_outdated(era)
        self._record_success(is_current=not allow_stale)
        oldest_revision = batch.revision
        items = list(batch.items)
        while batch.has_more and batch.items:
            last_key = batch.items[-1].key
            batch = self.client.read_range(ALL_KEYS_PREFIX, last_key, allow_stale)
            if batch.era != era:
                raise _describe_era(batch.era, era)
            oldest_revision = min(oldest_revision, batch.revision)
            items += batch.items
        now = self.clock()
        is_restored = self._enter_era(era, now)
        self._changes.apply(items, now)
        self._changes.remove_unlisted(items, oldest_revision, now, is_restored)
        self.revision = oldest_revision
        self.history.restart(oldest_revision, era)
        self._retain_pools()

    def _watch_once(self) -> None:
        now = self.clock()
        relay = self.aggregators.select_relay(self.zone, now, self.rng)
        if relay is None:
            self._watch_store()
            return
        try:
            batch = self._wait_for_changes(self._get_relay_client(relay), WATCH_WAIT_S)
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
        self._apply_batch(batch)

    def _get_relay_client(self, relay: aggregators.Aggregator) -> store.StoreClient:
        client = self._relay_clients.get(relay.address)
        if client is None:
            client = self._relay_clients[relay.address] = store.StoreClient(
                relay.address
            )
        return client

    def _watch_store(self) -> None:
        wait_s = WATCH_WAIT_S
        if self.outage_started_at is not None:
            # A probe is cheaper than a watch that fails. Its reply may be old.
            probe = self.client.probe_revision()
            if probe.era > self.era:
                raise _describe_era(probe.era, self.era)
            if self._are_watches_failing and probe.revision > self.revision:
                self._read_all()
                return
            # Until a watch succeeds, for the store has answered just now.
            self._are_watches_failing = True
            wait_s = WATCH_WAIT_AFTER_FAILURE_S
        batch = self._wait_for_changes(self.client, wait_s)
        self._are_watches_failing = False
        self._apply_batch(batch)
        if 0 < len(batch.items) < MIN_BACKLOG_CHANGES:
            # Few hosts are aggregators, and what one reads late reaches others later.
            is_relay = self.aggregators.is_aggregator()
            eventlet.sleep(self.min_batch_delay_s if is_relay else self.batch_delay_s)

    def _apply_batch(self, batch: store.Batch) -> None:
        self._record_success(is_current=True)
        now = self.clock()
        self.view.distrust_removals(now + batch.removals_untrusted_s)
        self._changes.apply(batch.items, now)
        self.revision = view.StoreRevision(max(self.revision, batch.revision))
        self.history.append(batch.items, self.revision)
        if batch.items:
            self._retain_pools()

    def _wait_for_changes(
        self, client: store.StoreClient, wait_s: float
    ) -> store.Batch:
        self.watching_since = self.clock()
        self.watched_client = client
        self._watch_thread = eventlet.spawn(self._watch, client, wait_s)
        try:
            result = self._watch_thread.wait()
        finally:
            self._watch_thread = None
            self.watching_since = None
        if isinstance(result, store.StoreError):
            raise result
        self._check_era(result.era)
        return result

    def _watch(
        self, client: store.StoreClient, wait_s: float
    ) -> store.Batch | store.StoreError:
        """Return an error instead of raising it; eventlet would print a traceback."""
        try:
            if client is self.client:
                return client.watch(ALL_KEYS_PREFIX, self.revision, wait_s)
            return client.watch_relay(self.revision, self.era, wait_s)
        except store.StoreError as error:
            return error

    def interrupt(self, error: store.StoreError) -> None:
        """End the open watch, if any, with an error; its connection is closed."""
        if self._watch_thread is not None:
            self._watch_thread.kill(store.StoreError, error, None)

    def record_probe(self, reply: store.Batch) -> None:
        """Record a reply to a probe: the store is at its revision or a later one."""
        self.last_reply_at = self.clock()
        self._note_era(reply.era)
        if self.is_era_lower_for_good():
            self.interrupt(_describe_era(reply.era, self.era))
        if reply.era == self.era and reply.revision <= self.revision:
            self.view.confirmed_at = self.last_reply_at

    def _record_success(self, is_current: bool) -> None:
        """Record a reply; `is_current` unless the store allowed it to be stale."""
        now = self.clock()
        self._consecutive_failures = 0
        self._outdated_since = None
        if is_current:
            self.view.confirmed_at = now
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

    def _check_era(self, era: view.StoreEra) -> None:
        """Raise StoreError if a reply has revisions of another era than this host."""
        self._note_era(era)
        if era != self.era:
            raise _describe_era(era, self.era)

    def _refuse_outdated(self, era: view.StoreEra) -> None:
        self._note_era(era)
        if era < self.era and not self.is_era_lower_for_good():
            raise _describe_era(era, self.era)

    def _note_era(self, era: view.StoreEra) -> None:
        if era >= self.era:
            self._outdated_since = None
        elif self._outdated_since is None:
            self._outdated_since = self.clock()

    def is_era_lower_for_good(self) -> bool:
        """Return whether the store has named nothing but earlier eras for long."""
        since = self._outdated_since
        return since is not None and self.clock() - since >= MAX_OUTDATED_S

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


def _describe_era(era: view.StoreEra, expected: view.StoreEra) -> store.StoreError:
    """Return the error of a reply whose revisions are of another era."""
    kind = store.FailureKind.RESTORED if era > expected else store.FailureKind.OUTDATED
    return store.StoreError(kind, f"the reply is of era {era}, not {expected}")
