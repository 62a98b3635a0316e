"""Delegation of sub-requests of a query to aggregators, and the choice of what to send.

A host that is asked rarely delegates a whole query to an aggregator of its zone. A host
that sends sub-requests itself delegates those whose best replica is in another zone to
an aggregator there, which merges the parts before they cross between zones.
"""

import dataclasses
import enum
import itertools
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Protocol

from corianderrill import metrics, names
from corianderrill.gateway import (
    aggregators,
    attempts,
    connections,
    delegation_messages,
    event_log,
    pools,
    replica_notices,
    routes,
    send_order,
    shared_state,
)
from corianderrill.platform import requests

# At this rate, in queries per second, a host's own connections stay open and its own
# observations fresh.
MIN_DIRECT_QUERIES_PER_S = 3.0
# An aggregator that has not confirmed a query after this share of its goal is taken for
# failed.
CONFIRMATION_GOAL_SHARE = 0.3
# Time in which the aggregator learns that its query was given up.
CANCEL_MARGIN_S = 0.004
# The aggregator's answer is wanted this long before the goal of the host that waits.
ANSWER_MARGIN_S = 0.004
# An aggregator that has not confirmed again that it works on a query after this time is
# taken for failed; it does so every `aggregator_app.CONFIRMATION_INTERVAL_S`.
LIVENESS_TIMEOUT_S = 0.25
# A delegation costs about as much as this many sub-requests.
MIN_DELEGATED_SHARDS = 2


class Mode(enum.Enum):
    """What a host may delegate of a query."""

    NOTHING = 1
    OTHER_ZONES = 2
    WHOLE_QUERY = 3


class Outcome(enum.Enum):
    """How a delegation ended; the values are written to the log."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LIMITED = "limited"
    UNSENT = "unsent"
    UNCONFIRMED = "unconfirmed"
    FAILED = "failed"
    OVERDUE = "overdue"
    CANCELED = "canceled"


_NOT_EXECUTED_OUTCOMES = (Outcome.REFUSED, Outcome.LIMITED)


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Sub-requests that go to one aggregator, which `may_delegate` them in turn."""

    aggregator: aggregators.Aggregator
    sub_requests: tuple[attempts.SubRequest, ...]
    may_delegate: bool = False


class Owner(Protocol):
    """The coordinator of the query."""

    request: requests.InboundRequest
    route: routes.Route
    version: routes.ConfigurationVersion
    goal_at: float
    deadline_at: float
    used_connections: set[connections.Connection]

    def handle_delegation_end(self, delegation: "Delegation") -> None:
        """Process the answer of an aggregator, or the lack of one."""


class Delegation:
    """One query to an aggregator, with its outcome."""

    idempotent = True

    def __init__(
        self,
        owner: Owner,
        shared: shared_state.SharedState,
        group: Group,
        min_parts: int,
    ) -> None:
        self._owner = owner
        self._shared = shared
        self.aggregator = group.aggregator
        self.sub_requests = group.sub_requests
        self._min_parts = min_parts
        self._may_delegate = group.may_delegate
        self._connection: connections.Connection | None = None
        self._pool: pools.ConnectionPool | None = None
        self._timer = None
        self._is_confirmed = False
        self._was_sent = False
        self._confirmation_timeout_s = CONFIRMATION_GOAL_SHARE * owner.route.goal_s
        self.started_at = shared.loop.now()
        self.outcome: Outcome | None = None
        self.answer: delegation_messages.Answer | None = None
        # Set if the aggregator refused the query because of rate limits.
        self.retry_after_s: float | None = None

    def start(self) -> None:
        """Send the query; the outcome may be decided before this returns."""
        self._timer = self._shared.loop.call_later(
            self._confirmation_timeout_s, self._handle_timer
        )
        self._pool = self._shared.get_aggregator_pool(self.aggregator.address)
        connection = self._pool.send(self)
        if self._connection is None:
            self._connection = connection

    def may_have_executed(self) -> bool:
        """Return whether a replica may have got a sub-request from the aggregator."""
        return self._was_sent and self.outcome not in _NOT_EXECUTED_OUTCOMES

    # Callbacks of the connection.

    def get_urgency(self, now: float) -> send_order.Urgency:
        """Return the rank among the queries queued for the same aggregator."""
        goal_at = self._owner.goal_at
        return send_order.Urgency(now >= goal_at, goal_at, self._owner.request.rank)

    @property
    def body(self) -> bytes:
        """Return the body of the query."""
        return self._owner.request.body

    def render(self) -> bytes:
        """Return the bytes of the query, with its remaining times."""
        now = self._shared.loop.now()
        terms = delegation_messages.Terms(
            version=self._owner.version,
            shards=tuple(sub_request.index for sub_request in self.sub_requests),
            min_parts=self._min_parts,
            goal_s=self._owner.goal_at - ANSWER_MARGIN_S - now,
            hedge_after_s=self._confirmation_timeout_s + CANCEL_MARGIN_S,
            may_delegate=self._may_delegate,
        )
        remaining_s = max(self._owner.deadline_at - now, 0.001)
        return delegation_messages.render_query(self._owner.request, terms, remaining_s)

    def on_send_start(self) -> None:
        """Record that the aggregator may get the query."""
        self._was_sent = True

    def may_send(self) -> bool:
        """Return True; an aggregator that wants no query refuses it."""
        return True

    def may_use(self, connection: connections.Connection) -> bool:
        """Return whether no other delegation of the query was sent on a connection."""
        return connection not in self._owner.used_connections

    def attach(self, connection: connections.Connection) -> None:
        """Assign the connection that carries the query."""
        self._connection = connection
        self._owner.used_connections.add(connection)

    def owns_reply(self, headers: list[tuple[bytes, bytes]]) -> bool:
        """Return whether a reply echoes the id of the request, or none."""
        return requests.echoes_request_id(headers, self._owner.request.id)

    def on_interim_reply(self) -> None:
        """Wait on, now that the aggregator has confirmed that it works on the query."""
        if self.outcome is not None:
            return
        self._is_confirmed = True
        self._timer.cancel()
        self._timer = self._shared.loop.call_later(
            LIVENESS_TIMEOUT_S, self._handle_timer
        )

    def on_result(
        self, result: connections.RawReply | connections.FailedExchange
    ) -> None:
        """Process the reply of the aggregator, or the reason why there is none."""
        if self.outcome is None:
            self._conclude(self._evaluate(result))

    def _evaluate(
        self, result: connections.RawReply | connections.FailedExchange
    ) -> Outcome:
        match result:
            case connections.FailedExchange(sent=False):
                return Outcome.UNSENT
            case connections.FailedExchange() if not self._is_confirmed:
                return Outcome.UNCONFIRMED
            case connections.FailedExchange():
                return Outcome.FAILED
        try:
            self._record_leaving(delegation_messages.parse_leaving(result))
        except delegation_messages.MessageError:
            # The log line of the delegation tells that it failed.
            return Outcome.FAILED
        if delegation_messages.is_refusal(result):
            self.retry_after_s = delegation_messages.parse_retry_after(result)
            return Outcome.REFUSED if self.retry_after_s is None else Outcome.LIMITED
        try:
            self.answer = delegation_messages.parse_answer(
                result,
                self._owner.request.id,
                [sub_request.index for sub_request in self.sub_requests],
                self._owner.route.target.top_k,
            )
        except delegation_messages.MessageError:
            # The log line of the delegation tells that it failed.
            return Outcome.FAILED
        return Outcome.ANSWERED

    def _record_leaving(
        self, leaving: Iterable[replica_notices.LeavingProcess]
    ) -> None:
        now = self._shared.loop.now()
        for process in leaving:
            self._shared.notices.record_leaving(process, now)

    def _handle_timer(self) -> None:
        if self.outcome is None:
            self._close()
            self._conclude(
                Outcome.OVERDUE if self._is_confirmed else Outcome.UNCONFIRMED
            )

    def _conclude(self, outcome: Outcome) -> None:
        self._end(outcome)
        if outcome in (Outcome.ANSWERED, Outcome.LIMITED):
            self._shared.aggregators.record_success(self.aggregator)
        else:
            now = self._shared.loop.now()
            self._shared.aggregators.record_failure(self.aggregator, now)
        self._owner.handle_delegation_end(self)

    def cancel(self) -> None:
        """End the query without an outcome for the owner; the aggregator stops too."""
        if self.outcome is None:
            self._close()
            self._end(Outcome.CANCELED)

    def _end(self, outcome: Outcome) -> None:
        self.outcome = outcome
        if self._timer is not None:
            self._timer.cancel()
        self._shared.meter.count(metrics.GATEWAY_DELEGATIONS, outcome.value)
        took_s = self._shared.loop.now() - self.started_at
        self._shared.log.record(
            event_log.QueryDelegated(
                request_id=self._owner.request.id,
                host=self.aggregator.host,
                zone=self.aggregator.key.zone,
                shards=len(self.sub_requests),
                parts=0 if self.answer is None else len(self.answer.shards),
                outcome=outcome.value,
                took_ms=round(1000 * took_s, 1),
            )
        )

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.abort(self)
        elif self._pool is not None:
            self._pool.cancel_queued(self)


def select_mode(
    shared: shared_state.SharedState, route: routes.Route, now: float
) -> Mode:
    """Return what this host delegates of a query on a route."""
    if not isinstance(route.target, routes.ScatterGather):
        return Mode.NOTHING
    if not (shared.aggregators.has_aggregators and shared.aggregators.list_keys()):
        return Mode.NOTHING
    if shared.aggregators.is_aggregator():
        return Mode.OTHER_ZONES
    if shared.query_rate.estimate_per_s(now) >= MIN_DIRECT_QUERIES_PER_S:
        return Mode.OTHER_ZONES
    return Mode.WHOLE_QUERY


def plan_whole_query(
    shared: shared_state.SharedState,
    sub_requests: Sequence[attempts.SubRequest],
    now: float,
) -> list[Group]:
    """Return one group for an aggregator of the own zone; none if there is none.

    The retry budget has to allow for sending the query again, since the aggregator may
    not confirm it.
    """
    if not all(
        shared.retry_budget.can_spend(sub_request.service, now)
        for sub_request in sub_requests
    ):
        return []
    aggregator = shared.aggregators.select(shared.zone, now, shared.rng)
    if aggregator is None:
        return []
    return [Group(aggregator, tuple(sub_requests), may_delegate=True)]


def plan_other_zones(
    shared: shared_state.SharedState,
    zones_by_sub_request: Sequence[
        tuple[attempts.SubRequest, Collection[names.ZoneName]]
    ],
    now: float,
) -> list[Group]:
    """Return groups for aggregators of other zones.

    Each sub-request comes with the zones whose replicas can take it. The zone that can
    take most of those left over gets them, then the next one.
    """
    left = dict(zones_by_sub_request)
    reachable = {
        zone
        for zone in set(itertools.chain.from_iterable(left.values()))
        if zone != shared.zone and not shared.zone_detector.is_suspect(zone, now)
    }
    groups = []
    while reachable:
        zone = max(reachable, key=_count_in(left))
        reachable.discard(zone)
        members = tuple(s for s, zones in left.items() if zone in zones)
        if len(members) < MIN_DELEGATED_SHARDS:
            break
        aggregator = shared.aggregators.select(zone, now, shared.rng)
        if aggregator is None:
            continue
        groups.append(Group(aggregator, members))
        left = {s: zones for s, zones in left.items() if zone not in zones}
    return groups


def _count_in(
    left: dict[attempts.SubRequest, Collection[names.ZoneName]],
) -> Callable[[names.ZoneName], int]:
    return lambda zone: sum(zone in zones for zones in left.values())
