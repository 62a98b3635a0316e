"""How sub-requests of a host reach backend servers: directly or through owners.

A `BackendAccess` has the connection pools of a host. Hosts share a limited number of
connections to each replica, so it also decides how many of them this host may open.
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


class BackendAccess(Protocol):
    """Sends sub-requests of a host to backend servers, directly or through owners."""

    dispatcher: dispatch.Dispatcher
    pools: backends.BackendPools

    def start(self) -> None:
        """Start the tasks."""

    def apply_host_list(self, hosts: hostlist.HostList, now: float) -> None:
        """Apply a new host list."""

    def handle_member_change(self, change: membership.Change) -> None:
        """React to a change in the state of a member."""

    def remove_replica(self, replica: names.ReplicaId) -> None:
        """Release the resources of a replica that no longer exists."""

    def can_reach_all_shards(self) -> bool:
        """Return whether every shard has a replica that accepts sub-requests."""

    def is_owner(self, server: hostlist.BackendServer) -> bool:
        """Return whether this host is responsible for probing a server."""

    def start_draining(self) -> None:
        """Refuse new sub-requests of peers, reporting that they did not run."""

    def count_in_flight(self) -> int:
        """Return how many sub-requests of this host or of peers are in flight."""

    def stop(self) -> None:
        """Stop the tasks, close all connections and release the seat, if any."""


class DirectAccess:
    """Every host connects to all replicas, with a fixed share of the connections."""

    def __init__(self, servers: directory.Directory, max_hosts: int):
        self._max_hosts = max_hosts
        self.pools = backends.BackendPools(self._get_connection_limit)
        self.dispatcher = dispatch.DirectDispatcher(servers, self.pools)

    def _get_connection_limit(self, server: hostlist.BackendServer) -> int:
        return connection_shares.connections_per_host(
            server.connection_cap, self._max_hosts
        )

    def start(self) -> None:
        """Do nothing; direct access has no tasks."""

    def apply_host_list(self, hosts: hostlist.HostList, now: float) -> None:
        """Do nothing; the directory is updated elsewhere."""

    def handle_member_change(self, change: membership.Change) -> None:
        """Do nothing; direct access does not depend on peers."""

    def remove_replica(self, replica: names.ReplicaId) -> None:
        """Close the pool of a replica that no longer exists."""
        self.pools.close_pool(replica)

    def can_reach_all_shards(self) -> bool:
        """Return True: the host has its own connections to every replica."""
        return True

    def is_owner(self, server: hostlist.BackendServer) -> bool:
        """Return True: each host probes all servers for itself."""
        return True

    def start_draining(self) -> None:
        """Do nothing; peers send no sub-requests."""

    def count_in_flight(self) -> int:
        """Return 0; the host counts its queries, and peers send no sub-requests."""
        return 0

    def stop(self) -> None:
        """Close all connections."""
        self.pools.close()


class OwnerAccess:
    """Only the owners of a replica, the holders of its owner seats, connect to it."""

    def __init__(
        self,
        values: settings.Settings,
        member: names.MemberId,
        servers: directory.Directory,
        link: peers.PeerLink,
        heartbeat_task: heartbeats.HeartbeatTask,
        client: keyvalue.Client,
    ):
        zones = values.limits.zones or (values.host.zone,)
        seat_plan = ownership.SeatPlan(zones, values.limits.seats_per_zone)
        self._member = member
        self._servers = servers
        self._heartbeat_task = heartbeat_task
        self._link = link
        self._ownership = ownership.Ownership(seat_plan)
        self._departures = seats.DepartureDetector()
        self._seat_task = seats.SeatTask(
            client,
            values.host.zone,
            values.limits.seats_per_zone,
            seats.SeatEntry(member, link.address),
            self._departures,
            self._apply_seat,
            self._list_advertised_seats,
        )
        self.pools = backends.BackendPools(self._get_connection_limit)
        direct_dispatcher = dispatch.DirectDispatcher(servers, self.pools)
        self.owner_task = relay.OwnerTask(
            link,
            servers,
            direct_dispatcher.execute,
            direct_dispatcher.cancel,
            lambda server: self._get_connection_limit(server) > 0,
            heartbeat_task.is_view_fresh,
        )
        self.dispatcher = relay.OwnerDispatcher(
            link, heartbeat_task, self._ownership, servers, self.owner_task
        )

    def start(self) -> None:
        """Start to accept sub-requests of peers and to claim a seat."""
        self.owner_task.start()
        self.dispatcher.start()
        self._seat_task.start()

    def apply_host_list(self, hosts: hostlist.HostList, now: float) -> None:
        """Record which members are listed, to detect those that have ended."""
        self._departures.record_host_list(hosts.entry_hosts, now)

    def handle_member_change(self, change: membership.Change) -> None:
        """Fail the attempts that await a result from an owner declared dead."""
        self.dispatcher.handle_member_change(change)

    def remove_replica(self, replica: names.ReplicaId) -> None:
        """Close the pool and remove the queue of a replica that no longer exists."""
        self.pools.close_pool(replica)
        self._ownership.forget(replica)
        self.owner_task.remove_queue(replica)

    def can_reach_all_shards(self) -> bool:
        """Return whether every shard has a replica with a usable owner."""
        self.dispatcher.refresh_members()
        servers = self._servers.list_servers()
        all_shards = {shard for server in servers for shard in server.shard_ids}
        reachable_shards = {
            shard
            for server in servers
            if self._ownership.list_owners(server)
            for shard in server.shard_ids
        }
        return reachable_shards == all_shards

    def is_owner(self, server: hostlist.BackendServer) -> bool:
        """Return whether this host is the best-ranked usable owner of a server."""
        self.dispatcher.refresh_members()
        return self._ownership.list_owners(server)[:1] == (self._member,)

    def start_draining(self) -> None:
        """Refuse new sub-requests of peers, reporting that they did not run."""
        self.owner_task.start_draining()

    def count_in_flight(self) -> int:
        """Return how many sub-requests of this host or of peers are in flight."""
        return self.owner_task.count_in_flight() + self.dispatcher.count_in_flight()

    def stop(self) -> None:
        """Stop the tasks, close all connections, then release the seat."""
        self.dispatcher.stop()
        self.owner_task.stop()
        self.pools.close()
        self._seat_task.release()

    def _get_connection_limit(self, server: hostlist.BackendServer) -> int:
        return self._ownership.get_connection_limit(server, self._seat_task.seat)

    def _list_advertised_seats(self) -> frozenset[int]:
        records = self._heartbeat_task.membership.list_records()
        return seats.list_advertised_seats(
            records, self._heartbeat_task.membership.own_record.zone
        )

    def _apply_seat(self, seat: ownership.SeatId | None) -> None:
        # Without a seat this host may have no connections.
        if seat is None:
            self.pools.close()
        number = messages.NO_SEAT if seat is None else seat.number
        self._heartbeat_task.membership.announce_seat(number)


def make_backend_access(
    values: settings.Settings,
    member: names.MemberId,
    servers: directory.Directory,
    link: peers.PeerLink,
    heartbeat_task: heartbeats.HeartbeatTask,
    client: keyvalue.Client,
) -> BackendAccess:
    """Return the `BackendAccess` of the configured limits mode."""
    match values.limits.mode:
        case settings.LimitsMode.ALONE:
            return DirectAccess(servers, values.limits.hosts_at_most)
        case settings.LimitsMode.OWNER:
            return OwnerAccess(values, member, servers, link, heartbeat_task, client)
