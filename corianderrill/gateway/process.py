"""One gateway process: its parts, its signals, its end."""

import gc
import http
import os
import random
import signal
import time
from collections.abc import Callable, Mapping

import eventlet
from eventlet import event, wsgi

from corianderrill import context, metrics, status
from corianderrill.gateway import (
    callers,
    decisions,
    follower,
    front,
    loop,
    pools,
    retry_budget,
    scrape,
    tools,
    view,
    zone_health,
)
from corianderrill.platform import requests, settings, store

FLUSH_S = 0.1
TIDY_S = 0.25
SETTINGS_CHECK_S = 2.0
BACKLOG = 1024
CONNECTIONS_AT_MOST = 3000
METRICS_PATH = "/metrics"
SMALL_IDLE_S = 30.0
# The balancer asks once a second and believes the second answer in a row.
ANNOUNCE_S = 2.4
# Ended by itself before the platform does it.
GRACE_MARGIN_S = 0.3
LEAVE_TICK_S = 0.02
# For a caller in the middle of a request or an answer.
CALLER_TIMEOUT_S = 60.0
# A share of the time that a leaving replica is still there.
SPARE_SHARE = 0.25
LAPSED_SPARE_SHARE = 0.85
COLLECT_AFTER_OBJECTS = 50_000

Headers = Mapping[str, str]


class Process:
    """The gateway of one host."""

    def __init__(self, path: str, values: settings.HostSettings, output: int) -> None:
        self._path = path
        self._modified_ns = os.stat(path).st_mtime_ns
        self._values = values
        self._handler = decisions.BufferedHandler(output, values.host)
        self.log = decisions.LogbookLog("gateway", self._handler)
        self._handler.push_application()
        # What depends on the bounds is set by `_take_bounds`, here and at a reload.
        self._view = view.View(spare_s=0.0, lapsed_spare_s=0.0)
        # Each host draws its own; nothing here depends on the sequence.
        rng = random.Random()
        self._pools = pools.Pools(retry_budget.MIN_HOSTS)
        self._tools = tools.Tools(
            zone=values.zone,
            view=self._view,
            pools=self._pools,
            retry_budget=retry_budget.RetryBudget(0.0, 0.0, time.monotonic()),
            log=self.log,
            meter=metrics.Recorder(),
            loop=loop.EventLoop(),
            rng=rng,
            zone_detector=zone_health.ZoneFailureDetector(),
        )
        self._front = front.Front(self._tools)
        self._client = store.StoreClient(values.store_at)
        self._follower = follower.Follower(
            self._client, self._view, self._pools, self.log, rng
        )
        self._take_bounds(values.bounds)
        self._ended = event.Event()
        self._signalled = False

    def _take_bounds(self, bounds: settings.Bounds) -> None:
        self._tools.retry_budget.apply_bounds(bounds.repeat_ratio, bounds.repeat_fixed)
        hosts = retry_budget.estimate_host_count(bounds.repeat_fixed)
        self._pools.hosts = hosts
        self._follower.follow_within(min(bounds.apply_s, bounds.drain_s), hosts)
        spare_s = SPARE_SHARE * bounds.drain_s
        # Counted from the removal, of which this host may hear that much later.
        lapsed_s = LAPSED_SPARE_SHARE * bounds.drain_s - self._follower.gather_s
        self._view.spare_s = spare_s
        self._view.lapsed_spare_s = max(spare_s, lapsed_s)

    def run(self) -> status.ExitStatus:
        """Serve until SIGTERM; return how it ended."""
        values = self._values
        self._listener = eventlet.listen(
            (values.requests_at.ip, values.requests_at.port), backlog=BACKLOG
        )
        readiness = eventlet.listen((values.readiness_at.ip, values.readiness_at.port))
        scrapes = eventlet.listen((values.metrics_at.ip, values.metrics_at.port))
        signal.signal(signal.SIGTERM, self._take_term)
        signal.signal(signal.SIGINT, self._take_term)
        signal.signal(signal.SIGHUP, self._take_hup)
        eventlet.spawn(self._follower.follow)
        eventlet.spawn(self._tidy)
        eventlet.spawn(self._flush)
        eventlet.spawn(self._check_settings)
        eventlet.spawn(_serve_small, readiness, self._answer_ready)
        eventlet.spawn(_serve_small, scrapes, self._answer_metrics)
        self._server = eventlet.spawn(self._serve_callers)
        self.log.record(
            decisions.Started(values.host, values.zone, str(values.requests_at))
        )
        gc.collect()
        gc.freeze()
        gc.set_threshold(COLLECT_AFTER_OBJECTS, 20, 20)
        self._ended.wait()
        self._handler.flush()
        return status.ExitStatus.SUCCESS

    def _serve_callers(self) -> None:
        wsgi.server(
            self._listener,
            self._front,
            log=callers.ServerLog(self.log),
            log_output=False,
            debug=False,
            max_size=CONNECTIONS_AT_MOST,
            protocol=callers.CallerProtocol,
            keepalive=True,
            socket_timeout=CALLER_TIMEOUT_S,
            capitalize_response_headers=False,
        )

    # Background work.

    def _tidy(self) -> None:
        while True:
            eventlet.sleep(TIDY_S)
            self._follower.tidy()
            self._pools.tidy()

    def _flush(self) -> None:
        while True:
            eventlet.sleep(FLUSH_S)
            self._handler.flush()

    def _check_settings(self) -> None:
        while True:
            eventlet.sleep(SETTINGS_CHECK_S)
            try:
                modified_ns = os.stat(self._path).st_mtime_ns
            except OSError as error:
                self.log.record(decisions.Reloaded("check", "unreadable", str(error)))
                continue
            if modified_ns != self._modified_ns:
                self._reload("changed")

    def _take_hup(self, *_: object) -> None:
        eventlet.spawn(self._reload, "signal")

    def _reload(self, reason: str) -> None:
        """Take in the settings file again, or keep what is in force."""
        try:
            self._modified_ns = os.stat(self._path).st_mtime_ns
            values = settings.read_settings(self._path)
        except (OSError, settings.SettingsError) as error:
            self.log.record(decisions.Reloaded(reason, "refused", str(error)))
            return
        if values.store_at != self._values.store_at:
            self._client = store.StoreClient(values.store_at)
            self._follower.client = self._client
        self._take_bounds(values.bounds)
        self._values = values
        self.log.record(decisions.Reloaded(reason, "in-force"))

    # The end.

    def _take_term(self, number: int, _frame: object) -> None:
        if self._signalled:
            return
        self._signalled = True
        eventlet.spawn(self._leave, signal.Signals(number).name)

    def _leave(self, name: str) -> None:
        """Be not ready, answer with the end of each connection, then finish."""
        began = time.monotonic()
        self.log.record(decisions.Stopping(name, self._front.in_flight))
        self._front.is_leaving = True
        eventlet.sleep(ANNOUNCE_S)
        # Ends the accept loop; the server closes idle connections and waits.
        self._server.kill()
        eventlet.sleep(0)
        # Whoever comes now is refused at once instead of waiting for the end.
        self._listener.close()
        grace_s = self._values.bounds.grace_s - GRACE_MARGIN_S
        while self._front.in_flight and time.monotonic() - began < grace_s:
            eventlet.sleep(LEAVE_TICK_S)
        # Lets the last answers leave.
        eventlet.sleep(LEAVE_TICK_S)
        cut_off = self._front.in_flight
        ending = "grace-over" if cut_off else "finished"
        self.log.record(decisions.Stopped(ending, cut_off))
        self._ended.send(None)

    # Small answers.

    def _is_ready(self) -> bool:
        known = self._view.configuration is not None
        return known and not self._front.is_leaving

    def _answer_ready(self, path: str) -> tuple[http.HTTPStatus, Headers, bytes]:
        if path != requests.READY_PATH:
            return http.HTTPStatus.NOT_FOUND, {}, b""
        if self._is_ready():
            return http.HTTPStatus.OK, {}, b""
        return http.HTTPStatus.SERVICE_UNAVAILABLE, {}, b""

    def _answer_metrics(self, path: str) -> tuple[http.HTTPStatus, Headers, bytes]:
        if path != METRICS_PATH:
            return http.HTTPStatus.NOT_FOUND, {}, b""
        body, headers = scrape.render(
            self._tools, self._front, self._follower, self._handler
        )
        return http.HTTPStatus.OK, headers, body


def _serve_small(
    listener: object,
    answer: Callable[[str], tuple[http.HTTPStatus, Headers, bytes]],
) -> None:
    """Serve an address whose answers depend on the path alone."""

    def application(
        environ: dict[str, object], start_response: front.StartResponse
    ) -> list[bytes]:
        code, headers, body = answer(environ["PATH_INFO"])
        length = ("Content-Length", str(len(body)))
        start_response(f"{code.value} {code.phrase}", [*headers.items(), length])
        return [body]

    wsgi.server(
        listener,
        application,
        log=wsgi.LoggerNull(),
        log_output=False,
        debug=False,
        socket_timeout=SMALL_IDLE_S,
    )


def program(environment: context.Environment) -> status.ExitStatus:
    """Run a gateway with the settings file that the platform names."""
    try:
        path = settings.find_path()
        values = settings.read_settings(path)
    except settings.SettingsError as error:
        environment.warn(f"corianderrill gateway: {error}")
        return status.ExitStatus.REJECTED
    return Process(path, values, environment.stdout.fileno()).run()
