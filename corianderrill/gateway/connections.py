"""Connections to backend servers: one request at a time, replies by callback.

A connection stays registered with the event loop for its whole life, so that an
idle one that is closed, or that sends bytes nobody asked for, is dropped at once.
urllib3 needs a green thread and several turns of the event loop for each of the
many requests of a query; here a query sends all of them and then waits once.
"""

import dataclasses
import enum
import errno
import socket as socket_constants
import time
from collections.abc import Callable
from typing import Protocol

import httptools
from eventlet import hubs, patcher

from corianderrill import names

# The plain socket: all calls below are non-blocking.
socket = patcher.original("socket")

RECEIVE_BYTES = 65_536
REPLY_BYTES_AT_MOST = 32 * 1_048_576
# Unacknowledged bytes for longer than this end the connection.
USER_TIMEOUT_MS = 2_000
CONNECT_TIMEOUT_S = 1.0
# A server closes an idle connection after a time that it tells in whole seconds.
IDLE_TIMEOUT_MARGIN_S = 0.6
IDLE_UNTOLD_S = 4.0
# `TCP_USER_TIMEOUT` of Linux.
TCP_USER_TIMEOUT = getattr(socket_constants, "TCP_USER_TIMEOUT", 18)


class Failure(enum.Enum):
    """Why no whole reply came."""

    UNREACHABLE = "unreachable"
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"


@dataclasses.dataclass(frozen=True, slots=True)
class RawReply:
    """A whole reply as received."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FailedExchange:
    """No whole reply; `sent` tells whether any byte of the request went out."""

    failure: Failure
    sent: bool


class OutboundRequest(Protocol):
    """What wants a request sent and its reply."""

    idempotent: bool

    def render(self) -> bytes:
        """Return the bytes of the request; called as they are sent."""

    def on_sent(self) -> None:
        """Take note that the request is on its way."""

    def on_result(self, ended: RawReply | FailedExchange) -> None:
        """Take the reply, or why there is none."""


class Owner(Protocol):
    """The pool that a connection belongs to."""

    address: names.Address

    def release(self, connection: "Connection") -> None:
        """Take a connection that is idle again."""

    def discard(self, connection: "Connection") -> None:
        """Drop a connection that is closed."""


class _State(enum.Enum):
    CONNECTING = 1
    IDLE = 2
    BUSY = 3
    CLOSED = 4


class Connection:
    """One connection; owned by the pool of its replica."""

    def __init__(self, owner: Owner, sender: OutboundRequest) -> None:
        self._owner = owner
        self._sender: OutboundRequest | None = sender
        self._hub = hubs.get_hub()
        self._unsent = b""
        self._reader = None
        self._writer = None
        self._state = _State.CONNECTING
        self.idle_since = 0.0
        self.idle_timeout_s = IDLE_UNTOLD_S
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self._fd = self._sock.fileno()
        self._timer = None

    def connect(self) -> None:
        """Begin to connect; the request follows when that is done."""
        address = self._owner.address
        code = self._sock.connect_ex((address.ip, address.port))
        if code not in (0, errno.EINPROGRESS):
            self._end(Failure.UNREACHABLE)
            return
        self._timer = self._hub.schedule_call_global(
            CONNECT_TIMEOUT_S, self._end, Failure.UNREACHABLE
        )
        self._writer = self._listen(self._hub.WRITE, self._finish_connect)

    def _listen(self, kind: str, callback: Callable[[int], None]) -> object:
        return self._hub.add(
            kind, self._fd, callback, self._throw, self._mark_as_closed
        )

    def _throw(self, *_: object) -> None:
        self._end(Failure.RESET)

    def _mark_as_closed(self) -> None:
        self._end(Failure.RESET)

    def _finish_connect(self, _fd: int) -> None:
        if self._state is not _State.CONNECTING:
            return
        self._stop_writing()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._end(Failure.UNREACHABLE)
            return
        self._reader = self._listen(self._hub.READ, self._read)
        if self._sender is None:
            self._rest()
            return
        self._send()

    def send(self, sender: OutboundRequest) -> None:
        """Send a request on an idle connection."""
        self._sender = sender
        self._send()

    def _send(self) -> None:
        self._state = _State.BUSY
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._head_complete = False
        self._framed = False
        self._complete = False
        self._keep = True
        self._parser = httptools.HttpResponseParser(self)
        self._unsent = self._sender.render()
        self._sender.on_sent()
        self._write(self._fd)

    def _write(self, _fd: int) -> None:
        if self._state is not _State.BUSY:
            return
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._end(Failure.RESET)
            return
        self._unsent = self._unsent[sent:] if sent < len(self._unsent) else b""
        if not self._unsent:
            self._stop_writing()
        elif self._writer is None:
            self._writer = self._listen(self._hub.WRITE, self._write)

    def _stop_writing(self) -> None:
        if self._writer is not None:
            self._hub.remove(self._writer)
            self._writer = None

    def _read(self, _fd: int) -> None:
        if self._state is _State.CLOSED:
            return
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._end(Failure.RESET)
            return
        if self._state is _State.IDLE:
            # Closed by the server, or bytes that belong to no request.
            self._close()
            return
        if not data:
            self._finish_at_close()
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self._complete:
                self._end(Failure.MALFORMED)
                return
            self._keep = False
        if self._complete:
            self._deliver()
        elif self._size > REPLY_BYTES_AT_MOST:
            self._end(Failure.TOO_LARGE)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Take note that bytes after a whole reply are no part of it."""
        if self._complete:
            self._keep = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the reply."""
        if not self._complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Read how the body is framed."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        fields = dict(self._headers)
        self._framed = (
            b"content-length" in fields
            or b"chunked" in fields.get(b"transfer-encoding", b"").lower()
        )
        self._head_complete = True

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        if not self._complete:
            self._chunks.append(body)
            self._size += len(body)

    def on_message_complete(self) -> None:
        """Take the reply as whole, unless it was an interim one."""
        if self._complete:
            return
        if self._status < 200:
            self._headers = []
            self._head_complete = False
            return
        self._complete = True
        self._keep = self._keep and self._parser.should_keep_alive()

    # Ends of an exchange.

    def _finish_at_close(self) -> None:
        if self._head_complete and not self._framed and self._status >= 200:
            self._complete = True
            self._keep = False
            self._deliver()
            return
        self._end(Failure.CLOSED)

    def _deliver(self) -> None:
        sender, self._sender = self._sender, None
        reply = RawReply(self._status, self._headers, b"".join(self._chunks))
        # Bytes of the request still unsent would be taken for the next one.
        if self._keep and not self._unsent:
            self._note_idle_time(reply)
            self._rest()
        else:
            self._close()
        sender.on_result(reply)

    def _note_idle_time(self, reply: RawReply) -> None:
        self.idle_timeout_s = IDLE_UNTOLD_S
        for name, value in reply.headers:
            if name == b"keep-alive":
                _, _, seconds = value.partition(b"timeout=")
                digits = seconds.split(b",")[0].strip()
                if digits.isdigit():
                    self.idle_timeout_s = max(0.0, int(digits) - IDLE_TIMEOUT_MARGIN_S)

    def _rest(self) -> None:
        self._state = _State.IDLE
        self.idle_since = time.monotonic()
        self._owner.release(self)

    def abort(self, sender: OutboundRequest) -> None:
        """Close the connection of a request whose reply is no longer wanted."""
        if self._sender is sender:
            self._sender = None
            self._close()

    def close_idle(self) -> None:
        """Close the connection if it is idle."""
        if self._state is _State.IDLE:
            self._close()

    def _end(self, failure: Failure) -> None:
        if self._state is _State.CLOSED:
            return
        sender, self._sender = self._sender, None
        sent = self._state is _State.BUSY
        self._close()
        if sender is not None:
            sender.on_result(FailedExchange(failure, sent))

    def _close(self) -> None:
        if self._state is _State.CLOSED:
            return
        self._state = _State.CLOSED
        if self._timer is not None:
            self._timer.cancel()
        self._stop_writing()
        if self._reader is not None:
            self._hub.remove(self._reader)
            self._reader = None
        self._sock.close()
        self._owner.discard(self)
