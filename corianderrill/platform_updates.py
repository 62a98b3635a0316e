"""Tasks that keep the host list and the catalogs up to date with the platform."""

import time
from collections.abc import Callable

import eventlet
import logbook

from corianderrill import catalog, findings, hostlist, keyvalue, logs, names

CATALOG_PREFIX = "catalog/"
RETRY_DELAY_S = 0.5


class HostListPoller:
    """Polls the host list and passes each valid list to `on_host_list`."""

    def __init__(
        self,
        client: hostlist.HostListClient,
        interval_s: float,
        on_host_list: Callable[[hostlist.HostList], None],
        journal: logs.Journal,
    ):
        self._client = client
        self._interval_s = interval_s
        self._on_host_list = on_host_list
        self._journal = journal

    def run(self) -> None:
        """Run until the green thread is killed."""
        while True:
            self.read_once()
            eventlet.sleep(self._interval_s)

    def read_once(self) -> None:
        """Read the list once; on failure the last valid list stays in use."""
        match self._client.fetch(time.monotonic()):
            case hostlist.Fetched(hosts):
                self._journal.change("host list", "read")
                self._on_host_list(hosts)
            case hostlist.FetchFailed(reason, detail):
                self._journal.change(
                    "host list", reason.value, logbook.WARNING, detail=detail
                )


class CatalogWatcher:
    """Lists the catalogs of all fleets, then watches them for changes.

    `on_revision` is called with every revision that the platform reports.
    """

    def __init__(
        self,
        client: keyvalue.Client,
        catalogs: dict[names.FleetName, catalog.Catalog],
        watch_timeout_s: float,
        journal: logs.Journal,
        on_revision: Callable[[names.Revision], None],
    ):
        self._on_revision = on_revision
        self._client = client
        self._catalogs = catalogs
        self._watch_timeout_s = watch_timeout_s
        self._journal = journal

    def run(self) -> None:
        """Run until the green thread is killed."""
        while True:
            listing = self._client.list(CATALOG_PREFIX)
            if isinstance(listing, keyvalue.Listed):
                self._on_revision(listing.revision)
                for entry in listing.entries:
                    self._apply_catalog(entry.key, entry.value)
                self._watch_catalogs(listing.revision)
            eventlet.sleep(RETRY_DELAY_S)

    def _watch_catalogs(self, revision: names.Revision) -> None:
        while True:
            reply = self._client.watch(CATALOG_PREFIX, revision, self._watch_timeout_s)
            if not isinstance(reply, keyvalue.Changed):
                return
            self._on_revision(reply.revision)
            if reply.revision < revision:
                return
            for change in reply.changes:
                if change.value is not None:
                    self._apply_catalog(change.key, change.value)
            revision = reply.revision

    def _apply_catalog(self, key: str, value: bytes) -> None:
        decoded = catalog.decode_catalog(value, key)
        if isinstance(decoded, findings.Rejected):
            self._journal.change(key, "refused", logbook.ERROR, findings=str(decoded))
            return
        self._journal.change(key, "accepted")
        for snapshot in decoded:
            catalog.add_to_catalogs(self._catalogs, snapshot)
