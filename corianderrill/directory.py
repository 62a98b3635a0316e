"""The backend servers that a host knows, by replica and by shard."""

import itertools

from corianderrill import hostlist, names


class Directory:
    """Backend servers from the newest host list, leaving ones left out of shards."""

    def __init__(self) -> None:
        self._servers: dict[names.ReplicaId, hostlist.BackendServer] = {}
        self._by_shard: dict[names.ShardId, tuple[names.ReplicaId, ...]] = {}

    def replace(
        self, servers: tuple[hostlist.BackendServer, ...]
    ) -> tuple[names.ReplicaId, ...]:
        """Take a new list; return the replicas that it no longer names."""
        listed = {server.replica: server for server in servers}
        gone = tuple(replica for replica in self._servers if replica not in listed)
        self._servers = listed
        pairs = sorted(
            (shard, server.replica)
            for server in servers
            if server.state is hostlist.HostState.LIVE
            for shard in server.shard_ids
        )
        self._by_shard = {
            shard: tuple(replica for _, replica in group)
            for shard, group in itertools.groupby(pairs, key=lambda pair: pair[0])
        }
        return gone

    def find(self, replica: names.ReplicaId) -> hostlist.BackendServer | None:
        """Return a server by its replica id."""
        return self._servers.get(replica)

    def list_servers(self) -> tuple[hostlist.BackendServer, ...]:
        """Return every server."""
        return tuple(self._servers.values())

    def list_replicas(self, shard: names.ShardId) -> tuple[names.ReplicaId, ...]:
        """Return the live replicas of a shard."""
        return self._by_shard.get(shard, ())

    def list_services(self) -> tuple[names.ServiceId, ...]:
        """Return the services that any server serves."""
        return tuple({server.service_id for server in self._servers.values()})
