"""Which sub-requests a query sends while replicas advertise limits."""

import collections
import math

from corianderrill import names
from corianderrill.gateway import attempts, limit_plan


def build_sub_requests(count):
    return [
        attempts.SubRequest(names.ServiceName(f"shard-{n}"), n) for n in range(count)
    ]


def plan(planner, sub_requests, needs, max_left_out=1):
    free = limit_plan.Need(0.0, 0.0)
    by_sub_request = {s: needs.get(s.index, free) for s in sub_requests}
    return planner.plan(by_sub_request, max_left_out)


def count_left_out(needs, queries=300, max_left_out=1):
    """Return how often each shard was left out of so many queries."""
    planner = limit_plan.LimitPlanner()
    counts = collections.Counter()
    for _ in range(queries):
        planned = plan(planner, build_sub_requests(4), needs, max_left_out)
        counts.update(s.index for s in (*planned.postponed, *planned.unavailable))
        assert len(planned.postponed) + len(planned.unavailable) <= max_left_out
    return counts


def test_queries_without_shortage_send_everything():
    assert not count_left_out({})


def test_shard_is_left_out_as_often_as_its_limits_require():
    counts = count_left_out({0: limit_plan.Need(0.0, 0.3)})
    assert set(counts) == {0}
    assert abs(counts[0] - 90) <= 2


def test_shards_that_are_short_take_turns():
    need = limit_plan.Need(0.0, 0.33)
    counts = count_left_out({0: need, 1: need, 2: need})
    assert all(90 <= counts[index] <= 105 for index in (0, 1, 2))


def test_shard_that_cannot_be_asked_is_the_one_that_is_left_out():
    needs = {0: limit_plan.Need(1.0, 0.9), 1: limit_plan.Need(0.0, 0.5)}
    assert set(count_left_out(needs)) == {0}


def test_query_that_cannot_reach_its_coverage_sends_nothing():
    sub_requests = build_sub_requests(4)
    needs = {0: limit_plan.Need(1.0, 0.5), 1: limit_plan.Need(0.5, 0.5)}
    planned = plan(limit_plan.LimitPlanner(), sub_requests, needs)
    # One of the two has to be available.
    assert planned == limit_plan.Refuse(0.5)


def test_query_whose_shards_all_have_to_answer_leaves_out_none():
    need = limit_plan.Need(0.0, 0.5)
    assert not count_left_out({0: need, 1: need}, max_left_out=0)


def test_shard_without_replicas_counts_as_left_out():
    planned = plan(
        limit_plan.LimitPlanner(),
        build_sub_requests(4),
        {0: limit_plan.Need(math.inf, 0.0)},
    )
    assert [s.index for s in planned.unavailable] == [0]
    assert len(planned.now) == 3


def test_refusal_for_lack_of_replicas_names_no_time():
    needs = {index: limit_plan.Need(math.inf, 0.0) for index in range(2)}
    needs[2] = limit_plan.Need(0.3, 0.5)
    planned = plan(limit_plan.LimitPlanner(), build_sub_requests(4), needs, 2)
    assert planned == limit_plan.Refuse(0.3)
    planned = plan(limit_plan.LimitPlanner(), build_sub_requests(4), needs, 1)
    assert planned == limit_plan.Refuse(None)
