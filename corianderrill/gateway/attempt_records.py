"""Records what the attempts of a request show about replicas, zones and latency."""

from collections.abc import Iterable

from corianderrill.gateway import (
    attempts,
    event_log,
    latency,
    replies,
    shared_state,
)

# An attempt without a reply after this many hedge delays is reported as overdue.
OVERDUE_HEDGE_DELAYS = 2.0
# Such a reply may come from another server, or belong to another request.
_OUTCOMES_OF_OTHER_SENDERS = (
    replies.AttemptOutcome.UNUSABLE,
    replies.AttemptOutcome.MISDIRECTED,
)
# A replica that asked for a pause, or is evacuated, is not to blame for these.
_OUTCOMES_OF_A_PAUSE = (
    replies.AttemptOutcome.NOT_EXECUTED,
    replies.AttemptOutcome.UNSENT,
)


def record_reply(
    attempt: attempts.Attempt,
    reply: replies.Reply,
    shared: shared_state.SharedState,
    now: float,
) -> replies.AttemptOutcome:
    """Record what a reply says about its replica and zone; return its outcome."""
    outcome = replies.classify_reply(reply, attempt.owner.request.id)
    if outcome not in _OUTCOMES_OF_OTHER_SENDERS:
        shared.rate_limits.record_reply(attempt.replica, reply, now)
    if outcome is not replies.AttemptOutcome.MISDIRECTED:
        shared.notices.record_reply(attempt.replica, reply, attempt.pool, now)
    shared.zone_detector.record_reply(attempt.replica.registration.zone, now)
    return outcome


def record_outcome(
    attempt: attempts.Attempt,
    outcome: replies.AttemptOutcome,
    latency_estimator: latency.LatencyEstimator,
    now: float,
) -> None:
    """Record the end of an attempt for its replica, pool and route."""
    replica = attempt.replica
    if not replica.accepts_requests(now) and outcome in _OUTCOMES_OF_A_PAUSE:
        replica.forget_attempt(attempt)
        return
    match outcome:
        case replies.AttemptOutcome.SUCCESS:
            latency_s = now - (attempt.sent_at or attempt.started_at)
            ratio = latency_s / latency_estimator.expected_latency_s
            replica.record_success(attempt, ratio, now)
            attempt.pool.record_latency(ratio)
            latency_estimator.record(latency_s)
        case replies.AttemptOutcome.ERROR_REPLY | replies.AttemptOutcome.UNUSABLE:
            replica.record_failure(attempt, now)
        case replies.AttemptOutcome.NOT_EXECUTED:
            replica.record_refusal(attempt, now)
            attempt.pool.record_refusal()
        case replies.AttemptOutcome.MISDIRECTED:
            replica.record_replaced(attempt)
        case replies.AttemptOutcome.UNSENT:
            replica.record_connect_failure(attempt, now)


def record_unanswered(
    attempt: attempts.Attempt, latency_estimator: latency.LatencyEstimator, now: float
) -> None:
    """Record the age of an attempt without a reply as the latency of its replica.

    The age is no sample of the route's latency estimator.
    """
    ratio = (now - attempt.sent_at) / latency_estimator.expected_latency_s
    attempt.replica.record_timeout(attempt, ratio, now)


def record_overdue(
    pending: Iterable[attempts.Attempt],
    shared: shared_state.SharedState,
    latency_estimator: latency.LatencyEstimator,
    now: float,
) -> None:
    """Report overdue attempts, connected or not, to the zone failure detector."""
    overdue_after_s = OVERDUE_HEDGE_DELAYS * latency_estimator.hedge_delay_s
    for attempt in pending:
        if now - attempt.started_at < overdue_after_s:
            continue
        zone = attempt.replica.registration.zone
        if shared.zone_detector.record_overdue_attempt(zone, attempt.started_at, now):
            shared.log.record(event_log.ZoneSuspected(zone, attempt.replica.id))
