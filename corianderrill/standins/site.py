"""Stand-ins for everything around the entry hosts of the given deployments.

One site runs the key-value service, the host list, the index builders and every
backend server as HTTP endpoints in the green threads of one process.
"""

import dataclasses
import itertools

import eventlet
import eventlet.greenthread

from corianderrill import catalog, hostlist, keyvalue, names
from corianderrill.standins import backend, deployments, indexes
from corianderrill.standins import hostlist as hostlist_standin
from corianderrill.standins import keyvalue as keyvalue_standin


class Site:
    """The outside systems of one or more deployments."""

    def __init__(
        self,
        shown: tuple[deployments.Deployment, ...] = deployments.DEPLOYMENTS,
        seed: int = 1,
        service_s: float = 0.008,
        load_lag_s: float = 0.0,
        zones: frozenset[names.ZoneName] | None = None,
    ):
        """Prepare a site; times in seconds, see `backend.BackendShape`.

        `zones` limits the backend servers to some availability zones, for a site
        that is divided over several processes.
        """
        self.deployments = shown
        self._zones = zones
        self._load_lag_s = load_lag_s
        self.platform = keyvalue_standin.Platform()
        self.host_list = hostlist_standin.HostListStandIn()
        self.builders = {
            deployment.fleet: indexes.IndexBuilder(deployment, seed)
            for deployment in shown
        }
        self.servers: dict[names.ReplicaId, backend.BackendServer] = {}
        self._replaced: list[backend.BackendServer] = []
        self._seed = seed
        self._service_s = service_s
        self.key_value_address: names.Address | None = None
        self.host_list_address: names.Address | None = None
        self._client: keyvalue.Client | None = None
        self._key_value_task: eventlet.greenthread.GreenThread | None = None

    def start(self, ip: str = "127.0.0.1") -> None:
        """Start every stand-in, then publish the catalogs and the host list."""
        self.start_platform(ip)
        self.host_list.publish(backend_servers=self.start_servers(ip))

    def start_platform(self, ip: str = "127.0.0.1") -> None:
        """Start the key-value service and the host list; publish the catalogs."""
        listener = eventlet.listen((ip, 0))
        self._key_value_task = eventlet.spawn(
            keyvalue_standin.serve_socket, self.platform, listener
        )
        self.key_value_address = names.Address(*listener.getsockname()[:2])
        self._client = keyvalue.connect(self.key_value_address)
        self.host_list_address = self.host_list.start(ip)
        for fleet in self.builders:
            self.publish_catalog(fleet)

    def start_servers(
        self, ip: str = "127.0.0.1"
    ) -> tuple[hostlist.BackendServer, ...]:
        """Start the backend servers; return how the host list shows them."""
        return tuple(
            self._start_server(deployment, shape, number, ip)
            for deployment in self.deployments
            for shape in deployment.services
            for number in range(shape.shards * shape.replicas)
            if self._zones is None or _place(deployment, shape, number) in self._zones
        )

    def stop(self) -> None:
        """Stop every stand-in."""
        for server in self.servers.values():
            server.kill()
        self.host_list.stop()
        if self._key_value_task is not None:
            self._key_value_task.kill()

    def publish_catalog(self, fleet: names.FleetName) -> None:
        """Write the snapshots of a fleet to the key-value service."""
        value = catalog.encode_catalog(fleet, self.builders[fleet].list_snapshots())
        self._client.put(catalog.catalog_key(fleet), value)

    def add_version(self, fleet: names.FleetName, repartition: bool = False) -> None:
        """Build the next index version of a fleet and publish it."""
        self.builders[fleet].add_version(repartition)
        if self._client is not None:
            self.publish_catalog(fleet)

    def list_entry_host(self, entry: hostlist.EntryHost) -> None:
        """Add an entry host to the host list, in place of an older start of it."""
        others = [
            listed
            for listed in self.host_list.current.entry_hosts
            if listed.host != entry.host
        ]
        self.host_list.publish(entry_hosts=[*others, entry])

    def list_servers(self) -> tuple[backend.BackendServer, ...]:
        """Return every server, also those that were replaced."""
        return (*self._replaced, *self.servers.values())

    def replace_server(
        self, server: backend.BackendServer, incarnation: names.Incarnation
    ) -> hostlist.BackendServer:
        """Start a server anew on its address; the old start is lost."""
        server.kill()
        self._replaced.append(self.servers.pop(server.shape.replica))
        replica = dataclasses.replace(server.shape.replica, incarnation=incarnation)
        fresh = backend.BackendServer(
            dataclasses.replace(server.shape, replica=replica),
            self.builders[replica.fleet],
            self._seed,
        )
        self.servers[replica] = fresh
        return list_server(fresh, fresh.start(*dataclasses.astuple(server.address)))

    def _start_server(
        self,
        deployment: deployments.Deployment,
        shape: deployments.ServiceShape,
        number: int,
        ip: str,
    ) -> hostlist.BackendServer:
        shards = deployments.list_first_shards(deployment.fleet, shape)
        shard = shards[number % shape.shards]
        zone = _place(deployment, shape, number)
        replica = names.ReplicaId(
            deployment.fleet,
            names.HostName(f"{shape.name}-{number:02}"),
            names.Incarnation("1"),
        )
        server = backend.BackendServer(
            backend.BackendShape(
                replica=replica,
                zone=zone,
                shard=shard,
                slots=shape.slots,
                connections=shape.connections,
                connect_s=shape.connect_s,
                service_s=self._service_s,
                load_lag_s=self._load_lag_s,
            ),
            self.builders[deployment.fleet],
            self._seed,
        )
        self.servers[replica] = server
        return list_server(server, server.start(ip))


def _place(
    deployment: deployments.Deployment, shape: deployments.ServiceShape, number: int
) -> names.ZoneName:
    return deployment.zones[(number // shape.shards) % len(deployment.zones)]


def list_server(
    server: backend.BackendServer, address: names.Address
) -> hostlist.BackendServer:
    """Return the host list's entry of a running backend server."""
    shape = server.shape
    return hostlist.BackendServer(
        fleet=shape.replica.fleet,
        host=shape.replica.host,
        incarnation=shape.replica.incarnation,
        zone=shape.zone,
        address=address,
        service=shape.shard.service.name,
        shards=(shape.shard.name,),
        slots=shape.slots,
        connection_cap=shape.connections,
        connect_cost_s=shape.connect_s,
    )


def run_index_versions(
    site: Site, fleet: names.FleetName, interval_s: float, repartition_every: int
) -> None:
    """Publish a version every `interval_s` seconds, some with a repartition."""
    for number in itertools.count(1):
        eventlet.sleep(interval_s)
        site.add_version(fleet, repartition=number % repartition_every == 0)
