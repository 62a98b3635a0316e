"""The responses to callers, and the one that an outcome calls for."""

import dataclasses
import random
from collections.abc import Callable

from corianderrill.gateway import (
    coordinator,
    replies,
    request_outcomes,
    routes,
    top_records,
)
from corianderrill.platform import requests

MIN_RETRY_AFTER_S = 0.05
# `Retry-After` has random jitter, so that callers refused at the same time don't all
# retry at the same time.
RETRY_AFTER_JITTER_S = 0.15
# The jitter of longer delays, as a ratio of the delay.
RETRY_AFTER_JITTER_RATIO = 0.25

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

StartResponse = Callable[[str, list[tuple[str, str]]], object]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The response to a caller."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def build_response(
    request_coordinator: coordinator.RequestCoordinator,
    outcome: request_outcomes.Outcome,
    rng: random.Random,
) -> Response | None:
    """Return the response to a request that has an outcome; None without a caller."""
    id_header = build_id_header(request_coordinator.request.id)
    match outcome:
        case request_outcomes.Outcome.COMPLETE | request_outcomes.Outcome.PARTIAL:
            return _build_success_response(request_coordinator)
        case request_outcomes.Outcome.ERROR_REPLY:
            return _convert_reply(request_coordinator.sub_requests[0].error_reply)
        case request_outcomes.Outcome.NOT_EXECUTED:
            retry_after = build_retry_after(
                max(request_coordinator.retry_after_s or 0.0, MIN_RETRY_AFTER_S), rng
            )
            return Response(503, [id_header, retry_after], b"")
        case request_outcomes.Outcome.INDETERMINATE:
            return Response(502, [id_header], b"")
        case request_outcomes.Outcome.TIMED_OUT:
            return Response(504, [id_header], b"")
        case request_outcomes.Outcome.CALLER_DISCONNECTED:
            return None


def _build_success_response(
    request_coordinator: coordinator.RequestCoordinator,
) -> Response:
    match request_coordinator.route.target:
        case routes.ScatterGather(top_k=top_k):
            parts = request_coordinator.collect_parts()
            headers = requests.list_gather_headers(
                request_coordinator.request.id,
                parts.signatures,
                len(request_coordinator.sub_requests) - len(parts.shards),
            )
            return Response(
                200, headers, top_records.merge_top_records(parts.bodies, top_k)
            )
        case _:
            return _convert_reply(request_coordinator.sub_requests[0].reply)


def _convert_reply(reply: replies.Reply) -> Response:
    return Response(reply.status, requests.list_reply_headers(reply), reply.body)


def build_id_header(request_id: str) -> tuple[str, str]:
    """Return the header with the id of the request."""
    return (requests.REQUEST_ID_HEADER, request_id)


def build_retry_after(min_delay_s: float, rng: random.Random) -> tuple[str, str]:
    """Return the header with the time after which the caller may retry."""
    spread_s = max(RETRY_AFTER_JITTER_S, RETRY_AFTER_JITTER_RATIO * min_delay_s)
    delay_s = min_delay_s + spread_s * rng.random()
    return (requests.RETRY_AFTER_HEADER, f"{delay_s:.3f}")
