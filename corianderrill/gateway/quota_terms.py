"""What the quota of a workspace allows over all hosts, and how that is divided.

In each window, all hosts together may execute `requests_per_s` times the window and
`burst` requests, and `excess` more. The quota is divided between the bucket of the
quota lessor and the quota leases. The excess pays for what the hosts can't know of each
other: the requests that a former quota lessor admitted, and more of those that hosts
admit without asking.
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
# The share of the quota itself that is lent in quota leases. A host that is cut off
# from the quota lessor has only its lease, so the leases have to cover most of the
# usual demand; the rest is for demand that moves faster than leases do.
LEASED_QUOTA_SHARE = 0.35
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
        burst = (1.0 - LEASED_QUOTA_SHARE) * self.burst
        return max(burst, 1.0) + START_SHARE * self.excess

    @property
    def refill_per_s(self) -> float:
        """How many tokens the bucket of the quota lessor earns in a second."""
        per_s = (1.0 - LEASED_QUOTA_SHARE) * self.requests_per_s
        return per_s + START_SHARE * self.excess / self.window_s

    @property
    def leased(self) -> int:
        """How many requests a window all quota leases together allow."""
        quota = self.requests_per_s * self.window_s + self.burst
        return math.floor(LOCAL_SHARE * self.excess + LEASED_QUOTA_SHARE * quota)


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
