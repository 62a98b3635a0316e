"""HTTP servers of an entry host, bounded in connections, bytes and waiting.

The server is eventlet's. A connection that stays idle gives way to a new one; a
request that is sent too slowly, or whose body won't be read, ends its connection.
"""

import collections
import contextlib
import dataclasses
import functools
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.green.socket
import eventlet.greenio
import eventlet.wsgi

from corianderrill import metrics

REQUEST_LINE_BYTES_AT_MOST = 8_192
DRAINED_BYTES_AT_MOST = 1_000_000
DRAIN_CHUNK_BYTES = 16_384
_TIMED_OUT = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What one server takes.

    `slow_sender_s` bounds the head and the body of a request, each as a whole;
    `idle_s` the time between two requests of a connection; both in seconds.
    """

    connections_at_most: int
    body_bytes_at_most: int
    slow_sender_s: float
    idle_s: float


def serve(
    listener: Any, application: Callable, bounds: Bounds, recorder: metrics.Recorder
) -> None:
    """Serve a WSGI application until the green thread is killed.

    A killed server closes its idle connections and waits for the others.
    """
    pool = _ConnectionPool(bounds.connections_at_most, recorder)
    eventlet.wsgi.server(
        listener,
        application,
        protocol=functools.partial(_Protocol, bounds, recorder, pool),
        custom_pool=pool,
        keepalive=bounds.idle_s,
        socket_timeout=bounds.slow_sender_s,
        url_length_limit=REQUEST_LINE_BYTES_AT_MOST,
        log_output=False,
        debug=False,
    )


class _ConnectionPool(eventlet.GreenPool):
    """Runs connections; a full pool ends the one that has been idle longest."""

    def __init__(self, size: int, recorder: metrics.Recorder) -> None:
        super().__init__(size)
        self._recorder = recorder
        self._connections: collections.OrderedDict[int, list] = (
            collections.OrderedDict()
        )

    def spawn(
        self, run: Callable, connection: list
    ) -> eventlet.greenthread.GreenThread:
        if self.free() <= 0:
            self._end_an_idle_one()
        return super().spawn(self._run, run, connection)

    def note_request(self, connection: list) -> None:
        """A connection has ended a request and is idle from now on."""
        self._connections.move_to_end(id(connection))

    def _run(self, run: Callable, connection: list) -> None:
        key = id(connection)
        self._connections[key] = connection
        try:
            run(connection)
        finally:
            del self._connections[key]

    def _end_an_idle_one(self) -> None:
        idle = (
            connection
            for connection in self._connections.values()
            if connection[2] is eventlet.wsgi.STATE_IDLE
        )
        oldest = next(idle, None)
        if oldest is not None:
            # Once is enough: it stays in the pool until its green thread runs.
            oldest[2] = eventlet.wsgi.STATE_CLOSE
            self._recorder.count(metrics.CALLERS_EVICTED)
            eventlet.greenio.shutdown_safe(oldest[1])


class _Protocol(eventlet.wsgi.HttpProtocol):
    """Reads requests within the bounds."""

    def __init__(
        self,
        bounds: Bounds,
        recorder: metrics.Recorder,
        pool: _ConnectionPool,
        *arguments: Any,
    ) -> None:
        self._bounds = bounds
        self._recorder = recorder
        self._pool = pool
        self._is_body_unread = False
        super().__init__(*arguments)

    def handle_one_request(self) -> None:
        super().handle_one_request()
        self._pool.note_request(self.conn_state)
        if self._pool.waiting():
            # Another connection waits for the place of this one.
            self.close_connection = True

    def _read_request_line(self) -> bytes:
        limit_s = self._bounds.idle_s + self._bounds.slow_sender_s
        with eventlet.Timeout(limit_s, False):
            return super()._read_request_line()
        return b""

    def parse_request(self) -> bool:
        with (
            contextlib.suppress(TimeoutError),
            eventlet.Timeout(self._bounds.slow_sender_s, False),
        ):
            return super().parse_request()
        self._refuse("slow")
        self.wfile.write(_TIMED_OUT)
        return False

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        body = environ["eventlet.input"]
        if body.chunked_input:
            self._refuse("chunked")
        elif (body.content_length or 0) > self._bounds.body_bytes_at_most:
            self._refuse("oversized")
        read = body.read
        body.read = lambda length=None: self._read_body(read, length)
        return environ

    def finish(self) -> None:
        if self._is_body_unread:
            self._drain()
        super().finish()

    def log_message(self, *arguments: object) -> None:
        """Count what the standard library would write to the error stream."""
        self._recorder.count(metrics.BAD_REQUESTS, "http")

    def _read_body(self, read: Callable, length: int | None) -> bytes:
        """Return the body, or nothing where it takes too long."""
        with (
            contextlib.suppress(TimeoutError),
            eventlet.Timeout(self._bounds.slow_sender_s, False),
        ):
            return read(length)
        self._refuse("slow")
        return b""

    def _refuse(self, reason: str) -> None:
        self._recorder.count(metrics.BAD_REQUESTS, reason)
        self.close_connection = True
        self._is_body_unread = True

    def _drain(self) -> None:
        """Read on for a bounded while.

        A socket that is closed with unread bytes resets the connection, and the
        reply is lost on its way.
        """
        left = DRAINED_BYTES_AT_MOST
        with (
            contextlib.suppress(OSError),
            eventlet.Timeout(self._bounds.slow_sender_s, False),
        ):
            self._flush_reply()
            while left > 0:
                got = self.rfile.read1(DRAIN_CHUNK_BYTES)
                left = left - len(got) if got else 0

    def _flush_reply(self) -> None:
        self.wfile.flush()
        self.connection.shutdown(eventlet.green.socket.SHUT_WR)
