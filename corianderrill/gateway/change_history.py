"""The latest changes of the platform's store that a host has applied, for other hosts.

The other hosts of a zone watch an aggregator in place of the store, so that the calls
to the store grow with the number of aggregators and not with the number of hosts.
"""

import collections
import dataclasses

from eventlet import event

from corianderrill.gateway import view
from corianderrill.platform import store

MAX_CHANGES = 2_000


@dataclasses.dataclass(slots=True)
class ChangeHistory:
    """Changes after `complete_since`, up to `revision`; older ones are forgotten.

    All revisions are of one `era` of the store.
    """

    complete_since: view.StoreRevision = view.StoreRevision(0)
    revision: view.StoreRevision = view.StoreRevision(0)
    era: view.StoreEra = view.StoreEra(0)
    _changes: collections.deque[store.Item] = dataclasses.field(
        default_factory=collections.deque
    )
    _changed: event.Event = dataclasses.field(default_factory=event.Event)

    def restart(self, revision: view.StoreRevision, era: view.StoreEra) -> None:
        """Begin again at a revision, because the changes before it are not known."""
        self._changes.clear()
        self.era = era
        self.complete_since = self.revision = revision
        self.wake()

    def append(
        self, items: tuple[store.Item, ...], revision: view.StoreRevision
    ) -> None:
        """Add the changes since the last revision, up to `revision`."""
        self._changes.extend(items)
        self.revision = max(self.revision, revision)
        while len(self._changes) > MAX_CHANGES:
            self.complete_since = self._changes.popleft().revision
        if items:
            self.wake()

    def drop_superseded(self, key: store.Key, revision: view.StoreRevision) -> None:
        """Forget the changes of a key before a revision, which later ones replace."""
        self._changes = collections.deque(
            change
            for change in self._changes
            if change.key != key or change.revision >= revision
        )

    def wake(self) -> None:
        """Wake all that wait for a change."""
        changed, self._changed = self._changed, event.Event()
        changed.send()

    def wait(self) -> None:
        """Wait until there is a change, or `wake` is called."""
        self._changed.wait()

    def has_all_since(self, revision: view.StoreRevision) -> bool:
        """Return whether no change after a revision was forgotten."""
        return self.complete_since <= revision

    def list_after(self, revision: view.StoreRevision) -> list[store.Item]:
        """Return the changes after a revision, in order."""
        return [item for item in self._changes if item.revision > revision]
