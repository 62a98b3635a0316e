"""Checks the history of a whole run: what was asked, answered, run and stopped.

Times are seconds from the start of the run. The answers' own checks are in
`answers`; the checks here need more than one answer.
"""

import enum
import itertools
from collections.abc import Iterable, Iterator

import msgspec

from benchmarks import samples

LEAVING_GRACE_S = 3.0
LATE_AFTER_S = 0.020
IN_FORCE_WITHIN_S = 5.0


class Breach(enum.Enum):
    """A promise that a history breaks."""

    RAN_TWICE = "ran-twice"
    FALSE_NOT_RUN = "false-not-run"
    FALSE_COMPLETE = "false-complete"
    WORK_AFTER_LEAVING = "work-after-leaving"
    REVISION_FELL = "revision-fell"
    CUT_OFF_BY_SHUTDOWN = "cut-off-by-shutdown"
    SHUTDOWN_FAILED = "shutdown-failed"
    CHANGE_LOST = "change-lost"
    BOTH_OPERATORS_WON = "both-operators-won"


class StopKind(enum.Enum):
    """How an entry host stopped for a while."""

    KILLED = "killed"
    PAUSED = "paused"
    LEFT = "left"


class Stop(msgspec.Struct, frozen=True):
    """A stretch in which an entry host was stopped or on its way to it."""

    host: int
    kind: StopKind
    at: float
    until: float
    exit_status: int | None = None


class Execution(msgspec.Struct, frozen=True):
    """One run of a request that is not idempotent, at a backend server."""

    server: str
    request_id: str
    key: str
    at: float


class LateWork(msgspec.Struct, frozen=True):
    """A sub-request that a backend server got while it was leaving."""

    server: str
    leaving_since: float
    at: float


class Race(msgspec.Struct, frozen=True):
    """Two operators' changes of one template from the same revision.

    `in_force_later` is None where no answer shows which revision was in force.
    """

    at: float
    accepted: tuple[int, ...]
    in_force_later: int | None = None


class History(msgspec.Struct, frozen=True):
    """All that a checker outside the system has seen."""

    tries: tuple[samples.Sample, ...] = ()
    executions: tuple[Execution, ...] = ()
    late_work: tuple[LateWork, ...] = ()
    stops: tuple[Stop, ...] = ()
    races: tuple[Race, ...] = ()


class Finding(msgspec.Struct, frozen=True):
    """A broken promise and where it was seen."""

    breach: str
    detail: str


def find_in_force(tries: Iterable[samples.Sample], at: float) -> int | None:
    """Return the highest revision of answers to requests sent well after `at`."""
    later = (
        sample.revision
        for sample in tries
        if sample.revision and sample.sent_at > at + IN_FORCE_WITHIN_S
    )
    return max(later, default=None)


def check(history: History) -> list[Finding]:
    """Return every broken promise of a history."""
    found = itertools.chain(
        _check_answers(history),
        _check_runs(history),
        _check_leaving(history),
        _check_revisions(history),
        _check_shutdowns(history),
        _check_races(history),
    )
    return list(found)


def _report(breach: Breach, detail: str) -> Finding:
    return Finding(breach.value, detail)


def _check_answers(history: History) -> Iterator[Finding]:
    for sample in history.tries:
        for breach in sample.breaches:
            yield Finding(breach.value, f"{sample.request_id} at {sample.at:.2f} s")


def _check_runs(history: History) -> Iterator[Finding]:
    runs = _group(history.executions, lambda execution: execution.request_id)
    tries = _group(
        (sample for sample in history.tries if sample.record_key),
        lambda sample: sample.request_id,
    )
    for request, executions in runs.items():
        if len(executions) > 1:
            servers = ", ".join(execution.server for execution in executions)
            yield _report(Breach.RAN_TWICE, f"{request} at {servers}")
    for request, sent in tries.items():
        executions = runs.get(request, [])
        for sample in sent:
            yield from _check_try(sample, sent, executions)


def _check_try(
    sample: samples.Sample,
    sent: list[samples.Sample],
    executions: list[Execution],
) -> Iterator[Finding]:
    where = f"{sample.request_id} at {sample.at:.2f} s by host {sample.host}"
    if sample.outcome == "complete" and not executions:
        yield _report(Breach.FALSE_COMPLETE, where)
    if sample.outcome == "not-run" and any(
        _refutes(execution, sample, sent) for execution in executions
    ):
        yield _report(Breach.FALSE_NOT_RUN, f"{where}: {sample.reason}")


def _refutes(
    execution: Execution, refusal: samples.Sample, sent: list[samples.Sample]
) -> bool:
    """Tell whether a run shows that a refusal was false.

    It was if the request had run by then, or if it ran later while no other try
    was on its way.
    """
    if execution.at <= refusal.done_at:
        return True
    return not any(
        other is not refusal and other.done_at > refusal.done_at for other in sent
    )


def _check_leaving(history: History) -> Iterator[Finding]:
    for work in history.late_work:
        after_s = work.at - work.leaving_since
        if after_s > LEAVING_GRACE_S:
            detail = f"{work.server} at {work.at:.2f} s, {after_s:.2f} s after"
            yield _report(Breach.WORK_AFTER_LEAVING, detail)


def _check_revisions(history: History) -> Iterator[Finding]:
    """Yield answers with a lower revision than one that had ended before."""
    labelled = (sample for sample in history.tries if sample.revision)
    for host, answered in _group(labelled, lambda sample: sample.host).items():
        ended = sorted(answered, key=lambda sample: sample.done_at)
        highest, position = 0, 0
        for sample in sorted(answered, key=lambda sample: sample.sent_at):
            while ended[position].done_at < sample.sent_at:
                highest = max(highest, ended[position].revision)
                position += 1
            if sample.revision < highest:
                detail = (
                    f"host {host}: {sample.revision} after {highest} "
                    f"at {sample.sent_at:.2f} s"
                )
                yield _report(Breach.REVISION_FELL, detail)


def _check_shutdowns(history: History) -> Iterator[Finding]:
    for stop in history.stops:
        if stop.kind is not StopKind.LEFT:
            continue
        if stop.exit_status != 0:
            detail = f"host {stop.host} at {stop.at:.2f} s: {stop.exit_status}"
            yield _report(Breach.SHUTDOWN_FAILED, detail)
        for sample in history.tries:
            if _is_cut_off_by(sample, stop):
                detail = f"{sample.request_id} by host {stop.host}"
                yield _report(Breach.CUT_OFF_BY_SHUTDOWN, detail)


def _is_cut_off_by(sample: samples.Sample, stop: Stop) -> bool:
    return (
        sample.host == stop.host
        and sample.outcome == "cut-off"
        and sample.sent_at < stop.until
        and sample.done_at >= stop.at
    )


def _check_races(history: History) -> Iterator[Finding]:
    for race in history.races:
        if len(race.accepted) != len(set(race.accepted)):
            detail = f"revision {race.accepted[0]} at {race.at:.2f} s"
            yield _report(Breach.BOTH_OPERATORS_WON, detail)
        if race.in_force_later is None or not race.accepted:
            continue
        if race.in_force_later < max(race.accepted):
            detail = f"revision {max(race.accepted)} at {race.at:.2f} s"
            yield _report(Breach.CHANGE_LOST, detail)


def _group(items: Iterable, key) -> dict:
    groups: dict = {}
    for item in items:
        groups.setdefault(key(item), []).append(item)
    return groups
