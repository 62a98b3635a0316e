"""What the quota of a workspace allows over all hosts, and how that is divided.

In each window, all hosts together may execute `requests_per_s` times the window and
`burst` requests, and `excess` more. The excess pays for what the hosts can't know of
each other: the requests that a former quota lessor admitted, and those that hosts admit
without asking.
"""

import dataclasses
import math

from corianderrill.gateway import routes
from corianderrill.platform import settings

# Shares of the excess. The rest is for requests that are delayed between their
# admission and the replica. The first share counts twice: it is what the bucket of a
# quota lessor holds above the burst, and what it earns in a window above the rate.
START_SHARE = 0.2
LOCAL_SHARE = 0.45
# How long a quota lease lasts, from the sending of the host's message.
LEASE_S = 10.0
# A new quota lessor has one token at once, and earns the others.
START_TOKENS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaTerms:
    """The quota of one workspace; times are in seconds."""

    requests_per_s: float
    burst: float
    window_s: float
    excess: float

    @property
    def capacity(self) -> float:
        """How many tokens the bucket of the quota lessor holds."""
        return max(self.burst, 1.0) + START_SHARE * self.excess

    @property
    def refill_per_s(self) -> float:
        """How many tokens the bucket of the quota lessor earns in a second."""
        return self.requests_per_s + START_SHARE * self.excess / self.window_s

    @property
    def leased(self) -> int:
        """How many requests a window all quota leases together allow."""
        return math.floor(LOCAL_SHARE * self.excess)


def build_terms(
    workspace: routes.Workspace, bounds: settings.QuotaBounds
) -> QuotaTerms | None:
    """Return the terms of a workspace; None if it has no limit."""
    if workspace.requests_per_s is None:
        return None
    requests = workspace.requests_per_s * bounds.window_s + workspace.burst
    return QuotaTerms(
        workspace.requests_per_s,
        workspace.burst,
        bounds.window_s,
        bounds.excess * requests + bounds.slack,
    )
