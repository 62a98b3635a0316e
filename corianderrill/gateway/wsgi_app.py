"""The WSGI application that serves callers: it forwards each request."""

import dataclasses
from collections.abc import Iterable

import eventlet
from eventlet import event

from corianderrill.gateway import (
    answer_times,
    authentication,
    availability,
    caller_connections,
    caller_input,
    coordinator,
    crash_notes,
    delegation,
    in_flight,
    quarantine,
    quota_verdicts,
    refusals,
    request_outcomes,
    request_records,
    responses,
    routes,
    send_order,
    shared_state,
    targets,
)
from corianderrill.platform import requests

MAX_IN_FLIGHT_REQUESTS = 600
# A host has a configuration that the store confirmed within this time after its start,
# if the store answers. Requests that arrive before wait for it.
STARTUP_WAIT_S = 0.25
STARTUP_POLL_INTERVAL_S = 0.01
# An idle caller connection is kept open for this multiple of the configured idle
# timeout of callers, which is longer than callers reuse it.
IDLE_TIMEOUT_FACTOR = 1.5
MIN_IDLE_TIMEOUT_S = 60.0
# A caller's latency also includes the handshake of a new connection, so the first
# response on a connection is due this much earlier than later ones.
NEW_CONNECTION_MARGIN_S = 0.007


@dataclasses.dataclass(frozen=True, slots=True)
class _IdentifiedRequest:
    """The route of a request, and the rank that names its workspace."""

    selected: routes.SelectedRoute
    rank: send_order.Rank


class GatewayApp:
    """Validates the requests of callers, forwards them and records their outcome."""

    def __init__(
        self,
        shared: shared_state.SharedState,
        notes: crash_notes.CrashNotes,
    ) -> None:
        self._shared = shared
        self._crash_notes = notes
        self._target_selector = targets.TargetSelector(shared.rng)
        self._started_at = shared.loop.now()
        self._availability = availability.AvailabilityCheck(shared)
        self.in_flight = in_flight.InFlightRequests()
        self._refusals = refusals.Refusals(shared, self.in_flight)
        # When the last answer has to be known, once the process shuts down.
        self._must_end_at: float | None = None

    @property
    def is_shutting_down(self) -> bool:
        """Whether the process was told to stop."""
        return self._must_end_at is not None

    def begin_shutdown(self, must_end_at: float) -> None:
        """End connections after their response; know all answers by a time."""
        self._must_end_at = must_end_at

    def __call__(
        self, environ: dict[str, object], start_response: responses.StartResponse
    ) -> Iterable[bytes]:
        """Serve one request (the WSGI entry point)."""
        received_at = self._shared.loop.now()
        self.in_flight.begin()
        try:
            response = self._serve(environ, received_at)
        except BaseException:
            self.in_flight.end_writing()
            raise
        finally:
            self.in_flight.end_serving()
        connection = environ["corianderrill.connection"]
        is_last = self.is_shutting_down and not connection.has_next_request()
        if is_last or response is None:
            connection.close_connection = True
        if response is None:
            response = responses.Response(502, [], b"")
        phrase = responses.REASON_PHRASES.get(response.status, "Unknown")
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        start_response(f"{response.status} {phrase}", headers)
        return in_flight.ResponseBody(response.body, self.in_flight.end_writing)

    def get_header_timeout_s(self) -> float:
        """Return how long a caller may take to send the headers, in seconds."""
        configuration = self._shared.view.configuration
        limits = (
            routes.CallerLimits() if configuration is None else configuration.limits
        )
        return limits.header_timeout_s

    def get_idle_timeout_s(self) -> float:
        """Return how long an idle caller connection is kept open, in seconds."""
        configuration = self._shared.view.configuration
        if configuration is None:
            return MIN_IDLE_TIMEOUT_S
        return max(
            IDLE_TIMEOUT_FACTOR * configuration.limits.idle_timeout_s,
            MIN_IDLE_TIMEOUT_S,
        )

    def _serve(
        self, environ: dict[str, object], received_at: float
    ) -> responses.Response | None:
        headers = environ["headers_raw"]
        request_id = requests.find_header(headers, requests.REQUEST_ID_HEADER) or ""
        configuration = self._wait_for_configuration(received_at)
        if configuration is None:
            return self._refusals.refuse(
                request_id,
                "",
                503,
                "no-configuration",
                refusals.NOT_CURRENT_RETRY_AFTER_S,
            )
        identified = self._identify(configuration, environ, request_id)
        if isinstance(identified, responses.Response):
            return identified
        route = identified.selected.route
        refusal = self._check_head(request_id, route, headers, configuration.limits)
        if refusal is not None:
            return refusal
        try:
            body = environ["wsgi.input"].read_body(configuration.limits.max_body_bytes)
        except OSError as error:
            self._refusals.record_incomplete_body(request_id, route.name, error)
            return None
        except caller_input.InputError as error:
            return self._refusals.refuse_input(request_id, route.name, error)
        # The body may have taken seconds, and another version be in force.
        identified = self._identify(
            self._shared.view.configuration, environ, request_id
        )
        if isinstance(identified, responses.Response):
            return identified
        route = identified.selected.route
        time_limit_s = self._compute_time_limit_s(headers, route, received_at)
        if time_limit_s is None:
            return self._refusals.refuse(
                request_id,
                route.name,
                503,
                "shutting-down",
                responses.MIN_RETRY_AFTER_S,
            )
        inbound = requests.build_inbound_request(
            environ["REQUEST_METHOD"],
            environ["corianderrill.target"],
            headers,
            body,
            time_limit_s,
            received_at,
            identified.rank,
        )
        return self._admit(environ, inbound, identified.selected)

    def _identify(
        self,
        configuration: routes.Configuration,
        environ: dict[str, object],
        request_id: str,
    ) -> _IdentifiedRequest | responses.Response:
        """Find the route and the workspace of a request; refuse it without them."""
        headers = environ["headers_raw"]
        host = requests.find_header(headers, "Host") or ""
        selected = configuration.select_route(host, environ["RAW_PATH_INFO"])
        if selected is None:
            return self._refusals.refuse_unknown_route(request_id)
        caller = authentication.authenticate(selected, headers)
        if isinstance(caller, authentication.Denied):
            return self._refusals.refuse_key(
                request_id, selected.route.name, caller.fault
            )
        return _IdentifiedRequest(selected, caller.rank)

    def _check_head(
        self,
        request_id: str,
        route: routes.Route,
        headers: list[tuple[str, str]],
        limits: routes.CallerLimits,
    ) -> responses.Response | None:
        """Refuse a request that is not served, whatever its body."""
        if not request_id:
            return self._refusals.refuse(request_id, route.name, 400, "no-request-id")
        if self.in_flight.served > MAX_IN_FLIGHT_REQUESTS:
            return self._refusals.refuse(
                request_id,
                route.name,
                503,
                "too-many-in-flight",
                responses.MIN_RETRY_AFTER_S,
            )
        header_bytes = sum(len(name) + len(value) + 4 for name, value in headers)
        if header_bytes > limits.max_header_bytes:
            return self._refusals.refuse(
                request_id, route.name, 431, "headers-too-large"
            )
        return None

    def _admit(
        self,
        environ: dict[str, object],
        inbound: requests.InboundRequest,
        selected: routes.SelectedRoute,
    ) -> responses.Response | None:
        """Forward a request if the quota of its workspace allows it."""
        admission = self._shared.quotas.admit(
            inbound.workspace, selected.route, inbound.id, self._shared.loop.now()
        )
        if isinstance(admission, quota_verdicts.Refusal):
            return self._refusals.refuse(
                inbound.id,
                selected.route.name,
                admission.status,
                admission.decision.value,
                admission.retry_after_s,
            )
        return self._forward(environ, inbound, selected, admission)

    def _compute_time_limit_s(
        self,
        headers: list[tuple[str, str]],
        route: routes.Route,
        received_at: float,
    ) -> float | None:
        """Return the time from the arrival of a request until its deadline.

        Return None if the process shuts down and exits before the route's latency goal.
        """
        limit_s = requests.parse_deadline(
            requests.find_header(headers, requests.DEADLINE_MS_HEADER)
        )
        limit_s = limit_s or route.timeout_s
        if self._must_end_at is None:
            return limit_s
        if self._must_end_at - self._shared.loop.now() < route.goal_s:
            return None
        return min(limit_s, self._must_end_at - received_at)

    def _wait_for_configuration(self, now: float) -> routes.Configuration | None:
        """Return the configuration.

        Shortly after the start of the host, wait until the store has confirmed it.
        """
        view = self._shared.view
        while not view.was_confirmed() and now - self._started_at < STARTUP_WAIT_S:
            eventlet.sleep(STARTUP_POLL_INTERVAL_S)
            now = self._shared.loop.now()
        return view.configuration

    def _forward(
        self,
        environ: dict[str, object],
        inbound: requests.InboundRequest,
        selected: routes.SelectedRoute,
        admission: quota_verdicts.Admission | None,
    ) -> responses.Response | None:
        route = selected.route
        services = self._target_selector.select_services(route)
        refusal = self._availability.find_refusal(
            route,
            services,
            inbound.received_at,
            selected.configuration.find_workspace_regions(inbound.workspace),
        )
        if refusal is not None:
            self._shared.quotas.give_back(admission)
            return self._refusals.refuse(
                inbound.id, route.name, 503, refusal.reason, refusal.retry_after_s
            )
        if isinstance(route.target, routes.ScatterGather):
            self._shared.query_rate.record(inbound.received_at)
        is_trial = self._try_claim_trial(inbound)
        outcome_event = event.Event()
        request_coordinator = coordinator.RequestCoordinator(
            self._shared,
            inbound,
            selected,
            services,
            outcome_event.send,
            _take_answer_margin(environ["corianderrill.connection"]),
            delegation.Mode.NOTHING
            if is_trial
            else delegation.select_mode(self._shared, route, inbound.received_at),
            is_trial=is_trial,
        )
        disconnect_watcher = caller_connections.DisconnectWatcher(
            environ["eventlet.input"].get_socket(),
            request_coordinator.handle_caller_disconnect,
        )
        self.in_flight.forwarded.add(request_coordinator)
        try:
            request_coordinator.start()
            outcome = outcome_event.wait()
        finally:
            self.in_flight.forwarded.discard(request_coordinator)
            disconnect_watcher.stop()
        if is_trial and outcome is request_outcomes.Outcome.NOT_EXECUTED:
            self._crash_notes.quarantine.return_trial(inbound.fingerprint)
        if request_records.was_certainly_not_sent(request_coordinator, outcome):
            self._shared.quotas.give_back(admission)
        return self._finish(request_coordinator, outcome)

    def _finish(
        self,
        request_coordinator: coordinator.RequestCoordinator,
        outcome: request_outcomes.Outcome,
    ) -> responses.Response | None:
        """Build the response to a request that has an outcome, and record both."""
        response = responses.build_response(
            request_coordinator, outcome, self._shared.rng
        )
        request_records.record_request(
            self._shared, request_coordinator, outcome, response
        )
        request_records.record_held_in_queue(self._shared, request_coordinator)
        request_coordinator.release()
        return response

    def _try_claim_trial(self, inbound: requests.InboundRequest) -> bool:
        """Return whether to try a quarantined request once more."""
        verdict = self._shared.crash_watch.assess(inbound)
        if verdict is not quarantine.Verdict.QUARANTINED:
            return False
        return self._crash_notes.claim_trial(inbound.fingerprint)


def _take_answer_margin(connection: caller_connections.CallerProtocol) -> float:
    """Return the margin of the next response on a connection, and count it."""
    margin_s = answer_times.ANSWER_DELIVERY_MARGIN_S
    if connection.requests_served == 0:
        margin_s += NEW_CONNECTION_MARGIN_S
    connection.requests_served += 1
    return margin_s
