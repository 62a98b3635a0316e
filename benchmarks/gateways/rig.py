"""The rig of a soak: a store, backend servers, gateways, callers; and its faults."""

import dataclasses
import functools
import pathlib
import random
import time

import eventlet

from benchmarks.gateways import (
    callers,
    crossings,
    faults,
    findings,
    fleet,
    hosts,
    links,
    publishing,
    records,
    servers,
    store_faults,
)
from corianderrill.standins import platform

CRASHING_GAP_S = 0.3
LAG_STEP_S = 0.05
# A driver that is held up for longer cannot tell what the hosts did.
LAG_AT_MOST_S = 0.1
WATCH_EVERY_S = 0.2
# Hosts are in touch again by then.
NEXT_VERSION_AFTER_S = findings.CONTACT_S + 0.5
FIXED_BASE = 40
FIXED_A_HOST = 2
# Sized for as many hosts as make gateways want aggregators.
FIXED_WITH_AGGREGATORS = 200.0

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


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How large a run is; `per_s` is the load over all callers."""

    hosts: int = 4
    shards: int = 6
    callers: int = 16
    per_s: float = 30.0
    has_aggregators: bool = False
    desk_replicas: int = fleet.REPLICAS_A_DESK


class Rig:
    """Everything that one run starts."""

    def __init__(self, size: Size, directory: pathlib.Path, rng: random.Random) -> None:
        self._size = size
        self._rng = rng
        self.history = records.History(time.monotonic())
        shards = (f"shard-{number}" for number in range(size.shards))
        self.setting = findings.Setting(
            tuple(map(records.ServiceName, shards)),
            FIXED_WITH_AGGREGATORS
            if size.has_aggregators
            else FIXED_BASE + FIXED_A_HOST * size.hosts,
            size.has_aggregators,
        )
        self.store = platform.FakeStore()
        self._operator = publishing.Operator(self.store, self.history, self.setting)
        self._fleet = fleet.Fleet(
            self.store, self.history, self.setting, size.desk_replicas, rng
        )
        self._store_faults = store_faults.StoreFaults(
            self.store, self.history, self._fleet, self._operator
        )
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

    def run(self, seconds: float, plan: tuple[faults.Fault, ...]) -> None:
        """Start everything, ask and disturb, and stop."""
        self._operator.publish()
        self._fleet.register()
        for host in self._hosts:
            host.start()
        for host in self._hosts:
            host.wait_ready()
        began_at = self.history.began_at = time.monotonic()
        background = [
            eventlet.spawn(self._watch),
            eventlet.spawn(self._measure_lag),
            eventlet.spawn(self._store_faults.keep_copies),
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
        self._fleet.stop()
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
    ) -> faults.Undo | None:
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
            case _ if kind in store_faults.KINDS:
                return self._store_faults.begin(kind, since)
            case faults.Kind.PUBLISHED:
                return self._operator.publish
            case faults.Kind.CALLERS_LEAVE:
                return self._begin_habit("leaves_early")
            case faults.Kind.CALLERS_SLOW:
                return self._begin_habit("sends_slowly")
            case faults.Kind.STORE_WATCHES_SILENT:
                return self._store_faults.begin_silent_watches()
            case faults.Kind.STORE_REPLY_DROPPED:
                return self._begin_dropped_reply(host, since)
            case faults.Kind.STORE_STALE:
                return self._store_faults.begin_stale_reads()
            case faults.Kind.CRASHING_REQUEST:
                return self._begin_crashing(fault)
            case _ if kind in fleet.KINDS_OF_ALL:
                return self._fleet.begin_for_all(kind)
            case _:
                return self._fleet.begin(fault)

    def _begin_link(
        self, link: links.Link, mode: links.Mode, host: hosts.Host, since: float
    ) -> faults.Undo:
        link.begin(mode)
        span = self.history.disturb(since, host.name)

        def undo() -> None:
            link.end(mode)
            self.history.end_disturbance(span, time.monotonic())

        return undo

    def _begin_dropped_reply(self, host: hosts.Host, since: float) -> faults.Undo:
        """Lose the reply that tells a host of a version; another one follows."""
        undo = self._begin_link(host.store_link, links.Mode.DROPPED, host, since)
        self._operator.publish()
        eventlet.spawn_after(NEXT_VERSION_AFTER_S, self._operator.publish)
        return undo

    def _begin_host(
        self, kind: faults.Kind, host: hosts.Host, since: float
    ) -> faults.Undo:
        if kind is faults.Kind.HOST_RELOADED:
            # Planned work, no disturbance.
            host.reload()
            return lambda: host.reload() if host.is_up else None
        span = self.history.disturb(since, host.name)
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
            self.history.end_disturbance(span, time.monotonic())

        return undo

    def _begin_crossing(self, host: hosts.Host) -> faults.Undo | None:
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

    def _begin_crashing(self, fault: faults.Fault) -> faults.Undo:
        """Let one more caller send a request that ends each server that runs it."""
        caller = callers.Caller(self._balancer, self.history, self._rng)
        caller.body = servers.CRASHING_BODY + str(fault.pick).encode()
        until = time.monotonic() + fault.until_s - fault.since_s
        eventlet.spawn(caller.run, CRASHING_GAP_S, until)
        return faults.do_nothing

    def _begin_habit(self, name: str) -> faults.Undo:
        for caller in self._callers:
            setattr(caller, name, True)

        def undo() -> None:
            for caller in self._callers:
                setattr(caller, name, False)

        return undo
