"""A fake of the backend servers that register in the users' platform."""

import itertools
import os
import time
from collections.abc import Sequence
from typing import Any

import eventlet

from corianderrill.standins import loopback, platform


class FakeBackendServer(loopback.LoopbackServer):
    """A backend server that replies with its records, or else echoes the body.

    `delay_s` is the processing time of each request, `status` the status of replies.
    `rate_limit` is the limit that replies advertise, in requests a second of all hosts.
    While `is_leaving` is set, replies say that the server leaves. `warmup_left_ms` is
    in its registration, and in its replies unless it is None.
    """

    _numbers = itertools.count(1)

    def __init__(self, service: str, zone: str, records: Sequence[bytes] = ()) -> None:
        self.id = f"i-{os.getpid()}-{next(self._numbers)}"
        self.service = service
        self.zone = zone
        self.records = records
        self.delay_s = 0.0
        self.status = "200 OK"
        self.rate_limit: float | None = None
        self.is_leaving = False
        self.warmup_left_ms: int | None = None
        self.started_at_ms = round(1000 * time.time())
        self._write_count = 0
        self.requests: list[str] = []
        # By request id, as they were sent.
        self.targets: dict[str, str] = {}
        # By request id; the WSGI names of headers.
        self.headers: dict[str, dict[str, str]] = {}
        super().__init__()

    def register(self, store: platform.FakeStore, state: str = "ready") -> None:
        """Write the registration of this server to the store."""
        self._write_count += 1
        entry = {
            "service": self.service,
            "address": str(self.address),
            "zone": self.zone,
            "version": "v1",
            "capacity": 4,
            "state": state,
            "warmup_left_ms": self.warmup_left_ms or 0,
            "seq_no": self._write_count,
            "born": self.started_at_ms,
        }
        store.put(f"servers/{self.id}", entry)

    def handle_request(self, environ: dict[str, Any]) -> loopback.HttpResponse:
        """Execute a request, or reply 421 if it is for another server."""
        expected = environ.get("HTTP_X_EXPECT_INSTANCE")
        request_id = environ["HTTP_X_REQUEST_ID"]
        if expected is not None and expected != self.id:
            headers = {"X-Request-Id": request_id, "X-Instance-Id": self.id}
            return "421 Misdirected Request", headers, b""
        body = environ["wsgi.input"].read()
        self.requests.append(request_id)
        self.targets[request_id] = environ["RAW_REQUEST_TARGET"]
        self.headers[request_id] = {
            name: value for name, value in environ.items() if name.startswith("HTTP_")
        }
        eventlet.sleep(self.delay_s)
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Stamp": f"{self.id}.{request_id}",
        }
        if self.rate_limit is not None:
            headers["Server-Limit"] = str(self.rate_limit)
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if self.warmup_left_ms is not None:
            headers["X-Warmup-Ms"] = str(self.warmup_left_ms)
        return self.status, headers, b"".join(self.records) or body or b"done"
