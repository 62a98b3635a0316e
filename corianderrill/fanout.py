"""The fan-out of one query over its shards, as an aggregate without sockets.

The aggregate is told of time and results and returns actions: sub-requests to send
and attempts to cancel. Each shard ends answered or missing with a reason. A
sub-request that is not idempotent is sent again only after a refusal that says that
it did not run.
"""

import dataclasses
import enum
import heapq
import itertools
from collections.abc import Iterable
from typing import Protocol

from corianderrill import (
    attempts,
    deadlines,
    hostlist,
    merge,
    names,
    outcomes,
    replicas,
    replies,
)

LATER_HEDGE_SHARE = 0.5
BACKOFF_FIRST_S = 0.004
BACKOFF_FACTOR = 2.0
BUDGET_RECHECK_DELAY_S = 0.02


class AttemptPurpose(enum.Enum):
    """Why a sub-request is sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class FanOutPolicy(Protocol):
    """What a fan-out asks the policy; one object serves all queries of a host.

    `attempts_at_most` bounds the attempts on one shard of one query.
    """

    max_attempts_per_shard: int

    def list_replicas(self, shard: names.ShardId) -> Iterable[names.ReplicaId]:
        """Return the replicas of a shard that may get new work."""

    def apply_host_list(
        self, servers: tuple[hostlist.BackendServer, ...], now: float
    ) -> None:
        """Take the backend servers of a new host list."""

    def choose_replica(
        self,
        shard: names.ShardId,
        snapshot: names.SnapshotId,
        exclude: frozenset[names.ReplicaId],
        now: float,
    ) -> names.ReplicaId | None:
        """Return the replica to ask, or None where no usable one is left."""

    def hedge_delay_s(self, service: names.ServiceId, now: float) -> float | None:
        """Return how long to wait before a hedge; None for no hedge."""

    def attempt_timeout_s(self, service: names.ServiceId, now: float) -> float | None:
        """Return after how long an attempt counts as lost; None for never."""

    def try_spend_budget(self, purpose: AttemptPurpose, now: float) -> bool:
        """Take one sub-request from the budget of extra load, if it allows."""

    def record_sent(
        self, sub_request: attempts.SubRequest, purpose: AttemptPurpose, now: float
    ) -> None:
        """Observe a sub-request that is sent."""

    def record_result(
        self,
        sub_request: attempts.SubRequest,
        result: attempts.AttemptResult,
        elapsed_s: float,
        now: float,
    ) -> None:
        """Observe the end of an attempt."""

    def record_report(
        self,
        replica: names.ReplicaId,
        report: replicas.HealthReport,
        draining: bool,
        now: float,
    ) -> None:
        """Observe what a replica reports of itself; it may lag or mislead."""

    def record_cancelled(self, sub_request: attempts.SubRequest, now: float) -> None:
        """Observe an attempt that was given up."""

    def record_loop_lag(self, lag_s: float, now: float) -> None:
        """Observe how late the event loop woke a timer, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a sub-request."""

    sub_request: attempts.SubRequest
    purpose: AttemptPurpose


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Give up an attempt whose result is no longer wanted."""

    sub_request: attempts.SubRequest


Action = Send | Cancel


class ShardState(enum.Enum):
    """State of one shard of a fan-out."""

    OPEN = "open"
    ANSWERED = "answered"
    MISSING = "missing"


@dataclasses.dataclass(slots=True)
class _Flight:
    """An attempt on its way."""

    sub_request: attempts.SubRequest
    sent_at: float


@dataclasses.dataclass(slots=True)
class _Progress:
    """What is known of one shard."""

    shard: names.ShardId
    state: ShardState = ShardState.OPEN
    flights: dict[str, _Flight] = dataclasses.field(default_factory=dict)
    tried: set[names.ReplicaId] = dataclasses.field(default_factory=set)
    without_snapshot: set[names.ReplicaId] = dataclasses.field(default_factory=set)
    attempts_sent: int = 0
    uncertain: bool = False
    hedge_at: float | None = None
    lost_at: float | None = None
    retry_at: float | None = None
    backoff_s: float = BACKOFF_FIRST_S
    reason: outcomes.MissingReason = outcomes.MissingReason.NO_REPLICA

    @property
    def wake_at(self) -> float | None:
        """The next instant at which a timer is due, None without timers."""
        timers = (self.hedge_at, self.lost_at, self.retry_at)
        return min((at for at in timers if at is not None), default=None)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Wake:
    """An entry of the heap of timers; it is stale once the shard's timers moved."""

    at: float
    number: int
    progress: _Progress = dataclasses.field(compare=False)

    @property
    def is_stale(self) -> bool:
        return self.progress.state is not ShardState.OPEN or (
            self.progress.wake_at != self.at
        )


@dataclasses.dataclass(frozen=True, slots=True)
class FanOutSpec:
    """What every sub-request of a fan-out shares."""

    request_id: names.RequestId
    snapshot: names.SnapshotId
    operation: attempts.Operation
    deadline: deadlines.Deadline
    idempotent: bool = True


# Refusals that point to another replica and cost the server next to nothing.
REDIRECTS = frozenset(
    {
        attempts.RefusalKind.NO_SNAPSHOT,
        attempts.RefusalKind.DRAINING,
        attempts.RefusalKind.NO_CONNECTION,
        attempts.RefusalKind.QUEUE_FULL,
    }
)

MISSING_BY_REFUSAL = {
    attempts.RefusalKind.NO_SNAPSHOT: outcomes.MissingReason.NO_SNAPSHOT,
    attempts.RefusalKind.NO_CONNECTION: outcomes.MissingReason.NO_REPLICA,
    attempts.RefusalKind.TOO_LATE: outcomes.MissingReason.DEADLINE,
}


class FanOut:
    """All shards of one query on one snapshot."""

    def __init__(
        self,
        task: FanOutSpec,
        shards: Iterable[names.ShardId],
        steering: FanOutPolicy,
        merged: merge.ReplyMerger,
    ):
        self.task = task
        self.dropped_results = 0
        self._steering = steering
        self._merged = merged
        self._numbers = itertools.count(1)
        self._shards = {shard: _Progress(shard) for shard in shards}
        self._by_attempt: dict[str, names.ShardId] = {}
        self._open = len(self._shards)
        self._wakes: list[_Wake] = []

    @property
    def is_finished(self) -> bool:
        """Whether every shard is answered or missing."""
        return not self._open

    @property
    def nothing_ran(self) -> bool:
        """Whether no sub-request can have run: none sent, or all refused."""
        return all(
            progress.state is not ShardState.ANSWERED
            and not progress.uncertain
            and not progress.flights
            for progress in self._shards.values()
        )

    @property
    def is_missing_snapshot(self) -> bool:
        """Whether a shard is missing since no replica of it holds the snapshot."""
        return any(
            progress.state is ShardState.MISSING
            and progress.reason is outcomes.MissingReason.NO_SNAPSHOT
            for progress in self._shards.values()
        )

    def start(self, now: float) -> list[Action]:
        """Return the first sub-request of every shard."""
        return [
            action
            for progress in self._shards.values()
            for action in self._send(progress, AttemptPurpose.FIRST, now)
        ]

    def handle_result(self, result: attempts.AttemptResult, now: float) -> list[Action]:
        """Take in the end of an attempt; a second one for a shard is dropped."""
        shard = self._by_attempt.pop(result.attempt_id, None)
        if shard is None:
            self.dropped_results += 1
            return []
        progress = self._shards[shard]
        flight = progress.flights.pop(result.attempt_id)
        elapsed_s = now - flight.sent_at
        self._steering.record_result(flight.sub_request, result, elapsed_s, now)
        match result:
            case attempts.Answered():
                return self._accept(progress, flight, result, now)
            case attempts.Refused():
                return self._handle_refusal(progress, flight, result, now)
            case attempts.Failed():
                return self._handle_failure(progress, result, now)

    def handle_timers(self, now: float) -> list[Action]:
        """Return what is due at `now`: hedges, retries, the end of the deadline."""
        if self.task.deadline.has_passed(now):
            return self._expire(now)
        return [
            action
            for progress in self._pop_due(now)
            for action in self._wake_shard(progress, now)
        ]

    def next_timer_at(self) -> float:
        """Return the next instant at which `wake` has something to do."""
        while self._wakes and self._wakes[0].is_stale:
            heapq.heappop(self._wakes)
        if not self._wakes:
            return self.task.deadline.at
        return self._wakes[0].at

    def _pop_due(self, now: float) -> list[_Progress]:
        due = []
        while self.next_timer_at() <= now and self._wakes:
            due.append(heapq.heappop(self._wakes).progress)
        return due

    def _note_timers(self, progress: _Progress) -> None:
        at = progress.wake_at
        if at is not None:
            heapq.heappush(self._wakes, _Wake(at, next(self._numbers), progress))

    def measure_coverage(self) -> outcomes.Coverage:
        """Return which shards answered; one that is still open counts as missing."""
        missing = tuple(
            outcomes.MissingShard(progress.shard, progress.reason)
            for progress in self._shards.values()
            if progress.state is not ShardState.ANSWERED
        )
        asked = len(self._shards)
        return outcomes.Coverage(asked, asked - len(missing), missing)

    def _send(
        self, progress: _Progress, purpose: AttemptPurpose, now: float
    ) -> list[Action]:
        replica = self._choose(progress, now)
        if replica is None:
            return self._handle_no_replica(progress, purpose, now)
        number = next(self._numbers)
        sub_request = attempts.SubRequest(
            request_id=self.task.request_id,
            attempt_id=f"{self.task.request_id}.{self.task.snapshot.version}.{number}",
            replica=replica,
            shard=progress.shard,
            snapshot=self.task.snapshot,
            operation=self.task.operation,
            remaining_s=self.task.deadline.remaining_s(now),
            idempotent=self.task.idempotent,
        )
        progress.flights[sub_request.attempt_id] = _Flight(sub_request, now)
        progress.tried.add(replica)
        progress.attempts_sent += 1
        progress.reason = outcomes.MissingReason.DEADLINE
        self._by_attempt[sub_request.attempt_id] = progress.shard
        self._set_timers(progress, now)
        self._steering.record_sent(sub_request, purpose, now)
        return [Send(sub_request, purpose)]

    def _ask_steering(
        self, shard: names.ShardId, exclude: frozenset[names.ReplicaId], now: float
    ) -> names.ReplicaId | None:
        snapshot = self.task.snapshot
        return self._steering.choose_replica(shard, snapshot, exclude, now)

    def _choose(self, progress: _Progress, now: float) -> names.ReplicaId | None:
        exclude = frozenset(progress.tried)
        replica = self._ask_steering(progress.shard, exclude, now)
        if replica is not None or progress.flights:
            return replica
        exclude = frozenset(progress.without_snapshot)
        return self._ask_steering(progress.shard, exclude, now)

    def _set_timers(self, progress: _Progress, now: float) -> None:
        progress.retry_at = None
        progress.hedge_at = None
        progress.lost_at = None
        if not self.task.idempotent:
            return
        service = progress.shard.service
        hedge_delay_s = self._steering.hedge_delay_s(service, now)
        if hedge_delay_s is not None:
            # Two slow replicas in a row leave less time for the next one.
            share = 1.0 if progress.attempts_sent == 1 else LATER_HEDGE_SHARE
            progress.hedge_at = now + share * hedge_delay_s
        retry_delay_s = self._steering.attempt_timeout_s(service, now)
        if retry_delay_s is not None:
            progress.lost_at = now + retry_delay_s
        self._note_timers(progress)

    def _handle_no_replica(
        self, progress: _Progress, purpose: AttemptPurpose, now: float
    ) -> list[Action]:
        if progress.flights or purpose is AttemptPurpose.HEDGE:
            return []
        if progress.without_snapshot:
            return self._give_up(progress, outcomes.MissingReason.NO_SNAPSHOT)
        if not any(self._steering.list_replicas(progress.shard)):
            return self._give_up(progress, outcomes.MissingReason.NO_REPLICA)
        progress.attempts_sent += 1
        return self._schedule_retry(progress, now)

    def _accept(
        self,
        progress: _Progress,
        flight: _Flight,
        result: attempts.Answered,
        now: float,
    ) -> list[Action]:
        if progress.state is not ShardState.OPEN:
            self.dropped_results += 1
            return []
        if isinstance(self._merge(flight, result), merge.Rejected):
            failed = attempts.Failed(
                result.attempt_id, attempts.FailureKind.INVALID_REPLY
            )
            return self._handle_failure(progress, failed, now)
        self._close(progress, ShardState.ANSWERED)
        return self._cancel_flights(progress, now)

    def _merge(
        self, flight: _Flight, result: attempts.Answered
    ) -> merge.Accepted | merge.Dropped | merge.Rejected:
        sub_request = flight.sub_request
        expected = replies.ExpectedReply(
            sub_request.request_id,
            sub_request.attempt_id,
            sub_request.shard,
            sub_request.snapshot,
        )
        return self._merged.accept(
            replies.ValidReply(expected, result.rows, result.held)
        )

    def _handle_refusal(
        self,
        progress: _Progress,
        flight: _Flight,
        result: attempts.Refused,
        now: float,
    ) -> list[Action]:
        if progress.state is not ShardState.OPEN:
            return []
        if result.kind is attempts.RefusalKind.NO_SNAPSHOT:
            progress.without_snapshot.add(flight.sub_request.replica)
        if progress.flights:
            return []
        progress.reason = MISSING_BY_REFUSAL.get(
            result.kind, outcomes.MissingReason.REFUSED
        )
        if result.kind in REDIRECTS:
            return self._redirect(progress, now)
        return self._schedule_retry(progress, now)

    def _redirect(self, progress: _Progress, now: float) -> list[Action]:
        untried = self._ask_steering(progress.shard, frozenset(progress.tried), now)
        if untried is None:
            if len(progress.without_snapshot) == len(progress.tried):
                return self._give_up(progress, outcomes.MissingReason.NO_SNAPSHOT)
            return self._schedule_retry(progress, now)
        return self._send(progress, AttemptPurpose.RETRY, now)

    def _handle_failure(
        self, progress: _Progress, result: attempts.Failed, now: float
    ) -> list[Action]:
        if progress.state is not ShardState.OPEN:
            return []
        progress.uncertain = True
        if not self.task.idempotent:
            return self._give_up(progress, outcomes.MissingReason.FAILED)
        if progress.flights:
            return []
        progress.reason = outcomes.MissingReason.FAILED
        return self._schedule_retry(progress, now)

    def _schedule_retry(self, progress: _Progress, now: float) -> list[Action]:
        progress.hedge_at = None
        progress.lost_at = None
        if progress.attempts_sent >= self._steering.max_attempts_per_shard:
            return self._give_up(progress, progress.reason)
        progress.retry_at = now + progress.backoff_s
        progress.backoff_s *= BACKOFF_FACTOR
        self._note_timers(progress)
        return []

    def _wake_shard(self, progress: _Progress, now: float) -> list[Action]:
        if progress.retry_at is not None and now >= progress.retry_at:
            return self._retry(progress, now)
        if progress.lost_at is not None and now >= progress.lost_at:
            return self._replace_lost(progress, now)
        if progress.hedge_at is not None and now >= progress.hedge_at:
            return self._hedge(progress, now)
        return []

    def _retry(self, progress: _Progress, now: float) -> list[Action]:
        progress.retry_at = None
        if self._steering.try_spend_budget(AttemptPurpose.RETRY, now):
            return self._send(progress, AttemptPurpose.RETRY, now)
        return self._schedule_retry(progress, now)

    def _replace_lost(self, progress: _Progress, now: float) -> list[Action]:
        progress.lost_at = None
        self._note_timers(progress)
        if progress.attempts_sent >= self._steering.max_attempts_per_shard:
            return []
        if not self._steering.try_spend_budget(AttemptPurpose.RETRY, now):
            progress.lost_at = now + BUDGET_RECHECK_DELAY_S
            self._note_timers(progress)
            return []
        cancelled = self._cancel_flights(progress, now)
        progress.uncertain = True
        return cancelled + self._send(progress, AttemptPurpose.RETRY, now)

    def _hedge(self, progress: _Progress, now: float) -> list[Action]:
        progress.hedge_at = None
        self._note_timers(progress)
        exclude = frozenset(progress.tried)
        if self._ask_steering(progress.shard, exclude, now) is None:
            return []
        if self._steering.hedge_delay_s(progress.shard.service, now) is None:
            return []
        if not self._steering.try_spend_budget(AttemptPurpose.HEDGE, now):
            # The budget refills with the load: the longest waits ask again.
            progress.hedge_at = now + BUDGET_RECHECK_DELAY_S
            self._note_timers(progress)
            return []
        return self._send(progress, AttemptPurpose.HEDGE, now)

    def _expire(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for progress in self._shards.values():
            if progress.state is not ShardState.OPEN:
                continue
            progress.uncertain = progress.uncertain or bool(progress.flights)
            actions += self._cancel_flights(progress, now)
            actions += self._give_up(progress, progress.reason)
        return actions

    def _cancel_flights(self, progress: _Progress, now: float) -> list[Action]:
        cancelled = [flight.sub_request for flight in progress.flights.values()]
        progress.flights.clear()
        for sub_request in cancelled:
            self._by_attempt.pop(sub_request.attempt_id, None)
            self._steering.record_cancelled(sub_request, now)
        return [Cancel(sub_request) for sub_request in cancelled]

    def _give_up(
        self, progress: _Progress, reason: outcomes.MissingReason
    ) -> list[Action]:
        progress.reason = reason
        self._close(progress, ShardState.MISSING)
        return []

    def _close(self, progress: _Progress, state: ShardState) -> None:
        progress.state = state
        progress.hedge_at = None
        progress.lost_at = None
        progress.retry_at = None
        self._open -= 1
