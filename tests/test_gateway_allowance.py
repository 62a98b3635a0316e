"""The allowance of repeats over all hosts, for any split of the load."""

import random

import hypothesis
from hypothesis import strategies

from corianderrill.gateway import allowance

WINDOW_S = 10
RATIO = 0.2
SITES = ((9, 58.0), (7, 54.0), (64, 168.0), (73, 186.0))


def spend_all(host):
    spent = 0
    while host.try_spend("shard"):
        spent += 1
    return spent


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    site=strategies.sampled_from(SITES),
    seed=strategies.integers(0, 2**32),
    requests=strategies.integers(0, 2_000),
    idle_s=strategies.integers(0, 30),
    restarted=strategies.floats(0.0, 0.4),
)
def test_window_of_repeats_stays_below_the_bound(
    site, seed, requests, idle_s, restarted
):
    """Hosts that are full repeat all they can, unevenly loaded, some restarted."""
    count, fixed = site
    rng = random.Random(seed)
    hosts = [allowance.build_allowance(RATIO, fixed) for _ in range(count)]
    for host in hosts:
        for _ in range(idle_s):
            host.earn(("shard",))
    spent = sum(map(spend_all, hosts))
    for _ in range(requests):
        # A few hosts get most of the load.
        host = hosts[int(count * rng.random() ** 2)]
        host.earn(("shard",))
        spent += spend_all(host)
    for index in range(int(restarted * count)):
        hosts[index] = allowance.build_allowance(RATIO, fixed)
        spent += spend_all(hosts[index])
    assert spent <= RATIO * requests + fixed


def test_host_without_requests_has_one_repeat_for_each_service():
    host = allowance.build_allowance(RATIO, 58.0)
    assert spend_all(host) == 1
    assert host.try_spend("another")


def test_requests_earn_repeats_for_their_own_services_only():
    host = allowance.build_allowance(RATIO, 58.0)
    spend_all(host)
    for _ in range(20):
        host.earn(("other",))
    assert not host.try_spend("shard")


def test_denied_repeats_are_counted():
    host = allowance.build_allowance(RATIO, 58.0)
    spend_all(host)
    assert host.denied == 1
