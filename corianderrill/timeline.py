"""Time line: a bounded ring of events of one host, merged causally over hosts."""

import collections
import dataclasses
import enum
import heapq
import itertools
import time
from collections.abc import Callable, Iterable, Iterator

import msgspec

from corianderrill import clocks, messages, names

DETAIL_CHARACTERS_AT_MOST = 500
EVENTS_ASKED_AT_MOST = 20_000


class Kind(enum.Enum):
    """What happened."""

    PROCESS_STARTED = "process-started"
    PROCESS_READY = "process-ready"
    PROCESS_LEAVING = "process-leaving"
    PROCESS_STOPPED = "process-stopped"
    QUERY_RECEIVED = "query-received"
    QUERY_ADMITTED = "query-admitted"
    QUERY_REFUSED = "query-refused"
    QUERY_PLANNED = "query-planned"
    SNAPSHOT_CHOSEN = "snapshot-chosen"
    QUERY_RESTARTED = "query-restarted"
    QUERY_MERGED = "query-merged"
    QUERY_ANSWERED = "query-answered"
    ATTEMPT_SENT = "attempt-sent"
    ATTEMPT_ANSWERED = "attempt-answered"
    ATTEMPT_FAILED = "attempt-failed"
    ATTEMPT_CANCELLED = "attempt-cancelled"
    HEDGE_SENT = "hedge-sent"
    HEDGE_DENIED = "hedge-denied"
    RETRY_SENT = "retry-sent"
    REPLY_DROPPED = "reply-dropped"
    RELAY_QUEUED = "relay-queued"
    RELAY_STARTED = "relay-started"
    RELAY_ENDED = "relay-ended"
    CONNECTION_OPENED = "connection-opened"
    CONNECTION_CLOSED = "connection-closed"
    REPLICA_CHANGED = "replica-changed"
    MEMBER_CHANGED = "member-changed"
    CHANGE_SUBMITTED = "change-submitted"
    CHANGE_ACCEPTED = "change-accepted"
    CHANGE_CONFLICTED = "change-conflicted"
    CHANGE_UNKNOWN = "change-unknown"
    CHANGE_APPLIED = "change-applied"
    CHANGE_CONFIRMED = "change-confirmed"
    CLAIM_CHANGED = "claim-changed"
    PLATFORM_CHANGED = "platform-changed"
    SETTINGS_RELOADED = "settings-reloaded"
    INVARIANT_BROKEN = "invariant-broken"


class Event(msgspec.Struct, frozen=True, gc=False, omit_defaults=True):
    """One event.

    `wall_us` is the host's wall time in microseconds since 1970; `stamp` orders.
    `attempt` is the id of a sub-request, `server` the id of a replica.
    """

    stamp: messages.Stamp
    wall_us: int
    kind: Kind
    request: str = ""
    change: str = ""
    attempt: str = ""
    server: str = ""
    detail: str = ""


class Page(msgspec.Struct, frozen=True):
    """Events of one host; `lost` counts events that the ring no longer holds."""

    member: names.MemberId
    zone: names.ZoneName
    lost: int
    events: tuple[Event, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Which events are wanted; an empty field takes all.

    `server` also takes the part of a replica's id before its incarnation.
    """

    request: str = ""
    change: str = ""
    host: str = ""
    server: str = ""

    def accepts(self, host: str, event: Event) -> bool:
        """Return whether an event of a host is wanted."""
        wanted_server = not self.server or self.server in (
            event.server,
            event.server.partition("#")[0],
        )
        return (
            wanted_server
            and self.request in ("", event.request)
            and self.change in ("", event.change)
            and self.host in ("", host)
        )


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Located:
    """An event with the host that recorded it, in causal order."""

    order: tuple[int, int]
    member: names.MemberId
    index: int
    event: Event = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """Two events of one host that belong together; the duration is by its clock."""

    name: str
    start: Located
    end: Located

    @property
    def duration_us(self) -> int:
        """Time between the events, in microseconds."""
        return max(0, self.end.event.wall_us - self.start.event.wall_us)


@dataclasses.dataclass(slots=True)
class Timeline:
    """The ring of one host."""

    member: names.MemberId
    zone: names.ZoneName
    events_at_most: int
    clock: clocks.HybridClock
    wall_ns: Callable[[], int] = time.time_ns
    enabled: bool = True
    recorded: int = 0
    _ring: collections.deque[Event] = dataclasses.field(init=False, repr=False)

    def __post_init__(self) -> None:
        self._ring = collections.deque(maxlen=self.events_at_most)

    def record(
        self,
        kind: Kind,
        request: str = "",
        change: str = "",
        attempt: str = "",
        server: str = "",
        detail: str = "",
    ) -> None:
        """Put an event on the ring; the oldest one falls off a full ring."""
        if not self.enabled:
            return
        self.recorded += 1
        self._ring.append(
            Event(
                self.clock.stamp(),
                self.wall_ns() // 1_000,
                kind,
                request,
                change,
                attempt,
                server,
                detail[:DETAIL_CHARACTERS_AT_MOST],
            )
        )

    def read(
        self, wanted: Filter = Filter(), events_at_most: int = EVENTS_ASKED_AT_MOST
    ) -> Page:
        """Return the newest events that a filter accepts, in their order."""
        host = self.member.host
        newest = (
            event for event in reversed(self._ring) if wanted.accepts(host, event)
        )
        events = tuple(itertools.islice(newest, events_at_most))[::-1]
        lost = self.recorded - len(self._ring)
        return Page(self.member, self.zone, lost, events)


def merge(pages: Iterable[Page], wanted: Filter = Filter()) -> Iterator[Located]:
    """Yield the events of all hosts so that no effect comes before its cause."""
    return heapq.merge(*(_locate(page, wanted) for page in pages))


def format_lines(located: Iterable[Located]) -> Iterator[str]:
    """Yield a line an event: time, time since the first, host, kind, and the rest."""
    first_us = None
    for item in located:
        event = item.event
        first_us = event.wall_us if first_us is None else first_us
        since_ms = (event.wall_us - first_us) / 1_000
        fields = " ".join(f"{name}={value}" for name, value in _list_fields(event))
        yield (
            f"{_format_time(event.wall_us)} {since_ms:+10.3f} ms "
            f"{item.member.host:<12} {event.kind.value:<18} {fields}"
        ).rstrip()


def list_spans(located: Iterable[Located]) -> list[Span]:
    """Return what began and ended on one host, in the order of the beginnings."""
    items = list(located)
    spans = itertools.chain.from_iterable(
        _pair(items, *definition) for definition in _SPANS
    )
    return sorted(spans, key=lambda span: span.start.order)


def format_spans(spans: Iterable[Span]) -> Iterator[str]:
    """Yield a line a span: its start after the first one, duration, and the rest."""
    first_us = None
    for span in spans:
        start = span.start.event
        first_us = start.wall_us if first_us is None else first_us
        since_ms = (start.wall_us - first_us) / 1_000
        fields = " ".join(f"{name}={value}" for name, value in _list_fields(start))
        yield (
            f"{since_ms:+10.3f} ms {span.duration_us / 1_000:10.3f} ms "
            f"{span.start.member.host:<12} {start.kind.value:<16} "
            f"-> {span.end.event.kind.value:<18} {fields}"
        ).rstrip()


def build_trace(located: Iterable[Located]) -> dict[str, list[dict[str, object]]]:
    """Return events in the Trace Event Format of Chrome: spans and instants."""
    items = list(located)
    spans = (
        {
            **_build_trace_event(
                span.start, f"{span.name} {span.start.event.server}".strip()
            ),
            "ph": "X",
            "dur": span.duration_us,
        }
        for span in list_spans(items)
    )
    instants = (
        {
            **_build_trace_event(item, item.event.kind.value),
            "ph": "i",
            "s": "t",
        }
        for item in items
    )
    return {"traceEvents": [*spans, *instants]}


# Kinds that open a span, with the kinds that close it and the field that pairs them.
_SPANS: tuple[tuple[str, str, tuple[Kind, ...], tuple[Kind, ...]], ...] = (
    (
        "query",
        "request",
        (Kind.QUERY_RECEIVED,),
        (Kind.QUERY_ANSWERED, Kind.QUERY_REFUSED),
    ),
    (
        "attempt",
        "attempt",
        (Kind.ATTEMPT_SENT, Kind.HEDGE_SENT, Kind.RETRY_SENT),
        (Kind.ATTEMPT_ANSWERED, Kind.ATTEMPT_FAILED, Kind.ATTEMPT_CANCELLED),
    ),
    ("relay", "attempt", (Kind.RELAY_QUEUED,), (Kind.RELAY_ENDED,)),
)


def _pair(
    items: list[Located],
    name: str,
    field: str,
    opening: tuple[Kind, ...],
    closing: tuple[Kind, ...],
) -> Iterator[Span]:
    opened: dict[tuple[names.MemberId, str], Located] = {}
    for item in items:
        key = (item.member, getattr(item.event, field))
        if item.event.kind in opening:
            opened.setdefault(key, item)
        elif item.event.kind in closing and key in opened:
            yield Span(name, opened.pop(key), item)


def _build_trace_event(item: Located, name: str) -> dict[str, object]:
    event = item.event
    return {
        "name": name,
        "ts": event.wall_us,
        "pid": str(item.member),
        "tid": event.attempt or event.request or event.change or "host",
        "args": dict(_list_fields(event)),
    }


def _locate(page: Page, wanted: Filter) -> list[Located]:
    return [
        Located(clocks.get_sort_key(event.stamp), page.member, index, event)
        for index, event in enumerate(page.events)
        if wanted.accepts(page.member.host, event)
    ]


def _list_fields(event: Event) -> Iterator[tuple[str, str]]:
    for name in ("request", "change", "attempt", "server", "detail"):
        value = getattr(event, name)
        if value:
            yield name, value


def _format_time(wall_us: int) -> str:
    moment = time.gmtime(wall_us // 1_000_000)
    return f"{time.strftime('%H:%M:%S', moment)}.{wall_us % 1_000_000:06d}"
