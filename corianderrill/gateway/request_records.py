"""The log record and the metrics of a request that has an outcome."""

import itertools
import math
from collections.abc import Iterator

from corianderrill import metrics
from corianderrill.gateway import (
    attempts,
    coordinator,
    event_log,
    replicas,
    request_outcomes,
    responses,
    send_order,
    shared_state,
    workspace_events,
)

# Per request.
MAX_HELD_IN_QUEUE_RECORDS = 4
# In the log line of an attempt that waited.
MAX_LISTED_WORKSPACES = 5


def record_request(
    shared: shared_state.SharedState,
    request_coordinator: coordinator.RequestCoordinator,
    outcome: request_outcomes.Outcome,
    response: responses.Response | None,
) -> None:
    """Log and count a request that has an outcome."""
    now = shared.loop.now()
    duration_s = now - request_coordinator.request.received_at
    part_count = request_coordinator.progress.count_parts()
    missing_count = len(request_coordinator.sub_requests) - part_count
    _count_request(
        shared.meter,
        request_coordinator.route.name,
        outcome,
        duration_s,
        missing_count,
    )
    is_complete_in_time = (
        outcome is request_outcomes.Outcome.COMPLETE
        and duration_s < request_coordinator.route.goal_s
    )
    shared.log.record(
        event_log.RequestEnded(
            request_id=request_coordinator.request.id,
            route=request_coordinator.route.name,
            version=request_coordinator.version,
            status=0 if response is None else response.status,
            outcome=outcome.value,
            took_ms=round(1000 * duration_s, 1),
            goal_ms=round(1000 * request_coordinator.route.goal_s, 1),
            left_ms=round(1000 * (request_coordinator.deadline_at - now), 1),
            parts=part_count,
            missing=missing_count,
            repeats=request_coordinator.extra_attempts.sent_count,
            denied=request_coordinator.extra_attempts.denied_count,
            view_age_ms=shared.view.get_age_ms(now),
            limited=request_coordinator.progress.count_limited(),
            verdict=request_coordinator.get_verdict_label(),
            workspace=request_coordinator.request.workspace,
            attempts=[]
            if is_complete_in_time
            else _summarize_attempts(request_coordinator),
        )
    )


def was_certainly_not_sent(
    request_coordinator: coordinator.RequestCoordinator,
    outcome: request_outcomes.Outcome,
) -> bool:
    """Return whether no attempt went to a replica and no query to an aggregator."""
    if outcome is not request_outcomes.Outcome.NOT_EXECUTED:
        return False
    tried = list(_list_attempts(request_coordinator))
    # The other connections may have carried a query to an aggregator.
    own_connections = {attempt.connection for attempt in tried}
    return request_coordinator.used_connections <= own_connections and all(
        attempt.sent_at is None for attempt in tried
    )


def record_held_in_queue(
    shared: shared_state.SharedState,
    request_coordinator: coordinator.RequestCoordinator,
) -> None:
    """Log the attempts of a request of a workspace that waited and were not sent."""
    rank = request_coordinator.request.rank
    if rank.workspace is None or not _has_lost_parts(request_coordinator):
        return
    now = shared.loop.now()
    held_in_queue = (
        attempt
        for attempt in _list_attempts(request_coordinator)
        if attempt.outcome == attempts.WITHDRAWN and attempt.connection is None
    )
    for attempt in itertools.islice(held_in_queue, MAX_HELD_IN_QUEUE_RECORDS):
        shared.log.record(_describe_held_in_queue(attempt, rank, now))


def _has_lost_parts(request_coordinator: coordinator.RequestCoordinator) -> bool:
    parts = request_coordinator.progress.count_parts()
    return parts < len(request_coordinator.sub_requests)


def _describe_held_in_queue(
    attempt: attempts.Attempt, rank: send_order.Rank, now: float
) -> workspace_events.HeldInQueue:
    pool = attempt.pool
    allowed = pool.concurrency.limit
    waiting = pool.count_queued(now).most_common(MAX_LISTED_WORKSPACES)
    return workspace_events.HeldInQueue(
        request_id=attempt.owner.request.id,
        workspace=rank.workspace,
        priority=rank.priority,
        service=attempt.sub_request.service,
        replica=attempt.replica.id,
        waited_ms=round(1000 * (attempt.ended_at - attempt.started_at), 1),
        pending=pool.count_pending(),
        allowed=round(allowed, 1) if math.isfinite(allowed) else None,
        waiting={workspace or "": count for workspace, count in waiting},
    )


def _list_attempts(
    request_coordinator: coordinator.RequestCoordinator,
) -> Iterator[attempts.Attempt]:
    return itertools.chain.from_iterable(
        sub_request.attempts for sub_request in request_coordinator.sub_requests
    )


def _count_request(
    meter: metrics.Recorder,
    route: str,
    outcome: request_outcomes.Outcome,
    duration_s: float,
    missing_count: int,
) -> None:
    meter.count(metrics.GATEWAY_REQUESTS, route, outcome.value)
    meter.observe(metrics.GATEWAY_SECONDS, duration_s, route)
    if outcome is request_outcomes.Outcome.PARTIAL:
        meter.count(metrics.GATEWAY_MISSING_PARTS, by=missing_count)


def _summarize_attempts(
    request_coordinator: coordinator.RequestCoordinator,
) -> list[event_log.AttemptSummary]:
    received_at = request_coordinator.request.received_at
    return [
        event_log.AttemptSummary(
            service=attempt.sub_request.service,
            replica=replicas.InstanceId(attempt.replica.id),
            why=attempt.reason,
            at_ms=round(1000 * (attempt.started_at - received_at), 1),
            sent_ms=_compute_elapsed_ms(attempt.sent_at, received_at),
            ended_ms=_compute_elapsed_ms(attempt.ended_at, received_at),
            outcome=attempt.outcome,
        )
        for attempt in _list_attempts(request_coordinator)
    ]


def _compute_elapsed_ms(at: float | None, start: float) -> float | None:
    return None if at is None else round(1000 * (at - start), 1)
