"""The part of an entry host that communicates with the other entry hosts.

It manages the link to peers and the tasks that use it: membership, dissemination of the
configuration, replica ownership, claims, health checks of backend servers, and
bootstrap from peers while the platform is unavailable.
"""

import dataclasses
import random
import time
from collections.abc import Iterable

from corianderrill import (
    backend_access,
    bootstrap,
    claimant,
    claims,
    configuration_watcher,
    fanout,
    health_checks,
    heartbeats,
    hostlist,
    keyvalue,
    knowledge,
    logs,
    membership,
    messages,
    metrics,
    metrics_collection,
    names,
    peers,
    propagation,
    settings,
    timeline,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Telemetry:
    """The metrics, the event timeline and the log of a host."""

    recorder: metrics.Recorder
    events: timeline.Timeline
    journal: logs.Journal


class Cluster:
    """Starts, connects and stops the tasks of a host that communicate with peers."""

    def __init__(
        self,
        values: settings.Settings,
        member: names.MemberId,
        known: knowledge.Knowledge,
        key_value_client: keyvalue.Client,
        fan_out_policy: fanout.FanOutPolicy,
        telemetry: Telemetry,
    ):
        self._settings = values
        self._member = member
        self._knowledge = known
        self._key_value_client = key_value_client
        self._fan_out_policy = fan_out_policy
        self._telemetry = telemetry
        self.link = peers.PeerLink(
            member,
            values.listen.peers,
            _make_peer_keys(values.keys),
            stamp=telemetry.events.clock.stamp,
            observe=telemetry.events.clock.observe,
        )

    def start(self) -> None:
        """Join the cluster and start all tasks."""
        self.link.start()
        own_record = messages.MemberRecord(
            self._member,
            self._settings.host.zone,
            self.link.address,
            messages.MemberState.ALIVE,
        )
        self.heartbeats = heartbeats.HeartbeatTask(
            own_record,
            self.link,
            self._settings.platform.seeds,
            self._handle_member_change,
        )
        self.heartbeats.start()
        self._watcher = configuration_watcher.ConfigurationWatcher(
            propagation.Peer(self._member, own_record.zone),
            propagation.Propagator(
                self._member,
                own_record.zone,
                self._knowledge.configuration,
                random.Random(),
            ),
            self._key_value_client,
            self.link,
            self._list_peers,
            self._telemetry.recorder,
            self._telemetry.journal,
        )
        self._watcher.start()
        self.backend_access = backend_access.make_backend_access(
            self._settings,
            self._member,
            self._knowledge.directory,
            self.link,
            self.heartbeats,
            self._key_value_client,
        )
        self.backend_access.start()
        self._start_claims()
        self._health_checker = health_checks.HealthChecker(
            self._knowledge.directory,
            self.backend_access,
            self._fan_out_policy,
            self._knowledge.catalogs,
            self.link,
            self._list_other_members,
            self.claimant,
        )
        self._health_checker.start()
        self._start_bootstrap()

    def _start_claims(self) -> None:
        budget = claims.WriteBudget(claimant.MAX_CLAIM_WRITES_PER_S)
        self.claimant = claimant.make_claimant(
            self._member, self._key_value_client, budget, self._is_alive
        )
        self._claim_maintenance = claimant.make_claim_maintenance(
            self._member,
            self._key_value_client,
            self.claimant,
            budget,
            self._list_live_members,
        )
        self._claim_maintenance.start()

    def _start_bootstrap(self) -> None:
        self._bootstrap_task = bootstrap.BootstrapTask(
            self.link,
            self._knowledge.catalogs,
            lambda: self._knowledge.hosts,
            lambda: self._knowledge.lacks_platform,
            self.apply_host_list,
            self._list_other_members,
            random.Random(),
        )
        self._bootstrap_task.start()

    def _is_alive(self, member: names.MemberId) -> bool:
        state = self.heartbeats.membership.get_state(member)
        return state not in (None, messages.MemberState.DEAD)

    def _list_live_members(self) -> tuple[names.MemberId, ...]:
        usable = self.heartbeats.membership.list_usable()
        return tuple(record.member for record in usable)

    def _list_other_members(self) -> tuple[names.MemberId, ...]:
        return tuple(
            member for member in self._list_live_members() if member != self._member
        )

    def _list_peers(self) -> Iterable[propagation.Peer]:
        return tuple(
            configuration_watcher.select_live_peers(
                self.heartbeats.membership.list_records()
            )
        )

    def _handle_member_change(self, change: membership.Change) -> None:
        self.backend_access.handle_member_change(change)
        state = change.after.value if change.after else "forgotten"
        self._telemetry.journal.change(change.member, state)
        self._telemetry.events.record(
            timeline.Kind.MEMBER_CHANGED, detail=f"{change.member} {state}"
        )

    def apply_host_list(self, hosts: hostlist.HostList) -> None:
        """Apply a new host list to all parts that use it."""
        now = time.monotonic()
        self._knowledge.hosts = hosts
        for replica in self._knowledge.directory.replace(hosts.backend_servers):
            self.backend_access.remove_replica(replica)
        self._fan_out_policy.apply_host_list(hosts.backend_servers, now)
        self.heartbeats.apply_host_list(hosts.entry_hosts)
        self.backend_access.apply_host_list(hosts, now)

    def probe_servers(self) -> None:
        """Check the owned backend servers now, not only at the next interval."""
        self._health_checker.check_owned_servers()

    def count_in_force(
        self, key: str, revision: names.Revision, timeout_s: float
    ) -> propagation.InForceReport:
        """Ask the live hosts for an item's revision; see `configuration_watcher`."""
        return self._watcher.count_in_force(key, revision, timeout_s)

    def refresh_metrics(self) -> None:
        """Update the metrics from the state of the tasks. Call this before a scrape."""
        recorder = self._telemetry.recorder
        metrics_collection.collect_peer_traffic(recorder, self.link.counters)
        metrics_collection.collect_member_states(
            recorder, self.heartbeats.membership.list_records()
        )
        metrics_collection.collect_pool_counters(recorder, self.backend_access.pools)

    def leave(self) -> None:
        """Announce departure, and refuse new sub-requests of peers as not run."""
        self.heartbeats.leave()
        self.backend_access.start_draining()

    def stop(self) -> None:
        """Stop all tasks and close all connections."""
        self._claim_maintenance.stop()
        self._health_checker.stop()
        self._bootstrap_task.stop()
        self._watcher.stop()
        self.backend_access.stop()
        self.heartbeats.stop()
        self.link.stop()


def _make_peer_keys(keys: settings.Keys) -> peers.PeerKeys:
    """Return the keys of the peer link.

    A deployment shares one key pair for the server and client roles of all hosts.
    """
    public = keys.public.encode()
    secret = keys.secret.reveal().encode()
    return peers.PeerKeys(public, secret, public, secret, frozenset((public,)))
