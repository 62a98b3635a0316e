"""What the operations of a host share."""

import dataclasses
import random

from corianderrill import metrics, names
from corianderrill.gateway import (
    allowance,
    decisions,
    loop,
    pools,
    routes,
    view,
    waits,
    zones,
)


@dataclasses.dataclass(slots=True)
class SharedState:
    """What the operations of a host share."""

    zone: names.ZoneName
    view: view.View
    pools: pools.PoolManager
    allowance: allowance.Allowance
    log: decisions.Log
    meter: metrics.Recorder
    loop: loop.Loop
    rng: random.Random
    zones: zones.Zones
    latency_by_route: dict[routes.RouteName, waits.Waits] = dataclasses.field(
        default_factory=dict
    )

    def get_latency_estimator(self, route: routes.Route) -> waits.Waits:
        """Return the latencies of a route; a new goal begins anew."""
        found = self.latency_by_route.get(route.name)
        if found is None or found.goal_s != route.goal_s:
            found = self.latency_by_route[route.name] = waits.Waits(route.goal_s)
        return found
