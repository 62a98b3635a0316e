"""Replies of backend servers, and their classification for the request."""

import dataclasses
import enum

from corianderrill import names


class AttemptOutcome(enum.Enum):
    """The outcome of one attempt, from its reply or the lack of one.

    `ERROR_REPLY` is a valid reply with a status outside 2xx, `NOT_EXECUTED` a refusal
    without execution, `MISDIRECTED` the reply of another server at the same address.
    `UNUSABLE` is an invalid reply, or none after the request was sent; `UNSENT` means
    that no connection could be opened.
    """

    SUCCESS = "good"
    ERROR_REPLY = "failed"
    NOT_EXECUTED = "not-run"
    MISDIRECTED = "elsewhere"
    UNUSABLE = "unusable"
    UNSENT = "unsent"


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """A rate limit that a replica advertises, for all hosts together."""

    requests_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidRateLimit:
    """A rate limit that is not a number of requests a second."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """For how long a replica that refused wants no requests of this host."""

    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidRetryAfter:
    """Such a time that is not a number of seconds."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a replica says of its load when it replies.

    `running` and `waiting` count requests; `slots` is how many it executes at once;
    `work_time_ratio` is its work time as a multiple of the usual one.
    """

    running: int
    waiting: int
    slots: int
    work_time_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidLoadReport:
    """A load report that is not understood."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Warmup:
    """For how long a replica says that it is cold; 0 if it is not."""

    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidWarmup:
    """Such a time that is not a number of milliseconds."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete, decoded reply.

    `signature` proves which replica sent the reply; `echoed_request_id` names the
    request that it answers. `not_executed` and `is_misdirected` say that the server
    did not execute the request; `promises_not_executed` that a caller would conclude it
    from the status alone. `rate_limit` is None if the replica advertises none,
    `retry_after` if it does not ask for a pause, `load_report` if it sends none.
    `is_leaving` says that its process is about to stop. `warmup` is None if the reply
    does not tell whether it is cold.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    signature: str | None
    echoed_request_id: names.RequestId | None
    not_executed: bool
    is_misdirected: bool
    has_content_encoding: bool
    promises_not_executed: bool = False
    rate_limit: RateLimit | InvalidRateLimit | None = None
    retry_after: RetryAfter | InvalidRetryAfter | None = None
    is_leaving: bool = False
    load_report: LoadReport | InvalidLoadReport | None = None
    warmup: Warmup | InvalidWarmup | None = None


def classify_reply(reply: Reply, request_id: names.RequestId) -> AttemptOutcome:
    """Return the outcome of a complete reply.

    One that names another request, or none, is unusable: it may belong to an earlier
    exchange, so it does not say whether this request was executed.
    """
    if reply.echoed_request_id != request_id:
        return AttemptOutcome.UNUSABLE
    if reply.is_misdirected:
        return AttemptOutcome.MISDIRECTED
    if reply.not_executed:
        return AttemptOutcome.NOT_EXECUTED
    if reply.signature is None or reply.has_content_encoding:
        return AttemptOutcome.UNUSABLE
    if 200 <= reply.status < 300:
        return AttemptOutcome.SUCCESS
    return AttemptOutcome.ERROR_REPLY
