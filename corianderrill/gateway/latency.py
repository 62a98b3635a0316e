"""How long replies of a route take: what to expect, and when a hedge is due."""

import collections
import dataclasses

SAMPLES_KEPT = 200
SAMPLES_AT_LEAST = 20
REFRESH_S = 0.2
HEDGE_QUANTILE = 0.92
# A hedge is due within these multiples of the median.
HEDGE_MEDIANS_LEAST = 1.4
HEDGE_MEDIANS_MOST = 3.5
# Parts of the route's goal, while too few replies were seen.
UNKNOWN_EXPECTED_SHARE = 0.2
UNKNOWN_HEDGE_SHARE = 0.35
HEDGE_LEAST_S = 0.003


@dataclasses.dataclass(slots=True)
class LatencyEstimator:
    """Latencies of the sound replies of one route, in seconds."""

    goal_s: float
    _samples: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SAMPLES_KEPT)
    )
    _refreshed_at: float = -1.0
    expected_s: float = 0.0
    hedge_delay_s: float = 0.0

    def __post_init__(self) -> None:
        self.expected_s = UNKNOWN_EXPECTED_SHARE * self.goal_s
        self.hedge_delay_s = UNKNOWN_HEDGE_SHARE * self.goal_s

    def record(self, latency_s: float) -> None:
        """Add the latency of a reply."""
        self._samples.append(latency_s)

    def refresh(self, now: float) -> None:
        """Compute the estimates anew, at most every `REFRESH_S`."""
        if now - self._refreshed_at < REFRESH_S:
            return
        self._refreshed_at = now
        if len(self._samples) < SAMPLES_AT_LEAST:
            return
        ordered = sorted(self._samples)
        median_s = ordered[len(ordered) // 2]
        high_s = ordered[int(HEDGE_QUANTILE * len(ordered))]
        self.expected_s = median_s
        least_s = max(HEDGE_MEDIANS_LEAST * median_s, HEDGE_LEAST_S)
        self.hedge_delay_s = min(max(high_s, least_s), HEDGE_MEDIANS_MOST * median_s)
