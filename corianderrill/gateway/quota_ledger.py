"""What a quota lessor has granted: tokens and leases of the workspaces of one slot.

A ledger begins with few tokens, since it does not know what the former lessor admitted.
It grants no quota leases until those of the former lessor have ended. A quota lease
allows a host a number of requests in each window until it ends. The sum of the leases
that are valid, or ended less than a window ago, is limited, so all hosts together admit
no more than that in a window without asking. When the bucket is empty, the lessor
admits requests from what is left of this sum, up to `OVERDRAFT_SHARE` of it.

Only durations travel between hosts, and a host counts its lease from the sending of its
message. So the record here outlives the lease there.
"""

import collections
import dataclasses
import math
from typing import NewType

from corianderrill import names
from corianderrill.gateway import quota_terms

# The id of one ledger, so that tokens go back only to the one that granted them.
Term = NewType("Term", str)

DEMAND_HALF_LIFE_S = 10.0
# A host gets a lease for this multiple of its recent demand in a window.
DEMAND_FACTOR = 2.0
# A host with fewer requests in a window would seldom use a lease before it ends. It
# gets one only if this share of the units stays free.
MIN_LEASED_DEMAND = 0.5
SPARE_SHARE = 0.75
# With an empty bucket, the lessor admits at most this share of what the leases may
# allow. The rest stays free for the leases of other hosts.
OVERDRAFT_SHARE = 0.75
# Below this many requests of a host in a half-life, its record is dropped.
MIN_DEMAND = 0.01
PRUNE_INTERVAL_S = 20.0
# An account is idle after this time. It is longer than a lease and a window.
IDLE_S = 60.0
# The latest time for which requests over the quota are asked to come back.
MAX_RETRY_DELAY_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Lessee:
    """One process of a host; one that starts again has none of its leases."""

    host: names.HostName
    process: names.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """What a host asks for one workspace.

    `wanted` requests wait for an answer. Since its last message, the host admitted
    `used` requests under its lease. `returned` tokens of this ledger were not used.
    """

    wanted: int
    used: int = 0
    returned: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """How many of the wanted requests may run, and the lease of the host.

    The first of the others may come back after `retry_after_s`. The lease allows
    `units` of the `total` units that all leases have; 0 if the host gets none. The last
    `overdrawn` of the requests took no token that could go back.
    """

    granted: int
    retry_after_s: float = 0.0
    units: int = 0
    total: int = 0
    overdrawn: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _LeaseRecord:
    units: int
    total: int
    until: float


@dataclasses.dataclass(slots=True)
class _DecayingCount:
    weight: float = 0.0
    updated_at: float = -math.inf

    def read(self, now: float) -> float:
        if self.weight == 0.0:
            return 0.0
        age_s = max(0.0, now - self.updated_at)
        return self.weight * 0.5 ** (age_s / DEMAND_HALF_LIFE_S)

    def add(self, count: float, now: float) -> None:
        self.weight = self.read(now) + count
        self.updated_at = now

    def estimate(self, span_s: float, now: float) -> float:
        """Return the recent count in a time span."""
        return self.read(now) * math.log(2) / DEMAND_HALF_LIFE_S * span_s


@dataclasses.dataclass(slots=True)
class _LesseeRecord:
    demand: _DecayingCount = dataclasses.field(default_factory=_DecayingCount)
    sequence: int = -1
    # Tokens that were granted and not returned.
    granted: int = 0


@dataclasses.dataclass(slots=True)
class Account:
    """The tokens and leases of one workspace. Times are in seconds."""

    refilled_at: float
    tokens: float = quota_terms.START_TOKENS
    _next_return_at: float = -math.inf
    _demand: _DecayingCount = dataclasses.field(default_factory=_DecayingCount)
    _lessees: dict[Lessee, _LesseeRecord] = dataclasses.field(default_factory=dict)
    _leases: dict[Lessee, list[_LeaseRecord]] = dataclasses.field(default_factory=dict)
    # When requests were admitted with an empty bucket, in the last window.
    _overdrawn_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    _pruned_at: float = -math.inf
    _asked_at: float = -math.inf

    def refill(self, terms: quota_terms.QuotaTerms, now: float) -> None:
        """Add the tokens that were earned since the last refill."""
        earned = terms.refill_per_s * max(0.0, now - self.refilled_at)
        self.tokens = min(terms.capacity, self.tokens + earned)
        self.refilled_at = max(now, self.refilled_at)

    def answer(
        self,
        terms: quota_terms.QuotaTerms,
        lessee: Lessee,
        sequence: int,
        ask: Ask,
        now: float,
        may_lease: bool,
    ) -> Grant:
        """Take tokens for the requests of a host and renew its lease."""
        self.refill(terms, now)
        self._prune(terms, now)
        self._asked_at = now
        record = self._lessees.setdefault(lessee, _LesseeRecord())
        self._take_back(terms, record, sequence, ask.returned)
        record.demand.add(ask.wanted + ask.used, now)
        self._demand.add(ask.wanted + ask.used, now)
        granted = min(ask.wanted, math.floor(self.tokens))
        self.tokens -= granted
        record.granted += granted
        overdrawn = 0
        if may_lease:
            overdrawn = self._overdraw(terms, ask.wanted - granted, now)
        granted += overdrawn
        denied = ask.wanted - granted
        retry_after_s = self._plan_return(terms, denied, now) if denied else 0.0
        units = self._lease(terms, lessee, now) if may_lease else 0
        return Grant(granted, retry_after_s, units, terms.leased, overdrawn)

    def give_back(self, lessee: Lessee) -> None:
        """Put a token of this host back; the next refill limits them."""
        record = self._lessees.get(lessee)
        if record is not None and record.granted:
            record.granted -= 1
            self.tokens += 1.0

    def _take_back(
        self,
        terms: quota_terms.QuotaTerms,
        record: _LesseeRecord,
        sequence: int,
        returned: int,
    ) -> None:
        """Put tokens back; a message that arrives twice or late returns none."""
        if sequence <= record.sequence:
            return
        record.sequence = sequence
        returned = min(returned, record.granted)
        record.granted -= returned
        self.tokens = min(terms.capacity, self.tokens + returned)

    def _overdraw(self, terms: quota_terms.QuotaTerms, wanted: int, now: float) -> int:
        """Admit requests, with an empty bucket, from what no lease uses."""
        limit = math.floor(OVERDRAFT_SHARE * terms.leased) - len(self._overdrawn_at)
        if wanted <= 0 or limit <= 0:
            return 0
        free = terms.leased - self.count_leased(terms, now) - len(self._overdrawn_at)
        admitted = max(0, min(wanted, limit, free))
        self._overdrawn_at.extend([now] * admitted)
        return admitted

    def _plan_return(
        self, terms: quota_terms.QuotaTerms, denied: int, now: float
    ) -> float:
        """Return when the first of the denied requests may come back.

        Each gets a time of its own, as far as these are not too late.
        """
        wait_s = (1.0 - self.tokens) / terms.refill_per_s
        first_at = max(self._next_return_at, now + wait_s)
        first_at = min(first_at, now + MAX_RETRY_DELAY_S)
        self._next_return_at = first_at + denied / terms.refill_per_s
        return first_at - now

    def _lease(self, terms: quota_terms.QuotaTerms, lessee: Lessee, now: float) -> int:
        units = self._compute_units(terms, lessee, now)
        if units:
            lease = _LeaseRecord(units, terms.leased, now + quota_terms.LEASE_S)
            kept = [
                former
                for former in self._leases.get(lessee, ())
                if former.units > units or former.total != lease.total
            ]
            self._leases[lessee] = [*kept, lease]
        return units

    def _compute_units(
        self, terms: quota_terms.QuotaTerms, lessee: Lessee, now: float
    ) -> int:
        """Return the share of a host by its demand, as far as units are free.

        A host that would seldom use a lease gets one unit while most units are free.
        """
        others = sum(
            _count_units(leases, terms, now)
            for holder, leases in self._leases.items()
            if holder != lessee
        )
        free = terms.leased - others - len(self._overdrawn_at)
        demand = self._lessees[lessee].demand.estimate(terms.window_s, now)
        if free <= 0 or demand <= 0.0:
            return 0
        if demand < MIN_LEASED_DEMAND:
            return int(free - 1 >= SPARE_SHARE * terms.leased)
        total_demand = self._demand.estimate(terms.window_s, now)
        share = round(terms.leased * demand / total_demand)
        return min(free, share, math.ceil(DEMAND_FACTOR * demand) + 1)

    def _prune(self, terms: quota_terms.QuotaTerms, now: float) -> None:
        """Forget what is a window ago, and idle hosts."""
        while self._overdrawn_at and self._overdrawn_at[0] < now - terms.window_s:
            self._overdrawn_at.popleft()
        for lessee, leases in list(self._leases.items()):
            if all(lease.until + terms.window_s <= now for lease in leases):
                del self._leases[lessee]
        if now - self._pruned_at < PRUNE_INTERVAL_S:
            return
        self._pruned_at = now
        for lessee, record in list(self._lessees.items()):
            if record.demand.read(now) < MIN_DEMAND and lessee not in self._leases:
                del self._lessees[lessee]

    def is_idle(self, now: float) -> bool:
        """Return whether nothing was asked for so long that all has ended."""
        return now - self._asked_at >= IDLE_S

    def count_leased(self, terms: quota_terms.QuotaTerms, now: float) -> int:
        """Return the units of all leases that count."""
        return sum(_count_units(leases, terms, now) for leases in self._leases.values())


def scale_units(units: int, total: int, terms: quota_terms.QuotaTerms) -> int:
    """Return what is left of units of a total after a limit was lowered."""
    return units if terms.leased >= total else units * terms.leased // total


def _count_units(
    leases: list[_LeaseRecord], terms: quota_terms.QuotaTerms, now: float
) -> int:
    """Return the units of a host, which uses the largest of its leases."""
    return max(
        (
            scale_units(lease.units, lease.total, terms)
            for lease in leases
            if now < lease.until + terms.window_s
        ),
        default=0,
    )


@dataclasses.dataclass(slots=True)
class QuotaLedger:
    """The accounts of the workspaces of one slot, from when it was taken.

    `started_at` is no earlier than the end of the former lessor's slot lease. Without a
    `has_former` lessor there are no quota leases that it does not know of. It grants
    none until the slot `is_marked` as having had a lessor.
    """

    term: Term
    started_at: float
    has_former: bool = True
    is_marked: bool = True
    _accounts: dict[names.WorkspaceName, Account] = dataclasses.field(
        default_factory=dict
    )

    def answer(
        self,
        workspace: names.WorkspaceName,
        terms: quota_terms.QuotaTerms,
        lessee: Lessee,
        sequence: int,
        ask: Ask,
        now: float,
    ) -> Grant:
        """Answer what a host asks for a workspace."""
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = Account(self.started_at)
        lease_from = self.started_at
        if self.has_former:
            lease_from += quota_terms.LEASE_S + terms.window_s
        may_lease = self.is_marked and now >= lease_from
        return account.answer(terms, lessee, sequence, ask, now, may_lease)

    def give_back(self, workspace: names.WorkspaceName, lessee: Lessee) -> None:
        """Put a token back that a process did not use."""
        account = self._accounts.get(workspace)
        if account is not None:
            account.give_back(lessee)

    def discard(self, workspace: names.WorkspaceName) -> None:
        """Forget a workspace that is idle."""
        self._accounts.pop(workspace, None)

    def list_accounts(self) -> dict[names.WorkspaceName, Account]:
        """Return the accounts by workspace."""
        return dict(self._accounts)
