"""Rate limits that replicas name in their replies.

Pattern: replicas in need name how many requests a second they take from all hosts
together, change that number, name none any more, or send something else.
"""

import pytest

from corianderrill import metrics
from corianderrill.gateway import connections, event_log, rate_limits, replies
from corianderrill.platform import requests
from tests.utils import gateway_builders as builders


class RecordingLog:
    def __init__(self):
        self.records = []

    def record(self, record):
        self.records.append(record)


def build_limits():
    return rate_limits.RateLimits(RecordingLog(), metrics.Recorder())


def build_reply(limit=None, status=200):
    headers = [] if limit is None else [(b"server-limit", limit)]
    return requests.decode_reply(connections.RawReply(status, headers, b""))


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
    assert build_reply(text).rate_limit == limit


def test_limit_is_stored_and_logged_once_until_it_changes():
    limits, replica = build_limits(), builders.build_replica()
    for text in (b"17.1", b"17.1", b"12"):
        limits.record_reply(replica, build_reply(text))
    assert replica.rate_limit_per_s == 12.0
    assert [(r.before_per_s, r.per_s) for r in limits.log.records] == [
        (None, 17.1),
        (17.1, 12.0),
    ]


def test_only_a_success_without_a_limit_lifts_it():
    limits, replica = build_limits(), builders.build_replica()
    limits.record_reply(replica, build_reply(b"17.1"))
    limits.record_reply(replica, build_reply(status=503))
    assert replica.rate_limit_per_s == 17.1
    limits.record_reply(replica, build_reply())
    assert replica.rate_limit_per_s is None
    assert limits.log.records[-1].outcome == "lifted"


def test_invalid_limit_is_logged_and_the_one_before_kept():
    limits, replica = build_limits(), builders.build_replica()
    limits.record_reply(replica, build_reply(b"17.1"))
    limits.record_reply(replica, build_reply(b"many"))
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
