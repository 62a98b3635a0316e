"""Requests of callers, sub-requests to backend servers, and their replies."""

import dataclasses
import functools
from collections.abc import Iterable, Sequence

from corianderrill import names
from corianderrill.gateway import connections, replicas, replies

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"
EXPECT_INSTANCE = "X-Expect-Instance"
PART_STAMPS = "X-Part-Stamps"
MISSING_PARTS = "X-Missing-Parts"
READY_PATH = "/api/ready"
# A replica that is not the expected one answers so and has run nothing.
STATUS_ELSEWHERE = 421

_SIGNATURE = b"x-server-stamp"
_NOT_RUN = b"x-not-executed"
_ECHOED_ID = b"x-request-id"
_ENCODING = b"content-encoding"
_CONNECTION_HEADERS = frozenset(
    (
        *("connection", "keep-alive", "proxy-connection", "te", "trailer"),
        *("transfer-encoding", "upgrade", "proxy-authenticate"),
        *("proxy-authorization", "content-length", "expect"),
    )
)
# What the system sets itself on a sub-request.
_OWN_HEADERS = frozenset((DEADLINE_MS.lower(), EXPECT_INSTANCE.lower()))


@dataclasses.dataclass(frozen=True, slots=True)
class Inbound:
    """A request of a caller.

    `target` is the path with its query as the caller sent it. `deadline_s` counts
    from `received_at`, a time of the own clock. `head` is what every sub-request
    begins with.
    """

    id: names.RequestId
    method: str
    target: str
    host: str
    deadline_s: float
    received_at: float
    head: bytes
    body: bytes

    def render(self, replica: replicas.InstanceId, left_s: float) -> bytes:
        """Return the request for a replica that may work on it for `left_s`."""
        fields = f"{DEADLINE_MS}: {int(left_s * 1000)}\r\n{EXPECT_INSTANCE}: {replica}"
        return b"%b%b\r\n\r\n%b" % (self.head, fields.encode("latin-1"), self.body)


def read_deadline(text: str | None) -> float | None:
    """Return the time a caller will wait, in seconds; nothing where it told none."""
    try:
        milliseconds = float(text)
    except (TypeError, ValueError):
        return None
    return milliseconds / 1000 if 0 < milliseconds < 1e9 else None


def build_inbound(
    method: str,
    target: str,
    headers: Sequence[tuple[str, str]],
    body: bytes,
    deadline_s: float,
    received_at: float,
) -> Inbound:
    """Return a request with the head of its sub-requests."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in _list_forwarded(headers)]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    lines.append("")
    return Inbound(
        id=names.RequestId(find_header(headers, REQUEST_ID) or ""),
        method=method,
        target=target,
        host=find_header(headers, "Host") or "",
        deadline_s=deadline_s,
        received_at=received_at,
        head="\r\n".join(lines).encode("latin-1"),
        body=body,
    )


def find_header(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the first header of a name, whatever its case."""
    wanted = name.lower()
    return next((v for k, v in headers if k.lower() == wanted), None)


def _list_forwarded(headers: Sequence[tuple[str, str]]) -> list[tuple[str, str]]:
    named = find_header(headers, "Connection")
    dropped = _CONNECTION_HEADERS | _OWN_HEADERS
    if named:
        dropped = dropped | {name.strip().lower() for name in named.split(",")}
    return [(k, v) for k, v in headers if k.lower() not in dropped]


def read_reply(raw: connections.RawReply) -> replies.Reply:
    """Decode the reply of a backend server."""
    fields = dict(raw.headers)
    signature = fields.get(_SIGNATURE)
    echoed_id = fields.get(_ECHOED_ID)
    elsewhere = raw.status == STATUS_ELSEWHERE
    return replies.Reply(
        status=raw.status,
        headers=raw.headers,
        body=raw.body,
        signature=None if signature is None else signature.decode("latin-1"),
        echoed_request_id=None if echoed_id is None else echoed_id.decode("latin-1"),
        not_executed=_NOT_RUN in fields,
        is_misdirected=elsewhere,
        has_content_encoding=_ENCODING in fields,
    )


def list_reply_headers(reply: replies.Reply) -> list[tuple[str, str]]:
    """Return the headers of a replica's reply that its caller gets."""
    return [
        (_restore_case(name), value.decode("latin-1"))
        for name, value in reply.headers
        if name.decode("latin-1") not in _CONNECTION_HEADERS
    ]


@functools.lru_cache(maxsize=256)
def _restore_case(name: bytes) -> str:
    return "-".join(word.capitalize() for word in name.decode("latin-1").split("-"))


def list_gather_headers(
    request_id: names.RequestId, signatures: Sequence[str], missing: int
) -> list[tuple[str, str]]:
    """Return the headers of an answer drawn from several shards."""
    return [
        (REQUEST_ID, request_id),
        (PART_STAMPS, ", ".join(signatures)),
        (MISSING_PARTS, str(missing)),
    ]
