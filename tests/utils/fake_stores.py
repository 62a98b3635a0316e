"""Fakes of the platform's store and of the log, for tests without processes."""

from corianderrill.platform import store


class LeaseClient:
    """A store client with keys under leases; its calls fail while `is_down`."""

    def __init__(self):
        self.keys = {}
        self.leases = set()
        self.is_down = False
        self.era = 0
        self.revision = 10
        self.write_count = 0
        self._granted = 0

    def _check(self):
        if self.is_down:
            raise store.StoreError(store.FailureKind.UNREACHABLE, "down")

    def list_keys(self, prefix):
        self._check()
        keys = frozenset(key for key in self.keys if key.startswith(prefix))
        return store.KeyList(keys, self.revision, self.era)

    def grant_lease(self, ttl_s):
        self._check()
        self._granted += 1
        lease = store.Lease(store.LeaseId(self._granted), self.era)
        self.leases.add(lease)
        return lease

    def keep_lease(self, lease):
        self._check()
        return lease in self.leases

    def remove_key(self, key, revision):
        """Remove a key; its lease, which nobody renews, ends at once."""
        self._check()
        _, lease = self.keys.pop(key)
        self.leases.discard(lease)

    def create_key(self, key, value, lease):
        self._check()
        if key in self.keys:
            return None
        self.keys[key] = (value, lease)
        return 10

    def create_key_and_mark(self, key, value, lease, mark):
        self._check()
        if key in self.keys or mark in self.keys:
            return None
        self.keys[mark] = (b"", None)
        return self.create_key(key, value, lease)

    def replace_key(self, key, value, former):
        self._check()
        if key in self.keys:
            return None
        self.keys[key] = (value, None)
        return 10

    def take_over_key(self, key, value, former, lease):
        self._check()
        if key not in self.keys or former != 10:
            return None
        self.keys[key] = (value, lease)
        return 11

    def write_key(self, key, value, lease):
        self._check()
        if lease not in self.leases:
            return None
        self.write_count += 1
        self.keys[key] = (value, lease)
        return 10 + self.write_count


class RecordingLog:
    """An event log that keeps the records."""

    def __init__(self):
        self.records = []

    def record(self, record):
        self.records.append(record)

    def list_of(self, kind):
        return [record for record in self.records if isinstance(record, kind)]
