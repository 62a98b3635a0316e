import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from corianderrill import replies
from tests.utils import domain_builders as build

Reason = replies.InvalidReason


def test_complete_reply_is_valid_and_its_connection_is_reused():
    expected = build.build_expected_reply()
    checked = replies.check_reply(expected, build.build_http_reply(expected))
    assert isinstance(checked, replies.ValidReply)
    assert [row.key for row in checked.rows] == ["a", "b"]
    assert checked.held == replies.HeldVersions(5, 8)
    assert replies.can_reuse_connection(checked)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"request_id": "r2"}, Reason.WRONG_REQUEST),
        ({"attempt_id": "r1.9"}, Reason.WRONG_ATTEMPT),
        ({"shard": "s1"}, Reason.WRONG_SHARD),
        ({"service": "invoicing"}, Reason.WRONG_SHARD),
        ({"version": 6}, Reason.WRONG_SNAPSHOT),
        ({"row_count": 3}, Reason.WRONG_ROW_COUNT),
        ({"row_count": "2"}, Reason.MALFORMED),
        ({"held": [1]}, Reason.MALFORMED),
        ({"status": 500}, Reason.WRONG_STATUS),
        ({"status": 206}, Reason.WRONG_STATUS),
    ],
)
def test_mismatched_reply_is_invalid_and_its_connection_is_not_reused(changes, reason):
    expected = build.build_expected_reply()
    checked = replies.check_reply(expected, build.build_http_reply(expected, **changes))
    assert checked == replies.InvalidReply(reason)
    assert not replies.can_reuse_connection(checked)


@given(st.integers(0, 400))
def test_truncated_reply_is_never_valid(size):
    expected = build.build_expected_reply()
    body = build.build_http_reply(expected).body
    truncated = body[: min(size, len(body) - 1)]
    without_length = replies.check_reply(expected, replies.HttpReply(200, truncated))
    with_length = replies.check_reply(
        expected, replies.HttpReply(200, truncated, len(body))
    )
    assert without_length == replies.InvalidReply(Reason.TRUNCATED)
    assert with_length == replies.InvalidReply(Reason.TRUNCATED)


def test_reply_is_oversized_by_its_body_or_by_its_content_length():
    expected = build.build_expected_reply()
    body = build.build_http_reply(expected).body
    for received in (
        replies.HttpReply(200, body),
        replies.HttpReply(200, b"", len(body)),
    ):
        checked = replies.check_reply(expected, received, max_bytes=len(body) - 1)
        assert checked == replies.InvalidReply(Reason.OVERSIZED)


@given(st.binary(max_size=300), st.sampled_from([200, 409, 429, 503, 500]))
def test_arbitrary_bytes_raise_no_error_and_are_never_valid(body, status):
    checked = replies.check_reply(
        build.build_expected_reply(), replies.HttpReply(status, body)
    )
    assert not isinstance(checked, replies.ValidReply)


@pytest.mark.parametrize(
    ("status", "code", "reason"),
    [
        (409, "snapshot", replies.BackendRefusalReason.SNAPSHOT),
        (429, "shed", replies.BackendRefusalReason.SHED),
        (503, "draining", replies.BackendRefusalReason.DRAINING),
        (503, "no such code", replies.BackendRefusalReason.UNAVAILABLE),
    ],
)
def test_refusal_has_its_reason_and_its_connection_is_reused(status, code, reason):
    received = build.build_refusal_reply(status, ran=False, reason=code, held=[5, 8])
    checked = replies.check_reply(build.build_expected_reply(), received)
    held = replies.HeldVersions(5, 8)
    assert checked == replies.BackendRefusal(False, reason, held)
    assert replies.can_reuse_connection(checked)


def test_refusal_counts_as_not_run_only_if_the_server_says_so():
    ran = build.build_refusal_reply(503, ran=True, reason="draining")
    without_ran = build.build_refusal_reply(503, reason="draining")
    expected = build.build_expected_reply()
    assert replies.check_reply(expected, ran).ran
    assert replies.check_reply(expected, without_ran) == replies.InvalidReply(
        Reason.MALFORMED
    )


def test_attempt_accepts_only_one_reply():
    tracker = replies.AttemptTracker("r1")
    first = tracker.start_attempt(build.build_shard(), build.build_snapshot_id())
    second = tracker.start_attempt(build.build_shard(), build.build_snapshot_id())
    assert first.attempt_id != second.attempt_id
    received = build.build_http_reply(first)
    assert isinstance(
        tracker.accept_reply(first.attempt_id, received), replies.ValidReply
    )
    again = tracker.accept_reply(first.attempt_id, received)
    assert again == replies.InvalidReply(Reason.DUPLICATE)
    assert tracker.count_open() == 1


def test_reply_to_a_cancelled_attempt_is_late():
    tracker = replies.AttemptTracker("r1")
    expected = tracker.start_attempt(build.build_shard(), build.build_snapshot_id())
    tracker.cancel(expected.attempt_id)
    checked = tracker.accept_reply(
        expected.attempt_id, build.build_http_reply(expected)
    )
    assert checked == replies.InvalidReply(Reason.LATE)


def test_reply_to_another_or_to_an_unknown_attempt_is_invalid():
    tracker = replies.AttemptTracker("r1")
    old, new = (
        tracker.start_attempt(build.build_shard(), build.build_snapshot_id())
        for _ in range(2)
    )
    checked = tracker.accept_reply(new.attempt_id, build.build_http_reply(old))
    assert checked == replies.InvalidReply(Reason.WRONG_ATTEMPT)
    unknown = tracker.accept_reply("r9.0", msgspec.UNSET)
    assert unknown == replies.InvalidReply(Reason.WRONG_ATTEMPT)
