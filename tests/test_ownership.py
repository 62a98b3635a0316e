import itertools

import hypothesis
import msgspec
from hypothesis import strategies

from corianderrill import connection_shares, messages, names, ownership
from tests.utils import hosts

ZONES = tuple(names.ZoneName(zone) for zone in "abc")
PLAN = ownership.SeatPlan(ZONES, 4)


def _build_record_with_seat(number: int, zone: str, seat: int) -> messages.MemberRecord:
    return msgspec.structs.replace(hosts.build_record(number, zone=zone), seat=seat)


@hypothesis.given(strategies.integers(1, 200), strategies.integers(1, 8))
@hypothesis.settings(derandomize=True)
def test_divided_connections_stay_within_the_cap_and_fill_the_slots_per_seat(
    cap, slots
):
    shares = connection_shares.divide_connections(cap, slots)
    assert shares.seats * shares.connections_per_seat <= cap
    assert shares.connections_per_seat >= min(cap, slots)


@hypothesis.given(
    strategies.integers(1, 120), strategies.integers(1, 4), strategies.integers(0, 500)
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_the_limits_of_all_seats_add_up_to_at_most_the_cap(cap, slots, number):
    server = hosts.build_backend_server(number, connection_cap=cap, slots=slots)
    replica_owners = ownership.Ownership(PLAN)
    seats = [
        ownership.SeatId(zone, seat)
        for zone, seat in itertools.product(ZONES, range(PLAN.seats_per_zone))
    ]
    assert (
        sum(replica_owners.get_connection_limit(server, seat) for seat in seats) <= cap
    )
    assert replica_owners.get_connection_limit(server, None) == 0


def test_owners_in_the_zone_of_the_replica_are_ranked_first():
    replica_owners = ownership.Ownership(PLAN)
    replica_owners.replace_members(
        [
            _build_record_with_seat(number, zone, seat)
            for number, (zone, seat) in enumerate(itertools.product("abc", range(4)))
        ]
    )
    server = hosts.build_backend_server(1, zone="b")
    zones = [seat.zone for seat in replica_owners.list_owner_seats(server)]
    assert len(zones) == connection_shares.divide_connections(25, 2).seats == 6
    assert zones[:4] == ["b"] * 4
    assert set(zones[4:]) == {"a", "c"}
    assert len(replica_owners.list_owners(server)) == 6


def test_a_member_without_a_seat_owns_no_replica():
    replica_owners = ownership.Ownership(PLAN)
    replica_owners.replace_members(
        [hosts.build_record(1), _build_record_with_seat(2, "a", 0)]
    )
    owners = replica_owners.list_owners(hosts.build_backend_server(1))
    assert owners == (hosts.build_member(2),)


def test_the_loss_of_a_member_moves_only_the_replicas_that_it_owned():
    records = [
        _build_record_with_seat(n, zone, n % 4) for n, zone in enumerate("aaaabbbbcccc")
    ]
    before, after = ownership.Ownership(PLAN), ownership.Ownership(PLAN)
    before.replace_members(records)
    after.replace_members(records[1:])
    for number in range(60):
        server = hosts.build_backend_server(number)
        owner = before.list_owners(server)[0]
        if owner != records[0].member:
            assert after.list_owners(server)[0] == owner


def test_first_owners_are_spread_over_the_seats_of_the_zone():
    replica_owners = ownership.Ownership(PLAN)
    first_seats = [
        replica_owners.list_owner_seats(hosts.build_backend_server(number))[0].number
        for number in range(400)
    ]
    assert all(60 <= first_seats.count(seat) <= 140 for seat in range(4))


def test_hosts_with_plans_of_their_own_zone_only_together_stay_within_the_cap():
    server = hosts.build_backend_server(1, zone="a")
    total = 0
    for zone in ZONES:
        replica_owners = ownership.Ownership(ownership.SeatPlan((zone,), 4))
        seats = [ownership.SeatId(zone, number) for number in range(4)]
        total += sum(
            replica_owners.get_connection_limit(server, seat) for seat in seats
        )
    assert 0 < total <= server.connection_cap
