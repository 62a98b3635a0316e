"""Which hosts own a replica: rendezvous hashing over numbered seats.

Seats, not hosts, are hashed (Thaler, Ravishankar 1998). A replica's owner seats thus
depend on the settings alone and are the same in every view; which of them serves is
the choice of the origin, by the members that it can use.
"""

import dataclasses
import hashlib
import itertools
from collections.abc import Iterable, Iterator

from corianderrill import connection_shares, hostlist, messages, names

# The share of a replica's owner seats in other zones, for the loss of all entry
# hosts of its own zone.
FAR_SHARE = 4


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class SeatId:
    """One numbered seat of a zone; at most one process holds it."""

    zone: names.ZoneName
    number: int

    def __str__(self) -> str:
        return f"{self.zone}/{self.number}"


@dataclasses.dataclass(frozen=True, slots=True)
class SeatPlan:
    """The seats of a deployment; every host must have the same plan.

    A replica in a zone outside the plan is owned by seats of its own zone alone.
    """

    zones: tuple[names.ZoneName, ...]
    seats_per_zone: int


def list_owner_seats(
    plan: SeatPlan, replica: names.ReplicaId, zone: names.ZoneName, count: int
) -> tuple[SeatId, ...]:
    """Return the seats that may connect to a replica, first choice first."""
    near = _rank_seats(plan, replica, zone)
    near_count = min(len(near), count - count // FAR_SHARE)
    if zone not in plan.zones:
        return near[:near_count]
    far = itertools.islice(_list_far_seats(plan, replica, zone), count - near_count)
    return near[:near_count] + tuple(far)


def _list_far_seats(
    plan: SeatPlan, replica: names.ReplicaId, zone: names.ZoneName
) -> Iterator[SeatId]:
    """Yield the first choice in each other zone, then the second, and so on."""
    others = [other for other in plan.zones if other != zone]
    others.sort(key=lambda other: _weigh(replica, other), reverse=True)
    for place in range(plan.seats_per_zone):
        for other in others:
            yield _rank_seats(plan, replica, other)[place]


def _rank_seats(
    plan: SeatPlan, replica: names.ReplicaId, zone: names.ZoneName
) -> tuple[SeatId, ...]:
    numbers = sorted(
        range(plan.seats_per_zone),
        key=lambda number: _weigh(replica, f"{zone}\0{number}"),
        reverse=True,
    )
    return tuple(SeatId(zone, number) for number in numbers)


def _weigh(replica: names.ReplicaId, candidate: str) -> bytes:
    # The fields are joined by a byte that no name holds, so that equal keys mean
    # equal fields.
    key = f"{replica.fleet}\0{replica.host}\0{replica.incarnation}\0{candidate}"
    return hashlib.blake2b(key.encode(), digest_size=8).digest()


class Ownership:
    """Owners of replicas in the view of one host, computed once and kept."""

    def __init__(self, plan: SeatPlan) -> None:
        self._plan = plan
        self._seats: dict[names.ReplicaId, tuple[SeatId, ...]] = {}
        self._holders: dict[SeatId, names.MemberId] = {}

    def replace_members(self, usable: Iterable[messages.MemberRecord]) -> None:
        """Take the members that may be given work."""
        self._holders = {
            SeatId(record.zone, record.seat): record.member
            for record in usable
            if record.seat != messages.NO_SEAT
        }

    def list_owners(self, server: hostlist.BackendServer) -> tuple[names.MemberId, ...]:
        """Return the usable owners of a replica, first choice first."""
        return tuple(
            self._holders[seat]
            for seat in self.list_seats(server)
            if seat in self._holders
        )

    def share_connections(
        self, server: hostlist.BackendServer, seat: SeatId | None
    ) -> int:
        """Return how many connections the holder of a seat may have to a replica."""
        if seat is None or seat not in self.list_seats(server):
            return 0
        return _divide(server).connections_per_seat

    def list_seats(self, server: hostlist.BackendServer) -> tuple[SeatId, ...]:
        """Return the seats that may connect to a replica, first choice first."""
        seats = self._seats.get(server.replica)
        if seats is None:
            seats = list_owner_seats(
                self._plan, server.replica, server.zone, _divide(server).seats
            )
            self._seats[server.replica] = seats
        return seats

    def forget(self, replica: names.ReplicaId) -> None:
        """Drop what is kept of a replica that is gone."""
        self._seats.pop(replica, None)


def _divide(server: hostlist.BackendServer) -> connection_shares.ConnectionShares:
    return connection_shares.divide_connections(server.connection_cap, server.slots)
