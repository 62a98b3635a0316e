"""The services that one request goes to."""

import dataclasses
import random

from corianderrill import names
from corianderrill.gateway import routes


@dataclasses.dataclass(slots=True)
class TargetSelector:
    """Distributes the requests of split routes; exact over few requests.

    Each service earns its weight with a request and pays the sum when chosen.
    """

    rng: random.Random
    _credits: dict[routes.RouteName, dict[names.ServiceName, float]] = (
        dataclasses.field(default_factory=dict)
    )

    def select_services(self, route: routes.Route) -> tuple[names.ServiceName, ...]:
        """Return the service, or the shards, that a request goes to."""
        match route.target:
            case routes.SingleService(service):
                return (service,)
            case routes.ScatterGather(shards):
                return shards
            case routes.WeightedSplit(shares):
                return (self._choose(route.name, shares),)

    def _choose(
        self, name: routes.RouteName, shares: tuple[routes.WeightedService, ...]
    ) -> names.ServiceName:
        total = sum(share.weight for share in shares)
        known = self._credits.get(name, {})
        earned = {
            share.service: known.get(share.service, self.rng.random() * total)
            + share.weight
            for share in shares
        }
        chosen = max(earned, key=earned.__getitem__)
        earned[chosen] -= total
        self._credits[name] = earned
        return chosen
