"""The rate at which a host needs each service for first attempts."""

import dataclasses

from corianderrill import names
from corianderrill.gateway import sliding_counter

WINDOW_S = 6.0
BUCKET_S = 0.5


def _build_counter() -> sliding_counter.SlidingCounter:
    return sliding_counter.SlidingCounter(WINDOW_S, BUCKET_S)


@dataclasses.dataclass(slots=True)
class RequestRates:
    """The recent rates of the requests to each service.

    `started_at` is when the host started. Times are in seconds of its monotonic clock.
    """

    started_at: float
    _requests: sliding_counter.SlidingCounter = dataclasses.field(
        default_factory=_build_counter
    )

    def record(self, services: tuple[names.ServiceName, ...], now: float) -> None:
        """Record one request to each of these services."""
        self._requests.add(services, now)

    def estimate_per_s(self, service: names.ServiceName, now: float) -> float:
        """Return the recent rate of the requests to a service, per second."""
        observed_s = min(now - self.started_at, WINDOW_S)
        return self._requests.count(service, now) / max(observed_s, BUCKET_S)
