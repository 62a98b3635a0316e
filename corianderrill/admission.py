"""Admission of queries on one entry host.

Admission control has three parts:

- A concurrency limit that adapts to latency and event loop lag (the gradient
  algorithm of Netflix's concurrency-limits).
- A bounded queue with start-time fair queueing between workspaces. Within a
  workspace, queries are ordered by priority, then by deadline.
- Early refusal of queries that cannot meet their deadline.

The queued cost of a workspace may not exceed its weight times the free space of the
queue (dynamic thresholds, Choudhury and Hahne, 1998), or its fair share of the queue
if that is larger. Excess queries are therefore refused on arrival, and workspaces
with little demand still find space in the queue.

The cost of a query is its number of sub-requests.
"""

import bisect
import dataclasses
import enum
import math
from collections.abc import Callable

from corianderrill import names, outcomes

DEFAULT_DURATION_S = 0.02
DURATION_EWMA_WEIGHT = 0.1
UPPER_ESTIMATE_DEVIATIONS = 2.0
MIN_ESTIMATE_SAMPLES = 8
ESTIMATE_TIME_CONSTANT_S = 2.0
BASELINE_WINDOW_S = 30.0
MAX_TEMPLATES = 1024

UPDATE_INTERVAL_S = 0.05
MIN_UPDATE_SAMPLES = 8
TOLERATED_DURATION_RATIO = 2.0
LOOP_LAG_TARGET_S = 0.0035
LOOP_LAG_EWMA_WEIGHT = 0.2
LIMIT_HEADROOM_SHARE = 0.1
LIMIT_EWMA_WEIGHT = 0.3
MIN_GRADIENT = 0.5
SATURATED_LIMIT_SHARE = 0.5
# Limits of the sub-requests in flight.
INITIAL_LIMIT = 200.0
MIN_LIMIT = 25.0
MAX_LIMIT = 20_000.0

MAX_QUEUE_TIME_S = 0.05
MAX_RUNNING_AND_QUEUED_QUERIES = 256
RATE_TIME_CONSTANT_S = 0.5
MAX_WORKSPACE_QUEUES = 4096


class Priority(enum.IntEnum):
    """The priority of a query within its workspace; lower values run first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A query that asks for admission.

    `id` is unique on this host. `deadline` is on the same clock as the `now`
    arguments. `cost` is the number of sub-requests.
    """

    id: names.RequestId
    workspace: names.WorkspaceId
    template: names.TemplateName
    deadline: float
    cost: int
    priority: Priority = Priority.NORMAL


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The query may run now."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The query is refused; the caller is told that it did not run."""

    ticket: Ticket
    reason: outcomes.RefusalReason


Decision = Admit | Refuse


@dataclasses.dataclass(slots=True)
class DurationEstimate:
    """Estimate of how long queries of one template run, excluding queueing time.

    The baseline approximates the duration on an idle host. It is the minimum of the
    moving average over the current and the previous window of `BASELINE_WINDOW_S`.
    Estimates decay while no samples arrive. Refused queries give no samples, so
    without the decay a template could stay refused after a slow period.
    """

    mean_s: float
    deviation_s: float
    window_start: float
    window_baseline_s: float
    previous_window_baseline_s: float = math.inf
    recorded_at: float = -math.inf
    samples: int = 0

    @property
    def baseline_s(self) -> float:
        """The estimated duration on an idle host."""
        return min(self.window_baseline_s, self.previous_window_baseline_s)

    def estimate_mean_s(self, now: float) -> float:
        """Return the mean duration, decayed by the time since the last sample.

        It is 0.0 until there are `MIN_ESTIMATE_SAMPLES` samples.
        """
        if self.samples < MIN_ESTIMATE_SAMPLES:
            return 0.0
        return self.mean_s * math.exp(
            (self.recorded_at - now) / ESTIMATE_TIME_CONSTANT_S
        )

    def estimate_upper_s(self, now: float) -> float:
        """Return an upper estimate: the mean plus two deviations, decayed.

        Until there are `MIN_ESTIMATE_SAMPLES` samples, it is the mean, but at most
        `DEFAULT_DURATION_S`.
        """
        if self.samples < MIN_ESTIMATE_SAMPLES:
            return min(DEFAULT_DURATION_S, self.mean_s)
        upper_s = self.mean_s + UPPER_ESTIMATE_DEVIATIONS * self.deviation_s
        return upper_s * math.exp((self.recorded_at - now) / ESTIMATE_TIME_CONSTANT_S)

    def record(self, elapsed_s: float, now: float) -> None:
        """Add the duration of one query to the moving averages."""
        self.recorded_at = now
        self.samples += 1
        error = elapsed_s - self.mean_s
        self.mean_s += DURATION_EWMA_WEIGHT * error
        self.deviation_s += DURATION_EWMA_WEIGHT * (abs(error) - self.deviation_s)
        if now - self.window_start >= BASELINE_WINDOW_S:
            self.previous_window_baseline_s = self.window_baseline_s
            self.window_baseline_s = self.mean_s
            self.window_start = now
        self.window_baseline_s = min(self.window_baseline_s, self.mean_s)


class DurationEstimates:
    """Duration estimates by fleet and template; evicts the least recently updated."""

    def __init__(self):
        self._estimates: dict[
            tuple[names.FleetName, names.TemplateName], DurationEstimate
        ] = {}

    def get(self, ticket: Ticket) -> DurationEstimate | None:
        """Return the estimate for the template of a ticket, if there is one."""
        return self._estimates.get((ticket.workspace.fleet, ticket.template))

    def estimate_s(self, ticket: Ticket, now: float) -> float:
        """Return an upper estimate of how long a query will run, in seconds."""
        estimate = self.get(ticket)
        return (
            DEFAULT_DURATION_S if estimate is None else estimate.estimate_upper_s(now)
        )

    def get_baseline_ratio(self, ticket: Ticket, elapsed_s: float) -> float:
        """Return a duration divided by its template's baseline; 1.0 without one."""
        estimate = self.get(ticket)
        if estimate is None or not estimate.baseline_s:
            return 1.0
        return elapsed_s / estimate.baseline_s

    def record(self, ticket: Ticket, elapsed_s: float, now: float) -> float:
        """Record a duration and return its ratio to the baseline of its template."""
        key = (ticket.workspace.fleet, ticket.template)
        estimate = self._estimates.pop(key, None)
        if estimate is None:
            estimate = DurationEstimate(
                elapsed_s, elapsed_s / 2, now, elapsed_s, recorded_at=now, samples=1
            )
        else:
            estimate.record(elapsed_s, now)
        self._estimates[key] = estimate
        if len(self._estimates) > MAX_TEMPLATES:
            del self._estimates[next(iter(self._estimates))]
        return elapsed_s / estimate.baseline_s if estimate.baseline_s else 1.0


class ConcurrencyLimiter:
    """Adaptive limit on the sub-requests in flight."""

    def __init__(
        self,
        initial: float = INITIAL_LIMIT,
        min_limit: float = MIN_LIMIT,
        max_limit: float = MAX_LIMIT,
    ):
        self.limit = initial
        self._min_limit = min_limit
        self._max_limit = max_limit
        self._updated_at = -math.inf
        self._ratio_sum = 0.0
        self._samples = 0
        self._max_in_flight = 0.0
        self._loop_lag_s = 0.0

    def record_loop_lag(self, lag_s: float) -> None:
        """Record how late the event loop ran a timer, in seconds."""
        self._loop_lag_s += LOOP_LAG_EWMA_WEIGHT * (lag_s - self._loop_lag_s)

    def record(self, ratio: float, in_flight: float, now: float) -> None:
        """Record a duration as a ratio to its baseline; update the limit if due."""
        self._ratio_sum += ratio
        self._samples += 1
        self._max_in_flight = max(self._max_in_flight, in_flight)
        if self._samples < MIN_UPDATE_SAMPLES:
            return
        if now - self._updated_at < UPDATE_INTERVAL_S:
            return
        self._update()
        self._updated_at = now

    def _update(self) -> None:
        mean_ratio = self._ratio_sum / self._samples
        gradient = min(1.0, TOLERATED_DURATION_RATIO / mean_ratio)
        if self._loop_lag_s > LOOP_LAG_TARGET_S:
            gradient = min(gradient, LOOP_LAG_TARGET_S / self._loop_lag_s)
        gradient = max(gradient, MIN_GRADIENT)
        saturated = self._max_in_flight >= SATURATED_LIMIT_SHARE * self.limit
        # Latency on a lightly loaded host is no evidence for a higher limit.
        headroom = LIMIT_HEADROOM_SHARE if saturated else 0.0
        target = self.limit * (gradient + headroom)
        limit = self.limit + LIMIT_EWMA_WEIGHT * (target - self.limit)
        self.limit = min(max(limit, self._min_limit), self._max_limit)
        self._ratio_sum = 0.0
        self._samples = 0
        self._max_in_flight = 0.0


@dataclasses.dataclass(slots=True)
class DecayingRate:
    """A rate per second, averaged with exponential decay."""

    total: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount to the rate."""
        self.total = self._decayed_total(now) + amount
        self.updated_at = now

    def per_second(self, now: float) -> float:
        """Return the current rate per second."""
        return self._decayed_total(now) / RATE_TIME_CONSTANT_S

    def _decayed_total(self, now: float) -> float:
        return self.total * math.exp(-(now - self.updated_at) / RATE_TIME_CONSTANT_S)


@dataclasses.dataclass(slots=True)
class _WorkspaceQueue:
    """The tickets of one workspace that wait for admission, next one first.

    `cost` is the total cost of the waiting tickets. `start_tag` is the virtual time
    at which the next ticket starts (start-time fair queueing). `admission_rate` is
    the rate of admitted sub-requests per second.
    """

    weight: float
    start_tag: float = 0.0
    cost: int = 0
    tickets: list[Ticket] = dataclasses.field(default_factory=list)
    admission_rate: DecayingRate = dataclasses.field(default_factory=DecayingRate)

    def push(self, ticket: Ticket) -> None:
        bisect.insort(self.tickets, ticket, key=_order_key)
        self.cost += ticket.cost

    def pop(self, index: int) -> Ticket:
        ticket = self.tickets.pop(index)
        self.cost -= ticket.cost
        return ticket


def _order_key(ticket: Ticket) -> tuple[int, float]:
    return ticket.priority, ticket.deadline


def _weigh_equally(workspace: names.WorkspaceId) -> float:
    return 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _RunningQuery:
    ticket: Ticket
    started_at: float


class AdmissionController:
    """Decides whether queries run now, wait in a queue or are refused.

    `in_flight` is the total cost of the running queries. `max_queries` bounds the
    number of running and queued queries.
    """

    def __init__(
        self,
        limiter: ConcurrencyLimiter | None = None,
        weight_of: Callable[[names.WorkspaceId], float] = _weigh_equally,
        max_queue_time_s: float = MAX_QUEUE_TIME_S,
        max_queries: int = MAX_RUNNING_AND_QUEUED_QUERIES,
    ):
        self.limiter = limiter or ConcurrencyLimiter()
        self.duration_estimates = DurationEstimates()
        self.in_flight = 0
        self._weight_of = weight_of
        self._max_queue_time_s = max_queue_time_s
        self._max_queries = max_queries
        self._running: dict[names.RequestId, _RunningQuery] = {}
        self._queues: dict[names.WorkspaceId, _WorkspaceQueue] = {}
        self._nonempty_queues: dict[names.WorkspaceId, _WorkspaceQueue] = {}
        self._virtual_time = 0.0
        self._queued_cost = 0
        self._queued_since = math.inf
        self._mean_duration_s = DEFAULT_DURATION_S
        self._admission_rate = DecayingRate()

    @property
    def running_count(self) -> int:
        """The number of admitted queries that have not finished."""
        return len(self._running)

    @property
    def queued_count(self) -> int:
        """The number of queries in the queue."""
        return sum(len(queue.tickets) for queue in self._nonempty_queues.values())

    def record_loop_lag(self, lag_s: float) -> None:
        """Record how late the event loop ran a timer, in seconds."""
        self.limiter.record_loop_lag(lag_s)

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Submit a new query.

        The returned decisions may also be about queries that were already queued. If
        none is about this query, it was queued.
        """
        if len(self._running) + self.queued_count >= self._max_queries:
            return [Refuse(ticket, outcomes.RefusalReason.OVERLOADED)]
        expected_s = self._estimate_duration_s(ticket, now)
        if now + expected_s > ticket.deadline:
            return [Refuse(ticket, outcomes.RefusalReason.DEADLINE)]
        queue = self._get_or_create_queue(ticket.workspace)
        if not self._can_queue(queue, ticket, ticket.deadline - expected_s, now):
            return [Refuse(ticket, outcomes.RefusalReason.OVERLOADED)]
        self._enqueue(queue, ticket, now)
        return self._dispatch(now)

    def finish(
        self, ticket_id: names.RequestId, now: float, is_complete: bool = True
    ) -> list[Decision]:
        """Record that an admitted query finished; admit queued queries.

        `is_complete` is false if the query failed or its answer lacks shards, for
        example because it reached its deadline. The duration of such a query is a
        sign of load and updates the concurrency limit, but it does not update the
        duration estimate of its template.
        """
        finished = self._running.pop(ticket_id, None)
        if finished is None:
            return []
        elapsed_s = now - finished.started_at
        ratio = self._record_duration(finished.ticket, elapsed_s, is_complete, now)
        self.limiter.record(ratio, self.in_flight, now)
        self.in_flight -= finished.ticket.cost
        self._mean_duration_s += DURATION_EWMA_WEIGHT * (
            elapsed_s - self._mean_duration_s
        )
        return self._dispatch(now)

    def _record_duration(
        self, ticket: Ticket, elapsed_s: float, is_complete: bool, now: float
    ) -> float:
        if is_complete:
            return self.duration_estimates.record(ticket, elapsed_s, now)
        return self.duration_estimates.get_baseline_ratio(ticket, elapsed_s)

    def cancel(self, ticket_id: names.RequestId, now: float) -> list[Decision]:
        """Remove a queued or running query whose caller has disconnected."""
        cancelled = self._running.pop(ticket_id, None)
        if cancelled is not None:
            self.in_flight -= cancelled.ticket.cost
            return self._dispatch(now)
        for ticket in self._list_queued():
            if ticket.id == ticket_id:
                self._dequeue(ticket)
                break
        return []

    def expire(self, now: float) -> list[Decision]:
        """Refuse queued queries that can no longer meet their deadlines."""
        late = [ticket for ticket in self._list_queued() if self._is_late(ticket, now)]
        for ticket in late:
            self._dequeue(ticket)
        reason = outcomes.RefusalReason.OVERLOADED
        refused: list[Decision] = [Refuse(ticket, reason) for ticket in late]
        return refused + self._dispatch(now)

    def _list_queued(self) -> list[Ticket]:
        return [
            ticket
            for queue in self._nonempty_queues.values()
            for ticket in queue.tickets
        ]

    def _estimate_duration_s(self, ticket: Ticket, now: float) -> float:
        # Only queries that run update the estimates. An idle host ignores the
        # estimates, so that a query runs even if they are high after a slow period;
        # otherwise its template could stay refused forever.
        if not self._running:
            return DEFAULT_DURATION_S
        return self.duration_estimates.estimate_s(ticket, now)

    def _is_late(self, ticket: Ticket, now: float) -> bool:
        estimate = self.duration_estimates.get(ticket) if self._running else None
        mean_s = 0.0 if estimate is None else estimate.estimate_mean_s(now)
        return now + mean_s > ticket.deadline

    def _fits(self, ticket: Ticket) -> bool:
        if not self._running:
            return True
        return self.in_flight + ticket.cost <= self.limiter.limit

    def _can_queue(
        self, queue: _WorkspaceQueue, ticket: Ticket, latest_start: float, now: float
    ) -> bool:
        if not self._queued_cost and self._fits(ticket):
            return True
        rate = self._estimate_admission_rate(now)
        workspace_cost = queue.cost + ticket.cost
        weights = sum(other.weight for other in self._nonempty_queues.values())
        if not queue.tickets:
            weights += queue.weight
        fair_share = queue.weight / weights
        max_queued_cost = self._max_queue_time_s * rate
        max_workspace_cost = queue.weight * (max_queued_cost - self._queued_cost)
        if queue.tickets and workspace_cost > max(
            max_workspace_cost, fair_share * max_queued_cost
        ):
            return False
        workspace_rate = max(queue.admission_rate.per_second(now), rate * fair_share)
        wait_s = min(
            workspace_cost / workspace_rate, (self._queued_cost + ticket.cost) / rate
        )
        return now + wait_s <= latest_start

    def _estimate_admission_rate(self, now: float) -> float:
        """Return how many sub-requests per second can be admitted.

        The rate is measured if the queue has been non-empty for long enough, and
        derived from Little's law otherwise.
        """
        if now - self._queued_since > RATE_TIME_CONSTANT_S:
            return max(self._admission_rate.per_second(now), 1.0)
        return self.limiter.limit / self._mean_duration_s

    def _get_or_create_queue(self, workspace: names.WorkspaceId) -> _WorkspaceQueue:
        queue = self._queues.get(workspace)
        if queue is None:
            if len(self._queues) >= MAX_WORKSPACE_QUEUES:
                self._evict_idle_queues()
            queue = self._queues[workspace] = _WorkspaceQueue(
                self._weight_of(workspace)
            )
        return queue

    def _evict_idle_queues(self) -> None:
        self._queues = {
            workspace: queue
            for workspace, queue in self._queues.items()
            if queue.tickets or queue.start_tag > self._virtual_time
        }

    def _enqueue(self, queue: _WorkspaceQueue, ticket: Ticket, now: float) -> None:
        if not queue.tickets:
            queue.start_tag = max(queue.start_tag, self._virtual_time)
            self._nonempty_queues[ticket.workspace] = queue
        if not self._queued_cost:
            self._queued_since = now
        queue.push(ticket)
        self._queued_cost += ticket.cost

    def _dequeue(self, ticket: Ticket) -> None:
        queue = self._nonempty_queues[ticket.workspace]
        queue.pop(queue.tickets.index(ticket))
        self._queued_cost -= ticket.cost
        if not queue.tickets:
            del self._nonempty_queues[ticket.workspace]
        if not self._queued_cost:
            self._queued_since = math.inf

    def _dispatch(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while self._nonempty_queues:
            queue = min(self._nonempty_queues.values(), key=_get_start_tag)
            ticket = queue.tickets[0]
            if self._is_late(ticket, now):
                self._dequeue(ticket)
                reason = outcomes.RefusalReason.OVERLOADED
                decisions.append(Refuse(ticket, reason))
                continue
            if not self._fits(ticket):
                break
            self._admit(queue, ticket, now)
            decisions.append(Admit(ticket))
        return decisions

    def _admit(self, queue: _WorkspaceQueue, ticket: Ticket, now: float) -> None:
        self._dequeue(ticket)
        self._virtual_time = queue.start_tag
        queue.start_tag += ticket.cost / queue.weight
        queue.admission_rate.add(ticket.cost, now)
        self._admission_rate.add(ticket.cost, now)
        self._running[ticket.id] = _RunningQuery(ticket, now)
        self.in_flight += ticket.cost


def _get_start_tag(queue: _WorkspaceQueue) -> float:
    return queue.start_tag
