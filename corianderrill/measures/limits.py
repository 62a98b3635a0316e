"""Ways to share a replica's slots, compared: `python -m corianderrill.measures.limits`.

Nine hosts send sub-requests to one replica with two slots. The queues are the real
ones (`owner_queues.OwnerQueue`); the clock is discrete and the server a simple model:
it serves as many as it has slots, holds a short queue and refuses past it. Arrivals are
fixed beforehand and the same for every way.
"""

import dataclasses
import enum
import heapq
import itertools
import math
import random
import statistics
from collections.abc import Callable, Iterator

import msgspec

from corianderrill import connection_shares, names, owner_queues
from corianderrill.measures import samples

SEEDS = (1, 2, 3)
HOSTS = 9
SLOTS = 2
OWNER_LIMIT = SLOTS + connection_shares.PREFETCHED_REQUESTS
SERVER_QUEUE = 4
MEAN_SERVICE_S = 0.004
SERVICE_SIGMA = 0.5
# One way, from a host to the server or to another host.
NETWORK_S = 0.0005
BATCH_S = 0.001
DEADLINE_S = 0.060
DURATION_S = 30.0
EXCHANGE_INTERVAL_S = 0.010
AIMD_FALL = 0.5
AIMD_SLOW_FACTOR = 3.0
BURST_INTERVAL_S = 2.0
BURST_S = 0.4
BURST_FACTOR = 5.0
CREST_START_S = 10.0
CREST_END_S = 20.0
CAPACITY_PER_S = SLOTS / MEAN_SERVICE_S


class Way(enum.Enum):
    """A way to share the slots."""

    FIXED = "fixed"
    ALONE = "alone"
    EXCHANGE = "exchange"
    OWNER = "owner"
    TWO_OWNERS = "owner-two-views"


class Scenario(enum.Enum):
    """What the load and the server do."""

    STEADY = "steady"
    CREST = "crest"
    SLOWED = "slowed"


class Figures(msgspec.Struct, frozen=True):
    """Figures of one way in one scenario, means over the seeds.

    `overshoot` is the most that was at the server at once beyond its slots.
    """

    way: str
    goodput_per_s: float
    goodput_share: float
    p99_ms: float
    server_refusals_per_s: float
    late_runs_per_s: float
    overshoot: float
    not_run_per_s: float
    refusal_p99_ms: float


class Table(msgspec.Struct, frozen=True):
    """All ways in one scenario."""

    scenario: str
    offered_per_s: float
    ways: tuple[Figures, ...]


class Result(msgspec.Struct, frozen=True):
    """The line that is printed."""

    seeds: tuple[int, ...]
    hosts: int
    slots: int
    capacity_per_s: float
    tables: tuple[Table, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A sub-request that reaches a host; `work_s` is its service time at rest."""

    at_s: float
    host: int
    work_s: float


@dataclasses.dataclass(slots=True)
class Tally:
    """What became of the arrivals of one run."""

    latencies_s: list[float] = dataclasses.field(default_factory=list)
    in_time: int = 0
    late: int = 0
    refused: int = 0
    not_run: int = 0
    overshoot: int = 0
    refusal_times_s: list[float] = dataclasses.field(default_factory=list)


class Clock:
    """Calls functions at their instants, in order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_at(self, at_s: float, action: Callable[[], None]) -> None:
        """Plan an action."""
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def run(self) -> None:
        """Run until nothing is planned."""
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()


class Server:
    """A replica: slots, a short queue, refusal past it, and slow bursts."""

    def __init__(self, clock: Clock, scenario: Scenario, tally: Tally) -> None:
        self._clock = clock
        self._is_slowed = scenario is Scenario.SLOWED
        self._tally = tally
        self._busy = 0
        self._queue: list[tuple[float, Callable[[bool], None]]] = []

    def take(self, work_s: float, done: Callable[[bool], None]) -> None:
        """Serve or refuse; `done` tells whether it was served."""
        present = self._busy + len(self._queue) + 1
        self._tally.overshoot = max(self._tally.overshoot, present - SLOTS)
        if self._busy < SLOTS:
            self._serve(work_s, done)
        elif len(self._queue) < SERVER_QUEUE:
            self._queue.append((work_s, done))
        else:
            self._tally.refused += 1
            done(False)

    def _serve(self, work_s: float, done: Callable[[bool], None]) -> None:
        self._busy += 1
        end_s = self._clock.now + work_s * self._get_factor()
        self._clock.call_at(end_s, lambda: self._end(done))

    def _end(self, done: Callable[[bool], None]) -> None:
        self._busy -= 1
        if self._queue:
            self._serve(*self._queue.pop(0))
        done(True)

    def _get_factor(self) -> float:
        is_burst = self._clock.now % BURST_INTERVAL_S < BURST_S
        return BURST_FACTOR if self._is_slowed and is_burst else 1.0


class Holder:
    """A host that sends to the server through its queue."""

    def __init__(self, clock: Clock, server: Server, tally: Tally, limit: int) -> None:
        self.queue = owner_queues.OwnerQueue(limit)
        self._clock = clock
        self._server = server
        self._tally = tally
        self._work: dict[str, tuple[Arrival, float]] = {}
        self._sweep_due_s = 0.0

    def take(self, attempt_id: str, arrival: Arrival, extra_s: float) -> None:
        """Queue a sub-request; `extra_s` is the time of its result to its origin."""
        self._work[attempt_id] = (arrival, extra_s)
        deadline_s = arrival.at_s + DEADLINE_S - extra_s - 2 * NETWORK_S
        job = owner_queues.Job(
            samples.build_sub_request(attempt_id),
            names.MemberId(names.HostName(str(arrival.host)), names.Incarnation("")),
            self._clock.now,
            deadline_s,
        )
        self._act(self.queue.add(job, self._clock.now))
        self._clock.call_at(deadline_s, self.advance)

    def advance(self) -> None:
        """Start what may start and drop what is too late."""
        self._act(self.queue.advance(self._clock.now))

    def learn(self, is_served: bool, elapsed_s: float) -> None:
        """Adapt to the end of a request; fixed holders learn nothing."""

    def _act(self, actions: tuple[owner_queues.Start | owner_queues.Drop, ...]) -> None:
        for action in actions:
            attempt_id = action.job.sub_request.attempt_id
            match action:
                case owner_queues.Start():
                    self._clock.call_at(
                        self._clock.now + NETWORK_S,
                        lambda attempt_id=attempt_id: self._reach(
                            attempt_id, self._clock.now - NETWORK_S
                        ),
                    )
                case owner_queues.Drop():
                    self._tally.not_run += 1
                    self._note_refusal(*self._work.pop(attempt_id))

    def _note_refusal(self, arrival: Arrival, extra_s: float) -> None:
        self._tally.refusal_times_s.append(self._clock.now + extra_s - arrival.at_s)

    def _reach(self, attempt_id: str, sent_s: float) -> None:
        arrival, _ = self._work[attempt_id]
        self._server.take(
            arrival.work_s,
            lambda is_served: self._clock.call_at(
                self._clock.now + NETWORK_S,
                lambda: self._end(attempt_id, sent_s, is_served),
            ),
        )

    def _end(self, attempt_id: str, sent_s: float, is_served: bool) -> None:
        arrival, extra_s = self._work.pop(attempt_id)
        elapsed_s = self._clock.now - sent_s
        latency_s = self._clock.now + extra_s - arrival.at_s
        if is_served:
            self._tally.latencies_s.append(latency_s)
            self._tally.in_time += latency_s <= DEADLINE_S
            self._tally.late += latency_s > DEADLINE_S
        else:
            self._note_refusal(arrival, extra_s)
        self.learn(is_served, elapsed_s)
        served_s = elapsed_s if is_served else None
        self._act(self.queue.finish(attempt_id, self._clock.now, served_s))


class AdaptiveHolder(Holder):
    """Raises its limit by one a round trip, halves it on refusals and slow replies."""

    _window = 1.0
    _best_s = math.inf

    def learn(self, is_served: bool, elapsed_s: float) -> None:
        """Adapt the limit; the least is one request at a time."""
        self._best_s = min(self._best_s, elapsed_s)
        if not is_served or elapsed_s > AIMD_SLOW_FACTOR * MEAN_SERVICE_S:
            self._window = max(1.0, self._window * AIMD_FALL)
        else:
            self._window += 1 / self._window
        self.queue.max_running = int(self._window)


def build_arrivals(scenario: Scenario, rng: random.Random) -> tuple[Arrival, ...]:
    """Return the arrivals of a run: Poisson, at a rate that the scenario sets."""
    return tuple(_generate_arrivals(scenario, rng))


def _generate_arrivals(scenario: Scenario, rng: random.Random) -> Iterator[Arrival]:
    now = 0.0
    mu = math.log(MEAN_SERVICE_S) - SERVICE_SIGMA**2 / 2
    while now < DURATION_S:
        yield Arrival(now, rng.randrange(HOSTS), rng.lognormvariate(mu, SERVICE_SIGMA))
        now += rng.expovariate(_get_load(scenario, now) * CAPACITY_PER_S)


def _get_load(scenario: Scenario, now: float) -> float:
    match scenario:
        case Scenario.STEADY:
            return 0.7
        case Scenario.CREST:
            return 3.0 if CREST_START_S <= now < CREST_END_S else 0.7
        case Scenario.SLOWED:
            return 0.4


def run(way: Way, scenario: Scenario, seed: int) -> tuple[int, Tally]:
    """Run one way over one load; return how many arrived and what became of them."""
    arrivals = build_arrivals(scenario, random.Random(seed))
    clock, tally = Clock(), Tally()
    server = Server(clock, scenario, tally)
    holders, extra_s = _build_holders(way, clock, server, tally)
    rng = random.Random(seed + 1000)
    for number, arrival in enumerate(arrivals):
        relay_s = extra_s + (BATCH_S * rng.random() if extra_s else 0.0)
        holder = holders[arrival.host % len(holders)]
        clock.call_at(
            arrival.at_s + relay_s,
            lambda number=number, arrival=arrival, holder=holder: holder.take(
                str(number), arrival, extra_s + (BATCH_S if extra_s else 0.0)
            ),
        )
    if way is Way.EXCHANGE:
        _plan_exchange(clock, holders)
    clock.run()
    return len(arrivals), tally


def _build_holders(
    way: Way, clock: Clock, server: Server, tally: Tally
) -> tuple[list[Holder], float]:
    """Return the hosts that send to the server, and the time to reach them."""
    match way:
        case Way.FIXED | Way.EXCHANGE:
            return [Holder(clock, server, tally, 1) for _ in range(HOSTS)], 0.0
        case Way.ALONE:
            holders = [AdaptiveHolder(clock, server, tally, 1) for _ in range(HOSTS)]
            return holders, 0.0
        case Way.OWNER:
            return [Holder(clock, server, tally, OWNER_LIMIT)], NETWORK_S
        case Way.TWO_OWNERS:
            return [
                Holder(clock, server, tally, OWNER_LIMIT) for _ in range(2)
            ], NETWORK_S


def _plan_exchange(clock: Clock, holders: list[Holder]) -> None:
    """Have each host tell the others its outstanding count from time to time."""
    told = [0] * len(holders)

    def tell(number: int) -> None:
        running = holders[number].queue.running
        clock.call_at(clock.now + NETWORK_S, lambda: hear(number, running))
        if clock.now < DURATION_S:
            clock.call_at(clock.now + EXCHANGE_INTERVAL_S, lambda: tell(number))

    def hear(number: int, running: int) -> None:
        told[number] = running
        total = sum(told)
        for other, holder in enumerate(holders):
            holder.queue.max_running = max(0, OWNER_LIMIT - (total - told[other]))
            holder.advance()

    for number in range(len(holders)):
        offset_s = EXCHANGE_INTERVAL_S * number / len(holders)
        clock.call_at(offset_s, lambda number=number: tell(number))


def measure(way: Way, scenario: Scenario) -> tuple[float, Figures]:
    """Return the offered load and the figures of one way, means over the seeds."""
    runs = [run(way, scenario, seed) for seed in SEEDS]

    def average(values) -> float:
        return round(statistics.fmean(values), 2)

    tallies = [tally for _, tally in runs]
    figures = Figures(
        way.value,
        average(tally.in_time / DURATION_S for tally in tallies),
        round(statistics.fmean(tally.in_time / count for count, tally in runs), 4),
        average(1000 * _compute_p99(tally.latencies_s) for tally in tallies),
        average(tally.refused / DURATION_S for tally in tallies),
        average(tally.late / DURATION_S for tally in tallies),
        average(tally.overshoot for tally in tallies),
        average(tally.not_run / DURATION_S for tally in tallies),
        average(1000 * _compute_p99(tally.refusal_times_s) for tally in tallies),
    )
    return average(count / DURATION_S for count, _ in runs), figures


def _compute_p99(values: list[float]) -> float:
    if not values:
        return 0.0
    return sorted(values)[math.ceil(0.99 * len(values)) - 1]


def measure_scenario(scenario: Scenario) -> Table:
    """Compare all ways in one scenario."""
    measured = [measure(way, scenario) for way in Way]
    return Table(
        scenario.value, measured[0][0], tuple(figures for _, figures in measured)
    )


def main() -> None:
    """Print the figures."""
    tables = tuple(measure_scenario(scenario) for scenario in Scenario)
    result = Result(SEEDS, HOSTS, SLOTS, CAPACITY_PER_S, tables)
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
