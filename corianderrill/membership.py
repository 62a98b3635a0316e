"""Failure detection and membership of entry hosts: probes, gossip and the host list.

The rules follow SWIM (Das, Gupta, Motivala 2002). From Lifeguard (Dadgar, Phillips,
Currey 2017) they use only local health awareness: a host whose own tick ran late
suspects no other host at that tick. Each host probes a bounded number of others, so
its cost does not grow with the fleet. Membership updates are piggybacked on the probes.
The platform's host list adds members and says which are leaving. A member that answers
probes is kept when the list lacks it: the hosts of a partitioned availability zone
keep the members that they reach.
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
# If the gap between two ticks exceeds this, probe deadlines are extended, not checked.
LATE_THRESHOLD_S = 0.5
# If the gap between two ticks exceeds this, the view is stale until a new round of
# probes ends.
PAUSE_THRESHOLD_S = 1.5
MIN_SUSPICION_TIMEOUT_S = 2.0
MAX_SUSPICION_BACKOFF_S = 30.0
# A new member is not suspected within this time unless it has answered a probe.
JOIN_GRACE_S = 2.0
DEAD_RETENTION_S = 120.0
# At most this many members of each group are probed per round, chosen at random.
MAX_OWN_ZONE_TARGETS_PER_ROUND = 4
MAX_OTHER_ZONE_TARGETS_PER_ROUND = 2
MAX_DEAD_TARGETS_PER_ROUND = 2
MAX_URGENT_TARGETS_PER_TICK = 8
MAX_UPDATES_PER_MESSAGE = 6
MAX_RECORDS_PER_JOIN_REPLY = 64
# Gossip sends of an update, per binary logarithm of the member count.
RETRANSMIT_MULTIPLIER = 3
# Sequence number of a probe that must not be answered.
NO_REPLY_SEQUENCE = 0
MAX_MEMBERS = 4096

State = messages.MemberState

# Of two records with the same epoch, the state with the higher number wins.
STATE_PRECEDENCE = {State.ALIVE: 0, State.SUSPECT: 1, State.LEAVING: 2, State.DEAD: 3}


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
    """A change of a member's effective state (`_MemberEntry.state`).

    None stands for an unknown member.
    """

    member: names.MemberId
    before: messages.MemberState | None
    after: messages.MemberState | None


@dataclasses.dataclass(slots=True)
class _MemberEntry:
    """A member's record and this host's observations of it, in local monotonic time.

    `record_since_s` is when the record was stored, or the end of a later pause of this
    host. `unreachable_since_s` is the time of the first probe timeout since the member
    last answered this host; None while it answers. It starts as the time of discovery,
    and a pause of this host sets it to the end of the pause. `discovered_s` is when
    this host first heard of the member. `next_suspicion_s` is the earliest time at
    which this host may suspect it again. `suspicion_backoff_s` is the minimum time from
    the next suspicion to the one after it. It doubles with each suspicion and is reset
    when the member answers.
    """

    record: messages.MemberRecord
    record_since_s: float
    unreachable_since_s: float | None
    discovered_s: float
    has_been_reached: bool = False
    next_suspicion_s: float = 0.0
    suspicion_backoff_s: float = MIN_SUSPICION_TIMEOUT_S
    is_listed: bool = False
    is_listed_leaving: bool = False

    @property
    def state(self) -> messages.MemberState:
        """The effective state: the state of the record, or LEAVING.

        It is LEAVING if the host list says that a live member is leaving, even if the
        member's own record does not say so.
        """
        if (
            self.is_listed_leaving
            and STATE_PRECEDENCE[self.record.state] < STATE_PRECEDENCE[State.LEAVING]
        ):
            return State.LEAVING
        return self.record.state


@dataclasses.dataclass(slots=True)
class _OutstandingProbe:
    to: names.MemberId
    deadline_s: float


@dataclasses.dataclass(slots=True)
class Membership:
    """One host's view of all members.

    Does no I/O: the caller sends and receives messages and passes the time.
    `revision` rises with every change of what `list_usable` returns. `_sends_left`
    holds, for each member with an update to gossip, how often it is still to be sent.
    `_urgent_targets` holds the members to probe at the next tick. `_not_alive_members`
    holds the members whose record is not ALIVE. `_post_pause_probes` holds the
    unanswered probes of the first round after a pause, None outside such a round.
    """

    own_record: messages.MemberRecord
    started_s: float
    revision: int = 0
    _entries: dict[names.MemberId, _MemberEntry] = dataclasses.field(
        default_factory=dict
    )
    _outstanding_probes: dict[int, _OutstandingProbe] = dataclasses.field(
        default_factory=dict
    )
    _sends_left: dict[names.MemberId, int] = dataclasses.field(default_factory=dict)
    _last_sequence: int = 0
    _last_tick_s: float = dataclasses.field(init=False)
    _next_round_s: float = dataclasses.field(init=False)
    _not_alive_members: set[names.MemberId] = dataclasses.field(default_factory=set)
    _urgent_targets: dict[names.MemberId, None] = dataclasses.field(
        default_factory=dict
    )
    _is_joining: bool = True
    _post_pause_probes: set[int] | None = None
    _changes: collections.deque[Change] = dataclasses.field(
        default_factory=collections.deque
    )

    def __post_init__(self) -> None:
        self._last_tick_s = self.started_s
        self._next_round_s = self.started_s

    # Queries.

    def assess_freshness(self, now: float) -> ViewFreshness:
        """Return whether this host may act on its view.

        After a pause of the process, the view is stale at once. It stays stale until
        each probe of the next round was answered or timed out.
        """
        has_paused = now - self._last_tick_s > PAUSE_THRESHOLD_S
        return (
            ViewFreshness.STALE
            if has_paused or self._post_pause_probes is not None
            else ViewFreshness.FRESH
        )

    def get_state(self, member: names.MemberId) -> messages.MemberState | None:
        """Return a member's effective state; None for an unknown member."""
        if member == self.own_record.member:
            return self.own_record.state
        entry = self._entries.get(member)
        return None if entry is None else entry.state

    def get_record(self, member: names.MemberId) -> messages.MemberRecord | None:
        """Return another member's record as received; None if unknown."""
        entry = self._entries.get(member)
        return None if entry is None else entry.record

    def list_usable(self) -> tuple[messages.MemberRecord, ...]:
        """Return the members that can be given work, including this host."""
        others = (
            entry.record
            for entry in self._entries.values()
            if entry.state is State.ALIVE and entry.unreachable_since_s is None
        )
        own = (self.own_record,) if self.own_record.state is State.ALIVE else ()
        return tuple(sorted(itertools.chain(own, others), key=_get_record_member_id))

    def list_records(self) -> tuple[messages.MemberRecord, ...]:
        """Return the record of every other member, with its effective state."""
        return tuple(
            msgspec.structs.replace(entry.record, state=entry.state)
            for entry in self._entries.values()
        )

    def pop_changes(self) -> tuple[Change, ...]:
        """Return the changes since the last call, oldest first."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    # Events.

    def tick(self, now: float, rng: random.Random) -> tuple[Outgoing, ...]:
        """Apply the timeouts and return the probes to send. Call every `TICK_S`."""
        gap_s = now - self._last_tick_s
        self._last_tick_s = now
        has_paused = gap_s > PAUSE_THRESHOLD_S
        if has_paused:
            self._reset_after_pause(now)
        elif gap_s > LATE_THRESHOLD_S:
            self._extend_deadlines(gap_s)
        else:
            self._expire_probes(now)
        self._expire_members(now)
        targets = self._pop_urgent_targets()
        if now >= self._next_round_s:
            self._next_round_s = now + PROBE_INTERVAL_S
            targets |= {
                _get_entry_member_id(entry): entry
                for entry in self._choose_targets(rng)
            }
        probes = tuple(self._probe(entry, now) for entry in targets.values())
        if has_paused:
            self._post_pause_probes = set(self._outstanding_probes)
        self._update_post_pause_probes()
        return probes

    def handle_probe(
        self, probe: messages.Probe, now: float, rng: random.Random
    ) -> Outgoing:
        """Merge the records of a probe and return the reply."""
        self._merge_record(probe.sender, now)
        self._merge_records(probe.news, now)
        entry = self._entries.get(probe.sender.member)
        if entry is not None and entry.unreachable_since_s is not None:
            self._urgent_targets[probe.sender.member] = None
        updates = (
            self._sample_records(rng) if probe.is_joining else self._choose_updates()
        )
        reply = messages.ProbeReply(probe.sequence, self.own_record, updates)
        return Outgoing(probe.sender.member, reply)

    def handle_one_way_probe(self, probe: messages.Probe, now: float) -> None:
        """Merge the records of a probe that must not be answered."""
        self._merge_record(probe.sender, now)
        self._merge_records(probe.news, now)

    def handle_reply(self, reply: messages.ProbeReply, now: float) -> None:
        """Merge the records of a reply and record which member answered.

        If a host that restarted on the address of the probed member answers, the probed
        member is marked dead.
        """
        outstanding = self._outstanding_probes.pop(reply.sequence, None)
        self._merge_record(reply.sender, now)
        self._merge_records(reply.news, now)
        if outstanding is None:
            return
        self._is_joining = False
        if outstanding.to == reply.sender.member:
            self._record_reached(outstanding.to)
        else:
            self._mark_replaced_member_dead(outstanding.to, reply.sender, now)
        self._update_post_pause_probes()

    def apply_host_list(
        self, entry_hosts: Iterable[hostlist.EntryHost], now: float
    ) -> None:
        """Add the listed hosts. Members that the list lacks are not removed."""
        listed_hosts = {each.member: each for each in entry_hosts}
        for member, listed_host in listed_hosts.items():
            if member == self.own_record.member:
                continue
            record = messages.MemberRecord(
                member, listed_host.zone, listed_host.peer_address, State.ALIVE
            )
            # Every host reads the list, so its entries need no gossip.
            self._merge_record(record, now, is_gossiped=False)
        for member, entry in self._entries.items():
            listed_host = listed_hosts.get(member)
            before = entry.state
            entry.is_listed = listed_host is not None
            if listed_host is not None:
                entry.is_listed_leaving = (
                    listed_host.state is hostlist.HostState.LEAVING
                )
            self._record_change(member, before, entry.state)

    def announce_seat(self, seat: int) -> None:
        """Publish the seat that this host holds in its own record."""
        self.own_record = msgspec.structs.replace(
            self.own_record, seat=seat, epoch=self.own_record.epoch + 1
        )
        self.revision += 1

    def build_join_probe(self) -> messages.Probe | None:
        """Return a probe to send to a seed address; None once this host has joined.

        It has joined once a probe to a known member was answered.
        """
        if not self._is_joining:
            return None
        self._last_sequence += 1
        return messages.Probe(self._last_sequence, self.own_record, (), True)

    def leave(self) -> tuple[Outgoing, ...]:
        """Mark this host as leaving; return the probes that announce it."""
        self.own_record = msgspec.structs.replace(
            self.own_record, state=State.LEAVING, epoch=self.own_record.epoch + 1
        )
        self.revision += 1
        return tuple(
            Outgoing(
                entry.record.member, messages.Probe(NO_REPLY_SEQUENCE, self.own_record)
            )
            for entry in self._entries.values()
            if entry.record.state is not State.DEAD
        )

    # State transitions.

    def _reset_after_pause(self, now: float) -> None:
        """Discard the outstanding probes and have all members probed again.

        A probe that timed out while this host was paused says nothing about its target.
        """
        self._outstanding_probes.clear()
        self._next_round_s = now
        self.revision += 1
        self.own_record = msgspec.structs.replace(
            self.own_record, epoch=self.own_record.epoch + 1
        )
        for entry in self._entries.values():
            entry.record_since_s = now
            entry.unreachable_since_s = now
        self._urgent_targets = dict.fromkeys(
            member
            for member, entry in self._entries.items()
            if entry.record.state is not State.DEAD
        )

    def _update_post_pause_probes(self) -> None:
        """Remove the probes that were answered or timed out; set None if all were."""
        if self._post_pause_probes is not None:
            self._post_pause_probes &= self._outstanding_probes.keys()
            self._post_pause_probes = self._post_pause_probes or None

    def _extend_deadlines(self, gap_s: float) -> None:
        """Extend the probe deadlines by the gap before a late tick.

        Replies may have arrived in that gap but not been handled yet.
        """
        for probe in self._outstanding_probes.values():
            probe.deadline_s += gap_s

    def _expire_probes(self, now: float) -> None:
        """Suspect the members whose probes were not answered in time."""
        expired = [
            sequence
            for sequence, probe in self._outstanding_probes.items()
            if probe.deadline_s <= now
        ]
        for sequence in expired:
            entry = self._entries.get(self._outstanding_probes.pop(sequence).to)
            if entry is not None:
                self._handle_probe_timeout(entry, now)

    def _handle_probe_timeout(self, entry: _MemberEntry, now: float) -> None:
        if not entry.has_been_reached and now - entry.discovered_s < JOIN_GRACE_S:
            # The connection may not be established yet.
            self._urgent_targets[_get_entry_member_id(entry)] = None
            return
        if entry.unreachable_since_s is None:
            entry.unreachable_since_s = now
            self.revision += 1
        if entry.record.state is not State.ALIVE or now < entry.next_suspicion_s:
            return
        entry.next_suspicion_s = now + entry.suspicion_backoff_s
        entry.suspicion_backoff_s = min(
            2 * entry.suspicion_backoff_s, MAX_SUSPICION_BACKOFF_S
        )
        self._merge_record(
            msgspec.structs.replace(entry.record, state=State.SUSPECT), now
        )

    def _record_reached(self, member: names.MemberId) -> None:
        entry = self._entries.get(member)
        if entry is None:
            return
        entry.has_been_reached = True
        if entry.unreachable_since_s is not None:
            entry.unreachable_since_s = None
            self.revision += 1
        entry.suspicion_backoff_s = MIN_SUSPICION_TIMEOUT_S

    def _expire_members(self, now: float) -> None:
        """Mark members dead after the suspicion timeout; remove the long dead.

        The timeout also applies to a leaving member that answers no probes.
        """
        suspicion_timeout_s = compute_suspicion_timeout_s(len(self._entries) + 1)
        for member in tuple(self._not_alive_members):
            entry = self._entries[member]
            if self._has_suspicion_expired(entry, now, suspicion_timeout_s):
                self._merge_record(
                    msgspec.structs.replace(entry.record, state=State.DEAD), now
                )
            elif (
                entry.record.state is State.DEAD
                and not entry.is_listed
                and now - entry.record_since_s > DEAD_RETENTION_S
            ):
                del self._entries[member]
                self._not_alive_members.discard(member)
                self._sends_left.pop(member, None)
                self._urgent_targets.pop(member, None)
                self._record_change(member, State.DEAD, None)

    def _has_suspicion_expired(
        self, entry: _MemberEntry, now: float, suspicion_timeout_s: float
    ) -> bool:
        """Return whether a suspected or leaving member is to be marked dead.

        The timeout counts from `record_since_s` for a suspected member and from
        `unreachable_since_s` for a leaving one.
        """
        match entry.record.state:
            case State.SUSPECT:
                return now - entry.record_since_s > suspicion_timeout_s
            case State.LEAVING:
                return (
                    entry.unreachable_since_s is not None
                    and now - entry.unreachable_since_s > suspicion_timeout_s
                )
        return False

    def _mark_replaced_member_dead(
        self, member: names.MemberId, sender: messages.MemberRecord, now: float
    ) -> None:
        """Mark a member dead if another member, `sender`, answered from its address.

        A restarted host is a new member on the old address.
        """
        entry = self._entries.get(member)
        if entry is None or entry.record.peer_address != sender.peer_address:
            return
        self._merge_record(msgspec.structs.replace(entry.record, state=State.DEAD), now)

    def _merge_records(
        self, records: Iterable[messages.MemberRecord], now: float
    ) -> None:
        for record in records:
            self._merge_record(record, now)

    def _merge_record(
        self, record: messages.MemberRecord, now: float, is_gossiped: bool = True
    ) -> None:
        """Store and gossip the record if it takes precedence over the stored one."""
        if record.member == self.own_record.member:
            self._refute(record)
            return
        entry = self._entries.get(record.member)
        if entry is None:
            if len(self._entries) >= MAX_MEMBERS:
                return
            entry = self._entries[record.member] = _MemberEntry(record, now, now, now)
            self._urgent_targets[record.member] = None
            self._record_change(record.member, None, entry.state)
        elif _get_precedence(record) > _get_precedence(entry.record):
            before = entry.state
            entry.record = record
            entry.record_since_s = now
            self.revision += 1
            if entry.unreachable_since_s is not None and record.state is State.ALIVE:
                self._urgent_targets[record.member] = None
            self._record_change(record.member, before, entry.state)
        else:
            return
        if record.state is State.ALIVE:
            self._not_alive_members.discard(record.member)
        else:
            self._not_alive_members.add(record.member)
        if not is_gossiped:
            return
        self._sends_left[record.member] = RETRANSMIT_MULTIPLIER * math.ceil(
            math.log2(len(self._entries) + 2)
        )

    def _refute(self, record: messages.MemberRecord) -> None:
        """Raise this host's epoch above that of a record that supersedes its own."""
        if _get_precedence(record) <= _get_precedence(self.own_record):
            return
        self.own_record = msgspec.structs.replace(
            self.own_record, epoch=record.epoch + 1
        )

    def _record_change(
        self,
        member: names.MemberId,
        before: messages.MemberState | None,
        after: messages.MemberState | None,
    ) -> None:
        if before is not after:
            self.revision += 1
            self._changes.append(Change(member, before, after))

    # Probes.

    def _pop_urgent_targets(self) -> dict[names.MemberId, _MemberEntry]:
        """Remove and return the members to probe now, own availability zone first."""
        urgent = [
            self._entries[member]
            for member in self._urgent_targets
            if member in self._entries
        ]
        urgent.sort(key=lambda entry: entry.record.zone != self.own_record.zone)
        targets = {
            _get_entry_member_id(entry): entry
            for entry in urgent[:MAX_URGENT_TARGETS_PER_TICK]
        }
        for member in targets:
            del self._urgent_targets[member]
        return targets

    def _choose_targets(self, rng: random.Random) -> Iterator[_MemberEntry]:
        """Yield random members of the own zone, of other zones and of the dead.

        Dead members are probed so that the two sides of a healed partition find each
        other again.
        """
        awaited = {probe.to for probe in self._outstanding_probes.values()}
        idle = [
            entry for member, entry in self._entries.items() if member not in awaited
        ]
        dead = [entry for entry in idle if entry.record.state is State.DEAD]
        live = [entry for entry in idle if entry.record.state is not State.DEAD]
        own_zone = [
            entry for entry in live if entry.record.zone == self.own_record.zone
        ]
        other_zones = [
            entry for entry in live if entry.record.zone != self.own_record.zone
        ]
        quotas = (
            (own_zone, MAX_OWN_ZONE_TARGETS_PER_ROUND),
            (other_zones, MAX_OTHER_ZONE_TARGETS_PER_ROUND),
            (dead, MAX_DEAD_TARGETS_PER_ROUND),
        )
        for group, quota in quotas:
            yield from rng.sample(group, min(quota, len(group)))

    def _probe(self, entry: _MemberEntry, now: float) -> Outgoing:
        self._last_sequence += 1
        member = entry.record.member
        self._outstanding_probes[self._last_sequence] = _OutstandingProbe(
            member, now + PROBE_TIMEOUT_S
        )
        # The target can refute a suspicion only if it hears of it.
        suspicion = () if entry.record.state is State.ALIVE else (entry.record,)
        updates = suspicion + self._choose_updates()
        probe = messages.Probe(
            self._last_sequence, self.own_record, updates, self._is_joining
        )
        return Outgoing(member, probe)

    def _choose_updates(self) -> tuple[messages.MemberRecord, ...]:
        """Return the updates with the most sends left, and count them as sent."""
        members = sorted(self._sends_left, key=self._sends_left.get, reverse=True)
        picked = members[:MAX_UPDATES_PER_MESSAGE]
        for member in picked:
            self._sends_left[member] -= 1
            if not self._sends_left[member]:
                del self._sends_left[member]
        return tuple(self._entries[member].record for member in picked)

    def _sample_records(self, rng: random.Random) -> tuple[messages.MemberRecord, ...]:
        """Return random members, for the reply to a host that is joining."""
        live = [
            entry.record
            for entry in self._entries.values()
            if entry.record.state is not State.DEAD
        ]
        return tuple(rng.sample(live, min(MAX_RECORDS_PER_JOIN_REPLY, len(live))))


def compute_suspicion_timeout_s(member_count: int) -> float:
    """Return how long a suspected member has to refute the suspicion.

    The timeout grows with the logarithm of the member count, as the time that gossip
    takes to reach all members does.
    """
    return max(MIN_SUSPICION_TIMEOUT_S, math.log2(member_count + 1))


def _get_precedence(record: messages.MemberRecord) -> tuple[int, int]:
    return (record.epoch, STATE_PRECEDENCE[record.state])


def _get_entry_member_id(entry: _MemberEntry) -> names.MemberId:
    return entry.record.member


def _get_record_member_id(record: messages.MemberRecord) -> names.MemberId:
    return record.member
