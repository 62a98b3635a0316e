"""Admission of queries on one entry host.

Three parts: a limit of work in flight that follows latency and event loop lag
(the gradient algorithm of Netflix's concurrency-limits), a bounded queue that is
served fairly (start-time fair queueing between workspaces; priority, then
deadline, within one), and refusal as soon as a deadline cannot be met. A
workspace may wait with as much as the queue has free (dynamic thresholds,
Choudhury and Hahne, 1998) and at least with its fair share of the queue, so that a
refusal comes on arrival and workspaces that ask for little find room.

Cost is counted in sub-requests.
"""

import bisect
import dataclasses
import enum
import math
from collections.abc import Callable

from corianderrill import names, outcomes

DEFAULT_DURATION_S = 0.02
EXPECTED_WEIGHT = 0.1
DEVIATIONS = 2.0
MIN_ESTIMATE_SAMPLES = 8
FORGET_S = 2.0
FLOOR_EPOCH_S = 30.0
KEPT_TEMPLATES = 1024

UPDATE_INTERVAL_S = 0.05
MIN_UPDATE_SAMPLES = 8
TOLERATED_RATIO = 2.0
LAG_TARGET_S = 0.0035
LAG_WEIGHT = 0.2
HEADROOM_SHARE = 0.1
SMOOTHING = 0.3
MIN_GRADIENT = 0.5
SATURATED_SHARE = 0.5
INITIAL_LIMIT = 200.0
MIN_LIMIT = 25.0
MAX_LIMIT = 20_000.0

MAX_QUEUE_TIME_S = 0.05
MOST_QUERIES = 256
METER_S = 0.5
KEPT_ACCOUNTS = 4096


class Priority(enum.IntEnum):
    """Order of service within a workspace."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A query that asks for admission; `deadline` is on the clock of `now`."""

    request: names.RequestId
    workspace: names.WorkspaceId
    template: names.TemplateName
    deadline: float
    cost: int
    priority: Priority = Priority.NORMAL


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Run the query now."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller that the query did not run."""

    ticket: Ticket
    reason: outcomes.RefusalReason


Decision = Admit | Refuse


@dataclasses.dataclass(slots=True)
class Duration:
    """How long queries of one template run, in seconds, without their queueing.

    The floor is the least smoothed duration of the last two epochs. Without new
    samples the expectation fades, so that a slow spell never shuts a template out:
    refused queries teach nothing.
    """

    mean_s: float
    deviation_s: float
    epoch_start: float
    epoch_floor_s: float
    last_floor_s: float = math.inf
    recorded_at: float = -math.inf
    samples: int = 0

    @property
    def floor_s(self) -> float:
        """The duration to expect on an idle host."""
        return min(self.epoch_floor_s, self.last_floor_s)

    def expect_mean(self, now: float) -> float:
        """Return the mean, fading with the time since the last sample."""
        if self.samples < MIN_ESTIMATE_SAMPLES:
            return 0.0
        return self.mean_s * math.exp((self.recorded_at - now) / FORGET_S)

    def expect_likely(self, now: float) -> float:
        """Return a duration that most queries keep (mean and two deviations)."""
        if self.samples < MIN_ESTIMATE_SAMPLES:
            return min(DEFAULT_DURATION_S, self.mean_s)
        likely_s = self.mean_s + DEVIATIONS * self.deviation_s
        return likely_s * math.exp((self.recorded_at - now) / FORGET_S)

    def record(self, elapsed_s: float, now: float) -> None:
        """Add the duration of one query."""
        self.recorded_at = now
        self.samples += 1
        error = elapsed_s - self.mean_s
        self.mean_s += EXPECTED_WEIGHT * error
        self.deviation_s += EXPECTED_WEIGHT * (abs(error) - self.deviation_s)
        if now - self.epoch_start >= FLOOR_EPOCH_S:
            self.last_floor_s = self.epoch_floor_s
            self.epoch_floor_s = self.mean_s
            self.epoch_start = now
        self.epoch_floor_s = min(self.epoch_floor_s, self.mean_s)


class Durations:
    """Durations by fleet and template; the least recently used are forgotten."""

    def __init__(self):
        self._by_template: dict[
            tuple[names.FleetName, names.TemplateName], Duration
        ] = {}

    def get(self, ticket: Ticket) -> Duration | None:
        """Return what is known of a ticket's template."""
        return self._by_template.get((ticket.workspace.fleet, ticket.template))

    def expect(self, ticket: Ticket, now: float) -> float:
        """Return how long a query will likely run."""
        known = self.get(ticket)
        return DEFAULT_DURATION_S if known is None else known.expect_likely(now)

    def compare(self, ticket: Ticket, elapsed_s: float) -> float:
        """Return the ratio of a duration to the floor of its template."""
        known = self.get(ticket)
        if known is None or not known.floor_s:
            return 1.0
        return elapsed_s / known.floor_s

    def record(self, ticket: Ticket, elapsed_s: float, now: float) -> float:
        """Add a duration; return its ratio to the template's floor."""
        key = (ticket.workspace.fleet, ticket.template)
        known = self._by_template.pop(key, None)
        if known is None:
            known = Duration(
                elapsed_s, elapsed_s / 2, now, elapsed_s, recorded_at=now, samples=1
            )
        else:
            known.record(elapsed_s, now)
        self._by_template[key] = known
        if len(self._by_template) > KEPT_TEMPLATES:
            del self._by_template[next(iter(self._by_template))]
        return elapsed_s / known.floor_s if known.floor_s else 1.0


class ConcurrencyLimiter:
    """The limit of work in flight, in sub-requests."""

    def __init__(
        self,
        initial: float = INITIAL_LIMIT,
        min_limit: float = MIN_LIMIT,
        max_limit: float = MAX_LIMIT,
    ):
        self.limit = initial
        self._least = min_limit
        self._most = max_limit
        self._updated_at = -math.inf
        self._ratio_sum = 0.0
        self._samples = 0
        self._most_in_flight = 0.0
        self._lag_s = 0.0

    def record_loop_lag(self, lag_s: float) -> None:
        """Note how late the event loop woke a timer, in seconds."""
        self._lag_s += LAG_WEIGHT * (lag_s - self._lag_s)

    def record(self, ratio: float, in_flight: float, now: float) -> None:
        """Note a duration as a ratio to its floor; updates the limit when due."""
        self._ratio_sum += ratio
        self._samples += 1
        self._most_in_flight = max(self._most_in_flight, in_flight)
        if self._samples < MIN_UPDATE_SAMPLES:
            return
        if now - self._updated_at < UPDATE_INTERVAL_S:
            return
        self._update()
        self._updated_at = now

    def _update(self) -> None:
        mean_ratio = self._ratio_sum / self._samples
        gradient = min(1.0, TOLERATED_RATIO / mean_ratio)
        if self._lag_s > LAG_TARGET_S:
            gradient = min(gradient, LAG_TARGET_S / self._lag_s)
        gradient = max(gradient, MIN_GRADIENT)
        saturated = self._most_in_flight >= SATURATED_SHARE * self.limit
        # An idle host proves nothing about a higher limit.
        headroom = HEADROOM_SHARE if saturated else 0.0
        wanted = self.limit * (gradient + headroom)
        limit = self.limit + SMOOTHING * (wanted - self.limit)
        self.limit = min(max(limit, self._least), self._most)
        self._ratio_sum = 0.0
        self._samples = 0
        self._most_in_flight = 0.0


@dataclasses.dataclass(slots=True)
class Meter:
    """A rate that forgets exponentially, in units a second."""

    total: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self.total = self._decay(now) + amount
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Return the recent rate."""
        return self._decay(now) / METER_S

    def _decay(self, now: float) -> float:
        return self.total * math.exp(-(now - self.updated_at) / METER_S)


@dataclasses.dataclass(slots=True)
class _Account:
    """A workspace: its waiting tickets, most pressing first, and its usage."""

    weight: float
    virtual_time: float = 0.0
    cost: int = 0
    tickets: list[Ticket] = dataclasses.field(default_factory=list)
    usage: Meter = dataclasses.field(default_factory=Meter)

    def push(self, ticket: Ticket) -> None:
        bisect.insort(self.tickets, ticket, key=_urgency)
        self.cost += ticket.cost

    def pop(self, index: int) -> Ticket:
        ticket = self.tickets.pop(index)
        self.cost -= ticket.cost
        return ticket


def _urgency(ticket: Ticket) -> tuple[int, float]:
    return ticket.priority, ticket.deadline


def _weigh_equally(workspace: names.WorkspaceId) -> float:
    return 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    ticket: Ticket
    started_at: float


class AdmissionController:
    """Decides which queries run now, wait or are refused."""

    def __init__(
        self,
        limiter: ConcurrencyLimiter | None = None,
        weight_of: Callable[[names.WorkspaceId], float] = _weigh_equally,
        max_queue_time_s: float = MAX_QUEUE_TIME_S,
        max_queries: int = MOST_QUERIES,
    ):
        self.limiter = limiter or ConcurrencyLimiter()
        self.durations = Durations()
        self.in_flight = 0
        self._weigh = weight_of
        self._max_queue_s = max_queue_time_s
        self._most_queries = max_queries
        self._running: dict[names.RequestId, _Running] = {}
        self._accounts: dict[names.WorkspaceId, _Account] = {}
        self._waiting: dict[names.WorkspaceId, _Account] = {}
        self._virtual_now = 0.0
        self._queued_cost = 0
        self._queued_since = math.inf
        self._mean_s = DEFAULT_DURATION_S
        self._usage = Meter()

    @property
    def running(self) -> int:
        """Queries that run."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Queries that wait."""
        return sum(len(account.tickets) for account in self._waiting.values())

    def record_loop_lag(self, lag_s: float) -> None:
        """Note how late the event loop woke a timer, in seconds."""
        self.limiter.record_loop_lag(lag_s)

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Take a new query; the decisions may also be about queries that wait."""
        if len(self._running) + self.queued >= self._most_queries:
            return [Refuse(ticket, outcomes.RefusalReason.OVERLOADED)]
        expected_s = self._expect(ticket, now)
        if now + expected_s > ticket.deadline:
            return [Refuse(ticket, outcomes.RefusalReason.DEADLINE)]
        account = self._open_account(ticket.workspace)
        if not self._may_wait(account, ticket, ticket.deadline - expected_s, now):
            return [Refuse(ticket, outcomes.RefusalReason.OVERLOADED)]
        self._enqueue(account, ticket, now)
        return self._dispatch(now)

    def finish(
        self, request: names.RequestId, now: float, is_complete: bool = True
    ) -> list[Decision]:
        """Take the end of a query that was started; may start others.

        One that is not `whole` ended at its deadline or failed: it shows load, but
        not how long a query of its template takes.
        """
        running = self._running.pop(request, None)
        if running is None:
            return []
        elapsed_s = now - running.started_at
        ratio = self._learn(running.ticket, elapsed_s, is_complete, now)
        self.limiter.record(ratio, self.in_flight, now)
        self.in_flight -= running.ticket.cost
        self._mean_s += EXPECTED_WEIGHT * (elapsed_s - self._mean_s)
        return self._dispatch(now)

    def _learn(
        self, ticket: Ticket, elapsed_s: float, whole: bool, now: float
    ) -> float:
        if whole:
            return self.durations.record(ticket, elapsed_s, now)
        return self.durations.compare(ticket, elapsed_s)

    def cancel(self, request: names.RequestId, now: float) -> list[Decision]:
        """Drop a query whose caller is gone, waiting or running."""
        running = self._running.pop(request, None)
        if running is not None:
            self.in_flight -= running.ticket.cost
            return self._dispatch(now)
        for ticket in self._list_waiting():
            if ticket.request == request:
                self._take(ticket)
                break
        return []

    def expire(self, now: float) -> list[Decision]:
        """Refuse waiting queries that can no longer meet their deadlines."""
        late = [ticket for ticket in self._list_waiting() if self._is_late(ticket, now)]
        for ticket in late:
            self._take(ticket)
        reason = outcomes.RefusalReason.OVERLOADED
        refused: list[Decision] = [Refuse(ticket, reason) for ticket in late]
        return refused + self._dispatch(now)

    def _list_waiting(self) -> list[Ticket]:
        return [
            ticket for account in self._waiting.values() for ticket in account.tickets
        ]

    def _expect(self, ticket: Ticket, now: float) -> float:
        # Only queries that run renew the durations. On an idle host one is let in
        # against them, or a slow spell would refuse its template for ever.
        if not self._running:
            return DEFAULT_DURATION_S
        return self.durations.expect(ticket, now)

    def _is_late(self, ticket: Ticket, now: float) -> bool:
        known = self.durations.get(ticket) if self._running else None
        least_s = 0.0 if known is None else known.expect_mean(now)
        return now + least_s > ticket.deadline

    def _fits(self, ticket: Ticket) -> bool:
        if not self._running:
            return True
        return self.in_flight + ticket.cost <= self.limiter.limit

    def _may_wait(
        self, account: _Account, ticket: Ticket, start_by: float, now: float
    ) -> bool:
        if not self._queued_cost and self._fits(ticket):
            return True
        rate = self._estimate_rate(now)
        own_cost = account.cost + ticket.cost
        weights = sum(other.weight for other in self._waiting.values())
        if not account.tickets:
            weights += account.weight
        fair_share = account.weight / weights
        most_queued = self._max_queue_s * rate
        room = account.weight * (most_queued - self._queued_cost)
        if account.tickets and own_cost > max(room, fair_share * most_queued):
            return False
        own_rate = max(account.usage.rate(now), rate * fair_share)
        wait_s = min(own_cost / own_rate, (self._queued_cost + ticket.cost) / rate)
        return now + wait_s <= start_by

    def _estimate_rate(self, now: float) -> float:
        """Return the sub-requests a second that can start.

        Measured where the queue has lasted, else by Little's law.
        """
        if now - self._queued_since > METER_S:
            return max(self._usage.rate(now), 1.0)
        return self.limiter.limit / self._mean_s

    def _open_account(self, workspace: names.WorkspaceId) -> _Account:
        account = self._accounts.get(workspace)
        if account is None:
            if len(self._accounts) >= KEPT_ACCOUNTS:
                self._forget_idle_accounts()
            account = self._accounts[workspace] = _Account(self._weigh(workspace))
        return account

    def _forget_idle_accounts(self) -> None:
        self._accounts = {
            workspace: account
            for workspace, account in self._accounts.items()
            if account.tickets or account.virtual_time > self._virtual_now
        }

    def _enqueue(self, account: _Account, ticket: Ticket, now: float) -> None:
        if not account.tickets:
            account.virtual_time = max(account.virtual_time, self._virtual_now)
            self._waiting[ticket.workspace] = account
        if not self._queued_cost:
            self._queued_since = now
        account.push(ticket)
        self._queued_cost += ticket.cost

    def _take(self, ticket: Ticket) -> None:
        account = self._waiting[ticket.workspace]
        account.pop(account.tickets.index(ticket))
        self._queued_cost -= ticket.cost
        if not account.tickets:
            del self._waiting[ticket.workspace]
        if not self._queued_cost:
            self._queued_since = math.inf

    def _dispatch(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while self._waiting:
            account = min(self._waiting.values(), key=_virtual_start)
            ticket = account.tickets[0]
            if self._is_late(ticket, now):
                self._take(ticket)
                reason = outcomes.RefusalReason.OVERLOADED
                decisions.append(Refuse(ticket, reason))
                continue
            if not self._fits(ticket):
                break
            self._start(account, ticket, now)
            decisions.append(Admit(ticket))
        return decisions

    def _start(self, account: _Account, ticket: Ticket, now: float) -> None:
        self._take(ticket)
        self._virtual_now = account.virtual_time
        account.virtual_time += ticket.cost / account.weight
        account.usage.add(ticket.cost, now)
        self._usage.add(ticket.cost, now)
        self._running[ticket.request] = _Running(ticket, now)
        self.in_flight += ticket.cost


def _virtual_start(account: _Account) -> float:
    return account.virtual_time
