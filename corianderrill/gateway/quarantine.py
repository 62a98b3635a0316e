"""Requests under which replicas crash, and which of them are sent no more.

A request that crashes the replica that runs it may come again, at any host. Each host
notes which replicas ended while they ran a request, and all hosts share these notes in
the platform's store, so that the crashes of one request are counted over all of them. A
request that crashed enough replicas is quarantined: it is refused unsent. A single
attempt from time to time, claimed in the store, shows whether it is sound after all.

Replicas also end for other reasons, and take the requests that they run with them. So
any reply to a request clears it, and one arrival is not enough to quarantine it.
"""

import dataclasses
import enum
import math
import random
from typing import NewType

from corianderrill import names
from corianderrill.gateway import view

# Equal for requests of the same caller with the same method, host, path and body.
Fingerprint = NewType("Fingerprint", str)

# A request is quarantined once it has crashed this many replicas, in so many arrivals.
MAX_CRASHES = 3
MAX_CRASHED_ARRIVALS = 2
# When a quarantined request may be tried again, after its last crash or trial.
TRIAL_DELAYS_S = (5.0, 600.0)
# The caller of a quarantined request is told to wait for so long.
RETRY_AFTER_S = TRIAL_DELAYS_S[0]
# Without a further crash, a suspicion ends after the first time, a quarantine after the
# second.
SUSPICION_S = 60.0
QUARANTINE_S = 3600.0
# Notes of other hosts are kept for longer, so that those can remove them.
FOREIGN_GRACE_S = 60.0
# A host keeps at most so many; the oldest are dropped first.
MAX_RECORDS = 1_000
# A sound request is mostly cleared by its next attempt before its crash is shared.
PUBLISH_DELAY_S = 0.3
# Notes that a restored store lacks are written again after this time.
REPUBLISH_DELAY_S = 1.0


class Verdict(enum.Enum):
    """What may be done with a request; the values are logged.

    A suspected request gets one attempt and no hedge or retry of it.
    """

    CLEAR = "clear"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A process of a replica that ended while it ran a request."""

    replica: str
    request_id: names.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Notes:
    """What the store holds of a request: its crashes, and its claimed trials."""

    crashes: frozenset[Crash] = frozenset()
    trials: int = 0


@dataclasses.dataclass(slots=True)
class _Record:
    """What a host knows of a request; `changed_at` is when it last heard news of it."""

    changed_at: float
    crashes: set[Crash] = dataclasses.field(default_factory=set)
    stored: Notes = dataclasses.field(default_factory=Notes)
    # 0 if the store holds no notes.
    revision: view.StoreRevision = view.StoreRevision(0)
    trials: int = 0
    # This host has claimed a trial that no replica ran.
    has_unused_trial: bool = False
    publish_at: float = -math.inf
    # Added to the lifetime, so that not all hosts remove the same notes at once.
    grace_s: float = 0.0

    def is_over_limit(self) -> bool:
        """Return whether the request has crashed enough replicas."""
        return (
            len({crash.replica for crash in self.crashes}) >= MAX_CRASHES
            and len(self.list_arrivals()) >= MAX_CRASHED_ARRIVALS
        )

    def list_arrivals(self) -> set[names.RequestId]:
        """Return the arrivals of the request that crashed a replica."""
        return {crash.request_id for crash in self.crashes}

    def is_expired(self, now: float) -> bool:
        """Return whether nothing was heard of the request for long."""
        lifetime_s = QUARANTINE_S if self.is_over_limit() else SUSPICION_S
        return now - self.changed_at >= lifetime_s + self.grace_s


@dataclasses.dataclass(slots=True)
class Quarantine:
    """The crashes that one host knows, by request.

    Times are in seconds of the host's monotonic clock.
    """

    rng: random.Random
    _records: dict[Fingerprint, _Record] = dataclasses.field(default_factory=dict)
    # Notes that are to be removed from the store, and their revisions there.
    _withdrawn: dict[Fingerprint, view.StoreRevision] = dataclasses.field(
        default_factory=dict
    )

    def is_empty(self) -> bool:
        """Return whether no crash is known."""
        return not self._records

    def assess(self, fingerprint: Fingerprint, is_store_known: bool) -> Verdict:
        """Return what may be done with a request.

        A host without a store does not hear of the crashes that others note. It sends a
        request no more once it has crashed a replica.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return Verdict.CLEAR
        if record.is_over_limit() or not is_store_known:
            return Verdict.QUARANTINED
        return Verdict.SUSPECTED

    def record_crash(self, fingerprint: Fingerprint, crash: Crash, now: float) -> bool:
        """Note that a replica ended under a request; return False if it was known."""
        record = self._get_record(fingerprint, now)
        if crash in record.crashes:
            return False
        is_first_arrival = record.list_arrivals() <= {crash.request_id}
        record.crashes.add(crash)
        record.changed_at = now
        record.publish_at = now + PUBLISH_DELAY_S if is_first_arrival else now
        record.grace_s = 0.0
        return True

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Forget a request and withdraw its notes; return whether it was known."""
        record = self._records.pop(fingerprint, None)
        if record is None:
            return False
        if record.revision:
            self._withdrawn[fingerprint] = record.revision
        return True

    def _get_record(self, fingerprint: Fingerprint, now: float) -> _Record:
        record = self._records.get(fingerprint)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                del self._records[next(iter(self._records))]
            grace_s = FOREIGN_GRACE_S * (0.2 + self.rng.random())
            record = self._records[fingerprint] = _Record(now, grace_s=grace_s)
        return record

    def is_trial_due(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a quarantined request may be tried, if the store allows it."""
        record = self._records.get(fingerprint)
        if record is None or record.trials >= len(TRIAL_DELAYS_S):
            return False
        return now - record.changed_at >= TRIAL_DELAYS_S[record.trials]

    def return_trial(self, fingerprint: Fingerprint) -> None:
        """Keep a claimed trial for the next arrival, since no replica ran this one."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.has_unused_trial = True

    def take_unused_trial(self, fingerprint: Fingerprint) -> bool:
        """Return whether this host has an unused trial of a request, and use it up."""
        record = self._records.get(fingerprint)
        if record is None or not record.has_unused_trial:
            return False
        record.has_unused_trial = False
        return True

    # The notes in the store.

    def apply_notes(
        self,
        fingerprint: Fingerprint,
        notes: Notes | None,
        revision: view.StoreRevision,
        now: float,
    ) -> bool:
        """Take over what the store holds of a request; None if it was cleared.

        Return False if that or later notes were known.
        """
        record = self._records.get(fingerprint)
        if record is not None and revision <= record.revision:
            return False
        if notes is None:
            self._withdrawn.pop(fingerprint, None)
            return self._records.pop(fingerprint, None) is not None
        record = self._get_record(fingerprint, now)
        if not notes.crashes <= record.crashes or notes.trials > record.trials:
            record.changed_at = now
        record.crashes |= notes.crashes
        record.trials = max(record.trials, notes.trials)
        record.stored = notes
        record.revision = revision
        return True

    def forget_stored(self, fingerprint: Fingerprint) -> None:
        """Take over that the store holds no notes of a request."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.stored = Notes()
            record.revision = view.StoreRevision(0)

    def record_written(
        self,
        fingerprint: Fingerprint,
        notes: Notes,
        revision: view.StoreRevision,
        now: float,
    ) -> None:
        """Take over notes that this host wrote, or withdraw those of a cleared request.

        A reply may have cleared it while the store was called.
        """
        if fingerprint in self._records:
            self.apply_notes(fingerprint, notes, revision, now)
        else:
            self._withdrawn[fingerprint] = revision

    def has_unpublished(self) -> bool:
        """Return whether the store lacks notes, whenever they are to be written."""
        return bool(self.list_unpublished(math.inf))

    def list_stored(self) -> set[Fingerprint]:
        """Return the requests of which the store is known to hold notes."""
        return {key for key, record in self._records.items() if record.revision}

    def enter_era(self, now: float) -> None:
        """Take the store for one without notes, as it has come back from a copy."""
        self._withdrawn.clear()
        for record in self._records.values():
            record.stored = Notes()
            record.revision = view.StoreRevision(0)
            record.publish_at = max(record.publish_at, now + REPUBLISH_DELAY_S)

    def list_unpublished(self, now: float) -> list[Fingerprint]:
        """Return the requests of which the store lacks notes."""
        return [
            key
            for key, record in self._records.items()
            if now >= record.publish_at
            and (
                not record.crashes <= record.stored.crashes
                or record.trials > record.stored.trials
            )
        ]

    def build_notes(
        self, fingerprint: Fingerprint, more_trials: int = 0
    ) -> tuple[Notes, view.StoreRevision] | None:
        """Return all notes of a request, and the revision of those in the store."""
        record = self._records.get(fingerprint)
        if record is None:
            return None
        trials = record.trials + more_trials
        return Notes(frozenset(record.crashes), trials), record.revision

    def expire(self, now: float) -> None:
        """Drop the requests of which nothing was heard for long."""
        expired = [key for key, r in self._records.items() if r.is_expired(now)]
        for fingerprint in expired:
            self.clear(fingerprint)

    def list_withdrawn(self) -> list[tuple[Fingerprint, view.StoreRevision]]:
        """Return the notes to remove from the store, and their revisions there."""
        return list(self._withdrawn.items())

    def forget_withdrawn(self, fingerprint: Fingerprint) -> None:
        """Forget notes that were removed from the store."""
        self._withdrawn.pop(fingerprint, None)
