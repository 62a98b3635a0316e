"""Replica selection with slow, failing and unreachable replicas and zones."""

import random

import pytest

from corianderrill import names
from corianderrill.gateway import replica_selection, replicas, zone_health
from tests.utils import gateway_builders as builders

OWN_ZONE = names.ZoneName("zone-a")
EXPECTED_LATENCY_S = 0.01


@pytest.fixture
def zone_replicas():
    return [
        builders.build_replica(instance=f"i-{zone}", zone=f"zone-{zone}")
        for zone in "abc"
    ]


def select(candidates, now, exclude=(), zone_detector=None):
    zone_detector = zone_detector or zone_health.ZoneFailureDetector()
    return replica_selection.select_replica(
        candidates,
        OWN_ZONE,
        zone_detector,
        EXPECTED_LATENCY_S,
        now,
        random.Random(1),
        exclude,
    )


def record_successes(replica, ratio, now, count=1):
    for index in range(count):
        replica.record_start(index, now)
        replica.record_success(index, ratio, now)


def test_replica_in_own_zone_is_preferred(zone_replicas):
    assert select(zone_replicas, 1.0) is zone_replicas[0]


def test_replica_in_own_zone_is_avoided_after_three_slow_replies(zone_replicas):
    record_successes(zone_replicas[0], 1.0, 1.0, count=4)
    record_successes(zone_replicas[0], 8.0, 1.0, count=2)
    assert select(zone_replicas, 1.0) is zone_replicas[0]
    record_successes(zone_replicas[0], 8.0, 1.0)
    assert select(zone_replicas, 1.0) is not zone_replicas[0]


def test_replica_with_a_single_slow_reply_is_still_selected(zone_replicas):
    record_successes(zone_replicas[0], 1.0, 1.0, count=4)
    record_successes(zone_replicas[0], 12.0, 1.0)
    assert select(zone_replicas, 1.0) is zone_replicas[0]


def test_replica_with_a_long_pending_attempt_is_avoided(zone_replicas):
    zone_replicas[0].record_start("waiting", 1.0)
    assert select(zone_replicas, 1.01) is zone_replicas[0]
    assert select(zone_replicas, 1.08) is not zone_replicas[0]


def test_slow_replica_is_selected_again_after_some_seconds(zone_replicas):
    record_successes(zone_replicas[0], 8.0, 1.0, count=5)
    assert select(zone_replicas, 2.0) is not zone_replicas[0]
    assert select(zone_replicas, 8.0) is zone_replicas[0]


def test_moderately_slow_replica_in_own_zone_is_still_preferred(zone_replicas):
    record_successes(zone_replicas[0], 1.6, 1.0, count=5)
    assert select(zone_replicas, 1.0) is zone_replicas[0]


def test_replica_is_avoided_during_its_refusal_backoff(zone_replicas):
    zone_replicas[0].record_start("a", 1.0)
    zone_replicas[0].record_refusal("a", 1.0)
    assert select(zone_replicas, 1.01) is not zone_replicas[0]


def test_replica_that_fails_half_of_its_requests_is_avoided(zone_replicas):
    for index in range(6):
        zone_replicas[0].record_start(index, 1.0)
        if index % 2:
            zone_replicas[0].record_failure(index, 1.0)
        else:
            zone_replicas[0].record_success(index, 1.0, 1.0)
    assert select(zone_replicas, 1.0) is not zone_replicas[0]


def test_unreachable_replica_is_selected_only_as_a_last_resort(
    zone_replicas,
):
    zone_replicas[0].record_connect_failure("a", 1.0)
    assert select(zone_replicas, 1.1) is not zone_replicas[0]
    assert select(zone_replicas[:1], 1.1) is zone_replicas[0]


def test_replaced_replica_is_never_selected(zone_replicas):
    zone_replicas[0].record_replaced("a")
    assert select(zone_replicas[:1], 1.1) is None


def test_tried_replicas_are_excluded(zone_replicas):
    assert select(zone_replicas, 1.0, exclude=zone_replicas[:1]) in zone_replicas[1:]
    assert select(zone_replicas, 1.0, exclude=zone_replicas) is None


def test_estimated_slowness_is_higher_during_warmup():
    replica = replicas.Replica(builders.build_registration(warmup_s=2.0), 3.0)
    assert replica.estimate_slowness(2.0) > replica.estimate_slowness(3.0)


def test_other_zone_is_selected_when_own_zone_is_saturated(zone_replicas):
    for index in range(8):
        zone_replicas[0].record_start(index, 1.0)
    assert select(zone_replicas, 1.0) is not zone_replicas[0]


def test_replicas_of_a_suspect_zone_are_avoided(zone_replicas):
    zone_detector = zone_health.ZoneFailureDetector()
    zone_detector.record_reply("zone-a", 1.0)
    for _ in range(zone_health.MIN_OVERDUE_ATTEMPTS):
        zone_detector.record_overdue_attempt("zone-a", 1.1, 1.3)
    assert (
        select(zone_replicas, 1.3, zone_detector=zone_detector) is not zone_replicas[0]
    )
    assert (
        select(zone_replicas[:1], 1.3, zone_detector=zone_detector) is zone_replicas[0]
    )
    assert (
        select(
            zone_replicas, 1.3 + zone_health.SUSPICION_S, zone_detector=zone_detector
        )
        is zone_replicas[0]
    )


def test_overdue_attempts_sent_before_the_last_reply_do_not_make_the_zone_suspect(
    zone_replicas,
):
    zone_detector = zone_health.ZoneFailureDetector()
    for _ in range(20):
        zone_detector.record_reply("zone-a", 1.2)
        zone_detector.record_overdue_attempt("zone-a", 1.1, 1.3)
    assert select(zone_replicas, 1.3, zone_detector=zone_detector) is zone_replicas[0]


def test_reply_from_a_suspect_zone_clears_the_suspicion(zone_replicas):
    zone_detector = zone_health.ZoneFailureDetector()
    for _ in range(zone_health.MIN_OVERDUE_ATTEMPTS):
        zone_detector.record_overdue_attempt("zone-a", 1.1, 1.3)
    zone_detector.record_reply("zone-a", 1.4)
    assert select(zone_replicas, 1.4, zone_detector=zone_detector) is zone_replicas[0]


def test_rarely_used_replica_is_avoided_after_one_slow_reply(zone_replicas):
    record_successes(zone_replicas[0], 1.0, 1.0)
    record_successes(zone_replicas[0], 8.0, 8.0)
    assert select(zone_replicas, 8.1) is not zone_replicas[0]


def test_slowness_decays_more_slowly_for_a_rarely_used_replica(zone_replicas):
    record_successes(zone_replicas[0], 8.0, 1.0)
    record_successes(zone_replicas[0], 8.0, 3.0)
    assert select(zone_replicas, 9.0) is not zone_replicas[0]
    assert select(zone_replicas, 25.0) is zone_replicas[0]
