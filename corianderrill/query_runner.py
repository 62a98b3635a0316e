"""One query from its request to its outcome."""

import dataclasses
import time
from collections.abc import Callable

import eventlet.queue

from corianderrill import (
    attempts,
    catalog,
    deadlines,
    dispatch,
    fanout,
    merge,
    names,
    observation,
    outcomes,
    plan,
)

MAX_SNAPSHOT_RESTARTS = 3
MIN_RESTART_S = 0.02


class QueryRunner:
    """Runs bound queries against the backend servers of a host's directory."""

    def __init__(
        self,
        catalogs: dict[names.FleetName, catalog.Catalog],
        steering: fanout.FanOutPolicy,
        dispatcher: dispatch.Dispatcher,
        observer: observation.Observer,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._catalogs = catalogs
        self._steering = steering
        self._dispatcher = dispatcher
        self._observer = observer
        self._clock = clock

    def run(self, planned: plan.Plan) -> outcomes.Outcome:
        """Return the outcome of a planned query, at most at its deadline."""
        oldest = planned.not_older_than
        for round_number in range(MAX_SNAPSHOT_RESTARTS):
            chosen = self._choose_snapshot(planned, oldest)
            if isinstance(chosen, outcomes.NotRun):
                return chosen
            self._observer.note_snapshot(planned, chosen.snapshot.id, round_number > 0)
            answer = self._run_on(planned, chosen.snapshot)
            if not self._may_restart(planned, answer):
                break
            newer = names.IndexVersion(chosen.snapshot.id.version + 1)
            oldest = names.SnapshotId(chosen.snapshot.id.fleet, newer)
        return self._conclude(planned, answer)

    def estimate_cost(self, planned: plan.Plan) -> int:
        """Return the sub-requests that a query will likely need, at least one."""
        known = self._catalogs.get(planned.workspace.fleet)
        if known is None or known.newest is None or not planned.bound.idempotent:
            return 1
        return max(1, len(_list_shards(planned, known.newest)))

    def _choose_snapshot(
        self, planned: plan.Plan, oldest: names.SnapshotId | None
    ) -> catalog.SnapshotChoice | outcomes.NotRun:
        now = self._clock()
        known = self._catalogs.get(planned.workspace.fleet)
        if known is None:
            detail = (
                f"no catalog of fleet {planned.workspace.fleet} is known yet; retry"
            )
            return outcomes.NotRun(outcomes.RefusalReason.SNAPSHOT, detail)
        chosen = known.choose_snapshot(
            planned.bound.services, self._steering.list_replicas, oldest, now
        )
        if isinstance(chosen, catalog.SnapshotChoice):
            return chosen
        detail = f"no snapshot fits ({chosen.reason.value}); ask again later"
        return outcomes.NotRun(outcomes.RefusalReason.SNAPSHOT, detail)

    def _run_on(self, planned: plan.Plan, snapshot: catalog.Snapshot) -> "_Answer":
        shards = _list_shards(planned, snapshot)
        task = fanout.FanOutSpec(
            request_id=planned.request_id,
            snapshot=snapshot.id,
            operation=planned.operation,
            deadline=planned.deadline,
            idempotent=planned.bound.idempotent,
        )
        merged = merge.ReplyMerger(snapshot, shards, limit=planned.bound.limit)
        fan_out = fanout.FanOut(task, shards, self._steering, merged)
        self._drive(fan_out, planned.deadline)
        self._observer.note_fan_out(planned, fan_out, merged)
        return _Answer(snapshot.id, fan_out, merged)

    def _drive(self, fan_out: fanout.FanOut, deadline: deadlines.Deadline) -> None:
        inbox = eventlet.queue.LightQueue()
        self._perform(fan_out.start(self._clock()), inbox)
        while not fan_out.is_finished:
            wake_at = min(fan_out.next_timer_at(), deadline.at)
            try:
                result = inbox.get(timeout=max(0.0, wake_at - self._clock()))
            except eventlet.queue.Empty:
                actions = fan_out.handle_timers(self._clock())
            else:
                self._observer.note_result(fan_out.task.request_id, result)
                actions = fan_out.handle_result(result, self._clock())
            self._perform(actions, inbox)

    def _perform(
        self, actions: list[fanout.Action], inbox: eventlet.queue.LightQueue
    ) -> None:
        for action in actions:
            self._observer.note_action(action)
            match action:
                case fanout.Send(sub_request):
                    self._dispatcher.send(sub_request, inbox.put)
                case fanout.Cancel(sub_request):
                    self._dispatcher.cancel(sub_request)

    def _may_restart(self, planned: plan.Plan, answer: "_Answer") -> bool:
        return (
            answer.fan_out.is_missing_snapshot
            and (planned.bound.idempotent or answer.fan_out.nothing_ran)
            and planned.deadline.remaining_s(self._clock()) > MIN_RESTART_S
        )

    def _conclude(self, planned: plan.Plan, answer: "_Answer") -> outcomes.Outcome:
        coverage = answer.fan_out.measure_coverage()
        label = outcomes.AnswerMetadata(
            snapshot=answer.snapshot,
            revision=planned.revision,
            confirmed_age_s=planned.confirmed_age_s,
            coverage=coverage,
            left_out=answer.merged.left_out,
        )
        if not coverage.missing:
            return outcomes.Complete(answer.merged.rows(), label)
        if answer.fan_out.nothing_ran:
            return outcomes.NotRun(*_explain_refusal(coverage))
        if not planned.bound.idempotent:
            detail = "the backend server did not answer; the request may have run"
            return outcomes.Unknown(detail)
        if coverage.share < planned.minimum_coverage:
            return outcomes.Insufficient(planned.minimum_coverage, label)
        return outcomes.Partial(answer.merged.rows(), label)


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    snapshot: names.SnapshotId
    fan_out: fanout.FanOut
    merged: merge.ReplyMerger


def _list_shards(
    planned: plan.Plan, snapshot: catalog.Snapshot
) -> tuple[names.ShardId, ...]:
    match planned.operation:
        case attempts.WriteRow(key):
            return (snapshot.shard_of(planned.bound.services[0], key),)
        case attempts.FindRows():
            return tuple(
                shard
                for service in planned.bound.services
                for shard in snapshot.shards(service)
            )


def _explain_refusal(
    coverage: outcomes.Coverage,
) -> tuple[outcomes.RefusalReason, str]:
    reasons = sorted({missing.reason.value for missing in coverage.missing})
    detail = f"no backend server ran it ({', '.join(reasons)}); it is safe to retry"
    return outcomes.RefusalReason.BACKEND_REFUSED, detail
