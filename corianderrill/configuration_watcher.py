"""The tasks that keep a host's configuration current.

One task watches the platform while this host is a watcher of its zone; the other
compares with a peer at fixed intervals. Both hand each event to the decisions in
`spread` and send what follows.
"""

import itertools
import random
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import eventlet
import eventlet.greenthread
import logbook

from corianderrill import (
    configuration,
    keyvalue,
    logs,
    messages,
    metrics,
    names,
    propagation,
)

ANTI_ENTROPY_INTERVAL_S = 1.0
WATCH_TIMEOUT_S = 2.0
RELIST_INTERVAL_S = 30.0
STALE_PLATFORM_RELIST_INTERVAL_S = 5.0
INITIAL_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 8.0
IN_FORCE_POLL_INTERVAL_S = 0.25
MESSAGE_TYPES = (
    messages.ConfigurationDigest,
    messages.ConfigurationState,
    messages.ConfigurationPull,
    messages.ConfigurationItems,
    messages.ConfigurationQuestion,
    messages.ConfigurationAnswer,
)


class Delivery(Protocol):
    """A message of a peer with its envelope."""

    envelope: messages.Envelope


class Link(Protocol):
    """The messages between hosts."""

    def register(self, message_type: type, handler: Callable) -> None:
        """Have a handler called with each delivery of this type of message."""

    def send(self, member: names.MemberId, message: messages.Message) -> bool:
        """Queue a message for a peer without waiting."""


class ConfigurationWatcher:
    """Owns the tasks that spread the configuration on one host.

    `list_peers` returns the live hosts; this one among them does no harm.
    """

    def __init__(
        self,
        peer: propagation.Peer,
        spreader: propagation.Propagator,
        client: keyvalue.Client,
        link: Link,
        list_peers: Callable[[], Iterable[propagation.Peer]],
        recorder: metrics.Recorder,
        journal: logs.Journal,
        clock: Callable[[], float] = time.monotonic,
        choices: random.Random | None = None,
    ) -> None:
        self._choices = choices or random.Random()
        self._failures = 0
        self._peer = peer
        self._spreader = spreader
        self._client = client
        self._link = link
        self._list_peers = list_peers
        self.recorder = recorder
        self._journal = journal
        self._clock = clock
        self._numbers = itertools.count(1)
        self._counts: dict[int, propagation.InForcePoll] = {}
        self._tasks: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Register for the messages of peers and start the tasks."""
        self._spreader.update_peers(self._list_peers())
        for message_type in MESSAGE_TYPES:
            self._link.register(message_type, self.handle_message)
        self._tasks.append(eventlet.spawn(self._follow_platform))
        self._tasks.append(eventlet.spawn(self._compare_with_peers))

    def stop(self) -> None:
        """End the tasks."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    def handle_message(self, delivery: Delivery) -> None:
        """Handle a message of a peer."""
        sender, message = delivery.envelope.sender, delivery.envelope.message
        if isinstance(message, messages.ConfigurationAnswer):
            count = self._counts.get(message.number)
            if count is not None:
                count.record_answer(sender, message)
            return
        step = self._spreader.handle_message(sender, message, self._clock())
        self._carry_out(step)

    def count_in_force(
        self, key: str, revision: names.Revision, timeout_s: float
    ) -> propagation.InForceReport:
        """Ask all live hosts until all have a revision in force or time is up."""
        own = self._peer.member.host
        others = (peer for peer in self._list_peers() if peer.member.host != own)
        peers = (self._peer, *others)
        count = propagation.InForcePoll(next(self._numbers), key, revision, peers)
        self._counts[count.number] = count
        ends_at = self._clock() + timeout_s
        try:
            while True:
                self._ask(count)
                eventlet.sleep(IN_FORCE_POLL_INTERVAL_S)
                if not count.list_pending() or self._clock() >= ends_at:
                    return count.report()
        finally:
            del self._counts[count.number]

    def _ask(self, count: propagation.InForcePoll) -> None:
        for send in count.build_questions():
            if send.member == self._peer.member:
                revision = self._spreader.get_revision(send.message.key)
                answer = messages.ConfigurationAnswer(count.number, revision)
                count.record_answer(send.member, answer)
            else:
                self._link.send(send.member, send.message)

    def _follow_platform(self) -> None:
        """Watch while it is this host's part; a host without state lists once."""
        while True:
            if (
                self._spreader.should_watch
                or not self._spreader.local_configuration.ready
            ):
                self._list_and_watch()
            eventlet.sleep(choose_retry_delay_s(self._failures, self._choices))

    def _list_and_watch(self) -> None:
        floor = self._spreader.local_configuration.list_revisions()
        asked_at = self._clock()
        match self._client.list(configuration.PREFIX):
            case keyvalue.Listed(entries, revision):
                values = ((entry.key, entry.value) for entry in entries)
                step = self._spreader.apply_listing(values, floor, asked_at)
                self._carry_out(step)
                self._failures = 0
                self._note_platform("reached")
                self._watch(revision, asked_at)
            case failure:
                self._failures += 1
                self._note_platform(f"away: {failure.detail}")

    def _watch(self, revision: names.Revision, listed_at: float) -> None:
        """Watch until the watch fails, another host watches or a listing is due."""
        while self._spreader.should_watch and not self._is_listing_due(listed_at):
            floor = self._spreader.local_configuration.list_revisions()
            asked_at = self._clock()
            match self._client.watch(configuration.PREFIX, revision, WATCH_TIMEOUT_S):
                case keyvalue.Changed(_, told) if told < revision:
                    self._carry_out(
                        self._spreader.handle_platform_rollback(revision, told)
                    )
                    return
                case keyvalue.Changed(changes, told):
                    values = ((change.key, change.value) for change in changes)
                    step = self._spreader.apply_watch_changes(values, floor, asked_at)
                    self._carry_out(step)
                    revision = told
                case keyvalue.Compacted():
                    return
                case failure:
                    self._note_platform(f"away: {failure.detail}")
                    return

    def _is_listing_due(self, listed_at: float) -> bool:
        agrees = self._spreader.is_platform_current
        interval_s = RELIST_INTERVAL_S if agrees else STALE_PLATFORM_RELIST_INTERVAL_S
        return self._clock() - listed_at >= interval_s

    def _compare_with_peers(self) -> None:
        while True:
            self._spreader.update_peers(self._list_peers())
            self._carry_out(self._spreader.start_anti_entropy(self._clock()))
            self._report_state()
            eventlet.sleep(ANTI_ENTROPY_INTERVAL_S)

    def _carry_out(self, step: propagation.Effects) -> None:
        for send in step.outgoing:
            self._link.send(send.member, send.message)
        if step.applied:
            self.recorder.count(metrics.CHANGES_APPLIED, by=len(step.applied))
            self._report_state()
        for alarm in step.alarms:
            reason = alarm.reason.value
            self.recorder.count(metrics.CONFIGURATION_ALARMS, reason)
            self._journal.change(alarm.key, alarm.detail, logbook.ERROR)

    def _report_state(self) -> None:
        pinned = self._spreader.local_configuration.pin()
        self.recorder.set(metrics.REVISION, pinned.revision)
        if pinned.confirmed_at is not None:
            age_s = pinned.measure_age(self._clock())
            self.recorder.set(metrics.REVISION_AGE, age_s)

    def _note_platform(self, state: str) -> None:
        self._journal.change("key-value service", state)


def choose_retry_delay_s(failures: int, choices: random.Random) -> float:
    """Return the pause before the platform is asked again, in seconds.

    It doubles with each failure in a row; chance spreads hosts that failed at once.
    """
    longest_s = min(MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2.0 ** min(failures, 10))
    return longest_s * choices.uniform(0.5, 1.0)


def select_live_peers(
    records: Iterable[messages.MemberRecord],
) -> Iterator[propagation.Peer]:
    """Yield the members that take part: all but the dead."""
    return (
        propagation.Peer(record.member, record.zone)
        for record in records
        if record.state is not messages.MemberState.DEAD
    )
