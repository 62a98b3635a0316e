"""What the operations of a host share."""

import dataclasses
import random

from corianderrill import metrics, names
from corianderrill.gateway import (
    event_log,
    latency,
    loop,
    pools,
    retry_budget,
    routes,
    view,
    zone_health,
)


@dataclasses.dataclass(slots=True)
class SharedState:
    """What the operations of a host share."""

    zone: names.ZoneName
    view: view.View
    pools: pools.PoolManager
    retry_budget: retry_budget.RetryBudget
    log: event_log.EventLog
    meter: metrics.Recorder
    loop: loop.Loop
    rng: random.Random
    zone_detector: zone_health.ZoneFailureDetector
    latency_by_route: dict[routes.RouteName, latency.LatencyEstimator] = (
        dataclasses.field(default_factory=dict)
    )

    def get_latency_estimator(self, route: routes.Route) -> latency.LatencyEstimator:
        """Return the latencies of a route; a new goal begins anew."""
        found = self.latency_by_route.get(route.name)
        if found is None or found.goal_s != route.goal_s:
            found = self.latency_by_route[route.name] = latency.LatencyEstimator(
                route.goal_s
            )
        return found
