"""The client of the store of the users' platform.

Each call is one request; what to do after a failure is up to the caller.
"""

import base64
import binascii
import dataclasses
import enum
import socket
from typing import NewType

import msgspec
import urllib3

from corianderrill import names
from corianderrill.gateway import view

Key = NewType("Key", str)

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.6
# Beyond the time that the store itself may hold a watch.
WATCH_TIMEOUT_MARGIN_S = 2.0
# A connection that went silent is found by keep-alive probes within three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1000 * (KEEPALIVE_PROBES + 1)),
)


class FailureKind(enum.Enum):
    """Why a call brought no result."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    REFUSED = "refused"
    HISTORY_LOST = "history-lost"
    MALFORMED = "malformed"


class StoreError(Exception):
    """A call without a result."""

    def __init__(self, kind: FailureKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key with its value, or without one where it was removed."""

    key: Key
    revision: view.StoreRevision
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Items that are current, or what changed, up to `at`."""

    items: tuple[Item, ...]
    revision: view.StoreRevision
    has_more: bool = False


class _WireItem(msgspec.Struct):
    key: str
    revision: int
    # Standard base64.
    value: str | None = None
    deleted: bool = False


class _WireRange(msgspec.Struct):
    items: list[_WireItem]
    at: int
    has_more: bool = False


class _WireWatch(msgspec.Struct):
    events: list[_WireItem]
    at: int


_RANGE_DECODER = msgspec.json.Decoder(_WireRange)
_WATCH_DECODER = msgspec.json.Decoder(_WireWatch)


class StoreClient:
    """Calls to the store at one address."""

    def __init__(self, address: names.Address) -> None:
        self._pool = urllib3.HTTPConnectionPool(
            address.ip,
            address.port,
            maxsize=2,
            retries=False,
            socket_options=_SOCKET_OPTIONS,
        )
        self.calls = 0

    def read_range(
        self, prefix: str, after: Key | None, allow_stale: bool = False
    ) -> Batch:
        """Read a page of the keys below a prefix; seconds old where that is allowed.

        An old page costs the store a tenth.
        """
        fields = {"prefix": prefix}
        if allow_stale:
            fields["serializable"] = "1"
        if after is not None:
            fields["after"] = after
        body = self._get("/api/kv-range", fields, CALL_TIMEOUT_S)
        page = self._decode(_RANGE_DECODER, body)
        items = tuple(map(_read_item, page.items))
        return Batch(items, view.StoreRevision(page.at), page.has_more)

    def watch(self, prefix: str, after: view.StoreRevision, wait_s: float) -> Batch:
        """Wait for what changes below a prefix after a revision."""
        fields = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(1000 * wait_s)),
        }
        body = self._get("/api/kv-watch", fields, wait_s + WATCH_TIMEOUT_MARGIN_S)
        page = self._decode(_WATCH_DECODER, body)
        return Batch(tuple(map(_read_item, page.events)), view.StoreRevision(page.at))

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def _get(self, path: str, fields: dict[str, str], timeout_s: float) -> bytes:
        self.calls += 1
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            reply = self._pool.request(
                "GET", path, fields=fields, timeout=timeout, redirect=False
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreError(FailureKind.UNREACHABLE, type(error).__name__) from error
        if reply.status == 200:
            return reply.data
        if reply.status == 410:
            raise StoreError(FailureKind.HISTORY_LOST, path)
        if reply.status in (429, 503):
            raise StoreError(FailureKind.BUSY, f"{path}: status {reply.status}")
        raise StoreError(FailureKind.REFUSED, f"{path}: status {reply.status}")

    def _decode(self, decoder: msgspec.json.Decoder, body: bytes) -> msgspec.Struct:
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise StoreError(FailureKind.MALFORMED, str(error)) from error


def _read_item(item: _WireItem) -> Item:
    revision = view.StoreRevision(item.revision)
    if item.deleted or item.value is None:
        return Item(Key(item.key), revision, None)
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        # Decoded as an entry, it is reported as one that cannot be read.
        value = b""
    return Item(Key(item.key), revision, value)
