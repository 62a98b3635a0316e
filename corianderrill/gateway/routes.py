"""The routes of one configuration version, and the lookup of a request's route."""

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import NewType

from corianderrill import names

RouteName = NewType("RouteName", str)
ConfigurationVersion = NewType("Version", int)

COVERAGE_TOLERANCE = 1e-9


class RetrySafety(enum.Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@dataclasses.dataclass(frozen=True, slots=True)
class SingleService:
    """All requests go to one service."""

    service: names.ServiceName


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in a split; weights need not sum to one."""

    service: names.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedSplit:
    """Each request goes to one of several services, chosen by weight."""

    services: tuple[WeightedService, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScatterGather:
    """Each request goes to every shard; the answer is the `top_k` greatest records.

    `min_coverage` is the share of the shards, 0 to 1, that have to reply for the
    request to succeed.
    """

    shards: tuple[names.ServiceName, ...]
    top_k: int
    min_coverage: float


Target = SingleService | WeightedSplit | ScatterGather


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Route:
    """The target and limits of the requests to one HTTP host and path prefix.

    `host` is matched against the Host header. `timeout_s` is the longest time until
    the caller gets an answer; `goal_s` is the latency goal. `max_attempts` applies to
    each service of the target. `priority` is decoded but has no effect.
    """

    name: RouteName
    host: str
    prefix: str
    target: Target
    retry_safety: RetrySafety
    timeout_s: float
    goal_s: float
    priority: int
    max_attempts: int

    def count_required_replies(self, service_count: int) -> int:
        """Return how many services have to reply for a successful answer."""
        match self.target:
            case ScatterGather(min_coverage=min_coverage):
                # Without the tolerance, a floating-point error could round a share like
                # 0.9 of 10 up to 10.
                return max(
                    1, math.ceil(min_coverage * service_count - COVERAGE_TOLERANCE)
                )
            case _:
                return 1


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """The configuration of a service.

    `max_connections` limits the connections to one replica, summed over all its
    callers.
    """

    name: names.ServiceName
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of callers and on their idle connections."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Configuration:
    """One complete version of the configuration."""

    version: ConfigurationVersion
    routes: tuple[Route, ...]
    services: Mapping[names.ServiceName, Service]
    limits: CallerLimits
    routes_by_host: Mapping[str, Mapping[str, Route]]

    def select_route(self, host: str, path: str) -> "SelectedRoute | None":
        """Return the route of a request with this configuration; None without one."""
        route = self.find_route(host, path)
        return None if route is None else SelectedRoute(self, route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path; prefixes end in `/`."""
        routes_by_prefix = self.routes_by_host.get(host.partition(":")[0].lower())
        if routes_by_prefix is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = routes_by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class SelectedRoute:
    """A route, and the configuration that it is of.

    All that one request needs of the configuration is read from here: the one in force
    may change while the request is on its way.
    """

    configuration: Configuration
    route: Route


def build_configuration(
    version: ConfigurationVersion,
    routes: tuple[Route, ...],
    services: tuple[Service, ...],
    limits: CallerLimits,
) -> Configuration:
    """Return a configuration with the index that `find_route` uses."""
    routes_by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host.lower(), {})[route.prefix] = route
    services_by_name = {service.name: service for service in services}
    return Configuration(version, routes, services_by_name, limits, routes_by_host)
