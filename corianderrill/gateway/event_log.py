"""Log lines of the gateway: one typed record a decision, as JSON on standard output.

Lines are kept in a buffer and written without blocking. A rate limit for each kind
of record and a full buffer leave lines out; the next line written tells how many.
"""

import collections
import time
from typing import Protocol

import logbook
import msgspec
from eventlet import patcher

# The green `write` would wait for a reader that does not read.
os = patcher.original("os")

MAX_BUFFERED_LINES = 4_000
RATE_LIMIT_LINES_PER_S = 100.0
MAX_BURST_LINES = 400.0
MAX_WRITE_BYTES = 60_000


class Started(msgspec.Struct, tag="started", tag_field="event"):
    """The process listens."""

    host: str
    zone: str
    address: str


class Stopping(msgspec.Struct, tag="stopping", tag_field="event"):
    """A signal asked the process to end."""

    signal: str
    in_flight: int


class Stopped(msgspec.Struct, tag="stopped", tag_field="event"):
    """The process ends; `cut_off` requests had no answer."""

    ending: str
    cut_off: int


class Reloaded(msgspec.Struct, tag="reloaded", tag_field="event"):
    """The settings file was read again."""

    reason: str
    outcome: str
    detail: str = ""


class StoreLost(msgspec.Struct, tag="store-lost", tag_field="event"):
    """The store stopped answering this host."""

    call: str
    error: str
    revision: int


class StoreReturned(msgspec.Struct, tag="store-returned", tag_field="event"):
    """The store answers again."""

    away_ms: float
    revision: int


class HistoryLost(msgspec.Struct, tag="store-history-lost", tag_field="event"):
    """The store no longer holds what changed since a revision; all is read anew."""

    revision: int


class ConfigurationSeen(msgspec.Struct, tag="configuration", tag_field="event"):
    """A version of the configuration was read."""

    version: int
    revision: int
    before: int | None
    outcome: str


class ReplicaSeen(msgspec.Struct, tag="replica", tag_field="event"):
    """What is believed of a replica changed."""

    replica: str
    service: str
    state: str
    revision: int
    outcome: str


class ZoneSuspected(msgspec.Struct, tag="zone-suspected", tag_field="event"):
    """No replica of a zone answered for a while; others are asked first."""

    zone: str
    replica: str


class EntrySkipped(msgspec.Struct, tag="entry-skipped", tag_field="event"):
    """An entry of the store could not be used."""

    key: str
    revision: int
    reason: str


class AttemptSummary(msgspec.Struct, omit_defaults=True):
    """One attempt of a request; times in milliseconds after the request was read."""

    service: str
    replica: str
    why: str
    at_ms: float
    sent_ms: float | None
    ended_ms: float | None
    outcome: str


class RequestEnded(msgspec.Struct, tag="request", tag_field="event"):
    """A request got its answer; attempts are told where one was not routine."""

    request_id: str
    route: str
    version: int
    status: int
    outcome: str
    took_ms: float
    goal_ms: float
    left_ms: float
    parts: int
    missing: int
    repeats: int
    denied: int
    attempts: list[AttemptSummary]


class RequestRefused(msgspec.Struct, tag="refused", tag_field="event"):
    """A request was answered without being sent to any replica."""

    request_id: str
    route: str
    version: int | None
    status: int
    reason: str
    retry_after_s: float | None
    in_flight: int


class InternalError(msgspec.Struct, tag="internal-error", tag_field="event"):
    """The program failed in a way it does not know; the traceback tells where."""

    where: str
    traceback: str


class CallerLeft(msgspec.Struct, tag="caller-left", tag_field="event"):
    """The connection of a caller was closed before its request was read."""

    reason: str


class BodyIncomplete(msgspec.Struct, tag="body-incomplete", tag_field="event"):
    """A caller left before it had sent its whole request; nothing was sent on."""

    request_id: str
    route: str
    error: str


class Repeated(msgspec.Struct, tag="repeat", tag_field="event"):
    """A second attempt was sent, or the allowance had none left."""

    request_id: str
    service: str
    replica: str
    why: str
    waited_ms: float
    outcome: str


Record = (
    Started
    | Stopping
    | Stopped
    | Reloaded
    | StoreLost
    | StoreReturned
    | HistoryLost
    | ConfigurationSeen
    | ReplicaSeen
    | ZoneSuspected
    | EntrySkipped
    | RequestEnded
    | RequestRefused
    | Repeated
    | BodyIncomplete
    | CallerLeft
    | InternalError
)


class EventLog(Protocol):
    """What takes the records."""

    def record(self, record: Record) -> None:
        """Write one record, or leave it out and count it."""


class LogLine(msgspec.Struct):
    """One line of the log; `left_out` counts lines left out since the last."""

    time: float
    host: str
    left_out: int
    record: Record


class _TokenBucket:
    """A token bucket of lines."""

    __slots__ = ("tokens", "at")

    def __init__(self, now: float) -> None:
        self.tokens = MAX_BURST_LINES
        self.at = now

    def take(self, now: float) -> bool:
        earned = (now - self.at) * RATE_LIMIT_LINES_PER_S
        self.tokens = min(MAX_BURST_LINES, self.tokens + earned)
        self.at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class BufferedHandler(logbook.Handler):
    """Takes records of logbook and writes them to a descriptor without blocking."""

    def __init__(self, descriptor: int, host: str) -> None:
        super().__init__(level=logbook.INFO, bubble=False)
        self._descriptor = descriptor
        self._host = host
        self._encoder = msgspec.json.Encoder()
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._rates: dict[str, _TokenBucket] = {}
        self.dropped_lines = 0
        self._left_out_told = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Keep one line for the next `flush`."""
        self.enqueue(record.channel, record.extra["record"])

    def enqueue(self, channel: str, record: Record) -> None:
        """Encode a record unless its kind is over its rate or the buffer is full."""
        now = time.monotonic()
        kind = type(record).__name__
        rate = self._rates.get(kind)
        if rate is None:
            rate = self._rates[kind] = _TokenBucket(now)
        if len(self._lines) >= MAX_BUFFERED_LINES or not rate.take(now):
            self.dropped_lines += 1
            return
        left_out = self.dropped_lines - self._left_out_told
        self._left_out_told = self.dropped_lines
        line = LogLine(round(time.time(), 3), self._host, left_out, record)
        self._lines.append(self._encoder.encode(line))

    def flush(self) -> None:
        """Write what the descriptor takes now; the rest stays for the next time."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._join()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can be told: the output is where errors would go.
                self.dropped_lines += len(self._lines) + self._rest.count(b"\n")
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _join(self) -> bytes:
        lines = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            lines.append(self._lines.popleft())
            size += len(lines[-1]) + 1
        return b"\n".join(lines) + b"\n"


class LogbookEventLog:
    """Gives records to logbook; its handler writes them."""

    def __init__(self, channel: str, handler: BufferedHandler) -> None:
        self._logger = logbook.Logger(channel)
        self.handler = handler

    def record(self, record: Record) -> None:
        """Log one record."""
        self._logger.info(record.__class__.__name__, extra={"record": record})
