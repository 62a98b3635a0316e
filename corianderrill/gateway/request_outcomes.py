"""The final outcome of a request, and how it follows from its sub-requests."""

import enum
import itertools
from collections.abc import Sequence

from corianderrill.gateway import attempts


class Outcome(enum.Enum):
    """The final outcome of a request.

    `ERROR_REPLY` means that the caller gets the error reply of a backend server,
    `NOT_EXECUTED` that no replica executed the request, and `INDETERMINATE` that one
    may have executed it.
    """

    COMPLETE = "answered"
    PARTIAL = "partial"
    ERROR_REPLY = "failed"
    NOT_EXECUTED = "not-run"
    INDETERMINATE = "broken"
    TIMED_OUT = "timed-out"
    CALLER_DISCONNECTED = "abandoned"


def classify_failure(sub_requests: Sequence[attempts.SubRequest]) -> Outcome:
    """Return the outcome of a request that can't succeed."""
    if len(sub_requests) == 1 and sub_requests[0].error_reply is not None:
        return Outcome.ERROR_REPLY
    if any(map(_may_have_executed, sub_requests)):
        return Outcome.INDETERMINATE
    return Outcome.NOT_EXECUTED


def classify_timeout(sub_requests: Sequence[attempts.SubRequest]) -> Outcome:
    """Return the outcome of a request that has not succeeded by its deadline.

    It is `NOT_EXECUTED` if nothing was sent, since the rest is withdrawn.
    """
    outcome = classify_failure(sub_requests)
    if outcome is Outcome.NOT_EXECUTED:
        return outcome
    return Outcome.TIMED_OUT


def _may_have_executed(sub_request: attempts.SubRequest) -> bool:
    has_other_host = (
        sub_request.is_delegated
        or sub_request.lost_delegations
        or sub_request.is_in_answer
    )
    return bool(has_other_host) or any(
        attempt.may_have_executed() for attempt in sub_request.attempts
    )


class Progress:
    """The sub-requests of a request, and how many have ended.

    The request needs `required_count` parts to succeed.
    """

    def __init__(
        self, sub_requests: Sequence[attempts.SubRequest], required_count: int
    ) -> None:
        self.sub_requests = sub_requests
        self.required_count = required_count
        self._succeeded_count = 0
        self._done_count = 0

    def record_part(self, sub_request: attempts.SubRequest) -> None:
        """Record that the part of a sub-request was received."""
        self._succeeded_count += 1
        self.mark_done(sub_request)

    def mark_done(self, sub_request: attempts.SubRequest) -> None:
        """Record that nothing more is sent for a sub-request."""
        if not sub_request.is_done:
            sub_request.is_done = True
            self._done_count += 1

    def mark_resumed(self, sub_request: attempts.SubRequest) -> None:
        """Record that attempts are sent for a sub-request again."""
        sub_request.is_limited = sub_request.is_done = False
        self._done_count -= 1

    def count_possible(self) -> int:
        """Return how many parts the answer can still have."""
        return len(self.sub_requests) - self._done_count + self._succeeded_count

    def count_dispensable(self) -> int:
        """Return how many more parts the answer can do without."""
        return self.count_possible() - self.required_count

    def can_succeed(self) -> bool:
        """Return whether the answer can still have enough parts."""
        return self.count_possible() >= self.required_count

    def has_enough_parts(self) -> bool:
        """Return whether the parts that were received are enough."""
        return self._succeeded_count >= self.required_count

    def find_certain_outcome(self) -> Outcome | None:
        """Return the outcome if nothing can change it any more."""
        total = len(self.sub_requests)
        if self._succeeded_count == total:
            return Outcome.COMPLETE
        if not self.can_succeed():
            return classify_failure(self.sub_requests)
        if self._done_count == total:
            return Outcome.PARTIAL
        return None

    def find_deadline_outcome(self) -> Outcome:
        """Return the outcome at the deadline."""
        if self.has_enough_parts():
            return Outcome.PARTIAL
        return classify_timeout(self.sub_requests)

    def count_parts(self) -> int:
        """Return how many parts were received."""
        return sum(sub_request.has_part for sub_request in self.sub_requests)

    def count_limited(self) -> int:
        """Return how many sub-requests were left out because of rate limits."""
        return sum(sub_request.is_limited for sub_request in self.sub_requests)

    def list_pending(self) -> list[attempts.Attempt]:
        """Return the attempts without an outcome."""
        tried = itertools.chain.from_iterable(s.attempts for s in self.sub_requests)
        return [attempt for attempt in tried if attempt.ended_at is None]
