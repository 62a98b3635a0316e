"""Finds out whether a replica ended while it ran a request, and notes it.

A connection that breaks before the reply may have been reset on the way, or the reply
was lost. The replica has ended if nothing accepts connections at its address any more.
"""

import dataclasses
import enum
from collections.abc import Callable

import eventlet

from corianderrill import metrics, names
from corianderrill.gateway import (
    connections,
    event_log,
    loop,
    quarantine,
    replicas,
    view,
)
from corianderrill.platform import requests

CONNECT_TIMEOUT_S = 0.5

_BREAKS = (connections.Failure.RESET, connections.Failure.CLOSED)


class Liveness(enum.Enum):
    """Whether a server accepts connections; the values are logged."""

    LISTENING = "listening"
    ENDED = "ended"
    UNKNOWN = "unknown"


LivenessCheck = Callable[[names.Address, Callable[[Liveness], None]], None]


def check_liveness(address: names.Address, report: Callable[[Liveness], None]) -> None:
    """Connect to an address in the background, and report what comes of it."""
    eventlet.spawn_n(lambda: report(_connect(address)))


def _connect(address: names.Address) -> Liveness:
    with eventlet.Timeout(CONNECT_TIMEOUT_S, False):
        try:
            eventlet.connect((address.ip, address.port)).close()
        except ConnectionRefusedError:
            return Liveness.ENDED
        except OSError:
            # Also what a host that is cut off from the replica sees.
            return Liveness.UNKNOWN
        return Liveness.LISTENING
    return Liveness.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspect:
    """A request whose attempt broke off; `has_reply` tells whether one came since.

    `on_concluded` is called when it is known whether the replica has ended.
    """

    request: requests.InboundRequest
    has_reply: Callable[[], bool]
    on_concluded: Callable[[], None]


@dataclasses.dataclass(slots=True)
class CrashWatch:
    """Notes in the quarantine which requests replicas ran when they ended.

    `on_noted` is called after a crash was noted, or notes were withdrawn.
    """

    quarantine: quarantine.Quarantine
    view: view.View
    log: event_log.EventLog
    meter: metrics.Recorder
    clock: Callable[[], float] = loop.read_clock
    check: LivenessCheck = check_liveness
    on_noted: Callable[[], None] = lambda: None
    # By process of a replica that is being checked.
    _suspects: dict[str, list[_Suspect]] = dataclasses.field(default_factory=dict)

    def record_break(
        self,
        replica: replicas.Replica,
        exchange: connections.FailedExchange,
        request: requests.InboundRequest,
        has_reply: Callable[[], bool],
        on_concluded: Callable[[], None] = lambda: None,
    ) -> bool:
        """Find out whether a replica ended while it ran a request.

        Return False if the exchange ended in a way that does not suggest it, or if the
        replica is evacuated, so that nothing may connect to it.
        """
        if not exchange.sent or exchange.failure not in _BREAKS:
            return False
        if replica.is_evacuated:
            return False
        registration = replica.registration
        process = f"{registration.id}/{registration.started_at_ms or 0}"
        suspect = _Suspect(request, has_reply, on_concluded)
        if process in self._suspects:
            self._suspects[process].append(suspect)
            return True
        self._suspects[process] = [suspect]
        self.check(
            registration.address,
            lambda liveness: self._conclude(process, registration.service, liveness),
        )
        return True

    def _conclude(
        self, process: str, service: names.ServiceName, liveness: Liveness
    ) -> None:
        suspects = self._suspects.pop(process)
        self.meter.count(metrics.GATEWAY_BROKEN_EXCHANGES, liveness.value)
        for suspect in suspects:
            if liveness is Liveness.ENDED and not suspect.has_reply():
                self._note(process, service, suspect.request)
        for suspect in suspects:
            suspect.on_concluded()

    def _note(
        self,
        process: str,
        service: names.ServiceName,
        request: requests.InboundRequest,
    ) -> None:
        fingerprint = request.fingerprint
        now = self.clock()
        crash = quarantine.Crash(process, request.id)
        if not self.quarantine.record_crash(fingerprint, crash, now):
            return
        verdict = self.assess(request)
        self.log.record(
            event_log.ReplicaCrashed(
                request.id, fingerprint, process, service, verdict.value
            )
        )
        self.on_noted()

    def assess(self, request: requests.InboundRequest) -> quarantine.Verdict:
        """Return what may be done with a request."""
        if self.quarantine.is_empty():
            return quarantine.Verdict.CLEAR
        is_store_known = self.view.is_current(self.clock())
        return self.quarantine.assess(request.fingerprint, is_store_known)

    def record_reply(self, request: requests.InboundRequest) -> None:
        """Clear a request that a replica replied to."""
        if self.quarantine.is_empty():
            return
        fingerprint = request.fingerprint
        if self.quarantine.clear(fingerprint):
            self.log.record(event_log.SuspicionCleared(request.id, fingerprint))
            self.on_noted()
