"""Decodes the values in the platform's store: configuration and registrations.

The `_Wire` structs have the field names of the stored JSON.
"""

import collections
import functools
import re
from collections.abc import Sequence
from typing import Annotated, Literal

import msgspec

from corianderrill import names
from corianderrill.gateway import aggregators, demand, quarantine, replicas, routes
from corianderrill.platform import decoding, settings

CONFIGURATION_KEY = "op/config"
SERVER_KEY_PREFIX = "servers/"
AGGREGATOR_KEY_PREFIX = "aggregators/"
DEMAND_KEY_PREFIX = "demand/"
CRASH_KEY_PREFIX = "crashes/"
# Without a lease: a slot below it has had a quota lessor.
LESSOR_MARK_KEY_PREFIX = "quota-lessors/"
# A key of this prefix names a zone, and may have any value.
EVACUATION_KEY_PREFIX = "op/evacuate/"
# A server that claims to execute more requests at once is not believed.
MAX_CAPACITY = 1_000_000
# The year 2100. No clock is read: the time of day may jump.
MAX_START_MS = 4_102_444_800_000
# Ids are sent to servers in a header, and as words in log lines.
_REPLICA_ID = re.compile(r"[!-~]{1,192}")
_SLOT = re.compile(r"[0-9]{1,9}")
# HTTP/1.1; services with another protocol are ignored.
_SUPPORTED_PROTOCOL = "h1"


class DocumentError(ValueError):
    """A stored value is invalid; the message says what is wrong."""


class _WireWeightedService(msgspec.Struct):
    service: names.ServiceName
    weight: float


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    prefix: str
    timeout_ms: float
    # "safe" if a request may be executed more than once.
    type: str = "unsafe"
    # The latency goal; `timeout_ms` where it is missing.
    latency_goal_ms: float | None = None
    priority: int = 0
    max_attempts: int = 1
    # One of `service`, `split` (by weight) and `gather` (all shards) is the target.
    service: names.ServiceName | None = None
    split: list[_WireWeightedService] | None = None
    gather: tuple[names.ServiceName, ...] | None = None
    top_k: int = 0
    min_coverage: float = 1.0
    # Whether callers need no key.
    public: bool = False
    allowed_regions: list[str] | None = None


class _WireService(msgspec.Struct):
    name: str
    max_conns: int
    protocol: str = _SUPPORTED_PROTOCOL
    tls: bool = False
    warmup_s: float = 0.0
    # 0 means no limit.
    warmup_per_s: float = 0.0


class _WireWorkspace(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    # In place of keys, where another host has sent the configuration.
    api_key_digests: list[str] = []
    priority: int = 0
    # 0 means no limit, for both.
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] | None = None


class _WireLimits(msgspec.Struct):
    max_header_bytes: int = 65_536
    max_body_bytes: int = 1_048_576
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class _WireConfiguration(msgspec.Struct):
    version: decoding.Integer
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    # None where callers need no key.
    tenants: list[_WireWorkspace] | None = None


class _WireServer(msgspec.Struct):
    service: str
    address: str
    zone: str
    # The version of the software that the server runs.
    version: str
    # The number of requests that the server processes concurrently.
    capacity: Annotated[int, msgspec.Meta(ge=1, le=MAX_CAPACITY)]
    state: Literal["ready", "draining"]
    # The rest of the warm-up time in which the server is slow.
    warmup_left_ms: float
    # Counts the writes of the server since its start.
    seq_no: decoding.Integer
    # The start time of the server, in Unix milliseconds.
    born: decoding.Integer | None = None


class _WireAggregator(msgspec.Struct):
    host: str
    address: str
    capacity_cores: float = 0.0
    # Of the store when the key was written.
    era: decoding.Integer = 0


class _WireDemand(msgspec.Struct):
    zone: str
    # By service.
    requests_per_s: dict[str, float]
    # The ids of replicas whose limit has ended.
    lifted: list[str] = []
    # By the ids of replicas, the time for which they are cold.
    cold_ms: dict[str, float] | msgspec.UnsetType = msgspec.UNSET


class _WireNotes(msgspec.Struct):
    # Pairs of the process of a replica and the id of the request that it ran.
    crashes: list[tuple[str, str]]
    trials: decoding.Integer = 0


_NOTES_DECODER = msgspec.json.Decoder(_WireNotes)
_AGGREGATOR_DECODER = msgspec.json.Decoder(_WireAggregator)
_CONFIGURATION_DECODER = msgspec.json.Decoder(_WireConfiguration)
_DEMAND_DECODER = msgspec.json.Decoder(_WireDemand)
_SERVER_DECODER = msgspec.json.Decoder(_WireServer)


def decode_configuration(value: bytes) -> routes.Configuration:
    """Decode a configuration. Raise DocumentError if any part of it is invalid."""
    document = _decode(_CONFIGURATION_DECODER, value)
    limits = document.limits
    return routes.build_configuration(
        routes.ConfigurationVersion(document.version),
        tuple(_convert_route(route) for route in document.routes),
        tuple(
            _convert_service(service)
            for service in document.services
            if service.protocol == _SUPPORTED_PROTOCOL and not service.tls
        ),
        routes.CallerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
        *_convert_workspaces(document.tenants),
    )


def _convert_service(service: _WireService) -> routes.Service:
    return routes.Service(
        names.ServiceName(service.name),
        service.max_conns,
        service.warmup_s,
        service.warmup_per_s or None,
    )


def _convert_workspaces(
    tenants: Sequence[_WireWorkspace] | None,
) -> tuple[
    dict[routes.KeyDigest, routes.Workspace] | None, tuple[routes.SharedKeys, ...]
]:
    """Return the workspaces by key, and which of them have keys in common.

    The first of two workspaces holds a key of both.
    """
    if tenants is None:
        return None, ()
    workspaces_by_key: dict[routes.KeyDigest, routes.Workspace] = {}
    shared: collections.Counter[tuple[names.WorkspaceName, names.WorkspaceName]]
    shared = collections.Counter()
    for tenant in tenants:
        workspace = _convert_workspace(tenant)
        for digest in _list_digests(tenant):
            holder = workspaces_by_key.setdefault(digest, workspace)
            if holder is not workspace:
                shared[holder.name, workspace.name] += 1
    return workspaces_by_key, tuple(
        routes.SharedKeys(holder, other, count)
        for (holder, other), count in shared.items()
    )


def _list_digests(tenant: _WireWorkspace) -> list[routes.KeyDigest]:
    return [
        *map(routes.digest_key, map(routes.WorkspaceKey, tenant.api_keys)),
        *map(routes.KeyDigest, tenant.api_key_digests),
    ]


@functools.lru_cache(maxsize=2)
def withhold_keys(value: bytes) -> bytes:
    """Return the value of a configuration with digests in place of its keys.

    It is empty if the configuration is invalid, since it may hold keys all the same.
    """
    try:
        document = _decode(_CONFIGURATION_DECODER, value)
    except DocumentError:
        return b""
    if not document.tenants:
        return value
    fields = msgspec.json.decode(value)
    for tenant, tenant_fields in zip(document.tenants, fields["tenants"], strict=True):
        tenant_fields.pop("api_keys", None)
        tenant_fields["api_key_digests"] = _list_digests(tenant)
    return msgspec.json.encode(fields)


def _convert_workspace(tenant: _WireWorkspace) -> routes.Workspace:
    name = tenant.name
    if not name or name != name.strip() or not name.isprintable():
        # It is sent as the value of a header.
        raise DocumentError(f"tenants: expected a printable name, found {name!r}")
    return routes.Workspace(
        name=names.WorkspaceName(tenant.name),
        priority=tenant.priority,
        requests_per_s=tenant.rate_per_s if tenant.rate_per_s > 0 else None,
        burst=tenant.burst,
        allowed_regions=_convert_regions(tenant.allowed_regions),
    )


def _convert_regions(regions: Sequence[str] | None) -> frozenset[names.RegionName]:
    return frozenset(map(names.RegionName, regions or ()))


def _convert_route(route: _WireRoute) -> routes.Route:
    is_idempotent = route.type == "safe"
    goal_ms = route.latency_goal_ms or route.timeout_ms
    return routes.Route(
        name=routes.RouteName(route.name),
        host=route.host,
        prefix=route.prefix,
        target=_convert_target(route),
        retry_safety=(
            routes.RetrySafety.IDEMPOTENT
            if is_idempotent
            else routes.RetrySafety.AT_MOST_ONCE
        ),
        timeout_s=route.timeout_ms / 1000,
        goal_s=goal_ms / 1000,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        is_public=route.public,
        allowed_regions=_convert_regions(route.allowed_regions),
    )


def _convert_target(route: _WireRoute) -> routes.Target:
    if route.gather:
        return routes.ScatterGather(route.gather, route.top_k, route.min_coverage)
    if route.split:
        return routes.WeightedSplit(
            tuple(
                routes.WeightedService(share.service, share.weight)
                for share in route.split
            )
        )
    if route.service:
        return routes.SingleService(route.service)
    raise DocumentError(f"route {route.name}: no service, split or gather given")


def format_aggregator_prefix(zone: names.ZoneName) -> str:
    """Return the prefix of the keys of a zone's aggregator slots."""
    return f"{AGGREGATOR_KEY_PREFIX}{zone}/"


def format_aggregator_key(key: aggregators.SlotKey) -> str:
    """Return the store's key of an aggregator slot."""
    return f"{format_aggregator_prefix(key.zone)}{key.slot}"


def format_lessor_mark_key(key: aggregators.SlotKey) -> str:
    """Return the store's key that tells that a slot has had a quota lessor."""
    return f"{LESSOR_MARK_KEY_PREFIX}{key.zone}/{key.slot}"


def parse_aggregator_key(key: str) -> aggregators.SlotKey:
    """Return the slot that a key names. Raise DocumentError if it names none."""
    zone, _, slot = key.removeprefix(AGGREGATOR_KEY_PREFIX).rpartition("/")
    if not zone or not _SLOT.fullmatch(slot):
        raise DocumentError(f"expected a zone and a slot in the key {key!r}")
    return aggregators.SlotKey(names.ZoneName(zone), aggregators.Slot(int(slot)))


def encode_aggregator(aggregator: aggregators.Aggregator) -> bytes:
    """Return the value of the key of the slot that an aggregator holds."""
    return msgspec.json.encode(
        _WireAggregator(
            aggregator.host,
            str(aggregator.address),
            aggregator.capacity_cores,
            aggregator.era,
        )
    )


def decode_aggregator(key: str, value: bytes) -> aggregators.Aggregator:
    """Decode the holder of a slot. Raise DocumentError if it is invalid."""
    document = _decode(_AGGREGATOR_DECODER, value)
    address = _parse_address(document.address)
    return aggregators.Aggregator(
        parse_aggregator_key(key),
        names.HostName(document.host),
        address,
        document.capacity_cores,
        document.era,
    )


def format_demand_key(host: names.HostName) -> str:
    """Return the store's key of the demand report of a host."""
    return f"{DEMAND_KEY_PREFIX}{host}"


def parse_demand_key(key: str) -> names.HostName:
    """Return the host whose demand report has a key."""
    return names.HostName(key.removeprefix(DEMAND_KEY_PREFIX))


def encode_demand(report: demand.DemandReport) -> bytes:
    """Return the value of the key of a demand report."""
    return msgspec.json.encode(
        _WireDemand(
            report.zone,
            dict(report.requests_per_s),
            sorted(report.lifted),
            {key: round(1000 * left_s) for key, left_s in report.cold_s.items()}
            or msgspec.UNSET,
        )
    )


def decode_demand(key: str, value: bytes) -> demand.DemandReport:
    """Decode a demand report. Raise DocumentError if it is invalid."""
    document = _decode(_DEMAND_DECODER, value)
    if any(per_s < 0 for per_s in document.requests_per_s.values()):
        raise DocumentError("requests_per_s: a rate is negative")
    return demand.DemandReport(
        parse_demand_key(key),
        names.ZoneName(document.zone),
        {
            names.ServiceName(service): per_s
            for service, per_s in document.requests_per_s.items()
        },
        frozenset(map(replicas.InstanceId, document.lifted)),
        {
            replicas.InstanceId(replica_id): max(left_ms, 0.0) / 1000
            for replica_id, left_ms in (document.cold_ms or {}).items()
        },
    )


def format_crash_key(fingerprint: quarantine.Fingerprint) -> str:
    """Return the store's key of the notes of a request."""
    return f"{CRASH_KEY_PREFIX}{fingerprint}"


def parse_crash_key(key: str) -> quarantine.Fingerprint:
    """Return the request whose notes have a key."""
    return quarantine.Fingerprint(key.removeprefix(CRASH_KEY_PREFIX))


def encode_notes(notes: quarantine.Notes) -> bytes:
    """Return the value of the key of the notes of a request."""
    pairs = sorted((crash.replica, crash.request_id) for crash in notes.crashes)
    return msgspec.json.encode(_WireNotes(pairs, notes.trials))


def decode_notes(key: str, value: bytes) -> quarantine.Notes:
    """Decode the notes of a request. Raise DocumentError if they are invalid."""
    document = _decode(_NOTES_DECODER, value)
    if document.trials < 0:
        raise DocumentError(f"{key}: trials: {document.trials} is negative")
    return quarantine.Notes(
        frozenset(
            quarantine.Crash(replica, names.RequestId(request_id))
            for replica, request_id in document.crashes
        ),
        document.trials,
    )


def format_evacuation_key(zone: names.ZoneName) -> str:
    """Return the store's key that asks for the evacuation of a zone."""
    return f"{EVACUATION_KEY_PREFIX}{zone}"


def parse_evacuation_key(key: str) -> names.ZoneName:
    """Return the zone that a key evacuates. Raise DocumentError if it names none."""
    zone = key.removeprefix(EVACUATION_KEY_PREFIX)
    if not zone:
        raise DocumentError(f"expected a zone in the key {key!r}")
    return names.ZoneName(zone)


def parse_replica_id(key: str) -> replicas.InstanceId:
    """Return the replica ID in the key of an entry."""
    return replicas.InstanceId(key.removeprefix(SERVER_KEY_PREFIX))


def decode_registration(key: str, value: bytes) -> replicas.Registration:
    """Decode the entry of a replica. Raise DocumentError if it is invalid."""
    document = _decode(_SERVER_DECODER, value)
    address = _parse_address(document.address)
    replica_id = parse_replica_id(key)
    if not _REPLICA_ID.fullmatch(replica_id):
        raise DocumentError(f"expected an id of printable ASCII in the key {key!r}")
    _check_start_time(document.born)
    return replicas.Registration(
        id=replica_id,
        service=names.ServiceName(document.service),
        address=address,
        zone=names.ZoneName(document.zone),
        slots=document.capacity,
        state=replicas.ReplicaState(document.state),
        warmup_s=max(0.0, document.warmup_left_ms) / 1000,
        started_at_ms=document.born,
        write_number=document.seq_no,
    )


def _check_start_time(born_ms: int | None) -> None:
    """Refuse a start in the far future: what that process says later is older."""
    if (born_ms or 0) > MAX_START_MS:
        raise DocumentError(f"born: {born_ms} ms lies in the future")


def _decode(decoder: msgspec.json.Decoder, value: bytes) -> msgspec.Struct:
    try:
        return decoding.decode(decoder, value)
    except decoding.DecodingError as error:
        raise DocumentError(str(error)) from error


def _parse_address(text: str) -> names.Address:
    try:
        return settings.parse_address(text)
    except settings.SettingsError as error:
        raise DocumentError(str(error)) from error
