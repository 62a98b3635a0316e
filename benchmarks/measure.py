"""Measures the policy against a baseline: `python -m benchmarks.measure SCENARIO`.

The last line of output is one JSON object; lines before it show each run.
"""

import argparse
import functools
import json
import os
import pathlib
import sys
import tempfile
import time

import msgspec

from benchmarks import processes, rig, samples, scenarios, summary
from corianderrill import operators
from corianderrill.standins import deployments

START_DELAY_S = 2.0
DRAIN_S = 0.5
RESULT_WITHIN_S = 60.0
DEFAULT_SEEDS = (1, 2, 3)
DEFAULT_SECONDS = 15.0
NAMES = ("steady", "crest", "slowed", "slowed-apart", "lost", "versions")

# Routing and limits of the entry hosts: the settings by default, and the baseline.
POLICIES = {
    "policy": ({"policy": "adaptive"}, {}),
    "baseline": ({"policy": "fixed"}, {"mode": "alone"}),
}


def main() -> int:
    """Run a scenario and print its figures."""
    processes.end_on_sigterm()
    options = parse_arguments()
    runs: dict[str, list[summary.Run]] = {name: [] for name in options.policies}
    fairness: dict[str, list[dict]] = {name: [] for name in options.policies}
    for seed in options.seeds:
        for policy in options.policies:
            scenario = scenarios.build(options.scenario, seed, options.seconds)
            done = run_once(scenario, seed, policy)
            runs[policy].append(done)
            report(
                f"{options.scenario} seed {seed} {policy}", summary.summarize([done])
            )
            if scenario.steps:
                fairness[policy].append(measure_crest(scenario, done))
                report("crest", fairness[policy][-1])
    result = {"scenario": options.scenario, "seeds": list(options.seeds)}
    for policy, done in runs.items():
        result[policy] = summary.summarize(done)
        if fairness[policy]:
            result[policy]["crest"] = fairness[policy]
    print(json.dumps(result))
    return 0


def run_once(scenario: scenarios.Scenario, seed: int, policy: str) -> summary.Run:
    """Run a scenario once on processes of its own."""
    routing, limits = POLICIES[policy]
    shape = rig.Shape(
        shown=(deployments.GANTRY,),
        seed=seed,
        routing=routing,
        limits=limits,
        service_s=scenario.service_s,
        load_lag_s=scenario.load_lag_s,
        workspaces=scenario.workspaces,
    )
    with rig.Rig(shape) as started, tempfile.TemporaryDirectory() as folder:
        cpu_before = started.read_cpu_s()
        starts_at = time.monotonic() + START_DELAY_S
        plan = samples.LoadPlan(
            starts_at=starts_at,
            hosts=tuple(str(host.callers) for host in started.hosts),
            arrivals=scenario.arrivals,
            fleets=(deployments.GANTRY.fleet,),
            seed=seed,
            versions={deployments.GANTRY.fleet: scenario.versions},
        )
        child = start_load(plan, pathlib.Path(folder))
        try:
            drive(started, scenario, starts_at)
            taken = wait_for_samples(child, plan, pathlib.Path(folder))
        finally:
            child.kill()
        time.sleep(DRAIN_S)
        explain(started, taken, scenario.window)
        return summary.Run(
            samples=taken,
            totals=summary.add_totals(started.read_totals()),
            window=scenario.window,
            cpu_s={
                kind: used - cpu_before[kind]
                for kind, used in started.read_cpu_s().items()
            },
            elapsed_s=time.monotonic() - starts_at,
            load_average=os.getloadavg()[0],
        )


def explain(
    started: rig.Rig, taken: tuple[samples.Sample, ...], window: tuple[float, float]
) -> None:
    """Write the time line of the slowest query of a run to the standard error."""
    counted = [sample for sample in taken if window[0] <= sample.at]
    slowest = max(counted, key=lambda sample: sample.done_at - sample.at)
    host = started.hosts[slowest.host]
    path = f"{operators.TIMELINE_PATH}?request={slowest.request_id}"
    text = started.read_operators(host, path).decode(errors="replace")
    print(f"slowest, {slowest}: {text}", file=sys.stderr, flush=True)


def start_load(plan: samples.LoadPlan, folder: pathlib.Path) -> processes.Child:
    """Start the load generator on a plan."""
    plan_file, result_file = folder / "plan.json", folder / "samples.json"
    plan_file.write_bytes(msgspec.json.encode(plan))
    arguments = ["benchmarks.load", str(plan_file), str(result_file)]
    return processes.Child("load", arguments, folder / "load.log")


def wait_for_samples(
    child: processes.Child, plan: samples.LoadPlan, folder: pathlib.Path
) -> tuple[samples.Sample, ...]:
    """Wait for the end of the load and return its samples."""
    left_s = plan.starts_at + plan.arrivals[-1].at - time.monotonic()
    if child.wait(max(0.0, left_s) + RESULT_WITHIN_S) != 0:
        raise processes.StartError(f"the load failed:\n{child.read_log()}")
    return msgspec.json.decode(
        (folder / "samples.json").read_bytes(), type=tuple[samples.Sample, ...]
    )


def drive(started: rig.Rig, scenario: scenarios.Scenario, starts_at: float) -> None:
    """Carry out the events of a scenario at their times."""
    steps = [step for event in scenario.events for step in list_steps(started, event)]
    for at, step in sorted(steps, key=lambda pair: pair[0]):
        time.sleep(max(0.0, starts_at + at - time.monotonic()))
        step()


def list_steps(started: rig.Rig, event: scenarios.Event):
    """Yield what to do for an event, and when."""
    match event:
        case scenarios.SetFaults(at, command):
            yield at, functools.partial(started.command_servers, command)
        case scenarios.AddVersion(at, repartition):
            fleet = deployments.GANTRY.fleet
            yield at, functools.partial(started.add_version, fleet, repartition)
        case scenarios.KillServers(at, hosts, unlist_at):
            yield at, functools.partial(started.kill_servers, hosts)
            yield unlist_at, functools.partial(started.unlist_servers, hosts)


def measure_crest(scenario: scenarios.Scenario, done: summary.Run) -> dict[str, object]:
    """Compare the crest with the best steady step, and the workspaces."""
    steps = [
        summary.measure_goodput(
            [sample for sample in done.samples if low <= sample.at < high], high - low
        )
        for low, high in scenario.steps
    ]
    window_s = done.window[1] - done.window[0]
    goodput = summary.measure_goodput(done.counted, window_s)
    return {
        "steady_qps": [round(step, 2) for step in steps],
        "crest_qps": round(goodput, 2),
        "of_best_steady": round(goodput / max(steps), 3) if max(steps) else None,
        **summary.measure_fairness(done.counted, window_s),
    }


def report(title: str, figures: dict[str, object]) -> None:
    """Print one line of figures for the reader."""
    print(f"{title}: {json.dumps(figures)}", flush=True)


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=NAMES)
    parser.add_argument("--seeds", type=parse_seeds, default=DEFAULT_SEEDS)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument(
        "--policies", type=lambda text: text.split(","), default=list(POLICIES)
    )
    return parser.parse_args()


def parse_seeds(text: str) -> tuple[int, ...]:
    """Return the seeds of `1,2,3`."""
    return tuple(int(part) for part in text.split(","))


if __name__ == "__main__":
    sys.exit(main())
