"""The routes of one configuration version, and the lookup of a request's route."""

import dataclasses
import enum
import hashlib
import math
import statistics
from collections.abc import Iterable, Mapping
from typing import NewType

from corianderrill import names

RouteName = NewType("RouteName", str)
ConfigurationVersion = NewType("Version", int)
# A secret of the callers of a workspace. It is in no log line, metric or message.
WorkspaceKey = NewType("WorkspaceKey", str)
# Stands for a key in what is kept and sent. No caller can use it in place of the key.
KeyDigest = NewType("KeyDigest", str)

KEY_DIGEST_BYTES = 16

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
    each service of the target. The highest `priority` is 0. Callers need no key for a
    route that `is_public`. Its replicas and hosts are in `allowed_regions`, in any if
    that is empty.
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
    is_public: bool = False
    allowed_regions: frozenset[names.RegionName] = frozenset()

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
    callers. A replica is cold for `warmup_s` after its start, and then takes
    `warmup_requests_per_s` from all hosts together; it is None without a limit.
    """

    name: names.ServiceName
    max_connections: int
    warmup_s: float = 0.0
    warmup_requests_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace whose callers prove their identity with a key.

    Its callers may send `requests_per_s` and a burst of `burst` requests, over all
    hosts together; it is None without a limit. The highest `priority` is 0 and goes
    before that of a route.
    """

    name: names.WorkspaceName
    priority: int = 0
    requests_per_s: float | None = None
    burst: float = 0.0
    allowed_regions: frozenset[names.RegionName] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class SharedKeys:
    """Two workspaces that have `count` keys in common, of which `holder` keeps them."""

    holder: names.WorkspaceName
    other: names.WorkspaceName
    count: int


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
    # Without workspaces, callers need no key.
    has_workspaces: bool = False
    workspaces_by_key: Mapping[KeyDigest, Workspace] = dataclasses.field(
        default_factory=dict
    )
    workspaces_by_name: Mapping[names.WorkspaceName, Workspace] = dataclasses.field(
        default_factory=dict
    )
    # Over the workspaces with a limit; None without any.
    mean_workspace_requests_per_s: float | None = None
    shared_keys: tuple[SharedKeys, ...] = ()

    @property
    def has_warmup_limits(self) -> bool:
        """Whether any service limits the requests to its cold replicas."""
        return any(
            service.warmup_requests_per_s is not None
            for service in self.services.values()
        )

    def find_workspace(self, key: WorkspaceKey) -> Workspace | None:
        """Return the workspace that holds a key."""
        return self.workspaces_by_key.get(digest_key(key))

    def find_workspace_regions(
        self, name: names.WorkspaceName
    ) -> frozenset[names.RegionName]:
        """Return the regions that a workspace allows; none if it allows any."""
        workspace = self.workspaces_by_name.get(name)
        return frozenset() if workspace is None else workspace.allowed_regions

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


def digest_key(key: WorkspaceKey) -> KeyDigest:
    """Return the digest that stands for a key."""
    digest = hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES)
    return KeyDigest(digest.hexdigest())


def build_configuration(
    version: ConfigurationVersion,
    routes: tuple[Route, ...],
    services: tuple[Service, ...],
    limits: CallerLimits,
    workspaces_by_key: Mapping[KeyDigest, Workspace] | None = None,
    shared_keys: tuple[SharedKeys, ...] = (),
) -> Configuration:
    """Return a configuration with the index that `find_route` uses.

    Without workspaces, `workspaces_by_key` is None.
    """
    routes_by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host.lower(), {})[route.prefix] = route
    # Of two workspaces with one name, the first is kept, as with keys.
    workspaces_by_name = {
        workspace.name: workspace
        for workspace in reversed((workspaces_by_key or {}).values())
    }
    services_by_name = {service.name: service for service in services}
    return Configuration(
        version,
        routes,
        services_by_name,
        limits,
        routes_by_host,
        workspaces_by_key is not None,
        workspaces_by_key or {},
        workspaces_by_name,
        _compute_mean_rate(workspaces_by_name.values()),
        shared_keys,
    )


def _compute_mean_rate(workspaces: Iterable[Workspace]) -> float | None:
    rates_per_s = [w.requests_per_s for w in workspaces if w.requests_per_s is not None]
    return statistics.fmean(rates_per_s) if rates_per_s else None
