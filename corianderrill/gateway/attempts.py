"""The attempts of a request: one send to one replica each, by service."""

import dataclasses
from typing import Protocol

from corianderrill import names
from corianderrill.gateway import connections, loop, pools, replicas, replies
from corianderrill.platform import requests

_NOT_RUN = (
    replies.AttemptOutcome.NOT_EXECUTED.value,
    replies.AttemptOutcome.MISDIRECTED.value,
    replies.AttemptOutcome.UNSENT.value,
)


class AttemptOwner(Protocol):
    """The operation that an attempt belongs to."""

    request: requests.InboundRequest
    is_idempotent: bool
    deadline_at: float
    loop: loop.Loop

    def handle_attempt_end(
        self,
        attempt: "Attempt",
        ended: connections.RawReply | connections.FailedExchange,
    ) -> None:
        """Take the end of an attempt."""


class Attempt:
    """One send of a request to one replica."""

    __slots__ = (
        *("owner", "sub_request", "replica", "reason", "started_at", "sent_at"),
        *("ended_at", "outcome", "connection", "pool", "idempotent"),
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

    def render(self) -> bytes:
        """Return the request with what is left of its time."""
        left_s = self.owner.deadline_at - self.owner.loop.now()
        return self.owner.request.render_sub_request(
            self.replica.id, max(left_s, 0.001)
        )

    def on_send_start(self) -> None:
        """Take note that the request is on its way."""
        self.sent_at = self.owner.loop.now()

    def attach(self, connection: connections.Connection) -> None:
        """Take the connection that was waited for."""
        self.connection = connection

    def on_result(
        self, ended: connections.RawReply | connections.FailedExchange
    ) -> None:
        """Take the end of the exchange."""
        if self.ended_at is None:
            self.owner.handle_attempt_end(self, ended)

    def cancel(self) -> None:
        """Withdraw the request, or close the connection that it is on."""
        if self.connection is not None:
            self.connection.abort(self)
        elif self.pool is not None:
            self.pool.cancel_queued(self)

    def may_have_executed(self) -> bool:
        """Tell whether a replica may have begun to work, as far as is known now."""
        if self.ended_at is None:
            return self.sent_at is not None
        return self.outcome not in _NOT_RUN


@dataclasses.dataclass(slots=True, eq=False)
class SubRequest:
    """One service of the target and the attempts on its replicas."""

    service: names.ServiceName
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    reply: replies.Reply | None = None
    error_reply: replies.Reply | None = None
    is_done: bool = False

    def list_reached_replicas(self) -> list[replicas.Replica]:
        """Return the replicas that an attempt may have reached."""
        reached = [a.replica for a in self.attempts if a.outcome != "unsent"]
        return list(dict.fromkeys(reached))

    def list_refusing_replicas(self) -> list[replicas.Replica]:
        """Return the replicas that refused, and may be asked once more."""
        refused = [a.replica for a in self.attempts if a.outcome == "not-run"]
        return [replica for replica in refused if refused.count(replica) == 1]

    def has_pending_attempt(self) -> bool:
        """Tell whether an attempt has not ended."""
        return any(attempt.ended_at is None for attempt in self.attempts)
