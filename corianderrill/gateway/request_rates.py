"""The rate at which a host needs each service for first attempts."""

import collections
import dataclasses

from corianderrill import names

WINDOW_S = 6.0
BUCKET_S = 0.5


@dataclasses.dataclass(slots=True)
class _Bucket:
    started_at: float
    requests: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True)
class RequestRates:
    """Counts the requests to each service in a sliding window.

    `started_at` is when the host started. Times are in seconds of its monotonic clock.
    """

    started_at: float
    _buckets: collections.deque[_Bucket] = dataclasses.field(
        default_factory=collections.deque
    )

    def record(self, services: tuple[names.ServiceName, ...], now: float) -> None:
        """Record one request to each of these services."""
        self._advance(now)
        self._buckets[-1].requests.update(services)

    def estimate_per_s(self, service: names.ServiceName, now: float) -> float:
        """Return the recent rate of the requests to a service, per second."""
        self._advance(now)
        count = sum(bucket.requests[service] for bucket in self._buckets)
        observed_s = min(now - self.started_at, WINDOW_S)
        return count / max(observed_s, BUCKET_S)

    def _advance(self, now: float) -> None:
        """Drop the buckets that have left the window; a bucket expires as a whole."""
        while self._buckets and now - self._buckets[0].started_at >= WINDOW_S:
            self._buckets.popleft()
        if not self._buckets or now - self._buckets[-1].started_at >= BUCKET_S:
            self._buckets.append(_Bucket(now))
