"""Moves bytes between a caller's socket and the readers of `caller_input`, in time.

Each operation has a deadline. `caller_resources` is told what a connection holds;
a connection that is evicted from there stops at its next step.
"""

import contextlib
import dataclasses
from collections.abc import Callable, Iterable
from typing import Protocol

import eventlet
from eventlet import hubs
from eventlet.green import socket

from corianderrill.gateway import (
    caller_input,
    caller_resources,
    loop,
    unread_input,
)

RECEIVE_BYTES = 32_768
# Received without a pause, before other connections get their turn.
MAX_BYTES_AT_ONCE = 32_768
# For a caller that stalls while it sends a body or reads an answer.
STALL_TIMEOUT_S = 60.0
# Beyond that time, a body has to come, and an answer to be read, at this average.
MIN_BYTES_PER_S = 1_024.0
# Before a connection is closed on a caller that still sends, so that the answer is not
# lost with the bytes that were not read.
LINGER_S = 1.0
MAX_LINGER_BYTES = 1_048_576
# Shorter answers are sent at once, with one copy.
MAX_JOINED_BYTES = 65_536


class Reader(Protocol):
    """One of the readers of `caller_input`."""

    held_bytes: int

    def read(self, buffer: caller_input.Buffer) -> caller_input.Progress:
        """Read on from the bytes that were received."""


class BodyReader(Reader, Protocol):
    """A reader whose `body` may be cleared between the reads."""

    body: bytearray


@dataclasses.dataclass(slots=True)
class Pace:
    """The progress of a transfer, which may neither stall nor be slow on average."""

    started_at: float
    moved_at: float
    moved_bytes: int = 0

    def move(self, count: int, now: float) -> None:
        """Count bytes that were moved."""
        self.moved_bytes += count
        self.moved_at = now

    @property
    def deadline_at(self) -> float:
        """Return when the next byte has to be moved."""
        by_average = (
            self.started_at + STALL_TIMEOUT_S + self.moved_bytes / MIN_BYTES_PER_S
        )
        return min(self.moved_at + STALL_TIMEOUT_S, by_average)


class CallerStream:
    """The bytes of one connection."""

    def __init__(
        self,
        sock: object,
        holder: caller_resources.Holder,
        memory: caller_resources.BufferMemory,
    ) -> None:
        self._sock = sock
        self._holder = holder
        self._memory = memory
        self._buffer = caller_input.Buffer()
        self._bytes_since_pause = 0
        # Of the request that is being served.
        self._request_bytes = 0
        # The green thread that waits for input.
        self._receiver = None

    # Input.

    def read_head(
        self,
        reader: caller_input.HeadReader,
        idle_timeout_s: float,
        head_timeout_s: float,
    ) -> None:
        """Read the head of a request.

        Raise InputError if there is none within the limits, ConnectionError if the
        connection ends before, and TimeoutError if it stays idle.
        """
        self._enter(caller_resources.Stage.IDLE)
        self._request_bytes = 0
        if self._buffer:
            # Pipelined requests would keep others from being served.
            self._pause()
        deadline_at = loop.read_clock() + idle_timeout_s
        while not self._read_on(reader):
            if self._holder.stage is caller_resources.Stage.IDLE and (
                self._buffer or reader.request_line
            ):
                self._enter(caller_resources.Stage.READING)
                deadline_at = loop.read_clock() + head_timeout_s
            self._receive(deadline_at)
        self._request_bytes = reader.held_bytes
        self._holder.requests += 1
        self._enter(caller_resources.Stage.SERVING)

    def read_body(self, reader: BodyReader, is_kept: bool = True) -> None:
        """Read a body, and drop it unless it is kept.

        Raise InputError if it is not within the limits, and ConnectionError if the
        connection ends before.
        """
        self._enter(caller_resources.Stage.READING)
        now = loop.read_clock()
        pace = Pace(now, now)
        try:
            while not self._read_on(reader):
                if not is_kept:
                    reader.body.clear()
                pace.move(self._receive(pace.deadline_at), loop.read_clock())
        except TimeoutError as error:
            raise caller_input.TooSlowError("body-too-slow") from error
        finally:
            self._hold(0)
        if is_kept:
            self._request_bytes += reader.held_bytes
            self._hold(0)
        self._enter(caller_resources.Stage.SERVING)

    def _enter(self, stage: caller_resources.Stage) -> None:
        self._holder.stage = stage
        self._holder.since = loop.read_clock()

    def _read_on(self, reader: Reader) -> bool:
        """Read what was received; return whether the reader is done."""
        while True:
            self._check_evicted()
            progress = reader.read(self._buffer)
            self._hold(len(self._buffer) + reader.held_bytes)
            if progress is not caller_input.Progress.PAUSED:
                self._check_evicted()
                return progress is caller_input.Progress.COMPLETE
            self._pause()

    def _hold(self, count: int) -> None:
        self._memory.hold(self._holder, self._request_bytes + count)

    def _check_evicted(self) -> None:
        match self._holder.evicted_for:
            case caller_resources.Reason.MEMORY:
                raise caller_input.NoMemoryError("no-memory")
            case caller_resources.Reason.CONNECTIONS:
                raise ConnectionAbortedError("evicted for another connection")

    def _receive(self, deadline_at: float) -> int:
        """Receive bytes; return their number.

        Raise TimeoutError at the deadline, and ConnectionError if the caller has closed
        the connection.
        """
        if self._bytes_since_pause > MAX_BYTES_AT_ONCE:
            self._pause()
        data = self._receive_piece(deadline_at)
        self._check_evicted()
        if not data:
            raise ConnectionError("the caller disconnected within a request")
        self._buffer.add(data)
        self._bytes_since_pause += len(data)
        return len(data)

    def _receive_piece(self, deadline_at: float) -> bytes:
        left_s = deadline_at - loop.read_clock()
        if left_s <= 0.0:
            raise TimeoutError
        self._sock.settimeout(left_s)
        self._receiver = eventlet.getcurrent()
        try:
            return self._sock.recv(RECEIVE_BYTES)
        finally:
            self._receiver = None

    def interrupt(self) -> None:
        """Let a connection that waits for input notice that it is evicted."""
        hubs.get_hub().schedule_call_global(0, self._throw_into_receiver)

    def _throw_into_receiver(self) -> None:
        if self._receiver is not None:
            self._receiver.throw(caller_input.NoMemoryError("no-memory"))

    def has_input(self) -> bool:
        """Return whether bytes have arrived after the request that was read last."""
        is_unread = unread_input.peek(self._sock) is unread_input.Arrival.BYTES
        return bool(self._buffer) or is_unread

    def close_if_idle(self) -> None:
        """Let a connection that waits for a request end, unless one has arrived."""
        hubs.get_hub().schedule_call_global(0, self._end_idle_wait)

    def _end_idle_wait(self) -> None:
        # In one step of the event loop: nothing that arrives later is read.
        is_waiting = (
            self._receiver is not None
            and self._holder.stage is caller_resources.Stage.IDLE
        )
        if is_waiting and not self.has_input():
            self._receiver.throw(ConnectionAbortedError("the process stops"))

    def _pause(self) -> None:
        self._bytes_since_pause = 0
        eventlet.sleep(0)

    def linger(self) -> None:
        """End the output, and drop input for a while before the connection is closed.

        Closing a socket with unread input makes the caller lose the answer.
        """
        self._enter(caller_resources.Stage.READING)
        deadline_at = loop.read_clock() + LINGER_S
        dropped_bytes = 0
        with contextlib.suppress(OSError, caller_input.InputError):
            self._sock.shutdown(socket.SHUT_WR)
            while dropped_bytes < MAX_LINGER_BYTES:
                data = self._receive_piece(deadline_at)
                if not data or self._holder.evicted_for is not None:
                    return
                dropped_bytes += len(data)
                self._pause()

    # Output.

    def send(self, pieces: Iterable[bytes]) -> None:
        """Send bytes. Raise OSError if the caller does not read them in time."""
        stage = self._holder.stage
        self._enter(caller_resources.Stage.WRITING)
        joined = _join_short_pieces(pieces)
        self._hold(sum(map(len, joined)))
        now = loop.read_clock()
        pace = Pace(now, now)
        try:
            for piece in joined:
                self._send_piece(piece, pace)
        finally:
            self._hold(0)
            self._enter(stage)

    def _send_piece(self, piece: bytes, pace: Pace) -> None:
        unsent = memoryview(piece)
        while unsent:
            if self._holder.evicted_for is not None:
                raise ConnectionAbortedError("evicted for another connection")
            now = loop.read_clock()
            if now >= pace.deadline_at:
                raise TimeoutError("the caller does not read")
            self._sock.settimeout(pace.deadline_at - now)
            count = self._sock.send(unsent)
            now = loop.read_clock()
            pace.move(count, now)
            self._holder.since = now
            unsent = unsent[count:]


def _join_short_pieces(pieces: Iterable[bytes]) -> list[bytes]:
    """Return the same bytes in fewer pieces, without a copy of long ones."""
    joined = []
    short_pieces = []
    for piece in pieces:
        if len(piece) < MAX_JOINED_BYTES:
            short_pieces.append(piece)
            continue
        joined += [b"".join(short_pieces), piece]
        short_pieces = []
    return [*joined, b"".join(short_pieces)]


class CallerWriter:
    """The output file of the server's protocol; `flush` sends what was written.

    A caller that does not read its answer is no error of the server: `on_unread` is
    called once, and further output is dropped.
    """

    def __init__(
        self, stream: CallerStream, on_unread: Callable[[OSError, int], None]
    ) -> None:
        self._stream = stream
        self._on_unread = on_unread
        self._pieces: list[bytes] = []
        self._is_broken = False
        self.closed = False

    def write(self, data: bytes) -> int:
        """Add output."""
        self._pieces.append(data)
        return len(data)

    def writelines(self, lines: Iterable[bytes]) -> None:
        """Add output in several pieces."""
        self._pieces += lines

    def flush(self) -> None:
        """Send the output."""
        pieces, self._pieces = self._pieces, []
        if self._is_broken or not pieces:
            return
        try:
            self._stream.send(pieces)
        except OSError as error:
            self._is_broken = True
            self._on_unread(error, sum(map(len, pieces)))

    def close(self) -> None:
        """Send the output; nothing more is written."""
        self.flush()
        self.closed = True
