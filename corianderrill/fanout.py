"""Fan-out of one query over its shards, as a state machine that does no I/O.

The caller passes in the time and the results of attempts, and gets back actions:
sub-requests to send and attempts to cancel. An attempt is one sub-request sent to one
replica. Times are in seconds of the monotonic clock. Each shard ends as answered, or
as missing with a reason. A sub-request that is not idempotent is sent again only after
a refusal, because a refusal guarantees that the sub-request did not run.
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

# Applies to the hedge delay from the second attempt on a shard on.
LATER_HEDGE_DELAY_FACTOR = 0.5
INITIAL_BACKOFF_S = 0.004
BACKOFF_FACTOR = 2.0
# Delay before a sub-request that the extra-load budget denied is tried again.
BUDGET_RECHECK_DELAY_S = 0.02


class AttemptPurpose(enum.Enum):
    """Why a sub-request is sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class FanOutPolicy(Protocol):
    """Replica selection, hedging and retries, shared by all queries of a host.

    The extra-load budget limits hedges and retries to a share of the first
    sub-requests. `max_attempts_per_shard` bounds the retries of one shard of one query:
    none is sent once so many attempts were made.
    """

    max_attempts_per_shard: int

    def list_replicas(self, shard: names.ShardId) -> Iterable[names.ReplicaId]:
        """Return the replicas of a shard that can receive new sub-requests."""

    def apply_host_list(
        self, servers: tuple[hostlist.BackendServer, ...], now: float
    ) -> None:
        """Replace the known backend servers with those of a new host list."""

    def choose_replica(
        self,
        shard: names.ShardId,
        snapshot: names.SnapshotId,
        exclude: frozenset[names.ReplicaId],
        now: float,
    ) -> names.ReplicaId | None:
        """Return the replica to query, or None if no usable replica is left."""

    def hedge_delay_s(self, service: names.ServiceId, now: float) -> float | None:
        """Return the delay before a hedge, or None if no hedge is to be sent."""

    def attempt_timeout_s(self, service: names.ServiceId, now: float) -> float | None:
        """Return the time after which an attempt is replaced, or None for never."""

    def try_spend_budget(self, purpose: AttemptPurpose, now: float) -> bool:
        """Charge one sub-request to the extra-load budget; return False if denied."""

    def record_sent(
        self, sub_request: attempts.SubRequest, purpose: AttemptPurpose, now: float
    ) -> None:
        """Record that a sub-request is sent."""

    def record_result(
        self,
        sub_request: attempts.SubRequest,
        result: attempts.AttemptResult,
        elapsed_s: float,
        now: float,
    ) -> None:
        """Record the result of an attempt."""

    def record_report(
        self,
        replica: names.ReplicaId,
        report: replicas.HealthReport,
        draining: bool,
        now: float,
    ) -> None:
        """Record a replica's report on its own state, which can be stale or wrong."""

    def record_cancelled(self, sub_request: attempts.SubRequest, now: float) -> None:
        """Record that an attempt was cancelled."""

    def record_loop_lag(self, lag_s: float, now: float) -> None:
        """Record how late the event loop ran a timer, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Action: send a sub-request."""

    sub_request: attempts.SubRequest
    purpose: AttemptPurpose


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Action: cancel an attempt whose result is no longer needed."""

    sub_request: attempts.SubRequest


Action = Send | Cancel


class ShardState(enum.Enum):
    """State of one shard of a fan-out."""

    OPEN = "open"
    ANSWERED = "answered"
    MISSING = "missing"


@dataclasses.dataclass(slots=True)
class _InFlightAttempt:
    """An attempt that has no result yet."""

    sub_request: attempts.SubRequest
    sent_at: float


@dataclasses.dataclass(slots=True)
class _ShardProgress:
    """Attempts, timers and state of one shard.

    `missing_reason` is the reason to report if the shard ends as missing.
    """

    shard: names.ShardId
    state: ShardState = ShardState.OPEN
    in_flight: dict[str, _InFlightAttempt] = dataclasses.field(default_factory=dict)
    tried_replicas: set[names.ReplicaId] = dataclasses.field(default_factory=set)
    replicas_without_snapshot: set[names.ReplicaId] = dataclasses.field(
        default_factory=set
    )
    attempt_count: int = 0
    may_have_run: bool = False
    hedge_at: float | None = None
    timeout_at: float | None = None
    retry_at: float | None = None
    backoff_s: float = INITIAL_BACKOFF_S
    missing_reason: outcomes.MissingReason = outcomes.MissingReason.NO_REPLICA

    @property
    def next_timer_at(self) -> float | None:
        """Time of the shard's earliest timer, or None if no timer is set."""
        timers = (self.hedge_at, self.timeout_at, self.retry_at)
        return min((at for at in timers if at is not None), default=None)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _TimerEntry:
    """Heap entry for a shard's earliest timer; stale once that timer has changed.

    `tie_breaker` orders entries with equal times.
    """

    at: float
    tie_breaker: int
    progress: _ShardProgress = dataclasses.field(compare=False)

    @property
    def is_stale(self) -> bool:
        return self.progress.state is not ShardState.OPEN or (
            self.progress.next_timer_at != self.at
        )


@dataclasses.dataclass(frozen=True, slots=True)
class FanOutSpec:
    """Parameters that all sub-requests of a fan-out share."""

    request_id: names.RequestId
    snapshot: names.SnapshotId
    operation: attempts.Operation
    deadline: deadlines.Deadline
    idempotent: bool = True


# After these refusals another replica is tried at once, without backoff and without
# charging the extra-load budget: a refusal costs the backend server almost nothing.
FAILOVER_REFUSALS = frozenset(
    {
        attempts.RefusalKind.NO_SNAPSHOT,
        attempts.RefusalKind.DRAINING,
        attempts.RefusalKind.NO_CONNECTION,
        attempts.RefusalKind.QUEUE_FULL,
    }
)

MISSING_REASON_BY_REFUSAL = {
    attempts.RefusalKind.NO_SNAPSHOT: outcomes.MissingReason.NO_SNAPSHOT,
    attempts.RefusalKind.NO_CONNECTION: outcomes.MissingReason.NO_REPLICA,
    attempts.RefusalKind.TOO_LATE: outcomes.MissingReason.DEADLINE,
}


class FanOut:
    """The fan-out of one query over its shards on one snapshot."""

    def __init__(
        self,
        spec: FanOutSpec,
        shards: Iterable[names.ShardId],
        policy: FanOutPolicy,
        merger: merge.ReplyMerger,
    ):
        self.spec = spec
        self.dropped_results = 0
        self._policy = policy
        self._merger = merger
        self._numbers = itertools.count(1)
        self._shards = {shard: _ShardProgress(shard) for shard in shards}
        self._shard_by_attempt: dict[str, names.ShardId] = {}
        self._open_shard_count = len(self._shards)
        self._timers: list[_TimerEntry] = []

    @property
    def is_finished(self) -> bool:
        """Whether every shard has ended as answered or missing."""
        return not self._open_shard_count

    @property
    def nothing_ran(self) -> bool:
        """Whether it is certain that no sub-request ran: none sent, or all refused."""
        return all(
            progress.state is not ShardState.ANSWERED
            and not progress.may_have_run
            and not progress.in_flight
            for progress in self._shards.values()
        )

    @property
    def has_shard_without_snapshot(self) -> bool:
        """Whether a shard is missing because none of its replicas has the snapshot."""
        return any(
            progress.state is ShardState.MISSING
            and progress.missing_reason is outcomes.MissingReason.NO_SNAPSHOT
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
        """Handle the result of an attempt; drop it if the attempt is not in flight."""
        shard = self._shard_by_attempt.pop(result.attempt_id, None)
        if shard is None:
            self.dropped_results += 1
            return []
        progress = self._shards[shard]
        attempt = progress.in_flight.pop(result.attempt_id)
        elapsed_s = now - attempt.sent_at
        self._policy.record_result(attempt.sub_request, result, elapsed_s, now)
        match result:
            case attempts.Answered():
                return self._handle_answer(progress, attempt, result, now)
            case attempts.Refused():
                return self._handle_refusal(progress, attempt, result, now)
            case attempts.Failed():
                return self._handle_failure(progress, result, now)

    def handle_timers(self, now: float) -> list[Action]:
        """Return the actions that are due at `now`: hedges, retries or cancels."""
        if self.spec.deadline.has_passed(now):
            return self._handle_deadline(now)
        return [
            action
            for progress in self._pop_due_shards(now)
            for action in self._handle_shard_timer(progress, now)
        ]

    def next_timer_at(self) -> float:
        """Return the time at which `handle_timers` is to be called next."""
        while self._timers and self._timers[0].is_stale:
            heapq.heappop(self._timers)
        if not self._timers:
            return self.spec.deadline.at
        return self._timers[0].at

    def _pop_due_shards(self, now: float) -> list[_ShardProgress]:
        due = []
        while self.next_timer_at() <= now and self._timers:
            due.append(heapq.heappop(self._timers).progress)
        return due

    def _push_timer(self, progress: _ShardProgress) -> None:
        timer_at = progress.next_timer_at
        if timer_at is not None:
            heapq.heappush(
                self._timers, _TimerEntry(timer_at, next(self._numbers), progress)
            )

    def compute_coverage(self) -> outcomes.Coverage:
        """Return which shards answered; a shard that is still open is missing."""
        missing = tuple(
            outcomes.MissingShard(progress.shard, progress.missing_reason)
            for progress in self._shards.values()
            if progress.state is not ShardState.ANSWERED
        )
        asked = len(self._shards)
        return outcomes.Coverage(asked, asked - len(missing), missing)

    def _send(
        self, progress: _ShardProgress, purpose: AttemptPurpose, now: float
    ) -> list[Action]:
        replica = self._choose_replica(progress, now)
        if replica is None:
            return self._handle_no_replica(progress, purpose, now)
        attempt_number = next(self._numbers)
        sub_request = attempts.SubRequest(
            request_id=self.spec.request_id,
            attempt_id=f"{self.spec.request_id}.{self.spec.snapshot.version}.{attempt_number}",
            replica=replica,
            shard=progress.shard,
            snapshot=self.spec.snapshot,
            operation=self.spec.operation,
            remaining_s=self.spec.deadline.remaining_s(now),
            idempotent=self.spec.idempotent,
        )
        progress.in_flight[sub_request.attempt_id] = _InFlightAttempt(sub_request, now)
        progress.tried_replicas.add(replica)
        progress.attempt_count += 1
        progress.missing_reason = outcomes.MissingReason.DEADLINE
        self._shard_by_attempt[sub_request.attempt_id] = progress.shard
        self._start_attempt_timers(progress, now)
        self._policy.record_sent(sub_request, purpose, now)
        return [Send(sub_request, purpose)]

    def _choose_replica_except(
        self, shard: names.ShardId, exclude: frozenset[names.ReplicaId], now: float
    ) -> names.ReplicaId | None:
        snapshot = self.spec.snapshot
        return self._policy.choose_replica(shard, snapshot, exclude, now)

    def _choose_replica(
        self, progress: _ShardProgress, now: float
    ) -> names.ReplicaId | None:
        """Return an untried replica, or None if there is none.

        If no attempt is in flight either, a tried replica is returned, unless it
        reported that it lacks the snapshot.
        """
        exclude = frozenset(progress.tried_replicas)
        replica = self._choose_replica_except(progress.shard, exclude, now)
        if replica is not None or progress.in_flight:
            return replica
        exclude = frozenset(progress.replicas_without_snapshot)
        return self._choose_replica_except(progress.shard, exclude, now)

    def _start_attempt_timers(self, progress: _ShardProgress, now: float) -> None:
        progress.retry_at = None
        progress.hedge_at = None
        progress.timeout_at = None
        if not self.spec.idempotent:
            return
        service = progress.shard.service
        hedge_delay_s = self._policy.hedge_delay_s(service, now)
        if hedge_delay_s is not None:
            # Hedges after the first are sent sooner, because after two slow replicas
            # less time is left until the deadline.
            factor = 1.0 if progress.attempt_count == 1 else LATER_HEDGE_DELAY_FACTOR
            progress.hedge_at = now + factor * hedge_delay_s
        timeout_s = self._policy.attempt_timeout_s(service, now)
        if timeout_s is not None:
            progress.timeout_at = now + timeout_s
        self._push_timer(progress)

    def _handle_no_replica(
        self, progress: _ShardProgress, purpose: AttemptPurpose, now: float
    ) -> list[Action]:
        if progress.in_flight or purpose is AttemptPurpose.HEDGE:
            return []
        if progress.replicas_without_snapshot:
            return self._mark_missing(progress, outcomes.MissingReason.NO_SNAPSHOT)
        if not any(self._policy.list_replicas(progress.shard)):
            return self._mark_missing(progress, outcomes.MissingReason.NO_REPLICA)
        # Counts as an attempt, so that retries without a usable replica are bounded.
        progress.attempt_count += 1
        return self._schedule_retry(progress, now)

    def _handle_answer(
        self,
        progress: _ShardProgress,
        attempt: _InFlightAttempt,
        result: attempts.Answered,
        now: float,
    ) -> list[Action]:
        if progress.state is not ShardState.OPEN:
            self.dropped_results += 1
            return []
        if isinstance(self._merge(attempt, result), merge.Rejected):
            failed = attempts.Failed(
                result.attempt_id, attempts.FailureKind.INVALID_REPLY
            )
            return self._handle_failure(progress, failed, now)
        self._close_shard(progress, ShardState.ANSWERED)
        return self._cancel_in_flight(progress, now)

    def _merge(
        self, attempt: _InFlightAttempt, result: attempts.Answered
    ) -> merge.Accepted | merge.Dropped | merge.Rejected:
        sub_request = attempt.sub_request
        expected = replies.ExpectedReply(
            sub_request.request_id,
            sub_request.attempt_id,
            sub_request.shard,
            sub_request.snapshot,
        )
        return self._merger.accept(
            replies.ValidReply(expected, result.rows, result.held)
        )

    def _handle_refusal(
        self,
        progress: _ShardProgress,
        attempt: _InFlightAttempt,
        result: attempts.Refused,
        now: float,
    ) -> list[Action]:
        if progress.state is not ShardState.OPEN:
            return []
        if result.kind is attempts.RefusalKind.NO_SNAPSHOT:
            progress.replicas_without_snapshot.add(attempt.sub_request.replica)
        if progress.in_flight:
            return []
        progress.missing_reason = MISSING_REASON_BY_REFUSAL.get(
            result.kind, outcomes.MissingReason.REFUSED
        )
        if result.kind in FAILOVER_REFUSALS:
            return self._fail_over(progress, now)
        return self._schedule_retry(progress, now)

    def _fail_over(self, progress: _ShardProgress, now: float) -> list[Action]:
        untried_replica = self._choose_replica_except(
            progress.shard, frozenset(progress.tried_replicas), now
        )
        if untried_replica is None:
            if len(progress.replicas_without_snapshot) == len(progress.tried_replicas):
                return self._mark_missing(progress, outcomes.MissingReason.NO_SNAPSHOT)
            return self._schedule_retry(progress, now)
        return self._send(progress, AttemptPurpose.RETRY, now)

    def _handle_failure(
        self, progress: _ShardProgress, result: attempts.Failed, now: float
    ) -> list[Action]:
        if progress.state is not ShardState.OPEN:
            return []
        progress.may_have_run = True
        if not self.spec.idempotent:
            return self._mark_missing(progress, outcomes.MissingReason.FAILED)
        if progress.in_flight:
            return []
        progress.missing_reason = outcomes.MissingReason.FAILED
        return self._schedule_retry(progress, now)

    def _schedule_retry(self, progress: _ShardProgress, now: float) -> list[Action]:
        progress.hedge_at = None
        progress.timeout_at = None
        if progress.attempt_count >= self._policy.max_attempts_per_shard:
            return self._mark_missing(progress, progress.missing_reason)
        progress.retry_at = now + progress.backoff_s
        progress.backoff_s *= BACKOFF_FACTOR
        self._push_timer(progress)
        return []

    def _handle_shard_timer(self, progress: _ShardProgress, now: float) -> list[Action]:
        if progress.retry_at is not None and now >= progress.retry_at:
            return self._retry(progress, now)
        if progress.timeout_at is not None and now >= progress.timeout_at:
            return self._replace_timed_out(progress, now)
        if progress.hedge_at is not None and now >= progress.hedge_at:
            return self._hedge(progress, now)
        return []

    def _retry(self, progress: _ShardProgress, now: float) -> list[Action]:
        progress.retry_at = None
        if self._policy.try_spend_budget(AttemptPurpose.RETRY, now):
            return self._send(progress, AttemptPurpose.RETRY, now)
        return self._schedule_retry(progress, now)

    def _replace_timed_out(self, progress: _ShardProgress, now: float) -> list[Action]:
        progress.timeout_at = None
        self._push_timer(progress)
        if progress.attempt_count >= self._policy.max_attempts_per_shard:
            return []
        if not self._policy.try_spend_budget(AttemptPurpose.RETRY, now):
            progress.timeout_at = now + BUDGET_RECHECK_DELAY_S
            self._push_timer(progress)
            return []
        cancelled = self._cancel_in_flight(progress, now)
        progress.may_have_run = True
        return cancelled + self._send(progress, AttemptPurpose.RETRY, now)

    def _hedge(self, progress: _ShardProgress, now: float) -> list[Action]:
        progress.hedge_at = None
        self._push_timer(progress)
        exclude = frozenset(progress.tried_replicas)
        if self._choose_replica_except(progress.shard, exclude, now) is None:
            return []
        if self._policy.hedge_delay_s(progress.shard.service, now) is None:
            return []
        if not self._policy.try_spend_budget(AttemptPurpose.HEDGE, now):
            # The budget grows with every first sub-request, so check it again later.
            # Only the shards that are still open then, the slow ones, get a hedge.
            progress.hedge_at = now + BUDGET_RECHECK_DELAY_S
            self._push_timer(progress)
            return []
        return self._send(progress, AttemptPurpose.HEDGE, now)

    def _handle_deadline(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for progress in self._shards.values():
            if progress.state is not ShardState.OPEN:
                continue
            progress.may_have_run = progress.may_have_run or bool(progress.in_flight)
            actions += self._cancel_in_flight(progress, now)
            actions += self._mark_missing(progress, progress.missing_reason)
        return actions

    def _cancel_in_flight(self, progress: _ShardProgress, now: float) -> list[Action]:
        cancelled = [attempt.sub_request for attempt in progress.in_flight.values()]
        progress.in_flight.clear()
        for sub_request in cancelled:
            self._shard_by_attempt.pop(sub_request.attempt_id, None)
            self._policy.record_cancelled(sub_request, now)
        return [Cancel(sub_request) for sub_request in cancelled]

    def _mark_missing(
        self, progress: _ShardProgress, reason: outcomes.MissingReason
    ) -> list[Action]:
        progress.missing_reason = reason
        self._close_shard(progress, ShardState.MISSING)
        return []

    def _close_shard(self, progress: _ShardProgress, state: ShardState) -> None:
        progress.state = state
        progress.hedge_at = None
        progress.timeout_at = None
        progress.retry_at = None
        self._open_shard_count -= 1
