"""When the sub-requests of a request get a hedge."""

import dataclasses
import math
from collections.abc import Iterator, Sequence

from corianderrill.gateway import attempts, latency

# Due hedges are looked for at most this often.
MIN_CHECK_INTERVAL_S = 0.006
# A last-chance hedge is sent before the hedge delay, while it can still meet the goal:
# at the earliest this many expected latencies before the goal.
LAST_CHANCE_LEAD_FACTOR = 1.4
# While last-chance hedges may be sent, they are looked for at this interval.
LAST_CHANCE_CHECK_INTERVAL_S = 0.01
# If a larger share of the parts is missing at the time of the last-chance hedge, the
# cause is not a few slow replicas, and hedges wait for the hedge delay.
MAX_LAST_CHANCE_PENDING_SHARE = 0.15


# A query over so many shards of which none has replied is not held up by a few slow
# replicas; it may be about to crash them all. Its hedges wait for this multiple of the
# hedge delay.
MIN_SHARDS_TO_COMPARE = 4
NO_REPLY_DELAY_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class HedgeTiming:
    """The hedges of one request; `max_attempts` is that of its route.

    `goal_at` and `last_chance_at` are times of the event loop.
    """

    sub_requests: Sequence[attempts.SubRequest]
    goal_at: float
    max_attempts: int
    latency_estimator: latency.LatencyEstimator
    last_chance_at: float = -math.inf

    def start(self) -> None:
        """Begin with the latency that is expected now."""
        lead_s = LAST_CHANCE_LEAD_FACTOR * self.latency_estimator.expected_latency_s
        self.last_chance_at = self.goal_at - lead_s

    def compute_next_check_at(self, now: float) -> float:
        """Return when the next hedge may be due; infinite without any."""
        due_times = [
            sub_request.attempts[-1].started_at + self.latency_estimator.hedge_delay_s
            for sub_request in self._list_hedgeable()
        ]
        if not due_times:
            return math.inf
        if now < self.goal_at:
            due_times.append(
                max(self.last_chance_at, now + LAST_CHANCE_CHECK_INTERVAL_S)
            )
        return max(min(due_times), now + MIN_CHECK_INTERVAL_S)

    def list_due(self, now: float) -> Iterator[tuple[attempts.SubRequest, float]]:
        """Yield the sub-requests that get a hedge now, and how long each has waited."""
        pending = self._list_hedgeable()
        max_pending = max(1.0, MAX_LAST_CHANCE_PENDING_SHARE * len(self.sub_requests))
        is_last_chance = (
            self.last_chance_at <= now < self.goal_at and len(pending) <= max_pending
        )
        for sub_request in pending:
            waited_s = now - sub_request.attempts[-1].started_at
            if is_last_chance or waited_s >= self._compute_hedge_delay_s():
                yield sub_request, waited_s

    def _compute_hedge_delay_s(self) -> float:
        delay_s = self.latency_estimator.hedge_delay_s
        if len(self.sub_requests) < MIN_SHARDS_TO_COMPARE:
            return delay_s
        has_reply = any(s.is_done for s in self.sub_requests)
        return delay_s if has_reply else NO_REPLY_DELAY_FACTOR * delay_s

    def _list_hedgeable(self) -> list[attempts.SubRequest]:
        return [
            sub_request
            for sub_request in self.sub_requests
            if not sub_request.is_done
            and not sub_request.is_awaiting_liveness
            and sub_request.attempts
            and sub_request.count_attempted_replicas() < self.max_attempts
        ]
