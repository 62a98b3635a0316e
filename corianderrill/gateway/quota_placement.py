"""Which slot's holder is the quota lessor of a workspace.

The choice depends on the names of the slots, not on their holders, so all hosts agree
on it without messages.
"""

import hashlib
from collections.abc import Iterable

from corianderrill import names
from corianderrill.gateway import aggregators

MAX_CACHED = 10_000


class QuotaPlacement:
    """Rendezvous hashing of workspaces over the slots of all zones."""

    def __init__(self, zones: Iterable[names.ZoneName]) -> None:
        self._keys = [
            aggregators.SlotKey(zone, aggregators.Slot(slot))
            for zone in sorted(zones)
            for slot in range(aggregators.SLOTS_PER_ZONE)
        ]
        self._key_by_workspace: dict[names.WorkspaceName, aggregators.SlotKey] = {}

    def find_slot(self, workspace: names.WorkspaceName) -> aggregators.SlotKey:
        """Return the slot of a workspace. Raise ValueError if there are no zones."""
        key = self._key_by_workspace.get(workspace)
        if key is None:
            if len(self._key_by_workspace) >= MAX_CACHED:
                self._key_by_workspace.clear()
            key = max(self._keys, key=lambda key: _compute_weight(workspace, key))
            self._key_by_workspace[workspace] = key
        return key

    def retain(self, workspaces: set[names.WorkspaceName]) -> None:
        """Forget the workspaces that the configuration no longer has."""
        for workspace in self._key_by_workspace.keys() - workspaces:
            del self._key_by_workspace[workspace]


def _compute_weight(workspace: names.WorkspaceName, key: aggregators.SlotKey) -> bytes:
    text = f"{key.zone}/{key.slot}\n{workspace}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
