"""Tells whether enough services of a request have replicas that can take it."""

import dataclasses
import math

from corianderrill import names
from corianderrill.gateway import replicas, responses, routes, shared_state

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
    """Refuses requests of which too few services have a replica that can take them."""

    shared: shared_state.SharedState
    _last_zone_probe_at: float = 0.0

    def find_refusal(
        self, route: routes.Route, services: tuple[names.ServiceName, ...], now: float
    ) -> Refusal | None:
        """Return why the request is refused, or None if it is forwarded.

        It is refused if too few of its services have a replica that wants requests, in
        a zone that is not suspected to be cut off.
        """
        required = route.count_required_replies(len(services))
        candidates_by_service = [
            self._list_candidates(service, now) for service in services
        ]
        if sum(map(bool, candidates_by_service)) < required:
            return Refusal("no-replicas", responses.MIN_RETRY_AFTER_S)
        pauses_s = [
            min((r.quiet_until - now for r in candidates), default=math.inf)
            for candidates in candidates_by_service
        ]
        pause_s = sorted(pauses_s)[required - 1]
        if pause_s > 0.0:
            return Refusal("replicas-quiet", max(pause_s, responses.MIN_RETRY_AFTER_S))
        if (
            sum(
                self._has_candidate_in_healthy_zone(candidates, now)
                for candidates in candidates_by_service
            )
            >= required
        ):
            return None
        if now - self._last_zone_probe_at >= ZONE_PROBE_INTERVAL_S:
            # This request probes whether the zones are reachable again.
            self._last_zone_probe_at = now
            return None
        return Refusal("zones-cut-off", responses.MIN_RETRY_AFTER_S)

    def _list_candidates(
        self, service: names.ServiceName, now: float
    ) -> list[replicas.Replica]:
        view = self.shared.view
        return view.list_ready(service) or view.list_fallback(service, now)

    def _has_candidate_in_healthy_zone(
        self, candidates: list[replicas.Replica], now: float
    ) -> bool:
        zone_detector = self.shared.zone_detector
        return any(
            not zone_detector.is_suspect(replica.registration.zone, now)
            for replica in candidates
        )
