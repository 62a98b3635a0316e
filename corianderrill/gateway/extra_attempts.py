"""The retries and hedges of one request, and whether they may be sent."""

import dataclasses
from collections.abc import Callable

from corianderrill import metrics
from corianderrill.gateway import (
    attempt_sender,
    attempts,
    event_log,
    quarantine,
    replica_selector,
    shared_state,
)
from corianderrill.platform import requests

HEDGE_REASON = "hedge"


@dataclasses.dataclass(slots=True)
class ExtraAttempts:
    """Sends the extra attempts of a request, and counts those that were denied.

    None is sent before `allowed_from`, in seconds of the event loop's clock, while
    another host may still send it.
    """

    shared: shared_state.SharedState
    request: requests.InboundRequest
    sender: attempt_sender.AttemptSender
    selector: replica_selector.ReplicaSelector
    allowed_from: float
    is_caller_connected: Callable[[], bool]
    sent_count: int = 0
    denied_count: int = 0

    def send(
        self, sub_request: attempts.SubRequest, reason: str, waited_s: float, now: float
    ) -> bool:
        """Send a retry or hedge if route, retry budget and replicas allow it."""
        if not self._may_repeat(sub_request, now):
            return False
        replica = self.selector.select(sub_request, now)
        if replica is None:
            return False
        if reason == HEDGE_REASON and not replica.is_fit_for_hedge(now):
            # The pending attempt is more likely to succeed, or the share of a limit is
            # better kept for another request.
            return False
        if not self.shared.retry_budget.try_spend(sub_request.service, now):
            self.denied_count += 1
            self.shared.meter.count(metrics.GATEWAY_REPEATS_DENIED)
            return False
        self.sent_count += 1
        self.sender.send(sub_request, replica, reason, now)
        self.shared.meter.count(metrics.GATEWAY_REPEATS, reason)
        self.shared.log.record(
            event_log.Repeated(
                request_id=self.request.id,
                service=sub_request.service,
                replica=replica.id,
                why=reason,
                waited_ms=round(1000 * waited_s, 1),
                outcome="sent",
            )
        )
        return True

    def _may_repeat(self, sub_request: attempts.SubRequest, now: float) -> bool:
        """Return whether to send one more attempt after those that may have run.

        Another host may have sent attempts in place of this one: a host that delegates
        a query and hears nothing sends its own. And a request that has crashed replicas
        gets no second attempt. What a replica refused is no attempt in this sense.
        """
        was_sent = any(a.may_have_executed() for a in sub_request.attempts)
        verdict = self.shared.crash_watch.assess(self.request)
        if verdict is not quarantine.Verdict.CLEAR and (
            was_sent or sub_request.lost_delegations
        ):
            return False
        if not was_sent:
            return True
        return now >= self.allowed_from and self.is_caller_connected()
