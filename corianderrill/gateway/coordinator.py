"""Coordination of one request: attempts, hedges, retries and the time of its answer.

A request to a single service has one sub-request; a query over shards has one for each
shard. A sub-request needs one successful reply from a replica. The coordinator
runs in callbacks of the event loop and reports the outcome once, through a callback.
A part is the reply of one sub-request. Hedges, and retries of attempts that were sent,
are extra attempts; the retry budget limits them.
"""

import dataclasses
import enum
import itertools
import math
from collections.abc import Callable, Iterable, Sequence

from corianderrill import metrics, names
from corianderrill.gateway import (
    attempt_records,
    attempts,
    connections,
    delegation,
    delegation_messages,
    event_log,
    hedge_timing,
    limit_plan,
    quarantine,
    replica_selector,
    replicas,
    replies,
    routes,
    shared_state,
)
from corianderrill.platform import requests

# Time from the decision to answer until the caller has received the answer. Each
# sub-request adds to it, because its reply may still have to be read.
ANSWER_DELIVERY_MARGIN_S = 0.0102
ANSWER_MARGIN_PER_SUB_REQUEST_S = 0.00008
# The request ends this long before its timeout, so that its answer arrives in time; at
# most half of the timeout is used as the margin.
DEADLINE_MARGIN_S = 0.015
# After its latency goal, a query waits for missing parts for at most this multiple of
# the goal.
LATE_ANSWER_GOAL_FACTOR = 1.0
# Pending replies are still read and recorded for this long after the outcome of an
# idempotent request, or after the deadline of an at-most-once request.
LATE_REPLY_TIMEOUT_S = 0.3
# A retry waits so long at most to know whether a replica has ended under the request.
MAX_LIVENESS_WAIT_S = 0.03
# An attempt that could not be sent is replaced at no cost to the retry budget while
# its sub-request has at most this many attempts.
MAX_ATTEMPTS_FOR_UNSENT_RETRY = 3
HEDGE_REASON = "hedge"
# Used for a service that the configuration does not list.
DEFAULT_MAX_CONNECTIONS = 16

# Such a reply may come from another server, or belong to another request.
_OUTCOMES_OF_OTHER_SENDERS = (
    replies.AttemptOutcome.UNUSABLE,
    replies.AttemptOutcome.MISDIRECTED,
)
_OUTCOMES_OF_COMPLETE_RUNS = (
    replies.AttemptOutcome.SUCCESS,
    replies.AttemptOutcome.ERROR_REPLY,
)


class RequestOutcome(enum.Enum):
    """The final outcome of a request.

    `ERROR_REPLY` means that the caller gets the error reply of a backend server,
    `NOT_EXECUTED` that no replica executed the request, and `INDETERMINATE` that one
    may have executed it.
    """

    COMPLETE = "answered"
    PARTIAL = "partial"
    ERROR_REPLY = "failed"
    NOT_EXECUTED = "not-run"
    INDETERMINATE = "broken"
    TIMED_OUT = "timed-out"
    CALLER_DISCONNECTED = "abandoned"


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The parts of an answer, some of them merged; `shards` are their positions."""

    signatures: list[str]
    bodies: list[bytes]
    shards: list[int]


class RequestCoordinator:
    """Sends the attempts of one request and decides its outcome."""

    def __init__(
        self,
        shared: shared_state.SharedState,
        request: requests.InboundRequest,
        selected: routes.SelectedRoute,
        services: tuple[names.ServiceName, ...],
        on_finished: Callable[[RequestOutcome], None],
        answer_margin_s: float = ANSWER_DELIVERY_MARGIN_S,
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
        self._service_configs = selected.configuration.services
        self.is_idempotent = route.retry_safety is routes.RetrySafety.IDEMPOTENT
        self._can_hedge = self.is_idempotent and route.max_attempts > 1
        indexes = range(len(services)) if terms is None else terms.shards
        self.sub_requests = [
            attempts.SubRequest(service, index)
            for service, index in zip(services, indexes, strict=True)
        ]
        self.used_connections: set[connections.Connection] = set()
        self._mode = mode
        self._delegations: list[delegation.Delegation] = []
        # Without answers that come after the outcome, while the response is built.
        self._answers: list[delegation_messages.Answer] = []
        self.outcome: RequestOutcome | None = None
        self._succeeded_count = 0
        self._done_count = 0
        self._was_run = False
        self.verdict = quarantine.Verdict.CLEAR
        self.extra_attempts = 0
        self.denied_extra_attempts = 0
        # Set if the query was refused because of rate limits or of crashes.
        self.retry_after_s: float | None = None
        self._is_trial = is_trial
        self._untried: Sequence[attempts.SubRequest] = ()
        self._postponed: list[attempts.SubRequest] = []
        started_at = request.received_at
        time_limit_s = min(request.time_limit_s, route.timeout_s)
        self.deadline_at = started_at + max(
            time_limit_s - DEADLINE_MARGIN_S, 0.5 * time_limit_s
        )
        margin_s = answer_margin_s + ANSWER_MARGIN_PER_SUB_REQUEST_S * len(services)
        self.goal_at = started_at + max(route.goal_s - margin_s, 0.0)
        self._repeat_from = started_at
        self._is_caller_connected = is_caller_connected
        self._required_count = route.count_required_replies(len(self.sub_requests))
        if terms is not None:
            self.goal_at = started_at + terms.goal_s
            self._required_count = min(terms.min_parts, len(self.sub_requests))
            self._repeat_from = started_at + terms.hedge_after_s
        self.late_answer_at = self.goal_at + LATE_ANSWER_GOAL_FACTOR * route.goal_s
        self._latency_estimator = shared.get_latency_estimator(route)
        self._selector = replica_selector.build_selector(
            shared, route, self._latency_estimator
        )
        self._hedge_timing = hedge_timing.HedgeTiming(
            self.sub_requests,
            self.goal_at,
            route.max_attempts,
            self._latency_estimator,
        )
        self._timer = None

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
        groups = [] if sends_one_first else self._plan_delegations(now)
        delegated = {s for group in groups for s in group.sub_requests}
        direct = [s for s in self.sub_requests if s not in delegated]
        if sends_one_first:
            # So that it crashes one replica at most.
            direct, self._untried = direct[:1], direct[1:]
        # Decided before anything is sent, so that a refusal says truly "not executed".
        direct = self._hold_back_limited(direct, now)
        if self._count_possible() >= self._required_count:
            for group in groups:
                self._start_delegation(group)
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
            self._mark_done(sub_request)
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
            self._mark_done(sub_request)

    # Rate limits of replicas.

    def _hold_back_limited(
        self, sub_requests: Sequence[attempts.SubRequest], now: float
    ) -> Sequence[attempts.SubRequest]:
        """Return the sub-requests to send now; mark the others as limited and done."""
        self.shared.request_rates.record(tuple(s.service for s in sub_requests), now)
        if not self.shared.rate_limits.has_any():
            return sub_requests
        needs = {s: self._selector.assess_limits(s, now) for s in sub_requests}
        max_left_out = self._count_possible() - self._required_count
        match self.shared.limit_planner.plan(needs, max_left_out):
            case limit_plan.Send(
                now=sent, postponed=postponed, unavailable=unavailable
            ):
                self._mark_limited((*postponed, *unavailable))
                self._postponed.extend(postponed)
                return sent
            case limit_plan.Refuse(retry_after_s=retry_after_s):
                self._mark_limited(sub_requests)
                self.retry_after_s = retry_after_s
                return ()

    def _mark_limited(self, sub_requests: Iterable[attempts.SubRequest]) -> None:
        for sub_request in sub_requests:
            sub_request.is_limited = True
            self._mark_done(sub_request)
            self.shared.meter.count(metrics.GATEWAY_LIMITED_SUB_REQUESTS)

    def _resume_postponed(self, now: float) -> None:
        """Send the sub-requests that were postponed, now that other ones failed."""
        postponed, self._postponed = self._postponed, []
        for sub_request in postponed:
            sub_request.is_limited = sub_request.is_done = False
            self._done_count -= 1
            self._start_attempt(sub_request, "postponed", now)

    # Delegation to aggregators.

    def _plan_delegations(self, now: float) -> list[delegation.Group]:
        """Return the groups of sub-requests that aggregators are to send."""
        match self._mode:
            case delegation.Mode.NOTHING:
                return []
            case delegation.Mode.WHOLE_QUERY:
                groups = delegation.plan_whole_query(
                    self.shared, self.sub_requests, now
                )
                if groups:
                    return groups
        elsewhere = self._selector.list_in_other_zones(self.sub_requests, now)
        return delegation.plan_other_zones(self.shared, elsewhere, now)

    def _start_delegation(self, group: delegation.Group) -> None:
        max_left_out = self._count_possible() - self._required_count
        for sub_request in group.sub_requests:
            sub_request.is_delegated = True
        min_parts = max(len(group.sub_requests) - max_left_out, 1)
        started = delegation.Delegation(self, self.shared, group, min_parts)
        self._delegations.append(started)
        started.start()

    def handle_delegation_end(self, ended: delegation.Delegation) -> None:
        """Take the parts of an aggregator's answer, or replace the delegation."""
        if self.outcome is not None:
            return
        now = self.loop.now()
        for sub_request in ended.sub_requests:
            sub_request.is_delegated = False
        match ended.outcome:
            case delegation.Outcome.ANSWERED:
                self._take_answer(ended)
            case delegation.Outcome.REFUSED | delegation.Outcome.UNSENT:
                self._send_directly(ended.sub_requests, now)
            case delegation.Outcome.LIMITED:
                self._mark_limited(ended.sub_requests)
                self.retry_after_s = ended.retry_after_s
            case delegation.Outcome.UNCONFIRMED if not ended.may_have_executed():
                self._send_directly(ended.sub_requests, now)
            case delegation.Outcome.UNCONFIRMED:
                self._replace_unconfirmed(ended, now)
            case _:
                self._fail_delegated(ended)
        self._finish_if_decided(self.loop.now())
        if self.outcome is None and self._timer is not None:
            # Hedges of attempts that were just started may be due sooner.
            self._timer.cancel()
            self._set_timer(self.loop.now())

    def _send_directly(
        self, sub_requests: Sequence[attempts.SubRequest], now: float
    ) -> None:
        """Send what an aggregator did not take."""
        self._start_first_attempts(self._hold_back_limited(sub_requests, now), now)

    def _take_answer(self, ended: delegation.Delegation) -> None:
        self._answers.append(ended.answer)
        if ended.answer.shards:
            self._record_complete_run()
        for sub_request in ended.sub_requests:
            if sub_request.index in ended.answer.shards:
                sub_request.is_in_answer = True
                self._succeeded_count += 1
            else:
                sub_request.lost_delegations += 1
            self._mark_done(sub_request)

    def _replace_unconfirmed(self, ended: delegation.Delegation, now: float) -> None:
        """Send extra attempts, as the aggregator may have sent the first ones."""
        waited_s = now - ended.started_at
        for sub_request in ended.sub_requests:
            sub_request.lost_delegations += 1
            if self.outcome is None and not self._send_extra_attempt(
                sub_request, ended.outcome.value, waited_s, now
            ):
                self._mark_done(sub_request)

    def _fail_delegated(self, ended: delegation.Delegation) -> None:
        """Give up sub-requests for which the aggregator may have sent all attempts."""
        for sub_request in ended.sub_requests:
            sub_request.lost_delegations += 1
            self._mark_done(sub_request)

    def collect_parts(self) -> Parts:
        """Return the parts that were received, for the answer."""
        direct = [s for s in self.sub_requests if s.reply is not None]
        return Parts(
            signatures=[
                *(s.reply.signature for s in direct),
                *itertools.chain.from_iterable(a.signatures for a in self._answers),
            ],
            bodies=[*(s.reply.body for s in direct), *(a.body for a in self._answers)],
            shards=[s.index for s in self.sub_requests if s.has_part],
        )

    def count_parts(self) -> int:
        """Return how many parts were received."""
        return sum(sub_request.has_part for sub_request in self.sub_requests)

    def get_verdict_label(self) -> str:
        """Return how the request was judged at its start; empty if it was clear."""
        is_clear = self.verdict is quarantine.Verdict.CLEAR
        return "" if is_clear else self.verdict.value

    def count_limited(self) -> int:
        """Return how many sub-requests were left out because of rate limits."""
        return sum(sub_request.is_limited for sub_request in self.sub_requests)

    # Sending attempts.

    def _start_attempt(
        self, sub_request: attempts.SubRequest, reason: str, now: float
    ) -> bool:
        """Send an attempt to the best untried replica; return False without one."""
        replica = self._selector.select(sub_request, now)
        if replica is None:
            if not sub_request.has_pending_attempt():
                self._mark_done(sub_request)
            return False
        self._send_attempt(sub_request, replica, reason, now)
        return True

    def _send_attempt(
        self,
        sub_request: attempts.SubRequest,
        replica: replicas.Replica,
        reason: str,
        now: float,
    ) -> None:
        attempt = attempts.Attempt(self, sub_request, replica, reason, now)
        sub_request.attempts.append(attempt)
        replica.record_start(attempt, now)
        attempt.used_limit = self.shared.rate_limits.acquire(replica, now)
        service = self._service_configs.get(sub_request.service)
        max_connections = (
            DEFAULT_MAX_CONNECTIONS if service is None else service.max_connections
        )
        is_same_zone = replica.registration.zone == self.shared.zone
        address = replica.registration.address
        attempt.pool = self.shared.pools.get(address, max_connections, is_same_zone)
        attempt.pool.set_slots(replica.registration.slots)
        connection = attempt.pool.send(attempt)
        if attempt.connection is None:
            attempt.connection = connection

    def _send_extra_attempt(
        self, sub_request: attempts.SubRequest, reason: str, waited_s: float, now: float
    ) -> bool:
        """Send a retry or hedge if route, retry budget and replicas allow it."""
        if not self._may_repeat(sub_request, now):
            return False
        replica = self._selector.select(sub_request, now)
        if replica is None:
            return False
        if reason == HEDGE_REASON and not replica.is_fit_for_hedge(now):
            # The pending attempt is more likely to succeed, or the share of a limit is
            # better kept for another request.
            return False
        if not self.shared.retry_budget.try_spend(sub_request.service, now):
            self.denied_extra_attempts += 1
            self.shared.meter.count(metrics.GATEWAY_REPEATS_DENIED)
            return False
        self.extra_attempts += 1
        self._send_attempt(sub_request, replica, reason, now)
        self.shared.meter.count(metrics.GATEWAY_REPEATS, reason)
        self.shared.log.record(
            event_log.Repeated(
                request_id=self.request.id,
                service=sub_request.service,
                replica=replica.id,
                why=reason,
                waited_ms=round(1000 * waited_s, 1),
                outcome="sent",
            )
        )
        return True

    def _may_repeat(self, sub_request: attempts.SubRequest, now: float) -> bool:
        """Return whether to send one more attempt after those that may have run.

        Another host may have sent attempts in place of this one: a host that delegates
        a query and hears nothing sends its own. And a request that has crashed replicas
        gets no second attempt. What a replica refused is no attempt in this sense.
        """
        was_sent = any(a.may_have_executed() for a in sub_request.attempts)
        verdict = self.shared.crash_watch.assess(self.request)
        if verdict is not quarantine.Verdict.CLEAR and (
            was_sent or sub_request.lost_delegations
        ):
            return False
        if not was_sent:
            return True
        return now >= self._repeat_from and self._is_caller_connected()

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
                outcome = replies.classify_reply(reply, self.request.id)
                if outcome not in _OUTCOMES_OF_OTHER_SENDERS:
                    self.shared.rate_limits.record_reply(attempt.replica, reply, now)
                if outcome is not replies.AttemptOutcome.MISDIRECTED:
                    self.shared.notices.record_reply(
                        attempt.replica, reply, attempt.pool, now
                    )
            case connections.FailedExchange(sent=sent):
                reply = None
                attempt.sub_request.is_awaiting_liveness = self._watch_break(
                    attempt, result
                )
                outcome = (
                    replies.AttemptOutcome.UNUSABLE
                    if sent
                    else replies.AttemptOutcome.UNSENT
                )
        attempt.outcome = outcome.value
        self.shared.meter.count(metrics.GATEWAY_ATTEMPTS, outcome.value)
        if reply is not None:
            self.shared.zone_detector.record_reply(
                attempt.replica.registration.zone, now
            )
        attempt_records.record_outcome(attempt, outcome, self._latency_estimator, now)
        if outcome is replies.AttemptOutcome.UNSENT:
            self._release_limit(attempt, now)
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
            self._succeeded_count += 1
            self._mark_done(sub_request)
            self._withdraw_unsent(sub_request.attempts)
            return
        if outcome is replies.AttemptOutcome.ERROR_REPLY:
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
        elif self._is_retryable(outcome) and self._send_extra_attempt(
            sub_request, outcome.value, waited_s, now
        ):
            return
        if not sub_request.has_pending_attempt():
            self._mark_done(sub_request)

    def _mark_done(self, sub_request: attempts.SubRequest) -> None:
        if not sub_request.is_done:
            sub_request.is_done = True
            self._done_count += 1

    def _is_retryable(self, outcome: replies.AttemptOutcome) -> bool:
        if outcome in (
            replies.AttemptOutcome.NOT_EXECUTED,
            replies.AttemptOutcome.MISDIRECTED,
        ):
            return True
        return self.is_idempotent

    # Timer.

    def _set_timer(self, now: float) -> None:
        due_at = self.deadline_at
        if self._can_hedge:
            due_at = min(due_at, self._hedge_timing.compute_next_check_at(now))
        if now < self.goal_at:
            due_at = min(due_at, self.goal_at)
        elif now < self.late_answer_at:
            due_at = min(due_at, self.late_answer_at)
        delay_s = max(due_at - now, 0.0)
        self._timer = self.loop.call_later(delay_s, self._handle_timer)

    def _handle_timer(self) -> None:
        if self.outcome is not None:
            return
        now = self.loop.now()
        if self._can_hedge:
            for sub_request, waited_s in self._hedge_timing.list_due(now):
                self._send_extra_attempt(sub_request, HEDGE_REASON, waited_s, now)
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
        total = len(self.sub_requests)
        if self._postponed and self._count_possible() < self._required_count:
            self._resume_postponed(now)
        succeeded = self._succeeded_count
        done = self._done_count
        max_successes = self._count_possible()
        if succeeded == total:
            self._finish(RequestOutcome.COMPLETE)
        elif max_successes < self._required_count:
            self._finish(self._classify_failure())
        elif done == total:
            self._finish(RequestOutcome.PARTIAL)
        elif now >= self.deadline_at:
            has_enough_parts = succeeded >= self._required_count
            self._finish(
                RequestOutcome.PARTIAL if has_enough_parts else self._classify_timeout()
            )
        elif succeeded >= self._required_count and self._should_answer_partially(now):
            self._finish(RequestOutcome.PARTIAL)

    def _count_possible(self) -> int:
        """Return how many parts the answer can still have."""
        return len(self.sub_requests) - self._done_count + self._succeeded_count

    def _should_answer_partially(self, now: float) -> bool:
        """Return whether to answer now, without the parts that are missing.

        A request with enough parts is answered within `ANSWER_DELIVERY_MARGIN_S` after
        `goal_at`. One that gets enough parts only later waits for the rest until
        `late_answer_at`.
        """
        if now >= self.late_answer_at:
            return True
        return self.goal_at <= now < self.goal_at + ANSWER_DELIVERY_MARGIN_S

    def _classify_timeout(self) -> RequestOutcome:
        """Return `NOT_EXECUTED` if nothing was sent, since the rest is withdrawn."""
        outcome = self._classify_failure()
        if outcome is RequestOutcome.NOT_EXECUTED:
            return outcome
        return RequestOutcome.TIMED_OUT

    def _classify_failure(self) -> RequestOutcome:
        if len(self.sub_requests) == 1 and self.sub_requests[0].error_reply is not None:
            return RequestOutcome.ERROR_REPLY
        tried = itertools.chain.from_iterable(
            sub_request.attempts for sub_request in self.sub_requests
        )
        if any(attempt.may_have_executed() for attempt in tried) or any(
            sub_request.is_delegated
            or sub_request.lost_delegations
            or sub_request.is_in_answer
            for sub_request in self.sub_requests
        ):
            return RequestOutcome.INDETERMINATE
        return RequestOutcome.NOT_EXECUTED

    def handle_caller_disconnect(self) -> None:
        """End the request because its caller closed the connection."""
        if self.outcome is None:
            self._finish(RequestOutcome.CALLER_DISCONNECTED)

    def handle_shutdown(self) -> None:
        """End the request because the process is about to exit."""
        if self.outcome is None:
            self._finish(self._classify_timeout())

    def _compute_pause_s(self, now: float) -> float:
        """Return when enough replicas want requests again, in seconds from now."""
        pauses_s = sorted(
            self._selector.compute_pause_s(sub_request.service, now)
            for sub_request in self.sub_requests
        )
        return pauses_s[self._required_count - 1]

    def _finish(self, outcome: RequestOutcome) -> None:
        self.outcome = outcome
        if outcome is RequestOutcome.NOT_EXECUTED and self.retry_after_s is None:
            pause_s = self._compute_pause_s(self.loop.now())
            self.retry_after_s = pause_s if 0.0 < pause_s < math.inf else None
        if self._timer is not None:
            self._timer.cancel()
        pending = [
            attempt
            for sub_request in self.sub_requests
            for attempt in sub_request.attempts
            if attempt.ended_at is None
        ]
        self._withdraw_unsent(pending)
        self._end_delegations(outcome)
        sent = [attempt for attempt in pending if attempt.sent_at is not None]
        attempt_records.record_overdue(
            pending, self.shared, self._latency_estimator, self.loop.now()
        )
        if (
            sent
            and outcome is RequestOutcome.CALLER_DISCONNECTED
            and self.is_idempotent
        ):
            self._cancel_unanswered(sent)
        elif sent:
            read_timeout_s = (
                LATE_REPLY_TIMEOUT_S
                if self.is_idempotent
                else self._compute_non_idempotent_read_timeout_s()
            )
            self.loop.call_later(read_timeout_s, self._cancel_unanswered, sent)
        self._on_finished(outcome)

    def release(self) -> None:
        """Let go of the attempts and parts, once the response has been built.

        Attempts refer to this request. Without their references the memory of both is
        given back when the last of them ends, not when the garbage collector runs.
        """
        for sub_request in self.sub_requests:
            sub_request.attempts = []
            sub_request.reply = sub_request.error_reply = None
        self._answers = []
        self._delegations = []
        self._timer = None
        self._on_finished = _ignore_outcome
        self.used_connections.clear()

    def _end_delegations(self, outcome: RequestOutcome) -> None:
        """Cancel open delegations, at once if the caller is gone."""
        is_caller_gone = outcome is RequestOutcome.CALLER_DISCONNECTED
        delay_s = 0.0 if is_caller_gone else LATE_REPLY_TIMEOUT_S
        for started in self._delegations:
            if started.outcome is None:
                self.loop.call_later(delay_s, started.cancel)

    def _withdraw_unsent(self, candidates: Iterable[attempts.Attempt]) -> None:
        """Cancel the attempts that were not sent."""
        for attempt in candidates:
            if attempt.ended_at is None and attempt.sent_at is None:
                attempt.replica.forget_attempt(attempt)
                self._release_limit(attempt, self.loop.now())
                self._cancel(attempt, "withdrawn")

    def _release_limit(self, attempt: attempts.Attempt, now: float) -> None:
        if attempt.used_limit:
            attempt.used_limit = False
            self.shared.rate_limits.release(attempt.replica, now)

    def _compute_non_idempotent_read_timeout_s(self) -> float:
        return max(self.deadline_at - self.loop.now(), 0.0) + LATE_REPLY_TIMEOUT_S

    def _cancel(self, attempt: attempts.Attempt, outcome: str) -> None:
        attempt.ended_at = self.loop.now()
        attempt.outcome = outcome
        self.shared.meter.count(metrics.GATEWAY_ATTEMPTS, outcome)
        attempt.cancel()

    def _cancel_unanswered(self, pending: list[attempts.Attempt]) -> None:
        """Cancel the attempts that are still without a reply."""
        now = self.loop.now()
        for attempt in pending:
            if attempt.ended_at is None:
                attempt_records.record_unanswered(attempt, self._latency_estimator, now)
                self._cancel(attempt, "given-up")


def _ignore_outcome(_outcome: RequestOutcome) -> None:
    """Take the place of the callback of a request that has an outcome."""
