"""Which entry hosts are alive, from direct probes, gossip and the host list.

The rules follow SWIM (Das, Gupta, Motivala 2002) with the suspicion of Lifeguard
(Dadgar, Phillips, Currey 2017) left to the prober's own lateness: a host that ran
late judges nobody. Each host probes a bounded number of others, so its cost does not
grow with the fleet; changes travel on the probes. The platform's list adds members
and says who leaves. Its silence removes nobody that answers: a cut-off zone keeps
the hosts that reach each other.
"""

import collections
import dataclasses
import enum
import itertools
import math
import random
from collections.abc import Iterable, Iterator

import msgspec

from corianderrill import hostlist, messages, names

TICK_S = 0.25
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.4
LATE_THRESHOLD_S = 0.5
PAUSE_THRESHOLD_S = 1.5
MIN_SUSPICION_TIMEOUT_S = 2.0
MAX_DOUBT_PAUSE_S = 30.0
JOIN_GRACE_S = 2.0
FORGET_S = 120.0
OWN_ZONE_TARGETS = 4
OTHER_ZONE_TARGETS = 2
DEAD_TARGETS = 2
EAGER_TARGETS_PER_TICK = 8
NEWS_PER_MESSAGE = 6
NEWS_FOR_NEWCOMER = 64
NEWS_ROUNDS = 3
# The sequence number of a probe that wants no reply.
NO_REPLY_SEQUENCE = 0
MAX_MEMBERS = 4096

State = messages.MemberState

RANKS = {State.ALIVE: 0, State.SUSPECT: 1, State.LEAVING: 2, State.DEAD: 3}


class ViewFreshness(enum.Enum):
    """Whether a host may act on its view of the others."""

    FRESH = "fresh"
    STALE = "stale"


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message that the caller sends to a member."""

    to: names.MemberId
    message: messages.Probe | messages.ProbeReply


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A member's state as others should act on it has changed; None is unknown."""

    member: names.MemberId
    before: messages.MemberState | None
    after: messages.MemberState | None


@dataclasses.dataclass(slots=True)
class _Held:
    """A member's record and what this host saw of it. Times of the own clock.

    `unreached_s` is since when no probe of this host reached the member, None while
    the last one did; `known_s` is when it became known.
    """

    record: messages.MemberRecord
    since_s: float
    unreached_s: float | None
    known_s: float
    was_reached: bool = False
    doubt_after_s: float = 0.0
    doubt_pause_s: float = MIN_SUSPICION_TIMEOUT_S
    is_listed: bool = False
    is_listed_leaving: bool = False

    @property
    def state(self) -> messages.MemberState:
        """The state to act on; the platform's word that a host leaves counts."""
        if self.is_listed_leaving and RANKS[self.record.state] < RANKS[State.LEAVING]:
            return State.LEAVING
        return self.record.state


@dataclasses.dataclass(slots=True)
class _Outstanding:
    to: names.MemberId
    due_s: float


@dataclasses.dataclass(slots=True)
class Membership:
    """The view of one host. Rules only: the caller sends, receives and keeps time.

    `revision` rises with every change of what `list_usable` returns.
    """

    own_record: messages.MemberRecord
    started_s: float
    revision: int = 0
    _held: dict[names.MemberId, _Held] = dataclasses.field(default_factory=dict)
    _outstanding: dict[int, _Outstanding] = dataclasses.field(default_factory=dict)
    _news: dict[names.MemberId, int] = dataclasses.field(default_factory=dict)
    _sequence: int = 0
    _last_tick_s: float = dataclasses.field(init=False)
    _round_due_s: float = dataclasses.field(init=False)
    _troubled: set[names.MemberId] = dataclasses.field(default_factory=set)
    _eager: dict[names.MemberId, None] = dataclasses.field(default_factory=dict)
    _is_joining: bool = True
    _wake_probes: set[int] | None = None
    _changes: collections.deque[Change] = dataclasses.field(
        default_factory=collections.deque
    )

    def __post_init__(self) -> None:
        self._last_tick_s = self.started_s
        self._round_due_s = self.started_s

    # What others ask.

    def assess_freshness(self, now: float) -> ViewFreshness:
        """Tell whether the view may be acted on.

        After a pause it is stale, from the first instant, until a round of probes
        was answered or timed out.
        """
        is_late = now - self._last_tick_s > PAUSE_THRESHOLD_S
        return (
            ViewFreshness.STALE
            if is_late or self._wake_probes is not None
            else ViewFreshness.FRESH
        )

    def get_state(self, member: names.MemberId) -> messages.MemberState | None:
        """Return the state to act on; None for an unknown member."""
        if member == self.own_record.member:
            return self.own_record.state
        held = self._held.get(member)
        return None if held is None else held.state

    def get_record(self, member: names.MemberId) -> messages.MemberRecord | None:
        """Return another member's record as it was told; None if unknown."""
        held = self._held.get(member)
        return None if held is None else held.record

    def list_usable(self) -> tuple[messages.MemberRecord, ...]:
        """Return the members that may be given work, the own host included."""
        others = (
            held.record
            for held in self._held.values()
            if held.state is State.ALIVE and held.unreached_s is None
        )
        own = (self.own_record,) if self.own_record.state is State.ALIVE else ()
        return tuple(sorted(itertools.chain(own, others), key=_get_member))

    def list_records(self) -> tuple[messages.MemberRecord, ...]:
        """Return every other member's record in the state to act on."""
        return tuple(
            msgspec.structs.replace(held.record, state=held.state)
            for held in self._held.values()
        )

    def pop_changes(self) -> tuple[Change, ...]:
        """Return the changes since the last call, oldest first."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    # What happens to it.

    def tick(self, now: float, rng: random.Random) -> tuple[Outgoing, ...]:
        """Judge what is due and return the probes to send. Call every `TICK_S`."""
        gap_s = now - self._last_tick_s
        self._last_tick_s = now
        is_woken = gap_s > PAUSE_THRESHOLD_S
        if is_woken:
            self._wake(now)
        elif gap_s > LATE_THRESHOLD_S:
            self._postpone(gap_s)
        else:
            self._judge(now)
        self._bury(now)
        targets = self._take_eager()
        if now >= self._round_due_s:
            self._round_due_s = now + PROBE_INTERVAL_S
            targets |= {_get_id(held): held for held in self._choose_targets(rng)}
        probes = tuple(self._probe(held, now) for held in targets.values())
        if is_woken:
            self._wake_probes = set(self._outstanding)
        self._settle_wake()
        return probes

    def handle_probe(
        self, probe: messages.Probe, now: float, rng: random.Random
    ) -> Outgoing:
        """Learn from a probe and return the reply."""
        self._learn(probe.sender, now)
        self._learn_news(probe.news, now)
        held = self._held.get(probe.sender.member)
        if held is not None and held.unreached_s is not None:
            self._eager[probe.sender.member] = None
        news = self._pick_newcomer_news(rng) if probe.is_joining else self._pick_news()
        reply = messages.ProbeReply(probe.sequence, self.own_record, news)
        return Outgoing(probe.sender.member, reply)

    def handle_one_way_probe(self, notice: messages.Probe, now: float) -> None:
        """Learn from a probe that wants no reply."""
        self._learn(notice.sender, now)
        self._learn_news(notice.news, now)

    def handle_reply(self, reply: messages.ProbeReply, now: float) -> None:
        """Learn from the reply to a probe."""
        outstanding = self._outstanding.pop(reply.sequence, None)
        self._learn(reply.sender, now)
        self._learn_news(reply.news, now)
        if outstanding is None:
            return
        self._is_joining = False
        if outstanding.to == reply.sender.member:
            self._confirm(outstanding.to)
        else:
            self._supersede(outstanding.to, reply.sender, now)
        self._settle_wake()

    def apply_host_list(
        self, entry_hosts: Iterable[hostlist.EntryHost], now: float
    ) -> None:
        """Add what the platform lists. Members missing from it are not removed."""
        listed = {each.member: each for each in entry_hosts}
        for member, entry in listed.items():
            if member == self.own_record.member:
                continue
            record = messages.MemberRecord(
                member, entry.zone, entry.peer_address, State.ALIVE
            )
            # Every host reads the list, so its entries are no news.
            self._learn(record, now, is_news=False)
        for member, held in self._held.items():
            entry = listed.get(member)
            before = held.state
            held.is_listed = entry is not None
            if entry is not None:
                held.is_listed_leaving = entry.state is hostlist.HostState.LEAVING
            self._note(member, before, held.state)

    def announce_seat(self, seat: int) -> None:
        """Let the others know the seat that the own host holds."""
        self.own_record = msgspec.structs.replace(
            self.own_record, seat=seat, epoch=self.own_record.epoch + 1
        )
        self.revision += 1

    def build_join_probe(self) -> messages.Probe | None:
        """Return a probe for an address whose host is unknown; None once joined."""
        if not self._is_joining:
            return None
        self._sequence += 1
        return messages.Probe(self._sequence, self.own_record, (), True)

    def leave(self) -> tuple[Outgoing, ...]:
        """Declare the own host leaving; return what tells every reachable member."""
        self.own_record = msgspec.structs.replace(
            self.own_record, state=State.LEAVING, epoch=self.own_record.epoch + 1
        )
        self.revision += 1
        return tuple(
            Outgoing(
                held.record.member, messages.Probe(NO_REPLY_SEQUENCE, self.own_record)
            )
            for held in self._held.values()
            if held.record.state is not State.DEAD
        )

    # Rules.

    def _wake(self, now: float) -> None:
        """Start anew after a pause: what was outstanding proves nothing."""
        self._outstanding.clear()
        self._round_due_s = now
        self.revision += 1
        self.own_record = msgspec.structs.replace(
            self.own_record, epoch=self.own_record.epoch + 1
        )
        for held in self._held.values():
            held.since_s = now
            held.unreached_s = now
        self._eager = dict.fromkeys(
            member
            for member, held in self._held.items()
            if held.record.state is not State.DEAD
        )

    def _settle_wake(self) -> None:
        if self._wake_probes is not None:
            self._wake_probes &= self._outstanding.keys()
            self._wake_probes = self._wake_probes or None

    def _postpone(self, gap_s: float) -> None:
        for outstanding in self._outstanding.values():
            outstanding.due_s += gap_s

    def _judge(self, now: float) -> None:
        """Suspect the members whose probes were not answered in time."""
        due = [key for key, each in self._outstanding.items() if each.due_s <= now]
        for key in due:
            held = self._held.get(self._outstanding.pop(key).to)
            if held is not None:
                self._doubt(held, now)

    def _doubt(self, held: _Held, now: float) -> None:
        if not held.was_reached and now - held.known_s < JOIN_GRACE_S:
            # The connection may not stand yet.
            self._eager[_get_id(held)] = None
            return
        if held.unreached_s is None:
            held.unreached_s = now
            self.revision += 1
        if held.record.state is not State.ALIVE or now < held.doubt_after_s:
            return
        held.doubt_after_s = now + held.doubt_pause_s
        held.doubt_pause_s = min(2 * held.doubt_pause_s, MAX_DOUBT_PAUSE_S)
        self._learn(msgspec.structs.replace(held.record, state=State.SUSPECT), now)

    def _confirm(self, member: names.MemberId) -> None:
        held = self._held.get(member)
        if held is None:
            return
        held.was_reached = True
        if held.unreached_s is not None:
            held.unreached_s = None
            self.revision += 1
        held.doubt_pause_s = MIN_SUSPICION_TIMEOUT_S

    def _bury(self, now: float) -> None:
        """Declare dead what stayed suspect, and forget what is long dead."""
        suspicion_s = compute_suspicion_timeout_s(len(self._held) + 1)
        for member in tuple(self._troubled):
            held = self._held[member]
            if self._is_lost(held, now, suspicion_s):
                self._learn(msgspec.structs.replace(held.record, state=State.DEAD), now)
            elif (
                held.record.state is State.DEAD
                and not held.is_listed
                and now - held.since_s > FORGET_S
            ):
                del self._held[member]
                self._troubled.discard(member)
                self._news.pop(member, None)
                self._eager.pop(member, None)
                self._note(member, State.DEAD, None)

    def _is_lost(self, held: _Held, now: float, suspicion_s: float) -> bool:
        match held.record.state:
            case State.SUSPECT:
                return now - held.since_s > suspicion_s
            case State.LEAVING:
                return (
                    held.unreached_s is not None
                    and now - held.unreached_s > suspicion_s
                )
        return False

    def _supersede(
        self, member: names.MemberId, sender: messages.MemberRecord, now: float
    ) -> None:
        """Declare dead a start whose address another start answered from."""
        held = self._held.get(member)
        if held is None or held.record.peer_address != sender.peer_address:
            return
        self._learn(msgspec.structs.replace(held.record, state=State.DEAD), now)

    def _learn_news(self, news: Iterable[messages.MemberRecord], now: float) -> None:
        for record in news:
            self._learn(record, now)

    def _learn(
        self, record: messages.MemberRecord, now: float, is_news: bool = True
    ) -> None:
        """Keep the record if it outranks the held one, and pass it on."""
        if record.member == self.own_record.member:
            self._refute(record)
            return
        held = self._held.get(record.member)
        if held is None:
            if len(self._held) >= MAX_MEMBERS:
                return
            held = self._held[record.member] = _Held(record, now, now, now)
            self._eager[record.member] = None
            self._note(record.member, None, held.state)
        elif _rank(record) > _rank(held.record):
            before = held.state
            held.record = record
            held.since_s = now
            self.revision += 1
            if held.unreached_s is not None and record.state is State.ALIVE:
                self._eager[record.member] = None
            self._note(record.member, before, held.state)
        else:
            return
        if record.state is State.ALIVE:
            self._troubled.discard(record.member)
        else:
            self._troubled.add(record.member)
        if not is_news:
            return
        self._news[record.member] = NEWS_ROUNDS * math.ceil(
            math.log2(len(self._held) + 2)
        )

    def _refute(self, record: messages.MemberRecord) -> None:
        """Outrank a record that others hold of this host and that is not true."""
        if _rank(record) <= _rank(self.own_record):
            return
        self.own_record = msgspec.structs.replace(
            self.own_record, epoch=record.epoch + 1
        )

    def _note(
        self,
        member: names.MemberId,
        before: messages.MemberState | None,
        after: messages.MemberState | None,
    ) -> None:
        if before is not after:
            self.revision += 1
            self._changes.append(Change(member, before, after))

    # Probes.

    def _take_eager(self) -> dict[names.MemberId, _Held]:
        """Take the members to probe at once, those of the own zone first."""
        known = [self._held[member] for member in self._eager if member in self._held]
        known.sort(key=lambda held: held.record.zone != self.own_record.zone)
        taken = {_get_id(held): held for held in known[:EAGER_TARGETS_PER_TICK]}
        for member in taken:
            del self._eager[member]
        return taken

    def _choose_targets(self, rng: random.Random) -> Iterator[_Held]:
        """Yield some members of the own zone, some others, and some lost ones."""
        awaited = {each.to for each in self._outstanding.values()}
        free = [held for member, held in self._held.items() if member not in awaited]
        lost = [held for held in free if held.record.state is State.DEAD]
        known = [held for held in free if held.record.state is not State.DEAD]
        near = [held for held in known if held.record.zone == self.own_record.zone]
        far = [held for held in known if held.record.zone != self.own_record.zone]
        quotas = (
            (near, OWN_ZONE_TARGETS),
            (far, OTHER_ZONE_TARGETS),
            (lost, DEAD_TARGETS),
        )
        for group, quota in quotas:
            yield from rng.sample(group, min(quota, len(group)))

    def _probe(self, held: _Held, now: float) -> Outgoing:
        self._sequence += 1
        member = held.record.member
        self._outstanding[self._sequence] = _Outstanding(member, now + PROBE_TIMEOUT_S)
        # The target must learn what is wrongly believed of it, to refute it.
        doubt = () if held.record.state is State.ALIVE else (held.record,)
        news = doubt + self._pick_news()
        probe = messages.Probe(self._sequence, self.own_record, news, self._is_joining)
        return Outgoing(member, probe)

    def _pick_news(self) -> tuple[messages.MemberRecord, ...]:
        """Take the least told news for one message."""
        members = sorted(self._news, key=self._news.get, reverse=True)
        picked = members[:NEWS_PER_MESSAGE]
        for member in picked:
            self._news[member] -= 1
            if not self._news[member]:
                del self._news[member]
        return tuple(self._held[member].record for member in picked)

    def _pick_newcomer_news(
        self, rng: random.Random
    ) -> tuple[messages.MemberRecord, ...]:
        known = [
            held.record
            for held in self._held.values()
            if held.record.state is not State.DEAD
        ]
        return tuple(rng.sample(known, min(NEWS_FOR_NEWCOMER, len(known))))


def compute_suspicion_timeout_s(count: int) -> float:
    """Return how long a suspect may refute, in seconds: news spreads in log time."""
    return max(MIN_SUSPICION_TIMEOUT_S, math.log2(count + 1))


def _rank(record: messages.MemberRecord) -> tuple[int, int]:
    return (record.epoch, RANKS[record.state])


def _get_id(held: _Held) -> names.MemberId:
    return held.record.member


def _get_member(record: messages.MemberRecord) -> names.MemberId:
    return record.member
