"""A long run with random faults: `python -m benchmarks.soak --seed N --seconds S`.

Both deployments run in processes of their own under load. A checker outside sees
every request, every run at a backend server and every answer. The last line of
output is one JSON object; the exit status is 1 where a promise was broken.
"""

import argparse
import collections
import concurrent.futures
import contextlib
import dataclasses
import functools
import heapq
import itertools
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Iterator

import msgspec

from benchmarks import (
    arrivals,
    history,
    measure,
    processes,
    rig,
    samples,
    schedule,
    summary,
)
from corianderrill import clocks, configuration, keyvalue, names, publishing
from corianderrill.standins import control, deployments, examples
from corianderrill.standins import keyvalue as keyvalue_standin

QUERY_QPS = 15.0
BOOKING_QPS = 1.0
BOOKING_DEADLINE_MS = 2_000.0
SECOND_TRY_S = (0.0, 1.5)
SERVICE_S = 0.012
LOAD_LAG_S = 0.6
LEAVE_WITHIN_S = 20.0
PLATFORM_CALL_S = 1.0
SETTLE_S = 0.5
EXAMPLES_SHOWN = 20
DEFAULT_ENTRY_HOSTS = 9

Action = Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Step:
    """What the driver does at a time of the run."""

    at: float
    number: int
    action: Action = dataclasses.field(compare=False)


class Driver:
    """Carries out a schedule on a rig and notes what it did."""

    def __init__(self, started: rig.Rig, starts_at: float):
        self.stops: list[history.Stop] = []
        self.races: list[history.Race] = []
        self.failures: list[str] = []
        self._rig = started
        self._starts_at = starts_at
        self._numbers = itertools.count()
        self._steps: list[Step] = []
        self._threads = concurrent.futures.ThreadPoolExecutor(8)
        self._client = keyvalue.connect(started.platform.key_value, PLATFORM_CALL_S)

    def run(self, faults: tuple[schedule.Fault, ...]) -> None:
        """Carry out every fault, and take each back at its end."""
        for fault in faults:
            for at, action in self._list_steps(fault):
                self._add(at, action)
        while self._steps:
            step = heapq.heappop(self._steps)
            time.sleep(max(0.0, self._starts_at + step.at - time.monotonic()))
            self._carry_out(step)
        self._threads.shutdown()

    def _add(self, at: float, action: Action) -> None:
        heapq.heappush(self._steps, Step(at, next(self._numbers), action))

    def _carry_out(self, step: Step) -> None:
        try:
            step.action()
        except Exception as error:
            self.failures.append(f"{step.at:.2f} s: {step.action}: {error!r}")

    def _elapsed(self) -> float:
        return time.monotonic() - self._starts_at

    def _list_steps(self, fault: schedule.Fault) -> Iterator[tuple[float, Action]]:
        part = functools.partial
        match fault:
            case schedule.DisturbServers(at, until, faults):
                yield at, part(self._rig.command_servers, faults)
                calm = control.Faults(faults.patterns)
                yield until, part(self._rig.command_servers, calm)
            case schedule.KillServer(at, until, server):
                kill = control.Kill((server,))
                yield at, part(self._rig.command_servers, kill)
                yield until, part(self._rig.replace_server, server)
            case schedule.DrainServer(at, listed_at, until, server):
                drain = control.Faults((server,), draining=True)
                yield at, part(self._rig.command_servers, drain)
                yield listed_at, part(self._rig.list_leaving, server)
                yield until, part(self._rig.replace_server, server)
            case schedule.AddVersion(at, fleet, repartition):
                yield at, part(self._rig.add_version, fleet, repartition)
            case schedule.DisturbPlatform(at, until, faults):
                path = keyvalue_standin.FAULTS_PATH
                yield at, part(self._rig.send_platform, path, faults)
                calm = keyvalue_standin.Faults()
                yield until, part(self._rig.send_platform, path, calm)
            case schedule.RestorePlatform(at, revisions):
                yield at, part(self._restore_platform, revisions)
            case schedule.RaceOperators(at, number):
                yield at, part(self._threads.submit, self._race, number)
            case schedule.KillHost(at, until, number):
                yield at, part(self._kill_host, number, until)
            case schedule.PauseHost(at, until, number):
                yield at, part(self._pause_host, number, until)
            case schedule.LeaveHost(at, until, number):
                yield at, part(self._leave_host, number, until)

    def _restore_platform(self, revisions: int) -> None:
        listed = self._client.list(configuration.PREFIX)
        if isinstance(listed, keyvalue.Listed):
            revision = names.Revision(max(1, listed.revision - revisions))
            restore = keyvalue_standin.Restore(revision)
            self._rig.send_platform(keyvalue_standin.RESTORE_PATH, restore)

    def _kill_host(self, number: int, until: float) -> None:
        at = self._elapsed()
        host = self._rig.hosts[number]
        host.child.kill()
        self.stops.append(history.Stop(number, history.StopKind.KILLED, at, until))
        self._add(until, functools.partial(self._rig.restart_host, host))

    def _pause_host(self, number: int, until: float) -> None:
        child = self._rig.hosts[number].child
        kind = history.StopKind.PAUSED
        self.stops.append(history.Stop(number, kind, self._elapsed(), until))
        child.send_signal(signal.SIGSTOP)
        self._add(until, functools.partial(child.send_signal, signal.SIGCONT))

    def _leave_host(self, number: int, until: float) -> None:
        at = self._elapsed()
        host = self._rig.hosts[number]
        host.child.send_signal(signal.SIGTERM)
        self._add(until, functools.partial(self._end_leaving, number, at, until))

    def _end_leaving(self, number: int, at: float, until: float) -> None:
        host = self._rig.hosts[number]
        if host.child.is_running and until < at + LEAVE_WITHIN_S:
            later = until + 1.0
            self._add(later, functools.partial(self._end_leaving, number, at, later))
            return
        exit_status = host.child.wait(0.0)
        host.child.kill()
        kind = history.StopKind.LEFT
        self.stops.append(history.Stop(number, kind, at, until, exit_status))
        self._rig.restart_host(host)

    def _race(self, number: int) -> None:
        at = self._elapsed()
        pair = [
            self._threads.submit(self._publish, f"race-{number}-{side}", side)
            for side in (1, 2)
        ]
        accepted = [
            outcome.version.revision
            for outcome in (each.result() for each in pair)
            if isinstance(outcome, publishing.Accepted)
        ]
        self.races.append(history.Race(at, tuple(accepted)))

    def _publish(self, change: str, side: int) -> publishing.Outcome:
        services = frozenset(
            service
            for deployment in deployments.DEPLOYMENTS
            for service in deployments.list_services(deployment)
        )
        client = keyvalue.connect(self._rig.platform.key_value, PLATFORM_CALL_S)
        template = msgspec_replace(examples.BOOK, deadline_ms=2_000 + side)
        action = publishing.Put(template)
        asked = publishing.Change(names.ChangeId(change), f"operator-{side}", action)
        return publishing.Publisher(client, services).submit(asked)


def msgspec_replace(template, **changes: object):
    """Return a template with some values replaced, whichever kind it is."""
    if dataclasses.is_dataclass(template):
        return dataclasses.replace(template, **changes)
    return msgspec.structs.replace(template, **changes)


def plan_load(
    seed: int, seconds: float, entry_hosts: int, starts_ms: int = 0
) -> tuple[arrivals.Arrival, ...]:
    """Return queries of both fleets, and bookings that are each sent twice.

    `starts_ms` is the start in milliseconds since 1970, for the ids of bookings.
    """
    rng = random.Random(f"soak-load/{seed}")
    sources = tuple(arrivals.Source(str(each), 1.0) for each in examples.WORKSPACES)
    phase = arrivals.Phase(seconds, QUERY_QPS, QUERY_QPS)
    queries = arrivals.plan_arrivals(rng, (phase,), sources)
    phase = arrivals.Phase(seconds, BOOKING_QPS, BOOKING_QPS)
    times = arrivals.draw_times(rng, (phase,), BOOKING_QPS)
    bookings = [
        each
        for number, (at, _) in enumerate(times)
        for each in plan_booking(rng, number, at, entry_hosts, starts_ms)
    ]
    return tuple(sorted([*queries, *bookings], key=lambda arrival: arrival.at))


def plan_booking(
    rng: random.Random, number: int, at: float, entry_hosts: int, starts_ms: int
) -> tuple[arrivals.Arrival, ...]:
    """Return the two tries of one booking, at two hosts."""
    workspace = str(rng.choice(examples.WORKSPACES))
    question = arrivals.make_booking(workspace, number)
    hosts = rng.sample(range(entry_hosts), 2)
    times = (at, at + rng.uniform(*SECOND_TRY_S))
    request_id = f"{starts_ms + int(at * 1000)}-booking{number:05}"
    return tuple(
        arrivals.Arrival(time_s, request_id, question, BOOKING_DEADLINE_MS, host)
        for time_s, host in zip(times, hosts, strict=True)
    )


def main() -> int:
    """Run one soak and print what was found."""
    processes.end_on_sigterm()
    options = parse_arguments()
    shown = tuple(
        dataclasses.replace(deployment, entry_hosts=options.hosts)
        for deployment in deployments.DEPLOYMENTS
    )
    faults = schedule.plan(options.seed, options.seconds, shown)
    result, seen = run(options, shown, faults)
    found = history.check(seen)
    result |= {
        "breaches": summary.count(each.breach for each in found),
        "examples": [f"{f.breach}: {f.detail}" for f in found[:EXAMPLES_SHOWN]],
    }
    for each in found:
        print(f"{each.breach}: {each.detail}")
    print(json.dumps(result))
    return 1 if found else 0


def run(
    options: argparse.Namespace,
    shown: tuple[deployments.Deployment, ...],
    faults: tuple[schedule.Fault, ...],
) -> tuple[dict[str, object], history.History]:
    """Carry out a schedule under load; return counts and the history."""
    shape = rig.Shape(
        shown=shown,
        seed=options.seed,
        routing={},
        limits={},
        service_s=SERVICE_S,
        load_lag_s=LOAD_LAG_S,
    )
    entry_hosts = sum(deployment.entry_hosts for deployment in shown)
    with contextlib.ExitStack() as stack:
        started = stack.enter_context(rig.Rig(shape))
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        plan = samples.LoadPlan(
            starts_at=time.monotonic() + measure.START_DELAY_S,
            hosts=tuple(str(host.callers) for host in started.hosts),
            arrivals=plan_load(
                options.seed, options.seconds, entry_hosts, clocks.read_wall_ms()
            ),
            fleets=tuple(deployment.fleet for deployment in shown),
            seed=options.seed,
            versions=schedule.list_repartitions(faults),
        )
        child = measure.start_load(plan, folder)
        stack.callback(child.kill)
        driver = Driver(started, plan.starts_at)
        driver.run(faults)
        taken = measure.wait_for_samples(child, plan, folder)
        time.sleep(SETTLE_S)
        seen = collect(started, driver, taken, plan.starts_at)
        result = describe(options, faults, driver, seen, started)
    return result, seen


def collect(
    started: rig.Rig,
    driver: Driver,
    taken: tuple[samples.Sample, ...],
    starts_at: float,
) -> history.History:
    """Return the history on the clock of the run."""
    seen = started.read_histories()
    return history.History(
        tries=taken,
        executions=tuple(
            history.Execution(run.server, run.request_id, run.key, run.at - starts_at)
            for each in seen
            for run in each.runs
        ),
        late_work=tuple(
            history.LateWork(
                work.server, work.leaving_since - starts_at, work.at - starts_at
            )
            for each in seen
            for work in each.late_work
        ),
        stops=tuple(driver.stops),
        races=tuple(
            msgspec.structs.replace(
                race, in_force_later=history.find_in_force(taken, race.at)
            )
            for race in driver.races
        ),
    )


def describe(
    options: argparse.Namespace,
    faults: tuple[schedule.Fault, ...],
    driver: Driver,
    seen: history.History,
    started: rig.Rig,
) -> dict[str, object]:
    """Return the counts of a run."""
    queries = [sample for sample in seen.tries if not sample.record_key]
    admitted = [sample for sample in queries if summary.is_admitted(sample)]
    bookings = [sample for sample in seen.tries if sample.record_key]
    kinds = collections.Counter(type(fault).__name__ for fault in faults)
    totals = summary.add_totals(started.read_totals())
    latency = summary.measure_percentiles(
        sample.done_at - sample.at
        for sample in queries
        if sample.outcome in summary.SERVED
    )
    return {
        "seed": options.seed,
        "seconds": options.seconds,
        "entry_hosts": len(started.hosts),
        "queries": len(queries),
        "query_outcomes": summary.count(sample.outcome for sample in queries),
        "coverage": summary.share(
            sum(sample.coverage for sample in admitted), len(admitted)
        ),
        "p50_ms": latency.p50,
        "p99_ms": latency.p99,
        "booking_tries": len(bookings),
        "booking_outcomes": summary.count(sample.outcome for sample in bookings),
        "not_run_reasons": summary.count(
            sample.reason for sample in seen.tries if sample.reason
        ),
        "executions": len(seen.executions),
        "faults": dict(kinds),
        "stops": summary.count(stop.kind.value for stop in seen.stops),
        "races": len(seen.races),
        "connections_over_cap": totals.connections_over_cap,
        "late_over_20_ms": sum(
            sample.done_at - sample.sent_at - sample.deadline_s > history.LATE_AFTER_S
            for sample in seen.tries
        ),
        "driver_failures": driver.failures,
    }


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument(
        "--hosts", type=int, default=DEFAULT_ENTRY_HOSTS, help="of each deployment"
    )
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
