"""Backend servers of a soak: they note each arrival and misbehave when told to."""

import enum
import hashlib
import itertools
import random
import time
from collections.abc import Callable
from typing import Any

import eventlet

from benchmarks.gateways import links, records
from corianderrill.standins import loopback, platform_servers

SERVICE_S = 0.012
SLOW_S = 0.4
REFUSED_SHARE = 0.5
FAILED_SHARE = 0.5
# Of these, all but the first promise to a caller that nothing has run.
FAILURES = (
    (500, "500 Internal Server Error"),
    (408, "408 Request Timeout"),
    (429, "429 Too Many Requests"),
    (503, "503 Service Unavailable"),
)
ENDLESS_SHARE = 0.1
ENDLESS_PIECE = b"a" * 65_536
PAUSE_S = 3.0
REPEAT_DELAY_S = 0.03
RECORDS_A_PART = 6
RECORD_BYTES = 16
_numbers = itertools.count(1)


# A server that runs a request with such a body ends.
CRASHING_BODY = b"crash "


class Mood(enum.Enum):
    """How a server misbehaves."""

    SLOW = "slow"
    REFUSING = "refusing"
    FAILING = "failing"
    ENDLESS = "endless"
    REPEATING = "repeating"
    ANNOUNCING = "announcing"
    QUIET = "quiet"


def build_part(service: str, request_id: str) -> bytes:
    """Return the records of a shard for a request; every request has others."""
    return b"".join(
        hashlib.blake2b(
            f"{service} {request_id} {index}".encode(), digest_size=RECORD_BYTES
        ).digest()
        for index in range(RECORDS_A_PART)
    )


class Server(platform_servers.FakeBackendServer):
    """One replica behind a link of its own, which is what it registers."""

    def __init__(
        self, service: str, zone: str, history: records.History, rng: random.Random
    ) -> None:
        super().__init__(service, zone)
        self.link = links.Link(self.address)
        self.address = self.link.address
        self.moods: list[Mood] = []
        self.is_leaving = False
        # Called when this server is to end under a request.
        self.on_crash: Callable[[Server], None] = _ignore
        self._history = history
        self._rng = rng

    def handle_request(self, environ: dict[str, Any]) -> loopback.HttpResponse:
        """Run a request, refuse it or fail, and note it."""
        arrival = records.Arrival(
            id=records.RequestId(environ["HTTP_X_REQUEST_ID"]),
            service=records.ServiceName(self.service),
            replica=records.InstanceId(self.id),
            at=time.monotonic(),
        )
        self._history.arrivals.append(arrival)
        if environ.get("HTTP_X_EXPECT_INSTANCE") != self.id:
            arrival.was_elsewhere = True
            headers = {"X-Request-Id": str(arrival.id), "X-Instance-Id": self.id}
            return "421 Misdirected Request", headers, b""
        if Mood.QUIET in self.moods:
            return self._ask_for_pause(arrival)
        if Mood.REPEATING in self.moods and self._rng.random() < REFUSED_SHARE:
            return self._refuse_twice(arrival, environ)
        if Mood.REFUSING in self.moods and self._rng.random() < REFUSED_SHARE:
            headers = {"X-Request-Id": str(arrival.id), "X-Not-Executed": "1"}
            return "503 Service Unavailable", headers, b""
        arrival.signature = f"{self.id}.{next(_numbers)}"
        body = environ["wsgi.input"].read()
        if body.startswith(CRASHING_BODY):
            crashed = records.Crashed(body, arrival.id, arrival.at)
            self._history.crashed.append(crashed)
            self.on_crash(self)
        is_slow = Mood.SLOW in self.moods
        eventlet.sleep(SLOW_S if is_slow else SERVICE_S * self._rng.uniform(0.5, 2))
        return self._finish(arrival, body)

    def _ask_for_pause(self, arrival: records.Arrival) -> loopback.HttpResponse:
        now = time.monotonic()
        noticed = records.Noticed(arrival.replica, arrival.id, now, now + PAUSE_S)
        self._history.noticed.append(noticed)
        headers = {"X-Request-Id": str(arrival.id), "X-Not-Executed": "1"}
        headers["Retry-After"] = str(PAUSE_S)
        return "503 Service Unavailable", headers, b""

    def _refuse_twice(
        self, arrival: records.Arrival, environ: dict[str, Any]
    ) -> loopback.HttpResponse:
        """Refuse a request, and send the refusal again a moment later.

        The second one names no request at times.
        """
        line = f"X-Request-Id: {arrival.id}\r\n" if self._rng.random() < 0.5 else ""
        copy = (
            f"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n{line}"
            "Content-Length: 0\r\n\r\n"
        )
        sock = environ["eventlet.input"].get_socket()
        eventlet.spawn_after(REPEAT_DELAY_S, _send_stray, sock, copy.encode())
        headers = {"X-Request-Id": str(arrival.id), "X-Not-Executed": "1"}
        return "503 Service Unavailable", headers, b""

    def _serve(self, environ: dict[str, Any], start_response: Any):
        if Mood.ENDLESS in self.moods and self._rng.random() < ENDLESS_SHARE:
            return self._answer_without_end(environ, start_response)
        return super()._serve(environ, start_response)

    def _answer_without_end(self, environ: dict[str, Any], start_response: Any):
        """Run a request, and answer until the other end closes the connection."""
        _, headers, _ = self.handle_request(environ)
        start_response("200 OK", list(headers.items()))
        return itertools.repeat(ENDLESS_PIECE)

    def _finish(self, arrival: records.Arrival, body: bytes) -> loopback.HttpResponse:
        headers = {
            "X-Request-Id": str(arrival.id),
            "X-Server-Stamp": arrival.signature,
        }
        if self.rate_limit is not None:
            arrival.limited_at = time.monotonic()
            headers["Server-Limit"] = str(self.rate_limit)
        if Mood.ANNOUNCING in self.moods:
            headers["Server-Leaving"] = "1"
            self._history.noticed.append(
                records.Noticed(arrival.replica, arrival.id, time.monotonic())
            )
        if Mood.FAILING in self.moods and self._rng.random() < FAILED_SHARE:
            arrival.status, line = self._rng.choice(FAILURES)
            return line, headers, b"broken"
        arrival.status = 200
        arrival.body = body or build_part(self.service, arrival.id)
        return "200 OK", headers, arrival.body

    def start_again(self) -> None:
        """Become another instance at the same address."""
        self.id = f"{self.id}-{next(_numbers)}"
        self.started_at_ms = round(1000 * time.time())
        self.rate_limit = None

    def stop(self) -> None:
        """Listen no more, as after the end of its process."""
        self.link.stop()
        super().stop()


def _send_stray(sock: Any, data: bytes) -> None:
    try:
        sock.sendall(data)
    except OSError:
        # The connection was closed meanwhile.
        return


def _ignore(_server: Server) -> None:
    """End under no request."""
