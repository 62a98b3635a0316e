"""Takes an aggregator slot of the own availability zone, and renews its lease.

Where workspaces have quotas, the holder of a slot is the quota lessor of some of them.
Then slots are taken on small sites too, and sooner. A process that starts takes over
the slot that its host held before. A slot whose zone has no host left to take it goes
to a host of another zone until a host of its zone asks for one.
"""

import dataclasses
import enum
import itertools
import random
from collections.abc import Callable, Iterable

import eventlet

from corianderrill import names
from corianderrill.gateway import (
    aggregators,
    event_log,
    loop,
    quota_ledger,
    quota_lessor,
    retry_budget,
    view,
)
from corianderrill.platform import documents, store

LEASE_TTL_S = 6.0
# Three renewals fit into the lifetime of a lease, so that two may fail.
RENEWAL_INTERVAL_S = 2.0
CHECK_INTERVAL_S = 0.5
# With fewer hosts, each one queries the replicas often enough by itself.
MIN_HOSTS = 40.0
# A host waits this long, divided by its processor capacity in cores, before it takes a
# vacant slot. So the hosts with the most capacity come first.
CANDIDACY_DELAY_CORES_S = 6.0
RETRY_DELAY_S = 3.0
# With quotas, the candidacy delay is shorter, since a vacant slot is without a quota
# lessor. It grows with the number of hosts, so that not all hosts of a large zone call
# the store at once.
QUOTA_CANDIDACY_CORES_S = 1.0
QUOTA_CANDIDACY_PER_HOST_CORES_S = 0.01
# A store that was never restored names no later era.
FIRST_ERA = 1
STARTUP_POLL_INTERVAL_S = 0.05
# A slot that is vacant for longer has no host of its own zone to take it.
ORPHAN_DELAY_S = 4.0
MIN_ORPHAN_TERM_S = 20.0


class Scope(enum.Enum):
    """The slots that a role takes."""

    OWN_ZONE = 1
    ORPHANED = 2


class RoleChange(enum.Enum):
    """A change of the role; the values are written to the log."""

    TAKEN = "taken"
    RENEWAL_FAILED = "renewal-failed"
    LOST = "lost"
    GIVEN_UP = "given-up"


def _has_no_quotas() -> bool:
    return False


@dataclasses.dataclass(slots=True)
class AggregatorRole:
    """The aggregator slot that this host holds or waits for.

    `capacity_cores` is the processor time that the host has, in cores.
    """

    client: store.StoreClient
    directory: aggregators.AggregatorDirectory
    view: view.View
    zone: names.ZoneName
    address: names.Address | None
    capacity_cores: float
    log: event_log.EventLog
    rng: random.Random
    retry_budget: retry_budget.RetryBudget
    host_count: float = 0.0
    clock: Callable[[], float] = loop.read_clock
    sleep: Callable[[float], None] = eventlet.sleep
    held: aggregators.Aggregator | None = None
    scope: Scope = Scope.OWN_ZONE
    zones: Iterable[names.ZoneName] = ()
    # Whether a workspace has a quota.
    has_quotas: Callable[[], bool] = _has_no_quotas
    _term: quota_lessor.SlotTerm | None = None
    _vacant_since: dict[aggregators.SlotKey, float] = dataclasses.field(
        default_factory=dict
    )
    _is_return_wanted: bool = False
    _lease: store.Lease | None = None
    _revision: view.StoreRevision = view.StoreRevision(0)
    _lease_until: float = 0.0
    _taken_at: float = 0.0
    _is_retired: bool = False

    def run(self) -> None:
        """Take a slot whenever one is vacant, and keep it; never returns."""
        step = self._resume
        while True:
            try:
                step()
                step = self._step
            except store.StoreError as error:
                self._handle_failure(error)

    def _handle_failure(self, error: store.StoreError) -> None:
        """Keep the slot while its lease is certain to last, else drop it and wait."""
        is_certain = self.clock() < self._lease_until
        if self.held is not None and (is_certain or self._may_last(error)):
            self._record(RoleChange.RENEWAL_FAILED, self.held, str(error))
            return
        self._drop_slot(str(error))
        self.sleep(RETRY_DELAY_S * (0.5 + self.rng.random()))

    def _may_last(self, error: store.StoreError) -> bool:
        """Return whether to wait for the store, which may have kept the lease.

        Meanwhile the host is no quota lessor. If the lease is renewed after all, the
        slot had no other holder; otherwise others would wait for its end.
        """
        return self.has_quotas() and error.kind is not store.FailureKind.RESTORED

    def _step(self) -> None:
        if self.held is not None:
            self.sleep(RENEWAL_INTERVAL_S)
            if self.held is not None and self._is_return_wanted:
                self._give_up("wanted-by-its-zone")
            elif self.held is not None:
                self._renew_lease()
            return
        self.sleep(CHECK_INTERVAL_S * (0.5 + self.rng.random()))
        if not self._has_vacancy():
            return
        self.sleep(self._compute_candidacy_delay_s())
        if self._has_vacancy():
            self._try_take_slot()

    def _resume(self) -> None:
        """Take over the slot that this host held before its process was started."""
        while not self.view.was_confirmed():
            self.sleep(STARTUP_POLL_INTERVAL_S)
        former = self._find_former()
        if former is None or self.address is None or not self.has_quotas():
            return
        sent_at = self.clock()
        lease = self.client.grant_lease(LEASE_TTL_S)
        successor = dataclasses.replace(
            former,
            address=self.address,
            capacity_cores=self.capacity_cores,
            era=lease.era,
        )
        revision = self.client.take_over_key(
            documents.format_aggregator_key(former.key),
            documents.encode_aggregator(successor),
            self.directory.get_revision(former.key),
            lease,
        )
        if revision is not None:
            self._hold(successor, lease, revision, sent_at, former.era == lease.era)

    def _find_former(self) -> aggregators.Aggregator | None:
        held = self.directory.list_own()
        own_zone = [former for former in held if former.key.zone == self.zone]
        if self.scope is Scope.OWN_ZONE:
            return own_zone[0] if own_zone else None
        others = [former for former in held if former not in own_zone[:1]]
        return others[0] if others else None

    def _renew_lease(self) -> None:
        sent_at = self.clock()
        try:
            is_alive = self.client.keep_lease(self._lease)
        except store.StoreError as error:
            if error.kind is not store.FailureKind.RESTORED:
                raise
            self._reclaim_slot(str(error))
            return
        if not is_alive:
            self._replace_lease()
        elif self.held is not None:
            self._extend(sent_at)
            self._mark_slot()

    def _replace_lease(self) -> None:
        """Drop the slot; with quotas, take it again at once if it is vacant."""
        held = self.held
        self._drop_slot("the lease has ended")
        if held is not None and self._may_hold_slots() and self.has_quotas():
            self._take_slot(held)

    def _mark_slot(self) -> None:
        """Tell later holders of the slot that it has had a quota lessor."""
        if not self.has_quotas() or self._term.is_marked:
            return
        mark = documents.format_lessor_mark_key(self.held.key)
        self.client.replace_key(mark, b"", view.StoreRevision(0))
        if self._term is not None:
            self._term = dataclasses.replace(self._term, is_marked=True)

    def _reclaim_slot(self, reason: str) -> None:
        """Keep the slot if the restored store still has it, else take it anew.

        If it has not, the lease is gone, and its id may belong to another host.
        """
        held = self.held
        if held is None:
            return
        lease = self.client.find_lease(
            documents.format_aggregator_key(held.key),
            documents.encode_aggregator(held),
            self._revision,
        )
        if lease is not None:
            self._lease = lease
            return
        self._drop_slot(reason)
        if not self._is_retired:
            self._take_slot(held)

    def _extend(self, sent_at: float) -> None:
        # The lease runs from the arrival of the call, which is later.
        self._lease_until = sent_at + LEASE_TTL_S
        if self.scope is Scope.OWN_ZONE:
            self.retry_budget.extend_slot(self._lease_until)

    def _has_vacancy(self) -> bool:
        if not self._may_hold_slots() or not self.view.was_confirmed():
            return False
        return bool(self._list_vacant())

    def _may_hold_slots(self) -> bool:
        if self._is_retired or self.address is None:
            return False
        if self.has_quotas():
            return True
        return self.scope is Scope.OWN_ZONE and self.host_count >= MIN_HOSTS

    def wants_slot(self) -> bool:
        """Return whether this host waits for a slot."""
        return self.held is None and self._may_hold_slots()

    def _list_vacant(self) -> list[aggregators.SlotKey]:
        if self.scope is Scope.OWN_ZONE:
            return self.directory.list_vacant(self.zone)
        now = self.clock()
        vacant = itertools.chain.from_iterable(
            map(self.directory.list_vacant, self.zones)
        )
        self._vacant_since = {key: self._vacant_since.get(key, now) for key in vacant}
        return [
            key
            for key, since in self._vacant_since.items()
            if now - since >= ORPHAN_DELAY_S
        ]

    def _compute_candidacy_delay_s(self) -> float:
        cores_s = CANDIDACY_DELAY_CORES_S
        if self.has_quotas():
            quota_cores_s = (
                QUOTA_CANDIDACY_CORES_S
                + QUOTA_CANDIDACY_PER_HOST_CORES_S * self.host_count
            )
            cores_s = min(cores_s, quota_cores_s)
        delay_s = cores_s / max(self.capacity_cores, 0.1)
        return delay_s * (0.5 + self.rng.random())

    def _try_take_slot(self) -> None:
        """Take a slot that is vacant in the store; this host may not know yet."""
        prefix = (
            documents.format_aggregator_prefix(self.zone)
            if self.scope is Scope.OWN_ZONE
            else documents.AGGREGATOR_KEY_PREFIX
        )
        listing = self.client.list_keys(prefix)
        vacant = [key for key in self._list_vacant() if not self._is_held(key, listing)]
        if not vacant:
            self.sleep(RETRY_DELAY_S)
            return
        key = vacant[0] if self.scope is Scope.OWN_ZONE else self.rng.choice(vacant)
        candidate = aggregators.Aggregator(
            key, self.directory.own_host, self.address, self.capacity_cores
        )
        self._take_slot(candidate)

    def _is_held(self, key: aggregators.SlotKey, listing: store.KeyList) -> bool:
        """Return whether a slot that was seen to be vacant has been taken since.

        The listing may be stale, and then be from before the slot was vacant.
        """
        is_newer = (
            listing.era >= self.directory.era
            and listing.revision >= self.directory.get_revision(key)
        )
        return is_newer and documents.format_aggregator_key(key) in listing.keys

    def _take_slot(self, candidate: aggregators.Aggregator) -> None:
        """Take a slot, unless the store shows that another host holds it."""
        sent_at = self.clock()
        lease = self.client.grant_lease(LEASE_TTL_S)
        candidate = dataclasses.replace(candidate, era=lease.era)
        is_sole = lease.era <= FIRST_ERA
        key = documents.format_aggregator_key(candidate.key)
        value = documents.encode_aggregator(candidate)
        if is_sole and self.has_quotas():
            mark = documents.format_lessor_mark_key(candidate.key)
            revision = self.client.create_key_and_mark(key, value, lease, mark)
            if revision is not None:
                self._hold(candidate, lease, revision, sent_at, is_sole)
                self._term = dataclasses.replace(
                    self._term, is_first=True, is_marked=True
                )
                return
        revision = self.client.create_key(key, value, lease)
        if revision is not None:
            self._hold(candidate, lease, revision, sent_at, is_sole)

    def _hold(
        self,
        held: aggregators.Aggregator,
        lease: store.Lease,
        revision: view.StoreRevision,
        sent_at: float,
        is_sole: bool,
    ) -> None:
        """Hold a slot; no other host can believe that it does if this `is_sole`."""
        self.held, self._lease, self._revision = held, lease, revision
        now = self.clock()
        # A host whose lease a restored store has lost may not know it until then.
        lapsed_at = max(now, self.view.era_since + LEASE_TTL_S)
        if self.scope is Scope.OWN_ZONE:
            self.retry_budget.take_slot(lapsed_at)
        self._term = quota_lessor.SlotTerm(
            held.key,
            quota_ledger.Term(f"{self.rng.getrandbits(64):x}"),
            now if is_sole else lapsed_at,
            is_marked=False,
        )
        self._taken_at = now
        self._is_return_wanted = False
        self._extend(sent_at)
        self._record(RoleChange.TAKEN, held, "")

    def find_term(self, now: float) -> quota_lessor.SlotTerm | None:
        """Return since when this host holds its slot, while that is certain."""
        if self.held is None or now >= self._lease_until:
            return None
        return self._term

    def may_resume_term(self, term: quota_ledger.Term, _now: float) -> bool:
        """Return whether the slot is held, or may turn out to be, since that term."""
        return self._term is not None and self._term.id == term

    def offer_slot(self, zone: names.ZoneName) -> None:
        """Give up the slot soon if it is one of a zone whose own hosts want it."""
        if self.scope is not Scope.ORPHANED or self.held is None:
            return
        is_due = self.clock() - self._taken_at >= MIN_ORPHAN_TERM_S
        if is_due and self.held.key.zone == zone:
            self._is_return_wanted = True

    def _drop_slot(self, reason: str) -> None:
        if self.held is not None:
            self._record(RoleChange.LOST, self.held, reason)
        self._clear()

    def _clear(self) -> None:
        self.held = self._lease = self._term = None
        if self.scope is Scope.OWN_ZONE:
            self.retry_budget.lose_slot()

    def retire(self) -> None:
        """Give up the slot for good, since the host shuts down.

        With quotas the host answers as the lessor until its process ends, and the slot
        waits for the next process: in a restart, other hosts would take seconds to
        learn of a new holder.
        """
        if self.held is not None and self.has_quotas():
            return
        self._is_retired = True
        self._give_up("shutdown")

    def _give_up(self, reason: str) -> None:
        held = self.held
        if held is None:
            return
        self._clear()
        try:
            self.client.remove_key(
                documents.format_aggregator_key(held.key), self._revision
            )
        except store.StoreError as error:
            # The key goes with its lease, which nobody renews.
            self._record(RoleChange.LOST, held, str(error))
            return
        self._record(RoleChange.GIVEN_UP, held, reason)

    def _record(
        self, change: RoleChange, held: aggregators.Aggregator, reason: str
    ) -> None:
        self.log.record(
            event_log.AggregatorRoleChanged(
                change.value, held.key.zone, held.key.slot, reason
            )
        )
