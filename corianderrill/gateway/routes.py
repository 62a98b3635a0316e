"""Routes of one version of the configuration, and how a request finds its route."""

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import NewType

from corianderrill import names

RouteName = NewType("RouteName", str)
Version = NewType("Version", int)

COVERAGE_TOLERANCE = 1e-9


class RetrySafety(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@dataclasses.dataclass(frozen=True, slots=True)
class SingleService:
    """All requests go to one service."""

    service: names.ServiceName


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its part of the requests; weights need not sum to one."""

    service: names.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedSplit:
    """Requests are distributed over services by weight."""

    services: tuple[WeightedService, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScatterGather:
    """Each request goes to every shard; the greatest records are the answer.

    `min_coverage` is the least share of the shards, 0 to 1, that makes a success.
    """

    shards: tuple[names.ServiceName, ...]
    top_k: int
    min_coverage: float


Target = SingleService | WeightedSplit | ScatterGather


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Route:
    """Where requests of a host and a path prefix go, and their limits.

    `timeout_s` is the longest time a caller is kept waiting; an answer within
    `goal_s` is on time. `max_attempts` counts for each service of the target.
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

    def count_required_parts(self, parts: int) -> int:
        """Return how many of the parts of an answer make it a success."""
        match self.target:
            case ScatterGather(min_coverage=least):
                # A share like 0.9 of 10 must not become 10 by rounding.
                return max(1, math.ceil(least * parts - COVERAGE_TOLERANCE))
            case _:
                return 1


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """What is configured of a service; the cap is over all callers of a replica."""

    name: names.ServiceName
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long its connection may idle."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Configuration:
    """One version of the configuration, whole."""

    version: Version
    routes: tuple[Route, ...]
    services: Mapping[names.ServiceName, Service]
    limits: CallerLimits
    routes_by_host: Mapping[str, Mapping[str, Route]]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path."""
        by_prefix = self.routes_by_host.get(host.partition(":")[0].lower())
        if by_prefix is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None


def build_configuration(
    version: Version,
    routes: tuple[Route, ...],
    services: tuple[Service, ...],
    limits: CallerLimits,
) -> Configuration:
    """Return a configuration with the index that `find` uses."""
    index: dict[str, dict[str, Route]] = {}
    for route in routes:
        index.setdefault(route.host.lower(), {})[route.prefix] = route
    by_name = {service.name: service for service in services}
    return Configuration(version, routes, by_name, limits, index)
