"""Fakes of the users' platform: its store, and backend servers that register there.

Both implement the part of the platform's protocol that the gateway uses. Tests and
benchmarks change their state while they run.
"""

import base64
import dataclasses
import itertools
import json
import os
import socket
import time
import urllib.parse
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import eventlet
from eventlet import event, wsgi

from corianderrill import names
from corianderrill.standins import store_versions

MAX_PAGE_ITEMS = 50
MAX_HISTORY_ITEMS = 2_000
MAX_WATCH_CHANGES = 500
KEEP_ALIVE_TIMEOUT_S = 5.0
SILENT_WATCH_POLL_S = 0.05

HttpResponse = tuple[str, dict[str, str], bytes]

_SETTINGS = """
node_name = "{name}"
zone = "{zone}"
port_range = {port_range}
[listen]
front = "{listen_address}"
ready_addr = "{readiness_address}"
[bounds]
drain_ms = {drain_ms}
grace_s = {grace_s}
config_apply_ms = {config_apply_ms}
retry_ratio = {retry_ratio}
retry_slack = {retry_slack}
{bound_lines}
[zones]
{zone_lines}
[limits]
cpu_share = {cpu_share}
cores = 1
{limit_lines}
[platform]
address = "{store_address}"
"""


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettingsFile:
    """The values of a settings file that the platform writes for one host.

    `more_bounds` and `more_limits` are further fields of these sections.
    """

    name: str
    zone: str
    listen_address: str
    readiness_address: str
    store_address: str
    drain_ms: int
    grace_s: int
    config_apply_ms: int
    retry_ratio: float
    retry_slack: int
    port_range: list[int] = dataclasses.field(default_factory=list)
    cpu_share: float = 1.0
    zones: tuple[str, ...] = ()
    more_bounds: Mapping[str, float] = dataclasses.field(default_factory=dict)
    more_limits: Mapping[str, float] = dataclasses.field(default_factory=dict)

    def render(self) -> str:
        """Return the text of the file."""
        zone_lines = "\n".join(f'{zone} = "region"' for zone in self.zones)
        return _SETTINGS.format(
            **dataclasses.asdict(self),
            zone_lines=zone_lines,
            bound_lines=_render_fields(self.more_bounds),
            limit_lines=_render_fields(self.more_limits),
        )


def _render_fields(fields: Mapping[str, float]) -> str:
    return "\n".join(f"{name} = {value}" for name, value in fields.items())


class _Protocol(wsgi.HttpProtocol):
    """Keeps the target of a request as it was sent."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ["RAW_REQUEST_TARGET"] = self.requestline.split()[1]
        return environ


class LoopbackServer:
    """A WSGI server on a free port of the loopback address."""

    def __init__(self) -> None:
        self._listen(("127.0.0.1", 0))
        self.address = names.Address(*self._listener.getsockname())

    def _listen(self, address: tuple[str, int]) -> None:
        self._listener = eventlet.listen(address)
        self._thread = eventlet.spawn(
            wsgi.server,
            self._listener,
            self._serve,
            log=wsgi.LoggerNull(),
            log_output=False,
            debug=False,
            keepalive=KEEP_ALIVE_TIMEOUT_S,
            protocol=_Protocol,
        )

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        status, headers, body = self.handle_request(environ)
        start_response(status, [*headers.items(), ("Content-Length", str(len(body)))])
        return [body]

    def handle_request(self, environ: dict[str, Any]) -> HttpResponse:
        """Return the status line, headers and body of the response."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop the server and close its listening socket."""
        self._thread.kill()
        self._listener.close()


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """A version of a key; the value is None if the key was removed."""

    key: str
    revision: int
    value: bytes | None

    def to_wire(self) -> dict[str, Any]:
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }


@dataclasses.dataclass(frozen=True, slots=True)
class _StoreCopy:
    """The state of a store at one moment; `lease_ttls` has the leases that lasted."""

    revision: int
    items: dict[str, _Change]
    history: list[_Change]
    compacted_revision: int
    lease_ttls: dict[int, float]
    lease_by_key: dict[str, int]
    last_lease: int


class FakeStore(LoopbackServer):
    """A key-value store with revisions, leases, paged reads and long-poll watches.

    While `is_down` is set, all calls get status 503; while `is_resetting` is set, their
    connections are closed; while `are_watches_silent` is, watches alone get no reply.
    From `fall_silent` until `end_silence`, no call is answered, and those that were
    open then never are. After `compact_history`, watches from an earlier revision get
    status 410. After
    `snapshot_for_stale_reads`, range reads that allow stale data are answered from the
    snapshot, with the era of that time. After `delay_stale_reads` they are answered
    from what the store held some seconds ago. `restore` begins a new `era` from what
    `take_copy` returned, and gives out its later revisions and leases again.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self.is_down = False
        self.is_resetting = False
        self.are_watches_silent = False
        self._is_silent = False
        self._silence_count = 0
        self.call_count = 0
        self.watch_count = 0
        self._items: dict[str, _Change] = {}
        self._lease_ends: dict[int, Any] = {}
        self._lease_ttls: dict[int, float] = {}
        self._lease_by_key: dict[str, int] = {}
        self._last_lease = 0
        self._history: list[_Change] = []
        self._compacted_revision = 0
        self._stale_snapshot: tuple[dict[str, _Change], int, int] | None = None
        self.stale_read_count = 0
        self._versions = store_versions.StoreVersions()
        self._change_event = event.Event()
        super().__init__()

    def put(self, key: str, value: object) -> int:
        """Write a key; bytes are written as they are, other values as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._items[key] = _Change(key, self.revision, data)
        self._versions.keep(self._items, self.revision, self.era)
        self._append_to_history(self._items[key])
        return self.revision

    def remove(self, key: str) -> int:
        """Remove a key."""
        self.revision += 1
        self._items.pop(key, None)
        self._versions.keep(self._items, self.revision, self.era)
        self._append_to_history(_Change(key, self.revision, None))
        return self.revision

    def list_keys(self) -> set[str]:
        """Return the keys that exist."""
        return set(self._items)

    def take_copy(self) -> _StoreCopy:
        """Return the present state, for `restore`."""
        return _StoreCopy(
            self.revision,
            dict(self._items),
            list(self._history),
            self._compacted_revision,
            {lease: self._lease_ttls[lease] for lease in self._lease_ends},
            dict(self._lease_by_key),
            self._last_lease,
        )

    def restore(self, copy: _StoreCopy) -> None:
        """Go back to a copy; all that was written since is gone, leases too."""
        for ending in self._lease_ends.values():
            ending.cancel()
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._compacted_revision = copy.compacted_revision
        self._last_lease = copy.last_lease
        self._lease_ttls = dict(copy.lease_ttls)
        self._lease_by_key = dict(copy.lease_by_key)
        self._lease_ends = {}
        for lease in self._lease_ttls:
            self._restart_lease(lease)
        self._versions.keep(self._items, self.revision, self.era)
        self._notify_watchers()

    def fall_silent(self) -> None:
        """Answer no call until `end_silence`, also none that is open now."""
        self._is_silent = True
        self._silence_count += 1

    def end_silence(self) -> None:
        """Answer new calls again; those that came before stay without an answer."""
        self._is_silent = False

    def snapshot_for_stale_reads(self) -> None:
        """Take a snapshot of the store; all later stale reads are answered from it."""
        self._stale_snapshot = dict(self._items), self.revision, self.era

    def delay_stale_reads(self, age_s: float) -> None:
        """Answer stale reads from what the store held `age_s` ago; 0 ends that."""
        if age_s:
            self._versions.begin(age_s, self._items, self.revision, self.era)
        else:
            self._versions.end()

    def compact_history(self) -> None:
        """Delete the history, so that watchers have to read all keys again."""
        self._history.clear()
        self._compacted_revision = self.revision
        self._notify_watchers()

    def _append_to_history(self, change: _Change) -> None:
        self._history = [*self._history[-MAX_HISTORY_ITEMS:], change]
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        previous_event, self._change_event = self._change_event, event.Event()
        previous_event.send()

    def handle_request(self, environ: dict[str, Any]) -> HttpResponse:
        """Answer a call of the store client, unless the store falls silent."""
        if self.is_resetting:
            environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)
            return "503 Service Unavailable", {}, b""
        silence_count = self._silence_count
        response = None if self._is_silent else self._answer(environ)
        if self._is_silent or silence_count != self._silence_count:
            event.Event().wait()
        status, headers, body = response
        return status, {"Store-Era": str(self.era), **headers}, body

    def _answer(self, environ: dict[str, Any]) -> HttpResponse:
        self.call_count += 1
        if self.is_down:
            return "503 Service Unavailable", {}, b""
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        match environ["PATH_INFO"]:
            case "/api/kv-key":
                return self._get_key(query["key"])
            case "/api/kv-range":
                return self._list_range(query)
            case "/api/kv-watch":
                return self._watch(query)
            case "/api/kv-lease":
                return self._grant_lease(_read_json(environ))
            case "/api/kv-txn":
                return self._write(_read_json(environ))
        path, _, number = environ["PATH_INFO"].rpartition("/")
        match path:
            case "/api/kv-keep":
                return self._keep_lease(int(number))
            case "/api/kv-lease-end":
                return self._end_lease(int(number))
        return "404 Not Found", {}, b""

    def _grant_lease(self, document: dict[str, Any]) -> HttpResponse:
        self._last_lease += 1
        lease = self._last_lease
        self._lease_ttls[lease] = document["ttl_ms"] / 1000
        self._restart_lease(lease)
        return self._build_reply({"lease": lease, "ttl_ms": document["ttl_ms"]})

    def _restart_lease(self, lease: int) -> None:
        if lease in self._lease_ends:
            self._lease_ends[lease].cancel()
        self._lease_ends[lease] = eventlet.spawn_after(
            self._lease_ttls[lease], self._end_lease, lease
        )

    def _keep_lease(self, lease: int) -> HttpResponse:
        if lease not in self._lease_ends:
            return "404 Not Found", {}, b""
        self._restart_lease(lease)
        return self._build_reply({"ttl_ms": round(1000 * self._lease_ttls[lease])})

    def _end_lease(self, lease: int) -> HttpResponse:
        ending = self._lease_ends.pop(lease, None)
        if ending is None:
            return "404 Not Found", {}, b""
        ending.cancel()
        for key in [k for k, held in self._lease_by_key.items() if held == lease]:
            del self._lease_by_key[key]
            self.remove(key)
        return self._build_reply({})

    def _write(self, document: dict[str, Any]) -> HttpResponse:
        for row in document["expected_rev"]:
            current = self._items.get(row["key"])
            if (0 if current is None else current.revision) != row["revision"]:
                return "412 Precondition Failed", {}, b"{}"
        for key in document["deletes"]:
            self._lease_by_key.pop(key, None)
            self.remove(key)
        for row in document["writes"]:
            self._lease_by_key.pop(row["key"], None)
            if row["lease"]:
                if row["lease"] not in self._lease_ends:
                    return "404 Not Found", {}, b""
                self._lease_by_key[row["key"]] = row["lease"]
            self.put(row["key"], base64.b64decode(row["value"]))
        return self._build_reply({"revision": self.revision})

    def _build_reply(self, document: dict[str, Any]) -> HttpResponse:
        body = json.dumps({"at": self.revision, **document}).encode()
        return "200 OK", {"Content-Type": "application/json"}, body

    def _get_key(self, key: str) -> HttpResponse:
        item = self._items.get(key)
        if item is None:
            return "404 Not Found", {}, b""
        return self._build_reply(
            {**item.to_wire(), "lease": self._lease_by_key.get(key, 0)}
        )

    def _list_range(self, query: dict[str, str]) -> HttpResponse:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        items, revision, era = self._items, self.revision, self.era
        if query.get("serializable") == "1":
            self.stale_read_count += 1
            items, revision, era = self._stale_snapshot or (items, revision, era)
            version = self._versions.find_stale()
            if version is not None:
                items, revision, era = version.items, version.revision, version.era
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        page = [items[key].to_wire() for key in keys[:MAX_PAGE_ITEMS]]
        has_more = len(keys) > MAX_PAGE_ITEMS
        status, headers, body = self._build_reply(
            {"items": page, "has_more": has_more, "at": revision}
        )
        return status, {**headers, "Store-Era": str(era)}, body

    def _build_watch_reply(self, changes: list[_Change]) -> HttpResponse:
        events = [change.to_wire() for change in changes]
        return self._build_reply({"events": events, "at": changes[-1].revision})

    def _watch(self, query: dict[str, str]) -> HttpResponse:
        self.watch_count += 1
        while self.are_watches_silent:
            eventlet.sleep(SILENT_WATCH_POLL_S)
        after = int(query["after"])
        era = self.era
        with eventlet.Timeout(int(query["wait_ms"]) / 1000, False):
            while not self.is_down and self.era == era and self._has_since(after):
                changes = [c for c in self._history if c.revision > after]
                if changes:
                    return self._build_watch_reply(changes[:MAX_WATCH_CHANGES])
                self._change_event.wait()
        if self.is_down:
            return "503 Service Unavailable", {}, b""
        if self.era != era or not self._has_since(after):
            return "410 Gone", {}, b""
        return self._build_reply({"events": []})

    def _has_since(self, revision: int) -> bool:
        return self._compacted_revision <= revision <= self.revision


def _read_json(environ: dict[str, Any]) -> dict[str, Any]:
    return json.loads(environ["wsgi.input"].read())


class FakeBackendServer(LoopbackServer):
    """A backend server that replies with its records, or else echoes the body.

    `delay_s` is the processing time of each request, `status` the status of replies.
    `rate_limit` is the limit that replies advertise, in requests a second of all hosts.
    While `is_leaving` is set, replies say that the server leaves. `warmup_left_ms` is
    in its registration, and in its replies unless it is None.
    """

    _numbers = itertools.count(1)

    def __init__(self, service: str, zone: str, records: Sequence[bytes] = ()) -> None:
        self.id = f"i-{os.getpid()}-{next(self._numbers)}"
        self.service = service
        self.zone = zone
        self.records = records
        self.delay_s = 0.0
        self.status = "200 OK"
        self.rate_limit: float | None = None
        self.is_leaving = False
        self.warmup_left_ms: int | None = None
        self.started_at_ms = round(1000 * time.time())
        self._write_count = 0
        self.requests: list[str] = []
        # By request id, as they were sent.
        self.targets: dict[str, str] = {}
        # By request id; the WSGI names of headers.
        self.headers: dict[str, dict[str, str]] = {}
        super().__init__()

    def register(self, store: FakeStore, state: str = "ready") -> None:
        """Write the registration of this server to the store."""
        self._write_count += 1
        entry = {
            "service": self.service,
            "address": str(self.address),
            "zone": self.zone,
            "version": "v1",
            "capacity": 4,
            "state": state,
            "warmup_left_ms": self.warmup_left_ms or 0,
            "seq_no": self._write_count,
            "born": self.started_at_ms,
        }
        store.put(f"servers/{self.id}", entry)

    def handle_request(self, environ: dict[str, Any]) -> HttpResponse:
        """Execute a request, or reply 421 if it is for another server."""
        expected = environ.get("HTTP_X_EXPECT_INSTANCE")
        request_id = environ["HTTP_X_REQUEST_ID"]
        if expected is not None and expected != self.id:
            headers = {"X-Request-Id": request_id, "X-Instance-Id": self.id}
            return "421 Misdirected Request", headers, b""
        body = environ["wsgi.input"].read()
        self.requests.append(request_id)
        self.targets[request_id] = environ["RAW_REQUEST_TARGET"]
        self.headers[request_id] = {
            name: value for name, value in environ.items() if name.startswith("HTTP_")
        }
        eventlet.sleep(self.delay_s)
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Stamp": f"{self.id}.{request_id}",
        }
        if self.rate_limit is not None:
            headers["Server-Limit"] = str(self.rate_limit)
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if self.warmup_left_ms is not None:
            headers["X-Warmup-Ms"] = str(self.warmup_left_ms)
        return self.status, headers, b"".join(self.records) or body or b"done"
