"""The backend servers of a soak, and what goes wrong with them."""

import random
import time

import eventlet

from benchmarks.gateways import (
    faults,
    findings,
    following,
    hosts,
    links,
    publishing,
    records,
    servers,
)
from corianderrill.standins import platform

REPLICAS_A_SHARD = 3
REPLICAS_A_DESK = 2
# How long the store keeps the entry of a server that no longer extends its lease.
LEASE_S = 1.0
# After the store was away, servers register again within this time.
RETURN_S = 1.8
# A server that drains stays a little longer than it has to.
STAY_S = following.DRAIN_S + 2.0
# A server that a request has ended is back after this time.
CRASHED_S = 1.5
# One fault of a replica in so many hits one that takes bookings now.
BOOKING_FAULTS = 3
# A small part of what a replica gets.
LIMIT_PER_S = 0.5

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
KINDS_OF_ALL = {
    faults.Kind.ALL_SLOW: servers.Mood.SLOW,
    faults.Kind.ALL_REFUSING: servers.Mood.REFUSING,
    faults.Kind.ALL_FAILING: servers.Mood.FAILING,
}


class Fleet:
    """All backend servers; those that are replaced leave it."""

    def __init__(
        self,
        store: platform.FakeStore,
        history: records.History,
        setting: findings.Setting,
        desk_replicas: int,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._history = history
        self._rng = rng
        self.servers = [
            self._build_server(service, number)
            for service, count in (
                *((shard, REPLICAS_A_SHARD) for shard in setting.shards),
                *((desk, desk_replicas) for desk in publishing.DESKS),
            )
            for number in range(count)
        ]

    def _build_server(self, service: str, number: int) -> servers.Server:
        zone = hosts.ZONES[number % len(hosts.ZONES)]
        server = servers.Server(service, zone, self._history, self._rng)
        server.on_crash = self._crash_for_a_while
        return server

    def register(self) -> None:
        """Register all servers."""
        for server in self.servers:
            server.register(self._store)

    def register_again_soon(self, server: servers.Server) -> None:
        """Register a server at a random moment after the store was away."""
        delay_s = self._rng.random() * RETURN_S
        eventlet.spawn_after(delay_s, self._register_again, server)

    def _register_again(self, server: servers.Server) -> None:
        if server in self.servers:
            state = "draining" if server.is_leaving else "ready"
            server.register(self._store, state)

    def stop(self) -> None:
        """End every server."""
        for server in self.servers:
            server.stop()

    # Faults.

    def begin_for_all(self, kind: faults.Kind) -> faults.Undo:
        """Let all servers misbehave."""
        return _begin_mood(tuple(self.servers), KINDS_OF_ALL[kind])

    def begin(self, fault: faults.Fault) -> faults.Undo:
        """Begin a fault of one server; return what ends it."""
        staying = [server for server in self.servers if not server.is_leaving]
        if fault.pick % BOOKING_FAULTS == 0:
            desk = self._history.published[-1].bookings
            staying = [server for server in staying if server.service == desk]
        server = staying[fault.pick % len(staying)]
        kind = fault.kind
        match kind:
            case faults.Kind.REPLICA_CRASHED:
                return self._crash(server)
            case faults.Kind.REPLICA_REPLACED:
                eventlet.spawn(self._replace, server)
                return faults.do_nothing
            case faults.Kind.REPLICA_ANNOUNCING:
                eventlet.spawn(self._announce_leaving, server)
                return faults.do_nothing
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
            self._history.held.append(held)

        return undo

    def _limit(self, server: servers.Server) -> faults.Undo:
        if server.rate_limit is not None:
            return faults.do_nothing
        limited_id, since = server.id, time.monotonic()
        server.rate_limit = LIMIT_PER_S

        def undo() -> None:
            if server.id == limited_id:
                server.rate_limit = None
            self._history.limited.append(
                records.Limited(limited_id, LIMIT_PER_S, since, time.monotonic())
            )

        return undo

    def _crash(self, server: servers.Server) -> faults.Undo:
        if server.link.mode is links.Mode.REFUSED:
            return faults.do_nothing
        server.link.begin(links.Mode.REFUSED)
        crashed = server.id

        def lapse() -> None:
            self._store.remove(f"servers/{crashed}")
            self._history.left.append(records.Left(crashed, time.monotonic()))

        eventlet.spawn_after(LEASE_S, lapse)

        def undo() -> None:
            server.start_again()
            server.link.end(links.Mode.REFUSED)
            self._register_again(server)

        return undo

    def _crash_for_a_while(self, server: servers.Server) -> None:
        if server.link.mode is links.Mode.REFUSED:
            return
        undo = self._crash(server)
        eventlet.spawn_after(CRASHED_S, undo)

    def _replace(self, server: servers.Server) -> None:
        """Start a server in the place of another, which drains and leaves."""
        self._start_successor(server)
        server.register(self._store, "draining")
        self._history.left.append(records.Left(server.id, time.monotonic()))
        self._leave(server)

    def _announce_leaving(self, server: servers.Server) -> None:
        """Let a server say in its answers that it leaves; the store says ready."""
        if sum(s.service == server.service for s in self.servers) < 2:
            return
        server.moods.append(servers.Mood.ANNOUNCING)
        self._start_successor(server)
        self._leave(server)

    def _start_successor(self, server: servers.Server) -> None:
        server.is_leaving = True
        number = hosts.ZONES.index(server.zone)
        fresh = self._build_server(server.service, number)
        self.servers.append(fresh)
        fresh.register(self._store)

    def _leave(self, server: servers.Server) -> None:
        """Serve on for a while, and then end."""
        eventlet.sleep(STAY_S)
        self.servers.remove(server)
        self._store.remove(f"servers/{server.id}")
        eventlet.sleep(following.DRAIN_S)
        server.stop()


def _begin_mood(moody: tuple[servers.Server, ...], mood: servers.Mood) -> faults.Undo:
    for server in moody:
        server.moods.append(mood)

    def undo() -> None:
        for server in moody:
            server.moods.remove(mood)

    return undo
