"""The two deployments of the users at their sizes, as plain data.

Both fleets use the service names `lookup`, `intake` and `desk`, the shard names
`s00`, `s01`, ... and the workspace label `morning` for different things.
"""

import dataclasses

from corianderrill import names


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShape:
    """Size of one service and the limits of its backend servers.

    `connect_s` is the time that a new connection costs, in seconds.
    """

    name: names.ServiceName
    title: str
    shards: int
    replicas: int
    slots: int
    connections: int
    connect_s: float
    rows: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A fleet with its availability zones, services and entry hosts."""

    fleet: names.FleetName
    zones: tuple[names.ZoneName, ...]
    services: tuple[ServiceShape, ...]
    entry_hosts: int


def _shape(name: str, title: str, **sizes: float) -> ServiceShape:
    return ServiceShape(names.ServiceName(name), title, **sizes)


def _zones(region: str) -> tuple[names.ZoneName, ...]:
    return tuple(names.ZoneName(f"{region}-{letter}") for letter in "abc")


GANTRY = Deployment(
    fleet=names.FleetName("gantry"),
    zones=_zones("qld-east"),
    services=(
        _shape(
            "lookup",
            "Site lookup",
            shards=10,
            replicas=3,
            slots=2,
            connections=25,
            connect_s=0.006,
            rows=400,
        ),
        _shape(
            "intake",
            "Council intake",
            shards=15,
            replicas=3,
            slots=2,
            connections=25,
            connect_s=0.006,
            rows=600,
        ),
        _shape(
            "desk",
            "Office desk",
            shards=1,
            replicas=3,
            slots=4,
            connections=110,
            connect_s=0.001,
            rows=60,
        ),
        _shape(
            "mail",
            "Reminder mail",
            shards=1,
            replicas=3,
            slots=4,
            connections=110,
            connect_s=0.001,
            rows=60,
        ),
    ),
    entry_hosts=9,
)

RONGITOITLUS = Deployment(
    fleet=names.FleetName("rongitoitlus"),
    zones=_zones("harju"),
    services=(
        _shape(
            "lookup",
            "Loader stock",
            shards=10,
            replicas=3,
            slots=3,
            connections=30,
            connect_s=0.006,
            rows=400,
        ),
        _shape(
            "intake",
            "Supplier lots",
            shards=15,
            replicas=3,
            slots=3,
            connections=30,
            connect_s=0.006,
            rows=600,
        ),
        _shape(
            "desk",
            "Crew shifts",
            shards=1,
            replicas=6,
            slots=4,
            connections=40,
            connect_s=0.001,
            rows=60,
        ),
        _shape(
            "invoicing",
            "Invoicing",
            shards=1,
            replicas=3,
            slots=4,
            connections=40,
            connect_s=0.001,
            rows=60,
        ),
    ),
    entry_hosts=9,
)

DEPLOYMENTS = (GANTRY, RONGITOITLUS)


def list_services(deployment: Deployment) -> tuple[names.ServiceId, ...]:
    """Return the ids of the services of a deployment."""
    return tuple(
        names.ServiceId(deployment.fleet, shape.name) for shape in deployment.services
    )


def list_first_shards(
    fleet: names.FleetName, shape: ServiceShape
) -> tuple[names.ShardId, ...]:
    """Return the shards of a service before any repartition."""
    service = names.ServiceId(fleet, shape.name)
    return tuple(
        names.ShardId(service, names.ShardName(f"s{number:02}"))
        for number in range(shape.shards)
    )
