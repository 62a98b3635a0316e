"""How configuration reaches every host: who watches, who is told, who compares.

A few hosts of each zone watch the platform and push what is new to their zone and
to the watchers of the other zones. Every host compares a digest with a peer at
fixed intervals, which repairs what was lost and tells how old the last
confirmation of the platform is. All decisions are free of sockets.
"""

import dataclasses
import hashlib
import itertools
import random
from collections.abc import Iterable, Iterator, Mapping

from corianderrill import configuration, messages, names

WATCHERS_PER_ZONE = 2
MAX_ITEMS_PER_MESSAGE = 200
# Of the digests that a host sends, the share that goes to a watcher of its own
# zone, which has the youngest confirmation. The rest goes to any host, so that a
# zone that is cut off from the platform hears of it through the other zones.
OWN_ZONE_WATCHER_PROBABILITY = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A live host, other than this one."""

    member: names.MemberId
    zone: names.ZoneName


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to be sent to a peer."""

    member: names.MemberId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Effects:
    """What follows from one event."""

    outgoing: tuple[OutgoingMessage, ...] = ()
    applied: tuple[configuration.Applied, ...] = ()
    alarms: tuple[configuration.Alarm, ...] = ()


NO_EFFECTS = Effects()


def choose_watchers(
    zone: names.ZoneName, members: Iterable[names.MemberId], count: int
) -> tuple[names.MemberId, ...]:
    """Return the members that watch the platform for a zone (rendezvous hashing).

    Hosts that see the same members choose the same; while they don't, more watch.
    """

    def weigh(member: names.MemberId) -> bytes:
        return hashlib.blake2b(f"{zone}|{member}".encode(), digest_size=8).digest()

    return tuple(sorted(members, key=weigh)[:count])


class Propagator:
    """The part of one host in spreading the configuration."""

    def __init__(
        self,
        member: names.MemberId,
        zone: names.ZoneName,
        local_configuration: configuration.Configuration,
        choices: random.Random,
        watchers_per_zone: int = WATCHERS_PER_ZONE,
    ) -> None:
        self.held = local_configuration
        self._member = member
        self._zone = zone
        self._choices = choices
        self._watchers_per_zone = watchers_per_zone
        self._peers: tuple[Peer, ...] = ()
        self._watchers: dict[names.ZoneName, tuple[names.MemberId, ...]] = {}
        self._platform_agrees = False
        self.update_peers(())

    @property
    def should_watch(self) -> bool:
        """Whether this host is to watch the platform."""
        return self._member in self._watchers[self._zone]

    @property
    def is_platform_current(self) -> bool:
        """Whether the platform's last listing held all that is held here."""
        return self._platform_agrees

    def update_peers(self, peers: Iterable[Peer]) -> None:
        """Take the live hosts; the watchers of every zone follow from them."""
        self._peers = tuple(
            peer for peer in peers if peer.member.host != self._member.host
        )
        members = [*self._peers, Peer(self._member, self._zone)]
        members.sort(key=lambda peer: (peer.zone, peer.member))
        self._watchers = {
            zone: choose_watchers(
                zone, (peer.member for peer in group), self._watchers_per_zone
            )
            for zone, group in itertools.groupby(members, key=lambda peer: peer.zone)
        }

    def apply_listing(
        self,
        entries: Iterable[tuple[str, bytes]],
        floor: Mapping[str, names.Revision],
        asked_at: float,
    ) -> Effects:
        """Take the platform's whole state, asked for at a time.

        `floor` are the revisions that were held at that time.
        """
        items, unreadable = _decode(entries)
        results = self.held.apply_listing(items, floor)
        step = self._push(results, unreadable)
        self._platform_agrees = not step.alarms
        if self._platform_agrees:
            self.held.confirm(asked_at)
        return step

    def apply_watch_changes(
        self,
        changes: Iterable[tuple[str, bytes | None]],
        floor: Mapping[str, names.Revision],
        asked_at: float,
    ) -> Effects:
        """Take what a watch reported that was begun at a time, also if nothing.

        The last change of a key is what the platform holds: one below the `floor`
        that was held when the watch began is an alarm, and so is a key that is
        gone without a deletion as its last version.
        """
        last = dict(changes)
        gone = tuple(
            configuration.report_lost(key)
            for key, value in last.items()
            if value is None
        )
        items, unreadable = _decode(
            (key, value) for key, value in last.items() if value is not None
        )
        known = {item.key: floor[item.key] for item in items if item.key in floor}
        results = self.held.apply_listing(items, known)
        step = self._push(results, gone + unreadable)
        if step.alarms:
            self._platform_agrees = False
        if self._platform_agrees:
            self.held.confirm(asked_at)
        return step

    def handle_platform_rollback(
        self, known: names.Revision, told: names.Revision
    ) -> Effects:
        """Take that the platform told a lower revision than it had told before."""
        self._platform_agrees = False
        detail = f"the platform came back with revision {told}, it had {known}"
        alarm = configuration.Alarm(
            configuration.PREFIX, configuration.AlarmReason.OLDER, detail
        )
        return Effects(alarms=(alarm,))

    def handle_message(
        self, sender: names.MemberId, message: messages.Message, now: float
    ) -> Effects:
        """Take a message of a peer about the configuration."""
        match message:
            case messages.ConfigurationItems(items):
                return self._take_items(sender, items, now)
            case messages.ConfigurationDigest():
                return self._answer_digest(sender, message, now)
            case messages.ConfigurationState():
                return self._take_state(sender, message)
            case messages.ConfigurationPull(buckets):
                items = self.held.list_items(buckets)
                return Effects(tuple(_send_items(sender, items)))
            case messages.ConfigurationQuestion(number, key):
                answer = messages.ConfigurationAnswer(number, self.get_revision(key))
                return Effects((OutgoingMessage(sender, answer),))
        return NO_EFFECTS

    def start_anti_entropy(self, now: float) -> Effects:
        """Ask one peer to compare; a host calls this at fixed intervals."""
        target = self._choose_target()
        if target is None:
            return NO_EFFECTS
        return Effects((self._ask(target, now),))

    def _ask(self, target: names.MemberId, now: float) -> OutgoingMessage:
        digest = combine_digests(self.held.digests)
        return OutgoingMessage(target, messages.ConfigurationDigest(now, digest))

    def _choose_target(self) -> names.MemberId | None:
        if not self._peers:
            return None
        watchers = [
            member for member in self._watchers[self._zone] if member != self._member
        ]
        if watchers and self._choices.random() < OWN_ZONE_WATCHER_PROBABILITY:
            return self._choices.choice(watchers)
        return self._choices.choice(self._peers).member

    def _take_items(
        self, sender: names.MemberId, items: Iterable[configuration.Item], now: float
    ) -> Effects:
        step = self._push(self.held.apply(items), ())
        if not self.should_watch:
            step = dataclasses.replace(step, outgoing=())
        if not self.held.ready:
            step = dataclasses.replace(
                step, outgoing=(*step.outgoing, self._ask(sender, now))
            )
        return step

    def _answer_digest(
        self, sender: names.MemberId, asked: messages.ConfigurationDigest, now: float
    ) -> Effects:
        digests = self.held.digests
        digest = combine_digests(digests)
        age_s = self.held.pin().measure_age(now) if self.held.ready else None
        differing = () if digest == asked.digest else digests
        state = messages.ConfigurationState(asked.asked_at, digest, age_s, differing)
        return Effects((OutgoingMessage(sender, state),))

    def _take_state(
        self, sender: names.MemberId, state: messages.ConfigurationState
    ) -> Effects:
        if state.digest == combine_digests(self.held.digests):
            if state.confirmed_age_s is not None:
                self.held.confirm(state.asked_at - state.confirmed_age_s)
            return NO_EFFECTS
        if len(state.digests) != configuration.BUCKETS:
            return NO_EFFECTS
        buckets = self.held.find_differences(state.digests)
        pull = OutgoingMessage(sender, messages.ConfigurationPull(buckets))
        own = _send_items(sender, self.held.list_items(buckets))
        return Effects((pull, *own))

    def get_revision(self, key: str) -> names.Revision:
        """Return the revision in force of an item, 0 where there is none."""
        revisions = self.held.list_revisions()
        return revisions.get(key, configuration.NO_REVISION)

    def _push(
        self,
        results: Iterable[configuration.Result],
        alarms: tuple[configuration.Alarm, ...],
    ) -> Effects:
        """Return the step that tells others of what was applied."""
        results = tuple(results)
        applied = tuple(
            result for result in results if isinstance(result, configuration.Applied)
        )
        found = tuple(
            result for result in results if isinstance(result, configuration.Alarm)
        )
        items = self.held.find_items(result.key for result in applied)
        sends = tuple(
            send
            for member in self._list_recipients()
            for send in _send_items(member, items)
        )
        return Effects(sends, applied, alarms + found)

    def _list_recipients(self) -> tuple[names.MemberId, ...]:
        """The hosts of the own zone and the watchers of the others."""
        own = (peer.member for peer in self._peers if peer.zone == self._zone)
        others = itertools.chain.from_iterable(
            watchers for zone, watchers in self._watchers.items() if zone != self._zone
        )
        return (*own, *others)


def combine_digests(digests: Iterable[int]) -> int:
    """Return one digest of the digests of all buckets."""
    text = ",".join(map(str, digests)).encode()
    return int.from_bytes(
        hashlib.blake2b(text, digest_size=configuration.HASH_BYTES).digest()
    )


def _decode(
    values: Iterable[tuple[str, bytes]],
) -> tuple[tuple[configuration.Item, ...], tuple[configuration.Alarm, ...]]:
    decoded = tuple(configuration.decode_items(values))
    items = tuple(item for item in decoded if isinstance(item, configuration.Item))
    alarms = tuple(item for item in decoded if isinstance(item, configuration.Alarm))
    return items, alarms


def _send_items(
    member: names.MemberId, items: Iterable[configuration.Item]
) -> Iterator[OutgoingMessage]:
    iterator = iter(items)
    while batch := tuple(itertools.islice(iterator, MAX_ITEMS_PER_MESSAGE)):
        yield OutgoingMessage(member, messages.ConfigurationItems(batch))


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneInForce:
    """The hosts of a zone that have a revision in force and those that don't."""

    zone: names.ZoneName
    confirmed: tuple[names.HostName, ...]
    unconfirmed: tuple[names.HostName, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InForceReport:
    """On which live hosts a revision of an item is in force."""

    key: str
    revision: names.Revision
    zones: tuple[ZoneInForce, ...]

    @property
    def is_in_force_everywhere(self) -> bool:
        """Whether every live host has confirmed."""
        return not any(zone.unconfirmed for zone in self.zones)


class InForcePoll:
    """Counts the hosts that have a revision of an item, or a higher one, in force."""

    def __init__(
        self, number: int, key: str, revision: names.Revision, peers: Iterable[Peer]
    ) -> None:
        self.number = number
        self._key = key
        self._revision = revision
        self._peers = tuple(peers)
        self._confirmed: set[names.MemberId] = set()

    def record_answer(
        self, sender: names.MemberId, answer: messages.ConfigurationAnswer
    ) -> None:
        """Take the answer of a host to the question of this count."""
        if answer.number == self.number and answer.revision >= self._revision:
            self._confirmed.add(sender)

    def build_questions(self) -> tuple[OutgoingMessage, ...]:
        """Return the questions to the hosts that have not confirmed."""
        question = messages.ConfigurationQuestion(self.number, self._key)
        return tuple(
            OutgoingMessage(member, question) for member in self.list_pending()
        )

    def list_pending(self) -> tuple[names.MemberId, ...]:
        """Return the hosts that have not confirmed."""
        return tuple(
            peer.member for peer in self._peers if peer.member not in self._confirmed
        )

    def report(self) -> InForceReport:
        """Return the count of each zone."""
        ordered = sorted(self._peers, key=lambda peer: (peer.zone, peer.member))
        groups = itertools.groupby(ordered, key=lambda peer: peer.zone)
        zones = tuple(self._report_zone(zone, tuple(group)) for zone, group in groups)
        return InForceReport(self._key, self._revision, zones)

    def _report_zone(
        self, zone: names.ZoneName, peers: tuple[Peer, ...]
    ) -> ZoneInForce:
        hosts = {peer.member: peer.member.host for peer in peers}
        return ZoneInForce(
            zone,
            tuple(host for member, host in hosts.items() if member in self._confirmed),
            tuple(
                host for member, host in hosts.items() if member not in self._confirmed
            ),
        )
