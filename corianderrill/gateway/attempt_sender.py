"""Sends the attempts of one request, and cancels those that are not needed."""

import dataclasses
from collections.abc import Iterable, Mapping

from corianderrill import metrics, names
from corianderrill.gateway import (
    attempt_records,
    attempts,
    latency,
    replicas,
    routes,
    shared_state,
)

# Used for a service that the configuration does not list.
DEFAULT_MAX_CONNECTIONS = 16


@dataclasses.dataclass(slots=True)
class AttemptSender:
    """Sends and cancels the attempts of `owner`, the coordinator of a request.

    `services` are those of the configuration that the request was routed by. `owner` is
    None once the request has been answered and sends nothing more.
    """

    owner: attempts.AttemptOwner | None
    shared: shared_state.SharedState
    services: Mapping[names.ServiceName, routes.Service]
    latency_estimator: latency.LatencyEstimator

    def send(
        self,
        sub_request: attempts.SubRequest,
        replica: replicas.Replica,
        reason: str,
        now: float,
    ) -> None:
        """Send an attempt to a replica, or queue it until a connection is free."""
        attempt = attempts.Attempt(self.owner, sub_request, replica, reason, now)
        sub_request.attempts.append(attempt)
        replica.record_start(attempt, now)
        attempt.used_limit = self.shared.rate_limits.acquire(replica, now)
        service = self.services.get(sub_request.service)
        max_connections = (
            DEFAULT_MAX_CONNECTIONS if service is None else service.max_connections
        )
        is_same_zone = replica.registration.zone == self.shared.zone
        address = replica.registration.address
        attempt.pool = self.shared.pools.get(address, max_connections, is_same_zone)
        attempt.pool.set_slots(replica.registration.slots)
        connection = attempt.pool.send(attempt)
        if attempt.connection is None:
            attempt.connection = connection

    def withdraw_unsent(self, candidates: Iterable[attempts.Attempt]) -> None:
        """Cancel the attempts that were not sent."""
        for attempt in candidates:
            if attempt.ended_at is None and attempt.sent_at is None:
                attempt.replica.forget_attempt(attempt)
                self.release_limit(attempt, self.shared.loop.now())
                self._cancel(attempt, attempts.WITHDRAWN)

    def release_limit(self, attempt: attempts.Attempt, now: float) -> None:
        """Give back what an attempt that was not sent used of a rate limit."""
        if attempt.used_limit:
            attempt.used_limit = False
            self.shared.rate_limits.release(attempt.replica, now)

    def cancel_unanswered(self, pending: Iterable[attempts.Attempt]) -> None:
        """Cancel the attempts that are still without a reply."""
        now = self.shared.loop.now()
        for attempt in pending:
            if attempt.ended_at is None:
                attempt_records.record_unanswered(attempt, self.latency_estimator, now)
                self._cancel(attempt, "given-up")

    def _cancel(self, attempt: attempts.Attempt, outcome: str) -> None:
        attempt.ended_at = self.shared.loop.now()
        attempt.outcome = outcome
        self.shared.meter.count(metrics.GATEWAY_ATTEMPTS, outcome)
        attempt.cancel()
