import eventlet

from corianderrill import admission, admission_gate, metrics, names, outcomes

WORKSPACE = names.WorkspaceId(
    names.FleetName("gantry"), names.WorkspaceLabel("morning")
)
START_S = 100.0


def make_gate(limit, now):
    limiter = admission.ConcurrencyLimiter(
        initial=limit, min_limit=limit, max_limit=limit
    )
    decisions = admission.AdmissionController(limiter)
    return admission_gate.AdmissionGate(
        decisions, metrics.Recorder(), clock=lambda: now[0]
    )


def make_ticket(entered, deadline_s=1.0, cost=25):
    return admission.Ticket(
        entered.new_ticket_id(),
        WORKSPACE,
        names.TemplateName("permits"),
        START_S + deadline_s,
        cost,
    )


def test_a_query_waits_at_the_gate_until_another_leaves():
    now = [START_S]
    entered = make_gate(25, now)
    first, second = make_ticket(entered), make_ticket(entered)
    assert entered.request_admission(first) == admission.Admit(first)
    waiting = eventlet.spawn(entered.request_admission, second)
    eventlet.sleep(0)
    assert not waiting.dead
    entered.finish(first)
    assert waiting.wait() == admission.Admit(second)


def test_a_query_whose_deadline_passes_at_the_gate_is_refused():
    now = [START_S]
    entered = make_gate(25, now)
    first, second = make_ticket(entered), make_ticket(entered, deadline_s=0.03)
    entered.request_admission(first)
    waiting = eventlet.spawn(entered.request_admission, second)
    eventlet.sleep(0)
    entered.start()
    now[0] += 0.05
    decision = waiting.wait()
    entered.stop()
    assert isinstance(decision, admission.Refuse)
    assert decision.reason is outcomes.RefusalReason.OVERLOADED


def test_a_query_without_time_is_refused_at_once():
    entered = make_gate(25, [START_S])
    decision = entered.request_admission(make_ticket(entered, deadline_s=0.0))
    assert decision.reason is outcomes.RefusalReason.DEADLINE
