"""Cost and speed of membership: `python -m corianderrill.measures.membership`.

Runs the membership rules of every host of a fleet in one process, on one clock that
is advanced by hand, and encodes and decodes every message as on the wire. The cost
of the sockets is measured apart, between two real links.
"""

import dataclasses
import heapq
import itertools
import random
import time
from collections.abc import Iterator

import eventlet
import msgspec
import zmq

from corianderrill import hostlist, membership, messages, names, peers

FLEET_SIZES = (9, 90, 830)
ZONES = 3
HOSTS_OF_LARGE_ZONE = 83
SETTLE_S = 40.0
MEASURED_S = 10.0
DELAY_S = 0.002
SEED = 1
LINK_MESSAGES = 5000
LINK_BURST = 50


class Row(msgspec.Struct, frozen=True):
    """Figures of one fleet size, each a host and a second where it is a rate."""

    hosts: int
    messages_per_s: float
    bytes_per_s: float
    rules_cpu_percent: float
    with_sockets_cpu_percent: float
    killed_seen_by_all_s: float
    leaving_seen_by_all_s: float
    usable_after_join_s: float


class Result(msgspec.Struct, frozen=True):
    """The line that is printed."""

    seed: int
    socket_us_per_message: float
    fleets: tuple[Row, ...]


@dataclasses.dataclass(order=True, slots=True)
class _Event:
    at_s: float
    number: int
    to: names.MemberId | None
    frame: bytes


@dataclasses.dataclass
class Fleet:
    """Membership of many hosts over a fake wire with a delay."""

    seed: int = SEED
    now: float = 0.0
    hosts: dict[names.MemberId, membership.Membership] = dataclasses.field(
        default_factory=dict
    )
    paused: set[names.MemberId] = dataclasses.field(default_factory=set)
    cut: set[frozenset[names.ZoneName]] = dataclasses.field(default_factory=set)
    sent: int = 0
    sent_bytes: int = 0

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self._held_frames: dict[names.MemberId, list[bytes]] = {}

    def add(self, entry: hostlist.EntryHost) -> membership.Membership:
        """Start a host that knows only itself."""
        record = messages.MemberRecord(
            entry.member, entry.zone, entry.peer_address, messages.MemberState.ALIVE
        )
        host = membership.Membership(record, self.now)
        self.hosts[entry.member] = host
        self._push(self.now + self._rng.random() * membership.TICK_S, entry.member)
        return host

    def kill(self, member: names.MemberId) -> None:
        """Let a host vanish without notice."""
        del self.hosts[member]

    def pause(self, member: names.MemberId) -> None:
        """Stop a host's process; what is sent to it waits in its sockets."""
        self.paused.add(member)

    def resume(self, member: names.MemberId) -> None:
        """Let a paused host go on: first a message, then its own tasks."""
        self.paused.discard(member)
        for frame in self._held_frames.pop(member, ()):
            self._push(self.now, member, frame)
        self._push(self.now + DELAY_S, member)

    def leave(self, member: names.MemberId) -> None:
        """Have a host declare that it leaves."""
        self._send(member, self.hosts[member].leave())

    def run(self, seconds: float) -> None:
        """Advance the clock and let the hosts act."""
        end_s = self.now + seconds
        while self._events and self._events[0].at_s <= end_s:
            event = heapq.heappop(self._events)
            self.now = event.at_s
            self._act(event)
        self.now = end_s

    def _act(self, event: _Event) -> None:
        host = self.hosts.get(event.to)
        if host is None:
            return
        if event.to in self.paused:
            if event.frame:
                self._held_frames.setdefault(event.to, []).append(event.frame)
        elif event.frame:
            self._receive(host, event.frame)
        else:
            self._send(event.to, host.tick(self.now, self._rng))
            self._push(self.now + membership.TICK_S, event.to)

    def _receive(self, host: membership.Membership, frame: bytes) -> None:
        message = messages.decode(frame).envelope.message
        match message:
            case messages.Probe(sequence=membership.NO_REPLY_SEQUENCE):
                host.handle_one_way_probe(message, self.now)
            case messages.Probe():
                reply = host.handle_probe(message, self.now, self._rng)
                self._send(host.own_record.member, (reply,))
            case messages.ProbeReply():
                host.handle_reply(message, self.now)

    def _send(
        self, sender: names.MemberId, outgoing: tuple[membership.Outgoing, ...]
    ) -> None:
        for each in outgoing:
            frame = messages.encode(
                messages.Envelope(
                    sender,
                    names.Incarnation(""),
                    messages.Stamp(1_700_000_000_000, 1),
                    self.now,
                    each.message,
                )
            )
            self.sent += 1
            self.sent_bytes += len(frame)
            target = self._find_at_address_of(sender, each.to)
            if target is not None:
                self._push(self.now + DELAY_S, target, frame)

    def _find_at_address_of(
        self, sender: names.MemberId, member: names.MemberId
    ) -> names.MemberId | None:
        """Return who listens on the address that the sender knows for a member."""
        if member in self.hosts:
            target = member
        else:
            target = next(
                (each for each in self.hosts if each.host == member.host), None
            )
        if target is None or sender not in self.hosts:
            return None
        ends = frozenset((self._get_zone(sender), self._get_zone(target)))
        return None if ends in self.cut else target

    def _get_zone(self, member: names.MemberId) -> names.ZoneName:
        return self.hosts[member].own_record.zone

    def _push(self, at_s: float, to: names.MemberId | None, frame: bytes = b"") -> None:
        heapq.heappush(self._events, _Event(at_s, next(self._numbers), to, frame))


def build_entry_hosts(count: int) -> tuple[hostlist.EntryHost, ...]:
    """Return a fleet's host list, spread evenly over its zones."""
    zones = max(ZONES, count // HOSTS_OF_LARGE_ZONE)
    return tuple(
        hostlist.EntryHost(
            names.HostName(f"entry-{number}"),
            names.Incarnation(f"{number:012x}"),
            names.ZoneName(f"qld-east-{number % zones}"),
            names.Address(f"10.0.{number // 250}.{number % 250 + 1}", 8000),
            names.Address(f"10.0.{number // 250}.{number % 250 + 1}", 7000),
        )
        for number in range(count)
    )


def start_fleet(count: int, seed: int = SEED) -> Fleet:
    """Return a fleet whose hosts have all read the host list."""
    fleet = Fleet(seed)
    entries = build_entry_hosts(count)
    for entry in entries:
        fleet.add(entry).apply_host_list(entries, fleet.now)
    return fleet


def measure_fleet(count: int, socket_s: float) -> Row:
    """Measure cost at rest, then the speed of news."""
    fleet = start_fleet(count)
    joined_s = _time_until(fleet, lambda: _all_usable(fleet), 2 * SETTLE_S)
    fleet.run(SETTLE_S)
    sent, sent_bytes, started = fleet.sent, fleet.sent_bytes, time.process_time()
    fleet.run(MEASURED_S)
    cpu_s = time.process_time() - started
    messages_per_s = (fleet.sent - sent) / MEASURED_S / count
    share = cpu_s / MEASURED_S / count
    dead, leaving = tuple(fleet.hosts)[:2]
    fleet.kill(dead)
    killed_s = _time_until(fleet, lambda: not _any_uses(fleet, dead), SETTLE_S)
    fleet.leave(leaving)
    leaving_s = _time_until(fleet, lambda: not _any_uses(fleet, leaving), SETTLE_S)
    return Row(
        count,
        round(messages_per_s, 2),
        round((fleet.sent_bytes - sent_bytes) / MEASURED_S / count),
        round(100 * share, 3),
        round(100 * (share + messages_per_s * socket_s), 3),
        killed_s,
        leaving_s,
        joined_s,
    )


def measure_link() -> float:
    """Return the processor time of one message through two real links, in seconds.

    Both ends and ZeroMQ's own threads are counted.
    """
    server_public, server_secret = zmq.curve_keypair()
    public, secret = zmq.curve_keypair()
    keys = peers.PeerKeys(
        server_public, server_secret, public, secret, frozenset((public,))
    )
    ends = []
    for name in ("one", "two"):
        member = names.MemberId(names.HostName(name), names.Incarnation("a"))
        ends.append(peers.PeerLink(member, names.Address("127.0.0.1", 0), keys))
        ends[-1].start()
    sender, receiver = ends
    got = []
    receiver.register(messages.Probe, got.append)
    sender.connect(receiver.member, receiver.address)
    entry = build_entry_hosts(1)[0]
    record = messages.MemberRecord(
        entry.member, entry.zone, entry.peer_address, messages.MemberState.ALIVE
    )
    while not sender.send(receiver.member, messages.Probe(0, record)):
        eventlet.sleep(0.01)
    _wait_for(got, 1)
    started = time.process_time()
    for burst in _split(LINK_MESSAGES, LINK_BURST):
        expected = len(got) + len(burst)
        for sequence in burst:
            sender.send(receiver.member, messages.Probe(sequence, record))
        _wait_for(got, expected)
    cpu_s = time.process_time() - started
    for end in ends:
        end.stop()
    return cpu_s / LINK_MESSAGES


def _wait_for(got: list, count: int) -> None:
    while len(got) < count:
        eventlet.sleep(0.0005)


def _split(count: int, size: int) -> Iterator[range]:
    return (range(first, first + size) for first in range(0, count, size))


def _all_usable(fleet: Fleet) -> bool:
    """Whether every host may use every host of its own zone."""
    return all(
        _count_zone(fleet, host.own_record.zone) == _count_usable(host)
        for host in fleet.hosts.values()
    )


def _count_zone(fleet: Fleet, zone: names.ZoneName) -> int:
    return sum(host.own_record.zone == zone for host in fleet.hosts.values())


def _count_usable(host: membership.Membership) -> int:
    return sum(record.zone == host.own_record.zone for record in host.list_usable())


def _any_uses(fleet: Fleet, member: names.MemberId) -> bool:
    return any(
        record.member == member
        for own_record, host in fleet.hosts.items()
        if own_record != member
        for record in host.list_usable()
    )


def _time_until(fleet: Fleet, condition, limit_s: float) -> float:
    started_s = fleet.now
    while not condition():
        if fleet.now - started_s >= limit_s:
            return -1.0
        fleet.run(membership.TICK_S)
    return round(fleet.now - started_s, 2)


def main() -> None:
    """Print the figures."""
    socket_s = measure_link()
    rows = tuple(measure_fleet(count, socket_s) for count in FLEET_SIZES)
    result = Result(SEED, round(socket_s * 1e6, 1), rows)
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
