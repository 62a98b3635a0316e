"""What a reply of a backend server is worth to the request it was sent for."""

import dataclasses
import enum

from corianderrill import names


class AttemptOutcome(enum.Enum):
    """What a reply, or its absence, says."""

    SUCCESS = "good"
    ERROR_REPLY = "failed"
    NOT_EXECUTED = "not-run"
    MISDIRECTED = "elsewhere"
    UNUSABLE = "unusable"
    UNSENT = "unsent"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole reply, decoded.

    `signature` proves which replica sent the reply; `echoed_request_id` names the
    request that it answers. `not_executed` and `is_misdirected` say that the server
    did not execute the request.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    signature: str | None
    echoed_request_id: names.RequestId | None
    not_executed: bool
    is_misdirected: bool
    has_content_encoding: bool


def classify_reply(reply: Reply, request_id: names.RequestId) -> AttemptOutcome:
    """Return what a whole reply is worth; one of another request is unusable."""
    if reply.echoed_request_id is not None and reply.echoed_request_id != request_id:
        return AttemptOutcome.UNUSABLE
    if reply.is_misdirected:
        return AttemptOutcome.MISDIRECTED
    if reply.not_executed:
        return AttemptOutcome.NOT_EXECUTED
    if (
        reply.signature is None
        or reply.has_content_encoding
        or reply.echoed_request_id is None
    ):
        return AttemptOutcome.UNUSABLE
    if 200 <= reply.status < 300:
        return AttemptOutcome.SUCCESS
    return AttemptOutcome.ERROR_REPLY
