"""Callers of a soak: they keep connections, follow readiness, and note each ending."""

import dataclasses
import http.client
import itertools
import random
import time
from collections.abc import Iterator

import eventlet
from urllib3 import util

from benchmarks.gateways import records

GIVE_UP_AFTER_S = 1.5
READY_EVERY_S = 1.0
READY_WITHIN_S = 0.5
# So many answers in a row take a host out.
UNREADY_ANSWERS = 2
BOOKING_SHARE = 0.2
LEAVE_SHARE = 0.5
LEAVE_WITHIN_S = 0.03
SLOW_UPLOAD_S = 1.5
HOST = "leno.example"
READY_PATH = "/api/ready"


@dataclasses.dataclass(slots=True)
class Door:
    """Where a host is asked; `is_open` says whether new connections go there."""

    host: records.HostName
    address: str
    ready_address: str
    is_open: bool = False
    unready: int = 0


class Balancer:
    """Asks each host whether it is ready, and spreads requests over those that are."""

    def __init__(self, doors: tuple[Door, ...]) -> None:
        self.doors = doors
        self._threads = [eventlet.spawn(self._follow, door) for door in doors]

    def stop(self) -> None:
        """Ask no more."""
        for thread in self._threads:
            thread.kill()

    def _follow(self, door: Door) -> None:
        while True:
            if ask_ready(door.ready_address):
                door.is_open = True
                door.unready = 0
            else:
                door.unready += 1
                door.is_open = door.is_open and door.unready < UNREADY_ANSWERS
            eventlet.sleep(READY_EVERY_S)


def ask_ready(address: str) -> bool:
    """Tell whether a host says that it is ready."""
    connection = http.client.HTTPConnection(address, timeout=READY_WITHIN_S)
    try:
        connection.request("GET", READY_PATH)
        return connection.getresponse().status == http.HTTPStatus.OK
    except (OSError, http.client.HTTPException):
        # Counts as an answer that is not ready.
        return False
    finally:
        connection.close()


class Caller:
    """Asks one request after the other over kept connections, one for each host."""

    _numbers = itertools.count(1)

    def __init__(
        self, balancer: Balancer, history: records.History, rng: random.Random
    ) -> None:
        self._balancer = balancer
        self._history = history
        self._rng = rng
        self._kept: dict[records.HostName, http.client.HTTPConnection] = {}
        self.leaves_early = False
        self.sends_slowly = False
        # If set, it asks for bookings with this body only.
        self.body: bytes | None = None
        # Sent beside those that each request has.
        self.headers: dict[str, str] = {}

    def run(self, gap_s: float, until: float) -> None:
        """Ask until then, with random gaps of this mean."""
        while time.monotonic() < until:
            eventlet.sleep(self._rng.expovariate(1.0 / gap_s))
            doors = [
                d for d in self._balancer.doors if d.is_open or d.host in self._kept
            ]
            if doors:
                self.ask(self._rng.choice(doors))

    def ask(self, door: Door) -> None:
        """Send one request to a host, and note how it ended."""
        is_booking = self.body is not None or self._rng.random() < BOOKING_SHARE
        kind = records.Kind.BOOKING if is_booking else records.Kind.QUERY
        asked = records.Asked(
            records.RequestId(f"q{next(self._numbers):06}"),
            kind,
            door.host,
            time.monotonic(),
        )
        self._history.asked.append(asked)
        connection = self._kept.pop(door.host, None)
        if connection is None or _was_closed(connection):
            connection = http.client.HTTPConnection(door.address)
        connection.timeout = kind.timeout_s + GIVE_UP_AFTER_S
        leaves = self.leaves_early and self._rng.random() < LEAVE_SHARE
        try:
            reply = self._exchange(asked, connection, leaves)
        except TimeoutError:
            asked.ending = records.Ending.GAVE_UP
            reply = None
        except (OSError, http.client.HTTPException):
            was_sent = asked.sent_at is not None
            asked.ending = (
                records.Ending.CUT if was_sent else records.Ending.NOT_CONNECTED
            )
            reply = None
        asked.ended_at = time.monotonic()
        if reply is None or reply.will_close:
            connection.close()
        else:
            self._kept[door.host] = connection

    def _send_in_pieces(self, body: bytes) -> Iterator[bytes]:
        yield body[:1]
        eventlet.sleep(self._rng.random() * SLOW_UPLOAD_S)
        yield body[1:]

    def _exchange(
        self,
        asked: records.Asked,
        connection: http.client.HTTPConnection,
        leaves: bool,
    ) -> http.client.HTTPResponse | None:
        headers = {
            **self.headers,
            "Host": HOST,
            "X-Request-Id": asked.id,
            "X-Deadline-Ms": str(int(1000 * asked.kind.timeout_s)),
        }
        if connection.sock is None:
            connection.connect()
        match asked.kind:
            case records.Kind.QUERY:
                connection.request("GET", "/sweep/x", headers=headers)
            case records.Kind.BOOKING:
                body = self.body or f"booking {asked.id}".encode()
                if self.sends_slowly:
                    body = self._send_in_pieces(body)
                    headers["Transfer-Encoding"] = "chunked"
                connection.request(
                    "POST", "/desk/x", body=body, headers=headers, encode_chunked=True
                )
        asked.sent_at = time.monotonic()
        if leaves:
            eventlet.sleep(self._rng.random() * LEAVE_WITHIN_S)
            asked.ending = records.Ending.LEFT
            return None
        reply = connection.getresponse()
        asked.body = reply.read()
        asked.status = reply.status
        asked.signatures = _read_signatures(asked.kind, reply)
        asked.missing = int(reply.headers.get("X-Missing-Parts", 0))
        asked.ending = records.Ending.ANSWERED
        return reply


def _was_closed(connection: http.client.HTTPConnection) -> bool:
    """Tell whether the other side closed a kept connection: it has nothing to say."""
    return util.wait.wait_for_read(connection.sock, timeout=0.0)


def _read_signatures(
    kind: records.Kind, reply: http.client.HTTPResponse
) -> tuple[str, ...]:
    match kind:
        case records.Kind.QUERY:
            found = reply.headers.get_all("X-Part-Stamps", [])
            return tuple(s.strip() for line in found for s in line.split(",") if s)
        case records.Kind.BOOKING:
            found = reply.headers.get("X-Server-Stamp")
            return () if found is None else (found,)
