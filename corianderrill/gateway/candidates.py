"""The replicas that the sub-requests of a request may go to, and why there are none."""

import enum
from collections.abc import Sequence

from corianderrill import names
from corianderrill.gateway import replicas, view

# The zones that a request may be sent to; None allows all.
AllowedZones = frozenset[names.ZoneName] | None


class Shortage(enum.Enum):
    """Why too few services have a replica; the values are logged.

    `EVACUATED` tells that evacuated replicas would do, `REGIONS` that those outside the
    allowed regions would.
    """

    EVACUATED = "evacuated"
    REGIONS = "regions"
    NO_REPLICAS = "no-replicas"


def select_allowed(
    candidates: list[replicas.Replica], allowed_zones: AllowedZones
) -> list[replicas.Replica]:
    """Return the candidates in allowed zones."""
    if allowed_zones is None:
        return candidates
    return [r for r in candidates if r.registration.zone in allowed_zones]


def list_candidates(
    known: view.View,
    service: names.ServiceName,
    now: float,
    allowed_zones: AllowedZones = None,
) -> list[replicas.Replica]:
    """Return the ready replicas of a service, or else those in their fallback time."""
    ready = select_allowed(known.list_ready(service), allowed_zones)
    return ready or select_allowed(known.list_fallback(service, now), allowed_zones)


def explain_shortage(
    known: view.View,
    services: Sequence[names.ServiceName],
    required: int,
    now: float,
    allowed_zones: AllowedZones,
) -> Shortage:
    """Return why fewer than the `required` services have candidates."""
    with_evacuated = sum(
        bool(list_candidates(known, service, now, allowed_zones))
        or bool(select_allowed(known.list_evacuated(service, now), allowed_zones))
        for service in services
    )
    if with_evacuated >= required:
        return Shortage.EVACUATED
    anywhere = sum(bool(list_candidates(known, service, now)) for service in services)
    return Shortage.REGIONS if anywhere >= required else Shortage.NO_REPLICAS
