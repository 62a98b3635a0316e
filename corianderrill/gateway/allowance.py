"""The allowance of repeats: second sends of a request to one service.

All hosts together may repeat a share of the requests and a fixed number more in a
sliding window. A host earns only from the requests that it received itself, and
saves at most its part of the fixed number; so the sum over hosts holds for any
split of the load. A host that starts has saved nothing.
"""

import dataclasses

from corianderrill import names

# Below the share that is allowed, since callers count a request only once.
SHARE_USED = 0.85
# Part of the fixed number that one host may save up, for up to this many hosts.
HOSTS_PLANNED = 24
SAVED_AT_LEAST = 1.0
SAVED_AT_MOST = 4.0


@dataclasses.dataclass(slots=True)
class Allowance:
    """Repeats that this host may still send, for each service."""

    share: float
    saved_at_most: float
    _saved: dict[names.ServiceName, float] = dataclasses.field(default_factory=dict)
    spent: int = 0
    denied: int = 0

    def earn(self, services: tuple[names.ServiceName, ...]) -> None:
        """Count a request to each of these services."""
        saved = self._saved
        for service in services:
            tokens = saved.get(service, 0.0) + self.share
            saved[service] = min(tokens, self.saved_at_most)

    def try_spend(self, service: names.ServiceName) -> bool:
        """Take one repeat; false where none is left."""
        tokens = self._saved.get(service, 0.0)
        if tokens < 1.0:
            self.denied += 1
            return False
        self._saved[service] = tokens - 1.0
        self.spent += 1
        return True


def build_allowance(ratio: float, fixed: float) -> Allowance:
    """Return the allowance of one host from the bounds over all hosts."""
    saved = min(max(fixed / HOSTS_PLANNED, SAVED_AT_LEAST), SAVED_AT_MOST)
    return Allowance(ratio * SHARE_USED, saved)
