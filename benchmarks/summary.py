"""Figures of a run, from its samples and the counters of the backend servers."""

import dataclasses
from collections.abc import Iterable, Sequence

from hdrh import histogram

from benchmarks import samples
from corianderrill.standins import control

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
SHARDS_PER_QUERY = 25
LATE_AFTER_S = 0.020
SERVED = frozenset({"complete", "partial"})
BACKEND_REFUSED = "backend-refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """What one run of one policy with one seed left.

    `load_average` is that of the whole machine in the last minute. `window` is the
    part of the run that counts, in seconds from its start.
    """

    samples: tuple[samples.Sample, ...]
    totals: control.Totals
    window: tuple[float, float]
    cpu_s: dict[str, float]
    elapsed_s: float
    load_average: float = 0.0

    @property
    def counted(self) -> tuple[samples.Sample, ...]:
        """The samples whose due time lies in the window."""
        low, high = self.window
        return tuple(sample for sample in self.samples if low <= sample.at < high)


@dataclasses.dataclass(frozen=True, slots=True)
class Percentiles:
    """Latency in milliseconds; None without samples."""

    p50: float | None
    p99: float | None
    p999: float | None


def measure_percentiles(latencies_s: Iterable[float]) -> Percentiles:
    """Return percentiles of latencies in seconds."""
    counts = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for latency_s in latencies_s:
        counts.record_value(min(max(int(latency_s * 1e6), LOWEST_US), HIGHEST_US))
    if not counts.total_count:
        return Percentiles(None, None, None)
    return Percentiles(
        *(
            round(counts.get_value_at_percentile(percent) / 1000, 1)
            for percent in (50.0, 99.0, 99.9)
        )
    )


def is_admitted(sample: samples.Sample) -> bool:
    """Tell whether sub-requests of a request were sent."""
    return sample.outcome != "not-run" or sample.reason == BACKEND_REFUSED


def is_in_time(sample: samples.Sample) -> bool:
    """Tell whether a whole answer came within the deadline of the due time."""
    in_time = sample.done_at - sample.at <= sample.deadline_s
    return sample.outcome == "complete" and in_time


def measure_goodput(samples: Iterable[samples.Sample], seconds: float) -> float:
    """Return whole answers in time, in queries a second."""
    return sum(map(is_in_time, samples)) / seconds


def summarize(runs: Sequence[Run]) -> dict[str, object]:
    """Return the figures over runs with several seeds."""
    counted = [sample for run in runs for sample in run.counted]
    everything = [sample for run in runs for sample in run.samples]
    admitted = [sample for sample in counted if is_admitted(sample)]
    served = [sample for sample in counted if sample.outcome in SERVED]
    refused = [sample for sample in counted if not is_admitted(sample)]
    latency = measure_percentiles(sample.done_at - sample.at for sample in served)
    refusal = measure_percentiles(s.done_at - s.sent_at for s in refused)
    window_s = sum(run.window[1] - run.window[0] for run in runs)
    asked = SHARDS_PER_QUERY * sum(map(is_admitted, everything))
    requests = sum(run.totals.requests for run in runs)
    overruns = [s.done_at - s.sent_at - s.deadline_s for s in counted]
    return {
        "p50_ms": latency.p50,
        "p99_ms": latency.p99,
        "p999_ms": latency.p999,
        "coverage": share(sum(sample.coverage for sample in admitted), len(admitted)),
        "complete_share": share(
            sum(sample.outcome == "complete" for sample in admitted), len(admitted)
        ),
        "extra_load": round(requests / asked - 1, 4) if asked else None,
        "goodput_qps": round(measure_goodput(counted, window_s), 2),
        "refused": len(refused),
        "connections_over_cap": sum(r.totals.connections_over_cap for r in runs),
        "invariant_breaches": sum(len(sample.breaches) for sample in everything),
        "requests": len(counted),
        "refused_p99_ms": refusal.p99,
        "late_over_20_ms": sum(overrun > LATE_AFTER_S for overrun in overruns),
        "worst_overrun_ms": round(1000 * max(overruns, default=0.0), 1),
        "outcomes": count(sample.outcome for sample in counted),
        "refusals": count(sample.reason for sample in counted if sample.reason),
        "missing": count(reason for s in counted for reason in s.missing),
        "breaches": count(b.value for s in everything for b in s.breaches),
        "cpu_cores": {
            kind: round(
                sum(run.cpu_s[kind] for run in runs)
                / sum(run.elapsed_s for run in runs),
                2,
            )
            for kind in runs[0].cpu_s
        },
        "load_average": [round(run.load_average, 1) for run in runs],
        "send_lag_p99_ms": measure_percentiles(
            sample.sent_at - sample.at for sample in counted
        ).p99,
    }


def share(part: float, whole: int) -> float | None:
    """Return a share rounded to five digits; None of nothing."""
    return round(part / whole, 5) if whole else None


def count(values: Iterable[str]) -> dict[str, int]:
    """Return how often each value occurs."""
    counts: dict[str, int] = {}
    for value in values:
        counts[value] = counts.get(value, 0) + 1
    return counts


def add_totals(totals: Iterable[control.Totals]) -> control.Totals:
    """Return the sum of counters."""
    summed = control.Totals()
    for each in totals:
        for name in control.Totals.__struct_fields__:
            setattr(summed, name, getattr(summed, name) + getattr(each, name))
    return summed


def measure_fairness(
    samples: Sequence[samples.Sample], seconds: float
) -> dict[str, object]:
    """Return the goodput of each workspace against its max-min fair share."""
    workspaces = sorted({sample.workspace for sample in samples})
    demand = {
        name: sum(sample.workspace == name for sample in samples) / seconds
        for name in workspaces
    }
    goodput = {
        name: measure_goodput((s for s in samples if s.workspace == name), seconds)
        for name in workspaces
    }
    fair = divide_fairly(demand, sum(goodput.values()))
    ratios = {name: goodput[name] / fair[name] if fair[name] else 1.0 for name in fair}
    return {
        "workspaces": {
            name: {
                "demand_qps": round(demand[name], 2),
                "goodput_qps": round(goodput[name], 2),
                "of_fair_share": round(ratios[name], 3),
            }
            for name in workspaces
        },
        "weakest_share": round(min(ratios.values(), default=1.0), 3),
    }


def divide_fairly(demand: dict[str, float], capacity: float) -> dict[str, float]:
    """Return max-min fair shares: nobody gets more than asked (water filling)."""
    shares: dict[str, float] = {}
    left = capacity
    for number, name in enumerate(sorted(demand, key=demand.get)):
        shares[name] = min(demand[name], left / (len(demand) - number))
        left -= shares[name]
    return shares
