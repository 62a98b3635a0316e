"""HTTP requests of callers, sub-requests to backend servers, and their replies."""

import dataclasses
import functools
import hashlib
import re
from collections.abc import Iterable, Sequence

from corianderrill import names
from corianderrill.gateway import (
    connections,
    quarantine,
    replicas,
    replies,
    routes,
    send_order,
)

REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_MS_HEADER = "X-Deadline-Ms"
EXPECT_INSTANCE_HEADER = "X-Expect-Instance"
PART_STAMPS_HEADER = "X-Part-Stamps"
MISSING_PARTS_HEADER = "X-Missing-Parts"
CREDENTIALS_HEADER = "Authorization"
WORKSPACE_HEADER = "X-Tenant"
# The scheme of `Authorization` with which callers send a key, in lower case.
KEY_SCHEME = "bearer"
# Beside status 401: the scheme that is expected.
AUTHENTICATE_HEADER = ("WWW-Authenticate", "Bearer")
FINGERPRINT_BYTES = 12
RETRY_AFTER_HEADER = "Retry-After"
READY_PATH = "/api/ready"
# Sent by a server other than the expected replica; it has not executed the request.
STATUS_MISDIRECTED = 421

# Reply headers, in lower case as `connections` returns them. The stamp is the signature
# of the replica that sent the reply.
_STAMP_REPLY_HEADER = b"x-server-stamp"
_NOT_EXECUTED_REPLY_HEADER = b"x-not-executed"
_REQUEST_ID_REPLY_HEADER = b"x-request-id"
_CONTENT_ENCODING_REPLY_HEADER = b"content-encoding"
# The requests a second that an overloaded replica accepts from all hosts together.
_RATE_LIMIT_REPLY_HEADER = b"server-limit"
# Set to 1 by a replica that leaves, in all its replies.
_LEAVING_REPLY_HEADER = b"server-leaving"
# Requests that run and wait, slots, and the percentage of the usual work time.
_LOAD_REPLY_HEADER = b"x-server-load"
# Reported values beyond these are clamped, so that a wrong report has a bounded effect.
MIN_WORK_TIME_RATIO = 0.25
MAX_WORK_TIME_RATIO = 16.0
MAX_REPORTED_REQUESTS = 10_000
# Beside status 503: the seconds in which the replica wants no requests of this host.
_RETRY_AFTER_REPLY_HEADER = b"retry-after"
# The milliseconds for which the replica is cold.
_WARMUP_REPLY_HEADER = b"x-warmup-ms"
STATUS_UNAVAILABLE = 503
# From each of these, a caller concludes that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset((408, STATUS_MISDIRECTED, 429, STATUS_UNAVAILABLE))
# Headers that are not forwarded; those listed in the Connection header are not either.
# The gateway writes Content-Length itself.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        *("connection", "keep-alive", "proxy-connection", "te", "trailer"),
        *("transfer-encoding", "upgrade", "proxy-authenticate"),
        *("proxy-authorization", "content-length", "expect"),
    )
)
# Tells the sender of a request that it was not executed.
NOT_EXECUTED_HEADER = ("X-Not-Executed", "1")
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
# The end of a header line that goes on in the next one.
_LINE_FOLD = re.compile(r"[\r\n]+[ \t]*")
# Not forwarded while the configuration has workspaces.
_IDENTITY_HEADERS = frozenset((CREDENTIALS_HEADER.lower(), WORKSPACE_HEADER.lower()))
_LOAD_REPORT = re.compile(
    r"(?P<running>[0-9]{1,12})\s*,\s*(?P<waiting>[0-9]{1,12})\s*,"
    r"\s*(?P<slots>[0-9]{1,12})\s*,\s*(?P<percent>[0-9]{1,12}(\.[0-9]{1,12})?)"
)
# Replaced on a sub-request by values of the gateway.
_OVERWRITTEN_HEADERS = frozenset(
    (DEADLINE_MS_HEADER.lower(), EXPECT_INSTANCE_HEADER.lower())
)


@dataclasses.dataclass(frozen=True)
class InboundRequest:
    """A request of a caller.

    `target` is the path with its query, as the caller sent it. `time_limit_s` is the
    time from `received_at` (monotonic clock) until the deadline. `head` holds the
    request line and the headers that all sub-requests share.
    """

    id: names.RequestId
    method: str
    target: str
    host: str
    time_limit_s: float
    received_at: float
    head: bytes
    body: bytes
    # What the caller proves its identity with, where the configuration has no
    # workspaces; empty if it does not.
    credentials: str = ""
    # Its place among the requests that wait for the same replica.
    rank: send_order.Rank = send_order.NO_WORKSPACES

    @property
    def workspace(self) -> names.WorkspaceName:
        """The workspace that the request belongs to; empty if it belongs to none."""
        return self.rank.workspace or names.WorkspaceName("")

    @functools.cached_property
    def fingerprint(self) -> quarantine.Fingerprint:
        """What this request has in common with its repetitions."""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        caller = _encode_workspace(self.workspace) or self.credentials
        for part in (self.method, self.host.lower(), self.target, caller):
            digest.update(part.encode("latin-1") + b"\n")
        digest.update(self.body)
        return quarantine.Fingerprint(digest.hexdigest())

    def render_sub_request(
        self, replica: replicas.InstanceId, remaining_s: float
    ) -> bytes:
        """Return the sub-request to a replica that has `remaining_s` to reply."""
        fields = (
            f"{DEADLINE_MS_HEADER}: {int(remaining_s * 1000)}\r\n"
            f"{EXPECT_INSTANCE_HEADER}: {replica}"
        )
        return b"%b%b\r\n\r\n%b" % (self.head, fields.encode("latin-1"), self.body)


def parse_deadline(text: str | None) -> float | None:
    """Return the seconds that a deadline header allows; None if missing or invalid."""
    try:
        milliseconds = float(text)
    except (TypeError, ValueError):
        return None
    return milliseconds / 1000 if 0 < milliseconds < 1e9 else None


def build_inbound_request(
    method: str,
    target: str,
    headers: Sequence[tuple[str, str]],
    body: bytes,
    time_limit_s: float,
    received_at: float,
    rank: send_order.Rank = send_order.NO_WORKSPACES,
) -> InboundRequest:
    """Return a request, with the head of its sub-requests already rendered.

    Without workspaces, the headers that tell who the caller is are its own.
    """
    workspace = rank.workspace
    forwarded = _list_forwarded_headers(headers)
    if workspace is not None:
        forwarded = _replace_identity(forwarded, workspace)
    head_lines = [f"{method} {target} HTTP/1.1"]
    head_lines += [f"{name}: {value}" for name, value in forwarded]
    if body or method not in ("GET", "HEAD"):
        head_lines.append(f"Content-Length: {len(body)}")
    head_lines.append("")
    return InboundRequest(
        id=names.RequestId(find_header(headers, REQUEST_ID_HEADER) or ""),
        method=method,
        target=target,
        host=find_header(headers, "Host") or "",
        time_limit_s=time_limit_s,
        received_at=received_at,
        head="\r\n".join(head_lines).encode("latin-1"),
        body=body,
        credentials=(
            (find_header(headers, CREDENTIALS_HEADER) or "")
            if workspace is None
            else ""
        ),
        rank=rank,
    )


def parse_key(headers: Iterable[tuple[str, str]]) -> routes.WorkspaceKey | None:
    """Return the key that a caller sends; None without one or with several."""
    values = [v for k, v in headers if k.lower() == CREDENTIALS_HEADER.lower()]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip(" \t").partition(" ")
    key = _decode_text(key.strip(" \t"))
    if scheme.lower() != KEY_SCHEME or not key:
        return None
    return routes.WorkspaceKey(key)


def parse_workspace(headers: Iterable[tuple[str, str]]) -> names.WorkspaceName:
    """Return the workspace that the entry host names; empty if it names none."""
    return names.WorkspaceName(
        _decode_text(find_header(headers, WORKSPACE_HEADER) or "")
    )


def _replace_identity(
    headers: Iterable[tuple[str, str]], workspace: names.WorkspaceName
) -> list[tuple[str, str]]:
    """Return headers that name a workspace in place of what the caller says it is.

    Servers may take other spellings of a name for the same header, and a line that goes
    on in the next one for two.
    """
    kept = [
        (name, _LINE_FOLD.sub(" ", value))
        for name, value in headers
        if name.strip().lower().replace("_", "-") not in _IDENTITY_HEADERS
    ]
    if workspace:
        kept.append((WORKSPACE_HEADER, _encode_workspace(workspace)))
    return kept


def _encode_workspace(workspace: names.WorkspaceName) -> str:
    """Return a name as the text of a header, whose bytes are in UTF-8."""
    return workspace.encode().decode("latin-1")


def _decode_text(text: str) -> str:
    """Return the text of a header whose bytes may be in UTF-8."""
    try:
        return text.encode("latin-1").decode()
    except UnicodeError:
        return text


def find_header(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the value of the first header with a name, ignoring case."""
    wanted = name.lower()
    return next((v for k, v in headers if k.lower() == wanted), None)


def _list_forwarded_headers(
    headers: Sequence[tuple[str, str]],
) -> list[tuple[str, str]]:
    connection_header = find_header(headers, "Connection")
    dropped = _HOP_BY_HOP_HEADERS | _OVERWRITTEN_HEADERS
    if connection_header:
        dropped = dropped | {
            name.strip().lower() for name in connection_header.split(",")
        }
    return [(k, v) for k, v in headers if k.lower() not in dropped]


def echoes_request_id(
    headers: Iterable[tuple[bytes, bytes]], request_id: names.RequestId
) -> bool:
    """Return whether the headers of a reply name a request, or none."""
    echoed_id = dict(headers).get(_REQUEST_ID_REPLY_HEADER)
    return echoed_id is None or echoed_id.decode("latin-1") == request_id


def decode_reply(raw: connections.RawReply) -> replies.Reply:
    """Decode the reply of a backend server."""
    headers_by_name = dict(raw.headers)
    signature = headers_by_name.get(_STAMP_REPLY_HEADER)
    echoed_id = headers_by_name.get(_REQUEST_ID_REPLY_HEADER)
    is_misdirected = raw.status == STATUS_MISDIRECTED
    return replies.Reply(
        status=raw.status,
        headers=raw.headers,
        body=raw.body,
        signature=None if signature is None else signature.decode("latin-1"),
        echoed_request_id=None if echoed_id is None else echoed_id.decode("latin-1"),
        not_executed=_NOT_EXECUTED_REPLY_HEADER in headers_by_name,
        is_misdirected=is_misdirected,
        promises_not_executed=raw.status in NOT_EXECUTED_STATUSES,
        has_content_encoding=_CONTENT_ENCODING_REPLY_HEADER in headers_by_name,
        rate_limit=_decode_rate_limit(headers_by_name.get(_RATE_LIMIT_REPLY_HEADER)),
        retry_after=_decode_retry_after(raw),
        is_leaving=headers_by_name.get(_LEAVING_REPLY_HEADER, b"").strip() == b"1",
        warmup=_decode_warmup(headers_by_name.get(_WARMUP_REPLY_HEADER)),
        load_report=_decode_load_report(headers_by_name.get(_LOAD_REPLY_HEADER)),
    )


def _decode_load_report(
    value: bytes | None,
) -> replies.LoadReport | replies.InvalidLoadReport | None:
    """Return what a replica says of its load, within bounds."""
    if value is None:
        return None
    text = value.decode("latin-1").strip()
    matched = _LOAD_REPORT.fullmatch(text)
    if matched is None or int(matched["slots"]) == 0:
        return replies.InvalidLoadReport(text)
    work_time_ratio = float(matched["percent"]) / 100
    return replies.LoadReport(
        running=min(int(matched["running"]), MAX_REPORTED_REQUESTS),
        waiting=min(int(matched["waiting"]), MAX_REPORTED_REQUESTS),
        slots=min(int(matched["slots"]), MAX_REPORTED_REQUESTS),
        work_time_ratio=min(
            max(work_time_ratio, MIN_WORK_TIME_RATIO), MAX_WORK_TIME_RATIO
        ),
    )


def _decode_retry_after(
    raw: connections.RawReply,
) -> replies.RetryAfter | replies.InvalidRetryAfter | None:
    """Return the pause that a refusal asks for; the longest if it names several."""
    if raw.status != STATUS_UNAVAILABLE:
        return None
    texts = [
        value.decode("latin-1").strip()
        for name, value in raw.headers
        if name == _RETRY_AFTER_REPLY_HEADER
    ]
    delays_s = [float(text) for text in texts if _DECIMAL_NUMBER.fullmatch(text)]
    if delays_s:
        return replies.RetryAfter(max(delays_s))
    return replies.InvalidRetryAfter(texts[0]) if texts else None


def _decode_warmup(
    value: bytes | None,
) -> replies.Warmup | replies.InvalidWarmup | None:
    if value is None:
        return None
    text = value.decode("latin-1").strip()
    if not _DECIMAL_NUMBER.fullmatch(text):
        return replies.InvalidWarmup(text)
    return replies.Warmup(float(text) / 1000)


def _decode_rate_limit(
    value: bytes | None,
) -> replies.RateLimit | replies.InvalidRateLimit | None:
    if value is None:
        return None
    text = value.decode("latin-1").strip()
    if not _DECIMAL_NUMBER.fullmatch(text):
        return replies.InvalidRateLimit(text)
    return replies.RateLimit(float(text))


def says_not_executed(raw: connections.RawReply) -> bool:
    """Return whether a reply says that the request was not executed."""
    return _NOT_EXECUTED_REPLY_HEADER in dict(raw.headers)


def list_reply_headers(reply: replies.Reply) -> list[tuple[str, str]]:
    """Return the headers of a replica's reply that are forwarded to the caller."""
    return [
        (_capitalize_header(name), value.decode("latin-1"))
        for name, value in reply.headers
        if name.decode("latin-1") not in _HOP_BY_HOP_HEADERS
    ]


@functools.lru_cache(maxsize=256)
def _capitalize_header(name: bytes) -> str:
    return "-".join(word.capitalize() for word in name.decode("latin-1").split("-"))


def list_gather_headers(
    request_id: names.RequestId, signatures: Sequence[str], missing: int
) -> list[tuple[str, str]]:
    """Return the headers of an answer that is merged from several shards."""
    return [
        (REQUEST_ID_HEADER, request_id),
        (PART_STAMPS_HEADER, ", ".join(signatures)),
        (MISSING_PARTS_HEADER, str(missing)),
    ]
