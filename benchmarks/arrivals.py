"""Load that is fixed beforehand: when each request is due, and what it asks."""

import itertools
import random
from collections.abc import Iterator, Sequence

import msgspec

from corianderrill import names
from corianderrill.standins import records

DEADLINE_MS = 1_000.0


class Phase(msgspec.Struct, frozen=True):
    """A stretch of load whose rate changes evenly; rates in queries a second."""

    seconds: float
    from_qps: float
    to_qps: float

    def rate_at(self, elapsed_s: float) -> float:
        """Return the rate at a time since the start of the phase."""
        share = elapsed_s / self.seconds
        return self.from_qps + (self.to_qps - self.from_qps) * share


class Source(msgspec.Struct, frozen=True):
    """A workspace and its weight in the load, at the base rate and at the peak."""

    workspace: str
    weight: float
    peak_weight: float | None = None


class Question(msgspec.Struct, frozen=True):
    """One query, with what a checker needs to know its true answer.

    `record_key` is the key of the row that a booking writes, empty for a query.
    """

    workspace: str
    template: str
    arguments: dict[str, str]
    services: tuple[str, ...]
    filters: dict[str, str]
    record_key: str = ""


class Arrival(msgspec.Struct, frozen=True):
    """A request with its due time in seconds from the start of the run."""

    at: float
    request_id: str
    question: Question
    deadline_ms: float = DEADLINE_MS
    host: int | None = None


def plan_arrivals(
    rng: random.Random, phases: Sequence[Phase], sources: Sequence[Source]
) -> tuple[Arrival, ...]:
    """Return Poisson arrivals (thinning, Lewis and Shedler, 1979)."""
    peak_qps = max(max(phase.from_qps, phase.to_qps) for phase in phases)
    base_qps = phases[0].from_qps
    numbers = itertools.count(1)
    return tuple(
        Arrival(
            at,
            f"load-{next(numbers)}",
            draw_question(rng, draw_source(rng, sources, rate > 1.5 * base_qps)),
        )
        for at, rate in draw_times(rng, phases, peak_qps)
    )


def draw_times(
    rng: random.Random, phases: Sequence[Phase], peak_qps: float
) -> Iterator[tuple[float, float]]:
    """Yield the due times and the rate in force at each."""
    start = 0.0
    for phase in phases:
        elapsed = rng.expovariate(peak_qps)
        while elapsed < phase.seconds:
            rate = phase.rate_at(elapsed)
            if rng.random() * peak_qps < rate:
                yield start + elapsed, rate
            elapsed += rng.expovariate(peak_qps)
        start += phase.seconds


def draw_source(rng: random.Random, sources: Sequence[Source], is_peak: bool) -> str:
    """Return the workspace of one request."""
    weights = [
        source.peak_weight
        if is_peak and source.peak_weight is not None
        else source.weight
        for source in sources
    ]
    return rng.choices(sources, weights)[0].workspace


def draw_question(rng: random.Random, workspace: str) -> Question:
    """Return a query over the 25 shards of two services."""
    fleet = names.FleetName(workspace.partition("/")[0])
    template, fields = QUESTIONS[fleet]
    filters = {field: rng.choice(values) for field, values in fields.items()}
    services = (f"{fleet}/lookup", f"{fleet}/intake")
    return Question(workspace, template, filters, services, filters)


def make_booking(workspace: str, number: int) -> Question:
    """Return a booking, which is not idempotent."""
    fleet = workspace.partition("/")[0]
    reference = f"booking-{number}"
    arguments = {"reference": reference, "subject": f"order {number}"}
    services = (f"{fleet}/desk",)
    return Question(workspace, "book", arguments, services, {}, reference)


QUESTIONS = {
    "gantry": (
        "permits",
        {"council": records.COUNCILS, "state": records.PERMIT_STATES},
    ),
    "rongitoitlus": (
        "lots",
        {"train": records.TRAINS, "item": records.GOODS},
    ),
}


def extend_deadline(arrival: Arrival, deadline_ms: float) -> Arrival:
    """Return an arrival with another deadline."""
    return msgspec.structs.replace(arrival, deadline_ms=deadline_ms)
