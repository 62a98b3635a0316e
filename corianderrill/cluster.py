"""The part of an entry host that works with the other hosts.

It owns the link to peers and the tasks on it: membership, the spread of the
configuration, owners of replicas, claims, probes, and the start without the platform.
"""

import dataclasses
import random
import time
from collections.abc import Iterable

from corianderrill import (
    bootstrap,
    carriers,
    claimant,
    claims,
    fanout,
    heartbeats,
    hostlist,
    keyvalue,
    knowledge,
    logs,
    membership,
    messages,
    metrics,
    names,
    peers,
    probes,
    readings,
    settings,
    spread,
    timeline,
    watcher,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Where a host counts, records and logs."""

    recorder: metrics.Recorder
    events: timeline.Timeline
    journal: logs.Journal


class Cluster:
    """The tasks of one host that talk with other hosts."""

    def __init__(
        self,
        values: settings.Settings,
        member: names.MemberId,
        known: knowledge.Knowledge,
        client: keyvalue.Client,
        steered: fanout.FanOutPolicy,
        records: Records,
    ):
        self._settings = values
        self._member = member
        self._knowledge = known
        self._key_value = client
        self._steering = steered
        self._records = records
        self.link = peers.PeerLink(
            member,
            values.listen.peers,
            _make_peer_keys(values.keys),
            stamp=records.events.clock.stamp,
            observe=records.events.clock.observe,
        )

    def start(self) -> None:
        """Join the peers and start every task."""
        self.link.start()
        own = messages.MemberRecord(
            self._member,
            self._settings.host.zone,
            self.link.address,
            messages.MemberState.ALIVE,
        )
        self.heartbeats = heartbeats.HeartbeatTask(
            own, self.link, self._settings.platform.seeds, self._note_member
        )
        self.heartbeats.start()
        self._watcher = watcher.ConfigurationWatcher(
            spread.Peer(self._member, own.zone),
            spread.Spreader(
                self._member, own.zone, self._knowledge.configuration, random.Random()
            ),
            self._key_value,
            self.link,
            self._list_peers,
            self._records.recorder,
            self._records.journal,
        )
        self._watcher.start()
        self.carrier = carriers.make_carrier(
            self._settings,
            self._member,
            self._knowledge.directory,
            self.link,
            self.heartbeats,
            self._key_value,
        )
        self.carrier.start()
        self._start_claims()
        self._probes = probes.ProbeTask(
            self._knowledge.directory,
            self.carrier,
            self._steering,
            self._knowledge.catalogs,
            self.link,
            self._list_other_members,
            self.claimant,
        )
        self._probes.start()
        self._start_bootstrap()

    def _start_claims(self) -> None:
        budget = claims.WriteBudget(claimant.MAX_CLAIM_WRITES_PER_S)
        self.claimant = claimant.make_claimant(
            self._member, self._key_value, budget, self._is_alive
        )
        self._claim_maintenance = claimant.make_claim_maintenance(
            self._member,
            self._key_value,
            self.claimant,
            budget,
            self._list_live_members,
        )
        self._claim_maintenance.start()

    def _start_bootstrap(self) -> None:
        self._bootstrap = bootstrap.BootstrapTask(
            self.link,
            self._knowledge.catalogs,
            lambda: self._knowledge.hosts,
            lambda: self._knowledge.lacks_platform,
            self.take_host_list,
            self._list_other_members,
            random.Random(),
        )
        self._bootstrap.start()

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

    def _list_peers(self) -> Iterable[spread.Peer]:
        return tuple(watcher.list_peers(self.heartbeats.membership.list_records()))

    def _note_member(self, change: membership.Change) -> None:
        self.carrier.take_change(change)
        state = change.after.value if change.after else "forgotten"
        self._records.journal.change(change.member, state)
        self._records.events.record(
            timeline.Kind.MEMBER_CHANGED, detail=f"{change.member} {state}"
        )

    def take_host_list(self, hosts: hostlist.HostList) -> None:
        """Take a new host list."""
        now = time.monotonic()
        self._knowledge.hosts = hosts
        for replica in self._knowledge.directory.replace(hosts.backend_servers):
            self.carrier.forget(replica)
        self._steering.apply_host_list(hosts.backend_servers, now)
        self.heartbeats.take_host_list(hosts.entry_hosts)
        self.carrier.take_host_list(hosts, now)

    def probe_servers(self) -> None:
        """Probe the owned backend servers now, ahead of the interval."""
        self._probes.probe()

    def count_in_force(
        self, key: str, revision: names.Revision, timeout_s: float
    ) -> spread.InForce:
        """Ask the live hosts for an item's revision; see `watcher`."""
        return self._watcher.count_in_force(key, revision, timeout_s)

    def refresh_metrics(self) -> None:
        """Copy what the parts count into the metrics, before a scrape."""
        recorder = self._records.recorder
        readings.read_link(recorder, self.link.counters)
        readings.read_members(recorder, self.heartbeats.membership.list_records())
        readings.read_pools(recorder, self.carrier.pools)

    def leave(self) -> None:
        """Tell the peers, and refuse their new work as not run."""
        self.heartbeats.leave()
        self.carrier.leave()

    def stop(self) -> None:
        """End every task and close every connection."""
        self._claim_maintenance.stop()
        self._probes.stop()
        self._bootstrap.stop()
        self._watcher.stop()
        self.carrier.stop()
        self.heartbeats.stop()
        self.link.stop()


def _make_peer_keys(keys: settings.Keys) -> peers.PeerKeys:
    """Return the keys of the link; the deployment shares one pair for all roles."""
    public = keys.public.encode()
    secret = keys.secret.reveal().encode()
    return peers.PeerKeys(public, secret, public, secret, frozenset((public,)))
