"""The WSGI application that answers the queries that other hosts delegate."""

from collections.abc import Iterable, Iterator

import eventlet
from eventlet import event

from corianderrill import metrics
from corianderrill.gateway import (
    authentication,
    caller_connections,
    caller_input,
    coordinator,
    delegation,
    delegation_messages,
    event_log,
    in_flight,
    quota_app,
    quota_messages,
    replica_notices,
    request_outcomes,
    request_records,
    responses,
    routes,
    shared_state,
    store_relay,
    top_records,
    unread_input,
)
from corianderrill.platform import requests, store

# More queries at once would make all of them late.
MAX_IN_FLIGHT_QUERIES_PER_CORE = 24.0
MIN_IN_FLIGHT_QUERIES = 4.0
# While a query is worked on, the host that delegated it is told so at this interval.
CONFIRMATION_INTERVAL_S = 0.1
# Hosts may keep an idle connection for this long.
KEEP_ALIVE_S = 30
# How long an aggregator tells other hosts that a replica leaves.
LEAVING_NOTICE_S = 30.0

# Requests to these paths are no queries.
OTHER_PATHS = (store.RANGE_PATH, store.WATCH_PATH, quota_messages.PATH)


class AggregatorApp:
    """Validates delegated queries, sends their sub-requests and merges the parts."""

    def __init__(
        self,
        shared: shared_state.SharedState,
        relay: store_relay.StoreRelay,
        capacity_cores: float,
    ) -> None:
        self._shared = shared
        self._max_in_flight = max(
            MAX_IN_FLIGHT_QUERIES_PER_CORE * capacity_cores, MIN_IN_FLIGHT_QUERIES
        )
        self._relay = relay
        self.in_flight = in_flight.InFlightRequests()
        self._is_shutting_down = False

    def begin_shutdown(self, _must_end_at: float) -> None:
        """Refuse queries, and end connections after their response."""
        self._is_shutting_down = True

    def get_header_timeout_s(self) -> float:
        """Return how long a host may take to send the headers, in seconds."""
        return routes.CallerLimits().header_timeout_s

    def get_idle_timeout_s(self) -> float:
        """Return how long an idle connection of a host is kept open, in seconds."""
        return 2.0 * KEEP_ALIVE_S

    def __call__(
        self, environ: dict[str, object], start_response: responses.StartResponse
    ) -> Iterable[bytes]:
        """Serve a delegated query, a call to the store or a message about quotas."""
        is_query = environ["RAW_PATH_INFO"] not in OTHER_PATHS
        response = (
            self._serve_counted(environ) if is_query else self._serve_other(environ)
        )
        if self._is_shutting_down:
            environ["corianderrill.connection"].close_connection = True
        leaving = self._list_leaving() if is_query else ()
        headers = [
            *response.headers,
            *delegation_messages.list_leaving_headers(leaving),
            ("Keep-Alive", f"timeout={KEEP_ALIVE_S}"),
            ("Content-Length", str(len(response.body))),
        ]
        phrase = responses.REASON_PHRASES[response.status]
        start_response(f"{response.status} {phrase}", headers)
        if not is_query:
            return [response.body]
        return in_flight.ResponseBody(response.body, self.in_flight.end_writing)

    def _list_leaving(self) -> Iterator[replica_notices.LeavingProcess]:
        """Yield the processes of replicas that announced recently that they leave."""
        since = self._shared.loop.now() - LEAVING_NOTICE_S
        for registration in self._shared.view.list_leaving(since):
            yield replica_notices.LeavingProcess(
                registration.id, registration.started_at_ms
            )

    def _serve_other(self, environ: dict[str, object]) -> responses.Response:
        if environ["RAW_PATH_INFO"] == quota_messages.PATH:
            return quota_app.respond(self._shared, environ)
        body = self._relay.answer(
            environ["RAW_PATH_INFO"], environ.get("QUERY_STRING") or ""
        )
        if body is None:
            return responses.Response(503, [], b"")
        headers = [
            ("Content-Type", "application/json"),
            (store.ERA_HEADER, str(self._relay.history.era)),
        ]
        return responses.Response(200, headers, body)

    def _serve_counted(self, environ: dict[str, object]) -> responses.Response:
        self.in_flight.begin()
        try:
            return self._serve(environ)
        except BaseException:
            self.in_flight.end_writing()
            raise
        finally:
            self.in_flight.end_serving()

    def _serve(self, environ: dict[str, object]) -> responses.Response:
        received_at = self._shared.loop.now()
        headers = environ["headers_raw"]
        request_id = requests.find_header(headers, requests.REQUEST_ID_HEADER) or ""
        try:
            terms = delegation_messages.parse_terms(headers)
        except delegation_messages.MessageError as error:
            return self._refuse(request_id, str(error))
        configuration = self._shared.view.configuration
        host = requests.find_header(headers, "Host") or ""
        path = environ["RAW_PATH_INFO"]
        if configuration is None or configuration.version != terms.version:
            return self._refuse(request_id, "other-version")
        selected = configuration.select_route(host, path)
        if selected is None or not _covers(selected.route, terms.shards):
            return self._refuse(request_id, "no-route")
        if self._is_shutting_down or self.in_flight.served > self._max_in_flight:
            return self._refuse(request_id, "no-capacity")
        sock = environ["eventlet.input"].get_socket()
        if not _confirm(sock):
            return self._refuse(request_id, "disconnected")
        try:
            body = environ["wsgi.input"].read_body(configuration.limits.max_body_bytes)
        except (OSError, caller_input.InputError) as error:
            return self._refuse(request_id, f"body incomplete: {error}")
        inbound = requests.build_inbound_request(
            environ["REQUEST_METHOD"],
            environ["corianderrill.target"],
            delegation_messages.strip_terms(headers),
            body,
            requests.parse_deadline(
                requests.find_header(headers, requests.DEADLINE_MS_HEADER)
            )
            or selected.route.timeout_s,
            received_at,
            authentication.accept_delegated(selected, headers).rank,
        )
        return self._answer(sock, inbound, selected, terms)

    def _answer(
        self,
        sock: object,
        inbound: requests.InboundRequest,
        selected: routes.SelectedRoute,
        terms: delegation_messages.Terms,
    ) -> responses.Response:
        outcome_event = event.Event()
        query = coordinator.RequestCoordinator(
            self._shared,
            inbound,
            selected,
            tuple(selected.route.target.shards[index] for index in terms.shards),
            outcome_event.send,
            mode=(
                delegation.Mode.OTHER_ZONES
                if terms.may_delegate
                else delegation.Mode.NOTHING
            ),
            terms=terms,
            is_caller_connected=lambda: _is_connected(sock),
        )
        watcher = caller_connections.DisconnectWatcher(
            sock, query.handle_caller_disconnect, delay_s=0.0
        )
        self.in_flight.forwarded.add(query)
        try:
            query.start()
            outcome = _wait_and_confirm(outcome_event, sock)
        finally:
            self.in_flight.forwarded.discard(query)
            watcher.stop()
        self._record(inbound, query, outcome)
        request_records.record_held_in_queue(self._shared, query)
        response = _build_response(query, outcome)
        query.release()
        return response

    def _record(
        self,
        inbound: requests.InboundRequest,
        query: coordinator.RequestCoordinator,
        outcome: request_outcomes.Outcome,
    ) -> None:
        self._shared.meter.count(metrics.GATEWAY_DELEGATED_QUERIES, outcome.value)
        took_s = self._shared.loop.now() - inbound.received_at
        self._shared.log.record(
            event_log.DelegatedQueryEnded(
                request_id=inbound.id,
                shards=len(query.sub_requests),
                parts=query.progress.count_parts(),
                outcome=outcome.value,
                took_ms=round(1000 * took_s, 1),
            )
        )

    def _refuse(self, request_id: str, reason: str) -> responses.Response:
        """Refuse a query before any sub-request was sent."""
        self._shared.meter.count(metrics.GATEWAY_DELEGATED_QUERIES, "refused")
        self._shared.log.record(
            event_log.DelegatedQueryEnded(request_id, 0, 0, reason, 0.0)
        )
        headers = [requests.NOT_EXECUTED_HEADER]
        return responses.Response(503, headers, b"")


def _covers(route: routes.Route, shards: tuple[int, ...]) -> bool:
    match route.target:
        case routes.ScatterGather(shards=names_of_shards):
            return bool(shards) and max(shards) < len(names_of_shards)
        case _:
            return False


def _confirm(sock: object) -> bool:
    """Confirm a query to the host that sent it; return False if that host is gone.

    A host that was paused may read a query whose sender has given it up meanwhile.
    """
    if not _is_connected(sock):
        return False
    try:
        sock.sendall(delegation_messages.CONFIRMATION)
    except OSError:
        return False
    return True


def _wait_and_confirm(
    outcome_event: event.Event, sock: object
) -> request_outcomes.Outcome:
    while True:
        with eventlet.Timeout(CONFIRMATION_INTERVAL_S, False):
            return outcome_event.wait()
        _confirm(sock)


def _is_connected(sock: object) -> bool:
    """Return whether the other end has not closed its connection."""
    return unread_input.peek(sock) is not unread_input.Arrival.END


def _build_response(
    query: coordinator.RequestCoordinator, outcome: request_outcomes.Outcome
) -> responses.Response:
    match outcome:
        case request_outcomes.Outcome.COMPLETE | request_outcomes.Outcome.PARTIAL:
            parts = query.collect_parts()
            headers = delegation_messages.list_answer_headers(
                query.request.id, parts.signatures, parts.shards
            )
            body = top_records.merge_top_records(parts.bodies, query.route.target.top_k)
            return responses.Response(200, headers, body)
        case request_outcomes.Outcome.NOT_EXECUTED if query.retry_after_s is not None:
            headers = delegation_messages.list_limited_headers(query.retry_after_s)
            return responses.Response(503, headers, b"")
        case request_outcomes.Outcome.NOT_EXECUTED:
            return responses.Response(503, [requests.NOT_EXECUTED_HEADER], b"")
        case _:
            return responses.Response(502, [], b"")
