import hypothesis
from hypothesis import stateful, strategies

from corianderrill import connection_shares, hostlist, keyvalue, names, ownership, seats
from tests.utils import hosts, keyvalue_builders

ZONE = names.ZoneName("a")
SEATS_PER_ZONE = 4
# Claiming the seat of a missing holder is safe only if the host list lags less than
# `MIN_ABSENCE_NEVER_LISTED_S`.
MAX_HOST_LIST_LAG_S = seats.MIN_ABSENCE_NEVER_LISTED_S / 2


def _build_entry(number: int, incarnation: str = "a") -> seats.SeatEntry:
    return seats.SeatEntry(
        hosts.build_member(number, incarnation), hosts.build_address(number)
    )


def _build_task(
    rig, number: int, transport=None, departures=None, incarnation: str = "a"
):
    client = keyvalue.Client(transport) if transport else rig.client()
    reported_seats = []
    task = seats.SeatTask(
        client,
        ZONE,
        SEATS_PER_ZONE,
        _build_entry(number, incarnation),
        departures or seats.DepartureDetector(),
        reported_seats.append,
    )
    task.reported_seats = reported_seats
    return task


def _list_entry_hosts(*numbers: int) -> list[hostlist.EntryHost]:
    return [hosts.build_entry_host(number) for number in numbers]


def test_each_process_gets_its_own_seat_and_none_once_all_are_held():
    rig = keyvalue_builders.Rig()
    tasks = [_build_task(rig, number) for number in range(SEATS_PER_ZONE + 1)]
    for task in tasks:
        task.reconcile()
    assert [task.seat.number for task in tasks[:SEATS_PER_ZONE]] == list(
        range(SEATS_PER_ZONE)
    )
    assert tasks[SEATS_PER_ZONE].seat is None
    assert tasks[SEATS_PER_ZONE].state is seats.SeatState.SEEKING


def test_a_released_seat_is_claimed_by_another_process():
    rig = keyvalue_builders.Rig()
    tasks = [_build_task(rig, number) for number in range(SEATS_PER_ZONE + 1)]
    for task in tasks:
        task.reconcile()
    assert tasks[1].release()
    tasks[SEATS_PER_ZONE].reconcile()
    assert tasks[SEATS_PER_ZONE].seat == ownership.SeatId(ZONE, 1)


def test_a_paused_holder_keeps_its_seat_while_the_platform_lists_it():
    rig = keyvalue_builders.Rig()
    departures = seats.DepartureDetector()
    for number in range(SEATS_PER_ZONE):
        _build_task(rig, number).reconcile()
    newcomer = _build_task(rig, 9, departures=departures)
    for step in range(1000):
        departures.record_host_list(_list_entry_hosts(0, 1, 2, 3), step * 2.0)
        newcomer.reconcile()
    assert newcomer.seat is None


def test_the_seat_of_an_unlisted_host_can_be_claimed_after_the_minimum_absence():
    rig = keyvalue_builders.Rig()
    departures = seats.DepartureDetector()
    for number in range(SEATS_PER_ZONE):
        _build_task(rig, number).reconcile()
    newcomer = _build_task(rig, 9, departures=departures)
    departures.record_host_list(_list_entry_hosts(0, 1, 2, 3), 0.0)
    newcomer.reconcile()
    departures.record_host_list(_list_entry_hosts(0, 1, 3), 2.0)
    newcomer.reconcile()
    departures.record_host_list(
        _list_entry_hosts(0, 1, 3), 2.0 + seats.MIN_ABSENCE_S - 0.1
    )
    newcomer.reconcile()
    assert newcomer.seat is None
    departures.record_host_list(_list_entry_hosts(0, 1, 3), 2.0 + seats.MIN_ABSENCE_S)
    newcomer.reconcile()
    assert newcomer.seat == ownership.SeatId(ZONE, 2)


def test_a_never_listed_holder_counts_as_departed_only_after_the_longer_absence():
    departures = seats.DepartureDetector()
    new = hosts.build_member(5)
    for step in range(60):
        departures.record_host_list(_list_entry_hosts(1), step * 5.0)
        assert not departures.has_departed(new)
    departures.record_host_list(_list_entry_hosts(1), seats.MIN_ABSENCE_NEVER_LISTED_S)
    assert departures.has_departed(new)


def test_absence_is_measured_between_readings_that_lack_the_member():
    departures = seats.DepartureDetector()
    departures.record_host_list(_list_entry_hosts(1), 0.0)
    departures.record_host_list([], 1.0)
    member = hosts.build_member(1)
    assert not departures.has_departed(member)
    assert not departures.has_departed(member)
    departures.record_host_list(_list_entry_hosts(1), 500.0)
    departures.record_host_list([], 501.0)
    assert not departures.has_departed(member)


def test_a_restart_on_the_same_address_takes_over_its_predecessors_seat():
    rig = keyvalue_builders.Rig()
    for number in range(SEATS_PER_ZONE):
        _build_task(rig, number).reconcile()
    restarted = _build_task(rig, 2, incarnation="b")
    restarted.reconcile()
    assert restarted.seat == ownership.SeatId(ZONE, 2)


def test_a_claim_with_an_unknown_outcome_is_resolved_by_reading_the_seats():
    for fault in keyvalue_builders.WriteFault:
        rig = keyvalue_builders.Rig()
        rival = _build_task(rig, 7)
        transport = keyvalue_builders.ScriptedTransport(rig, [fault], rival.reconcile)
        task = _build_task(rig, 1, transport)
        for _ in range(3):
            task.reconcile()
            rival.reconcile()
        transport.deliver()
        for _ in range(2):
            task.reconcile()
            rival.reconcile()
        assert task.seat is not None, fault
        assert task.seat != rival.seat, fault
        held = rig.client().list(seats.KEY_PREFIX).entries
        assert len(held) == 2, fault


def test_a_holder_keeps_its_seat_after_the_key_value_service_lost_its_key():
    rig = keyvalue_builders.Rig()
    task = _build_task(rig, 1)
    task.reconcile()
    rig.platform.store.restore(names.Revision(0))
    task.reconcile()
    assert len(rig.client().list(seats.KEY_PREFIX).entries) == 1
    other = _build_task(rig, 2)
    other.reconcile()
    assert (task.seat.number, other.seat.number) == (0, 1)


def test_a_number_that_a_member_advertises_is_not_claimed():
    own = _build_entry(1)
    action = seats.choose_action(own, (), SEATS_PER_ZONE, lambda member: False, {0, 1})
    assert action == seats.ClaimSeat(2, keyvalue.CREATE_ONLY)
    full = seats.choose_action(
        own, (), SEATS_PER_ZONE, lambda member: False, set(range(SEATS_PER_ZONE))
    )
    assert full == seats.NoSeatFree()


def test_a_seat_taken_by_another_process_is_reported_lost_and_counted():
    rig = keyvalue_builders.Rig()
    task = _build_task(rig, 1)
    task.reconcile()
    rig.platform.store.restore(names.Revision(0))
    rival = _build_task(rig, 2)
    rival.reconcile()
    task.reconcile()
    assert task.lost_count == 1
    assert task.reported_seats == [ownership.SeatId(ZONE, 0), None]


def test_a_seat_with_an_undecodable_value_is_not_claimed():
    rig = keyvalue_builders.Rig()
    rig.client().put("seats/a/0", b"garbage", keyvalue.CREATE_ONLY)
    rig.client().put("seats/a/x", b"garbage", keyvalue.CREATE_ONLY)
    task = _build_task(rig, 1)
    task.reconcile()
    assert task.seat.number == 1


class SeatMachine(stateful.RuleBasedStateMachine):
    """Processes start, pause, release and end, with lost writes and a stale host list.

    The connections that running processes may open to a replica never exceed its cap.
    """

    def __init__(self):
        super().__init__()
        self.rig = keyvalue_builders.Rig()
        self.running: dict[int, seats.SeatTask] = {}
        self.departures: dict[int, seats.DepartureDetector] = {}
        self.paused: set[int] = set()
        self.listed: list[int] = []
        self.list_read_s = self.rig.clock.now
        self.started_count = 0

    @stateful.rule()
    def start_process(self):
        if len(self.running) > 7:
            return
        self.started_count += 1
        departures = seats.DepartureDetector()
        self.departures[self.started_count] = departures
        self.running[self.started_count] = _build_task(
            self.rig, self.started_count, departures=departures
        )

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(number=strategies.integers(0, 20))
    def pause_or_resume_process(self, number):
        self.paused ^= {sorted(self.running)[number % len(self.running)]}

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(number=strategies.integers(0, 20), is_graceful=strategies.booleans())
    def end_process(self, number, is_graceful):
        ended = sorted(self.running)[number % len(self.running)]
        task = self.running.pop(ended)
        if is_graceful and ended not in self.paused:
            task.release()
        self.paused.discard(ended)

    @stateful.rule()
    def refresh_list(self):
        self.listed = sorted(self.running)
        self.list_read_s = self.rig.clock.now

    @stateful.rule(lost=strategies.sampled_from(["", "requests", "replies"]))
    def lose_a_write(self, lost):
        self.rig.faults.lost_requests = int(lost == "requests")
        self.rig.faults.lost_replies = int(lost == "replies")

    @stateful.rule(is_down=strategies.booleans())
    def set_outage(self, is_down):
        self.rig.faults.down = is_down

    @stateful.rule(seconds=strategies.floats(1.0, 30.0))
    def pass_time(self, seconds):
        self.rig.clock.advance(seconds)
        if self.rig.clock.now - self.list_read_s > MAX_HOST_LIST_LAG_S:
            self.refresh_list()
        for number, task in self.running.items():
            if number not in self.paused:
                entries = _list_entry_hosts(*self.listed)
                self.departures[number].record_host_list(entries, self.rig.clock.now)
                task.reconcile()

    @stateful.invariant()
    def held_seats_are_distinct_and_their_limits_stay_within_the_cap(self):
        held = [task.seat for task in self.running.values() if task.seat is not None]
        assert len(held) == len(set(held))
        replica_owners = ownership.Ownership(
            ownership.SeatPlan((ZONE,), SEATS_PER_ZONE)
        )
        server = hosts.build_backend_server(connection_cap=7, slots=2)
        shares = [replica_owners.get_connection_limit(server, seat) for seat in held]
        assert sum(shares) <= server.connection_cap
        # Some seats are no owner seats of this replica.
        assert connection_shares.divide_connections(7, 2).seats < SEATS_PER_ZONE


TestSeats = SeatMachine.TestCase
TestSeats.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
