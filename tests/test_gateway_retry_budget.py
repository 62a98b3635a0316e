"""The allowance of repeats over all hosts, for any split of the load."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from corianderrill.gateway import retry_budget

RATIO = 0.2
SITES = ((9, 58.0), (7, 54.0), (64, 168.0), (73, 186.0))
SERVICE = "shard"


def spend_all(host, now):
    spent = 0
    while host.try_spend(SERVICE, now):
        spent += 1
    return spent


def build_host(now=0.0, fixed=58.0):
    return retry_budget.build_retry_budget(RATIO, fixed, now)


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(
    site=strategies.sampled_from(SITES),
    seed=strategies.integers(0, 2**32),
    per_s=strategies.integers(0, 120),
    eager=strategies.floats(0.0, 1.0),
    restarted_at=strategies.integers(12, 28),
    restarted=strategies.floats(0.0, 1.0),
)
def test_every_window_of_repeats_stays_below_the_bound(
    site, seed, per_s, eager, restarted_at, restarted
):
    """Hosts repeat whenever they may, unevenly loaded, some or all start again."""
    count, fixed = site
    rng = random.Random(seed)
    hosts = [build_host(-20.0, fixed) for _ in range(count)]
    requests = []
    repeats = []
    for second in range(40):
        for _ in range(rng.randint(0, per_s)):
            at = second + rng.random()
            # A few hosts get most of the load.
            hosts[int(count * rng.random() ** 3)].record_requests((SERVICE,), second)
            requests.append(at)
        if second == restarted_at:
            for index in range(int(restarted * count)):
                hosts[index] = build_host(second, fixed)
        for host in hosts:
            if rng.random() < eager:
                repeats += [second + 0.999] * spend_all(host, second + 0.999)
    for start in range(30):
        end = start + retry_budget.WINDOW_S
        extra = sum(start < at <= end for at in repeats)
        asked = sum(start < at <= end for at in requests)
        before = sum(start - 10 < at <= end - 10 for at in requests)
        half = sum(start - 5 < at <= end - 5 for at in requests)
        assert extra <= RATIO * max(asked, before, half) + fixed


@pytest.mark.parametrize(("count", "fixed"), SITES)
def test_host_has_its_part_again_in_each_window(count, fixed):
    host = build_host(-20.0, fixed)
    first = spend_all(host, 1.0)
    assert 1 <= first <= fixed / count
    assert spend_all(host, 6.0) == 0
    assert spend_all(host, 1.0 + retry_budget.WINDOW_S + retry_budget.SLICE_S) == first


def test_host_that_just_started_repeats_only_what_it_earned():
    host = build_host(0.0)
    assert spend_all(host, 1.0) == 0
    for _ in range(10):
        host.record_requests((SERVICE,), 1.0)
    assert spend_all(host, 1.0) == 1
    for _ in range(10):
        host.record_requests((SERVICE,), 1.0)
    assert spend_all(host, 1.0) == 2


def test_requests_earn_repeats_for_their_own_services_only():
    host = build_host(-20.0)
    spend_all(host, 1.0)
    for _ in range(20):
        host.record_requests(("other",), 1.0)
    assert not host.try_spend(SERVICE, 1.0)


def test_denied_repeats_are_counted():
    host = build_host(-20.0)
    spend_all(host, 1.0)
    assert host.denied == 1
