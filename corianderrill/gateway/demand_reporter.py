"""Publishes this host's demand for services whose replicas advertise rate limits."""

import dataclasses
import enum
import random
from collections.abc import Callable

import eventlet

from corianderrill import names
from corianderrill.gateway import (
    demand,
    event_log,
    loop,
    rate_limits,
    request_rates,
    view,
)
from corianderrill.platform import documents, store

LEASE_TTL_S = 6.0
# Three renewals fit into the lifetime of a lease, so that two may fail.
RENEWAL_INTERVAL_S = 2.0
CHECK_INTERVAL_S = 0.25
MIN_WRITE_INTERVAL_S = 2.0
# All hosts together write at most this often, about. The rest of what the store takes
# is for others.
MAX_TOTAL_WRITES_PER_S = 100.0
# The report is written again when a rate changes by more than this factor, or by more
# than the rate below if that is more.
MIN_CHANGE_FACTOR = 1.4
MIN_CHANGE_PER_S = 0.5
# Replicas may advertise limits again soon after the last one was lifted.
LINGER_S = 5.0
RETRY_DELAY_S = 1.0


class ReportOutcome(enum.Enum):
    """What became of the report; the values are logged."""

    PUBLISHED = "published"
    RENEWAL_FAILED = "renewal-failed"
    FAILED = "failed"
    LOST = "lost"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(slots=True)
class DemandReporter:
    """Keeps the report of one host in the platform's store while it is needed."""

    client: store.StoreClient
    view: view.View
    limits: rate_limits.RateLimits
    rates: request_rates.RequestRates
    zone: names.ZoneName
    log: event_log.EventLog
    rng: random.Random
    clock: Callable[[], float] = loop.read_clock
    _lease: store.Lease | None = None
    _revision: view.StoreRevision = view.StoreRevision(0)
    # Whether the report was written under this lease.
    _is_written: bool = False
    _needed_at: float | None = None
    _write_at: float = 0.0
    _renewed_at: float = 0.0

    def run(self) -> None:
        """Publish the demand whenever there are limits; never returns."""
        while True:
            eventlet.sleep(self.step() * (0.5 + self.rng.random()))

    def step(self) -> float:
        """Do what is due; return the time until the next step, in seconds."""
        try:
            self._update()
        except store.StoreError as error:
            self._handle_failure(error)
            return RETRY_DELAY_S
        return CHECK_INTERVAL_S

    def _update(self) -> None:
        now = self.clock()
        services = self.limits.list_services(self.view, now)
        lifted = self.limits.list_lifted(now)
        if not services and not lifted:
            self._withdraw_if_unused(now)
            return
        if self._needed_at is None:
            # Most hosts hear of a limit at the same time.
            self._write_at = now + self.rng.random() * self._compute_spread_s()
        self._needed_at = now
        rates = {s: round(self.rates.estimate_per_s(s, now), 2) for s in services}
        current = demand.DemandReport(
            self.limits.directory.own_host,
            self.zone,
            rates,
            lifted,
            self.limits.list_announced_cold(now),
        )
        if now >= self._write_at and self._is_outdated(current):
            self._publish(current, now)
        elif self._lease is not None and now - self._renewed_at >= RENEWAL_INTERVAL_S:
            self._renew()

    def _compute_spread_s(self) -> float:
        return self.limits.directory.host_count / MAX_TOTAL_WRITES_PER_S

    def _is_outdated(self, current: demand.DemandReport) -> bool:
        own = self.limits.directory.get_own()
        if not self._is_written or own is None:
            return True
        if current.cold_s.keys() != own.cold_s.keys():
            return True
        return not current.lifted <= own.lifted or any(
            service not in own.requests_per_s
            or _differ(own.requests_per_s[service], per_s)
            for service, per_s in current.requests_per_s.items()
        )

    def _publish(self, report: demand.DemandReport, now: float) -> None:
        directory = self.limits.directory
        if self._lease is None:
            self._lease = self.client.grant_lease(LEASE_TTL_S)
            self._renewed_at = now
        revision = self.client.write_key(
            documents.format_demand_key(directory.own_host),
            documents.encode_demand(report),
            self._lease,
        )
        if revision is None:
            self._drop("the lease has ended")
            return
        self._is_written = True
        self._revision = revision
        self._extend(self._renewed_at)
        done_at = self.clock()
        interval_s = max(MIN_WRITE_INTERVAL_S, self._compute_spread_s())
        self._write_at = done_at + interval_s
        directory.apply(directory.own_host, report, revision, done_at)
        self._record(ReportOutcome.PUBLISHED, sum(report.requests_per_s.values()))

    def _extend(self, sent_at: float) -> None:
        # The lease runs from the arrival of the call, which is later.
        self._renewed_at = sent_at
        self.limits.directory.lease_until = sent_at + LEASE_TTL_S

    def _renew(self) -> None:
        sent_at = self.clock()
        if self.client.keep_lease(self._lease):
            self._extend(sent_at)
        else:
            self._drop("the lease has ended")

    def _handle_failure(self, error: store.StoreError) -> None:
        """Keep the lease while it is certain to last."""
        is_certain = (
            error.kind is not store.FailureKind.RESTORED
            and self.clock() < self.limits.directory.lease_until
        )
        if self._lease is not None and is_certain:
            self._record(ReportOutcome.RENEWAL_FAILED, 0.0, str(error))
        elif self._lease is not None:
            self._drop(str(error))
        else:
            self._record(ReportOutcome.FAILED, 0.0, str(error))

    def _drop(self, reason: str) -> None:
        self._lease = None
        self.limits.directory.lease_until = self.clock()
        self._is_written = False
        self._record(ReportOutcome.LOST, 0.0, reason)

    def _withdraw_if_unused(self, now: float) -> None:
        if self._needed_at is None or now - self._needed_at < LINGER_S:
            return
        self._needed_at = None
        self.withdraw()

    def withdraw(self) -> None:
        """Remove the report, since it is no longer needed or the host shuts down."""
        lease, self._lease = self._lease, None
        was_written, self._is_written = self._is_written, False
        if lease is None or not was_written:
            return
        self.limits.directory.lease_until = self.clock()
        try:
            self.client.remove_key(
                documents.format_demand_key(self.limits.directory.own_host),
                self._revision,
            )
        except store.StoreError as error:
            # The key goes with its lease, which nobody renews.
            self._record(ReportOutcome.LOST, 0.0, str(error))
            return
        self._record(ReportOutcome.WITHDRAWN, 0.0)

    def _record(self, outcome: ReportOutcome, per_s: float, detail: str = "") -> None:
        self.log.record(
            event_log.DemandReported(outcome.value, round(per_s, 2), detail)
        )


def _differ(published_per_s: float, current_per_s: float) -> bool:
    low, high = sorted((published_per_s, current_per_s))
    return high > MIN_CHANGE_FACTOR * low and high - low > MIN_CHANGE_PER_S
