"""What the operations of a host share."""

import dataclasses
import random

from corianderrill import metrics, names
from corianderrill.gateway import (
    decisions,
    latency,
    loop,
    pools,
    retry_budget,
    routes,
    view,
    zone_health,
)


@dataclasses.dataclass(slots=True)
class Tools:
    """What the operations of a host share."""

    zone: names.ZoneName
    view: view.View
    pools: pools.Pools
    retry_budget: retry_budget.RetryBudget
    log: decisions.Log
    meter: metrics.Recorder
    loop: loop.Loop
    rng: random.Random
    zone_detector: zone_health.ZoneFailureDetector
    by_route: dict[routes.RouteName, latency.LatencyEstimator] = dataclasses.field(
        default_factory=dict
    )

    def get_latency_estimator(self, route: routes.Route) -> latency.LatencyEstimator:
        """Return the latencies of a route; a new goal begins anew."""
        found = self.by_route.get(route.name)
        if found is None or found.goal_s != route.goal_s:
            found = self.by_route[route.name] = latency.LatencyEstimator(route.goal_s)
        return found
