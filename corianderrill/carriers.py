"""How sub-requests reach backend servers: by their owners or directly.

A carrier owns the connection pools of a host and the rule that divides the
connections of a replica among hosts.
"""

from typing import Protocol

from corianderrill import (
    backends,
    connection_shares,
    directory,
    dispatch,
    heartbeats,
    hostlist,
    keyvalue,
    membership,
    messages,
    names,
    ownership,
    peers,
    relay,
    seats,
    settings,
)


class Carrier(Protocol):
    """Carries the sub-requests of a host."""

    dispatcher: dispatch.Dispatcher
    pools: backends.BackendPools

    def start(self) -> None:
        """Start the tasks."""

    def take_host_list(self, hosts: hostlist.HostList, now: float) -> None:
        """Learn from a new host list."""

    def take_change(self, change: membership.Change) -> None:
        """Learn that a member's state changed."""

    def forget(self, replica: names.ReplicaId) -> None:
        """Drop what is kept of a replica that is gone."""

    def reaches_all(self) -> bool:
        """Whether every shard has a replica that can be asked."""

    def is_owner(self, server: hostlist.BackendServer) -> bool:
        """Whether this host is the one that probes a server."""

    def leave(self) -> None:
        """Refuse new work of peers as not run."""

    def count_in_flight(self) -> int:
        """Return how many sub-requests run for this host or for peers."""

    def stop(self) -> None:
        """End the tasks, close every connection, and give back what was taken."""


class DirectCarrier:
    """Every host has its own fixed share of each replica's connections."""

    def __init__(self, servers: directory.Directory, hosts_at_most: int):
        self._hosts_at_most = hosts_at_most
        self.pools = backends.BackendPools(self._share_connections)
        self.dispatcher = dispatch.DirectDispatcher(servers, self.pools)

    def _share_connections(self, server: hostlist.BackendServer) -> int:
        return connection_shares.connections_per_host(
            server.connection_cap, self._hosts_at_most
        )

    def start(self) -> None:
        """Start nothing."""

    def take_host_list(self, hosts: hostlist.HostList, now: float) -> None:
        """Learn nothing; the directory has the list."""

    def take_change(self, change: membership.Change) -> None:
        """Learn nothing."""

    def forget(self, replica: names.ReplicaId) -> None:
        """Close the pool of a replica that is gone."""
        self.pools.close_pool(replica)

    def reaches_all(self) -> bool:
        """The own share reaches every shard."""
        return True

    def is_owner(self, server: hostlist.BackendServer) -> bool:
        """Each host sees for itself."""
        return True

    def leave(self) -> None:
        """Refuse nothing; peers send no work."""

    def count_in_flight(self) -> int:
        """Return 0: the queries of the host account for its sub-requests."""
        return 0

    def stop(self) -> None:
        """Close every connection."""
        self.pools.close()


class OwnerCarrier:
    """A replica's connections belong to the holders of its owner seats."""

    def __init__(
        self,
        values: settings.Settings,
        member: names.MemberId,
        servers: directory.Directory,
        link: peers.PeerLink,
        beats: heartbeats.HeartbeatTask,
        client: keyvalue.Client,
    ):
        zones = values.limits.zones or (values.host.zone,)
        plan = ownership.SeatPlan(zones, values.limits.seats_per_zone)
        self._member = member
        self._servers = servers
        self._beats = beats
        self._link = link
        self._owned = ownership.Ownership(plan)
        self._absences = seats.DepartureDetector()
        self._seats = seats.SeatTask(
            client,
            values.host.zone,
            values.limits.seats_per_zone,
            seats.SeatEntry(member, link.address),
            self._absences,
            self._take_seat,
            self._list_advertised,
        )
        self.pools = backends.BackendPools(self._share_connections)
        direct = dispatch.DirectDispatcher(servers, self.pools)
        self.task = relay.OwnerTask(
            link,
            servers,
            direct.execute,
            direct.cancel,
            lambda server: self._share_connections(server) > 0,
            beats.is_view_fresh,
        )
        self.dispatcher = relay.OwnerDispatcher(
            link, beats, self._owned, servers, self.task
        )

    def start(self) -> None:
        """Take work of peers and seek a seat."""
        self.task.start()
        self.dispatcher.start()
        self._seats.start()

    def take_host_list(self, hosts: hostlist.HostList, now: float) -> None:
        """Learn which members have ended."""
        self._absences.record_host_list(hosts.entry_hosts, now)

    def take_change(self, change: membership.Change) -> None:
        """Fail at once what a dead owner had been sent."""
        self.dispatcher.take_change(change)

    def forget(self, replica: names.ReplicaId) -> None:
        """Close the pool and the queue of a replica that is gone."""
        self.pools.close_pool(replica)
        self._owned.forget(replica)
        self.task.forget(replica)

    def reaches_all(self) -> bool:
        """Whether every shard has a replica with a usable owner."""
        self.dispatcher.follow_members()
        servers = self._servers.list_servers()
        shards = {shard for server in servers for shard in server.shard_ids}
        reached = {
            shard
            for server in servers
            if self._owned.list_owners(server)
            for shard in server.shard_ids
        }
        return reached == shards

    def is_owner(self, server: hostlist.BackendServer) -> bool:
        """Whether this host is the first usable owner of a server."""
        self.dispatcher.follow_members()
        return self._owned.list_owners(server)[:1] == (self._member,)

    def leave(self) -> None:
        """Refuse new work of peers as not run."""
        self.task.leave()

    def count_in_flight(self) -> int:
        """Return how many sub-requests run for this host or for peers."""
        return self.task.count_in_flight() + self.dispatcher.count_in_flight()

    def stop(self) -> None:
        """End the tasks, close every connection, then give the seat back."""
        self.dispatcher.stop()
        self.task.stop()
        self.pools.close()
        self._seats.release()

    def _share_connections(self, server: hostlist.BackendServer) -> int:
        return self._owned.get_connection_limit(server, self._seats.seat)

    def _list_advertised(self) -> frozenset[int]:
        records = self._beats.membership.list_records()
        return seats.list_advertised_seats(
            records, self._beats.membership.own_record.zone
        )

    def _take_seat(self, seat: ownership.SeatId | None) -> None:
        if seat is None:
            self.pools.close()
        number = messages.NO_SEAT if seat is None else seat.number
        self._beats.membership.announce_seat(number)


def make_carrier(
    values: settings.Settings,
    member: names.MemberId,
    servers: directory.Directory,
    link: peers.PeerLink,
    beats: heartbeats.HeartbeatTask,
    client: keyvalue.Client,
) -> Carrier:
    """Return the carrier that the settings ask for."""
    match values.limits.mode:
        case settings.LimitsMode.ALONE:
            return DirectCarrier(servers, values.limits.hosts_at_most)
        case settings.LimitsMode.OWNER:
            return OwnerCarrier(values, member, servers, link, beats, client)
