"""The choice of a replica for one attempt: the least expected time to its reply."""

import random
from collections.abc import Collection, Sequence

from corianderrill import names
from corianderrill.gateway import replicas, zone_health

# Bytes between availability zones cost money, and the way is longer.
OTHER_ZONE_FACTOR = 2.6
OTHER_ZONE_S = 0.004
# Asked only where nothing else is left.
SUSPECT_ZONE_S = 1.0
# At this share of failures a reply counts twice its time; the excess grows with the
# square, since repeats are few and a rare failure is no reason to leave the zone.
FAILURE_SHARE_TOLERATED = 0.13
JITTER = 0.05


def select_replica(
    candidates: Sequence[replicas.Replica],
    zone: names.ZoneName,
    silence: zone_health.ZoneFailureDetector,
    expected_s: float,
    now: float,
    rng: random.Random,
    exclude: Collection[replicas.Replica] = (),
) -> replicas.Replica | None:
    """Return the candidate with the least cost; unavailable ones only if need be."""
    left = [replica for replica in candidates if replica not in exclude]
    usable = [replica for replica in left if replica.is_available(now)]
    usable = usable or [replica for replica in left if not replica.is_replaced]
    if len(usable) < 2:
        return usable[0] if usable else None
    return min(
        usable,
        key=lambda replica: (
            compute_cost(replica, zone, silence, expected_s, now)
            * (1.0 + JITTER * rng.random())
        ),
    )


def compute_cost(
    replica: replicas.Replica,
    zone: names.ZoneName,
    silence: zone_health.ZoneFailureDetector,
    expected_s: float,
    now: float,
) -> float:
    """Return the time to a usable reply to expect, in seconds."""
    estimate_s = expected_s * replica.estimate_slowness(now)
    if replica.pending_attempts:
        estimate_s = max(estimate_s, replica.get_oldest_attempt_age_s(now))
        slots = replica.registration.slots
        estimate_s *= 1.0 + len(replica.pending_attempts) / slots
    failures = replica.estimate_failure_rate(now) / FAILURE_SHARE_TOLERATED
    estimate_s *= 1.0 + failures**2
    if replica.registration.zone != zone:
        estimate_s = OTHER_ZONE_FACTOR * estimate_s + OTHER_ZONE_S
    if silence.is_suspect(replica.registration.zone, now):
        estimate_s += SUSPECT_ZONE_S
    return estimate_s
