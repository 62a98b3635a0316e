"""The allowance of repeats: second sends of a request to one service.

All hosts together may repeat a share of the requests and a fixed number more in a
sliding window. A host earns only from the requests that it received itself, saves
little, and starts with one repeat, so that the sum over hosts holds for any split
of the load. How many hosts there are is read from the fixed number, which the
platform sizes by them.
"""

import dataclasses

from corianderrill import names

# Below the share that is allowed, since callers count a request only once.
SHARE_USED = 0.85
SAVED_AT_START = 1.0
SAVED_AT_LEAST = 1.2
SAVED_AT_MOST = 3.8
# The fixed number is this, and so much more for each host.
FIXED_BASE = 40.0
FIXED_A_HOST = 2.0
HOSTS_AT_LEAST = 4.0
# Leaves room for hosts that are added.
FIXED_USED = 0.75


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
            tokens = saved.get(service, SAVED_AT_START) + self.share
            saved[service] = min(tokens, self.saved_at_most)

    def try_spend(self, service: names.ServiceName) -> bool:
        """Take one repeat; false where none is left."""
        tokens = self._saved.get(service, SAVED_AT_START)
        if tokens < 1.0:
            self.denied += 1
            return False
        self._saved[service] = tokens - 1.0
        self.spent += 1
        return True


def build_allowance(ratio: float, fixed: float) -> Allowance:
    """Return the allowance of one host from the bounds over all hosts."""
    hosts = max((fixed - FIXED_BASE) / FIXED_A_HOST, HOSTS_AT_LEAST)
    saved = FIXED_USED * fixed / hosts - SAVED_AT_START
    saved = min(max(saved, SAVED_AT_LEAST), SAVED_AT_MOST)
    return Allowance(ratio * SHARE_USED, saved)
