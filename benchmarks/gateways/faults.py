"""Faults of a run, drawn from a seed: what happens, to whom, from when to when.

Faults overlap and come in series; the last part of a run is left calm, so that
recovery shows.
"""

import dataclasses
import enum
import itertools
import random
from collections.abc import Callable

# Ends a fault that was begun.
Undo = Callable[[], None]


class Kind(enum.Enum):
    """What can go wrong."""

    HOST_PAUSED = "host-paused"
    HOST_KILLED = "host-killed"
    HOST_TERMINATED = "host-terminated"
    HOST_RELOADED = "host-reloaded"
    CALLERS_DELAYED = "callers-delayed"
    CALLERS_RESET = "callers-reset"
    STORE_DELAYED = "store-delayed"
    STORE_RESET = "store-reset"
    STORE_REPLIES_LOST = "store-replies-lost"
    STORE_SILENT = "store-silent"
    STORE_BUSY = "store-busy"
    STORE_LAPSED = "store-lapsed"
    STORE_FORGETFUL = "store-forgetful"
    STORE_GARBAGE = "store-garbage"
    REPLICA_DELAYED = "replica-delayed"
    REPLICA_RESET = "replica-reset"
    REPLICA_REPLIES_LOST = "replica-replies-lost"
    REPLICA_REQUESTS_LOST = "replica-requests-lost"
    REPLICA_SILENT = "replica-silent"
    REPLICA_CRASHED = "replica-crashed"
    REPLICA_REPLACED = "replica-replaced"
    REPLICA_SLOW = "replica-slow"
    REPLICA_REFUSING = "replica-refusing"
    REPLICA_FAILING = "replica-failing"
    ALL_SLOW = "all-slow"
    ALL_REFUSING = "all-refusing"
    ALL_FAILING = "all-failing"
    PUBLISHED = "published"
    CALLERS_LEAVE = "callers-leave"
    STORE_MUTED = "store-muted"
    REPLICA_MUTED = "replica-muted"
    REPLICA_LIMITED = "replica-limited"
    STORE_RESTORED = "store-restored"
    CRASHING_REQUEST = "crashing-request"
    REPLICA_ENDLESS = "replica-endless"
    REPLICA_REPEATING = "replica-repeating"
    REPLICA_ANNOUNCING = "replica-announcing"
    REPLICA_QUIET = "replica-quiet"
    STORE_WATCHES_SILENT = "store-watches-silent"
    CALLERS_SLOW = "callers-slow"
    HOST_CROSSED = "host-crossed"
    REPLICA_CUT = "replica-cut"
    STORE_CUT = "store-cut"
    STORE_STALE = "store-stale"
    STORE_REPLY_DROPPED = "store-reply-dropped"


# Shares of the run.
CALM_BEFORE = 0.15
CALM_AFTER = 0.3
MEAN_GAP_S = 0.8
SHORTEST_S = 0.2
LONGEST_S = 4.0
# Their bounds begin only some seconds after they did.
SPANS_S = {
    Kind.REPLICA_LIMITED: (6.0, 14.0),
    Kind.CRASHING_REQUEST: (8.0, 14.0),
    Kind.STORE_STALE: (6.0, 14.0),
    # Shorter than the time between probes, which would notice it.
    Kind.STORE_REPLY_DROPPED: (0.1, 0.4),
}
SERIES_CHANCE = 0.25
SERIES_LENGTHS = (2, 3, 4)
SERIES_GAP_S = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault; times in seconds since the begin of the run.

    `pick` chooses the target: its remainder by their number.
    """

    kind: Kind
    since_s: float
    until_s: float
    pick: int


def draw_faults(
    rng: random.Random, seconds: float, kinds: tuple[Kind, ...] = tuple(Kind)
) -> tuple[Fault, ...]:
    """Return the faults of a run, in order of their begin."""
    end_s = (1.0 - CALM_AFTER) * seconds
    at_s = CALM_BEFORE * seconds
    drawn: list[Fault] = []
    while at_s < end_s:
        drawn.extend(_draw_series(rng, at_s, end_s, rng.choice(kinds)))
        at_s += rng.expovariate(1.0 / MEAN_GAP_S)
    return tuple(sorted(drawn, key=lambda fault: fault.since_s))


def _draw_series(
    rng: random.Random, at_s: float, end_s: float, kind: Kind
) -> list[Fault]:
    count = rng.choice(SERIES_LENGTHS) if rng.random() < SERIES_CHANCE else 1
    begins = itertools.accumulate(
        (rng.random() * SERIES_GAP_S for _ in range(count - 1)), initial=at_s
    )
    span_s = SPANS_S.get(kind, (SHORTEST_S, LONGEST_S))
    return [
        Fault(
            kind,
            begin_s,
            min(begin_s + rng.uniform(*span_s), end_s),
            rng.randrange(1_000_000),
        )
        for begin_s in begins
        if begin_s < end_s
    ]


def do_nothing() -> None:
    """End a fault that was over at once."""
