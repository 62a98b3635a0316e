"""Selects the services that a request is sent to."""

import dataclasses
import random

from corianderrill import names
from corianderrill.gateway import routes


@dataclasses.dataclass(slots=True)
class TargetSelector:
    """Selects the services of a request; split routes use smooth weighted round robin.

    With each request, every service of the route gains its weight as credit. The
    service with the most credit is selected and loses the sum of the weights. The
    requests are split close to the weights even over few requests. The initial credits
    are random.
    """

    rng: random.Random
    _credits: dict[routes.RouteName, dict[names.ServiceName, float]] = (
        dataclasses.field(default_factory=dict)
    )

    def select_services(self, route: routes.Route) -> tuple[names.ServiceName, ...]:
        """Return the service, or all shards, that the next request goes to."""
        match route.target:
            case routes.SingleService(service):
                return (service,)
            case routes.ScatterGather(shards):
                return shards
            case routes.WeightedSplit(services):
                return (self._select_by_weight(route.name, services),)

    def _select_by_weight(
        self, route_name: routes.RouteName, services: tuple[routes.WeightedService, ...]
    ) -> names.ServiceName:
        total_weight = sum(weighted.weight for weighted in services)
        previous_credits = self._credits.get(route_name, {})
        new_credits = {
            weighted.service: previous_credits.get(
                weighted.service, self.rng.random() * total_weight
            )
            + weighted.weight
            for weighted in services
        }
        chosen = max(new_credits, key=new_credits.__getitem__)
        new_credits[chosen] -= total_weight
        self._credits[route_name] = new_credits
        return chosen
