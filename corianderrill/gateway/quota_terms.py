"""What the quota of a workspace allows over all hosts, and how that is divided.

In each window, all hosts together may execute `requests_per_s` times the window and
`burst` requests, and `excess` more. The quota is divided between the token bucket of
the quota lessor and the quota leases. The excess covers what the hosts can't know of
each other: the requests that a former quota lessor admitted, and further requests that
hosts admit under their leases without asking.
"""

import dataclasses
import math

from corianderrill.gateway import routes
from corianderrill.platform import settings

# Shares of the excess. The bucket uses its share twice: it holds so much above its
# burst, and earns so much in a window above its rate. The remaining 0.15 is for
# requests that are delayed between their admission and the replica, and for the tokens
# that new lessors start with.
BUCKET_EXCESS_SHARE = 0.2
LEASED_EXCESS_SHARE = 0.45
# The share of the quota itself that is lent in quota leases; the bucket has the rest. A
# host that is cut off from the quota lessor has only its lease, so the leases have to
# cover most of the usual demand. The bucket serves demand that moves between hosts
# faster than leases.
LEASED_QUOTA_SHARE = 0.35
# How long a quota lease lasts, from the sending of the host's message.
LEASE_S = 10.0
# A new quota lessor can't know what its predecessor admitted, so it has one token at
# once and earns the others.
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
        # A bucket that can't hold one token would never grant any.
        return max(burst, 1.0) + BUCKET_EXCESS_SHARE * self.excess

    @property
    def refill_per_s(self) -> float:
        """How many tokens the bucket of the quota lessor earns in a second."""
        per_s = (1.0 - LEASED_QUOTA_SHARE) * self.requests_per_s
        return per_s + BUCKET_EXCESS_SHARE * self.excess / self.window_s

    @property
    def leased(self) -> int:
        """How many requests a window all quota leases together allow."""
        quota = self.requests_per_s * self.window_s + self.burst
        return math.floor(
            LEASED_EXCESS_SHARE * self.excess + LEASED_QUOTA_SHARE * quota
        )


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
