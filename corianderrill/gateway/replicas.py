"""Backend servers as this host knows them: what they registered, what was seen.

Latency is kept as a ratio to what the route expects, so that cheap and dear
requests judge a replica alike. The median of the last ratios ignores a single
pause; an attempt that is still waiting counts with its age. A host that asks a
replica seldom has fewer ratios to go by, and keeps what it saw for longer.
"""

import collections
import dataclasses
import enum
import statistics
from typing import NewType

from corianderrill import names

InstanceId = NewType("InstanceId", str)

RATIOS_KEPT = 5
RATIO_AGE_S = 5.0
# A replica that gets no requests is slowly taken for normal again, and so tried:
# after so many of the intervals at which it was asked.
SLOWNESS_HALF_LIFE_S = 1.5
SLOWNESS_LEAST = 0.5
# Less is kept as it is: only who is clearly slow is tried again with time.
SLOWNESS_NOTABLE = 1.2
SLOWNESS_HALF_LIFE_AT_MOST_S = 6.0
HALF_LIFE_INTERVALS = 3.0
FAILURE_HALF_LIFE_S = 5.0
# What was seen counts as no more than so many ends, so that it is soon outweighed.
ENDS_AT_MOST = 8.0
# Counts as so many good replies, so that one failure among many weighs little.
FAILURE_PRIOR = 1.0
# So few, faded with time, count as none.
FAILURES_FORGOTTEN = 0.05
SHED_BACKOFF_BASE_S = 0.03
SHED_BACKOFF_MAX_S = 0.5
UNREACHABLE_BACKOFF_BASE_S = 0.25
UNREACHABLE_BACKOFF_MAX_S = 4.0
WARMUP_SLOWNESS = 1.6


class ReplicaState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """What a backend server registered of itself.

    `started_at_ms` is the Unix millisecond of its start, where it told it; `warmup_s`
    the time it stays slow from the moment of the registration.
    """

    id: InstanceId
    service: names.ServiceName
    address: names.Address
    zone: names.ZoneName
    slots: int
    state: ReplicaState
    warmup_s: float
    started_at_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySample:
    """The ratio of one reply, and when it came."""

    ratio: float
    at: float


@dataclasses.dataclass(slots=True, eq=False)
class Replica:
    """One start of one backend server. Times of the own clock, in seconds."""

    registration: Registration
    warmup_ends_at: float
    samples: collections.deque[LatencySample] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=RATIOS_KEPT)
    )
    slowness: float = 1.0
    half_life_s: float = SLOWNESS_HALF_LIFE_S
    seen_at: float = 0.0
    pending_attempts: dict[object, float] = dataclasses.field(default_factory=dict)
    failures: float = 0.0
    ends: float = 0.0
    counted_at: float = 0.0
    sheds_in_row: int = 0
    shed_until: float = 0.0
    unreachable_in_row: int = 0
    unreachable_until: float = 0.0
    is_replaced: bool = False

    @property
    def id(self) -> InstanceId:
        """The id that the backend server registered."""
        return self.registration.id

    def record_start(self, attempt: object, now: float) -> None:
        """Note that an attempt was handed to the replica."""
        self.pending_attempts[attempt] = now

    def forget_attempt(self, attempt: object) -> None:
        """Forget an attempt that tells nothing of the replica."""
        self.pending_attempts.pop(attempt, None)

    def record_success(self, attempt: object, ratio: float, now: float) -> None:
        """Note a sound reply and the ratio of its latency to the expected one."""
        self.pending_attempts.pop(attempt, None)
        self.sheds_in_row = 0
        self.unreachable_in_row = 0
        self.unreachable_until = 0.0
        self._note_failure(0.0, now)
        self._note_ratio(ratio, now)

    def record_timeout(self, attempt: object, ratio: float, now: float) -> None:
        """Note that an attempt was given up before its reply."""
        self.pending_attempts.pop(attempt, None)
        self._note_ratio(ratio, now)

    def record_failure(self, attempt: object, now: float) -> None:
        """Note a reply that was a failure or was not usable."""
        self.pending_attempts.pop(attempt, None)
        self._note_failure(1.0, now)

    def record_refusal(self, attempt: object, now: float) -> None:
        """Note a refusal; the replica gets nothing new for a moment."""
        self.pending_attempts.pop(attempt, None)
        backoff_s = SHED_BACKOFF_BASE_S * 2 ** min(self.sheds_in_row, 6)
        self.sheds_in_row += 1
        self.shed_until = now + min(backoff_s, SHED_BACKOFF_MAX_S)
        self._note_failure(1.0, now)

    def record_connect_failure(self, attempt: object, now: float) -> None:
        """Note that no connection could be set up."""
        self.pending_attempts.pop(attempt, None)
        if now < self.unreachable_until:
            return
        backoff_s = UNREACHABLE_BACKOFF_BASE_S * 2 ** min(self.unreachable_in_row, 6)
        self.unreachable_in_row += 1
        self.unreachable_until = now + min(backoff_s, UNREACHABLE_BACKOFF_MAX_S)

    def record_replaced(self, attempt: object) -> None:
        """Note that another server has the address; this one is gone."""
        self.pending_attempts.pop(attempt, None)
        self.is_replaced = True

    def _note_ratio(self, ratio: float, now: float) -> None:
        samples = self.samples
        while samples and now - samples[0].at > RATIO_AGE_S:
            samples.popleft()
        samples.append(LatencySample(ratio, now))
        middle = statistics.median_low(sample.ratio for sample in samples)
        self.slowness = max(middle, SLOWNESS_LEAST)
        self.half_life_s = self._compute_half_life()
        self.seen_at = now

    def _compute_half_life(self) -> float:
        if len(self.samples) < 2:
            return SLOWNESS_HALF_LIFE_S
        span_s = self.samples[-1].at - self.samples[0].at
        half_life_s = HALF_LIFE_INTERVALS * span_s / (len(self.samples) - 1)
        return min(max(half_life_s, SLOWNESS_HALF_LIFE_S), SLOWNESS_HALF_LIFE_AT_MOST_S)

    def _note_failure(self, failed: float, now: float) -> None:
        fading = self._read_fading(now)
        fading = min(fading, (ENDS_AT_MOST - 1.0) / max(self.ends, 1.0))
        self.failures = fading * self.failures + failed
        self.ends = fading * self.ends + 1.0
        self.counted_at = now

    def _read_fading(self, now: float) -> float:
        return 0.5 ** (max(0.0, now - self.counted_at) / FAILURE_HALF_LIFE_S)

    def estimate_failure_rate(self, now: float) -> float:
        """Return the recent share of failures, 0 to 1, fading with time."""
        if self.failures < FAILURES_FORGOTTEN:
            return 0.0
        fading = self._read_fading(now)
        return fading * self.failures / (fading * self.ends + FAILURE_PRIOR)

    def estimate_slowness(self, now: float) -> float:
        """Return how many times slower than expected the replica is."""
        slowness = self.slowness
        if slowness > SLOWNESS_NOTABLE:
            idle_s = max(0.0, now - self.seen_at)
            slowness = 1.0 + (slowness - 1.0) * 0.5 ** (idle_s / self.half_life_s)
        if now < self.warmup_ends_at:
            slowness *= WARMUP_SLOWNESS
        return slowness

    def get_oldest_attempt_age_s(self, now: float) -> float:
        """Return how long the oldest waiting attempt has waited, in seconds."""
        if not self.pending_attempts:
            return 0.0
        return now - next(iter(self.pending_attempts.values()))

    def is_available(self, now: float) -> bool:
        """Tell whether the replica took its last requests and can be reached."""
        return (
            not self.is_replaced
            and now >= self.shed_until
            and now >= self.unreachable_until
        )
