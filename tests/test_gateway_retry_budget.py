"""The retry budgets of all hosts together keep the bound, for any split of the load."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from corianderrill.gateway import retry_budget

RATIO = 0.2
HOST_COUNTS_AND_SLACKS = ((9, 58.0), (7, 54.0), (64, 168.0), (73, 186.0))
SERVICE = "shard"


def spend_budget(budget, now):
    spent = 0
    while budget.try_spend(SERVICE, now):
        spent += 1
    return spent


def build_host_budget(now=0.0, slack=58.0):
    return retry_budget.build_retry_budget(RATIO, slack, now)


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(
    host_count_and_slack=strategies.sampled_from(HOST_COUNTS_AND_SLACKS),
    seed=strategies.integers(0, 2**32),
    max_requests_per_s=strategies.integers(0, 120),
    spend_probability=strategies.floats(0.0, 1.0),
    restart_second=strategies.integers(12, 28),
    restarted_share=strategies.floats(0.0, 1.0),
)
def test_extra_attempts_of_all_hosts_stay_within_the_bound_in_every_window(
    host_count_and_slack,
    seed,
    max_requests_per_s,
    spend_probability,
    restart_second,
    restarted_share,
):
    """The load is uneven, hosts spend all they can, and some or all of them restart.

    The bound takes the largest request count of this window and of the windows that
    begin half a window and a whole window earlier.
    """
    host_count, slack = host_count_and_slack
    rng = random.Random(seed)
    budgets = [build_host_budget(-20.0, slack) for _ in range(host_count)]
    requests = []
    extra_attempts = []
    for second in range(40):
        for _ in range(rng.randint(0, max_requests_per_s)):
            at = second + rng.random()
            # A few hosts get most of the load.
            budgets[int(host_count * rng.random() ** 3)].record_requests(
                (SERVICE,), second
            )
            requests.append(at)
        if second == restart_second:
            for index in range(int(restarted_share * host_count)):
                budgets[index] = build_host_budget(second, slack)
        for budget in budgets:
            if rng.random() < spend_probability:
                extra_attempts += [second + 0.999] * spend_budget(
                    budget, second + 0.999
                )
    for start in range(30):
        end = start + retry_budget.WINDOW_S
        extra_attempt_count = sum(start < at <= end for at in extra_attempts)
        request_count = sum(start < at <= end for at in requests)
        one_window_earlier = sum(start - 10 < at <= end - 10 for at in requests)
        half_a_window_earlier = sum(start - 5 < at <= end - 5 for at in requests)
        assert (
            extra_attempt_count
            <= RATIO * max(request_count, one_window_earlier, half_a_window_earlier)
            + slack
        )


@pytest.mark.parametrize(("host_count", "slack"), HOST_COUNTS_AND_SLACKS)
def test_host_slack_is_available_again_after_each_window(host_count, slack):
    budget = build_host_budget(-20.0, slack)
    spent = spend_budget(budget, 1.0)
    assert 1 <= spent <= slack / host_count
    assert spend_budget(budget, 6.0) == 0
    assert (
        spend_budget(budget, 1.0 + retry_budget.WINDOW_S + retry_budget.BUCKET_S)
        == spent
    )


def test_new_host_is_limited_to_the_ratio_of_its_requests():
    budget = build_host_budget(0.0)
    assert spend_budget(budget, 1.0) == 0
    for _ in range(10):
        budget.record_requests((SERVICE,), 1.0)
    assert spend_budget(budget, 1.0) == 1
    for _ in range(10):
        budget.record_requests((SERVICE,), 1.0)
    assert spend_budget(budget, 1.0) == 2


def test_requests_raise_the_budget_of_their_own_service_only():
    budget = build_host_budget(-20.0)
    spend_budget(budget, 1.0)
    for _ in range(20):
        budget.record_requests(("other",), 1.0)
    assert not budget.try_spend(SERVICE, 1.0)


def test_denied_extra_attempts_are_counted():
    budget = build_host_budget(-20.0)
    spend_budget(budget, 1.0)
    assert budget.denied_count == 1


def count_allowed(budget, now):
    return sum(budget.try_spend("s", now) for _ in range(200))


def build_budget_with_slot(now=0.0):
    budget = retry_budget.RetryBudget(0.0, 0.0, -60.0)
    budget.apply_bounds(0.2, 200, slot_count=6)
    budget.take_slot(now)
    return budget


def test_slack_of_a_slot_is_used_only_after_a_window_without_its_last_holder():
    budget = build_budget_with_slot(now=0.0)
    budget.extend_slot(100.0)
    before = count_allowed(budget, retry_budget.WINDOW_S)
    after = count_allowed(budget, 3 * retry_budget.WINDOW_S)
    assert before == int(budget.host_slack)
    assert after == int(budget.host_slack + budget.slot_slack)


def test_slack_of_a_slot_is_not_used_when_the_lease_may_have_ended():
    """The holder was paused, or did not reach the store to renew the lease."""
    budget = build_budget_with_slot(now=0.0)
    budget.extend_slot(20.0)
    assert count_allowed(budget, 20.0) == int(budget.host_slack)
    budget = build_budget_with_slot(now=0.0)
    budget.extend_slot(100.0)
    budget.lose_slot()
    assert count_allowed(budget, 20.0) == int(budget.host_slack)


@hypothesis.given(strategies.integers(80, 2000), strategies.integers(2, 5))
def test_shares_of_all_hosts_and_slots_stay_within_the_slack(slack, zones):
    slots = 2 * zones
    budget = retry_budget.RetryBudget(0.0, 0.0, 0.0)
    budget.apply_bounds(0.2, slack, slot_count=slots)
    hosts = retry_budget.estimate_host_count(slack)
    assert hosts * budget.host_slack + slots * budget.slot_slack <= slack


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 3), strategies.floats(0.0, 4.0)),
        max_size=60,
    )
)
def test_holders_of_a_slot_together_stay_within_its_slack(steps):
    """Hosts take the slot over from each other when the lease of the last one ended."""
    ttl_s = 6.0
    budgets = [build_budget_with_slot() for _ in range(4)]
    for budget in budgets:
        budget.host_slack = 0.0
        budget.lose_slot()
    now = 0.0
    holder, lease_ends_at = None, 0.0
    spent_at = []
    for host, pause_s in steps:
        now += pause_s
        if holder == host and now < lease_ends_at:
            lease_ends_at = now + ttl_s
            budgets[host].extend_slot(now + ttl_s)
        elif now >= lease_ends_at:
            holder, lease_ends_at = host, now + ttl_s
            budgets[host].take_slot(now)
            budgets[host].extend_slot(now + ttl_s)
        for budget in budgets:
            spent_at += [now] * count_allowed(budget, now)
        window = [at for at in spent_at if at > now - retry_budget.WINDOW_S]
        assert len(window) <= budgets[0].slot_slack
