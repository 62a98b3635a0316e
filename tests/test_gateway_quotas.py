"""How one host decides on requests: by lease, by itself, or by asking the lessor."""

import msgspec
import pytest

from corianderrill import names
from corianderrill.gateway import (
    connections,
    event_log,
    quota_client,
    quota_ledger,
    quota_messages,
    quota_records,
    quota_terms,
    quota_upkeep,
    quota_verdicts,
    quotas,
    request_report,
)
from tests.utils import gateway_builders, virtual_quotas
from tests.utils import quota_builders as builders

GOAL_S = 0.2
TIMEOUT_S = quotas.ANSWER_GOAL_SHARE * GOAL_S


def grant(granted, retry_after_s=0.0, units=0, total=0, term="t-1"):
    wire = quota_messages.WorkspaceGrant(granted, retry_after_s, units, total)
    answer = quota_messages.Answer(term, [wire])
    return connections.RawReply(200, [], quota_messages.encode_answer(answer))


def answer(host, index, reply):
    host.pool.exchanges[index].on_result(reply)


def read_ask(host, index):
    return quota_messages.decode_message(host.pool.bodies[index]).asks[0]


@pytest.mark.parametrize(
    ("limits", "workspace", "bounds"),
    [
        (((10.0, 1.0),), "", virtual_quotas.BOUNDS),
        (((None, 0.0),), builders.WORKSPACE, virtual_quotas.BOUNDS),
        (((10.0, 1.0),), builders.WORKSPACE, None),
        (((10.0, 1.0),), names.WorkspaceName("unknown"), virtual_quotas.BOUNDS),
    ],
    ids=["no workspace", "no limit", "no bounds", "unknown workspace"],
)
def test_nothing_happens_without_a_quota(limits, workspace, bounds):
    host = builders.Host(limits, bounds=bounds)
    route = gateway_builders.build_route()
    assert host.quotas.admit(workspace, route, names.RequestId("r"), 100.0) is None
    host.upkeep.tick(100.0)
    assert not host.pool.exchanges
    assert not host.log.records
    assert not host.quotas.allowances.items()


def test_request_is_admitted_by_the_answer_and_later_ones_by_its_lease():
    host = builders.Host()
    first = host.decide()
    assert not first
    answer(host, 0, grant(1, units=2, total=9))
    assert isinstance(first[0], quota_verdicts.Admission)
    assert all(isinstance(host.decide()[0], quota_verdicts.Admission) for _ in range(2))
    assert len(host.pool.exchanges) == 1
    assert not host.decide()
    assert read_ask(host, 1) == quota_messages.WorkspaceAsk(builders.WORKSPACE, 1, 2)


def test_request_over_the_quota_is_refused_with_the_delay_of_the_lessor():
    host = builders.Host()
    verdicts = host.decide()
    answer(host, 0, grant(0, 0.75))
    refusal = quota_verdicts.Refusal(429, quota_verdicts.Decision.OVER_QUOTA, 0.75)
    assert verdicts == [refusal]
    record, *_ = host.log.list_of(quota_records.QuotaRefused)
    assert (record.request_id, record.cause) == ("9c41", "over-quota")
    assert record.lessor == builders.OTHER_HOST


def test_requests_that_wait_share_a_message_and_its_answer():
    host = builders.Host()
    count = quota_client.MAX_MESSAGES_IN_FLIGHT + 3
    verdicts = [host.decide() for _ in range(count)]
    assert len(host.pool.exchanges) == quota_client.MAX_MESSAGES_IN_FLIGHT
    answer(host, 0, grant(1))
    assert read_ask(host, quota_client.MAX_MESSAGES_IN_FLIGHT).wanted == 3
    answer(host, quota_client.MAX_MESSAGES_IN_FLIGHT, grant(2, 0.5))
    last = [verdict for (verdict,) in verdicts[-3:]]
    assert [isinstance(verdict, quota_verdicts.Admission) for verdict in last] == [
        *(True, True, False)
    ]
    assert last[2].retry_after_s == 0.5


# Guards against a request that runs although its caller was told that it has not.
def test_answer_after_the_time_out_is_not_used_and_its_token_goes_back():
    host = builders.Host()
    verdicts = host.decide(GOAL_S)
    host.wait(TIMEOUT_S + 0.001)
    assert verdicts[0].decision is quota_verdicts.Decision.LESSOR_UNREACHABLE
    assert verdicts[0].status == 503
    answer(host, 0, grant(1))
    assert len(verdicts) == 1
    host.upkeep.tick(host.loop.now())
    assert read_ask(host, 1).returned == 1


def test_time_out_grows_with_the_goal_within_bounds():
    waits_s = []
    for goal_s in (0.045, 0.2, 5.0):
        host = builders.Host()
        verdicts = host.decide(goal_s)
        began_at = host.loop.now()
        while not verdicts:
            host.wait(0.0005)
        waits_s.append(host.loop.now() - began_at)
    assert waits_s == pytest.approx([0.015, 0.05, 0.1], abs=0.001)


def test_silent_lessor_is_not_asked_for_a_while_and_a_late_answer_ends_the_pause():
    host = builders.Host()
    host.decide(GOAL_S)
    host.wait(TIMEOUT_S + 0.001)
    refusal, *_ = host.decide()
    assert refusal.decision is quota_verdicts.Decision.LESSOR_UNREACHABLE
    assert len(host.pool.exchanges) == 1
    answer(host, 0, grant(1))
    host.decide()
    assert len(host.pool.exchanges) == 2
    assert len(host.log.list_of(quota_records.QuotaLessorLost)) == 1
    assert len(host.log.list_of(quota_records.QuotaLessorReturned)) == 1


def test_pause_grows_while_the_lessor_stays_silent():
    host = builders.Host()
    for _ in range(400):
        host.decide(GOAL_S)
        host.wait(0.05)
    assert 5 <= len(host.pool.exchanges) <= 20
    assert len(host.log.list_of(quota_records.QuotaLessorLost)) == 1


def test_lease_serves_while_the_lessor_is_silent_until_it_ends():
    host = builders.Host()
    host.decide()
    answer(host, 0, grant(1, units=2, total=9))
    host.wait(virtual_quotas.BOUNDS.window_s)
    assert isinstance(host.decide()[0], quota_verdicts.Admission)
    host.loop.time += quota_terms.LEASE_S
    verdicts = host.decide(GOAL_S)
    host.wait(TIMEOUT_S + 0.001)
    assert verdicts[0].status == 503


@pytest.mark.parametrize(
    ("reply", "decision"),
    [
        (connections.RawReply(503, [], b""), quota_verdicts.Decision.LESSOR_UNKNOWN),
        (grant(quota_messages.UNKNOWN), quota_verdicts.Decision.LESSOR_UNKNOWN),
        (
            connections.RawReply(200, [], b"{"),
            quota_verdicts.Decision.LESSOR_UNREACHABLE,
        ),
        (
            connections.FailedExchange(connections.Failure.RESET, sent=True),
            quota_verdicts.Decision.LESSOR_UNREACHABLE,
        ),
    ],
    ids=["not the lessor", "older configuration", "malformed", "reset"],
)
def test_request_is_refused_at_once_if_the_lessor_does_not_decide(reply, decision):
    host = builders.Host()
    verdicts = host.decide()
    answer(host, 0, reply)
    assert verdicts[0].decision is decision
    assert verdicts[0].status == 503


def test_vacant_slot_refuses_without_a_message():
    host = builders.Host(holder=None)
    refusal, *_ = host.decide()
    assert refusal.decision is quota_verdicts.Decision.LESSOR_UNKNOWN
    assert not host.pool.exchanges


def test_lessor_decides_on_its_own_requests_without_a_message():
    host = builders.Host(roles=(builders.Role(),), holder=names.HostName("h-1"))
    assert isinstance(host.decide()[0], quota_verdicts.Admission)
    assert not host.pool.exchanges


# Guards against a lessor that was frozen, or whose slot lease could not be renewed.
def test_host_whose_slot_lease_may_have_ended_is_no_lessor():
    role = builders.Role(until=100.5)
    host = builders.Host(roles=(role,), holder=names.HostName("h-1"))
    message = quota_messages.Message(
        *("h-2", "1", 1, "", "zone-a", False),
        [quota_messages.WorkspaceAsk(builders.WORKSPACE, 1)],
    )
    assert host.quotas.answer(message).grants[0].granted == 1
    host.loop.time = 100.5
    assert host.quotas.answer(message) is None
    assert host.decide()[0].decision is quota_verdicts.Decision.LESSOR_UNKNOWN


def test_host_that_took_the_slot_is_no_lessor_before_the_former_one_has_ended():
    role = builders.Role(started_at=106.0)
    host = builders.Host(roles=(role,), holder=names.HostName("h-1"))
    assert host.quotas.lessor.find_ledger(builders.KEY, 105.9) is None
    assert host.quotas.lessor.find_ledger(builders.KEY, 106.0) is not None


def test_message_for_workspaces_of_another_slot_is_not_answered():
    host = builders.Host(((1.0, 1.0),) * 40, roles=(builders.Role(),))
    asks = [quota_messages.WorkspaceAsk(f"w-{number}", 1) for number in range(40)]
    message = quota_messages.Message("h-2", "1", 1, "", "zone-a", False, asks)
    assert host.quotas.answer(message) is None


def test_tokens_of_another_term_are_not_taken_back():
    host = builders.Host(roles=(builders.Role(),))
    host.quotas.lessor.update_ledgers(0.0)
    for term, more in (("t-0", 0), ("t-1", 1)):
        ask = quota_messages.WorkspaceAsk(builders.WORKSPACE, 1)
        message = quota_messages.Message("h-2", term, 1, "", "zone-a", False, [ask])
        host.quotas.answer(message)
        ledger = host.quotas.lessor.find_ledger(builders.KEY, 100.0)
        account = ledger.list_accounts()[builders.WORKSPACE]
        before = account.tokens
        back = quota_messages.WorkspaceAsk(builders.WORKSPACE, 0, 0, 1)
        host.quotas.answer(
            quota_messages.Message("h-2", term, 2, term, "zone-a", False, [back])
        )
        assert account.tokens == before + more


def test_request_that_was_not_sent_gives_back_its_unit_or_token():
    host = builders.Host()
    first = host.decide()
    answer(host, 0, grant(1, units=1, total=9))
    by_lease, *_ = host.decide()
    host.quotas.give_back(by_lease)
    assert isinstance(host.decide()[0], quota_verdicts.Admission)
    host.quotas.give_back(first[0])
    host.upkeep.tick(host.loop.now())
    assert read_ask(host, 1).returned == 1


def test_token_of_the_own_ledger_goes_back_to_it():
    host = builders.Host(roles=(builders.Role(),))
    admission, *_ = host.decide()
    ledger = host.quotas.lessor.find_ledger(builders.KEY, 100.0)
    account = ledger.list_accounts()[builders.WORKSPACE]
    before = account.tokens
    host.quotas.give_back(admission)
    host.quotas.give_back(None)
    assert account.tokens == before + 1


# Guards against hosts that together exceed the quota where none can ask another.
@pytest.mark.parametrize("host_count", [4.0, 9.0, 70.0])
def test_hosts_without_ports_share_the_quota_equally_after_their_first_window(
    host_count,
):
    host = builders.Host(holder=None, can_hold_slots=False, host_count=host_count)
    host.quotas.started_at = 100.0
    assert isinstance(host.decide()[0], quota_verdicts.Refusal)
    host.loop.time = 100.0 + virtual_quotas.BOUNDS.window_s
    admitted = sum(
        isinstance(host.decide()[0], quota_verdicts.Admission) for _ in range(200)
    )
    allowed = (10.0 * virtual_quotas.BOUNDS.window_s + 10.0) * 1.1 + 20
    assert 0.8 * allowed - host_count <= admitted * host_count <= allowed


def test_host_without_a_port_asks_where_others_have_one():
    host = builders.Host(can_hold_slots=False, host_count=4.0)
    assert host.decide() == []
    assert len(host.pool.exchanges) == 1


def test_gauges_tell_leases_and_tokens():
    host = builders.Host(roles=(builders.Role(),))
    for _ in range(3):
        host.decide()
    quota_upkeep.update_gauges(host.quotas, host.loop.now())
    text = host.meter.render()[0].decode()
    assert 'corianderrill_gateway_quota_units{workspace="w-0"}' in text
    assert 'corianderrill_gateway_quota_tokens_left{workspace="w-0"}' in text


def test_ledger_is_dropped_with_its_slot():
    role = builders.Role(until=101.0)
    host = builders.Host(roles=(role,))
    host.decide()
    host.upkeep.tick(100.5)
    assert not host.log.list_of(quota_records.QuotaTermEnded)
    host.upkeep.tick(101.0)
    assert len(host.log.list_of(quota_records.QuotaTermEnded)) == 1


# Guards against a full bucket when a slot lease was renewed just after it had become
# uncertain: the dropped ledger is not known any more.
def test_ledger_that_was_dropped_in_its_term_begins_anew():
    role = builders.Role(until=101.0)
    host = builders.Host(roles=(role,))
    host.upkeep.tick(100.0)
    host.loop.time = 150.0
    host.upkeep.tick(150.0)
    role.until = 1e9
    verdicts = [host.decide()[0] for _ in range(3)]
    admitted = [isinstance(v, quota_verdicts.Admission) for v in verdicts]
    assert admitted == [True, False, False]


# Guards against a full bucket for a workspace that was removed and added again.
def test_removed_workspace_that_comes_back_has_its_former_tokens():
    host = builders.Host(roles=(builders.Role(),))
    host.upkeep.tick(100.0)
    host.loop.time = 140.0
    while isinstance(host.decide()[0], quota_verdicts.Admission):
        pass
    host.publish(version=2)
    host.upkeep.tick(140.1)
    host.publish((10.0, 10.0), version=3)
    assert isinstance(host.decide()[0], quota_verdicts.Refusal)


def test_workspace_that_is_gone_for_long_is_forgotten():
    host = builders.Host(roles=(builders.Role(),))
    host.upkeep.tick(100.0)
    host.decide()
    host.publish((None, 0.0), version=2)
    host.view.configuration.workspaces_by_name.clear()
    host.upkeep.tick(100.0 + quota_ledger.IDLE_S)
    host.quotas.lessor.drop_idle(100.0 + quota_ledger.IDLE_S)
    ledger = host.quotas.lessor.find_ledger(builders.KEY, 161.0)
    assert not ledger.list_accounts()


def test_overdrawn_requests_return_no_token():
    host = builders.Host()
    first = [host.decide() for _ in range(2)]
    wire = quota_messages.WorkspaceGrant(1, 0.0, 0, 9, 1)
    reply = quota_messages.encode_answer(quota_messages.Answer("t-1", [wire]))
    answer(host, 0, connections.RawReply(200, [], reply))
    host.quotas.give_back(first[0][0])
    answer(host, 1, grant(0, 0.5))
    host.upkeep.tick(host.loop.now())
    assert len(host.pool.exchanges) == 2


def test_slot_of_a_zone_that_wants_it_is_offered():
    offered = []
    role = builders.Role()
    role.offer_slot = offered.append
    host = builders.Host(roles=(role,))
    ask = quota_messages.WorkspaceAsk(builders.WORKSPACE, 1)
    for wants_slot in (False, True):
        host.quotas.answer(
            quota_messages.Message("h-2", "1", 1, "", "zone-b", wants_slot, [ask])
        )
    assert offered == ["zone-b"]


def test_report_of_a_request_tells_why_its_quota_refused_it():
    host = builders.Host()
    host.decide()
    answer(host, 0, grant(0, 0.75))
    lines = [event_log.LogLine(1.0, "h-1", 0, record) for record in host.log.records]
    text = [msgspec.json.encode(line).decode() for line in lines]
    logs = request_report.parse_logs([text])
    report = "\n".join(request_report.describe_request(logs, names.RequestId("9c41")))
    assert "over-quota" in report
    assert builders.OTHER_HOST in report
