"""How requests are decided by the quota of their workspace."""

import dataclasses
import enum

from corianderrill import names
from corianderrill.gateway import aggregators, quota_ledger


class Decision(enum.Enum):
    """How a request was decided; the values are reasons in logs and metrics."""

    LEASE = "lease"
    TOKEN = "token"
    OVER_QUOTA = "over-quota"
    LESSOR_UNKNOWN = "quota-lessor-unknown"
    LESSOR_UNREACHABLE = "quota-lessor-unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A request that may run, and what it takes of the quota of its workspace.

    `key` is the slot of the lessor that admitted it, None if a lease did. `term` is the
    ledger of its token, empty if it took none that could go back.
    """

    workspace: names.WorkspaceName
    admitted_at: float
    key: aggregators.SlotKey | None = None
    term: quota_ledger.Term = quota_ledger.Term("")


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request may not run, and when it may return."""

    status: int
    decision: Decision
    retry_after_s: float


Verdict = Admission | Refusal
