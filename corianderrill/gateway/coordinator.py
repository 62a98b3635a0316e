"""Coordination of one request: attempts, hedges, retries and the time of its answer.

A request to a single service has one sub-request; a query over shards has one for each
shard. A sub-request needs one successful reply from a replica. The coordinator
runs in callbacks of the event loop and reports the outcome once, through a callback.
A part is the reply of one sub-request. Hedges, and retries of attempts that were sent,
are extra attempts; the retry budget limits them.
"""

import math
from collections.abc import Callable, Sequence

from corianderrill import metrics, names
from corianderrill.gateway import (
    answer_times,
    attempt_records,
    attempt_sender,
    attempts,
    connections,
    delegated_sub_requests,
    delegation,
    delegation_messages,
    extra_attempts,
    hedge_timing,
    limited_sub_requests,
    quarantine,
    replica_selector,
    replies,
    request_outcomes,
    routes,
    shared_state,
)
from corianderrill.platform import requests

# Pending replies are still read and recorded for this long after the outcome of an
# idempotent request, or after the deadline of an at-most-once request.
LATE_REPLY_TIMEOUT_S = 0.3
# A retry waits so long at most to know whether a replica has ended under the request.
MAX_LIVENESS_WAIT_S = 0.03
# An attempt that could not be sent is replaced at no cost to the retry budget while
# its sub-request has at most this many attempts.
MAX_ATTEMPTS_FOR_UNSENT_RETRY = 3

_OUTCOMES_OF_COMPLETE_RUNS = (
    replies.AttemptOutcome.SUCCESS,
    replies.AttemptOutcome.ERROR_REPLY,
)


class RequestCoordinator:
    """Sends the attempts of one request and decides its outcome."""

    def __init__(
        self,
        shared: shared_state.SharedState,
        request: requests.InboundRequest,
        selected: routes.SelectedRoute,
        services: tuple[names.ServiceName, ...],
        on_finished: Callable[[request_outcomes.Outcome], None],
        answer_margin_s: float = answer_times.ANSWER_DELIVERY_MARGIN_S,
        mode: delegation.Mode = delegation.Mode.NOTHING,
        terms: delegation_messages.Terms | None = None,
        is_caller_connected: Callable[[], bool] = lambda: True,
        is_trial: bool = False,
    ) -> None:
        self.shared = shared
        self.loop = shared.loop
        self._on_finished = on_finished
        self.request = request
        self.route = route = selected.route
        self.version = selected.configuration.version
        self.is_idempotent = route.retry_safety is routes.RetrySafety.IDEMPOTENT
        self._can_hedge = self.is_idempotent and route.max_attempts > 1
        indexes = range(len(services)) if terms is None else terms.shards
        self.sub_requests = [
            attempts.SubRequest(service, index)
            for service, index in zip(services, indexes, strict=True)
        ]
        self.used_connections: set[connections.Connection] = set()
        self.outcome: request_outcomes.Outcome | None = None
        self._was_run = False
        self.verdict = quarantine.Verdict.CLEAR
        # Set if the query was refused because of rate limits or of crashes.
        self.retry_after_s: float | None = None
        self._is_trial = is_trial
        self._untried: Sequence[attempts.SubRequest] = ()
        goal_s = answer_times.compute_answer_delay(
            route, len(services), answer_margin_s
        )
        required_count = route.count_required_replies(len(self.sub_requests))
        repeat_from = request.received_at
        if terms is not None:
            goal_s = terms.goal_s
            required_count = min(terms.min_parts, len(self.sub_requests))
            repeat_from = request.received_at + terms.hedge_after_s
        self._times = answer_times.compute_answer_times(
            route, request.received_at, request.time_limit_s, goal_s
        )
        self.progress = request_outcomes.Progress(self.sub_requests, required_count)
        self._latency_estimator = shared.get_latency_estimator(route)
        self._selector = replica_selector.build_selector(
            shared,
            route,
            self._latency_estimator,
            selected.configuration.find_workspace_regions(request.workspace),
        )
        self._sender = attempt_sender.AttemptSender(
            self, shared, selected.configuration.services, self._latency_estimator
        )
        self.extra_attempts = extra_attempts.ExtraAttempts(
            shared,
            request,
            self._sender,
            self._selector,
            repeat_from,
            is_caller_connected,
        )
        self._limited = limited_sub_requests.LimitedSubRequests(
            shared, self._selector, self.progress
        )
        self._delegated = delegated_sub_requests.DelegatedSubRequests(
            self, shared, self._selector, self.progress, mode
        )
        self._hedge_timing = hedge_timing.HedgeTiming(
            self.sub_requests,
            self.goal_at,
            route.max_attempts,
            self._latency_estimator,
        )
        self._timer = None

    @property
    def goal_at(self) -> float:
        """When the answer has to be sent to meet the latency goal."""
        return self._times.goal_at

    @property
    def deadline_at(self) -> float:
        """When the request ends at the latest."""
        return self._times.deadline_at

    def start(self) -> None:
        """Send the first attempts; the outcome may be decided before this returns."""
        now = self.loop.now()
        self.verdict = self.shared.crash_watch.assess(self.request)
        if self.verdict is quarantine.Verdict.QUARANTINED and not self._is_trial:
            self._refuse_quarantined(now)
            return
        self._latency_estimator.refresh(now)
        self._hedge_timing.start()
        sends_one_first = self._is_trial or self.verdict is quarantine.Verdict.SUSPECTED
        groups = [] if sends_one_first else self._delegated.plan(now)
        delegated = {s for group in groups for s in group.sub_requests}
        direct = [s for s in self.sub_requests if s not in delegated]
        if sends_one_first:
            # So that it crashes one replica at most.
            direct, self._untried = direct[:1], direct[1:]
        # Decided before anything is sent, so that a refusal says truly "not executed".
        direct = self._limited.hold_back(direct, now)
        if self.progress.can_succeed():
            for group in groups:
                self._delegated.start(group)
            self._start_first_attempts(direct, now)
            self._give_up_untried()
        self._finish_if_decided(self.loop.now())
        if self.outcome is None:
            self._set_timer(self.loop.now())

    def _start_first_attempts(
        self, sub_requests: Sequence[attempts.SubRequest], now: float
    ) -> None:
        self.shared.retry_budget.record_requests(
            tuple(sub_request.service for sub_request in sub_requests), now
        )
        for sub_request in sub_requests:
            if self.outcome is None and not sub_request.is_done:
                self._start_attempt(sub_request, "first", now)

    # Requests under which replicas have crashed.

    def _refuse_quarantined(self, now: float) -> None:
        for sub_request in self.sub_requests:
            self.progress.mark_done(sub_request)
        self.retry_after_s = quarantine.RETRY_AFTER_S
        self.shared.meter.count(metrics.GATEWAY_QUARANTINED)
        self._finish_if_decided(now)

    def _give_up_untried(self) -> None:
        """Give up what waits for the first sub-request of a trial that has failed."""
        if not self._untried or any(
            s.attempts and not s.is_done for s in self.sub_requests
        ):
            return
        untried, self._untried = self._untried, ()
        for sub_request in untried:
            self.progress.mark_done(sub_request)

    # Delegation to aggregators.

    def handle_delegation_end(self, ended: delegation.Delegation) -> None:
        """Take the parts of an aggregator's answer, or replace the delegation."""
        if self.outcome is not None:
            return
        now = self.loop.now()
        for sub_request in ended.sub_requests:
            sub_request.is_delegated = False
        match ended.outcome:
            case delegation.Outcome.ANSWERED:
                if ended.answer.shards:
                    self._record_complete_run()
                self._delegated.take_answer(ended)
            case delegation.Outcome.REFUSED | delegation.Outcome.UNSENT:
                self._send_directly(ended.sub_requests, now)
            case delegation.Outcome.LIMITED:
                self._limited.mark_limited(ended.sub_requests)
                self.retry_after_s = ended.retry_after_s
            case delegation.Outcome.UNCONFIRMED if not ended.may_have_executed():
                self._send_directly(ended.sub_requests, now)
            case delegation.Outcome.UNCONFIRMED:
                self._replace_unconfirmed(ended, now)
            case _:
                self._delegated.give_up(ended)
        self._finish_if_decided(self.loop.now())
        if self.outcome is None and self._timer is not None:
            # Hedges of attempts that were just started may be due sooner.
            self._timer.cancel()
            self._set_timer(self.loop.now())

    def _send_directly(
        self, sub_requests: Sequence[attempts.SubRequest], now: float
    ) -> None:
        """Send what an aggregator did not take."""
        self._start_first_attempts(self._limited.hold_back(sub_requests, now), now)

    def _replace_unconfirmed(self, ended: delegation.Delegation, now: float) -> None:
        """Send extra attempts, as the aggregator may have sent the first ones."""
        waited_s = now - ended.started_at
        for sub_request in ended.sub_requests:
            sub_request.lost_delegations += 1
            if self.outcome is None and not self.extra_attempts.send(
                sub_request, ended.outcome.value, waited_s, now
            ):
                self.progress.mark_done(sub_request)

    def collect_parts(self) -> delegated_sub_requests.Parts:
        """Return the parts that were received, for the answer."""
        return self._delegated.collect_parts(self.sub_requests)

    def get_verdict_label(self) -> str:
        """Return how the request was judged at its start; empty if it was clear."""
        is_clear = self.verdict is quarantine.Verdict.CLEAR
        return "" if is_clear else self.verdict.value

    # Sending attempts.

    def _start_attempt(
        self, sub_request: attempts.SubRequest, reason: str, now: float
    ) -> bool:
        """Send an attempt to the best untried replica; return False without one."""
        replica = self._selector.select(sub_request, now)
        if replica is None:
            if not sub_request.has_pending_attempt():
                self.progress.mark_done(sub_request)
            return False
        self._sender.send(sub_request, replica, reason, now)
        return True

    # Handling the end of an attempt.

    def handle_attempt_end(
        self,
        attempt: attempts.Attempt,
        result: connections.RawReply | connections.FailedExchange,
    ) -> None:
        """Process the reply of an attempt, or the reason that there is none."""
        now = self.loop.now()
        attempt.ended_at = now
        match result:
            case connections.RawReply():
                reply = requests.decode_reply(result)
                outcome = attempt_records.record_reply(attempt, reply, self.shared, now)
            case connections.FailedExchange(sent=sent):
                reply = None
                outcome = (
                    replies.AttemptOutcome.UNUSABLE
                    if sent
                    else replies.AttemptOutcome.UNSENT
                )
                attempt.sub_request.is_awaiting_liveness = self._watch_break(
                    attempt, result
                )
        attempt.outcome = outcome.value
        self.shared.meter.count(metrics.GATEWAY_ATTEMPTS, outcome.value)
        attempt_records.record_outcome(attempt, outcome, self._latency_estimator, now)
        if outcome is replies.AttemptOutcome.UNSENT:
            self._sender.release_limit(attempt, now)
        if outcome in _OUTCOMES_OF_COMPLETE_RUNS:
            self._record_complete_run()
        if self.outcome is not None:
            return
        self._update_sub_request(attempt.sub_request, attempt, outcome, reply, now)
        self._give_up_untried()
        self._finish_if_decided(now)

    def _watch_break(
        self, attempt: attempts.Attempt, result: connections.FailedExchange
    ) -> bool:
        """Find out whether a replica has ended; return whether to wait for that.

        A retry that is sent before it is known would end one more replica.
        """
        is_watched = self.shared.crash_watch.record_break(
            attempt.replica,
            result,
            self.request,
            self._has_reply,
            lambda: self._resume_after_break(attempt),
        )
        if not is_watched or not self.is_idempotent or self.outcome is not None:
            return False
        self.loop.call_later(MAX_LIVENESS_WAIT_S, self._resume_after_break, attempt)
        return True

    def _resume_after_break(self, attempt: attempts.Attempt) -> None:
        """Send the retry that waited, unless the request is suspected by now."""
        sub_request = attempt.sub_request
        if not sub_request.is_awaiting_liveness or self.outcome is not None:
            return
        sub_request.is_awaiting_liveness = False
        now = self.loop.now()
        self._update_sub_request(
            sub_request, attempt, replies.AttemptOutcome.UNUSABLE, None, now
        )
        self._give_up_untried()
        self._finish_if_decided(now)

    def _record_complete_run(self) -> None:
        """Record that a replica ran the request to its end, so it crashes none."""
        if self._was_run:
            return
        self._was_run = True
        self.shared.crash_watch.record_reply(self.request)
        untried, self._untried = self._untried, ()
        if self.outcome is None:
            self._start_first_attempts(untried, self.loop.now())

    def _has_reply(self) -> bool:
        return self._was_run

    def _update_sub_request(
        self,
        sub_request: attempts.SubRequest,
        attempt: attempts.Attempt,
        outcome: replies.AttemptOutcome,
        reply: replies.Reply | None,
        now: float,
    ) -> None:
        """Complete the sub-request, retry it, or mark it as failed."""
        if sub_request.is_done:
            return
        if outcome is replies.AttemptOutcome.SUCCESS:
            sub_request.is_awaiting_liveness = False
            sub_request.reply = reply
            self.progress.record_part(sub_request)
            self._sender.withdraw_unsent(sub_request.attempts)
            return
        is_failure = outcome is replies.AttemptOutcome.ERROR_REPLY
        if is_failure and not reply.promises_not_executed:
            sub_request.error_reply = reply
        if sub_request.is_awaiting_liveness:
            return
        waited_s = now - attempt.started_at
        if outcome is replies.AttemptOutcome.UNSENT:
            if len(
                sub_request.attempts
            ) <= MAX_ATTEMPTS_FOR_UNSENT_RETRY and self._start_attempt(
                sub_request, "unreachable", now
            ):
                return
        elif self._is_retryable(outcome) and self.extra_attempts.send(
            sub_request, outcome.value, waited_s, now
        ):
            return
        if not sub_request.has_pending_attempt():
            self.progress.mark_done(sub_request)

    def _is_retryable(self, outcome: replies.AttemptOutcome) -> bool:
        if outcome in (
            replies.AttemptOutcome.NOT_EXECUTED,
            replies.AttemptOutcome.MISDIRECTED,
        ):
            return True
        return self.is_idempotent

    # Timer.

    def _set_timer(self, now: float) -> None:
        due_at = self._times.get_next(now)
        if self._can_hedge:
            due_at = min(due_at, self._hedge_timing.compute_next_check_at(now))
        delay_s = max(due_at - now, 0.0)
        self._timer = self.loop.call_later(delay_s, self._handle_timer)

    def _handle_timer(self) -> None:
        if self.outcome is not None:
            return
        now = self.loop.now()
        if self._can_hedge:
            for sub_request, waited_s in self._hedge_timing.list_due(now):
                self.extra_attempts.send(
                    sub_request, extra_attempts.HEDGE_REASON, waited_s, now
                )
        self._finish_if_decided(now)
        if self.outcome is None:
            self._set_timer(now)

    # Deciding the outcome.

    def _finish_if_decided(self, now: float) -> None:
        """Finish the request if its outcome is certain or it is time to answer.

        It is time to answer at the goal, the late-answer time and the deadline.
        """
        if self.outcome is not None:
            return
        if not self.progress.can_succeed():
            for sub_request in self._limited.resume_postponed():
                self._start_attempt(sub_request, "postponed", now)
        outcome = self.progress.find_certain_outcome()
        if outcome is not None:
            self._finish(outcome)
        elif now >= self.deadline_at:
            self._finish(self.progress.find_deadline_outcome())
        elif self.progress.has_enough_parts() and self._times.allows_partial_answer(
            now
        ):
            self._finish(request_outcomes.Outcome.PARTIAL)

    def handle_caller_disconnect(self) -> None:
        """End the request because its caller closed the connection."""
        if self.outcome is None:
            self._finish(request_outcomes.Outcome.CALLER_DISCONNECTED)

    def handle_shutdown(self) -> None:
        """End the request because the process is about to exit."""
        if self.outcome is None:
            self._finish(request_outcomes.classify_timeout(self.sub_requests))

    def _compute_pause_s(self, now: float) -> float:
        """Return when enough replicas want requests again, in seconds from now."""
        pauses_s = sorted(
            self._selector.compute_pause_s(sub_request.service, now)
            for sub_request in self.sub_requests
        )
        return pauses_s[self.progress.required_count - 1]

    def _finish(self, outcome: request_outcomes.Outcome) -> None:
        self.outcome = outcome
        if outcome is request_outcomes.Outcome.NOT_EXECUTED:
            self._set_retry_after()
        if self._timer is not None:
            self._timer.cancel()
        is_caller_gone = outcome is request_outcomes.Outcome.CALLER_DISCONNECTED
        pending = self.progress.list_pending()
        self._sender.withdraw_unsent(pending)
        self._delegated.cancel_after(0.0 if is_caller_gone else LATE_REPLY_TIMEOUT_S)
        sent = [attempt for attempt in pending if attempt.sent_at is not None]
        attempt_records.record_overdue(
            pending, self.shared, self._latency_estimator, self.loop.now()
        )
        if sent and is_caller_gone and self.is_idempotent:
            self._sender.cancel_unanswered(sent)
        elif sent:
            self.loop.call_later(
                self._compute_read_timeout_s(), self._sender.cancel_unanswered, sent
            )
        self._on_finished(outcome)

    def _set_retry_after(self) -> None:
        """Name a time of return, if limits, crashes or pauses show one."""
        if self.retry_after_s is None:
            self.retry_after_s = self._limited.retry_after_s
        if self.retry_after_s is None:
            pause_s = self._compute_pause_s(self.loop.now())
            self.retry_after_s = pause_s if 0.0 < pause_s < math.inf else None

    def _compute_read_timeout_s(self) -> float:
        """Return how long replies are read after the outcome, in seconds."""
        if self.is_idempotent:
            return LATE_REPLY_TIMEOUT_S
        return max(self.deadline_at - self.loop.now(), 0.0) + LATE_REPLY_TIMEOUT_S

    def release(self) -> None:
        """Let go of the attempts and parts, once the response has been built.

        Attempts refer to this request. Without their references the memory of both is
        given back when the last of them ends, not when the garbage collector runs.
        """
        for sub_request in self.sub_requests:
            sub_request.attempts = []
            sub_request.reply = sub_request.error_reply = None
        self._sender.owner = None
        self._delegated.release()
        self._timer = None
        self._on_finished = _ignore_outcome
        self.used_connections.clear()


def _ignore_outcome(_outcome: request_outcomes.Outcome) -> None:
    """Take the place of the callback of a request that has an outcome."""
