"""Merges the replies of the shards into the rows of one answer.

The first valid reply of each shard is used. Each reply is checked against the
invariants of an answer: all rows are of one snapshot, no key occurs twice, and each
key is in its shard's hash range. A reply that violates an invariant is not used, and
its shard counts as missing unless another replica answers.
"""

import collections
import dataclasses
import enum
import zlib

from corianderrill import catalog, names, outcomes, replies


class DropReason(enum.Enum):
    """Why a valid reply was dropped."""

    ALREADY_ANSWERED = "answered"
    NOT_QUERIED = "not-asked"


class InvariantViolation(enum.Enum):
    """An invariant of the answer that a reply violates."""

    MIXED_SNAPSHOT = "mixed-snapshot"
    DUPLICATE_KEY = "doubled-key"
    KEY_OUT_OF_RANGE = "key-out-of-range"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The reply is part of the answer; `remaining_shards` have not answered yet."""

    remaining_shards: int


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """The reply is not needed and is not used."""

    reason: DropReason


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The reply violates an invariant and is not used."""

    violation: InvariantViolation


@dataclasses.dataclass(frozen=True, slots=True)
class Ordering:
    """Sort order of the rows: by a field, or by key if `field` is empty.

    Rows without the field come last, whether ascending or descending.
    """

    field: str = ""
    descending: bool = False


class ReplyMerger:
    """Collects and merges the replies to one query on one snapshot."""

    def __init__(
        self,
        snapshot: catalog.Snapshot,
        shards: tuple[names.ShardId, ...],
        ordering: Ordering = Ordering(),
        limit: int | None = None,
    ):
        self.snapshot = snapshot
        self.dropped: collections.Counter[DropReason] = collections.Counter()
        self.violations: collections.Counter[InvariantViolation] = collections.Counter()
        self._ordering = ordering
        self._limit = limit
        self._pending = dict.fromkeys(shards)
        self._rows_by_shard: dict[names.ShardId, list[replies.WireRow]] = {}
        self._shard_count = len(self._pending)

    @property
    def pending_shards(self) -> tuple[names.ShardId, ...]:
        """The shards that have not answered."""
        return tuple(self._pending)

    def is_pending(self, shard: names.ShardId) -> bool:
        """Return whether a shard was queried and has not answered."""
        return shard in self._pending

    def accept(self, reply: replies.ValidReply) -> Accepted | Dropped | Rejected:
        """Add a reply to the answer if it is the first valid one of its shard."""
        shard = reply.expected.shard
        if shard not in self._pending:
            return self._drop(shard)
        violation = self._find_violation(reply)
        if violation is not None:
            self.violations[violation] += 1
            return Rejected(violation)
        del self._pending[shard]
        self._rows_by_shard[shard] = reply.rows
        return Accepted(len(self._pending))

    def _drop(self, shard: names.ShardId) -> Dropped:
        already_answered = shard in self._rows_by_shard
        reason = (
            DropReason.ALREADY_ANSWERED if already_answered else DropReason.NOT_QUERIED
        )
        self.dropped[reason] += 1
        return Dropped(reason)

    def _find_violation(self, reply: replies.ValidReply) -> InvariantViolation | None:
        if reply.expected.snapshot != self.snapshot.id:
            return InvariantViolation.MIXED_SNAPSHOT
        partition = self.snapshot.partitions_by_shard[reply.expected.shard]
        low, high = partition.low, partition.high
        keys = [row.key for row in reply.rows]
        # The shards' ranges are disjoint and one reply per shard is used, so a key that
        # is in its range can occur twice only within one reply.
        if len(set(keys)) != len(keys):
            return InvariantViolation.DUPLICATE_KEY
        if not all(low <= zlib.crc32(key.encode()) < high for key in keys):
            return InvariantViolation.KEY_OUT_OF_RANGE
        return None

    def rows(self) -> tuple[outcomes.Row, ...]:
        """Return the merged rows in sort order, at most `limit` of them."""
        rows = [
            outcomes.Row(row.key, shard, row.fields)
            for shard, shard_rows in self._rows_by_shard.items()
            for row in shard_rows
        ]
        field, descending = self._ordering.field, self._ordering.descending
        rows.sort(key=_row_sort_key, reverse=descending and not field)
        if field:
            # The sort is stable: rows with equal field values stay sorted by key.
            with_field = [row for row in rows if row.fields.get(field) is not None]
            without_field = [row for row in rows if row.fields.get(field) is None]
            with_field.sort(
                key=lambda row: json_sort_key(row.fields[field]), reverse=descending
            )
            rows = with_field + without_field
        return tuple(rows[: self._limit])

    @property
    def left_out(self) -> int:
        """Number of merged rows that exceed the limit and are not returned."""
        if self._limit is None:
            return 0
        total = sum(len(shard_rows) for shard_rows in self._rows_by_shard.values())
        return max(0, total - self._limit)

    def coverage(
        self, reasons: dict[names.ShardId, outcomes.MissingReason]
    ) -> outcomes.Coverage:
        """Return the coverage; `FAILED` is the reason of shards not in `reasons`."""
        missing = tuple(
            outcomes.MissingShard(
                shard, reasons.get(shard, outcomes.MissingReason.FAILED)
            )
            for shard in self._pending
        )
        return outcomes.Coverage(self._shard_count, len(self._rows_by_shard), missing)


def _row_sort_key(row: outcomes.Row) -> tuple[str, names.ShardId]:
    return row.key, row.shard


def json_sort_key(value: object) -> tuple[int, object]:
    """Return a sort key for a JSON value: booleans, numbers, strings, then others."""
    match value:
        case bool():
            return 0, value
        case int() | float():
            return 1, value
        case str():
            return 2, value
        case _:
            return 3, str(value)
