"""Applies the keys of the platform's store to what a host knows.

Keys that cannot be decoded are skipped with a line in the log; what was known stays.
"""

import dataclasses
import traceback
from collections.abc import Collection, Iterable

from corianderrill import names
from corianderrill.gateway import (
    aggregators,
    demand_reporter,
    evacuation_records,
    event_log,
    quarantine,
    rate_limits,
    routes,
    view,
    workspace_events,
)
from corianderrill.platform import documents, store

MAX_REASON_CHARACTERS = 300
# Of one configuration.
MAX_SHARED_KEYS_RECORDS = 20


@dataclasses.dataclass(slots=True)
class StoreChanges:
    """What a host learns from the store; all revisions are of one `era`.

    `configuration_revision` is that of the change which the configuration in force came
    with, 0 if it is from an earlier era. Times are in seconds of the host's monotonic
    clock.
    """

    view: view.View
    aggregators: aggregators.AggregatorDirectory
    limits: rate_limits.RateLimits
    quarantine: quarantine.Quarantine
    log: event_log.EventLog
    era: view.StoreEra = view.StoreEra(0)
    configuration_revision: view.StoreRevision = view.StoreRevision(0)

    def enter_era(self, era: view.StoreEra, now: float) -> None:
        """Take any revision for a new one, since the store counts them anew."""
        self.era = era
        self.configuration_revision = view.StoreRevision(0)
        self.quarantine.enter_era(now)
        self.view.enter_era(now)
        self.aggregators.enter_era(era)
        self.limits.directory.enter_era()

    def apply(self, items: Iterable[store.Item], now: float) -> None:
        """Apply items as they were written, or their removal.

        One that fails in an unexpected way is skipped; the others hold.
        """
        for item in items:
            try:
                self._apply_item(item, now)
            except Exception as error:
                trace = "".join(traceback.format_exception(error))
                self._record_skipped_item(item, trace[-MAX_REASON_CHARACTERS:])
        self.limits.refresh_cold(self.view, now)

    def _apply_item(self, item: store.Item, now: float) -> None:
        if item.key == documents.CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key.startswith(documents.SERVER_KEY_PREFIX):
            self._apply_registration_item(item, now)
        elif item.key.startswith(documents.AGGREGATOR_KEY_PREFIX):
            self._apply_aggregator_item(item)
        elif item.key.startswith(documents.DEMAND_KEY_PREFIX):
            self._apply_demand_item(item, now)
        elif item.key.startswith(documents.CRASH_KEY_PREFIX):
            self._apply_crash_item(item, now)
        elif item.key.startswith(documents.EVACUATION_KEY_PREFIX):
            self._apply_evacuation_item(item, now)

    def _apply_crash_item(self, item: store.Item, now: float) -> None:
        try:
            notes = (
                None
                if item.value is None
                else documents.decode_notes(item.key, item.value)
            )
        except documents.DocumentError as error:
            self._record_skipped_item(item, str(error))
            return
        self._apply_notes(
            documents.parse_crash_key(item.key), notes, item.revision, now
        )

    def _apply_notes(
        self,
        fingerprint: quarantine.Fingerprint,
        notes: quarantine.Notes | None,
        revision: view.StoreRevision,
        now: float,
    ) -> None:
        if not self.quarantine.apply_notes(fingerprint, notes, revision, now):
            return
        self.log.record(
            event_log.CrashNotesSeen(
                fingerprint=fingerprint,
                crashes=0 if notes is None else len(notes.crashes),
                trials=0 if notes is None else notes.trials,
                verdict=self.quarantine.assess(fingerprint, True).value,
                revision=revision,
                era=self.era,
            )
        )

    def _apply_evacuation_item(self, item: store.Item, now: float) -> None:
        try:
            zone = documents.parse_evacuation_key(item.key)
        except documents.DocumentError as error:
            self._record_skipped_item(item, str(error))
            return
        self._apply_evacuation(zone, item.value is not None, item.revision, now)

    def _apply_evacuation(
        self,
        zone: names.ZoneName,
        is_evacuated: bool,
        revision: view.StoreRevision,
        now: float,
    ) -> None:
        if self.view.apply_evacuation(zone, is_evacuated, revision, now):
            change = "began" if is_evacuated else "ended"
            self._record_evacuation(zone, change, revision)

    def _record_evacuation(
        self, zone: names.ZoneName, change: str, revision: view.StoreRevision
    ) -> None:
        replica_count = len(self.view.list_in_zone(zone))
        self.log.record(
            evacuation_records.ZoneEvacuation(
                zone, change, replica_count, revision, self.era
            )
        )

    def _apply_demand_item(self, item: store.Item, now: float) -> None:
        host = documents.parse_demand_key(item.key)
        try:
            report = (
                None
                if item.value is None
                else documents.decode_demand(item.key, item.value)
            )
        except documents.DocumentError as error:
            self._record_skipped_item(item, str(error))
            return
        is_new = self.limits.apply_report(host, report, item.revision, now)
        if is_new and report is not None:
            self.limits.apply_reported_cold(report, self.view, now)

    def _apply_aggregator_item(self, item: store.Item) -> None:
        try:
            key = documents.parse_aggregator_key(item.key)
            holder = (
                None
                if item.value is None
                else documents.decode_aggregator(item.key, item.value)
            )
        except documents.DocumentError as error:
            self._record_skipped_item(item, str(error))
            return
        if self.aggregators.apply(key, holder, item.revision):
            self.log.record(
                event_log.AggregatorSeen(
                    key.zone,
                    key.slot,
                    "" if holder is None else holder.host,
                    item.revision,
                    self.era,
                )
            )

    def _apply_configuration(self, item: store.Item) -> None:
        if item.value is None:
            self._record_skipped_item(
                item, "removed; the last configuration stays in force"
            )
            return
        try:
            configuration = documents.decode_configuration(item.value)
        except documents.DocumentError as error:
            self._record_skipped_item(item, str(error))
            return
        before = self.view.configuration
        outcome = self.view.apply_configuration(configuration)
        self.log.record(
            event_log.ConfigurationSeen(
                version=configuration.version,
                revision=item.revision,
                before=None if before is None else before.version,
                outcome=outcome.value,
                era=self.era,
                size_bytes=len(item.value),
            )
        )
        if outcome is view.UpdateOutcome.APPLIED:
            self.configuration_revision = item.revision
            self._record_shared_keys(configuration)

    def _record_shared_keys(self, configuration: routes.Configuration) -> None:
        for shared in configuration.shared_keys[:MAX_SHARED_KEYS_RECORDS]:
            self.log.record(
                workspace_events.SharedKeys(
                    configuration.version, shared.holder, shared.other, shared.count
                )
            )

    def _apply_registration_item(self, item: store.Item, now: float) -> None:
        replica_id = documents.parse_replica_id(item.key)
        if item.value is None:
            self._remove_replica(replica_id, item.revision, now)
            return
        try:
            registration = documents.decode_registration(item.key, item.value)
        except documents.DocumentError as error:
            self._record_skipped_item(item, str(error))
            self._remove_replica(replica_id, item.revision, now)
            return
        outcome = self.view.apply_registration(registration, item.revision, now)
        self.log.record(
            event_log.ReplicaSeen(
                replica=replica_id,
                service=registration.service,
                state=registration.state.value,
                revision=item.revision,
                outcome=outcome.value,
                era=self.era,
            )
        )

    def _remove_replica(
        self,
        replica_id: str,
        revision: view.StoreRevision,
        now: float,
    ) -> None:
        outcome = self.view.apply_removal(replica_id, revision, now)
        self.log.record(
            event_log.ReplicaSeen(
                replica_id, "", "removed", revision, outcome.value, self.era
            )
        )

    def _record_skipped_item(self, item: store.Item, reason: str) -> None:
        self.log.record(
            event_log.EntrySkipped(
                item.key, item.revision, reason[:MAX_REASON_CHARACTERS], self.era
            )
        )

    def remove_unlisted(
        self,
        items: Collection[store.Item],
        revision: view.StoreRevision,
        now: float,
        is_restored: bool,
    ) -> None:
        """Remove what is known and has no key among `items`, which are all keys.

        If the store `is_restored` from an older copy, it may lack keys that are to be
        written again.
        """
        listed_ids = {
            documents.parse_replica_id(item.key)
            for item in items
            if item.key.startswith(documents.SERVER_KEY_PREFIX)
        }
        for replica_id in self.view.list_replica_ids() - listed_ids:
            self._remove_replica(replica_id, revision, now)
        listed_keys = {item.key for item in items}
        for host in self.limits.directory.list_hosts():
            if documents.format_demand_key(host) in listed_keys:
                continue
            if is_restored:
                lapse_at = now + demand_reporter.LEASE_TTL_S
                self.limits.directory.keep_until(host, lapse_at)
            else:
                self.limits.apply_report(host, None, revision, now)
        for fingerprint in self.quarantine.list_stored():
            if documents.format_crash_key(fingerprint) not in listed_keys:
                self._apply_notes(fingerprint, None, revision, now)
        for key in self.aggregators.list_keys():
            if documents.format_aggregator_key(key) not in listed_keys:
                self.aggregators.apply(key, None, revision)
        for zone in self.view.evacuated.list_evacuated():
            if documents.format_evacuation_key(zone) not in listed_keys:
                self._apply_evacuation(zone, False, revision, now)
        self.limits.refresh_cold(self.view, now)

    def drop_expired(self, revision: view.StoreRevision, now: float) -> None:
        """Drop what was kept for a limited time after it left the store."""
        for zone in self.view.evacuated.drop_returned(now):
            self._record_evacuation(zone, "returned", revision)
        self.limits.directory.drop_lapsed(now)
        for replica_id in self.view.drop_expired(now):
            self.log.record(
                event_log.ReplicaSeen(
                    replica_id, "", "gone", revision, "dropped", self.era
                )
            )
