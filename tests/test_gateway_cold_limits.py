"""Cold replicas that many hosts send to, without network and in virtual time.

Pattern: a replica has just started and crashes when it gets much more than its limit in
any second. Hundreds of hosts with few requests each may send to it, and their requests
may all come at one moment, after they have had none for long.
"""

import dataclasses
import random

import pytest

from corianderrill import names
from corianderrill.gateway import (
    cold_limits,
    cold_records,
    demand,
    evacuations,
    rate_limits,
    request_outcomes,
    routes,
)
from corianderrill.platform import documents
from tests.utils import cold_hosts, fake_stores, virtual_fleets, virtual_servers
from tests.utils import gateway_builders as builders

Outcome = request_outcomes.Outcome
SERVICE = cold_hosts.SERVICE
LOAD_S = 20.0


def assert_within_bound(hosts, limit_per_s=20.0):
    assert cold_hosts.compute_excess(cold_hosts.list_sent(hosts), limit_per_s) <= 0


# Guards against requests over the limit in any second, whatever the demand and however
# it is split among the hosts.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("count", [2, 30, 195, 830])
@pytest.mark.parametrize("is_published", [False, True])
@pytest.mark.parametrize("limit_per_s", [2.0, 5.0, 20.0, 60.0])
def test_all_hosts_together_keep_the_limit_in_any_second(
    count, limit_per_s, is_published, seed
):
    rng = random.Random(seed)
    hosts = cold_hosts.build_hosts(count, limit_per_s, seed)
    total_per_s = 10.0 * limit_per_s + count
    weights = [rng.paretovariate(1.2) for _ in hosts]
    rates = [total_per_s * weight / sum(weights) for weight in weights]
    if is_published:
        cold_hosts.publish(hosts, rates, -10.0)
    cold_hosts.load(hosts, rates, 0.0, LOAD_S, rng)
    assert_within_bound(hosts, limit_per_s)


# Guards against hosts that save up what they do not use: each has one request to spare
# when the demand moves to the cold replica.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("count", [70, 830])
def test_hosts_that_had_no_requests_for_long_send_no_burst(count, seed):
    hosts = cold_hosts.build_hosts(count, seed=seed)
    for host in hosts:
        host.limits.compute_delay_s(host.replica, 0.0)
    for step in range(200):
        for host in hosts:
            host.ask(300.0 + 0.01 * step)
    assert_within_bound(hosts)


# Guards against slots that stay usable for long since the demand was low: it grows
# before the hosts tell each other.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("count", [30, 70, 830])
def test_surge_of_the_demand_is_within_the_limit(count, seed):
    hosts = cold_hosts.build_hosts(count, seed=seed)
    usual = [20.0 / count] * count
    cold_hosts.publish(hosts, usual, -10.0)
    rng = random.Random(seed)
    cold_hosts.load(hosts, usual, 0.0, LOAD_S, rng)
    surge = [cold_limits.SURGE_FACTOR * per_s for per_s in usual]
    cold_hosts.load(hosts, surge, LOAD_S, LOAD_S + 10.0, rng)
    assert_within_bound(hosts)


# Guards against hosts that forget at their start what the others send.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_limit_holds_while_hosts_are_added_and_restarted(seed):
    rng = random.Random(seed)
    hosts = cold_hosts.build_hosts(150, seed=seed)
    rates = [2.0] * len(hosts)
    cold_hosts.publish(hosts, rates, -10.0)
    gone = []
    for step in range(10):
        cold_hosts.load(hosts, rates, 2.0 * step, 2.0 * step + 2.0, rng)
        fresh = cold_hosts.build_hosts(30, seed=f"{seed}-{step}", host_count=150)
        gone += hosts[:25]
        hosts = [*hosts[25:], *fresh]
        rates = [2.0] * len(hosts)
    assert len(hosts) == 200
    assert_within_bound([*hosts, *gone])


# Guards against hosts that divide the whole limit among themselves while others are cut
# off from the store and take an even share.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("cut_off", [20, 75, 148])
def test_limit_holds_while_hosts_are_cut_off_from_the_store(cut_off, seed):
    rng = random.Random(seed)
    hosts = cold_hosts.build_hosts(150, seed=seed)
    reached = hosts[cut_off:]
    rates = [*[10.0] * cut_off, *[1_000.0 / len(reached)] * len(reached)]
    cold_hosts.publish(reached, rates[cut_off:], -10.0, readers=reached)
    cold_hosts.load(hosts, rates, 0.0, LOAD_S, rng)
    assert_within_bound(hosts)


def test_few_hosts_without_news_use_most_of_the_limit():
    hosts = cold_hosts.build_hosts(4)
    cold_hosts.load(hosts, [50.0] * 4, 0.0, LOAD_S, random.Random(1))
    assert len(cold_hosts.list_sent(hosts)) / LOAD_S > 12.0


# Guards against hosts that refuse nearly all of few requests, since their slots are
# over when a request comes.
def test_many_hosts_with_few_requests_find_usable_slots_by_the_demand_of_all():
    hosts = cold_hosts.build_hosts(70)
    rates = [10.0 / 70] * 70
    cold_hosts.publish(hosts, rates, -10.0)
    asked = cold_hosts.load(hosts, rates, 0.0, 60.0, random.Random(1))
    assert len(cold_hosts.list_sent(hosts)) / asked > 0.25


def test_slot_of_a_request_that_was_not_sent_is_usable_again():
    (host,) = cold_hosts.build_hosts(1)
    at = host.limits.compute_delay_s(host.replica, 0.0) + 1e-6
    assert host.ask(at)
    assert host.limits.compute_delay_s(host.replica, at) > 0.0
    host.limits.release(host.replica, at)
    assert host.limits.compute_delay_s(host.replica, at) == 0.0


def test_replica_takes_every_request_once_it_is_warm():
    (host,) = cold_hosts.build_hosts(1)
    host.replica.announced_cold_until = 5.0
    assert not all(host.ask(4.9) for _ in range(20))
    assert host.limits.compute_delay_s(host.replica, 5.0) == 0.0
    assert not host.limits.acquire(host.replica, 5.0)


def test_advertised_limit_of_a_cold_replica_holds_as_well():
    (host,) = cold_hosts.build_hosts(1)
    host.limits.record_reply(host.replica, builders.build_limited_reply(1.0), 1.0)
    times = [1.0 + 0.01 * step for step in range(1000)]
    sent = sum(host.ask(now) for now in times)
    assert 8 <= sent <= 12


# When a replica is cold.


def build_configuration(version=2, warmup_s=10.0, per_s=20.0):
    configuration = builders.build_configuration(version=version)
    service = routes.Service(SERVICE, 26, warmup_s, per_s)
    return routes.build_configuration(
        configuration.version, configuration.routes, (service,), configuration.limits
    )


class Known:
    """A view and limits that are updated as the store says."""

    def __init__(self, **service):
        self.view = builders.build_view()
        self.limits = builders.build_rate_limits(fake_stores.RecordingLog())
        self.view.apply_configuration(build_configuration(**service))
        self.revision = 1

    def register(self, now, **fields):
        self.revision += 1
        registration = builders.build_registration(**fields)
        self.view.apply_registration(registration, self.revision, now)
        self.limits.refresh_cold(self.view, now)
        (replica,) = self.view.list_ready(registration.service)
        return replica

    def reply(self, replica, left_ms, now):
        warmup = builders.decode_warmup(left_ms)
        reply = dataclasses.replace(builders.build_limited_reply(None), warmup=warmup)
        self.limits.record_reply(replica, reply, now)

    def list_services(self, now):
        return self.limits.list_services(self.view, now)


def test_replica_is_cold_for_the_time_in_its_entry():
    known = Known(warmup_s=0.0)
    replica = known.register(100.0, warmup_s=5.0)
    assert replica.is_cold(104.9)
    assert not replica.is_cold(105.0)
    assert known.limits.has_any()
    assert known.list_services(101.0) == {SERVICE}
    assert known.list_services(105.0) == set()
    assert not known.limits.has_any()
    sources = [r.source for r in known.limits.log.list_of(cold_records.ReplicaCold)]
    assert sources == ["store", "warm"]


@pytest.mark.parametrize("fields", [{"started_at_ms": 2}, {"address": "other"}])
def test_replica_is_cold_for_the_time_of_its_service_after_its_start(fields):
    known = Known(warmup_s=10.0)
    replica = known.register(100.0, started_at_ms=1)
    # It was known when this host started, and its entry says that it is warm.
    assert not replica.is_cold(100.0)
    if "address" in fields:
        fields = {"address": names.Address("10.0.0.7", 1), "started_at_ms": 1}
    replica = known.register(200.0, **fields)
    assert replica.is_cold(209.9)
    assert not replica.is_cold(210.0)


def test_replica_that_registers_while_the_host_runs_has_just_started():
    known = Known(warmup_s=10.0)
    known.view.confirmed_at = 100.0
    assert known.register(200.0, started_at_ms=1).is_cold(209.9)


# Guards against a replica that turns cold each time that it writes its entry.
def test_next_entry_of_the_same_process_is_no_start():
    known = Known(warmup_s=10.0)
    known.view.confirmed_at = 100.0
    known.register(200.0, started_at_ms=1, write_number=1)
    replica = known.register(220.0, started_at_ms=1, write_number=2)
    assert not replica.is_cold(220.0)


# Guards against a restored store by which all replicas are cold once more.
def test_entry_that_is_read_again_after_a_restore_does_not_make_a_replica_cold():
    known = Known(warmup_s=0.0)
    known.register(100.0, started_at_ms=1, write_number=1, warmup_s=5.0)
    known.view.enter_era(200.0)
    known.revision = 1
    replica = known.register(200.0, started_at_ms=1, write_number=1, warmup_s=5.0)
    assert not replica.is_cold(200.0)


def test_reply_says_that_a_replica_is_cold_or_is_not():
    known = Known(warmup_s=0.0)
    replica = known.register(100.0)
    assert not replica.is_cold(100.0)
    known.reply(replica, b"2500", 100.0)
    assert replica.is_cold(102.4)
    assert known.limits.has_any()
    known.reply(replica, b"0", 101.0)
    assert not replica.is_cold(101.0)


def test_replica_is_cold_until_the_latest_of_the_ends():
    known = Known(warmup_s=10.0)
    known.view.confirmed_at = 100.0
    replica = known.register(200.0, started_at_ms=1, warmup_s=5.0)
    known.reply(replica, b"0", 201.0)
    assert replica.is_cold(209.9)
    known.reply(replica, b"30000", 202.0)
    assert replica.is_cold(231.9)
    assert not replica.is_cold(232.0)


@pytest.mark.parametrize("text", [b"", b"-3", b"nan", b"soon", b"1e9"])
def test_time_in_a_reply_that_is_no_number_is_logged_and_changes_nothing(text):
    known = Known(warmup_s=0.0)
    replica = known.register(100.0)
    known.reply(replica, text, 100.0)
    assert not replica.is_cold(100.0)
    (record,) = known.limits.log.list_of(cold_records.ReplicaCold)
    assert record.source.startswith("invalid")


def test_reply_that_names_days_is_believed_for_minutes():
    known = Known(warmup_s=0.0)
    replica = known.register(100.0)
    known.reply(replica, b"999999999999", 100.0)
    assert not replica.is_cold(100.0 + rate_limits.MAX_ANNOUNCED_COLD_S)


def test_replicas_of_a_returning_zone_are_cold():
    known = Known(warmup_s=30.0)
    replica = known.register(100.0)
    known.view.apply_evacuation(names.ZoneName("zone-a"), True, 50, 200.0)
    known.view.apply_evacuation(names.ZoneName("zone-a"), False, 51, 300.0)
    assert replica.is_cold(329.9)
    assert not replica.is_cold(330.0)


def test_replicas_of_a_returning_zone_are_cold_during_its_steps_at_least():
    known = Known(warmup_s=0.0)
    replica = known.register(100.0)
    known.view.apply_evacuation(names.ZoneName("zone-a"), True, 50, 200.0)
    known.view.apply_evacuation(names.ZoneName("zone-a"), False, 51, 300.0)
    assert replica.is_cold(300.0 + evacuations.RETURN_S - 0.1)


# Guards against any effect where no service limits its cold replicas.
def test_without_a_limit_no_replica_is_cold():
    known = Known(warmup_s=10.0, per_s=None)
    known.view.confirmed_at = 100.0
    replica = known.register(200.0, started_at_ms=1, warmup_s=5.0)
    known.reply(replica, b"2500", 200.0)
    assert not replica.is_cold(200.0)
    assert not known.limits.has_any()
    assert known.limits.compute_delay_s(replica, 200.0) == 0.0
    assert replica.is_fit_for_hedge(200.0)
    assert known.limits.log.records == []


def test_limit_that_the_configuration_no_longer_has_ends_at_once():
    known = Known(warmup_s=10.0)
    replica = known.register(100.0, warmup_s=50.0)
    assert replica.is_cold(101.0)
    known.view.apply_configuration(build_configuration(version=3, per_s=None))
    known.limits.refresh_cold(known.view, 101.0)
    assert not replica.is_cold(101.0)
    assert known.list_services(101.0) == set()


# Guards against hosts that each have to ask a replica before they know that it has
# turned cold again.
def test_host_learns_from_the_report_of_another_that_a_replica_is_cold():
    known, other = Known(warmup_s=0.0), Known(warmup_s=0.0)
    replica = known.register(100.0)
    known.reply(replica, b"5000", 100.0)
    heard = other.register(100.0)
    report = demand.DemandReport(
        names.HostName("b"),
        builders.ZONE,
        {},
        cold_s=known.limits.list_announced_cold(101.0),
    )
    encoded = documents.encode_demand(report)
    decoded = documents.decode_demand("demand/b", encoded)
    assert other.limits.apply_report(decoded.host, decoded, 5, 101.0)
    other.limits.apply_reported_cold(decoded, other.view, 101.0)
    assert heard.is_cold(104.9)
    assert not heard.is_cold(105.0)
    # A host does not report what it knows only from a report.
    assert other.limits.list_announced_cold(101.0) == {}
    assert known.limits.list_announced_cold(105.0) == {}


# Guards against reports that all hosts fill with what all hosts know.
def test_hosts_do_not_tell_what_the_store_or_another_host_tells():
    known = Known(warmup_s=0.0)
    by_store = known.register(100.0, warmup_s=60.0)
    known.reply(by_store, b"60000", 100.0)
    assert known.limits.list_announced_cold(100.0) == {}
    known.reply(by_store, b"90000", 100.0)
    assert known.limits.list_announced_cold(100.0) == {by_store.id: 90.0}
    report = demand.DemandReport(
        names.HostName("b"), builders.ZONE, {}, cold_s={by_store.id: 90.0}
    )
    known.limits.apply_report(report.host, report, 5, 101.0)
    assert known.limits.list_announced_cold(101.0) == {}
    known.limits.apply_report(report.host, None, 6, 102.0)
    assert set(known.limits.list_announced_cold(102.0)) == {by_store.id}


def test_report_names_a_bounded_number_of_cold_replicas():
    known = Known(warmup_s=0.0)
    for number in range(100):
        registration = builders.build_registration(f"i-{number:03}")
        known.view.apply_registration(registration, 10 + number, 100.0)
    known.limits.refresh_cold(known.view, 100.0)
    for replica in known.view.list_replicas():
        known.reply(replica, b"9000", 100.0)
    first = known.limits.list_announced_cold(101.0)
    assert len(first) == rate_limits.MAX_REPORTED_COLD
    assert first.keys() == known.limits.list_announced_cold(102.0).keys()


def test_report_does_not_undo_what_the_replica_said_to_this_host_just_before():
    known = Known(warmup_s=0.0)
    replica = known.register(100.0)
    known.reply(replica, b"0", 100.0)
    report = demand.DemandReport(
        names.HostName("b"), builders.ZONE, {}, cold_s={replica.id: 5.0}
    )
    known.limits.apply_reported_cold(report, known.view, 101.0)
    assert not replica.is_cold(101.0)
    known.limits.apply_reported_cold(report, known.view, 103.0)
    assert replica.is_cold(103.0)


def test_report_without_cold_replicas_is_written_as_before():
    report = demand.DemandReport(names.HostName("b"), builders.ZONE, {SERVICE: 1.0})
    assert b"cold" not in documents.encode_demand(report)


# The demand of all hosts.


def test_demand_is_not_known_before_the_own_report_has_settled():
    (host, other) = cold_hosts.build_hosts(2)
    assert host.limits.directory.estimate_demand_per_s(SERVICE, 0.0) == float("inf")
    cold_hosts.publish([host, other], [3.0, 5.0], 0.0)
    directory = host.limits.directory
    assert directory.estimate_demand_per_s(SERVICE, 0.1) == float("inf")
    assert directory.estimate_demand_per_s(SERVICE, demand.SETTLING_TIME_S) == 8.0


# Guards against a demand that looks low since few hosts have published theirs.
def test_hosts_without_a_report_are_taken_to_have_as_much_demand_as_the_others():
    (host, *_) = cold_hosts.build_hosts(10)
    cold_hosts.publish([host], [3.0], 0.0)
    estimate = host.limits.directory.estimate_demand_per_s(SERVICE, 5.0)
    assert estimate == pytest.approx(30.0)


# Requests.


def build_site(cold, limit_per_s=4.0, **fields):
    """Return a site with one service, whose replicas at these positions are cold."""
    target = routes.SingleService(names.ServiceName("shard-0"))
    site = virtual_servers.Site(
        shards=1, target=target, goal_s=0.288, timeout_s=2.0, **fields
    )
    for replica in site.tools.view.list_replicas():
        if int(replica.id.removeprefix("i-")) in cold:
            make_cold(site, replica, limit_per_s)
    return site


def make_cold(site, replica, limit_per_s):
    replica.warmup_limit_per_s = limit_per_s
    replica.announced_cold_until = 1e6
    site.tools.rate_limits._note_cold(replica, "store", site.loop.now())


# Guards against cold replicas that get as many requests as warm ones, only since they
# are in the zone of the host.
def test_warm_replicas_get_what_the_limit_of_cold_ones_does_not_allow():
    site = build_site(cold={0})
    site.run(40.0, 20.0)
    outcomes = {ended.outcome for ended in site.ended}
    assert outcomes == {Outcome.COMPLETE}
    cold = site.servers[0]
    assert cold_hosts.compute_excess(sorted(at for at, _ in cold.log), 4.0) <= 0
    assert cold.arrivals < 5.0 * 20.0
    assert sum(server.arrivals for server in site.servers[1:]) > 400


def test_warm_replica_of_the_zone_is_preferred_to_a_cold_one():
    site = build_site(cold={0}, limit_per_s=1_000.0)
    warm = builders.build_registration(
        "i-9", "shard-0", "zone-a", address=names.Address("10.0.0.1", 8001)
    )
    site.servers[1].zone = "zone-a"
    site.tools.view.apply_registration(warm, 100, 0.0)
    site.run(10.0, 10.0)
    assert site.servers[1].arrivals > 3 * site.servers[0].arrivals


def test_requests_over_the_limit_of_cold_replicas_are_refused_at_once():
    site = build_site(cold={0, 1, 2})
    site.run(60.0, 20.0)
    for server in site.servers:
        excess = cold_hosts.compute_excess(sorted(at for at, _ in server.log), 4.0)
        assert excess <= 0
    refused = [e for e in site.ended if e.outcome is Outcome.NOT_EXECUTED]
    answered = [e for e in site.ended if e.outcome is Outcome.COMPLETE]
    assert len(refused) + len(answered) == len(site.ended)
    assert max(ended.took_s for ended in refused) < 0.01
    assert len(answered) / 20.0 > 4.0


# Guards against queries that send some of their parts, though cold shards let them miss
# too many.
def test_query_that_cannot_reach_its_coverage_sends_nothing():
    site = virtual_servers.Site(shards=4, min_coverage=0.75)
    for replica in site.tools.view.list_replicas():
        if replica.registration.service in ("shard-0", "shard-1"):
            make_cold(site, replica, 0.01)
    query = site.ask()
    site.loop.run_until(2.0)
    assert [ended.outcome for ended in site.ended] == [Outcome.NOT_EXECUTED]
    assert sum(server.arrivals for server in site.servers) == 0
    assert query.retry_after_s > 0.0


# Guards against hedges that use the slots of first attempts.
def test_cold_replica_is_not_fit_for_a_hedge():
    site = build_site(cold={0})
    (cold, warm, _) = site.tools.view.list_replicas()
    assert not cold.is_fit_for_hedge(0.0)
    assert warm.is_fit_for_hedge(0.0)


def make_fleet_cold(fleet, limit_per_s):
    for site in fleet.sites:
        for replica in site.tools.view.list_replicas():
            if replica.registration.service == "shard-0":
                make_cold(site, replica, limit_per_s)


def compute_excesses(fleet, limit_per_s):
    return [
        cold_hosts.compute_excess(sorted(at for at, _ in server.log), limit_per_s)
        for server in fleet.servers[: len(virtual_servers.ZONES)]
    ]


def build_fleet(seed, limit_per_s, hosts=(14, 13, 13)):
    service = names.ServiceName("shard-0")
    fleet = virtual_fleets.Fleet(
        hosts=hosts,
        seed=seed,
        shards=1,
        target=routes.SingleService(service),
        goal_s=0.288,
        timeout_s=2.5,
    )
    make_fleet_cold(fleet, limit_per_s)
    return fleet


# Guards against reports of the demand that lead to more than the limit while they are
# published, while the store is away, and while hosts restart.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("outages", [[], [(3.0, 12.0)]])
@pytest.mark.parametrize("limit_per_s", [4.0, 20.0])
def test_fleet_that_publishes_its_demand_keeps_the_limit(seed, outages, limit_per_s):
    fleet = build_fleet(seed, limit_per_s)
    fleet.store.outages = outages
    fleet.load((60.0, 20.0, 40.0), 8.0)
    for number in range(6):
        fleet.kill(fleet.sites[0])
        fleet.add_host(virtual_servers.ZONES[0], f"again-{number}")
        make_fleet_cold(fleet, limit_per_s)
    fleet.run((60.0, 40.0, 20.0), 18.0)
    assert max(compute_excesses(fleet, limit_per_s)) <= 0
    assert sum(server.arrivals for server in fleet.servers[:3]) > limit_per_s * 18.0 / 2
