"""Probes the platform's store while a watch of it is open.

A watch that is open looks the same whether nothing changes or the store has fallen
silent. Cheap reads of the store's revision on another connection tell these apart
before the reply to the watch is due. Such a read may be stale: it shows that the store
answers, and at most that a revision exists which the watch should have returned. A
watch that will not be answered is interrupted, and the watcher opens the next one on a
new connection.

Watches that an aggregator answers are not probed: their replies are due as soon.
"""

import dataclasses
import random

import eventlet

from corianderrill.gateway import store_watcher
from corianderrill.platform import store

# A probe is due when nothing was heard from the store for this share of the time
# between replies to watches. Unanswered, it fails before the next reply is missing.
PROBE_INTERVAL_RATIO = 0.6
# Largest random reduction of an interval, as a share of it, so that the probes of many
# hosts spread out.
PROBE_INTERVAL_JITTER = 0.2
# The reply to a watch may arrive this much later than the reply to a probe that shows a
# newer revision.
WATCH_REPLY_GRACE_S = 0.5


@dataclasses.dataclass(slots=True)
class StoreProbe:
    """Interrupts the watch of a store watcher that will not be answered."""

    watcher: store_watcher.StoreWatcher
    rng: random.Random
    interval_ratio: float = PROBE_INTERVAL_RATIO

    def get_interval_s(self) -> float:
        """Return the largest time without a probe or a reply, in seconds."""
        return self.interval_ratio * self.watcher.get_store_interval_s()

    def run(self) -> None:
        """Probe whenever nothing was heard for the interval; never returns."""
        while True:
            eventlet.sleep(self.compute_delay(self.watcher.clock()))
            if self._is_due(self.watcher.clock()):
                self.check()

    def compute_delay(self, now: float) -> float:
        """Return the time until the next probe may be due, in seconds."""
        jitter = PROBE_INTERVAL_JITTER * self.rng.random()
        interval_s = (1.0 - jitter) * self.get_interval_s()
        if not self._is_watching():
            return interval_s
        return max(self.watcher.last_reply_at + interval_s - now, 0.0)

    def _is_watching(self) -> bool:
        watcher = self.watcher
        is_relayed = watcher.watched_client is not watcher.client
        is_open = watcher.watching_since is not None and not is_relayed
        return is_open and watcher.outage_started_at is None

    def _is_due(self, now: float) -> bool:
        if not self._is_watching():
            return False
        min_silent_s = (1.0 - PROBE_INTERVAL_JITTER) * self.get_interval_s()
        return now - self.watcher.last_reply_at >= min_silent_s

    def check(self) -> None:
        """Probe the store now and interrupt the watch if it will not be answered."""
        watcher = self.watcher
        watching_since = watcher.watching_since
        if not self._is_watching():
            return
        try:
            reply = watcher.client.probe_revision()
        except store.StoreError as error:
            if self._is_unanswered(watching_since):
                watcher.interrupt(error)
            return
        watcher.record_probe(reply)
        if reply.era > watcher.era:
            if watcher.watching_since == watching_since:
                watcher.interrupt(
                    store.StoreError(
                        store.FailureKind.RESTORED, f"era {reply.era} has begun"
                    )
                )
            return
        revision = reply.revision
        if reply.era < watcher.era or revision <= watcher.revision:
            return
        eventlet.sleep(WATCH_REPLY_GRACE_S)
        if self._is_unanswered(watching_since) and watcher.revision < revision:
            watcher.interrupt(
                store.StoreError(
                    store.FailureKind.SILENT,
                    f"no reply to a watch, though revision {revision} exists",
                )
            )

    def _is_unanswered(self, watching_since: float | None) -> bool:
        """Return whether that watch is open and its reply has not begun.

        A reply under way may be long; its client gives it up if it stops.
        """
        watcher = self.watcher
        is_open = watcher.watching_since == watching_since
        return is_open and not watcher.client.is_watch_answered
