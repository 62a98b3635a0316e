"""Sub-requests to backend servers and the results of their attempts.

These types are used inside an entry host and, encoded by msgspec, in the messages
between entry hosts. A sub-request carries the time left until its deadline, never a
point in time, because the clocks of two processes differ.
"""

import enum
from typing import Any

import msgspec

from corianderrill import names


class FindRows(msgspec.Struct, frozen=True, tag="find"):
    """Read of the rows whose fields equal every filter; idempotent."""

    filters: dict[str, Any]
    limit: int = 0


class WriteRow(msgspec.Struct, frozen=True, tag="record"):
    """Write of one row under its key; not idempotent."""

    key: str
    fields: dict[str, Any]


Operation = FindRows | WriteRow


class SubRequest(msgspec.Struct, frozen=True):
    """One attempt of an operation, for one shard on one replica.

    `remaining_s` is the time from sending until the deadline, in seconds.
    """

    request_id: names.RequestId
    attempt_id: str
    replica: names.ReplicaId
    shard: names.ShardId
    snapshot: names.SnapshotId
    operation: Operation
    remaining_s: float
    idempotent: bool = True


class ReplyRow(msgspec.Struct, frozen=True):
    """A row as a backend server returns it."""

    key: str
    fields: dict[str, Any]


class HeldVersions(msgspec.Struct, frozen=True):
    """Range of index versions that a replica reported as held, bounds included."""

    low: int
    high: int


class RefusalKind(enum.Enum):
    """Why a backend server or an owner host refused a sub-request."""

    NO_SNAPSHOT = "no-snapshot"
    SHED = "shed"
    DRAINING = "draining"
    QUEUE_FULL = "queue-full"
    TOO_LATE = "too-late"
    CANCELLED = "cancelled"
    NO_CONNECTION = "no-connection"
    NOT_OWNER = "not-owner"
    LEAVING = "leaving"


class FailureKind(enum.Enum):
    """Why an attempt ended without a valid reply."""

    TIMEOUT = "timeout"
    CONNECTION = "connection"
    INVALID_REPLY = "invalid-reply"
    SERVER_ERROR = "server-error"


class Answered(msgspec.Struct, frozen=True, tag="answered"):
    """A valid reply arrived.

    `elapsed_s` is the duration of the exchange with the backend server in seconds,
    without time in queues of entry hosts and in relays between them.
    """

    attempt_id: str
    rows: tuple[ReplyRow, ...]
    held: HeldVersions | None = None
    elapsed_s: float = 0.0


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The sub-request was refused and certainly did not run."""

    attempt_id: str
    kind: RefusalKind
    held: HeldVersions | None = None


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """No valid reply arrived; the sub-request may have run."""

    attempt_id: str
    kind: FailureKind


AttemptResult = Answered | Refused | Failed
