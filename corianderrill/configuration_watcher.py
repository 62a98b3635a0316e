"""Tasks that keep the configuration of an entry host up to date.

One task watches the platform while this host is a watcher of its zone. The other runs
anti-entropy with a peer at fixed intervals. Both pass each event to `propagation`,
which makes the decisions, and send the resulting messages.
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
    """A received message in its envelope."""

    envelope: messages.Envelope


class Link(Protocol):
    """Sends and receives messages between hosts."""

    def register(self, message_type: type, handler: Callable) -> None:
        """Call a handler with each delivery of this type of message."""

    def send(self, member: names.MemberId, message: messages.Message) -> bool:
        """Queue a message for a peer without waiting."""


class ConfigurationWatcher:
    """Runs the tasks that propagate the configuration on one host.

    `list_peers` returns the live hosts. It may include this one, which is ignored.
    """

    def __init__(
        self,
        peer: propagation.Peer,
        propagator: propagation.Propagator,
        client: keyvalue.Client,
        link: Link,
        list_peers: Callable[[], Iterable[propagation.Peer]],
        recorder: metrics.Recorder,
        journal: logs.Journal,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng or random.Random()
        self._consecutive_failures = 0
        self._peer = peer
        self._propagator = propagator
        self._client = client
        self._link = link
        self._list_peers = list_peers
        self.recorder = recorder
        self._journal = journal
        self._clock = clock
        self._poll_numbers = itertools.count(1)
        self._polls: dict[int, propagation.InForcePoll] = {}
        self._tasks: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Register the message handlers and start the tasks."""
        self._propagator.update_peers(self._list_peers())
        for message_type in MESSAGE_TYPES:
            self._link.register(message_type, self.handle_message)
        self._tasks.append(eventlet.spawn(self._watch_platform))
        self._tasks.append(eventlet.spawn(self._run_anti_entropy))

    def stop(self) -> None:
        """Stop the tasks."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    def handle_message(self, delivery: Delivery) -> None:
        """Handle a message of a peer."""
        sender, message = delivery.envelope.sender, delivery.envelope.message
        if isinstance(message, messages.ConfigurationAnswer):
            poll = self._polls.get(message.number)
            if poll is not None:
                poll.record_answer(sender, message)
            return
        effects = self._propagator.handle_message(sender, message, self._clock())
        self._apply_effects(effects)

    def count_in_force(
        self, key: str, revision: names.Revision, timeout_s: float
    ) -> propagation.InForceReport:
        """Poll the live hosts until a revision is in force on all or time is up."""
        own_host = self._peer.member.host
        others = (peer for peer in self._list_peers() if peer.member.host != own_host)
        peers = (self._peer, *others)
        poll = propagation.InForcePoll(next(self._poll_numbers), key, revision, peers)
        self._polls[poll.number] = poll
        deadline = self._clock() + timeout_s
        try:
            while True:
                self._send_poll(poll)
                eventlet.sleep(IN_FORCE_POLL_INTERVAL_S)
                if not poll.list_pending() or self._clock() >= deadline:
                    return poll.report()
        finally:
            del self._polls[poll.number]

    def _send_poll(self, poll: propagation.InForcePoll) -> None:
        for outgoing in poll.build_questions():
            if outgoing.member == self._peer.member:
                revision = self._propagator.get_revision(outgoing.message.key)
                answer = messages.ConfigurationAnswer(poll.number, revision)
                poll.record_answer(outgoing.member, answer)
            else:
                self._link.send(outgoing.member, outgoing.message)

    def _watch_platform(self) -> None:
        """Watch the platform while this host is a watcher of its zone.

        Other hosts list the platform until their configuration is ready.
        """
        while True:
            if (
                self._propagator.should_watch
                or not self._propagator.local_configuration.ready
            ):
                self._list_and_watch()
            eventlet.sleep(choose_retry_delay_s(self._consecutive_failures, self._rng))

    def _list_and_watch(self) -> None:
        min_revisions = self._propagator.local_configuration.list_revisions()
        asked_at = self._clock()
        match self._client.list(configuration.PREFIX):
            case keyvalue.Listed(entries, revision):
                values = ((entry.key, entry.value) for entry in entries)
                effects = self._propagator.apply_listing(
                    values, min_revisions, asked_at
                )
                self._apply_effects(effects)
                self._consecutive_failures = 0
                self._log_platform_state("reached")
                self._watch(revision, asked_at)
            case failure:
                self._consecutive_failures += 1
                self._log_platform_state(f"away: {failure.detail}")

    def _watch(self, revision: names.Revision, listed_at: float) -> None:
        """Watch until the watch fails, this host is no watcher or a listing is due."""
        while self._propagator.should_watch and not self._is_listing_due(listed_at):
            min_revisions = self._propagator.local_configuration.list_revisions()
            asked_at = self._clock()
            match self._client.watch(configuration.PREFIX, revision, WATCH_TIMEOUT_S):
                case keyvalue.Changed(_, reported_revision) if (
                    reported_revision < revision
                ):
                    self._apply_effects(
                        self._propagator.handle_platform_rollback(
                            revision, reported_revision
                        )
                    )
                    return
                case keyvalue.Changed(changes, reported_revision):
                    values = ((change.key, change.value) for change in changes)
                    effects = self._propagator.apply_watch_changes(
                        values, min_revisions, asked_at
                    )
                    self._apply_effects(effects)
                    revision = reported_revision
                case keyvalue.Compacted():
                    return
                case failure:
                    self._log_platform_state(f"away: {failure.detail}")
                    return

    def _is_listing_due(self, listed_at: float) -> bool:
        is_current = self._propagator.is_platform_current
        interval_s = (
            RELIST_INTERVAL_S if is_current else STALE_PLATFORM_RELIST_INTERVAL_S
        )
        return self._clock() - listed_at >= interval_s

    def _run_anti_entropy(self) -> None:
        while True:
            self._propagator.update_peers(self._list_peers())
            self._apply_effects(self._propagator.start_anti_entropy(self._clock()))
            self._update_metrics()
            eventlet.sleep(ANTI_ENTROPY_INTERVAL_S)

    def _apply_effects(self, effects: propagation.Effects) -> None:
        for outgoing in effects.outgoing:
            self._link.send(outgoing.member, outgoing.message)
        if effects.applied:
            self.recorder.count(metrics.CHANGES_APPLIED, by=len(effects.applied))
            self._update_metrics()
        for alarm in effects.alarms:
            reason = alarm.reason.value
            self.recorder.count(metrics.CONFIGURATION_ALARMS, reason)
            self._journal.change(alarm.key, alarm.detail, logbook.ERROR)

    def _update_metrics(self) -> None:
        pinned = self._propagator.local_configuration.pin()
        self.recorder.set(metrics.REVISION, pinned.revision)
        if pinned.confirmed_at is not None:
            age_s = pinned.measure_age(self._clock())
            self.recorder.set(metrics.REVISION_AGE, age_s)

    def _log_platform_state(self, state: str) -> None:
        self._journal.change("key-value service", state)


def choose_retry_delay_s(failures: int, rng: random.Random) -> float:
    """Return the delay before the next call to the platform, in seconds.

    It doubles with each consecutive failure. Jitter keeps hosts that failed at the
    same time from retrying at the same time.
    """
    max_delay_s = min(
        MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2.0 ** min(failures, 10)
    )
    return max_delay_s * rng.uniform(0.5, 1.0)


def select_live_peers(
    records: Iterable[messages.MemberRecord],
) -> Iterator[propagation.Peer]:
    """Yield the members that are not dead."""
    return (
        propagation.Peer(record.member, record.zone)
        for record in records
        if record.state is not messages.MemberState.DEAD
    )
