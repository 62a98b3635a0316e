"""The connections of a host to each replica: reused, bounded, given back."""

import collections
import math
import time

from corianderrill import names
from corianderrill.gateway import connections

# A request that may run once takes only connections that idled for a short part of
# the time that their server keeps them.
IDLE_SHARE_AT_MOST_ONCE = 0.4
# A host's part of the connections that a replica takes from all callers: never more
# than one in so many, and more of a replica in the own zone than of one elsewhere.
CAP_PARTS = 8
NEAR_SHARES = 4
FAR_SHARES = 2
NEAR_AT_LEAST = 2
FAR_AT_LEAST = 1
# Where connections are scarce, hosts of other zones give them back soon.
OTHER_ZONE_MAX_IDLE_S = 1.0


class ConnectionPool:
    """The connections of this host to one address."""

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
        self._all: set[connections.Connection] = set()
        self._idle: list[connections.Connection] = []
        self._waiting: collections.deque[connections.OutboundRequest] = (
            collections.deque()
        )

    def send(
        self, sender: connections.OutboundRequest
    ) -> connections.Connection | None:
        """Send a request, or queue it until a connection is free."""
        connection = self._take_idle(sender)
        if connection is not None:
            connection.send(sender)
            return connection
        if len(self._all) >= self.max_connections:
            self._waiting.append(sender)
            return None
        return self._open(sender)

    def _open(self, sender: connections.OutboundRequest) -> connections.Connection:
        connection = connections.Connection(self, sender)
        self._all.add(connection)
        self.opened_count += 1
        connection.connect()
        return connection

    def _take_idle(
        self, sender: connections.OutboundRequest
    ) -> connections.Connection | None:
        now = time.monotonic()
        while self._idle:
            connection = self._idle[-1]
            idle_s = min(connection.idle_timeout_s, self.max_idle_s)
            if not sender.idempotent:
                idle_s *= IDLE_SHARE_AT_MOST_ONCE
            if now - connection.idle_since < idle_s:
                return self._idle.pop()
            # The last one used is the freshest, so all are too old.
            connection.close_idle()
        return None

    def release(self, connection: connections.Connection) -> None:
        """Keep an idle connection, or give it to a request that waits."""
        if self._waiting:
            sender = self._waiting.popleft()
            sender.attach(connection)
            connection.send(sender)
            return
        self._idle.append(connection)

    def discard(self, connection: connections.Connection) -> None:
        """Drop a closed connection; a request that waits gets a new one."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting and len(self._all) < self.max_connections:
            sender = self._waiting.popleft()
            sender.attach(self._open(sender))

    def cancel_queued(self, sender: connections.OutboundRequest) -> None:
        """Take a request out of the queue."""
        if sender in self._waiting:
            self._waiting.remove(sender)

    def close_expired(self) -> None:
        """Close the connections that idled for longer than they may."""
        if not self._idle:
            return
        now = time.monotonic()
        for connection in list(self._idle):
            if now - connection.idle_since > self.max_idle_s:
                connection.close_idle()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.close_idle()


class PoolManager:
    """The pools of a host, by address; `hosts` share the connections of a replica."""

    def __init__(self, host_count: float) -> None:
        self.host_count = host_count
        self._pools: dict[names.Address, ConnectionPool] = {}

    def get(
        self, address: names.Address, server_max_connections: int, is_same_zone: bool
    ) -> ConnectionPool:
        """Return the pool of an address whose server takes `cap` connections."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(address, 1)
        share = server_max_connections / self.host_count
        if is_same_zone:
            part = min(server_max_connections // CAP_PARTS, int(NEAR_SHARES * share))
            pool.max_connections = max(NEAR_AT_LEAST, part)
            return pool
        part = min(server_max_connections // CAP_PARTS, int(FAR_SHARES * share))
        pool.max_connections = max(FAR_AT_LEAST, part)
        if pool.max_connections == FAR_AT_LEAST:
            pool.max_idle_s = OTHER_ZONE_MAX_IDLE_S
        return pool

    def close_expired(self) -> None:
        """Close connections that idled for longer than they may."""
        for pool in self._pools.values():
            pool.close_expired()

    def retain(self, addresses: set[names.Address]) -> None:
        """Close the idle connections of all other addresses and forget them."""
        for address in self._pools.keys() - addresses:
            self._pools.pop(address).close_idle()

    def count_opened(self) -> int:
        """Return the connections opened to the addresses in use."""
        return sum(pool.opened_count for pool in self._pools.values())
