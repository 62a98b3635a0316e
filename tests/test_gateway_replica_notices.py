"""Replicas that announce in their replies that they leave, or ask for a pause.

Pattern: the store says that a replica is ready, or is away, or has come back from an
older copy, while the replica itself says that it leaves; and replicas that refuse with
a time until which they want no requests.
"""

import eventlet
import pytest

from corianderrill import metrics, names
from corianderrill.gateway import (
    connections,
    delegation_messages,
    event_log,
    replica_notices,
    replicas,
    replies,
    request_outcomes,
    routes,
)
from corianderrill.platform import requests
from tests.utils import fake_stores, virtual_servers
from tests.utils import gateway_builders as builders
from tests.utils import scripted_servers as servers

DRAIN_S = 3.0
SLACK_S = 0.5
MAX_DURING_PAUSE = 2


def register(known, revision, now=0.0, started_at_ms=1_000, **fields):
    registration = builders.build_registration(started_at_ms=started_at_ms, **fields)
    return known.apply_registration(registration, revision, now)


def build_known():
    known = builders.build_view()
    register(known, 5)
    assert builders.list_ready_ids(known) == ["i-1"]
    return known


def test_replica_that_announces_its_leaving_is_used_last_and_then_not_at_all():
    known = build_known()
    assert known.mark_leaving("i-1", 1_000, 10.0)
    assert builders.list_ready_ids(known) == []
    assert builders.list_fallback_ids(known, 10.1) == ["i-1"]
    late = 10.0 + builders.DRAIN_FALLBACK_S
    assert late < 10.0 + DRAIN_S
    assert builders.list_fallback_ids(known, late) == []


# Guards against a leaver that is in use again since the store says that it is ready.
@pytest.mark.parametrize("is_dropped", [False, True])
def test_store_that_says_ready_does_not_undo_an_announced_leaving(is_dropped):
    known = build_known()
    known.mark_leaving("i-1", 1_000, 10.0)
    if is_dropped:
        known.drop_expired(20.0)
    register(known, 6, 20.0, write_number=9)
    assert builders.list_ready_ids(known) == []
    assert builders.list_fallback_ids(known, 20.0) == []


def test_removal_and_return_of_the_entry_do_not_undo_an_announced_leaving():
    known = build_known()
    known.mark_leaving("i-1", 1_000, 10.0)
    known.apply_removal("i-1", 6, 10.1)
    register(known, 7, 10.2)
    assert builders.list_ready_ids(known) == []


def test_store_from_an_older_copy_does_not_undo_an_announced_leaving():
    known = build_known()
    known.mark_leaving("i-1", 1_000, 10.0)
    known.enter_era(11.0)
    register(known, 2, 11.0)
    assert builders.list_ready_ids(known) == []


def test_process_that_starts_under_the_same_id_is_no_leaver():
    known = build_known()
    known.mark_leaving("i-1", 1_000, 10.0)
    register(known, 6, 12.0, started_at_ms=2_000)
    assert builders.list_ready_ids(known) == ["i-1"]


def test_leaver_without_a_start_time_is_told_by_its_address():
    known = builders.build_view()
    register(known, 5, started_at_ms=None)
    known.mark_leaving("i-1", None, 10.0)
    register(known, 6, 11.0, started_at_ms=None)
    assert builders.list_ready_ids(known) == []
    register(known, 7, 12.0, started_at_ms=None, address=names.Address("10.0.0.1", 9))
    assert builders.list_ready_ids(known) == ["i-1"]


def test_leaving_of_an_earlier_process_is_ignored():
    known = build_known()
    assert not known.mark_leaving("i-1", 500, 10.0)
    assert not known.mark_leaving("i-other", 1_000, 10.0)
    assert builders.list_ready_ids(known) == ["i-1"]


def test_store_that_says_draining_later_gives_no_second_time():
    known = build_known()
    known.mark_leaving("i-1", 1_000, 10.0)
    register(known, 6, 11.0, state=replicas.ReplicaState.DRAINING)
    assert builders.list_fallback_ids(known, 10.0 + builders.DRAIN_FALLBACK_S) == []


# Decoding.


def decode(status=200, *headers):
    return requests.decode_reply(connections.RawReply(status, list(headers), b""))


@pytest.mark.parametrize("status", [200, 404, 421, 500, 503])
def test_leaving_is_read_from_replies_of_any_status(status):
    assert decode(status, (b"server-leaving", b"1")).is_leaving
    assert not decode(status, (b"server-leaving", b"0")).is_leaving
    assert not decode(status).is_leaving


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], None),
        ([b"2"], replies.RetryAfter(2.0)),
        ([b"0.25"], replies.RetryAfter(0.25)),
        ([b"1", b"3"], replies.RetryAfter(3.0)),
        ([b"x", b"3"], replies.RetryAfter(3.0)),
        ([b"-1"], replies.InvalidRetryAfter("-1")),
        ([b"1e9"], replies.InvalidRetryAfter("1e9")),
        ([b"nan"], replies.InvalidRetryAfter("nan")),
        ([b""], replies.InvalidRetryAfter("")),
        (
            [b"Fri, 31 Dec 1999 23:59:59 GMT"],
            replies.InvalidRetryAfter("Fri, 31 Dec 1999 23:59:59 GMT"),
        ),
        ([b"9" * 5_000], replies.InvalidRetryAfter("9" * 5_000)),
    ],
)
def test_pause_is_read_from_refusals_with_status_503(values, expected):
    headers = [(b"retry-after", value) for value in values]
    assert decode(503, *headers).retry_after == expected
    assert decode(429, *headers).retry_after is None


class FakePool:
    def __init__(self):
        self.rejections = 0

    def reject_held_back(self):
        self.rejections += 1


def build_notices(known):
    log = fake_stores.RecordingLog()
    return replica_notices.ReplicaNotices(known, log, metrics.Recorder())


def test_huge_pause_is_bounded_and_logged():
    known = build_known()
    notices = build_notices(known)
    (replica,) = known.list_ready("shard-1")
    reply = decode(503, (b"retry-after", b"999999999"))
    notices.record_reply(replica, reply, FakePool(), 10.0)
    assert replica.is_quiet(10.0 + replica_notices.MAX_QUIET_S - 1.0)
    assert not replica.is_quiet(10.0 + replica_notices.MAX_QUIET_S)
    assert "bounded" in notices.log.list_of(event_log.ReplicaQuiet)[0].detail


def test_invalid_pause_is_logged_and_has_no_effect():
    known = build_known()
    notices = build_notices(known)
    (replica,) = known.list_ready("shard-1")
    reply = decode(503, (b"retry-after", b"soon"))
    notices.record_reply(replica, reply, FakePool(), 10.0)
    assert not replica.is_quiet(10.0)
    assert "invalid" in notices.log.list_of(event_log.ReplicaQuiet)[0].detail


def test_shorter_pause_does_not_end_a_longer_one():
    known = build_known()
    notices = build_notices(known)
    (replica,) = known.list_ready("shard-1")
    for value in (b"9", b"1"):
        reply = decode(503, (b"retry-after", value))
        notices.record_reply(replica, reply, FakePool(), 10.0)
    assert replica.is_quiet(18.9)


def test_pause_outlasts_the_return_of_a_process_whose_entry_had_lapsed():
    known = build_known()
    (replica,) = known.list_ready("shard-1")
    replica.quiet_until = 60.0
    known.apply_removal("i-1", 6, 10.0)
    known.drop_expired(20.0)
    register(known, 7, 21.0)
    (returned,) = known.list_ready("shard-1")
    assert returned.is_quiet(30.0)
    register(known, 8, 22.0, started_at_ms=2_000)
    (restarted,) = known.list_ready("shard-1")
    assert not restarted.is_quiet(30.0)


# Requests that wait for a connection when the notice comes.


def test_queued_requests_of_a_replica_that_asks_for_a_pause_are_not_sent():
    def answer_slowly(connection):
        while servers.read_request(connection):
            eventlet.sleep(0.1)
            connection.sendall(servers.REPLY)

    with servers.serve(answer_slowly, answer_slowly) as pool:
        sent = [servers.send(pool) for _ in range(2)]
        queued = servers.send(pool)
        queued.is_wanted = False
        pool.reject_held_back()
        assert queued.wait() == connections.FailedExchange(
            connections.Failure.HELD_BACK, sent=False
        )
        assert all(request.wait().status == 200 for request in sent)


def test_request_whose_connection_is_being_opened_is_not_sent_after_the_notice():
    with servers.serve(servers.script_replies(servers.REPLY)) as pool:
        request = servers.send(pool)
        request.is_wanted = False
        result = request.wait()
        assert result == connections.FailedExchange(
            connections.Failure.HELD_BACK, sent=False
        )
        assert not request.was_sent


# Load in virtual time.


def count_after(server, since_s, until_s):
    return sum(since_s < at < until_s for at, _ in server.log)


def test_leaver_gets_nothing_later_than_the_drain_time_though_the_store_says_ready():
    site = virtual_servers.Site(shards=6)
    leaver = site.servers[0]
    leaver.leaving = [(4.0, 99.0)]
    site.run(30.0, 12.0)
    assert count_after(leaver, 0.0, 4.0) > 20
    assert count_after(leaver, 4.0 + DRAIN_S, 99.0) == 0
    assert site.compute_complete_share() > 0.97


def test_shard_whose_replicas_all_leave_is_out_of_reach_and_known_to_be():
    site = virtual_servers.Site(shards=6, min_coverage=0.8)
    for leaver in site.servers[:3]:
        leaver.leaving = [(4.0, 99.0)]
    site.run(30.0, 12.0)
    late = [ended for ended in site.ended if ended.at_s > 4.0 + DRAIN_S]
    assert sum(count_after(s, 4.0 + DRAIN_S, 99.0) for s in site.servers[:3]) == 0
    assert {ended.missing for ended in late} == {1}
    assert max(ended.took_s for ended in late) < 0.3


def test_replica_that_asks_for_a_pause_gets_at_most_two_requests_in_it():
    """With retries, hedges and several routes' worth of load on slow neighbours."""
    site = virtual_servers.Site(shards=6)
    quiet = site.servers[0]
    quiet.quiet = [(4.0, 9.0)]
    for other in site.servers[1:3]:
        other.slow = [(0.0, 99.0, 3.0)]
    site.run(40.0, 14.0)
    told_at = min(at for at, _ in quiet.log if at >= 4.0)
    assert count_after(quiet, told_at + SLACK_S, 9.0) <= MAX_DURING_PAUSE
    # It is used again soon, and it was not to blame.
    assert count_after(quiet, 9.0, 14.0) > 10
    assert site.compute_complete_share() > 0.97


def test_request_is_refused_at_once_while_all_replicas_want_a_pause():
    target = routes.SingleService(names.ServiceName("shard-0"))
    site = virtual_servers.Site(
        shards=1,
        target=target,
        retry_safety=routes.RetrySafety.AT_MOST_ONCE,
        max_attempts=3,
    )
    for server in site.servers:
        server.quiet = [(2.0, 8.0)]
    site.run(20.0, 8.0)
    paused = [ended for ended in site.ended if 2.5 < ended.at_s < 7.5]
    assert {e.outcome for e in paused} == {request_outcomes.Outcome.NOT_EXECUTED}
    assert max(ended.took_s for ended in paused) < 0.01
    for server in site.servers:
        assert count_after(server, 2.0 + 2 * SLACK_S, 8.0) <= MAX_DURING_PAUSE
    waits = [
        (work.request.received_at, work.retry_after_s)
        for work in site.coordinators
        if 2.5 < work.request.received_at < 7.5
    ]
    assert all(abs(at + wait_s - 8.0) < 0.1 for at, wait_s in waits)


def test_pause_is_no_fault_of_the_replica():
    site = virtual_servers.Site(shards=2)
    for server in site.servers[:3]:
        server.quiet = [(1.0, 3.0)]
    site.run(20.0, 2.9)
    for replica in site.tools.view.list_ready("shard-0"):
        assert replica.estimate_failure_rate(2.9) == 0.0
        assert replica.consecutive_refusals == 0


# Aggregators.

LEAVING = (
    replica_notices.LeavingProcess(replicas.InstanceId("i-1"), 1_000),
    replica_notices.LeavingProcess(replicas.InstanceId("i-2"), None),
)


def build_aggregator_reply(*headers):
    encoded = [(k.lower().encode(), v.encode()) for k, v in headers]
    return connections.RawReply(503, encoded, b"")


def test_leaving_processes_are_read_as_an_aggregator_wrote_them():
    headers = delegation_messages.list_leaving_headers(LEAVING)
    reply = build_aggregator_reply(*headers)
    assert delegation_messages.parse_leaving(reply) == LEAVING
    assert delegation_messages.parse_leaving(build_aggregator_reply()) == ()
    assert delegation_messages.list_leaving_headers(()) == []


@pytest.mark.parametrize("text", ["i-1", "/5", "i-1/x", "i-1/" + "9" * 5_000, ","])
def test_invalid_list_of_leaving_processes_is_an_error(text):
    reply = build_aggregator_reply((delegation_messages.LEAVING_HEADER, text))
    with pytest.raises(delegation_messages.MessageError):
        delegation_messages.parse_leaving(reply)


def test_what_an_aggregator_was_told_holds_for_the_host_that_asked():
    known = build_known()
    notices = build_notices(known)
    notices.record_leaving(LEAVING[0], 10.0)
    assert builders.list_ready_ids(known) == []
    assert notices.log.list_of(event_log.ReplicaLeaving)[0].source == "aggregator"
    assert known.list_leaving(9.0)[0].id == "i-1"
    assert known.list_leaving(10.5) == []


def test_outcome_of_a_reply_of_a_leaver_is_what_its_status_says():
    reply = decode(
        200,
        (b"x-request-id", b"q"),
        (b"x-server-stamp", b"s"),
        (b"server-leaving", b"1"),
    )
    assert replies.classify_reply(reply, "q") is replies.AttemptOutcome.SUCCESS
