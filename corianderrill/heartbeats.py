"""The task that keeps a host's membership over the link between hosts."""

import random
import time
from collections.abc import Callable, Iterable

import eventlet

from corianderrill import hostlist, membership, messages, names, peers

SEED_INTERVAL_S = 1.0
SEED_INCARNATION = names.Incarnation("")

Changed = Callable[[membership.Change], None]


class HeartbeatTask:
    """Owns the membership rules; sends their probes and connects the members.

    `changed` is called with each change of a member's state.
    """

    def __init__(
        self,
        own: messages.MemberRecord,
        link: peers.PeerLink,
        seeds: Iterable[names.Address] = (),
        changed: Changed = lambda change: None,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.membership = membership.Membership(own, clock())
        self._link = link
        self._seeds = tuple(seed for seed in seeds if seed != own.peer_address)
        self._seeds_due_s = clock()
        self._changed = changed
        self._clock = clock
        self._rng = rng or random.Random()
        self._task = None

    def start(self) -> None:
        """Answer probes and send the own ones."""
        self._link.register(messages.Probe, self._take_probe)
        self._link.register(messages.ProbeReply, self._take_reply)
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Send no more probes."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def apply_host_list(self, entry_hosts: Iterable[hostlist.EntryHost]) -> None:
        """Add the members that the platform lists."""
        self.membership.apply_host_list(entry_hosts, self._clock())
        self._follow_changes()

    def leave(self) -> None:
        """Tell every member that this host leaves."""
        self._send(self.membership.leave())

    def is_view_fresh(self) -> bool:
        """Whether this host may act on what it believes of the others."""
        trust = self.membership.assess_freshness(self._clock())
        return trust is membership.ViewFreshness.FRESH

    def _run(self) -> None:
        while True:
            self._send(self.membership.tick(self._clock(), self._rng))
            self._ask_seeds()
            self._follow_changes()
            eventlet.sleep(membership.TICK_S)

    def _take_probe(self, delivery: peers.Delivery) -> None:
        probe = delivery.envelope.message
        if probe.sequence == membership.NO_REPLY_SEQUENCE:
            self.membership.handle_one_way_probe(probe, self._clock())
            self._follow_changes()
            return
        reply = self.membership.handle_probe(probe, self._clock(), self._rng)
        self._follow_changes()
        self._send((reply,))

    def _take_reply(self, delivery: peers.Delivery) -> None:
        self.membership.handle_reply(delivery.envelope.message, self._clock())
        self._follow_changes()

    def _send(self, outgoing: Iterable[membership.Outgoing]) -> None:
        for each in outgoing:
            self._link.send(each.to, each.message, any_incarnation=True)

    def _follow_changes(self) -> None:
        for change in self.membership.pop_changes():
            record = self.membership.get_record(change.member)
            if record is None:
                self._link.disconnect(change.member)
            else:
                self._link.connect(change.member, record.peer_address)
            self._changed(change)

    def _ask_seeds(self) -> None:
        """Introduce the host to the seeds' addresses until somebody answered."""
        if not self._seeds or self._clock() < self._seeds_due_s:
            return
        self._seeds_due_s = self._clock() + SEED_INTERVAL_S
        probe = self.membership.build_join_probe()
        for seed in self._seeds:
            stand_in = _name_seed(seed)
            if probe is None:
                self._link.disconnect(stand_in)
                continue
            self._link.connect(stand_in, seed)
            self._link.send(stand_in, probe, any_incarnation=True)
        if probe is None:
            self._seeds = ()


def _name_seed(address: names.Address) -> names.MemberId:
    """Return the id under which a seed is connected while its host is unknown."""
    return names.MemberId(names.HostName(f"seed {address}"), SEED_INCARNATION)
