"""Rate limits that replicas advertise in their replies, and when they let a host send.

An overloaded replica advertises how many requests a second it accepts from all hosts
together, for as long as its replies say so. A host spaces its requests to such a
replica by its share of the limit (a generic cell rate algorithm). A request that finds
no share left goes elsewhere or is not sent; none waits, since those with the most time
would then use up the share of those with the least.

Cold replicas have a limit as well, by the configuration of their service. Hosts divide
it in the same way; `cold_limits` spaces the requests.
"""

import dataclasses
import enum
import random
from collections.abc import Iterable

from corianderrill import metrics, names
from corianderrill.gateway import (
    cold_limits,
    cold_records,
    demand,
    event_log,
    replicas,
    replies,
    view,
)

MAX_LOGGED_TEXT = 100
# Unused time of a host's share that may be used later, for a short burst.
BURST_S = 1.0
# Requests come irregularly, so a host cannot use all that its limits allow.
USABLE_SHARE = 0.95
# All hosts together send at least this rate, however low a limit is, since only a reply
# shows that it has been lifted.
MIN_TOTAL_PER_S = 1.0
# How long a host tells the others that a limit was lifted.
LIFT_NEWS_S = 5.0
# A replica that says that it is cold for longer counts as cold for this time.
MAX_ANNOUNCED_COLD_S = 600.0
# Other hosts are not told of a replica that is cold for less than this beyond the time
# that the store tells.
KNOWN_COLD_SLACK_S = 1.0
# All hosts read each report; a zone may return with hundreds of cold replicas.
MAX_REPORTED_COLD = 32


class NoticeOutcome(enum.Enum):
    """The effect of what a reply says about a limit; the values are logged."""

    APPLIED = "applied"
    LIFTED = "lifted"
    LIFTED_ELSEWHERE = "lifted-elsewhere"
    INVALID = "invalid"


@dataclasses.dataclass(slots=True)
class RateLimits:
    """The rate limits that this host knows, each stored with its replica.

    `_limited` are those that advertise one, `_cold` those that are cold and have a
    limit for that. Times are in seconds of the host's monotonic clock.
    """

    directory: demand.DemandDirectory
    log: event_log.EventLog
    meter: metrics.Recorder
    rng: random.Random
    cold: cold_limits.ColdLimits = dataclasses.field(init=False)
    _cold: set[replicas.Replica] = dataclasses.field(default_factory=set)
    _limited: set[replicas.Replica] = dataclasses.field(default_factory=set)
    _lifted_at: dict[replicas.InstanceId, float] = dataclasses.field(
        default_factory=dict
    )
    # Until when replicas are cold that said so to this host.
    _announced_until: dict[replicas.InstanceId, float] = dataclasses.field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        self.cold = cold_limits.ColdLimits(self.rng)

    def record_reply(
        self, replica: replicas.Replica, reply: replies.Reply, now: float
    ) -> None:
        """Apply what a reply says about the limit and the warm-up of its replica.

        A reply without a limit lifts it only if it is a success: others may come from
        a layer of the replica that knows no limits.
        """
        match reply.warmup:
            case replies.Warmup(left_s):
                bounded_s = min(left_s, MAX_ANNOUNCED_COLD_S)
                replica.announced_cold_until = now + bounded_s
                replica.warmup_told_at = now
                self._announced_until[replica.id] = now + bounded_s
                self._note_cold(replica, "reply", now)
            case replies.InvalidWarmup(text) if replica.warmup_limit_per_s is not None:
                self._record_cold(replica, f"invalid: {text[:MAX_LOGGED_TEXT]}", now)
        match reply.rate_limit:
            case replies.RateLimit(requests_per_s):
                replica.rate_limit_seen_at = now
                if requests_per_s != replica.rate_limit_per_s:
                    self._apply(replica, requests_per_s, now)
            case replies.InvalidRateLimit(text):
                kept_per_s = replica.rate_limit_per_s
                self._record(
                    replica, kept_per_s, kept_per_s, NoticeOutcome.INVALID, text
                )
            case None if (
                replica.rate_limit_per_s is not None and 200 <= reply.status < 300
            ):
                self._lift(replica, NoticeOutcome.LIFTED)
                self._lifted_at[replica.id] = now

    def apply_report(
        self,
        host: names.HostName,
        report: demand.DemandReport | None,
        revision: view.StoreRevision,
        now: float,
    ) -> bool:
        """Apply the report of a host, or its removal; return False if it is stale.

        A limit that it saw lifted is lifted here as well, unless the replica advertised
        it to this host so shortly before that the news may be older.
        """
        if not self.directory.apply(host, report, revision, now):
            return False
        if report is None:
            return True
        for replica in list(self._limited):
            is_old = now - replica.rate_limit_seen_at >= demand.SETTLING_TIME_S
            if is_old and replica.id in report.lifted:
                self._lift(replica, NoticeOutcome.LIFTED_ELSEWHERE)
        return True

    def apply_reported_cold(
        self, report: demand.DemandReport, current: view.View, now: float
    ) -> None:
        """Take replicas for cold that said so to another host.

        What a replica said to this host a moment ago may be newer.
        """
        for replica_id, left_s in report.cold_s.items():
            replica = current.find_replica(replica_id)
            if replica is None or now - replica.warmup_told_at < demand.SETTLING_TIME_S:
                continue
            until = now + min(left_s, MAX_ANNOUNCED_COLD_S)
            replica.announced_cold_until = max(replica.announced_cold_until, until)
            self._note_cold(replica, "report", now)

    def list_announced_cold(self, now: float) -> dict[replicas.InstanceId, float]:
        """Return for how long replicas are still cold that said so to this host.

        Those that other hosts know of are left out: from the store, or from a report.
        So are those whose service has no limit for cold replicas.
        """
        self._announced_until = {
            replica_id: until
            for replica_id, until in self._announced_until.items()
            if until > now
        }
        own = self.directory.get_own()
        published = () if own is None else own.cold_s
        reported = self.directory.list_cold_of_others()
        unknown = [
            replica
            for replica in self._cold
            if (until := self._announced_until.get(replica.id)) is not None
            and until > replica.compute_stored_cold_end() + KNOWN_COLD_SLACK_S
            and (replica.id in published or replica.id not in reported)
        ]
        return {
            replica.id: self._announced_until[replica.id] - now
            for replica in sorted(unknown, key=_get_id)[:MAX_REPORTED_COLD]
        }

    def list_lifted(self, now: float) -> frozenset[replicas.InstanceId]:
        """Return the replicas that this host just saw without the limit they had."""
        self._lifted_at = {
            replica_id: at
            for replica_id, at in self._lifted_at.items()
            if now - at < LIFT_NEWS_S
        }
        return frozenset(self._lifted_at)

    def _apply(self, replica: replicas.Replica, per_s: float, now: float) -> None:
        before_per_s = replica.rate_limit_per_s
        replica.rate_limit_per_s = per_s
        if before_per_s is None:
            self._limited.add(replica)
            self._lifted_at.pop(replica.id, None)
            # Requests that were sent just before count as well, so there is no burst.
            # Hosts that are told at the same time begin at different ones.
            interval_s = self._compute_interval_s(replica, now)
            tolerance_s = max(BURST_S - interval_s, 0.0)
            delay_s = interval_s * (1.0 - self.rng.random())
            replica.next_slot_at = now + tolerance_s + delay_s
        self._record(replica, per_s, before_per_s, NoticeOutcome.APPLIED)

    def _lift(self, replica: replicas.Replica, outcome: NoticeOutcome) -> None:
        before_per_s = replica.rate_limit_per_s
        replica.rate_limit_per_s = None
        self._limited.discard(replica)
        self._record(replica, None, before_per_s, outcome)

    def _record(
        self,
        replica: replicas.Replica,
        per_s: float | None,
        before_per_s: float | None,
        outcome: NoticeOutcome,
        detail: str = "",
    ) -> None:
        self.meter.count(metrics.GATEWAY_RATE_LIMITS, outcome.value)
        self.log.record(
            event_log.RateLimitSeen(
                replica=replica.id,
                service=replica.registration.service,
                per_s=per_s,
                before_per_s=before_per_s,
                outcome=outcome.value,
                detail=detail[:MAX_LOGGED_TEXT],
            )
        )

    def has_any(self) -> bool:
        """Return whether any replica advertises a limit or is cold."""
        return bool(self._limited or self._cold)

    def list_services(self, current: view.View, now: float) -> set[names.ServiceName]:
        """Return the services with a limited replica; forget those that are gone."""
        if self._limited:
            self._limited = set(current.list_rate_limited())
        if self._cold:
            self._drop_warm(current, now)
        limited = (*self._limited, *self._cold)
        return {replica.registration.service for replica in limited}

    def refresh_cold(self, current: view.View, now: float) -> None:
        """Apply the limits of the configuration to all replicas; note the cold ones."""
        configuration = current.configuration
        if configuration is None:
            return
        if not configuration.has_warmup_limits and not self._cold:
            return
        for replica in current.list_replicas():
            service = configuration.services.get(replica.registration.service)
            replica.warmup_limit_per_s = (
                None if service is None else service.warmup_requests_per_s
            )
            replica.service_warmup_s = 0.0 if service is None else service.warmup_s
            self._note_cold(replica, "store", now)

    def _note_cold(self, replica: replicas.Replica, source: str, now: float) -> None:
        if replica.is_cold(now) and replica not in self._cold:
            self._cold.add(replica)
            self.meter.count(metrics.GATEWAY_COLD_REPLICAS, "cold")
            self._record_cold(replica, source, now)

    def _drop_warm(self, current: view.View, now: float) -> None:
        in_use = set(current.list_replicas())
        for replica in list(self._cold):
            if replica.is_cold(now) and replica in in_use:
                continue
            self._cold.discard(replica)
            self.meter.count(metrics.GATEWAY_COLD_REPLICAS, "warm")
            self._record_cold(replica, "warm" if replica in in_use else "gone", now)

    def _record_cold(self, replica: replicas.Replica, source: str, now: float) -> None:
        left_s = max(replica.compute_cold_end() - now, 0.0)
        self.log.record(
            cold_records.ReplicaCold(
                replica=replica.id,
                service=replica.registration.service,
                source=source,
                left_ms=round(1000 * left_s),
                limit_per_s=replica.warmup_limit_per_s,
            )
        )

    def is_limited(self, replica: replicas.Replica, now: float) -> bool:
        """Return whether a limit applies to a replica now."""
        return replica.rate_limit_per_s is not None or replica.is_cold(now)

    def compute_delay_s(self, replica: replicas.Replica, now: float) -> float:
        """Return when the limits allow the next request to a replica, in seconds."""
        cold_delay_s = 0.0
        if replica.is_cold(now):
            slots = self._plan_slots(replica, now)
            cold_delay_s = self.cold.compute_delay_s(replica, slots, now)
        return max(cold_delay_s, self._compute_advertised_delay_s(replica, now))

    def _compute_advertised_delay_s(
        self, replica: replicas.Replica, now: float
    ) -> float:
        if replica.rate_limit_per_s is None:
            return 0.0
        interval_s = self._compute_interval_s(replica, now)
        tolerance_s = max(BURST_S - interval_s, 0.0)
        return max(replica.next_slot_at - tolerance_s - now, 0.0)

    def compute_shortage(
        self, limited: Iterable[replicas.Replica], demand_per_s: float, now: float
    ) -> float:
        """Return the share of this host's demand that limits do not allow, 0 to 1."""
        allowed_per_s = sum(
            1.0 / self._compute_longest_interval_s(replica, now) for replica in limited
        )
        if demand_per_s <= 0.0:
            return 0.0
        return max(1.0 - USABLE_SHARE * allowed_per_s / demand_per_s, 0.0)

    def acquire(self, replica: replicas.Replica, now: float) -> bool:
        """Use the share of this host for one request to a replica, if it is limited.

        Return whether it is.
        """
        is_cold = replica.is_cold(now)
        if is_cold:
            self.cold.use_slot(replica, self._plan_slots(replica, now), now)
        if replica.rate_limit_per_s is None:
            return is_cold
        interval_s = self._compute_interval_s(replica, now)
        replica.next_slot_at = max(replica.next_slot_at, now) + interval_s
        return True

    def release(self, replica: replicas.Replica, now: float) -> None:
        """Give back what was acquired for a request that was not sent."""
        if replica.rate_limit_per_s is not None:
            replica.next_slot_at -= self._compute_interval_s(replica, now)
        if replica.is_cold(now):
            self.cold.return_slot(replica, self._plan_slots(replica, now))

    def _compute_longest_interval_s(
        self, replica: replicas.Replica, now: float
    ) -> float:
        intervals_s = []
        if replica.rate_limit_per_s is not None:
            intervals_s.append(self._compute_interval_s(replica, now))
        if replica.is_cold(now):
            intervals_s.append(self._plan_slots(replica, now).interval_s)
        return max(intervals_s)

    def _plan_slots(self, replica: replicas.Replica, now: float) -> cold_limits.Slots:
        """Return the slots of this host for a cold replica."""
        registration = replica.registration
        directory = self.directory
        return self.cold.plan_slots(
            replica.warmup_limit_per_s,
            directory.compute_share(registration.service, registration.zone, now),
            directory.host_count,
            directory.estimate_demand_per_s(registration.service, now),
        )

    def _compute_interval_s(self, replica: replicas.Replica, now: float) -> float:
        registration = replica.registration
        share = self.directory.compute_share(
            registration.service, registration.zone, now
        )
        min_per_s = MIN_TOTAL_PER_S / max(self.directory.host_count, 1.0)
        return 1.0 / max(share * replica.rate_limit_per_s, min_per_s)


def _get_id(replica: replicas.Replica) -> replicas.InstanceId:
    return replica.id
