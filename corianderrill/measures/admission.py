"""Measures admission at a crest of load, on a discrete clock.

One host with one CPU runs the accept of each caller, and for every sub-request
a send and a receive, in the order in which they become ready; backend servers
are a pool of slots. Load rises within two seconds from 0.7 to 3 times capacity
and one workspace of five causes most of the rise. The baseline has a fixed limit
and a fixed first-in-first-out queue that knows no deadline.

Run: python -m corianderrill.measures.admission
"""

import collections
import dataclasses
import heapq
import itertools
import json
import math
import random
import statistics
from collections.abc import Callable
from typing import Protocol

from corianderrill import admission, names, outcomes

SEEDS = (1, 2, 3)
FAN_OUT = 25
WORKSPACES = 5
FLOODING = 0
FLOOD_SHARE = 0.6

ACCEPT_CPU_S = 0.0003
SEND_CPU_S = 0.0002
RECEIVE_CPU_S = 0.0002
BACKEND_MEDIAN_S = 0.006
BACKEND_SIGMA = 0.4
LAG_PROBE_S = 0.02

DEADLINE_S = 0.25
QUIET_LOAD = 0.7
CREST_LOAD = 3.0
QUIET_S = 5.0
RISE_S = 2.0
HOLD_S = 8.0
STEADY_S = 10.0
STEADY_LOADS = (0.8, 0.9, 1.0, 1.2)

BASELINE_LIMIT = 64
BASELINE_QUEUE = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A host and its backend servers; `slots` serve sub-requests at a time."""

    name: str
    slots: int

    @property
    def capacity_qps(self) -> float:
        """Queries a second that CPU and slots can carry."""
        cpu_s = ACCEPT_CPU_S + FAN_OUT * (SEND_CPU_S + RECEIVE_CPU_S)
        backend_s = BACKEND_MEDIAN_S * math.exp(BACKEND_SIGMA**2 / 2)
        return min(1 / cpu_s, self.slots / (FAN_OUT * backend_s))


MODELS = (Model("cpu-bound", 400), Model("slots-bound", 8))


class Policy(Protocol):
    """What decides on queries."""

    def offer(self, ticket: admission.Ticket, now: float) -> list[admission.Decision]:
        """Take a new query."""

    def finish(self, request: names.RequestId, now: float) -> list[admission.Decision]:
        """Take the end of a query."""

    def expire(self, now: float) -> list[admission.Decision]:
        """Refuse what can no longer be on time."""

    def record_loop_lag(self, lag_s: float) -> None:
        """Note the lag of the event loop."""


class FixedQueue:
    """The baseline: a fixed limit, then a fixed queue in order of arrival."""

    def __init__(self):
        self._running: set[names.RequestId] = set()
        self._queue: collections.deque[admission.Ticket] = collections.deque()

    def offer(self, ticket: admission.Ticket, now: float) -> list[admission.Decision]:
        """Run, queue or refuse a query."""
        if len(self._queue) >= BASELINE_QUEUE:
            return [admission.Refuse(ticket, outcomes.RefusalReason.OVERLOADED)]
        self._queue.append(ticket)
        return self._dispatch()

    def finish(self, request: names.RequestId, now: float) -> list[admission.Decision]:
        """Start the next query."""
        self._running.discard(request)
        return self._dispatch()

    def _dispatch(self) -> list[admission.Decision]:
        started = []
        while self._queue and len(self._running) < BASELINE_LIMIT:
            ticket = self._queue.popleft()
            self._running.add(ticket.id)
            started.append(admission.Admit(ticket))
        return started

    def expire(self, now: float) -> list[admission.Decision]:
        """Know no deadline."""
        return []

    def record_loop_lag(self, lag_s: float) -> None:
        """Know no lag."""


@dataclasses.dataclass(slots=True)
class Tally:
    """What became of the queries that arrived in the window under measure."""

    arrived: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    served: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    late: int = 0
    refused: int = 0
    durations_s: list[float] = dataclasses.field(default_factory=list)
    refusal_delays_s: list[float] = dataclasses.field(default_factory=list)


class Simulation:
    """One run: an event heap, a CPU with a run queue, slots with a queue."""

    def __init__(self, model: Model, policy: Policy, window: tuple[float, float]):
        self.tally = Tally()
        self._model = model
        self._policy = policy
        self._window = window
        self._rng = random.Random(0)
        self._order = itertools.count()
        self._events: list = []
        self._now = 0.0
        self._ready: collections.deque = collections.deque()
        self._cpu_busy = False
        self._free_slots = model.slots
        self._waiting: collections.deque = collections.deque()
        self._arrivals: dict[names.RequestId, float] = {}
        self._left: dict[names.RequestId, int] = {}

    def run(self, arrivals: list[tuple[float, int]], seed: int) -> Tally:
        """Run all arrivals, each a time and a workspace, to the end."""
        self._rng = random.Random(seed)
        for number, (at, workspace) in enumerate(arrivals):
            ticket = _build_ticket(number, at, workspace)
            self._at(at, lambda ticket=ticket: self._arrive(ticket))
        end = arrivals[-1][0]
        for tick in range(int(end / LAG_PROBE_S)):
            self._at(tick * LAG_PROBE_S, self._probe_lag)
        while self._events:
            self._now, _, step = heapq.heappop(self._events)
            step()
        return self.tally

    def _at(self, when: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), step))

    def _compute(self, cpu_s: float, then: Callable[[], None]) -> None:
        self._ready.append((cpu_s, then))
        if not self._cpu_busy:
            self._run_next()

    def _run_next(self) -> None:
        if not self._ready:
            self._cpu_busy = False
            return
        self._cpu_busy = True
        cpu_s, then = self._ready.popleft()
        self._at(self._now + cpu_s, lambda: self._complete(then))

    def _complete(self, then: Callable[[], None]) -> None:
        then()
        self._run_next()

    def _probe_lag(self) -> None:
        due = self._now
        self._compute(0.0, lambda: self._note_lag(self._now - due))

    def _note_lag(self, lag_s: float) -> None:
        self._policy.record_loop_lag(lag_s)
        self._apply(self._policy.expire(self._now))

    def _arrive(self, ticket: admission.Ticket) -> None:
        self._arrivals[ticket.id] = self._now
        if self._is_measured(ticket):
            self.tally.arrived[ticket.workspace.label] += 1
        self._compute(ACCEPT_CPU_S, lambda: self._offer(ticket))

    def _offer(self, ticket: admission.Ticket) -> None:
        self._apply(self._policy.offer(ticket, self._now))

    def _apply(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            match decision:
                case admission.Admit(ticket):
                    self._start(ticket)
                case admission.Refuse(ticket, _):
                    self._refuse(ticket)

    def _start(self, ticket: admission.Ticket) -> None:
        self._left[ticket.id] = FAN_OUT
        for _ in range(FAN_OUT):
            self._compute(SEND_CPU_S, lambda: self._reach_backend(ticket))

    def _refuse(self, ticket: admission.Ticket) -> None:
        if self._is_measured(ticket):
            delay_s = self._now - self._arrivals[ticket.id]
            self.tally.refused += 1
            self.tally.refusal_delays_s.append(delay_s)

    def _reach_backend(self, ticket: admission.Ticket) -> None:
        self._waiting.append(ticket)
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self._waiting and self._free_slots:
            ticket = self._waiting.popleft()
            self._free_slots -= 1
            service_s = BACKEND_MEDIAN_S * self._rng.lognormvariate(0, BACKEND_SIGMA)
            done = self._now + service_s
            self._at(done, lambda ticket=ticket: self._leave_backend(ticket))

    def _leave_backend(self, ticket: admission.Ticket) -> None:
        self._free_slots += 1
        self._fill_slots()
        self._compute(RECEIVE_CPU_S, lambda: self._receive(ticket))

    def _receive(self, ticket: admission.Ticket) -> None:
        self._left[ticket.id] -= 1
        if self._left[ticket.id]:
            return
        if self._is_measured(ticket):
            self._count(ticket)
        self._apply(self._policy.finish(ticket.id, self._now))

    def _count(self, ticket: admission.Ticket) -> None:
        self.tally.durations_s.append(self._now - self._arrivals[ticket.id])
        if self._now <= ticket.deadline:
            self.tally.served[ticket.workspace.label] += 1
        else:
            self.tally.late += 1

    def _is_measured(self, ticket: admission.Ticket) -> bool:
        low, high = self._window
        return low <= self._arrivals[ticket.id] < high


def _build_ticket(number: int, at: float, workspace: int) -> admission.Ticket:
    fleet = names.FleetName("gantry")
    label = names.WorkspaceLabel(f"w{workspace}")
    return admission.Ticket(
        names.RequestId(str(number)),
        names.WorkspaceId(fleet, label),
        names.TemplateName("site-lookup"),
        at + DEADLINE_S,
        FAN_OUT,
    )


def plan_steady(rng: random.Random, qps: float) -> list[tuple[float, int]]:
    """Return arrivals at a steady rate, equal for all workspaces."""
    return _plan(rng, STEADY_S, lambda now: [qps / WORKSPACES] * WORKSPACES)


def plan_crest(rng: random.Random, capacity_qps: float) -> list[tuple[float, int]]:
    """Return arrivals that rise to the crest and stay there."""

    def rates(now: float) -> list[float]:
        risen = min(max((now - QUIET_S) / RISE_S, 0.0), 1.0)
        rise = risen * (CREST_LOAD - QUIET_LOAD)
        flood, rest = rise * FLOOD_SHARE, rise * (1 - FLOOD_SHARE) / (WORKSPACES - 1)
        return [
            capacity_qps
            * (QUIET_LOAD / WORKSPACES + (flood if number == FLOODING else rest))
            for number in range(WORKSPACES)
        ]

    return _plan(rng, QUIET_S + RISE_S + HOLD_S, rates)


def _plan(
    rng: random.Random, seconds: float, rates: Callable[[float], list[float]]
) -> list[tuple[float, int]]:
    arrivals = []
    now = 0.0
    while now < seconds:
        now_rates = rates(now)
        now += rng.expovariate(sum(now_rates))
        arrivals.append((now, rng.choices(range(WORKSPACES), now_rates)[0]))
    return arrivals


def measure_best_steady(model: Model, build: Callable[[], Policy], seed: int) -> float:
    """Return the best goodput at a steady load, in queries a second."""
    window = (2.0, STEADY_S)
    goodputs = []
    for load in STEADY_LOADS:
        arrivals = plan_steady(random.Random(seed), load * model.capacity_qps)
        tally = Simulation(model, build(), window).run(arrivals, seed)
        goodputs.append(tally.served.total() / (window[1] - window[0]))
    return max(goodputs)


def measure_crest(model: Model, build: Callable[[], Policy], seed: int) -> dict:
    """Return the figures of one run of the crest."""
    arrivals = plan_crest(random.Random(seed), model.capacity_qps)
    window = (QUIET_S, QUIET_S + RISE_S + HOLD_S)
    tally = Simulation(model, build(), window).run(arrivals, seed)
    seconds = window[1] - window[0]
    best_qps = measure_best_steady(model, build, seed)
    fair = best_qps * seconds / WORKSPACES
    shares = [
        tally.served[workspace] / min(arrived, fair)
        for workspace, arrived in tally.arrived.items()
    ]
    return {
        "goodput_share": tally.served.total() / seconds / best_qps,
        "served_p50_ms": 1e3 * _quantile(tally.durations_s, 0.50),
        "served_p99_ms": 1e3 * _quantile(tally.durations_s, 0.99),
        "late_share": tally.late / max(1, len(tally.durations_s)),
        "refused_share": tally.refused / tally.arrived.total(),
        "refusal_p50_ms": 1e3 * _quantile(tally.refusal_delays_s, 0.50),
        "refusal_p99_ms": 1e3 * _quantile(tally.refusal_delays_s, 0.99),
        "weakest_share": min(shares),
    }


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(int(share * len(values)), len(values) - 1)]


def _average(runs: list[dict]) -> dict:
    return {
        key: round(statistics.fmean(run[key] for run in runs), 3) for key in runs[0]
    }


def measure() -> dict:
    """Return the figures of policy and baseline for each model."""
    policies = {"policy": admission.AdmissionController, "baseline": FixedQueue}
    figures = {
        model.name: {
            name: _average([measure_crest(model, build, seed) for seed in SEEDS])
            for name, build in policies.items()
        }
        for model in MODELS
    }
    return {
        "scenario": "admission",
        "seeds": list(SEEDS),
        "deadline_ms": 1e3 * DEADLINE_S,
        "models": figures,
    }


if __name__ == "__main__":
    print(json.dumps(measure()))
