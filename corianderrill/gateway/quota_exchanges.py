"""One message to a quota lessor as the connection pools carry it, and its answer."""

import enum
from collections.abc import Mapping, Sequence
from typing import Protocol

from corianderrill import names
from corianderrill.gateway import (
    aggregators,
    connections,
    event_log,
    loop,
    quota_messages,
    quota_records,
    send_order,
)

MESSAGE_TIMEOUT_S = 1.0


class Outcome(enum.Enum):
    """How a question to a lessor ended; the values are written to the log."""

    GRANTED = "granted"
    DENIED = "denied"
    OVERDUE = "overdue"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown-workspace"


class Pool(Protocol):
    """The connections to one lessor."""

    def send(
        self, request: connections.OutboundRequest
    ) -> connections.Connection | None:
        """Send a request, or queue it."""

    def cancel_queued(self, request: connections.OutboundRequest) -> None:
        """Remove a request from the queue."""


class Link(Protocol):
    """What the host knows of one lessor."""

    holder: aggregators.Aggregator


class Client(Protocol):
    """The part of the host that sends the messages."""

    loop: loop.Loop
    log: event_log.EventLog

    def get_pool(self, address: names.Address) -> Pool:
        """Return the connections to a lessor."""

    def build_message(
        self, link: Link, asks: Mapping[names.WorkspaceName, Sequence[object]]
    ) -> quota_messages.Message:
        """Return the message for the requests that wait, as it is sent now."""

    def handle_end(self, exchange: "Exchange", outcome: Outcome) -> None:
        """Process the answer to a message, or the lack of one."""


class Exchange:
    """One message to a lessor, with its answer."""

    idempotent = True

    def __init__(
        self,
        client: Client,
        link: Link,
        asks: Mapping[names.WorkspaceName, Sequence[object]],
    ) -> None:
        self._client = client
        self.link = link
        self.asks = asks
        self.sent_at = 0.0
        self.answer: quota_messages.Answer | None = None
        self._message: quota_messages.Message | None = None
        self._is_done = False
        self._connection: connections.Connection | None = None
        self._pool: Pool | None = None
        self._timer: loop.Timer | None = None

    def start(self) -> None:
        """Send the message; its end may come before this returns."""
        self._timer = self._client.loop.call_later(
            MESSAGE_TIMEOUT_S, self._handle_timeout
        )
        self._pool = self._client.get_pool(self.link.holder.address)
        self._pool.send(self)

    def _handle_timeout(self) -> None:
        if self._is_done:
            return
        if self._connection is not None:
            self._connection.abort(self)
        else:
            self._pool.cancel_queued(self)
        self._end(Outcome.OVERDUE)

    def _end(self, outcome: Outcome) -> None:
        self._is_done = True
        self._timer.cancel()
        self._client.handle_end(self, outcome)

    # Callbacks of the connection.

    def get_urgency(self, now: float) -> send_order.Urgency:
        """Return a rank before all queries for the same host."""
        return send_order.Urgency(False, now)

    def render(self) -> bytes:
        """Return the bytes of the message. A lease counts from now."""
        self.sent_at = self._client.loop.now()
        self._message = self._client.build_message(self.link, self.asks)
        return quota_messages.render_message(self._message)

    def on_send_start(self) -> None:
        """Do nothing: `render` has set the time of sending."""

    def may_send(self) -> bool:
        """Return True; a host that is not the lessor refuses."""
        return True

    def may_use(self, connection: connections.Connection) -> bool:
        """Return True: each connection may carry any message."""
        return True

    def attach(self, connection: connections.Connection) -> None:
        """Keep the connection, so that it can be closed."""
        self._connection = connection

    def owns_reply(self, headers: list[tuple[bytes, bytes]]) -> bool:
        """Return True: a connection carries one message at a time."""
        return True

    def on_interim_reply(self) -> None:
        """Wait on."""

    def on_result(
        self, result: connections.RawReply | connections.FailedExchange
    ) -> None:
        """Process the answer of the lessor, or the reason why there is none."""
        if not self._is_done:
            self._end(self._evaluate(result))

    def _evaluate(
        self, result: connections.RawReply | connections.FailedExchange
    ) -> Outcome:
        """Return how the message ended; GRANTED if its answer is valid.

        Such an answer may deny requests: it has a grant for each workspace.
        """
        match result:
            case connections.FailedExchange():
                return Outcome.FAILED
            case connections.RawReply(status=503):
                return Outcome.REFUSED
        try:
            self.answer = quota_messages.parse_answer(result, self._message)
        except quota_messages.MessageError as error:
            self._client.log.record(
                quota_records.QuotaMessageRefused(self.link.holder.host, str(error))
            )
            return Outcome.FAILED
        return Outcome.GRANTED
