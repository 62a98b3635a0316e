import contextlib

import eventlet
import pytest

from corianderrill import attempts, connection_shares, membership, messages
from tests.utils import hosts, links, relays

REMAINING_S = 5.0
MAX_RUNNING = hosts.build_backend_server().slots + connection_shares.PREFETCHED_REQUESTS


@pytest.fixture
def stack():
    with contextlib.ExitStack() as stack:
        yield stack


def _build_sub_request(
    attempt_id: str = "r1", remaining_s: float = REMAINING_S, **options
):
    return hosts.build_sub_request(attempt_id, remaining_s, **options)


def test_the_best_ranked_owner_executes_a_sub_request_and_replies(stack):
    origin, owner, other = relays.start_hosts(stack, 3)
    owner.execution_gate.send()
    results = origin.send(_build_sub_request())
    links.wait_until(lambda: results)
    assert results == [attempts.Answered("r1", ())]
    assert len(owner.executed) == 1 and not other.executed
    assert owner.executed[0].remaining_s <= REMAINING_S
    assert origin.dispatcher.count_in_flight() == 0


def test_simultaneous_sub_requests_are_sent_in_one_batch(stack):
    origin, owner = relays.start_hosts(stack, 2)
    owner.execution_gate.send()
    results = [origin.send(_build_sub_request(str(number))) for number in range(20)]
    links.wait_until(lambda: all(results))
    assert origin.dispatcher.counters.batches == 1


def test_an_owner_runs_at_most_the_slots_plus_the_prefetched_requests(stack):
    origin, owner = relays.start_hosts(stack, 2)
    results = [origin.send(_build_sub_request(str(number))) for number in range(9)]
    links.wait_until(lambda: owner.owner_task.count_in_flight() == 9)
    eventlet.sleep(0)
    assert len(owner.executed) == MAX_RUNNING
    owner.execution_gate.send()
    links.wait_until(lambda: all(results))


def test_the_next_owner_is_tried_if_one_leaves_or_cannot_serve_as_owner(stack):
    for refuse in (
        lambda owner: owner.owner_task.start_draining(),
        lambda owner: setattr(owner, "is_trusted", False),
        lambda owner: setattr(owner.owner_task, "may_connect", lambda server: False),
    ):
        origin, first, second = relays.start_hosts(stack, 3)
        second.execution_gate.send()
        refuse(first)
        results = origin.send(_build_sub_request(idempotent=False))
        links.wait_until(lambda results=results: results)
        assert results == [attempts.Answered("r1", ())]
        assert not first.executed
        assert len(second.executed) == 1


def test_the_next_owner_is_tried_if_a_sub_request_cannot_be_sent(stack):
    origin, first, second = relays.start_hosts(stack, 3)
    second.execution_gate.send()
    origin.link.disconnect(first.link.member)
    results = origin.send(_build_sub_request(idempotent=False))
    links.wait_until(lambda: results)
    assert not first.executed
    assert len(second.executed) == 1


def test_an_attempt_without_a_usable_owner_is_refused(stack):
    origin, owner = relays.start_hosts(stack, 2)
    origin.set_owners([])
    kind = attempts.RefusalKind.NO_CONNECTION
    assert origin.send(_build_sub_request()) == [attempts.Refused("r1", kind)]


def test_an_attempt_on_a_dead_owner_fails_and_is_not_sent_again(stack):
    origin, first, second = relays.start_hosts(stack, 3)
    results = origin.send(_build_sub_request(idempotent=False))
    links.wait_until(lambda: first.executed)
    change = membership.Change(
        first.link.member, messages.MemberState.SUSPECT, messages.MemberState.DEAD
    )
    origin.dispatcher.handle_member_change(change)
    assert results == [attempts.Failed("r1", attempts.FailureKind.CONNECTION)]
    first.execution_gate.send()
    links.wait_until(lambda: origin.dispatcher.counters.late_results == 1)
    assert len(results) == 1
    assert not second.executed


def test_a_queued_sub_request_that_is_cancelled_never_runs(stack):
    origin, owner = relays.start_hosts(stack, 2)
    sub_requests = [
        _build_sub_request(str(number)) for number in range(MAX_RUNNING + 1)
    ]
    for sub_request in sub_requests:
        origin.send(sub_request)
    links.wait_until(lambda: owner.owner_task.count_in_flight() == MAX_RUNNING + 1)
    origin.dispatcher.cancel(sub_requests[0])
    origin.dispatcher.cancel(sub_requests[MAX_RUNNING])
    links.wait_until(lambda: owner.cancelled)
    assert [each.attempt_id for each in owner.cancelled] == ["0"]
    owner.execution_gate.send()
    links.wait_until(lambda: owner.owner_task.count_in_flight() == 0)
    executed_ids = [each.attempt_id for each in owner.executed]
    assert executed_ids == [each.attempt_id for each in sub_requests[:MAX_RUNNING]]


def test_only_the_origin_can_cancel_a_sub_request(stack):
    origin, owner, other = relays.start_hosts(stack, 3)
    origin.send(_build_sub_request())
    links.wait_until(lambda: owner.executed)
    assert other.link.send(owner.link.member, messages.RelayCancel(("r1",)))
    # Messages of one peer arrive in order, so this one arrives after the cancellation.
    other.link.send(
        owner.link.member, messages.RelayBatch((_build_sub_request("after"),))
    )
    links.wait_until(lambda: len(owner.executed) == 2)
    assert not owner.cancelled


def test_a_queued_sub_request_past_its_deadline_is_refused(stack):
    origin, owner = relays.start_hosts(stack, 2)
    for number in range(MAX_RUNNING):
        origin.send(_build_sub_request(str(number)))
    results = origin.send(_build_sub_request("short", 0.05))
    links.wait_until(lambda: results)
    kind = attempts.RefusalKind.TOO_LATE
    assert results == [attempts.Refused("short", kind)]
    assert len(owner.executed) == MAX_RUNNING


def test_a_draining_owner_completes_accepted_sub_requests(stack):
    origin, owner = relays.start_hosts(stack, 2)
    results = [origin.send(_build_sub_request(str(number))) for number in range(5)]
    links.wait_until(lambda: owner.owner_task.count_in_flight() == 5)
    owner.owner_task.start_draining()
    owner.execution_gate.send()
    links.wait_until(lambda: all(results))
    assert all(isinstance(result, attempts.Answered) for (result,) in results)
    assert owner.owner_task.count_in_flight() == 0


def test_an_execution_error_frees_the_slot_and_is_reported_as_a_failure(stack):
    origin, owner = relays.start_hosts(stack, 2)
    owner.owner_task._execute = lambda sub_request: 1 / 0
    results = [origin.send(_build_sub_request(str(number))) for number in range(5)]
    links.wait_until(lambda: all(results))
    assert all(isinstance(result, attempts.Failed) for (result,) in results)
    assert owner.owner_task.count_in_flight() == 0
