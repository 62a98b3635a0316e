"""A fake of the key-value store of the users' platform.

It implements the part of the platform's protocol that the gateway uses. Tests and
benchmarks change its state while they run.
"""

import base64
import dataclasses
import json
import socket
import urllib.parse
from typing import Any

import eventlet
from eventlet import event

from corianderrill.standins import loopback, store_versions

MAX_PAGE_ITEMS = 50
MAX_HISTORY_ITEMS = 2_000
MAX_WATCH_CHANGES = 500
SILENT_WATCH_POLL_S = 0.05


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


class FakeStore(loopback.LoopbackServer):
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

    def handle_request(self, environ: dict[str, Any]) -> loopback.HttpResponse:
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

    def _answer(self, environ: dict[str, Any]) -> loopback.HttpResponse:
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

    def _grant_lease(self, document: dict[str, Any]) -> loopback.HttpResponse:
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

    def _keep_lease(self, lease: int) -> loopback.HttpResponse:
        if lease not in self._lease_ends:
            return "404 Not Found", {}, b""
        self._restart_lease(lease)
        return self._build_reply({"ttl_ms": round(1000 * self._lease_ttls[lease])})

    def _end_lease(self, lease: int) -> loopback.HttpResponse:
        ending = self._lease_ends.pop(lease, None)
        if ending is None:
            return "404 Not Found", {}, b""
        ending.cancel()
        for key in [k for k, held in self._lease_by_key.items() if held == lease]:
            del self._lease_by_key[key]
            self.remove(key)
        return self._build_reply({})

    def _write(self, document: dict[str, Any]) -> loopback.HttpResponse:
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

    def _build_reply(self, document: dict[str, Any]) -> loopback.HttpResponse:
        body = json.dumps({"at": self.revision, **document}).encode()
        return "200 OK", {"Content-Type": "application/json"}, body

    def _get_key(self, key: str) -> loopback.HttpResponse:
        item = self._items.get(key)
        if item is None:
            return "404 Not Found", {}, b""
        return self._build_reply(
            {**item.to_wire(), "lease": self._lease_by_key.get(key, 0)}
        )

    def _list_range(self, query: dict[str, str]) -> loopback.HttpResponse:
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

    def _build_watch_reply(self, changes: list[_Change]) -> loopback.HttpResponse:
        events = [change.to_wire() for change in changes]
        return self._build_reply({"events": events, "at": changes[-1].revision})

    def _watch(self, query: dict[str, str]) -> loopback.HttpResponse:
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
