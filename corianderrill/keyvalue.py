"""The platform's key-value service: its calls, their outcomes and an HTTP client.

The service keeps one revision that rises with each write. Every key carries the
revision of its last write, which a compare-and-swap compares. Calls and replies
are `msgspec` structs, so that the client, the stand-in and the fake of the tests
share one definition of each.
"""

from typing import Protocol

import msgspec
import urllib3

from corianderrill import http_pools, names

CONNECT_TIMEOUT_S = 0.5
REPLY_TIMEOUT_S = 2.0
MAX_VALUE_BYTES = 1_000_000
CALL_PATH = "/v1/calls"
CREATE_ONLY = names.Revision(0)

STATUS_OK = 200
STATUS_UNAVAILABLE = 503
CLIENT_ERRORS = range(400, 500)


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of every call and reply; the wire form names its type."""


class Entry(msgspec.Struct, frozen=True):
    """A key with its value and the revision of its last write."""

    key: str
    value: bytes
    revision: names.Revision
    lease: str | None = None


class Change(msgspec.Struct, frozen=True):
    """A write or a deletion (`value` is None) that a watch reports."""

    key: str
    value: bytes | None
    revision: names.Revision


class Get(Message):
    """Reads one key."""

    key: str


class List(Message):
    """Reads every key that starts with a prefix."""

    prefix: str


class Put(Message):
    """Writes a key if its revision is `expected`.

    `expected` 0 creates the key only; None writes without a comparison.
    """

    key: str
    value: bytes
    expected: names.Revision | None = None
    lease: str | None = None


class Delete(Message):
    """Deletes a key if its revision is `expected`; None deletes any."""

    key: str
    expected: names.Revision | None = None


class Grant(Message):
    """Asks for a lease."""

    ttl_s: float


class KeepAlive(Message):
    """Extends a lease by its time to live."""

    lease: str


class Revoke(Message):
    """Ends a lease and deletes its keys."""

    lease: str


class Watch(Message):
    """Waits for changes under a prefix after a revision, at most `timeout_s`."""

    prefix: str
    after: names.Revision
    timeout_s: float


class Found(Message):
    """The key exists."""

    entry: Entry


class Absent(Message):
    """The key does not exist at this revision of the service."""

    revision: names.Revision


class Listed(Message):
    """The keys under a prefix, in order, at one revision of the service."""

    entries: tuple[Entry, ...]
    revision: names.Revision


class Written(Message):
    """The write or the deletion took effect."""

    revision: names.Revision


class Conflict(Message):
    """The compared revision did not match; nothing was written."""

    current: Entry | None


class Granted(Message):
    """A lease is held from now on for `ttl_s`."""

    lease: str
    ttl_s: float


class Lapsed(Message):
    """The lease no longer exists; its keys are gone."""


class Changed(Message):
    """The changes after a watched revision; empty after a timeout.

    A `revision` below the watched one tells that the service came back older.
    """

    changes: tuple[Change, ...]
    revision: names.Revision


class Compacted(Message):
    """The service no longer holds the changes after the watched revision."""

    revision: names.Revision


class Refused(Message):
    """The service refused the call; it had no effect."""

    detail: str


class Unreachable(Message):
    """The service was not reached or a read was not answered; nothing changed."""

    detail: str


class UnknownWrite(Message):
    """The write was sent and not answered: it may or may not have taken effect."""

    detail: str


Call = Get | List | Put | Delete | Grant | KeepAlive | Revoke | Watch
Answer = (
    Found
    | Absent
    | Listed
    | Written
    | Conflict
    | Granted
    | Lapsed
    | Changed
    | Compacted
    | Refused
)
Failure = Refused | Unreachable | UnknownWrite
WRITES = (Put, Delete, Grant, KeepAlive, Revoke)


class Transport(Protocol):
    """Carries one call to the service; never raises."""

    def exchange(self, call: Call, timeout_s: float) -> Answer | Failure:
        """Return the service's answer or how the call failed."""


class Client:
    """The calls of the service over any transport."""

    def __init__(
        self, transport: Transport, timeout_s: float = REPLY_TIMEOUT_S
    ) -> None:
        self._transport = transport
        self._timeout_s = timeout_s

    def get(self, key: str) -> Found | Absent | Refused | Unreachable:
        """Read one key."""
        return self._transport.exchange(Get(key), self._timeout_s)

    def list(self, prefix: str) -> Listed | Refused | Unreachable:
        """Read every key that starts with `prefix`."""
        return self._transport.exchange(List(prefix), self._timeout_s)

    def put(
        self,
        key: str,
        value: bytes,
        expected: names.Revision | None = None,
        lease: str | None = None,
    ) -> Written | Conflict | Lapsed | Failure:
        """Write a key, compared with `expected`; `CREATE_ONLY` creates it."""
        if len(value) > MAX_VALUE_BYTES:
            return Refused(
                f"the value of {key} has {len(value)} bytes; at most "
                f"{MAX_VALUE_BYTES} are allowed"
            )
        call = Put(key, value, expected, lease)
        return self._transport.exchange(call, self._timeout_s)

    def delete(
        self, key: str, expected: names.Revision | None = None
    ) -> Written | Conflict | Failure:
        """Delete a key, compared with `expected`."""
        return self._transport.exchange(Delete(key, expected), self._timeout_s)

    def grant(self, ttl_s: float) -> Granted | Failure:
        """Ask for a lease that lapses `ttl_s` after its last extension."""
        return self._transport.exchange(Grant(ttl_s), self._timeout_s)

    def keep_alive(self, lease: str) -> Granted | Lapsed | Failure:
        """Extend a lease."""
        return self._transport.exchange(KeepAlive(lease), self._timeout_s)

    def revoke(self, lease: str) -> Written | Lapsed | Failure:
        """End a lease and delete its keys."""
        return self._transport.exchange(Revoke(lease), self._timeout_s)

    def watch(
        self, prefix: str, after: names.Revision, timeout_s: float
    ) -> Changed | Compacted | Refused | Unreachable:
        """Wait for changes under `prefix` after a revision (long poll)."""
        call = Watch(prefix, after, timeout_s)
        return self._transport.exchange(call, timeout_s + self._timeout_s)


def fail_unanswered(call: Call, detail: str) -> Unreachable | UnknownWrite:
    """Return the failure of a call that was sent and not answered."""
    if isinstance(call, WRITES):
        return UnknownWrite(detail)
    return Unreachable(detail)


class HttpTransport:
    """Sends each call as one HTTP request with a JSON body."""

    def __init__(self, address: names.Address) -> None:
        self._url = f"http://{address}{CALL_PATH}"
        self._pool = http_pools.build_manager(num_pools=1, maxsize=4, retries=False)
        self._decoder = msgspec.json.Decoder(Answer)

    def exchange(self, call: Call, timeout_s: float) -> Answer | Failure:
        """Send a call; see `Transport`."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            response = self._pool.request(
                "POST",
                self._url,
                body=msgspec.json.encode(call),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Unreachable(f"no connection to the key-value service: {error}")
        except urllib3.exceptions.HTTPError as error:
            return fail_unanswered(call, f"no reply from the service: {error}")
        return self._read(call, response.status, response.data)

    def _read(self, call: Call, status: int, body: bytes) -> Answer | Failure:
        detail = f"the key-value service answered with status {status}"
        if status == STATUS_UNAVAILABLE:
            return Unreachable(detail)
        if status in CLIENT_ERRORS:
            return Refused(detail)
        if status != STATUS_OK:
            return fail_unanswered(call, detail)
        try:
            return self._decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            return fail_unanswered(call, f"unreadable reply: {error}")


def connect(address: names.Address, timeout_s: float = REPLY_TIMEOUT_S) -> Client:
    """Return a client of the service at `address`; opens no connection yet."""
    return Client(HttpTransport(address), timeout_s)
