"""A stand-in for one backend server, with its limits and its faults.

It serves one shard over HTTP: `POST /v1/sub-query`, `POST /v1/cancel`, `GET
/v1/status`. It has few slots and a short queue, caps its connections, makes each
new connection cost time, keeps the last index versions, and reports its load late.
"""

import contextlib
import dataclasses
import enum
import random
import socket
import time
import zlib

import eventlet
import eventlet.event
import eventlet.semaphore
import eventlet.wsgi
import msgspec

from corianderrill import attempts, names
from corianderrill.standins import indexes

QUEUE_PER_SLOT = 8
HELD_VERSIONS = 4
REPORT_LAG_S = 2.0
MAX_BODY_BYTES = 1_000_000


class ReplyFault(enum.Enum):
    """A way in which a reply can be wrong."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    WRONG_REQUEST = "wrong-request"
    WRONG_ATTEMPT = "wrong-attempt"
    WRONG_SHARD = "wrong-shard"
    WRONG_VERSION = "wrong-version"
    DUPLICATE_ROW = "duplicate-row"
    NOT_JSON = "not-json"


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that a test or a measure sets while the server runs.

    `slow_factor` multiplies service times. `reply_fault` spoils every
    `reply_fault_every`-th reply. `draining_since` is on the monotonic clock.
    """

    slow_factor: float = 1.0
    frozen: bool = False
    draining: bool = False
    shedding: bool = False
    lost_replies: bool = False
    reply_fault: ReplyFault | None = None
    reply_fault_every: int = 1
    reported_load: float | None = None
    reported_healthy: bool | None = None
    version_lag: int = 0
    draining_since: float | None = None


@dataclasses.dataclass(slots=True)
class Counters:
    """What the server saw, for a checker outside the product."""

    connections: int = 0
    connections_open: int = 0
    connections_peak: int = 0
    connections_over_cap: int = 0
    requests: int = 0
    running: int = 0
    running_peak: int = 0
    executed: int = 0
    cancelled: int = 0
    shed: int = 0
    refused_draining: int = 0
    refused_snapshot: int = 0
    too_late: int = 0
    refused_draining_at: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendShape:
    """Fixed properties of one backend server.

    Times in seconds. `service_sigma` is the sigma of the lognormal service time.
    `load_lag_s` is the longest time from the publication of an index version until
    the server holds it.
    """

    replica: names.ReplicaId
    zone: names.ZoneName
    shard: names.ShardId
    slots: int
    connections: int
    connect_s: float
    service_s: float = 0.008
    service_sigma: float = 0.35
    load_lag_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """One run of a sub-request that is not idempotent."""

    request_id: str
    attempt_id: str
    key: str
    at: float


class _SubQuery(msgspec.Struct):
    """A sub-request as it arrives."""

    request_id: str
    attempt_id: str
    service: str
    shard: str
    version: int
    operation: attempts.Operation
    remaining_ms: float


class _Cancel(msgspec.Struct):
    """A request to give up an attempt."""

    attempt_id: str


class _Response(msgspec.Struct):
    """Status and body of a response."""

    status: str
    body: bytes


_encode = msgspec.json.Encoder().encode
_decode_sub_query = msgspec.json.Decoder(_SubQuery).decode
_decode_cancel = msgspec.json.Decoder(_Cancel).decode


class BackendServer:
    """One backend server: its sockets, its slots and its faults."""

    def __init__(self, shape: BackendShape, builder: indexes.IndexBuilder, seed=0):
        self.shape = shape
        self.faults = Faults()
        self.counters = Counters()
        self.executions: list[Execution] = []
        self.address: names.Address | None = None
        self._builder = builder
        self._rng = random.Random(f"{seed}/{shape.replica}")
        self._slots = eventlet.semaphore.Semaphore(shape.slots)
        self._waiting = 0
        self._cancels: dict[str, eventlet.event.Event] = {}
        self._listener = None
        self._server = None
        self._pool = None
        self._report = (0.0, 0)

    def start(self, ip: str = "127.0.0.1", port: int = 0) -> names.Address:
        """Listen and serve in green threads; return the address."""
        self._listener = eventlet.listen((ip, port), backlog=256)
        self.address = names.Address(*self._listener.getsockname()[:2])
        self._pool = _CappedPool(self)
        self._server = eventlet.spawn(
            eventlet.wsgi.server,
            self._listener,
            self.respond,
            custom_pool=self._pool,
            log_output=False,
            keepalive=True,
            debug=False,
            socket_timeout=None,
        )
        return self.address

    def kill(self) -> None:
        """Close every socket at once, as a lost server does."""
        self._listener.close()
        self._server.kill()
        self._pool.kill_all()

    def held(self) -> attempts.HeldVersions:
        """Return the index versions that the server holds now."""
        ages = self._builder.list_published(time.monotonic())
        loaded = [
            version for version, age in ages.items() if age >= self._load_lag_s(version)
        ]
        high = max(loaded, default=min(ages)) - self.faults.version_lag
        return attempts.HeldVersions(max(min(ages), high - HELD_VERSIONS + 1), high)

    def _load_lag_s(self, version: names.IndexVersion) -> float:
        if version == 1:
            return 0.0
        name = f"{self.shape.replica}@{version}"
        return self.shape.load_lag_s * (zlib.crc32(name.encode()) / 2**32)

    def respond(self, environ, start_response):
        """Serve one HTTP request (WSGI)."""
        handle = _ROUTES.get((environ["REQUEST_METHOD"], environ["PATH_INFO"]))
        if handle is None:
            response = _Response("404 Not Found", b"{}")
        else:
            response = handle(self, environ)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(response.status, headers)
        return [response.body]

    def _answer_status(self, environ) -> _Response:
        now = time.monotonic()
        if now - self._report[0] > REPORT_LAG_S:
            self._report = (now, self.counters.running + self._waiting)
        held = self.held()
        load = self.faults.reported_load
        healthy = self.faults.reported_healthy
        body = {
            "load": self._report[1] if load is None else load,
            "healthy": True if healthy is None else healthy,
            "draining": self.faults.draining,
            "held": [held.low, held.high],
        }
        return _Response("200 OK", _encode(body))

    def _cancel(self, environ) -> _Response:
        cancel = _decode_cancel(environ["wsgi.input"].read())
        event = self._cancels.get(cancel.attempt_id)
        if event is not None and not event.ready():
            event.send(True)
        return _Response("200 OK", b"{}")

    def _answer_sub_query(self, environ) -> _Response:
        self.counters.requests += 1
        sub_query = _decode_sub_query(environ["wsgi.input"].read())
        if self.faults.frozen:
            eventlet.sleep(3600)
        refusal = self._refuse(sub_query)
        if refusal is not None:
            return refusal
        event = eventlet.event.Event()
        self._cancels[sub_query.attempt_id] = event
        try:
            return self._wait_and_run(sub_query, event)
        finally:
            del self._cancels[sub_query.attempt_id]

    def _refuse(self, sub_query: _SubQuery) -> _Response | None:
        if self.faults.draining:
            self.counters.refused_draining += 1
            self.counters.refused_draining_at.append(time.monotonic())
            return self._make_refusal("503 Service Unavailable", "draining")
        held = self.held()
        if not held.low <= sub_query.version <= held.high:
            self.counters.refused_snapshot += 1
            return self._make_refusal("409 Conflict", "no-snapshot")
        if self.faults.shedding or self._waiting >= QUEUE_PER_SLOT * self.shape.slots:
            self.counters.shed += 1
            return self._make_refusal("503 Service Unavailable", "shed")
        return None

    def _wait_and_run(self, sub_query: _SubQuery, event) -> _Response:
        give_up_at = time.monotonic() + sub_query.remaining_ms / 1000
        self._waiting += 1
        try:
            self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if event.ready():
                self.counters.cancelled += 1
                return self._make_refusal("503 Service Unavailable", "cancelled")
            if time.monotonic() >= give_up_at:
                self.counters.too_late += 1
                return self._make_refusal("503 Service Unavailable", "too-late")
            return self._run(sub_query, event)
        finally:
            self._slots.release()

    def _run(self, sub_query: _SubQuery, event) -> _Response:
        self.counters.running += 1
        self.counters.running_peak = max(
            self.counters.running_peak, self.counters.running
        )
        try:
            if isinstance(sub_query.operation, attempts.WriteRow):
                eventlet.sleep(self._draw_service_s())
                return self._record(sub_query, sub_query.operation)
            if event.wait(self._draw_service_s()):
                self.counters.cancelled += 1
                return self._make_refusal(
                    "503 Service Unavailable", "cancelled", ran=True
                )
            return self._find(sub_query, sub_query.operation)
        finally:
            self.counters.running -= 1

    def _draw_service_s(self) -> float:
        median = self.shape.service_s * self.faults.slow_factor
        return median * self._rng.lognormvariate(0, self.shape.service_sigma)

    def _find(self, sub_query: _SubQuery, operation: attempts.FindRows) -> _Response:
        shard = self._name_shard(sub_query)
        version = names.IndexVersion(sub_query.version)
        content = self._builder.find_content(shard, version)
        if content is None:
            self.counters.refused_snapshot += 1
            return self._make_refusal("409 Conflict", "no-snapshot")
        wanted = operation.filters.items()
        rows = [
            row
            for row in content.rows
            if all(row.fields.get(field) == value for field, value in wanted)
        ]
        self.counters.executed += 1
        return self._make_reply(sub_query, rows)

    def _record(self, sub_query: _SubQuery, operation: attempts.WriteRow) -> _Response:
        self.counters.executed += 1
        self.executions.append(
            Execution(
                sub_query.request_id,
                sub_query.attempt_id,
                operation.key,
                time.monotonic(),
            )
        )
        if self.faults.lost_replies:
            eventlet.sleep(3600)
        row = attempts.ReplyRow(operation.key, operation.fields)
        return self._make_reply(sub_query, [row])

    def _name_shard(self, sub_query: _SubQuery) -> names.ShardId:
        service = names.ServiceId(
            self.shape.replica.fleet, names.ServiceName(sub_query.service)
        )
        return names.ShardId(service, names.ShardName(sub_query.shard))

    def _make_refusal(self, status: str, reason: str, ran=False) -> _Response:
        held = self.held()
        body = {"ran": ran, "reason": reason, "held": [held.low, held.high]}
        return _Response(status, _encode(body))

    def _make_reply(self, sub_query: _SubQuery, rows) -> _Response:
        held = self.held()
        body = {
            "request_id": sub_query.request_id,
            "attempt_id": sub_query.attempt_id,
            "service": sub_query.service,
            "shard": sub_query.shard,
            "version": sub_query.version,
            "row_count": len(rows),
            "rows": rows,
            "held": [held.low, held.high],
        }
        fault = self.faults.reply_fault
        if fault and self.counters.executed % self.faults.reply_fault_every == 0:
            return _Response("200 OK", _spoil(body, fault))
        return _Response("200 OK", _encode(body))


_ROUTES = {
    ("POST", "/v1/sub-query"): BackendServer._answer_sub_query,
    ("POST", "/v1/cancel"): BackendServer._cancel,
    ("GET", "/v1/status"): BackendServer._answer_status,
}


def _spoil(body: dict, fault: ReplyFault) -> bytes:
    """Return a reply that is wrong in one way."""
    match fault:
        case ReplyFault.TRUNCATED:
            return _encode({**body, "rows": body["rows"][:-1], "row_count": 99})
        case ReplyFault.OVERSIZED:
            return _encode({**body, "padding": "x" * (2 * MAX_BODY_BYTES)})
        case ReplyFault.WRONG_REQUEST:
            return _encode({**body, "request_id": "another-request"})
        case ReplyFault.WRONG_ATTEMPT:
            return _encode({**body, "attempt_id": "another-attempt"})
        case ReplyFault.WRONG_SHARD:
            return _encode({**body, "shard": "another-shard"})
        case ReplyFault.WRONG_VERSION:
            return _encode({**body, "version": body["version"] + 1})
        case ReplyFault.DUPLICATE_ROW:
            rows = [*body["rows"], *body["rows"]]
            return _encode({**body, "rows": rows, "row_count": len(rows)})
        case ReplyFault.NOT_JSON:
            return b"{" + b"\x00" * 20


class _CappedPool(eventlet.GreenPool):
    """Runs a green thread for each connection, refuses those over the cap."""

    def __init__(self, server: BackendServer):
        super().__init__(size=100_000)
        self._server = server
        self._threads = {}

    def spawn(self, serve, connection, *arguments):
        """Serve a connection, as eventlet's WSGI server asks."""
        thread = super().spawn(self._serve, serve, connection, *arguments)
        self._threads[thread] = connection[1]
        thread.link(lambda done: self._threads.pop(done, None))
        return thread

    def kill_all(self) -> None:
        """End every connection without a goodbye."""
        for thread, connection in list(self._threads.items()):
            thread.kill()
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _serve(self, serve, connection, *arguments):
        counters = self._server.counters
        shape = self._server.shape
        counters.connections += 1
        if counters.connections_open >= shape.connections:
            counters.connections_over_cap += 1
            connection[1].close()
            return
        counters.connections_open += 1
        counters.connections_peak = max(
            counters.connections_peak, counters.connections_open
        )
        try:
            eventlet.sleep(shape.connect_s)
            serve(connection, *arguments)
        finally:
            counters.connections_open -= 1
