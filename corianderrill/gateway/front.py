"""The address of callers: a WSGI application that forwards each request."""

import dataclasses
import itertools
from collections.abc import Callable, Iterable

import eventlet
from eventlet import event, wsgi

from corianderrill import metrics
from corianderrill.gateway import (
    callers,
    coordinator,
    decisions,
    replicas,
    replies,
    routes,
    targets,
    tools,
    top_records,
)
from corianderrill.platform import requests

IN_FLIGHT_AT_MOST = 600
# Retry times spread the return of callers that were refused together.
RETRY_SOON_S = 0.05
RETRY_SPREAD_S = 0.15
RETRY_WITHOUT_CONFIGURATION_S = 0.2
# A host reads the configuration within this time of its start, if the store answers.
START_S = 0.25
START_STEP_S = 0.01
# A host that is cut off tries so often whether it still is.
TRY_EVERY_S = 0.4
# Idle connections outlive the time that callers reuse them for.
IDLE_FACTOR = 1.5
IDLE_AT_LEAST_S = 60.0
# A connection that was just set up took its caller two ways more.
FIRST_REQUEST_MARGIN_S = 0.007

_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

StartResponse = Callable[[str, list[tuple[str, str]]], object]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller gets."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Front:
    """Answers the requests of callers."""

    def __init__(self, shared: tools.Tools) -> None:
        self._tools = shared
        self._distribution = targets.Distribution(shared.rng)
        self._started_at = shared.loop.now()
        self._tried_at = 0.0
        self.in_flight = 0
        self.is_leaving = False

    def __call__(
        self, environ: dict[str, object], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        received_at = self._tools.loop.now()
        self.in_flight += 1
        try:
            answer = self._serve(environ, received_at)
        finally:
            self.in_flight -= 1
        if self.is_leaving or answer is None:
            environ["corianderrill.connection"].close_connection = True
        if answer is None:
            answer = Answer(502, [], b"")
        reason = _REASONS.get(answer.status, "Unknown")
        headers = [*answer.headers, ("Content-Length", str(len(answer.body)))]
        start_response(f"{answer.status} {reason}", headers)
        return [answer.body]

    def read_header_s(self) -> float:
        """Return how long a caller may take to send its headers, in seconds."""
        configuration = self._tools.view.configuration
        limits = routes.Limits() if configuration is None else configuration.limits
        return limits.header_timeout_s

    def read_idle_s(self) -> float:
        """Return how long a connection without a request is kept, in seconds."""
        configuration = self._tools.view.configuration
        if configuration is None:
            return IDLE_AT_LEAST_S
        return max(IDLE_FACTOR * configuration.limits.idle_timeout_s, IDLE_AT_LEAST_S)

    def _serve(self, environ: dict[str, object], received_at: float) -> Answer | None:
        headers = environ["headers_raw"]
        request_id = requests.find_header(headers, requests.REQUEST_ID) or ""
        configuration = self._wait_for_configuration(received_at)
        if configuration is None:
            return self._refuse(
                request_id, "", 503, "no-configuration", RETRY_WITHOUT_CONFIGURATION_S
            )
        path = environ["RAW_PATH_INFO"]
        host = requests.find_header(headers, "Host") or ""
        route = configuration.find(host, path)
        if route is None:
            return self._refuse(request_id, "", 404, "no-route")
        if not request_id:
            return self._refuse(request_id, route.name, 400, "no-request-id")
        if self.in_flight > IN_FLIGHT_AT_MOST:
            return self._refuse(
                request_id, route.name, 503, "too-many-in-flight", RETRY_SOON_S
            )
        header_bytes = sum(len(k) + len(v) + 4 for k, v in headers)
        if header_bytes > configuration.limits.header_bytes:
            return self._refuse(request_id, route.name, 431, "headers-too-large")
        try:
            body = _read_body(environ, configuration.limits.body_bytes)
        except OSError as error:
            self._note_broken_body(request_id, route.name, error)
            return None
        except wsgi.ChunkReadError:
            return self._refuse(request_id, route.name, 400, "body-malformed")
        if body is None:
            return self._refuse(request_id, route.name, 413, "body-too-large")
        query = environ.get("QUERY_STRING")
        told_s = requests.read_deadline(
            requests.find_header(headers, requests.DEADLINE_MS)
        )
        inbound = requests.build_inbound(
            environ["REQUEST_METHOD"],
            f"{path}?{query}" if query else path,
            headers,
            body,
            told_s or route.timeout_s,
            received_at,
        )
        return self._forward(environ, inbound, route)

    def _note_broken_body(self, request_id: str, route: str, error: OSError) -> None:
        self._tools.meter.count(metrics.GATEWAY_REFUSALS, "body-incomplete")
        self._tools.log.record(
            decisions.BodyIncomplete(
                request_id=request_id, route=route, error=str(error)
            )
        )

    def _wait_for_configuration(self, now: float) -> routes.Configuration | None:
        """Return the configuration; a host that just started is about to read it."""
        view = self._tools.view
        while view.configuration is None and now - self._started_at < START_S:
            eventlet.sleep(START_STEP_S)
            now = self._tools.loop.now()
        return view.configuration

    def _forward(
        self,
        environ: dict[str, object],
        inbound: requests.Inbound,
        route: routes.Route,
    ) -> Answer | None:
        services = self._distribution.list_services(route)
        reason = self._find_obstacle(route, services, inbound.received_at)
        if reason is not None:
            return self._refuse(inbound.id, route.name, 503, reason, RETRY_SOON_S)
        connection = environ["corianderrill.connection"]
        margin_s = coordinator.ANSWER_DELIVERY_MARGIN_S
        if connection.requests_served == 0:
            margin_s += FIRST_REQUEST_MARGIN_S
        connection.requests_served += 1
        concluded = event.Event()
        work = coordinator.RequestCoordinator(
            self._tools, inbound, route, services, concluded.send, margin_s
        )
        caller = callers.CallerWatch(
            environ["eventlet.input"].get_socket(), work.handle_caller_disconnect
        )
        try:
            work.start()
            conclusion = concluded.wait()
        finally:
            caller.stop()
        answer = self._compose(work, conclusion)
        self._record(work, conclusion, answer)
        return answer

    def _find_obstacle(
        self, route: routes.Route, services: tuple[str, ...], now: float
    ) -> str | None:
        """Return why a request is known not to be servable, if it is."""
        least = route.count_needed(len(services))
        known = [self._list_replicas(service, now) for service in services]
        if sum(map(bool, known)) < least:
            return "no-replicas"
        if sum(self._is_in_reach(servers, now) for servers in known) >= least:
            return None
        if now - self._tried_at >= TRY_EVERY_S:
            # Shows when the zones are back.
            self._tried_at = now
            return None
        return "zones-cut-off"

    def _list_replicas(self, service: str, now: float) -> list[replicas.Replica]:
        view = self._tools.view
        return view.list_ready(service) or view.list_spare(service, now)

    def _is_in_reach(self, servers: list[replicas.Replica], now: float) -> bool:
        zones = self._tools.zone_detector
        return any(
            not zones.is_suspect(replica.registration.zone, now) for replica in servers
        )

    # Answers.

    def _compose(
        self,
        work: coordinator.RequestCoordinator,
        conclusion: coordinator.RequestOutcome,
    ) -> Answer | None:
        match conclusion:
            case (
                coordinator.RequestOutcome.COMPLETE | coordinator.RequestOutcome.PARTIAL
            ):
                return self._compose_success(work)
            case coordinator.RequestOutcome.ERROR_REPLY:
                return _copy_reply(work.sub_requests[0].error_reply)
            case coordinator.RequestOutcome.NOT_EXECUTED:
                retry = self._draw_retry(RETRY_SOON_S)
                return Answer(503, [_echo(work.request.id), retry], b"")
            case coordinator.RequestOutcome.INDETERMINATE:
                return Answer(502, [_echo(work.request.id)], b"")
            case coordinator.RequestOutcome.TIMED_OUT:
                return Answer(504, [_echo(work.request.id)], b"")
            case coordinator.RequestOutcome.CALLER_DISCONNECTED:
                return None

    def _compose_success(self, work: coordinator.RequestCoordinator) -> Answer:
        match work.route.target:
            case routes.Gather(top=top):
                replies = [
                    slot.reply for slot in work.sub_requests if slot.reply is not None
                ]
                headers = requests.list_gather_headers(
                    work.request.id,
                    [reply.signature for reply in replies],
                    len(work.sub_requests) - len(replies),
                )
                bodies = (reply.body for reply in replies)
                return Answer(200, headers, top_records.merge_top_records(bodies, top))
            case _:
                return _copy_reply(work.sub_requests[0].reply)

    def _refuse(
        self,
        request_id: str,
        route: str,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> Answer:
        headers = [_echo(request_id)] if request_id else []
        if retry_after_s is not None:
            headers.append(self._draw_retry(retry_after_s))
        configuration = self._tools.view.configuration
        self._tools.meter.count(metrics.GATEWAY_REFUSALS, reason)
        self._tools.log.record(
            decisions.RequestRefused(
                request_id=request_id,
                route=route,
                version=None if configuration is None else configuration.version,
                status=status,
                reason=reason,
                retry_after_s=retry_after_s,
                in_flight=self.in_flight,
            )
        )
        return Answer(status, headers, b"")

    def _draw_retry(self, least_s: float) -> tuple[str, str]:
        after_s = least_s + RETRY_SPREAD_S * self._tools.rng.random()
        return ("Retry-After", f"{after_s:.3f}")

    # The log.

    def _record(
        self,
        work: coordinator.RequestCoordinator,
        conclusion: coordinator.RequestOutcome,
        answer: Answer | None,
    ) -> None:
        now = self._tools.loop.now()
        took_s = now - work.request.received_at
        missing = sum(slot.reply is None for slot in work.sub_requests)
        self._count(work.route.name, conclusion, took_s, missing)
        routine = (
            conclusion is coordinator.RequestOutcome.COMPLETE
            and took_s < work.route.goal_s
        )
        self._tools.log.record(
            decisions.RequestEnded(
                request_id=work.request.id,
                route=work.route.name,
                version=work.version,
                status=0 if answer is None else answer.status,
                outcome=conclusion.value,
                took_ms=round(1000 * took_s, 1),
                goal_ms=round(1000 * work.route.goal_s, 1),
                left_ms=round(1000 * (work.deadline_at - now), 1),
                parts=sum(slot.reply is not None for slot in work.sub_requests),
                missing=missing,
                repeats=work.extra_attempts,
                denied=work.denied_extra_attempts,
                attempts=[] if routine else _tell_attempts(work),
            )
        )

    def _count(
        self,
        route: str,
        conclusion: coordinator.RequestOutcome,
        took_s: float,
        missing: int,
    ) -> None:
        meter = self._tools.meter
        meter.count(metrics.GATEWAY_REQUESTS, route, conclusion.value)
        meter.observe(metrics.GATEWAY_SECONDS, took_s, route)
        if conclusion is coordinator.RequestOutcome.PARTIAL:
            meter.count(metrics.GATEWAY_MISSING_PARTS, by=missing)


def _echo(request_id: str) -> tuple[str, str]:
    return (requests.REQUEST_ID, request_id)


def _copy_reply(reply: replies.Reply) -> Answer:
    return Answer(reply.status, requests.list_reply_headers(reply), reply.body)


def _read_body(environ: dict[str, object], at_most: int) -> bytes | None:
    """Return the body of a request; nothing where it is longer than allowed.

    Raises ConnectionError where the caller left before it had sent all of it.
    """
    stream = environ["wsgi.input"]
    length = environ.get("CONTENT_LENGTH")
    if length is None:
        body = stream.read(at_most + 1) if stream.chunked_input else b""
        return body if len(body) <= at_most else None
    if int(length) > at_most:
        return None
    body = stream.read()
    if len(body) < int(length):
        raise ConnectionError("the caller left in the middle of its request")
    return body


def _tell_attempts(work: coordinator.RequestCoordinator) -> list[decisions.AttemptTold]:
    began = work.request.received_at
    attempts = itertools.chain.from_iterable(
        slot.attempts for slot in work.sub_requests
    )
    return [
        decisions.AttemptTold(
            service=attempt.sub_request.service,
            replica=replicas.InstanceId(attempt.replica.id),
            why=attempt.reason,
            at_ms=round(1000 * (attempt.started_at - began), 1),
            sent_ms=_round_ms(attempt.sent_at, began),
            ended_ms=_round_ms(attempt.ended_at, began),
            outcome=attempt.outcome,
        )
        for attempt in attempts
    ]


def _round_ms(at: float | None, began: float) -> float | None:
    return None if at is None else round(1000 * (at - began), 1)
