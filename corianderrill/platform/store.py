"""A client of the key-value store of the users' platform.

Each call sends one request. The client does not retry; that is up to its caller.
"""

import base64
import binascii
import dataclasses
import enum
import re
import socket
import zlib
from collections.abc import Callable, Collection
from typing import NewType

import eventlet
import msgspec
import urllib3

from corianderrill import http_pools, names
from corianderrill.gateway import loop, view
from corianderrill.platform import decoding

Key = NewType("Key", str)
LeaseId = NewType("LeaseId", int)

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.6
PROBE_TIMEOUT_S = 1.0
# A page or a watch holds about 1 MB; base64 and field names add to that.
MAX_BODY_BYTES = 16 * 1_048_576
# The first piece of a body has to come within the time of its call. Each further one
# has a time of its own, since a large body takes as long as the links on its way need.
BODY_PIECE_BYTES = 32_768
BODY_PIECE_TIMEOUT_S = 1.0
# TCP keep-alive probes detect a dead connection within three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The HTTP client skips status 100 only, and takes other interim replies for final ones.
FINAL_STATUSES = range(200, 600)
# No key begins with it, so a range read of it returns only the store's revision.
EMPTY_PREFIX = "~"
# In all replies of the store, and in those of an aggregator in its place.
ERA_HEADER = "Store-Era"
# In a watch that is sent to an aggregator.
ERA_FIELD = "era"
# Also in such a watch: "1" if the host reads values that are packed.
PACKED_FIELD = "packed"
_ERA = re.compile(r"[0-9]{1,18}")
RANGE_PATH = "/api/kv-range"
WATCH_PATH = "/api/kv-watch"
KEY_PATH = "/api/kv-key"
TRANSACTION_PATH = "/api/kv-txn"

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1000 * (KEEPALIVE_PROBES + 1)),
)


class FailureKind(enum.Enum):
    """Why a call failed; the values are written to the log.

    HISTORY_LOST means that the store has compacted the revision that a watch asked for,
    RESTORED that it has come back from an older copy since, and OUTDATED that the reply
    is from before it came back. SILENT means that a watch got no reply in time.
    """

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    REFUSED = "refused"
    HISTORY_LOST = "history-lost"
    RESTORED = "restored"
    OUTDATED = "outdated"
    SILENT = "silent"
    MALFORMED = "malformed"


class StoreError(Exception):
    """A call to the store failed."""

    def __init__(self, kind: FailureKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease that was granted in an era; a later era may give its id out again."""

    id: LeaseId
    era: view.StoreEra


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key with its value; the value is None if the key was removed."""

    key: Key
    revision: view.StoreRevision
    value: bytes | None
    lease: LeaseId = LeaseId(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """The items of a range read, or the changes of a watch, up to `revision`.

    For `removals_untrusted_s` more, removals may be the effect of a store outage that
    another host has noticed. `era` is the one of the revisions. `age_s` is the time
    since whoever answers knew these to be all changes, when the reply has been read.
    """

    items: tuple[Item, ...]
    revision: view.StoreRevision
    era: view.StoreEra = view.StoreEra(0)
    has_more: bool = False
    removals_untrusted_s: float = 0.0
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class KeyList:
    """The keys with a prefix that the store had at a revision of an era."""

    keys: frozenset[Key]
    revision: view.StoreRevision
    era: view.StoreEra


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    """The body of a reply, None if its status says no, and the era that it names.

    `transfer_s` is the time from its headers to its end.
    """

    body: bytes | None
    era: view.StoreEra
    transfer_s: float = 0.0


class _WireItem(msgspec.Struct):
    key: str
    revision: decoding.Integer
    # In standard base64.
    value: str | None = None
    # In place of a value, from an aggregator: it is compressed by zlib, in base64.
    packed: str | None = None
    deleted: bool = False
    # 0 for a key without a lease.
    lease: decoding.Integer = 0


class _WireLease(msgspec.Struct):
    lease: decoding.Integer


class _WireTransaction(msgspec.Struct):
    revision: decoding.Integer


class _WireRange(msgspec.Struct):
    items: list[_WireItem]
    # The store revision of the reply.
    at: decoding.Integer
    has_more: bool = False


class _WireWatch(msgspec.Struct):
    events: list[_WireItem]
    # The store revision up to which the events are complete.
    at: decoding.Integer
    # Set by an aggregator that answers in place of the store.
    removals_untrusted_ms: float = 0.0
    view_age_ms: float = 0.0


_ITEM_DECODER = msgspec.json.Decoder(_WireItem)
_TRANSACTION_DECODER = msgspec.json.Decoder(_WireTransaction)
_LEASE_DECODER = msgspec.json.Decoder(_WireLease)
_RANGE_DECODER = msgspec.json.Decoder(_WireRange)
_WATCH_DECODER = msgspec.json.Decoder(_WireWatch)


class StoreClient:
    """A client of the store, shared by all tasks of a host.

    `is_watch_answered` tells whether the reply to the last watch has begun.
    """

    def __init__(
        self, address: names.Address, clock: Callable[[], float] = loop.read_clock
    ) -> None:
        self._pool = _build_pool(address)
        self._clock = clock
        self.call_count = 0
        self.is_watch_answered = False

    def change_address(self, address: names.Address) -> None:
        """Send later calls to another address; calls in flight end as they can."""
        former, self._pool = self._pool, _build_pool(address)
        former.close()

    def read_range(
        self,
        prefix: str,
        after: Key | None,
        allow_stale: bool = False,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Batch:
        """Read one page of the keys with a prefix, from the key after `after`.

        With `allow_stale` the page may be seconds old; such a read costs the store a
        tenth of the load of a current one. Raise StoreError if the reply does not begin
        within `timeout_s`.
        """
        query = {"prefix": prefix}
        if allow_stale:
            query["serializable"] = "1"
        if after is not None:
            query["after"] = after
        reply = self._get(RANGE_PATH, query, timeout_s)
        page = self._decode(_RANGE_DECODER, reply.body)
        items = tuple(map(_decode_item, page.items))
        revision = view.StoreRevision(page.at)
        return Batch(items, revision, reply.era, page.has_more, age_s=reply.transfer_s)

    def probe_revision(self) -> Batch:
        """Return the store's revision and era, which may be seconds old, and no items.

        The call shows whether the store answers, at a tenth of the cost of a current
        read, and nothing about what has changed.
        """
        return self._read_revision({"prefix": EMPTY_PREFIX, "serializable": "1"})

    def read_revision(self) -> Batch:
        """Return the store's current revision and era, and no items."""
        return self._read_revision({"prefix": EMPTY_PREFIX})

    def _read_revision(self, query: dict[str, str]) -> Batch:
        reply = self._get(RANGE_PATH, query, PROBE_TIMEOUT_S)
        page = self._decode(_RANGE_DECODER, reply.body)
        return Batch((), view.StoreRevision(page.at), reply.era)

    def list_keys(self, prefix: str) -> KeyList:
        """Return the keys with a prefix; the read may be seconds old."""
        page = self.read_range(prefix, None, allow_stale=True)
        return KeyList(
            frozenset(item.key for item in page.items), page.revision, page.era
        )

    def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease that ends after `ttl_s` unless it is renewed."""
        reply = self._call("POST", "/api/kv-lease", {"ttl_ms": round(1000 * ttl_s)})
        id_ = LeaseId(self._decode(_LEASE_DECODER, reply.body).lease)
        return Lease(id_, reply.era)

    def keep_lease(self, lease: Lease) -> bool:
        """Renew a lease; return False if it has ended.

        Raise StoreError of kind RESTORED if it may belong to another host now.
        """
        reply = self._call("POST", f"/api/kv-keep/{lease.id}", {}, (404,))
        _check_lease_era(lease, reply)
        return reply.body is not None

    def find_lease(
        self, key: Key, value: bytes, revision: view.StoreRevision
    ) -> Lease | None:
        """Return the lease of a key whose write at a revision is still in force."""
        reply = self._read_key(key)
        item = self._decode_key(reply)
        if item is None or (item.value, item.revision) != (value, revision):
            return None
        return Lease(item.lease, reply.era)

    def read_key(self, key: Key) -> Item | None:
        """Return the current item of a key; None if it does not exist."""
        return self._decode_key(self._read_key(key))

    def _read_key(self, key: Key) -> _Reply:
        return self._request(
            "GET",
            KEY_PATH,
            CALL_TIMEOUT_S,
            negative_statuses=(404,),
            fields={"key": key},
        )

    def _decode_key(self, reply: _Reply) -> Item | None:
        if reply.body is None:
            return None
        return _decode_item(self._decode(_ITEM_DECODER, reply.body))

    def replace_key(
        self, key: Key, value: bytes, former: view.StoreRevision
    ) -> view.StoreRevision | None:
        """Write a key without a lease if its last change is at `former`, 0 if none.

        Return its revision; None if the key has changed. After a StoreError it may have
        been written.
        """
        document = _build_write(key, value, LeaseId(0))
        document["expected_rev"] = [{"key": key, "revision": former}]
        reply = self._call("POST", TRANSACTION_PATH, document, (412,))
        if reply.body is None:
            return None
        written = self._decode(_TRANSACTION_DECODER, reply.body)
        return view.StoreRevision(written.revision)

    def remove_key(self, key: Key, revision: view.StoreRevision) -> bool:
        """Remove a key, unless it has been written again since a revision.

        Return whether its last change was at that revision. Keys are removed like this
        in place of ending their lease, whose id may belong to another host.
        """
        document = {
            "expected_rev": [{"key": key, "revision": revision}],
            "writes": [],
            "deletes": [key],
        }
        return self._call("POST", TRANSACTION_PATH, document, (412,)).body is not None

    def create_key(
        self, key: Key, value: bytes, lease: Lease
    ) -> view.StoreRevision | None:
        """Write a key under a lease, unless it exists; return its revision, if so.

        After a StoreError it may have been written. It then goes with its lease.
        """
        document = _build_write(key, value, lease.id)
        document["expected_rev"] = [{"key": key, "revision": 0}]
        return self._write(document, lease, (404, 412))

    def create_key_and_mark(
        self, key: Key, value: bytes, lease: Lease, mark: Key
    ) -> view.StoreRevision | None:
        """Write a key under a lease and an empty one without, unless one exists.

        Return the revision, if so. After a StoreError both may have been written.
        """
        document = _build_write(key, value, lease.id)
        document["writes"] += _build_write(mark, b"", LeaseId(0))["writes"]
        document["expected_rev"] = [
            {"key": each, "revision": 0} for each in (key, mark)
        ]
        return self._write(document, lease, (404, 412))

    def take_over_key(
        self, key: Key, value: bytes, former: view.StoreRevision, lease: Lease
    ) -> view.StoreRevision | None:
        """Write a key under a lease if its last change is at `former`.

        Return its revision; None if the key has changed. After a StoreError it may have
        been written. It then goes with its lease.
        """
        document = _build_write(key, value, lease.id)
        document["expected_rev"] = [{"key": key, "revision": former}]
        return self._write(document, lease, (404, 412))

    def write_key(
        self, key: Key, value: bytes, lease: Lease
    ) -> view.StoreRevision | None:
        """Write a key under a lease; return its revision, None if the lease has ended.

        After a StoreError it may have been written.
        """
        return self._write(_build_write(key, value, lease.id), lease, (404,))

    def _write(
        self,
        document: dict[str, object],
        lease: Lease,
        negative_statuses: Collection[int],
    ) -> view.StoreRevision | None:
        reply = self._call("POST", TRANSACTION_PATH, document, negative_statuses)
        if reply.body is None:
            return None
        written = self._decode(_TRANSACTION_DECODER, reply.body)
        revision = view.StoreRevision(written.revision)
        if reply.era != lease.era:
            # The keys are under a lease that may belong to another host.
            for row in document["writes"]:
                self.remove_key(row["key"], revision)
        _check_lease_era(lease, reply)
        return revision

    def watch(
        self, prefix: str, after: view.StoreRevision, wait_s: float, timeout_s: float
    ) -> Batch:
        """Wait up to `wait_s` for changes of keys with a prefix after a revision.

        Raise StoreError of kind SILENT if no reply comes within `timeout_s`.
        """
        return self._watch({"prefix": prefix, "after": str(after)}, wait_s, timeout_s)

    def watch_relay(
        self,
        after: view.StoreRevision,
        era: view.StoreEra,
        wait_s: float,
        timeout_s: float,
    ) -> Batch:
        """Wait for changes at an aggregator that answers in place of the store.

        It has to know the era of the revision, which the store itself is not told.
        """
        query = {"after": str(after), ERA_FIELD: str(era), PACKED_FIELD: "1"}
        return self._watch(query, wait_s, timeout_s)

    def _watch(self, query: dict[str, str], wait_s: float, timeout_s: float) -> Batch:
        query["wait_ms"] = str(int(1000 * wait_s))
        self.is_watch_answered = False
        try:
            reply = self._get(WATCH_PATH, query, timeout_s)
        except StoreError as error:
            if isinstance(error.__cause__, urllib3.exceptions.ReadTimeoutError):
                detail = f"no reply to a watch in {timeout_s:.2f} s"
                raise StoreError(FailureKind.SILENT, detail) from error
            raise
        changes = self._decode(_WATCH_DECODER, reply.body)
        return Batch(
            tuple(map(_decode_item, changes.events)),
            view.StoreRevision(changes.at),
            reply.era,
            removals_untrusted_s=changes.removals_untrusted_ms / 1000,
            age_s=max(changes.view_age_ms, 0.0) / 1000 + reply.transfer_s,
        )

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def _get(self, path: str, query: dict[str, str], timeout_s: float) -> _Reply:
        return self._request("GET", path, timeout_s, fields=query)

    def _call(
        self,
        method: str,
        path: str,
        document: dict[str, object],
        negative_statuses: Collection[int] = (),
    ) -> _Reply:
        """Send a document; `negative_statuses` are those that say no."""
        return self._request(
            method,
            path,
            CALL_TIMEOUT_S,
            negative_statuses,
            body=msgspec.json.encode(document),
            headers={"Content-Type": "application/json"},
        )

    def _request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        negative_statuses: Collection[int] = (),
        **content: object,
    ) -> _Reply:
        self.call_count += 1
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        # urllib3 limits the time of each read only, not of a head that keeps coming.
        total_timeout = StoreError(FailureKind.UNREACHABLE, "no end of the reply")
        try:
            with eventlet.Timeout(CONNECT_TIMEOUT_S + timeout_s, total_timeout):
                reply = self._pool.request(
                    method,
                    path,
                    timeout=timeout,
                    redirect=False,
                    preload_content=False,
                    **content,
                )
                answered_at = self._clock()
                self.is_watch_answered |= path == WATCH_PATH
                first_piece = _read_first_piece(reply)
            body = _read_rest(reply, first_piece)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreError(FailureKind.UNREACHABLE, type(error).__name__) from error
        transfer_s = self._clock() - answered_at
        if reply.status in (200, 204):
            return _Reply(body, _parse_era(reply.headers.get(ERA_HEADER)), transfer_s)
        if reply.status in negative_statuses:
            return _Reply(None, _parse_era(reply.headers.get(ERA_HEADER)))
        if reply.status == 410:
            raise StoreError(FailureKind.HISTORY_LOST, path)
        if reply.status in (429, 503):
            raise StoreError(FailureKind.BUSY, f"{path}: status {reply.status}")
        raise StoreError(FailureKind.REFUSED, f"{path}: status {reply.status}")

    def _decode(self, decoder: msgspec.json.Decoder, body: bytes) -> msgspec.Struct:
        try:
            return decoding.decode_lenient(decoder, body)
        except decoding.DecodingError as error:
            raise StoreError(FailureKind.MALFORMED, str(error)) from error


def _build_pool(address: names.Address) -> urllib3.HTTPConnectionPool:
    return http_pools.HostPool(
        address.ip,
        address.port,
        maxsize=2,
        retries=False,
        socket_options=_SOCKET_OPTIONS,
    )


def _build_write(key: Key, value: bytes, lease: LeaseId) -> dict[str, object]:
    """Return the transaction that writes one key, whatever it held before."""
    text = base64.b64encode(value).decode()
    return {
        "expected_rev": [],
        "writes": [{"key": key, "value": text, "lease": lease}],
        "deletes": [],
    }


def _check_lease_era(lease: Lease, reply: _Reply) -> None:
    if reply.era != lease.era:
        detail = f"lease {lease.id} of era {lease.era} in era {reply.era}"
        raise StoreError(FailureKind.RESTORED, detail)


def _parse_era(text: str | None) -> view.StoreEra:
    """Return the era that a reply names. Raise StoreError if it is no number."""
    if text is None:
        return view.StoreEra(0)
    if not _ERA.fullmatch(text):
        raise StoreError(FailureKind.MALFORMED, f"{ERA_HEADER}: {text[:40]!r}")
    return view.StoreEra(int(text))


def _read_first_piece(reply: urllib3.BaseHTTPResponse) -> bytes:
    """Return the first piece of a body; close the connection of what is no reply."""
    if reply.status not in FINAL_STATUSES:
        reply.close()
        # As for a status line that the HTTP client can't read.
        raise StoreError(FailureKind.UNREACHABLE, f"status {reply.status}")
    return _read_piece(reply)


def _read_rest(reply: urllib3.BaseHTTPResponse, first_piece: bytes) -> bytes:
    """Return the body; close the connection of one that stops or is too large."""
    pieces = [first_piece]
    size = len(first_piece)
    while pieces[-1]:
        stopped = StoreError(
            FailureKind.UNREACHABLE, f"no end of the reply after {size} bytes"
        )
        with eventlet.Timeout(BODY_PIECE_TIMEOUT_S, stopped):
            pieces.append(_read_piece(reply))
        size += len(pieces[-1])
        if size > MAX_BODY_BYTES:
            reply.close()
            raise StoreError(FailureKind.MALFORMED, "the reply is too large")
    reply.release_conn()
    return b"".join(pieces)


def _read_piece(reply: urllib3.BaseHTTPResponse) -> bytes:
    """Return the next bytes of a body, none at its end; close it if that fails."""
    try:
        return reply.read(BODY_PIECE_BYTES)
    except BaseException:
        reply.close()
        raise


def _decode_item(item: _WireItem) -> Item:
    revision = view.StoreRevision(item.revision)
    lease = LeaseId(item.lease)
    if item.deleted or (item.value is None and item.packed is None):
        return Item(Key(item.key), revision, None)
    try:
        value = (
            base64.b64decode(item.value, validate=True)
            if item.packed is None
            else _unpack(item.packed)
        )
    except (binascii.Error, ValueError, zlib.error):
        # An empty value fails to decode as an entry, and that failure is reported.
        value = b""
    return Item(Key(item.key), revision, value, lease)


def _unpack(text: str) -> bytes:
    data = base64.b64decode(text, validate=True)
    return zlib.decompressobj().decompress(data, MAX_BODY_BYTES)
