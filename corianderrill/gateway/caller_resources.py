"""Bounds the memory and the connections that all callers of a host take together.

Without a network: a connection reports what it holds, and `evict` of a connection ends
it. Times are in seconds of the monotonic clock.
"""

import dataclasses
import enum
from collections.abc import Callable
from typing import Protocol

# Where the settings name no limits.
DEFAULT_MEMORY_BYTES = 800_000_000
MAX_CONNECTIONS = 3_000
# Of the memory of the process: for input and unsent answers, and for connections.
BUFFERS_SHARE = 1 / 8
CONNECTIONS_SHARE = 1 / 4
# The green thread of a connection, its objects, and what it holds free of charge.
CONNECTION_BYTES = 65_536
# A connection that holds no more is not ended for want of memory, so that small
# requests are served beside large ones.
FREE_BYTES = 16_384
# Of the descriptors of the process; the rest is for replicas, the store and the log.
CALLERS_DESCRIPTOR_SHARE = 1 / 2
HOSTS_DESCRIPTOR_SHARE = 1 / 8
# A caller that has read nothing of its answer for so long may be evicted for a new one.
MIN_STALL_S = 1.0


class Stage(enum.Enum):
    """What a connection does."""

    # Nothing was received since it was opened, or since the request before.
    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"
    WRITING = "writing"


class Reason(enum.Enum):
    """Why a connection was ended; the values are written to logs and metrics."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


class Evictable(Protocol):
    """A connection that can be ended from outside."""

    def evict(self, reason: Reason) -> None:
        """End the connection soon; called once."""

    def close_if_idle(self) -> None:
        """End the connection soon, unless a part of a request has arrived."""


@dataclasses.dataclass(slots=True, eq=False)
class Holder:
    """What one connection takes. `since` is the start of its stage, or of its stall."""

    connection: Evictable
    since: float
    stage: Stage = Stage.IDLE
    held_bytes: int = 0
    requests: int = 0
    evicted_for: Reason | None = None

    @property
    def charged_bytes(self) -> int:
        """Return the bytes that count for the limit on memory."""
        return max(0, self.held_bytes - FREE_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """How much the connections of a host may take together."""

    max_buffer_bytes: int
    max_caller_connections: int
    max_host_connections: int


def derive_limits(max_memory_bytes: int | None, max_descriptors: int | None) -> Limits:
    """Return the limits that follow from those of the process."""
    memory_bytes = max_memory_bytes or DEFAULT_MEMORY_BYTES
    by_memory = int(CONNECTIONS_SHARE * memory_bytes / CONNECTION_BYTES)
    max_callers = max_hosts = max(1, min(MAX_CONNECTIONS, by_memory))
    if max_descriptors is not None:
        max_callers = _cap(max_callers, CALLERS_DESCRIPTOR_SHARE * max_descriptors)
        max_hosts = _cap(max_hosts, HOSTS_DESCRIPTOR_SHARE * max_descriptors)
    return Limits(int(BUFFERS_SHARE * memory_bytes), max_callers, max_hosts)


def _cap(count: int, max_count: float) -> int:
    return max(1, min(count, int(max_count)))


class BufferMemory:
    """The input and unsent answers that callers and other hosts make the host hold.

    Beyond the limit, the connection that holds most ends. A connection whose request is
    being served does not: the request may have run; nor does the only one that holds
    much. The limit is never below what `get_min_limit_bytes` returns, the size of the
    greatest request or reply.
    """

    def __init__(
        self,
        limit_bytes: int,
        get_min_limit_bytes: Callable[[], int],
        on_evict: Callable[[Reason, Stage, int], None],
    ) -> None:
        self.limit_bytes = limit_bytes
        self._get_min_limit_bytes = get_min_limit_bytes
        self._on_evict = on_evict
        self._holders: set[Holder] = set()
        self.charged_bytes = 0

    def add(self, holder: Holder) -> None:
        """Count a new connection."""
        self._holders.add(holder)

    def remove(self, holder: Holder) -> None:
        """Forget a connection that is closed."""
        self.hold(holder, 0)
        self._holders.discard(holder)

    def hold(self, holder: Holder, held_bytes: int) -> None:
        """Record how much a connection holds now; end others if that is too much."""
        if holder.evicted_for is not None:
            return
        charged_before = holder.charged_bytes
        holder.held_bytes = held_bytes
        self.charged_bytes += holder.charged_bytes - charged_before
        if holder.charged_bytes > charged_before:
            self._make_room()

    def _make_room(self) -> None:
        while self.charged_bytes > self.limit_bytes:
            if self.charged_bytes <= self._get_min_limit_bytes():
                return
            victim = self._find_largest()
            if victim is None or victim.charged_bytes == self.charged_bytes:
                # One request, or one answer, is bounded by limits of its own.
                return
            self.evict(victim, Reason.MEMORY)

    def _find_largest(self) -> Holder | None:
        return max(
            (
                holder
                for holder in self._holders
                if holder.charged_bytes and holder.stage is not Stage.SERVING
            ),
            key=lambda holder: holder.charged_bytes,
            default=None,
        )

    def evict(self, holder: Holder, reason: Reason) -> None:
        """End a connection; what it holds counts no more."""
        if holder.evicted_for is not None:
            return
        self.charged_bytes -= holder.charged_bytes
        self._holders.discard(holder)
        holder.evicted_for = reason
        self._on_evict(reason, holder.stage, holder.held_bytes)
        holder.connection.evict(reason)


class ConnectionSlots:
    """The connections to one address, at most `max_connections`."""

    def __init__(self, max_connections: int, memory: BufferMemory) -> None:
        self.max_connections = max_connections
        self._memory = memory
        self._holders: set[Holder] = set()

    def open(self, holder: Holder, now: float) -> None:
        """Count a new connection; end another one, or this one, if there are too many.

        Those that wait longest go first: without a request so far, then kept ones, then
        those that send a request, then those that do not read their answer.
        """
        self._memory.add(holder)
        self._holders.add(holder)
        if len(self._holders) <= self.max_connections:
            return
        victim = min(self._holders, key=lambda other: _rank(other, now))
        self._holders.discard(victim)
        self._memory.evict(victim, Reason.CONNECTIONS)

    def list_holders(self) -> list[Holder]:
        """Return the connections that are open and were not evicted."""
        return list(self._holders)

    def close(self, holder: Holder) -> None:
        """Forget a connection that is closed."""
        self._holders.discard(holder)
        self._memory.remove(holder)


def _rank(holder: Holder, now: float) -> tuple[int, float]:
    """Return a key by which the connection to end is the first.

    A connection that can't be ended ranks behind a new one, which is idle since now.
    """
    match holder.stage:
        case Stage.IDLE if now > holder.since:
            return (0 if holder.requests == 0 else 1, holder.since)
        case Stage.READING:
            return (2, holder.since)
        case Stage.WRITING if now - holder.since > MIN_STALL_S:
            return (3, holder.since)
        case Stage.IDLE:
            return (4, holder.since)
        case _:
            return (5, holder.since)
