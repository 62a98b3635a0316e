"""One run of the soak: its options, its report."""

import collections
import dataclasses
import json
import pathlib
import random
import sys
from typing import Annotated

import typer

from benchmarks.gateways import (
    checks,
    faults,
    findings,
    records,
    rig,
)

DIRECTORY = pathlib.Path("target/soak")
SHOWN_AT_MOST = 20
CRASHING_DESK_REPLICAS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one run showed."""

    seed: int
    seconds: float
    hosts: int
    asked: int
    served: int
    arrivals: int
    faults: dict[str, int]
    endings: dict[str, int]
    driver_lag_s: float
    broken: list[findings.Broken]


def run(
    seed: int,
    seconds: float,
    size: rig.Size,
    directory: pathlib.Path,
    kinds: tuple[faults.Kind, ...] = tuple(faults.Kind),
) -> Report:
    """Run the gateways among faults drawn from the seed; judge what was seen."""
    directory.mkdir(parents=True, exist_ok=True)
    for old in directory.glob("front-*"):
        old.unlink()
    plan = faults.draw_faults(random.Random(seed), seconds, kinds)
    if faults.Kind.CRASHING_REQUEST in kinds:
        # Else a request finds no replica left before it has crashed many.
        size = dataclasses.replace(size, desk_replicas=CRASHING_DESK_REPLICAS)
    started = rig.Rig(size, directory, random.Random(seed + 1))
    try:
        started.run(seconds, plan)
    finally:
        started.stop()
    history = started.history
    broken = checks.judge(history, started.setting)
    return Report(
        seed=seed,
        seconds=seconds,
        hosts=size.hosts,
        asked=len(history.asked),
        served=sum(asked.is_success for asked in history.asked),
        arrivals=len(history.arrivals),
        faults=dict(collections.Counter(fault.kind.value for fault in plan)),
        endings=_count_endings(history),
        driver_lag_s=round(started.lag_s, 3),
        broken=broken,
    )


def _count_endings(history: records.History) -> dict[str, int]:
    return dict(
        collections.Counter(
            str(asked.status)
            if asked.ending is records.Ending.ANSWERED
            else asked.ending.value
            for asked in history.asked
        )
    )


app = typer.Typer(add_completion=False)


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="Draws faults and load.")] = 1,
    seconds: Annotated[float, typer.Option(min=5.0, help="Length of the run.")] = 30.0,
    hosts: Annotated[int, typer.Option(min=1, max=300, help="Gateways.")] = 4,
    per_s: Annotated[float, typer.Option(min=1.0, help="Requests a second.")] = 30.0,
    aggregators: Annotated[
        bool, typer.Option(help="Let gateways delegate queries to aggregators.")
    ] = False,
    only: Annotated[
        list[faults.Kind] | None, typer.Option(help="Only faults of these kinds.")
    ] = None,
) -> None:
    """Run gateways among random faults; exit with 1 where a promise was broken."""
    directory = DIRECTORY / str(seed)
    print(f"seed {seed}: {seconds:.0f} s, logs in {directory}", file=sys.stderr)
    report = run(
        seed,
        seconds,
        rig.Size(hosts=hosts, per_s=per_s, has_aggregators=aggregators),
        directory,
        tuple(only or faults.Kind),
    )
    for broken in report.broken[:SHOWN_AT_MOST]:
        print(f"{broken.at_s:8.2f} s  {broken.check}: {broken.detail}", file=sys.stderr)
    print(json.dumps(dataclasses.asdict(report)))
    raise typer.Exit(1 if report.broken else 0)


def run_command() -> None:
    """Run the command line."""
    app()
