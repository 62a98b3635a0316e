"""Attempts of one request while replicas name limits, in virtual time.

Pattern: requests wait for their share of a limit, are given up while they wait, or
find that other shards fail.
"""

import pytest

from corianderrill import names
from corianderrill.gateway import coordinator, routes
from tests.utils import gateway_builders as builders
from tests.utils import virtual_servers

Outcome = coordinator.RequestOutcome
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


def exhaust(site, index, wait_s):
    """Reserve a replica's limit until its next request has to wait so long."""
    limits, replica = site.tools.rate_limits, find_replica(site, index)
    while limits.compute_delay_s(replica, site.loop.now()) < wait_s:
        limits.reserve(replica, site.loop.now())


def run_to_end(site):
    site.loop.run_until(site.loop.now() + 5.0)
    return site.ended[-1]


@pytest.mark.parametrize(
    "retry_safety",
    [routes.RetrySafety.IDEMPOTENT, routes.RetrySafety.AT_MOST_ONCE],
)
def test_request_waits_for_its_share_and_is_sent_once(retry_safety):
    site = build_single_service_site(retry_safety=retry_safety)
    for index in range(3):
        exhaust(site, index, 0.1)
    asked_at = site.loop.now()
    site.ask()
    ended = run_to_end(site)
    assert ended.outcome is Outcome.COMPLETE
    (arrived_at,) = [at for server in site.servers for at, _ in server.log]
    assert arrived_at - asked_at >= 0.1


def test_request_that_would_wait_too_long_is_refused_at_once_with_the_time_to_wait():
    site = build_single_service_site()
    for index in range(3):
        exhaust(site, index, 2.0)
    query = site.ask()
    assert query.outcome is Outcome.NOT_EXECUTED
    assert 1.5 < query.retry_after_s < 2.2
    run_to_end(site)
    assert not any(server.arrivals for server in site.servers)


def test_request_whose_caller_leaves_while_it_waits_is_never_sent():
    site = build_single_service_site()
    for index in range(3):
        exhaust(site, index, 0.1)
    replica_delays_s = [
        site.tools.rate_limits.compute_delay_s(find_replica(site, i), site.loop.now())
        for i in range(3)
    ]
    query = site.ask()
    query.handle_caller_disconnect()
    now = site.loop.now()
    assert [
        site.tools.rate_limits.compute_delay_s(find_replica(site, i), now)
        for i in range(3)
    ] == pytest.approx(replica_delays_s)
    run_to_end(site)
    assert not any(server.arrivals for server in site.servers)


def test_replica_without_a_limit_is_preferred_to_waiting():
    site = build_single_service_site(limited=(0,))
    exhaust(site, 0, 0.2)
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
    assert query.count_limited() == 1
    ended = run_to_end(site)
    assert ended.outcome is Outcome.PARTIAL
    assert ended.parts == 3
    assert query.sub_requests[0].has_part
    assert query.count_limited() == 0


def test_query_short_of_shards_sends_nothing_at_all():
    site = build_site(range(6))
    for index in range(6):
        exhaust(site, index, 2.0)
    query = site.ask()
    assert query.outcome is Outcome.NOT_EXECUTED
    run_to_end(site)
    assert not any(server.arrivals for server in site.servers)
