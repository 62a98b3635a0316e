"""The versioned view of a host: one configuration and the replicas of its services.

An update is applied only if its version (configuration) or store revision (replica)
is higher than the current one, so range reads and watch events may arrive in any
order. When the store comes back from an older copy, its revisions begin anew, and what
the copy says of a replica may be older than what is known. Then the backend server's
own count of its writes decides.
"""

import dataclasses
import enum
import itertools
import math
from typing import NewType

from corianderrill import names
from corianderrill.gateway import evacuations, replicas, routes

StoreRevision = NewType("StoreRevision", int)
# Rises whenever the store comes back from an older copy. Revisions and leases have a
# meaning only within one era.
StoreEra = NewType("StoreEra", int)

# Registrations that lapsed in a store outage are written again within two seconds of
# the end of the outage.
RECOVERY_GRACE_S = 2.1


class UpdateOutcome(enum.Enum):
    """The effect of an update on the view; the values are written to the log."""

    APPLIED = "applied"
    STALE = "stale"
    FALLBACK = "spare"


@dataclasses.dataclass(frozen=True, slots=True)
class _Process:
    """One process of a replica; without a start time its address tells it apart."""

    started_at_ms: int | None
    address: names.Address


@dataclasses.dataclass(slots=True)
class _Entry:
    """The last known state of one replica's key in the store."""

    revision: StoreRevision
    # None if it is no longer in use; `former` is what it was until then.
    replica: replicas.Replica | None
    former: replicas.Replica | None = None
    # The end of the fallback time, or None if the replica is ready. The value is kept
    # when that time is over: a draining replica writes its entry repeatedly and must
    # not get a second fallback time.
    fallback_until: float | None = None
    # The last registration that was applied; kept when the replica is dropped.
    registration: replicas.Registration | None = None
    is_removed: bool = False
    # The process that announced its leaving in a reply, if one did.
    leaving: "_Process | None" = None
    # What is known is from an earlier era of the store, and was removed in it or not.
    is_from_earlier_era: bool = False
    was_removed: bool = False


@dataclasses.dataclass(slots=True)
class View:
    """The configuration and replicas as one host knows them.

    A replica that is draining or whose entry was removed is a fallback: for a limited
    time it gets the requests that no ready replica can take. `drain_fallback_s` is this
    time for a replica that registered as draining. `lapsed_fallback_s` is this time for
    a replica whose entry was removed although it never registered as draining; it may
    register again soon. A removal that is read before `removals_untrusted_until` may be
    caused by a store outage. `confirmed_at` is the latest time at which the view is
    known to have had all changes; for `max_unconfirmed_s` after that, the view counts
    as current. `era_since` is when this host first read the store in its present era.

    Times are in seconds of the host's monotonic clock.
    """

    drain_fallback_s: float
    lapsed_fallback_s: float
    configuration: routes.Configuration | None = None
    removals_untrusted_until: float = 0.0
    confirmed_at: float = -math.inf
    max_unconfirmed_s: float = math.inf
    era_since: float = -math.inf
    evacuated: evacuations.Evacuations = dataclasses.field(
        default_factory=evacuations.Evacuations
    )
    # When the replicas announced their leaving that did, the last one last.
    _announced_at: dict[replicas.InstanceId, float] = dataclasses.field(
        default_factory=dict
    )
    _entries: dict[replicas.InstanceId, _Entry] = dataclasses.field(
        default_factory=dict
    )
    _ready_by_service: dict[names.ServiceName, list[replicas.Replica]] = (
        dataclasses.field(default_factory=dict)
    )

    def apply_configuration(self, configuration: routes.Configuration) -> UpdateOutcome:
        """Apply a configuration if its version is higher than the one in force."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return UpdateOutcome.STALE
        self.configuration = configuration
        return UpdateOutcome.APPLIED

    def confirm(self, at: float) -> None:
        """Record that the view had all changes of the store at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def was_confirmed(self) -> bool:
        """Return whether the store ever confirmed the view."""
        return math.isfinite(self.confirmed_at)

    def is_current(self, now: float) -> bool:
        """Return whether the store has confirmed the view recently."""
        return self.get_age_s(now) <= self.max_unconfirmed_s

    def get_age_s(self, now: float) -> float:
        """Return the time since the store confirmed the view; infinite if never."""
        return now - self.confirmed_at

    def get_age_ms(self, now: float) -> float | None:
        """Return the age of the view for the log; None if it was never confirmed."""
        return round(1000 * self.get_age_s(now)) if self.was_confirmed() else None

    def record_store_recovery(self, now: float) -> None:
        """Distrust removals for a while, now that the store answers after an outage."""
        self.distrust_removals(now + RECOVERY_GRACE_S)

    def distrust_removals(self, until: float) -> None:
        """Distrust removals at least until a time."""
        self.removals_untrusted_until = max(self.removals_untrusted_until, until)

    def enter_era(self, now: float) -> None:
        """Take any revision for a new one, since the store counts them anew."""
        self.era_since = now
        self.evacuated.enter_era()
        for entry in self._entries.values():
            entry.revision = StoreRevision(0)
            entry.is_from_earlier_era = True
            entry.was_removed = entry.is_removed

    def apply_registration(
        self,
        registration: replicas.Registration,
        revision: StoreRevision,
        now: float,
    ) -> UpdateOutcome:
        """Apply the registration that a backend server wrote."""
        entry = self._entries.get(registration.id)
        if entry is not None and revision <= entry.revision:
            return UpdateOutcome.STALE
        if entry is not None and _is_outdated(entry, registration):
            entry.revision = revision
            return UpdateOutcome.STALE
        replica = _update_replica(entry, registration, now)
        if replica is None:
            return UpdateOutcome.STALE
        if _is_new_process(entry, registration, self.was_confirmed()):
            replica.cold_since = now
        replica.is_evacuated = registration.zone in self.evacuated.list_evacuated()
        fallback_until = self._get_fallback_end(entry, registration, now)
        self._entries[registration.id] = _Entry(
            revision,
            replica,
            former=None if entry is None else entry.former,
            fallback_until=fallback_until,
            registration=registration,
            leaving=None if entry is None else entry.leaving,
        )
        self._ready_by_service.clear()
        return UpdateOutcome.APPLIED

    def _get_fallback_end(
        self, entry: _Entry | None, registration: replicas.Registration, now: float
    ) -> float | None:
        """Return the end of a draining replica's fallback time; None if not draining.

        A draining replica writes its entry repeatedly; the time counts from the first
        of these entries. After a store outage, the entry may be read when the replica
        has already stopped, so the fallback time ends at once.
        """
        has_announced = entry is not None and entry.leaving == _get_process(
            registration
        )
        is_draining = registration.state is replicas.ReplicaState.DRAINING
        if not is_draining and not has_announced:
            return None
        if entry is not None and entry.fallback_until is not None:
            return entry.fallback_until
        return (
            now if now < self.removals_untrusted_until else now + self.drain_fallback_s
        )

    def apply_removal(
        self, replica_id: replicas.InstanceId, revision: StoreRevision, now: float
    ) -> UpdateOutcome:
        """Apply the removal of an entry, or an entry that can't be decoded."""
        entry = self._entries.get(replica_id)
        if entry is not None and revision <= entry.revision:
            return UpdateOutcome.STALE
        if entry is None:
            self._entries[replica_id] = _Entry(revision, None)
            return UpdateOutcome.APPLIED
        entry.revision = revision
        entry.is_removed = True
        if entry.replica is None:
            return UpdateOutcome.APPLIED
        self._ready_by_service.clear()
        if now < self.removals_untrusted_until:
            # The registration may have lapsed in the outage and may be written again.
            entry.fallback_until = self.removals_untrusted_until
            return UpdateOutcome.FALLBACK
        if entry.fallback_until is None:
            entry.fallback_until = now + self.lapsed_fallback_s
        return UpdateOutcome.APPLIED

    def mark_leaving(
        self, replica_id: replicas.InstanceId, started_at_ms: int | None, now: float
    ) -> bool:
        """Take a process for draining that announced in a reply that it leaves.

        No registration of that process undoes it. Return False if it was known, or if
        the process is not the one that is registered.
        """
        entry = self._entries.get(replica_id)
        if entry is None or entry.registration is None:
            return False
        process = _get_process(entry.registration)
        if process.started_at_ms != started_at_ms or entry.leaving == process:
            return False
        entry.leaving = process
        self._announced_at.pop(replica_id, None)
        self._announced_at[replica_id] = now
        if entry.fallback_until is None:
            entry.fallback_until = now + self.drain_fallback_s
        self._ready_by_service.clear()
        return True

    def apply_evacuation(
        self,
        zone: names.ZoneName,
        is_evacuated: bool,
        revision: StoreRevision,
        now: float,
    ) -> bool:
        """Apply the evacuation of a zone, or its end; return whether it is a change."""
        if not self.evacuated.apply(zone, is_evacuated, revision, now):
            return False
        for replica in self.list_in_zone(zone):
            replica.is_evacuated = is_evacuated
            if not is_evacuated:
                # Idle for the evacuation.
                replica.cold_since = now
                replica.announced_cold_until = max(
                    replica.announced_cold_until, now + evacuations.RETURN_S
                )
        self._ready_by_service.clear()
        return True

    def list_in_zone(self, zone: names.ZoneName) -> list[replicas.Replica]:
        """Return the replicas of a zone that may be in use, evacuated or not."""
        return [
            entry.replica
            for entry in self._entries.values()
            if entry.replica is not None and entry.replica.registration.zone == zone
        ]

    def list_evacuated_addresses(self) -> set[names.Address]:
        """Return the addresses of the evacuated replicas."""
        return {
            replica.registration.address
            for zone in self.evacuated.list_evacuated()
            for replica in self.list_in_zone(zone)
        }

    def list_evacuated(
        self, service: names.ServiceName, now: float
    ) -> list[replicas.Replica]:
        """Return the replicas of a service that only an evacuation rules out."""
        return [
            entry.replica
            for entry in self._entries.values()
            if entry.replica is not None
            and entry.replica.is_evacuated
            and entry.replica.registration.service == service
            and (entry.fallback_until is None or now < entry.fallback_until)
        ]

    def list_leaving(self, since: float) -> list[replicas.Registration]:
        """Return the registrations whose process announced its leaving since a time.

        The last one comes first.
        """
        recent = itertools.takewhile(
            lambda item: item[1] >= since, reversed(self._announced_at.items())
        )
        entries = (self._entries[replica_id] for replica_id, _ in recent)
        return [
            entry.registration
            for entry in entries
            if entry.leaving == _get_process(entry.registration)
        ]

    def drop_expired(self, now: float) -> list[replicas.InstanceId]:
        """Drop the replicas whose fallback time has expired; return their ids."""
        expired = [
            replica_id
            for replica_id, entry in self._entries.items()
            if entry.replica is not None
            and entry.fallback_until is not None
            and now >= entry.fallback_until
        ]
        for replica_id in expired:
            entry = self._entries[replica_id]
            entry.replica, entry.former = None, entry.replica
        return expired

    def list_replica_ids(self) -> set[replicas.InstanceId]:
        """Return the ids of all replicas that may be in use."""
        return {
            replica_id for replica_id, entry in self._entries.items() if entry.replica
        }

    def list_addresses(self) -> set[names.Address]:
        """Return the addresses of all replicas that may be in use."""
        return {
            entry.replica.registration.address
            for entry in self._entries.values()
            if entry.replica
        }

    def list_rate_limited(self) -> list[replicas.Replica]:
        """Return the replicas that name a rate limit."""
        return [
            entry.replica
            for entry in self._entries.values()
            if entry.replica is not None and entry.replica.rate_limit_per_s is not None
        ]

    def find_replica(self, replica_id: replicas.InstanceId) -> replicas.Replica | None:
        """Return the replica with an id, if it may be in use."""
        entry = self._entries.get(replica_id)
        return None if entry is None else entry.replica

    def list_replicas(self) -> list[replicas.Replica]:
        """Return all replicas that may be in use, evacuated or not."""
        return [entry.replica for entry in self._entries.values() if entry.replica]

    def list_ready(self, service: names.ServiceName) -> list[replicas.Replica]:
        """Return the replicas of a service that are ready, none that is evacuated."""
        if not self._ready_by_service:
            self._ready_by_service = self._group_ready_by_service()
        return self._ready_by_service.get(service, [])

    def list_fallback(
        self, service: names.ServiceName, now: float
    ) -> list[replicas.Replica]:
        """Return the replicas of a service that are within their fallback time."""
        return [
            entry.replica
            for entry in self._entries.values()
            if entry.replica is not None
            and not entry.replica.is_evacuated
            and entry.fallback_until is not None
            and now < entry.fallback_until
            and entry.replica.registration.service == service
        ]

    def is_in_use(self, replica: replicas.Replica, now: float) -> bool:
        """Return whether a replica may still get requests."""
        entry = self._entries.get(replica.id)
        if entry is None or entry.replica is not replica or replica.is_evacuated:
            return False
        return entry.fallback_until is None or now < entry.fallback_until

    def _group_ready_by_service(
        self,
    ) -> dict[names.ServiceName, list[replicas.Replica]]:
        ready = (
            entry.replica
            for entry in self._entries.values()
            if entry.replica is not None
            and entry.fallback_until is None
            and not entry.replica.is_evacuated
        )
        ordered = sorted(ready, key=_get_service)
        return {
            service: list(group)
            for service, group in itertools.groupby(ordered, _get_service)
        }


def _build_replica(
    entry: _Entry | None, registration: replicas.Registration, warmup_ends_at: float
) -> replicas.Replica:
    """Return a replica without statistics; a pause that its process asked for holds."""
    replica = replicas.Replica(registration, warmup_ends_at)
    former = None if entry is None else entry.former
    if former is not None and _get_process(former.registration) == _get_process(
        registration
    ):
        replica.quiet_until = former.quiet_until
        replica.cold_since = former.cold_since
        replica.announced_cold_until = former.announced_cold_until
        replica.cold_slot_at = former.cold_slot_at
    return replica


def _is_new_process(
    entry: _Entry | None, registration: replicas.Registration, was_confirmed: bool
) -> bool:
    """Return whether a registration tells of a process that has just started.

    What a host reads of unknown replicas at its own start may be old. Replicas that are
    cold then say so in their entry.
    """
    known = None if entry is None else entry.registration
    if known is None:
        return was_confirmed
    return _get_process(known) != _get_process(registration)


def _get_process(registration: replicas.Registration) -> _Process:
    return _Process(registration.started_at_ms, registration.address)


def _get_service(replica: replicas.Replica) -> names.ServiceName:
    return replica.registration.service


def _is_outdated(entry: _Entry, registration: replicas.Registration) -> bool:
    """Return whether a restored store holds less than was known before.

    The backend server has written more since, or its entry has been removed.
    """
    known = entry.registration
    if not entry.is_from_earlier_era or known is None:
        return False
    if None in (known.started_at_ms, registration.started_at_ms):
        return False
    known_write = (known.started_at_ms, known.write_number)
    write = (registration.started_at_ms, registration.write_number)
    return write < known_write or (write == known_write and entry.was_removed)


def _update_replica(
    entry: _Entry | None, registration: replicas.Registration, now: float
) -> replicas.Replica | None:
    """Return the replica of a registration, or None if an earlier process wrote it.

    A replica that was restarted or has a new address is a new one without statistics.
    """
    current = None if entry is None else entry.replica
    warmup_ends_at = now + registration.warmup_s
    if current is None:
        return _build_replica(entry, registration, warmup_ends_at)
    previous = current.registration
    if None not in (previous.started_at_ms, registration.started_at_ms):
        if registration.started_at_ms < previous.started_at_ms:
            return None
        if registration.started_at_ms > previous.started_at_ms:
            return replicas.Replica(registration, warmup_ends_at)
    if registration.address != previous.address:
        return replicas.Replica(registration, warmup_ends_at)
    if registration != previous:
        # Else it is the same write, read again from a store that was restored.
        current.warmup_ends_at = warmup_ends_at
    current.registration = registration
    return current
