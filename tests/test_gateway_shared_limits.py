"""Rate limits of replicas that several hosts share, in virtual time.

Pattern: overloaded replicas advertise fewer requests a second than they get, while
hosts with very different loads send to them. No host sees what the others send.
"""

import pytest

from corianderrill import names
from corianderrill.gateway import (
    demand,
    demand_reporter,
    request_outcomes,
    routes,
)
from tests.utils import virtual_fleets

SEEDS = (1, 2, 3)
LIMITS_FROM_S = 3.0
LIMITS_END_S = 16.0
# The platform's time to be in touch again, and that for all hosts to read a report.
NOTICED_WITHIN_S = virtual_fleets.CONTACT_S + demand.SETTLING_TIME_S
# Half of what a replica gets when each zone uses its own.
LIMIT_PER_S = 13.0
# The target for days with trouble on sites with few hosts.
MIN_TROUBLE_ON_TIME_SHARE = 0.76


# For each zone, in requests a second.
LOAD_PER_S = (26.0, 26.0, 26.0)


def limit(servers, per_s=LIMIT_PER_S):
    for server in servers:
        server.limits = [(LIMITS_FROM_S, 100.0, per_s)]


def run_fleet(limited, seed=1, per_s=(26.0, 26.0, 26.0), until_s=20.0, **fields):
    """Run a fleet of nine hosts, or more, with limits of the replicas `limited`."""
    fleet = virtual_fleets.Fleet(seed=seed, shards=4, min_coverage=0.75, **fields)
    limit(fleet.servers[limited])
    fleet.run(per_s, until_s)
    return fleet


def compute_excesses(fleet):
    limited = [server for server in fleet.servers if server.limits]
    return [virtual_fleets.compute_excess(server) for server in limited]


# Guards against hosts that each send what they like to an overloaded replica, so that
# it gets more requests from all of them together than it accepts.
@pytest.mark.parametrize("seed", SEEDS)
def test_replicas_get_no_more_than_their_limit_allows_from_all_hosts(seed):
    fleet = run_fleet(slice(0, 2), seed, per_s=(26.0, 26.0, 40.0))
    assert max(compute_excesses(fleet)) <= 0


@pytest.mark.parametrize("seed", SEEDS)
def test_answers_stay_whole_while_one_replica_of_a_shard_has_no_limit(seed):
    fleet = run_fleet(slice(0, 2), seed)
    outcomes = {ended.outcome for ended in fleet.list_ended()}
    assert outcomes == {request_outcomes.Outcome.COMPLETE}


def test_limits_of_a_whole_shard_are_used_and_the_other_queries_leave_it_out():
    fleet = run_fleet(slice(0, 3))
    assert max(compute_excesses(fleet)) <= 0
    ended = fleet.list_ended(since_s=8.0)
    assert all(e.parts + e.missing == 4 and e.missing <= 1 for e in ended)
    complete = [e for e in ended if e.outcome is request_outcomes.Outcome.COMPLETE]
    # Half of the demand is allowed.
    assert 0.35 < len(complete) / len(ended) <= 0.55


@pytest.mark.parametrize("seed", SEEDS)
def test_queries_leave_out_one_shard_each_when_several_are_short(seed):
    """Three of ten shards get two thirds of what they need; one may be left out.

    If each shard were left out by chance, a third of the queries would miss two.
    """
    fleet = virtual_fleets.Fleet(seed=seed, shards=10, min_coverage=0.89)
    limit(fleet.servers[:9], 17.3)
    fleet.run(until_s=16.0)
    assert max(compute_excesses(fleet)) <= 0
    ended = fleet.list_ended(since_s=8.0)
    on_time = [e for e in ended if e.missing <= 1 and e.took_s <= 0.0925]
    assert len(on_time) / len(ended) > MIN_TROUBLE_ON_TIME_SHARE


def test_requests_over_the_limit_of_a_service_are_refused_at_once():
    service = names.ServiceName("shard-0")
    fleet = virtual_fleets.Fleet(
        shards=1, target=routes.SingleService(service), goal_s=0.288, timeout_s=2.5
    )
    limit(fleet.servers)
    fleet.run(until_s=16.0)
    assert max(compute_excesses(fleet)) <= 0
    ended = fleet.list_ended(since_s=8.0)
    refused = [e for e in ended if e.outcome is request_outcomes.Outcome.NOT_EXECUTED]
    answered = [e for e in ended if e.outcome is request_outcomes.Outcome.COMPLETE]
    assert len(refused) + len(answered) == len(ended)
    assert max(e.took_s for e in refused) < 0.01
    assert max(e.took_s for e in answered) < 0.5
    # The limits allow half of the demand.
    assert 0.4 < len(answered) / len(ended) < 0.6


@pytest.mark.parametrize("outage", [(2.9, 9.0), (4.2, 14.0), (6.0, 16.0)])
@pytest.mark.parametrize("count", [2, 3])
def test_limits_hold_while_the_store_is_away(outage, count):
    fleet = virtual_fleets.Fleet(shards=4, min_coverage=0.75)
    fleet.store.outages = [outage]
    limit(fleet.servers[:count])
    fleet.run((26.0, 26.0, 40.0))
    assert max(compute_excesses(fleet)) <= 0


def test_limits_hold_for_forty_hosts_that_write_seldom():
    fleet = run_fleet(slice(0, 3), hosts=(18, 9, 13))
    assert max(compute_excesses(fleet)) <= 0
    seconds = 20.0 - LIMITS_FROM_S
    assert fleet.store.writes / seconds < demand_reporter.MAX_TOTAL_WRITES_PER_S / 4


def test_limit_below_one_request_a_second_is_kept_and_its_end_noticed():
    fleet = virtual_fleets.Fleet(shards=4, min_coverage=0.75)
    for server in fleet.servers[:3]:
        server.limits = [(LIMITS_FROM_S, 12.0, 0.5)]
    fleet.run(until_s=60.0)
    assert max(compute_excesses(fleet)) <= 0
    late = fleet.list_ended(since_s=50.0)
    complete = [e for e in late if e.outcome is request_outcomes.Outcome.COMPLETE]
    assert len(complete) / len(late) > 0.9


# Guards against hosts that go on refusing requests long after a limit has ended,
# because each sends so seldom that it does not hear of the end.
@pytest.mark.parametrize("hosts", [(4, 3, 3), (14, 13, 13)])
def test_all_hosts_learn_within_seconds_that_a_low_limit_has_ended(hosts):
    service = names.ServiceName("shard-0")
    fleet = virtual_fleets.Fleet(
        hosts=hosts,
        shards=1,
        target=routes.SingleService(service),
        goal_s=0.288,
        timeout_s=2.5,
    )
    for server in fleet.servers:
        server.limits = [(LIMITS_FROM_S, LIMITS_END_S, 0.5)]
    fleet.run((8.0, 8.0, 8.0), until_s=30.0)
    assert max(compute_excesses(fleet)) <= 0
    ended = fleet.list_ended(since_s=LIMITS_END_S + NOTICED_WITHIN_S)
    refused = [e for e in ended if e.outcome is request_outcomes.Outcome.NOT_EXECUTED]
    assert not refused


def build_fleet(limited=slice(0, 3), **fields):
    fleet = virtual_fleets.Fleet(shards=4, min_coverage=0.75, **fields)
    limit(fleet.servers[limited])
    return fleet


def test_hosts_that_begin_to_send_late_keep_to_the_limit_with_the_others():
    fleet = build_fleet()
    for number, site in enumerate(fleet.sites):
        site.schedule(9.0, 2.0 * number, 30.0)
    fleet.loop.run_until(32.0)
    assert max(compute_excesses(fleet)) <= 0


@pytest.mark.parametrize("down_s", [0.5, 8.0])
def test_limits_hold_while_hosts_are_killed_and_start_again(down_s):
    fleet = build_fleet()
    fleet.load(LOAD_PER_S, 10.0)
    for killed in fleet.sites[:3]:
        fleet.kill(killed)
    fleet.load(LOAD_PER_S, 10.0 + down_s)
    for number in range(3):
        fleet.add_host("zone-a", f"zone-a-{number}")
    fleet.run(until_s=34.0)
    assert max(compute_excesses(fleet)) <= 0


@pytest.mark.parametrize("frozen_s", [3.0, 9.0])
def test_limits_hold_when_hosts_that_were_frozen_go_on(frozen_s):
    """The others divide the share of a host whose lease has run out meanwhile."""
    fleet = build_fleet()
    for site in fleet.sites[3:6]:
        fleet.freeze(site, 10.0, 10.0 + frozen_s)
    fleet.run(until_s=30.0)
    assert max(compute_excesses(fleet)) <= 0


@pytest.mark.parametrize("count", [1, 4])
def test_limits_hold_while_hosts_are_cut_off_from_the_store(count):
    fleet = build_fleet()
    for site in fleet.sites[:count]:
        fleet.store.cuts[site.host] = [(8.0, 20.0)]
    fleet.run(until_s=30.0)
    assert max(compute_excesses(fleet)) <= 0


def test_limits_hold_while_hosts_are_added():
    fleet = build_fleet()
    fleet.load(LOAD_PER_S, 10.0)
    for number in range(6):
        fleet.add_host("zone-b", f"new-{number}")
    fleet.run(until_s=30.0)
    assert max(compute_excesses(fleet)) <= 0


@pytest.mark.parametrize("host_count", [3.0, 40.0])
@pytest.mark.parametrize("outages", [[], [(6.0, 20.0)]])
def test_limits_hold_when_hosts_misjudge_how_many_they_are(host_count, outages):
    fleet = build_fleet(host_count=host_count)
    fleet.store.outages = outages
    fleet.run(until_s=30.0)
    assert max(compute_excesses(fleet)) <= 0


def test_share_of_idle_hosts_serves_the_callers_of_busy_ones():
    fleet = build_fleet(slice(0, 12), host_count=9.0)
    busy = fleet.sites[4]
    for site in fleet.sites:
        site.schedule(30.0 if site is busy else 0.2, 0.0, 30.0)
    fleet.loop.run_until(32.0)
    assert max(compute_excesses(fleet)) <= 0
    # Its demand is less than the limits of the replicas of a shard together.
    ended = [e for e in busy.ended if e.at_s >= LIMITS_FROM_S + NOTICED_WITHIN_S]
    served = [e for e in ended if e.outcome is request_outcomes.Outcome.COMPLETE]
    assert len(served) / len(ended) > 0.9


def test_limits_hold_without_a_store_when_hosts_take_themselves_for_a_third():
    fleet = build_fleet(host_count=3.0)
    fleet.store.outages = [(2.9, 20.0)]
    fleet.run(until_s=24.0)
    assert max(compute_excesses(fleet)) <= 0
