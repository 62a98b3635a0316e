"""What the path of a query leaves in the metrics and on the time line."""

import collections
import dataclasses
import functools
import time
from collections.abc import Callable

from corianderrill import (
    attempts,
    fanout,
    merge,
    metrics,
    names,
    outcomes,
    plan,
    status,
    timeline,
)

OPEN_ATTEMPTS_AT_MOST = 100_000

SENT_KINDS = {
    fanout.AttemptPurpose.FIRST: timeline.Kind.ATTEMPT_SENT,
    fanout.AttemptPurpose.HEDGE: timeline.Kind.HEDGE_SENT,
    fanout.AttemptPurpose.RETRY: timeline.Kind.RETRY_SENT,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenAttempt:
    service: names.ServiceId
    replica: names.ReplicaId
    started_at: float


class Observer:
    """Counts and records the steps of the queries of one host."""

    def __init__(
        self,
        recorder: metrics.Recorder,
        events: timeline.Timeline,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._recorder = recorder
        self._events = events
        self._clock = clock
        self._open: collections.OrderedDict[str, _OpenAttempt] = (
            collections.OrderedDict()
        )

    def note_received(self, request: plan.QueryRequest) -> None:
        """A request was read."""
        detail = f"{request.workspace} {request.template}"
        self._events.record(
            timeline.Kind.QUERY_RECEIVED, request=request.request_id, detail=detail
        )

    def note_planned(self, planned: plan.Plan) -> None:
        """A request was bound to a configuration revision."""
        self._events.record(
            timeline.Kind.QUERY_PLANNED,
            request=planned.request_id,
            detail=f"revision {planned.revision}",
        )

    def note_snapshot(
        self, planned: plan.Plan, snapshot: names.SnapshotId, restarted: bool
    ) -> None:
        """A snapshot was chosen, the first time or for a restart."""
        kind = timeline.Kind.SNAPSHOT_CHOSEN
        if restarted:
            kind = timeline.Kind.QUERY_RESTARTED
            self._recorder.count(metrics.SNAPSHOT_RESTARTS, snapshot.fleet)
        self._events.record(kind, request=planned.request_id, detail=str(snapshot))

    def note_action(self, action: fanout.Action) -> None:
        """A sub-request is sent or cancelled."""
        sub_request = action.sub_request
        fleet = sub_request.replica.fleet
        match action:
            case fanout.Send(purpose=purpose):
                kind = SENT_KINDS[purpose]
                self._count_purpose(purpose, fleet)
                self._begin(sub_request)
            case fanout.Cancel():
                kind = timeline.Kind.ATTEMPT_CANCELLED
                self._cell(metrics.CANCELLATIONS, fleet).add()
                self._end(sub_request.attempt_id, "cancelled")
        self._events.record(
            kind,
            request=sub_request.request_id,
            attempt=sub_request.attempt_id,
            server=_format_replica(sub_request.replica),
        )

    def note_result(
        self, request: names.RequestId, result: attempts.AttemptResult
    ) -> None:
        """An attempt ended."""
        match result:
            case attempts.Answered(rows=rows):
                kind = timeline.Kind.ATTEMPT_ANSWERED
                outcome, detail = "answered", f"{len(rows)} rows"
            case attempts.Refused(kind=reason):
                kind = timeline.Kind.ATTEMPT_FAILED
                outcome, detail = "refused", f"refused: {reason.value}"
            case attempts.Failed(kind=reason):
                kind = timeline.Kind.ATTEMPT_FAILED
                outcome, detail = "failed", f"failed: {reason.value}"
        server = self._end(result.attempt_id, outcome)
        self._events.record(
            kind,
            request=request,
            attempt=result.attempt_id,
            server=server,
            detail=detail,
        )

    def _begin(self, sub_request: attempts.SubRequest) -> None:
        self._open[sub_request.attempt_id] = _OpenAttempt(
            sub_request.shard.service, sub_request.replica, self._clock()
        )
        if len(self._open) > OPEN_ATTEMPTS_AT_MOST:
            self._open.popitem(last=False)

    def _end(self, attempt: str, outcome: str) -> str:
        """Count the end of an attempt and return its server, where it is known."""
        known = self._open.pop(attempt, None)
        if known is None:
            return ""
        fleet, service = known.service.fleet, known.service.name
        self._cell(metrics.SUBREQUESTS, fleet, service, outcome).add()
        if outcome == "answered":
            elapsed_s = self._clock() - known.started_at
            self._cell(metrics.SUBREQUEST_SECONDS, fleet, service).observe(elapsed_s)
        return _format_replica(known.replica)

    def note_fan_out(
        self, planned: plan.Plan, fan_out: fanout.FanOut, merged: merge.ReplyMerger
    ) -> None:
        """A fan-out has ended."""
        if fan_out.dropped_results:
            self._recorder.count(
                metrics.REPLIES_DROPPED, "late", by=fan_out.dropped_results
            )
        for breach, count in merged.violations.items():
            self._recorder.count(metrics.INVARIANT_BREACHES, breach.value, by=count)
            self._events.record(
                timeline.Kind.INVARIANT_BROKEN,
                request=planned.request_id,
                detail=breach.value,
            )

    def note_outcome(
        self,
        request: plan.QueryRequest,
        outcome: outcomes.Outcome,
        elapsed_s: float,
    ) -> None:
        """A request was answered or refused."""
        header = status.STATUS_BY_OUTCOME[type(outcome)].header_value
        fleet = request.workspace.partition("/")[0]
        self._cell(metrics.QUERIES, fleet, header).add()
        self._cell(metrics.QUERY_SECONDS, fleet, header).observe(elapsed_s)
        match outcome:
            case outcomes.NotRun(reason, detail):
                self._recorder.count(metrics.REFUSALS, reason.value)
                kind = timeline.Kind.QUERY_REFUSED
                detail = f"{reason.value}: {detail}"
            case outcomes.Unknown(detail):
                kind = timeline.Kind.QUERY_ANSWERED
                detail = f"{header}: {detail}"
            case _:
                kind = timeline.Kind.QUERY_ANSWERED
                detail = f"{header} after {elapsed_s * 1000:.1f} ms"
                self._note_coverage(fleet, outcome.metadata.coverage)
        self._events.record(kind, request=request.request_id, detail=detail)

    def _note_coverage(self, fleet: str, coverage: outcomes.Coverage) -> None:
        self._cell(metrics.COVERAGE, fleet).observe(coverage.share)
        for missing in coverage.missing:
            reason = missing.reason.value
            self._recorder.count(metrics.MISSING_SHARDS, fleet, reason)

    def _count_purpose(
        self, purpose: fanout.AttemptPurpose, fleet: names.FleetName
    ) -> None:
        match purpose:
            case fanout.AttemptPurpose.HEDGE:
                self._cell(metrics.HEDGES, fleet, "sent").add()
            case fanout.AttemptPurpose.RETRY:
                self._cell(metrics.RETRIES, fleet, "sent").add()
            case fanout.AttemptPurpose.FIRST:
                pass

    def _cell(
        self, metric: metrics.Metric, *labels: str
    ) -> metrics.Cell | metrics.Distribution:
        return self._recorder.bind(metric, *labels)


@functools.lru_cache(maxsize=8192)
def _format_replica(replica: names.ReplicaId) -> str:
    return str(replica)
