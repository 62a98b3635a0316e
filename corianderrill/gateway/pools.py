"""Connection pools of a host: one pool per replica address, with bounded size."""

import collections
import math

from corianderrill import names
from corianderrill.gateway import connections, loop, send_queue

# A request that is not idempotent can't be sent again after a connection failure. So it
# reuses a connection only during this first share of the connection's idle timeout.
NON_IDEMPOTENT_IDLE_SHARE = 0.4
# A replica accepts a limited number of connections over all hosts. A host opens at most
# 1/`HOST_LIMIT_DIVISOR` of them, and at most a multiple of its fair share (the limit
# divided by the number of hosts). The multiple is larger for its own availability zone.
HOST_LIMIT_DIVISOR = 8
SAME_ZONE_SHARE_FACTOR = 4
OTHER_ZONE_SHARE_FACTOR = 2
MIN_SAME_ZONE_CONNECTIONS = 2
MIN_OTHER_ZONE_CONNECTIONS = 1
# A pool to another zone that is limited to `MIN_OTHER_ZONE_CONNECTIONS` closes its idle
# connection after this time, so that other hosts can connect.
OTHER_ZONE_MAX_IDLE_S = 1.0
# However slow a replica is, a host may use this share of its slots at once.
MIN_CONCURRENCY_SLOT_SHARE = 0.5


class ConnectionPool:
    """The connections of this host to one address, and the requests queued for them."""

    def __init__(
        self,
        address: names.Address,
        max_connections: int,
        max_idle_s: float = math.inf,
    ) -> None:
        self.address = address
        self.max_connections = max_connections
        self.max_idle_s = max_idle_s
        self.opened_count = 0
        self._connections: set[connections.Connection] = set()
        self._idle: list[connections.Connection] = []
        self._queue = send_queue.SendQueue()
        self.concurrency = send_queue.ConcurrencyLimit()

    def set_slots(self, slots: int) -> None:
        """Set how many requests the replica executes at once, for all its callers."""
        self.concurrency.min_limit = max(1.0, slots * MIN_CONCURRENCY_SLOT_SHARE)

    def record_latency(self, ratio: float) -> None:
        """Adapt the concurrency to a reply with this multiple of the usual latency."""
        self.concurrency.record_latency(ratio, self.count_pending() + 1)

    def record_refusal(self) -> None:
        """Adapt the concurrency to a refusal of the replica."""
        self.concurrency.record_refusal(self.count_pending() + 1)

    def count_pending(self) -> int:
        """Return how many requests are sent, or have a connection being opened."""
        return len(self._connections) - len(self._idle)

    def send(
        self, request: connections.OutboundRequest
    ) -> connections.Connection | None:
        """Send a request, or queue it until a connection is free.

        Return the connection that carries the request, or None if it is queued.
        """
        if self._must_queue(request):
            self._queue.add(request)
            # Those that wait may go before it.
            return self._send_queued().get(request)
        if not self.concurrency.allows(self.count_pending()):
            self._queue.add(request)
            return None
        connection = self._acquire(request)
        if connection is None:
            self._queue.add(request)
        return connection

    def _must_queue(self, request: connections.OutboundRequest) -> bool:
        """Return whether a request of a workspace has to wait with those queued."""
        if not self._queue:
            return False
        return request.get_urgency(loop.read_clock()).rank.workspace is not None

    def _acquire(
        self, request: connections.OutboundRequest
    ) -> connections.Connection | None:
        """Send a request on an idle connection or a new one; None if none is free."""
        connection = self._acquire_idle(request)
        if connection is not None:
            request.attach(connection)
            connection.send(request)
            return connection
        if len(self._connections) >= self.max_connections and not self._close_one():
            return None
        return self._open(request)

    def _close_one(self) -> bool:
        """Close an idle connection that no request may use, if there is any."""
        if not self._idle:
            return False
        self._idle[0].close_idle()
        return len(self._connections) < self.max_connections

    def _open(self, request: connections.OutboundRequest) -> connections.Connection:
        connection = connections.Connection(self, request)
        request.attach(connection)
        self._connections.add(connection)
        self.opened_count += 1
        connection.connect()
        return connection

    def _acquire_idle(
        self, request: connections.OutboundRequest
    ) -> connections.Connection | None:
        now = loop.read_clock()
        # The one that was used last comes first.
        for connection in reversed(self._idle.copy()):
            if connection not in self._idle:
                continue
            reusable_for_s = min(connection.idle_timeout_s, self.max_idle_s)
            if not request.idempotent:
                reusable_for_s *= NON_IDEMPOTENT_IDLE_SHARE
            if now - connection.idle_since >= reusable_for_s:
                connection.close_idle()
            elif request.may_use(connection):
                self._idle.remove(connection)
                return connection
        return None

    def release(self, connection: connections.Connection) -> None:
        """Store an idle connection, and send what is queued."""
        self._idle.append(connection)
        self._send_queued()

    def discard(self, connection: connections.Connection) -> None:
        """Remove a closed connection, and send what is queued."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._send_queued()

    def _send_queued(
        self,
    ) -> dict[connections.OutboundRequest, connections.Connection]:
        """Send queued requests, as many as connections and concurrency allow.

        Return the connections that carry them.
        """
        sent = {}
        while (
            self._queue
            and self.concurrency.allows(self.count_pending())
            and self._has_room()
        ):
            request = self._queue.pop(loop.read_clock())
            connection = self._acquire(request)
            if connection is None:
                self._queue.add(request)
                break
            sent[request] = connection
        return sent

    def _has_room(self) -> bool:
        """Return whether a connection is idle or may be opened."""
        return bool(self._idle) or len(self._connections) < self.max_connections

    def count_queued(
        self, now: float
    ) -> collections.Counter[names.WorkspaceName | None]:
        """Return how many requests of each workspace are queued."""
        return self._queue.count_by_workspace(now)

    def reject_held_back(self) -> None:
        """End the queued requests that the server does not want any more."""
        for request in self._queue.take_unsendable():
            request.on_result(
                connections.FailedExchange(connections.Failure.HELD_BACK, sent=False)
            )

    def cancel_queued(self, request: connections.OutboundRequest) -> None:
        """Remove a request from the queue."""
        self._queue.discard(request)

    def close_expired(self) -> None:
        """Close the connections that were idle for more than `max_idle_s`."""
        if not self._idle:
            return
        now = loop.read_clock()
        for connection in list(self._idle):
            if now - connection.idle_since > self.max_idle_s:
                connection.close_idle()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.close_idle()


class PoolManager:
    """The pools of a host, by address; `host_count` hosts share each replica."""

    def __init__(self, host_count: float) -> None:
        self.host_count = host_count
        self._pools: dict[names.Address, ConnectionPool] = {}

    def get(
        self, address: names.Address, server_max_connections: int, is_same_zone: bool
    ) -> ConnectionPool:
        """Return the pool of an address, with its size limit up to date."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(address, 1)
        fair_share = server_max_connections / self.host_count
        if is_same_zone:
            limit = min(
                server_max_connections // HOST_LIMIT_DIVISOR,
                int(SAME_ZONE_SHARE_FACTOR * fair_share),
            )
            pool.max_connections = max(MIN_SAME_ZONE_CONNECTIONS, limit)
            return pool
        limit = min(
            server_max_connections // HOST_LIMIT_DIVISOR,
            int(OTHER_ZONE_SHARE_FACTOR * fair_share),
        )
        pool.max_connections = max(MIN_OTHER_ZONE_CONNECTIONS, limit)
        if pool.max_connections == MIN_OTHER_ZONE_CONNECTIONS:
            pool.max_idle_s = OTHER_ZONE_MAX_IDLE_S
        return pool

    def close_expired(self) -> None:
        """Close the connections that were idle for too long in each pool."""
        for pool in self._pools.values():
            pool.close_expired()

    def retain(self, addresses: set[names.Address]) -> None:
        """Remove the pools of all other addresses and close their idle connections."""
        for address in self._pools.keys() - addresses:
            self._pools.pop(address).close_idle()

    def count_opened(self) -> int:
        """Return how many connections were opened so far by the current pools."""
        return sum(pool.opened_count for pool in self._pools.values())
