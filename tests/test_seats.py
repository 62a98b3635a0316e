import hypothesis
from hypothesis import stateful, strategies

from corianderrill import connection_shares, hostlist, keyvalue, names, ownership, seats
from tests.utils import hosts, keyvalue_builders

ZONE = names.ZoneName("a")
SEATS = 4
# The rules rest on a list that lags less than `NEVER_LISTED_GONE_S`.
MAX_LAG_S = seats.NEVER_LISTED_GONE_S / 2


def _build_entry(number: int, incarnation: str = "a") -> seats.SeatEntry:
    return seats.SeatEntry(
        hosts.build_member(number, incarnation), hosts.build_address(number)
    )


def _start(rig, number: int, transport=None, absences=None, incarnation: str = "a"):
    client = keyvalue.Client(transport) if transport else rig.client()
    heard = []
    task = seats.SeatTask(
        client,
        ZONE,
        SEATS,
        _build_entry(number, incarnation),
        absences or seats.Absences(),
        heard.append,
    )
    task.heard = heard
    return task


def _list(*numbers: int) -> list[hostlist.EntryHost]:
    return [hosts.build_entry_host(number) for number in numbers]


def test_each_process_gets_a_seat_of_its_own_and_the_last_one_none():
    rig = keyvalue_builders.Rig()
    tasks = [_start(rig, number) for number in range(SEATS + 1)]
    for task in tasks:
        task.step()
    assert [task.seat.number for task in tasks[:SEATS]] == list(range(SEATS))
    assert tasks[SEATS].seat is None
    assert tasks[SEATS].phase is seats.Phase.SEEKING


def test_a_seat_that_was_given_back_is_taken_by_another():
    rig = keyvalue_builders.Rig()
    tasks = [_start(rig, number) for number in range(SEATS + 1)]
    for task in tasks:
        task.step()
    assert tasks[1].release()
    tasks[SEATS].step()
    assert tasks[SEATS].seat == ownership.SeatId(ZONE, 1)


def test_a_paused_holder_keeps_its_seat_while_the_platform_lists_it():
    rig = keyvalue_builders.Rig()
    absences = seats.Absences()
    for number in range(SEATS):
        _start(rig, number).step()
    late = _start(rig, 9, absences=absences)
    for step in range(1000):
        absences.take_list(_list(0, 1, 2, 3), step * 2.0)
        late.step()
    assert late.seat is None


def test_the_seat_of_a_host_that_the_platform_dropped_is_free_after_a_while():
    rig = keyvalue_builders.Rig()
    absences = seats.Absences()
    for number in range(SEATS):
        _start(rig, number).step()
    late = _start(rig, 9, absences=absences)
    absences.take_list(_list(0, 1, 2, 3), 0.0)
    late.step()
    absences.take_list(_list(0, 1, 3), 2.0)
    late.step()
    absences.take_list(_list(0, 1, 3), 2.0 + seats.GONE_S - 0.1)
    late.step()
    assert late.seat is None
    absences.take_list(_list(0, 1, 3), 2.0 + seats.GONE_S)
    late.step()
    assert late.seat == ownership.SeatId(ZONE, 2)


def test_a_holder_that_the_lagging_list_does_not_show_yet_keeps_its_seat():
    absences = seats.Absences()
    new = hosts.build_member(5)
    for step in range(60):
        absences.take_list(_list(1), step * 5.0)
        assert not absences.is_gone(new)
    absences.take_list(_list(1), seats.NEVER_LISTED_GONE_S)
    assert absences.is_gone(new)


def test_time_in_which_the_list_was_away_proves_nothing():
    absences = seats.Absences()
    absences.take_list(_list(1), 0.0)
    absences.take_list([], 1.0)
    member = hosts.build_member(1)
    assert not absences.is_gone(member)
    assert not absences.is_gone(member)
    absences.take_list(_list(1), 500.0)
    absences.take_list([], 501.0)
    assert not absences.is_gone(member)


def test_a_restart_on_the_same_address_takes_over_its_predecessors_seat():
    rig = keyvalue_builders.Rig()
    for number in range(SEATS):
        _start(rig, number).step()
    restarted = _start(rig, 2, incarnation="b")
    restarted.step()
    assert restarted.seat == ownership.SeatId(ZONE, 2)


def test_a_lost_reply_to_a_claim_is_settled_by_reading():
    for fault in keyvalue_builders.WriteFault:
        rig = keyvalue_builders.Rig()
        rival = _start(rig, 7)
        transport = keyvalue_builders.ScriptedTransport(rig, [fault], rival.step)
        task = _start(rig, 1, transport)
        for _ in range(3):
            task.step()
            rival.step()
        transport.deliver()
        for _ in range(2):
            task.step()
            rival.step()
        assert task.seat is not None, fault
        assert task.seat != rival.seat, fault
        held = rig.client().list(seats.PREFIX).entries
        assert len(held) == 2, fault


def test_a_service_that_came_back_older_loses_no_seat_to_another():
    rig = keyvalue_builders.Rig()
    task = _start(rig, 1)
    task.step()
    rig.platform.store.restore(names.Revision(0))
    task.step()
    assert len(rig.client().list(seats.PREFIX).entries) == 1
    other = _start(rig, 2)
    other.step()
    assert (task.seat.number, other.seat.number) == (0, 1)


def test_a_number_that_a_member_advertises_is_not_claimed():
    own = _build_entry(1)
    decision = seats.decide(own, (), SEATS, lambda member: False, {0, 1})
    assert decision == seats.Claim(2, keyvalue.CREATE_ONLY)
    full = seats.decide(own, (), SEATS, lambda member: False, set(range(SEATS)))
    assert full == seats.NoneFree()


def test_a_seat_that_another_process_took_is_given_up_and_counted():
    rig = keyvalue_builders.Rig()
    task = _start(rig, 1)
    task.step()
    rig.platform.store.restore(names.Revision(0))
    rival = _start(rig, 2)
    rival.step()
    task.step()
    assert task.lost == 1
    assert task.heard == [ownership.SeatId(ZONE, 0), None]


def test_an_unreadable_seat_is_left_alone():
    rig = keyvalue_builders.Rig()
    rig.client().put("seats/a/0", b"garbage", keyvalue.CREATE_ONLY)
    rig.client().put("seats/a/x", b"garbage", keyvalue.CREATE_ONLY)
    task = _start(rig, 1)
    task.step()
    assert task.seat.number == 1


class SeatMachine(stateful.RuleBasedStateMachine):
    """Processes start, pause, end and give back, under lost replies and a late list.

    The connections that living processes may hold to a replica never pass its cap.
    """

    def __init__(self):
        super().__init__()
        self.rig = keyvalue_builders.Rig()
        self.alive: dict[int, seats.SeatTask] = {}
        self.absences: dict[int, seats.Absences] = {}
        self.stopped: set[int] = set()
        self.listed: list[int] = []
        self.listed_s = self.rig.clock.now
        self.count = 0

    @stateful.rule()
    def start(self):
        if len(self.alive) > 7:
            return
        self.count += 1
        absences = seats.Absences()
        self.absences[self.count] = absences
        self.alive[self.count] = _start(self.rig, self.count, absences=absences)

    @stateful.precondition(lambda self: self.alive)
    @stateful.rule(number=strategies.integers(0, 20))
    def pause_or_resume(self, number):
        self.stopped ^= {sorted(self.alive)[number % len(self.alive)]}

    @stateful.precondition(lambda self: self.alive)
    @stateful.rule(number=strategies.integers(0, 20), gives_back=strategies.booleans())
    def end(self, number, gives_back):
        ended = sorted(self.alive)[number % len(self.alive)]
        task = self.alive.pop(ended)
        if gives_back and ended not in self.stopped:
            task.release()
        self.stopped.discard(ended)

    @stateful.rule()
    def refresh_list(self):
        self.listed = sorted(self.alive)
        self.listed_s = self.rig.clock.now

    @stateful.rule(lost=strategies.sampled_from(["", "requests", "replies"]))
    def lose_a_write(self, lost):
        self.rig.faults.lost_requests = int(lost == "requests")
        self.rig.faults.lost_replies = int(lost == "replies")

    @stateful.rule(is_down=strategies.booleans())
    def change_outage(self, is_down):
        self.rig.faults.down = is_down

    @stateful.rule(seconds=strategies.floats(1.0, 30.0))
    def pass_time(self, seconds):
        self.rig.clock.advance(seconds)
        if self.rig.clock.now - self.listed_s > MAX_LAG_S:
            self.refresh_list()
        for number, task in self.alive.items():
            if number not in self.stopped:
                entries = _list(*self.listed)
                self.absences[number].take_list(entries, self.rig.clock.now)
                task.step()

    @stateful.invariant()
    def no_two_living_processes_hold_one_seat(self):
        held = [task.seat for task in self.alive.values() if task.seat is not None]
        assert len(held) == len(set(held))
        owned = ownership.Ownership(ownership.SeatPlan((ZONE,), SEATS))
        server = hosts.build_backend_server(connection_cap=7, slots=2)
        shares = [owned.share_connections(server, seat) for seat in held]
        assert sum(shares) <= server.connection_cap
        assert connection_shares.divide_connections(7, 2).seats < SEATS


TestSeats = SeatMachine.TestCase
TestSeats.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
