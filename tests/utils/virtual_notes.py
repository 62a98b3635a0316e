"""Hosts that share notes of crashes through a store, in virtual time."""

import dataclasses
import math
import random

from corianderrill import names
from corianderrill.gateway import crash_notes, quarantine
from corianderrill.platform import documents, store
from tests.utils import fake_stores
from tests.utils import gateway_builders as builders

STEP_S = 0.05
MAX_ATTEMPTS = 2


class VirtualStore:
    """Keys with revisions; hosts that reach it hear of changes after a random delay."""

    def __init__(self, rng, max_delay_s):
        self.now = 0.0
        self.items = {}
        self.hosts = []
        self.call_count = 0
        self._rng = rng
        self._max_delay_s = max_delay_s
        self._revision = 1
        self._deliveries = []

    def _change(self, key, value):
        self._revision += 1
        item = store.Item(key, self._revision, value)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        for host in self.hosts:
            at = self.now + self._rng.uniform(0.02, self._max_delay_s)
            self._deliveries.append((at, host, item))
        return self._revision

    def deliver(self):
        due = [d for d in self._deliveries if d[0] <= self.now and d[1].has_store()]
        self._deliveries = [d for d in self._deliveries if d not in due]
        for _, host, item in due:
            host.read(item)

    def replace_key(self, key, value, former):
        self.call_count += 1
        current = self.items.get(key)
        if (0 if current is None else current.revision) != former:
            return None
        return self._change(key, value)

    def read_key(self, key):
        self.call_count += 1
        return self.items.get(key)

    def remove_key(self, key, revision):
        self.call_count += 1
        current = self.items.get(key)
        if current is None or current.revision != revision:
            return False
        self._change(key, None)
        return True


@dataclasses.dataclass
class Client:
    """The calls of one host; they fail while it does not reach the store."""

    host: "Host"

    def __getattr__(self, name):
        if not self.host.has_store():
            raise store.StoreError(store.FailureKind.UNREACHABLE, "away")
        return getattr(self.host.store, name)


class Host:
    """A host; `away` holds the spans (from, until) in which it has no store."""

    def __init__(self, shared_store, rng, away=()):
        self.store = shared_store
        self.away = list(away)
        self._rng = rng
        self.restart()

    def restart(self):
        """Forget all, and read what the store holds."""
        self.quarantine = quarantine.Quarantine(self._rng)
        self.view = builders.build_view()
        self.view.max_unconfirmed_s = 3.0
        self.notes = crash_notes.CrashNotes(
            Client(self),
            self.view,
            self.quarantine,
            fake_stores.RecordingLog(),
            self._rng,
            lambda: self.store.now,
        )
        if self.has_store():
            for item in self.store.items.values():
                self.read(item)

    def has_store(self):
        return not any(start <= self.store.now < end for start, end in self.away)

    def read(self, item):
        notes = (
            None if item.value is None else documents.decode_notes(item.key, item.value)
        )
        fingerprint = documents.parse_crash_key(item.key)
        self.quarantine.apply_notes(fingerprint, notes, item.revision, self.store.now)

    def step(self):
        if self.has_store():
            self.view.confirmed_at = self.store.now
        self.notes.step()

    def count_attempts(self, fingerprint):
        """Return how many replicas an arrival of a request reaches now."""
        is_current = self.view.is_current(self.store.now)
        match self.quarantine.assess(fingerprint, is_current):
            case quarantine.Verdict.CLEAR:
                return MAX_ATTEMPTS
            case quarantine.Verdict.SUSPECTED:
                return 1
            case quarantine.Verdict.QUARANTINED:
                return int(self.notes.claim_trial(fingerprint))


class Fleet:
    """Hosts, and a request that crashes each replica; `runs` are (time, host)."""

    FINGERPRINT = quarantine.Fingerprint("f0")

    def __init__(self, host_count, seed, max_delay_s, away=()):
        self.rng = random.Random(seed)
        self.store = VirtualStore(self.rng, max_delay_s)
        for _ in range(host_count):
            self.store.hosts.append(Host(self.store, self.rng, away))
        self.runs = []
        self._arrivals = 0

    @property
    def hosts(self):
        return self.store.hosts

    def run(self, seconds, per_s=4.0, restart_every_s=math.inf):
        """Let the request arrive at random hosts; restart hosts in turn."""
        until = self.store.now + seconds
        next_restart_at = self.store.now + restart_every_s
        while self.store.now < until:
            self.store.now += STEP_S
            self.store.deliver()
            if self.store.now >= next_restart_at:
                self.rng.choice(self.hosts).restart()
                next_restart_at += restart_every_s
            for host in self.hosts:
                host.step()
            if self.rng.random() < per_s * STEP_S:
                self._arrive(self.rng.choice(self.hosts))

    def _arrive(self, host):
        self._arrivals += 1
        for _ in range(host.count_attempts(self.FINGERPRINT)):
            self.runs.append((self.store.now, host))
            crash = quarantine.Crash(
                f"i-{len(self.runs)}", names.RequestId(f"q-{self._arrivals}")
            )
            host.quarantine.record_crash(self.FINGERPRINT, crash, self.store.now)

    def count_late_runs(self, contact_s):
        """Return how many replicas it reached later than so long after the third."""
        since = self.runs[2][0] + contact_s
        return sum(at > since for at, _ in self.runs)
