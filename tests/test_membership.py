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

SETTLE_S = 20.0


def _build_alone() -> membership.Membership:
    return membership.Membership(hosts.build_record(0), 0.0)


def _usable_of(fleet: measure.Fleet, member: names.MemberId) -> set[names.MemberId]:
    return {record.member for record in fleet.hosts[member].list_usable()}


def _start_settled(count: int = 9) -> measure.Fleet:
    fleet = measure.start_fleet(count)
    fleet.run(SETTLE_S)
    return fleet


def test_all_hosts_of_the_list_become_usable_after_they_answered():
    fleet = measure.start_fleet(9)
    assert all(len(host.list_usable()) == 1 for host in fleet.hosts.values())
    fleet.run(2.0)
    assert all(_usable_of(fleet, each) == set(fleet.hosts) for each in fleet.hosts)


def test_a_listed_host_that_never_answers_is_never_usable():
    own = _build_alone()
    rng = random.Random(1)
    own.apply_host_list([hosts.build_entry_host(1)], 0.0)
    for step in range(400):
        own.tick(step * membership.TICK_S, rng)
        assert [each.member for each in own.list_usable()] == [own.own_record.member]
    assert own.get_state(hosts.build_member(1)) is DEAD


def test_a_killed_host_is_unusable_to_all_within_seconds():
    fleet = _start_settled()
    killed = next(iter(fleet.hosts))
    fleet.kill(killed)
    fleet.run(3.0)
    assert all(killed not in _usable_of(fleet, each) for each in fleet.hosts)
    fleet.run(10.0)
    assert {host.get_state(killed) for host in fleet.hosts.values()} == {DEAD}


def test_a_leaving_host_is_unusable_to_all_at_once():
    fleet = _start_settled()
    leaving = next(iter(fleet.hosts))
    fleet.leave(leaving)
    fleet.run(0.1)
    assert all(leaving not in _usable_of(fleet, each) for each in fleet.hosts)
    fleet.run(60.0)
    states = {host.get_state(leaving) for host in fleet.hosts.values()}
    assert states == {LEAVING}


def test_the_platforms_word_that_a_host_leaves_counts_without_its_own():
    own = _build_alone()
    entry = hosts.build_entry_host(1)
    own.apply_host_list([entry], 0.0)
    leaving = hostlist.EntryHost(
        entry.host,
        entry.incarnation,
        entry.zone,
        entry.caller_address,
        entry.peer_address,
        hostlist.HostState.LEAVING,
    )
    own.apply_host_list([leaving], 1.0)
    assert own.get_state(entry.member) is LEAVING


def test_a_paused_host_trusts_nothing_from_the_instant_it_wakes():
    fleet = _start_settled()
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
    assert _usable_of(fleet, member) == {member}
    fleet.run(3.0)
    assert host.assess_freshness(fleet.now) is membership.ViewFreshness.FRESH
    assert all(_usable_of(fleet, each) == set(fleet.hosts) for each in fleet.hosts)


def test_a_woken_host_that_reaches_nobody_ends_by_trusting_itself_alone():
    fleet = _start_settled()
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
    assert _usable_of(fleet, member) == {member}


def test_a_host_that_ran_late_suspects_nobody():
    own = _build_alone()
    rng = random.Random(1)
    own.apply_host_list([hosts.build_entry_host(1)], 0.0)
    assert own.tick(0.0, rng)
    own.tick(membership.LATE_THRESHOLD_S + membership.PROBE_TIMEOUT_S + 0.1, rng)
    assert own.get_state(hosts.build_member(1)) is ALIVE


def test_hosts_of_a_cut_off_zone_keep_each_other_and_heal_within_five_seconds():
    fleet = _start_settled()
    zones = {host.own_record.zone for host in fleet.hosts.values()}
    cut_off = min(zones)
    fleet.cut = {frozenset((cut_off, other)) for other in zones - {cut_off}}
    fleet.run(60.0)
    inside = {
        each for each, host in fleet.hosts.items() if host.own_record.zone == cut_off
    }
    for member in fleet.hosts:
        side = inside if member in inside else set(fleet.hosts) - inside
        assert _usable_of(fleet, member) == side
    fleet.cut = set()
    fleet.run(5.0)
    assert all(_usable_of(fleet, each) == set(fleet.hosts) for each in fleet.hosts)


def test_a_replacement_on_the_same_address_ends_its_predecessor():
    fleet = _start_settled()
    old = next(iter(fleet.hosts))
    entry = measure.build_entry_hosts(9)[0]
    fleet.kill(old)
    new = hostlist.EntryHost(
        entry.host,
        names.Incarnation("replaced"),
        entry.zone,
        entry.caller_address,
        entry.peer_address,
    )
    fleet.add(new).apply_host_list(measure.build_entry_hosts(9)[1:], fleet.now)
    fleet.run(3.0)
    assert all(new.member in _usable_of(fleet, each) for each in fleet.hosts)
    states = {
        host.get_state(old) for each, host in fleet.hosts.items() if each != new.member
    }
    assert states == {DEAD}


def test_a_false_suspicion_is_refuted_by_its_subject():
    own = _build_alone()
    claim = msgspec.structs.replace(own.own_record, state=DEAD, epoch=4)
    own.handle_probe(
        messages.Probe(1, hosts.build_record(1), (claim,)), 1.0, random.Random(1)
    )
    assert (own.own_record.state, own.own_record.epoch) == (ALIVE, 5)


def test_a_leaving_host_stays_leaving_when_it_refutes():
    own = _build_alone()
    own.leave()
    claim = msgspec.structs.replace(own.own_record, state=DEAD, epoch=4)
    own.handle_one_way_probe(messages.Probe(0, hosts.build_record(1), (claim,)), 1.0)
    assert own.own_record.state is LEAVING


def test_a_flood_of_unknown_members_is_bounded():
    own = _build_alone()
    news = tuple(hosts.build_record(n) for n in range(1, 6000))
    own.handle_one_way_probe(messages.Probe(0, hosts.build_record(1), news), 1.0)
    assert len(own.list_records()) == membership.MAX_MEMBERS


def test_probes_of_a_host_do_not_grow_with_the_fleet():
    limit = (
        membership.OWN_ZONE_TARGETS
        + membership.OTHER_ZONE_TARGETS
        + membership.DEAD_TARGETS
    ) / membership.PROBE_INTERVAL_S
    fleet = _start_settled(60)
    sent = fleet.sent
    fleet.run(10.0)
    assert (fleet.sent - sent) / 10 / 60 <= 2 * limit


records = strategies.builds(
    hosts.build_record,
    number=strategies.integers(0, 3),
    state=strategies.sampled_from(messages.MemberState),
    epoch=strategies.integers(0, 4),
)


@hypothesis.given(strategies.lists(records, max_size=8), strategies.randoms())
@hypothesis.settings(derandomize=True, deadline=None)
def test_the_view_does_not_depend_on_the_order_of_the_news(news, shuffler):
    def learn(some):
        view = membership.Membership(hosts.build_record(9), 0.0)
        for record in some:
            view.handle_one_way_probe(messages.Probe(0, record), 1.0)
        return sorted(view.list_records(), key=lambda record: record.member)

    shuffled = list(news)
    shuffler.shuffle(shuffled)
    assert learn(news) == learn(shuffled)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Five hosts of three zones under pauses, cuts, kills, starts and leaving."""

    def __init__(self):
        super().__init__()
        self.fleet = measure.start_fleet(5)
        self.left: set[names.MemberId] = set()
        self.epochs: dict[tuple[names.MemberId, names.MemberId], int] = {}
        self.started = 5
        self.seen_leaving: dict[names.MemberId, set[names.MemberId]] = {}

    def _pick(self, number: int) -> names.MemberId:
        return sorted(self.fleet.hosts)[number % len(self.fleet.hosts)]

    @stateful.rule(seconds=strategies.floats(0.1, 6.0))
    def pass_time(self, seconds):
        self.fleet.run(seconds)

    @stateful.rule(number=strategies.integers(0, 9))
    def pause(self, number):
        self.fleet.pause(self._pick(number))

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
        member = self._pick(number)
        self.fleet.paused.discard(member)
        self.fleet.kill(member)

    @stateful.precondition(lambda self: len(self.fleet.hosts) < 7)
    @stateful.rule()
    def start(self):
        entry = measure.build_entry_hosts(self.started + 1)[-1]
        self.started += 1
        others = [
            each
            for each in measure.build_entry_hosts(self.started)
            if each.member in self.fleet.hosts
        ]
        self.fleet.add(entry).apply_host_list(others, self.fleet.now)

    @stateful.rule(number=strategies.integers(0, 9))
    def leave(self, number):
        member = self._pick(number)
        if member not in self.fleet.paused:
            self.fleet.leave(member)
            self.left.add(member)

    @stateful.rule(is_cut=strategies.booleans())
    def cut_or_heal(self, is_cut):
        zones = [f"qld-east-{number}" for number in range(3)]
        ends = (frozenset((zones[0], zones[1])), frozenset((zones[0], zones[2])))
        self.fleet.cut = set(ends) if is_cut else set()

    @stateful.invariant()
    def epochs_never_fall_and_nobody_stays_accused_in_its_own_eyes(self):
        for own, host in self.fleet.hosts.items():
            assert host.own_record.state is (LEAVING if own in self.left else ALIVE)
            for record in host.list_records():
                key = (own, record.member)
                assert record.epoch >= self.epochs.get(key, 0)
                self.epochs[key] = record.epoch

    @stateful.invariant()
    def nobody_uses_a_host_again_that_it_saw_leaving(self):
        for own, host in self.fleet.hosts.items():
            seen = self.seen_leaving.setdefault(own, set())
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
            assert _usable_of(self.fleet, member) == serving, member
            assert (
                host.assess_freshness(self.fleet.now) is membership.ViewFreshness.FRESH
            )


TestFleet = FleetMachine.TestCase
TestFleet.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=25, stateful_step_count=20
)
