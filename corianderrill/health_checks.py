"""Health checks of backend servers by their owners, which report them to other hosts.

The owner of a replica requests its state once a second and sends the report to the
live hosts that it knows. A report can drain a replica or end the drain that an earlier
report started; unless another source drains the replica, it is then in slow start.
Compared with no report, the reported load and health can only raise the estimated cost
of requests to the replica. A report also updates the index versions that the replica
is known to hold.

`ReplicaNews.revision` is the highest revision of the platform that the sender knows, so
that every host can detect that the platform was restored from older data.
"""

import time
from collections.abc import Callable, Iterable

import eventlet

from corianderrill import (
    backend_access,
    catalog,
    claimant,
    directory,
    fanout,
    hostlist,
    messages,
    names,
    peers,
    replicas,
)

CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 0.5
MAX_CONCURRENT_CHECKS = 8
MAX_REPORTS_PER_MESSAGE = 256


class HealthChecker:
    """Checks the backend servers of one host and records the reports of other hosts.

    `list_members` returns the live hosts other than this one. `host_claimant` holds the
    highest revision of the platform that this host knows.
    """

    def __init__(
        self,
        server_directory: directory.Directory,
        access: backend_access.BackendAccess,
        fan_out_policy: fanout.FanOutPolicy,
        catalogs: dict[names.FleetName, catalog.Catalog],
        link: peers.PeerLink,
        list_members: Callable[[], Iterable[names.MemberId]],
        host_claimant: claimant.Claimant,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._server_directory = server_directory
        self._backend_access = access
        self._fan_out_policy = fan_out_policy
        self._catalogs = catalogs
        self._link = link
        self._list_members = list_members
        self._claimant = host_claimant
        self._clock = clock
        self._task = None

    def start(self) -> None:
        """Handle the reports of other hosts and start the periodic checks."""
        self._link.register(messages.ReplicaNews, self._handle_news)
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop the periodic checks."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def check_owned_servers(self) -> None:
        """Check the servers that this host owns and send the reports to other hosts."""
        owned = [
            server
            for server in self._server_directory.list_servers()
            if self._backend_access.is_owner(server)
        ]
        pool = eventlet.GreenPool(MAX_CONCURRENT_CHECKS)
        reports = [report for report in pool.imap(self._fetch_report, owned) if report]
        for report in reports:
            self._record_report(report)
        for start in range(0, len(reports), MAX_REPORTS_PER_MESSAGE):
            news = messages.ReplicaNews(
                tuple(reports[start : start + MAX_REPORTS_PER_MESSAGE]),
                self._claimant.highest_revision,
            )
            for member in self._list_members():
                self._link.send(member, news)

    def _run(self) -> None:
        while True:
            self.check_owned_servers()
            eventlet.sleep(CHECK_INTERVAL_S)

    def _fetch_report(
        self, server: hostlist.BackendServer
    ) -> messages.ReplicaReport | None:
        status = self._backend_access.pools.fetch_status(server, CHECK_TIMEOUT_S)
        if status is None:
            return None
        low, high = status.held
        return messages.ReplicaReport(
            server.replica,
            status.load / max(1, server.slots),
            status.healthy,
            status.draining,
            names.IndexVersion(low),
            names.IndexVersion(high),
        )

    def _handle_news(self, delivery: peers.Delivery) -> None:
        self._claimant.record_peer_revision(delivery.envelope.message.revision)
        for report in delivery.envelope.message.reports:
            self._record_report(report)

    def _record_report(self, report: messages.ReplicaReport) -> None:
        now = self._clock()
        health = replicas.HealthReport(report.load, report.healthy)
        self._fan_out_policy.record_report(report.replica, health, report.draining, now)
        server = self._server_directory.find(report.replica)
        fleet_catalog = self._catalogs.get(report.replica.fleet)
        if server is None or fleet_catalog is None:
            return
        for shard in server.shard_ids:
            fleet_catalog.record_held_versions(
                report.replica, shard, report.low, report.high, now
            )
