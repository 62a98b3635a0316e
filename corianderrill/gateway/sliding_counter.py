"""Counts of events in a sliding window."""

import collections
import dataclasses
from collections.abc import Iterable

from corianderrill import names


@dataclasses.dataclass(slots=True)
class _Bucket:
    started_at: float
    counts: collections.Counter = dataclasses.field(default_factory=collections.Counter)


@dataclasses.dataclass(slots=True)
class SlidingCounter:
    """Counts events by service in buckets of `bucket_s`.

    A bucket expires as a whole, `span_s` after its start. Times are in seconds of the
    host's monotonic clock.
    """

    span_s: float
    bucket_s: float
    _buckets: collections.deque[_Bucket] = dataclasses.field(
        default_factory=collections.deque
    )
    _totals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, services: Iterable[names.ServiceName], now: float) -> None:
        """Count one event for each of these services."""
        self.advance(now)
        services = tuple(services)
        self._totals.update(services)
        self._buckets[-1].counts.update(services)

    def count(self, service: names.ServiceName, now: float) -> int:
        """Return the number of events in the window."""
        self.advance(now)
        return self._totals[service]

    def advance(self, now: float) -> None:
        """Drop the buckets that have left the window, and begin a new one if due."""
        while self._buckets and now - self._buckets[0].started_at >= self.span_s:
            self._totals.subtract(self._buckets.popleft().counts)
        if not self._buckets or now - self._buckets[-1].started_at >= self.bucket_s:
            self._buckets.append(_Bucket(now))
