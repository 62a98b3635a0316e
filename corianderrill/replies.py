"""Validates the replies of backend servers before any part of them is used.

A connection is reused only after a well-formed refusal, or after a reply that is
complete and matches the request that was sent on the connection.
"""

import dataclasses
import enum
from typing import Any, NewType

import msgspec

from corianderrill import names

AttemptId = NewType("AttemptId", str)

MAX_REPLY_BYTES = 4 * 1024 * 1024
STATUS_OK = 200


class WireRow(msgspec.Struct):
    """A row as backend servers send it."""

    key: str
    fields: dict[str, Any]


class WireReply(msgspec.Struct):
    """A reply as backend servers send it.

    `held` is the oldest and the newest index version that the replica holds, both
    inclusive.
    """

    request_id: str
    attempt_id: str
    service: str
    shard: str
    version: int
    row_count: int
    rows: list[WireRow]
    held: tuple[int, int]


class WireRefusal(msgspec.Struct):
    """A refusal as backend servers send it.

    `ran` is false if the server states that it did not run the request. `held` is as
    in `WireReply`.
    """

    ran: bool
    reason: str = ""
    held: tuple[int, int] | None = None


_reply_decoder = msgspec.json.Decoder(WireReply)
_refusal_decoder = msgspec.json.Decoder(WireRefusal)


class InvalidReason(enum.Enum):
    """Why a reply was discarded."""

    LATE = "late"
    DUPLICATE = "duplicate"
    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    WRONG_STATUS = "wrong-status"
    WRONG_REQUEST = "wrong-request"
    WRONG_ATTEMPT = "wrong-attempt"
    WRONG_SHARD = "wrong-shard"
    WRONG_SNAPSHOT = "wrong-snapshot"
    WRONG_ROW_COUNT = "wrong-row-count"


class BackendRefusalReason(enum.Enum):
    """Why a backend server refused a request."""

    SNAPSHOT = "snapshot"
    SHED = "shed"
    DRAINING = "draining"
    UNAVAILABLE = "unavailable"


REFUSAL_REASON_BY_STATUS = {
    409: BackendRefusalReason.SNAPSHOT,
    429: BackendRefusalReason.SHED,
    503: BackendRefusalReason.UNAVAILABLE,
}
REFUSAL_REASON_BY_CODE = {reason.value: reason for reason in BackendRefusalReason}


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedReply:
    """The identifiers that the reply to an attempt must contain."""

    request_id: names.RequestId
    attempt_id: AttemptId
    shard: names.ShardId
    snapshot: names.SnapshotId


@dataclasses.dataclass(frozen=True, slots=True)
class HeldVersions:
    """The oldest and newest index version that a replica reports to hold."""

    low: names.IndexVersion
    high: names.IndexVersion


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """An HTTP reply as read; `content_length` is the declared length, if any."""

    status: int
    body: bytes
    content_length: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ValidReply:
    """A reply that matches its attempt and is complete."""

    expected: ExpectedReply
    rows: list[WireRow]
    held: HeldVersions


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidReply:
    """A reply that must not be used; the server may have run the request."""

    reason: InvalidReason


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRefusal:
    """A refusal by the backend server.

    If `ran` is true, the server may have run the request, and the attempt counts as
    failed.
    """

    ran: bool
    reason: BackendRefusalReason
    held: HeldVersions | None = None


CheckedReply = ValidReply | InvalidReply | BackendRefusal


def can_reuse_connection(checked: CheckedReply) -> bool:
    """Return whether another request can be sent on the connection."""
    return not isinstance(checked, InvalidReply)


def check_reply(
    expected: ExpectedReply, received: HttpReply, max_bytes: int = MAX_REPLY_BYTES
) -> CheckedReply:
    """Check the reply to an attempt; return it as valid, as a refusal or as invalid."""
    content_length = received.content_length
    size = len(received.body)
    if size > max_bytes or (content_length is not None and content_length > max_bytes):
        return InvalidReply(InvalidReason.OVERSIZED)
    if content_length is not None and content_length != size:
        return InvalidReply(InvalidReason.TRUNCATED)
    if received.status == STATUS_OK:
        return _check_answer(expected, received.body)
    if received.status in REFUSAL_REASON_BY_STATUS:
        return _check_refusal(received)
    return InvalidReply(InvalidReason.WRONG_STATUS)


def _check_answer(expected: ExpectedReply, body: bytes) -> ValidReply | InvalidReply:
    try:
        reply = _reply_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        return InvalidReply(_classify_decode_error(error))
    reason = _find_mismatch(expected, reply)
    if reason is not None:
        return InvalidReply(reason)
    return ValidReply(expected, reply.rows, HeldVersions(*reply.held))


def _find_mismatch(expected: ExpectedReply, reply: WireReply) -> InvalidReason | None:
    shard = expected.shard
    if reply.request_id != expected.request_id:
        return InvalidReason.WRONG_REQUEST
    if reply.attempt_id != expected.attempt_id:
        return InvalidReason.WRONG_ATTEMPT
    if reply.shard != shard.name or reply.service != shard.service.name:
        return InvalidReason.WRONG_SHARD
    if reply.version != expected.snapshot.version:
        return InvalidReason.WRONG_SNAPSHOT
    if reply.row_count != len(reply.rows):
        return InvalidReason.WRONG_ROW_COUNT
    return None


def _check_refusal(received: HttpReply) -> BackendRefusal | InvalidReply:
    try:
        refusal = _refusal_decoder.decode(received.body)
    except (msgspec.DecodeError, RecursionError) as error:
        return InvalidReply(_classify_decode_error(error))
    default_reason = REFUSAL_REASON_BY_STATUS[received.status]
    reason = REFUSAL_REASON_BY_CODE.get(refusal.reason, default_reason)
    held = None if refusal.held is None else HeldVersions(*refusal.held)
    return BackendRefusal(refusal.ran, reason, held)


def _classify_decode_error(error: Exception) -> InvalidReason:
    if "truncated" in str(error):
        return InvalidReason.TRUNCATED
    return InvalidReason.MALFORMED


class AttemptState(enum.Enum):
    """State of an attempt."""

    OPEN = "open"
    ANSWERED = "answered"
    CANCELLED = "given-up"


class AttemptTracker:
    """Tracks the attempts of one request and accepts at most one reply to each."""

    def __init__(self, request_id: names.RequestId):
        self.request_id = request_id
        self._expected: dict[AttemptId, ExpectedReply] = {}
        self._states: dict[AttemptId, AttemptState] = {}

    def start_attempt(
        self, shard: names.ShardId, snapshot: names.SnapshotId
    ) -> ExpectedReply:
        """Start an attempt and return the identifiers that its reply must contain."""
        attempt_id = AttemptId(f"{self.request_id}.{len(self._states)}")
        expected = ExpectedReply(self.request_id, attempt_id, shard, snapshot)
        self._expected[attempt_id] = expected
        self._states[attempt_id] = AttemptState.OPEN
        return expected

    def cancel(self, attempt_id: AttemptId) -> None:
        """Close an attempt whose reply is no longer needed."""
        if self._states.get(attempt_id) is AttemptState.OPEN:
            self._states[attempt_id] = AttemptState.CANCELLED

    def count_open(self) -> int:
        """Return the number of attempts that have no reply yet."""
        return sum(state is AttemptState.OPEN for state in self._states.values())

    def accept_reply(self, attempt_id: AttemptId, received: HttpReply) -> CheckedReply:
        """Validate a reply and close its attempt."""
        match self._states.get(attempt_id):
            case None:
                return InvalidReply(InvalidReason.WRONG_ATTEMPT)
            case AttemptState.CANCELLED:
                return InvalidReply(InvalidReason.LATE)
            case AttemptState.ANSWERED:
                return InvalidReply(InvalidReason.DUPLICATE)
        self._states[attempt_id] = AttemptState.ANSWERED
        return check_reply(self._expected[attempt_id], received)
