"""Outcomes of a query, as a tagged union of data classes."""

import dataclasses
import enum

from corianderrill import names


class MissingReason(enum.Enum):
    """Why a shard is missing from an answer."""

    NO_REPLICA = "no-replica"
    NO_SNAPSHOT = "no-snapshot"
    DEADLINE = "deadline"
    REFUSED = "refused"
    FAILED = "failed"


class RefusalReason(enum.Enum):
    """Why a request was refused before anything ran."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_TEMPLATE = "unknown-template"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    LEAVING = "leaving"
    NOT_READY = "not-ready"
    COVERAGE = "coverage"
    SNAPSHOT = "snapshot"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    BACKEND_REFUSED = "backend-refused"


@dataclasses.dataclass(frozen=True, slots=True)
class MissingShard:
    """A shard that an answer does not cover."""

    shard: names.ShardId
    reason: MissingReason


@dataclasses.dataclass(frozen=True, slots=True)
class Coverage:
    """How many of the queried shards answered.

    `asked` is the number of queried shards; `answered` is the number of them that
    answered.
    """

    asked: int
    answered: int
    missing: tuple[MissingShard, ...] = ()

    @property
    def share(self) -> float:
        """Share of the queried shards that answered, 0 to 1; 1 if none was queried."""
        if not self.asked:
            return 1.0
        return self.answered / self.asked


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """Snapshot, configuration revision and coverage that an answer is based on.

    `confirmed_age_s` is the time since the platform last confirmed that the
    configuration revision is current, in seconds. `left_out` is the number of rows
    that were found but exceed the template's row limit.
    """

    snapshot: names.SnapshotId
    revision: names.Revision
    confirmed_age_s: float
    coverage: Coverage
    left_out: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of an answer, with the shard that returned it."""

    key: str
    shard: names.ShardId
    fields: dict[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """All queried shards answered."""

    rows: tuple[Row, ...]
    metadata: AnswerMetadata


@dataclasses.dataclass(frozen=True, slots=True)
class Partial:
    """Some shards are missing; the coverage lists each with its reason."""

    rows: tuple[Row, ...]
    metadata: AnswerMetadata


@dataclasses.dataclass(frozen=True, slots=True)
class Insufficient:
    """The coverage is below the minimum that was required; no rows are returned.

    `minimum_coverage` is the required share of shards, 0 to 1.
    """

    minimum_coverage: float
    metadata: AnswerMetadata


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Nothing ran: nothing was sent, or every backend server refused to run it."""

    reason: RefusalReason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; it is not known whether it did."""

    detail: str


Outcome = Complete | Partial | Insufficient | NotRun | Unknown
