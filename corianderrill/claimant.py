"""Create claims in the key-value service for one host, and delete expired ones.

The rules are in `claims`. This module applies them to the replies of the service and
handles writes whose reply was lost.
"""

import collections
import dataclasses
import time
import uuid
from collections.abc import Callable, Iterable

import eventlet
import eventlet.greenthread
import msgspec

from corianderrill import claims, keyvalue, names, outcomes, propagation

MAX_ATTEMPTS = 3
MAX_PENDING_WRITES = 10_000
MAINTENANCE_INTERVAL_S = 1.0
MAX_CLAIM_WRITES_PER_S = 300.0
MAX_SLOTS_PER_SWEEP = 10
# Not an availability zone: the key by which `spread` chooses the sweeping host.
SWEEPER_GROUP = names.ZoneName("claims")


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWrite:
    """A claim with its final state that must still be written."""

    key: str
    claim: claims.Claim


class Claimant:
    """Claims requests for one host.

    `is_alive` returns whether a member is live. `clock` is monotonic and `wall_clock`
    returns seconds since 1970. `make_nonce` returns a different string on each call.
    """

    def __init__(
        self,
        member: names.MemberId,
        client: keyvalue.Client,
        budget: claims.WriteBudget,
        is_alive: Callable[[names.MemberId], bool],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        make_nonce: Callable[[], str],
    ) -> None:
        self.dropped_writes = 0
        self._member = member
        self._client = client
        self._budget = budget
        self._is_alive = is_alive
        self._clock = clock
        self._wall_clock = wall_clock
        self._make_nonce = make_nonce
        self._highest_revision = names.Revision(0)
        self._reject_ids_issued_until = 0.0
        self._pending_writes: collections.OrderedDict[str, PendingWrite] = (
            collections.OrderedDict()
        )

    @property
    def pending_count(self) -> int:
        """The number of final states that must still be written."""
        return len(self._pending_writes)

    def claim(self, request: claims.Request) -> claims.ClaimResult:
        """Claim a request; it may run only if the result is `Granted`."""
        bad_id = claims.check_id(request.id, self._wall_clock())
        if bad_id is not None:
            return bad_id
        if claims.parse_issue_time(request.id) <= self._reject_ids_issued_until:
            detail = (
                "the key-value service returned older data than before: ids issued "
                "before or shortly after that are rejected"
            )
            return claims.NotClaimed(not request.is_resent, detail)
        key = claims.format_key(request.id, request.workspace)
        if not self._budget.try_spend(claims.WRITES_PER_CLAIM, self._clock()):
            return self._refuse(request, key, "the rate limit of claims is exceeded")
        return self._create(request, key, self._build_claim())

    def run(
        self, request: claims.Request, act: Callable[[], outcomes.Outcome]
    ) -> outcomes.Outcome:
        """Claim a request, run it with `act` if granted, and write its final state.

        `act` sends the request to a backend server at most once.
        """
        claimed = self.claim(request)
        if not isinstance(claimed, claims.Granted):
            return claims.convert_to_outcome(claimed)
        permit = claimed.permit
        if not permit.start_run(self._clock()):
            self.finish(permit, ran=False)
            detail = "the deadline passed while the request was claimed"
            return outcomes.NotRun(outcomes.RefusalReason.DEADLINE, detail)
        ran: bool | None = None
        try:
            outcome = act()
            ran = claims.has_run(outcome)
        finally:
            self.finish(permit, ran)
        return outcome

    def look_up(
        self, request: claims.Request
    ) -> claims.AlreadyClaimed | claims.NotClaimed | claims.BadId:
        """Return the stored status of a request without running it."""
        bad_id = claims.check_id(request.id, self._wall_clock())
        if bad_id is not None:
            return bad_id
        key = claims.format_key(request.id, request.workspace)
        match self._client.get(key):
            case keyvalue.Found(entry):
                return self._describe_entry(entry)
            case keyvalue.Absent():
                return claims.AlreadyClaimed(
                    claims.RequestStatus.NOT_RUN, "no host has claimed it"
                )
            case failure:
                return claims.NotClaimed(False, f"lookup failed: {failure.detail}")

    def finish(self, permit: claims.RunPermit, ran: bool | None) -> None:
        """End a permit and write the final state; `flush` retries a failed write."""
        state = permit.end_run(ran)
        claim = msgspec.structs.replace(permit.claim, state=state)
        self._write_final_state(PendingWrite(permit.key, claim), permit.revision)

    def flush(self) -> None:
        """Retry the final states whose write failed; called at intervals."""
        for pending in tuple(self._pending_writes.values()):
            if not self._retry_final_state(pending):
                return

    def fence(self) -> None:
        """Reject ids issued up to now, plus the maximum clock skew.

        Called when the key-value service returned older data than before, which may
        lack the claims of requests that ran.
        """
        self._reject_ids_issued_until = self._wall_clock() + claims.MAX_CLOCK_SKEW_S

    @property
    def highest_revision(self) -> names.Revision:
        """The highest revision of the key-value service known to this host."""
        return self._highest_revision

    def record_peer_revision(self, revision: names.Revision) -> None:
        """Record a revision that a peer reported; ignore a lower, outdated one."""
        self._highest_revision = max(self._highest_revision, revision)

    def observe_revision(self, revision: names.Revision) -> None:
        """Record a revision that the service returned; call `fence` if it went back."""
        if revision < self._highest_revision:
            self.fence()
        self._highest_revision = max(self._highest_revision, revision)

    def _build_claim(self) -> claims.Claim:
        return claims.Claim(
            self._make_nonce(),
            self._member,
            claims.ClaimState.CLAIMED,
            self._wall_clock(),
        )

    def _create(
        self, request: claims.Request, key: str, claim: claims.Claim
    ) -> claims.ClaimResult:
        """Create the claim; the nonce identifies an own write whose reply was lost."""
        value = msgspec.json.encode(claim)
        expected = keyvalue.CREATE_ONLY
        known_revision = self._highest_revision
        may_be_written = False
        detail = "the claim changed before each of the attempts"
        for _ in range(MAX_ATTEMPTS):
            if self._clock() >= request.deadline:
                detail = "the deadline passed before it was claimed"
                break
            match self._client.put(key, value, expected):
                case keyvalue.Written(revision):
                    return self._grant(request, key, claim, revision, known_revision)
                case keyvalue.Conflict(None):
                    expected = keyvalue.CREATE_ONLY
                case keyvalue.Conflict(entry):
                    current = claims.decode_claim(entry)
                    if current is not None and current.nonce == claim.nonce:
                        return self._grant(
                            request, key, claim, entry.revision, known_revision
                        )
                    if (
                        current is None
                        or current.state is not claims.ClaimState.NOT_RUN
                    ):
                        return self._describe_entry(entry)
                    # Its host has written that the request will never run: replace it.
                    expected = entry.revision
                case keyvalue.UnknownWrite(detail):
                    may_be_written = True
                case failure:
                    detail = failure.detail
                    break
        if may_be_written:
            self._abandon(key, claim)
        detail = f"could not be claimed: {detail}"
        return self._refuse(request, key, detail, claim.nonce)

    def _grant(
        self,
        request: claims.Request,
        key: str,
        claim: claims.Claim,
        revision: names.Revision,
        known_revision: names.Revision,
    ) -> claims.Granted | claims.NotClaimed:
        """Return the permit unless the revision is not above `known_revision`.

        Such a revision shows that the service has lost later writes.
        """
        permit = claims.RunPermit(key, claim, revision, request.deadline)
        if revision <= known_revision:
            self.fence()
            self.finish(permit, ran=False)
            detail = "the key-value service returned older data than before"
            return claims.NotClaimed(not request.is_resent, detail)
        self._highest_revision = max(self._highest_revision, revision)
        return claims.Granted(permit)

    def _refuse(
        self, request: claims.Request, key: str, detail: str, nonce: str = ""
    ) -> claims.AlreadyClaimed | claims.NotClaimed:
        """Read the claim and return its status, as another host may have run the id.

        A claim with the own `nonce` was abandoned, so the request did not run.
        """
        match self._client.get(key):
            case keyvalue.Found(entry):
                claim = claims.decode_claim(entry)
                if claim is not None and claim.nonce == nonce:
                    return claims.NotClaimed(True, detail)
                return self._describe_entry(entry)
            case keyvalue.Absent():
                return claims.NotClaimed(True, detail)
            case _:
                # An id that is sent for the first time can't have run anywhere.
                return claims.NotClaimed(not request.is_resent, detail)

    def _describe_entry(self, entry: keyvalue.Entry) -> claims.AlreadyClaimed:
        claim = claims.decode_claim(entry)
        if claim is None:
            return claims.AlreadyClaimed(
                claims.RequestStatus.UNKNOWN, "its claim can't be decoded"
            )
        return claims.get_claim_status(claim, self._is_alive)

    def _abandon(self, key: str, claim: claims.Claim) -> None:
        """Write that the request did not run, as its claim may have been stored."""
        final = msgspec.structs.replace(claim, state=claims.ClaimState.NOT_RUN)
        self._retry_final_state(PendingWrite(key, final))

    def _write_final_state(
        self, pending: PendingWrite, expected: names.Revision
    ) -> bool:
        value = msgspec.json.encode(pending.claim)
        match self._client.put(pending.key, value, expected):
            case keyvalue.Written():
                self._pending_writes.pop(pending.key, None)
                return True
            case keyvalue.Conflict():
                # Already written by a call whose reply was lost, or replaced.
                return self._retry_final_state(pending)
            case _:
                self._queue_retry(pending)
                return False

    def _retry_final_state(self, pending: PendingWrite) -> bool:
        """Read the stored claim and write the final state if still needed."""
        match self._client.get(pending.key):
            case keyvalue.Absent():
                return self._write_final_state(pending, keyvalue.CREATE_ONLY)
            case keyvalue.Found(entry):
                if claims.needs_final_state(claims.decode_claim(entry), pending.claim):
                    return self._write_final_state(pending, entry.revision)
                self._pending_writes.pop(pending.key, None)
                return True
            case _:
                self._queue_retry(pending)
                return False

    def _queue_retry(self, pending: PendingWrite) -> None:
        self._pending_writes[pending.key] = pending
        if len(self._pending_writes) > MAX_PENDING_WRITES:
            self._pending_writes.popitem(last=False)
            self.dropped_writes += 1


class Sweeper:
    """Deletes the claims of ids that every host rejects as too old.

    It starts with ids issued `2 * MAX_ID_AGE_S` before its start; older claims stay.
    It needs a budget of its own, as one sweeper deletes the claims of the whole fleet.
    """

    def __init__(
        self, client: keyvalue.Client, budget: claims.WriteBudget, started_at: float
    ) -> None:
        self._client = client
        self._budget = budget
        self._next_slot_start = started_at - 2 * claims.MAX_ID_AGE_S

    def sweep(self, now: float, wall_now: float) -> int:
        """Delete expired claims within the budget; return how many were deleted.

        Called at intervals of at most `TIME_SLOT_S` by one host. Calls by several
        hosts are safe.
        """
        deleted_count = 0
        delete_before = wall_now - claims.MAX_ID_AGE_S - 2 * claims.MAX_CLOCK_SKEW_S
        for _ in range(MAX_SLOTS_PER_SWEEP):
            if self._next_slot_start + claims.TIME_SLOT_S > delete_before:
                break
            count = self._sweep_slot(
                claims.format_slot_prefix(self._next_slot_start), now
            )
            if count is None:
                return deleted_count
            deleted_count += count
            self._next_slot_start += claims.TIME_SLOT_S
        return deleted_count

    def _sweep_slot(self, prefix: str, now: float) -> int | None:
        """Delete the claims of a time slot; return None if some are left."""
        listed = self._client.list(prefix)
        if not isinstance(listed, keyvalue.Listed):
            return None
        for entry in listed.entries:
            if not self._budget.try_spend(1, now):
                return None
            deleted = self._client.delete(entry.key, entry.revision)
            if not isinstance(deleted, keyvalue.Written):
                return None
        return len(listed.entries)


class ClaimMaintenance:
    """Runs the task that retries writes, sets the rate limit and deletes old claims.

    `list_members` returns the live members, including this one. They share
    `MAX_CLAIM_WRITES_PER_S` equally. One of them, chosen by rendezvous hashing,
    deletes expired claims.
    """

    def __init__(
        self,
        member: names.MemberId,
        claimant: Claimant,
        sweeper: Sweeper,
        budget: claims.WriteBudget,
        list_members: Callable[[], Iterable[names.MemberId]],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._member = member
        self._claimant = claimant
        self._sweeper = sweeper
        self._budget = budget
        self._list_members = list_members
        self._clock = clock
        self._wall_clock = wall_clock
        self._task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the task."""
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop the task."""
        if self._task is not None:
            self._task.kill()

    def run_once(self) -> None:
        """Run one round of maintenance; the task calls this at intervals."""
        members = tuple(self._list_members())
        self._budget.set_share(MAX_CLAIM_WRITES_PER_S, len(members))
        self._claimant.flush()
        if self._member in propagation.choose_watchers(SWEEPER_GROUP, members, 1):
            self._sweeper.sweep(self._clock(), self._wall_clock())

    def _run(self) -> None:
        while True:
            self.run_once()
            eventlet.sleep(MAINTENANCE_INTERVAL_S)


def make_claimant(
    member: names.MemberId,
    client: keyvalue.Client,
    budget: claims.WriteBudget,
    is_alive: Callable[[names.MemberId], bool],
) -> Claimant:
    """Return a claimant that uses the clocks of this process and random nonces."""
    return Claimant(
        member,
        client,
        budget,
        is_alive,
        time.monotonic,
        time.time,
        lambda: uuid.uuid4().hex,
    )


def make_claim_maintenance(
    member: names.MemberId,
    client: keyvalue.Client,
    claimant: Claimant,
    budget: claims.WriteBudget,
    list_members: Callable[[], Iterable[names.MemberId]],
) -> ClaimMaintenance:
    """Return the maintenance of a claimant, using the clocks of this process.

    Claims and deletions have separate budgets. A claim is charged as
    `WRITES_PER_CLAIM` writes and a deletion as one.
    """
    deletion_budget = claims.WriteBudget(
        MAX_CLAIM_WRITES_PER_S / claims.WRITES_PER_CLAIM
    )
    sweeper = Sweeper(client, deletion_budget, time.time())
    return ClaimMaintenance(
        member, claimant, sweeper, budget, list_members, time.monotonic, time.time
    )
