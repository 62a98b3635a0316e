"""Follows the eras that replies of the platform's store name.

The era rises when the store comes back from an older copy. Replies from before that may
still arrive for a while, and a store may also begin to count its eras anew.
"""

import dataclasses

from corianderrill.gateway import view
from corianderrill.platform import store

# For so long replies of an earlier era may come late. A store that names nothing else
# after that counts its eras anew.
MAX_OUTDATED_S = 10.0


@dataclasses.dataclass(slots=True)
class EraMonitor:
    """Tells late replies of an earlier era from a store that counts its eras anew.

    `outdated_since` is when the first reply came that names an earlier era, with none
    of the present era since; None if the last reply was of the present one. Times are
    in seconds of the host's monotonic clock.
    """

    outdated_since: float | None = None

    def record(self, era: view.StoreEra, expected: view.StoreEra, now: float) -> None:
        """Record the era of a reply; `expected` is that of the host's revision."""
        if era >= expected:
            self.clear()
        elif self.outdated_since is None:
            self.outdated_since = now

    def clear(self) -> None:
        """Record a reply of the present era."""
        self.outdated_since = None

    def is_lower_for_good(self, now: float) -> bool:
        """Return whether the store has named nothing but earlier eras for long."""
        since = self.outdated_since
        return since is not None and now - since >= MAX_OUTDATED_S


def describe_era(era: view.StoreEra, expected: view.StoreEra) -> store.StoreError:
    """Return the error of a reply whose revisions are of another era."""
    kind = store.FailureKind.RESTORED if era > expected else store.FailureKind.OUTDATED
    return store.StoreError(kind, f"the reply is of era {era}, not {expected}")
