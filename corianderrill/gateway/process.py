"""One gateway process: its wiring, its signal handlers and its graceful shutdown."""

import dataclasses
import gc
import http
import math
import os
import random
import signal
from collections.abc import Callable, Mapping

import eventlet
from eventlet import event, wsgi

from corianderrill import context, metrics, names, status
from corianderrill.gateway import (
    aggregator_app,
    aggregator_role,
    aggregators,
    caller_connections,
    caller_servers,
    change_history,
    crash_notes,
    crash_watch,
    demand,
    demand_reporter,
    event_log,
    graceful_shutdown,
    listeners,
    loop,
    pools,
    quarantine,
    query_rate,
    quota_ledger,
    quota_upkeep,
    quotas,
    rate_limits,
    replica_notices,
    request_rates,
    responses,
    retry_budget,
    scrape,
    shared_state,
    store_probe,
    store_relay,
    store_watcher,
    supervisor,
    view,
    watch_timing,
    wsgi_app,
    zone_health,
)
from corianderrill.platform import requests, settings, store

LOG_FLUSH_INTERVAL_S = 0.1
EXPIRY_CHECK_INTERVAL_S = 0.25
SETTINGS_CHECK_INTERVAL_S = 2.0
METRICS_PATH = "/metrics"
INTERNAL_SOCKET_TIMEOUT_S = 30.0
# If no ready replica is left, a draining replica may still be used for this share of
# `drain_s`, the time for which a draining replica keeps running. The larger share is
# for a replica whose store entry was removed before it reported draining.
DRAIN_FALLBACK_SHARE = 0.25
LAPSED_FALLBACK_SHARE = 0.85
GC_THRESHOLD_OBJECTS = 50_000

Headers = Mapping[str, str]


class GatewayProcess:
    """The gateway process of one host."""

    def __init__(
        self,
        settings_path: str,
        host_settings: settings.HostSettings,
        log_descriptor: int,
    ) -> None:
        self._settings_path = settings_path
        self._settings_modified_ns = os.stat(settings_path).st_mtime_ns
        self._host_settings = host_settings
        self._log_handler = event_log.BufferedHandler(
            log_descriptor, host_settings.host
        )
        self.log = event_log.LogbookEventLog("gateway", self._log_handler)
        self._log_handler.push_application()
        # The zeros are placeholders until `_apply_bounds` sets the values below.
        self._view = view.View(drain_fallback_s=0.0, lapsed_fallback_s=0.0)
        # Not seeded: each host draws different numbers; no result needs a fixed order.
        rng = random.Random()
        self._pools = pools.PoolManager(retry_budget.MIN_HOSTS)
        meter = metrics.Recorder()
        self._supervisor = supervisor.Supervisor(self.log, meter, rng)
        self._demand = demand.DemandDirectory(host_settings.host)
        self._quarantine = quarantine.Quarantine(rng)
        self._shared = shared_state.SharedState(
            zone=host_settings.zone,
            view=self._view,
            pools=self._pools,
            retry_budget=retry_budget.RetryBudget(0.0, 0.0, loop.read_clock()),
            log=self.log,
            meter=meter,
            loop=loop.EventletLoop(),
            rng=rng,
            zone_detector=zone_health.ZoneFailureDetector(),
            aggregators=aggregators.AggregatorDirectory(host_settings.host),
            query_rate=query_rate.QueryRate(),
            rate_limits=rate_limits.RateLimits(self._demand, self.log, meter, rng),
            request_rates=request_rates.RequestRates(loop.read_clock()),
            crash_watch=crash_watch.CrashWatch(
                self._quarantine, self._view, self.log, meter
            ),
            notices=replica_notices.ReplicaNotices(self._view, self.log, meter),
            zone_regions=host_settings.zones,
        )
        self._store_client = store.StoreClient(host_settings.store_address)
        self._crash_notes = crash_notes.CrashNotes(
            self._store_client, self._view, self._quarantine, self.log, rng
        )
        self._shared.crash_watch.on_noted = self._crash_notes.wake
        self._app = wsgi_app.GatewayApp(self._shared, self._crash_notes)
        history = change_history.ChangeHistory()
        self._store_relay = store_relay.StoreRelay(
            history, self._view, self._shared.loop.now
        )
        self._aggregator_app = aggregator_app.AggregatorApp(
            self._shared, self._store_relay, host_settings.capacity_cores
        )
        self._store_watcher = store_watcher.StoreWatcher(
            self._store_client,
            self._view,
            self._pools,
            self._shared.aggregators,
            self._shared.rate_limits,
            host_settings.zone,
            self.log,
            rng,
            history,
            self._quarantine,
        )
        self._store_probe = store_probe.StoreProbe(self._store_watcher, rng)
        self._aggregator_role = aggregator_role.AggregatorRole(
            self._store_client,
            self._shared.aggregators,
            self._view,
            host_settings.zone,
            host_settings.aggregation_address,
            host_settings.capacity_cores,
            self.log,
            rng,
            self._shared.retry_budget,
        )
        self._orphan_role = dataclasses.replace(
            self._aggregator_role,
            scope=aggregator_role.Scope.ORPHANED,
            zones=tuple(host_settings.zones),
        )
        self._shared.quotas = self._build_quotas(host_settings)
        for role in (self._aggregator_role, self._orphan_role):
            role.has_quotas = self._shared.quotas.is_needed
        self._demand_reporter = demand_reporter.DemandReporter(
            self._store_client,
            self._view,
            self._shared.rate_limits,
            self._shared.request_rates,
            host_settings.zone,
            self.log,
            rng,
        )
        self._caller_server, self._host_server = caller_servers.build_servers(
            host_settings, self._shared
        )
        self._apply_bounds(host_settings.bounds)
        # For callers and for other hosts.
        self._endpoints: list[graceful_shutdown.Endpoint] = []
        self._stopped = event.Event()
        self._is_shutting_down = False

    def _build_quotas(self, host_settings: settings.HostSettings) -> quotas.Quotas:
        incarnation = names.Incarnation(f"{self._shared.rng.getrandbits(64):x}")
        return quotas.Quotas(
            quota_ledger.Lessee(host_settings.host, incarnation),
            self._view,
            self._shared.aggregators,
            tuple(host_settings.zones) or (host_settings.zone,),
            (self._aggregator_role, self._orphan_role),
            self._shared.get_aggregator_pool,
            self._aggregator_role.wants_slot,
            host_settings.zone,
            host_settings.aggregation_address is not None,
            self._shared.loop,
            self.log,
            self._shared.meter,
            loop.read_clock(),
        )

    def _apply_bounds(self, bounds: settings.Bounds) -> None:
        host_count = retry_budget.estimate_host_count(bounds.retry_slack)
        has_aggregators = host_count >= aggregator_role.MIN_HOSTS
        zone_count = self._host_settings.zone_count if has_aggregators else 0
        self._shared.retry_budget.apply_bounds(
            bounds.retry_ratio,
            bounds.retry_slack,
            slot_count=aggregators.SLOTS_PER_ZONE * zone_count,
        )
        self._pools.host_count = host_count
        self._demand.host_count = host_count
        self._aggregator_role.host_count = host_count
        self._orphan_role.host_count = host_count
        self._shared.aggregators.has_aggregators = has_aggregators
        self._shared.quotas.apply_bounds(bounds.quota, host_count)
        max_apply_delay_s = min(
            bounds.config_apply_s, bounds.drain_s, bounds.evacuate_s or math.inf
        )
        timing = watch_timing.WatchTiming(max_apply_delay_s, host_count)
        self._store_watcher.timing = timing
        self._store_relay.max_view_age_s = timing.get_max_age_s(
            watch_timing.Source.STORE_FOR_AGGREGATOR
        )
        if bounds.warmup is not None:
            self._shared.rate_limits.cold.excess = bounds.warmup.excess
            self._shared.rate_limits.cold.slack = bounds.warmup.slack
        self._view.max_unconfirmed_s = bounds.config_apply_s
        drain_fallback_s = DRAIN_FALLBACK_SHARE * bounds.drain_s
        # The time counts from the removal of the entry. This host may see the removal
        # later by the batch delay, so that delay is subtracted.
        batch_delay_s = timing.compute_batch_delay_s(watch_timing.Source.STORE)
        lapsed_fallback_s = LAPSED_FALLBACK_SHARE * bounds.drain_s - batch_delay_s
        self._view.drain_fallback_s = drain_fallback_s
        self._view.lapsed_fallback_s = max(drain_fallback_s, lapsed_fallback_s)

    def run(self) -> status.ExitStatus:
        """Serve until SIGTERM or SIGINT; return the exit status."""
        host_settings = self._host_settings
        callers_endpoint = self._listen(
            host_settings.listen_address, self._caller_server, self._app
        )
        readiness_listener = listeners.listen(host_settings.readiness_address, self.log)
        metrics_listener = listeners.listen(host_settings.metrics_address, self.log)
        signal.signal(signal.SIGTERM, self._on_termination_signal)
        signal.signal(signal.SIGINT, self._on_termination_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        start = self._supervisor.start
        start("store-watcher", self._store_watcher.run, is_essential=True)
        start("store-probe", self._store_probe.run)
        self._demand_task = start("demand", self._demand_reporter.run)
        start("crash-notes", self._crash_notes.run)
        start("quotas", quota_upkeep.QuotaUpkeep(self._shared.quotas).run)
        start("expiry", self._drop_expired_replicas_and_connections)
        start("log", self._flush_log)
        start("settings", self._check_settings)
        start(
            "readiness",
            lambda: _serve_internal(readiness_listener, self._respond_to_readiness),
        )
        start(
            "metrics",
            lambda: _serve_internal(metrics_listener, self._respond_to_metrics),
        )
        start("callers", callers_endpoint.run, is_essential=True)
        if host_settings.aggregation_address is not None:
            self._listen_for_delegated_queries(host_settings.aggregation_address)
        self.log.record(
            event_log.Started(
                host_settings.host,
                host_settings.zone,
                str(host_settings.listen_address),
            )
        )
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD_OBJECTS, 20, 20)
        self._stopped.wait()
        self._log_handler.flush()
        return status.ExitStatus.SUCCESS

    def _listen(
        self,
        address: names.Address,
        server: caller_connections.Server,
        app: graceful_shutdown.App,
    ) -> graceful_shutdown.Endpoint:
        listener = listeners.listen(address, self.log)
        endpoint = graceful_shutdown.Endpoint(listener, server, app)
        self._endpoints.append(endpoint)
        return endpoint

    def _listen_for_delegated_queries(self, address: names.Address) -> None:
        endpoint = self._listen(address, self._host_server, self._aggregator_app)
        self._supervisor.start("aggregation", endpoint.run)
        self._supervisor.start("aggregator-role", self._aggregator_role.run)
        self._supervisor.start("orphan-role", self._orphan_role.run)

    # Background tasks.

    def _drop_expired_replicas_and_connections(self) -> None:
        while True:
            eventlet.sleep(EXPIRY_CHECK_INTERVAL_S)
            self._store_watcher.drop_expired()
            self._pools.close_expired()

    def _flush_log(self) -> None:
        while True:
            eventlet.sleep(LOG_FLUSH_INTERVAL_S)
            self._log_handler.flush()

    def _check_settings(self) -> None:
        while True:
            eventlet.sleep(SETTINGS_CHECK_INTERVAL_S)
            try:
                modified_ns = os.stat(self._settings_path).st_mtime_ns
            except OSError as error:
                self.log.record(event_log.Reloaded("check", "unreadable", str(error)))
                continue
            if modified_ns != self._settings_modified_ns:
                self._reload("changed")

    def _on_reload_signal(self, *_: object) -> None:
        eventlet.spawn(self._reload, "signal")

    def _reload(self, reason: str) -> None:
        """Read and apply the settings file again; keep the old settings if it fails."""
        try:
            self._settings_modified_ns = os.stat(self._settings_path).st_mtime_ns
            host_settings = settings.read_settings(self._settings_path)
        except (OSError, settings.SettingsError) as error:
            self.log.record(event_log.Reloaded(reason, "refused", str(error)))
            return
        if host_settings.store_address != self._host_settings.store_address:
            self._store_client.change_address(host_settings.store_address)
            self._store_watcher.interrupt(
                store.StoreError(store.FailureKind.UNREACHABLE, "the address changed")
            )
        self._apply_bounds(host_settings.bounds)
        self._shared.zone_regions = host_settings.zones
        detail = _describe_later_changes(self._host_settings, host_settings)
        self._host_settings = host_settings
        self.log.record(event_log.Reloaded(reason, "in-force", detail))
        self._store_probe.check()

    # Shutdown.

    def _on_termination_signal(self, signal_number: int, _frame: object) -> None:
        if self._is_shutting_down:
            return
        self._is_shutting_down = True
        eventlet.spawn(self._shut_down, signal.Signals(signal_number).name)

    def _shut_down(self, signal_name: str) -> None:
        """Report not ready, answer what has arrived, then stop."""
        shutdown = graceful_shutdown.GracefulShutdown(
            self._endpoints, self._host_settings.bounds.grace_s, self.log
        )
        self._store_relay.close()
        eventlet.spawn(self._aggregator_role.retire)
        eventlet.spawn(self._orphan_role.retire)
        shutdown.announce(signal_name)
        self._demand_task.kill()
        eventlet.spawn(self._demand_reporter.withdraw)
        shutdown.finish()
        self._stopped.send(None)

    # Readiness and metrics.

    def _is_ready(self) -> bool:
        has_configuration = self._view.configuration is not None
        return (
            has_configuration
            and not self._app.is_shutting_down
            and self._supervisor.is_healthy()
        )

    def _respond_to_readiness(
        self, path: str
    ) -> tuple[http.HTTPStatus, Headers, bytes]:
        if path != requests.READY_PATH:
            return http.HTTPStatus.NOT_FOUND, {}, b""
        if self._is_ready():
            return http.HTTPStatus.OK, {}, b""
        return http.HTTPStatus.SERVICE_UNAVAILABLE, {}, b""

    def _respond_to_metrics(self, path: str) -> tuple[http.HTTPStatus, Headers, bytes]:
        if path != METRICS_PATH:
            return http.HTTPStatus.NOT_FOUND, {}, b""
        body, headers = scrape.render(
            self._shared, self._app, self._store_watcher, self._log_handler
        )
        return http.HTTPStatus.OK, headers, body


def _describe_later_changes(
    former: settings.HostSettings, changed: settings.HostSettings
) -> str:
    """Return which changes have no effect on a process that runs; empty if none."""
    is_same = former.list_listen_addresses() == changed.list_listen_addresses()
    return "" if is_same else "listens on the other addresses from its next start on"


def _serve_internal(
    listener: object,
    respond: Callable[[str], tuple[http.HTTPStatus, Headers, bytes]],
) -> None:
    """Serve a listener whose responses depend only on the path."""

    def application(
        environ: dict[str, object], start_response: responses.StartResponse
    ) -> list[bytes]:
        code, headers, body = respond(environ["PATH_INFO"])
        length = ("Content-Length", str(len(body)))
        start_response(f"{code.value} {code.phrase}", [*headers.items(), length])
        return [body]

    wsgi.server(
        listener,
        application,
        log=wsgi.LoggerNull(),
        log_output=False,
        debug=False,
        socket_timeout=INTERNAL_SOCKET_TIMEOUT_S,
    )


def run_gateway(environment: context.Environment) -> status.ExitStatus:
    """Run a gateway with the settings file that the environment names."""
    try:
        settings_path = settings.find_settings_path()
        host_settings = settings.read_settings(settings_path)
    except settings.SettingsError as error:
        environment.warn(f"corianderrill gateway: {error}")
        return status.ExitStatus.REJECTED
    return GatewayProcess(
        settings_path, host_settings, environment.stdout.fileno()
    ).run()
