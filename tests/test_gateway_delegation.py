"""Queries that are delegated to aggregators, in virtual time.

Pattern: a host of a large site is asked rarely. The aggregator that it delegates a
query to may refuse, be unreachable, paused, killed or confused.
"""

import dataclasses

import pytest

from corianderrill import names
from corianderrill.gateway import delegation, request_outcomes
from tests.utils import virtual_aggregators, virtual_servers

Behavior = virtual_aggregators.Behavior
Outcome = request_outcomes.Outcome
SHARDS = 10
DIRECT_FAILURES = (
    *(Behavior.REFUSE, Behavior.UNREACHABLE, Behavior.STAY_SILENT),
    # An aggregator that stops closes idle connections, and a query may cross that.
    Behavior.CLOSE_UNCONFIRMED,
)


def build_site(mode=delegation.Mode.WHOLE_QUERY, behavior=Behavior.ANSWER, **fields):
    site = virtual_servers.Site(shards=SHARDS, mode=mode, **fields)
    aggregator = virtual_aggregators.add_to(site)
    aggregator.behavior = behavior
    return site, aggregator


def ask_once(site, until_s=3.0):
    query = site.ask()
    site.loop.run_until(site.loop.now() + until_s)
    return query, site.ended[-1]


def count_arrivals(site):
    return sum(server.arrivals for server in site.servers)


def test_answer_of_the_aggregator_is_the_answer_of_the_query():
    site, _ = build_site()
    query, ended = ask_once(site)
    assert ended.outcome is Outcome.COMPLETE
    assert ended.parts == SHARDS
    assert len(query.collect_parts().signatures) == SHARDS
    assert count_arrivals(site) == 0


def test_aggregator_gets_what_is_left_of_goal_and_deadline():
    site, aggregator = build_site()
    query, _ = ask_once(site)
    terms = aggregator.queries[0]
    assert terms.shards == tuple(range(SHARDS))
    assert terms.min_parts == 9
    assert 0 < terms.goal_s < query.goal_at
    assert terms.version == query.version
    assert terms.may_delegate


@pytest.mark.parametrize("behavior", DIRECT_FAILURES)
def test_query_is_sent_directly_in_time_if_the_aggregator_does_not_take_it(behavior):
    site, _ = build_site(behavior=behavior)
    _, ended = ask_once(site)
    assert ended.outcome is Outcome.COMPLETE
    assert ended.took_s < site.route.goal_s
    assert count_arrivals(site) == SHARDS


@pytest.mark.parametrize("behavior", [Behavior.REFUSE, Behavior.UNREACHABLE])
def test_query_that_no_replica_got_costs_no_retry_budget(behavior):
    site, _ = build_site(behavior=behavior)
    query, _ = ask_once(site)
    assert query.extra_attempts.sent_count == 0


@pytest.mark.parametrize("behavior", [Behavior.STAY_SILENT, Behavior.CLOSE_UNCONFIRMED])
def test_query_that_replicas_may_have_got_costs_retry_budget(behavior):
    site, aggregator = build_site(behavior=behavior)
    query, _ = ask_once(site)
    assert query.extra_attempts.sent_count == SHARDS
    is_silent = behavior is Behavior.STAY_SILENT
    assert bool(aggregator.canceled) is is_silent


def test_no_further_attempt_follows_a_delegation_that_may_have_used_the_others():
    """The route allows two replicas a shard; the aggregator may have used one."""
    site, _ = build_site(behavior=Behavior.STAY_SILENT)
    for server in site.servers:
        server.fail_share = 1.0
    query, ended = ask_once(site)
    assert ended.outcome is Outcome.INDETERMINATE
    assert all(len(s.list_attempted_replicas()) <= 1 for s in query.sub_requests)


def test_host_whose_retry_budget_is_spent_sends_directly():
    site, aggregator = build_site(behavior=Behavior.STAY_SILENT, fixed=0.0)
    query, ended = ask_once(site)
    assert ended.outcome is Outcome.COMPLETE
    assert not aggregator.queries
    assert query.extra_attempts.sent_count == 0


@pytest.mark.parametrize(
    "behavior", [Behavior.FAIL_ONCE_CONFIRMED, Behavior.ANSWER_FOR_ANOTHER]
)
def test_query_whose_aggregator_fails_ends_at_once_and_may_have_run(behavior):
    site, _ = build_site(behavior=behavior)
    _, ended = ask_once(site)
    assert ended.outcome is Outcome.INDETERMINATE
    assert ended.took_s < 0.05
    assert count_arrivals(site) == 0


def test_query_whose_aggregator_pauses_ends_before_its_deadline():
    site, _ = build_site(behavior=Behavior.STAY_SILENT_ONCE_CONFIRMED)
    _, ended = ask_once(site)
    assert ended.outcome is Outcome.INDETERMINATE
    assert ended.took_s < 2 * delegation.LIVENESS_TIMEOUT_S


def test_aggregator_that_failed_is_not_asked_again_for_a_while():
    site, aggregator = build_site(behavior=Behavior.STAY_SILENT)
    ask_once(site, 0.5)
    ask_once(site, 0.5)
    assert len(aggregator.queries) == 1
    assert site.ended[-1].outcome is Outcome.COMPLETE
    aggregator.behavior = Behavior.ANSWER
    ask_once(site)
    ask_once(site)
    assert len(aggregator.queries) >= 2


def test_part_that_the_answer_leaves_out_is_missing():
    site, _ = build_site(behavior=Behavior.LEAVE_OUT_A_SHARD)
    query, ended = ask_once(site)
    assert ended.outcome is Outcome.PARTIAL
    assert ended.missing == 1
    assert query.collect_parts().shards == list(range(1, SHARDS))


def test_answer_that_comes_after_the_outcome_adds_nothing_to_the_parts():
    """The answer is sent a moment after the outcome was decided at the goal."""
    site, _ = build_site(mode=delegation.Mode.OTHER_ZONES)
    address = names.Address("10.0.1.9", 7420)
    other = virtual_aggregators.add_to(site, "zone-b", 0, address)
    other.work_s = 2 * site.route.goal_s
    for server in site.servers[:6]:
        if server.zone == "zone-a":
            site.remove(server)
    site.route = dataclasses.replace(
        site.route, target=dataclasses.replace(site.route.target, min_coverage=0.8)
    )
    query, ended = ask_once(site)
    assert ended.outcome is Outcome.PARTIAL
    parts = query.collect_parts()
    assert len(parts.signatures) == len(parts.shards) == SHARDS - 2


def test_caller_that_leaves_cancels_the_delegated_query():
    site, aggregator = build_site(behavior=Behavior.STAY_SILENT_ONCE_CONFIRMED)
    query = site.ask()
    site.loop.run_until(0.03)
    query.handle_caller_disconnect()
    site.loop.run_until(0.04)
    assert aggregator.canceled


def build_site_with_shards_elsewhere(count=3, behavior=Behavior.ANSWER):
    """Return a site, some of whose shards an aggregator of another zone is to ask.

    It is followed by that aggregator and the one of the own zone.
    """
    site, own = build_site(mode=delegation.Mode.OTHER_ZONES)
    address = names.Address("10.0.1.9", 7420)
    other = virtual_aggregators.add_to(site, "zone-b", 0, address)
    other.behavior = behavior
    for server in site.servers[: 3 * count]:
        if server.zone == "zone-a":
            site.remove(server)
    return site, other, own


def test_shards_without_a_replica_in_the_own_zone_go_to_an_aggregator_elsewhere():
    site, other, own = build_site_with_shards_elsewhere()
    _, ended = ask_once(site)
    assert ended.outcome is Outcome.COMPLETE
    assert [terms.shards for terms in other.queries] == [(0, 1, 2)]
    assert not other.queries[0].may_delegate
    assert not own.queries
    assert count_arrivals(site) == SHARDS - 3


def test_single_shard_of_another_zone_is_sent_directly():
    site, _ = build_site(mode=delegation.Mode.OTHER_ZONES)
    address = names.Address("10.0.1.9", 7420)
    other = virtual_aggregators.add_to(site, "zone-b", 0, address)
    site.remove(site.servers[0])
    _, ended = ask_once(site)
    assert ended.outcome is Outcome.COMPLETE
    assert not other.queries


def test_host_that_is_asked_often_delegates_no_whole_query():
    site, _ = build_site()
    for _ in range(60):
        site.tools.query_rate.record(site.loop.now())
    mode = delegation.select_mode(site.tools, site.route, site.loop.now())
    assert mode is delegation.Mode.OTHER_ZONES
    site.loop.run_until(60.0)
    mode = delegation.select_mode(site.tools, site.route, site.loop.now())
    assert mode is delegation.Mode.WHOLE_QUERY


def test_query_that_an_aggregator_refuses_for_limits_is_refused_and_not_sent_directly():
    """The replicas are short; hosts that ask them directly would add to their load."""
    site, _ = build_site(behavior=Behavior.REFUSE_FOR_LIMITS)
    query, ended = ask_once(site)
    assert ended.outcome is Outcome.NOT_EXECUTED
    assert ended.took_s < 0.02
    assert query.retry_after_s == virtual_aggregators.RETRY_AFTER_S
    assert count_arrivals(site) == 0


# Guards against a 503, which says that nothing was executed, while an aggregator still
# sends sub-requests of the query.
def test_query_that_an_aggregator_works_on_is_not_called_unexecuted():
    site, _, _ = build_site_with_shards_elsewhere(
        SHARDS - 2, Behavior.STAY_SILENT_ONCE_CONFIRMED
    )
    for server in site.servers:
        server.shed_share = 1.0
    _, ended = ask_once(site)
    assert ended.outcome is Outcome.INDETERMINATE
