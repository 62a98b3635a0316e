"""One entry host: it joins the parts, owns their tasks, and answers requests."""

import random
import time
import uuid

import eventlet
import msgspec

from corianderrill import (
    admission,
    admission_gate,
    claims,
    clocks,
    cluster,
    entry,
    fanout,
    fanout_policies,
    hedging,
    hostlist,
    knowledge,
    logs,
    metering,
    metrics,
    metrics_collection,
    names,
    observation,
    operators,
    outcomes,
    plan,
    platform_updates,
    query_runner,
    serving,
    settings,
    shutdown,
    timeline,
)

LISTEN_BACKLOG = 1024
BASELINE_RETRY_AFTER_S = 0.25
READY_POLL_S = 0.05

REFUSAL_DETAILS = {
    outcomes.RefusalReason.OVERLOADED: "the host is at its limit; retry elsewhere",
    outcomes.RefusalReason.DEADLINE: "too little time is left; give a later deadline",
}


class HostStatus(msgspec.Struct):
    """What a host tells operators of itself.

    `confirmed_age_s` is the time since the platform last confirmed the
    configuration, in seconds.
    """

    member: names.MemberId
    zone: names.ZoneName
    is_ready: bool
    revision: names.Revision
    confirmed_age_s: float
    backend_servers: int
    snapshots: list[str]


class EntryHost:
    """The tasks and the state of one start of an entry host."""

    def __init__(self, values: settings.Settings):
        self.settings = values
        self.member = names.MemberId(
            values.host.name, names.Incarnation(uuid.uuid4().hex[:12])
        )
        self.knowledge = knowledge.Knowledge()
        self._has_state = False
        self._answering = 0
        self._leaving = shutdown.ShutdownTask(
            shutdown.ShutdownSequence(
                values.leaving.announce_s, values.leaving.grace_s
            ),
            shutdown.ShutdownHooks(
                self._tell_peers,
                self._note_draining,
                self.count_in_flight,
                self.stop,
            ),
        )
        self.address: names.Address | None = None
        self.operators_address: names.Address | None = None
        self.recorder = metrics.Recorder()
        self._key_value = metering.connect(
            values.platform.key_value, values.platform.timeout_s, self.recorder
        )
        self.events = timeline.Timeline(
            self.member,
            values.host.zone,
            values.reporting.timeline_events,
            clocks.HybridClock(),
            enabled=values.reporting.timeline,
        )
        self._journal = logs.Journal(values.host.name)
        self.observer = observation.Observer(self.recorder, self.events)
        self._steering = self._make_steering()
        decisions = admission.AdmissionController(
            max_queries=values.admission.queries_at_most
        )
        self._gate = admission_gate.AdmissionGate(
            decisions, self.recorder, self._steering.record_loop_lag
        )
        self.cluster = cluster.Cluster(
            values,
            self.member,
            self.knowledge,
            self._key_value,
            self._steering,
            cluster.Telemetry(self.recorder, self.events, self._journal),
        )
        self._tasks: list[eventlet.greenthread.GreenThread] = []

    def _make_steering(self) -> fanout.FanOutPolicy:
        match self.settings.routing.policy:
            case settings.Policy.FIXED:
                return fanout_policies.RoundRobinPolicy(
                    self.knowledge.directory, BASELINE_RETRY_AFTER_S
                )
            case settings.Policy.ADAPTIVE:
                zone = self.settings.host.zone
                hedges = _make_hedging(self.settings.hedging)
                return fanout_policies.AdaptivePolicy(
                    zone, self.knowledge.catalogs, random.Random(), hedges
                )

    @property
    def is_ready(self) -> bool:
        """Whether the host has what it needs to answer and is not leaving."""
        return self._has_state and self._leaving.sequence.is_ready

    def _wait_for_state(self) -> None:
        while not self._holds_state():
            eventlet.sleep(READY_POLL_S)
        self._has_state = True
        self._journal.change("host", "ready")
        self.events.record(timeline.Kind.PROCESS_READY)

    def _holds_state(self) -> bool:
        return bool(
            not self.knowledge.lacks_platform
            and self.knowledge.configuration.ready
            and self.cluster.backend_access.can_reach_all_shards()
        )

    def start(self) -> names.Address:
        """Listen for callers and start the tasks; return the callers' address."""
        listen = self.settings.listen.callers
        listener = eventlet.listen((listen.ip, listen.port), backlog=LISTEN_BACKLOG)
        self.address = names.Address(*listener.getsockname()[:2])
        application = entry.EntryApplication(
            self.answer,
            lambda: self.is_ready,
            self.settings.admission.body_bytes_at_most,
        )
        bounds = _bound_callers(self.settings.admission)
        self._spawn(serving.serve, listener, application, bounds, self.recorder)
        self._gate.start()
        self.cluster.start()
        self._runner = query_runner.QueryRunner(
            self.knowledge.catalogs,
            self._steering,
            self.cluster.backend_access.dispatcher,
            self.observer,
        )
        self._listen_to_operators()
        self._host_list = self._make_host_list_follower()
        self._spawn(self._host_list.run)
        self._spawn(self._make_catalog_follower().run)
        self._spawn(self._wait_for_state)
        return self.address

    def read_host_list(self) -> None:
        """Read the host list now, ahead of the interval."""
        self._host_list.read_once()

    def _make_host_list_follower(self) -> platform_updates.HostListPoller:
        platform = self.settings.platform
        return platform_updates.HostListPoller(
            hostlist.HostListClient(f"http://{platform.host_list}/"),
            platform.host_list_interval_s,
            self.cluster.apply_host_list,
            self._journal,
        )

    def _make_catalog_follower(self) -> platform_updates.CatalogWatcher:
        timeout_s = self.settings.platform.watch_timeout_s
        return platform_updates.CatalogWatcher(
            self._key_value,
            self.knowledge.catalogs,
            timeout_s,
            self._journal,
            self.cluster.claimant.observe_revision,
        )

    def stop(self) -> None:
        """End every task and close every connection."""
        for task in self._tasks:
            task.kill()
        self._gate.stop()
        self.cluster.stop()

    def take_signal(self) -> None:
        """Note a signal to leave; safe to call from a signal handler."""
        self._leaving.handle_signal()

    def wait_until_left(self) -> shutdown.Close:
        """Wait for a signal, finish what is in flight, close, and tell how it ended."""
        closed = self._leaving.run()
        self.recorder.count(metrics.CUT_OFF, by=closed.cut_off)
        self._journal.change("host", closed.ending, cut_off=closed.cut_off)
        return closed

    def count_in_flight(self) -> int:
        """Return the queries and the sub-requests for peers that are not finished."""
        return self._answering + self.cluster.backend_access.count_in_flight()

    def _tell_peers(self) -> None:
        self._journal.change("host", "leaving")
        self.events.record(timeline.Kind.PROCESS_LEAVING)
        self.cluster.leave()

    def _note_draining(self) -> None:
        self._journal.change("host", "refusing new queries")

    def take_settings(self, values: settings.Settings) -> None:
        """Put settings in force that `settings.reload` has let through."""
        self.settings = values
        self.events.enabled = values.reporting.timeline

    def _listen_to_operators(self) -> None:
        listen = self.settings.listen.operators
        listener = eventlet.listen((listen.ip, listen.port))
        self.operators_address = names.Address(*listener.getsockname()[:2])
        sources = operators.Sources(
            self.settings.keys.operator_token,
            self.recorder,
            self.events,
            self.read_status,
            self.refresh_metrics,
            self.cluster.count_in_force,
        )
        zone = self.settings.host.zone
        metrics_collection.record_start(self.recorder, self.member, zone, time.time())
        application = operators.build_app(sources)
        self._spawn(
            serving.serve, listener, application, operators.BOUNDS, self.recorder
        )

    def refresh_metrics(self) -> None:
        """Copy what other parts count into the metrics, before a scrape."""
        self.cluster.refresh_metrics()
        if isinstance(self._steering, fanout_policies.AdaptivePolicy):
            metrics_collection.collect_replica_states(
                self.recorder, self._steering.replicas
            )
            metrics_collection.collect_extra_load(
                self.recorder, self._steering.hedging.budget
            )

    def read_status(self) -> HostStatus:
        """Return what the host knows of itself, for operators."""
        return HostStatus(
            member=self.member,
            zone=self.settings.host.zone,
            is_ready=self.is_ready,
            revision=self.knowledge.configuration.revision,
            confirmed_age_s=self.knowledge.configuration.pin().measure_age(
                time.monotonic()
            ),
            backend_servers=len(self.knowledge.directory.list_servers()),
            snapshots=[
                str(known.newest.id)
                for known in self.knowledge.catalogs.values()
                if known.newest
            ],
        )

    def answer(self, request: plan.QueryRequest) -> outcomes.Outcome:
        """Answer one request of a caller."""
        started_at = time.monotonic()
        self.observer.note_received(request)
        self._answering += 1
        try:
            outcome = self._answer(request)
        finally:
            self._answering -= 1
        elapsed_s = time.monotonic() - started_at
        self.observer.note_outcome(request, outcome, elapsed_s)
        return outcome

    def _answer(self, request: plan.QueryRequest) -> outcomes.Outcome:
        if not self._leaving.sequence.accepts_queries:
            detail = "this host is leaving; ask another host"
            return outcomes.NotRun(outcomes.RefusalReason.LEAVING, detail)
        if not self._has_state:
            detail = "this host has no state yet; ask another host"
            return outcomes.NotRun(outcomes.RefusalReason.NOT_READY, detail)
        now = time.monotonic()
        pinned = self.knowledge.configuration.pin()
        planned = plan.make_plan(request, pinned, now, self.settings.deadlines)
        if isinstance(planned, outcomes.NotRun):
            return planned
        self.observer.note_planned(planned)
        ticket = self._make_ticket(planned, request.priority)
        decision = self._gate.request_admission(ticket)
        if isinstance(decision, admission.Refuse):
            return outcomes.NotRun(decision.reason, REFUSAL_DETAILS[decision.reason])
        outcome = None
        try:
            outcome = self._run_planned(planned)
        finally:
            self._gate.finish(ticket, isinstance(outcome, outcomes.Complete))
        return outcome

    def _run_planned(self, planned: plan.Plan) -> outcomes.Outcome:
        if planned.bound_query.idempotent:
            return self._runner.run(planned)
        request = claims.Request(
            planned.request_id,
            planned.workspace,
            planned.deadline.at,
            planned.is_resent,
        )
        return self.cluster.claimant.run(request, lambda: self._runner.run(planned))

    def _make_ticket(
        self, planned: plan.Plan, priority: admission.Priority
    ) -> admission.Ticket:
        return admission.Ticket(
            id=self._gate.new_ticket_id(),
            workspace=planned.workspace,
            template=planned.bound_query.template,
            deadline=planned.deadline.at,
            cost=self._runner.estimate_cost(planned),
            priority=priority,
        )

    def _spawn(self, task, *arguments, **options) -> None:
        self._tasks.append(eventlet.spawn(task, *arguments, **options))


def _bound_callers(limits: settings.Admission) -> serving.Bounds:
    return serving.Bounds(
        limits.connections_at_most,
        limits.body_bytes_at_most,
        limits.slow_sender_s,
        limits.idle_s,
    )


def _make_hedging(values: settings.Hedging) -> hedging.HedgingPolicy:
    budget = hedging.ExtraLoadBudget(
        values.budget_share, values.burst_share, values.burst_s, values.least_in_burst
    )
    return hedging.HedgingPolicy(budget, values.quantile)
