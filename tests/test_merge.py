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
def test_each_shard_counts_once_in_any_order(order):
    merging = merge.ReplyMerger(SNAPSHOT, SHARDS)
    for number, shard in enumerate(order):
        merging.accept(build_reply(shard, attempt=f"r1.{number}"))
    keys = [row.key for row in merging.rows()]
    assert len(keys) == len(set(keys)) == 2 * len(set(order))
    assert merging.dropped[merge.DropReason.ANSWERED] == len(order) - len(set(order))
    assert merging.coverage({}).answered == len(set(order))


def test_shard_that_was_not_asked_is_dropped():
    merging = merge.ReplyMerger(SNAPSHOT, SHARDS[:2])
    dropped = merge.Dropped(merge.DropReason.NOT_ASKED)
    assert merging.accept(build_reply(SHARDS[3])) == dropped
    assert merging.rows() == ()


def test_left_shards_count_down_and_missing_ones_have_reasons():
    merging = merge.ReplyMerger(SNAPSHOT, SHARDS)
    lefts = [merging.accept(build_reply(shard)).left for shard in SHARDS[:2]]
    assert lefts == [3, 2]
    coverage = merging.coverage({SHARDS[2]: outcomes.MissingReason.DEADLINE})
    assert coverage.missing == (
        outcomes.MissingShard(SHARDS[2], outcomes.MissingReason.DEADLINE),
        outcomes.MissingShard(SHARDS[3], outcomes.MissingReason.FAILED),
    )


def test_reply_of_another_snapshot_breaches_and_is_not_used():
    merging = merge.ReplyMerger(SNAPSHOT, SHARDS)
    other = build.build_snapshot(8, shards=4)
    keys = build.build_keys(other, SHARDS[0], 2)
    reply = build.build_valid_reply(other, SHARDS[0], keys)
    assert merging.accept(reply) == merge.Rejected(
        merge.InvariantViolation.MIXED_SNAPSHOT
    )
    assert merging.violations[merge.InvariantViolation.MIXED_SNAPSHOT] == 1
    assert merging.is_waiting(SHARDS[0])


@pytest.mark.parametrize(
    ("keys", "breach"),
    [
        (
            build.build_keys(SNAPSHOT, SHARDS[0], 1) * 2,
            merge.InvariantViolation.DOUBLED_KEY,
        ),
        (
            build.build_keys(SNAPSHOT, SHARDS[1], 1),
            merge.InvariantViolation.KEY_OUT_OF_RANGE,
        ),
    ],
)
def test_doubled_or_foreign_key_breaches_and_another_replica_may_answer(keys, breach):
    merging = merge.ReplyMerger(SNAPSHOT, SHARDS)
    reply = build.build_valid_reply(SNAPSHOT, SHARDS[0], keys)
    assert merging.accept(reply) == merge.Rejected(breach)
    assert merging.rows() == ()
    assert merging.accept(build_reply(SHARDS[0])) == merge.Accepted(3)


def test_rows_are_ordered_by_key_and_limited():
    merging = merge.ReplyMerger(SNAPSHOT, SHARDS, limit=3)
    shards = list(SHARDS)
    random.Random(1).shuffle(shards)
    for shard in shards:
        merging.accept(build_reply(shard))
    every = sorted(k for shard in SHARDS for k in build.build_keys(SNAPSHOT, shard, 2))
    assert [row.key for row in merging.rows()] == every[:3]


def test_rows_are_ordered_by_a_field_of_mixed_types():
    merging = merge.ReplyMerger(SNAPSHOT, SHARDS, merge.Ordering("n"))
    reply = build_reply(SHARDS[0], 6)
    for row, value in zip(reply.rows, ["b", 2, None, 1.5, "a", [1]], strict=True):
        row.fields = {"n": value}
    merging.accept(reply)
    values = [row.fields["n"] for row in merging.rows()]
    assert values == [1.5, 2, "a", "b", [1], None]


@pytest.mark.parametrize(
    ("descending", "values"), [(False, [1, 2, None]), (True, [2, 1, None])]
)
def test_row_without_the_field_comes_last_in_either_direction(descending, values):
    merging = merge.ReplyMerger(SNAPSHOT, SHARDS, merge.Ordering("n", descending))
    reply = build_reply(SHARDS[0], 3)
    for row, fields in zip(reply.rows, [{"n": 2}, {}, {"n": 1}], strict=True):
        row.fields = fields
    merging.accept(reply)
    assert [row.fields.get("n") for row in merging.rows()] == values


def test_rows_keep_their_shard():
    merging = merge.ReplyMerger(SNAPSHOT, SHARDS)
    assert isinstance(build_reply(SHARDS[1]), replies.ValidReply)
    merging.accept(build_reply(SHARDS[1]))
    assert {row.shard for row in merging.rows()} == {SHARDS[1]}
