"""A stand-in for the platform's key-value service, with faults that can be set.

`Store` holds keys, leases and changes; `Platform` adds limits and faults to it.
`MemoryTransport` calls a platform without sockets; `serve` offers it over HTTP.
"""

import collections
import dataclasses
import itertools
import socket
import time
from collections.abc import Callable, Iterable

import eventlet
import eventlet.event
import eventlet.wsgi
import msgspec

from corianderrill import keyvalue, names

MAX_READS_PER_S = 2_000
MAX_WRITES_PER_S = 500
MAX_CHANGES_KEPT = 50_000
MAX_BODY_BYTES = 2 * keyvalue.MAX_VALUE_BYTES
FAULTS_PATH = "/v1/faults"
RESTORE_PATH = "/v1/restore"
LAPSE_PATH = "/v1/lapse"
COUNTS_PATH = "/v1/counts"


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease with its time to live and its end, in seconds."""

    ttl_s: float
    expires_at: float


class Store:
    """Keys with revisions, leases and the changes that a watch reads."""

    def __init__(self) -> None:
        self.revision = names.Revision(0)
        self._entries: dict[str, keyvalue.Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._lease_numbers = itertools.count(1)
        self._changes: collections.deque[keyvalue.Change] = collections.deque()
        self._compacted = names.Revision(0)

    def apply(self, call: keyvalue.Call, now: float) -> keyvalue.Answer:
        """Carry out a call at `now`; a watch answers at once with what there is."""
        self._lapse_due(now)
        match call:
            case keyvalue.Get(key):
                return self._get(key)
            case keyvalue.List(prefix):
                return self._list(prefix)
            case keyvalue.Put():
                return self._put(call)
            case keyvalue.Delete(key, expected):
                return self._delete(key, expected)
            case keyvalue.Grant(ttl_s):
                return self._grant(ttl_s, now)
            case keyvalue.KeepAlive(lease):
                return self._keep_alive(lease, now)
            case keyvalue.Revoke(lease):
                return self._revoke(lease)
            case keyvalue.Watch(prefix, after):
                return self._read_changes(prefix, after)

    def restore(self, revision: names.Revision) -> None:
        """Go back to the data of an earlier revision, revisions included."""
        kept = [change for change in self._changes if change.revision <= revision]
        self.__init__()
        for change in kept:
            if change.value is None:
                self._entries.pop(change.key, None)
            else:
                self._entries[change.key] = keyvalue.Entry(
                    change.key, change.value, change.revision
                )
            self._changes.append(change)
        self.revision = revision

    def lapse(self, lease: str) -> None:
        """Let a lease lapse now, whatever its holder believes."""
        if self._leases.pop(lease, None):
            keys = [
                entry.key for entry in self._entries.values() if entry.lease == lease
            ]
            for key in keys:
                self._remove(key)

    def _lapse_due(self, now: float) -> None:
        due = [name for name, lease in self._leases.items() if lease.expires_at <= now]
        for name in due:
            self.lapse(name)

    def _get(self, key: str) -> keyvalue.Found | keyvalue.Absent:
        entry = self._entries.get(key)
        if entry is None:
            return keyvalue.Absent(self.revision)
        return keyvalue.Found(entry)

    def _list(self, prefix: str) -> keyvalue.Listed:
        entries = tuple(
            entry
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix)
        )
        return keyvalue.Listed(entries, self.revision)

    def _matches(self, key: str, expected: names.Revision | None) -> bool:
        if expected is None:
            return True
        entry = self._entries.get(key)
        return (entry.revision if entry else keyvalue.CREATE_ONLY) == expected

    def _put(self, call: keyvalue.Put) -> keyvalue.Answer:
        if len(call.value) > keyvalue.MAX_VALUE_BYTES:
            return keyvalue.Refused(f"the value of {call.key} is too large")
        if call.lease is not None and call.lease not in self._leases:
            return keyvalue.Lapsed()
        if not self._matches(call.key, call.expected):
            return keyvalue.Conflict(self._entries.get(call.key))
        revision = self._note(call.key, call.value)
        self._entries[call.key] = keyvalue.Entry(
            call.key, call.value, revision, call.lease
        )
        return keyvalue.Written(revision)

    def _delete(self, key: str, expected: names.Revision | None) -> keyvalue.Answer:
        if not self._matches(key, expected):
            return keyvalue.Conflict(self._entries.get(key))
        if key in self._entries:
            self._remove(key)
        return keyvalue.Written(self.revision)

    def _remove(self, key: str) -> None:
        del self._entries[key]
        self._note(key, None)

    def _note(self, key: str, value: bytes | None) -> names.Revision:
        self.revision = names.Revision(self.revision + 1)
        self._changes.append(keyvalue.Change(key, value, self.revision))
        if len(self._changes) > MAX_CHANGES_KEPT:
            self._compacted = self._changes.popleft().revision
        return self.revision

    def _grant(self, ttl_s: float, now: float) -> keyvalue.Granted:
        name = f"lease-{next(self._lease_numbers)}"
        self._leases[name] = Lease(ttl_s, now + ttl_s)
        return keyvalue.Granted(name, ttl_s)

    def _keep_alive(self, name: str, now: float) -> keyvalue.Answer:
        lease = self._leases.get(name)
        if lease is None:
            return keyvalue.Lapsed()
        lease.expires_at = now + lease.ttl_s
        return keyvalue.Granted(name, lease.ttl_s)

    def _revoke(self, name: str) -> keyvalue.Answer:
        if name not in self._leases:
            return keyvalue.Lapsed()
        self.lapse(name)
        return keyvalue.Written(self.revision)

    def _read_changes(self, prefix: str, after: names.Revision) -> keyvalue.Answer:
        if after < self._compacted:
            return keyvalue.Compacted(self.revision)
        newest_first = itertools.takewhile(
            lambda change: change.revision > after, reversed(self._changes)
        )
        changes = [change for change in newest_first if change.key.startswith(prefix)]
        return keyvalue.Changed(tuple(reversed(changes)), self.revision)


class Faults(msgspec.Struct):
    """The faults in force.

    `lost_requests` and `lost_replies` count the writes that are still to be
    lost before or after they take effect.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_requests: int = 0
    lost_replies: int = 0


class Counts(msgspec.Struct):
    """Calls counted by the service; a waiting watch counts as one read."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    refused: int = 0
    peak_reads_per_s: int = 0
    peak_writes_per_s: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer that reaches the caller after a delay."""

    answer: keyvalue.Answer
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Down:
    """The service cannot be reached; the call had no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request or its reply was lost; the caller cannot tell which."""


class Platform:
    """A store behind rate limits and faults."""

    def __init__(
        self,
        max_reads_per_s: int = MAX_READS_PER_S,
        max_writes_per_s: int = MAX_WRITES_PER_S,
    ) -> None:
        self.store = Store()
        self.faults = Faults()
        self.counts = Counts()
        self._max_reads_per_s = max_reads_per_s
        self._max_writes_per_s = max_writes_per_s
        self._second = 0
        self._reads = 0
        self._writes = 0

    def handle(self, call: keyvalue.Call, now: float) -> Reply | Down | Lost:
        """Carry out a call under the faults that are in force."""
        if self.faults.down:
            return Down()
        if not self._admit(call, now):
            self.counts.refused += 1
            return Reply(keyvalue.Refused("too many calls in this second"))
        is_write = isinstance(call, keyvalue.WRITES)
        if is_write and self.faults.lost_requests:
            self.faults.lost_requests -= 1
            return Lost()
        answer = self.store.apply(call, now)
        if is_write and self.faults.lost_replies:
            self.faults.lost_replies -= 1
            return Lost()
        return Reply(answer, self.faults.delay_s)

    def _admit(self, call: keyvalue.Call, now: float) -> bool:
        if int(now) != self._second:
            self._second = int(now)
            self._reads = self._writes = 0
        if isinstance(call, keyvalue.WRITES):
            self._writes += 1
            self.counts.writes += 1
            self.counts.peak_writes_per_s = max(
                self.counts.peak_writes_per_s, self._writes
            )
            return self._writes <= self._max_writes_per_s
        self._reads += 1
        self.counts.reads += 1
        self.counts.watches += isinstance(call, keyvalue.Watch)
        self.counts.peak_reads_per_s = max(self.counts.peak_reads_per_s, self._reads)
        return self._reads <= self._max_reads_per_s


class MemoryTransport:
    """Calls a platform in the same process, without sockets and without waiting.

    A delay past the timeout fails the call as a socket would; a watch answers
    at once.
    """

    def __init__(self, platform: Platform, clock: Callable[[], float]) -> None:
        self._platform = platform
        self._clock = clock

    def exchange(
        self, call: keyvalue.Call, timeout_s: float
    ) -> keyvalue.Answer | keyvalue.Failure:
        """Carry a call; see `keyvalue.Transport`."""
        match self._platform.handle(call, self._clock()):
            case Down():
                return keyvalue.Unreachable("the service is down")
            case Lost():
                return keyvalue.fail_unanswered(call, "the reply was lost")
            case Reply(answer, delay_s):
                if delay_s > timeout_s:
                    return keyvalue.fail_unanswered(call, "the reply came too late")
                return answer


class Restore(msgspec.Struct):
    """Asks the stand-in to come back with the data of an earlier revision."""

    revision: names.Revision


class Lapse(msgspec.Struct):
    """Asks the stand-in to let a lease lapse."""

    lease: str


class Application:
    """The WSGI application of the stand-in."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self._changed = eventlet.event.Event()
        self._decoder = msgspec.json.Decoder(keyvalue.Call)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one HTTP request."""
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_BODY_BYTES:
            return respond(start_response, "413 Content Too Large", b"")
        body = environ["wsgi.input"].read(length)
        try:
            if path == keyvalue.CALL_PATH:
                return self._answer_call(environ, body, start_response)
            return self._control(path, body, start_response)
        except msgspec.DecodeError as error:
            return respond(start_response, "400 Bad Request", str(error).encode())

    def _answer_call(
        self, environ: dict, body: bytes, start_response: Callable
    ) -> Iterable[bytes]:
        call = self._decoder.decode(body)
        match self.platform.handle(call, time.monotonic()):
            case Down():
                return respond(start_response, "503 Service Unavailable", b"")
            case Lost():
                # The caller sees its connection end without a status line.
                environ["wsgi.input"].get_socket().shutdown(socket.SHUT_RDWR)
                return respond(start_response, "200 OK", b"")
            case Reply(answer, delay_s):
                eventlet.sleep(delay_s)
                if isinstance(call, keyvalue.Watch):
                    answer = self._wait(call, answer)
                else:
                    self._wake_watches()
                return respond(start_response, "200 OK", msgspec.json.encode(answer))

    def _wait(self, call: keyvalue.Watch, answer: keyvalue.Answer) -> keyvalue.Answer:
        ends_at = time.monotonic() + call.timeout_s
        while (
            isinstance(answer, keyvalue.Changed)
            and not answer.changes
            and answer.revision >= call.after
            and time.monotonic() < ends_at
        ):
            self._changed.wait(timeout=max(0.0, ends_at - time.monotonic()))
            answer = self.platform.store.apply(call, time.monotonic())
        return answer

    def _wake_watches(self) -> None:
        self._changed.send()
        self._changed = eventlet.event.Event()

    def _control(
        self, path: str, body: bytes, start_response: Callable
    ) -> Iterable[bytes]:
        match path:
            case _ if path == FAULTS_PATH:
                self.platform.faults = msgspec.json.decode(body, type=Faults)
            case _ if path == RESTORE_PATH:
                restore = msgspec.json.decode(body, type=Restore)
                self.platform.store.restore(restore.revision)
                self._wake_watches()
            case _ if path == LAPSE_PATH:
                lapse = msgspec.json.decode(body, type=Lapse)
                self.platform.store.lapse(lapse.lease)
                self._wake_watches()
            case _ if path == COUNTS_PATH:
                pass
            case _:
                return respond(start_response, "404 Not Found", b"")
        counts = msgspec.json.encode(self.platform.counts)
        return respond(start_response, "200 OK", counts)


def respond(start_response: Callable, status: str, body: bytes) -> Iterable[bytes]:
    """Answer with a status and a JSON body."""
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(status, headers)
    return [body]


def serve(platform: Platform, address: names.Address) -> None:
    """Serve a platform over HTTP until the green thread is killed."""
    serve_socket(platform, eventlet.listen((address.ip, address.port)))


def serve_socket(platform: Platform, listener: object) -> None:
    """Serve a platform on a listening green socket."""
    eventlet.wsgi.server(listener, Application(platform), log_output=False)
