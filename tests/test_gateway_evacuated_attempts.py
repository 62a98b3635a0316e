"""Requests whose replicas are in an evacuated zone, in virtual time and on loopback.

Pattern: operators evacuate a zone while requests to it are queued, hedged and retried,
and let it return.
"""

import pytest

from corianderrill import names
from corianderrill.gateway import (
    availability,
    connections,
    crash_watch,
    delegation,
    evacuations,
    request_outcomes,
    routes,
)
from tests.utils import (
    fake_stores,
    scripted_servers,
    virtual_aggregators,
    virtual_servers,
)
from tests.utils import gateway_builders as builders

Outcome = request_outcomes.Outcome
ZONE = names.ZoneName("zone-a")
EVACUATED_AT_S = 4.0
# Longer than a request takes from the pool to the server.
ON_THE_WAY_S = 0.01


def evacuate(site, zone=ZONE, is_evacuated=True):
    revision = 1_000 + int(1_000 * site.loop.now())
    site.tools.view.apply_evacuation(zone, is_evacuated, revision, site.loop.now())
    if not is_evacuated:
        return
    for pool in site.tools.pools.by_address.values():
        if pool.server.zone == zone:
            pool.reject_held_back()


def list_arrivals(site, zone=ZONE):
    return sorted(
        at for server in site.servers if server.zone == zone for at, _ in server.log
    )


def build_single_site(**fields):
    target = routes.SingleService(names.ServiceName("shard-0"))
    return virtual_servers.Site(shards=1, target=target, timeout_s=2.0, **fields)


def make_slow(site):
    """Let the replica in the own zone refuse nothing and reply to nothing in time."""
    server = site.servers[0]
    server.slow = [(0.0, 99.0, 60.0)]
    server.queue = 1_000
    return server


# Guards against hedges and retries that still go to the zone, since other zones are
# slow, refuse or fail.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "trouble", [{"shed_share": 0.2}, {"fail_share": 0.1}, {"slow": [(0.0, 99.0, 3.0)]}]
)
def test_nothing_reaches_an_evacuated_zone(seed, trouble):
    site = virtual_servers.Site(shards=6, seed=seed)
    for server in site.servers:
        if server.zone == "zone-b":
            for name, value in trouble.items():
                setattr(server, name, value)
    site.loop.call_later(EVACUATED_AT_S, evacuate, site)
    site.run(15.0, 10.0)
    arrivals = list_arrivals(site)
    assert len([at for at in arrivals if at < EVACUATED_AT_S]) > 100
    assert max(arrivals) < EVACUATED_AT_S + ON_THE_WAY_S
    assert sum(ended.outcome is Outcome.COMPLETE for ended in site.ended) > 100


# Guards against requests that wait in a queue for a slow zone and are sent later. The
# route is at-most-once: none may be lost or run twice either.
def test_queued_requests_go_to_another_zone_at_once():
    site = build_single_site(retry_safety=routes.RetrySafety.AT_MOST_ONCE)
    first = make_slow(site)
    others = [names.ZoneName(zone) for zone in virtual_servers.ZONES[1:]]
    for zone in others:
        evacuate(site, zone)
    for _ in range(20):
        site.ask()
    site.loop.run_until(0.1)
    reached = first.arrivals
    assert 0 < reached < 20
    for zone in others:
        evacuate(site, zone, False)
    evacuate(site)
    site.loop.run_until(5.0)
    assert first.arrivals == reached
    assert sum(server.arrivals for server in site.servers) == 20
    moved = [ended for ended in site.ended if ended.outcome is Outcome.COMPLETE]
    assert len(moved) >= 20 - reached


def test_queued_requests_are_not_run_if_no_replica_is_left_elsewhere():
    site = build_single_site()
    first = make_slow(site)
    for server in site.servers[1:]:
        site.remove(server)
    for _ in range(20):
        site.ask()
    site.loop.run_until(0.1)
    evacuate(site)
    ended_at_once = list(site.ended)
    assert ended_at_once
    assert {ended.outcome for ended in ended_at_once} == {Outcome.NOT_EXECUTED}
    assert len(ended_at_once) + first.arrivals == 20


def test_replica_is_not_blamed_for_withdrawn_requests():
    site = build_single_site()
    make_slow(site)
    for _ in range(20):
        site.ask()
    site.loop.run_until(0.05)
    evacuate(site)
    (replica,) = site.tools.view.list_in_zone(ZONE)
    assert replica.consecutive_connect_failures == 0


# Guards against a check for a crash that connects to an evacuated replica.
def test_no_connection_is_opened_to_find_out_whether_an_evacuated_replica_ended():
    checked = []
    log = fake_stores.RecordingLog()
    watch = builders.build_crash_watch(
        builders.build_view(), log, lambda: 0.0, lambda address, _: checked.append(1)
    )
    replica = builders.build_replica()
    replica.is_evacuated = True
    broken = connections.FailedExchange(connections.Failure.RESET, sent=True)
    request = virtual_aggregators.build_request()
    assert not watch.record_break(replica, broken, request, lambda: False)
    assert checked == []
    replica.is_evacuated = False
    assert watch.record_break(replica, broken, request, lambda: False)
    assert checked == [1]
    assert crash_watch.Liveness.ENDED.value == "ended"


# Guards against trials of quarantined requests that go to an evacuated zone.
@pytest.mark.parametrize("zones", [("zone-a",), virtual_servers.ZONES])
def test_trial_of_a_quarantined_request_is_not_sent_to_an_evacuated_zone(zones):
    site = build_single_site()
    for zone in zones:
        evacuate(site, names.ZoneName(zone))
    site.ask(is_trial=True)
    site.loop.run_until(3.0)
    assert all(list_arrivals(site, zone) == [] for zone in zones)
    is_left = len(zones) < len(virtual_servers.ZONES)
    outcome = Outcome.COMPLETE if is_left else Outcome.NOT_EXECUTED
    assert [ended.outcome for ended in site.ended] == [outcome]


# Guards against queries whose parts are delegated to the evacuated zone.
def test_no_aggregator_is_asked_for_replicas_of_an_evacuated_zone():
    site = virtual_servers.Site(shards=6, mode=delegation.Mode.OTHER_ZONES)
    aggregator = virtual_aggregators.add_to(site, "zone-b")
    for server in site.servers:
        if server.zone == "zone-a":
            site.remove(server)
    evacuate(site, names.ZoneName("zone-b"))
    site.ask()
    site.loop.run_until(2.0)
    assert aggregator.queries == []
    assert list_arrivals(site, "zone-b") == []
    assert [ended.outcome for ended in site.ended] == [Outcome.COMPLETE]


def count_in_windows(arrivals, since_s, length_s, count):
    starts = [since_s + length_s * number for number in range(count)]
    return [sum(start <= at < start + length_s for at in arrivals) for start in starts]


# Guards against a return at once: the zone's own hosts prefer it by far.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_zone_returns_in_steps(seed):
    site = virtual_servers.Site(shards=6, seed=seed)
    evacuate(site)
    site.loop.call_later(EVACUATED_AT_S, evacuate, site, ZONE, False)
    site.run(20.0, 20.0)
    arrivals = list_arrivals(site)
    assert min(arrivals) >= EVACUATED_AT_S
    counts = count_in_windows(arrivals, EVACUATED_AT_S, 2.0, 8)
    usual = sum(counts[5:]) / len(counts[5:])
    assert counts[0] < 0.25 * usual
    assert counts[1] < 0.45 * usual
    assert counts[0] < counts[1] < counts[2] < counts[4]
    assert evacuations.RETURN_S <= 10.0


def test_returning_zone_is_used_at_once_where_nothing_else_is_left():
    site = build_single_site()
    for server in site.servers[1:]:
        site.remove(server)
    evacuate(site)
    evacuate_end = site.loop.now() + 1.0
    site.loop.call_later(1.0, evacuate, site, ZONE, False)
    site.loop.run_until(evacuate_end)
    for _ in range(4):
        site.ask()
    site.loop.run_until(4.0)
    assert [ended.outcome for ended in site.ended] == [Outcome.COMPLETE] * 4


def find_refusal(site, services=None):
    check = availability.AvailabilityCheck(site.tools)
    return check.find_refusal(site.route, services or site.services, 1.0)


@pytest.mark.parametrize(
    ("zones", "reason"),
    [(("zone-a",), None), (virtual_servers.ZONES, "evacuated")],
)
def test_request_is_refused_if_too_few_services_have_replicas_elsewhere(zones, reason):
    site = virtual_servers.Site(shards=4)
    for zone in zones:
        evacuate(site, names.ZoneName(zone))
    refusal = find_refusal(site)
    assert (None if refusal is None else refusal.reason) == reason


def test_service_without_any_replica_is_not_taken_for_evacuated():
    site = build_single_site()
    evacuate(site)
    assert find_refusal(site, ["unknown"]).reason == "no-replicas"


def test_requests_that_wait_for_a_connection_are_withdrawn():
    def stay_silent(connection):
        connection.recv(1)
        connection.recv(1)

    with scripted_servers.serve(stay_silent, stay_silent) as pool:
        opening = [scripted_servers.send(pool) for _ in range(2)]
        queued = [scripted_servers.send(pool) for _ in range(3)]
        assert pool.withdraw_unsent() == 0
        for request in (*opening, *queued):
            request.is_wanted = False
        assert pool.withdraw_unsent() == 5
        for request in (*opening, *queued):
            assert not request.was_sent
            result = request.wait()
            assert result.failure is connections.Failure.HELD_BACK
            assert not result.sent


def test_request_that_was_sent_may_end_and_its_connection_is_not_kept():
    with scripted_servers.serve(
        scripted_servers.script_replies(scripted_servers.REPLY)
    ) as pool:
        request = scripted_servers.send(pool)
        while not request.was_sent:
            scripted_servers.eventlet.sleep(0.01)
        request.is_wanted = False
        assert pool.withdraw_unsent() == 0
        assert request.wait().status == 200
        assert pool.withdraw_unsent() == 0
        assert not pool._connections
