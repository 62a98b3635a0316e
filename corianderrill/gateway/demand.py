"""How the hosts divide the rate limit of a replica among each other.

No host sees what the others send. While replicas advertise limits, each host therefore
publishes in the platform's store how many requests a second it has for their services,
under a lease, and all hosts learn of it with the watch that they have open anyway. A
host's share of a limit is its part of the published demand, so the shares add up to one
for hosts that have read the same reports.
"""

import dataclasses
import math
from collections.abc import Mapping

from corianderrill import names
from corianderrill.gateway import replicas, view

# Hosts of other availability zones than the replica's use it when their own replicas
# are short, so they need less of its limit.
OTHER_ZONE_WEIGHT = 0.25
# Time in which all hosts have read a report.
SETTLING_TIME_S = 2.0
# A host whose demand is not published takes this part of an even share, since the
# hosts whose demand is divide the whole limit among themselves.
UNPUBLISHED_FACTOR = 0.5
# Keeps the shares of hosts without demand above zero.
MIN_DEMAND_PER_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReport:
    """What a host tells the others while replicas advertise limits.

    `requests_per_s` is its demand for each service with a limited replica. `lifted` are
    the replicas that it just saw without the limit they had. `cold_s` is for how long
    replicas were cold when the report was written, by their replies to this host.
    """

    host: names.HostName
    zone: names.ZoneName
    requests_per_s: Mapping[names.ServiceName, float]
    lifted: frozenset[replicas.InstanceId] = frozenset()
    cold_s: Mapping[replicas.InstanceId, float] = dataclasses.field(
        default_factory=dict
    )

    def weigh(self, service: names.ServiceName, zone: names.ZoneName) -> float:
        """Return the weight of the host for a replica of a service in a zone."""
        per_s = self.requests_per_s.get(service)
        if per_s is None:
            return 0.0
        factor = 1.0 if zone == self.zone else OTHER_ZONE_WEIGHT
        return factor * max(per_s, MIN_DEMAND_PER_S)


@dataclasses.dataclass(slots=True)
class DemandDirectory:
    """The demand reports of all hosts, as one host knows them.

    `host_count` is how many hosts there are about. `lease_until` is until when the own
    report is certain to be in the store. Times are in seconds of the host's monotonic
    clock.
    """

    own_host: names.HostName
    host_count: float = 1.0
    lease_until: float = -math.inf
    _reports: dict[names.HostName, DemandReport] = dataclasses.field(
        default_factory=dict
    )
    _revisions: dict[names.HostName, view.StoreRevision] = dataclasses.field(
        default_factory=dict
    )
    # By service and zone of the replica; sums over many hosts.
    _total_weights: dict[tuple[names.ServiceName, names.ZoneName], float] = (
        dataclasses.field(default_factory=dict)
    )
    # Sums over all hosts, kept until a report changes.
    _demands: dict[names.ServiceName, float] = dataclasses.field(default_factory=dict)
    # Reports that a restored store lacks, and when their leases have run out.
    _lapse_at: dict[names.HostName, float] = dataclasses.field(default_factory=dict)
    _settled_at: dict[names.ServiceName, float] = dataclasses.field(
        default_factory=dict
    )

    def apply(
        self,
        host: names.HostName,
        report: DemandReport | None,
        revision: view.StoreRevision,
        now: float,
    ) -> bool:
        """Set the report of a host; return False if a newer one was applied before."""
        if revision <= self._revisions.get(host, 0):
            return False
        self._revisions[host] = revision
        self._lapse_at.pop(host, None)
        if report is None:
            self._reports.pop(host, None)
        else:
            self._reports[host] = report
        self._clear_sums()
        if host == self.own_host:
            self._update_settling(now)
        return True

    def enter_era(self) -> None:
        """Take any revision for a new one, since the store counts them anew."""
        self._revisions.clear()

    def keep_until(self, host: names.HostName, lapse_at: float) -> None:
        """Count a report that a restored store lacks until its lease has run out.

        Its host may not know yet that it is gone.
        """
        self._lapse_at[host] = lapse_at

    def drop_lapsed(self, now: float) -> None:
        """Drop the kept reports whose leases have run out."""
        lapsed = [host for host, at in self._lapse_at.items() if now >= at]
        for host in lapsed:
            del self._lapse_at[host]
            self._reports.pop(host, None)
            self._clear_sums()

    def _clear_sums(self) -> None:
        self._total_weights.clear()
        self._demands.clear()

    def _update_settling(self, now: float) -> None:
        own = self.get_own()
        services = () if own is None else own.requests_per_s
        self._settled_at = {
            service: self._settled_at.get(service, now + SETTLING_TIME_S)
            for service in services
        }

    def get_own(self) -> DemandReport | None:
        """Return the report of this host that is in the store; None without one."""
        return self._reports.get(self.own_host)

    def list_cold_of_others(self) -> set[replicas.InstanceId]:
        """Return the replicas that reports of other hosts name as cold."""
        return {
            replica_id
            for host, report in self._reports.items()
            if host != self.own_host
            for replica_id in report.cold_s
        }

    def list_hosts(self) -> set[names.HostName]:
        """Return the hosts with a report."""
        return set(self._reports)

    def compute_share(
        self, service: names.ServiceName, zone: names.ZoneName, now: float
    ) -> float:
        """Return this host's share of the limit of a replica in a zone, 0 to 1.

        A host whose own report the others may not know, or not know any more, takes at
        most an even share.
        """
        even = 1.0 / max(self.host_count, 1.0)
        total = self._get_total_weight(service, zone)
        own = self.get_own()
        own_weight = 0.0 if own is None else own.weigh(service, zone)
        if not own_weight:
            return UNPUBLISHED_FACTOR * even if total else even
        share = own_weight / total
        return share if self._is_settled(service, now) else min(share, even)

    def _is_settled(self, service: names.ServiceName, now: float) -> bool:
        """Return whether the others know this host's demand for a service."""
        settled_at = self._settled_at.get(service, math.inf)
        return settled_at <= now < self.lease_until

    def estimate_demand_per_s(self, service: names.ServiceName, now: float) -> float:
        """Return the demand of all hosts for a service, in requests a second.

        Hosts without a report are taken to have as much as the others. It is infinite
        while this host may not know the reports of the others.
        """
        if not self._is_settled(service, now):
            return math.inf
        demand_per_s = self._demands.get(service)
        if demand_per_s is None:
            demand_per_s = self._demands[service] = self._sum_demand_per_s(service)
        return demand_per_s

    def _sum_demand_per_s(self, service: names.ServiceName) -> float:
        published = [
            max(report.requests_per_s[service], MIN_DEMAND_PER_S)
            for report in self._reports.values()
            if service in report.requests_per_s
        ]
        if not published:
            return math.inf
        return sum(published) * max(self.host_count / len(published), 1.0)

    def _get_total_weight(
        self, service: names.ServiceName, zone: names.ZoneName
    ) -> float:
        total = self._total_weights.get((service, zone))
        if total is None:
            total = sum(
                report.weigh(service, zone) for report in self._reports.values()
            )
            self._total_weights[service, zone] = total
        return total
