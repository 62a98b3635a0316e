import contextlib

import eventlet
import pytest

from corianderrill import attempts, connection_shares, membership, messages
from tests.utils import hosts, links, relays

REMAINING_S = 5.0
LIMIT = hosts.build_backend_server().slots + connection_shares.PREFETCHED_REQUESTS


@pytest.fixture
def stack():
    with contextlib.ExitStack() as stack:
        yield stack


def _build(attempt_id: str = "r1", remaining_s: float = REMAINING_S, **options):
    return hosts.build_sub_request(attempt_id, remaining_s, **options)


def test_the_first_owner_runs_a_relayed_sub_request_and_replies(stack):
    origin, owner, other = relays.start_hosts(stack, 3)
    owner.gate.send()
    results = origin.ask(_build())
    links.wait_until(lambda: results)
    assert results == [attempts.Answered("r1", ())]
    assert len(owner.executed) == 1 and not other.executed
    assert owner.executed[0].remaining_s <= REMAINING_S
    assert origin.dispatcher.count_in_flight() == 0


def test_sub_requests_of_one_instant_travel_in_one_batch(stack):
    origin, owner = relays.start_hosts(stack, 2)
    owner.gate.send()
    results = [origin.ask(_build(str(number))) for number in range(20)]
    links.wait_until(lambda: all(results))
    assert origin.dispatcher.counters.batches == 1


def test_an_owner_sends_one_more_at_once_than_the_replica_has_slots(stack):
    origin, owner = relays.start_hosts(stack, 2)
    results = [origin.ask(_build(str(number))) for number in range(9)]
    links.wait_until(lambda: owner.task.count_in_flight() == 9)
    eventlet.sleep(0)
    assert len(owner.executed) == LIMIT
    owner.gate.send()
    links.wait_until(lambda: all(results))


def test_a_refusal_of_the_owner_itself_moves_on_to_the_next_owner(stack):
    for refuse in (
        lambda owner: owner.task.start_draining(),
        lambda owner: setattr(owner, "is_trusted", False),
        lambda owner: setattr(owner.task, "may_connect", lambda server: False),
    ):
        origin, first, second = relays.start_hosts(stack, 3)
        second.gate.send()
        refuse(first)
        results = origin.ask(_build(idempotent=False))
        links.wait_until(lambda results=results: results)
        assert results == [attempts.Answered("r1", ())]
        assert not first.executed
        assert len(second.executed) == 1


def test_a_request_that_cannot_be_sent_to_one_owner_goes_to_the_next(stack):
    origin, first, second = relays.start_hosts(stack, 3)
    second.gate.send()
    origin.link.disconnect(first.link.member)
    results = origin.ask(_build(idempotent=False))
    links.wait_until(lambda: results)
    assert not first.executed
    assert len(second.executed) == 1


def test_without_any_owner_the_attempt_is_refused_as_not_run(stack):
    origin, owner = relays.start_hosts(stack, 2)
    origin.use([])
    kind = attempts.RefusalKind.NO_CONNECTION
    assert origin.ask(_build()) == [attempts.Refused("r1", kind)]


def test_what_a_dead_owner_was_sent_fails_and_is_not_sent_again(stack):
    origin, first, second = relays.start_hosts(stack, 3)
    results = origin.ask(_build(idempotent=False))
    links.wait_until(lambda: first.executed)
    change = membership.Change(
        first.link.member, messages.MemberState.SUSPECT, messages.MemberState.DEAD
    )
    origin.dispatcher.handle_member_change(change)
    assert results == [attempts.Failed("r1", attempts.FailureKind.CONNECTION)]
    first.gate.send()
    links.wait_until(lambda: origin.dispatcher.counters.late_results == 1)
    assert len(results) == 1
    assert not second.executed


def test_a_cancelled_sub_request_that_waits_never_runs(stack):
    origin, owner = relays.start_hosts(stack, 2)
    sub_requests = [_build(str(number)) for number in range(LIMIT + 1)]
    for sub_request in sub_requests:
        origin.ask(sub_request)
    links.wait_until(lambda: owner.task.count_in_flight() == LIMIT + 1)
    origin.dispatcher.cancel(sub_requests[0])
    origin.dispatcher.cancel(sub_requests[LIMIT])
    links.wait_until(lambda: owner.cancelled)
    assert [each.attempt_id for each in owner.cancelled] == ["0"]
    owner.gate.send()
    links.wait_until(lambda: owner.task.count_in_flight() == 0)
    ran = [each.attempt_id for each in owner.executed]
    assert ran == [each.attempt_id for each in sub_requests[:LIMIT]]


def test_only_the_origin_can_cancel(stack):
    origin, owner, other = relays.start_hosts(stack, 3)
    origin.ask(_build())
    links.wait_until(lambda: owner.executed)
    assert other.link.send(owner.link.member, messages.RelayCancel(("r1",)))
    # Frames of one peer arrive in order, so the cancellation was read before this.
    other.link.send(owner.link.member, messages.RelayBatch((_build("after"),)))
    links.wait_until(lambda: len(owner.executed) == 2)
    assert not owner.cancelled


def test_a_sub_request_past_its_deadline_is_dropped_as_not_run(stack):
    origin, owner = relays.start_hosts(stack, 2)
    for number in range(LIMIT):
        origin.ask(_build(str(number)))
    results = origin.ask(_build("short", 0.05))
    links.wait_until(lambda: results)
    kind = attempts.RefusalKind.TOO_LATE
    assert results == [attempts.Refused("short", kind)]
    assert len(owner.executed) == LIMIT


def test_an_owner_that_leaves_finishes_what_it_took(stack):
    origin, owner = relays.start_hosts(stack, 2)
    results = [origin.ask(_build(str(number))) for number in range(5)]
    links.wait_until(lambda: owner.task.count_in_flight() == 5)
    owner.task.start_draining()
    owner.gate.send()
    links.wait_until(lambda: all(results))
    assert all(isinstance(result, attempts.Answered) for (result,) in results)
    assert owner.task.count_in_flight() == 0


def test_a_failing_executor_frees_its_slot_and_reports_a_failure(stack):
    origin, owner = relays.start_hosts(stack, 2)
    owner.task._execute = lambda sub_request: 1 / 0
    results = [origin.ask(_build(str(number))) for number in range(5)]
    links.wait_until(lambda: all(results))
    assert all(isinstance(result, attempts.Failed) for (result,) in results)
    assert owner.task.count_in_flight() == 0
