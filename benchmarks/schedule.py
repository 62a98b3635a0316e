"""Random faults of a soak run; the same seed and length give the same schedule."""

import collections
import dataclasses
import itertools
import random
from collections.abc import Callable, Iterator

from corianderrill import names
from corianderrill.standins import backend, control, deployments, keyvalue

FIRST_FAULT_S = 3.0
QUIET_END_S = 5.0
REPEAT_SHARE = 0.3
REPEAT_AFTER_S = (0.5, 4.0)
VERSION_INTERVAL_S = 2.0
REPARTITION_EVERY = 3
LIST_LAG_S = (0.2, 2.0)


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbServers:
    """Sets faults of backend servers and takes them back."""

    at: float
    until: float
    faults: control.Faults


@dataclasses.dataclass(frozen=True, slots=True)
class KillServer:
    """Ends a backend server without notice; it comes back as a new start."""

    at: float
    until: float
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainServer:
    """A backend server leaves, is listed so later, and is replaced at `until`."""

    at: float
    listed_at: float
    until: float
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class AddVersion:
    """Builds an index version."""

    at: float
    fleet: names.FleetName
    repartition: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbPlatform:
    """Sets faults of the key-value service and takes them back."""

    at: float
    until: float
    faults: keyvalue.Faults


@dataclasses.dataclass(frozen=True, slots=True)
class RestorePlatform:
    """The key-value service comes back with older data."""

    at: float
    revisions: int


@dataclasses.dataclass(frozen=True, slots=True)
class RaceOperators:
    """Two operators change the same template at once."""

    at: float
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class KillHost:
    """Ends an entry host without notice; it starts again at `until`."""

    at: float
    until: float
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class PauseHost:
    """Stops an entry host and lets it go on at `until`."""

    at: float
    until: float
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveHost:
    """Asks an entry host to leave; its next start comes at `until`."""

    at: float
    until: float
    number: int


Fault = (
    DisturbServers
    | KillServer
    | DrainServer
    | AddVersion
    | DisturbPlatform
    | RestorePlatform
    | RaceOperators
    | KillHost
    | PauseHost
    | LeaveHost
)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of fault: seconds between two on average, and how one is drawn."""

    name: str
    interval_s: float
    draw: Callable[["_Draw", float], Fault | None]


class _Draw:
    """Draws faults; a server or host that comes and goes is busy until it is back."""

    def __init__(self, rng: random.Random, shown: tuple[deployments.Deployment, ...]):
        self._rng = rng
        self._servers = tuple(list_servers(shown))
        self._hosts = sum(deployment.entry_hosts for deployment in shown)
        self._busy: dict[str | int, float] = collections.defaultdict(float)

    def slow(self, at: float) -> Fault:
        factor = self._rng.uniform(3, 15)
        return self._disturb(at, (0.3, 3.0), slow_factor=factor)

    def freeze(self, at: float) -> Fault:
        return self._disturb(at, (0.5, 3.0), frozen=True)

    def shed(self, at: float) -> Fault:
        return self._disturb(at, (0.3, 2.0), shedding=True)

    def lose_replies(self, at: float) -> Fault:
        return self._disturb(at, (1.0, 4.0), lost_replies=True)

    def spoil(self, at: float) -> Fault:
        fault = self._rng.choice(list(backend.ReplyFault))
        every = self._rng.choice((1, 2, 5))
        return self._disturb(at, (0.5, 3.0), reply_fault=fault, reply_fault_every=every)

    def _disturb(
        self, at: float, length_s: tuple[float, float], **faults: object
    ) -> Fault:
        count = self._rng.choice((1, 2, len(self._servers) // 10))
        chosen = self._rng.sample(self._servers, count)
        free = tuple(server for server in chosen if self._busy[server] <= at)
        until = at + self._rng.uniform(*length_s)
        return DisturbServers(at, until, control.Faults(free, **faults))

    def kill_server(self, at: float) -> Fault | None:
        server = self._reserve(self._servers, at, (1.0, 6.0))
        return server and KillServer(at, self._busy[server], server)

    def drain_server(self, at: float) -> Fault | None:
        server = self._reserve(self._servers, at, (5.0, 8.0))
        listed_at = at + self._rng.uniform(*LIST_LAG_S)
        return server and DrainServer(at, listed_at, self._busy[server], server)

    def stop_platform(self, at: float) -> Fault:
        return self._disturb_platform(at, (1.0, 8.0), keyvalue.Faults(down=True))

    def slow_platform(self, at: float) -> Fault:
        faults = keyvalue.Faults(delay_s=self._rng.uniform(0.1, 1.5))
        return self._disturb_platform(at, (1.0, 6.0), faults)

    def lose_platform_calls(self, at: float) -> Fault:
        faults = keyvalue.Faults(
            lost_requests=self._rng.randint(0, 2), lost_replies=self._rng.randint(1, 4)
        )
        return self._disturb_platform(at, (1.0, 4.0), faults)

    def _disturb_platform(
        self, at: float, length_s: tuple[float, float], faults: keyvalue.Faults
    ) -> Fault:
        return DisturbPlatform(at, at + self._rng.uniform(*length_s), faults)

    def restore_platform(self, at: float) -> Fault:
        return RestorePlatform(at, self._rng.randint(1, 6))

    def race(self, at: float) -> Fault:
        return RaceOperators(at, self._rng.randrange(1_000_000))

    def kill_host(self, at: float) -> Fault | None:
        number = self._reserve_host(at, (0.5, 5.0))
        return None if number is None else KillHost(at, self._busy[number], number)

    def pause_host(self, at: float) -> Fault | None:
        number = self._reserve_host(at, (0.2, 6.0))
        return None if number is None else PauseHost(at, self._busy[number], number)

    def leave_host(self, at: float) -> Fault | None:
        number = self._reserve_host(at, (8.0, 14.0))
        return None if number is None else LeaveHost(at, self._busy[number], number)

    def _reserve_host(self, at: float, length_s: tuple[float, float]) -> int | None:
        """Reserve a host, as long as most of the hosts stay."""
        busy = sum(self._busy[number] > at for number in range(self._hosts))
        if busy + 1 > self._hosts // 3:
            return None
        return self._reserve(range(self._hosts), at, length_s)

    def _reserve(self, among, at: float, length_s: tuple[float, float]):
        free = [each for each in among if self._busy[each] <= at]
        if not free:
            return None
        chosen = self._rng.choice(free)
        self._busy[chosen] = at + self._rng.uniform(*length_s)
        return chosen


KINDS = (
    Kind("slow", 3.0, _Draw.slow),
    Kind("freeze", 12.0, _Draw.freeze),
    Kind("shed", 8.0, _Draw.shed),
    Kind("lost-replies", 15.0, _Draw.lose_replies),
    Kind("wrong-replies", 5.0, _Draw.spoil),
    Kind("server-killed", 10.0, _Draw.kill_server),
    Kind("server-leaving", 10.0, _Draw.drain_server),
    Kind("platform-down", 30.0, _Draw.stop_platform),
    Kind("platform-slow", 25.0, _Draw.slow_platform),
    Kind("platform-replies-lost", 20.0, _Draw.lose_platform_calls),
    Kind("platform-older", 40.0, _Draw.restore_platform),
    Kind("operators-race", 7.0, _Draw.race),
    Kind("host-killed", 20.0, _Draw.kill_host),
    Kind("host-paused", 20.0, _Draw.pause_host),
    Kind("host-leaving", 20.0, _Draw.leave_host),
)


def list_servers(shown: tuple[deployments.Deployment, ...]) -> Iterator[str]:
    """Yield `fleet/host` of every backend server, as the stand-ins name them."""
    for deployment in shown:
        for shape in deployment.services:
            for number in range(shape.shards * shape.replicas):
                yield f"{deployment.fleet}/{shape.name}-{number:02}"


def plan(
    seed: int, seconds: float, shown: tuple[deployments.Deployment, ...]
) -> tuple[Fault, ...]:
    """Return the faults of a run in the order of their times."""
    rng = random.Random(f"soak/{seed}")
    draw = _Draw(rng, shown)
    last = seconds - QUIET_END_S
    due = sorted(
        (at, kind.name) for kind in KINDS for at in _draw_times(rng, kind, last)
    )
    by_name = {kind.name: kind for kind in KINDS}
    drawn = [by_name[name].draw(draw, at) for at, name in due]
    faults = [fault for fault in drawn if fault is not None]
    versions = plan_versions(shown, last)
    return tuple(sorted([*faults, *versions], key=lambda fault: fault.at))


def _draw_times(rng: random.Random, kind: Kind, last: float) -> Iterator[float]:
    """Yield Poisson times; some are followed soon by a second one."""
    at = FIRST_FAULT_S + rng.expovariate(1 / kind.interval_s)
    while at < last:
        yield at
        if rng.random() < REPEAT_SHARE:
            again = at + rng.uniform(*REPEAT_AFTER_S)
            if again < last:
                yield again
        at += rng.expovariate(1 / kind.interval_s)


def plan_versions(
    shown: tuple[deployments.Deployment, ...], last: float
) -> list[AddVersion]:
    """Return the index versions of every fleet, some with a repartition."""
    numbers = itertools.takewhile(
        lambda number: number * VERSION_INTERVAL_S < last, itertools.count(1)
    )
    return [
        AddVersion(
            number * VERSION_INTERVAL_S,
            deployment.fleet,
            number % REPARTITION_EVERY == 0,
        )
        for number in numbers
        for deployment in shown
    ]


def list_repartitions(faults: tuple[Fault, ...]) -> dict[str, tuple[bool, ...]]:
    """Return of each fleet's versions after the first whether they repartition."""
    versions: dict[str, list[bool]] = collections.defaultdict(list)
    for fault in faults:
        if isinstance(fault, AddVersion):
            versions[fault.fleet].append(fault.repartition)
    return {fleet: tuple(each) for fleet, each in versions.items()}
