"""Attempts of a request, grouped into sub-requests.

An attempt is sent to one replica; a sub-request holds the attempts for one service.
"""

import dataclasses
from typing import Protocol

from corianderrill import names
from corianderrill.gateway import (
    connections,
    loop,
    pools,
    replicas,
    replies,
    send_order,
)
from corianderrill.platform import requests

# The outcome of an attempt that was cancelled before it was sent.
WITHDRAWN = "withdrawn"
_NOT_EXECUTED_OUTCOMES = (
    replies.AttemptOutcome.NOT_EXECUTED.value,
    replies.AttemptOutcome.MISDIRECTED.value,
    replies.AttemptOutcome.UNSENT.value,
)


class AttemptOwner(Protocol):
    """The coordinator that an attempt reports to."""

    request: requests.InboundRequest
    is_idempotent: bool
    deadline_at: float
    goal_at: float
    loop: loop.Loop
    # Those that carried an attempt of the request.
    used_connections: set[connections.Connection]

    def handle_attempt_end(
        self,
        attempt: "Attempt",
        result: connections.RawReply | connections.FailedExchange,
    ) -> None:
        """Process the reply of an attempt, or the reason that there is none."""


class Attempt:
    """One attempt to get a reply from one replica.

    `started_at` is when the connection pool got it, `sent_at` when a connection began
    to send it. `used_limit` is set if it counts toward the rate limit of its replica.
    """

    __slots__ = (
        *("owner", "sub_request", "replica", "reason", "started_at", "sent_at"),
        *("ended_at", "outcome", "connection", "pool", "idempotent"),
        "used_limit",
    )

    def __init__(
        self,
        owner: AttemptOwner,
        sub_request: "SubRequest",
        replica: replicas.Replica,
        reason: str,
        now: float,
    ) -> None:
        self.owner = owner
        self.sub_request = sub_request
        self.replica = replica
        self.reason = reason
        self.started_at = now
        self.sent_at: float | None = None
        self.ended_at: float | None = None
        self.outcome = "waiting"
        self.connection: connections.Connection | None = None
        self.pool: pools.ConnectionPool | None = None
        self.idempotent = owner.is_idempotent
        self.used_limit = False

    @property
    def body(self) -> bytes:
        """Return the body of the request, which its attempts share."""
        return self.owner.request.body

    def render(self) -> bytes:
        """Return the bytes of the request, with its remaining time as the deadline."""
        remaining_s = self.owner.deadline_at - self.owner.loop.now()
        return self.owner.request.render_sub_request(
            self.replica.id, max(remaining_s, 0.001)
        )

    def get_urgency(self, now: float) -> send_order.Urgency:
        """Return the rank of the attempt among those queued for the same replica."""
        goal_at = self.owner.goal_at
        return send_order.Urgency(now >= goal_at, goal_at, self.owner.request.rank)

    def on_send_start(self) -> None:
        """Record when sending the request starts."""
        self.sent_at = self.owner.loop.now()

    def may_send(self) -> bool:
        """Return whether the replica is not evacuated and wants no pause since."""
        return self.replica.accepts_requests(self.owner.loop.now())

    def may_use(self, connection: connections.Connection) -> bool:
        """Return whether no attempt of the request was sent on a connection.

        All have the same id. A second copy of the reply to an earlier one, which may
        come late, could not be told from the reply to this one.
        """
        return connection not in self.owner.used_connections

    def attach(self, connection: connections.Connection) -> None:
        """Assign the connection that carries the attempt."""
        self.connection = connection
        self.owner.used_connections.add(connection)

    def owns_reply(self, headers: list[tuple[bytes, bytes]]) -> bool:
        """Return whether a reply echoes the id of the request, or none."""
        return requests.echoes_request_id(headers, self.owner.request.id)

    def on_interim_reply(self) -> None:
        """Ignore an interim reply of a replica."""

    def on_result(
        self, result: connections.RawReply | connections.FailedExchange
    ) -> None:
        """Report the reply, or the failure, to the coordinator."""
        if self.ended_at is None:
            self.owner.handle_attempt_end(self, result)

    def cancel(self) -> None:
        """Close the connection of the attempt, or remove it from the pool's queue."""
        if self.connection is not None:
            self.connection.abort(self)
        elif self.pool is not None:
            self.pool.cancel_queued(self)

    def may_have_executed(self) -> bool:
        """Return whether the replica may have executed it, as far as is known now."""
        if self.ended_at is None:
            return self.sent_at is not None
        return self.outcome not in _NOT_EXECUTED_OUTCOMES


@dataclasses.dataclass(slots=True, eq=False)
class SubRequest:
    """The part of a request that goes to one service, and its attempts.

    `index` is the position of the service among those of the route. `reply` is the
    first success, `error_reply` the last error reply that the caller may get. `is_done`
    is set on success, or when no attempt is pending and none can follow. While
    `is_delegated`, another host sends the attempts. `is_limited` is set if no attempt
    was sent because of rate limits. `is_in_answer` is set if the part came with that
    host's answer; `lost_delegations` counts hosts that may have sent an attempt and did
    not answer. While `is_awaiting_liveness`, it is not known whether a replica has
    ended under it.
    """

    service: names.ServiceName
    index: int = 0
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    reply: replies.Reply | None = None
    error_reply: replies.Reply | None = None
    is_done: bool = False
    is_delegated: bool = False
    is_limited: bool = False
    is_in_answer: bool = False
    lost_delegations: int = 0
    is_awaiting_liveness: bool = False

    @property
    def has_part(self) -> bool:
        """Whether the part of this sub-request was received."""
        return self.reply is not None or self.is_in_answer

    def count_attempted_replicas(self) -> int:
        """Return how many replicas may have got an attempt, as far as is known."""
        return len(self.list_attempted_replicas()) + self.lost_delegations

    def list_attempted_replicas(self) -> list[replicas.Replica]:
        """Return the replicas of all attempts except those that could not be sent."""
        reached = [
            attempt.replica for attempt in self.attempts if attempt.outcome != "unsent"
        ]
        return list(dict.fromkeys(reached))

    def list_replicas_to_retry(self) -> list[replicas.Replica]:
        """Return the replicas that refused exactly once; each may be retried once."""
        refused = [
            attempt.replica
            for attempt in self.attempts
            if attempt.outcome == replies.AttemptOutcome.NOT_EXECUTED.value
        ]
        return [replica for replica in refused if refused.count(replica) == 1]

    def has_pending_attempt(self) -> bool:
        """Return whether an attempt is still without an outcome, or about to follow."""
        return self.is_awaiting_liveness or any(
            attempt.ended_at is None for attempt in self.attempts
        )
