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
    controller = admission.AdmissionController(limiter)
    return admission_gate.AdmissionGate(
        controller, metrics.Recorder(), clock=lambda: now[0]
    )


def make_ticket(gate, deadline_s=1.0, cost=25):
    return admission.Ticket(
        gate.new_ticket_id(),
        WORKSPACE,
        names.TemplateName("permits"),
        START_S + deadline_s,
        cost,
    )


def test_query_waits_until_another_finishes():
    now = [START_S]
    gate = make_gate(25, now)
    first, second = make_ticket(gate), make_ticket(gate)
    assert gate.request_admission(first) == admission.Admit(first)
    waiting = eventlet.spawn(gate.request_admission, second)
    eventlet.sleep(0)
    assert not waiting.dead
    gate.finish(first)
    assert waiting.wait() == admission.Admit(second)


def test_query_whose_deadline_passes_while_it_waits_is_refused():
    now = [START_S]
    gate = make_gate(25, now)
    first, second = make_ticket(gate), make_ticket(gate, deadline_s=0.03)
    gate.request_admission(first)
    waiting = eventlet.spawn(gate.request_admission, second)
    eventlet.sleep(0)
    gate.start()
    now[0] += 0.05
    decision = waiting.wait()
    gate.stop()
    assert isinstance(decision, admission.Refuse)
    assert decision.reason is outcomes.RefusalReason.OVERLOADED


def test_query_without_remaining_time_is_refused_immediately():
    gate = make_gate(25, [START_S])
    decision = gate.request_admission(make_ticket(gate, deadline_s=0.0))
    assert decision.reason is outcomes.RefusalReason.DEADLINE
