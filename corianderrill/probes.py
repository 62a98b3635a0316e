"""Probes of backend servers by their owners, and the news of them to other hosts.

The owner of a replica asks it for its state once a second and tells the hosts of its
view what it heard. A report may stop new work or add caution; it never adds trust.
The news also tell the highest revision of the platform that a host has heard of, so
that every host can see when the platform comes back older.
"""

import time
from collections.abc import Callable, Iterable

import eventlet

from corianderrill import (
    carriers,
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

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5
PROBES_AT_ONCE = 8
ITEMS_PER_MESSAGE = 256


class ProbeTask:
    """Owns the probing of one host and takes the news of others.

    `list_members` returns the live hosts other than this one.
    """

    def __init__(
        self,
        servers: directory.Directory,
        carrier: carriers.Carrier,
        steering: fanout.FanOutPolicy,
        catalogs: dict[names.FleetName, catalog.Catalog],
        link: peers.PeerLink,
        list_members: Callable[[], Iterable[names.MemberId]],
        claimed: claimant.Claimant,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._servers = servers
        self._carrier = carrier
        self._steering = steering
        self._catalogs = catalogs
        self._link = link
        self._list_members = list_members
        self._claimed = claimed
        self._clock = clock
        self._task = None

    def start(self) -> None:
        """Take news and start to probe."""
        self._link.register(messages.ReplicaNews, self._take_news)
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Probe no more."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def probe(self) -> None:
        """Ask every server that this host owns, and tell the others."""
        owned = [
            server
            for server in self._servers.list_servers()
            if self._carrier.is_owner(server)
        ]
        pool = eventlet.GreenPool(PROBES_AT_ONCE)
        reports = [report for report in pool.imap(self._ask, owned) if report]
        for report in reports:
            self._apply(report)
        for start in range(0, len(reports), ITEMS_PER_MESSAGE):
            news = messages.ReplicaNews(
                tuple(reports[start : start + ITEMS_PER_MESSAGE]),
                self._claimed.highest_revision,
            )
            for member in self._list_members():
                self._link.send(member, news)

    def _run(self) -> None:
        while True:
            self.probe()
            eventlet.sleep(PROBE_INTERVAL_S)

    def _ask(self, server: hostlist.BackendServer) -> messages.ReplicaReport | None:
        status = self._carrier.pools.fetch_status(server, PROBE_TIMEOUT_S)
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

    def _take_news(self, delivery: peers.Delivery) -> None:
        self._claimed.record_peer_revision(delivery.envelope.message.revision)
        for report in delivery.envelope.message.reports:
            self._apply(report)

    def _apply(self, report: messages.ReplicaReport) -> None:
        now = self._clock()
        reported = replicas.HealthReport(report.load, report.healthy)
        self._steering.record_report(report.replica, reported, report.draining, now)
        server = self._servers.find(report.replica)
        known = self._catalogs.get(report.replica.fleet)
        if server is None or known is None:
            return
        for shard in server.shard_ids:
            known.record_held_versions(
                report.replica, shard, report.low, report.high, now
            )
