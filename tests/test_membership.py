import random

import hypothesis
import msgspec
from hypothesis import stateful, strategies

from corianderrill import hostlist, membership, messages, names
from corianderrill.measures import membership as measure
from tests.utils import hosts

ALIVE = messages.MemberState.ALIVE
SUSPECT = messages.MemberState.SUSPECT
LEAVING = messages.MemberState.LEAVING
DEAD = messages.MemberState.DEAD

CONVERGENCE_TIME_S = 20.0


def _build_membership_of_one_host() -> membership.Membership:
    return membership.Membership(hosts.build_record(0), 0.0)


def _list_usable(fleet: measure.Fleet, member: names.MemberId) -> set[names.MemberId]:
    return {record.member for record in fleet.hosts[member].list_usable()}


def _start_settled_fleet(count: int = 9) -> measure.Fleet:
    fleet = measure.start_fleet(count)
    fleet.run(CONVERGENCE_TIME_S)
    return fleet


def test_listed_hosts_become_usable_once_they_answer():
    fleet = measure.start_fleet(9)
    assert all(len(host.list_usable()) == 1 for host in fleet.hosts.values())
    fleet.run(2.0)
    assert all(_list_usable(fleet, each) == set(fleet.hosts) for each in fleet.hosts)


def test_listed_host_that_never_answers_is_never_usable():
    view = _build_membership_of_one_host()
    rng = random.Random(1)
    view.apply_host_list([hosts.build_entry_host(1)], 0.0)
    for step in range(400):
        view.tick(step * membership.TICK_S, rng)
        assert [each.member for each in view.list_usable()] == [view.own_record.member]
    assert view.get_state(hosts.build_member(1)) is DEAD


def test_all_hosts_detect_a_killed_host_within_3_seconds():
    fleet = _start_settled_fleet()
    killed = next(iter(fleet.hosts))
    fleet.kill(killed)
    fleet.run(3.0)
    assert all(killed not in _list_usable(fleet, each) for each in fleet.hosts)
    fleet.run(10.0)
    assert {host.get_state(killed) for host in fleet.hosts.values()} == {DEAD}


def test_all_hosts_stop_using_a_leaving_host_at_once():
    fleet = _start_settled_fleet()
    leaving = next(iter(fleet.hosts))
    fleet.leave(leaving)
    fleet.run(0.1)
    assert all(leaving not in _list_usable(fleet, each) for each in fleet.hosts)
    fleet.run(60.0)
    states = {host.get_state(leaving) for host in fleet.hosts.values()}
    assert states == {LEAVING}


def test_host_that_the_list_marks_as_leaving_is_leaving():
    view = _build_membership_of_one_host()
    entry_host = hosts.build_entry_host(1)
    view.apply_host_list([entry_host], 0.0)
    leaving = hostlist.EntryHost(
        entry_host.host,
        entry_host.incarnation,
        entry_host.zone,
        entry_host.caller_address,
        entry_host.peer_address,
        hostlist.HostState.LEAVING,
    )
    view.apply_host_list([leaving], 1.0)
    assert view.get_state(entry_host.member) is LEAVING


def test_view_is_stale_from_the_pause_until_the_next_round_of_probes_ends():
    fleet = _start_settled_fleet()
    member = next(iter(fleet.hosts))
    host = fleet.hosts[member]
    assert host.assess_freshness(fleet.now) is membership.ViewFreshness.FRESH
    fleet.pause(member)
    fleet.run(30.0)
    assert host.assess_freshness(fleet.now) is membership.ViewFreshness.STALE
    fleet.resume(member)
    fleet.run(0.0)
    assert host.assess_freshness(fleet.now) is membership.ViewFreshness.STALE
    fleet.run(1.5 * measure.DELAY_S)
    assert host.assess_freshness(fleet.now) is membership.ViewFreshness.STALE
    assert _list_usable(fleet, member) == {member}
    fleet.run(3.0)
    assert host.assess_freshness(fleet.now) is membership.ViewFreshness.FRESH
    assert all(_list_usable(fleet, each) == set(fleet.hosts) for each in fleet.hosts)


def test_view_after_a_pause_holds_only_the_own_host_if_no_other_answers():
    fleet = _start_settled_fleet()
    member = next(iter(fleet.hosts))
    fleet.pause(member)
    fleet.run(10.0)
    for other in tuple(fleet.hosts):
        if other != member:
            fleet.kill(other)
    fleet.resume(member)
    fleet.run(3.0)
    assert (
        fleet.hosts[member].assess_freshness(fleet.now)
        is membership.ViewFreshness.FRESH
    )
    assert _list_usable(fleet, member) == {member}


def test_host_whose_tick_ran_late_suspects_no_member():
    view = _build_membership_of_one_host()
    rng = random.Random(1)
    view.apply_host_list([hosts.build_entry_host(1)], 0.0)
    assert view.tick(0.0, rng)
    view.tick(membership.LATE_THRESHOLD_S + membership.PROBE_TIMEOUT_S + 0.1, rng)
    assert view.get_state(hosts.build_member(1)) is ALIVE


def test_partitioned_zone_keeps_its_members_and_rejoins_within_5_seconds():
    fleet = _start_settled_fleet()
    zones = {host.own_record.zone for host in fleet.hosts.values()}
    isolated_zone = min(zones)
    fleet.cut = {frozenset((isolated_zone, other)) for other in zones - {isolated_zone}}
    fleet.run(60.0)
    inside = {
        each
        for each, host in fleet.hosts.items()
        if host.own_record.zone == isolated_zone
    }
    for member in fleet.hosts:
        reachable_members = inside if member in inside else set(fleet.hosts) - inside
        assert _list_usable(fleet, member) == reachable_members
    fleet.cut = set()
    fleet.run(5.0)
    assert all(_list_usable(fleet, each) == set(fleet.hosts) for each in fleet.hosts)


def test_restarted_host_on_the_same_address_marks_the_old_member_dead():
    fleet = _start_settled_fleet()
    old = next(iter(fleet.hosts))
    entry_host = measure.build_entry_hosts(9)[0]
    fleet.kill(old)
    new = hostlist.EntryHost(
        entry_host.host,
        names.Incarnation("replaced"),
        entry_host.zone,
        entry_host.caller_address,
        entry_host.peer_address,
    )
    fleet.add(new).apply_host_list(measure.build_entry_hosts(9)[1:], fleet.now)
    fleet.run(3.0)
    assert all(new.member in _list_usable(fleet, each) for each in fleet.hosts)
    states = {
        host.get_state(old) for each, host in fleet.hosts.items() if each != new.member
    }
    assert states == {DEAD}


def test_host_refutes_a_false_record_of_itself_with_a_higher_epoch():
    view = _build_membership_of_one_host()
    false_record = msgspec.structs.replace(view.own_record, state=DEAD, epoch=4)
    view.handle_probe(
        messages.Probe(1, hosts.build_record(1), (false_record,)), 1.0, random.Random(1)
    )
    assert (view.own_record.state, view.own_record.epoch) == (ALIVE, 5)


def test_leaving_host_that_is_reported_dead_stays_leaving():
    view = _build_membership_of_one_host()
    view.leave()
    false_record = msgspec.structs.replace(view.own_record, state=DEAD, epoch=4)
    view.handle_one_way_probe(
        messages.Probe(0, hosts.build_record(1), (false_record,)), 1.0
    )
    assert view.own_record.state is LEAVING


def test_member_count_is_bounded():
    view = _build_membership_of_one_host()
    updates = tuple(hosts.build_record(n) for n in range(1, 6000))
    view.handle_one_way_probe(messages.Probe(0, hosts.build_record(1), updates), 1.0)
    assert len(view.list_records()) == membership.MAX_MEMBERS


def test_probe_rate_of_a_host_does_not_grow_with_the_fleet():
    max_probes_per_s = (
        membership.MAX_OWN_ZONE_TARGETS_PER_ROUND
        + membership.MAX_OTHER_ZONE_TARGETS_PER_ROUND
        + membership.MAX_DEAD_TARGETS_PER_ROUND
    ) / membership.PROBE_INTERVAL_S
    fleet = _start_settled_fleet(60)
    sent_before = fleet.sent
    fleet.run(10.0)
    # Average over 10 s and 60 hosts. Each probe is answered, so a host sends up to
    # twice as many messages as probes.
    assert (fleet.sent - sent_before) / 10 / 60 <= 2 * max_probes_per_s


records = strategies.builds(
    hosts.build_record,
    number=strategies.integers(0, 3),
    state=strategies.sampled_from(messages.MemberState),
    epoch=strategies.integers(0, 4),
)


@hypothesis.given(strategies.lists(records, max_size=8), strategies.randoms())
@hypothesis.settings(derandomize=True, deadline=None)
def test_view_does_not_depend_on_the_order_of_updates(updates, rng):
    def build_view(received):
        view = membership.Membership(hosts.build_record(9), 0.0)
        for record in received:
            view.handle_one_way_probe(messages.Probe(0, record), 1.0)
        return sorted(view.list_records(), key=lambda record: record.member)

    shuffled = list(updates)
    rng.shuffle(shuffled)
    assert build_view(updates) == build_view(shuffled)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Five hosts in three availability zones that pause, crash, start and leave.

    Zones are partitioned and reconnected meanwhile.
    """

    def __init__(self):
        super().__init__()
        self.fleet = measure.start_fleet(5)
        self.left: set[names.MemberId] = set()
        self.epochs: dict[tuple[names.MemberId, names.MemberId], int] = {}
        self.started_count = 5
        self.seen_leaving: dict[names.MemberId, set[names.MemberId]] = {}

    def _pick_host(self, number: int) -> names.MemberId:
        return sorted(self.fleet.hosts)[number % len(self.fleet.hosts)]

    @stateful.rule(seconds=strategies.floats(0.1, 6.0))
    def pass_time(self, seconds):
        self.fleet.run(seconds)

    @stateful.rule(number=strategies.integers(0, 9))
    def pause(self, number):
        self.fleet.pause(self._pick_host(number))

    @stateful.precondition(lambda self: self.fleet.paused)
    @stateful.rule()
    def resume(self):
        member = min(self.fleet.paused)
        gap_s = self.fleet.now - self.fleet.hosts[member]._last_tick_s
        self.fleet.resume(member)
        self.fleet.run(0.0)
        if gap_s > membership.PAUSE_THRESHOLD_S:
            host = self.fleet.hosts[member]
            assert (
                host.assess_freshness(self.fleet.now) is membership.ViewFreshness.STALE
            )

    @stateful.precondition(lambda self: len(self.fleet.hosts) > 2)
    @stateful.rule(number=strategies.integers(0, 9))
    def kill(self, number):
        member = self._pick_host(number)
        self.fleet.paused.discard(member)
        self.fleet.kill(member)

    @stateful.precondition(lambda self: len(self.fleet.hosts) < 7)
    @stateful.rule()
    def start(self):
        entry_host = measure.build_entry_hosts(self.started_count + 1)[-1]
        self.started_count += 1
        others = [
            each
            for each in measure.build_entry_hosts(self.started_count)
            if each.member in self.fleet.hosts
        ]
        self.fleet.add(entry_host).apply_host_list(others, self.fleet.now)

    @stateful.rule(number=strategies.integers(0, 9))
    def leave(self, number):
        member = self._pick_host(number)
        if member not in self.fleet.paused:
            self.fleet.leave(member)
            self.left.add(member)

    @stateful.rule(is_partitioned=strategies.booleans())
    def partition_or_heal(self, is_partitioned):
        zones = [f"qld-east-{number}" for number in range(3)]
        links = (frozenset((zones[0], zones[1])), frozenset((zones[0], zones[2])))
        self.fleet.cut = set(links) if is_partitioned else set()

    @stateful.invariant()
    def epochs_never_fall_and_own_state_is_alive_or_leaving(self):
        for member, host in self.fleet.hosts.items():
            assert host.own_record.state is (LEAVING if member in self.left else ALIVE)
            for record in host.list_records():
                key = (member, record.member)
                assert record.epoch >= self.epochs.get(key, 0)
                self.epochs[key] = record.epoch

    @stateful.invariant()
    def host_seen_leaving_is_never_usable_again(self):
        for member, host in self.fleet.hosts.items():
            seen = self.seen_leaving.setdefault(member, set())
            seen |= {
                record.member
                for record in host.list_records()
                if record.state is LEAVING
            }
            assert not {record.member for record in host.list_usable()} & seen

    def teardown(self):
        self.fleet.cut = set()
        while self.fleet.paused:
            self.fleet.resume(min(self.fleet.paused))
        self.fleet.run(30.0)
        if len(self.fleet.hosts) < 2:
            return
        serving = set(self.fleet.hosts) - self.left
        for member, host in self.fleet.hosts.items():
            assert _list_usable(self.fleet, member) == serving, member
            assert (
                host.assess_freshness(self.fleet.now) is membership.ViewFreshness.FRESH
            )


TestFleet = FleetMachine.TestCase
TestFleet.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=25, stateful_step_count=20
)
