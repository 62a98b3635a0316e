"""Takes an aggregator slot of the own availability zone, and renews its lease."""

import dataclasses
import enum
import random
from collections.abc import Callable

import eventlet

from corianderrill import names
from corianderrill.gateway import aggregators, event_log, loop, retry_budget, view
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


class RoleChange(enum.Enum):
    """A change of the role; the values are written to the log."""

    TAKEN = "taken"
    RENEWAL_FAILED = "renewal-failed"
    LOST = "lost"
    GIVEN_UP = "given-up"


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
    _lease: store.Lease | None = None
    _revision: view.StoreRevision = view.StoreRevision(0)
    _lease_until: float = 0.0
    _is_retired: bool = False

    def run(self) -> None:
        """Take a slot whenever one is vacant, and keep it; never returns."""
        while True:
            try:
                self._step()
            except store.StoreError as error:
                self._handle_failure(error)

    def _handle_failure(self, error: store.StoreError) -> None:
        """Keep the slot while its lease is certain to last, else drop it and wait."""
        if self.held is not None and self.clock() < self._lease_until:
            self._record(RoleChange.RENEWAL_FAILED, self.held, str(error))
            return
        self._drop_slot(str(error))
        self.sleep(RETRY_DELAY_S * (0.5 + self.rng.random()))

    def _step(self) -> None:
        if self.held is not None:
            self.sleep(RENEWAL_INTERVAL_S)
            if self.held is not None:
                self._renew_lease()
            return
        self.sleep(CHECK_INTERVAL_S * (0.5 + self.rng.random()))
        if not self._has_vacancy():
            return
        self.sleep(self._compute_candidacy_delay_s())
        if self._has_vacancy():
            self._try_take_slot()

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
            self._drop_slot("the lease has ended")
        elif self.held is not None:
            self._extend(sent_at)

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
        self.retry_budget.extend_slot(self._lease_until)

    def _has_vacancy(self) -> bool:
        if self._is_retired or self.address is None or self.host_count < MIN_HOSTS:
            return False
        return self.view.was_confirmed() and bool(self.directory.list_vacant(self.zone))

    def _compute_candidacy_delay_s(self) -> float:
        delay_s = CANDIDACY_DELAY_CORES_S / max(self.capacity_cores, 0.1)
        return delay_s * (0.5 + self.rng.random())

    def _try_take_slot(self) -> None:
        """Take a slot that is vacant in the store; this host may not know yet."""
        held_keys = self.client.list_keys(documents.format_aggregator_prefix(self.zone))
        vacant = [
            key
            for key in self.directory.list_vacant(self.zone)
            if documents.format_aggregator_key(key) not in held_keys
        ]
        if not vacant:
            self.sleep(RETRY_DELAY_S)
            return
        candidate = aggregators.Aggregator(
            vacant[0], self.directory.own_host, self.address, self.capacity_cores
        )
        self._take_slot(candidate)

    def _take_slot(self, candidate: aggregators.Aggregator) -> None:
        """Take a slot, unless the store shows that another host holds it."""
        sent_at = self.clock()
        lease = self.client.grant_lease(LEASE_TTL_S)
        revision = self.client.create_key(
            documents.format_aggregator_key(candidate.key),
            documents.encode_aggregator(candidate),
            lease,
        )
        if revision is None:
            return
        self.held, self._lease, self._revision = candidate, lease, revision
        # A host whose lease a restored store has lost may not know it until then.
        lapsed_at = self.view.era_since + LEASE_TTL_S
        self.retry_budget.take_slot(max(self.clock(), lapsed_at))
        self._extend(sent_at)
        self._record(RoleChange.TAKEN, candidate, "")

    def _drop_slot(self, reason: str) -> None:
        if self.held is not None:
            self._record(RoleChange.LOST, self.held, reason)
        self.held = self._lease = None
        self.retry_budget.lose_slot()

    def retire(self) -> None:
        """Give up the slot for good, since the host shuts down."""
        self._is_retired = True
        held = self.held
        if held is None:
            return
        self.held = self._lease = None
        self.retry_budget.lose_slot()
        try:
            self.client.remove_key(
                documents.format_aggregator_key(held.key), self._revision
            )
        except store.StoreError as error:
            # The key goes with its lease, which nobody renews.
            self._record(RoleChange.LOST, held, str(error))
            return
        self._record(RoleChange.GIVEN_UP, held, "shutdown")

    def _record(
        self, change: RoleChange, held: aggregators.Aggregator, reason: str
    ) -> None:
        self.log.record(
            event_log.AggregatorRoleChanged(
                change.value, held.key.zone, held.key.slot, reason
            )
        )
