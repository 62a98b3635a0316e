"""Caller connections: server protocol, server log, and detection of disconnects."""

import contextlib
import dataclasses
import functools
import http.client
import io
import re
import socket
from collections.abc import Callable, Mapping

from eventlet import hubs, wsgi

from corianderrill import metrics
from corianderrill.gateway import (
    caller_input,
    caller_log,
    caller_resources,
    caller_stream,
    event_log,
    loop,
    routes,
    unread_input,
)

# The watch for a disconnect starts this long after the request. Most requests end
# sooner and need none.
DISCONNECT_WATCH_DELAY_S = 0.1
# Accepted beyond the limit until another connection is closed for each of them.
MAX_SURPLUS_CONNECTIONS = 4

# `caller_input` bounds the head before the library sees it.
http.client._MAXHEADERS = caller_input.MAX_HEADER_LINES

_LENGTH = re.compile(r"[0-9]{1,18}")
_CHUNKED = "chunked"
# For refusals of a head; after an error of another status, none is sent.
_REASON_PHRASES = {
    400: "Bad Request",
    414: "Request URI Too Long",
    431: "Request Header Fields Too Large",
}


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """What the connections to one address share.

    Once it `is_stopping`, a connection is closed when no request has arrived on it.
    """

    slots: caller_resources.ConnectionSlots
    memory: caller_resources.BufferMemory
    get_limits: Callable[[], routes.CallerLimits]
    log: event_log.EventLog
    meter: metrics.Recorder
    is_stopping: bool = False

    def refuse(self, error: caller_input.InputError) -> None:
        """Record that a connection is closed before a request was read."""
        status = error.status if error.status in _REASON_PHRASES else 0
        self.meter.count(metrics.GATEWAY_INPUT_REFUSALS, error.reason)
        self.log.record(caller_log.InputRefused(error.reason, status))

    def stop(self) -> None:
        """Close the idle connections; the others are closed after their response."""
        self.is_stopping = True
        for holder in self.slots.list_holders():
            holder.connection.close_if_idle()

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self.slots.list_holders())

    def run(self, listener: object, app: object) -> None:
        """Serve an application; the listener stops the acceptance of connections."""
        wsgi.server(
            listener,
            app,
            log=ServerLog(self.log),
            log_output=False,
            debug=False,
            max_size=self.slots.max_connections + MAX_SURPLUS_CONNECTIONS,
            protocol=functools.partial(CallerProtocol, self),
            keepalive=True,
            socket_timeout=caller_stream.STALL_TIMEOUT_S,
            capitalize_response_headers=False,
            # Never reached: `caller_input` refuses longer request lines.
            url_length_limit=caller_input.MAX_REQUEST_LINE_BYTES + 1,
        )


class CallerProtocol(wsgi.HttpProtocol):
    """The protocol of one connection: bounded input and output, and its eviction."""

    def __init__(self, shared: Server, conn_state: list, server: wsgi.Server) -> None:
        self._shared = shared
        super().__init__(conn_state, server)

    def setup(self) -> None:
        """Replace the files of the connection by bounded ones."""
        super().setup()
        self.rfile.close()
        self.wfile.close()
        now = loop.read_clock()
        self._holder = caller_resources.Holder(self, now)
        self._stream = caller_stream.CallerStream(
            self.connection, self._holder, self._shared.memory
        )
        # The libraries read heads from here; bodies are read from the stream.
        self.rfile = io.BytesIO()
        self.wfile = caller_stream.CallerWriter(self._stream, self._on_unread)
        self._input: RequestInput | None = None
        self._must_linger = False
        self._shared.slots.open(self._holder, now)

    def get_environ(self) -> dict[str, object]:
        """Add this connection and its bounded input to the WSGI environment."""
        environ = super().get_environ()
        environ["corianderrill.connection"] = self
        environ["corianderrill.target"] = self.path
        self._input = RequestInput(
            self._stream,
            self,
            self._shared.get_limits(),
            environ["eventlet.input"],
        )
        environ["wsgi.input"] = environ["eventlet.input"] = self._input
        return environ

    def _read_request_line(self) -> bytes:
        """Read the next head; return its first line, or nothing to close."""
        self._release_request()
        if self._shared.is_stopping and not self._stream.has_input():
            return b""
        app = self.server.app
        self.server.keepalive = app.get_idle_timeout_s()
        self._head = caller_input.HeadReader(self._shared.get_limits().max_header_bytes)
        try:
            self._stream.read_head(
                self._head,
                app.get_idle_timeout_s(),
                app.get_header_timeout_s(),
            )
        except caller_input.InputError as error:
            self._refuse(error)
            return b""
        except TimeoutError:
            if self._holder.stage is not caller_resources.Stage.IDLE:
                self.server.log.warn("headers-too-slow")
            return b""
        except ConnectionError:
            return b""
        return self._head.request_line

    def _release_request(self) -> None:
        """Drop the previous request, which an idle connection would keep in memory."""
        self.raw_requestline = b""
        self.requestline = self.path = ""
        self.headers = self.environ = None

    def _refuse(self, error: caller_input.InputError) -> None:
        self.close_connection = True
        self._shared.refuse(error)
        phrase = _REASON_PHRASES.get(error.status)
        if phrase is None:
            return
        head = f"HTTP/1.1 {error.status} {phrase}\r\nConnection: close\r\n"
        self.wfile.write(head.encode() + b"Content-Length: 0\r\n\r\n")
        self._must_linger = True

    def parse_request(self) -> bool:
        """Parse the head; close the connection if it is malformed."""
        self.rfile = io.BytesIO(self._head.join_header_lines())
        if super().parse_request():
            # As it was sent: the standard library drops a second leading slash.
            self.path = self.requestline.split()[1]
            if has_unambiguous_framing(self.headers):
                return True
            self._refuse(caller_input.MalformedError("framing-malformed"))
            return False
        self.close_connection = True
        self.server.log.warn("headers-malformed")
        return False

    def log_message(self, *_: object) -> None:
        """Write nothing to the standard error, which may block the process."""

    def handle(self) -> None:
        """Serve the connection; a reset by the caller is not an error."""
        self.requests_served = 0
        try:
            super().handle()
        except (ConnectionError, TimeoutError):
            self.close_connection = True

    def handle_one_response(self) -> None:
        """Answer a request; note whether its caller may still be sending the body."""
        try:
            super().handle_one_response()
        finally:
            self._must_linger = not self._input.is_read
            self._input = None

    def _on_unread(self, error: OSError, output_bytes: int) -> None:
        self.close_connection = True
        reason = type(error).__name__
        self._shared.log.record(caller_log.AnswerUnread(reason, output_bytes))

    def has_next_request(self) -> bool:
        """Return whether the caller has sent more than the request that is served."""
        return self._input.is_read and self._stream.has_input()

    def close_if_idle(self) -> None:
        """End this connection, unless a part of a request has arrived."""
        self._stream.close_if_idle()

    def evict(self, reason: caller_resources.Reason) -> None:
        """End this connection, which may be waiting for its caller."""
        self.close_connection = True
        if (
            reason is caller_resources.Reason.MEMORY
            and self._holder.stage is caller_resources.Stage.READING
        ):
            # The output stays open for an answer.
            self._stream.interrupt()
            return
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)

    def finish(self) -> None:
        """Flush the output, unless the caller has disconnected."""
        try:
            self.wfile.flush()
            if self._must_linger:
                self._stream.linger()
            super().finish()
        except (ConnectionError, ValueError):
            self.close_connection = True
        finally:
            self._shared.slots.close(self._holder)
            # Breaks reference cycles, which would last until the next collection.
            vars(self).clear()


def has_unambiguous_framing(headers: Mapping[str, str]) -> bool:
    """Return whether the headers leave no doubt where the body ends.

    `headers` is a message of the standard library, which may hold a name twice.
    """
    lengths = headers.get_all("Content-Length", ())
    codings = headers.get_all("Transfer-Encoding", ())
    if not all(_LENGTH.fullmatch(length.strip()) for length in lengths):
        return False
    if len(set(lengths)) > 1:
        return False
    return not codings or (
        not lengths and len(codings) == 1 and codings[0].strip().lower() == _CHUNKED
    )


class RequestInput:
    """The body of one request, with the interface that the server needs of it."""

    def __init__(
        self,
        stream: caller_stream.CallerStream,
        connection: CallerProtocol,
        limits: routes.CallerLimits,
        server_input: wsgi.Input,
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._limits = limits
        self._wfile = server_input.wfile
        self._continue_line = server_input.wfile_line
        self._has_continued = False
        self.chunked_input = server_input.chunked_input
        self.content_length = server_input.content_length or 0
        # For the server, which discards a body that was not read.
        self.position = 0
        self.headers_sent: list[int] | None = None
        self.is_read = not self.chunked_input and not self.content_length

    def get_socket(self) -> object:
        """Return the socket of the connection."""
        return self._connection.connection

    @property
    def should_send_hundred_continue(self) -> bool:
        """Return whether the caller waits for 100 Continue before it sends the body."""
        return self._wfile is not None and not self._has_continued

    def read_body(self, max_bytes: int) -> bytes:
        """Return the body.

        Raise InputError if it is not within the limits, and ConnectionError if the
        caller disconnects before its end. The connection is not used again then.
        """
        if self.is_read:
            return b""
        reader = self._build_reader(max_bytes)
        try:
            self._read(reader)
        except (caller_input.InputError, OSError):
            self._connection.close_connection = True
            raise
        return bytes(reader.body)

    def _build_reader(
        self, max_bytes: int
    ) -> caller_input.ChunkReader | caller_input.LengthReader:
        if self.chunked_input:
            return caller_input.ChunkReader(max_bytes, self._limits.max_header_bytes)
        return caller_input.LengthReader(self.content_length, max_bytes)

    def _read(self, reader: caller_stream.BodyReader, is_kept: bool = True) -> None:
        if self.content_length <= self._limits.max_body_bytes:
            self._send_continue()
        self._stream.read_body(reader, is_kept)
        self.is_read = True
        self.position = self.content_length

    def _send_continue(self) -> None:
        if not self.should_send_hundred_continue or self.headers_sent:
            return
        self._has_continued = True
        self._wfile.write(self._continue_line + b"\r\n")
        self._wfile.flush()

    def discard(self) -> None:
        """Read the rest of a body that was not read, and drop it.

        The connection is not used again if the body is not within the limits.
        """
        if self.is_read:
            return
        try:
            self._read(self._build_reader(self._limits.max_body_bytes), is_kept=False)
        except (caller_input.InputError, OSError):
            self._connection.close_connection = True


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
        arrival = unread_input.peek(self._sock)
        if arrival is unread_input.Arrival.NOTHING:
            return
        # Bytes are the start of the next (pipelined) request, which is read later.
        self.stop()
        if arrival is unread_input.Arrival.END:
            self._on_disconnect()

    def stop(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._listener is not None:
            self._hub.remove(self._listener)
            self._listener = None
