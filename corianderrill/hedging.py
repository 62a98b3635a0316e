"""Hedging: the delay before a second attempt, and the budget for extra load.

A hedge is sent once an attempt has waited longer than a high quantile of its
service's latency (Dean and Barroso, "The Tail at Scale", 2013). Hedges and
retries share one budget. If the median latency of a service is well above its
baseline, every replica is slow: a hedge would only add load, and none is sent. Each
latency window has a median; the baseline is the 20th percentile of the medians of
the last `BASELINE_WINDOW_COUNT` windows, which span at least 5 minutes.
"""

import collections
import dataclasses
import math

from hdrh import histogram

from corianderrill import names

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2

MIN_WINDOW_S = 2.0
MAX_WINDOW_S = 30.0
MIN_WINDOW_SAMPLES = 100
PERCENTILE_CACHE_S = 0.1
BASELINE_WINDOW_COUNT = 150
BASELINE_QUANTILE = 0.2

HEDGE_QUANTILE = 0.98
# If little budget is left, the quantile is raised so that only this share of the
# attempts above `HEDGE_QUANTILE` is hedged (0.98 becomes 0.995).
LOW_BUDGET_TAIL_SHARE = 0.25
# Little budget is left if the fill ratio of the token bucket is below this.
LOW_BUDGET_FILL_RATIO = 0.1
# Upper bounds of the delay, as multiples of the median latency: usually, and if little
# budget is left.
MAX_DELAY_MEDIAN_RATIO = 2.5
MAX_LOW_BUDGET_DELAY_MEDIAN_RATIO = 3.2
MIN_HEDGE_DELAY_S = 0.001
# A service is slow if its median is above this multiple of the baseline.
SLOW_MEDIAN_RATIO = 2.0

# Extra attempts as a share of the first attempts: in the long run, and within the last
# `BURST_WINDOW_S` seconds, which are counted in intervals of `BURST_INTERVAL_S`.
EXTRA_LOAD_SHARE = 0.05
BURST_EXTRA_LOAD_SHARE = 0.10
BURST_WINDOW_S = 60.0
BURST_INTERVAL_S = 1.0
MAX_LOOP_LAG_AGE_S = 0.1


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class RollingLatencyHistogram:
    """Latency of one service, as HDR histograms of the current and previous window.

    A window ends after `MIN_WINDOW_S` if it has `MIN_WINDOW_SAMPLES` samples by then,
    otherwise as soon as it has them, and at the latest after `MAX_WINDOW_S`.
    """

    def __init__(self, now: float):
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._window_start = now
        self._window_medians: collections.deque[float] = collections.deque(
            maxlen=BASELINE_WINDOW_COUNT
        )
        self._baseline_median_s = math.inf
        self._cached_percentiles_s: dict[float, float] = {}
        self._cached_at = -math.inf

    def record(self, latency_s: float, now: float) -> None:
        """Add the latency of a reply, in seconds."""
        self._rotate(now)
        self._current.record_value(min(max(int(latency_s * 1e6), 1), MAX_LATENCY_US))

    def _rotate(self, now: float) -> None:
        age_s = now - self._window_start
        if age_s < MIN_WINDOW_S:
            return
        if self._current.total_count < MIN_WINDOW_SAMPLES and age_s < MAX_WINDOW_S:
            return
        if self._current.total_count:
            self._window_medians.append(_read_percentile_s(self._current, 50.0))
            sorted_medians = sorted(self._window_medians)
            self._baseline_median_s = sorted_medians[
                int(BASELINE_QUANTILE * len(sorted_medians))
            ]
        self._current, self._previous = self._previous, self._current
        self._current.reset()
        self._window_start = now

    def percentile_s(self, percentile: float, now: float) -> float | None:
        """Return a percentile in seconds, or None if there are too few samples."""
        if now - self._cached_at >= PERCENTILE_CACHE_S:
            self._cached_percentiles_s.clear()
            self._cached_at = now
        if percentile not in self._cached_percentiles_s:
            source = self._select_histogram()
            self._cached_percentiles_s[percentile] = (
                math.nan if source is None else _read_percentile_s(source, percentile)
            )
        value = self._cached_percentiles_s[percentile]
        return None if math.isnan(value) else value

    def _select_histogram(self) -> histogram.HdrHistogram | None:
        if self._current.total_count >= MIN_WINDOW_SAMPLES:
            return self._current
        if self._previous.total_count >= MIN_WINDOW_SAMPLES:
            return self._previous
        return None

    def is_slow(self, now: float) -> bool:
        """Return whether the median is well above the baseline of recent windows."""
        median_s = self.percentile_s(50.0, now)
        return (
            median_s is not None
            and median_s > SLOW_MEDIAN_RATIO * self._baseline_median_s
        )


def _read_percentile_s(source: histogram.HdrHistogram, percentile: float) -> float:
    return source.get_value_at_percentile(percentile) / 1e6


@dataclasses.dataclass(slots=True)
class _BurstInterval:
    """Counts of first and extra attempts in one interval of the burst window."""

    start: float
    first_attempt_count: int = 0
    extra_attempt_count: int = 0


class ExtraLoadBudget:
    """Budget for extra attempts (hedges and retries), as a share of first attempts.

    A token bucket: each first attempt adds `budget_share` of a token, each extra
    attempt takes one token, and the capacity is `budget_share` of the first attempts
    of the last `burst_s` seconds. Within this window, extra attempts are also at most
    `burst_share` of the first attempts. `min_extra_in_burst` extra attempts per
    window are always allowed, as in Finagle's retry budget: without this minimum a
    host with few queries could never replace a lost attempt.
    """

    def __init__(
        self,
        budget_share: float = EXTRA_LOAD_SHARE,
        burst_share: float = BURST_EXTRA_LOAD_SHARE,
        burst_s: float = BURST_WINDOW_S,
        min_extra_in_burst: int = 0,
    ):
        self.first_attempt_count = 0
        self.extra_attempt_count = 0
        self.denied_attempt_count = 0
        self._budget_share = budget_share
        self._burst_share = burst_share
        self._burst_s = burst_s
        self._min_extra_in_burst = min_extra_in_burst
        self._tokens = 0.0
        self._intervals: collections.deque[_BurstInterval] = collections.deque()
        self._first_attempts_in_window = 0
        self._extra_attempts_in_window = 0

    def record_sent(self, count: int, now: float) -> None:
        """Count first attempts: one for each shard of a query."""
        current = self._current_interval(now)
        current.first_attempt_count += count
        self.first_attempt_count += count
        self._first_attempts_in_window += count
        self._tokens = min(
            self._tokens + count * self._budget_share, self._max_tokens()
        )

    def try_spend(self, now: float) -> bool:
        """Spend one extra attempt; return False if the budget does not allow it."""
        current = self._current_interval(now)
        self._tokens = min(self._tokens, self._max_tokens())
        if not self._can_spend():
            self.denied_attempt_count += 1
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        current.extra_attempt_count += 1
        self.extra_attempt_count += 1
        self._extra_attempts_in_window += 1
        return True

    def _can_spend(self) -> bool:
        if self._extra_attempts_in_window < self._min_extra_in_burst:
            return True
        max_extra = self._burst_share * self._first_attempts_in_window
        return self._tokens >= 1.0 and self._extra_attempts_in_window + 1 <= max_extra

    def fill_ratio(self) -> float:
        """Return the fill level of the token bucket, from 0 to 1."""
        max_tokens = self._max_tokens()
        return min(1.0, self._tokens / max_tokens) if max_tokens else 0.0

    def _max_tokens(self) -> float:
        return self._budget_share * self._first_attempts_in_window

    def _current_interval(self, now: float) -> _BurstInterval:
        while self._intervals and self._intervals[0].start <= now - self._burst_s:
            expired = self._intervals.popleft()
            self._first_attempts_in_window -= expired.first_attempt_count
            self._extra_attempts_in_window -= expired.extra_attempt_count
        if not self._intervals or now - self._intervals[-1].start >= BURST_INTERVAL_S:
            self._intervals.append(_BurstInterval(now))
        return self._intervals[-1]


class HedgingPolicy:
    """Decides when a hedge is sent, by the latency of a service and a shared budget."""

    def __init__(
        self, budget: ExtraLoadBudget | None = None, quantile: float = HEDGE_QUANTILE
    ):
        self.budget = budget or ExtraLoadBudget()
        self._hedge_percentile = 100.0 * quantile
        self._low_budget_percentile = 100.0 * (
            1.0 - LOW_BUDGET_TAIL_SHARE * (1.0 - quantile)
        )
        self._latencies: dict[names.ServiceId, RollingLatencyHistogram] = {}
        self._loop_lag_s = 0.0
        self._loop_lag_at = -math.inf

    def record_loop_lag(self, lag_s: float, now: float) -> None:
        """Record by how many seconds the event loop ran a timer late."""
        if lag_s >= self._recent_loop_lag_s(now):
            self._loop_lag_s = lag_s
            self._loop_lag_at = now

    def _recent_loop_lag_s(self, now: float) -> float:
        return self._loop_lag_s if now - self._loop_lag_at < MAX_LOOP_LAG_AGE_S else 0.0

    def record_latency(
        self, service: names.ServiceId, latency_s: float, now: float
    ) -> None:
        """Add the latency of a valid reply."""
        self._get_latencies(service, now).record(latency_s, now)

    def hedge_delay_s(self, service: names.ServiceId, now: float) -> float | None:
        """Return how long an attempt waits before its hedge; None for no hedge.

        If little budget is left, the quantile is higher, so that the budget goes to
        the slowest attempts. The recent lag of the event loop is added, because a
        reply that has arrived may stay unread for that long.
        """
        latencies = self._get_latencies(service, now)
        if latencies.is_slow(now):
            return None
        has_ample_budget = self.budget.fill_ratio() >= LOW_BUDGET_FILL_RATIO
        delay_s = latencies.percentile_s(
            self._hedge_percentile if has_ample_budget else self._low_budget_percentile,
            now,
        )
        median_s = latencies.percentile_s(50.0, now)
        if delay_s is None or median_s is None:
            return None
        # Replies of a few slow replicas raise a high quantile, but hardly the median.
        # The delay is therefore limited to a multiple of the median.
        max_delay_s = median_s * (
            MAX_DELAY_MEDIAN_RATIO
            if has_ample_budget
            else MAX_LOW_BUDGET_DELAY_MEDIAN_RATIO
        )
        return max(
            min(delay_s, max_delay_s), MIN_HEDGE_DELAY_S
        ) + self._recent_loop_lag_s(now)

    def try_hedge(self, service: names.ServiceId, idempotent: bool, now: float) -> bool:
        """Spend budget for a hedge; return False if the hedge must not be sent."""
        if not idempotent or self._get_latencies(service, now).is_slow(now):
            return False
        return self.budget.try_spend(now)

    def _get_latencies(
        self, service: names.ServiceId, now: float
    ) -> RollingLatencyHistogram:
        latencies = self._latencies.get(service)
        if latencies is None:
            latencies = self._latencies[service] = RollingLatencyHistogram(now)
        return latencies
