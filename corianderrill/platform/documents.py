"""Values in the platform's store: the configuration and the registered replicas."""

from typing import Literal

import msgspec

from corianderrill import names
from corianderrill.gateway import replicas, routes
from corianderrill.platform import settings

CONFIGURATION_KEY = "op/config"
REPLICA_PREFIX = "servers/"
# The only protocol of services that this product speaks.
_PROTOCOL = "h1"


class DocumentError(ValueError):
    """A value cannot be used; says the place."""


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    timeout_ms: float
    type: str = "unsafe"
    # The time within which an answer is on time.
    latency_goal_ms: float | None = None
    priority: int = 0
    max_attempts: int = 1
    service: str | None = None
    split: list[_Share] | None = None
    gather: list[str] | None = None
    top_k: int = 0
    min_coverage: float = 1.0


class _Service(msgspec.Struct):
    name: str
    max_conns: int
    protocol: str = _PROTOCOL
    tls: bool = False


class _Limits(msgspec.Struct):
    max_header_bytes: int = 65_536
    max_body_bytes: int = 1_048_576
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    # Of the software that the server runs.
    version: str
    # Requests that the server works on at once.
    capacity: int
    state: Literal["ready", "draining"]
    # How much longer the server is slow after its start.
    warmup_left_ms: float
    seq_no: int
    # Unix millisecond of the server's start.
    born: int | None = None


_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)
_SERVER_DECODER = msgspec.json.Decoder(_Server)


def decode_configuration(value: bytes) -> routes.Configuration:
    """Decode a configuration; DocumentError where any of it cannot be used."""
    try:
        document = _CONFIGURATION_DECODER.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DocumentError(str(error)) from error
    limits = document.limits
    return routes.build_configuration(
        routes.Version(document.version),
        tuple(_read_route(route) for route in document.routes),
        tuple(
            routes.Service(names.ServiceName(service.name), service.max_conns)
            for service in document.services
            if service.protocol == _PROTOCOL and not service.tls
        ),
        routes.Limits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
    )


def _read_route(route: _Route) -> routes.Route:
    idempotent = route.type == "safe"
    goal_ms = route.latency_goal_ms or route.timeout_ms
    return routes.Route(
        name=routes.RouteName(route.name),
        host=route.host,
        prefix=route.prefix,
        target=_read_target(route),
        repeatability=(
            routes.Repeatability.IDEMPOTENT
            if idempotent
            else routes.Repeatability.AT_MOST_ONCE
        ),
        timeout_s=route.timeout_ms / 1000,
        goal_s=goal_ms / 1000,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
    )


def _read_target(route: _Route) -> routes.Target:
    if route.gather:
        shards = tuple(names.ServiceName(name) for name in route.gather)
        return routes.Gather(shards, route.top_k, route.min_coverage)
    if route.split:
        return routes.Split(
            tuple(
                routes.Share(names.ServiceName(share.service), share.weight)
                for share in route.split
            )
        )
    if route.service:
        return routes.Single(names.ServiceName(route.service))
    raise DocumentError(f"route {route.name}: names no service, split or gather")


def read_instance(key: str) -> replicas.InstanceId:
    """Return the id of the replica that an entry is about."""
    return replicas.InstanceId(key.removeprefix(REPLICA_PREFIX))


def decode_registration(key: str, value: bytes) -> replicas.Registration:
    """Decode the entry of a replica; DocumentError where it names none to use."""
    try:
        document = _SERVER_DECODER.decode(value)
        address = settings.parse_address(document.address)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        settings.SettingsError,
    ) as error:
        raise DocumentError(str(error)) from error
    if document.capacity < 1:
        raise DocumentError(f"capacity: {document.capacity} is not above zero")
    return replicas.Registration(
        id=read_instance(key),
        service=names.ServiceName(document.service),
        address=address,
        zone=names.ZoneName(document.zone),
        slots=document.capacity,
        state=replicas.ReplicaState(document.state),
        warmup_s=max(0.0, document.warmup_left_ms) / 1000,
        started_at_ms=document.born,
    )
