import collections
import itertools
import random

import pytest
from hypothesis import given, settings, stateful
from hypothesis import strategies as st

from corianderrill import admission, outcomes
from corianderrill.measures import admission as measure
from tests.utils import domain_builders as build

Reason = outcomes.RefusalReason


def list_started(decisions):
    return [d.ticket.request for d in decisions if isinstance(d, admission.Start)]


def serve(gate, demand, seconds, service_s=0.02, cost=25):
    """Offer queries at rates by workspace; return counts of started and offered."""
    rng = random.Random(5)
    numbers = itertools.count()
    started, offered = collections.Counter(), collections.Counter()
    ends = []
    now = 0.0

    def note(decisions):
        for decision in decisions:
            if isinstance(decision, admission.Start):
                started[decision.ticket.workspace.label] += 1
                ends.append((now + service_s, decision.ticket.request))

    while now < seconds:
        now += rng.expovariate(sum(demand.values()))
        while ends and ends[0][0] <= now:
            note(gate.finish(ends.pop(0)[1], now))
        label = rng.choices(list(demand), list(demand.values()))[0]
        offered[label] += 1
        ticket = build.build_ticket(f"r{next(numbers)}", label, now + 1.0, cost)
        note(gate.offer(ticket, now))
    return started, offered


def test_query_starts_at_once_on_an_idle_host():
    ticket = build.build_ticket()
    assert build.build_admission().offer(ticket, 0.0) == [admission.Start(ticket)]


def test_query_dearer_than_the_limit_starts_where_nothing_runs():
    ticket = build.build_ticket(cost=730)
    assert build.build_admission(50).offer(ticket, 0.0) == [admission.Start(ticket)]


def test_query_that_cannot_be_on_time_is_refused():
    ticket = build.build_ticket(deadline=0.001)
    refused = [admission.Refuse(ticket, Reason.DEADLINE)]
    assert build.build_admission().offer(ticket, 0.0) == refused


def test_slow_spell_does_not_refuse_its_template_for_ever():
    gate = build.build_admission()
    now = 0.0
    for number in range(admission.SAMPLES_TO_JUDGE):
        slow = build.build_ticket(f"slow{number}", deadline=now + 2.0)
        gate.offer(slow, now)
        gate.finish(slow.request, now + 1.8)
        now += 2.0
    second = build.build_ticket("second", deadline=now + 1.0)
    assert gate.offer(second, now) == [admission.Start(second)]
    third = build.build_ticket("third", deadline=now + 1.0)
    assert gate.offer(third, now) == [admission.Refuse(third, Reason.DEADLINE)]
    gate.finish(second.request, now + 0.05)
    for number in range(40):
        now += 1.0
        ticket = build.build_ticket(f"r{number}", deadline=now + 1.0)
        assert gate.offer(ticket, now) == [admission.Start(ticket)]
        gate.finish(ticket.request, now + 0.05)
    pair = [build.build_ticket(name, deadline=now + 2.0) for name in ("a", "b")]
    decisions = [gate.offer(ticket, now + 1.0)[0] for ticket in pair]
    assert decisions == [admission.Start(ticket) for ticket in pair]


def test_query_that_would_wait_past_its_deadline_is_refused_on_arrival():
    gate = build.build_admission(50, max_queue_s=10.0)
    decisions = [
        gate.offer(build.build_ticket(f"r{i}", deadline=0.1), 0.0) for i in range(40)
    ]
    refused = list(itertools.chain.from_iterable(decisions[2:]))
    assert all(d.reason is Reason.OVERLOADED for d in refused)
    assert gate.queued == 8


def test_queue_is_bounded_by_the_time_to_serve_it():
    gate = build.build_admission(50)
    for number in range(1000):
        gate.offer(build.build_ticket(f"r{number}", deadline=100.0), 0.0)
    rate = 50 / admission.DEFAULT_EXPECTED_S
    assert 0 < gate.queued * 25 <= admission.MAX_QUEUE_S * rate


def test_queries_that_run_or_wait_are_bounded():
    gate = build.build_admission(50, max_queue_s=10.0, most_queries=5)
    decisions = [
        gate.offer(build.build_ticket(f"r{i}", deadline=9.0), 0.0) for i in range(6)
    ]
    assert gate.queued == 3
    (refused,) = decisions[-1]
    assert refused.reason is Reason.OVERLOADED
    gate.finish("r0", 0.01)
    assert gate.offer(build.build_ticket("r6", deadline=9.0), 0.01) == []


def test_priority_then_deadline_orders_a_workspace():
    gate = build.build_admission(25, max_queue_s=10.0)
    gate.offer(build.build_ticket("first"), 0.0)
    batch, urgent = admission.Priority.BATCH, admission.Priority.URGENT
    for request, deadline, priority in (
        ("batch", 1.0, batch),
        ("later", 3.0, urgent),
        ("sooner", 2.0, urgent),
    ):
        gate.offer(build.build_ticket(request, "north", deadline, 25, priority), 0.0)
    order = ["first"]
    while order[-1] is not None:
        order += list_started(gate.finish(order[-1], 0.01)) or [None]
    assert order[1:-1] == ["sooner", "later", "batch"]


def test_waiting_query_is_refused_once_it_cannot_be_on_time():
    gate = build.build_admission(25, max_queue_s=10.0)
    gate.offer(build.build_ticket("first"), 0.0)
    waiting = build.build_ticket("waiting", deadline=0.1)
    assert gate.offer(waiting, 0.0) == []
    assert gate.expire(0.05) == []
    assert gate.expire(0.11) == [admission.Refuse(waiting, Reason.OVERLOADED)]
    assert gate.queued == 0


@pytest.mark.parametrize("abandoned", ["running", "waiting"])
def test_abandoned_query_leaves_its_place(abandoned):
    gate = build.build_admission(25)
    gate.offer(build.build_ticket("running"), 0.0)
    gate.offer(build.build_ticket("waiting"), 0.0)
    assert gate.queued == 1
    started = list_started(gate.abandon(abandoned, 0.01))
    assert started == (["waiting"] if abandoned == "running" else [])
    assert gate.queued == 0
    assert gate.in_flight == 25


def test_flooding_workspace_does_not_starve_a_small_one():
    gate = build.build_admission(50)
    demand = {"flood": 2000, "small": 20}
    started, offered = serve(gate, demand, 10.0)
    assert started["small"] >= 0.9 * offered["small"]
    assert started.total() >= 0.95 * 10 * 100


@settings(max_examples=15)
@given(st.lists(st.sampled_from([1.0, 2.0, 4.0]), min_size=2, max_size=5))
def test_workspaces_that_ask_for_more_share_by_weight(weights):
    by_label = {f"w{i}": weight for i, weight in enumerate(weights)}
    gate = build.build_admission(
        50, weigh=lambda workspace: by_label[workspace.label], max_queue_s=0.5
    )
    started, _ = serve(gate, dict.fromkeys(by_label, 150), 4.0)
    per_weight = [started[label] / weight for label, weight in by_label.items()]
    assert min(per_weight) >= 0.8 * max(per_weight)


def test_equal_labels_of_two_fleets_have_accounts_of_their_own():
    gate = build.build_admission(25)
    for fleet in ("gantry", "rongitoitlus"):
        workspace = build.build_workspace("north", fleet)
        ticket = admission.Ticket(f"{fleet}-1", workspace, "t", 1.0, 25)
        gate.offer(ticket, 0.0)
    assert gate.queued == 1
    assert list_started(gate.finish("gantry-1", 0.01)) == ["rongitoitlus-1"]


def run_limiter(limiter, ratio, in_flight=None, rounds=50, start=0.0):
    for number in range(rounds * admission.MIN_UPDATE_SAMPLES):
        now = start + number * admission.UPDATE_INTERVAL_S
        limiter.record(ratio, in_flight or limiter.limit, now)
    return limiter.limit


def test_limit_rises_while_latency_is_at_its_floor_and_work_fills_it():
    assert run_limiter(admission.Limiter(100), 1.0) > 200


def test_limit_does_not_rise_on_an_idle_host():
    assert run_limiter(admission.Limiter(100), 1.0, in_flight=5) == 100


@pytest.mark.parametrize("ratio", [3.0, 10.0])
def test_limit_falls_where_latency_is_above_its_floor(ratio):
    assert run_limiter(admission.Limiter(1000), ratio) < 200


def test_limit_falls_where_the_event_loop_lags():
    limiter = admission.Limiter(1000)
    for _ in range(50):
        limiter.note_lag(0.05)
    assert run_limiter(limiter, 1.0) < 200


@given(st.lists(st.tuples(st.floats(0.1, 100), st.floats(0, 1)), max_size=200))
def test_limit_stays_within_its_bounds(samples):
    limiter = admission.Limiter(100)
    for number, (ratio, lag_s) in enumerate(samples):
        limiter.note_lag(lag_s)
        limiter.record(ratio, limiter.limit, number * 0.1)
        assert admission.MIN_LIMIT <= limiter.limit <= admission.MAX_LIMIT


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Each offered query is started or refused once, and work is bounded."""

    def __init__(self):
        super().__init__()
        self.gate = build.build_admission(100)
        self.now = 0.0
        self.numbers = itertools.count()
        self.costs = {}
        self.open, self.running, self.ended = set(), set(), set()

    def note(self, decisions):
        for decision in decisions:
            request = decision.ticket.request
            self.open.remove(request)
            match decision:
                case admission.Start():
                    self.running.add(request)
                case admission.Refuse():
                    self.ended.add(request)

    @stateful.rule(
        label=st.sampled_from("abc"),
        left_s=st.floats(0.0, 0.5),
        cost=st.integers(1, 60),
        priority=st.sampled_from(list(admission.Priority)),
    )
    def offer(self, label, left_s, cost, priority):
        request = f"r{next(self.numbers)}"
        self.open.add(request)
        self.costs[request] = cost
        ticket = build.build_ticket(request, label, self.now + left_s, cost, priority)
        self.note(self.gate.offer(ticket, self.now))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(step=st.floats(0.0, 0.1), data=st.data())
    def finish(self, step, data):
        self.now += step
        request = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(request)
        self.ended.add(request)
        self.note(self.gate.finish(request, self.now))

    @stateful.rule(step=st.floats(0.0, 1.0))
    def expire(self, step):
        self.now += step
        self.note(self.gate.expire(self.now))

    @stateful.precondition(lambda self: self.open or self.running)
    @stateful.rule(data=st.data())
    def abandon(self, data):
        request = data.draw(st.sampled_from(sorted(self.open | self.running)))
        self.open.discard(request)
        self.running.discard(request)
        self.ended.add(request)
        self.note(self.gate.abandon(request, self.now))

    @stateful.invariant()
    def work_in_flight_is_what_runs_and_within_the_limit(self):
        costs = sum(self.costs[request] for request in self.running)
        assert self.gate.in_flight == costs
        assert costs <= 100

    @stateful.invariant()
    def waiting_queries_are_the_open_ones(self):
        assert self.gate.queued == len(self.open)

    @stateful.invariant()
    def nothing_waits_while_nothing_runs(self):
        assert self.running or not self.open


TestAdmissionMachine = AdmissionMachine.TestCase


@pytest.mark.parametrize("model", measure.MODELS, ids=lambda model: model.name)
def test_crest_is_served_fairly_and_on_time(model):
    figures = measure.measure_crest(model, admission.Admission, seed=1)
    assert figures["goodput_share"] >= 0.9
    assert figures["weakest_share"] >= 0.8
    assert figures["served_p99_ms"] <= 1e3 * measure.DEADLINE_S
    assert figures["refusal_p99_ms"] <= 10


def test_a_query_that_ended_at_its_deadline_does_not_tell_how_long_one_takes():
    gate = admission.Admission()
    now = 0.0
    for number in range(2 * admission.SAMPLES_TO_JUDGE):
        ticket = build.build_ticket(f"cut-{number}", "a", now + 1.0)
        assert gate.offer(ticket, now) == [admission.Start(ticket)]
        now += 1.0
        gate.finish(ticket.request, now, whole=False)
