"""The HTTP interface of callers: one WSGI application for each entry host."""

import re
import time
import uuid
from collections.abc import Callable

import logbook
import msgspec

from corianderrill import names, outcomes, plan, status

QUERY_PATH = "/v1/query"
COVERAGE_HEADER = "Corianderrill-Coverage"
SNAPSHOT_HEADER = "Corianderrill-Snapshot"
REVISION_HEADER = "Corianderrill-Revision"
REQUEST_HEADER = "Corianderrill-Request"
MAX_REQUEST_ID_CHARACTERS = 128
# A request id stands in a header of the reply.
REQUEST_ID = re.compile(f"[!-~]{{0,{MAX_REQUEST_ID_CHARACTERS}}}")
LENGTH = re.compile("[0-9]{1,18}")

log = logbook.Logger("entry")
_decode_request = msgspec.json.Decoder(plan.QueryRequest).decode


class MissingView(msgspec.Struct):
    """A missing shard in the body of an answer."""

    shard: str
    reason: str


class CoverageView(msgspec.Struct):
    """The coverage in the body of an answer; `share` runs from 0 to 1."""

    asked: int
    answered: int
    share: float
    missing: list[MissingView]


class LabelView(msgspec.Struct):
    """The label in the body of an answer."""

    snapshot: str
    revision: int
    confirmed_age_s: float
    coverage: CoverageView
    rows_left_out: int = 0


class RowView(msgspec.Struct):
    """A row in the body of an answer."""

    key: str
    shard: str
    fields: dict[str, object]


class AnswerView(msgspec.Struct, omit_defaults=True):
    """The body of every reply to a caller."""

    request_id: str
    outcome: str
    detail: str = ""
    reason: str = ""
    label: LabelView | None = None
    rows: list[RowView] | None = None


class Header(msgspec.Struct, frozen=True):
    """One header of an HTTP reply."""

    name: str
    value: str


class Reply(msgspec.Struct, frozen=True):
    """An HTTP reply."""

    status: str
    body: bytes
    headers: tuple[Header, ...] = ()


class EntryApplication:
    """Decodes requests, has them answered, and encodes outcomes (WSGI)."""

    def __init__(
        self,
        answer: Callable[[plan.QueryRequest], outcomes.Outcome],
        is_ready: Callable[[], bool],
        max_body_bytes: int,
    ):
        self._answer = answer
        self._is_ready = is_ready
        self._max_body_bytes = max_body_bytes
        self._routes = {
            ("POST", QUERY_PATH): self._serve_query,
            ("GET", "/healthz"): self._serve_health,
            ("GET", "/readyz"): self._serve_readiness,
        }

    def __call__(self, environ, start_response):
        """Serve one HTTP request."""
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        serve = self._routes.get(route, _serve_unknown)
        reply = serve(environ)
        headers = [(header.name, header.value) for header in reply.headers]
        headers.append(("Content-Length", str(len(reply.body))))
        start_response(reply.status, headers)
        return [reply.body]

    def _serve_health(self, environ) -> Reply:
        return Reply("200 OK", b"ok\n")

    def _serve_readiness(self, environ) -> Reply:
        if self._is_ready():
            return Reply("200 OK", b"ready\n")
        return Reply("503 Service Unavailable", b"not ready\n")

    def _serve_query(self, environ) -> Reply:
        request = self._read_request(environ)
        match request:
            case outcomes.NotRun():
                return present(names.RequestId(""), request)
            case plan.QueryRequest():
                return present(request.request_id, self._answer_safely(request))

    def _answer_safely(self, request: plan.QueryRequest) -> outcomes.Outcome:
        """Answer; a fault of this program leaves the outcome unknown, and told so."""
        try:
            return self._answer(request)
        except Exception:
            log.exception("request {} failed", request.request_id)
            return outcomes.Unknown("this host failed; the request may have run")

    def _read_request(self, environ) -> plan.QueryRequest | outcomes.NotRun:
        length = environ.get("CONTENT_LENGTH") or ""
        if not LENGTH.fullmatch(length):
            return _refuse("the request has no Content-Length in digits; send one")
        if int(length) > self._max_body_bytes:
            return _refuse(f"the body is over {self._max_body_bytes} bytes; shorten it")
        try:
            request = _decode_request(environ["wsgi.input"].read(int(length)))
        except (msgspec.DecodeError, RecursionError) as error:
            return _refuse(f"body: {error}; see the manual for the form of a query")
        if not REQUEST_ID.fullmatch(request.request_id):
            limit = MAX_REQUEST_ID_CHARACTERS
            return _refuse(
                "request_id: neither empty nor made of up to "
                f"{limit} printable ASCII characters without spaces; mend it"
            )
        if request.request_id:
            return request
        return msgspec.structs.replace(request, request_id=make_request_id())


def make_request_id() -> names.RequestId:
    """Return a new id that holds the time of its issue, as claims need it."""
    return names.RequestId(f"{time.time_ns() // 1_000_000}-{uuid.uuid4().hex}")


def present(request_id: names.RequestId, outcome: outcomes.Outcome) -> Reply:
    """Return the HTTP reply that tells an outcome."""
    chosen = status.status_for(outcome)
    view = AnswerView(request_id=request_id, outcome=chosen.header_value)
    headers = [
        Header("Content-Type", "application/json"),
        Header(status.OUTCOME_HEADER, chosen.header_value),
        Header(REQUEST_HEADER, request_id),
    ]
    match outcome:
        case outcomes.Complete(rows, label) | outcomes.Partial(rows, label):
            view.rows = [_view_row(row) for row in rows]
            view.label = _view_label(label)
            headers += _list_label_headers(label)
        case outcomes.Insufficient(minimum_coverage, label):
            share = label.coverage.share
            view.detail = f"coverage {share:.4f} is below {minimum_coverage}"
            view.label = _view_label(label)
            headers += _list_label_headers(label)
        case outcomes.NotRun(reason, detail):
            view.reason = reason.value
            view.detail = detail
        case outcomes.Unknown(detail):
            view.detail = detail
    line = f"{chosen.http_status.value} {chosen.http_status.phrase}"
    return Reply(line, msgspec.json.encode(view), tuple(headers))


def _serve_unknown(environ) -> Reply:
    return Reply("404 Not Found", f"use POST {QUERY_PATH}\n".encode())


def _refuse(detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.RefusalReason.BAD_REQUEST, detail)


def _view_row(row: outcomes.Row) -> RowView:
    return RowView(row.key, str(row.shard), row.fields)


def _view_label(label: outcomes.AnswerMetadata) -> LabelView:
    coverage = label.coverage
    missing = [
        MissingView(str(missing.shard), missing.reason.value)
        for missing in coverage.missing
    ]
    return LabelView(
        snapshot=str(label.snapshot),
        revision=label.revision,
        confirmed_age_s=label.confirmed_age_s,
        coverage=CoverageView(
            coverage.asked, coverage.answered, coverage.share, missing
        ),
        rows_left_out=label.left_out,
    )


def _list_label_headers(label: outcomes.AnswerMetadata) -> list[Header]:
    return [
        Header(COVERAGE_HEADER, f"{label.coverage.answered}/{label.coverage.asked}"),
        Header(SNAPSHOT_HEADER, str(label.snapshot)),
        Header(REVISION_HEADER, str(label.revision)),
    ]
