"""Callers that keep their connections to a gateway open, and use them at a set time."""

import contextlib
import dataclasses
import re
import socket

from tests.utils import gateway_rig

TIMEOUT_S = 10.0
DEADLINE_MS = 4_000
# Together some 11 KB, which a caller sends in several segments.
HEADER_LINES = "".join(f"X-Field-{n:03}: {n:011}\r\n" for n in range(400))
_ANSWER = re.compile(rb"HTTP/1.1 ([0-9]{3}) [^\r]*\r\n(.*?)\r\n\r\n", re.DOTALL)
_LENGTH = re.compile(rb"content-length: *([0-9]+)", re.IGNORECASE)
_CLOSE = re.compile(rb"connection: *close", re.IGNORECASE)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer; `says_close` if the connection is not used after it."""

    status: int
    body: bytes
    says_close: bool


def build_request(request_id, body=b"renew", path="/single/x"):
    """Return an unsafe request with a long head."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n{HEADER_LINES}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def parse_answers(data):
    """Return the whole answers in what was received."""
    answers = []
    while found := _ANSWER.match(data):
        length = int(_LENGTH.search(found[2])[1])
        end = found.end() + length
        if len(data) < end:
            break
        body = data[found.end() : end]
        answers.append(Answer(int(found[1]), body, bool(_CLOSE.search(found[2]))))
        data = data[end:]
    return answers


class Caller:
    """One connection to a gateway."""

    def __init__(self, address):
        ip, _, port = address.rpartition(":")
        self.sock = socket.create_connection((ip, int(port)), timeout=TIMEOUT_S)

    def exchange(self, data):
        """Send a request and read its answer; the connection stays open."""
        self.sock.sendall(data)
        return self.read_answers(1)[0]

    def send(self, data):
        """Send bytes, unless the gateway has closed the connection."""
        with contextlib.suppress(ConnectionError):
            self.sock.sendall(data)

    def read_answers(self, count=None):
        """Return the answers up to a number, or up to the end of the connection."""
        data = b""
        with contextlib.suppress(ConnectionError):
            while received := self.sock.recv(65_536):
                data += received
                if count is not None and len(parse_answers(data)) >= count:
                    break
        return parse_answers(data)


class KeptCallers:
    """Callers that have used their connections once; they are idle now."""

    def __init__(self, rig, count):
        self.callers = [Caller(rig.gateway_address) for _ in range(count)]
        for number, caller in enumerate(self.callers):
            caller.exchange(build_request(f"earlier-{number}"))

    def list_ids(self, prefix="r"):
        """Return an id for the next request of each caller."""
        return [f"{prefix}-{number}" for number in range(len(self.callers))]

    def close(self):
        for caller in self.callers:
            caller.sock.close()
