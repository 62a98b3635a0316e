"""Sub-requests to backend servers and the tagged results of their attempts.

These types travel inside one entry host and, unchanged, in the messages between
entry hosts; msgspec encodes them. Instants never cross a process: a sub-request
carries the time that is left of its deadline.
"""

import enum
from typing import Any

import msgspec

from corianderrill import names


class Find(msgspec.Struct, frozen=True, tag="find"):
    """Reads the rows whose fields equal every filter; idempotent."""

    filters: dict[str, Any]
    limit: int = 0


class Record(msgspec.Struct, frozen=True, tag="record"):
    """Writes one row under its key; not idempotent."""

    key: str
    fields: dict[str, Any]


Operation = Find | Record


class SubRequest(msgspec.Struct, frozen=True):
    """One attempt to ask one replica for one shard.

    `remaining_s` is the time left until the deadline when it was sent, in seconds.
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
    """A row as a backend server sends it."""

    key: str
    fields: dict[str, Any]


class HeldVersions(msgspec.Struct, frozen=True):
    """Index versions that a replica said it holds, both bounds included."""

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
    """A valid reply.

    `elapsed_s` is the time of the backend exchange alone, in seconds.
    """

    attempt_id: str
    rows: tuple[ReplyRow, ...]
    held: HeldVersions | None = None
    elapsed_s: float = 0.0


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The sub-request surely did not run."""

    attempt_id: str
    kind: RefusalKind
    held: HeldVersions | None = None


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """No valid reply came; the sub-request may have run."""

    attempt_id: str
    kind: FailureKind


AttemptResult = Answered | Refused | Failed
