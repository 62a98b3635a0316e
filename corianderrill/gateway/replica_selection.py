"""Selection of the replica for one attempt: the estimated cost of each candidate.

The cost is the expected time to a usable reply, in seconds. It grows with the replica's
load, pending attempts and failure rate, and is higher in another zone. `load_balance`
chooses by the costs.
"""

import random
from collections.abc import Callable, Collection, Sequence

from corianderrill import names
from corianderrill.gateway import load_balance, replica_load, replicas, zone_health

# Traffic between availability zones costs money, and its network latency is higher.
CROSS_ZONE_COST_FACTOR = 2.6
CROSS_ZONE_PENALTY_S = 0.004
# Large enough that a replica in a suspect zone is used only if there is no other.
SUSPECT_ZONE_PENALTY_S = 1.0
# At this failure rate the cost doubles. It grows with the square of the failure rate:
# the retry budget covers only few failures, but a rare failure must not move requests
# to another zone.
COST_DOUBLING_FAILURE_RATE = 0.13


def _ignore_choice(_choice: load_balance.Choice) -> None:
    """Do nothing; the default for `on_cross_zone`."""


def select_replica(
    candidates: Sequence[replicas.Replica],
    own_zone: names.ZoneName,
    zone_detector: zone_health.ZoneFailureDetector,
    expected_latency_s: float,
    now: float,
    rng: random.Random,
    exclude: Collection[replicas.Replica] = (),
    on_cross_zone: Callable[[load_balance.Choice], None] = _ignore_choice,
) -> replicas.Replica | None:
    """Return the candidate that `load_balance` chooses, or None if there is none.

    An unavailable candidate is returned only if no candidate is available, a replaced
    one never. `on_cross_zone` is told of choices in another zone.
    """
    untried = [replica for replica in candidates if replica not in exclude]
    eligible = [replica for replica in untried if replica.is_available(now)]
    eligible = eligible or [replica for replica in untried if not replica.is_replaced]
    if not eligible:
        return None
    near = [r for r in eligible if r.registration.zone == own_zone]
    far = [r for r in eligible if r.registration.zone != own_zone]
    min_cost_s = expected_latency_s * replica_load.MIN_SLOWNESS
    choice = load_balance.choose(
        near,
        far,
        lambda replica: compute_cost_s(
            replica, own_zone, zone_detector, expected_latency_s, now
        ),
        CROSS_ZONE_COST_FACTOR * min_cost_s + CROSS_ZONE_PENALTY_S,
        rng,
    )
    if choice.reason in load_balance.CROSS_ZONE_REASONS:
        on_cross_zone(choice)
    return choice.replica


def compute_cost_s(
    replica: replicas.Replica,
    own_zone: names.ZoneName,
    zone_detector: zone_health.ZoneFailureDetector,
    expected_latency_s: float,
    now: float,
) -> float:
    """Return the expected time to a usable reply, in seconds, with all penalties."""
    cost_s = load_balance.estimate_latency_s(replica, expected_latency_s, now)
    failure_ratio = replica.estimate_failure_rate(now) / COST_DOUBLING_FAILURE_RATE
    cost_s *= 1.0 + failure_ratio**2
    if replica.registration.zone != own_zone:
        cost_s = CROSS_ZONE_COST_FACTOR * cost_s + CROSS_ZONE_PENALTY_S
    if zone_detector.is_suspect(replica.registration.zone, now):
        cost_s += SUSPECT_ZONE_PENALTY_S
    return cost_s
