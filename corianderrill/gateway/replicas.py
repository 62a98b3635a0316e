"""Replicas of backend servers: their registrations and what this host observed.

Latency is stored as a ratio to the route's expected latency, so that cheap and
expensive requests are comparable. A single slow reply, such as after a pause of the
server, does not change the median of the last ratios. Replica selection uses the age of
the oldest pending attempt as a lower bound. A host that uses a replica rarely has fewer
samples of it, and keeps its estimate for longer.
"""

import collections
import dataclasses
import enum
import math
import statistics
from typing import NewType

from corianderrill import names
from corianderrill.gateway import replica_load

InstanceId = NewType("InstanceId", str)

MAX_LATENCY_SAMPLES = 5
MAX_SAMPLE_AGE_S = 5.0
# Without new samples the estimated slowness decays towards 1, so that a slow replica is
# tried again. The half-life is HALF_LIFE_SAMPLE_INTERVALS times the mean interval
# between samples, but at least MIN_ and at most MAX_SLOWNESS_HALF_LIFE_S.
MIN_SLOWNESS_HALF_LIFE_S = 1.5
MIN_SLOWNESS = 0.5
# Slowness up to this value does not decay: only a clearly slow replica needs a new try.
SLOWNESS_DECAY_THRESHOLD = 1.2
MAX_SLOWNESS_HALF_LIFE_S = 6.0
HALF_LIFE_SAMPLE_INTERVALS = 3.0
FAILURE_HALF_LIFE_S = 5.0
# Maximum total weight of past outcomes, in outcomes; new ones soon outweigh them.
MAX_OUTCOME_WEIGHT = 8.0
# The failure rate is computed as if this many more requests had succeeded, so that a
# single failure weighs little.
PRIOR_SUCCESS_WEIGHT = 1.0
# A failure weight that has decayed below this counts as zero.
NEGLIGIBLE_FAILURE_WEIGHT = 0.05
REFUSAL_BACKOFF_BASE_S = 0.03
MAX_REFUSAL_BACKOFF_S = 0.5
CONNECT_BACKOFF_BASE_S = 0.25
MAX_CONNECT_BACKOFF_S = 4.0
WARMUP_SLOWNESS_FACTOR = 1.6


class ReplicaState(enum.Enum):
    """The state that a backend server registers."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """The registration of a backend server.

    `started_at_ms` is the start of its process in Unix milliseconds, if known;
    `write_number` counts what this process has written;
    `warmup_s` is how long it is slow after its registration; `slots` is how many
    requests it executes at once.
    """

    id: InstanceId
    service: names.ServiceName
    address: names.Address
    zone: names.ZoneName
    slots: int
    state: ReplicaState
    warmup_s: float
    started_at_ms: int | None
    write_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySample:
    """The latency of one reply as a ratio to the expected one, and its time."""

    ratio: float
    received_at: float


@dataclasses.dataclass(slots=True, eq=False)
class Replica:
    """One process of a backend server, as observed by this host.

    Times are in seconds of this host's monotonic clock. `pending_attempts` maps each
    attempt without an outcome to its start. The weights are counts of outcomes that
    decay with time. `rate_limit_per_s` is how many requests a second the replica takes
    from all hosts together, None without a limit; it was last seen at
    `rate_limit_seen_at`, and this host has used its share of it up to `next_slot_at`.
    Until `quiet_until` the replica wants no requests of this host. While its zone
    `is_evacuated`, it gets none at all. `load` estimates how loaded it is now.

    `warmup_limit_per_s` is what it takes from all hosts together while it is cold, None
    without a limit. It is cold until the latest of `warmup_ends_at`,
    `announced_cold_until`, and `service_warmup_s` after `cold_since`: the start of its
    process, or the return of its zone. The last reply that said how long it is cold
    came at `warmup_told_at`. `cold_slot_at` is the start of this host's next slot for
    it, None if it has had none.
    """

    registration: Registration
    warmup_ends_at: float
    latency_samples: collections.deque[LatencySample] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_LATENCY_SAMPLES)
    )
    slowness: float = 1.0
    slowness_half_life_s: float = MIN_SLOWNESS_HALF_LIFE_S
    last_sample_at: float = 0.0
    pending_attempts: dict[object, float] = dataclasses.field(default_factory=dict)
    failure_weight: float = 0.0
    outcome_weight: float = 0.0
    outcomes_updated_at: float = 0.0
    consecutive_refusals: int = 0
    refusal_backoff_until: float = 0.0
    consecutive_connect_failures: int = 0
    connect_backoff_until: float = 0.0
    is_replaced: bool = False
    rate_limit_per_s: float | None = None
    rate_limit_seen_at: float = 0.0
    next_slot_at: float = 0.0
    quiet_until: float = 0.0
    is_evacuated: bool = False
    load: replica_load.ReplicaLoad = dataclasses.field(
        default_factory=replica_load.ReplicaLoad
    )
    warmup_limit_per_s: float | None = None
    service_warmup_s: float = 0.0
    cold_since: float = -math.inf
    announced_cold_until: float = -math.inf
    warmup_told_at: float = -math.inf
    cold_slot_at: float | None = None

    @property
    def id(self) -> InstanceId:
        """The id that the backend server registered."""
        return self.registration.id

    def record_start(self, attempt: object, now: float) -> None:
        """Record that an attempt on this replica started."""
        self.pending_attempts[attempt] = now

    def forget_attempt(self, attempt: object) -> None:
        """Drop an attempt whose end says nothing about the replica."""
        self.pending_attempts.pop(attempt, None)

    def record_success(self, attempt: object, ratio: float, now: float) -> None:
        """Record a success and the ratio of its latency to the expected latency."""
        self.pending_attempts.pop(attempt, None)
        self.consecutive_refusals = 0
        self.consecutive_connect_failures = 0
        self.connect_backoff_until = 0.0
        self._record_outcome(0.0, now)
        self._record_latency_ratio(ratio, now)

    def record_timeout(self, attempt: object, ratio: float, now: float) -> None:
        """Record an attempt canceled before its reply, with the ratio of its age."""
        self.pending_attempts.pop(attempt, None)
        self._record_latency_ratio(ratio, now)

    def record_failure(self, attempt: object, now: float) -> None:
        """Record an error reply, an unusable reply or a broken connection."""
        self.pending_attempts.pop(attempt, None)
        self._record_outcome(1.0, now)

    def record_refusal(self, attempt: object, now: float) -> None:
        """Record a refusal; the replica gets no new requests during a backoff."""
        self.pending_attempts.pop(attempt, None)
        backoff_s = REFUSAL_BACKOFF_BASE_S * 2 ** min(self.consecutive_refusals, 6)
        self.consecutive_refusals += 1
        self.refusal_backoff_until = now + min(backoff_s, MAX_REFUSAL_BACKOFF_S)
        self._record_outcome(1.0, now)

    def record_connect_failure(self, attempt: object, now: float) -> None:
        """Record that no connection could be opened; this starts a backoff."""
        self.pending_attempts.pop(attempt, None)
        if now < self.connect_backoff_until:
            return
        backoff_s = CONNECT_BACKOFF_BASE_S * 2 ** min(
            self.consecutive_connect_failures, 6
        )
        self.consecutive_connect_failures += 1
        self.connect_backoff_until = now + min(backoff_s, MAX_CONNECT_BACKOFF_S)

    def record_replaced(self, attempt: object) -> None:
        """Record that another server now has the address, and this one has stopped."""
        self.pending_attempts.pop(attempt, None)
        self.is_replaced = True

    def _record_latency_ratio(self, ratio: float, now: float) -> None:
        samples = self.latency_samples
        while samples and now - samples[0].received_at > MAX_SAMPLE_AGE_S:
            samples.popleft()
        samples.append(LatencySample(ratio, now))
        self.load.record_latency_ratio(ratio, now)
        median = statistics.median_low(sample.ratio for sample in samples)
        self.slowness = max(median, MIN_SLOWNESS)
        self.slowness_half_life_s = self._compute_slowness_half_life()
        self.last_sample_at = now

    def _compute_slowness_half_life(self) -> float:
        if len(self.latency_samples) < 2:
            return MIN_SLOWNESS_HALF_LIFE_S
        slowness_half_life_s = (
            HALF_LIFE_SAMPLE_INTERVALS
            * self.get_sample_span_s()
            / (len(self.latency_samples) - 1)
        )
        return min(
            max(slowness_half_life_s, MIN_SLOWNESS_HALF_LIFE_S),
            MAX_SLOWNESS_HALF_LIFE_S,
        )

    def get_sample_span_s(self) -> float:
        """Return the time between the first and last of at least one sample."""
        samples = self.latency_samples
        return samples[-1].received_at - samples[0].received_at

    def _record_outcome(self, failure: float, now: float) -> None:
        decay = self._compute_decay(now)
        decay = min(decay, (MAX_OUTCOME_WEIGHT - 1.0) / max(self.outcome_weight, 1.0))
        self.failure_weight = decay * self.failure_weight + failure
        self.outcome_weight = decay * self.outcome_weight + 1.0
        self.outcomes_updated_at = now

    def _compute_decay(self, now: float) -> float:
        return 0.5 ** (max(0.0, now - self.outcomes_updated_at) / FAILURE_HALF_LIFE_S)

    def estimate_failure_rate(self, now: float) -> float:
        """Return the recent share of failures, 0 to 1, which decays with time."""
        if self.failure_weight < NEGLIGIBLE_FAILURE_WEIGHT:
            return 0.0
        decay = self._compute_decay(now)
        return (
            decay
            * self.failure_weight
            / (decay * self.outcome_weight + PRIOR_SUCCESS_WEIGHT)
        )

    def estimate_slowness(self, now: float) -> float:
        """Return the replica's latency as a multiple of the expected latency."""
        slowness = self.slowness
        if slowness > SLOWNESS_DECAY_THRESHOLD:
            age_s = max(0.0, now - self.last_sample_at)
            slowness = 1.0 + (slowness - 1.0) * 0.5 ** (
                age_s / self.slowness_half_life_s
            )
        if now < self.warmup_ends_at or self.is_cold(now):
            slowness *= WARMUP_SLOWNESS_FACTOR
        return slowness

    def get_oldest_attempt_age_s(self, now: float) -> float:
        """Return the age of the oldest pending attempt, in seconds; 0 without one."""
        if not self.pending_attempts:
            return 0.0
        return now - next(iter(self.pending_attempts.values()))

    def is_quiet(self, now: float) -> bool:
        """Return whether the replica wants no requests of this host now."""
        return now < self.quiet_until

    def compute_cold_end(self) -> float:
        """Return until when the replica is cold, whether or not that limits it."""
        return max(self.compute_stored_cold_end(), self.announced_cold_until)

    def compute_stored_cold_end(self) -> float:
        """Return until when the replica is cold by what the store says to all hosts."""
        return max(self.warmup_ends_at, self.cold_since + self.service_warmup_s)

    def is_cold(self, now: float) -> bool:
        """Return whether the limit of a cold replica applies now."""
        return self.warmup_limit_per_s is not None and now < self.compute_cold_end()

    def accepts_requests(self, now: float) -> bool:
        """Return whether requests may be sent to the replica at all."""
        return not self.is_evacuated and not self.is_quiet(now)

    def is_fit_for_hedge(self, now: float) -> bool:
        """Return whether the replica has room and its last connection was opened.

        First attempts, not hedges, find out whether it can be reached again, and they
        get what a rate limit allows. A replica in a slowdown would answer the hedge
        late, and the hedge would hold up others there.
        """
        return (
            self.is_available(now)
            and self.consecutive_connect_failures == 0
            and self.rate_limit_per_s is None
            and not self.load.is_slowed(now)
            and not self.is_cold(now)
        )

    def is_available(self, now: float) -> bool:
        """Return whether the replica is not replaced and in no backoff."""
        return (
            not self.is_replaced
            and now >= self.refusal_backoff_until
            and now >= self.connect_backoff_until
        )
