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
from collections.abc import Sequence
from typing import NamedTuple

from corianderrill.gateway import replica_load, replicas

# Largest random increase of a cost, as a share of it.
COST_JITTER = 0.05
# At this ratio of the lowest cost in the own zone to that elsewhere, all leave.
FULL_SPILL_RATIO = 1.2
# A replica whose median latency over this time is at least this multiple of what is
# expected is slow for longer than a pause or a slowdown, and is tried again less soon.
MIN_LASTING_S = 1.0
MIN_LASTING_SLOWNESS = 4.0


class Reason(enum.Enum):
    """Why a replica was chosen; the values are labels of a metric.

    `ONLY` is the only candidate, `OWN_ZONE` the best of the own zone, `SPILL` one of
    another zone since those of the own zone cost more, `NO_OWN` one of another zone
    since the own zone has none.
    """

    ONLY = "only"
    OWN_ZONE = "own-zone"
    SPILL = "spill"
    NO_OWN = "no-own"


class Candidate(NamedTuple):
    """A replica with its cost in seconds, and whether it is in the own zone."""

    replica: replicas.Replica
    cost_s: float
    is_near: bool


class Choice(NamedTuple):
    """The chosen replica, and why."""

    replica: replicas.Replica
    reason: Reason


def choose(candidates: Sequence[Candidate], rng: random.Random) -> Choice:
    """Return the choice among at least one candidate."""
    if len(candidates) == 1:
        return Choice(candidates[0].replica, Reason.ONLY)
    near = [candidate for candidate in candidates if candidate.is_near]
    if not near:
        return Choice(_draw_cheapest(candidates, rng), Reason.NO_OWN)
    if len(near) < len(candidates):
        far = [candidate for candidate in candidates if not candidate.is_near]
        if rng.random() < compute_spill_share(near, far):
            return Choice(_draw_cheapest(far, rng), Reason.SPILL)
    return Choice(_draw_cheapest(near, rng), Reason.OWN_ZONE)


def compute_spill_share(near: Sequence[Candidate], far: Sequence[Candidate]) -> float:
    """Return the share of attempts that leave the own zone, 0 to 1."""
    lowest_near_s = min(candidate.cost_s for candidate in near)
    lowest_far_s = min(candidate.cost_s for candidate in far)
    if lowest_near_s <= lowest_far_s:
        return 0.0
    excess = lowest_near_s / lowest_far_s - 1.0
    return min(excess / (FULL_SPILL_RATIO - 1.0), 1.0)


def _draw_cheapest(
    candidates: Sequence[Candidate], rng: random.Random
) -> replicas.Replica:
    if len(candidates) == 1:
        return candidates[0].replica
    cheapest = min(
        candidates,
        key=lambda candidate: candidate.cost_s * (1.0 + COST_JITTER * rng.random()),
    )
    return cheapest.replica


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
    if load.has_fresh_report(now):
        sent_since = sum(at > load.reported_at for at in pending.values())
        reported = load.estimate_reported_slowness(sent_since, now)
        slowness += replica_load.REPORT_WEIGHT * (reported - slowness)
        pending_weight -= replica_load.REPORT_WEIGHT
    slowness *= replica.get_warmup_factor(now)
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
