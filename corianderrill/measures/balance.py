"""Evenness of load over replicas: `python -m corianderrill.measures.balance`.

Many choosers (hosts or aggregators) send requests of one service to its replicas in
virtual time. Each chooser knows only what its own replies showed, so its information is
as old as the last of them. Every policy sees the same requests and slowdowns.
"""

import bisect
import dataclasses
import heapq
import itertools
import math
import random
import statistics
from collections.abc import Callable, Sequence

import msgspec

from corianderrill import names
from corianderrill.gateway import (
    latency,
    load_balance,
    replica_selection,
    replicas,
    replies,
    zone_health,
)

SEEDS = (1, 2, 3, 4, 5, 6)
DURATION_S = 12.0
# Requests that arrive before this time are served, but not measured.
WARM_UP_S = 2.0
SAMPLE_INTERVAL_S = 0.005
ZONES = tuple(names.ZoneName(f"zone-{letter}") for letter in "abc")
SERVICE = names.ServiceName("shard-1")
SLOTS = 2
MAX_WAITING = 12
WORK_S = 0.0112
# Mean work of each kind of request, as a multiple of `WORK_S`, and its share.
KINDS = ((0.5, 0.65), (2.0, 0.35))
# Spread of the work times of one kind (standard deviation of the logarithm).
WORK_SIGMA = 0.35
SAME_ZONE_DELAY_S = 0.0001
OTHER_ZONE_DELAY_S = 0.001
GOAL_S = 0.0925
SLOWDOWN_S = 0.6
SLOWDOWN_SHARE = 1 / 7
SLOWDOWN_FACTOR = 2.5
PAUSE_S = 0.1
PAUSE_INTERVAL_S = 2.4
WAVE_S = 6.0
MAX_ATTEMPTS = 3
# Extra attempts that a chooser may send, as a share of its requests.
HEDGE_RATIO = 0.15
PRIMING_SAMPLES = 40

Choose = Callable[["Chooser", Sequence[replicas.Replica], float], replicas.Replica]


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How a replica is chosen, and whether hedges go to replicas in a slowdown."""

    choose: Choose
    hedges_to_slowed: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """One kind of load.

    `load` is the mean demand as a share of what all replicas can do without slowdowns;
    the demand of each zone swings by the share `wave` around its mean. `speeds` are the
    work times of the replicas of a zone as multiples of the mean, in turn.
    """

    name: str
    choosers: int = 195
    replicas_per_zone: int = 1
    load: float = 0.45
    wave: float = 0.0
    speeds: tuple[float, ...] = (1.0,)
    has_slowdowns: bool = True
    has_pauses: bool = True
    sends_load: bool = False


PATTERNS = (
    Pattern("calm-one", has_slowdowns=False, load=0.35),
    Pattern("hosts-one"),
    Pattern("hosts-several", replicas_per_zone=4),
    Pattern("hosts-several-load", replicas_per_zone=4, sends_load=True),
    Pattern("speeds", replicas_per_zone=4, speeds=(0.7, 0.9, 1.1, 1.3)),
    Pattern("aggregators-one", choosers=6),
    Pattern("aggregators-several", choosers=6, replicas_per_zone=4),
    Pattern("waves-one", wave=0.5, load=0.5),
    Pattern("waves-one-load", wave=0.5, load=0.5, sends_load=True),
    Pattern("waves-aggregators", choosers=6, wave=0.5, load=0.5),
    Pattern("waves-several", replicas_per_zone=4, wave=0.5, load=0.5),
)


class Row(msgspec.Struct, frozen=True):
    """Figures of one pattern and policy.

    `spread` is the mean standard deviation of the queue lengths, `uneven` the share of
    its time in which a replica is overloaded while another idles.
    """

    pattern: str
    policy: str
    spread: float
    waiting_p99_ms: float
    latency_p50_ms: float
    latency_p99_ms: float
    uneven: float
    cross_zone: float
    refused: float
    hedged: float


@dataclasses.dataclass(slots=True)
class Server:
    """One replica as it is: slots, a bounded queue, pauses and slowdowns."""

    speed: float
    pause_at_s: float
    slowdowns: Sequence[bool]
    has_pauses: bool
    _free_at: list[float] = dataclasses.field(default_factory=lambda: [0.0] * SLOTS)
    _starts: list[float] = dataclasses.field(default_factory=list)
    _ends: list[float] = dataclasses.field(default_factory=list)

    def accept(self, work_s: float, now: float) -> tuple[float, float] | None:
        """Return when a request starts and ends; None if it is refused."""
        self._prune(now)
        if self.count_waiting(now) >= MAX_WAITING:
            return None
        start = max(now, heapq.heappop(self._free_at))
        end = start + work_s * self.speed * self.get_factor(start)
        end = self._add_pause(start, end)
        heapq.heappush(self._free_at, end)
        self._starts.append(start)
        bisect.insort(self._ends, end)
        return start, end

    def get_factor(self, now: float) -> float:
        """Return how much slower than usual the replica is."""
        return SLOWDOWN_FACTOR if self.slowdowns[int(now / SLOWDOWN_S)] else 1.0

    def count_pending(self, now: float) -> int:
        """Return how many requests run or wait."""
        return len(self._ends) - bisect.bisect_right(self._ends, now)

    def count_waiting(self, now: float) -> int:
        """Return how many requests wait."""
        return len(self._starts) - bisect.bisect_right(self._starts, now)

    def _prune(self, now: float) -> None:
        del self._ends[: bisect.bisect_right(self._ends, now)]
        del self._starts[: bisect.bisect_right(self._starts, now)]

    def _add_pause(self, start: float, end: float) -> float:
        if not self.has_pauses:
            return end
        cycle = math.floor((start - self.pause_at_s) / PAUSE_INTERVAL_S)
        pause = self.pause_at_s + cycle * PAUSE_INTERVAL_S
        if start < pause + PAUSE_S:
            return end + pause + PAUSE_S - start
        return end + PAUSE_S if end > pause + PAUSE_INTERVAL_S else end


@dataclasses.dataclass(slots=True)
class Chooser:
    """One host or aggregator with what it observed of the replicas."""

    zone: names.ZoneName
    replicas: list[replicas.Replica]
    estimators: Sequence[latency.LatencyEstimator]
    rng: random.Random
    zone_detector: zone_health.ZoneFailureDetector
    requests: int = 0
    hedges: int = 0
    expected_latency_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One request of a chooser and its attempts."""

    chooser: Chooser
    kind: int
    work_s: float
    started_at: float
    tried: list[replicas.Replica] = dataclasses.field(default_factory=list)
    ended_at: float | None = None
    is_measured: bool = False


@dataclasses.dataclass(slots=True)
class Totals:
    """What the runs of one row add up to."""

    spreads: list[float] = dataclasses.field(default_factory=list)
    uneven: list[float] = dataclasses.field(default_factory=list)
    waiting_s: list[float] = dataclasses.field(default_factory=list)
    latencies_s: list[float] = dataclasses.field(default_factory=list)
    attempts: int = 0
    cross_zone: int = 0
    refused: int = 0
    hedged: int = 0
    requests: int = 0


class Simulation:
    """Choosers and replicas of one run, and the events under way."""

    def __init__(
        self, pattern: Pattern, policy: Policy, seed: int, totals: Totals
    ) -> None:
        self._pattern = pattern
        self._policy = policy
        self._totals = totals
        self._load_rng = random.Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()
        self._estimators = [_prime_estimator(factor) for factor, _ in KINDS]
        places = [
            (zone, index)
            for zone in ZONES
            for index in range(pattern.replicas_per_zone)
        ]
        self._servers = [self._build_server(index) for _, index in places]
        self._choosers = [
            self._build_chooser(number, places, seed)
            for number in range(pattern.choosers)
        ]

    def _build_server(self, index: int) -> Server:
        slowdowns = [
            self._pattern.has_slowdowns and self._load_rng.random() < SLOWDOWN_SHARE
            for _ in range(int(2 * DURATION_S / SLOWDOWN_S))
        ]
        return Server(
            self._pattern.speeds[index % len(self._pattern.speeds)],
            self._load_rng.random() * PAUSE_INTERVAL_S,
            slowdowns,
            self._pattern.has_pauses,
        )

    def _build_chooser(
        self, number: int, places: Sequence[tuple[names.ZoneName, int]], seed: int
    ) -> Chooser:
        known = [
            replicas.Replica(
                replicas.Registration(
                    replicas.InstanceId(str(place)),
                    SERVICE,
                    names.Address("10.0.0.1", 8000 + place),
                    zone,
                    SLOTS,
                    replicas.ReplicaState.READY,
                    0.0,
                    None,
                ),
                0.0,
            )
            for place, (zone, _) in enumerate(places)
        ]
        return Chooser(
            ZONES[number % len(ZONES)],
            known,
            self._estimators,
            random.Random(f"{seed} {number}"),
            zone_health.ZoneFailureDetector(),
        )

    def run(self) -> None:
        """Send all requests and let them end."""
        for zone_number, zone in enumerate(ZONES):
            self._plan_arrivals(zone, zone_number)
        for number in range(int((DURATION_S - WARM_UP_S) / SAMPLE_INTERVAL_S)):
            self._schedule(WARM_UP_S + number * SAMPLE_INTERVAL_S, self._sample)
        while self._events:
            self._now, _, event, arguments = heapq.heappop(self._events)
            event(*arguments)

    def _plan_arrivals(self, zone: names.ZoneName, zone_number: int) -> None:
        pattern, rng = self._pattern, self._load_rng
        senders = [chooser for chooser in self._choosers if chooser.zone == zone]
        capacity_per_s = sum(SLOTS / server.speed for server in self._servers) / WORK_S
        mean_factor = sum(factor * share for factor, share in KINDS)
        mean_per_s = pattern.load * capacity_per_s / mean_factor / len(ZONES)
        at = 0.0
        while (at := at + rng.expovariate(mean_per_s * (1 + pattern.wave))) < (
            DURATION_S
        ):
            phase = 2 * math.pi * (at / WAVE_S + zone_number / len(ZONES))
            kept_share = (1 + pattern.wave * math.sin(phase)) / (1 + pattern.wave)
            # Arrivals are drawn at the peak rate and thinned to the present one.
            if rng.random() >= kept_share:
                continue
            kind = int(rng.random() >= KINDS[0][1])
            spread = rng.lognormvariate(-(WORK_SIGMA**2) / 2, WORK_SIGMA)
            request = Request(
                rng.choice(senders), kind, WORK_S * KINDS[kind][0] * spread, at
            )
            request.is_measured = at >= WARM_UP_S
            self._schedule(at, self._start, request)

    def _schedule(self, at: float, event: Callable, *arguments: object) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event, arguments))

    def _sample(self) -> None:
        lengths = [server.count_pending(self._now) for server in self._servers]
        self._totals.spreads.append(statistics.pstdev(lengths))
        overloaded = sum(length >= 2 * SLOTS for length in lengths)
        has_idle = min(lengths) < SLOTS
        self._totals.uneven.append(has_idle * overloaded / len(lengths))

    def _start(self, request: Request) -> None:
        request.chooser.requests += 1
        self._totals.requests += request.is_measured
        self._estimators[request.kind].refresh(self._now)
        self._send(request, is_hedge=False)

    def _select(self, request: Request) -> replicas.Replica | None:
        chooser = request.chooser
        untried = [r for r in chooser.replicas if r not in request.tried]
        eligible = [r for r in untried if r.is_available(self._now)] or untried
        if not eligible or len(request.tried) >= MAX_ATTEMPTS:
            return None
        chooser.expected_latency_s = self._estimators[request.kind].expected_latency_s
        return self._policy.choose(chooser, eligible, self._now)

    def _send(self, request: Request, is_hedge: bool) -> None:
        replica = self._select(request)
        if replica is None or (is_hedge and not self._may_hedge(replica)):
            return
        chooser, attempt = request.chooser, object()
        request.tried.append(replica)
        replica.record_start(attempt, self._now)
        is_near = replica.registration.zone == chooser.zone
        delay_s = SAME_ZONE_DELAY_S if is_near else OTHER_ZONE_DELAY_S
        if is_hedge:
            chooser.hedges += 1
        if request.is_measured:
            self._totals.attempts += 1
            self._totals.cross_zone += not is_near
            self._totals.hedged += is_hedge
        sent_at = self._now
        self._schedule(
            self._now + delay_s, self._arrive, request, replica, attempt, delay_s
        )
        due_s = self._estimators[request.kind].hedge_delay_s
        self._schedule(sent_at + due_s, self._hedge, request, len(request.tried))

    def _may_hedge(self, replica: replicas.Replica) -> bool:
        if self._policy.hedges_to_slowed:
            return replica.is_available(self._now)
        return replica.is_fit_for_hedge(self._now)

    def _hedge(self, request: Request, tried_count: int) -> None:
        chooser = request.chooser
        may_spend = chooser.hedges + 1 <= HEDGE_RATIO * chooser.requests + 1
        if request.ended_at is None and len(request.tried) == tried_count and may_spend:
            self._send(request, is_hedge=True)

    def _arrive(
        self,
        request: Request,
        replica: replicas.Replica,
        attempt: object,
        delay_s: float,
    ) -> None:
        server = self._servers[int(replica.id)]
        times = server.accept(request.work_s, self._now)
        if times is None:
            self._totals.refused += request.is_measured
            self._schedule(
                self._now + delay_s, self._receive_refusal, request, replica, attempt
            )
            return
        start, end = times
        if request.is_measured:
            self._totals.waiting_s.append(start - self._now)
        sent_at = self._now - delay_s
        self._schedule(end, self._reply, request, replica, attempt, (sent_at, delay_s))

    def _reply(
        self,
        request: Request,
        replica: replicas.Replica,
        attempt: object,
        times: tuple[float, float],
    ) -> None:
        sent_at, delay_s = times
        server = self._servers[int(replica.id)]
        report = None
        if self._pattern.sends_load:
            waiting = server.count_waiting(self._now)
            running = server.count_pending(self._now) - waiting
            report = replies.LoadReport(
                running, waiting, SLOTS, server.get_factor(self._now)
            )
        self._schedule(
            self._now + delay_s,
            self._receive,
            request,
            replica,
            attempt,
            (sent_at, report),
        )

    def _receive(
        self,
        request: Request,
        replica: replicas.Replica,
        attempt: object,
        result: tuple[float, replies.LoadReport | None],
    ) -> None:
        sent_at, report = result
        estimator = self._estimators[request.kind]
        latency_s = self._now - sent_at
        replica.record_success(
            attempt, latency_s / estimator.expected_latency_s, self._now
        )
        estimator.record(latency_s)
        if report is not None:
            replica.load.record_report(report, self._now)
        if request.ended_at is None:
            request.ended_at = self._now
            if request.is_measured:
                self._totals.latencies_s.append(self._now - request.started_at)

    def _receive_refusal(
        self, request: Request, replica: replicas.Replica, attempt: object
    ) -> None:
        replica.record_refusal(attempt, self._now)
        if request.ended_at is not None:
            return
        if self._select(request) is not None:
            self._send(request, is_hedge=False)


def _prime_estimator(factor: float) -> latency.LatencyEstimator:
    estimator = latency.LatencyEstimator(GOAL_S)
    for _ in range(PRIMING_SAMPLES):
        estimator.record(factor * WORK_S)
    estimator.refresh(0.0)
    return estimator


def choose_at_random(
    chooser: Chooser, eligible: Sequence[replicas.Replica], _now: float
) -> replicas.Replica:
    """Return any replica of the own zone, if there is one."""
    near = [r for r in eligible if r.registration.zone == chooser.zone]
    return chooser.rng.choice(near or eligible)


def choose_least_loaded(
    chooser: Chooser, eligible: Sequence[replicas.Replica], now: float
) -> replicas.Replica:
    """Return the replica with the lowest latency when it was last seen."""
    return min(
        eligible,
        key=lambda replica: (
            replica.slowness * (1.0 + len(replica.pending_attempts) / SLOTS),
            replica.registration.zone != chooser.zone,
            chooser.rng.random(),
        ),
    )


def choose_lowest_cost(
    chooser: Chooser, eligible: Sequence[replicas.Replica], now: float
) -> replicas.Replica:
    """Return the replica with the lowest cost by the median of its last latencies.

    This is how replicas were selected before `load_balance`.
    """
    return min(
        eligible,
        key=lambda replica: (
            _compute_median_cost_s(chooser, replica, now)
            * (1.0 + load_balance.COST_JITTER * chooser.rng.random())
        ),
    )


def _compute_median_cost_s(
    chooser: Chooser, replica: replicas.Replica, now: float
) -> float:
    cost_s = chooser.expected_latency_s * replica.estimate_slowness(now)
    if replica.pending_attempts:
        cost_s = max(cost_s, replica.get_oldest_attempt_age_s(now))
        cost_s *= 1.0 + len(replica.pending_attempts) / SLOTS
    failure_ratio = (
        replica.estimate_failure_rate(now)
        / replica_selection.COST_DOUBLING_FAILURE_RATE
    )
    cost_s *= 1.0 + failure_ratio**2
    if replica.registration.zone == chooser.zone:
        return cost_s
    return (
        replica_selection.CROSS_ZONE_COST_FACTOR * cost_s
        + replica_selection.CROSS_ZONE_PENALTY_S
    )


def choose_as_gateway(
    chooser: Chooser, eligible: Sequence[replicas.Replica], now: float
) -> replicas.Replica:
    """Return the replica that the gateway selects."""
    return replica_selection.select_replica(
        eligible,
        chooser.zone,
        chooser.zone_detector,
        chooser.expected_latency_s,
        now,
        chooser.rng,
    )


POLICIES = {
    "random": Policy(choose_at_random),
    "least-loaded": Policy(choose_least_loaded),
    "lowest-cost": Policy(choose_lowest_cost),
    "balanced": Policy(choose_as_gateway, hedges_to_slowed=False),
}


def measure(pattern: Pattern, policy: str, seeds: Sequence[int] = SEEDS) -> Row:
    """Return the figures of a pattern and a policy over all seeds."""
    totals = Totals()
    for seed in seeds:
        Simulation(pattern, POLICIES[policy], seed, totals).run()
    return Row(
        pattern=pattern.name,
        policy=policy,
        spread=round(statistics.fmean(totals.spreads), 2),
        waiting_p99_ms=_pick_ms(totals.waiting_s, 0.99),
        latency_p50_ms=_pick_ms(totals.latencies_s, 0.5),
        latency_p99_ms=_pick_ms(totals.latencies_s, 0.99),
        uneven=round(statistics.fmean(totals.uneven), 3),
        cross_zone=round(totals.cross_zone / totals.attempts, 3),
        refused=round(totals.refused / totals.requests, 4),
        hedged=round(totals.hedged / totals.requests, 3),
    )


def _pick_ms(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    place = min(len(ordered) - 1, int(quantile * len(ordered)))
    return round(1000 * ordered[place], 1)


def main() -> None:
    """Print one JSON object for each pattern and policy."""
    for pattern, policy in itertools.product(PATTERNS, POLICIES):
        print(msgspec.json.encode(measure(pattern, policy)).decode(), flush=True)


if __name__ == "__main__":
    main()
