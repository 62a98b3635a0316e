"""Non-blocking HTTP/1.1 connections to backend servers, with replies by callback.

A connection carries one request at a time. It stays registered with the event loop
while it is open, so that an idle connection is dropped at once when the server closes
it or sends unsolicited bytes.

This module replaces urllib3, which needs a green thread and several iterations of the
event loop for each of the many sub-requests of a query. With callbacks, a query sends
all sub-requests and then waits once.
"""

import dataclasses
import enum
import errno
import socket as stdlib_socket
from collections.abc import Callable
from typing import Protocol

from eventlet import hubs, patcher

from corianderrill import names
from corianderrill.gateway import loop, reply_reader, send_queue

# The unpatched module: all socket calls below are non-blocking.
socket = patcher.original("socket")

RECEIVE_BUFFER_BYTES = 65_536
# For the replies that all connections together are receiving.
MAX_BUFFERED_BYTES = 32 * 1_048_576
# The kernel closes a connection whose sent bytes stay unacknowledged for longer.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
CONNECT_TIMEOUT_S = 1.0
# A server announces in whole seconds after how long it closes an idle connection
# (`Keep-Alive: timeout=N`). It is not reused during this last part of that time.
IDLE_TIMEOUT_MARGIN_S = 0.6
DEFAULT_IDLE_TIMEOUT_S = 4.0
MAX_IDLE_TIMEOUT_DIGITS = 9
# 18 is the value of this option on Linux.
TCP_USER_TIMEOUT = getattr(stdlib_socket, "TCP_USER_TIMEOUT", 18)


class Failure(enum.Enum):
    """Why no complete reply was received."""

    UNREACHABLE = "unreachable"
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    # The server has asked for a pause before the request was sent.
    HELD_BACK = "held-back"


@dataclasses.dataclass(frozen=True, slots=True)
class RawReply:
    """A complete HTTP reply, not yet decoded."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FailedExchange:
    """No complete reply.

    `sent` is true if sending had begun, so the server may have received the request.
    """

    failure: Failure
    sent: bool


class OutboundRequest(send_queue.QueuedRequest, reply_reader.ReplyOwner, Protocol):
    """A request to send, and the callbacks for its result.

    `body` ends what is rendered; the requests to the shards of a query share it.
    """

    idempotent: bool
    body: bytes

    def may_send(self) -> bool:
        """Return whether the server still wants the request, just before it is sent."""

    def may_use(self, connection: "Connection") -> bool:
        """Return whether an idle connection may carry the request."""

    def attach(self, connection: "Connection") -> None:
        """Accept the connection that is going to carry the request."""

    def render(self) -> bytes:
        """Return the bytes of the request; called just before they are sent."""

    def on_send_start(self) -> None:
        """Handle the start of sending; called just before the first byte is sent."""

    def on_result(self, result: RawReply | FailedExchange) -> None:
        """Handle the reply, or the reason why there is none."""


class Owner(Protocol):
    """The pool that a connection belongs to."""

    address: names.Address

    def release(self, connection: "Connection") -> None:
        """Accept a connection that is idle again."""

    def discard(self, connection: "Connection") -> None:
        """Remove a connection that is closed."""


class _State(enum.Enum):
    CONNECTING = 1
    IDLE = 2
    BUSY = 3
    CLOSED = 4


class Connection:
    """One connection to a backend server, owned by a pool.

    `buffered_bytes` counts the bytes of the incomplete replies of all connections.
    """

    buffered_bytes = 0

    def __init__(self, owner: Owner, request: OutboundRequest) -> None:
        self._owner = owner
        self._request: OutboundRequest | None = request
        self._hub = hubs.get_hub()
        self._unsent_bytes: bytes | memoryview = b""
        self._read_listener = None
        self._write_listener = None
        self._state = _State.CONNECTING
        # Of the exchange under way, if any.
        self._reader: reply_reader.ReplyReader | None = None
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setsockopt(
            socket.IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
        self._fd = self._sock.fileno()
        self._connect_timer = None

    def connect(self) -> None:
        """Start to connect; the request is sent once the connection is established."""
        address = self._owner.address
        error_code = self._sock.connect_ex((address.ip, address.port))
        if error_code not in (0, errno.EINPROGRESS):
            self._fail(Failure.UNREACHABLE)
            return
        self._connect_timer = self._hub.schedule_call_global(
            CONNECT_TIMEOUT_S, self._fail, Failure.UNREACHABLE
        )
        self._write_listener = self._add_listener(self._hub.WRITE, self._on_connected)

    def _add_listener(self, event_type: str, callback: Callable[[int], None]) -> object:
        return self._hub.add(
            event_type,
            self._fd,
            callback,
            self._on_hub_error,
            self._on_descriptor_closed,
        )

    def _on_hub_error(self, *_: object) -> None:
        self._fail(Failure.RESET)

    def _on_descriptor_closed(self) -> None:
        self._fail(Failure.RESET)

    def _on_connected(self, _fd: int) -> None:
        if self._state is not _State.CONNECTING:
            return
        self._remove_write_listener()
        if self._connect_timer is not None:
            self._connect_timer.cancel()
            self._connect_timer = None
        if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail(Failure.UNREACHABLE)
            return
        self._read_listener = self._add_listener(self._hub.READ, self._on_readable)
        if self._request is None:
            self._become_idle()
            return
        if self._request.may_send():
            self._begin_exchange()
        else:
            request, self._request = self._request, None
            self._become_idle()
            request.on_result(FailedExchange(Failure.HELD_BACK, sent=False))

    def send(self, request: OutboundRequest) -> None:
        """Send a request on an idle connection."""
        self._request = request
        self._begin_exchange()

    def _begin_exchange(self) -> None:
        self._state = _State.BUSY
        self._reader = reply_reader.ReplyReader(self._request)
        self._unsent_bytes = self._request.render()
        self._request.on_send_start()
        self._on_writable(self._fd)

    def _on_writable(self, _fd: int) -> None:
        if self._state is not _State.BUSY:
            return
        try:
            sent_bytes = self._sock.send(self._unsent_bytes)
        except BlockingIOError:
            sent_bytes = 0
        except OSError:
            self._fail(Failure.RESET)
            return
        self._keep_unsent(len(self._unsent_bytes) - sent_bytes)
        if not self._unsent_bytes:
            self._remove_write_listener()
        elif self._write_listener is None:
            self._write_listener = self._add_listener(
                self._hub.WRITE, self._on_writable
            )

    def _keep_unsent(self, count: int) -> None:
        """Keep the last `count` bytes of the request, without a copy of its body."""
        if count == 0:
            self._unsent_bytes = b""
            return
        body = self._request.body
        source = body if count <= len(body) else self._unsent_bytes
        self._unsent_bytes = memoryview(source)[len(source) - count :]

    def _remove_write_listener(self) -> None:
        if self._write_listener is not None:
            self._hub.remove(self._write_listener)
            self._write_listener = None

    def _on_readable(self, _fd: int) -> None:
        if self._state is _State.CLOSED:
            return
        try:
            data = self._sock.recv(RECEIVE_BUFFER_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._fail(Failure.RESET)
            return
        if self._state is _State.IDLE:
            # The server closed the connection or sent bytes without a request.
            self._close()
            return
        if not data:
            self._on_end_of_stream()
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        Connection.buffered_bytes += len(data)
        progress = self._reader.feed(data)
        match progress:
            case reply_reader.Progress.COMPLETE:
                self._deliver_reply()
            case reply_reader.Progress.MALFORMED:
                self._fail(Failure.MALFORMED)
            case reply_reader.Progress.TOO_LARGE:
                self._fail(Failure.TOO_LARGE)
            case _ if Connection.buffered_bytes > MAX_BUFFERED_BYTES:
                self._fail(Failure.TOO_LARGE)

    # The end of an exchange.

    def _on_end_of_stream(self) -> None:
        if self._reader.end() is reply_reader.Progress.COMPLETE:
            self._deliver_reply()
            return
        self._fail(Failure.CLOSED)

    def _deliver_reply(self) -> None:
        request, self._request = self._request, None
        reader = self._reader
        reply = RawReply(reader.status, reader.headers, reader.join_body())
        is_reusable = reader.is_reusable
        self._close_reader()
        # The server would read the unsent rest of this request as part of the next one.
        if is_reusable and not self._unsent_bytes:
            self._set_idle_timeout(reply)
            self._become_idle()
        else:
            self._close()
        request.on_result(reply)

    def _close_reader(self) -> None:
        """Let go of the bytes that were received; the connection may be kept long."""
        reader, self._reader = self._reader, None
        if reader is None:
            return
        Connection.buffered_bytes -= reader.received_bytes
        reader.close()

    def _set_idle_timeout(self, reply: RawReply) -> None:
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        for name, value in reply.headers:
            if name == b"keep-alive":
                _, _, seconds = value.partition(b"timeout=")
                digits = seconds.split(b",")[0].strip()
                if digits.isdigit() and len(digits) <= MAX_IDLE_TIMEOUT_DIGITS:
                    self.idle_timeout_s = max(0.0, int(digits) - IDLE_TIMEOUT_MARGIN_S)

    def _become_idle(self) -> None:
        self._state = _State.IDLE
        self.idle_since = loop.read_clock()
        self._owner.release(self)

    def abort(self, request: OutboundRequest) -> None:
        """Close the connection of a request whose reply is no longer needed."""
        if self._request is request:
            self._request = None
            self._close()

    def reject_held_back(self) -> bool:
        """End a request that waits for the connection to open and may not be sent.

        Return whether there was one; the connection is closed.
        """
        request = self._request
        if self._state is not _State.CONNECTING or request is None:
            return False
        if request.may_send():
            return False
        self._fail(Failure.HELD_BACK)
        return True

    def close_idle(self) -> None:
        """Close the connection if it is idle."""
        if self._state is _State.IDLE:
            self._close()

    def _fail(self, failure: Failure) -> None:
        if self._state is _State.CLOSED:
            return
        request, self._request = self._request, None
        was_sent = self._state is _State.BUSY
        self._close()
        if request is not None:
            request.on_result(FailedExchange(failure, was_sent))

    def _close(self) -> None:
        if self._state is _State.CLOSED:
            return
        self._state = _State.CLOSED
        self._close_reader()
        self._unsent_bytes = b""
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        self._remove_write_listener()
        if self._read_listener is not None:
            self._hub.remove(self._read_listener)
            self._read_listener = None
        self._sock.close()
        self._owner.discard(self)
