"""Selects replicas for the sub-requests of one request.

It combines what a request allows (attempts, replicas tried before) with what the host
knows of the replicas.
"""

import dataclasses
import math
from collections.abc import Collection, Iterator, Sequence

from corianderrill import metrics, names
from corianderrill.gateway import (
    attempts,
    candidates,
    latency,
    limit_plan,
    load_balance,
    regions,
    replica_selection,
    replicas,
    routes,
    shared_state,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSelector:
    """Selects replicas for one request, whose route allows `max_attempts`.

    The request goes only to replicas in `allowed_zones`; None allows all. Times are in
    seconds of the host's monotonic clock.
    """

    shared: shared_state.SharedState
    max_attempts: int
    latency_estimator: latency.LatencyEstimator
    allowed_zones: candidates.AllowedZones = None

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
        for group in self._list_groups(sub_request.service, now):
            best = self._select_among(group, now, tried)
            if best is not None:
                return best
        return self._select_among(refused, now)

    def _list_groups(
        self, service: names.ServiceName, now: float
    ) -> Iterator[list[replicas.Replica]]:
        """Yield groups of candidates; one is used if those before have none to send to.

        A sub-request that is held back from the replicas of a returning zone uses them
        only if no other is available.
        """
        view = self.shared.view
        ready = candidates.select_allowed(view.list_ready(service), self.allowed_zones)
        held_back = view.evacuated.draw_held_back(now, self.shared.rng)
        if held_back:
            yield [
                replica
                for replica in ready
                if replica.registration.zone not in held_back
                and replica.is_available(now)
            ]
        yield ready
        yield candidates.select_allowed(
            view.list_fallback(service, now), self.allowed_zones
        )

    def _select_among(
        self,
        group: list[replicas.Replica],
        now: float,
        tried: Collection[replicas.Replica] = (),
    ) -> replicas.Replica | None:
        shared = self.shared
        group = [r for r in group if not r.is_quiet(now)]
        if shared.rate_limits.has_any():
            group = [
                replica
                for replica in group
                if shared.rate_limits.compute_delay_s(replica, now) == 0.0
            ]
        return replica_selection.select_replica(
            group,
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
        pauses_s = (
            max(replica.quiet_until - now, 0.0)
            for replica in self._list_candidates(service, now)
        )
        return min(pauses_s, default=math.inf)

    def _list_candidates(
        self, service: names.ServiceName, now: float
    ) -> list[replicas.Replica]:
        return candidates.list_candidates(
            self.shared.view, service, now, self.allowed_zones
        )

    def assess_limits(
        self, sub_request: attempts.SubRequest, now: float
    ) -> limit_plan.Need:
        """Return what limits do to the first attempt of a sub-request."""
        service = sub_request.service
        possible = self._list_candidates(service, now)
        if not possible:
            return limit_plan.Need(math.inf, 0.0)
        available = [r for r in possible if r.is_available(now)] or possible
        limits = self.shared.rate_limits
        if not all(limits.is_limited(replica, now) for replica in available):
            return limit_plan.Need(0.0, 0.0)
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
        view = self.shared.view
        listed = []
        for sub_request in sub_requests:
            best = self.select(sub_request, now)
            if best is None or best.registration.zone == own_zone:
                continue
            ready = candidates.select_allowed(
                view.list_ready(sub_request.service), self.allowed_zones
            )
            zones = {r.registration.zone for r in ready if r.is_available(now)}
            others = zones - {own_zone}
            listed.append(
                (
                    sub_request,
                    {z for z in others if not view.evacuated.is_returning(z)},
                )
            )
        return listed


def build_selector(
    shared: shared_state.SharedState,
    route: routes.Route,
    latency_estimator: latency.LatencyEstimator,
    *more_regions: frozenset[names.RegionName],
) -> ReplicaSelector:
    """Return the selector of a request on a route.

    Besides the regions of the route, those of each of `more_regions` bind it; an empty
    set allows any.
    """
    allowed_zones = regions.find_allowed_zones(
        shared.zone_regions, route.allowed_regions, *more_regions
    )
    return ReplicaSelector(shared, route.max_attempts, latency_estimator, allowed_zones)
