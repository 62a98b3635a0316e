"""When the answer to a request is due."""

import dataclasses

from corianderrill.gateway import routes

# Time from the decision to answer until the caller has received the answer. Each
# sub-request adds to it, because its reply may still have to be read.
ANSWER_DELIVERY_MARGIN_S = 0.0102
ANSWER_MARGIN_PER_SUB_REQUEST_S = 0.00008
# The request ends this long before its timeout, so that its answer arrives in time; at
# most half of the timeout is used as the margin.
DEADLINE_MARGIN_S = 0.015
# After its latency goal, a query waits for missing parts for at most this multiple of
# the goal.
LATE_ANSWER_GOAL_FACTOR = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTimes:
    """When a request is answered, in seconds of the event loop's clock.

    A request with enough parts is answered at `goal_at`; one that gets enough parts
    only later waits for the rest until `late_answer_at`.
    """

    goal_at: float
    late_answer_at: float
    deadline_at: float

    def allows_partial_answer(self, now: float) -> bool:
        """Return whether to answer now, without the parts that are missing."""
        if now >= self.late_answer_at:
            return True
        return self.goal_at <= now < self.goal_at + ANSWER_DELIVERY_MARGIN_S

    def get_next(self, now: float) -> float:
        """Return the next of these times."""
        if now < self.goal_at:
            return min(self.goal_at, self.deadline_at)
        if now < self.late_answer_at:
            return min(self.late_answer_at, self.deadline_at)
        return self.deadline_at


def compute_answer_times(
    route: routes.Route,
    received_at: float,
    time_limit_s: float,
    goal_s: float,
) -> AnswerTimes:
    """Return the times of a request that is to be answered `goal_s` after its arrival.

    Its caller waits for `time_limit_s`.
    """
    time_limit_s = min(time_limit_s, route.timeout_s)
    goal_at = received_at + goal_s
    return AnswerTimes(
        goal_at=goal_at,
        late_answer_at=goal_at + LATE_ANSWER_GOAL_FACTOR * route.goal_s,
        deadline_at=received_at
        + max(time_limit_s - DEADLINE_MARGIN_S, 0.5 * time_limit_s),
    )


def compute_answer_delay(
    route: routes.Route, sub_request_count: int, answer_margin_s: float
) -> float:
    """Return how long after its arrival a request is answered to meet the route's goal.

    The caller receives the answer `answer_margin_s` later. Times are in seconds.
    """
    margin_s = answer_margin_s + ANSWER_MARGIN_PER_SUB_REQUEST_S * sub_request_count
    return max(route.goal_s - margin_s, 0.0)
