import collections
import itertools
import random

import pytest
from hypothesis import given, settings, stateful
from hypothesis import strategies as st

from corianderrill import admission, outcomes
from corianderrill.measures import admission as admission_measure
from tests.utils import domain_builders as build

Reason = outcomes.RefusalReason


def list_admitted(decisions):
    return [d.ticket.id for d in decisions if isinstance(d, admission.Admit)]


def simulate_load(controller, demand, seconds, service_s=0.02, cost=25):
    """Submit queries at given rates per workspace for a simulated time.

    Return the numbers of admitted and of offered queries by workspace.
    """
    rng = random.Random(5)
    counter = itertools.count()
    admitted, offered = collections.Counter(), collections.Counter()
    ends = []
    now = 0.0

    def record(decisions):
        for decision in decisions:
            if isinstance(decision, admission.Admit):
                admitted[decision.ticket.workspace.label] += 1
                ends.append((now + service_s, decision.ticket.id))

    while now < seconds:
        now += rng.expovariate(sum(demand.values()))
        while ends and ends[0][0] <= now:
            record(controller.finish(ends.pop(0)[1], now))
        label = rng.choices(list(demand), list(demand.values()))[0]
        offered[label] += 1
        ticket = build.build_ticket(f"r{next(counter)}", label, now + 1.0, cost)
        record(controller.offer(ticket, now))
    return admitted, offered


def test_query_is_admitted_immediately_on_an_idle_host():
    ticket = build.build_ticket()
    assert build.build_admission_controller().offer(ticket, 0.0) == [
        admission.Admit(ticket)
    ]


def test_query_that_costs_more_than_the_limit_is_admitted_if_none_is_running():
    ticket = build.build_ticket(cost=730)
    assert build.build_admission_controller(50).offer(ticket, 0.0) == [
        admission.Admit(ticket)
    ]


def test_query_that_cannot_meet_its_deadline_is_refused():
    ticket = build.build_ticket(deadline=0.001)
    refused = [admission.Refuse(ticket, Reason.DEADLINE)]
    assert build.build_admission_controller().offer(ticket, 0.0) == refused


def test_slow_period_does_not_refuse_a_template_forever():
    controller = build.build_admission_controller()
    now = 0.0
    for number in range(admission.MIN_ESTIMATE_SAMPLES):
        slow = build.build_ticket(f"slow{number}", deadline=now + 2.0)
        controller.offer(slow, now)
        controller.finish(slow.id, now + 1.8)
        now += 2.0
    second = build.build_ticket("second", deadline=now + 1.0)
    assert controller.offer(second, now) == [admission.Admit(second)]
    third = build.build_ticket("third", deadline=now + 1.0)
    assert controller.offer(third, now) == [admission.Refuse(third, Reason.DEADLINE)]
    controller.finish(second.id, now + 0.05)
    for number in range(40):
        now += 1.0
        ticket = build.build_ticket(f"r{number}", deadline=now + 1.0)
        assert controller.offer(ticket, now) == [admission.Admit(ticket)]
        controller.finish(ticket.id, now + 0.05)
    pair = [build.build_ticket(name, deadline=now + 2.0) for name in ("a", "b")]
    decisions = [controller.offer(ticket, now + 1.0)[0] for ticket in pair]
    assert decisions == [admission.Admit(ticket) for ticket in pair]


def test_query_that_would_queue_past_its_deadline_is_refused_on_arrival():
    controller = build.build_admission_controller(50, max_queue_time_s=10.0)
    decisions = [
        controller.offer(build.build_ticket(f"r{i}", deadline=0.1), 0.0)
        for i in range(40)
    ]
    refused = list(itertools.chain.from_iterable(decisions[2:]))
    assert all(d.reason is Reason.OVERLOADED for d in refused)
    assert controller.queued_count == 8


def test_queue_is_bounded_by_the_time_to_drain_it():
    controller = build.build_admission_controller(50)
    for number in range(1000):
        controller.offer(build.build_ticket(f"r{number}", deadline=100.0), 0.0)
    rate = 50 / admission.DEFAULT_DURATION_S
    assert 0 < controller.queued_count * 25 <= admission.MAX_QUEUE_TIME_S * rate


def test_number_of_running_and_queued_queries_is_bounded():
    controller = build.build_admission_controller(
        50, max_queue_time_s=10.0, max_queries=5
    )
    decisions = [
        controller.offer(build.build_ticket(f"r{i}", deadline=9.0), 0.0)
        for i in range(6)
    ]
    assert controller.queued_count == 3
    (refused,) = decisions[-1]
    assert refused.reason is Reason.OVERLOADED
    controller.finish("r0", 0.01)
    assert controller.offer(build.build_ticket("r6", deadline=9.0), 0.01) == []


def test_queries_of_a_workspace_are_ordered_by_priority_then_deadline():
    controller = build.build_admission_controller(25, max_queue_time_s=10.0)
    controller.offer(build.build_ticket("first"), 0.0)
    batch, urgent = admission.Priority.BATCH, admission.Priority.URGENT
    for request, deadline, priority in (
        ("batch", 1.0, batch),
        ("later", 3.0, urgent),
        ("sooner", 2.0, urgent),
    ):
        controller.offer(
            build.build_ticket(request, "north", deadline, 25, priority), 0.0
        )
    order = ["first"]
    while order[-1] is not None:
        order += list_admitted(controller.finish(order[-1], 0.01)) or [None]
    assert order[1:-1] == ["sooner", "later", "batch"]


def test_queued_query_is_refused_when_it_cannot_meet_its_deadline():
    controller = build.build_admission_controller(25, max_queue_time_s=10.0)
    controller.offer(build.build_ticket("first"), 0.0)
    queued = build.build_ticket("queued", deadline=0.1)
    assert controller.offer(queued, 0.0) == []
    assert controller.expire(0.05) == []
    assert controller.expire(0.11) == [admission.Refuse(queued, Reason.OVERLOADED)]
    assert controller.queued_count == 0


@pytest.mark.parametrize("cancelled", ["running", "queued"])
def test_cancelled_query_frees_its_capacity(cancelled):
    controller = build.build_admission_controller(25)
    controller.offer(build.build_ticket("running"), 0.0)
    controller.offer(build.build_ticket("queued"), 0.0)
    assert controller.queued_count == 1
    admitted = list_admitted(controller.cancel(cancelled, 0.01))
    assert admitted == (["queued"] if cancelled == "running" else [])
    assert controller.queued_count == 0
    assert controller.in_flight == 25


def test_flooding_workspace_does_not_starve_a_small_one():
    controller = build.build_admission_controller(50)
    demand = {"flood": 2000, "small": 20}
    admitted, offered = simulate_load(controller, demand, 10.0)
    assert admitted["small"] >= 0.9 * offered["small"]
    assert admitted.total() >= 0.95 * 10 * 100


@settings(max_examples=15)
@given(st.lists(st.sampled_from([1.0, 2.0, 4.0]), min_size=2, max_size=5))
def test_overloaded_workspaces_share_capacity_by_weight(weights):
    by_label = {f"w{i}": weight for i, weight in enumerate(weights)}
    controller = build.build_admission_controller(
        50, weight_of=lambda workspace: by_label[workspace.label], max_queue_time_s=0.5
    )
    admitted, _ = simulate_load(controller, dict.fromkeys(by_label, 150), 4.0)
    per_weight = [admitted[label] / weight for label, weight in by_label.items()]
    assert min(per_weight) >= 0.8 * max(per_weight)


def test_workspaces_with_equal_labels_in_two_fleets_have_separate_queues():
    controller = build.build_admission_controller(25)
    for fleet in ("gantry", "rongitoitlus"):
        workspace = build.build_workspace("north", fleet)
        ticket = admission.Ticket(f"{fleet}-1", workspace, "t", 1.0, 25)
        controller.offer(ticket, 0.0)
    assert controller.queued_count == 1
    assert list_admitted(controller.finish("gantry-1", 0.01)) == ["rongitoitlus-1"]


def run_limiter(limiter, ratio, in_flight=None, rounds=50, start=0.0):
    for number in range(rounds * admission.MIN_UPDATE_SAMPLES):
        now = start + number * admission.UPDATE_INTERVAL_S
        limiter.record(ratio, in_flight or limiter.limit, now)
    return limiter.limit


def test_limit_rises_if_latency_is_at_its_baseline_and_the_limit_is_reached():
    assert run_limiter(admission.ConcurrencyLimiter(100), 1.0) > 200


def test_limit_does_not_rise_on_an_idle_host():
    assert run_limiter(admission.ConcurrencyLimiter(100), 1.0, in_flight=5) == 100


@pytest.mark.parametrize("ratio", [3.0, 10.0])
def test_limit_falls_if_latency_is_above_its_baseline(ratio):
    assert run_limiter(admission.ConcurrencyLimiter(1000), ratio) < 200


def test_limit_falls_if_the_event_loop_lags():
    limiter = admission.ConcurrencyLimiter(1000)
    for _ in range(50):
        limiter.record_loop_lag(0.05)
    assert run_limiter(limiter, 1.0) < 200


@given(st.lists(st.tuples(st.floats(0.1, 100), st.floats(0, 1)), max_size=200))
def test_limit_stays_within_its_bounds(samples):
    limiter = admission.ConcurrencyLimiter(100)
    for number, (ratio, lag_s) in enumerate(samples):
        limiter.record_loop_lag(lag_s)
        limiter.record(ratio, limiter.limit, number * 0.1)
        assert admission.MIN_LIMIT <= limiter.limit <= admission.MAX_LIMIT


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Each offered query gets one decision, and the cost in flight is bounded."""

    def __init__(self):
        super().__init__()
        self.controller = build.build_admission_controller(100)
        self.now = 0.0
        self.counter = itertools.count()
        self.costs = {}
        self.queued, self.running, self.ended = set(), set(), set()

    def record(self, decisions):
        for decision in decisions:
            ticket_id = decision.ticket.id
            self.queued.remove(ticket_id)
            match decision:
                case admission.Admit():
                    self.running.add(ticket_id)
                case admission.Refuse():
                    self.ended.add(ticket_id)

    @stateful.rule(
        label=st.sampled_from("abc"),
        remaining_s=st.floats(0.0, 0.5),
        cost=st.integers(1, 60),
        priority=st.sampled_from(list(admission.Priority)),
    )
    def offer(self, label, remaining_s, cost, priority):
        ticket_id = f"r{next(self.counter)}"
        self.queued.add(ticket_id)
        self.costs[ticket_id] = cost
        ticket = build.build_ticket(
            ticket_id, label, self.now + remaining_s, cost, priority
        )
        self.record(self.controller.offer(ticket, self.now))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(step_s=st.floats(0.0, 0.1), data=st.data())
    def finish(self, step_s, data):
        self.now += step_s
        ticket_id = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(ticket_id)
        self.ended.add(ticket_id)
        self.record(self.controller.finish(ticket_id, self.now))

    @stateful.rule(step_s=st.floats(0.0, 1.0))
    def expire(self, step_s):
        self.now += step_s
        self.record(self.controller.expire(self.now))

    @stateful.precondition(lambda self: self.queued or self.running)
    @stateful.rule(data=st.data())
    def cancel(self, data):
        ticket_id = data.draw(st.sampled_from(sorted(self.queued | self.running)))
        self.queued.discard(ticket_id)
        self.running.discard(ticket_id)
        self.ended.add(ticket_id)
        self.record(self.controller.cancel(ticket_id, self.now))

    @stateful.invariant()
    def cost_in_flight_is_that_of_running_queries_and_within_the_limit(self):
        costs = sum(self.costs[ticket_id] for ticket_id in self.running)
        assert self.controller.in_flight == costs
        assert costs <= 100

    @stateful.invariant()
    def queued_queries_are_those_without_a_decision(self):
        assert self.controller.queued_count == len(self.queued)

    @stateful.invariant()
    def no_query_is_queued_while_none_is_running(self):
        assert self.running or not self.queued


TestAdmissionMachine = AdmissionMachine.TestCase


@pytest.mark.parametrize(
    "model", admission_measure.MODELS, ids=lambda model: model.name
)
def test_load_peak_is_served_fairly_and_within_deadlines(model):
    figures = admission_measure.measure_crest(
        model, admission.AdmissionController, seed=1
    )
    assert figures["goodput_share"] >= 0.9
    assert figures["weakest_share"] >= 0.8
    assert figures["served_p99_ms"] <= 1e3 * admission_measure.DEADLINE_S
    assert figures["refusal_p99_ms"] <= 10


def test_queries_are_admitted_after_others_ended_at_their_deadlines():
    controller = admission.AdmissionController()
    now = 0.0
    for number in range(2 * admission.MIN_ESTIMATE_SAMPLES):
        ticket = build.build_ticket(f"cut-{number}", "a", now + 1.0)
        assert controller.offer(ticket, now) == [admission.Admit(ticket)]
        now += 1.0
        controller.finish(ticket.id, now, is_complete=False)
