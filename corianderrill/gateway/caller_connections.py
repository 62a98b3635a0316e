"""Caller connections: server protocol, server log, and detection of disconnects."""

import socket
from collections.abc import Callable

import eventlet
from eventlet import hubs, wsgi

from corianderrill.gateway import event_log

# The watch for a disconnect starts this long after the request. Most requests end
# sooner and need none.
DISCONNECT_WATCH_DELAY_S = 0.1
# What the configuration allows of this is decided once the headers have been read.
MAX_HEADER_LINE_BYTES = 65_536
MAX_HEADERS_BYTES = 262_144
MAX_REQUEST_LINE_BYTES = 65_536

wsgi.MAX_HEADER_LINE = MAX_HEADER_LINE_BYTES
wsgi.MAX_TOTAL_HEADER_SIZE = MAX_HEADERS_BYTES


class CallerProtocol(wsgi.HttpProtocol):
    """The protocol of the server; lets the application close a connection."""

    def get_environ(self) -> dict[str, object]:
        """Add this connection to the WSGI environment."""
        environ = super().get_environ()
        environ["corianderrill.connection"] = self
        environ["corianderrill.target"] = self.path
        return environ

    def _read_request_line(self) -> bytes:
        """Read the next request line, with the current idle timeout."""
        self.server.keepalive = self.server.app.get_idle_timeout_s()
        return super()._read_request_line()

    def parse_request(self) -> bool:
        """Read the headers; close the connection if they are too slow or malformed."""
        is_valid = None
        with eventlet.Timeout(self.server.app.get_header_timeout_s(), False):
            is_valid = super().parse_request()
        if is_valid:
            # As it was sent: the standard library drops a second leading slash.
            self.path = self.requestline.split()[1]
            return True
        self.close_connection = True
        reason = "headers-too-slow" if is_valid is None else "headers-malformed"
        self.server.log.warn(reason)
        return False

    def handle(self) -> None:
        """Serve the connection; a reset by the caller is not an error."""
        self.requests_served = 0
        try:
            super().handle()
        except (ConnectionError, TimeoutError):
            self.close_connection = True

    def finish(self) -> None:
        """Flush the output, unless the caller has disconnected."""
        try:
            super().finish()
        except (ConnectionError, ValueError):
            self.close_connection = True


class ServerLog:
    """The log of eventlet's WSGI server; records failures only."""

    def __init__(self, log: event_log.EventLog) -> None:
        self._log = log

    def debug(self, *_: object) -> None:
        """Ignore messages that every connection causes."""

    def info(self, message: str, *_: object) -> None:
        """Record a message with a traceback; ignore all others."""
        if "Traceback" in message:
            self.error(message)

    def warn(self, reason: str) -> None:
        """Record why the gateway closed a connection before it had read a request."""
        self._log.record(event_log.CallerLeft(reason))

    def error(self, message: str, *_: object) -> None:
        """Record an internal error with the end of its message."""
        self._log.record(event_log.InternalError("server", message[-2000:]))


class DisconnectWatcher:
    """Calls `on_disconnect` if a caller closes its connection before its response."""

    def __init__(
        self,
        sock: object,
        on_disconnect: Callable[[], None],
        delay_s: float = DISCONNECT_WATCH_DELAY_S,
    ) -> None:
        self._sock = sock
        self._on_disconnect = on_disconnect
        self._listener = None
        self._hub = hubs.get_hub()
        self._timer = self._hub.schedule_call_global(delay_s, self._start_listening)

    def _start_listening(self) -> None:
        self._timer = None
        descriptor = self._sock.fileno()
        if descriptor < 0:
            return
        self._listener = self._hub.add(
            self._hub.READ,
            descriptor,
            self._on_readable,
            self._on_hub_error,
            self._on_descriptor_closed,
        )

    def _on_hub_error(self, *_: object) -> None:
        self.stop()

    def _on_descriptor_closed(self) -> None:
        self._listener = None

    def _on_readable(self, _descriptor: int) -> None:
        try:
            received = self._sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            received = b""
        # Data is the start of the next (pipelined) request, which is read later.
        self.stop()
        if not received:
            self._on_disconnect()

    def stop(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._listener is not None:
            self._hub.remove(self._listener)
            self._listener = None
