"""Attempts of one request while replicas advertise limits, in virtual time.

Pattern: requests find no share of a limit left, are given up before they are sent, or
find that other shards fail.
"""

import dataclasses

import pytest

from corianderrill import names
from corianderrill.gateway import request_outcomes, routes
from tests.utils import gateway_builders as builders
from tests.utils import virtual_servers

Outcome = request_outcomes.Outcome
LIMIT_PER_S = 10.0


def build_site(limited, per_s=LIMIT_PER_S, **fields):
    """Return a site whose host knows the limits of the replicas at these positions."""
    site = virtual_servers.Site(**{"shards": 4, "min_coverage": 0.75, **fields})
    for index in limited:
        site.servers[index].limits = [(0.0, 1000.0, per_s)]
        site.tools.rate_limits.record_reply(
            find_replica(site, index), builders.build_limited_reply(per_s), 0.0
        )
    site.loop.run_until(20.0)
    return site


def find_replica(site, index):
    service = site.services[index // len(virtual_servers.ZONES)]
    replicas = site.tools.view.list_ready(service)
    return next(replica for replica in replicas if replica.id == f"i-{index}")


def build_single_service_site(limited=range(3), **fields):
    target = routes.SingleService(names.ServiceName("shard-0"))
    return build_site(
        limited, shards=1, target=target, goal_s=0.288, timeout_s=2.5, **fields
    )


def exhaust(site, index, wait_s=2.0):
    """Use a replica's limit until its next request is allowed after so long."""
    limits, replica = site.tools.rate_limits, find_replica(site, index)
    while limits.compute_delay_s(replica, site.loop.now()) < wait_s:
        limits.acquire(replica, site.loop.now())


def run_to_end(site):
    site.loop.run_until(site.loop.now() + 5.0)
    return site.ended[-1]


@pytest.mark.parametrize(
    "retry_safety",
    [routes.RetrySafety.IDEMPOTENT, routes.RetrySafety.AT_MOST_ONCE],
)
def test_request_without_a_share_is_refused_at_once_with_the_time_to_wait(retry_safety):
    site = build_single_service_site(retry_safety=retry_safety)
    for index in range(3):
        exhaust(site, index)
    query = site.ask()
    assert query.outcome is Outcome.NOT_EXECUTED
    assert query.retry_after_s == pytest.approx(2.0, abs=0.2)
    run_to_end(site)
    assert not any(server.arrivals for server in site.servers)


def test_request_whose_caller_leaves_before_it_is_sent_gives_back_its_share():
    site = build_single_service_site(limited=(0,))
    limits, replica = site.tools.rate_limits, find_replica(site, 0)
    exhaust(site, 0, 0.0)
    site.servers[0].dark = [(0.0, 1000.0)]
    before = replica.next_slot_at
    query = site.ask()
    (attempt,) = query.sub_requests[0].attempts
    assert attempt.replica is replica
    assert limits.compute_delay_s(replica, site.loop.now()) == 0.0
    query.handle_caller_disconnect()
    assert replica.next_slot_at <= max(before, site.loop.now())


# Guards against requests with much time that wait for their turn and so use up a limit
# before those with little time, which cannot wait.
def test_requests_with_a_short_goal_get_as_much_of_a_limit_as_others():
    site = build_single_service_site()
    patient = site.route
    hasty = dataclasses.replace(
        patient, name=routes.RouteName("hasty"), goal_s=0.04, timeout_s=0.4
    )
    for _ in range(1000):
        site.route = site.rng.choice((hasty, patient))
        site.ask()
        site.loop.run_until(site.loop.now() + site.rng.expovariate(100.0))
    run_to_end(site)
    good = [e for e in site.coordinators if e.outcome is Outcome.COMPLETE]
    hasty_count = sum(e.route is hasty for e in good)
    assert len(good) > 250
    assert 0.4 * len(good) < hasty_count < 0.6 * len(good)


def test_replica_without_a_limit_takes_what_others_may_not():
    site = build_single_service_site(limited=(0,))
    exhaust(site, 0)
    site.ask()
    assert run_to_end(site).outcome is Outcome.COMPLETE
    assert site.servers[0].arrivals == 0


def test_hedges_do_not_use_the_share_of_a_limit():
    # The replica of the own zone is silent, the others name limits.
    site = build_site((1, 2))
    site.servers[0].silent = [(0.0, 1000.0)]
    site.ask()
    run_to_end(site)
    assert site.servers[1].arrivals == site.servers[2].arrivals == 0


def test_shard_that_was_left_out_is_asked_once_another_one_fails():
    site = build_site(range(3), per_s=1.0)
    # Much more demand than the limits allow, so that the shard is left out.
    for _ in range(100):
        site.tools.request_rates.record(site.services, site.loop.now())
    for server in site.servers[3:6]:
        server.fail_share = 1.0
    query = site.ask()
    assert query.progress.count_limited() == 1
    ended = run_to_end(site)
    assert ended.outcome is Outcome.PARTIAL
    assert ended.parts == 3
    assert query.sub_requests[0].has_part
    assert query.progress.count_limited() == 0


def test_query_short_of_shards_sends_nothing_at_all():
    site = build_site(range(6))
    for index in range(6):
        exhaust(site, index)
    query = site.ask()
    assert query.outcome is Outcome.NOT_EXECUTED
    run_to_end(site)
    assert not any(server.arrivals for server in site.servers)
