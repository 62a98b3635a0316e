"""Answers as the quota lessor for the workspaces of the slots that this host holds."""

import dataclasses
from collections.abc import Callable, Iterator, Sequence
from typing import Protocol

from corianderrill import metrics, names
from corianderrill.gateway import (
    aggregators,
    event_log,
    quota_ledger,
    quota_messages,
    quota_placement,
    quota_records,
    quota_terms,
)


@dataclasses.dataclass(frozen=True, slots=True)
class SlotTerm:
    """The time for which a host holds a slot without a break.

    No other host holds the slot at `started_at` or later. `is_first` tells that the
    slot has had no quota lessor before. Quota leases are granted once the term
    `is_marked`: the store tells later holders that the slot has had a lessor.
    """

    key: aggregators.SlotKey
    id: quota_ledger.Term
    started_at: float
    is_first: bool = False
    is_marked: bool = True


class SlotRole(Protocol):
    """The part of a host that holds a slot."""

    def find_term(self, now: float) -> SlotTerm | None:
        """Return the term that is certain to last at a time; None without one."""

    def may_resume_term(self, term: quota_ledger.Term, now: float) -> bool:
        """Return whether a term may become certain again, with no other in between."""

    def offer_slot(self, zone: names.ZoneName) -> None:
        """Give up the slot if it is of a zone whose own hosts want it."""


@dataclasses.dataclass(slots=True)
class QuotaLessor:
    """The ledgers of this host.

    `find_terms_of` returns the quota of a workspace by the configuration in force; it
    raises KeyError if that does not have the workspace.
    """

    roles: Sequence[SlotRole]
    placement: quota_placement.QuotaPlacement
    find_terms_of: Callable[[names.WorkspaceName], quota_terms.QuotaTerms | None]
    log: event_log.EventLog
    meter: metrics.Recorder
    clock: Callable[[], float]
    _ledgers: dict[aggregators.SlotKey, quota_ledger.QuotaLedger] = dataclasses.field(
        default_factory=dict
    )
    # Those that have had a ledger, which may have granted quota leases.
    _begun_terms: set[quota_ledger.Term] = dataclasses.field(default_factory=set)

    def find_ledger(
        self, key: aggregators.SlotKey, now: float
    ) -> quota_ledger.QuotaLedger | None:
        """Return the ledger of a slot; None if this host is not its lessor for sure."""
        for role in self.roles:
            term = role.find_term(now)
            if term is not None and term.key == key and now >= term.started_at:
                return self._get_ledger(term, now)
        return None

    def _get_ledger(self, term: SlotTerm, now: float) -> quota_ledger.QuotaLedger:
        """Return the ledger of a term.

        A ledger that was dropped in the same term has granted what this one does not
        know of. So each ledger counts from when it is made.
        """
        ledger = self._ledgers.get(term.key)
        if ledger is None or ledger.term != term.id:
            self._end_ledger(term.key)
            has_former = not term.is_first or term.id in self._begun_terms
            self._begun_terms.add(term.id)
            ledger = quota_ledger.QuotaLedger(term.id, now, has_former)
            self._ledgers[term.key] = ledger
            self.log.record(quota_records.QuotaTermBegun(str(term.key), term.id))
        ledger.is_marked = term.is_marked
        return ledger

    def _end_ledger(self, key: aggregators.SlotKey) -> None:
        ledger = self._ledgers.pop(key, None)
        if ledger is not None:
            self.log.record(
                quota_records.QuotaTermEnded(
                    str(key), ledger.term, len(ledger.list_accounts())
                )
            )

    def update_ledgers(self, now: float) -> None:
        """Begin the ledgers of slots that this host holds, and end the others."""
        for role in self.roles:
            term = role.find_term(now)
            if term is not None:
                self.find_ledger(term.key, now)
        for key, ledger in list(self._ledgers.items()):
            if not any(role.may_resume_term(ledger.term, now) for role in self.roles):
                self._end_ledger(key)

    def answer(
        self, message: quota_messages.Message, now: float
    ) -> quota_messages.Answer | None:
        """Answer a message of another host; None if this host is not the lessor."""
        for role in self.roles:
            if message.wants_slot:
                role.offer_slot(names.ZoneName(message.zone))
        slots = {self._find_slot(ask) for ask in message.asks}
        ledgers = [self.find_ledger(key, now) for key in slots]
        if len(ledgers) != 1 or ledgers[0] is None:
            return None
        lessee = quota_messages.build_lessee(message)
        is_own_term = message.term == ledgers[0].term
        grants = [
            self._answer_ask(
                ledgers[0], lessee, message.sequence, ask, is_own_term, now
            )
            for ask in message.asks
        ]
        return quota_messages.Answer(ledgers[0].term, grants)

    def _find_slot(self, ask: quota_messages.WorkspaceAsk) -> aggregators.SlotKey:
        return self.placement.find_slot(names.WorkspaceName(ask.workspace))

    def _answer_ask(
        self,
        ledger: quota_ledger.QuotaLedger,
        lessee: quota_ledger.Lessee,
        sequence: int,
        wire_ask: quota_messages.WorkspaceAsk,
        is_own_term: bool,
        now: float,
    ) -> quota_messages.WorkspaceGrant:
        workspace = names.WorkspaceName(wire_ask.workspace)
        ask = wire_ask.to_ask()
        if not is_own_term:
            ask = dataclasses.replace(ask, returned=0)
        try:
            terms = self.find_terms_of(workspace)
        except KeyError:
            return quota_messages.WorkspaceGrant(quota_messages.UNKNOWN)
        if terms is None:
            return quota_messages.WorkspaceGrant(ask.wanted)
        return quota_messages.build_grant(
            self.decide(ledger, workspace, terms, lessee, sequence, ask, now)
        )

    def decide(
        self,
        ledger: quota_ledger.QuotaLedger,
        workspace: names.WorkspaceName,
        terms: quota_terms.QuotaTerms,
        lessee: quota_ledger.Lessee,
        sequence: int,
        ask: quota_ledger.Ask,
        now: float,
    ) -> quota_ledger.Grant:
        """Return what the ledger grants, and record it."""
        grant = ledger.answer(workspace, terms, lessee, sequence, ask, now)
        self.meter.count(metrics.GATEWAY_QUOTA_TOKENS, "granted", by=grant.granted)
        if grant.granted < ask.wanted:
            denied = ask.wanted - grant.granted
            self.meter.count(metrics.GATEWAY_QUOTA_TOKENS, "denied", by=denied)
            self._record_denial(ledger, workspace, terms, lessee, ask, grant, now)
        return grant

    def _record_denial(
        self,
        ledger: quota_ledger.QuotaLedger,
        workspace: names.WorkspaceName,
        terms: quota_terms.QuotaTerms,
        lessee: quota_ledger.Lessee,
        ask: quota_ledger.Ask,
        grant: quota_ledger.Grant,
        now: float,
    ) -> None:
        account = ledger.list_accounts()[workspace]
        self.log.record(
            quota_records.QuotaDenied(
                workspace=workspace,
                host=lessee.host,
                wanted=ask.wanted,
                granted=grant.granted,
                tokens=round(account.tokens, 2),
                leased=account.count_leased(terms, now),
                term=ledger.term,
            )
        )

    def list_accounts(
        self, now: float
    ) -> Iterator[tuple[names.WorkspaceName, quota_ledger.Account]]:
        """Yield the accounts of the slots that this host holds."""
        for key in list(self._ledgers):
            ledger = self.find_ledger(key, now)
            if ledger is not None:
                yield from ledger.list_accounts().items()

    def drop_idle(self, now: float) -> None:
        """Forget unknown workspaces that nobody asks for."""
        for ledger in self._ledgers.values():
            for workspace, account in ledger.list_accounts().items():
                if account.is_idle(now) and not self._is_known(workspace):
                    ledger.discard(workspace)

    def _is_known(self, workspace: names.WorkspaceName) -> bool:
        try:
            self.find_terms_of(workspace)
        except KeyError:
            return False
        return True
