"""Propagation of the published configuration to all entry hosts, without I/O.

A few hosts of each availability zone, the watchers, watch the platform's key-value
service. They push changes to all hosts of their zone and to the watchers of the other
zones. In addition, every host compares digests with a peer at fixed intervals
(anti-entropy). This repairs lost messages and propagates the time at which the
platform last confirmed the configuration.
"""

import dataclasses
import hashlib
import itertools
import random
from collections.abc import Iterable, Iterator, Mapping

from corianderrill import configuration, messages, names

WATCHERS_PER_ZONE = 2
MAX_ITEMS_PER_MESSAGE = 200
# Probability that a host sends its digest to a watcher of its own zone, which has the
# most recent confirmation. Otherwise it picks any host, so that a zone that is cut off
# from the platform receives the configuration through the other zones.
OWN_ZONE_WATCHER_PROBABILITY = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A live host and its availability zone."""

    member: names.MemberId
    zone: names.ZoneName


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send to a peer."""

    member: names.MemberId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Effects:
    """Messages to send, applied changes and alarms that result from one event."""

    outgoing: tuple[OutgoingMessage, ...] = ()
    applied: tuple[configuration.Applied, ...] = ()
    alarms: tuple[configuration.Alarm, ...] = ()


NO_EFFECTS = Effects()


def choose_watchers(
    zone: names.ZoneName, members: Iterable[names.MemberId], count: int
) -> tuple[names.MemberId, ...]:
    """Return the members that watch the platform for a zone (rendezvous hashing).

    Hosts with the same member list choose the same watchers. While their lists
    differ, more than `count` members may watch.
    """

    def hash_rank(member: names.MemberId) -> bytes:
        return hashlib.blake2b(f"{zone}|{member}".encode(), digest_size=8).digest()

    return tuple(sorted(members, key=hash_rank)[:count])


class Propagator:
    """Configuration propagation on one host: watch results, pushes, anti-entropy."""

    def __init__(
        self,
        member: names.MemberId,
        zone: names.ZoneName,
        local_configuration: configuration.Configuration,
        rng: random.Random,
        watchers_per_zone: int = WATCHERS_PER_ZONE,
    ) -> None:
        self.local_configuration = local_configuration
        self._member = member
        self._zone = zone
        self._rng = rng
        self._watchers_per_zone = watchers_per_zone
        self._peers: tuple[Peer, ...] = ()
        self._watchers: dict[names.ZoneName, tuple[names.MemberId, ...]] = {}
        self._is_platform_current = False
        self.update_peers(())

    @property
    def should_watch(self) -> bool:
        """Whether this host is a watcher of its zone."""
        return self._member in self._watchers[self._zone]

    @property
    def is_platform_current(self) -> bool:
        """Whether the last listing, and every watch since, raised no alarm.

        Such alarms include revisions lower than the local ones. False before the
        first listing.
        """
        return self._is_platform_current

    def update_peers(self, peers: Iterable[Peer]) -> None:
        """Replace the list of live hosts and choose the watchers of every zone."""
        self._peers = tuple(
            peer for peer in peers if peer.member.host != self._member.host
        )
        all_hosts = [*self._peers, Peer(self._member, self._zone)]
        all_hosts.sort(key=lambda peer: (peer.zone, peer.member))
        self._watchers = {
            zone: choose_watchers(
                zone, (peer.member for peer in group), self._watchers_per_zone
            )
            for zone, group in itertools.groupby(all_hosts, key=lambda peer: peer.zone)
        }

    def apply_listing(
        self,
        entries: Iterable[tuple[str, bytes]],
        min_revisions: Mapping[str, names.Revision],
        asked_at: float,
    ) -> Effects:
        """Apply a complete listing of the platform that was requested at `asked_at`.

        `min_revisions` holds the local revisions at that time. A lower or missing
        revision in the listing raises an alarm. Without alarms, the configuration is
        confirmed as of `asked_at`.
        """
        items, unreadable = _decode_items(entries)
        results = self.local_configuration.apply_listing(items, min_revisions)
        effects = self._build_effects(results, unreadable)
        self._is_platform_current = not effects.alarms
        if self._is_platform_current:
            self.local_configuration.confirm(asked_at)
        return effects

    def apply_watch_changes(
        self,
        changes: Iterable[tuple[str, bytes | None]],
        min_revisions: Mapping[str, names.Revision],
        asked_at: float,
    ) -> Effects:
        """Apply the changes, if any, of a watch request that was sent at `asked_at`.

        Only the last change of each key is applied. It raises an alarm if its revision
        is below the one in `min_revisions` (the local revisions at `asked_at`), or if
        the key itself was removed: a regular deletion publishes a version that marks
        the item as deleted. Without alarms, and if the platform was current before, the
        configuration is confirmed as of `asked_at`.
        """
        last_values = dict(changes)
        removed = tuple(
            configuration.report_lost(key)
            for key, value in last_values.items()
            if value is None
        )
        items, unreadable = _decode_items(
            (key, value) for key, value in last_values.items() if value is not None
        )
        known_revisions = {
            item.key: min_revisions[item.key]
            for item in items
            if item.key in min_revisions
        }
        results = self.local_configuration.apply_listing(items, known_revisions)
        effects = self._build_effects(results, removed + unreadable)
        if effects.alarms:
            self._is_platform_current = False
        if self._is_platform_current:
            self.local_configuration.confirm(asked_at)
        return effects

    def handle_platform_rollback(
        self, previous: names.Revision, reported: names.Revision
    ) -> Effects:
        """Raise an alarm because the platform reported a lower revision than before."""
        self._is_platform_current = False
        detail = f"the platform reported revision {reported} after {previous}"
        alarm = configuration.Alarm(
            configuration.PREFIX, configuration.AlarmReason.OLDER, detail
        )
        return Effects(alarms=(alarm,))

    def handle_message(
        self, sender: names.MemberId, message: messages.Message, now: float
    ) -> Effects:
        """Handle a configuration message of a peer."""
        match message:
            case messages.ConfigurationItems(items):
                return self._apply_pushed_items(sender, items, now)
            case messages.ConfigurationDigest():
                return self._handle_digest(sender, message, now)
            case messages.ConfigurationState():
                return self._handle_peer_state(sender, message)
            case messages.ConfigurationPull(buckets):
                items = self.local_configuration.list_items(buckets)
                return Effects(tuple(_build_item_messages(sender, items)))
            case messages.ConfigurationQuestion(number, key):
                answer = messages.ConfigurationAnswer(number, self.get_revision(key))
                return Effects((OutgoingMessage(sender, answer),))
        return NO_EFFECTS

    def start_anti_entropy(self, now: float) -> Effects:
        """Return the digest to send to one peer; called at fixed intervals."""
        target = self._choose_anti_entropy_peer()
        if target is None:
            return NO_EFFECTS
        return Effects((self._build_digest_message(target, now),))

    def _build_digest_message(
        self, target: names.MemberId, now: float
    ) -> OutgoingMessage:
        digest = combine_digests(self.local_configuration.digests)
        return OutgoingMessage(target, messages.ConfigurationDigest(now, digest))

    def _choose_anti_entropy_peer(self) -> names.MemberId | None:
        if not self._peers:
            return None
        watchers = [
            member for member in self._watchers[self._zone] if member != self._member
        ]
        if watchers and self._rng.random() < OWN_ZONE_WATCHER_PROBABILITY:
            return self._rng.choice(watchers)
        return self._rng.choice(self._peers).member

    def _apply_pushed_items(
        self, sender: names.MemberId, items: Iterable[configuration.Item], now: float
    ) -> Effects:
        effects = self._build_effects(self.local_configuration.apply(items), ())
        if not self.should_watch:
            effects = dataclasses.replace(effects, outgoing=())
        if not self.local_configuration.ready:
            effects = dataclasses.replace(
                effects,
                outgoing=(*effects.outgoing, self._build_digest_message(sender, now)),
            )
        return effects

    def _handle_digest(
        self, sender: names.MemberId, request: messages.ConfigurationDigest, now: float
    ) -> Effects:
        digests = self.local_configuration.digests
        digest = combine_digests(digests)
        age_s = (
            self.local_configuration.pin().measure_age(now)
            if self.local_configuration.ready
            else None
        )
        differing = () if digest == request.digest else digests
        state = messages.ConfigurationState(request.asked_at, digest, age_s, differing)
        return Effects((OutgoingMessage(sender, state),))

    def _handle_peer_state(
        self, sender: names.MemberId, state: messages.ConfigurationState
    ) -> Effects:
        if state.digest == combine_digests(self.local_configuration.digests):
            if state.confirmed_age_s is not None:
                self.local_configuration.confirm(state.asked_at - state.confirmed_age_s)
            return NO_EFFECTS
        if len(state.digests) != configuration.BUCKETS:
            return NO_EFFECTS
        buckets = self.local_configuration.find_differences(state.digests)
        pull = OutgoingMessage(sender, messages.ConfigurationPull(buckets))
        own_items = _build_item_messages(
            sender, self.local_configuration.list_items(buckets)
        )
        return Effects((pull, *own_items))

    def get_revision(self, key: str) -> names.Revision:
        """Return the revision in force of an item, 0 if there is none."""
        revisions = self.local_configuration.list_revisions()
        return revisions.get(key, configuration.NO_REVISION)

    def _build_effects(
        self,
        results: Iterable[configuration.Result],
        other_alarms: tuple[configuration.Alarm, ...],
    ) -> Effects:
        """Return the alarms, the applied changes and the messages that push them."""
        results = tuple(results)
        applied = tuple(
            result for result in results if isinstance(result, configuration.Applied)
        )
        result_alarms = tuple(
            result for result in results if isinstance(result, configuration.Alarm)
        )
        items = self.local_configuration.find_items(result.key for result in applied)
        outgoing = tuple(
            message
            for member in self._list_push_recipients()
            for message in _build_item_messages(member, items)
        )
        return Effects(outgoing, applied, other_alarms + result_alarms)

    def _list_push_recipients(self) -> tuple[names.MemberId, ...]:
        """Return the hosts of the own zone and the watchers of the other zones."""
        own_zone = (peer.member for peer in self._peers if peer.zone == self._zone)
        other_watchers = itertools.chain.from_iterable(
            watchers for zone, watchers in self._watchers.items() if zone != self._zone
        )
        return (*own_zone, *other_watchers)


def combine_digests(digests: Iterable[int]) -> int:
    """Return one digest over the digests of all buckets."""
    text = ",".join(map(str, digests)).encode()
    return int.from_bytes(
        hashlib.blake2b(text, digest_size=configuration.HASH_BYTES).digest()
    )


def _decode_items(
    values: Iterable[tuple[str, bytes]],
) -> tuple[tuple[configuration.Item, ...], tuple[configuration.Alarm, ...]]:
    decoded = tuple(configuration.decode_items(values))
    items = tuple(item for item in decoded if isinstance(item, configuration.Item))
    alarms = tuple(item for item in decoded if isinstance(item, configuration.Alarm))
    return items, alarms


def _build_item_messages(
    member: names.MemberId, items: Iterable[configuration.Item]
) -> Iterator[OutgoingMessage]:
    iterator = iter(items)
    while batch := tuple(itertools.islice(iterator, MAX_ITEMS_PER_MESSAGE)):
        yield OutgoingMessage(member, messages.ConfigurationItems(batch))


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneInForce:
    """A zone's hosts that have confirmed a revision as in force, and the others."""

    zone: names.ZoneName
    confirmed: tuple[names.HostName, ...]
    unconfirmed: tuple[names.HostName, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InForceReport:
    """The live hosts on which a revision of an item is in force, by zone."""

    key: str
    revision: names.Revision
    zones: tuple[ZoneInForce, ...]

    @property
    def is_in_force_everywhere(self) -> bool:
        """Whether every live host has confirmed the revision."""
        return not any(zone.unconfirmed for zone in self.zones)


class InForcePoll:
    """Polls hosts for whether a revision of an item, or a higher one, is in force."""

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
        """Record a host's answer; answers to other polls are ignored."""
        if answer.number == self.number and answer.revision >= self._revision:
            self._confirmed.add(sender)

    def build_questions(self) -> tuple[OutgoingMessage, ...]:
        """Return the poll messages to the hosts that have not confirmed."""
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
        """Return the confirmed and unconfirmed hosts of each zone."""
        ordered = sorted(self._peers, key=lambda peer: (peer.zone, peer.member))
        groups = itertools.groupby(ordered, key=lambda peer: peer.zone)
        zones = tuple(
            self._build_zone_report(zone, tuple(group)) for zone, group in groups
        )
        return InForceReport(self._key, self._revision, zones)

    def _build_zone_report(
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
