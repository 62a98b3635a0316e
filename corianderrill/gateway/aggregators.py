"""Aggregators: hosts that send and merge queries over shards for other hosts.

Where many hosts share the load, each of them queries a replica rarely: its connections
have been closed and its observations are old. A few hosts of each availability zone
therefore act as aggregators. Each holds a slot of its zone in the platform's store,
under a lease, so all hosts learn of it with the watch that they have open anyway.

Holding a slot is a hint where to send, not a permission: any host answers a query that
is delegated to it, and a host that lost its slot unnoticed does no harm.
"""

import dataclasses
import math
import random
from typing import NewType

from corianderrill import names

Slot = NewType("Slot", int)

SLOTS_PER_ZONE = 2
# An aggregator that failed gets no queries for this time, which doubles with each
# further failure.
BACKOFF_BASE_S = 1.0
MAX_BACKOFF_S = 8.0
# Another aggregator of the zone may be watched after this time, so that the hosts of a
# zone spread over its aggregators again after one was away.
RELAY_TERM_S = 25.0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotKey:
    """One of the aggregator slots of a zone."""

    zone: names.ZoneName
    slot: Slot

    def __str__(self) -> str:
        return f"{self.zone}/{self.slot}"


@dataclasses.dataclass(frozen=True, slots=True)
class Aggregator:
    """A host that holds an aggregator slot, and its address for delegated queries.

    `capacity_cores` is the processor time that it has, in cores. `era` is that of the
    store when the slot was taken.
    """

    key: SlotKey
    host: names.HostName
    address: names.Address
    capacity_cores: float = 0.0
    era: int = 0


@dataclasses.dataclass(slots=True)
class _Health:
    consecutive_failures: int = 0
    unavailable_until: float = -math.inf


@dataclasses.dataclass(slots=True)
class AggregatorDirectory:
    """The aggregators that a host knows, and how they did for it.

    Times are in seconds of the host's monotonic clock.
    """

    own_host: names.HostName
    # Whether the holders of slots take queries and relay store calls. On small sites,
    # they are quota lessors only.
    has_aggregators: bool = True
    # The era of the store that the revisions below are of.
    era: int = 0
    _holders: dict[SlotKey, Aggregator | None] = dataclasses.field(default_factory=dict)
    _revisions: dict[SlotKey, int] = dataclasses.field(default_factory=dict)
    _health: dict[names.Address, _Health] = dataclasses.field(default_factory=dict)
    _relay_health: dict[names.Address, _Health] = dataclasses.field(
        default_factory=dict
    )
    # The aggregator that is watched in place of the store, until this time at most.
    _relay: Aggregator | None = None
    _relay_until: float = -math.inf

    def apply(self, key: SlotKey, holder: Aggregator | None, revision: int) -> bool:
        """Set who holds a slot; return False if a newer revision was applied before."""
        if revision <= self._revisions.get(key, 0):
            return False
        self._revisions[key] = revision
        self._holders[key] = holder
        if holder is not None:
            self._health.pop(holder.address, None)
            self._relay_health.pop(holder.address, None)
        return True

    def enter_era(self, era: int) -> None:
        """Take any revision for a new one, since the store counts them anew."""
        self.era = era
        self._revisions.clear()

    def list_keys(self) -> set[SlotKey]:
        """Return the slots that are held."""
        return {key for key, holder in self._holders.items() if holder is not None}

    def find_holder(self, key: SlotKey) -> Aggregator | None:
        """Return who is known to hold a slot."""
        return self._holders.get(key)

    def get_revision(self, key: SlotKey) -> int:
        """Return the store's revision at which the holder of a slot was known."""
        return self._revisions.get(key, 0)

    def list_own(self) -> list[Aggregator]:
        """Return the slots that this host is known to hold, in order of their names."""
        own = [
            holder
            for holder in self._holders.values()
            if holder is not None and holder.host == self.own_host
        ]
        return sorted(own, key=lambda holder: str(holder.key))

    def list_vacant(self, zone: names.ZoneName) -> list[SlotKey]:
        """Return the slots of a zone that nobody is known to hold."""
        keys = (SlotKey(zone, Slot(slot)) for slot in range(SLOTS_PER_ZONE))
        return [key for key in keys if self._holders.get(key) is None]

    def is_aggregator(self) -> bool:
        """Return whether this host is known to hold a slot, and takes queries."""
        return self.has_aggregators and any(
            holder is not None and holder.host == self.own_host
            for holder in self._holders.values()
        )

    def select(
        self, zone: names.ZoneName, now: float, rng: random.Random
    ) -> Aggregator | None:
        """Return the available aggregator of a zone that has the most capacity.

        Return a random one of equals, and None if there is none but this host.
        """
        available = self._list_available(zone, now, self._health)
        if not available:
            return None
        most_cores = max(holder.capacity_cores for holder in available)
        return rng.choice(
            [holder for holder in available if holder.capacity_cores == most_cores]
        )

    def select_relay(
        self, zone: names.ZoneName, now: float, rng: random.Random
    ) -> Aggregator | None:
        """Return an aggregator to watch in place of the store, if there is one.

        It stays the same for a while, and as long as it is available. An aggregator
        itself watches the store.
        """
        if self.is_aggregator():
            return None
        available = self._list_available(zone, now, self._relay_health)
        if self._relay not in available or now >= self._relay_until:
            self._relay = rng.choice(available) if available else None
            self._relay_until = now + RELAY_TERM_S
        return self._relay

    def _list_available(
        self,
        zone: names.ZoneName,
        now: float,
        health_by_address: dict[names.Address, _Health],
    ) -> list[Aggregator]:
        return [
            holder
            for key, holder in self._holders.items()
            if self.has_aggregators
            and key.zone == zone
            and holder is not None
            and holder.host != self.own_host
            and health_by_address.get(holder.address, _Health()).unavailable_until
            <= now
        ]

    def record_success(self, aggregator: Aggregator) -> None:
        """Record an answer of an aggregator."""
        self._health.pop(aggregator.address, None)

    def record_failure(self, aggregator: Aggregator, now: float) -> None:
        """Record that an aggregator refused, failed or did not answer in time."""
        _record_failure(self._health, aggregator.address, now)

    def record_relay_failure(self, aggregator: Aggregator, now: float) -> None:
        """Record that an aggregator does not answer in place of the store."""
        _record_failure(self._relay_health, aggregator.address, now)


def _record_failure(
    health_by_address: dict[names.Address, _Health],
    address: names.Address,
    now: float,
) -> None:
    health = health_by_address.setdefault(address, _Health())
    if now < health.unavailable_until:
        return
    backoff_s = BACKOFF_BASE_S * 2 ** min(health.consecutive_failures, 6)
    health.consecutive_failures += 1
    health.unavailable_until = now + min(backoff_s, MAX_BACKOFF_S)
