"""Which hosts own a replica: rendezvous hashing over numbered seats.

A seat is a numbered slot of a zone, held by at most one process at a time (see
`seats`). Rendezvous hashing (Thaler, Ravishankar 1998) ranks seats, not hosts, for
each replica. The owner seats of a replica thus depend on the settings and the replica
alone, and all hosts compute the same ones whatever members they know. The host that
sends a query chooses among the owner seats by the members that it can use.
"""

import dataclasses
import hashlib
import itertools
from collections.abc import Iterable, Iterator

from corianderrill import connection_shares, hostlist, messages, names

# The number of owner seats of a replica divided by this (rounded down) is the number
# of them in other zones, so that the replica still has owners when all entry hosts of
# its own zone are lost. If its own zone has too few seats, more are in other zones.
OWNER_SEATS_PER_OTHER_ZONE_SEAT = 4


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class SeatId:
    """Identifies a seat; at most one process holds it."""

    zone: names.ZoneName
    number: int

    def __str__(self) -> str:
        return f"{self.zone}/{self.number}"


@dataclasses.dataclass(frozen=True, slots=True)
class SeatPlan:
    """All seats of a deployment; every host must use the same plan.

    A replica in a zone outside the plan has owner seats in its own zone only.
    """

    zones: tuple[names.ZoneName, ...]
    seats_per_zone: int


def list_owner_seats(
    plan: SeatPlan, replica: names.ReplicaId, zone: names.ZoneName, count: int
) -> tuple[SeatId, ...]:
    """Return the seats that may connect to a replica, best-ranked first.

    `count` is the number of seats wanted; if the plan has too few, fewer are returned.
    """
    own_zone_seats = _rank_zone_seats(plan, replica, zone)
    own_zone_count = min(
        len(own_zone_seats), count - count // OWNER_SEATS_PER_OTHER_ZONE_SEAT
    )
    if zone not in plan.zones:
        return own_zone_seats[:own_zone_count]
    other_zone_seats = itertools.islice(
        _iterate_other_zone_seats(plan, replica, zone), count - own_zone_count
    )
    return own_zone_seats[:own_zone_count] + tuple(other_zone_seats)


def _iterate_other_zone_seats(
    plan: SeatPlan, replica: names.ReplicaId, zone: names.ZoneName
) -> Iterator[SeatId]:
    """Yield the first-ranked seat of each other zone, then the second, and so on."""
    other_zones = [other for other in plan.zones if other != zone]
    other_zones.sort(key=lambda other: _compute_weight(replica, other), reverse=True)
    for rank in range(plan.seats_per_zone):
        for other in other_zones:
            yield _rank_zone_seats(plan, replica, other)[rank]


def _rank_zone_seats(
    plan: SeatPlan, replica: names.ReplicaId, zone: names.ZoneName
) -> tuple[SeatId, ...]:
    numbers = sorted(
        range(plan.seats_per_zone),
        key=lambda number: _compute_weight(replica, f"{zone}\0{number}"),
        reverse=True,
    )
    return tuple(SeatId(zone, number) for number in numbers)


def _compute_weight(replica: names.ReplicaId, candidate: str) -> bytes:
    # No name contains the separator byte, so different fields give different keys.
    key = f"{replica.fleet}\0{replica.host}\0{replica.incarnation}\0{candidate}"
    return hashlib.blake2b(key.encode(), digest_size=8).digest()


class Ownership:
    """The owners of replicas as one host sees them, with their owner seats cached."""

    def __init__(self, plan: SeatPlan) -> None:
        self._plan = plan
        self._owner_seats: dict[names.ReplicaId, tuple[SeatId, ...]] = {}
        self._members_by_seat: dict[SeatId, names.MemberId] = {}

    def replace_members(self, usable: Iterable[messages.MemberRecord]) -> None:
        """Replace the members that may own replicas, and the seats that they hold."""
        self._members_by_seat = {
            SeatId(record.zone, record.seat): record.member
            for record in usable
            if record.seat != messages.NO_SEAT
        }

    def list_owners(self, server: hostlist.BackendServer) -> tuple[names.MemberId, ...]:
        """Return the usable owners of a replica, best-ranked first."""
        return tuple(
            self._members_by_seat[seat]
            for seat in self.list_owner_seats(server)
            if seat in self._members_by_seat
        )

    def get_connection_limit(
        self, server: hostlist.BackendServer, seat: SeatId | None
    ) -> int:
        """Return how many connections to a replica the holder of a seat may open.

        The limit is 0 without a seat or with one that is no owner seat of the replica.
        """
        if seat is None or seat not in self.list_owner_seats(server):
            return 0
        return _divide_connections(server).connections_per_seat

    def list_owner_seats(self, server: hostlist.BackendServer) -> tuple[SeatId, ...]:
        """Return the owner seats of a replica, from the cache if present."""
        seats = self._owner_seats.get(server.replica)
        if seats is None:
            seats = list_owner_seats(
                self._plan,
                server.replica,
                server.zone,
                _divide_connections(server).seats,
            )
            self._owner_seats[server.replica] = seats
        return seats

    def forget(self, replica: names.ReplicaId) -> None:
        """Drop the cached owner seats of a replica that no longer exists."""
        self._owner_seats.pop(replica, None)


def _divide_connections(
    server: hostlist.BackendServer,
) -> connection_shares.ConnectionShares:
    return connection_shares.divide_connections(server.connection_cap, server.slots)
