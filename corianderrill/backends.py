"""HTTP to backend servers: one bounded pool of connections for each replica.

A pool never holds more connections than its share, and a connection goes back to
it only after a whole reply that belonged to its request. A server counts a
connection as open until it has finished with it, whoever closed it; therefore an
attempt that was given up keeps its connection until the reply has come, and only a
server that stays silent for `DRAIN_S` more has it closed.
"""

import dataclasses
import time

import eventlet
import eventlet.timeout
import msgspec
import urllib3

from corianderrill import attempts, hostlist, names, replies

CONNECT_TIMEOUT_S = 0.25
POOL_WAIT_S = 0.05
DRAIN_S = 5.0
CANCEL_TIMEOUT_S = 0.25
SUB_QUERY_PATH = "/v1/sub-query"
CANCEL_PATH = "/v1/cancel"
STATUS_PATH = "/v1/status"
HEADERS = {"Content-Type": "application/json"}


class SubQueryBody(msgspec.Struct):
    """The body of a sub-request to a backend server."""

    request_id: names.RequestId
    attempt_id: str
    service: names.ServiceName
    shard: names.ShardName
    version: names.IndexVersion
    operation: attempts.Operation
    remaining_ms: float


class CancelBody(msgspec.Struct):
    """The body of a request to give up an attempt."""

    attempt_id: str


class BackendStatus(msgspec.Struct):
    """What a backend server reports of itself; it may lag or mislead."""

    load: float
    healthy: bool
    draining: bool
    held: tuple[int, int]


_encode = msgspec.json.Encoder().encode
_decode_status = msgspec.json.Decoder(BackendStatus).decode

NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)
REFUSALS = {
    replies.RefusedReason.SNAPSHOT: attempts.RefusalKind.NO_SNAPSHOT,
    replies.RefusedReason.SHED: attempts.RefusalKind.SHED,
    replies.RefusedReason.DRAINING: attempts.RefusalKind.DRAINING,
    replies.RefusedReason.UNAVAILABLE: attempts.RefusalKind.SHED,
}


@dataclasses.dataclass(slots=True)
class PoolCounters:
    """Counts over all pools of a process."""

    sent: int = 0
    invalid: dict[replies.InvalidReason, int] = dataclasses.field(default_factory=dict)
    timeouts: int = 0
    connect_failures: int = 0
    cancels: int = 0


class BackendPools:
    """The connection pools of one process, one for each replica."""

    def __init__(self, connection_share):
        """`connection_share(server)` is the most connections to hold to it."""
        self.counters = PoolCounters()
        self._connection_share = connection_share
        self._pools: dict[names.ReplicaId, urllib3.HTTPConnectionPool] = {}
        self._opened_before = 0

    @property
    def opened(self) -> int:
        """Connections that were set up since the start."""
        now_open = sum(pool.num_connections for pool in self._pools.values())
        return self._opened_before + now_open

    def execute(
        self, server: hostlist.BackendServer, sub_request: attempts.SubRequest
    ) -> attempts.AttemptResult:
        """Send a sub-request and wait for its end.

        That may come up to `DRAIN_S` after its deadline, for the connection's sake;
        whoever waits for the result must keep the deadline itself.
        """
        started_at = time.monotonic()
        self.counters.sent += 1
        try:
            with eventlet.timeout.Timeout(sub_request.remaining_s + DRAIN_S):
                received = self._exchange(server, sub_request)
        except eventlet.timeout.Timeout:
            self.counters.timeouts += 1
            return _fail(sub_request, attempts.FailureKind.TIMEOUT)
        except NOT_SENT:
            self.counters.connect_failures += 1
            kind = attempts.RefusalKind.NO_CONNECTION
            return attempts.Refused(sub_request.attempt_id, kind)
        except (urllib3.exceptions.HTTPError, OSError):
            return _fail(sub_request, attempts.FailureKind.CONNECTION)
        return self._judge(sub_request, received, time.monotonic() - started_at)

    def cancel(self, server: hostlist.BackendServer, attempt_id: str) -> None:
        """Tell a server that an attempt is given up; a failure is harmless."""
        self.counters.cancels += 1
        try:
            with eventlet.timeout.Timeout(CANCEL_TIMEOUT_S):
                self._pool_of(server).urlopen(
                    "POST",
                    CANCEL_PATH,
                    body=_encode(CancelBody(attempt_id)),
                    headers=HEADERS,
                    retries=False,
                    pool_timeout=POOL_WAIT_S,
                )
        except (eventlet.timeout.Timeout, urllib3.exceptions.HTTPError, OSError):
            return

    def fetch_status(
        self, server: hostlist.BackendServer, timeout_s: float
    ) -> BackendStatus | None:
        """Ask a server for its own report; None where none came."""
        try:
            with eventlet.timeout.Timeout(timeout_s):
                response = self._pool_of(server).urlopen(
                    "GET", STATUS_PATH, retries=False, pool_timeout=POOL_WAIT_S
                )
                return _decode_status(response.data)
        except (
            eventlet.timeout.Timeout,
            urllib3.exceptions.HTTPError,
            OSError,
            msgspec.DecodeError,
            RecursionError,
        ):
            return None

    def forget(self, replica: names.ReplicaId) -> None:
        """Close the pool of a replica that is gone."""
        pool = self._pools.pop(replica, None)
        if pool is not None:
            self._opened_before += pool.num_connections
            pool.close()

    def close(self) -> None:
        """Close every pool."""
        for replica in list(self._pools):
            self.forget(replica)

    def _pool_of(self, server: hostlist.BackendServer) -> urllib3.HTTPConnectionPool:
        pool = self._pools.get(server.replica)
        if pool is None:
            pool = urllib3.HTTPConnectionPool(
                server.address.ip,
                server.address.port,
                maxsize=self._connection_share(server),
                block=True,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S),
            )
            self._pools[server.replica] = pool
        return pool

    def _exchange(
        self, server: hostlist.BackendServer, sub_request: attempts.SubRequest
    ) -> replies.HttpReply:
        response = self._pool_of(server).urlopen(
            "POST",
            SUB_QUERY_PATH,
            body=_encode_sub_query(sub_request),
            headers=HEADERS,
            retries=False,
            redirect=False,
            assert_same_host=False,
            preload_content=False,
            pool_timeout=sub_request.remaining_s,
        )
        return _read_whole(response)

    def _judge(
        self,
        sub_request: attempts.SubRequest,
        received: replies.HttpReply,
        elapsed_s: float,
    ) -> attempts.AttemptResult:
        expected = replies.ExpectedReply(
            sub_request.request_id,
            sub_request.attempt_id,
            sub_request.shard,
            sub_request.snapshot,
        )
        match replies.check_reply(expected, received):
            case replies.ValidReply(_, rows, held):
                return attempts.Answered(
                    sub_request.attempt_id, tuple(rows), _to_held(held), elapsed_s
                )
            case replies.Refused(False, reason, held):
                return attempts.Refused(
                    sub_request.attempt_id, REFUSALS[reason], _to_held(held)
                )
            case replies.Refused():
                return _fail(sub_request, attempts.FailureKind.SERVER_ERROR)
            case replies.InvalidReply(reason):
                counts = self.counters.invalid
                counts[reason] = counts.get(reason, 0) + 1
                return _fail(sub_request, attempts.FailureKind.INVALID_REPLY)


def _encode_sub_query(sub_request: attempts.SubRequest) -> bytes:
    return _encode(
        SubQueryBody(
            request_id=sub_request.request_id,
            attempt_id=sub_request.attempt_id,
            service=sub_request.shard.service.name,
            shard=sub_request.shard.name,
            version=sub_request.snapshot.version,
            operation=sub_request.operation,
            remaining_ms=sub_request.remaining_s * 1000,
        )
    )


def _read_whole(response: urllib3.BaseHTTPResponse) -> replies.HttpReply:
    """Read a bounded body; the connection is pooled only after a whole one."""
    length = response.headers.get("Content-Length")
    announced = int(length) if length and length.isdigit() else None
    if announced is not None and announced > replies.MAX_REPLY_BYTES:
        response.close()
        response.release_conn()
        return replies.HttpReply(response.status, b"", announced)
    body = response.read(replies.MAX_REPLY_BYTES + 1, decode_content=False)
    if len(body) > replies.MAX_REPLY_BYTES:
        response.close()
    response.release_conn()
    return replies.HttpReply(response.status, body, announced)


def _to_held(held: replies.HeldVersions | None) -> attempts.HeldVersions | None:
    if held is None:
        return None
    return attempts.HeldVersions(held.low, held.high)


def _fail(
    sub_request: attempts.SubRequest, kind: attempts.FailureKind
) -> attempts.Failed:
    return attempts.Failed(sub_request.attempt_id, kind)
