"""Asks quota lessors for the requests that no quota lease of this host covers.

One message covers all requests that wait for the same lessor. An answer that comes
after the time-out of a request is not used for it, and its tokens go back with the next
message. A lessor that does not answer in time is not asked again for a while, unless
its late answer shows that it is alive.
"""

import collections
import dataclasses
import itertools
from collections.abc import Callable, Iterable
from typing import Protocol

from corianderrill import metrics, names
from corianderrill.gateway import (
    aggregators,
    event_log,
    loop,
    quota_exchanges,
    quota_ledger,
    quota_messages,
    quota_records,
)

# Requests that come while so many messages are on their way wait for the next one.
MAX_MESSAGES_IN_FLIGHT = 4
BACKOFF_BASE_S = 0.2
MAX_BACKOFF_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LessorVerdict:
    """The answer for one request, and the term of a token that it got.

    The term is empty if there is none that could go back.
    """

    outcome: quota_exchanges.Outcome
    retry_after_s: float = 0.0
    term: quota_ledger.Term = quota_ledger.Term("")


class Leases(Protocol):
    """The quota leases of this host, by workspace."""

    def take_used(self, workspace: names.WorkspaceName) -> int:
        """Return how many requests ran under a lease since the last call."""

    def add_lease(
        self,
        workspace: names.WorkspaceName,
        grant: quota_messages.WorkspaceGrant,
        sent_at: float,
    ) -> None:
        """Keep a lease that an answer brought."""


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a lessor until `deadline`.

    The quota allows `requests_per_s`; further denied requests come back at that rate.
    """

    workspace: names.WorkspaceName
    requests_per_s: float
    deadline: float
    on_verdict: Callable[[LessorVerdict], None]
    timer: loop.Timer | None = None
    is_done: bool = False

    def finish(self, verdict: LessorVerdict) -> None:
        """Report the verdict."""
        self.is_done = True
        self.timer.cancel()
        self.on_verdict(verdict)


@dataclasses.dataclass(slots=True)
class _Link:
    """What this host knows of one lessor, and what it has to send to it."""

    holder: aggregators.Aggregator
    term: quota_ledger.Term = quota_ledger.Term("")
    waiting: list[Waiter] = dataclasses.field(default_factory=list)
    renewals: set[names.WorkspaceName] = dataclasses.field(default_factory=set)
    # Tokens of `term` that were not used.
    returned: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    in_flight: int = 0
    unavailable_until: float = 0.0
    lost_at: float | None = None
    failures: int = 0


@dataclasses.dataclass(slots=True)
class QuotaClient:
    """The questions of one process of a host to the quota lessors."""

    lessee: quota_ledger.Lessee
    zone: names.ZoneName
    get_pool: Callable[[names.Address], quota_exchanges.Pool]
    wants_slot: Callable[[], bool]
    leases: Leases
    loop: loop.Loop
    log: event_log.EventLog
    meter: metrics.Recorder
    _links: dict[aggregators.SlotKey, _Link] = dataclasses.field(default_factory=dict)
    _sequence: int = 0

    def next_sequence(self) -> int:
        """Return the number of the next message."""
        self._sequence += 1
        return self._sequence

    def is_available(self, holder: aggregators.Aggregator) -> bool:
        """Return whether a lessor is not in its pause after a failure."""
        return self._get_link(holder).unavailable_until <= self.loop.now()

    def _get_link(self, holder: aggregators.Aggregator) -> _Link:
        link = self._links.get(holder.key)
        if link is None or link.holder != holder:
            link = self._links[holder.key] = _Link(holder)
        return link

    def ask(self, holder: aggregators.Aggregator, waiter: Waiter) -> None:
        """Ask for one request; the verdict may come before this returns."""
        link = self._get_link(holder)
        now = self.loop.now()
        waiter.timer = self.loop.call_later(
            max(0.0, waiter.deadline - now), self._expire, link, waiter
        )
        link.waiting.append(waiter)
        self._flush(link)

    def _expire(self, link: _Link, waiter: Waiter) -> None:
        if waiter.is_done:
            return
        if waiter in link.waiting:
            link.waiting.remove(waiter)
        self._record_loss(link, quota_exchanges.Outcome.OVERDUE)
        waiter.finish(LessorVerdict(quota_exchanges.Outcome.OVERDUE))

    def renew(
        self, holder: aggregators.Aggregator, workspaces: Iterable[names.WorkspaceName]
    ) -> None:
        """Ask for new leases in the background."""
        link = self._get_link(holder)
        link.renewals.update(workspaces)
        self._flush(link)

    def return_token(
        self,
        key: aggregators.SlotKey,
        workspace: names.WorkspaceName,
        term: quota_ledger.Term,
    ) -> None:
        """Send a token back with the next message, if its ledger is still in use."""
        link = self._links.get(key)
        if link is not None and link.term == term:
            link.returned[workspace] += 1

    def send_returned(self) -> None:
        """Send the tokens that go back."""
        for link in list(self._links.values()):
            if link.returned and link.unavailable_until <= self.loop.now():
                link.renewals.update(link.returned)
                self._flush(link)

    def _flush(self, link: _Link) -> None:
        while (link.waiting or link.renewals) and (
            link.in_flight < MAX_MESSAGES_IN_FLIGHT
        ):
            exchange = quota_exchanges.Exchange(self, link, self._take_asks(link))
            link.in_flight += 1
            exchange.start()

    def _take_asks(self, link: _Link) -> dict[names.WorkspaceName, list[Waiter]]:
        """Return the requests to ask for, by workspace, as many as a message holds."""
        asks: dict[names.WorkspaceName, list[Waiter]] = {}
        left = []
        for waiter in link.waiting:
            if waiter.workspace in asks or len(asks) < quota_messages.MAX_ASKS:
                asks.setdefault(waiter.workspace, []).append(waiter)
            else:
                left.append(waiter)
        link.waiting = left
        for workspace in sorted(link.renewals):
            if workspace in asks or len(asks) < quota_messages.MAX_ASKS:
                asks.setdefault(workspace, [])
                link.renewals.discard(workspace)
        return asks

    def build_message(
        self, link: _Link, asks: dict[names.WorkspaceName, list[Waiter]]
    ) -> quota_messages.Message:
        """Return the message for these requests, as it is sent now."""
        return quota_messages.Message(
            host=self.lessee.host,
            process=self.lessee.process,
            sequence=self.next_sequence(),
            term=link.term,
            zone=self.zone,
            wants_slot=self.wants_slot(),
            asks=[
                quota_messages.WorkspaceAsk(
                    workspace,
                    sum(not waiter.is_done for waiter in waiters),
                    self.leases.take_used(workspace),
                    link.returned.pop(workspace, 0),
                )
                for workspace, waiters in asks.items()
            ],
        )

    def handle_end(
        self, exchange: quota_exchanges.Exchange, outcome: quota_exchanges.Outcome
    ) -> None:
        """Distribute the answer to a message, or report that there is none."""
        link = exchange.link
        link.in_flight -= 1
        self.meter.count(metrics.GATEWAY_QUOTA_MESSAGES, outcome.value)
        if exchange.answer is None:
            self._record_loss(link, outcome)
            for waiter in itertools.chain.from_iterable(exchange.asks.values()):
                if not waiter.is_done:
                    waiter.finish(LessorVerdict(outcome))
        else:
            self._record_answer(link)
            self._distribute(exchange)
        self._flush(link)

    def _distribute(self, exchange: quota_exchanges.Exchange) -> None:
        link, answer = exchange.link, exchange.answer
        term = quota_ledger.Term(answer.term)
        if link.term != term:
            link.term = term
            link.returned.clear()
        now = self.loop.now()
        for (workspace, waiters), grant in zip(
            exchange.asks.items(), answer.grants, strict=True
        ):
            if (
                grant.units
                and now - exchange.sent_at < quota_exchanges.MESSAGE_TIMEOUT_S
            ):
                self.leases.add_lease(workspace, grant, exchange.sent_at)
            unused = self._finish_waiters(waiters, grant, term, now)
            if unused:
                link.returned[workspace] += unused

    def _finish_waiters(
        self,
        waiters: list[Waiter],
        grant: quota_messages.WorkspaceGrant,
        term: quota_ledger.Term,
        now: float,
    ) -> int:
        """Report the grant to the requests that still wait; return the tokens left."""
        left = max(grant.granted, 0)
        no_term = quota_ledger.Term("")
        denied = 0
        for waiter in waiters:
            if waiter.is_done:
                continue
            if now > waiter.deadline:
                waiter.finish(LessorVerdict(quota_exchanges.Outcome.OVERDUE))
            elif grant.granted == quota_messages.UNKNOWN:
                waiter.finish(LessorVerdict(quota_exchanges.Outcome.UNKNOWN))
            elif left:
                token_term = term if left > grant.overdrawn else no_term
                left -= 1
                waiter.finish(
                    LessorVerdict(quota_exchanges.Outcome.GRANTED, term=token_term)
                )
            else:
                retry_after_s = grant.retry_after_s + denied / waiter.requests_per_s
                denied += 1
                waiter.finish(
                    LessorVerdict(quota_exchanges.Outcome.DENIED, retry_after_s)
                )
        return max(left - grant.overdrawn, 0)

    def _record_answer(self, link: _Link) -> None:
        if link.lost_at is not None:
            away_s = round(self.loop.now() - link.lost_at, 3)
            self.log.record(
                quota_records.QuotaLessorReturned(
                    link.holder.host, str(link.holder.address), away_s
                )
            )
        link.lost_at = None
        link.failures = 0
        link.unavailable_until = 0.0

    def _record_loss(self, link: _Link, outcome: quota_exchanges.Outcome) -> None:
        now = self.loop.now()
        if now < link.unavailable_until:
            return
        pause_s = min(BACKOFF_BASE_S * 2 ** min(link.failures, 6), MAX_BACKOFF_S)
        link.failures += 1
        link.unavailable_until = now + pause_s
        if link.lost_at is None:
            link.lost_at = now
            self.log.record(
                quota_records.QuotaLessorLost(
                    link.holder.host, str(link.holder.address), outcome.value, pause_s
                )
            )

    def retain(self, keys: set[aggregators.SlotKey]) -> None:
        """Forget the lessors of slots that nobody holds any more."""
        for key in self._links.keys() - keys:
            if not self._links[key].in_flight:
                del self._links[key]
