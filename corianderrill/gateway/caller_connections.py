"""Connections of callers: the server's protocol, and callers that leave."""

import socket
from collections.abc import Callable

import eventlet
from eventlet import hubs, wsgi

from corianderrill.gateway import event_log

# Most requests end sooner, and need no look at their caller's connection.
WATCH_CALLER_AFTER_S = 0.1


class CallerProtocol(wsgi.HttpProtocol):
    """The server's protocol; lets the application end a connection by its answer."""

    def get_environ(self) -> dict[str, object]:
        """Add this connection to what the application gets."""
        environ = super().get_environ()
        environ["corianderrill.connection"] = self
        return environ

    def _read_request_line(self) -> bytes:
        """Read the next request line; idle connections follow the configuration."""
        self.server.keepalive = self.server.app.get_idle_timeout_s()
        return super()._read_request_line()

    def parse_request(self) -> bool:
        """Read the headers; a caller that takes too long for them is left."""
        is_whole = None
        with eventlet.Timeout(self.server.app.get_header_timeout_s(), False):
            is_whole = super().parse_request()
        if is_whole:
            return True
        self.close_connection = True
        reason = "headers-too-slow" if is_whole is None else "headers-malformed"
        self.server.log.warn(reason)
        return False

    def handle(self) -> None:
        """Serve the connection; a caller that resets it ends it quietly."""
        self.requests_served = 0
        try:
            super().handle()
        except (ConnectionError, TimeoutError):
            self.close_connection = True

    def finish(self) -> None:
        """Flush; nothing is left to tell a caller that has gone."""
        try:
            super().finish()
        except (ConnectionError, ValueError):
            self.close_connection = True


class ServerLog:
    """Takes what the server of the library reports: only failures matter."""

    def __init__(self, log: event_log.EventLog) -> None:
        self._log = log

    def debug(self, *_: object) -> None:
        """Leave out what happens on every connection."""

    def info(self, message: str, *_: object) -> None:
        """Record the traceback of a failure of the application."""
        if "Traceback" in message:
            self.error(message)

    def warn(self, reason: str) -> None:
        """Record a caller that was left before its request was read."""
        self._log.record(event_log.CallerLeft(reason))

    def error(self, message: str, *_: object) -> None:
        """Record a failure."""
        self._log.record(event_log.InternalError("server", message[-2000:]))


class DisconnectWatcher:
    """Calls back when a caller closes its connection before its answer."""

    def __init__(self, sock: object, callback: Callable[[], None]) -> None:
        self._sock = sock
        self._callback = callback
        self._listener = None
        self._hub = hubs.get_hub()
        self._timer = self._hub.schedule_call_global(WATCH_CALLER_AFTER_S, self._listen)

    def _listen(self) -> None:
        self._timer = None
        descriptor = self._sock.fileno()
        if descriptor < 0:
            return
        self._listener = self._hub.add(
            self._hub.READ, descriptor, self._look, self._throw, self._forget
        )

    def _throw(self, *_: object) -> None:
        self.stop()

    def _forget(self) -> None:
        self._listener = None

    def _look(self, _descriptor: int) -> None:
        try:
            seen = self._sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            seen = b""
        # A byte is the begin of the next request, which has to wait.
        self.stop()
        if not seen:
            self._callback()

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._listener is not None:
            self._hub.remove(self._listener)
            self._listener = None
