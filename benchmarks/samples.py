"""What the load generator is given and what it returns."""

import msgspec

from benchmarks import answers, arrivals
from corianderrill import hostlist


class LoadPlan(msgspec.Struct):
    """What to send, to whom, and when; `starts_at` is on the monotonic clock."""

    starts_at: float
    hosts: tuple[str, ...]
    arrivals: tuple[arrivals.Arrival, ...]
    fleets: tuple[str, ...]
    seed: int
    versions: dict[str, tuple[bool, ...]] = {}


class Sample(msgspec.Struct):
    """What became of one request. Times in seconds from the start of the run.

    `coverage` is the share that the answer covers, 0 where there is no answer.
    """

    at: float
    sent_at: float
    done_at: float
    request_id: str
    workspace: str
    deadline_s: float
    host: int
    outcome: str
    record_key: str = ""
    reason: str = ""
    coverage: float = 0.0
    revision: int = 0
    missing: tuple[str, ...] = ()
    breaches: tuple[answers.Breach, ...] = ()


class BarePlan(msgspec.Struct):
    """What the bare client sends: `queries` times one sub-request to each server."""

    servers: tuple[hostlist.BackendServer, ...]
    filters: dict[str, str]
    queries: int
    concurrency: int
