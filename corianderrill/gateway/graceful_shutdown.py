"""The graceful shutdown of a process: what has arrived is answered within the grace."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

import eventlet

from corianderrill.gateway import (
    caller_connections,
    event_log,
    in_flight,
    listeners,
    loop,
)

# The load balancer probes readiness once a second and acts on two equal results in a
# row. So a host that shuts down first reports not ready for two intervals and a margin.
ANNOUNCE_S = 2.4
# The process exits this long before the platform would kill it.
GRACE_MARGIN_S = 0.3
# Of the time before the exit, kept for writing the answers of what has not ended.
ANSWER_TIME_S = 0.25
POLL_INTERVAL_S = 0.02


class App(Protocol):
    """An application whose requests end before the process does."""

    in_flight: in_flight.InFlightRequests

    def begin_shutdown(self, must_end_at: float) -> None:
        """Close each connection after its response; know all answers by a time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An address that the process listens on, and what serves it."""

    listener: listeners.Listener
    server: caller_connections.Server
    app: App

    def run(self) -> None:
        """Serve the connections; never returns."""
        self.server.run(self.listener, self.app)


class GracefulShutdown:
    """The shutdown of the endpoints of a process, which exits after `finish`.

    Requests may finish within the grace time. Those that do not are answered before it
    is over.
    """

    def __init__(
        self, endpoints: Sequence[Endpoint], grace_s: float, log: event_log.EventLog
    ) -> None:
        self._endpoints = endpoints
        self._log = log
        self._exit_at = loop.read_clock() + grace_s - GRACE_MARGIN_S
        self._must_end_at = self._exit_at - ANSWER_TIME_S

    def announce(self, signal_name: str) -> None:
        """Let each response end its connection, until the load balancer has noticed."""
        self._log.record(event_log.Stopping(signal_name, self._count_in_flight()))
        for endpoint in self._endpoints:
            endpoint.app.begin_shutdown(self._must_end_at)
        eventlet.sleep(ANNOUNCE_S)

    def finish(self) -> None:
        """Refuse connections, close idle ones, and wait for the answers on others."""
        for endpoint in self._endpoints:
            endpoint.listener.stop()
            endpoint.server.stop()
        self._wait_for_connections(self._must_end_at)
        for endpoint in self._endpoints:
            endpoint.app.in_flight.end_forwarded()
        self._wait_for_connections(self._exit_at)
        # Leaves time to send the last responses.
        eventlet.sleep(POLL_INTERVAL_S)
        unanswered = self._count_in_flight()
        ending = "grace-over" if unanswered else "finished"
        self._log.record(event_log.Stopped(ending, unanswered))

    def _wait_for_connections(self, until: float) -> None:
        """Wait until all requests have their answer, or until a time.

        A connection that is still open carries a request, or its beginning.
        """
        while self._is_serving() and loop.read_clock() < until:
            eventlet.sleep(POLL_INTERVAL_S)

    def _is_serving(self) -> bool:
        connections = sum(e.server.count_connections() for e in self._endpoints)
        return bool(connections or self._count_in_flight())

    def _count_in_flight(self) -> int:
        return sum(endpoint.app.in_flight.unwritten for endpoint in self._endpoints)
