"""Whether a request can be served by the replicas that are left, before it is sent."""

import dataclasses
import math
from collections.abc import Sequence

from corianderrill import names
from corianderrill.gateway import (
    candidates,
    regions,
    replicas,
    responses,
    routes,
    shared_state,
)

# Evacuations last for minutes, and replicas elsewhere take seconds to start.
EVACUATED_RETRY_AFTER_S = 1.0
# While too many availability zones seem cut off, a host still forwards one request per
# interval, to detect when the zones are reachable again.
ZONE_PROBE_INTERVAL_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused before it is forwarded, and when it may return."""

    reason: str
    retry_after_s: float


@dataclasses.dataclass(slots=True)
class AvailabilityCheck:
    """Decides whether enough services of a request have a replica.

    Times are in seconds of the host's monotonic clock.
    """

    shared: shared_state.SharedState
    _last_zone_probe_at: float = 0.0

    def find_refusal(
        self,
        route: routes.Route,
        services: Sequence[names.ServiceName],
        now: float,
        *more_regions: frozenset[names.RegionName],
    ) -> Refusal | None:
        """Return why a request is refused, or None if it is forwarded.

        It is refused if too few of its services have a replica that wants requests, in
        a zone that is allowed and not suspected to be cut off. Besides the regions of
        the route, those of each of `more_regions` bind it.
        """
        required = route.count_required_replies(len(services))
        view = self.shared.view
        allowed_zones = regions.find_allowed_zones(
            self.shared.zone_regions, route.allowed_regions, *more_regions
        )
        candidates_by_service = [
            candidates.list_candidates(view, service, now, allowed_zones)
            for service in services
        ]
        if sum(map(bool, candidates_by_service)) < required:
            # Counts as demand, since refused callers ask again as soon as replicas
            # return, which are cold then.
            self.shared.request_rates.record(tuple(services), now)
            return _convert_shortage(
                candidates.explain_shortage(
                    view, services, required, now, allowed_zones
                )
            )
        pause_s = _compute_pause_s(candidates_by_service, required, now)
        if pause_s > 0.0:
            return Refusal("replicas-quiet", max(pause_s, responses.MIN_RETRY_AFTER_S))
        healthy = sum(
            self._has_candidate_in_healthy_zone(listed, now)
            for listed in candidates_by_service
        )
        if healthy >= required:
            return None
        if now - self._last_zone_probe_at >= ZONE_PROBE_INTERVAL_S:
            # This request probes whether the zones are reachable again.
            self._last_zone_probe_at = now
            return None
        return Refusal("zones-cut-off", responses.MIN_RETRY_AFTER_S)

    def _has_candidate_in_healthy_zone(
        self, listed: Sequence[replicas.Replica], now: float
    ) -> bool:
        zone_detector = self.shared.zone_detector
        return any(
            not zone_detector.is_suspect(replica.registration.zone, now)
            for replica in listed
        )


def _compute_pause_s(
    candidates_by_service: Sequence[Sequence[replicas.Replica]],
    required: int,
    now: float,
) -> float:
    """Return when the `required` services have a replica that wants requests.

    It is a time from now, in seconds, and not above 0 if they have one already.
    """
    pauses_s = [
        min((replica.quiet_until - now for replica in listed), default=math.inf)
        for listed in candidates_by_service
    ]
    return sorted(pauses_s)[required - 1]


def _convert_shortage(shortage: candidates.Shortage) -> Refusal:
    if shortage is candidates.Shortage.EVACUATED:
        return Refusal(shortage.value, EVACUATED_RETRY_AFTER_S)
    return Refusal(shortage.value, responses.MIN_RETRY_AFTER_S)
