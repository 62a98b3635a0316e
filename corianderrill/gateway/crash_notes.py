"""Shares in the platform's store which replicas ended under which requests.

All hosts read the notes with the watch that they have open anyway. They are written on
condition of their revision and only grow, so that hosts may note crashes of one request
at the same time. They have no lease, since they have to outlast the host that wrote
them; hosts remove them when they have had no news for long.
"""

import dataclasses
import enum
import random
from collections.abc import Callable

import eventlet
from eventlet import event

from corianderrill.gateway import event_log, loop, quarantine, view
from corianderrill.platform import documents, store

RETRY_DELAY_S = 0.5
EXPIRY_CHECK_INTERVAL_S = 1.0
PUBLISH_CHECK_INTERVAL_S = 0.1
MAX_WRITE_TRIES = 8
CLAIM_TIMEOUT_S = 0.2


class NotesOutcome(enum.Enum):
    """What became of notes; the values are logged."""

    PUBLISHED = "published"
    WITHDRAWN = "withdrawn"
    TRIAL = "trial"
    FAILED = "failed"


@dataclasses.dataclass(slots=True)
class CrashNotes:
    """Writes the notes of one host, and claims trials of quarantined requests."""

    client: store.StoreClient
    view: view.View
    quarantine: quarantine.Quarantine
    log: event_log.EventLog
    rng: random.Random
    clock: Callable[[], float] = loop.read_clock
    _news: event.Event = dataclasses.field(default_factory=event.Event)

    def wake(self) -> None:
        """Write what is new now."""
        news, self._news = self._news, event.Event()
        news.send()

    def run(self) -> None:
        """Write and remove notes whenever there is a reason; never returns."""
        while True:
            interval_s = (
                PUBLISH_CHECK_INTERVAL_S
                if self.quarantine.has_unpublished()
                else EXPIRY_CHECK_INTERVAL_S
            )
            with eventlet.Timeout(interval_s, False):
                self._news.wait()
            self.step()

    def step(self) -> None:
        """Write and remove what is due now; wait for a while after a failure."""
        now = self.clock()
        self.quarantine.expire(now)
        try:
            for fingerprint in self.quarantine.list_unpublished(now):
                self._publish(fingerprint)
            for fingerprint, revision in self.quarantine.list_withdrawn():
                self._withdraw(fingerprint, revision)
        except store.StoreError as error:
            self._record("", NotesOutcome.FAILED, str(error))
            eventlet.sleep(RETRY_DELAY_S * (0.5 + self.rng.random()))

    def _publish(self, fingerprint: quarantine.Fingerprint) -> None:
        if self._write(fingerprint, 0):
            self._record(fingerprint, NotesOutcome.PUBLISHED)

    def _withdraw(
        self, fingerprint: quarantine.Fingerprint, revision: view.StoreRevision
    ) -> None:
        key = documents.format_crash_key(fingerprint)
        for _ in range(MAX_WRITE_TRIES):
            if self.client.remove_key(key, revision):
                break
            # Another host has noted a crash that came before the reply.
            item = self.client.read_key(key)
            if item is None:
                break
            revision = item.revision
        self.quarantine.forget_withdrawn(fingerprint)
        self._record(fingerprint, NotesOutcome.WITHDRAWN)

    def claim_trial(self, fingerprint: quarantine.Fingerprint) -> bool:
        """Return whether this host may send one attempt of a quarantined request.

        The store lets one host have each of the few trials.
        """
        now = self.clock()
        if self.quarantine.take_unused_trial(fingerprint):
            return True
        if not self.view.is_current(now) or not self.quarantine.is_trial_due(
            fingerprint, now
        ):
            return False
        no_reply = store.StoreError(store.FailureKind.UNREACHABLE, "no reply in time")
        try:
            # The caller waits, and a request without a trial is to be refused at once.
            with eventlet.Timeout(CLAIM_TIMEOUT_S, no_reply):
                is_claimed = self._write(fingerprint, 1)
        except store.StoreError as error:
            self._record(fingerprint, NotesOutcome.FAILED, str(error))
            return False
        if is_claimed:
            self._record(fingerprint, NotesOutcome.TRIAL)
        return is_claimed

    def _write(self, fingerprint: quarantine.Fingerprint, more_trials: int) -> bool:
        """Write all that is known of a request; return False if there is no need."""
        key = documents.format_crash_key(fingerprint)
        for _ in range(MAX_WRITE_TRIES):
            known = self.quarantine.build_notes(fingerprint, more_trials)
            if known is None:
                return False
            notes, former = known
            value = documents.encode_notes(notes)
            revision = self.client.replace_key(key, value, former)
            if revision is not None:
                now = self.clock()
                self.quarantine.record_written(fingerprint, notes, revision, now)
                return True
            if more_trials:
                # Another host has claimed it, or noted a crash.
                return False
            if not self._read(fingerprint, key):
                return False
        return False

    def _read(self, fingerprint: quarantine.Fingerprint, key: store.Key) -> bool:
        """Read the notes that another host wrote; return whether any are missing."""
        item = self.client.read_key(key)
        if item is None:
            self.quarantine.forget_stored(fingerprint)
            return True
        try:
            notes = documents.decode_notes(item.key, item.value)
        except documents.DocumentError as error:
            # It is overwritten, since it is of use to nobody.
            self._record(fingerprint, NotesOutcome.FAILED, str(error))
            notes = quarantine.Notes()
        self.quarantine.apply_notes(fingerprint, notes, item.revision, self.clock())
        return fingerprint in self.quarantine.list_unpublished(self.clock())

    def _record(
        self, fingerprint: str, outcome: NotesOutcome, detail: str = ""
    ) -> None:
        self.log.record(event_log.CrashNotesWritten(fingerprint, outcome.value, detail))
