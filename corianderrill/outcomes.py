"""Outcomes of a query, as tagged data classes, and what each tells the caller."""

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
    """How much of the data an answer covers."""

    asked: int
    answered: int
    missing: tuple[MissingShard, ...] = ()

    @property
    def share(self) -> float:
        """Share of the shards that answered, 0 to 1; 1 where none was asked."""
        if not self.asked:
            return 1.0
        return self.answered / self.asked


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """What an answer says about its own origin.

    `confirmed_age_s` is the time since the configuration revision was last
    confirmed with the platform, in seconds. `left_out` counts the rows that were
    found and that the limit of the template keeps out of the answer.
    """

    snapshot: names.SnapshotId
    revision: names.Revision
    confirmed_age_s: float
    coverage: Coverage
    left_out: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of an answer with the shard that it came from."""

    key: str
    shard: names.ShardId
    fields: dict[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Every shard that was asked answered."""

    rows: tuple[Row, ...]
    metadata: AnswerMetadata


@dataclasses.dataclass(frozen=True, slots=True)
class Partial:
    """Some shards are missing, each named with its reason."""

    rows: tuple[Row, ...]
    metadata: AnswerMetadata


@dataclasses.dataclass(frozen=True, slots=True)
class Insufficient:
    """Shards answered, but fewer than the caller asked for; rows are withheld.

    `minimum_coverage` is the share that was asked for, 0 to 1.
    """

    minimum_coverage: float
    metadata: AnswerMetadata


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Nothing ran: nothing was sent, or every server said that it did not run."""

    reason: RefusalReason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; the answer does not show whether it did."""

    detail: str


Outcome = Complete | Partial | Insufficient | NotRun | Unknown
