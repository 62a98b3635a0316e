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
    answers,
    attempts,
    choice,
    connections,
    decisions,
    replicas,
    routes,
    shared_state,
)
from corianderrill.platform import requests

# From the decision to answer until the caller has the answer; more for each part,
# whose reply may just be read.
ANSWER_MARGIN_S = 0.0102
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
HEDGE = "hedge"
# An attempt that waits for so many hedge delays is a sign of silence.
SILENCE_HEDGES = 2.0
DEFAULT_CAP = 16


class Conclusion(enum.Enum):
    """How an operation ended."""

    ANSWERED = "answered"
    PARTIAL = "partial"
    FAILED = "failed"
    NOT_RUN = "not-run"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    ABANDONED = "abandoned"


class Operation:
    """The attempts of one request, until its answer is decided."""

    def __init__(
        self,
        shared: shared_state.SharedState,
        request: requests.Inbound,
        route: routes.Route,
        services: tuple[names.ServiceName, ...],
        call_back: Callable[[Conclusion], None],
        answer_margin_s: float = ANSWER_MARGIN_S,
    ) -> None:
        self.tools = shared
        self.loop = shared.loop
        self._call_back = call_back
        self.request = request
        self.route = route
        self.is_idempotent = route.repeatability is routes.Repeatability.IDEMPOTENT
        self._may_hedge = self.is_idempotent and route.max_attempts > 1
        self.slots = [attempts.Slot(service) for service in services]
        self.conclusion: Conclusion | None = None
        self._good = 0
        self._over = 0
        self.repeats = 0
        self.denied = 0
        started_at = request.received_at
        left_s = min(request.deadline_s, route.timeout_s)
        self.end_at = started_at + max(left_s - END_MARGIN_S, 0.5 * left_s)
        margin_s = answer_margin_s + ANSWER_MARGIN_A_PART_S * len(services)
        self._goal_at = started_at + max(route.goal_s - margin_s, 0.0)
        self._late_at = self._goal_at + LATE_GOALS * route.goal_s
        self._waits = shared.get_latency_estimator(route)
        self._needed = route.count_needed(len(self.slots))
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
        self.tools.allowance.earn(tuple(slot.service for slot in self.slots), now)
        for slot in self.slots:
            if self.conclusion is None:
                self._launch(slot, "first", now)
        self._check(self.loop.now())
        if self.conclusion is None:
            self._arm(self.loop.now())

    # Sending.

    def _launch(self, slot: attempts.Slot, why: str, now: float) -> bool:
        """Send an attempt to the best replica that was not tried; false if none."""
        replica = self._choose(slot, now)
        if replica is None:
            if not slot.is_waiting():
                self._end_slot(slot)
            return False
        self._send(slot, replica, why, now)
        return True

    def _send(
        self, slot: attempts.Slot, replica: replicas.Replica, why: str, now: float
    ) -> None:
        attempt = attempts.Attempt(self, slot, replica, why, now)
        slot.attempts.append(attempt)
        replica.start(attempt, now)
        service = self._services.get(slot.service)
        cap = DEFAULT_CAP if service is None else service.max_connections
        is_near = replica.registration.zone == self.tools.zone
        address = replica.registration.address
        attempt.pool = self.tools.pools.get(address, cap, is_near)
        connection = attempt.pool.send(attempt)
        if attempt.connection is None:
            attempt.connection = connection

    def _choose(self, slot: attempts.Slot, now: float) -> replicas.Replica | None:
        """Return the best replica that the route allows for one more attempt.

        Where no further replica is allowed, one that refused may be asked again.
        """
        view = self.tools.view
        if len(slot.list_asked()) >= self.route.max_attempts:
            return self._choose_of(slot.list_refusing(), now)
        tried = [attempt.replica for attempt in slot.attempts]
        ready = view.list_ready(slot.service)
        return (
            self._choose_of(ready, now, tried)
            or self._choose_of(view.list_spare(slot.service, now), now, tried)
            or self._choose_of(slot.list_refusing(), now)
        )

    def _choose_of(
        self,
        candidates: list[replicas.Replica],
        now: float,
        tried: Collection[replicas.Replica] = (),
    ) -> replicas.Replica | None:
        shared = self.tools
        return choice.choose(
            candidates,
            shared.zone,
            shared.zones,
            self._waits.expected_s,
            now,
            shared.rng,
            tried,
        )

    def _repeat(
        self, slot: attempts.Slot, why: str, waited_s: float, now: float
    ) -> bool:
        """Send one more attempt if route, allowance and replicas permit it."""
        replica = self._choose(slot, now)
        if replica is None:
            return False
        if why == HEDGE and not replica.is_available(now):
            # The first attempt is likelier to end than one that cannot connect.
            return False
        if not self.tools.allowance.try_spend(slot.service, now):
            self.denied += 1
            self.tools.meter.count(metrics.GATEWAY_REPEATS_DENIED)
            return False
        self.repeats += 1
        self._send(slot, replica, why, now)
        self.tools.meter.count(metrics.GATEWAY_REPEATS, why)
        self.tools.log.record(
            decisions.Repeated(
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

    def take_end(
        self,
        attempt: attempts.Attempt,
        ended: connections.RawReply | connections.FailedExchange,
    ) -> None:
        """Take the end of an attempt."""
        now = self.loop.now()
        attempt.ended_at = now
        match ended:
            case connections.RawReply():
                reply = requests.read_reply(ended)
                verdict = answers.judge(reply, self.request.id)
            case connections.FailedExchange(sent=sent):
                reply = None
                verdict = answers.Verdict.UNUSABLE if sent else answers.Verdict.UNSENT
        attempt.outcome = verdict.value
        self.tools.meter.count(metrics.GATEWAY_ATTEMPTS, verdict.value)
        if reply is not None:
            self.tools.zones.note_answer(attempt.replica.registration.zone, now)
        self._observe(attempt, verdict, now)
        if self.conclusion is not None:
            return
        self._settle(attempt.slot, attempt, verdict, reply, now)
        self._check(now)

    def _observe(
        self, attempt: attempts.Attempt, verdict: answers.Verdict, now: float
    ) -> None:
        replica = attempt.replica
        match verdict:
            case answers.Verdict.GOOD:
                latency_s = now - (attempt.sent_at or attempt.started_at)
                ratio = latency_s / self._waits.expected_s
                replica.answer(attempt, ratio, now)
                self._waits.record(latency_s)
            case answers.Verdict.FAILED | answers.Verdict.UNUSABLE:
                replica.fail(attempt, now)
            case answers.Verdict.NOT_RUN:
                replica.shed(attempt, now)
            case answers.Verdict.ELSEWHERE:
                replica.leave_address(attempt)
            case answers.Verdict.UNSENT:
                replica.miss(attempt, now)

    def _settle(
        self,
        slot: attempts.Slot,
        attempt: attempts.Attempt,
        verdict: answers.Verdict,
        reply: answers.Reply | None,
        now: float,
    ) -> None:
        """Decide what an end means for its slot."""
        if slot.is_over:
            return
        if verdict is answers.Verdict.GOOD:
            slot.reply = reply
            self._good += 1
            self._end_slot(slot)
            return
        if verdict is answers.Verdict.FAILED:
            slot.failure = reply
        waited_s = now - attempt.started_at
        if verdict is answers.Verdict.UNSENT:
            if len(slot.attempts) <= UNSENT_AT_MOST and self._launch(
                slot, "unreachable", now
            ):
                return
        elif self._may_retry(verdict) and self._repeat(
            slot, verdict.value, waited_s, now
        ):
            return
        if not slot.is_waiting():
            self._end_slot(slot)

    def _end_slot(self, slot: attempts.Slot) -> None:
        if not slot.is_over:
            slot.is_over = True
            self._over += 1

    def _may_retry(self, verdict: answers.Verdict) -> bool:
        if verdict in (answers.Verdict.NOT_RUN, answers.Verdict.ELSEWHERE):
            return True
        return self.is_idempotent

    # Time.

    def _arm(self, now: float) -> None:
        due = min(self._next_hedge(now), self.end_at)
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
            slot.attempts[-1].started_at + self._waits.hedge_s
            for slot in self._list_hedgeable()
        ]
        if not due:
            return math.inf
        if now < self._goal_at:
            due.append(max(self._last_hedge_at, now + LAST_HEDGE_STEP_S))
        return max(min(due), now + HEDGE_RETRY_S)

    def _list_hedgeable(self) -> list[attempts.Slot]:
        return [
            slot
            for slot in self.slots
            if not slot.is_over and len(slot.list_asked()) < self.route.max_attempts
        ]

    def _tick(self) -> None:
        if self.conclusion is not None:
            return
        now = self.loop.now()
        if self._may_hedge:
            self._hedge(now)
        self._check(now)
        if self.conclusion is None:
            self._arm(now)

    def _hedge(self, now: float) -> None:
        slots = self._list_hedgeable()
        few = max(1.0, LAST_HEDGE_SHARE * len(self.slots))
        is_last = self._last_hedge_at <= now < self._goal_at and len(slots) <= few
        for slot in slots:
            waited_s = now - slot.attempts[-1].started_at
            if is_last or waited_s >= self._waits.hedge_s:
                self._repeat(slot, HEDGE, waited_s, now)

    # The conclusion.

    def _check(self, now: float) -> None:
        """Conclude where the answer is decided."""
        if self.conclusion is not None:
            return
        total = len(self.slots)
        good = self._good
        over = self._over
        possible = total - over + good
        if good == total:
            self._conclude(Conclusion.ANSWERED)
        elif possible < self._needed:
            self._conclude(self._describe_failure())
        elif over == total:
            self._conclude(Conclusion.PARTIAL)
        elif now >= self.end_at:
            partial = good >= self._needed
            self._conclude(Conclusion.PARTIAL if partial else Conclusion.TIMED_OUT)
        elif good >= self._needed and self._is_time_to_answer(now):
            self._conclude(Conclusion.PARTIAL)

    def _is_time_to_answer(self, now: float) -> bool:
        """Tell whether waiting for the rest would serve the caller less."""
        if now >= self._late_at:
            return True
        return self._goal_at <= now < self._goal_at + ANSWER_MARGIN_S

    def _describe_failure(self) -> Conclusion:
        if len(self.slots) == 1 and self.slots[0].failure is not None:
            return Conclusion.FAILED
        tried = itertools.chain.from_iterable(slot.attempts for slot in self.slots)
        if any(attempt.may_have_run() for attempt in tried):
            return Conclusion.BROKEN
        return Conclusion.NOT_RUN

    def abandon(self) -> None:
        """End the operation since its caller has left."""
        if self.conclusion is None:
            self._conclude(Conclusion.ABANDONED)

    def _conclude(self, conclusion: Conclusion) -> None:
        self.conclusion = conclusion
        if self._timer is not None:
            self._timer.cancel()
        waiting = [
            attempt
            for slot in self.slots
            for attempt in slot.attempts
            if attempt.ended_at is None
        ]
        unsent = [attempt for attempt in waiting if attempt.sent_at is None]
        for attempt in unsent:
            attempt.replica.abandon(attempt)
            self._cancel(attempt, "withdrawn")
        sent = [attempt for attempt in waiting if attempt.sent_at is not None]
        self._note_silence(waiting)
        if sent and conclusion is Conclusion.ABANDONED and self.is_idempotent:
            self._give_up(sent)
        elif sent:
            linger_s = LINGER_S if self.is_idempotent else self._read_left()
            self.loop.call_later(linger_s, self._give_up, sent)
        self._call_back(conclusion)

    def _note_silence(self, waiting: list[attempts.Attempt]) -> None:
        """Note the zones of attempts that waited long, connected or not."""
        now = self.loop.now()
        long_s = SILENCE_HEDGES * self._waits.hedge_s
        for attempt in waiting:
            if now - attempt.started_at < long_s:
                continue
            zone = attempt.replica.registration.zone
            if self.tools.zones.note_silence(zone, attempt.started_at, now):
                self.tools.log.record(decisions.ZoneSuspected(zone, attempt.replica.id))

    def _read_left(self) -> float:
        return max(self.end_at - self.loop.now(), 0.0) + LINGER_S

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
            attempt.replica.overdue(attempt, ratio, now)
            self._cancel(attempt, "given-up")
