"""HTTP client for backend servers, with a bounded connection pool per replica.

A pool never holds more connections than its share. A connection returns to the
pool only after a complete reply to its request has been read.

A server counts a connection as open until it has finished the request on it, even
if the client has already closed the connection. An attempt that was cancelled or is
late therefore keeps its connection until the reply arrives. The connection is closed
only if the server does not reply within `MAX_REPLY_DRAIN_S` after the deadline.
"""

import dataclasses
import time

import eventlet
import eventlet.timeout
import msgspec
import urllib3

from corianderrill import attempts, hostlist, http_pools, names, replies

CONNECT_TIMEOUT_S = 0.25
POOL_TIMEOUT_S = 0.05
MAX_REPLY_DRAIN_S = 5.0
CANCEL_TIMEOUT_S = 0.25
SUB_QUERY_PATH = "/v1/sub-query"
CANCEL_PATH = "/v1/cancel"
STATUS_PATH = "/v1/status"
FINAL_STATUSES = range(200, 600)
JSON_HEADERS = {"Content-Type": "application/json"}


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
    """The body of a request to cancel an attempt."""

    attempt_id: str


class BackendStatus(msgspec.Struct):
    """A backend server's status report about itself.

    The report may be outdated or wrong. `held` is the lowest and the highest index
    version that the server holds.
    """

    load: float
    healthy: bool
    draining: bool
    held: tuple[int, int]


_encode = msgspec.json.Encoder().encode
_decode_status = msgspec.json.Decoder(BackendStatus).decode

NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)
REFUSAL_KINDS = {
    replies.BackendRefusalReason.SNAPSHOT: attempts.RefusalKind.NO_SNAPSHOT,
    replies.BackendRefusalReason.SHED: attempts.RefusalKind.SHED,
    replies.BackendRefusalReason.DRAINING: attempts.RefusalKind.DRAINING,
    replies.BackendRefusalReason.UNAVAILABLE: attempts.RefusalKind.SHED,
}


@dataclasses.dataclass(slots=True)
class PoolCounters:
    """Counters over all connection pools of a process.

    `sent` includes attempts that got no connection. `connect_failures` counts these,
    both failed connects and pools without a free connection.
    """

    sent: int = 0
    invalid: dict[replies.InvalidReason, int] = dataclasses.field(default_factory=dict)
    timeouts: int = 0
    connect_failures: int = 0
    cancels: int = 0


class BackendPools:
    """Sends requests to backend servers over one connection pool per replica."""

    def __init__(self, connection_share):
        """`connection_share(server)` returns the maximum number of connections."""
        self.counters = PoolCounters()
        self._connection_share = connection_share
        self._pools: dict[names.ReplicaId, urllib3.HTTPConnectionPool] = {}
        self._opened_in_closed_pools = 0

    @property
    def connections_opened(self) -> int:
        """The number of connections opened since the process started."""
        opened_in_pools = sum(pool.num_connections for pool in self._pools.values())
        return self._opened_in_closed_pools + opened_in_pools

    def execute(
        self, server: hostlist.BackendServer, sub_request: attempts.SubRequest
    ) -> attempts.AttemptResult:
        """Send a sub-request and return the result of the attempt.

        This may return up to `MAX_REPLY_DRAIN_S` after the deadline, because late
        replies are still read so that the connection can be reused. Callers must
        enforce the deadline themselves.
        """
        started_at = time.monotonic()
        self.counters.sent += 1
        try:
            with eventlet.timeout.Timeout(sub_request.remaining_s + MAX_REPLY_DRAIN_S):
                reply = self._send_sub_request(server, sub_request)
        except eventlet.timeout.Timeout:
            self.counters.timeouts += 1
            return _build_failure(sub_request, attempts.FailureKind.TIMEOUT)
        except NOT_SENT_ERRORS:
            self.counters.connect_failures += 1
            kind = attempts.RefusalKind.NO_CONNECTION
            return attempts.Refused(sub_request.attempt_id, kind)
        except (urllib3.exceptions.HTTPError, OSError):
            return _build_failure(sub_request, attempts.FailureKind.CONNECTION)
        return self._classify_reply(sub_request, reply, time.monotonic() - started_at)

    def cancel(self, server: hostlist.BackendServer, attempt_id: str) -> None:
        """Ask a server to cancel an attempt; errors are ignored."""
        self.counters.cancels += 1
        try:
            with eventlet.timeout.Timeout(CANCEL_TIMEOUT_S):
                self._get_pool(server).urlopen(
                    "POST",
                    CANCEL_PATH,
                    body=_encode(CancelBody(attempt_id)),
                    headers=JSON_HEADERS,
                    retries=False,
                    pool_timeout=POOL_TIMEOUT_S,
                )
        except (eventlet.timeout.Timeout, urllib3.exceptions.HTTPError, OSError):
            return

    def fetch_status(
        self, server: hostlist.BackendServer, timeout_s: float
    ) -> BackendStatus | None:
        """Return the status report of a server, or None if the request fails."""
        try:
            with eventlet.timeout.Timeout(timeout_s):
                response = self._get_pool(server).urlopen(
                    "GET",
                    STATUS_PATH,
                    retries=False,
                    preload_content=False,
                    pool_timeout=POOL_TIMEOUT_S,
                )
                reply = _read_reply(response)
                if reply.status != replies.STATUS_OK:
                    return None
                return _decode_status(reply.body)
        except (
            eventlet.timeout.Timeout,
            urllib3.exceptions.HTTPError,
            OSError,
            msgspec.DecodeError,
            RecursionError,
        ):
            return None

    def close_pool(self, replica: names.ReplicaId) -> None:
        """Close the pool of a replica that was removed."""
        pool = self._pools.pop(replica, None)
        if pool is not None:
            self._opened_in_closed_pools += pool.num_connections
            pool.close()

    def close(self) -> None:
        """Close all pools."""
        for replica in list(self._pools):
            self.close_pool(replica)

    def _get_pool(self, server: hostlist.BackendServer) -> urllib3.HTTPConnectionPool:
        pool = self._pools.get(server.replica)
        if pool is None:
            pool = http_pools.HostPool(
                server.address.ip,
                server.address.port,
                maxsize=self._connection_share(server),
                block=True,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S),
            )
            self._pools[server.replica] = pool
        return pool

    def _send_sub_request(
        self, server: hostlist.BackendServer, sub_request: attempts.SubRequest
    ) -> replies.HttpReply:
        response = self._get_pool(server).urlopen(
            "POST",
            SUB_QUERY_PATH,
            body=_encode_sub_query(sub_request),
            headers=JSON_HEADERS,
            retries=False,
            redirect=False,
            assert_same_host=False,
            preload_content=False,
            pool_timeout=sub_request.remaining_s,
        )
        return _read_reply(response)

    def _classify_reply(
        self,
        sub_request: attempts.SubRequest,
        reply: replies.HttpReply,
        elapsed_s: float,
    ) -> attempts.AttemptResult:
        expected = replies.ExpectedReply(
            sub_request.request_id,
            sub_request.attempt_id,
            sub_request.shard,
            sub_request.snapshot,
        )
        match replies.check_reply(expected, reply):
            case replies.ValidReply(_, rows, held):
                return attempts.Answered(
                    sub_request.attempt_id,
                    tuple(rows),
                    _convert_held_versions(held),
                    elapsed_s,
                )
            case replies.BackendRefusal(False, reason, held):
                return attempts.Refused(
                    sub_request.attempt_id,
                    REFUSAL_KINDS[reason],
                    _convert_held_versions(held),
                )
            case replies.BackendRefusal():
                return _build_failure(sub_request, attempts.FailureKind.SERVER_ERROR)
            case replies.InvalidReply(reason):
                invalid_counts = self.counters.invalid
                invalid_counts[reason] = invalid_counts.get(reason, 0) + 1
                return _build_failure(sub_request, attempts.FailureKind.INVALID_REPLY)


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


def _read_reply(response: urllib3.BaseHTTPResponse) -> replies.HttpReply:
    """Read a body of bounded size.

    The connection returns to its pool only after a complete body, and not after an
    interim reply, which the HTTP client takes for a final one, or after no status.
    """
    if response.status not in FINAL_STATUSES:
        # Before the body is read: its end returns the connection to the pool.
        response.close()
        response.release_conn()
        return replies.HttpReply(response.status, b"")
    length_header = response.headers.get("Content-Length")
    content_length = (
        int(length_header) if length_header and length_header.isdigit() else None
    )
    if content_length is not None and content_length > replies.MAX_REPLY_BYTES:
        response.close()
        response.release_conn()
        return replies.HttpReply(response.status, b"", content_length)
    body = response.read(replies.MAX_REPLY_BYTES + 1, decode_content=False)
    if len(body) > replies.MAX_REPLY_BYTES:
        response.close()
    response.release_conn()
    return replies.HttpReply(response.status, body, content_length)


def _convert_held_versions(
    held: replies.HeldVersions | None,
) -> attempts.HeldVersions | None:
    if held is None:
        return None
    return attempts.HeldVersions(held.low, held.high)


def _build_failure(
    sub_request: attempts.SubRequest, kind: attempts.FailureKind
) -> attempts.Failed:
    return attempts.Failed(sub_request.attempt_id, kind)
