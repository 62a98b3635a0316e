"""When a second attempt is worth its load.

A hedge starts once an attempt has waited longer than a high quantile of its
service's latency (Dean and Barroso, "The Tail at Scale", 2013). Hedges and
retries spend one budget. Where the median of a service has risen well above its
own floor of the last minutes (the lowest fifth of its windows), every replica is
slow, a hedge would only add load, and none starts.
"""

import collections
import dataclasses
import math

from hdrh import histogram

from corianderrill import names

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2

WINDOW_S = 2.0
MAX_WINDOW_S = 30.0
MIN_SAMPLES = 100
REFRESH_S = 0.1
FLOOR_WINDOWS = 150
FLOOR_SHARE = 0.2

QUANTILE = 0.98
POOR_TAIL_SHARE = 0.25
RICH_FILL = 0.1
MEDIANS_RICH = 2.5
MEDIANS_POOR = 3.2
MIN_DELAY_S = 0.001
SLOW_FACTOR = 2.0

EXTRA_SHARE = 0.05
EXTRA_SHARE_IN_BURST = 0.10
BURST_S = 60.0
SLICE_S = 1.0
LAG_MEMORY_S = 0.1


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


class RollingLatencyHistogram:
    """Latency of one service in windows that rotate.

    A window lasts until it is long enough and has enough samples.
    """

    def __init__(self, now: float):
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._window_start = now
        self._medians: collections.deque[float] = collections.deque(
            maxlen=FLOOR_WINDOWS
        )
        self._floor_s = math.inf
        self._quantiles: dict[float, float] = {}
        self._read_at = -math.inf

    def record(self, latency_s: float, now: float) -> None:
        """Add the latency of a reply, in seconds."""
        self._rotate(now)
        self._current.record_value(min(max(int(latency_s * 1e6), 1), HIGHEST_US))

    def _rotate(self, now: float) -> None:
        age = now - self._window_start
        if age < WINDOW_S:
            return
        if self._current.total_count < MIN_SAMPLES and age < MAX_WINDOW_S:
            return
        if self._current.total_count:
            self._medians.append(_read(self._current, 50.0))
            ordered = sorted(self._medians)
            self._floor_s = ordered[int(FLOOR_SHARE * len(ordered))]
        self._current, self._previous = self._previous, self._current
        self._current.reset()
        self._window_start = now

    def quantile(self, percent: float, now: float) -> float | None:
        """Return a quantile in seconds; nothing while samples are too few."""
        if now - self._read_at >= REFRESH_S:
            self._quantiles.clear()
            self._read_at = now
        if percent not in self._quantiles:
            source = self._source()
            self._quantiles[percent] = (
                math.nan if source is None else _read(source, percent)
            )
        value = self._quantiles[percent]
        return None if math.isnan(value) else value

    def _source(self) -> histogram.HdrHistogram | None:
        if self._current.total_count >= MIN_SAMPLES:
            return self._current
        if self._previous.total_count >= MIN_SAMPLES:
            return self._previous
        return None

    def is_slow(self, now: float) -> bool:
        """Tell whether the median is well above the floor of recent windows."""
        median = self.quantile(50.0, now)
        return median is not None and median > SLOW_FACTOR * self._floor_s


def _read(source: histogram.HdrHistogram, percent: float) -> float:
    return source.get_value_at_percentile(percent) / 1e6


@dataclasses.dataclass(slots=True)
class _Slice:
    start: float
    sent: int = 0
    extra: int = 0


class ExtraLoadBudget:
    """Attempts beyond the first of each sub-request, as a share of these.

    Each sub-request earns a share of an extra attempt; savings are at most
    what the time of a burst earned. A least number a burst's time may be allowed
    whatever the shares, as in Finagle's retry budget: without it a host with few
    queries could never replace a lost attempt.
    """

    def __init__(
        self,
        share: float = EXTRA_SHARE,
        share_in_burst: float = EXTRA_SHARE_IN_BURST,
        burst_s: float = BURST_S,
        least_in_burst: int = 0,
    ):
        self.sent = 0
        self.extra = 0
        self.denied = 0
        self._share = share
        self._share_in_burst = share_in_burst
        self._burst_s = burst_s
        self._least_in_burst = least_in_burst
        self._tokens = 0.0
        self._slices: collections.deque[_Slice] = collections.deque()
        self._sent_in_burst = 0
        self._extra_in_burst = 0

    def record_sent(self, count: int, now: float) -> None:
        """Count sub-requests: the first attempt of each shard of a query."""
        current = self._slice(now)
        current.sent += count
        self.sent += count
        self._sent_in_burst += count
        self._tokens = min(self._tokens + count * self._share, self._most_tokens())

    def try_spend(self, now: float) -> bool:
        """Take one extra attempt from the budget; false where it has none left."""
        current = self._slice(now)
        self._tokens = min(self._tokens, self._most_tokens())
        if not self._allows():
            self.denied += 1
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        current.extra += 1
        self.extra += 1
        self._extra_in_burst += 1
        return True

    def _allows(self) -> bool:
        if self._extra_in_burst < self._least_in_burst:
            return True
        allowed = self._share_in_burst * self._sent_in_burst
        return self._tokens >= 1.0 and self._extra_in_burst + 1 <= allowed

    def fill(self) -> float:
        """Return how full the budget is, 0 to 1."""
        most = self._most_tokens()
        return min(1.0, self._tokens / most) if most else 0.0

    def _most_tokens(self) -> float:
        return self._share * self._sent_in_burst

    def _slice(self, now: float) -> _Slice:
        while self._slices and self._slices[0].start <= now - self._burst_s:
            old = self._slices.popleft()
            self._sent_in_burst -= old.sent
            self._extra_in_burst -= old.extra
        if not self._slices or now - self._slices[-1].start >= SLICE_S:
            self._slices.append(_Slice(now))
        return self._slices[-1]


class HedgingPolicy:
    """Latency of each service, and the budget that all of them share."""

    def __init__(
        self, budget: ExtraLoadBudget | None = None, quantile: float = QUANTILE
    ):
        self.budget = budget or ExtraLoadBudget()
        self._percent = 100.0 * quantile
        self._poor_percent = 100.0 * (1.0 - POOR_TAIL_SHARE * (1.0 - quantile))
        self._digests: dict[names.ServiceId, RollingLatencyHistogram] = {}
        self._lag_s = 0.0
        self._lagged_at = -math.inf

    def record_loop_lag(self, lag_s: float, now: float) -> None:
        """Note how late the event loop woke a timer, in seconds."""
        if lag_s >= self._recent_lag(now):
            self._lag_s = lag_s
            self._lagged_at = now

    def _recent_lag(self, now: float) -> float:
        return self._lag_s if now - self._lagged_at < LAG_MEMORY_S else 0.0

    def record(self, service: names.ServiceId, latency_s: float, now: float) -> None:
        """Add the latency of a valid reply."""
        self._digest(service, now).record(latency_s, now)

    def hedge_delay_s(self, service: names.ServiceId, now: float) -> float | None:
        """Return how long an attempt waits before its hedge, in seconds.

        The less budget is left, the higher the quantile, so that what is left
        goes to the slowest attempts. A reply may lie unread for as long as the
        event loop lags. Nothing means no hedge.
        """
        digest = self._digest(service, now)
        if digest.is_slow(now):
            return None
        rich = self.budget.fill() >= RICH_FILL
        delay_s = digest.quantile(self._percent if rich else self._poor_percent, now)
        median_s = digest.quantile(50.0, now)
        if delay_s is None or median_s is None:
            return None
        # Replies of slow replicas raise a high quantile, but hardly the median.
        most_s = median_s * (MEDIANS_RICH if rich else MEDIANS_POOR)
        return max(min(delay_s, most_s), MIN_DELAY_S) + self._recent_lag(now)

    def try_hedge(self, service: names.ServiceId, idempotent: bool, now: float) -> bool:
        """Decide on a hedge whose delay is over; takes it from the budget."""
        if not idempotent or self._digest(service, now).is_slow(now):
            return False
        return self.budget.try_spend(now)

    def _digest(self, service: names.ServiceId, now: float) -> RollingLatencyHistogram:
        digest = self._digests.get(service)
        if digest is None:
            digest = self._digests[service] = RollingLatencyHistogram(now)
        return digest
