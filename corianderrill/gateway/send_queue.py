"""The requests that wait for a connection to one replica, and how many may be sent.

A replica serves its requests in the order of their arrival, so what waits there can no
longer be reordered. When its replies become slow, a host sends it fewer requests at
once and keeps the others in its own queue, in the order of `send_order`.
"""

import collections
import dataclasses
import math
from typing import Protocol

from corianderrill import names
from corianderrill.gateway import send_order

# A reply this many times slower than expected shows that requests queue at the replica.
CONTENTION_LATENCY_RATIO = 2.0
DECREASE_FACTOR = 0.7


class QueuedRequest(Protocol):
    """A request that can be queued."""

    def get_urgency(self, now: float) -> send_order.Urgency:
        """Return what decides at a time when the request is sent."""

    def may_send(self) -> bool:
        """Return whether the server still wants the request."""


class SendQueue:
    """Requests in the order in which they are sent."""

    def __init__(self) -> None:
        self._requests: list[QueuedRequest] = []
        self._order = send_order.SendOrder()

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: QueuedRequest) -> None:
        """Add a request."""
        self._requests.append(request)

    def discard(self, request: QueuedRequest) -> None:
        """Remove a request, if it is queued."""
        if request in self._requests:
            self._requests.remove(request)

    def take_unsendable(self) -> list[QueuedRequest]:
        """Remove and return the requests that the server does not want any more."""
        taken = [request for request in self._requests if not request.may_send()]
        self._requests = [r for r in self._requests if r not in taken]
        return taken

    def pop(self, now: float) -> QueuedRequest:
        """Remove and return the request to send next; the oldest of equal ones."""
        urgencies = [request.get_urgency(now) for request in self._requests]
        return self._requests.pop(self._order.choose(urgencies))

    def count_by_workspace(
        self, now: float
    ) -> collections.Counter[names.WorkspaceName | None]:
        """Return how many requests of each workspace are queued."""
        return collections.Counter(
            request.get_urgency(now).rank.workspace for request in self._requests
        )


@dataclasses.dataclass(slots=True)
class ConcurrencyLimit:
    """How many requests a host sends to one replica at once.

    The limit falls by a factor with each slow reply and each refusal, and grows by one
    for as many prompt replies as it allows requests (additive increase, multiplicative
    decrease). It starts unlimited: the number of connections bounds it.
    """

    min_limit: float = 1.0
    limit: float = math.inf

    def allows(self, pending: int) -> bool:
        """Return whether one more request may be sent while `pending` are."""
        return pending < max(self.limit, self.min_limit)

    def record_latency(self, ratio: float, pending: int) -> None:
        """Adapt to a reply; `ratio` is its latency divided by the expected one.

        `pending` is how many requests were sent and not answered before this reply.
        """
        if ratio > CONTENTION_LATENCY_RATIO:
            self._decrease(pending)
        elif math.isfinite(self.limit):
            self.limit += 1.0 / self.limit

    def record_refusal(self, pending: int) -> None:
        """Adapt to a refusal."""
        self._decrease(pending)

    def _decrease(self, pending: int) -> None:
        current = min(self.limit, max(pending, 1))
        self.limit = max(DECREASE_FACTOR * current, self.min_limit)
