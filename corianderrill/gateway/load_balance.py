"""Choice among the replicas that may take an attempt, so that load stays even.

Each candidate has a cost: the expected time to a usable reply. A replica of the own
zone takes the attempt while its cost is at most that of the best one elsewhere, which
includes the price of leaving the zone. Above that the share of attempts that spill over
grows with the excess, so a zone that fills up sheds a part of its load, not all of it.
Among candidates with similar costs the choice is random. Costs become similar as the
observations behind them age (`replica_load`), so the choice is the more random the less
is known.
"""

import enum
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from corianderrill.gateway import replica_load, replicas

# Largest random increase of a cost, as a share of it.
COST_JITTER = 0.05
# At this ratio of the lowest cost in the own zone to that elsewhere, all attempts leave
# the zone.
FULL_SPILL_RATIO = 1.2
# A replica whose median latency over this time is at least this multiple of what is
# expected is slow for longer than a pause or a slowdown, and is tried again less soon.
MIN_LASTING_S = 1.0
MIN_LASTING_SLOWNESS = 4.0


class Reason(enum.Enum):
    """Why a replica was chosen; the values are labels of a metric.

    `OWN_ZONE` is one of the own zone, `SPILL` one of another zone since those of the
    own zone cost more, `NO_OWN` one of another zone since the own zone has none.
    """

    OWN_ZONE = "own-zone"
    SPILL = "spill"
    NO_OWN = "no-own"


CROSS_ZONE_REASONS = (Reason.SPILL, Reason.NO_OWN)


class Choice(NamedTuple):
    """The chosen replica, and why."""

    replica: replicas.Replica
    reason: Reason


def choose(
    near: Sequence[replicas.Replica],
    far: Sequence[replicas.Replica],
    compute_cost_s: Callable[[replicas.Replica], float],
    min_far_cost_s: float,
    rng: random.Random,
) -> Choice:
    """Return the choice among the replicas of the own zone and of others.

    At least one is given. No replica elsewhere costs less than `min_far_cost_s`, so
    most choices need no look at them.
    """
    if not near:
        return Choice(_draw_cheapest(far, compute_cost_s, rng), Reason.NO_OWN)
    if not far and len(near) == 1:
        return Choice(near[0], Reason.OWN_ZONE)
    near_costs_s = [compute_cost_s(replica) for replica in near]
    lowest_near_s = min(near_costs_s)
    if far and lowest_near_s > min_far_cost_s:
        lowest_far_s = min(compute_cost_s(replica) for replica in far)
        if rng.random() < compute_spill_share(lowest_near_s, lowest_far_s):
            return Choice(_draw_cheapest(far, compute_cost_s, rng), Reason.SPILL)
    if len(near) == 1:
        return Choice(near[0], Reason.OWN_ZONE)
    return Choice(_draw_by_cost(near, near_costs_s, rng), Reason.OWN_ZONE)


def compute_spill_share(lowest_near_s: float, lowest_far_s: float) -> float:
    """Return the share of attempts that leave the own zone, 0 to 1."""
    excess = lowest_near_s / lowest_far_s - 1.0
    return min(max(excess / (FULL_SPILL_RATIO - 1.0), 0.0), 1.0)


def _draw_cheapest(
    candidates: Sequence[replicas.Replica],
    compute_cost_s: Callable[[replicas.Replica], float],
    rng: random.Random,
) -> replicas.Replica:
    if len(candidates) == 1:
        return candidates[0]
    costs_s = [compute_cost_s(replica) for replica in candidates]
    return _draw_by_cost(candidates, costs_s, rng)


def _draw_by_cost(
    candidates: Sequence[replicas.Replica],
    costs_s: Sequence[float],
    rng: random.Random,
) -> replicas.Replica:
    drawn = [cost_s * (1.0 + COST_JITTER * rng.random()) for cost_s in costs_s]
    return candidates[drawn.index(min(drawn))]


def estimate_latency_s(
    replica: replicas.Replica, expected_latency_s: float, now: float
) -> float:
    """Return the time to a reply of a replica, in seconds.

    It grows with the attempts of this host that the replica has not answered.
    """
    load = replica.load
    pending = replica.pending_attempts
    slowness = load.estimate_slowness(now)
    pending_weight = 1.0
    if load.report is not None and load.has_fresh_report(now):
        sent_since = sum(at > load.reported_at for at in pending.values())
        reported = load.estimate_reported_slowness(sent_since, now)
        slowness += replica_load.REPORT_WEIGHT * (reported - slowness)
        # The reported queue counts the pending attempts as well.
        pending_weight -= replica_load.REPORT_WEIGHT
    if now < replica.warmup_ends_at or replica.is_cold(now):
        slowness *= replicas.WARMUP_SLOWNESS_FACTOR
    if (
        replica.slowness >= MIN_LASTING_SLOWNESS
        and replica.get_sample_span_s() >= MIN_LASTING_S
    ):
        slowness = max(slowness, replica.estimate_slowness(now))
    latency_s = expected_latency_s * slowness
    if not pending:
        return latency_s
    latency_s = max(latency_s, replica.get_oldest_attempt_age_s(now))
    return latency_s * (
        1.0 + pending_weight * len(pending) / replica.registration.slots
    )
