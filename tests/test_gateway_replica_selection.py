"""Where work goes: one replica in n slow, pauses, failures, a zone away."""

import random

import pytest

from corianderrill import names
from corianderrill.gateway import replica_selection, replicas, zone_health
from tests.utils import gateway_builders as builders

OWN = names.ZoneName("zone-a")
EXPECTED_S = 0.01


@pytest.fixture
def three():
    return [
        builders.build_replica(instance=f"i-{zone}", zone=f"zone-{zone}")
        for zone in "abc"
    ]


def pick(candidates, now, exclude=(), silence=None):
    silence = silence or zone_health.ZoneFailureDetector()
    return replica_selection.select_replica(
        candidates, OWN, silence, EXPECTED_S, now, random.Random(1), exclude
    )


def answer(replica, ratio, now, times=1):
    for number in range(times):
        replica.record_start(number, now)
        replica.record_success(number, ratio, now)


def test_own_zone_comes_first(three):
    assert pick(three, 1.0) is three[0]


def test_slow_replica_of_the_own_zone_is_left_after_three_slow_replies(three):
    answer(three[0], 1.0, 1.0, times=4)
    answer(three[0], 8.0, 1.0, times=2)
    assert pick(three, 1.0) is three[0]
    answer(three[0], 8.0, 1.0)
    assert pick(three, 1.0) is not three[0]


def test_one_pause_does_not_drive_work_away(three):
    answer(three[0], 1.0, 1.0, times=4)
    answer(three[0], 12.0, 1.0)
    assert pick(three, 1.0) is three[0]


def test_attempt_that_waits_long_drives_work_away_before_its_reply(three):
    three[0].record_start("waiting", 1.0)
    assert pick(three, 1.01) is three[0]
    assert pick(three, 1.08) is not three[0]


def test_slow_replica_is_tried_again_after_some_seconds(three):
    answer(three[0], 8.0, 1.0, times=5)
    assert pick(three, 2.0) is not three[0]
    assert pick(three, 8.0) is three[0]


def test_replica_that_is_moderately_slower_keeps_its_zone(three):
    answer(three[0], 1.6, 1.0, times=5)
    assert pick(three, 1.0) is three[0]


def test_replica_that_sheds_gets_nothing_for_a_moment(three):
    three[0].record_start("a", 1.0)
    three[0].record_refusal("a", 1.0)
    assert pick(three, 1.01) is not three[0]


def test_replica_that_fails_half_of_its_requests_is_left(three):
    for number in range(6):
        three[0].record_start(number, 1.0)
        if number % 2:
            three[0].record_failure(number, 1.0)
        else:
            three[0].record_success(number, 1.0, 1.0)
    assert pick(three, 1.0) is not three[0]


def test_unreachable_replica_is_asked_only_where_nothing_else_is_left(three):
    three[0].record_connect_failure("a", 1.0)
    assert pick(three, 1.1) is not three[0]
    assert pick(three[:1], 1.1) is three[0]


def test_replica_whose_address_another_server_has_is_never_asked(three):
    three[0].record_replaced("a")
    assert pick(three[:1], 1.1) is None


def test_tried_replicas_are_excluded(three):
    assert pick(three, 1.0, exclude=three[:1]) in three[1:]
    assert pick(three, 1.0, exclude=three) is None


def test_replica_that_just_started_counts_as_slower():
    replica = replicas.Replica(builders.build_registration(warmup_s=2.0), 3.0)
    assert replica.estimate_slowness(2.0) > replica.estimate_slowness(3.0)


def test_work_spreads_when_the_own_zone_is_full(three):
    for number in range(8):
        three[0].record_start(number, 1.0)
    assert pick(three, 1.0) is not three[0]


def test_zone_that_fell_silent_is_left_as_a_whole(three):
    silence = zone_health.ZoneFailureDetector()
    silence.record_reply("zone-a", 1.0)
    for _ in range(zone_health.MIN_OVERDUE_ATTEMPTS):
        silence.record_overdue_attempt("zone-a", 1.1, 1.3)
    assert pick(three, 1.3, silence=silence) is not three[0]
    assert pick(three[:1], 1.3, silence=silence) is three[0]
    assert pick(three, 1.3 + zone_health.SUSPICION_S, silence=silence) is three[0]


def test_slow_replicas_of_a_zone_that_answers_are_no_sign_of_a_cut(three):
    silence = zone_health.ZoneFailureDetector()
    for _ in range(20):
        silence.record_reply("zone-a", 1.2)
        silence.record_overdue_attempt("zone-a", 1.1, 1.3)
    assert pick(three, 1.3, silence=silence) is three[0]


def test_answer_of_a_suspect_zone_clears_it(three):
    silence = zone_health.ZoneFailureDetector()
    for _ in range(zone_health.MIN_OVERDUE_ATTEMPTS):
        silence.record_overdue_attempt("zone-a", 1.1, 1.3)
    silence.record_reply("zone-a", 1.4)
    assert pick(three, 1.4, silence=silence) is three[0]


def test_replica_that_is_seldom_asked_is_left_after_one_slow_reply(three):
    answer(three[0], 1.0, 1.0)
    answer(three[0], 8.0, 8.0)
    assert pick(three, 8.1) is not three[0]


def test_host_that_asks_seldom_keeps_what_it_saw_for_longer(three):
    answer(three[0], 8.0, 1.0)
    answer(three[0], 8.0, 3.0)
    assert pick(three, 9.0) is not three[0]
    assert pick(three, 25.0) is three[0]
