"""The rate at which a host receives queries over shards."""

import dataclasses
import math

RATE_HALF_LIFE_S = 5.0


@dataclasses.dataclass(slots=True)
class QueryRate:
    """The rate of the queries that a host receives, as a decaying count."""

    _weight: float = 0.0
    _updated_at: float = 0.0

    def record(self, now: float) -> None:
        """Record one query."""
        self._weight = self._decay(now) + 1.0
        self._updated_at = now

    def estimate_per_s(self, now: float) -> float:
        """Return the recent rate, in queries per second."""
        return self._decay(now) * math.log(2) / RATE_HALF_LIFE_S

    def _decay(self, now: float) -> float:
        return self._weight * 0.5 ** (
            max(0.0, now - self._updated_at) / RATE_HALF_LIFE_S
        )
