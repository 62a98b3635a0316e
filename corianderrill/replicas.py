"""Replica selection: per-replica statistics of this host, and the choice of one.

The choice depends on what this host measures itself: outstanding attempts, latency,
failures and refusals. Load and health that a replica reports can only raise its
cost: a report never makes a replica look better than its measurements.

The latency estimate is an exponentially weighted moving average (EWMA) of clipped
reply latencies. A second EWMA, which adapts more slowly, is the typical latency. A
reply that takes more than `SLOW_REPLY_RATIO` times the typical latency raises the
estimate to its own latency for a period, which doubles while the replica stays slow.
The choice is the cheaper of two random candidates (Mitzenmacher, "The Power of Two
Choices in Randomized Load Balancing", 2001).
"""

import dataclasses
import enum
import math
import random
from collections.abc import Collection, Iterable

from corianderrill import names, replies

INITIAL_LATENCY_S = 0.01
DEFAULT_SLOTS = 2
LATENCY_EWMA_WEIGHT = 0.05
TYPICAL_LATENCY_EWMA_WEIGHT = 0.02
# Minimum weight of the n-th reply, times n.
INITIAL_EWMA_WEIGHT = 0.5
# A reply, or a cancelled attempt, is slow above this multiple of the typical latency.
SLOW_REPLY_RATIO = 3.0
SLOW_CANCELLED_RATIO = 2.0
BASE_SLOW_PERIOD_S = 1.5
MAX_SLOW_PERIOD_S = 4.0
MIN_FAILURE_LATENCY_S = 1.0
# Another zone is chosen if
# own_cost > MAX_OWN_ZONE_COST_RATIO * other_cost + CROSS_ZONE_COST_S.
CROSS_ZONE_COST_S = 0.002
MAX_OWN_ZONE_COST_RATIO = 1.25

SLOW_START_S = 10.0
MIN_SLOW_START_TRAFFIC_SHARE = 0.1

EJECT_AFTER_CONSECUTIVE_FAILURES = 3
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
# Share of the replicas of each shard.
MAX_EJECTED_REPLICA_SHARE = 0.5

BASE_SHED_BACKOFF_S = 0.05
MAX_SHED_BACKOFF_S = 1.0

MAX_REPORT_AGE_S = 3.0
# Both are added to the factor that multiplies the cost.
MAX_LOAD_COST_PENALTY = 0.5
UNHEALTHY_COST_PENALTY = 0.5


class ReplicaState(enum.Enum):
    """Whether a replica gets new attempts."""

    WARMING = "warming"
    ACTIVE = "active"
    EJECTED = "ejected"
    DRAINING = "draining"
    REMOVED = "gone"


class DrainSource(enum.Enum):
    """Which source reported that a replica is leaving."""

    HOST_LIST = "host-list"
    REFUSAL = "refusal"
    PROBE = "probe"


class AttemptOutcome(enum.Enum):
    """How an attempt on a replica ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    DRAINING = "draining"
    SNAPSHOT_MISSING = "snapshot"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """Load and health as a replica reports them; a `load` of 1 is full load."""

    load: float
    healthy: bool


@dataclasses.dataclass(slots=True)
class ReplicaRecord:
    """State and statistics of one replica, as this host measures them.

    `slots` is the number of requests that the replica runs at once. The latency to
    expect until `slow_until` is at least `slow_period_latency_s`.
    """

    id: names.ReplicaId
    zone: names.ZoneName
    shards: frozenset[names.ShardId]
    slots: int
    state: ReplicaState
    state_since: float
    average_latency_s: float = INITIAL_LATENCY_S
    typical_latency_s: float = INITIAL_LATENCY_S
    answer_count: int = 0
    slow_period_latency_s: float = 0.0
    slow_until: float = -math.inf
    consecutive_slow_periods: int = 0
    start_times: dict[replies.AttemptId, float] = dataclasses.field(
        default_factory=dict
    )
    consecutive_failures: int = 0
    consecutive_sheds: int = 0
    backoff_until: float = -math.inf
    consecutive_ejections: int = 0
    ejected_until: float = -math.inf
    drain_sources: set[DrainSource] = dataclasses.field(default_factory=set)
    report: HealthReport | None = None
    reported_at: float = -math.inf

    @property
    def outstanding_count(self) -> int:
        """Number of attempts that have no reply yet."""
        return len(self.start_times)

    def record_start(self, attempt: replies.AttemptId, now: float) -> None:
        """Record that an attempt was sent."""
        self.start_times[attempt] = now

    def record_outcome(
        self, attempt: replies.AttemptId, outcome: AttemptOutcome, now: float
    ) -> None:
        """Record how an attempt ended; an unknown attempt is ignored."""
        started_at = self.start_times.pop(attempt, None)
        if started_at is None:
            return
        elapsed_s = now - started_at
        match outcome:
            case AttemptOutcome.ANSWERED:
                self.consecutive_failures = 0
                self.consecutive_sheds = 0
                self._record_answer(elapsed_s, now)
            case AttemptOutcome.CANCELLED:
                # The latency of the reply would have been at least `elapsed_s`.
                if elapsed_s > SLOW_CANCELLED_RATIO * self.typical_latency_s:
                    self._mark_slow(elapsed_s, now)
            case AttemptOutcome.FAILED:
                self.consecutive_failures += 1
                self._mark_slow(max(elapsed_s, MIN_FAILURE_LATENCY_S), now)
            case AttemptOutcome.SHED:
                self._start_backoff(now)
            case AttemptOutcome.DRAINING:
                self.drain(DrainSource.REFUSAL, now)
            case AttemptOutcome.SNAPSHOT_MISSING:
                self.consecutive_failures = 0

    def _record_answer(self, elapsed_s: float, now: float) -> None:
        self.answer_count += 1
        if elapsed_s > SLOW_REPLY_RATIO * self.typical_latency_s:
            self._mark_slow(elapsed_s, now)
        else:
            self.consecutive_slow_periods = 0
            self.slow_until = -math.inf
        # Clipped, so that a burst of slow replies hardly moves the typical latency.
        clipped_s = min(elapsed_s, SLOW_REPLY_RATIO * self.typical_latency_s)
        # The first replies have a higher weight, because the initial latency is not a
        # measurement. With the usual weights, a server that is always slower than the
        # initial latency would be marked as slow until the averages have adapted.
        self._update_averages(clipped_s, INITIAL_EWMA_WEIGHT / self.answer_count)

    def _update_averages(self, sample_s: float, min_weight: float) -> None:
        latency_weight = max(LATENCY_EWMA_WEIGHT, min_weight)
        self.average_latency_s += latency_weight * (sample_s - self.average_latency_s)
        typical_weight = max(TYPICAL_LATENCY_EWMA_WEIGHT, min_weight)
        self.typical_latency_s += typical_weight * (sample_s - self.typical_latency_s)

    def _mark_slow(self, elapsed_s: float, now: float) -> None:
        """Expect this latency for a period, which doubles while the replica is slow."""
        if now < self.slow_until:
            self.slow_period_latency_s = max(self.slow_period_latency_s, elapsed_s)
            return
        # The exponent is limited to avoid huge numbers, here and in the times below;
        # the maximum time applies well before.
        slow_period_s = BASE_SLOW_PERIOD_S * 2 ** min(self.consecutive_slow_periods, 8)
        self.consecutive_slow_periods += 1
        self.slow_period_latency_s = elapsed_s
        self.slow_until = now + min(slow_period_s, MAX_SLOW_PERIOD_S)

    def _start_backoff(self, now: float) -> None:
        backoff_s = BASE_SHED_BACKOFF_S * 2 ** min(self.consecutive_sheds, 8)
        self.backoff_until = now + min(backoff_s, MAX_SHED_BACKOFF_S)
        self.consecutive_sheds += 1

    def estimate_latency_s(self, now: float) -> float:
        """Return the expected latency in seconds.

        It is at least the time that the oldest outstanding attempt has waited.
        """
        estimate_s = self.average_latency_s
        if now < self.slow_until:
            estimate_s = max(estimate_s, self.slow_period_latency_s)
        if self.start_times:
            oldest_start = next(iter(self.start_times.values()))
            return max(estimate_s, now - oldest_start)
        return estimate_s

    def estimate_cost_s(self, now: float) -> float:
        """Return the cost of one more attempt, in seconds.

        It is the expected latency with queueing and backoff, raised by penalties for
        the reported load and health.
        """
        queueing_factor = (
            1.0 + max(0, self.outstanding_count + 1 - self.slots) / self.slots
        )
        cost_s = (
            self.estimate_latency_s(now)
            * queueing_factor
            * self._report_cost_factor(now)
        )
        if now < self.backoff_until:
            cost_s += self.backoff_until - now
        return cost_s

    def _report_cost_factor(self, now: float) -> float:
        if self.report is None or now - self.reported_at > MAX_REPORT_AGE_S:
            return 1.0
        load = min(max(self.report.load, 0.0), 1.0)
        health_penalty = 0.0 if self.report.healthy else UNHEALTHY_COST_PENALTY
        return 1.0 + MAX_LOAD_COST_PENALTY * load + health_penalty

    def traffic_share(self, now: float) -> float:
        """Return the share of its usual traffic; it is below 1 during slow start."""
        if self.state is not ReplicaState.WARMING:
            return 1.0
        elapsed_share = (now - self.state_since) / SLOW_START_S
        return max(MIN_SLOW_START_TRAFFIC_SHARE, elapsed_share)

    def drain(self, source: DrainSource, now: float) -> None:
        """Stop new attempts, because `source` reports that the replica is leaving."""
        self.drain_sources.add(source)
        if self.state is not ReplicaState.REMOVED:
            self.set_state(ReplicaState.DRAINING, now)

    def clear_probe_drain(self, now: float) -> None:
        """Remove the probe as a source of the drain.

        Without any other source, the replica begins again in slow start.
        """
        self.drain_sources.discard(DrainSource.PROBE)
        if self.state is ReplicaState.DRAINING and not self.drain_sources:
            self.set_state(ReplicaState.WARMING, now)

    def eject(self, now: float) -> None:
        """Stop new attempts for a time that doubles with each consecutive ejection."""
        ejection_s = BASE_EJECTION_S * 2 ** min(self.consecutive_ejections, 8)
        self.consecutive_ejections += 1
        self.ejected_until = now + min(ejection_s, MAX_EJECTION_S)
        self.set_state(ReplicaState.EJECTED, now)

    def advance_state(self, now: float) -> None:
        """End an ejection or a slow start whose time is over."""
        if self.state is ReplicaState.EJECTED and now >= self.ejected_until:
            # One more failure ejects the replica again.
            self.consecutive_failures = EJECT_AFTER_CONSECUTIVE_FAILURES - 1
            self.slow_until = -math.inf
            self.set_state(ReplicaState.WARMING, now)
        elif self.state is ReplicaState.WARMING and (
            now - self.state_since >= SLOW_START_S
        ):
            self.consecutive_ejections = 0
            self.set_state(ReplicaState.ACTIVE, now)

    def set_state(self, state: ReplicaState, now: float) -> None:
        """Change the state; `state_since` stays if the state is the same."""
        if self.state is not state:
            self.state = state
            self.state_since = now

    @property
    def can_take_work(self) -> bool:
        """Whether the replica may get new attempts."""
        return self.state in (ReplicaState.ACTIVE, ReplicaState.WARMING)


class ReplicaSet:
    """The replicas that this host knows, indexed by shard."""

    def __init__(self):
        self._records: dict[names.ReplicaId, ReplicaRecord] = {}
        self._replicas_by_shard: dict[names.ShardId, tuple[names.ReplicaId, ...]] = {}

    def add(
        self,
        replica: names.ReplicaId,
        zone: names.ZoneName,
        shards: Collection[names.ShardId],
        now: float,
        slots: int = DEFAULT_SLOTS,
        skip_slow_start: bool = False,
    ) -> ReplicaRecord:
        """Add a replica, or change the shards of a known one.

        A new replica begins in slow start unless `skip_slow_start` is set.
        """
        record = self._records.get(replica)
        if record is None:
            state = ReplicaState.ACTIVE if skip_slow_start else ReplicaState.WARMING
            record = ReplicaRecord(replica, zone, frozenset(), slots, state, now)
            self._records[replica] = record
        self._update_index(record, frozenset(shards))
        return record

    def remove(self, replica: names.ReplicaId, now: float) -> None:
        """Remove a replica and its statistics."""
        record = self._records.pop(replica, None)
        if record is not None:
            record.set_state(ReplicaState.REMOVED, now)
            self._update_index(record, frozenset())

    def get(self, replica: names.ReplicaId) -> ReplicaRecord | None:
        """Return the statistics of a replica, or None if it is unknown."""
        return self._records.get(replica)

    def __iter__(self) -> Iterable[ReplicaRecord]:
        return iter(self._records.values())

    def _update_index(
        self, record: ReplicaRecord, shards: frozenset[names.ShardId]
    ) -> None:
        for shard in record.shards - shards:
            remaining = tuple(
                r for r in self._replicas_by_shard[shard] if r != record.id
            )
            self._replicas_by_shard[shard] = remaining
        for shard in shards - record.shards:
            current = self._replicas_by_shard.get(shard, ())
            self._replicas_by_shard[shard] = (*current, record.id)
        record.shards = shards

    def list_all(self, shard: names.ShardId) -> tuple[names.ReplicaId, ...]:
        """Return all known replicas of a shard, whatever their state."""
        return self._replicas_by_shard.get(shard, ())

    def list_choosable(self, shard: names.ShardId) -> list[names.ReplicaId]:
        """Return the replicas that `choose` may return, ejected ones included."""
        return [
            replica
            for replica in self.list_all(shard)
            if _is_last_resort(self._records[replica])
            or self._records[replica].can_take_work
        ]

    def record_start(
        self, replica: names.ReplicaId, attempt: replies.AttemptId, now: float
    ) -> None:
        """Record that an attempt was sent to a replica."""
        record = self._records.get(replica)
        if record is not None:
            record.record_start(attempt, now)

    def record_outcome(
        self,
        replica: names.ReplicaId,
        attempt: replies.AttemptId,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Record how an attempt ended; eject the replica after too many failures."""
        record = self._records.get(replica)
        if record is None:
            return
        record.record_outcome(attempt, outcome, now)
        is_failing = record.consecutive_failures >= EJECT_AFTER_CONSECUTIVE_FAILURES
        if is_failing and record.can_take_work and self._can_eject(record):
            record.eject(now)

    def _can_eject(self, record: ReplicaRecord) -> bool:
        return all(self._can_eject_from_shard(shard) for shard in record.shards)

    def _can_eject_from_shard(self, shard: names.ShardId) -> bool:
        records = [self._records[replica] for replica in self.list_all(shard)]
        ejected_count = sum(r.state is ReplicaState.EJECTED for r in records)
        return ejected_count + 1 <= len(records) * MAX_EJECTED_REPLICA_SHARE

    def drain(self, replica: names.ReplicaId, source: DrainSource, now: float) -> None:
        """Stop new attempts on a replica that is leaving."""
        record = self._records.get(replica)
        if record is not None:
            record.drain(source, now)

    def record_report(
        self, replica: names.ReplicaId, report: HealthReport, draining: bool, now: float
    ) -> None:
        """Record the health report of a probe.

        `draining` starts a drain with the probe as its source; otherwise the probe is
        removed as a source.
        """
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
        """Choose a replica for an attempt, or return None if there is none.

        The result is the cheaper of two random candidates in `zone`. A candidate in
        another zone is chosen if it is cheaper by the margin of
        `MAX_OWN_ZONE_COST_RATIO` and `CROSS_ZONE_COST_S`. It also gets the traffic
        that a replica in `zone` must not get yet during its slow start. Replicas that
        are ejected, or that only a probe reports as leaving, are chosen only if no
        other candidate is left.
        """
        records = []
        for replica in candidates:
            record = self._records.get(replica)
            if record is not None and replica not in exclude:
                record.advance_state(now)
                records.append(record)
        choosable = [record for record in records if record.can_take_work]
        if not choosable:
            choosable = [record for record in records if _is_last_resort(record)]
        chosen = _choose_by_zone(choosable, zone, now, rng)
        return None if chosen is None else chosen.id


def _is_last_resort(record: ReplicaRecord) -> bool:
    """Return whether the replica may be chosen if no other can take work."""
    if record.state is ReplicaState.EJECTED:
        return True
    return record.drain_sources == {DrainSource.PROBE}


def _choose_by_zone(
    records: list[ReplicaRecord],
    zone: names.ZoneName,
    now: float,
    rng: random.Random,
) -> ReplicaRecord | None:
    own = _choose_better_of_two([r for r in records if r.zone == zone], now, rng)
    other = _choose_better_of_two([r for r in records if r.zone != zone], now, rng)
    if own is None or other is None:
        return own or other
    own_traffic_share = own.traffic_share(now)
    if own_traffic_share < 1.0 and rng.random() >= own_traffic_share:
        return other
    if (
        own.estimate_cost_s(now)
        <= MAX_OWN_ZONE_COST_RATIO * other.estimate_cost_s(now) + CROSS_ZONE_COST_S
    ):
        return own
    return other


def _choose_better_of_two(
    records: list[ReplicaRecord], now: float, rng: random.Random
) -> ReplicaRecord | None:
    if not records:
        return None
    if len(records) == 1:
        return records[0]
    first = int(rng.random() * len(records))
    second = int(rng.random() * (len(records) - 1))
    # Skips `first`, so that the two differ.
    second += second >= first
    better, worse = records[first], records[second]
    if _cost_key(worse, now) < _cost_key(better, now):
        better, worse = worse, better
    # During slow start, the rest of its traffic goes to the other replica.
    traffic_share = better.traffic_share(now)
    if traffic_share < 1.0 and rng.random() >= traffic_share:
        return worse
    return better


def _cost_key(record: ReplicaRecord, now: float) -> tuple[float, int]:
    return record.estimate_cost_s(now), record.outstanding_count
