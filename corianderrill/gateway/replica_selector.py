"""Selects replicas for the sub-requests of one request.

It combines what a request allows (attempts, replicas tried before) with what the host
knows of the replicas.
"""

import dataclasses
import math
from collections.abc import Collection, Sequence

from corianderrill import metrics, names
from corianderrill.gateway import (
    attempts,
    latency,
    limit_plan,
    load_balance,
    replica_selection,
    replicas,
    shared_state,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSelector:
    """Selects replicas for one request, whose route allows `max_attempts`.

    Times are in seconds of the host's monotonic clock.
    """

    shared: shared_state.SharedState
    max_attempts: int
    latency_estimator: latency.LatencyEstimator

    def select(
        self, sub_request: attempts.SubRequest, now: float
    ) -> replicas.Replica | None:
        """Return the best replica for one more attempt, if the route allows one.

        If no further replica is allowed or left, one that refused once may be retried.
        """
        view = self.shared.view
        refused = [
            replica
            for replica in sub_request.list_replicas_to_retry()
            if view.is_in_use(replica, now)
        ]
        if sub_request.count_attempted_replicas() >= self.max_attempts:
            return self._select_among(refused, now)
        tried = [attempt.replica for attempt in sub_request.attempts]
        ready = view.list_ready(sub_request.service)
        return (
            self._select_among(ready, now, tried)
            or self._select_among(
                view.list_fallback(sub_request.service, now), now, tried
            )
            or self._select_among(refused, now)
        )

    def _select_among(
        self,
        candidates: list[replicas.Replica],
        now: float,
        tried: Collection[replicas.Replica] = (),
    ) -> replicas.Replica | None:
        shared = self.shared
        candidates = [r for r in candidates if not r.is_quiet(now)]
        if shared.rate_limits.has_any():
            candidates = [
                replica
                for replica in candidates
                if shared.rate_limits.compute_delay_s(replica, now) == 0.0
            ]
        return replica_selection.select_replica(
            candidates,
            shared.zone,
            shared.zone_detector,
            self.latency_estimator.expected_latency_s,
            now,
            shared.rng,
            tried,
            self._count_cross_zone,
        )

    def _count_cross_zone(self, choice: load_balance.Choice) -> None:
        zone = choice.replica.registration.zone
        self.shared.meter.count(
            metrics.GATEWAY_CROSS_ZONE_CHOICES, choice.reason.value, zone
        )

    def compute_pause_s(self, service: names.ServiceName, now: float) -> float:
        """Return how long all replicas of a service want no requests; 0 if not all do.

        Without any replica it is infinite.
        """
        view = self.shared.view
        candidates = view.list_ready(service) or view.list_fallback(service, now)
        pauses_s = (max(replica.quiet_until - now, 0.0) for replica in candidates)
        return min(pauses_s, default=math.inf)

    def assess_limits(
        self, sub_request: attempts.SubRequest, now: float
    ) -> limit_plan.Need:
        """Return what limits do to the first attempt of a sub-request."""
        service = sub_request.service
        view = self.shared.view
        candidates = view.list_ready(service) or view.list_fallback(service, now)
        if not candidates:
            return limit_plan.Need(math.inf, 0.0)
        available = [r for r in candidates if r.is_available(now)] or candidates
        if any(replica.rate_limit_per_s is None for replica in available):
            return limit_plan.Need(0.0, 0.0)
        limits = self.shared.rate_limits
        demand_per_s = self.shared.request_rates.estimate_per_s(service, now)
        return limit_plan.Need(
            min(limits.compute_delay_s(replica, now) for replica in available),
            limits.compute_shortage(available, demand_per_s, now),
        )

    def list_in_other_zones(
        self,
        sub_requests: Sequence[attempts.SubRequest],
        now: float,
    ) -> list[tuple[attempts.SubRequest, set[names.ZoneName]]]:
        """Return the sub-requests that no replica of the own zone should take.

        Each comes with the zones that have a replica for it.
        """
        own_zone = self.shared.zone
        listed = []
        for sub_request in sub_requests:
            best = self.select(sub_request, now)
            if best is None or best.registration.zone == own_zone:
                continue
            zones = {
                replica.registration.zone
                for replica in self.shared.view.list_ready(sub_request.service)
                if replica.is_available(now)
            }
            listed.append((sub_request, zones - {own_zone}))
        return listed
