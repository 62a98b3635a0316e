"""Tasks that follow what the platform publishes: the host list and the catalogs."""

import time
from collections.abc import Callable

import eventlet
import logbook

from corianderrill import catalog, findings, hostlist, keyvalue, logs, names

CATALOG_PREFIX = "catalog/"
RETRY_PAUSE_S = 0.5


class HostListPoller:
    """Reads the host list at fixed intervals and hands on each good reading."""

    def __init__(
        self,
        client: hostlist.HostListClient,
        interval_s: float,
        take: Callable[[hostlist.HostList], None],
        journal: logs.Journal,
    ):
        self._client = client
        self._interval_s = interval_s
        self._take = take
        self._journal = journal

    def run(self) -> None:
        """Follow until the green thread is killed."""
        while True:
            self.read_once()
            eventlet.sleep(self._interval_s)

    def read_once(self) -> None:
        """Read the list; the last good one stays in use where that fails."""
        match self._client.fetch(time.monotonic()):
            case hostlist.Fetched(hosts):
                self._journal.change("host list", "read")
                self._take(hosts)
            case hostlist.FetchFailed(reason, detail):
                self._journal.change(
                    "host list", reason.value, logbook.WARNING, detail=detail
                )


class CatalogWatcher:
    """Lists the catalogs of all fleets, then watches them.

    `note_revision` gets every revision that the platform tells.
    """

    def __init__(
        self,
        client: keyvalue.Client,
        catalogs: dict[names.FleetName, catalog.Catalog],
        watch_timeout_s: float,
        journal: logs.Journal,
        note_revision: Callable[[names.Revision], None],
    ):
        self._note_revision = note_revision
        self._client = client
        self._catalogs = catalogs
        self._watch_timeout_s = watch_timeout_s
        self._journal = journal

    def run(self) -> None:
        """Follow until the green thread is killed."""
        while True:
            listed = self._client.list(CATALOG_PREFIX)
            if isinstance(listed, keyvalue.Listed):
                self._note_revision(listed.revision)
                for found in listed.entries:
                    self._apply(found.key, found.value)
                self._watch(listed.revision)
            eventlet.sleep(RETRY_PAUSE_S)

    def _watch(self, revision: names.Revision) -> None:
        while True:
            answer = self._client.watch(CATALOG_PREFIX, revision, self._watch_timeout_s)
            if not isinstance(answer, keyvalue.Changed):
                return
            self._note_revision(answer.revision)
            if answer.revision < revision:
                return
            for change in answer.changes:
                if change.value is not None:
                    self._apply(change.key, change.value)
            revision = answer.revision

    def _apply(self, key: str, value: bytes) -> None:
        snapshots = catalog.decode_catalog(value, key)
        if isinstance(snapshots, findings.Rejected):
            self._journal.change(key, "refused", logbook.ERROR, findings=str(snapshots))
            return
        self._journal.change(key, "accepted")
        for snapshot in snapshots:
            catalog.add_to_catalogs(self._catalogs, snapshot)
