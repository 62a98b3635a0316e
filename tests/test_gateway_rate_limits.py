"""Rate limits that replicas advertise in their replies.

Pattern: overloaded replicas advertise how many requests a second they take from all
hosts together, change that number, leave it out again, or send something else.
"""

import pytest

from corianderrill.gateway import event_log, rate_limits, replies
from tests.utils import fake_stores
from tests.utils import gateway_builders as builders


def build_limits():
    return builders.build_rate_limits(fake_stores.RecordingLog())


@pytest.mark.parametrize(
    ("text", "limit"),
    [
        (b"17.1", replies.RateLimit(17.1)),
        (b" 20 ", replies.RateLimit(20.0)),
        (b"0", replies.RateLimit(0.0)),
        (b"", replies.InvalidRateLimit("")),
        (b"-3", replies.InvalidRateLimit("-3")),
        (b"nan", replies.InvalidRateLimit("nan")),
        (b"1e9", replies.InvalidRateLimit("1e9")),
        (b"many", replies.InvalidRateLimit("many")),
    ],
)
def test_limit_is_a_decimal_number(text, limit):
    assert builders.build_limited_reply(text).rate_limit == limit


def test_limit_is_stored_and_logged_once_until_it_changes():
    limits, replica = build_limits(), builders.build_replica()
    for text in (b"17.1", b"17.1", b"12"):
        limits.record_reply(replica, builders.build_limited_reply(text), 1.0)
    assert replica.rate_limit_per_s == 12.0
    assert [(r.before_per_s, r.per_s) for r in limits.log.records] == [
        (None, 17.1),
        (17.1, 12.0),
    ]


def test_only_a_success_without_a_limit_lifts_it():
    limits, replica = build_limits(), builders.build_replica()
    limits.record_reply(replica, builders.build_limited_reply(b"17.1"), 1.0)
    limits.record_reply(replica, builders.build_limited_reply(None, status=503), 1.0)
    assert replica.rate_limit_per_s == 17.1
    limits.record_reply(replica, builders.build_limited_reply(None), 1.0)
    assert replica.rate_limit_per_s is None
    assert limits.log.records[-1].outcome == "lifted"


def test_invalid_limit_is_logged_and_the_one_before_kept():
    limits, replica = build_limits(), builders.build_replica()
    limits.record_reply(replica, builders.build_limited_reply(b"17.1"), 1.0)
    limits.record_reply(replica, builders.build_limited_reply(b"many"), 1.0)
    assert replica.rate_limit_per_s == 17.1
    record = limits.log.records[-1]
    assert isinstance(record, event_log.RateLimitSeen)
    assert (record.outcome, record.detail) == ("invalid", "many")


def test_process_that_took_over_an_id_has_no_limit():
    view = builders.build_view()
    view.apply_registration(builders.build_registration(started_at_ms=1), 2, 0.0)
    (replica,) = view.list_ready("shard-1")
    replica.rate_limit_per_s = 17.1
    view.apply_registration(builders.build_registration(started_at_ms=2), 3, 1.0)
    assert not view.list_rate_limited()


def build_limited_replica(per_s=10.0, host_count=1.0):
    limits, replica = build_limits(), builders.build_replica()
    limits.directory.host_count = host_count
    limits.record_reply(replica, builders.build_limited_reply(per_s), 1.0)
    return limits, replica


def acquire_all(limits, replica, now):
    """Acquire what is allowed at a time; return how many requests that is."""
    count = 0
    while limits.compute_delay_s(replica, now) == 0.0 and count < 1000:
        limits.acquire(replica, now)
        count += 1
    return count


def test_replica_without_a_limit_allows_every_request():
    limits, replica = build_limits(), builders.build_replica()
    assert acquire_all(limits, replica, 1.0) == 1000


def test_no_burst_follows_the_first_naming_of_a_limit():
    limits, replica = build_limited_replica()
    assert acquire_all(limits, replica, 1.0) == 0


def test_requests_are_allowed_by_the_share_of_the_host():
    limits, replica = build_limited_replica(10.0, host_count=2.0)
    times = [1.0 + 0.01 * step for step in range(2000)]
    count = sum(acquire_all(limits, replica, now) for now in times)
    # Two hosts share ten requests a second for twenty seconds.
    assert count == pytest.approx(100, abs=5)


def test_unused_share_allows_a_short_burst():
    limits, replica = build_limited_replica(10.0)
    count = acquire_all(limits, replica, 60.0)
    assert count == pytest.approx(10.0 * rate_limits.BURST_S, abs=1)


def test_request_that_was_not_sent_gives_back_what_it_used():
    limits, replica = build_limited_replica(10.0)
    before_s = limits.compute_delay_s(replica, 1.0)
    limits.acquire(replica, 1.0)
    limits.release(replica, 1.0)
    assert limits.compute_delay_s(replica, 1.0) == pytest.approx(before_s)


def test_limit_of_zero_still_lets_a_request_through_now_and_then():
    limits, replica = build_limited_replica(0.0, host_count=2.0)
    assert acquire_all(limits, replica, 60.0) == 1
    wait_s = limits.compute_delay_s(replica, 60.0)
    assert wait_s == pytest.approx(2.0 / rate_limits.MIN_TOTAL_PER_S)


def test_shortage_is_the_share_of_the_demand_that_limits_do_not_allow():
    limits, replica = build_limited_replica(10.0)
    assert limits.compute_shortage([replica], 5.0, 60.0) == 0.0
    assert limits.compute_shortage([replica], 20.0, 60.0) == pytest.approx(0.525)
    assert limits.compute_shortage([replica], 0.0, 60.0) == 0.0
