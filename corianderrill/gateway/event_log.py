"""The structured log of the gateway: typed records, written as JSON lines to stdout.

Lines are buffered and written without blocking. Lines are dropped when a kind of
record exceeds its rate limit or the buffer is full; the next line that is written
holds the number of dropped lines. The names of the records and of their fields, and
the tags, are part of the log format. A store revision has a meaning only beside the era
that the record names with it.
"""

import collections
import time
from typing import Protocol

import logbook
import msgspec
from eventlet import patcher

from corianderrill.gateway import (
    caller_log,
    cold_records,
    evacuation_records,
    load_records,
    quota_records,
    workspace_events,
)

# The unpatched module: eventlet's `write` would wait for a reader that is stuck.
os = patcher.original("os")

MAX_BUFFERED_LINES = 4_000
RATE_LIMIT_LINES_PER_S = 100.0
MAX_BURST_LINES = 400.0
MAX_WRITE_BYTES = 60_000


class Started(msgspec.Struct, tag="started", tag_field="event"):
    """The process has started and listens for requests."""

    host: str
    zone: str
    address: str


class Stopping(msgspec.Struct, tag="stopping", tag_field="event"):
    """The process received a signal to stop."""

    signal: str
    in_flight: int


class Stopped(msgspec.Struct, tag="stopped", tag_field="event"):
    """The process stops; `cut_off` requests were closed without an answer."""

    ending: str
    cut_off: int


class Reloaded(msgspec.Struct, tag="reloaded", tag_field="event"):
    """The settings file was read again, or could not be.

    `reason` is what triggered it (a signal, a change of the file, the regular check),
    `outcome` whether the new settings apply.
    """

    reason: str
    outcome: str
    detail: str = ""


class StoreLost(msgspec.Struct, tag="store-lost", tag_field="event"):
    """A call to the store failed, the first since the store last answered.

    `call` is the kind of failure, `silent_ms` the time since the store's last reply.
    """

    call: str
    error: str
    revision: int
    silent_ms: float = 0.0
    era: int = 0


class StoreReturned(msgspec.Struct, tag="store-returned", tag_field="event"):
    """The store answers again, `away_ms` after its last reply before the outage."""

    away_ms: float
    revision: int
    era: int = 0


class HistoryLost(msgspec.Struct, tag="store-history-lost", tag_field="event"):
    """The store has compacted the changes since `revision`; all keys are read again."""

    revision: int
    era: int = 0


class ReplicaLeaving(msgspec.Struct, tag="replica-leaving", tag_field="event"):
    """A replica announced in a reply that it leaves.

    `source` is the reply that this host got, or the aggregator that got one;
    `started_at_ms` is the Unix time of the start of its process.
    """

    replica: str
    started_at_ms: int | None
    source: str


class ReplicaQuiet(msgspec.Struct, tag="replica-quiet", tag_field="event"):
    """A replica refused with a time until which it wants no requests of this host.

    `detail` tells of a time that was bounded, or is no time.
    """

    replica: str
    service: str
    delay_s: float
    detail: str = ""


class WatchSilent(msgspec.Struct, tag="store-watch-silent", tag_field="event"):
    """A watch got no reply in time; the changes are asked for again.

    `view_age_ms` is the time since the store confirmed the view, None if it never did.
    """

    revision: int
    era: int = 0
    view_age_ms: float | None = None


class StoreRestored(msgspec.Struct, tag="store-restored", tag_field="event"):
    """A reply of the store names a later era: it has come back from an older copy.

    `revision` is the one that the host had reached in the era `before`.
    """

    era: int
    before: int
    revision: int


class ConfigurationSeen(msgspec.Struct, tag="configuration", tag_field="event"):
    """A configuration version was read; `before` is the version in force until then.

    `size_bytes` is that of its document.
    """

    version: int
    revision: int
    before: int | None
    outcome: str
    era: int = 0
    size_bytes: int = 0


class ReplicaSeen(msgspec.Struct, tag="replica", tag_field="event"):
    """A change of a replica's registration was read or its fallback time expired.

    `outcome` is the effect on the view of the host.
    """

    replica: str
    service: str
    state: str
    revision: int
    outcome: str
    era: int = 0


class RelayLost(msgspec.Struct, tag="relay-lost", tag_field="event"):
    """An aggregator does not answer in place of the store; others are asked.

    `view_age_ms` is the time since the view was confirmed, None if it never was.
    """

    aggregator: str
    error: str
    revision: int
    era: int = 0
    view_age_ms: float | None = None


class AggregatorSeen(msgspec.Struct, tag="aggregator", tag_field="event"):
    """A change of who holds an aggregator slot was read; `holder` is empty if none."""

    zone: str
    slot: int
    holder: str
    revision: int
    era: int = 0


class AggregatorRoleChanged(msgspec.Struct, tag="aggregator-role", tag_field="event"):
    """The host took, lost or gave up an aggregator slot."""

    change: str
    zone: str
    slot: int
    reason: str


class QueryDelegated(msgspec.Struct, tag="delegated", tag_field="event"):
    """Sub-requests of a query were handed to another host.

    `shards` counts them, `parts` those that its answer holds; `outcome` tells how the
    delegation ended, `took_ms` after which time.
    """

    request_id: str
    host: str
    zone: str
    shards: int
    parts: int
    outcome: str
    took_ms: float


class DelegatedQueryEnded(msgspec.Struct, tag="answered-for", tag_field="event"):
    """A query that another host delegated to this one was answered or refused."""

    request_id: str
    shards: int
    parts: int
    outcome: str
    took_ms: float


class ZoneSuspected(msgspec.Struct, tag="zone-suspected", tag_field="event"):
    """An availability zone is suspected to be unreachable; others are preferred.

    No replica of the zone has replied for a while.
    """

    zone: str
    replica: str


class RateLimitSeen(msgspec.Struct, tag="rate-limit", tag_field="event"):
    """A replica advertised a rate limit, another one than before, or none any more.

    `per_s` is the limit for all hosts together, in requests a second; it is None if
    the replica advertises none any more. `outcome` tells whether the limit was applied,
    or lifted (here or by the report of another host), or was invalid.
    """

    replica: str
    service: str
    per_s: float | None
    before_per_s: float | None
    outcome: str
    detail: str = ""


class DemandReported(msgspec.Struct, tag="demand", tag_field="event"):
    """The demand report of this host was published, lost or withdrawn.

    `per_s` is the sum over the services, in requests a second.
    """

    outcome: str
    per_s: float
    detail: str = ""


class ReplicaCrashed(msgspec.Struct, tag="crash", tag_field="event"):
    """A process of a replica ended while it ran a request.

    `fingerprint` is equal for repetitions of the request. `verdict` tells what is done
    with those from now on.
    """

    request_id: str
    fingerprint: str
    replica: str
    service: str
    verdict: str


class SuspicionCleared(msgspec.Struct, tag="crash-cleared", tag_field="event"):
    """A replica replied to a request under which others had ended."""

    request_id: str
    fingerprint: str


class CrashNotesSeen(msgspec.Struct, tag="crash-notes", tag_field="event"):
    """Notes on a request under which replicas ended were read, or their removal.

    `crashes` is the number of processes that ended, `trials` that of attempts that were
    claimed since; both are 0 after the removal.
    """

    fingerprint: str
    crashes: int
    trials: int
    verdict: str
    revision: int
    era: int = 0


class CrashNotesWritten(msgspec.Struct, tag="crash-notes-written", tag_field="event"):
    """The host wrote or removed notes on a request, claimed a trial, or failed to."""

    fingerprint: str
    outcome: str
    detail: str = ""


class EntrySkipped(msgspec.Struct, tag="entry-skipped", tag_field="event"):
    """An entry of the store was ignored because it is invalid or was removed."""

    key: str
    revision: int
    reason: str
    era: int = 0


class AttemptSummary(msgspec.Struct, omit_defaults=True):
    """One attempt of a request; times are in milliseconds since the request was read.

    `why` is the reason for the attempt, such as a first try or a hedge.
    """

    service: str
    replica: str
    why: str
    at_ms: float
    sent_ms: float | None
    ended_ms: float | None
    outcome: str


class RequestEnded(msgspec.Struct, tag="request", tag_field="event"):
    """The processing of a request ended.

    `version` is the version of the configuration and `view_age_ms` the time since the
    store confirmed it, `left_ms` the time left until the deadline. `parts` counts the
    services that replied, `missing` those that did not. `repeats` counts the retries
    and hedges, `denied` those that the retry budget did not allow. `attempts` is empty
    for a request that succeeded within its goal. `verdict` is set for a request under
    which replicas are known to have ended.
    """

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
    view_age_ms: float | None = None
    limited: int = 0
    verdict: str = ""
    workspace: str = ""


class RequestRefused(msgspec.Struct, tag="refused", tag_field="event"):
    """A request was answered by the gateway and not sent to any replica.

    `view_age_ms` is the time since the store confirmed the configuration `version`;
    None if it never did.
    """

    request_id: str
    route: str
    version: int | None
    status: int
    reason: str
    retry_after_s: float | None
    in_flight: int
    view_age_ms: float | None = None


class InternalError(msgspec.Struct, tag="internal-error", tag_field="event"):
    """An unexpected error occurred in the component that `where` names."""

    where: str
    traceback: str


class CallerLeft(msgspec.Struct, tag="caller-left", tag_field="event"):
    """A caller's connection was closed before its request was read."""

    reason: str


class BodyIncomplete(msgspec.Struct, tag="body-incomplete", tag_field="event"):
    """A caller did not send its whole request body; nothing was forwarded."""

    request_id: str
    route: str
    error: str


class Repeated(msgspec.Struct, tag="repeat", tag_field="event"):
    """A retry or hedge was sent.

    `why` is its reason. `waited_ms` is the time since the previous attempt.
    `outcome` is always "sent".
    """

    request_id: str
    service: str
    replica: str
    why: str
    waited_ms: float
    outcome: str


Record = (
    caller_log.AnswerUnread
    | caller_log.CallerEvicted
    | caller_log.InputRefused
    | Started
    | Stopping
    | Stopped
    | Reloaded
    | StoreLost
    | StoreReturned
    | HistoryLost
    | WatchSilent
    | ReplicaLeaving
    | ReplicaQuiet
    | StoreRestored
    | ConfigurationSeen
    | ReplicaSeen
    | RelayLost
    | AggregatorSeen
    | AggregatorRoleChanged
    | QueryDelegated
    | DelegatedQueryEnded
    | ZoneSuspected
    | RateLimitSeen
    | DemandReported
    | ReplicaCrashed
    | SuspicionCleared
    | CrashNotesSeen
    | CrashNotesWritten
    | EntrySkipped
    | RequestEnded
    | RequestRefused
    | Repeated
    | BodyIncomplete
    | CallerLeft
    | InternalError
    | workspace_events.SharedKeys
    | workspace_events.HeldInQueue
    | quota_records.Record
    | evacuation_records.ZoneEvacuation
    | evacuation_records.AttemptsWithdrawn
    | load_records.LoadReportInvalid
    | cold_records.ReplicaCold
)


class EventLog(Protocol):
    """A destination of log records."""

    def record(self, record: Record) -> None:
        """Write one record, or drop and count it."""


class LogLine(msgspec.Struct):
    """One line of the log; `left_out` counts the lines dropped since the last one."""

    time: float
    host: str
    left_out: int
    record: Record


class _TokenBucket:
    """A token bucket that limits the lines of one kind of record."""

    __slots__ = ("tokens", "refilled_at")

    def __init__(self, now: float) -> None:
        self.tokens = MAX_BURST_LINES
        self.refilled_at = now

    def take_token(self, now: float) -> bool:
        earned = (now - self.refilled_at) * RATE_LIMIT_LINES_PER_S
        self.tokens = min(MAX_BURST_LINES, self.tokens + earned)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class BufferedHandler(logbook.Handler):
    """Buffers logbook records and writes them to a file descriptor without blocking."""

    def __init__(self, descriptor: int, host: str) -> None:
        super().__init__(level=logbook.INFO, bubble=False)
        self._descriptor = descriptor
        self._host = host
        self._encoder = msgspec.json.Encoder()
        self._lines: collections.deque[bytes] = collections.deque()
        self._pending = b""
        self._buckets_by_kind: dict[str, _TokenBucket] = {}
        self.dropped_lines = 0
        self._reported_dropped_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Buffer one line until the next `flush`."""
        self.enqueue(record.channel, record.extra["record"])

    def enqueue(self, channel: str, record: Record) -> None:
        """Buffer a record; drop it over the rate limit or if the buffer is full."""
        now = time.monotonic()
        kind = type(record).__name__
        bucket = self._buckets_by_kind.get(kind)
        if bucket is None:
            bucket = self._buckets_by_kind[kind] = _TokenBucket(now)
        if len(self._lines) >= MAX_BUFFERED_LINES or not bucket.take_token(now):
            self.dropped_lines += 1
            return
        left_out = self.dropped_lines - self._reported_dropped_lines
        self._reported_dropped_lines = self.dropped_lines
        line = LogLine(round(time.time(), 3), self._host, left_out, record)
        self._lines.append(self._encoder.encode(line))

    def flush(self) -> None:
        """Write as much as possible without blocking; the rest stays buffered."""
        while self._pending or self._lines:
            if not self._pending:
                self._pending = self._join_buffered_lines()
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Not reported: the error would go to this same output.
                self.dropped_lines += len(self._lines) + self._pending.count(b"\n")
                self._lines.clear()
                self._pending = b""
                return
            self._pending = self._pending[written:]

    def _join_buffered_lines(self) -> bytes:
        lines = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            lines.append(self._lines.popleft())
            size += len(lines[-1]) + 1
        return b"\n".join(lines) + b"\n"


class LogbookEventLog:
    """Passes records to a logbook logger; `handler` writes them."""

    def __init__(self, channel: str, handler: BufferedHandler) -> None:
        self._logger = logbook.Logger(channel)
        self.handler = handler

    def record(self, record: Record) -> None:
        """Log one record."""
        self._logger.info(record.__class__.__name__, extra={"record": record})
