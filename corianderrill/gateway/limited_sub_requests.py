"""The sub-requests of one request that rate limits of replicas hold back."""

from collections.abc import Iterable, Sequence

from corianderrill import metrics
from corianderrill.gateway import (
    attempts,
    limit_plan,
    replica_selector,
    request_outcomes,
    shared_state,
)


class LimitedSubRequests:
    """Holds back sub-requests, and remembers those that are sent if others fail.

    `retry_after_s` is set if the request is refused because of limits, in seconds.
    """

    def __init__(
        self,
        shared: shared_state.SharedState,
        selector: replica_selector.ReplicaSelector,
        progress: request_outcomes.Progress,
    ) -> None:
        self._shared = shared
        self._selector = selector
        self._progress = progress
        self._postponed: list[attempts.SubRequest] = []
        self.retry_after_s: float | None = None

    def hold_back(
        self, sub_requests: Sequence[attempts.SubRequest], now: float
    ) -> Sequence[attempts.SubRequest]:
        """Return the sub-requests to send now; mark the others as limited and done."""
        self._shared.request_rates.record(tuple(s.service for s in sub_requests), now)
        if not self._shared.rate_limits.has_any():
            return sub_requests
        needs = {s: self._selector.assess_limits(s, now) for s in sub_requests}
        max_left_out = self._progress.count_dispensable()
        match self._shared.limit_planner.plan(needs, max_left_out):
            case limit_plan.Send(
                now=sent, postponed=postponed, unavailable=unavailable
            ):
                self.mark_limited((*postponed, *unavailable))
                self._postponed.extend(postponed)
                return sent
            case limit_plan.Refuse(retry_after_s=retry_after_s):
                self.mark_limited(sub_requests)
                self.retry_after_s = retry_after_s
                return ()

    def mark_limited(self, sub_requests: Iterable[attempts.SubRequest]) -> None:
        """Record that sub-requests are left out because of limits."""
        for sub_request in sub_requests:
            sub_request.is_limited = True
            self._progress.mark_done(sub_request)
            self._shared.meter.count(metrics.GATEWAY_LIMITED_SUB_REQUESTS)

    def resume_postponed(self) -> list[attempts.SubRequest]:
        """Return the postponed sub-requests, to be sent now that others failed."""
        postponed, self._postponed = self._postponed, []
        for sub_request in postponed:
            self._progress.mark_resumed(sub_request)
        return postponed
