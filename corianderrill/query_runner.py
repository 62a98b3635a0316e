"""Runs one planned query: snapshot choice, fan-out over shards, merge, outcome."""

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

MAX_SNAPSHOT_TRIES = 3
# A query restarts on a newer snapshot only if its deadline leaves more time than this.
MIN_RESTART_TIME_LEFT_S = 0.02


class QueryRunner:
    """Runs planned queries against the backend servers that a host knows."""

    def __init__(
        self,
        catalogs: dict[names.FleetName, catalog.Catalog],
        policy: fanout.FanOutPolicy,
        dispatcher: dispatch.Dispatcher,
        observer: observation.Observer,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._catalogs = catalogs
        self._policy = policy
        self._dispatcher = dispatcher
        self._observer = observer
        self._clock = clock

    def run(self, planned: plan.Plan) -> outcomes.Outcome:
        """Run a planned query and return its outcome, by its deadline at the latest.

        If no replica of a shard has the chosen snapshot, the query restarts on a newer
        one.
        """
        not_older_than = planned.not_older_than
        for try_number in range(MAX_SNAPSHOT_TRIES):
            choice = self._choose_snapshot(planned, not_older_than)
            if isinstance(choice, outcomes.NotRun):
                return choice
            self._observer.note_snapshot(planned, choice.snapshot.id, try_number > 0)
            execution = self._execute_on(planned, choice.snapshot)
            if not self._may_restart(planned, execution):
                break
            newer = names.IndexVersion(choice.snapshot.id.version + 1)
            not_older_than = names.SnapshotId(choice.snapshot.id.fleet, newer)
        return self._make_outcome(planned, execution)

    def estimate_cost(self, planned: plan.Plan) -> int:
        """Return the expected number of sub-requests of a query, at least 1."""
        fleet_catalog = self._catalogs.get(planned.workspace.fleet)
        if (
            fleet_catalog is None
            or fleet_catalog.newest is None
            or not planned.bound_query.idempotent
        ):
            return 1
        return max(1, len(_list_shards(planned, fleet_catalog.newest)))

    def _choose_snapshot(
        self, planned: plan.Plan, not_older_than: names.SnapshotId | None
    ) -> catalog.SnapshotChoice | outcomes.NotRun:
        now = self._clock()
        fleet_catalog = self._catalogs.get(planned.workspace.fleet)
        if fleet_catalog is None:
            detail = (
                f"this host has no catalog of fleet {planned.workspace.fleet}; "
                "check the name of the fleet or retry later"
            )
            return outcomes.NotRun(outcomes.RefusalReason.SNAPSHOT, detail)
        choice = fleet_catalog.choose_snapshot(
            planned.bound_query.services,
            self._policy.list_replicas,
            not_older_than,
            now,
        )
        if isinstance(choice, catalog.SnapshotChoice):
            return choice
        detail = f"no usable snapshot ({choice.reason.value}); retry later"
        return outcomes.NotRun(outcomes.RefusalReason.SNAPSHOT, detail)

    def _execute_on(
        self, planned: plan.Plan, snapshot: catalog.Snapshot
    ) -> "_Execution":
        shards = _list_shards(planned, snapshot)
        spec = fanout.FanOutSpec(
            request_id=planned.request_id,
            snapshot=snapshot.id,
            operation=planned.operation,
            deadline=planned.deadline,
            idempotent=planned.bound_query.idempotent,
        )
        merger = merge.ReplyMerger(snapshot, shards, limit=planned.bound_query.limit)
        fan_out = fanout.FanOut(spec, shards, self._policy, merger)
        self._run_fan_out(fan_out, planned.deadline)
        self._observer.note_fan_out(planned, fan_out, merger)
        return _Execution(snapshot.id, fan_out, merger)

    def _run_fan_out(
        self, fan_out: fanout.FanOut, deadline: deadlines.Deadline
    ) -> None:
        results = eventlet.queue.LightQueue()
        self._execute_actions(fan_out.start(self._clock()), results)
        while not fan_out.is_finished:
            resume_at = min(fan_out.next_timer_at(), deadline.at)
            try:
                result = results.get(timeout=max(0.0, resume_at - self._clock()))
            except eventlet.queue.Empty:
                actions = fan_out.handle_timers(self._clock())
            else:
                self._observer.note_result(fan_out.spec.request_id, result)
                actions = fan_out.handle_result(result, self._clock())
            self._execute_actions(actions, results)

    def _execute_actions(
        self, actions: list[fanout.Action], results: eventlet.queue.LightQueue
    ) -> None:
        for action in actions:
            self._observer.note_action(action)
            match action:
                case fanout.Send(sub_request):
                    self._dispatcher.send(sub_request, results.put)
                case fanout.Cancel(sub_request):
                    self._dispatcher.cancel(sub_request)

    def _may_restart(self, planned: plan.Plan, execution: "_Execution") -> bool:
        return (
            execution.fan_out.has_shard_without_snapshot
            and (planned.bound_query.idempotent or execution.fan_out.nothing_ran)
            and planned.deadline.remaining_s(self._clock()) > MIN_RESTART_TIME_LEFT_S
        )

    def _make_outcome(
        self, planned: plan.Plan, execution: "_Execution"
    ) -> outcomes.Outcome:
        coverage = execution.fan_out.compute_coverage()
        metadata = outcomes.AnswerMetadata(
            snapshot=execution.snapshot,
            revision=planned.revision,
            confirmed_age_s=planned.confirmed_age_s,
            coverage=coverage,
            left_out=execution.merger.left_out,
        )
        if not coverage.missing:
            return outcomes.Complete(execution.merger.rows(), metadata)
        if execution.fan_out.nothing_ran:
            return outcomes.NotRun(*_describe_refusal(coverage))
        if not planned.bound_query.idempotent:
            detail = "no valid reply from the backend server; the request may have run"
            return outcomes.Unknown(detail)
        if coverage.share < planned.minimum_coverage:
            return outcomes.Insufficient(planned.minimum_coverage, metadata)
        return outcomes.Partial(execution.merger.rows(), metadata)


@dataclasses.dataclass(frozen=True, slots=True)
class _Execution:
    snapshot: names.SnapshotId
    fan_out: fanout.FanOut
    merger: merge.ReplyMerger


def _list_shards(
    planned: plan.Plan, snapshot: catalog.Snapshot
) -> tuple[names.ShardId, ...]:
    match planned.operation:
        case attempts.WriteRow(key):
            return (snapshot.shard_of(planned.bound_query.services[0], key),)
        case attempts.FindRows():
            return tuple(
                shard
                for service in planned.bound_query.services
                for shard in snapshot.shards(service)
            )


def _describe_refusal(
    coverage: outcomes.Coverage,
) -> tuple[outcomes.RefusalReason, str]:
    reasons = sorted({missing.reason.value for missing in coverage.missing})
    detail = f"no backend server ran the request ({', '.join(reasons)}); safe to retry"
    return outcomes.RefusalReason.BACKEND_REFUSED, detail
