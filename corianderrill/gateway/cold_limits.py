"""How many requests all hosts together send to a replica that is cold.

A cold replica crashes well above its limit in any second, so unlike the share of an
advertised limit, what a host does not use must not add up: hundreds of hosts that have
each saved one request would send them at the same moment, when the demand moves to the
replica. Each host has slots instead, one for each request that its share allows, at a
random phase. A slot is usable for a short time and then lost.

Where all hosts together have few requests for the service, so that even a surge of them
is within the bound, slots are usable for longer. Otherwise a host with few requests
would hardly ever find one usable.
"""

import dataclasses
import math
import random

from corianderrill.gateway import replicas

# A slot is usable for so long, in seconds, whatever the demand. This bounds how many
# slots of all hosts are usable when their demand begins at one moment.
MIN_OPEN_S = 0.5
# All hosts together use at most this part of the limit, and at most that of the
# bound. The slots of many hosts fall into a second at random, and the shares of hosts
# that know different reports may add up to one and a half.
MAX_PART_OF_LIMIT = 0.75
MAX_PART_OF_BOUND = 0.4
# The demand may grow by this factor before hosts tell each other.
SURGE_FACTOR = 3.0
# No host takes more than so many even shares: a host that knows the demand of few may
# not know that many others are cut off and take an even share each.
MAX_EVEN_SHARES = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Slots:
    """The slots of a host for one replica, and how long each is usable, in seconds."""

    interval_s: float
    open_s: float


@dataclasses.dataclass(slots=True)
class ColdLimits:
    """The slots of this host for requests to cold replicas, stored with each replica.

    In any second all hosts together may send the limit times `excess`, and `slack` more
    requests. Times are in seconds of the host's monotonic clock.
    """

    rng: random.Random
    excess: float = 1.5
    slack: float = 5.0

    def plan_slots(
        self, limit_per_s: float, share: float, host_count: float, demand_per_s: float
    ) -> Slots:
        """Return the slots of a host with a share of a limit, 0 to 1.

        `demand_per_s` is what all hosts have for the service, infinite if not known.
        """
        total_per_s = min(
            MAX_PART_OF_LIMIT * limit_per_s,
            MAX_PART_OF_BOUND * (self.excess * limit_per_s + self.slack),
        )
        capped_share = min(share, MAX_EVEN_SHARES / max(host_count, 1.0))
        own_per_s = capped_share * total_per_s
        if own_per_s <= 0.0:
            return Slots(math.inf, 0.0)
        interval_s = 1.0 / own_per_s
        # What a surge may send in a second, as much as from slots that open for
        # `MIN_OPEN_S` at any demand.
        surge_per_s = total_per_s * (1.0 + MIN_OPEN_S)
        open_part = surge_per_s / max(SURGE_FACTOR * demand_per_s, surge_per_s)
        open_s = min(max(MIN_OPEN_S, open_part * interval_s), interval_s)
        return Slots(interval_s, open_s)

    def compute_delay_s(
        self, replica: replicas.Replica, slots: Slots, now: float
    ) -> float:
        """Return the time until a slot is usable; 0 if one is now."""
        return max(self._find_slot(replica, slots, now) - now, 0.0)

    def use_slot(self, replica: replicas.Replica, slots: Slots, now: float) -> None:
        """Use the slot that is usable, or else the next one."""
        slot_at = self._find_slot(replica, slots, now)
        replica.cold_slot_at = slot_at + slots.interval_s

    def return_slot(self, replica: replicas.Replica, slots: Slots) -> None:
        """Give back the slot of a request that was not sent."""
        if replica.cold_slot_at is not None and math.isfinite(slots.interval_s):
            replica.cold_slot_at -= slots.interval_s

    def _find_slot(self, replica: replicas.Replica, slots: Slots, now: float) -> float:
        """Return the start of the slot that is usable now, or of the next one."""
        interval_s = slots.interval_s
        if not math.isfinite(interval_s):
            return math.inf
        slot_at = replica.cold_slot_at
        if slot_at is None or slot_at - now > interval_s:
            # The first slot, or the interval has become shorter.
            slot_at = now + interval_s * self.rng.random()
        lost_s = now - slot_at - slots.open_s
        if lost_s >= 0.0:
            slot_at += interval_s * (math.floor(lost_s / interval_s) + 1.0)
        replica.cold_slot_at = slot_at
        return slot_at
