"""State and services that all requests of a host share."""

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
    """The state and services of one host that each request uses."""

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
        """Return the latency estimator of a route.

        Create it on first use and whenever the goal of the route changed.
        """
        estimator = self.latency_by_route.get(route.name)
        if estimator is None or estimator.goal_s != route.goal_s:
            estimator = self.latency_by_route[route.name] = latency.LatencyEstimator(
                route.goal_s
            )
        return estimator
