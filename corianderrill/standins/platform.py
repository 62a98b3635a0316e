"""Stand-ins of the users' platform: its store, and backend servers that register.

Both speak the protocol of the platform as far as the gateway uses it; a test or an
experiment changes them while they run.
"""

import base64
import dataclasses
import itertools
import json
import os
import urllib.parse
from collections.abc import Iterable, Sequence
from typing import Any

import eventlet
from eventlet import event, wsgi

from corianderrill import names

MAX_PAGE_ITEMS = 50
MAX_HISTORY_ITEMS = 2_000
MAX_WATCH_CHANGES = 500
KEEP_ALIVE_TIMEOUT_S = 5.0

HttpResponse = tuple[str, dict[str, str], bytes]

_SETTINGS = """
node_name = "{name}"
zone = "{zone}"
[listen]
front = "{front}"
ready_addr = "{ready}"
[bounds]
drain_ms = {drain_ms}
grace_s = {grace_s}
config_apply_ms = {config_apply_ms}
retry_ratio = {retry_ratio}
retry_slack = {retry_slack}
[platform]
address = "{store}"
"""


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettingsFile:
    """The settings file that the platform writes for one host."""

    name: str
    zone: str
    front: str
    ready: str
    store: str
    drain_ms: int
    grace_s: int
    config_apply_ms: int
    retry_ratio: float
    retry_slack: int

    def render(self) -> str:
        """Return the text of the file."""
        return _SETTINGS.format(**dataclasses.asdict(self))


class LoopbackServer:
    """A WSGI server on the loopback address."""

    def __init__(self) -> None:
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = names.Address(*self._listener.getsockname())
        self._thread = eventlet.spawn(
            wsgi.server,
            self._listener,
            self._serve,
            log=wsgi.LoggerNull(),
            log_output=False,
            debug=False,
            keepalive=KEEP_ALIVE_TIMEOUT_S,
        )

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        status, headers, body = self.handle_request(environ)
        start_response(status, [*headers.items(), ("Content-Length", str(len(body)))])
        return [body]

    def handle_request(self, environ: dict[str, Any]) -> HttpResponse:
        """Return status line, headers and body for a request."""
        raise NotImplementedError

    def stop(self) -> None:
        """Listen no more and close what is open."""
        self._thread.kill()
        self._listener.close()


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    key: str
    revision: int
    value: bytes | None

    def show(self) -> dict[str, Any]:
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }


class FakeStore(LoopbackServer):
    """Keys with revisions, ranges by page, watches that wait.

    `is_down` refuses all calls as busy; `forget_history` ends all watches. Ranges that
    may be old show what `age` kept, once it was called.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.is_down = False
        self.calls = 0
        self._items: dict[str, _Change] = {}
        self._history: list[_Change] = []
        self._forgotten = 0
        self._old: tuple[dict[str, _Change], int] | None = None
        self.stale_reads = 0
        self._changed = event.Event()
        super().__init__()

    def put(self, key: str, value: object) -> int:
        """Write a key; bytes are written as they are, other values as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._items[key] = _Change(key, self.revision, data)
        self._note(self._items[key])
        return self.revision

    def remove(self, key: str) -> int:
        """Remove a key."""
        self.revision += 1
        self._items.pop(key, None)
        self._note(_Change(key, self.revision, None))
        return self.revision

    def freeze_stale_reads(self) -> None:
        """Show what is there now to all later reads that may be old."""
        self._old = dict(self._items), self.revision

    def compact_history(self) -> None:
        """Forget what changed; who asks for it has to read all keys anew."""
        self._history.clear()
        self._forgotten = self.revision
        self._wake()

    def _note(self, change: _Change) -> None:
        self._history = [*self._history[-MAX_HISTORY_ITEMS:], change]
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, event.Event()
        changed.send()

    def handle_request(self, environ: dict[str, Any]) -> HttpResponse:
        """Answer a call."""
        self.calls += 1
        if self.is_down:
            return "503 Service Unavailable", {}, b""
        fields = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        match environ["PATH_INFO"]:
            case "/api/kv-range":
                return self._show(self._read_range(fields))
            case "/api/kv-watch":
                return self._watch(fields)
        return "404 Not Found", {}, b""

    def _show(self, document: dict[str, Any]) -> HttpResponse:
        body = json.dumps({"at": self.revision, **document}).encode()
        return "200 OK", {"Content-Type": "application/json"}, body

    def _read_range(self, fields: dict[str, str]) -> dict[str, Any]:
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        items, at = self._items, self.revision
        if fields.get("serializable") == "1":
            self.stale_reads += 1
            items, at = self._old or (items, at)
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        shown = [items[key].show() for key in keys[:MAX_PAGE_ITEMS]]
        return {"items": shown, "has_more": len(keys) > MAX_PAGE_ITEMS, "at": at}

    def _show_changes(self, found: list[_Change]) -> HttpResponse:
        events = [change.show() for change in found]
        return self._show({"events": events, "at": found[-1].revision})

    def _watch(self, fields: dict[str, str]) -> HttpResponse:
        after = int(fields["after"])
        with eventlet.Timeout(int(fields["wait_ms"]) / 1000, False):
            while not self.is_down and after >= self._forgotten:
                found = [c for c in self._history if c.revision > after]
                if found:
                    return self._show_changes(found[:MAX_WATCH_CHANGES])
                self._changed.wait()
        if self.is_down:
            return "503 Service Unavailable", {}, b""
        if after < self._forgotten:
            return "410 Gone", {}, b""
        return self._show({"events": []})


class FakeBackendServer(LoopbackServer):
    """A backend server: records for queries, an echo for single requests.

    `delay_s` is the time of each request; `status` what it answers.
    """

    _numbers = itertools.count(1)

    def __init__(self, service: str, zone: str, records: Sequence[bytes] = ()) -> None:
        self.id = f"i-{os.getpid()}-{next(self._numbers)}"
        self.service = service
        self.zone = zone
        self.records = records
        self.delay_s = 0.0
        self.status = "200 OK"
        self.requests: list[str] = []
        super().__init__()

    def register(self, store: FakeStore, state: str = "ready") -> None:
        """Write the entry of this server."""
        entry = {
            "service": self.service,
            "address": str(self.address),
            "zone": self.zone,
            "version": "v1",
            "capacity": 4,
            "state": state,
            "warmup_left_ms": 0,
            "seq_no": 1,
        }
        store.put(f"servers/{self.id}", entry)

    def handle_request(self, environ: dict[str, Any]) -> HttpResponse:
        """Run a request, or tell that another server was meant."""
        expected = environ.get("HTTP_X_EXPECT_INSTANCE")
        if expected is not None and expected != self.id:
            return "421 Misdirected Request", {"X-Instance-Id": self.id}, b""
        request_id = environ["HTTP_X_REQUEST_ID"]
        body = environ["wsgi.input"].read()
        self.requests.append(request_id)
        eventlet.sleep(self.delay_s)
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Stamp": f"{self.id}.{request_id}",
        }
        return self.status, headers, b"".join(self.records) or body or b"done"
