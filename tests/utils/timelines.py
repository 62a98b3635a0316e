"""Builders of time lines and of hosts that show theirs over HTTP."""

import contextlib
import dataclasses
from collections.abc import Iterator

import eventlet
import eventlet.wsgi

from corianderrill import clocks, credentials, metrics, names, operators, timeline

TOKEN = credentials.Secret("token-of-the-operators")


@dataclasses.dataclass
class Wall:
    """A wall clock that tests move; `skew_ms` is its error."""

    now_ms: int = 1_000_000
    skew_ms: int = 0

    def read_ms(self) -> int:
        return self.now_ms + self.skew_ms

    def read_ns(self) -> int:
        return self.read_ms() * 1_000_000


def build_timeline(
    host: str = "entry-1", wall: Wall | None = None, events_at_most: int = 100
) -> timeline.Timeline:
    """Return the time line of a host."""
    wall = wall or Wall()
    return timeline.Timeline(
        names.MemberId(names.HostName(host), names.Incarnation("1")),
        names.ZoneName("qld-east-1"),
        events_at_most,
        clocks.HybridClock(wall.read_ms),
        wall.read_ns,
    )


def build_sources(events: timeline.Timeline) -> operators.Sources:
    """Return what the operators' interface of a host shows."""
    return operators.Sources(
        TOKEN, metrics.Recorder(), events, lambda: {"host": events.member.host}
    )


@contextlib.contextmanager
def serve(app: object) -> Iterator[str]:
    """Serve a WSGI application on 127.0.0.1 and yield its address."""
    listener = eventlet.listen(("127.0.0.1", 0))
    server = eventlet.spawn(eventlet.wsgi.server, listener, app, log_output=False)
    try:
        yield "{}:{}".format(*listener.getsockname())
    finally:
        server.kill()
        listener.close()
