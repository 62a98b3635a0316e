"""Selection of the replica for one attempt: the one with the lowest estimated cost.

The cost is the expected time to a usable reply, in seconds. It grows with the replica's
slowness, pending attempts and failure rate, and is higher in another zone.
"""

import random
from collections.abc import Collection, Sequence

from corianderrill import names
from corianderrill.gateway import replicas, zone_health

# Traffic between availability zones costs money, and its network latency is higher.
CROSS_ZONE_COST_FACTOR = 2.6
CROSS_ZONE_PENALTY_S = 0.004
# Large enough that a replica in a suspect zone is used only if there is no other.
SUSPECT_ZONE_PENALTY_S = 1.0
# At this failure rate the cost doubles. It grows with the square of the failure rate:
# the retry budget covers only few failures, but a rare failure must not move requests
# to another zone.
COST_DOUBLING_FAILURE_RATE = 0.13
# Largest random increase of a cost, as a share of it.
COST_JITTER = 0.05


def select_replica(
    candidates: Sequence[replicas.Replica],
    own_zone: names.ZoneName,
    zone_detector: zone_health.ZoneFailureDetector,
    expected_latency_s: float,
    now: float,
    rng: random.Random,
    exclude: Collection[replicas.Replica] = (),
) -> replicas.Replica | None:
    """Return the candidate with the lowest cost, or None if there is none.

    An unavailable candidate is returned only if no candidate is available, a replaced
    one never.
    """
    untried = [replica for replica in candidates if replica not in exclude]
    eligible = [replica for replica in untried if replica.is_available(now)]
    eligible = eligible or [replica for replica in untried if not replica.is_replaced]
    if len(eligible) < 2:
        return eligible[0] if eligible else None
    return min(
        eligible,
        key=lambda replica: (
            compute_cost_s(replica, own_zone, zone_detector, expected_latency_s, now)
            * (1.0 + COST_JITTER * rng.random())
        ),
    )


def compute_cost_s(
    replica: replicas.Replica,
    own_zone: names.ZoneName,
    zone_detector: zone_health.ZoneFailureDetector,
    expected_latency_s: float,
    now: float,
) -> float:
    """Return the expected time to a usable reply, in seconds, with all penalties."""
    cost_s = expected_latency_s * replica.estimate_slowness(now)
    if replica.pending_attempts:
        cost_s = max(cost_s, replica.get_oldest_attempt_age_s(now))
        slots = replica.registration.slots
        cost_s *= 1.0 + len(replica.pending_attempts) / slots
    failure_ratio = replica.estimate_failure_rate(now) / COST_DOUBLING_FAILURE_RATE
    cost_s *= 1.0 + failure_ratio**2
    if replica.registration.zone != own_zone:
        cost_s = CROSS_ZONE_COST_FACTOR * cost_s + CROSS_ZONE_PENALTY_S
    if zone_detector.is_suspect(replica.registration.zone, now):
        cost_s += SUSPECT_ZONE_PENALTY_S
    return cost_s
