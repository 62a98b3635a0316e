"""Backend servers in virtual time: slots, queues, pauses, slowness, silence.

An operation of the gateway runs against them on a loop whose clock jumps from one
timer to the next, so that seconds of load take no time and repeat exactly.
"""

import dataclasses
import heapq
import itertools
import math
import random

from corianderrill import metrics, names
from corianderrill.gateway import (
    connections,
    coordinator,
    delegation,
    event_log,
    pools,
    query_rate,
    rate_limits,
    replica_notices,
    request_outcomes,
    request_rates,
    retry_budget,
    routes,
    send_queue,
    shared_state,
    zone_health,
)
from corianderrill.platform import requests
from tests.utils import gateway_builders as builders

ZONES = ("zone-a", "zone-b", "zone-c")
CALLER_S = 0.003
OTHER_ZONE_S = 0.0009


@dataclasses.dataclass(slots=True, eq=False)
class VirtualTimer:
    call: tuple
    is_cancelled: bool = False

    def cancel(self):
        self.is_cancelled = True


class VirtualLoop:
    def __init__(self):
        self.time = 0.0
        self._queue = []
        self._order = itertools.count()

    def now(self):
        return self.time

    def call_later(self, delay_s, callback, *arguments):
        timer = VirtualTimer((callback, arguments))
        due = self.time + max(delay_s, 0.0)
        heapq.heappush(self._queue, (due, next(self._order), timer))
        return timer

    def run_until(self, end_s):
        while self._queue and self._queue[0][0] <= end_s:
            self.time, _, timer = heapq.heappop(self._queue)
            if not timer.is_cancelled:
                callback, arguments = timer.call
                callback(*arguments)
        self.time = end_s


@dataclasses.dataclass(slots=True, eq=False)
class VirtualServer:
    """One replica; `slow` windows are (from, until, factor).

    `limits` windows are (from, until, requests a second from all hosts). `log` holds
    the time and the host of each arrival, `told_at` when each host first got a reply
    with a limit.
    """

    loop: VirtualLoop
    rng: random.Random
    zone: str
    slots: int = 2
    queue: int = 12
    pause_s: float = 0.0
    pause_every_s: float = 2.4
    pause_at_s: float = 0.0
    slow: list = dataclasses.field(default_factory=list)
    silent: list = dataclasses.field(default_factory=list)
    down: list = dataclasses.field(default_factory=list)
    dark: list = dataclasses.field(default_factory=list)
    leaving: list = dataclasses.field(default_factory=list)
    quiet: list = dataclasses.field(default_factory=list)
    breaking: list = dataclasses.field(default_factory=list)
    # If set, each request ends the replica after this time.
    breaks_after_s: float | None = None
    shed_share: float = 0.0
    fail_share: float = 0.0
    limits: list = dataclasses.field(default_factory=list)
    arrivals: int = 0
    log: list = dataclasses.field(default_factory=list)
    told_at: dict = dataclasses.field(default_factory=dict)
    _free_at: list = dataclasses.field(default_factory=list)

    def __post_init__(self):
        self._free_at = [0.0] * self.slots

    def is_in(self, windows):
        now = self.loop.now()
        return any(window[0] <= now < window[1] for window in windows)

    def factor(self):
        now = self.loop.now()
        factors = [f for start, end, f in self.slow if start <= now < end]
        return max(factors, default=1.0)

    def limit(self):
        now = self.loop.now()
        limits = [limit for start, end, limit in self.limits if start <= now < end]
        return min(limits, default=None)

    def get_pause_s(self):
        """Return the rest of a pause that the replica asks for; None without one."""
        now = self.loop.now()
        ends = [end for start, end in self.quiet if start <= now < end]
        return max(ends) - now if ends else None

    def work(self, mean_s):
        """Return when a request that arrives now is done; None if it is shed."""
        now = self.loop.now()
        waiting = sum(free > now for free in self._free_at)
        index = min(range(self.slots), key=self._free_at.__getitem__)
        if waiting == self.slots and self._free_at[index] - now > (
            self.queue * mean_s / self.slots
        ):
            return None
        start = max(now, self._free_at[index])
        work_s = mean_s * self.factor() * self.rng.lognormvariate(-0.06, 0.35)
        end = self._add_pause(start, start + work_s)
        self._free_at[index] = end
        return end

    def _add_pause(self, start, end):
        if not self.pause_s:
            return end
        cycle = math.floor((start - self.pause_at_s) / self.pause_every_s)
        pause = self.pause_at_s + cycle * self.pause_every_s
        if start < pause + self.pause_s:
            return end + pause + self.pause_s - start
        if end > pause + self.pause_every_s:
            return end + self.pause_s
        return end


@dataclasses.dataclass(slots=True)
class VirtualLink:
    """The link of a host, which replies pass one after the other."""

    reply_s: float = 0.0
    _free_at: float = 0.0

    def pass_on(self, at):
        """Return when a reply that reaches the link at a time has passed."""
        self._free_at = max(self._free_at, at) + self.reply_s
        return self._free_at


class VirtualPool:
    """The connections of the host to one server; at most `max_connections` at once."""

    max_connections = 8

    def __init__(self, server, own_zone, mean_s, link, host="front-1"):
        self.server = server
        self.host = host
        self.link = link
        self.mean_s = mean_s
        self.way_s = 0.0001 if server.zone == own_zone else OTHER_ZONE_S
        self.concurrency = send_queue.ConcurrencyLimit()
        self._queue = send_queue.SendQueue()
        self._pending = 0

    def set_slots(self, slots):
        self.concurrency.min_limit = max(1.0, slots * pools.MIN_CONCURRENCY_SLOT_SHARE)

    def record_latency(self, ratio):
        self.concurrency.record_latency(ratio, self._pending + 1)

    def record_refusal(self):
        self.concurrency.record_refusal(self._pending + 1)

    def send(self, sender):
        self._queue.add(sender)
        self.server.loop.call_later(0.0, self._send_queued)
        return None

    def reject_held_back(self):
        for sender in self._queue.take_unsendable():
            sender.on_result(
                connections.FailedExchange(connections.Failure.HELD_BACK, sent=False)
            )

    def cancel_queued(self, sender):
        self._queue.discard(sender)

    def _send_queued(self):
        while (
            len(self._queue)
            and self._pending < self.max_connections
            and self.concurrency.allows(self._pending)
        ):
            self._pending += 1
            self._transmit(self._queue.pop(self.server.loop.now()))

    def _free_connection(self):
        self._pending -= 1
        self.server.loop.call_later(0.0, self._send_queued)

    def _transmit(self, sender):
        if sender.ended_at is not None:
            self._free_connection()
            return
        if self.server.is_in(self.server.dark):
            # The connection is not opened before the request ends.
            self._free_connection()
            return
        if self.server.is_in(self.server.down):
            self._free_connection()
            sender.on_result(
                connections.FailedExchange(connections.Failure.UNREACHABLE, sent=False)
            )
            return
        if not sender.may_send():
            self._free_connection()
            sender.on_result(
                connections.FailedExchange(connections.Failure.HELD_BACK, sent=False)
            )
            return
        sender.render()
        sender.on_send_start()
        if self.server.is_in(self.server.silent):
            self._free_connection()
            return
        self.server.loop.call_later(self.way_s, self._arrive, sender)

    def _arrive(self, sender):
        server = self.server
        server.arrivals += 1
        server.log.append((server.loop.now(), self.host))
        if server.is_in(server.breaking):
            server.loop.call_later(self.way_s, self._break_off, sender)
            return
        if server.breaks_after_s is not None:
            server.loop.call_later(server.breaks_after_s, self._break_off, sender)
            return
        pause_s = server.get_pause_s()
        if pause_s is not None:
            self._reply_later(0.0, sender, build_refusal(sender, pause_s))
            return
        drawn = server.rng.random()
        done = None if drawn < server.shed_share else server.work(self.mean_s)
        if done is None:
            self._reply_later(0.0, sender, build_refusal(sender))
            return
        left_s = done - server.loop.now()
        failed = server.rng.random() < server.fail_share
        status = 500 if failed else 200
        reply = build_reply(
            sender, status, server.limit(), server.is_in(server.leaving)
        )
        self._reply_later(left_s, sender, reply)

    def _break_off(self, sender):
        self._free_connection()
        sender.on_result(
            connections.FailedExchange(connections.Failure.RESET, sent=True)
        )

    def _reply_later(self, left_s, sender, reply):
        self.server.loop.call_later(left_s + self.way_s, self._return, sender, reply)

    def _return(self, sender, reply):
        loop = self.server.loop
        delay_s = self.link.pass_on(loop.now()) - loop.now()
        loop.call_later(delay_s, self._deliver, sender, reply)

    def _deliver(self, sender, reply):
        self._free_connection()
        if any(name == b"server-limit" for name, _ in reply.headers):
            self.server.told_at.setdefault(self.host, self.server.loop.now())
        sender.on_result(reply)


def build_refusal(sender, pause_s=None):
    request_id = sender.owner.request.id.encode()
    headers = [(b"x-request-id", request_id), (b"x-not-executed", b"1")]
    if pause_s is not None:
        headers.append((b"retry-after", f"{pause_s:.3f}".encode()))
    return connections.RawReply(503, headers, b"")


def build_reply(sender, status, limit=None, is_leaving=False):
    request_id = sender.owner.request.id.encode()
    headers = [(b"x-request-id", request_id), (b"x-server-stamp", b"signed")]
    if limit is not None:
        headers.append((b"server-limit", str(limit).encode()))
    if is_leaving:
        headers.append((b"server-leaving", b"1"))
    return connections.RawReply(status, headers, b"r" * 16)


class VirtualPools:
    def __init__(self):
        self.by_address = {}

    def get(self, address, cap, is_near):
        return self.by_address[address]

    def count_opened(self):
        return 0


class Silence:
    def record(self, record: event_log.Record):
        pass


@dataclasses.dataclass(slots=True)
class Ended:
    """How one request ended, as its caller sees it."""

    at_s: float
    took_s: float
    outcome: request_outcomes.Outcome
    parts: int
    missing: int


class Site:
    """Shards with a replica in each zone, and one host, in the first zone by default.

    Several hosts may share one `loop` and the `servers` of the first of them.
    """

    def __init__(
        self,
        shards=10,
        seed=1,
        mean_s=0.0112,
        goal_s=0.0925,
        timeout_s=0.8,
        min_coverage=0.89,
        fixed=58.0,
        target=None,
        reply_s=0.0,
        mode=delegation.Mode.NOTHING,
        zone=ZONES[0],
        host="front-1",
        loop=None,
        servers=None,
        **route,
    ):
        self.mode = mode
        self.host = host
        self.frozen = []
        self.loop = loop or VirtualLoop()
        self.rng = random.Random(seed)
        services = tuple(names.ServiceName(f"shard-{n}") for n in range(shards))
        target = target or routes.ScatterGather(services, 10, min_coverage)
        self.route = builders.build_route(
            target, goal_s=goal_s, timeout_s=timeout_s, **route
        )
        self.services = services
        belief = builders.build_view()
        belief.apply_configuration(
            builders.build_configuration(self.route, services=services)
        )
        virtual_pools = VirtualPools()
        link = VirtualLink(reply_s)
        places = list(itertools.product(services, ZONES))
        self.servers = servers or [self._build_server(place) for _, place in places]
        for index, (service, place) in enumerate(places):
            address = names.Address("10.0.0.1", 8000 + index)
            virtual_pools.by_address[address] = VirtualPool(
                self.servers[index], zone, mean_s, link, host
            )
            registration = builders.build_registration(
                f"i-{index}", service, place, address=address
            )
            belief.apply_registration(registration, index + 2, 0.0)
        log = Silence()
        self.demand = builders.build_demand_directory(host)
        meter = metrics.Recorder()
        self.tools = shared_state.SharedState(
            zone=names.ZoneName(zone),
            view=belief,
            pools=virtual_pools,
            retry_budget=retry_budget.build_retry_budget(0.2, fixed, -60.0),
            log=log,
            meter=meter,
            loop=self.loop,
            rng=self.rng,
            zone_detector=zone_health.ZoneFailureDetector(),
            aggregators=builders.build_aggregator_directory(),
            query_rate=query_rate.QueryRate(),
            rate_limits=rate_limits.RateLimits(self.demand, log, meter, self.rng),
            request_rates=request_rates.RequestRates(0.0),
            crash_watch=builders.build_crash_watch(belief, log, self.loop.now),
            notices=replica_notices.ReplicaNotices(belief, log, meter),
        )
        self.ended = []
        self.coordinators = []
        self.asked = 0

    def _build_server(self, zone):
        server = VirtualServer(self.loop, self.rng, zone)
        server.pause_at_s = self.rng.random() * server.pause_every_s
        return server

    def ask(self, **options):
        """Send one request now; the options are those of its coordinator."""
        self.asked += 1
        inbound = requests.InboundRequest(
            id=names.RequestId(f"q-{self.host}-{self.asked}"),
            method="GET",
            target="/a/x",
            host=builders.HOST,
            time_limit_s=self.route.timeout_s,
            received_at=self.loop.now(),
            head=b"GET /a/x HTTP/1.1\r\n",
            body=b"",
        )
        holder = []

        def conclude(conclusion):
            work = holder[0]
            parts = work.progress.count_parts()
            self.ended.append(
                Ended(
                    inbound.received_at,
                    self.loop.now() - inbound.received_at + 2 * CALLER_S,
                    conclusion,
                    parts,
                    len(work.sub_requests) - parts,
                )
            )

        services = self.services
        if not isinstance(self.route.target, routes.ScatterGather):
            services = (self.route.target.service,)
        selected = routes.SelectedRoute(self.tools.view.configuration, self.route)
        work = coordinator.RequestCoordinator(
            self.tools,
            inbound,
            selected,
            services,
            conclude,
            **{"mode": self.mode, **options},
        )
        holder.append(work)
        self.coordinators.append(work)
        work.start()
        return work

    def remove(self, server):
        """Remove a replica from what the host knows."""
        index = self.servers.index(server)
        registered = len(self.servers) + 2
        self.tools.view.apply_removal(f"i-{index}", registered + index, 0.0)
        self.tools.view.drop_expired(60.0)

    def run(self, per_s, until_s):
        """Send requests at random times, then let all of them end."""
        self.schedule(per_s, 0.0, until_s)
        self.loop.run_until(until_s + 2.0)

    def schedule(self, per_s, at, until_s):
        """Send requests at random times between two times, once the loop runs."""
        while (at := at + self.rng.expovariate(per_s)) < until_s:
            ends = [end for start, end in self.frozen if start <= at < end]
            self.loop.call_later(max([at, *ends]) - self.loop.now(), self.ask)

    def compute_on_time_share(self, since_s=0.0):
        """Return the share of requests with a success within the goal."""
        asked = [ended for ended in self.ended if ended.at_s >= since_s]
        good = (
            request_outcomes.Outcome.COMPLETE,
            request_outcomes.Outcome.PARTIAL,
        )
        on_time = [
            ended
            for ended in asked
            if ended.outcome in good and ended.took_s <= self.route.goal_s
        ]
        return len(on_time) / len(asked)

    def compute_complete_share(self):
        """Return the share of requests whose answer holds every part."""
        whole = [
            e for e in self.ended if e.outcome is request_outcomes.Outcome.COMPLETE
        ]
        return len(whole) / len(self.ended)
