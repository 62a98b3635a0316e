"""The attempts of a request: one send to one replica each, by service."""

import dataclasses
from typing import Protocol

from corianderrill import names
from corianderrill.gateway import answers, connections, loop, pools, replicas
from corianderrill.platform import requests

_NOT_RUN = (
    answers.Verdict.NOT_RUN.value,
    answers.Verdict.ELSEWHERE.value,
    answers.Verdict.UNSENT.value,
)


class Owner(Protocol):
    """The operation that an attempt belongs to."""

    request: requests.Inbound
    is_idempotent: bool
    end_at: float
    loop: loop.Loop

    def take_end(
        self,
        attempt: "Attempt",
        ended: connections.RawReply | connections.FailedExchange,
    ) -> None:
        """Take the end of an attempt."""


class Attempt:
    """One send of a request to one replica."""

    __slots__ = (
        *("operation", "slot", "replica", "why", "started_at", "sent_at"),
        *("ended_at", "outcome", "connection", "pool", "idempotent"),
    )

    def __init__(
        self,
        operation: Owner,
        slot: "Slot",
        replica: replicas.Replica,
        why: str,
        now: float,
    ) -> None:
        self.operation = operation
        self.slot = slot
        self.replica = replica
        self.why = why
        self.started_at = now
        self.sent_at: float | None = None
        self.ended_at: float | None = None
        self.outcome = "waiting"
        self.connection: connections.Connection | None = None
        self.pool: pools.ConnectionPool | None = None
        self.idempotent = operation.is_idempotent

    def render(self) -> bytes:
        """Return the request with what is left of its time."""
        left_s = self.operation.end_at - self.operation.loop.now()
        return self.operation.request.render(self.replica.id, max(left_s, 0.001))

    def on_sent(self) -> None:
        """Take note that the request is on its way."""
        self.sent_at = self.operation.loop.now()

    def attach(self, connection: connections.Connection) -> None:
        """Take the connection that was waited for."""
        self.connection = connection

    def on_result(
        self, ended: connections.RawReply | connections.FailedExchange
    ) -> None:
        """Take the end of the exchange."""
        if self.ended_at is None:
            self.operation.take_end(self, ended)

    def cancel(self) -> None:
        """Withdraw the request, or close the connection that it is on."""
        if self.connection is not None:
            self.connection.abort(self)
        elif self.pool is not None:
            self.pool.cancel_queued(self)

    def may_have_run(self) -> bool:
        """Tell whether a replica may have begun to work, as far as is known now."""
        if self.ended_at is None:
            return self.sent_at is not None
        return self.outcome not in _NOT_RUN


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """One service of the target and the attempts on its replicas."""

    service: names.ServiceName
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    reply: answers.Reply | None = None
    failure: answers.Reply | None = None
    is_over: bool = False

    def list_asked(self) -> list[replicas.Replica]:
        """Return the replicas that an attempt may have reached."""
        reached = [a.replica for a in self.attempts if a.outcome != "unsent"]
        return list(dict.fromkeys(reached))

    def list_refusing(self) -> list[replicas.Replica]:
        """Return the replicas that refused, and may be asked once more."""
        refused = [a.replica for a in self.attempts if a.outcome == "not-run"]
        return [replica for replica in refused if refused.count(replica) == 1]

    def is_waiting(self) -> bool:
        """Tell whether an attempt has not ended."""
        return any(attempt.ended_at is None for attempt in self.attempts)
