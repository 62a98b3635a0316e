import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corianderrill import merge, outcomes, replies
from tests.utils import domain_builders as build

SNAPSHOT = build.build_snapshot(7, shards=4)
SHARDS = SNAPSHOT.shards(build.build_service())


def build_reply(shard, count=2, **changes):
    keys = build.build_keys(SNAPSHOT, shard, count)
    return build.build_valid_reply(SNAPSHOT, shard, keys, **changes)


@given(st.lists(st.sampled_from(SHARDS), max_size=20))
def test_one_reply_of_each_shard_is_merged_in_any_order(order):
    merger = merge.ReplyMerger(SNAPSHOT, SHARDS)
    for number, shard in enumerate(order):
        merger.accept(build_reply(shard, attempt=f"r1.{number}"))
    keys = [row.key for row in merger.rows()]
    assert len(keys) == len(set(keys)) == 2 * len(set(order))
    assert merger.dropped[merge.DropReason.ALREADY_ANSWERED] == len(order) - len(
        set(order)
    )
    assert merger.coverage({}).answered == len(set(order))


def test_reply_of_a_shard_that_was_not_queried_is_dropped():
    merger = merge.ReplyMerger(SNAPSHOT, SHARDS[:2])
    dropped = merge.Dropped(merge.DropReason.NOT_QUERIED)
    assert merger.accept(build_reply(SHARDS[3])) == dropped
    assert merger.rows() == ()


def test_remaining_shards_decrease_and_missing_shards_have_reasons():
    merger = merge.ReplyMerger(SNAPSHOT, SHARDS)
    remaining = [
        merger.accept(build_reply(shard)).remaining_shards for shard in SHARDS[:2]
    ]
    assert remaining == [3, 2]
    coverage = merger.coverage({SHARDS[2]: outcomes.MissingReason.DEADLINE})
    assert coverage.missing == (
        outcomes.MissingShard(SHARDS[2], outcomes.MissingReason.DEADLINE),
        outcomes.MissingShard(SHARDS[3], outcomes.MissingReason.FAILED),
    )


def test_reply_of_another_snapshot_is_rejected():
    merger = merge.ReplyMerger(SNAPSHOT, SHARDS)
    other = build.build_snapshot(8, shards=4)
    keys = build.build_keys(other, SHARDS[0], 2)
    reply = build.build_valid_reply(other, SHARDS[0], keys)
    assert merger.accept(reply) == merge.Rejected(
        merge.InvariantViolation.MIXED_SNAPSHOT
    )
    assert merger.violations[merge.InvariantViolation.MIXED_SNAPSHOT] == 1
    assert merger.is_pending(SHARDS[0])


@pytest.mark.parametrize(
    ("keys", "violation"),
    [
        (
            build.build_keys(SNAPSHOT, SHARDS[0], 1) * 2,
            merge.InvariantViolation.DUPLICATE_KEY,
        ),
        (
            build.build_keys(SNAPSHOT, SHARDS[1], 1),
            merge.InvariantViolation.KEY_OUT_OF_RANGE,
        ),
    ],
)
def test_shard_can_answer_again_after_a_reply_with_a_bad_key_is_rejected(
    keys, violation
):
    merger = merge.ReplyMerger(SNAPSHOT, SHARDS)
    reply = build.build_valid_reply(SNAPSHOT, SHARDS[0], keys)
    assert merger.accept(reply) == merge.Rejected(violation)
    assert merger.rows() == ()
    assert merger.accept(build_reply(SHARDS[0])) == merge.Accepted(3)


def test_rows_are_sorted_by_key_and_limited():
    merger = merge.ReplyMerger(SNAPSHOT, SHARDS, limit=3)
    shards = list(SHARDS)
    random.Random(1).shuffle(shards)
    for shard in shards:
        merger.accept(build_reply(shard))
    all_keys = sorted(
        key for shard in SHARDS for key in build.build_keys(SNAPSHOT, shard, 2)
    )
    assert [row.key for row in merger.rows()] == all_keys[:3]


def test_rows_are_sorted_by_a_field_of_mixed_types():
    merger = merge.ReplyMerger(SNAPSHOT, SHARDS, merge.Ordering("n"))
    reply = build_reply(SHARDS[0], 6)
    for row, value in zip(reply.rows, ["b", 2, None, 1.5, "a", [1]], strict=True):
        row.fields = {"n": value}
    merger.accept(reply)
    values = [row.fields["n"] for row in merger.rows()]
    assert values == [1.5, 2, "a", "b", [1], None]


@pytest.mark.parametrize(
    ("descending", "values"), [(False, [1, 2, None]), (True, [2, 1, None])]
)
def test_row_without_the_field_comes_last_in_either_sort_direction(descending, values):
    merger = merge.ReplyMerger(SNAPSHOT, SHARDS, merge.Ordering("n", descending))
    reply = build_reply(SHARDS[0], 3)
    for row, fields in zip(reply.rows, [{"n": 2}, {}, {"n": 1}], strict=True):
        row.fields = fields
    merger.accept(reply)
    assert [row.fields.get("n") for row in merger.rows()] == values


def test_rows_keep_their_shard():
    merger = merge.ReplyMerger(SNAPSHOT, SHARDS)
    assert isinstance(build_reply(SHARDS[1]), replies.ValidReply)
    merger.accept(build_reply(SHARDS[1]))
    assert {row.shard for row in merger.rows()} == {SHARDS[1]}
