"""What a host has seen of each replica, and the choice of one for an attempt.

Own observations (outstanding attempts, latency, failures, refusals) decide.
Reported load and health only add caution: they never make a replica look better
than what was seen of it.

The latency estimate is a moving average of usual replies; a reply far above the
usual holds the estimate up for a time that doubles while it stays slow. The choice
is the better of two random candidates (Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", 2001).
"""

import dataclasses
import enum
import math
import random
from collections.abc import Collection, Iterable

from corianderrill import names, replies

DEFAULT_LATENCY_S = 0.01
DEFAULT_SLOTS = 2
LATENCY_WEIGHT = 0.05
TYPICAL_WEIGHT = 0.02
FIRST_WEIGHT = 0.5
SLOW_RATIO = 3.0
CANCELLED_SLOW_RATIO = 2.0
SLOW_HOLD_BASE_S = 1.5
SLOW_HOLD_MAX_S = 4.0
FAILURE_PENALTY_S = 1.0
ZONE_COST_S = 0.002
SPILL_RATIO = 1.25

SLOW_START_S = 10.0
SLOW_START_MIN_SHARE = 0.1

EJECT_AFTER_FAILURES = 3
EJECT_BASE_S = 2.0
EJECT_MAX_S = 30.0
MAX_EJECTED_SHARE = 0.5

SHED_BACKOFF_BASE_S = 0.05
SHED_BACKOFF_MAX_S = 1.0

REPORT_MAX_AGE_S = 3.0
MAX_LOAD_CAUTION = 0.5
UNHEALTHY_CAUTION = 0.5


class ReplicaState(enum.Enum):
    """Whether a replica gets new work."""

    WARMING = "warming"
    ACTIVE = "active"
    EJECTED = "ejected"
    DRAINING = "draining"
    GONE = "gone"


class DrainSource(enum.Enum):
    """Who said that a replica is leaving."""

    HOST_LIST = "host-list"
    REFUSAL = "refusal"
    PROBE = "probe"


class AttemptOutcome(enum.Enum):
    """How an attempt on a replica ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    DRAINING = "draining"
    SNAPSHOT = "snapshot"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """What a replica says of itself; `load` is 1 where it is full."""

    load: float
    healthy: bool


@dataclasses.dataclass(slots=True)
class ReplicaRecord:
    """Own observations of one replica."""

    id: names.ReplicaId
    zone: names.ZoneName
    shards: frozenset[names.ShardId]
    slots: int
    state: ReplicaState
    state_since: float
    latency_s: float = DEFAULT_LATENCY_S
    typical_s: float = DEFAULT_LATENCY_S
    answers: int = 0
    slow_s: float = 0.0
    slow_until: float = -math.inf
    slow_in_row: int = 0
    started: dict[replies.AttemptId, float] = dataclasses.field(default_factory=dict)
    failures_in_row: int = 0
    sheds_in_row: int = 0
    shed_until: float = -math.inf
    ejections: int = 0
    ejected_until: float = -math.inf
    drain_sources: set[DrainSource] = dataclasses.field(default_factory=set)
    report: HealthReport | None = None
    reported_at: float = -math.inf

    @property
    def outstanding(self) -> int:
        """Attempts that wait for a reply."""
        return len(self.started)

    def record_start(self, attempt: replies.AttemptId, now: float) -> None:
        """Note that an attempt was sent."""
        self.started[attempt] = now

    def record_outcome(
        self, attempt: replies.AttemptId, result: AttemptOutcome, now: float
    ) -> None:
        """Note how an attempt ended; unknown attempts change nothing."""
        started_at = self.started.pop(attempt, None)
        if started_at is None:
            return
        elapsed_s = now - started_at
        match result:
            case AttemptOutcome.ANSWERED:
                self.failures_in_row = 0
                self.sheds_in_row = 0
                self._answer(elapsed_s, now)
            case AttemptOutcome.CANCELLED:
                # The reply would have taken longer than this.
                if elapsed_s > CANCELLED_SLOW_RATIO * self.typical_s:
                    self._suspect(elapsed_s, now)
            case AttemptOutcome.FAILED:
                self.failures_in_row += 1
                self._suspect(max(elapsed_s, FAILURE_PENALTY_S), now)
            case AttemptOutcome.SHED:
                self._back_off(now)
            case AttemptOutcome.DRAINING:
                self.drain(DrainSource.REFUSAL, now)
            case AttemptOutcome.SNAPSHOT:
                self.failures_in_row = 0

    def _answer(self, elapsed_s: float, now: float) -> None:
        self.answers += 1
        if elapsed_s > SLOW_RATIO * self.typical_s:
            self._suspect(elapsed_s, now)
        else:
            self.slow_in_row = 0
            self.slow_until = -math.inf
        # Clipped, so that a burst of slowness is not taken for the usual speed.
        clipped_s = min(elapsed_s, SLOW_RATIO * self.typical_s)
        # The first replies count for more: the default is no observation, and a server
        # that is usually slower must not be suspected until a slow average moves.
        self._average(clipped_s, FIRST_WEIGHT / self.answers)

    def _average(self, sample_s: float, least_weight: float) -> None:
        latency_weight = max(LATENCY_WEIGHT, least_weight)
        self.latency_s += latency_weight * (sample_s - self.latency_s)
        typical_weight = max(TYPICAL_WEIGHT, least_weight)
        self.typical_s += typical_weight * (sample_s - self.typical_s)

    def _suspect(self, elapsed_s: float, now: float) -> None:
        """Expect the same slowness for a time that doubles with each sighting."""
        if now < self.slow_until:
            self.slow_s = max(self.slow_s, elapsed_s)
            return
        hold_s = SLOW_HOLD_BASE_S * 2 ** min(self.slow_in_row, 8)
        self.slow_in_row += 1
        self.slow_s = elapsed_s
        self.slow_until = now + min(hold_s, SLOW_HOLD_MAX_S)

    def _back_off(self, now: float) -> None:
        backoff = SHED_BACKOFF_BASE_S * 2 ** min(self.sheds_in_row, 8)
        self.shed_until = now + min(backoff, SHED_BACKOFF_MAX_S)
        self.sheds_in_row += 1

    def estimate_latency(self, now: float) -> float:
        """Return the latency to expect, in seconds.

        An attempt that has waited longer than the estimate is an observation.
        """
        estimate_s = self.latency_s
        if now < self.slow_until:
            estimate_s = max(estimate_s, self.slow_s)
        if self.started:
            oldest = next(iter(self.started.values()))
            return max(estimate_s, now - oldest)
        return estimate_s

    def cost(self, now: float) -> float:
        """Return the expected time of one more attempt, in seconds."""
        queueing = 1.0 + max(0, self.outstanding + 1 - self.slots) / self.slots
        cost = self.estimate_latency(now) * queueing * self._caution(now)
        if now < self.shed_until:
            cost += self.shed_until - now
        return cost

    def _caution(self, now: float) -> float:
        if self.report is None or now - self.reported_at > REPORT_MAX_AGE_S:
            return 1.0
        load = min(max(self.report.load, 0.0), 1.0)
        unhealthy = 0.0 if self.report.healthy else UNHEALTHY_CAUTION
        return 1.0 + MAX_LOAD_CAUTION * load + unhealthy

    def warm_share(self, now: float) -> float:
        """Return the share of its normal traffic that a replica may get now."""
        if self.state is not ReplicaState.WARMING:
            return 1.0
        warmed = (now - self.state_since) / SLOW_START_S
        return max(SLOW_START_MIN_SHARE, warmed)

    def drain(self, source: DrainSource, now: float) -> None:
        """Stop new work on the word of one source."""
        self.drain_sources.add(source)
        if self.state is not ReplicaState.GONE:
            self.enter(ReplicaState.DRAINING, now)

    def clear_probe_drain(self, now: float) -> None:
        """Take back what only a probe had said."""
        self.drain_sources.discard(DrainSource.PROBE)
        if self.state is ReplicaState.DRAINING and not self.drain_sources:
            self.enter(ReplicaState.WARMING, now)

    def eject(self, now: float) -> None:
        """Stop new work for a time that doubles with each ejection in a row."""
        backoff = EJECT_BASE_S * 2 ** min(self.ejections, 8)
        self.ejections += 1
        self.ejected_until = now + min(backoff, EJECT_MAX_S)
        self.enter(ReplicaState.EJECTED, now)

    def update(self, now: float) -> None:
        """Make the changes of state that time brings."""
        if self.state is ReplicaState.EJECTED and now >= self.ejected_until:
            # One more failure ejects again.
            self.failures_in_row = EJECT_AFTER_FAILURES - 1
            self.slow_until = -math.inf
            self.enter(ReplicaState.WARMING, now)
        elif self.state is ReplicaState.WARMING and (
            now - self.state_since >= SLOW_START_S
        ):
            self.ejections = 0
            self.enter(ReplicaState.ACTIVE, now)

    def enter(self, state: ReplicaState, now: float) -> None:
        """Change state; entering the same state again changes nothing."""
        if self.state is not state:
            self.state = state
            self.state_since = now

    @property
    def takes_work(self) -> bool:
        """Whether the replica may get new work."""
        return self.state in (ReplicaState.ACTIVE, ReplicaState.WARMING)


class ReplicaSet:
    """The replicas that a host knows, by shard."""

    def __init__(self):
        self._records: dict[names.ReplicaId, ReplicaRecord] = {}
        self._by_shard: dict[names.ShardId, tuple[names.ReplicaId, ...]] = {}

    def add(
        self,
        replica: names.ReplicaId,
        zone: names.ZoneName,
        shards: Collection[names.ShardId],
        now: float,
        slots: int = DEFAULT_SLOTS,
        warm: bool = False,
    ) -> ReplicaRecord:
        """Add a replica or change its shards; a new one is warm where told so."""
        record = self._records.get(replica)
        if record is None:
            state = ReplicaState.ACTIVE if warm else ReplicaState.WARMING
            record = ReplicaRecord(replica, zone, frozenset(), slots, state, now)
            self._records[replica] = record
        self._index(record, frozenset(shards))
        return record

    def remove(self, replica: names.ReplicaId, now: float) -> None:
        """Forget a replica that is gone."""
        record = self._records.pop(replica, None)
        if record is not None:
            record.enter(ReplicaState.GONE, now)
            self._index(record, frozenset())

    def get(self, replica: names.ReplicaId) -> ReplicaRecord | None:
        """Return what was seen of a replica."""
        return self._records.get(replica)

    def __iter__(self) -> Iterable[ReplicaRecord]:
        return iter(self._records.values())

    def _index(self, record: ReplicaRecord, shards: frozenset[names.ShardId]) -> None:
        for shard in record.shards - shards:
            left = tuple(r for r in self._by_shard[shard] if r != record.id)
            self._by_shard[shard] = left
        for shard in shards - record.shards:
            known = self._by_shard.get(shard, ())
            self._by_shard[shard] = (*known, record.id)
        record.shards = shards

    def list_all(self, shard: names.ShardId) -> tuple[names.ReplicaId, ...]:
        """Return all known replicas of a shard."""
        return self._by_shard.get(shard, ())

    def list_usable(self, shard: names.ShardId) -> list[names.ReplicaId]:
        """Return the replicas of a shard that may get new work, if need be."""
        return [
            replica
            for replica in self.list_all(shard)
            if _is_last_resort(self._records[replica])
            or self._records[replica].takes_work
        ]

    def record_start(
        self, replica: names.ReplicaId, attempt: replies.AttemptId, now: float
    ) -> None:
        """Note that an attempt was sent to a replica."""
        record = self._records.get(replica)
        if record is not None:
            record.record_start(attempt, now)

    def record_outcome(
        self,
        replica: names.ReplicaId,
        attempt: replies.AttemptId,
        result: AttemptOutcome,
        now: float,
    ) -> None:
        """Note how an attempt ended; ejects the replica where that is due."""
        record = self._records.get(replica)
        if record is None:
            return
        record.record_outcome(attempt, result, now)
        failing = record.failures_in_row >= EJECT_AFTER_FAILURES
        if failing and record.takes_work and self._may_eject(record):
            record.eject(now)

    def _may_eject(self, record: ReplicaRecord) -> bool:
        return all(self._may_eject_from(shard) for shard in record.shards)

    def _may_eject_from(self, shard: names.ShardId) -> bool:
        records = [self._records[replica] for replica in self.list_all(shard)]
        ejected = sum(r.state is ReplicaState.EJECTED for r in records)
        return ejected + 1 <= len(records) * MAX_EJECTED_SHARE

    def drain(self, replica: names.ReplicaId, source: DrainSource, now: float) -> None:
        """Stop new work for a replica that is leaving."""
        record = self._records.get(replica)
        if record is not None:
            record.drain(source, now)

    def record_report(
        self, replica: names.ReplicaId, report: HealthReport, draining: bool, now: float
    ) -> None:
        """Note what a probe showed."""
        record = self._records.get(replica)
        if record is None:
            return
        record.report = report
        record.reported_at = now
        if draining:
            record.drain(DrainSource.PROBE, now)
        else:
            record.clear_probe_drain(now)

    def choose(
        self,
        candidates: Iterable[names.ReplicaId],
        zone: names.ZoneName,
        now: float,
        rng: random.Random,
        exclude: Collection[names.ReplicaId] = (),
    ) -> names.ReplicaId | None:
        """Choose a replica for an attempt: own zone first, cheaper of two.

        Another zone is chosen where its replica is clearly cheaper, also with
        the cost of crossing zones. Ejected replicas, and those that only a probe
        calls leaving, are chosen where nothing else is left.
        """
        records = []
        for replica in candidates:
            record = self._records.get(replica)
            if record is not None and replica not in exclude:
                record.update(now)
                records.append(record)
        usable = [record for record in records if record.takes_work]
        if not usable:
            usable = [record for record in records if _is_last_resort(record)]
        chosen = _choose_zone(usable, zone, now, rng)
        return None if chosen is None else chosen.id


def _is_last_resort(record: ReplicaRecord) -> bool:
    if record.state is ReplicaState.EJECTED:
        return True
    return record.drain_sources == {DrainSource.PROBE}


def _choose_zone(
    records: list[ReplicaRecord],
    zone: names.ZoneName,
    now: float,
    rng: random.Random,
) -> ReplicaRecord | None:
    own = _choose_of_two([r for r in records if r.zone == zone], now, rng)
    other = _choose_of_two([r for r in records if r.zone != zone], now, rng)
    if own is None or other is None:
        return own or other
    own_share = own.warm_share(now)
    if own_share < 1.0 and rng.random() >= own_share:
        return other
    if own.cost(now) <= SPILL_RATIO * other.cost(now) + ZONE_COST_S:
        return own
    return other


def _choose_of_two(
    records: list[ReplicaRecord], now: float, rng: random.Random
) -> ReplicaRecord | None:
    if not records:
        return None
    if len(records) == 1:
        return records[0]
    first = int(rng.random() * len(records))
    second = int(rng.random() * (len(records) - 1))
    second += second >= first
    better, worse = records[first], records[second]
    if _compare_key(worse, now) < _compare_key(better, now):
        better, worse = worse, better
    share = better.warm_share(now)
    if share < 1.0 and rng.random() >= share:
        return worse
    return better


def _compare_key(record: ReplicaRecord, now: float) -> tuple[float, int]:
    return record.cost(now), record.outstanding
