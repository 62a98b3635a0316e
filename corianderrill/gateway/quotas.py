"""Admits the requests of workspaces that have a quota over all hosts.

A request is admitted under a quota lease of this host if that has room. Else the quota
lessor of the workspace decides: this host itself without a message, or another one. A
request is refused if neither allows it.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable, Sequence

from eventlet import event

from corianderrill import metrics, names
from corianderrill.gateway import (
    aggregators,
    event_log,
    loop,
    quota_allowances,
    quota_client,
    quota_exchanges,
    quota_ledger,
    quota_lessor,
    quota_messages,
    quota_placement,
    quota_records,
    quota_terms,
    quota_verdicts,
    routes,
    view,
)
from corianderrill.platform import settings

# How long a request waits for the lessor, as a share of its goal.
ANSWER_GOAL_SHARE = 0.25
MIN_ANSWER_TIME_S = 0.015
MAX_ANSWER_TIME_S = 0.1
# A request that no lessor decided may come back after this time.
UNDECIDED_RETRY_AFTER_S = 0.25
# Without quota lessors, each host uses this part of an equal share of the quota. The
# rest is for hosts that are added.
EQUAL_SHARE_FACTOR = 0.9


class Unlimited:
    """Admits all requests, where there are no quotas."""

    def admit(self, *_: object) -> None:
        """Return that the request takes nothing of a quota."""

    def give_back(self, _: quota_verdicts.Admission | None) -> None:
        """Do nothing."""

    def answer(self, _: quota_messages.Message) -> None:
        """Return that this host is no quota lessor."""

    def is_needed(self) -> bool:
        """Return that no workspace has a quota."""
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    """A request that is being decided."""

    id: names.RequestId
    workspace: names.WorkspaceName
    terms: quota_terms.QuotaTerms
    key: aggregators.SlotKey
    began_at: float
    on_verdict: Callable[[quota_verdicts.Verdict], None]


@dataclasses.dataclass(slots=True)
class Quotas:
    """The quotas as one host applies them.

    `can_hold_slots` tells whether other hosts can reach this one. `host_count` is the
    number of hosts of the site. `started_at` is when the process started.
    """

    lessee: quota_ledger.Lessee
    view: view.View
    directory: aggregators.AggregatorDirectory
    zones: Iterable[names.ZoneName]
    roles: Sequence[quota_lessor.SlotRole]
    get_pool: Callable[[names.Address], quota_exchanges.Pool]
    wants_slot: Callable[[], bool]
    zone: names.ZoneName
    can_hold_slots: bool
    loop: loop.Loop
    log: event_log.EventLog
    meter: metrics.Recorder
    started_at: float
    bounds: settings.QuotaBounds | None = None
    host_count: float = math.inf
    allowances: quota_allowances.QuotaAllowances = dataclasses.field(
        default_factory=quota_allowances.QuotaAllowances
    )
    placement: quota_placement.QuotaPlacement = dataclasses.field(init=False)
    client: quota_client.QuotaClient = dataclasses.field(init=False)
    lessor: quota_lessor.QuotaLessor = dataclasses.field(init=False)
    _configuration: routes.Configuration | None = None
    _has_seen_lessor: bool = False

    def __post_init__(self) -> None:
        self.placement = quota_placement.QuotaPlacement(self.zones)
        self.client = quota_client.QuotaClient(
            self.lessee,
            self.zone,
            self.get_pool,
            self.wants_slot,
            self,
            self.loop,
            self.log,
            self.meter,
        )
        self.lessor = quota_lessor.QuotaLessor(
            self.roles,
            self.placement,
            self.find_terms,
            self.log,
            self.meter,
            self.loop.now,
        )

    def apply_bounds(
        self, bounds: settings.QuotaBounds | None, host_count: float
    ) -> None:
        """Apply new bounds; quotas end if there are none."""
        self.bounds = bounds
        self.host_count = host_count

    # The configuration.

    def is_needed(self) -> bool:
        """Return whether a workspace has a quota."""
        if self.bounds is None:
            return False
        self._read_configuration()
        configuration = self._configuration
        return (
            configuration is not None
            and configuration.mean_workspace_requests_per_s is not None
        )

    def _read_configuration(self) -> None:
        configuration = self.view.configuration
        if configuration is self._configuration:
            return
        self._configuration = configuration
        self.placement.retain(set(configuration.workspaces_by_name))

    def find_terms(
        self, workspace: names.WorkspaceName
    ) -> quota_terms.QuotaTerms | None:
        """Return the quota of a workspace by the configuration in force.

        Return None if it has none. Raise KeyError if the workspace is unknown.
        """
        self._read_configuration()
        if self._configuration is None:
            raise KeyError(workspace)
        found = self._configuration.workspaces_by_name[workspace]
        return (
            None if self.bounds is None else quota_terms.build_terms(found, self.bounds)
        )

    def find_terms_if_known(
        self, workspace: names.WorkspaceName
    ) -> quota_terms.QuotaTerms | None:
        """Return the quota of a workspace; None if it has none or is unknown."""
        try:
            return self.find_terms(workspace)
        except KeyError:
            return None

    # Requests.

    def admit(
        self,
        workspace: names.WorkspaceName,
        route: routes.Route,
        request_id: names.RequestId,
        now: float,
    ) -> quota_verdicts.Admission | quota_verdicts.Refusal | None:
        """Decide on a request; wait for the quota lessor if it has to be asked.

        `workspace` is empty if the request belongs to none. Return None if it has no
        quota.
        """
        if not workspace or self.bounds is None:
            return None
        terms = self.find_terms_if_known(workspace)
        if terms is None:
            return None
        decided = event.Event()
        self.decide(workspace, terms, route.goal_s, request_id, now, decided.send)
        return decided.wait()

    def decide(
        self,
        workspace: names.WorkspaceName,
        terms: quota_terms.QuotaTerms,
        goal_s: float,
        request_id: names.RequestId,
        now: float,
        on_verdict: Callable[[quota_verdicts.Verdict], None],
    ) -> None:
        """Decide on a request; `on_verdict` may be called before this returns."""
        key = self.placement.find_slot(workspace)
        request = _Request(request_id, workspace, terms, key, now, on_verdict)
        if self._try_lease(request, now):
            return
        ledger = self.lessor.find_ledger(key, now)
        if ledger is not None:
            self._decide_as_lessor(request, ledger, now)
            return
        holder = self.directory.find_holder(key)
        if holder is None or holder.host == self.lessee.host:
            self._refuse(
                request, quota_verdicts.Decision.LESSOR_UNKNOWN, UNDECIDED_RETRY_AFTER_S
            )
        elif not self.client.is_available(holder):
            self._refuse(
                request,
                quota_verdicts.Decision.LESSOR_UNREACHABLE,
                UNDECIDED_RETRY_AFTER_S,
            )
        else:
            self._ask(request, holder, goal_s, now)

    def _try_lease(self, request: _Request, now: float) -> bool:
        """Admit a request under a lease, if there is one with room."""
        allowance = self.allowances.get(request.workspace)
        least_units = self._compute_equal_share(request.terms, now)
        if not allowance.try_admit(request.terms, now, least_units):
            return False
        self._admit(
            request,
            quota_verdicts.Decision.LEASE,
            quota_verdicts.Admission(request.workspace, now),
        )
        return True

    def _compute_equal_share(self, terms: quota_terms.QuotaTerms, now: float) -> int:
        """Return what the host may use where no host can be a quota lessor.

        A process that has just started may have used it before a restart.
        """
        if self.can_hold_slots or self._has_seen_lessor:
            return 0
        if self.directory.list_keys():
            self._has_seen_lessor = True
            return 0
        if now - self.started_at < terms.window_s:
            return 0
        total = terms.requests_per_s * terms.window_s + terms.burst + terms.excess
        return math.floor(EQUAL_SHARE_FACTOR * total / self.host_count)

    def _decide_as_lessor(
        self, request: _Request, ledger: quota_ledger.QuotaLedger, now: float
    ) -> None:
        """Decide as the quota lessor of the workspace."""
        grant = self._ask_ledger(request.workspace, request.terms, ledger, 1, now)
        if grant.granted:
            term = quota_ledger.Term("") if grant.overdrawn else ledger.term
            admission = quota_verdicts.Admission(
                request.workspace, now, request.key, term
            )
            self._admit(request, quota_verdicts.Decision.TOKEN, admission)
        else:
            self._refuse(
                request, quota_verdicts.Decision.OVER_QUOTA, grant.retry_after_s
            )

    def _ask_ledger(
        self,
        workspace: names.WorkspaceName,
        terms: quota_terms.QuotaTerms,
        ledger: quota_ledger.QuotaLedger,
        wanted: int,
        now: float,
    ) -> quota_ledger.Grant:
        ask = quota_ledger.Ask(wanted, self.take_used(workspace))
        sequence = self.client.next_sequence()
        grant = self.lessor.decide(
            ledger, workspace, terms, self.lessee, sequence, ask, now
        )
        if grant.units:
            self.allowances.get(workspace).add(grant.units, grant.total, now)
        return grant

    def _ask(
        self,
        request: _Request,
        holder: aggregators.Aggregator,
        goal_s: float,
        now: float,
    ) -> None:
        answer_time_s = ANSWER_GOAL_SHARE * goal_s
        answer_time_s = min(max(answer_time_s, MIN_ANSWER_TIME_S), MAX_ANSWER_TIME_S)
        waiter = quota_client.Waiter(
            request.workspace,
            request.terms.requests_per_s,
            now + answer_time_s,
            lambda verdict: self._apply_verdict(request, verdict),
        )
        self.client.ask(holder, waiter)

    def _apply_verdict(
        self, request: _Request, verdict: quota_client.LessorVerdict
    ) -> None:
        """Decide on a request by the answer of the lessor, or without one."""
        now = self.loop.now()
        match verdict.outcome:
            case quota_exchanges.Outcome.GRANTED:
                admission = quota_verdicts.Admission(
                    request.workspace, now, request.key, verdict.term
                )
                self._admit(request, quota_verdicts.Decision.TOKEN, admission)
            case quota_exchanges.Outcome.DENIED:
                self._refuse(
                    request, quota_verdicts.Decision.OVER_QUOTA, verdict.retry_after_s
                )
            case _ if self._try_lease(request, now):
                return
            case quota_exchanges.Outcome.REFUSED | quota_exchanges.Outcome.UNKNOWN:
                self._refuse(
                    request,
                    quota_verdicts.Decision.LESSOR_UNKNOWN,
                    UNDECIDED_RETRY_AFTER_S,
                )
            case _:
                self._refuse(
                    request,
                    quota_verdicts.Decision.LESSOR_UNREACHABLE,
                    UNDECIDED_RETRY_AFTER_S,
                )

    def _admit(
        self,
        request: _Request,
        decision: quota_verdicts.Decision,
        admission: quota_verdicts.Admission,
    ) -> None:
        self.meter.count(metrics.GATEWAY_QUOTA_DECISIONS, decision.value)
        request.on_verdict(admission)

    def _refuse(
        self, request: _Request, decision: quota_verdicts.Decision, retry_after_s: float
    ) -> None:
        self.meter.count(metrics.GATEWAY_QUOTA_DECISIONS, decision.value)
        now = self.loop.now()
        holder = self.directory.find_holder(request.key)
        allowance = self.allowances.get(request.workspace)
        self.log.record(
            quota_records.QuotaRefused(
                request_id=request.id,
                workspace=request.workspace,
                cause=decision.value,
                slot=str(request.key),
                lessor="" if holder is None else holder.host,
                units=allowance.count_units(request.terms, now),
                waited_ms=round(1000 * (now - request.began_at), 1),
                retry_after_s=round(retry_after_s, 3),
            )
        )
        status = 429 if decision is quota_verdicts.Decision.OVER_QUOTA else 503
        request.on_verdict(quota_verdicts.Refusal(status, decision, retry_after_s))

    def give_back(self, admission: quota_verdicts.Admission | None) -> None:
        """Return what a request took that was certainly not sent to any replica."""
        if admission is None:
            return
        if admission.key is None:
            self.allowances.get(admission.workspace).give_back(admission.admitted_at)
            return
        if not admission.term:
            return
        now = self.loop.now()
        ledger = self.lessor.find_ledger(admission.key, now)
        if ledger is not None and ledger.term == admission.term:
            ledger.give_back(admission.workspace, self.lessee)
        else:
            self.client.return_token(admission.key, admission.workspace, admission.term)

    def answer(self, message: quota_messages.Message) -> quota_messages.Answer | None:
        """Answer a message of another host; None if this host is not the lessor."""
        if self.bounds is None:
            return None
        return self.lessor.answer(message, self.loop.now())

    # The leases of this host, for the client.

    def take_used(self, workspace: names.WorkspaceName) -> int:
        """Return how many requests ran under a lease since the last call."""
        allowance = self.allowances.get(workspace)
        used, allowance.used = allowance.used, 0
        return min(used, quota_messages.MAX_COUNT)

    def add_lease(
        self,
        workspace: names.WorkspaceName,
        grant: quota_messages.WorkspaceGrant,
        sent_at: float,
    ) -> None:
        """Keep a lease that an answer brought."""
        self.allowances.get(workspace).add(grant.units, grant.total, sent_at)

    def renew_lease(self, workspace: names.WorkspaceName, now: float) -> None:
        """Ask for a new lease in the background."""
        terms = self.find_terms_if_known(workspace)
        if terms is None:
            return
        key = self.placement.find_slot(workspace)
        ledger = self.lessor.find_ledger(key, now)
        holder = self.directory.find_holder(key)
        if ledger is not None:
            self._ask_ledger(workspace, terms, ledger, 0, now)
        elif (
            holder is not None
            and holder.host != self.lessee.host
            and self.client.is_available(holder)
        ):
            self.client.renew(holder, [workspace])
