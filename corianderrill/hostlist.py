"""Client of the platform's host list.

The list lags and may be unreachable; the last good one is kept and its age is known.
A list that has not changed is not sent again (conditional requests, RFC 9110).
"""

import dataclasses
import enum

import msgspec
import urllib3

from corianderrill import http_pools, names

MAX_BODY_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
STATUS_OK = 200
STATUS_NOT_MODIFIED = 304


class HostState(enum.Enum):
    """State of a host as the platform lists it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """An entry host as the platform lists it."""

    host: names.HostName
    incarnation: names.Incarnation
    zone: names.ZoneName
    caller_address: names.Address
    peer_address: names.Address
    state: HostState = HostState.LIVE

    @property
    def member(self) -> names.MemberId:
        """The start of the host that the entry means."""
        return names.MemberId(self.host, self.incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as the platform lists it.

    `slots` is how many requests it serves at once, `connection_cap` how many
    connections it accepts, `connect_cost_s` its time to set up one, in seconds.
    """

    fleet: names.FleetName
    host: names.HostName
    incarnation: names.Incarnation
    zone: names.ZoneName
    address: names.Address
    service: names.ServiceName
    shards: tuple[names.ShardName, ...]
    slots: int
    connection_cap: int
    connect_cost_s: float
    state: HostState = HostState.LIVE

    @property
    def replica(self) -> names.ReplicaId:
        """The start of the server that the entry means."""
        return names.ReplicaId(self.fleet, self.host, self.incarnation)

    @property
    def service_id(self) -> names.ServiceId:
        """The service with its fleet."""
        return names.ServiceId(self.fleet, self.service)

    @property
    def shard_ids(self) -> tuple[names.ShardId, ...]:
        """The shards that the server holds."""
        return tuple(names.ShardId(self.service_id, shard) for shard in self.shards)


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """One reading of the platform's list. `revision` rises with each change."""

    revision: int = 0
    entry_hosts: tuple[EntryHost, ...] = ()
    backend_servers: tuple[BackendServer, ...] = ()


class FetchFault(enum.Enum):
    """Why the list could not be read."""

    UNREACHABLE = "unreachable"
    STATUS = "status"
    BODY = "body"
    OLDER = "older"


@dataclasses.dataclass(frozen=True, slots=True)
class Fetched:
    """A list was read that is not older than the one before."""

    hosts: HostList


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFailed:
    """No list was read; the last good one stays in use."""

    reason: FetchFault
    detail: str


def decode_host_list(body: bytes) -> Fetched | FetchFailed:
    """Return the list that a reply's body holds."""
    try:
        return Fetched(msgspec.json.decode(body, type=HostList))
    except (msgspec.DecodeError, RecursionError) as error:
        return FetchFailed(FetchFault.BODY, str(error))


@dataclasses.dataclass(slots=True)
class KnownHosts:
    """The newest list that was read, and when. Rules only, no sockets."""

    hosts: HostList = dataclasses.field(default_factory=HostList)
    read_s: float | None = None

    def take(self, fetched: Fetched | FetchFailed, now: float) -> Fetched | FetchFailed:
        """Keep a list that is not older than the kept one; return what became of it."""
        match fetched:
            case Fetched(hosts) if self.is_older(fetched):
                return FetchFailed(
                    FetchFault.OLDER,
                    f"revision {hosts.revision} after {self.hosts.revision}",
                )
            case Fetched(hosts):
                self.hosts = hosts
                self.read_s = now
        return fetched

    def is_older(self, fetched: Fetched) -> bool:
        """Whether a list is older than the kept one."""
        return fetched.hosts.revision < self.hosts.revision

    def age_s(self, now: float) -> float | None:
        """Seconds since a list was last read; None if none was."""
        return None if self.read_s is None else now - self.read_s


class HostListClient:
    """Reads the list over HTTP. One task owns it."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._pool = http_pools.build_manager(
            num_pools=1,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
            retries=False,
        )
        self._tag: str | None = None
        self.known = KnownHosts()

    def fetch(self, now: float) -> Fetched | FetchFailed:
        """Read the list once; `known` keeps the last good one."""
        return self.known.take(self._read(), now)

    def _read(self) -> Fetched | FetchFailed:
        try:
            reply = self._pool.request(
                "GET", self._url, headers=self._build_headers(), preload_content=False
            )
            body = reply.read(MAX_BODY_BYTES + 1)
            reply.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return FetchFailed(FetchFault.UNREACHABLE, str(error))
        if reply.status == STATUS_NOT_MODIFIED:
            return Fetched(self.known.hosts)
        if reply.status != STATUS_OK:
            return FetchFailed(FetchFault.STATUS, f"status {reply.status}")
        if len(body) > MAX_BODY_BYTES:
            return FetchFailed(FetchFault.BODY, f"over {MAX_BODY_BYTES} bytes")
        decoded = decode_host_list(body)
        is_taken = isinstance(decoded, Fetched) and not self.known.is_older(decoded)
        self._tag = reply.headers.get("ETag") if is_taken else None
        return decoded

    def _build_headers(self) -> dict[str, str]:
        is_known = self._tag is not None and self.known.read_s is not None
        return {"If-None-Match": self._tag} if is_known else {}
