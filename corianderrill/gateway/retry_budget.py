"""Retry budget: bounds the extra attempts (retries and hedges) to each service.

In a sliding window, all hosts together may send extra attempts for a ratio of the
requests to a service, plus a fixed number, the slack. Each host counts only the
requests that it received itself and uses its share of the slack, so that the bound over
all hosts holds for any split of the load. The number of hosts is derived from the
slack, which the platform sizes by it. A host that has just started may have spent its
share before a restart.

A part of the slack belongs to the aggregator slots, since aggregators send most
sub-requests. A host uses that of its slot only while its lease is certain to last, and
not in the first window, in which the slot's last holder may have spent it.
"""

import dataclasses
import math

from corianderrill import names
from corianderrill.gateway import sliding_counter

WINDOW_S = 10.0
BUCKET_S = 1.0
# Each host uses only this share of the allowed ratio: every host that receives a
# request counts it, but callers count it only once.
RATIO_SAFETY_FACTOR = 0.85
# The platform sizes the slack as this base plus a number for each host.
SLACK_BASE = 40.0
SLACK_PER_HOST = 2.0
MIN_HOSTS = 4.0
# Leaves room for hosts that are added and for those that restart.
SLACK_SAFETY_FACTOR = 0.9
# The share of the slack that is divided among the aggregator slots, on sites with them.
SLOT_SLACK_SHARE = 0.4
# Maximum slack, in attempts, in the first window after the host starts, which may still
# contain attempts from before a restart. It is below 1, so that the slack alone allows
# no attempt.
MAX_STARTUP_SLACK = 0.25


def _build_counter() -> sliding_counter.SlidingCounter:
    return sliding_counter.SlidingCounter(WINDOW_S + BUCKET_S, BUCKET_S)


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Limits the extra attempts that this host sends to each service.

    `ratio` is the number of extra attempts allowed per request. `host_slack` is this
    host's share of the slack, allowed in addition in each window, `slot_slack` that of
    an aggregator slot. `started_at` is when the host started.
    """

    ratio: float
    host_slack: float
    started_at: float
    slot_slack: float = 0.0
    _slot_from: float = math.inf
    _slot_until: float = -math.inf
    denied_count: int = 0
    _requests: sliding_counter.SlidingCounter = dataclasses.field(
        default_factory=_build_counter
    )
    _extra_attempts: sliding_counter.SlidingCounter = dataclasses.field(
        default_factory=_build_counter
    )

    def apply_bounds(
        self, retry_ratio: float, retry_slack: float, slot_count: int = 0
    ) -> None:
        """Apply new bounds over all hosts; the counts of the window stay.

        `slot_count` is the number of aggregator slots of the site, 0 without them.
        """
        self.ratio = retry_ratio * RATIO_SAFETY_FACTOR
        usable_slack = SLACK_SAFETY_FACTOR * retry_slack
        slots_slack = SLOT_SLACK_SHARE * usable_slack if slot_count else 0.0
        self.slot_slack = slots_slack / max(slot_count, 1)
        hosts_slack = usable_slack - slots_slack
        self.host_slack = hosts_slack / estimate_host_count(retry_slack)

    def take_slot(self, now: float) -> None:
        """Prepare to use the slack of an aggregator slot.

        Its last holder has used it until `now` at most.
        """
        self._slot_from = now + WINDOW_S + BUCKET_S
        self._slot_until = -math.inf

    def extend_slot(self, until: float) -> None:
        """Allow the slack of the slot until the lease may have ended."""
        self._slot_until = until

    def lose_slot(self) -> None:
        """Use the slack of the slot no longer."""
        self._slot_until = -math.inf

    def record_requests(
        self, services: tuple[names.ServiceName, ...], now: float
    ) -> None:
        """Record one request to each of these services."""
        self._requests.add(services, now)
        # The buckets of both counters begin and expire at the same times.
        self._extra_attempts.advance(now)

    def try_spend(self, service: names.ServiceName, now: float) -> bool:
        """Spend one extra attempt; return False if the budget is exhausted."""
        if not self.can_spend(service, now):
            self.denied_count += 1
            return False
        self._extra_attempts.add((service,), now)
        return True

    def can_spend(self, service: names.ServiceName, now: float) -> bool:
        """Return whether the budget allows one more extra attempt."""
        host_slack = self.host_slack
        if now - self.started_at < WINDOW_S:
            host_slack = min(host_slack, MAX_STARTUP_SLACK)
        if self._slot_from <= now < self._slot_until:
            host_slack += self.slot_slack
        request_count = self._requests.count(service, now)
        max_extra_attempts = self.ratio * request_count + host_slack
        return self._extra_attempts.count(service, now) + 1 <= max_extra_attempts


def estimate_host_count(retry_slack: float) -> float:
    """Return the number of hosts that the platform sized the slack for."""
    return max((retry_slack - SLACK_BASE) / SLACK_PER_HOST, MIN_HOSTS)


def build_retry_budget(
    retry_ratio: float, retry_slack: float, now: float
) -> RetryBudget:
    """Return the retry budget of one host from the bounds over all hosts."""
    budget = RetryBudget(0.0, 0.0, now)
    budget.apply_bounds(retry_ratio, retry_slack)
    return budget
