"""The quota leases of a host: how many requests it may admit without asking.

A lease of `n` units allows `n` requests in each window. The times of the requests that
were admitted are kept beyond the lease they were admitted under, so that a new lease
does not allow them twice. A lease ends a fixed time after the host sent the message
that brought it, whatever happened meanwhile.
"""

import collections
import dataclasses
import math

from corianderrill import names
from corianderrill.gateway import quota_ledger, quota_terms

# A lease that was used is renewed this long before it ends.
RENEWAL_MARGIN_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    units: int
    total: int
    until: float


@dataclasses.dataclass(slots=True)
class Allowance:
    """The leases of one workspace, and the requests admitted under them.

    `used` counts those that the lessor was not told of.
    """

    used: int = 0
    _leases: list[_Lease] = dataclasses.field(default_factory=list)
    _admitted_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

    def count_units(self, terms: quota_terms.QuotaTerms, now: float) -> int:
        """Return how many requests a window the leases allow.

        A smaller lease does not end a larger one, which the lessor counts to its end.
        """
        return max(
            (
                quota_ledger.scale_units(lease.units, lease.total, terms)
                for lease in self._leases
                if now < lease.until
            ),
            default=0,
        )

    def try_admit(
        self, terms: quota_terms.QuotaTerms, now: float, least_units: int = 0
    ) -> bool:
        """Admit a request if the leases, or `least_units`, have room for it."""
        self._drop_old(terms.window_s, now)
        units = max(self.count_units(terms, now), least_units)
        if len(self._admitted_at) >= units:
            return False
        self._admitted_at.append(now)
        self.used += 1
        return True

    def _drop_old(self, window_s: float, now: float) -> None:
        while self._admitted_at and self._admitted_at[0] < now - window_s:
            self._admitted_at.popleft()
        if self._leases and now >= self._leases[0].until:
            self._leases = [lease for lease in self._leases if now < lease.until]

    def give_back(self, admitted_at: float) -> None:
        """Forget a request that was not sent to any replica."""
        if admitted_at in self._admitted_at:
            self._admitted_at.remove(admitted_at)

    def add(self, units: int, total: int, sent_at: float) -> None:
        """Add a lease that an answer brought to a message sent at a time."""
        lease = _Lease(units, total, sent_at + quota_terms.LEASE_S)
        kept = [former for former in self._leases if former.units > units]
        self._leases = sorted([*kept, lease], key=lambda lease: lease.until)

    def is_renewal_due(self, now: float) -> bool:
        """Return whether a lease was used and is about to end."""
        until = max((lease.until for lease in self._leases), default=-math.inf)
        return self.used > 0 and now < until <= now + RENEWAL_MARGIN_S

    def is_idle(self, window_s: float, now: float) -> bool:
        """Return whether nothing of the workspace has to be kept."""
        self._drop_old(window_s, now)
        return not self._leases and not self._admitted_at


@dataclasses.dataclass(slots=True)
class QuotaAllowances:
    """The allowances of a host by workspace."""

    _by_workspace: dict[names.WorkspaceName, Allowance] = dataclasses.field(
        default_factory=dict
    )

    def get(self, workspace: names.WorkspaceName) -> Allowance:
        """Return the allowance of a workspace."""
        allowance = self._by_workspace.get(workspace)
        if allowance is None:
            allowance = self._by_workspace[workspace] = Allowance()
        return allowance

    def list_due(self, now: float) -> list[names.WorkspaceName]:
        """Return the workspaces whose leases are to be renewed now."""
        return [
            workspace
            for workspace, allowance in self._by_workspace.items()
            if allowance.is_renewal_due(now)
        ]

    def items(self) -> list[tuple[names.WorkspaceName, Allowance]]:
        """Return the allowances with their workspaces."""
        return list(self._by_workspace.items())

    def discard(self, workspace: names.WorkspaceName) -> None:
        """Forget a workspace that is idle."""
        self._by_workspace.pop(workspace, None)
