"""Time until a change is in force: `python -m corianderrill.measures.spread`.

Runs the spreading rules of every host of a fleet against the stand-in's store in one
process, on one clock that is advanced by hand. Messages are encoded as on the wire,
delayed, and lost at a fixed rate.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from corianderrill import (
    acceptance,
    configuration,
    configuration_watcher,
    keyvalue,
    messages,
    names,
    propagation,
    publishing,
    templates,
)
from corianderrill.standins import keyvalue as standin

SEEDS = (1, 2, 3)
ZONES = {9: 3, 90: 3, 830: 10}
CHANGES = 30
CHANGE_INTERVAL_S = 2.0
SETTLE_S = 15.0
DELAY_S = 0.002
PLATFORM_DELAY_S = 0.003
LOSS = 0.02
SERVICE = names.ServiceId(names.FleetName("gantry"), names.ServiceName("lookup"))
SERVICES: acceptance.Services = frozenset((SERVICE,))


class Row(msgspec.Struct, frozen=True):
    """Figures of one fleet size and case, over all seeds."""

    hosts: int
    case: str
    changes: int
    in_force_p50_s: float
    in_force_p99_s: float
    in_force_last_s: float
    never_in_force: int
    reverts: int
    confirmed_age_p99_s: float
    platform_calls_per_s: float
    messages_per_host_per_s: float
    bytes_per_host_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What goes wrong: the share of lost messages, a zone without the platform."""

    name: str
    loss: float = 0.0
    cuts_zone: bool = False


CASES = (Case("quiet"), Case("loss", LOSS), Case("loss-and-zone-cut", LOSS, True))


@dataclasses.dataclass(slots=True)
class Totals:
    """What the runs of one row add up to."""

    delays_s: list[float] = dataclasses.field(default_factory=list)
    ages_s: list[float] = dataclasses.field(default_factory=list)
    missing: int = 0
    reverts: int = 0
    calls: int = 0
    messages: int = 0
    bytes: int = 0
    seconds: float = 0.0


class Fleet:
    """Hosts of one run, their platform, and the events under way."""

    def __init__(self, hosts: int, case: Case, seed: int, totals: Totals) -> None:
        self.now = 0.0
        self._case = case
        self._totals = totals
        self._choices = random.Random(seed)
        self._platform = standin.Platform()
        self._client = keyvalue.Client(
            standin.MemoryTransport(self._platform, lambda: self.now)
        )
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._waiting: list[Callable[[], None]] = []
        self._published: dict[str, tuple[names.Revision, float]] = {}
        self._held: dict[tuple[names.MemberId, str], names.Revision] = {}
        self._peers = [self._build_peer(number, hosts) for number in range(hosts)]
        self._by_member = {peer.member: peer for peer in self._peers}
        self._spreaders = {
            peer.member: self._build_spreader(peer) for peer in self._peers
        }

    def run(self) -> None:
        """Start the hosts, publish at intervals, and let the last change settle."""
        for spreader in self._spreaders.values():
            spreader.update_peers(self._peers)
        for peer in self._peers:
            self._schedule(self._choices.random(), lambda peer=peer: self._list(peer))
            self._schedule(
                self._choices.random(), lambda peer=peer: self._compare(peer)
            )
        for number in range(CHANGES):
            at = SETTLE_S + number * CHANGE_INTERVAL_S
            self._schedule(at, lambda number=number: self._publish(number))
        ends_at = 2 * SETTLE_S + CHANGES * CHANGE_INTERVAL_S
        while self._events and self._events[0][0] < ends_at:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self._add_up(ends_at)

    def _build_peer(self, number: int, hosts: int) -> propagation.Peer:
        member = names.MemberId(
            names.HostName(f"entry-{number}"), names.Incarnation("1")
        )
        return propagation.Peer(member, names.ZoneName(f"zone-{number % ZONES[hosts]}"))

    def _build_spreader(self, peer: propagation.Peer) -> propagation.Propagator:
        choices = random.Random(self._choices.random())
        held = configuration.Configuration()
        return propagation.Propagator(peer.member, peer.zone, held, choices)

    def _schedule(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def _publish(self, number: int) -> None:
        template = templates.Template(
            names.TemplateName(f"template-{number}"),
            (str(SERVICE),),
            find=templates.FindRule({"state": "live"}),
        )
        publisher = publishing.Publisher(self._client, SERVICES)
        change = publishing.Change(
            names.ChangeId(f"change-{number}"), "measure", publishing.Put(template)
        )
        accepted = publisher.submit(change)
        revision = accepted.version.revision
        self._published[accepted.key] = (revision, self.now)
        waiting, self._waiting = self._waiting, []
        for answer in waiting:
            self._schedule(self.now + PLATFORM_DELAY_S, answer)

    def _reaches_platform(self, peer: propagation.Peer) -> bool:
        return not (self._case.cuts_zone and peer.zone == "zone-0")

    def _list(self, peer: propagation.Peer) -> None:
        spreader = self._spreaders[peer.member]
        if not self._reaches_platform(peer):
            return
        if not spreader.should_watch and spreader.local_configuration.ready:
            return
        floor, asked_at = spreader.local_configuration.list_revisions(), self.now
        listed = self._client.list(configuration.PREFIX)
        values = ((entry.key, entry.value) for entry in listed.entries)
        self._carry_out(peer, spreader.apply_listing(values, floor, asked_at))
        if spreader.should_watch:
            self._watch(peer, listed.revision)

    def _watch(self, peer: propagation.Peer, after: names.Revision) -> None:
        """Count a waiting watch as one call; it answers at a change or in time."""
        spreader = self._spreaders[peer.member]
        floor, asked_at = spreader.local_configuration.list_revisions(), self.now
        self._client.watch(
            configuration.PREFIX, after, configuration_watcher.WATCH_TIMEOUT_S
        )
        is_answered = False

        def answer() -> None:
            nonlocal is_answered
            if is_answered:
                return
            is_answered = True
            call = keyvalue.Watch(configuration.PREFIX, after, 0.0)
            changed = self._platform.store.apply(call, self.now)
            values = ((change.key, change.value) for change in changed.changes)
            self._carry_out(peer, spreader.apply_watch_changes(values, floor, asked_at))
            self._watch(peer, changed.revision)

        self._waiting.append(answer)
        self._schedule(self.now + configuration_watcher.WATCH_TIMEOUT_S, answer)

    def _compare(self, peer: propagation.Peer) -> None:
        spreader = self._spreaders[peer.member]
        self._carry_out(peer, spreader.start_anti_entropy(self.now))
        if self.now >= SETTLE_S:
            self._totals.ages_s.append(
                spreader.local_configuration.pin().measure_age(self.now)
            )
        self._schedule(
            self.now + configuration_watcher.ANTI_ENTROPY_INTERVAL_S,
            lambda: self._compare(peer),
        )

    def _carry_out(self, peer: propagation.Peer, step: propagation.Effects) -> None:
        for applied in step.applied:
            self._note_applied(peer, applied)
        for send in step.outgoing:
            self._send(peer.member, send)

    def _note_applied(
        self, peer: propagation.Peer, applied: configuration.Applied
    ) -> None:
        place = (peer.member, applied.key)
        self._totals.reverts += applied.revision <= self._held.get(place, 0)
        self._held[place] = applied.revision
        _, published_at = self._published[applied.key]
        self._totals.delays_s.append(self.now - published_at)

    def _send(self, sender: names.MemberId, send: propagation.OutgoingMessage) -> None:
        envelope = messages.Envelope(
            sender, send.member.incarnation, messages.Stamp(), self.now, send.message
        )
        self._totals.messages += 1
        self._totals.bytes += len(messages.encode(envelope))
        if self._choices.random() >= self._case.loss:
            self._schedule(self.now + DELAY_S, lambda: self._receive(sender, send))

    def _receive(
        self, sender: names.MemberId, send: propagation.OutgoingMessage
    ) -> None:
        spreader = self._spreaders[send.member]
        peer = self._by_member[send.member]
        step = spreader.handle_message(sender, send.message, self.now)
        self._carry_out(peer, step)

    def _add_up(self, seconds: float) -> None:
        pairs = itertools.product(self._published.items(), self._spreaders.values())
        self._totals.missing += sum(
            spreader.get_revision(key) != revision
            for (key, (revision, _)), spreader in pairs
        )
        self._totals.calls += self._platform.counts.reads + self._platform.counts.writes
        self._totals.seconds += seconds


def measure(hosts: int, case: Case) -> Row:
    """Return the figures of a fleet size and a case over all seeds."""
    totals = Totals()
    for seed in SEEDS:
        Fleet(hosts, case, seed, totals).run()
    host_seconds = totals.seconds * hosts
    return Row(
        hosts=hosts,
        case=case.name,
        changes=CHANGES * len(SEEDS),
        in_force_p50_s=_pick(totals.delays_s, 0.5),
        in_force_p99_s=_pick(totals.delays_s, 0.99),
        in_force_last_s=_pick(totals.delays_s, 1.0),
        never_in_force=totals.missing,
        reverts=totals.reverts,
        confirmed_age_p99_s=_pick(totals.ages_s, 0.99),
        platform_calls_per_s=round(totals.calls / totals.seconds, 2),
        messages_per_host_per_s=round(totals.messages / host_seconds, 2),
        bytes_per_host_per_s=round(totals.bytes / host_seconds),
    )


def _pick(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    place = min(len(ordered) - 1, int(quantile * len(ordered)))
    return round(ordered[place], 3)


def main() -> None:
    """Print one JSON object for each fleet size and case."""
    for hosts, case in itertools.product(ZONES, CASES):
        print(msgspec.json.encode(measure(hosts, case)).decode(), flush=True)


if __name__ == "__main__":
    main()
