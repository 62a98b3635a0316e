"""The scenarios of `measure`: load, stand-ins and what disturbs them, from a seed."""

import dataclasses
import random
from collections.abc import Callable, Iterator

from benchmarks import arrivals
from corianderrill import names
from corianderrill.standins import control, deployments

WARM_UP_S = 4.0
STEADY_QPS = 50.0
SERVICE_S = 0.03
CREST_SERVICE_S = 0.1
# Slots of a shard over the mean of its lognormal service time (sigma 0.35).
CREST_CAPACITY_QPS = 3 * 2 / (CREST_SERVICE_S * 1.063)
CREST_DEADLINE_MS = 1_500.0
CREST_RAMP_S = 2.0
CREST_FACTOR = 3.0
STEPS = (0.6, 0.75, 0.9, 1.0)
STEP_S = 5.0

BURST_S = (0.3, 2.0)
PAUSE_S = (0.0, 0.3)
SLOW_SHARE = 0.1
SLOW_FACTOR = 10.0
VERSION_INTERVAL_S = 1.0
REPARTITION_EVERY = 3
LOAD_LAG_S = 0.8
UNLISTED_AFTER_S = 5.0

GANTRY = deployments.GANTRY
FLEET = GANTRY.fleet
SHARDED = [shape for shape in GANTRY.services if shape.shards > 1]


@dataclasses.dataclass(frozen=True, slots=True)
class SetFaults:
    """Sets faults of servers at a time of the run, in seconds."""

    at: float
    command: control.Faults


@dataclasses.dataclass(frozen=True, slots=True)
class KillServers:
    """Ends servers without notice; the host list drops them at `unlist_at`."""

    at: float
    hosts: frozenset[names.HostName]
    unlist_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class AddVersion:
    """Builds an index version."""

    at: float
    repartition: bool


Event = SetFaults | KillServers | AddVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One run: its load, its events, and the part of it that counts."""

    arrivals: tuple[arrivals.Arrival, ...]
    events: tuple[Event, ...]
    window: tuple[float, float]
    service_s: float = SERVICE_S
    load_lag_s: float = 0.0
    workspaces: tuple[str, ...] = ("morning",)
    steps: tuple[tuple[float, float], ...] = ()

    @property
    def versions(self) -> tuple[bool, ...]:
        """Of each index version after the first, whether it repartitions."""
        return tuple(e.repartition for e in self.events if isinstance(e, AddVersion))


def build(name: str, seed: int, seconds: float) -> Scenario:
    """Return a scenario; the same name, seed and length give the same one."""
    rng = random.Random(f"{name}/{seed}")
    if name == "crest":
        return build_crest(rng, seconds)
    phases = (arrivals.Phase(WARM_UP_S + seconds, STEADY_QPS, STEADY_QPS),)
    sources = (arrivals.Source(f"{FLEET}/morning", 1.0),)
    planned = arrivals.plan_arrivals(rng, phases, sources)
    window = (WARM_UP_S, WARM_UP_S + seconds)
    match name:
        case "slowed":
            events = tuple(draw_bursts(rng, window, draw_any_slow))
            return Scenario(planned, events, window)
        case "slowed-apart":
            events = tuple(draw_bursts(rng, window, draw_slow_apart))
            return Scenario(planned, events, window)
        case "lost":
            return Scenario(planned, draw_loss(window), window)
        case "versions":
            events = plan_versions(window[1])
            return Scenario(planned, events, window, load_lag_s=LOAD_LAG_S)
        case _:
            return Scenario(planned, (), window)


def list_sharded_hosts() -> list[names.HostName]:
    """Return the backend servers that hold one of the 25 shards."""
    return [
        name_server(shape, number)
        for shape in SHARDED
        for number in range(shape.shards * shape.replicas)
    ]


def name_server(shape: deployments.ServiceShape, number: int) -> names.HostName:
    """Return the name that the stand-ins give to a server of a service."""
    return names.HostName(f"{shape.name}-{number:02}")


def draw_any_slow(rng: random.Random) -> list[names.HostName]:
    """Return a tenth of the servers; a shard may have several of its replicas in it."""
    hosts = list_sharded_hosts()
    return rng.sample(hosts, round(SLOW_SHARE * len(hosts)))


def draw_slow_apart(rng: random.Random) -> list[names.HostName]:
    """Return a tenth of the servers, no two of them of one shard."""
    shards = [(shape, shard) for shape in SHARDED for shard in range(shape.shards)]
    count = round(SLOW_SHARE * len(list_sharded_hosts()))
    return [
        name_server(shape, shard + shape.shards * rng.randrange(shape.replicas))
        for shape, shard in rng.sample(shards, count)
    ]


def draw_bursts(
    rng: random.Random,
    window: tuple[float, float],
    draw: Callable[[random.Random], list[names.HostName]],
) -> Iterator[SetFaults]:
    """Yield bursts in which another tenth of the servers is ten times slower."""
    at = window[0] / 2
    while at < window[1]:
        patterns = tuple(f"{FLEET}/{host}" for host in draw(rng))
        yield SetFaults(at, control.Faults(patterns, slow_factor=SLOW_FACTOR))
        at += rng.uniform(*BURST_S)
        yield SetFaults(at, control.Faults(patterns))
        at += rng.uniform(*PAUSE_S)


def draw_loss(window: tuple[float, float]) -> tuple[Event, ...]:
    """Return the loss of one replica of every shard, spread over the zones."""
    middle = sum(window) / 2
    hosts = frozenset(
        name_server(shape, shard + shape.shards * (shard % shape.replicas))
        for shape in GANTRY.services
        for shard in range(shape.shards)
    )
    return (KillServers(middle, hosts, middle + UNLISTED_AFTER_S),)


def plan_versions(end_s: float) -> tuple[Event, ...]:
    """Return an index version each second, every third with a repartition."""
    count = int(end_s / VERSION_INTERVAL_S)
    return tuple(
        AddVersion(number * VERSION_INTERVAL_S, number % REPARTITION_EVERY == 0)
        for number in range(1, count)
    )


def build_crest(rng: random.Random, seconds: float) -> Scenario:
    """Return steps of steady load, then a ramp to three times the capacity.

    The steps show the best steady goodput of the rig, for comparison. At the crest
    one workspace floods.
    """
    steps = tuple(
        arrivals.Phase(STEP_S, part * CREST_CAPACITY_QPS, part * CREST_CAPACITY_QPS)
        for part in STEPS
    )
    low, high = steps[0].from_qps, CREST_FACTOR * CREST_CAPACITY_QPS
    phases = (
        arrivals.Phase(WARM_UP_S, low, low),
        *steps,
        arrivals.Phase(CREST_RAMP_S, low, low),
        arrivals.Phase(CREST_RAMP_S, low, high),
        arrivals.Phase(seconds, high, high),
    )
    labels = ("morning", "sites", "office", "flood")
    sources = tuple(
        arrivals.Source(f"{FLEET}/{label}", 1.0, 9.0 if label == "flood" else None)
        for label in labels
    )
    planned = tuple(
        arrivals.extend_deadline(arrival, CREST_DEADLINE_MS)
        for arrival in arrivals.plan_arrivals(rng, phases, sources)
    )
    crest = WARM_UP_S + len(STEPS) * STEP_S + CREST_RAMP_S
    bounds = [WARM_UP_S + number * STEP_S for number in range(len(STEPS) + 1)]
    return Scenario(
        planned,
        (),
        (crest, crest + CREST_RAMP_S + seconds),
        service_s=CREST_SERVICE_S,
        workspaces=labels,
        steps=tuple(zip(bounds, bounds[1:], strict=False)),
    )
