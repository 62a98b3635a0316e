"""HTTP interface of operators: time line, status and metrics of one host.

It has an address of its own and asks for a bearer token. Nothing here changes the
host: configuration is published through the platform's key-value service.
"""

import dataclasses
import http
import urllib.parse
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from corianderrill import credentials, metrics, names, serving, timeline

JSON_TYPE = "application/json"
TIMELINE_PATH = "/v1/timeline"
STATUS_PATH = "/v1/status"
METRICS_PATH = "/metrics"
IN_FORCE_PATH = "/v1/in-force"
IN_FORCE_WAIT_AT_MOST_S = 60.0
QUERY_CHARACTERS_AT_MOST = 4_096
BOUNDS = serving.Bounds(
    connections_at_most=64, body_bytes_at_most=0, slow_sender_s=5.0, idle_s=60.0
)


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """What the interface shows.

    `read_status` returns what msgspec can encode; `refresh_metrics` copies what other
    parts count into the recorder. `count_in_force` asks the live hosts for a key, a
    revision and a longest wait in seconds; None where the host can't ask them.
    """

    token: credentials.Secret
    recorder: metrics.Recorder
    events: timeline.Timeline
    read_status: Callable[[], object]
    refresh_metrics: Callable[[], None] = lambda: None
    count_in_force: Callable[[str, names.Revision, float], object] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply of HTTP."""

    status: http.HTTPStatus
    body: bytes
    headers: Mapping[str, str] = dataclasses.field(
        default_factory=lambda: {"Content-Type": JSON_TYPE}
    )


def build_app(sources: Sources) -> Callable[[dict, Callable], Iterable[bytes]]:
    """Return the WSGI application."""

    def answer(environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        reply = _answer(sources, environ)
        headers = {**reply.headers, "Content-Length": str(len(reply.body))}
        status = f"{reply.status.value} {reply.status.phrase}"
        start_response(status, list(headers.items()))
        return [reply.body]

    return answer


def _answer(sources: Sources, environ: Mapping[str, Any]) -> Reply:
    if not _is_allowed(sources.token, environ.get("HTTP_AUTHORIZATION", "")):
        sources.recorder.count(metrics.BAD_REQUESTS, "token")
        refusal = _refuse(http.HTTPStatus.UNAUTHORIZED, "a bearer token is needed")
        headers = {**refusal.headers, "WWW-Authenticate": "Bearer"}
        return dataclasses.replace(refusal, headers=headers)
    if environ["REQUEST_METHOD"] != "GET":
        refusal = _refuse(http.HTTPStatus.METHOD_NOT_ALLOWED, "only GET is answered")
        return dataclasses.replace(refusal, headers={**refusal.headers, "Allow": "GET"})
    show = _ROUTES.get(environ.get("PATH_INFO", ""))
    if show is None:
        paths = ", ".join(_ROUTES)
        return _refuse(http.HTTPStatus.NOT_FOUND, f"the paths are {paths}")
    return show(sources, environ)


def _is_allowed(token: credentials.Secret, header: str) -> bool:
    scheme, _, given = header.partition(" ")
    return token.matches(given.strip()) and scheme.lower() == "bearer"


def _show_status(sources: Sources, environ: Mapping[str, Any]) -> Reply:
    return Reply(http.HTTPStatus.OK, msgspec.json.encode(sources.read_status()))


def _show_metrics(sources: Sources, environ: Mapping[str, Any]) -> Reply:
    sources.refresh_metrics()
    sources.recorder.set_total(metrics.EVENTS_RECORDED, sources.events.recorded)
    body, headers = sources.recorder.render(environ.get("HTTP_ACCEPT", ""))
    return Reply(http.HTTPStatus.OK, body, headers)


def _show_timeline(sources: Sources, environ: Mapping[str, Any]) -> Reply:
    text = environ.get("QUERY_STRING", "")
    if len(text) > QUERY_CHARACTERS_AT_MOST:
        return _refuse(http.HTTPStatus.REQUEST_URI_TOO_LONG, "the filter is too long")
    fields = dict(urllib.parse.parse_qsl(text, errors="replace"))
    limit = fields.pop("limit", str(timeline.EVENTS_ASKED_AT_MOST))
    known = {field.name for field in dataclasses.fields(timeline.Filter)}
    unknown = sorted(fields.keys() - known)
    if unknown:
        message = f"unknown filter {unknown[0][:40]!r}: known are {sorted(known)}"
        return _refuse(http.HTTPStatus.BAD_REQUEST, message)
    if not (limit.isascii() and limit.isdigit() and len(limit) <= 9):
        return _refuse(http.HTTPStatus.BAD_REQUEST, "limit: expected a whole number")
    page = sources.events.read(
        timeline.Filter(**fields), min(int(limit), timeline.EVENTS_ASKED_AT_MOST)
    )
    return Reply(http.HTTPStatus.OK, msgspec.json.encode(page))


def _show_in_force(sources: Sources, environ: Mapping[str, Any]) -> Reply:
    text = environ.get("QUERY_STRING", "")
    if len(text) > QUERY_CHARACTERS_AT_MOST:
        return _refuse(http.HTTPStatus.REQUEST_URI_TOO_LONG, "the query is too long")
    fields = dict(urllib.parse.parse_qsl(text, errors="replace"))
    try:
        key = fields["key"]
        revision = names.Revision(int(fields["revision"]))
        wait_s = min(float(fields["timeout_s"]), IN_FORCE_WAIT_AT_MOST_S)
    except (KeyError, ValueError):
        message = "expected key, revision (a whole number) and timeout_s (seconds)"
        return _refuse(http.HTTPStatus.BAD_REQUEST, message)
    if sources.count_in_force is None:
        message = "this host can't ask the others: ask another host"
        return _refuse(http.HTTPStatus.SERVICE_UNAVAILABLE, message)
    counted = sources.count_in_force(key, revision, wait_s)
    return Reply(http.HTTPStatus.OK, msgspec.json.encode(counted))


def _refuse(status: http.HTTPStatus, message: str) -> Reply:
    return Reply(status, msgspec.json.encode({"error": message}))


_ROUTES = {
    TIMELINE_PATH: _show_timeline,
    STATUS_PATH: _show_status,
    METRICS_PATH: _show_metrics,
    IN_FORCE_PATH: _show_in_force,
}
