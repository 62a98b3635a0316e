"""Latency estimates of a route: the expected latency and the hedge delay."""

import collections
import dataclasses

MAX_SAMPLES = 200
MIN_SAMPLES = 20
REFRESH_INTERVAL_S = 0.2
HEDGE_DELAY_QUANTILE = 0.92
# The hedge delay lies between these multiples of the median latency.
MIN_HEDGE_DELAY_MEDIANS = 1.4
MAX_HEDGE_DELAY_MEDIANS = 3.5
# Shares of the route's latency goal, used until there are enough samples.
INITIAL_EXPECTED_GOAL_SHARE = 0.2
INITIAL_HEDGE_DELAY_GOAL_SHARE = 0.35
MIN_HEDGE_DELAY_S = 0.003


@dataclasses.dataclass(slots=True)
class LatencyEstimator:
    """Estimates from the latest successful replies of one route, in seconds."""

    goal_s: float
    _samples: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    _refreshed_at: float = -1.0
    expected_latency_s: float = 0.0
    hedge_delay_s: float = 0.0

    def __post_init__(self) -> None:
        self.expected_latency_s = INITIAL_EXPECTED_GOAL_SHARE * self.goal_s
        self.hedge_delay_s = INITIAL_HEDGE_DELAY_GOAL_SHARE * self.goal_s

    def record(self, latency_s: float) -> None:
        """Add the latency of a successful reply."""
        self._samples.append(latency_s)

    def refresh(self, now: float) -> None:
        """Recompute the estimates, at most once per `REFRESH_INTERVAL_S`."""
        if now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        if len(self._samples) < MIN_SAMPLES:
            return
        sorted_s = sorted(self._samples)
        median_s = sorted_s[len(sorted_s) // 2]
        quantile_s = sorted_s[int(HEDGE_DELAY_QUANTILE * len(sorted_s))]
        self.expected_latency_s = median_s
        min_delay_s = max(MIN_HEDGE_DELAY_MEDIANS * median_s, MIN_HEDGE_DELAY_S)
        self.hedge_delay_s = min(
            max(quantile_s, min_delay_s), MAX_HEDGE_DELAY_MEDIANS * median_s
        )
