"""At-most-once execution of requests that are not idempotent, by claims.

A claim is a record per request id in the key-value service. A host runs such a request
only after it has created the claim by compare-and-swap. Another host may replace a
claim only if the claiming host has written that the request did not run. If the
claiming host crashes, the status of the request is "unknown".

A request id contains the time at which it was issued. Hosts reject old ids, so that
old claims can be deleted. The clocks of callers and hosts may differ by up to
`MAX_CLOCK_SKEW_S`.
"""

import dataclasses
import enum
import re
from collections.abc import Callable

import msgspec

from corianderrill import keyvalue, names, outcomes

KEY_PREFIX = "claims/"
MAX_ID_AGE_S = 3_600.0
MAX_CLOCK_SKEW_S = 300.0
TIME_SLOT_S = 10
# The number of writes that a claim is charged to the budget.
WRITES_PER_CLAIM = 3
ID_PATTERN = re.compile(r"(?P<issued_ms>\d{13})-[A-Za-z0-9_-]{8,64}")


class ClaimState(enum.Enum):
    """The state of a request as written by the host that claimed it."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestStatus(enum.Enum):
    """The status of a claimed request as reported to callers that send it again."""

    NOT_RUN = "not-run"
    RUNNING = "running"
    RAN = "ran"
    UNKNOWN = "unknown"


class Claim(msgspec.Struct, frozen=True):
    """A claim as stored in the key-value service.

    `nonce` identifies the call of `Claimant.claim` that wrote it. `claimed_at` is in
    seconds since 1970.
    """

    nonce: str
    member: names.MemberId
    state: ClaimState
    claimed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to be claimed.

    `deadline` is a time of the host's monotonic clock. `is_resent` is True if the
    caller has sent the id before, so that the request may have run already.
    """

    id: names.RequestId
    workspace: names.WorkspaceId
    deadline: float
    is_resent: bool = False


class PermitState(enum.Enum):
    """Whether the permit is unused, the request is running, or the run has ended."""

    GRANTED = "won"
    STARTED = "begun"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class RunPermit:
    """A single-use permit to run a claimed request; not valid once ended."""

    key: str
    claim: Claim
    revision: names.Revision
    deadline: float
    state: PermitState = PermitState.GRANTED

    def start_run(self, now: float) -> bool:
        """Use the permit just before sending; return False if it is used or expired.

        The deadline is checked again here, because the process may have been paused
        since it claimed the request.
        """
        if self.state is not PermitState.GRANTED or now >= self.deadline:
            return False
        self.state = PermitState.STARTED
        return True

    def end_run(self, ran: bool | None) -> ClaimState:
        """End the permit and return the final state.

        `ran` is None if it is unknown whether the request ran.
        """
        was_started = self.state is PermitState.STARTED
        self.state = PermitState.ENDED
        if not was_started or ran is False:
            return ClaimState.NOT_RUN
        return ClaimState.RAN if ran else ClaimState.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The claim was created; only this host may run the request."""

    permit: RunPermit


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The request was claimed before and is not run by this call."""

    status: RequestStatus
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotClaimed:
    """The claim could not be created, so the request does not run on this host.

    `is_known_not_run` is False if another host may have run the same id.
    """

    is_known_not_run: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class BadId:
    """The id can't be claimed: it is malformed, too old, or in the future."""

    detail: str


ClaimResult = Granted | AlreadyClaimed | NotClaimed | BadId


class WriteBudget:
    """A rate limit on writes to the key-value service, as a token bucket."""

    def __init__(self, writes_per_s: float, burst_s: float = 1.0) -> None:
        self.writes_per_s = writes_per_s
        self._burst_s = burst_s
        self._tokens = writes_per_s * burst_s
        self._filled_at: float | None = None

    def set_share(self, writes_per_s: float, hosts: int) -> None:
        """Set the rate to an equal share per host of a total rate."""
        self.writes_per_s = writes_per_s / max(1, hosts)

    def try_spend(self, writes: int, now: float) -> bool:
        """Take tokens for `writes` writes; return False if there are too few."""
        self._refill(now)
        if self._tokens < writes:
            return False
        self._tokens -= writes
        return True

    def _refill(self, now: float) -> None:
        if self._filled_at is not None and now > self._filled_at:
            self._tokens += (now - self._filled_at) * self.writes_per_s
        self._filled_at = now
        capacity = max(WRITES_PER_CLAIM, self.writes_per_s * self._burst_s)
        self._tokens = min(capacity, self._tokens)


def parse_issue_time(request: names.RequestId) -> float | None:
    """Return when an id was issued, in seconds since 1970; None if malformed."""
    match = ID_PATTERN.fullmatch(request)
    return int(match["issued_ms"]) / 1_000 if match else None


def check_id(request: names.RequestId, wall_now: float) -> BadId | None:
    """Return why an id can't be claimed; None if it can."""
    issued_at = parse_issue_time(request)
    if issued_at is None:
        return BadId(
            "expected a request id of 13 digits of milliseconds since 1970, '-' and 8 "
            "to 64 letters, digits, '_' or '-', such as 1772323200000-3f9c2a7d"
        )
    if wall_now - issued_at > MAX_ID_AGE_S:
        return BadId(
            f"the request id is older than {MAX_ID_AGE_S:.0f} s: use a new one"
        )
    if issued_at - wall_now > MAX_CLOCK_SKEW_S:
        return BadId("the request id is in the future: check the caller's clock")
    return None


def format_slot_prefix(issued_at: float) -> str:
    """Return the key prefix of the claims whose ids fall in the same time slot."""
    return f"{KEY_PREFIX}{int(issued_at // TIME_SLOT_S)}/"


def format_key(request: names.RequestId, workspace: names.WorkspaceId) -> str:
    """Return the claim key for a well-formed id."""
    slot = format_slot_prefix(parse_issue_time(request))
    return f"{slot}{workspace.fleet}/{workspace.label}/{request}"


def get_claim_status(
    claim: Claim, is_alive: Callable[[names.MemberId], bool]
) -> AlreadyClaimed:
    """Return the status that a claim shows; RUNNING only while its host is live."""
    match claim.state:
        case ClaimState.RAN:
            return AlreadyClaimed(RequestStatus.RAN, f"it ran on {claim.member}")
        case ClaimState.NOT_RUN:
            return AlreadyClaimed(
                RequestStatus.NOT_RUN, f"it did not run on {claim.member}"
            )
        case ClaimState.CLAIMED if is_alive(claim.member):
            return AlreadyClaimed(
                RequestStatus.RUNNING, f"it is running on {claim.member}"
            )
        case _:
            detail = f"{claim.member} claimed it and did not report how it ended"
            return AlreadyClaimed(RequestStatus.UNKNOWN, detail)


def needs_final_state(claim: Claim | None, final: Claim) -> bool:
    """Whether the final state must still be written over the stored claim."""
    if claim is None:
        return False
    if claim.nonce == final.nonce:
        return claim.state is ClaimState.CLAIMED
    # The stored claim is of another call, and a delayed write of the final state's own
    # claim may still replace it. Overwriting it with the final state raises the
    # revision, so that the compare-and-swap of the delayed write fails.
    return claim.state is final.state is ClaimState.NOT_RUN


def has_run(outcome: outcomes.Outcome) -> bool | None:
    """Return whether the outcome shows that the request ran; None if unknown."""
    match outcome:
        case outcomes.NotRun():
            return False
        case outcomes.Unknown():
            return None
        case _:
            return True


def convert_to_outcome(
    outcome: AlreadyClaimed | NotClaimed | BadId,
) -> outcomes.NotRun | outcomes.Unknown:
    """Return the caller's outcome for a request that this call does not run."""
    match outcome:
        case BadId(detail):
            return outcomes.NotRun(outcomes.RefusalReason.BAD_REQUEST, detail)
        case NotClaimed(True, detail) | AlreadyClaimed(RequestStatus.NOT_RUN, detail):
            return outcomes.NotRun(outcomes.RefusalReason.CLAIM_UNAVAILABLE, detail)
        case NotClaimed(False, detail):
            return outcomes.Unknown(detail)
        case AlreadyClaimed(status, detail):
            return outcomes.Unknown(f"{status.value}: {detail}")


def decode_claim(entry: keyvalue.Entry) -> Claim | None:
    """Return the claim stored in an entry; None if it can't be decoded."""
    try:
        return msgspec.json.decode(entry.value, type=Claim)
    except (msgspec.DecodeError, RecursionError):
        return None
