import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from corianderrill import replies
from tests.utils import domain_builders as build

Reason = replies.InvalidReason


def test_whole_reply_is_valid_and_its_connection_is_pooled():
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
def test_reply_that_does_not_match_is_invalid_and_not_pooled(changes, reason):
    expected = build.build_expected_reply()
    checked = replies.check_reply(expected, build.build_http_reply(expected, **changes))
    assert checked == replies.InvalidReply(reason)
    assert not replies.can_reuse_connection(checked)


@given(st.integers(0, 400))
def test_cut_reply_is_never_valid(size):
    expected = build.build_expected_reply()
    body = build.build_http_reply(expected).body
    cut = body[: min(size, len(body) - 1)]
    without_length = replies.check_reply(expected, replies.HttpReply(200, cut))
    with_length = replies.check_reply(expected, replies.HttpReply(200, cut, len(body)))
    assert without_length == replies.InvalidReply(Reason.TRUNCATED)
    assert with_length == replies.InvalidReply(Reason.TRUNCATED)


def test_oversized_reply_is_invalid_by_size_or_announcement():
    expected = build.build_expected_reply()
    body = build.build_http_reply(expected).body
    for received in (
        replies.HttpReply(200, body),
        replies.HttpReply(200, b"", len(body)),
    ):
        checked = replies.check_reply(expected, received, max_bytes=len(body) - 1)
        assert checked == replies.InvalidReply(Reason.OVERSIZED)


@given(st.binary(max_size=300), st.sampled_from([200, 409, 429, 503, 500]))
def test_any_bytes_are_checked_without_an_error(body, status):
    checked = replies.check_reply(
        build.build_expected_reply(), replies.HttpReply(status, body)
    )
    assert not isinstance(checked, replies.ValidReply)


@pytest.mark.parametrize(
    ("status", "word", "reason"),
    [
        (409, "snapshot", replies.RefusedReason.SNAPSHOT),
        (429, "shed", replies.RefusedReason.SHED),
        (503, "draining", replies.RefusedReason.DRAINING),
        (503, "no such word", replies.RefusedReason.UNAVAILABLE),
    ],
)
def test_refusal_has_its_reason_and_its_connection_is_pooled(status, word, reason):
    received = build.build_refusal_reply(status, ran=False, reason=word, held=[5, 8])
    checked = replies.check_reply(build.build_expected_reply(), received)
    held = replies.HeldVersions(5, 8)
    assert checked == replies.Refused(False, reason, held)
    assert replies.can_reuse_connection(checked)


def test_refusal_that_does_not_say_not_run_is_no_proof():
    said_ran = build.build_refusal_reply(503, ran=True, reason="draining")
    silent = build.build_refusal_reply(503, reason="draining")
    expected = build.build_expected_reply()
    assert replies.check_reply(expected, said_ran).ran
    assert replies.check_reply(expected, silent) == replies.InvalidReply(
        Reason.MALFORMED
    )


def test_attempt_takes_one_reply():
    attempts = replies.AttemptTracker("r1")
    first = attempts.open(build.build_shard(), build.build_snapshot_id())
    second = attempts.open(build.build_shard(), build.build_snapshot_id())
    assert first.attempt != second.attempt
    received = build.build_http_reply(first)
    assert isinstance(attempts.check(first.attempt, received), replies.ValidReply)
    again = attempts.check(first.attempt, received)
    assert again == replies.InvalidReply(Reason.DUPLICATE)
    assert attempts.count_open() == 1


def test_reply_after_giving_up_is_late():
    attempts = replies.AttemptTracker("r1")
    expected = attempts.open(build.build_shard(), build.build_snapshot_id())
    attempts.give_up(expected.attempt)
    checked = attempts.check(expected.attempt, build.build_http_reply(expected))
    assert checked == replies.InvalidReply(Reason.LATE)


def test_reply_of_another_attempt_on_the_same_connection_is_invalid():
    attempts = replies.AttemptTracker("r1")
    old, new = (
        attempts.open(build.build_shard(), build.build_snapshot_id()) for _ in range(2)
    )
    checked = attempts.check(new.attempt, build.build_http_reply(old))
    assert checked == replies.InvalidReply(Reason.WRONG_ATTEMPT)
    unknown = attempts.check("r9.0", msgspec.UNSET)
    assert unknown == replies.InvalidReply(Reason.WRONG_ATTEMPT)
