"""Queries under which the replicas of all their shards end.

Pattern: one query crashes a replica of each shard at once; it comes again, at any host,
while other queries need the replicas that are left.
"""

from corianderrill.gateway import crash_watch, request_outcomes
from tests.utils import virtual_servers

SHARDS = 10
ALL_DAY = [(0.0, 99.0)]
CHECK_S = 0.001


def build_site(liveness):
    """Return a site whose checks of replicas report so a moment later."""
    site = virtual_servers.Site(shards=SHARDS)
    site.tools.view.confirmed_at = 0.0

    def check(address, report):
        site.loop.call_later(CHECK_S, report, liveness)

    site.tools.crash_watch.check = check
    return site


def count_arrivals(site):
    return sum(server.arrivals for server in site.servers)


# Guards against a query that ends two replicas of each shard: the retry was sent before
# it was known that the first one had ended.
def test_query_that_ends_its_replicas_is_not_retried_on_others():
    site = build_site(crash_watch.Liveness.ENDED)
    for server in site.servers:
        server.breaking = ALL_DAY
    work = site.ask()
    site.loop.run_until(2.0)
    assert count_arrivals(site) == SHARDS
    assert work.outcome is request_outcomes.Outcome.INDETERMINATE


def test_suspected_query_is_sent_to_one_replica_first():
    site = build_site(crash_watch.Liveness.ENDED)
    for server in site.servers:
        server.breaking = ALL_DAY
    site.ask()
    site.loop.run_until(1.0)
    before = count_arrivals(site)
    site.ask()
    site.loop.run_until(2.0)
    assert count_arrivals(site) == before + 1


def test_suspected_query_that_is_sound_gets_all_its_parts():
    site = build_site(crash_watch.Liveness.ENDED)
    for server in site.servers:
        server.breaking = [(0.0, 0.5)]
    site.ask()
    site.loop.run_until(1.0)
    work = site.ask()
    site.loop.run_until(2.0)
    assert work.outcome is request_outcomes.Outcome.COMPLETE


def test_query_whose_connections_break_is_retried_once_the_replicas_are_known_to_live():
    site = build_site(crash_watch.Liveness.LISTENING)
    for server in site.servers[::3]:
        server.breaking = ALL_DAY
    work = site.ask()
    site.loop.run_until(2.0)
    assert work.outcome is request_outcomes.Outcome.COMPLETE
    assert site.ended[0].took_s < 0.1


def test_retry_does_not_wait_long_for_a_check_that_reports_nothing():
    site = virtual_servers.Site(shards=SHARDS)
    site.servers[0].breaking = ALL_DAY
    work = site.ask()
    site.loop.run_until(2.0)
    assert work.outcome is request_outcomes.Outcome.COMPLETE
    assert site.ended[0].took_s < 0.03 + 0.1


# Guards against a query that ends two replicas of each shard: it was hedged while
# no replica had replied, just before the first of them ended.
def test_query_without_any_reply_is_not_hedged_before_its_replicas_end():
    site = build_site(crash_watch.Liveness.ENDED)
    delay_s = site.tools.get_latency_estimator(site.route).hedge_delay_s
    for server in site.servers:
        server.breaks_after_s = 1.4 * delay_s
    site.ask()
    site.loop.run_until(2.0)
    assert count_arrivals(site) == SHARDS


def test_query_without_any_reply_is_hedged_later():
    site = virtual_servers.Site(shards=SHARDS)
    for server in site.servers[::3]:
        server.slow = [(0.0, 99.0, 40.0)]
    site.ask()
    site.loop.run_until(2.0)
    assert count_arrivals(site) > SHARDS


# Guards against hedges that come late since the first check was set before any reply.
def test_slow_shard_is_hedged_in_time_once_the_others_have_replied():
    site = virtual_servers.Site(shards=SHARDS)
    # Warms up the estimate of the latency, on which the hedge delay rests.
    site.run(20.0, 5.0)
    for server in site.servers[:3]:
        server.slow = [(0.0, 99.0, 40.0)]
    delay_s = site.tools.get_latency_estimator(site.route).hedge_delay_s
    work = site.ask()
    site.loop.run_until(site.loop.now() + 2.0)
    first, hedge, *_ = work.sub_requests[0].attempts
    assert hedge.started_at - first.started_at < 1.3 * delay_s
