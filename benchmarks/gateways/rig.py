"""The rig of a soak: a store, backend servers, gateways, callers; and its faults."""

import collections
import dataclasses
import functools
import itertools
import pathlib
import random
import time
from collections.abc import Callable

import eventlet

from benchmarks.gateways import (
    callers,
    checks,
    crossings,
    faults,
    hosts,
    links,
    records,
    servers,
)
from corianderrill.standins import platform

REPLICAS_A_SHARD = 3
REPLICAS_A_DESK = 2
DESKS = tuple(records.ServiceName(f"desk-{number}") for number in range(4))
MAX_CONNECTIONS = 64
# How long the store keeps the entry of a server that no longer extends its lease.
LEASE_S = 1.0
# After the store was away, servers register again within this time.
RETURN_S = 1.8
# A server that drains stays a little longer than it has to.
STAY_S = checks.DRAIN_S + 2.0
# A restored store goes back by so much.
COPY_AGE_S = 5.0
COPY_EVERY_S = 0.5
# A server that a request has ended is back after this time.
CRASHED_S = 1.5
CRASHING_GAP_S = 0.3
LAG_STEP_S = 0.05
# A driver that is held up for longer cannot tell what the hosts did.
LAG_AT_MOST_S = 0.1
WATCH_EVERY_S = 0.2
# One fault of a replica in so many hits one that takes bookings now.
BOOKING_FAULTS = 3
GOAL_MS = 300
# A small part of what a replica gets.
LIMIT_PER_S = 0.5
FIXED_BASE = 40
FIXED_A_HOST = 2
# Sized for as many hosts as make gateways want aggregators.
FIXED_WITH_AGGREGATORS = 200.0

_ENTRY = (
    b'{"service":"shard-0","address":"127.0.0.1:%b","zone":"zone-a","version":"v1",'
    b'"capacity":%b,"state":"ready","warmup_left_ms":0,"seq_no":1,"born":%b}'
)
# Entries of another writer: nested deeply, with numbers too large, with no port.
ODD_ENTRIES = (
    b'{"a":' + b"[" * 100_000,
    _ENTRY % (b"9", b"1" + b"0" * 400, b"1"),
    _ENTRY % (b"9", b"1", b"1" + b"0" * 30),
    _ENTRY % ("\u00b2".encode(), b"1", b"1"),
    _ENTRY % (b"70000", b"1", b"1"),
)

Undo = Callable[[], None]

_CALLERS_LINK_MODES = {
    faults.Kind.CALLERS_DELAYED: links.Mode.DELAYED,
    faults.Kind.CALLERS_RESET: links.Mode.RESET,
}
_STORE_LINK_MODES = {
    faults.Kind.STORE_DELAYED: links.Mode.DELAYED,
    faults.Kind.STORE_RESET: links.Mode.RESET,
    faults.Kind.STORE_REPLIES_LOST: links.Mode.BACK_LOST,
    faults.Kind.STORE_SILENT: links.Mode.SILENT,
    faults.Kind.STORE_MUTED: links.Mode.MUTED,
    faults.Kind.STORE_CUT: links.Mode.CUT,
}
_REPLICA_LINK_MODES = {
    faults.Kind.REPLICA_DELAYED: links.Mode.DELAYED,
    faults.Kind.REPLICA_RESET: links.Mode.RESET,
    faults.Kind.REPLICA_REPLIES_LOST: links.Mode.BACK_LOST,
    faults.Kind.REPLICA_REQUESTS_LOST: links.Mode.FORTH_LOST,
    faults.Kind.REPLICA_SILENT: links.Mode.SILENT,
    faults.Kind.REPLICA_MUTED: links.Mode.MUTED,
    faults.Kind.REPLICA_CUT: links.Mode.CUT,
}
_MOODS = {
    faults.Kind.REPLICA_SLOW: servers.Mood.SLOW,
    faults.Kind.REPLICA_REFUSING: servers.Mood.REFUSING,
    faults.Kind.REPLICA_FAILING: servers.Mood.FAILING,
    faults.Kind.REPLICA_ENDLESS: servers.Mood.ENDLESS,
    faults.Kind.REPLICA_REPEATING: servers.Mood.REPEATING,
    faults.Kind.REPLICA_QUIET: servers.Mood.QUIET,
}
_MOODS_OF_ALL = {
    faults.Kind.ALL_SLOW: servers.Mood.SLOW,
    faults.Kind.ALL_REFUSING: servers.Mood.REFUSING,
    faults.Kind.ALL_FAILING: servers.Mood.FAILING,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How large a run is; `per_s` is the load over all callers."""

    hosts: int = 4
    shards: int = 6
    callers: int = 16
    per_s: float = 30.0
    has_aggregators: bool = False
    desk_replicas: int = REPLICAS_A_DESK


class Rig:
    """Everything that one run starts."""

    def __init__(self, size: Size, directory: pathlib.Path, rng: random.Random) -> None:
        self._size = size
        self._rng = rng
        self.history = records.History(time.monotonic())
        shards = (f"shard-{number}" for number in range(size.shards))
        self.setting = checks.Setting(
            tuple(map(records.ServiceName, shards)),
            FIXED_WITH_AGGREGATORS
            if size.has_aggregators
            else FIXED_BASE + FIXED_A_HOST * size.hosts,
            size.has_aggregators,
        )
        self.store = platform.FakeStore()
        self._copies: collections.deque[object] = collections.deque(
            maxlen=round(COPY_AGE_S / COPY_EVERY_S)
        )
        self._version = 0
        self._garbage = itertools.count(1)
        self._busy = 0
        self._servers = [
            self._build_server(service, number)
            for service, count in (
                *((shard, REPLICAS_A_SHARD) for shard in self.setting.shards),
                *((desk, size.desk_replicas) for desk in DESKS),
            )
            for number in range(count)
        ]
        self._hosts = [
            hosts.Host(
                number,
                directory,
                self.history,
                self.store.address,
                self.setting.repeat_fixed,
                size.has_aggregators,
            )
            for number in range(size.hosts)
        ]
        self._balancer: callers.Balancer | None = None
        self._callers: list[callers.Caller] = []
        self.lag_s = 0.0

    def _build_server(self, service: str, number: int) -> servers.Server:
        zone = hosts.ZONES[number % len(hosts.ZONES)]
        server = servers.Server(service, zone, self.history, self._rng)
        server.on_crash = self._crash_for_a_while
        return server

    def run(self, seconds: float, plan: tuple[faults.Fault, ...]) -> None:
        """Start everything, ask and disturb, and stop."""
        self._publish()
        for server in self._servers:
            server.register(self.store)
        for host in self._hosts:
            host.start()
        for host in self._hosts:
            host.wait_ready()
        began_at = self.history.began_at = time.monotonic()
        background = [
            eventlet.spawn(self._watch),
            eventlet.spawn(self._measure_lag),
            eventlet.spawn(self._copy_store),
        ]
        asking = self._start_callers(began_at + seconds)
        for fault in plan:
            eventlet.sleep(max(0.0, began_at + fault.since_s - time.monotonic()))
            eventlet.spawn(self._carry_out, fault, began_at)
        self.history.faults_end_at = began_at + (1.0 - faults.CALM_AFTER) * seconds
        for thread in asking:
            thread.wait()
        self.history.ended_at = time.monotonic()
        for thread in background:
            thread.kill()
        self._balancer.stop()

    def stop(self) -> None:
        """End every process and listener of this run."""
        for host in self._hosts:
            host.stop()
        for server in self._servers:
            server.stop()
        self.store.stop()

    def _start_callers(self, until: float) -> list[eventlet.greenthread.GreenThread]:
        doors = tuple(host.door for host in self._hosts)
        self._balancer = callers.Balancer(doors)
        self._callers = [
            callers.Caller(self._balancer, self.history, self._rng)
            for _ in range(self._size.callers)
        ]
        gap_s = self._size.callers / self._size.per_s
        return [eventlet.spawn(caller.run, gap_s, until) for caller in self._callers]

    def _watch(self) -> None:
        while True:
            eventlet.sleep(WATCH_EVERY_S)
            for host in self._hosts:
                host.look()

    def _measure_lag(self) -> None:
        """Note when this process was held up, since all it saw is late then."""
        while True:
            began = time.monotonic()
            eventlet.sleep(LAG_STEP_S)
            lag_s = time.monotonic() - began - LAG_STEP_S
            self.lag_s = max(self.lag_s, lag_s)
            if lag_s > LAG_AT_MOST_S:
                span = records.Disturbed(began, time.monotonic())
                self.history.disturbed.append(span)

    # Faults.

    def _carry_out(self, fault: faults.Fault, began_at: float) -> None:
        since = time.monotonic()
        host = self._hosts[fault.pick % len(self._hosts)]
        undo = self._begin(fault, host, since)
        if undo is None:
            return
        eventlet.sleep(max(0.0, began_at + fault.until_s - time.monotonic()))
        undo()

    def _begin(
        self, fault: faults.Fault, host: hosts.Host, since: float
    ) -> Undo | None:
        """Begin a fault; return what ends it, or nothing where it cannot happen now."""
        kind = fault.kind
        match kind:
            case _ if kind in _CALLERS_LINK_MODES:
                mode = _CALLERS_LINK_MODES[kind]
                return self._begin_link(host.callers_link, mode, host, since)
            case _ if kind in _STORE_LINK_MODES:
                mode = _STORE_LINK_MODES[kind]
                return self._begin_link(host.store_link, mode, host, since)
            case (
                faults.Kind.HOST_PAUSED
                | faults.Kind.HOST_KILLED
                | faults.Kind.HOST_TERMINATED
                | faults.Kind.HOST_RELOADED
            ):
                return self._begin_host(kind, host, since) if host.is_up else None
            case faults.Kind.HOST_CROSSED:
                return self._begin_crossing(host) if host.is_up else None
            case (
                faults.Kind.STORE_BUSY
                | faults.Kind.STORE_RESTORED
                | faults.Kind.STORE_LAPSED
                | faults.Kind.STORE_FORGETFUL
                | faults.Kind.STORE_GARBAGE
            ):
                return self._begin_store(kind, since)
            case faults.Kind.PUBLISHED:
                return self._publish
            case faults.Kind.CALLERS_LEAVE:
                return self._begin_habit("leaves_early")
            case faults.Kind.CALLERS_SLOW:
                return self._begin_habit("sends_slowly")
            case faults.Kind.STORE_WATCHES_SILENT:
                return self._begin_silent_watches()
            case faults.Kind.CRASHING_REQUEST:
                return self._begin_crashing(fault)
            case _ if kind in _MOODS_OF_ALL:
                return _begin_mood(tuple(self._servers), _MOODS_OF_ALL[kind])
            case _:
                return self._begin_replica(fault)

    def _begin_link(
        self, link: links.Link, mode: links.Mode, host: hosts.Host, since: float
    ) -> Undo:
        link.begin(mode)
        span = self._disturb(since, host)

        def undo() -> None:
            link.end(mode)
            self._end_disturbance(span)

        return undo

    def _begin_host(self, kind: faults.Kind, host: hosts.Host, since: float) -> Undo:
        if kind is faults.Kind.HOST_RELOADED:
            # Planned work, no disturbance.
            host.reload()
            return lambda: host.reload() if host.is_up else None
        span = self._disturb(since, host)
        match kind:
            case faults.Kind.HOST_PAUSED:
                end = functools.partial(host.resume, host.pause())
            case faults.Kind.HOST_KILLED:
                host.kill()
                end = host.start_whole
            case _:
                host.terminate(since)
                end = host.start_whole

        def undo() -> None:
            end()
            self._end_disturbance(span)

        return undo

    def _begin_crossing(self, host: hosts.Host) -> Undo | None:
        """Stop a host while callers use their kept connections to it."""
        crossing = crossings.Crossing(
            host.door, self._balancer, self.history, self._rng
        )
        crossing.connect()
        if not host.is_up:
            return None
        since = time.monotonic()
        crossing.cross(since)
        return self._begin_host(faults.Kind.HOST_TERMINATED, host, since)

    def _begin_store(self, kind: faults.Kind, since: float) -> Undo:
        match kind:
            case faults.Kind.STORE_FORGETFUL:
                self.store.compact_history()
                return _do_nothing
            case faults.Kind.STORE_GARBAGE:
                number = next(self._garbage)
                self.store.put(f"servers/garbage-{number}", b"{not a server")
                self.store.put("op/other", b"\xff")
                odd = ODD_ENTRIES[number % len(ODD_ENTRIES)]
                self.store.put(f"servers/odd-{number}", odd)
                self.store.put(f"demand/odd-{number}", odd)
                return _do_nothing
        span = self._disturb(since, None)
        self._busy += 1
        self.store.is_down = True
        copy = self._copies[0]

        def undo() -> None:
            self._busy -= 1
            if kind is faults.Kind.STORE_RESTORED:
                self._restore(copy)
            self.store.is_down = self._busy > 0
            if kind is faults.Kind.STORE_LAPSED:
                self._lapse()
            self._end_disturbance(span)

        return undo

    def _copy_store(self) -> None:
        """Keep copies of the store; the oldest is as old as `COPY_AGE_S`."""
        while True:
            self._copies.append(self.store.take_copy())
            eventlet.sleep(COPY_EVERY_S)

    def _restore(self, copy: object) -> None:
        """Go back to a copy; the operator and the servers write again."""
        self.store.restore(copy)
        self._copies.clear()
        self._copies.append(self.store.take_copy())
        self.store.put("op/config", self._newest)
        keys = self.store.list_keys()
        living = {f"servers/{server.id}" for server in self._servers}
        for key in keys - living:
            if key.startswith("servers/"):
                eventlet.spawn_after(LEASE_S, self.store.remove, key)
        for server in self._servers:
            if server.is_leaving or f"servers/{server.id}" not in keys:
                delay_s = self._rng.random() * RETURN_S
                eventlet.spawn_after(delay_s, self._register_again, server)

    def _begin_crashing(self, fault: faults.Fault) -> Undo:
        """Let one more caller send a request that ends each server that runs it."""
        caller = callers.Caller(self._balancer, self.history, self._rng)
        caller.body = servers.CRASHING_BODY + str(fault.pick).encode()
        until = time.monotonic() + fault.until_s - fault.since_s
        eventlet.spawn(caller.run, CRASHING_GAP_S, until)
        return _do_nothing

    def _crash_for_a_while(self, server: servers.Server) -> None:
        if server.link.mode is links.Mode.REFUSED:
            return
        undo = self._crash(server)
        eventlet.spawn_after(CRASHED_S, undo)

    def _lapse(self) -> None:
        """Lose the entries of all servers; those that live register again soon."""
        for server in self._servers:
            self.store.remove(f"servers/{server.id}")
            delay_s = self._rng.random() * RETURN_S
            eventlet.spawn_after(delay_s, self._register_again, server)

    def _register_again(self, server: servers.Server) -> None:
        if server in self._servers:
            state = "draining" if server.is_leaving else "ready"
            server.register(self.store, state)

    def _begin_habit(self, name: str) -> Undo:
        for caller in self._callers:
            setattr(caller, name, True)

        def undo() -> None:
            for caller in self._callers:
                setattr(caller, name, False)

        return undo

    def _begin_silent_watches(self) -> Undo:
        """Answer no watch; hosts have to follow the store by other calls."""
        self.store.are_watches_silent = True

        def undo() -> None:
            self.store.are_watches_silent = False

        return undo

    def _begin_replica(self, fault: faults.Fault) -> Undo:
        staying = [server for server in self._servers if not server.is_leaving]
        if fault.pick % BOOKING_FAULTS == 0:
            desk = self.history.published[-1].bookings
            staying = [server for server in staying if server.service == desk]
        server = staying[fault.pick % len(staying)]
        kind = fault.kind
        match kind:
            case faults.Kind.REPLICA_CRASHED:
                return self._crash(server)
            case faults.Kind.REPLICA_REPLACED:
                eventlet.spawn(self._replace, server)
                return _do_nothing
            case faults.Kind.REPLICA_ANNOUNCING:
                eventlet.spawn(self._announce_leaving, server)
                return _do_nothing
            case faults.Kind.REPLICA_LIMITED:
                return self._limit(server)
        if kind in _MOODS:
            return _begin_mood((server,), _MOODS[kind])
        mode = _REPLICA_LINK_MODES[kind]
        server.link.begin(mode)
        since = time.monotonic()

        def undo() -> None:
            server.link.end(mode)
            held = records.Held(server.id, since, time.monotonic())
            self.history.held.append(held)

        return undo

    def _limit(self, server: servers.Server) -> Undo:
        if server.rate_limit is not None:
            return _do_nothing
        limited_id, since = server.id, time.monotonic()
        server.rate_limit = LIMIT_PER_S

        def undo() -> None:
            if server.id == limited_id:
                server.rate_limit = None
            self.history.limited.append(
                records.Limited(limited_id, LIMIT_PER_S, since, time.monotonic())
            )

        return undo

    def _crash(self, server: servers.Server) -> Undo:
        if server.link.mode is links.Mode.REFUSED:
            return _do_nothing
        server.link.begin(links.Mode.REFUSED)
        crashed = server.id

        def lapse() -> None:
            self.store.remove(f"servers/{crashed}")
            self.history.left.append(records.Left(crashed, time.monotonic()))

        eventlet.spawn_after(LEASE_S, lapse)

        def undo() -> None:
            server.start_again()
            server.link.end(links.Mode.REFUSED)
            self._register_again(server)

        return undo

    def _replace(self, server: servers.Server) -> None:
        """Start a server in the place of another, which drains and leaves."""
        server.is_leaving = True
        number = hosts.ZONES.index(server.zone)
        fresh = self._build_server(server.service, number)
        self._servers.append(fresh)
        fresh.register(self.store)
        server.register(self.store, "draining")
        self.history.left.append(records.Left(server.id, time.monotonic()))
        eventlet.sleep(STAY_S)
        self._servers.remove(server)
        self.store.remove(f"servers/{server.id}")
        eventlet.sleep(checks.DRAIN_S)
        server.stop()

    def _announce_leaving(self, server: servers.Server) -> None:
        """Let a server say in its answers that it leaves; the store says ready."""
        if sum(s.service == server.service for s in self._servers) < 2:
            return
        server.is_leaving = True
        server.moods.append(servers.Mood.ANNOUNCING)
        number = hosts.ZONES.index(server.zone)
        fresh = self._build_server(server.service, number)
        self._servers.append(fresh)
        fresh.register(self.store)
        eventlet.sleep(STAY_S)
        self._servers.remove(server)
        self.store.remove(f"servers/{server.id}")
        eventlet.sleep(checks.DRAIN_S)
        server.stop()

    def _publish(self) -> None:
        """Publish the next version, which sends bookings to the next service."""
        self._version += 1
        desk = DESKS[self._version % len(DESKS)]
        self._newest = build_configuration(self._version, self.setting, desk)
        self.store.put("op/config", self._newest)
        self.history.published.append(
            records.Published(self._version, time.monotonic(), desk)
        )

    # What was disturbed.

    def _disturb(self, since: float, host: hosts.Host | None) -> records.Disturbed:
        """Note a disturbance without an end yet."""
        span = records.Disturbed(
            since, float("inf"), None if host is None else host.name
        )
        self.history.disturbed.append(span)
        return span

    def _end_disturbance(self, span: records.Disturbed) -> None:
        self.history.disturbed.remove(span)
        self.history.disturbed.append(dataclasses.replace(span, until=time.monotonic()))


def _begin_mood(moody: tuple[servers.Server, ...], mood: servers.Mood) -> Undo:
    for server in moody:
        server.moods.append(mood)

    def undo() -> None:
        for server in moody:
            server.moods.remove(mood)

    return undo


def _do_nothing() -> None:
    """End a fault that was over at once."""


def build_configuration(
    version: int, setting: checks.Setting, desk: records.ServiceName
) -> dict[str, object]:
    """Return the operator's document of a version."""
    shared = {
        "host": callers.HOST,
        "priority": 1,
        "max_attempts": checks.MAX_ATTEMPTS,
        "latency_goal_ms": GOAL_MS,
    }
    query = {
        **shared,
        "name": "sweep",
        "prefix": "/sweep/",
        "type": "safe",
        "timeout_ms": 1000 * records.QUERY_TIMEOUT_S,
        "gather": list(setting.shards),
        "top_k": checks.TOP,
        "min_coverage": checks.MIN_COVERAGE,
    }
    booking = {
        **shared,
        "name": "desk",
        "prefix": "/desk/",
        "type": "unsafe",
        "timeout_ms": 1000 * records.BOOKING_TIMEOUT_S,
        "service": desk,
    }
    services = [
        {"name": name, "max_conns": MAX_CONNECTIONS}
        for name in (*setting.shards, *DESKS)
    ]
    return {"version": version, "routes": [query, booking], "services": services}
