"""How loaded a replica is, as far as its latest replies tell.

The estimate is a multiple of the usual latency. What a reply showed counts less the
older it is, until only what is usual for the replica is left. So an old observation
neither attracts nor repels requests for long, and hosts whose last looks differ do not
all move to the same replica.
"""

import dataclasses

from corianderrill.gateway import replies

# Slowdowns of replicas last for about half a second; older replies say little of them.
HALF_LIFE_S = 0.4
# The usual latency counts as much as this many replies that have just come.
USUAL_WEIGHT = 0.5
# A longer latency is mostly a pause, which is over when its reply comes; a single one
# must not move requests to another zone.
MAX_RATIO = 7.5
# However fast its replies were, a replica is expected to take this multiple.
MIN_SLOWNESS = 0.5
# What is usual follows the latencies with this half-life; replies that come together,
# as after a pause, count little in it. No longer latency than this multiple is usual.
USUAL_HALF_LIFE_S = 5.0
MAX_USUAL_RATIO = 2.5
MAX_USUAL_INTERVAL_S = 1.0
# Without replies, what was usual is forgotten step by step within this time, so that a
# replica which seemed slower than its peers is tried again.
USUAL_MAX_AGE_S = 10.0
# Share of one report in the queue that is usual for the replica.
USUAL_QUEUE_GAIN = 0.05
# A queue of some requests is worked off within this order of time.
QUEUE_HALF_LIFE_S = 0.05
WORK_TIME_HALF_LIFE_S = 0.3
# From this multiple of the expected latency on, a replica counts as slowed down.
MIN_SLOWED_RATIO = 1.7
# A report that was not followed by others is no longer used after this time.
MAX_REPORT_AGE_S = 2.0
# Weight of reported queue and work time beside the observed latency.
REPORT_WEIGHT = 0.5


@dataclasses.dataclass(slots=True)
class ReplicaLoad:
    """What the latest replies showed.

    `usual_ratio` and `usual_queue` change slowly; `ratio_sum` and `ratio_weight` decay
    since `observed_at`. `report` was received at `reported_at`. Times are in seconds of
    the host's monotonic clock.
    """

    usual_ratio: float = 1.0
    ratio_sum: float = 0.0
    ratio_weight: float = 0.0
    observed_at: float = 0.0
    report: replies.LoadReport | None = None
    reported_at: float = 0.0
    usual_queue: float = 0.0

    def record_latency_ratio(self, ratio: float, now: float) -> None:
        """Record a latency as a multiple of the expected one."""
        bounded = min(ratio, MAX_RATIO)
        interval_s = now - self.observed_at if self.ratio_weight else 0.0
        gain = 1.0 - 0.5 ** (min(interval_s, MAX_USUAL_INTERVAL_S) / USUAL_HALF_LIFE_S)
        self.usual_ratio += gain * (min(ratio, MAX_USUAL_RATIO) - self.usual_ratio)
        decay = 0.5 ** (interval_s / HALF_LIFE_S)
        self.ratio_sum = decay * self.ratio_sum + bounded
        self.ratio_weight = decay * self.ratio_weight + 1.0
        self.observed_at = now

    def record_report(self, report: replies.LoadReport, now: float) -> None:
        """Record what the replica says of itself."""
        queue = report.running + report.waiting
        self.usual_queue += USUAL_QUEUE_GAIN * (queue - self.usual_queue)
        self.report = report
        self.reported_at = now

    def has_fresh_report(self, now: float) -> bool:
        """Return whether the last report, if any, is recent."""
        return self.report is not None and now - self.reported_at < MAX_REPORT_AGE_S

    def is_slowed(self, now: float) -> bool:
        """Return whether the replica is in a slowdown, or busy, as far as is known."""
        if self.has_fresh_report(now) and (
            self._estimate_work_time_ratio(now) >= MIN_SLOWED_RATIO
        ):
            return True
        return self.estimate_slowness(now) >= MIN_SLOWED_RATIO

    def estimate_slowness(self, now: float) -> float:
        """Return the latency to expect, as a multiple of that of the route."""
        age_s = now - self.observed_at
        if age_s >= USUAL_MAX_AGE_S:
            return 1.0
        decay = 0.5 ** (age_s / HALF_LIFE_S)
        usual = 1.0 + (self.usual_ratio - 1.0) * (1.0 - age_s / USUAL_MAX_AGE_S)
        slowness = (USUAL_WEIGHT * usual + decay * self.ratio_sum) / (
            USUAL_WEIGHT + decay * self.ratio_weight
        )
        return slowness if slowness > MIN_SLOWNESS else MIN_SLOWNESS

    def estimate_reported_slowness(self, sent_since: int, now: float) -> float:
        """Return the latency to expect by the last report, as the same multiple.

        `sent_since` is how many requests were sent after it. A request waits for what
        is ahead of it beyond the slots that are free.
        """
        age_s = max(now - self.reported_at, 0.0)
        queue_decay = 0.5 ** (age_s / QUEUE_HALF_LIFE_S)
        reported_queue = self.report.running + self.report.waiting
        queue = (
            self.usual_queue
            + queue_decay * (reported_queue - self.usual_queue)
            + sent_since
        )
        slots = self.report.slots
        work_time_ratio = self._estimate_work_time_ratio(now)
        return max(work_time_ratio, MIN_SLOWNESS) * (
            1.0 + max(queue + 1.0 - slots, 0.0) / slots
        )

    def _estimate_work_time_ratio(self, now: float) -> float:
        decay = 0.5 ** (max(now - self.reported_at, 0.0) / WORK_TIME_HALF_LIFE_S)
        return 1.0 + decay * (self.report.work_time_ratio - 1.0)
