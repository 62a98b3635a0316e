"""What replicas announce in their replies: leaving, a wish for no requests, their load.

A replica that leaves counts as draining from then on, whatever the store says of that
process. One that answers 503 with `Retry-After` gets no request of this host until the
time is over; such a refusal is no fault of the replica.
"""

import dataclasses

from corianderrill import metrics
from corianderrill.gateway import (
    event_log,
    load_records,
    pools,
    replicas,
    replies,
    view,
)

# A replica that asks for more time is asked again after this one.
MAX_QUIET_S = 300.0
MAX_LOGGED_TEXT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingProcess:
    """A process of a replica that has announced its leaving.

    `started_at_ms` is None if its registration does not tell when it started.
    """

    id: replicas.InstanceId
    started_at_ms: int | None


@dataclasses.dataclass(slots=True)
class ReplicaNotices:
    """Applies the notices of replicas to what this host knows.

    Times are in seconds of the host's monotonic clock.
    """

    view: view.View
    log: event_log.EventLog
    meter: metrics.Recorder

    def record_reply(
        self,
        replica: replicas.Replica,
        reply: replies.Reply,
        pool: pools.ConnectionPool,
        now: float,
    ) -> None:
        """Apply what a reply says; it came from the process of the replica."""
        if reply.is_leaving:
            registration = replica.registration
            process = LeavingProcess(replica.id, registration.started_at_ms)
            self._apply_leaving(process, "reply", now)
        match reply.retry_after:
            case replies.RetryAfter(delay_s):
                self._hold_back(replica, delay_s, now)
                pool.reject_held_back()
            case replies.InvalidRetryAfter(text):
                self._record_quiet(replica, 0.0, f"invalid: {text[:MAX_LOGGED_TEXT]}")
        match reply.load_report:
            case replies.LoadReport():
                replica.load.record_report(reply.load_report, now)
            case replies.InvalidLoadReport(text):
                self._record_invalid_load(replica, text)

    def _record_invalid_load(self, replica: replicas.Replica, text: str) -> None:
        self.meter.count(metrics.GATEWAY_INVALID_LOAD_REPORTS)
        self.log.record(
            load_records.LoadReportInvalid(
                replica.id, replica.registration.service, text[:MAX_LOGGED_TEXT]
            )
        )

    def record_leaving(self, process: LeavingProcess, now: float) -> None:
        """Apply what another host was told by a replica."""
        self._apply_leaving(process, "aggregator", now)

    def _apply_leaving(self, process: LeavingProcess, source: str, now: float) -> None:
        if not self.view.mark_leaving(process.id, process.started_at_ms, now):
            return
        self.meter.count(metrics.GATEWAY_REPLICA_NOTICES, "leaving")
        self.log.record(
            event_log.ReplicaLeaving(process.id, process.started_at_ms, source)
        )

    def _hold_back(self, replica: replicas.Replica, delay_s: float, now: float) -> None:
        bounded_s = min(delay_s, MAX_QUIET_S)
        until = now + bounded_s
        if until <= replica.quiet_until:
            return
        replica.quiet_until = until
        is_bounded = bounded_s < delay_s
        detail = f"bounded: {delay_s:.3g} s" if is_bounded else ""
        self._record_quiet(replica, bounded_s, detail)

    def _record_quiet(
        self, replica: replicas.Replica, delay_s: float, detail: str
    ) -> None:
        self.meter.count(metrics.GATEWAY_REPLICA_NOTICES, "quiet")
        self.log.record(
            event_log.ReplicaQuiet(
                replica.id, replica.registration.service, round(delay_s, 3), detail
            )
        )
