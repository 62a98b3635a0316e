"""Even load over replicas: choice, estimate, reports of replicas, policies compared."""

import random

import pytest

from corianderrill import metrics, names
from corianderrill.gateway import (
    connections,
    load_balance,
    replica_load,
    replica_notices,
    replica_selection,
    replies,
    zone_health,
)
from corianderrill.measures import balance
from corianderrill.platform import requests
from tests.utils import gateway_builders as builders
from tests.utils import virtual_servers

OWN_ZONE = names.ZoneName("zone-a")
EXPECTED_S = 0.01
CHOICES = 2_000
PATTERNS = {pattern.name: pattern for pattern in balance.PATTERNS}


def build_replicas(per_zone=1):
    return [
        builders.build_replica(instance=f"i-{zone}{index}", zone=f"zone-{zone}")
        for zone in "abc"
        for index in range(per_zone)
    ]


def choose_often(candidates, now, seed=1):
    rng = random.Random(seed)
    detector = zone_health.ZoneFailureDetector()
    return [
        replica_selection.select_replica(
            candidates, OWN_ZONE, detector, EXPECTED_S, now, rng
        )
        for _ in range(CHOICES)
    ]


def record_latencies(replica, ratio, now, count):
    for index in range(count):
        replica.record_start(index, now)
        replica.record_success(index, ratio, now)


# The choice.


def test_share_that_spills_over_grows_with_the_excess_and_reaches_all():
    """Guards against zones that send all requests to each other by turns."""
    shares = [load_balance.compute_spill_share(cost, 1.0) for cost in (0.5, 1, 1.1, 2)]
    assert shares == pytest.approx([0.0, 0.0, 0.5, 1.0])


def test_zone_that_costs_a_little_more_sheds_only_a_part_of_its_load():
    candidates = build_replicas()
    costs = {candidates[0]: 1.1, candidates[1]: 1.0, candidates[2]: 1.0}
    rng = random.Random(1)
    choices = [
        load_balance.choose(candidates[:1], candidates[1:], costs.get, 0.5, rng)
        for _ in range(CHOICES)
    ]
    reasons = [choice.reason for choice in choices]
    assert 0.4 < reasons.count(load_balance.Reason.SPILL) / CHOICES < 0.6
    spilled = [c.replica for c in choices if c.reason is load_balance.Reason.SPILL]
    # Both other zones take their part.
    assert 0.4 < spilled.count(candidates[1]) / len(spilled) < 0.6


def test_replicas_elsewhere_are_not_assessed_while_the_own_zone_is_cheap():
    """Guards against the cost of a choice, of which a query makes dozens."""
    candidates = build_replicas()
    costs = {candidates[0]: 1.0}
    choice = load_balance.choose(
        candidates[:1], candidates[1:], costs.__getitem__, 1.5, random.Random(1)
    )
    assert choice == (candidates[0], load_balance.Reason.OWN_ZONE)


def test_without_a_replica_in_the_own_zone_the_others_share_the_load():
    chosen = choose_often(build_replicas()[1:], 1.0)
    assert 0.4 < chosen.count(chosen[0]) / CHOICES < 0.6


def test_least_cost_elsewhere_is_a_bound_for_each_replica():
    """Guards against a shortcut that skips a replica that would be cheaper."""
    replica = build_replicas()[1]
    record_latencies(replica, 0.01, 1.0, 50)
    cost_s = replica_selection.compute_cost_s(
        replica, OWN_ZONE, zone_health.ZoneFailureDetector(), EXPECTED_S, 1.0
    )
    assert cost_s >= (
        replica_selection.CROSS_ZONE_COST_FACTOR
        * replica_load.MIN_SLOWNESS
        * EXPECTED_S
        + replica_selection.CROSS_ZONE_PENALTY_S
    )


# The estimate.


def test_old_observation_neither_attracts_nor_repels():
    """Guards against herds that follow the last look of each host for seconds."""
    candidates = build_replicas(per_zone=2)[:2]
    record_latencies(candidates[0], 0.6, 1.0, 3)
    fresh = choose_often(candidates, 1.01).count(candidates[0]) / CHOICES
    old = choose_often(candidates, 9.0).count(candidates[0]) / CHOICES
    assert fresh == 1.0
    assert 0.2 < old < 0.95


def test_estimate_returns_to_what_is_usual_for_the_replica():
    load = replica_load.ReplicaLoad()
    for index in range(200):
        load.record_latency_ratio(1.4, 0.1 * index)
    load.record_latency_ratio(6.0, 20.0)
    assert load.estimate_slowness(20.0) > 1.8
    assert load.estimate_slowness(23.0) == pytest.approx(1.3, abs=0.1)
    assert load.estimate_slowness(40.0) == 1.0


def test_end_of_a_pause_is_known_soon():
    """Several replies that a pause held up arrive together; the next are prompt."""
    replica = build_replicas()[0]
    record_latencies(replica, 9.0, 1.0, 5)
    assert replica.load.is_slowed(1.0)
    record_latencies(replica, 1.0, 2.0, 12)
    assert not replica.load.is_slowed(2.0)


def test_replica_that_stays_slow_is_still_avoided_for_seconds():
    candidates = build_replicas()
    for index in range(5):
        record_latencies(candidates[0], 8.0, 1.0 + index, 1)
    assert candidates[0] not in choose_often(candidates, 7.5)


def test_hedge_is_not_sent_to_a_replica_in_a_slowdown():
    """Guards against hedges that answer late and lengthen a queue."""
    replica = build_replicas()[0]
    assert replica.is_fit_for_hedge(1.0)
    record_latencies(replica, 2.5, 1.0, 3)
    assert not replica.is_fit_for_hedge(1.0)
    assert replica.is_fit_for_hedge(4.0)


# Reports of replicas.


def decode(value):
    headers = [] if value is None else [(b"x-server-load", value)]
    return requests.decode_reply(connections.RawReply(200, headers, b"")).load_report


@pytest.mark.parametrize(
    ("value", "report"),
    [
        (b"1,2,4,130", replies.LoadReport(1, 2, 4, 1.3)),
        (b" 0, 0, 2, 87.5 ", replies.LoadReport(0, 0, 2, 0.875)),
        (b"1,2,4,0", replies.LoadReport(1, 2, 4, requests.MIN_WORK_TIME_RATIO)),
        (b"1,2,4,99999", replies.LoadReport(1, 2, 4, requests.MAX_WORK_TIME_RATIO)),
        (
            b"999999999999,1,1,100",
            replies.LoadReport(requests.MAX_REPORTED_REQUESTS, 1, 1, 1.0),
        ),
        (None, None),
    ],
)
def test_load_report_is_decoded_within_bounds(value, report):
    assert decode(value) == report


@pytest.mark.parametrize(
    "value",
    [b"", b"1,2,4", b"1,2,4,5,6", b"1,2,0,100", b"-1,2,4,100", b"1,2,4,nan", b"\xff"],
)
def test_odd_load_report_is_ignored_and_counted_once(value):
    assert isinstance(decode(value), replies.InvalidLoadReport)
    meter = metrics.Recorder()
    notices = replica_notices.ReplicaNotices(
        builders.build_view(), virtual_servers.Silence(), meter
    )
    replica = build_replicas()[0]
    reply = requests.decode_reply(
        connections.RawReply(200, [(b"x-server-load", value)], b"")
    )
    notices.record_reply(replica, reply, None, 1.0)
    assert meter.total(metrics.GATEWAY_INVALID_LOAD_REPORTS) == 1
    assert replica.load.report is None


def test_reported_queue_moves_requests_and_is_forgotten():
    """Guards against a report that counts for longer than a queue lasts."""
    candidates = build_replicas(per_zone=2)[:2]
    for replica, waiting in zip(candidates, (6, 0), strict=True):
        replica.load.record_report(replies.LoadReport(2, waiting, 2, 1.0), 1.0)
    assert candidates[0] not in choose_often(candidates, 1.01)
    assert not candidates[0].load.has_fresh_report(4.0)
    assert candidates[0] in choose_often(candidates, 4.0)


def test_reported_work_time_shows_a_slowdown():
    load = replica_load.ReplicaLoad()
    load.record_report(replies.LoadReport(1, 0, 2, 2.5), 1.0)
    assert load.is_slowed(1.05)
    assert not load.is_slowed(2.0)


def test_requests_sent_since_the_report_count():
    load = replica_load.ReplicaLoad()
    load.record_report(replies.LoadReport(1, 0, 2, 1.0), 1.0)
    assert load.estimate_reported_slowness(3, 1.0) > (
        load.estimate_reported_slowness(0, 1.0)
    )


# Policies compared, in virtual time.


def measure_all(name, seeds):
    return {
        policy: balance.measure(PATTERNS[name], policy, seeds)
        for policy in balance.POLICIES
    }


def test_hundreds_of_hosts_with_old_information_load_replicas_more_evenly():
    """Pattern: many hosts, each of which asks a replica about once in two seconds."""
    rows = measure_all("hosts-several-load", (1,))
    balanced, lowest_cost = rows["balanced"], rows["lowest-cost"]
    assert balanced.spread < 0.97 * lowest_cost.spread < rows["random"].spread
    assert balanced.uneven < lowest_cost.uneven < rows["random"].uneven
    assert (
        balanced.waiting_p99_ms
        < lowest_cost.waiting_p99_ms
        < rows["random"].waiting_p99_ms
    )
    assert (
        balanced.cross_zone <= lowest_cost.cross_zone < rows["least-loaded"].cross_zone
    )


def test_aggregators_share_several_replicas_more_evenly():
    """Pattern: a few aggregators with much of the load; pauses and slowdowns."""
    rows = measure_all("aggregators-several", (1,))
    balanced, lowest_cost = rows["balanced"], rows["lowest-cost"]
    assert balanced.spread < 0.9 * lowest_cost.spread
    assert lowest_cost.spread < rows["least-loaded"].spread < rows["random"].spread
    assert (
        balanced.uneven < 0.75 * lowest_cost.uneven < 0.75 * rows["least-loaded"].uneven
    )
    assert balanced.waiting_p99_ms < 0.85 * lowest_cost.waiting_p99_ms
    assert balanced.cross_zone < 0.6 * lowest_cost.cross_zone


def test_zones_whose_demand_swings_spill_over_without_refusals():
    """Pattern: demand of zones in waves out of phase, one replica a zone."""
    rows = measure_all("waves-aggregators", (1, 2, 3))
    balanced, lowest_cost = rows["balanced"], rows["lowest-cost"]
    assert balanced.spread < lowest_cost.spread < rows["random"].spread
    assert balanced.refused < 0.5 * lowest_cost.refused < rows["random"].refused
    assert balanced.cross_zone < 0.8 * lowest_cost.cross_zone
    assert balanced.hedged < 0.7 * lowest_cost.hedged


@pytest.mark.parametrize("name", ["calm-one", "hosts-one", "aggregators-one"])
def test_choice_among_one_replica_a_zone_is_not_worse(name):
    """Guards against longer waits, and against more traffic between zones."""
    seeds = (1, 2, 3, 4, 5, 6)
    balanced = balance.measure(PATTERNS[name], "balanced", seeds)
    lowest_cost = balance.measure(PATTERNS[name], "lowest-cost", seeds)
    assert balanced.cross_zone <= 1.05 * lowest_cost.cross_zone
    assert balanced.spread <= 1.05 * lowest_cost.spread
    assert balanced.waiting_p99_ms <= 1.05 * lowest_cost.waiting_p99_ms
    assert balanced.latency_p99_ms <= 1.05 * lowest_cost.latency_p99_ms
    assert balanced.refused <= lowest_cost.refused + 0.003


def test_speeds_of_replicas_are_heeded():
    """Pattern: replicas of a zone whose work times differ almost twofold."""
    balanced = balance.measure(PATTERNS["speeds"], "balanced", (1,))
    lowest_cost = balance.measure(PATTERNS["speeds"], "lowest-cost", (1,))
    assert balanced.spread < lowest_cost.spread
    assert balanced.uneven < lowest_cost.uneven


def test_same_seed_gives_the_same_figures():
    rows = [
        balance.measure(PATTERNS["aggregators-one"], "balanced", (1,)) for _ in range(2)
    ]
    assert rows[0] == rows[1]


def test_registered_slots_bound_the_weight_of_pending_attempts():
    replica = build_replicas()[0]
    idle_s = load_balance.estimate_latency_s(replica, EXPECTED_S, 1.0)
    replica.record_start("a", 1.0)
    busy_s = load_balance.estimate_latency_s(replica, EXPECTED_S, 1.0)
    assert busy_s == pytest.approx(idle_s * (1 + 1 / replica.registration.slots))
