"""The task that keeps a host's membership view current, over the peer link."""

import random
import time
from collections.abc import Callable, Iterable

import eventlet

from corianderrill import hostlist, membership, messages, names, peers

SEED_PROBE_INTERVAL_S = 1.0
PLACEHOLDER_INCARNATION = names.Incarnation("")

ChangeHandler = Callable[[membership.Change], None]


class HeartbeatTask:
    """Drives the membership rules of a host: sends probes and connects to members.

    `on_change` is called with each change of a member's state. `seeds` are addresses
    of hosts through which this host joins without a host list.
    """

    def __init__(
        self,
        own_record: messages.MemberRecord,
        link: peers.PeerLink,
        seeds: Iterable[names.Address] = (),
        on_change: ChangeHandler = lambda change: None,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.membership = membership.Membership(own_record, clock())
        self._link = link
        self._seeds = tuple(seed for seed in seeds if seed != own_record.peer_address)
        self._next_seed_probe_s = clock()
        self._on_change = on_change
        self._clock = clock
        self._rng = rng or random.Random()
        self._task = None

    def start(self) -> None:
        """Start to answer and to send probes."""
        self._link.register(messages.Probe, self._handle_probe)
        self._link.register(messages.ProbeReply, self._handle_reply)
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop sending probes."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def apply_host_list(self, entry_hosts: Iterable[hostlist.EntryHost]) -> None:
        """Add the members that the platform's host list holds."""
        self.membership.apply_host_list(entry_hosts, self._clock())
        self._apply_changes_to_link()

    def leave(self) -> None:
        """Tell all members that this host is leaving."""
        self._send(self.membership.leave())

    def is_view_fresh(self) -> bool:
        """Return whether this host may act on its view of the members."""
        freshness = self.membership.assess_freshness(self._clock())
        return freshness is membership.ViewFreshness.FRESH

    def _run(self) -> None:
        while True:
            self._send(self.membership.tick(self._clock(), self._rng))
            self._probe_seeds()
            self._apply_changes_to_link()
            eventlet.sleep(membership.TICK_S)

    def _handle_probe(self, delivery: peers.Delivery) -> None:
        probe = delivery.envelope.message
        if probe.sequence == membership.NO_REPLY_SEQUENCE:
            self.membership.handle_one_way_probe(probe, self._clock())
            self._apply_changes_to_link()
            return
        reply = self.membership.handle_probe(probe, self._clock(), self._rng)
        self._apply_changes_to_link()
        self._send((reply,))

    def _handle_reply(self, delivery: peers.Delivery) -> None:
        self.membership.handle_reply(delivery.envelope.message, self._clock())
        self._apply_changes_to_link()

    def _send(self, outgoing: Iterable[membership.Outgoing]) -> None:
        for each in outgoing:
            self._link.send(each.to, each.message, any_incarnation=True)

    def _apply_changes_to_link(self) -> None:
        """Connect to known members, disconnect from removed ones, call `on_change`."""
        for change in self.membership.pop_changes():
            record = self.membership.get_record(change.member)
            if record is None:
                self._link.disconnect(change.member)
            else:
                self._link.connect(change.member, record.peer_address)
            self._on_change(change)

    def _probe_seeds(self) -> None:
        """Probe the seed addresses at an interval until this host has joined.

        The member ids of the seeds are not known yet, so the link uses placeholder ids.
        """
        if not self._seeds or self._clock() < self._next_seed_probe_s:
            return
        self._next_seed_probe_s = self._clock() + SEED_PROBE_INTERVAL_S
        probe = self.membership.build_join_probe()
        for seed in self._seeds:
            placeholder = _build_placeholder_id(seed)
            if probe is None:
                self._link.disconnect(placeholder)
                continue
            self._link.connect(placeholder, seed)
            self._link.send(placeholder, probe, any_incarnation=True)
        if probe is None:
            self._seeds = ()


def _build_placeholder_id(address: names.Address) -> names.MemberId:
    """Return the placeholder id for the link's connection to a seed."""
    return names.MemberId(names.HostName(f"seed {address}"), PLACEHOLDER_INCARNATION)
