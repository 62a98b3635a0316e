"""One request on its way: attempts, hedges, retries, and when its answer goes.

A request to one service has one slot, a query over shards one for each shard. Every
slot needs one sound reply. The operation runs in callbacks of the event loop and
calls back once, when it concludes.
"""

import enum
import itertools
import math
from collections.abc import Callable, Collection, Mapping

from corianderrill import metrics, names
from corianderrill.gateway import (
    attempts,
    connections,
    event_log,
    replica_selection,
    replicas,
    replies,
    routes,
    shared_state,
)
from corianderrill.platform import requests

# From the decision to answer until the caller has the answer; more for each part,
# whose reply may just be read.
ANSWER_DELIVERY_MARGIN_S = 0.0102
ANSWER_MARGIN_A_PART_S = 0.00008
END_MARGIN_S = 0.015
# After its goal, a query waits this many goals more for the parts still missing.
LATE_GOALS = 1.0
# A reply that lost against another is still read for this long.
LINGER_S = 0.3
HEDGE_RETRY_S = 0.006
# A second attempt that is sent so many expected times before the goal may be on time.
LAST_HEDGE_EXPECTED = 1.4
LAST_HEDGE_STEP_S = 0.01
# Where more of the parts are missing at that time, it is not for single replicas.
LAST_HEDGE_SHARE = 0.15
UNSENT_AT_MOST = 3
HEDGE_REASON = "hedge"
# An attempt that waits for so many hedge delays is a sign of silence.
SILENCE_HEDGES = 2.0
DEFAULT_CAP = 16


class RequestOutcome(enum.Enum):
    """How an operation ended."""

    COMPLETE = "answered"
    PARTIAL = "partial"
    ERROR_REPLY = "failed"
    NOT_EXECUTED = "not-run"
    INDETERMINATE = "broken"
    TIMED_OUT = "timed-out"
    CALLER_DISCONNECTED = "abandoned"


class RequestCoordinator:
    """The attempts of one request, until its answer is decided."""

    def __init__(
        self,
        shared: shared_state.SharedState,
        request: requests.InboundRequest,
        route: routes.Route,
        services: tuple[names.ServiceName, ...],
        call_back: Callable[[RequestOutcome], None],
        answer_margin_s: float = ANSWER_DELIVERY_MARGIN_S,
    ) -> None:
        self.tools = shared
        self.loop = shared.loop
        self._call_back = call_back
        self.request = request
        self.route = route
        self.is_idempotent = route.retry_safety is routes.RetrySafety.IDEMPOTENT
        self._may_hedge = self.is_idempotent and route.max_attempts > 1
        self.sub_requests = [attempts.SubRequest(service) for service in services]
        self.outcome: RequestOutcome | None = None
        self._good = 0
        self._over = 0
        self.extra_attempts = 0
        self.denied_extra_attempts = 0
        started_at = request.received_at
        left_s = min(request.deadline_s, route.timeout_s)
        self.deadline_at = started_at + max(left_s - END_MARGIN_S, 0.5 * left_s)
        margin_s = answer_margin_s + ANSWER_MARGIN_A_PART_S * len(services)
        self._goal_at = started_at + max(route.goal_s - margin_s, 0.0)
        self._late_at = self._goal_at + LATE_GOALS * route.goal_s
        self._waits = shared.get_latency_estimator(route)
        self._needed = route.count_required_parts(len(self.sub_requests))
        self._last_hedge_at = -math.inf
        self._timer = None
        configuration = shared.view.configuration
        self.version = configuration.version
        self._services: Mapping[names.ServiceName, routes.Service] = (
            configuration.services
        )

    def start(self) -> None:
        """Send the first attempts; the conclusion may follow at once."""
        now = self.loop.now()
        self._waits.refresh(now)
        ahead_s = LAST_HEDGE_EXPECTED * self._waits.expected_s
        self._last_hedge_at = self._goal_at - ahead_s
        self.tools.retry_budget.record_requests(
            tuple(slot.service for slot in self.sub_requests), now
        )
        for slot in self.sub_requests:
            if self.outcome is None:
                self._launch(slot, "first", now)
        self._check(self.loop.now())
        if self.outcome is None:
            self._arm(self.loop.now())

    # Sending.

    def _launch(self, slot: attempts.SubRequest, why: str, now: float) -> bool:
        """Send an attempt to the best replica that was not tried; false if none."""
        replica = self._choose(slot, now)
        if replica is None:
            if not slot.has_pending_attempt():
                self._end_slot(slot)
            return False
        self._send(slot, replica, why, now)
        return True

    def _send(
        self, slot: attempts.SubRequest, replica: replicas.Replica, why: str, now: float
    ) -> None:
        attempt = attempts.Attempt(self, slot, replica, why, now)
        slot.attempts.append(attempt)
        replica.record_start(attempt, now)
        service = self._services.get(slot.service)
        cap = DEFAULT_CAP if service is None else service.max_connections
        is_near = replica.registration.zone == self.tools.zone
        address = replica.registration.address
        attempt.pool = self.tools.pools.get(address, cap, is_near)
        connection = attempt.pool.send(attempt)
        if attempt.connection is None:
            attempt.connection = connection

    def _choose(self, slot: attempts.SubRequest, now: float) -> replicas.Replica | None:
        """Return the best replica that the route allows for one more attempt.

        Where no further replica is allowed, one that refused may be asked again.
        """
        view = self.tools.view
        if len(slot.list_reached_replicas()) >= self.route.max_attempts:
            return self._choose_of(slot.list_refusing_replicas(), now)
        tried = [attempt.replica for attempt in slot.attempts]
        ready = view.list_ready(slot.service)
        return (
            self._choose_of(ready, now, tried)
            or self._choose_of(view.list_fallback(slot.service, now), now, tried)
            or self._choose_of(slot.list_refusing_replicas(), now)
        )

    def _choose_of(
        self,
        candidates: list[replicas.Replica],
        now: float,
        tried: Collection[replicas.Replica] = (),
    ) -> replicas.Replica | None:
        shared = self.tools
        return replica_selection.select_replica(
            candidates,
            shared.zone,
            shared.zone_detector,
            self._waits.expected_s,
            now,
            shared.rng,
            tried,
        )

    def _repeat(
        self, slot: attempts.SubRequest, why: str, waited_s: float, now: float
    ) -> bool:
        """Send one more attempt if route, allowance and replicas permit it."""
        replica = self._choose(slot, now)
        if replica is None:
            return False
        if why == HEDGE_REASON and not replica.is_available(now):
            # The first attempt is likelier to end than one that cannot connect.
            return False
        if not self.tools.retry_budget.try_spend(slot.service, now):
            self.denied_extra_attempts += 1
            self.tools.meter.count(metrics.GATEWAY_REPEATS_DENIED)
            return False
        self.extra_attempts += 1
        self._send(slot, replica, why, now)
        self.tools.meter.count(metrics.GATEWAY_REPEATS, why)
        self.tools.log.record(
            event_log.Repeated(
                request_id=self.request.id,
                service=slot.service,
                replica=replica.id,
                why=why,
                waited_ms=round(1000 * waited_s, 1),
                outcome="sent",
            )
        )
        return True

    # Replies.

    def handle_attempt_end(
        self,
        attempt: attempts.Attempt,
        ended: connections.RawReply | connections.FailedExchange,
    ) -> None:
        """Take the end of an attempt."""
        now = self.loop.now()
        attempt.ended_at = now
        match ended:
            case connections.RawReply():
                reply = requests.decode_reply(ended)
                verdict = replies.classify_reply(reply, self.request.id)
            case connections.FailedExchange(sent=sent):
                reply = None
                verdict = (
                    replies.AttemptOutcome.UNUSABLE
                    if sent
                    else replies.AttemptOutcome.UNSENT
                )
        attempt.outcome = verdict.value
        self.tools.meter.count(metrics.GATEWAY_ATTEMPTS, verdict.value)
        if reply is not None:
            self.tools.zone_detector.record_reply(
                attempt.replica.registration.zone, now
            )
        self._observe(attempt, verdict, now)
        if self.outcome is not None:
            return
        self._settle(attempt.sub_request, attempt, verdict, reply, now)
        self._check(now)

    def _observe(
        self, attempt: attempts.Attempt, verdict: replies.AttemptOutcome, now: float
    ) -> None:
        replica = attempt.replica
        match verdict:
            case replies.AttemptOutcome.SUCCESS:
                latency_s = now - (attempt.sent_at or attempt.started_at)
                ratio = latency_s / self._waits.expected_s
                replica.record_success(attempt, ratio, now)
                self._waits.record(latency_s)
            case replies.AttemptOutcome.ERROR_REPLY | replies.AttemptOutcome.UNUSABLE:
                replica.record_failure(attempt, now)
            case replies.AttemptOutcome.NOT_EXECUTED:
                replica.record_refusal(attempt, now)
            case replies.AttemptOutcome.MISDIRECTED:
                replica.record_replaced(attempt)
            case replies.AttemptOutcome.UNSENT:
                replica.record_connect_failure(attempt, now)

    def _settle(
        self,
        slot: attempts.SubRequest,
        attempt: attempts.Attempt,
        verdict: replies.AttemptOutcome,
        reply: replies.Reply | None,
        now: float,
    ) -> None:
        """Decide what an end means for its slot."""
        if slot.is_done:
            return
        if verdict is replies.AttemptOutcome.SUCCESS:
            slot.reply = reply
            self._good += 1
            self._end_slot(slot)
            return
        if verdict is replies.AttemptOutcome.ERROR_REPLY:
            slot.error_reply = reply
        waited_s = now - attempt.started_at
        if verdict is replies.AttemptOutcome.UNSENT:
            if len(slot.attempts) <= UNSENT_AT_MOST and self._launch(
                slot, "unreachable", now
            ):
                return
        elif self._may_retry(verdict) and self._repeat(
            slot, verdict.value, waited_s, now
        ):
            return
        if not slot.has_pending_attempt():
            self._end_slot(slot)

    def _end_slot(self, slot: attempts.SubRequest) -> None:
        if not slot.is_done:
            slot.is_done = True
            self._over += 1

    def _may_retry(self, verdict: replies.AttemptOutcome) -> bool:
        if verdict in (
            replies.AttemptOutcome.NOT_EXECUTED,
            replies.AttemptOutcome.MISDIRECTED,
        ):
            return True
        return self.is_idempotent

    # Time.

    def _arm(self, now: float) -> None:
        due = min(self._next_hedge(now), self.deadline_at)
        if now < self._goal_at:
            due = min(due, self._goal_at)
        elif now < self._late_at:
            due = min(due, self._late_at)
        delay_s = max(due - now, 0.0)
        self._timer = self.loop.call_later(delay_s, self._tick)

    def _next_hedge(self, now: float) -> float:
        if not self._may_hedge:
            return math.inf
        due = [
            slot.attempts[-1].started_at + self._waits.hedge_delay_s
            for slot in self._list_hedgeable()
        ]
        if not due:
            return math.inf
        if now < self._goal_at:
            due.append(max(self._last_hedge_at, now + LAST_HEDGE_STEP_S))
        return max(min(due), now + HEDGE_RETRY_S)

    def _list_hedgeable(self) -> list[attempts.SubRequest]:
        return [
            slot
            for slot in self.sub_requests
            if not slot.is_done
            and len(slot.list_reached_replicas()) < self.route.max_attempts
        ]

    def _tick(self) -> None:
        if self.outcome is not None:
            return
        now = self.loop.now()
        if self._may_hedge:
            self._hedge(now)
        self._check(now)
        if self.outcome is None:
            self._arm(now)

    def _hedge(self, now: float) -> None:
        slots = self._list_hedgeable()
        few = max(1.0, LAST_HEDGE_SHARE * len(self.sub_requests))
        is_last = self._last_hedge_at <= now < self._goal_at and len(slots) <= few
        for slot in slots:
            waited_s = now - slot.attempts[-1].started_at
            if is_last or waited_s >= self._waits.hedge_delay_s:
                self._repeat(slot, HEDGE_REASON, waited_s, now)

    # The conclusion.

    def _check(self, now: float) -> None:
        """Conclude where the answer is decided."""
        if self.outcome is not None:
            return
        total = len(self.sub_requests)
        good = self._good
        over = self._over
        possible = total - over + good
        if good == total:
            self._conclude(RequestOutcome.COMPLETE)
        elif possible < self._needed:
            self._conclude(self._describe_failure())
        elif over == total:
            self._conclude(RequestOutcome.PARTIAL)
        elif now >= self.deadline_at:
            partial = good >= self._needed
            self._conclude(
                RequestOutcome.PARTIAL if partial else RequestOutcome.TIMED_OUT
            )
        elif good >= self._needed and self._is_time_to_answer(now):
            self._conclude(RequestOutcome.PARTIAL)

    def _is_time_to_answer(self, now: float) -> bool:
        """Tell whether waiting for the rest would serve the caller less."""
        if now >= self._late_at:
            return True
        return self._goal_at <= now < self._goal_at + ANSWER_DELIVERY_MARGIN_S

    def _describe_failure(self) -> RequestOutcome:
        if len(self.sub_requests) == 1 and self.sub_requests[0].error_reply is not None:
            return RequestOutcome.ERROR_REPLY
        tried = itertools.chain.from_iterable(
            slot.attempts for slot in self.sub_requests
        )
        if any(attempt.may_have_executed() for attempt in tried):
            return RequestOutcome.INDETERMINATE
        return RequestOutcome.NOT_EXECUTED

    def handle_caller_disconnect(self) -> None:
        """End the operation since its caller has left."""
        if self.outcome is None:
            self._conclude(RequestOutcome.CALLER_DISCONNECTED)

    def _conclude(self, conclusion: RequestOutcome) -> None:
        self.outcome = conclusion
        if self._timer is not None:
            self._timer.cancel()
        waiting = [
            attempt
            for slot in self.sub_requests
            for attempt in slot.attempts
            if attempt.ended_at is None
        ]
        unsent = [attempt for attempt in waiting if attempt.sent_at is None]
        for attempt in unsent:
            attempt.replica.forget_attempt(attempt)
            self._cancel(attempt, "withdrawn")
        sent = [attempt for attempt in waiting if attempt.sent_at is not None]
        self._note_silence(waiting)
        if (
            sent
            and conclusion is RequestOutcome.CALLER_DISCONNECTED
            and self.is_idempotent
        ):
            self._give_up(sent)
        elif sent:
            linger_s = LINGER_S if self.is_idempotent else self._read_left()
            self.loop.call_later(linger_s, self._give_up, sent)
        self._call_back(conclusion)

    def _note_silence(self, waiting: list[attempts.Attempt]) -> None:
        """Note the zones of attempts that waited long, connected or not."""
        now = self.loop.now()
        long_s = SILENCE_HEDGES * self._waits.hedge_delay_s
        for attempt in waiting:
            if now - attempt.started_at < long_s:
                continue
            zone = attempt.replica.registration.zone
            if self.tools.zone_detector.record_overdue_attempt(
                zone, attempt.started_at, now
            ):
                self.tools.log.record(event_log.ZoneSuspected(zone, attempt.replica.id))

    def _read_left(self) -> float:
        return max(self.deadline_at - self.loop.now(), 0.0) + LINGER_S

    def _cancel(self, attempt: attempts.Attempt, outcome: str) -> None:
        attempt.ended_at = self.loop.now()
        attempt.outcome = outcome
        self.tools.meter.count(metrics.GATEWAY_ATTEMPTS, outcome)
        attempt.cancel()

    def _give_up(self, waiting: list[attempts.Attempt]) -> None:
        """Close what no reply came on; its age is what was seen of the replica."""
        now = self.loop.now()
        for attempt in waiting:
            if attempt.ended_at is not None:
                continue
            ratio = (now - attempt.sent_at) / self._waits.expected_s
            attempt.replica.record_timeout(attempt, ratio, now)
            self._cancel(attempt, "given-up")
