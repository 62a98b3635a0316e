"""Each check of the soak finds the one thing that is wrong, and nothing else."""

import random

import pytest

from benchmarks.gateways import checks, faults, following, records
from tests.utils import soak_builders as builders

AT = builders.BEGAN_AT


def judge(history):
    return {broken.check for broken in checks.judge(history, builders.SETTING)}


def answer_with_anothers_signature(history):
    history.asked[0].signatures = ("another", *history.asked[0].signatures[1:])


def answer_with_a_part_twice(history):
    history.asked[0].signatures = history.asked[0].signatures[:1] * 2


def answer_without_all_parts(history):
    history.asked[0].signatures = history.asked[0].signatures[:1]


def answer_with_other_records(history):
    history.asked[0].body = history.asked[0].body[:-1]


def answer_with_part_of_a_failure(history):
    history.arrivals[0].status = 500


def answer_a_booking_with_another_body(history):
    history.asked[1].body = b""


def run_a_booking_twice(history):
    builders.add_run(history, "booking", builders.DESKS[0], "i-desk-0", AT + 1.1)


def refuse_a_booking_that_ran(history):
    history.asked[1].status = 503


def repeat_too_often(history):
    for number in range(12):
        shard = builders.SHARDS[0]
        at = AT + 2 + number / 10
        builders.add_run(history, "query", shard, "i-shard-0", at)


def run_on_too_many_replicas(history):
    for number in range(4):
        request = f"query-{number}"
        builders.add_query(history, request, AT + 2)
        for replica in ("i-one", "i-two"):
            builders.add_run(history, request, builders.SHARDS[0], replica, AT + 2)


def use_a_service_that_no_version_names(history):
    builders.add_booking(history, "early", AT + 2, builders.DESKS[1])


def use_an_older_version_too_long(history):
    history.published.append(records.Published(2, AT + 2, builders.DESKS[1]))
    builders.add_booking(history, "late", AT + 2 + following.APPLY_S + 0.1)


def go_back_to_an_older_version(history):
    history.published.append(records.Published(2, AT + 2, builders.DESKS[1]))
    builders.add_booking(history, "newer", AT + 2.5, builders.DESKS[1])
    builders.add_booking(history, "older", AT + 3.5)


def ask_a_replica_that_has_left(history):
    replica = records.InstanceId("i-shard-0")
    history.left.append(records.Left(replica, AT + 2))
    builders.add_query(history, "late", AT + 2 + following.DRAIN_S + 0.1)


def cut_a_request_at_the_end(history):
    history.told.append(records.Told(builders.HOST, AT + 0.9, AT + 4, 0))
    history.asked[1].ending = records.Ending.CUT


def cut_a_request_that_was_read_before(history):
    history.told.append(records.Told(builders.HOST, AT + 1.02, AT + 1.04, 0))
    history.asked[1].ending = records.Ending.CUT


def end_with_a_failure(history):
    history.told.append(records.Told(builders.HOST, AT + 3, AT + 4, 1))


def answer_long_after_the_timeout(history):
    history.asked[0].ended_at = AT + 1 + records.QUERY_TIMEOUT_S + 1


def work_on_for_callers_that_left(history):
    for number in range(4):
        asked = builders.add_query(history, f"left-{number}", AT + 3)
        asked.ending = records.Ending.LEFT
        asked.ended_at = AT + 3.02
        shard = builders.SHARDS[0]
        builders.add_run(history, asked.id, shard, "i-shard-0", AT + 4)


def serve_nothing_after_the_faults(history):
    asked = builders.add_query(history, "after", AT + 20)
    asked.status = 502


def end_by_itself(history):
    history.vanished.append(records.Vanished(builders.HOST, AT + 2, "status 1"))


def send_more_than_a_limit_allows(history):
    replica = records.InstanceId("i-shard-0")
    for number in range(12):
        request = f"limited-{number}"
        at = AT + 0.5 if number == 0 else AT + 5 + 0.2 * number
        builders.add_query(history, request, at)
        run = next(
            a for a in history.arrivals if a.id == request and a.replica == replica
        )
        run.limited_at = run.at
    history.limited.append(records.Limited(replica, 0.5, AT, AT + 10))


def ask_a_replica_that_said_it_leaves(history):
    replica = records.InstanceId("i-shard-0")
    builders.add_query(history, "told", AT + 2)
    told = records.Noticed(replica, records.RequestId("told"), AT + 2)
    history.noticed.append(told)
    builders.add_query(history, "late", AT + 2 + following.DRAIN_S + 0.1)


def ask_a_replica_that_wants_a_pause(history):
    replica = records.InstanceId("i-shard-0")
    builders.add_query(history, "told", AT + 2)
    told = records.Noticed(replica, records.RequestId("told"), AT + 2, AT + 5)
    history.noticed.append(told)
    for number in range(checks.PAUSE_AT_MOST + 1):
        at = AT + 2 + checks.PAUSE_SLACK_S + 0.1 * (number + 1)
        builders.add_query(history, f"paused-{number}", at)


def end_replicas_again_and_again(history):
    offsets = (1.0, 2.0, 3.0, *(7.1 + number / 10 for number in range(4)))
    for number, offset in enumerate(offsets):
        request = f"crashing-{number}"
        asked = builders.build_asked(records.Kind.BOOKING, request, AT + offset)
        asked.status = 502
        history.asked.append(asked)
        crashed = records.Crashed(b"crash 1", asked.id, AT + offset)
        history.crashed.append(crashed)


FAULTS = {
    answer_with_anothers_signature: "answers",
    answer_with_a_part_twice: "answers",
    answer_without_all_parts: "answers",
    answer_with_other_records: "answers",
    answer_with_part_of_a_failure: "answers",
    answer_a_booking_with_another_body: "answers",
    run_a_booking_twice: "at-most-once",
    refuse_a_booking_that_ran: "at-most-once",
    repeat_too_often: "repeats",
    run_on_too_many_replicas: "attempts",
    use_a_service_that_no_version_names: "routes",
    use_an_older_version_too_long: "routes",
    go_back_to_an_older_version: "routes",
    ask_a_replica_that_has_left: "draining",
    send_more_than_a_limit_allows: "limits",
    ask_a_replica_that_said_it_leaves: "announced",
    ask_a_replica_that_wants_a_pause: "pauses",
    end_replicas_again_and_again: "crashes",
    cut_a_request_at_the_end: "losses",
    cut_a_request_that_was_read_before: "losses",
    end_with_a_failure: "losses",
    answer_long_after_the_timeout: "deadlines",
    work_on_for_callers_that_left: "leaving",
    serve_nothing_after_the_faults: "recovery",
    end_by_itself: "processes",
}


def test_sound_history_breaks_nothing():
    assert judge(builders.build_history()) == set()


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_check_finds(fault):
    history = builders.build_history()
    fault(history)
    assert judge(history) == {FAULTS[fault]}


def test_every_check_is_shown_to_fail():
    names = {check.__name__.removeprefix("check_") for check in checks.CHECKS}
    assert {name.replace("-", "_") for name in FAULTS.values()} == names


@pytest.mark.parametrize(
    "fault",
    [
        use_an_older_version_too_long,
        ask_a_replica_that_has_left,
        send_more_than_a_limit_allows,
        end_replicas_again_and_again,
        cut_a_request_at_the_end,
        answer_long_after_the_timeout,
    ],
    ids=lambda fault: fault.__name__,
)
@pytest.mark.parametrize("host", [builders.HOST, None])
def test_bounds_of_time_do_not_bind_a_host_that_is_disturbed(fault, host):
    history = builders.build_history()
    fault(history)
    builders.disturb(history, AT, AT + 10, host)
    assert judge(history) == set()


def test_disturbance_of_another_host_excuses_nothing():
    history = builders.build_history()
    answer_long_after_the_timeout(history)
    builders.disturb(history, AT, AT + 10, records.HostName("front-1"))
    assert judge(history) == {"deadlines"}


@pytest.mark.parametrize(("replica", "found"), [("i-shard-0", 0), ("other", 1)])
def test_arrivals_that_their_link_held_back_are_not_late(replica, found):
    history = builders.build_history()
    work_on_for_callers_that_left(history)
    history.held.append(records.Held(records.InstanceId(replica), AT + 2, AT + 4))
    assert len(judge(history)) == found


def test_faults_of_a_seed_are_the_same_and_leave_the_end_calm():
    plan = faults.draw_faults(random.Random(3), 30.0)
    assert plan == faults.draw_faults(random.Random(3), 30.0)
    end_s = 30.0 * (1.0 - faults.CALM_AFTER)
    assert all(fault.since_s < fault.until_s <= end_s for fault in plan)
    assert len({fault.kind for fault in plan}) > 10


def test_own_end_of_a_host_excuses_none_of_its_losses():
    history = builders.build_history()
    cut_a_request_at_the_end(history)
    builders.disturb(history, history.told[0].at, AT + 5)
    assert judge(history) == {"losses"}
