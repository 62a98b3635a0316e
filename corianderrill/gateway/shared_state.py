"""State and services that all requests of a host share."""

import dataclasses
import random
from collections.abc import Mapping

from corianderrill import metrics, names
from corianderrill.gateway import (
    aggregators,
    crash_watch,
    event_log,
    latency,
    limit_plan,
    loop,
    pools,
    query_rate,
    quotas,
    rate_limits,
    replica_notices,
    request_rates,
    retry_budget,
    routes,
    view,
    zone_health,
)

MAX_AGGREGATOR_CONNECTIONS = 16

QuotaGate = quotas.Quotas | quotas.Unlimited


@dataclasses.dataclass(slots=True)
class SharedState:
    """The state and services of one host that each request uses.

    `zone_regions` tells the region of each availability zone.
    """

    zone: names.ZoneName
    view: view.View
    pools: pools.PoolManager
    retry_budget: retry_budget.RetryBudget
    log: event_log.EventLog
    meter: metrics.Recorder
    loop: loop.Loop
    rng: random.Random
    zone_detector: zone_health.ZoneFailureDetector
    aggregators: aggregators.AggregatorDirectory
    query_rate: query_rate.QueryRate
    rate_limits: rate_limits.RateLimits
    request_rates: request_rates.RequestRates
    crash_watch: crash_watch.CrashWatch
    notices: replica_notices.ReplicaNotices
    quotas: QuotaGate = dataclasses.field(default_factory=quotas.Unlimited)
    limit_planner: limit_plan.LimitPlanner = dataclasses.field(
        default_factory=limit_plan.LimitPlanner
    )
    aggregator_pools: dict[names.Address, pools.ConnectionPool] = dataclasses.field(
        default_factory=dict
    )
    latency_by_route: dict[routes.RouteName, latency.LatencyEstimator] = (
        dataclasses.field(default_factory=dict)
    )
    zone_regions: Mapping[names.ZoneName, names.RegionName] = dataclasses.field(
        default_factory=dict
    )

    def get_aggregator_pool(self, address: names.Address) -> pools.ConnectionPool:
        """Return the pool of connections to an aggregator."""
        pool = self.aggregator_pools.get(address)
        if pool is None:
            pool = self.aggregator_pools[address] = pools.ConnectionPool(
                address, MAX_AGGREGATOR_CONNECTIONS
            )
        return pool

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
