"""The sub-requests of one query that aggregators send, and what they answered."""

import dataclasses
import itertools
from collections.abc import Sequence

from corianderrill.gateway import (
    attempts,
    delegation,
    delegation_messages,
    replica_selector,
    request_outcomes,
    shared_state,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The parts of an answer, some of them merged; `shards` are their positions."""

    signatures: list[str]
    bodies: list[bytes]
    shards: list[int]


class DelegatedSubRequests:
    """Delegates the sub-requests of a query, as far as its `mode` allows."""

    def __init__(
        self,
        owner: delegation.Owner,
        shared: shared_state.SharedState,
        selector: replica_selector.ReplicaSelector,
        progress: request_outcomes.Progress,
        mode: delegation.Mode,
    ) -> None:
        self._owner = owner
        self._shared = shared
        self._selector = selector
        self._progress = progress
        self._mode = mode
        self._delegations: list[delegation.Delegation] = []
        # Without answers that come after the outcome, while the response is built.
        self._answers: list[delegation_messages.Answer] = []

    def plan(self, now: float) -> list[delegation.Group]:
        """Return the groups of sub-requests that aggregators are to send."""
        sub_requests = self._progress.sub_requests
        match self._mode:
            case delegation.Mode.NOTHING:
                return []
            case delegation.Mode.WHOLE_QUERY:
                groups = delegation.plan_whole_query(self._shared, sub_requests, now)
                if groups:
                    return groups
        elsewhere = self._selector.list_in_other_zones(sub_requests, now)
        return delegation.plan_other_zones(self._shared, elsewhere, now)

    def start(self, group: delegation.Group) -> None:
        """Send a group to its aggregator."""
        max_left_out = self._progress.count_dispensable()
        for sub_request in group.sub_requests:
            sub_request.is_delegated = True
        min_parts = max(len(group.sub_requests) - max_left_out, 1)
        started = delegation.Delegation(self._owner, self._shared, group, min_parts)
        self._delegations.append(started)
        started.start()

    def take_answer(self, ended: delegation.Delegation) -> None:
        """Take the parts of an aggregator's answer; give up those that it lacks."""
        self._answers.append(ended.answer)
        for sub_request in ended.sub_requests:
            if sub_request.index in ended.answer.shards:
                sub_request.is_in_answer = True
                self._progress.record_part(sub_request)
            else:
                sub_request.lost_delegations += 1
                self._progress.mark_done(sub_request)

    def give_up(self, ended: delegation.Delegation) -> None:
        """Give up sub-requests for which the aggregator may have sent all attempts."""
        for sub_request in ended.sub_requests:
            sub_request.lost_delegations += 1
            self._progress.mark_done(sub_request)

    def cancel_after(self, delay_s: float) -> None:
        """Cancel the delegations that are still open after a delay."""
        for started in self._delegations:
            if started.outcome is None:
                self._shared.loop.call_later(delay_s, started.cancel)

    def collect_parts(self, sub_requests: Sequence[attempts.SubRequest]) -> Parts:
        """Return the parts that were received, from replicas and aggregators."""
        direct = [s for s in sub_requests if s.reply is not None]
        return Parts(
            signatures=[
                *(s.reply.signature for s in direct),
                *itertools.chain.from_iterable(a.signatures for a in self._answers),
            ],
            bodies=[*(s.reply.body for s in direct), *(a.body for a in self._answers)],
            shards=[s.index for s in sub_requests if s.has_part],
        )

    def release(self) -> None:
        """Drop the references to the query and its answers; the response was built."""
        self._owner = None
        self._answers = []
        self._delegations = []
