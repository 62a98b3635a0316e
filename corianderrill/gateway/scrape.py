"""Renders the metrics of a gateway for a Prometheus scrape."""

from collections.abc import Mapping

from corianderrill import metrics
from corianderrill.gateway import (
    event_log,
    loop,
    quota_upkeep,
    shared_state,
    store_watcher,
    wsgi_app,
)


def render(
    shared: shared_state.SharedState,
    front_end: wsgi_app.GatewayApp,
    watcher: store_watcher.StoreWatcher,
    handler: event_log.BufferedHandler,
) -> tuple[bytes, Mapping[str, str]]:
    """Update the gauges; return the body and headers of the reply to a scrape."""
    meter = shared.meter
    configuration = shared.view.configuration
    version = 0 if configuration is None else configuration.version
    meter.set(metrics.REVISION, version)
    meter.set(metrics.GATEWAY_IN_FLIGHT, front_end.in_flight.served)
    meter.set(metrics.GATEWAY_CONNECTIONS, shared.pools.count_opened())
    limited_count = len(shared.view.list_rate_limited())
    meter.set(metrics.GATEWAY_RATE_LIMITED_REPLICAS, limited_count)
    evacuated_count = len(shared.view.evacuated.list_evacuated())
    meter.set(metrics.GATEWAY_EVACUATED_ZONES, evacuated_count)
    meter.set(metrics.GATEWAY_STORE_CALLS, watcher.client.call_count)
    meter.set(metrics.GATEWAY_STORE_ERA, watcher.era)
    meter.set(metrics.GATEWAY_STORE_REVISION, watcher.revision)
    now = loop.read_clock()
    silent_s = now - watcher.last_reply_at
    meter.set(metrics.GATEWAY_STORE_SILENT, round(silent_s, 3))
    if shared.view.was_confirmed():
        meter.set(metrics.GATEWAY_VIEW_AGE, round(shared.view.get_age_s(now), 3))
    quota_upkeep.update_gauges(shared.quotas, now)
    meter.set(metrics.GATEWAY_LINES_LEFT_OUT, handler.dropped_lines)
    return meter.render()
