"""The allowance of repeats: second sends of a request to one service.

In a sliding window, all hosts together may repeat a share of the requests to a
service and a fixed number more. A host counts only the requests that it received
itself and uses its part of the fixed number, so that the sum over hosts holds for
any split of the load. How many hosts there are is read from the fixed number, which
the platform sizes by them. A host that just started may have spent its part before.
"""

import collections
import dataclasses

from corianderrill import names

WINDOW_S = 10.0
SLICE_S = 1.0
# Below the share that is allowed, since callers count a request only once.
SHARE_USED = 0.85
# The fixed number is this, and so much more for each host.
FIXED_BASE = 40.0
FIXED_A_HOST = 2.0
MIN_HOSTS = 4.0
# Leaves room for hosts that are added and for those that start again.
FIXED_USED = 0.9
PART_AFTER_START = 0.25


@dataclasses.dataclass(slots=True)
class _Slice:
    start: float
    requests: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    repeats: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Repeats that this host may send, for each service.

    `part` is this host's part of the fixed number; `started_at` when it began.
    """

    share: float
    part: float
    started_at: float
    denied: int = 0
    _slices: collections.deque[_Slice] = dataclasses.field(
        default_factory=collections.deque
    )
    _requests: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    _repeats: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def apply_bounds(self, ratio: float, fixed: float) -> None:
        """Take in the bounds over all hosts; what was counted stays."""
        self.share = ratio * SHARE_USED
        self.part = FIXED_USED * fixed / estimate_host_count(fixed)

    def record_requests(
        self, services: tuple[names.ServiceName, ...], now: float
    ) -> None:
        """Count a request to each of these services."""
        self._advance(now)
        self._requests.update(services)
        self._slices[-1].requests.update(services)

    def try_spend(self, service: names.ServiceName, now: float) -> bool:
        """Take one repeat; false where none is left."""
        self._advance(now)
        part = self.part
        if now - self.started_at < WINDOW_S:
            part = min(part, PART_AFTER_START)
        allowed = self.share * self._requests[service] + part
        if self._repeats[service] + 1 > allowed:
            self.denied += 1
            return False
        self._repeats[service] += 1
        self._slices[-1].repeats[service] += 1
        return True

    def _advance(self, now: float) -> None:
        """Forget what is older than the window; a slice goes as a whole."""
        while self._slices and now - self._slices[0].start >= WINDOW_S + SLICE_S:
            old = self._slices.popleft()
            self._requests.subtract(old.requests)
            self._repeats.subtract(old.repeats)
        if not self._slices or now - self._slices[-1].start >= SLICE_S:
            self._slices.append(_Slice(now))


def estimate_host_count(fixed: float) -> float:
    """Return the number of hosts that the fixed number is sized for."""
    return max((fixed - FIXED_BASE) / FIXED_A_HOST, MIN_HOSTS)


def build_retry_budget(ratio: float, fixed: float, now: float) -> RetryBudget:
    """Return the allowance of one host from the bounds over all hosts."""
    built = RetryBudget(0.0, 0.0, now)
    built.apply_bounds(ratio, fixed)
    return built
