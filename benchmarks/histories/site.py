"""A site in virtual time: its store, its hosts, what happens to them, and the judge.

A host is judged by the last version that the store acknowledged longer ago than a
change may take, unless something happens to the host itself or to the store for all
hosts, or has happened within the contact time.
"""

import collections
import dataclasses
import functools
import itertools
import json
import math
import random

import eventlet

from benchmarks.histories import hosts, links, virtual_hub, virtual_store
from corianderrill.gateway import aggregators
from corianderrill.platform import documents

CHECK_INTERVAL_S = 0.1
ACKNOWLEDGEMENT_S = 0.04
OPERATOR_PAUSE_S = 0.3
# Of a store that is slow, one way.
SLOW_WAY_S = 0.13
STORE_BYTES_PER_S = 125e6
# Of base64.
WIRE_RATIO = 4 / 3
# Of a host's link, for configurations.
MAX_LINK_SHARE = 0.5
SERVICE = "shard-1"
HTTP_HOST = "leno.example"
# Of a configuration with 1,400 routes.
FILLING_BYTES = 280_000
_FILLING_BLOCK = "".join(random.Random(1).choices("abcdefghij0123456789", k=20_000))
INVALID_VALUES = (
    b"{",
    b'{"version":%d,"routes":[{"name":"r"}],"services":[]}',
    b'{"version":%d,"routes":"none","services":[]}',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """The size of a site; links are in bytes a second.

    `host_count` hosts stand for `full_count`, and their outbound links are as much
    narrower.
    """

    apply_delay_s: float
    host_count: int
    aggregator_count: int
    full_count: float
    outbound_bytes_per_s: float = 12.5e6
    inbound_bytes_per_s: float = 12.5e6

    @property
    def contact_s(self) -> float:
        """How long after a fault nobody is judged."""
        return max(self.apply_delay_s, 4.0)


SMALL = Shape(3.0, 4, 0, 9.0)
GROWN = Shape(5.0, 6, 2, 70.0)
NARROW = Shape(5.0, 6, 2, 70.0, outbound_bytes_per_s=0.5e6, inbound_bytes_per_s=1.6e6)
LARGE = Shape(6.0, 6, 2, 195.0)
SHAPES = (SMALL, GROWN, NARROW, LARGE)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What a host did that it must not do."""

    at: float
    host: str
    symptom: str

    def __str__(self) -> str:
        return f"{self.at:.2f} s: {self.host}: {self.symptom}"


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """A version of the configuration; it has the routes of those before it."""

    number: int
    acknowledged_at: float
    size_bytes: int = 0


class Site:
    """A store and hosts of one availability zone."""

    def __init__(self, shape: Shape, seed: int, hub: virtual_hub.VirtualHub) -> None:
        self.shape = shape
        self.findings: list[Finding] = []
        self.store = virtual_store.VirtualStore(hub.read_clock)
        self._hub = hub
        self._rng = random.Random(seed)
        self._versions: list[Version] = []
        self._written = 0
        self._is_great = False
        self._invalid: set[int] = set()
        self._troubles: dict[tuple[str, str], links.Trouble] = {}
        self._lost_at: dict[str, float] = collections.defaultdict(lambda: -math.inf)
        # Until when a host is not judged; None stands for all.
        self._excused: dict[str | None, float] = collections.defaultdict(
            lambda: -math.inf
        )
        self._slow_until = 0.0
        self._seen: dict[str, tuple[int, float]] = {}
        self.hosts = [
            hosts.Host(
                number,
                hub,
                shape.apply_delay_s,
                shape.full_count,
                links.Link(shape.outbound_bytes_per_s),
                links.Link(shape.inbound_bytes_per_s),
                random.Random(seed * 1_000 + number),
            )
            for number in range(shape.host_count)
        ]
        self._store_end = StoreEnd(self.store)
        self.publish()
        for slot in range(shape.aggregator_count):
            self.move_slot(slot, self.hosts[slot])
        for host in self.hosts:
            self._start(host)
        self._judge = eventlet.spawn(self._judge_all)

    def stop(self) -> None:
        """End all processes."""
        self._judge.kill()
        for host in self.hosts:
            host.stop()

    def _start(self, host: hosts.Host) -> None:
        self._excuse(host.name, 0.0)
        ways = {hosts.STORE_ADDRESS: self._build_way(host, self._store_end)}
        for other in self.hosts:
            if other is not host:
                ways[other.address] = self._build_way(host, other)
        host.start(ways)

    def _build_way(self, host: hosts.Host, answerer: links.Answerer) -> links.Way:
        return links.Way(
            answerer,
            host,
            host.inbound,
            self._rng,
            functools.partial(self._find_trouble, host, answerer),
            functools.partial(self._compute_way_s, answerer),
        )

    def _find_trouble(
        self, host: hosts.Host, answerer: links.Answerer
    ) -> links.Trouble | None:
        return self._troubles.get((host.name, answerer.name))

    def _compute_way_s(self, answerer: links.Answerer) -> float:
        is_slow = answerer is self._store_end and self._hub.now < self._slow_until
        return SLOW_WAY_S if is_slow else links.WAY_S

    # What happens.

    def publish(self, is_great: bool | None = None) -> None:
        """Write the next version, as great as the one before unless told."""
        if is_great is not None:
            self._is_great = is_great
        number = self._take_number()
        value = self._encode(number)
        self.store.write(documents.CONFIGURATION_KEY, value)
        at = self._hub.now + ACKNOWLEDGEMENT_S
        self._versions.append(Version(number, at, len(value)))
        if self._is_too_much():
            self._excuse(None, 0.0)

    def _is_too_much(self) -> bool:
        """Return whether links are filled for long by what was published lately.

        Each version travels, to whoever watches the store, by half of its link at most.
        """
        since = self._hub.now - self.shape.apply_delay_s
        recent = (v.size_bytes for v in self._versions if v.acknowledged_at >= since)
        wire_bytes = sum(recent) * WIRE_RATIO
        capacity = self.shape.inbound_bytes_per_s * self.shape.apply_delay_s
        return wire_bytes > MAX_LINK_SHARE * capacity

    def _take_number(self) -> int:
        self._written += self._rng.choice((1, 2, 4))
        return self._written

    def _encode(self, number: int) -> bytes:
        route = {"host": HTTP_HOST, "timeout_ms": 800, "service": SERVICE}
        added = [
            {**route, "name": f"r-{n}", "prefix": f"/{n}/"}
            for n in (number, *(version.number for version in self._versions))
        ]
        document = {
            "version": number,
            "routes": added,
            "services": [{"name": SERVICE, "max_conns": 26}],
        }
        if self._is_great:
            document["filling"] = _FILLING_BLOCK * (FILLING_BYTES // 20_000)
        return json.dumps(document).encode()

    def publish_invalid(self, kind: int) -> None:
        """Let another writer put what is no configuration, and then the operator."""
        number = self._take_number()
        self._invalid.add(number)
        value = INVALID_VALUES[kind % len(INVALID_VALUES)]
        value = value % number if b"%d" in value else value
        self.store.write(documents.CONFIGURATION_KEY, value)
        eventlet.spawn_after(OPERATOR_PAUSE_S, self.publish)

    def change_replica(self, number: int) -> None:
        """Write the entry of a replica, or remove it."""
        key = f"{documents.SERVER_KEY_PREFIX}i-{number}"
        value = None if key in self.store.state.items else b"{}"
        self.store.write(key, value)

    def lose_replies(self, host: hosts.Host, for_s: float) -> None:
        """Lose the replies of the store to one host."""
        now = self._hub.now
        if now - self._lost_at[host.name] < self.shape.apply_delay_s + 1.0:
            # The bound is for one reply.
            self._excuse(host.name, for_s)
        self._lost_at[host.name] = now
        self._trouble(host, self._store_end, links.Trouble.LOST_REPLIES, for_s)

    def cut(self, host: hosts.Host, trouble: links.Trouble, for_s: float) -> None:
        """Part a host from the store."""
        self._excuse(host.name, for_s)
        self._trouble(host, self._store_end, trouble, for_s)

    def cut_between(
        self, host: hosts.Host, other: hosts.Host, trouble: links.Trouble, for_s: float
    ) -> None:
        """Part two hosts from each other."""
        self._trouble(host, other, trouble, for_s)
        self._trouble(other, host, trouble, for_s)

    def end_service(self, trouble: links.Trouble, for_s: float) -> None:
        """Let the store answer nobody."""
        self._excuse(None, for_s)
        for host in self.hosts:
            self._trouble(host, self._store_end, trouble, for_s)

    def _trouble(
        self,
        host: hosts.Host,
        answerer: links.Answerer,
        trouble: links.Trouble,
        for_s: float,
    ) -> None:
        pair = (host.name, answerer.name)
        self._troubles[pair] = trouble
        eventlet.spawn_after(for_s, self._end_trouble, pair, trouble)

    def _end_trouble(self, pair: tuple[str, str], trouble: links.Trouble) -> None:
        if self._troubles.get(pair) is trouble:
            del self._troubles[pair]

    def slow_down(self, for_s: float) -> None:
        """Let the store take long for each reply."""
        self._slow_until = max(self._slow_until, self._hub.now + for_s)

    def age_stale_reads(self, age_s: float, for_s: float) -> None:
        """Let reads that may be stale be old."""
        self.store.stale_s = age_s
        eventlet.spawn_after(for_s, setattr, self.store, "stale_s", 0.0)

    def drop_history(self, deaf_s: float) -> None:
        """Let watches hear nothing for a while, then forget the history."""
        self.store.are_watches_deaf = True
        # Changes of that time reach nobody before its end.
        self._excuse(None, deaf_s, contact_s=0.0)
        eventlet.spawn_after(deaf_s, self._end_deafness)

    def _end_deafness(self) -> None:
        self.store.are_watches_deaf = False
        self.store.drop_history()

    def restore_store(self, age_s: float) -> None:
        """Bring the store back from an older copy; the operator publishes again."""
        self._excuse(None, OPERATOR_PAUSE_S)
        self.store.restore(age_s)
        eventlet.spawn_after(OPERATOR_PAUSE_S, self.publish)
        for slot in range(self.shape.aggregator_count):
            eventlet.spawn_after(
                OPERATOR_PAUSE_S, self.move_slot, slot, self._rng.choice(self.hosts)
            )

    def freeze(self, host: hosts.Host, for_s: float) -> None:
        """Let a process stand still."""
        self._excuse(host.name, for_s)
        host.freeze(for_s)

    def restart(self, host: hosts.Host, after_s: float) -> None:
        """End a process; another one starts after a while."""
        if not host.is_running():
            return
        self._excuse(host.name, after_s)
        host.stop()
        self._seen.pop(host.name, None)
        eventlet.spawn_after(after_s, self._start, host)

    def reload(self, host: hosts.Host) -> None:
        """Send SIGHUP."""
        if host.is_running():
            host.reload()

    def move_slot(self, slot: int, host: hosts.Host | None) -> None:
        """Give an aggregator slot to a host, or to nobody."""
        key = aggregators.SlotKey(hosts.ZONE, aggregators.Slot(slot))
        value = host and documents.encode_aggregator(
            aggregators.Aggregator(key, host.name, host.address, 1.0)
        )
        name = documents.format_aggregator_key(key)
        if value is not None or name in self.store.state.items:
            self.store.write(name, value)

    def _excuse(
        self, name: str | None, for_s: float, contact_s: float | None = None
    ) -> None:
        contact_s = self.shape.contact_s if contact_s is None else contact_s
        until = self._hub.now + for_s + contact_s
        self._excused[name] = max(self._excused[name], until)

    # The judge.

    def _judge_all(self) -> None:
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            for host in self.hosts:
                if host.is_running() and host.frozen_until <= self._hub.now:
                    self._judge_host(host)

    def _judge_host(self, host: hosts.Host) -> None:
        now = self._hub.now
        version = host.get_version()
        incarnation, former = self._seen.get(host.name, (0, -math.inf))
        if incarnation == host.incarnation and version < former:
            self._find(host, f"version {version} is older than {former}")
        self._seen[host.name] = (host.incarnation, version)
        if version in self._invalid:
            self._find(host, f"version {version} is invalid")
        if now < max(self._excused[None], self._excused[host.name]):
            return
        bound_s = self.shape.apply_delay_s
        due = [v for v in self._versions if v.acknowledged_at + bound_s <= now]
        latest = max(due, key=lambda v: v.number)
        if version < latest.number:
            late_s = now - latest.acknowledged_at
            self._find(
                host, f"version {version}, {latest.number} is {late_s:.2f} s old"
            )
            return
        missing = self._find_missing_route(host, latest)
        if missing is not None:
            self._find(host, f"route of version {missing} is not served")

    def _find_missing_route(self, host: hosts.Host, latest: Version) -> int | None:
        """Return a version due whose route the host does not serve."""
        served = host.view.configuration
        numbers = (v.number for v in self._versions if v.number <= latest.number)
        absent = itertools.filterfalse(
            lambda number: served.find_route(HTTP_HOST, f"/{number}/x"), numbers
        )
        return next(absent, None)

    def _find(self, host: hosts.Host, symptom: str) -> None:
        self.findings.append(Finding(self._hub.now, host.name, symptom))


class StoreEnd:
    """The store's end of the ways to it."""

    name = "store"
    process = None

    def __init__(self, virtual: virtual_store.VirtualStore) -> None:
        self.link = links.Link(STORE_BYTES_PER_S)
        self.answer = virtual.answer

    def is_running(self) -> bool:
        """Return True: what is not there falls silent."""
        return True
