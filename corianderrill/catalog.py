"""Index versions of a fleet, their partition maps, and which replica holds which.

A snapshot joins an index version with the partition map that belongs to it, so
that each key has exactly one shard for the whole of a query.
"""

import bisect
import dataclasses
import enum
import functools
import itertools
import zlib
from collections.abc import Callable, Iterable

import msgspec

from corianderrill import findings, names

HASH_SPACE = 2**32
MAX_KEPT_VERSIONS = 8
MAX_OBSERVATION_AGE_S = 10.0
CHOICE_CACHE_S = 0.1
CHOICE_CACHE_ENTRIES = 256

UsableReplicas = Callable[[names.ShardId], Iterable[names.ReplicaId]]


def hash_key(key: str) -> int:
    """Return the place of a key in the hash space (CRC-32 of its UTF-8 bytes)."""
    return zlib.crc32(key.encode())


def catalog_key(fleet: names.FleetName) -> str:
    """Return the key of a fleet's catalog in the key-value service."""
    return f"catalog/{fleet}"


@dataclasses.dataclass(frozen=True, slots=True)
class Partition:
    """The hash range of a shard: `low` belongs to it, `high` does not."""

    shard: names.ShardId
    low: int
    high: int


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """An index version and the partition map of each service, ordered by range."""

    id: names.SnapshotId
    partitions: dict[names.ServiceId, tuple[Partition, ...]]

    @functools.cached_property
    def ranges(self) -> dict[names.ShardId, Partition]:
        """The range of each shard."""
        return {
            partition.shard: partition
            for partition in itertools.chain.from_iterable(self.partitions.values())
        }

    @functools.cached_property
    def _shards(self) -> dict[names.ServiceId, tuple[names.ShardId, ...]]:
        return {
            service: tuple(partition.shard for partition in partitions)
            for service, partitions in self.partitions.items()
        }

    @functools.cached_property
    def _lows(self) -> dict[names.ServiceId, list[int]]:
        return {
            service: [partition.low for partition in partitions]
            for service, partitions in self.partitions.items()
        }

    def shards(self, service: names.ServiceId) -> tuple[names.ShardId, ...]:
        """Return the shards of a service; none for an unknown service."""
        return self._shards.get(service, ())

    def shard_of(self, service: names.ServiceId, key: str) -> names.ShardId:
        """Return the one shard that holds a key."""
        position = bisect.bisect_right(self._lows[service], hash_key(key)) - 1
        return self.partitions[service][position].shard


def check_snapshot(
    snapshot: Snapshot, source: str = "catalog"
) -> tuple[findings.Finding, ...]:
    """Return what is wrong with a partition map: gaps, overlaps, foreign shards."""
    return tuple(
        findings.Finding(findings.Place(source), f"{snapshot.id}: {message}")
        for service, partitions in snapshot.partitions.items()
        for message in _find_partition_faults(service, partitions)
    )


def _find_partition_faults(
    service: names.ServiceId, partitions: tuple[Partition, ...]
) -> Iterable[str]:
    seen: set[names.ShardId] = set()
    end = 0
    for partition in partitions:
        shard = partition.shard
        if shard.service != service:
            yield f"{shard} is no shard of {service}; list it under its own service"
        if shard in seen:
            yield f"{shard} stands twice; give each shard one range"
        if partition.low >= partition.high:
            yield f"{shard} has an empty range; set high above low"
        if partition.low > end:
            yield f"{service} has a gap from {end} to {partition.low}; close it"
        if partition.low < end:
            yield f"{shard} overlaps the range before it; start it at {end}"
        seen.add(shard)
        end = max(end, partition.high)
    if end != HASH_SPACE:
        yield f"{service} ends at {end}; end its last range at {HASH_SPACE}"


class PartitionValue(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a partition."""

    shard: str
    low: int
    high: int


class SnapshotValue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Stored form of a snapshot, without its fleet."""

    version: int
    services: dict[str, list[PartitionValue]]


class CatalogValue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Stored form of a fleet's catalog: its latest few snapshots."""

    fleet: str
    snapshots: list[SnapshotValue]


_catalog_decoder = msgspec.json.Decoder(CatalogValue)


def encode_catalog(fleet: names.FleetName, snapshots: Iterable[Snapshot]) -> bytes:
    """Return the JSON value of a catalog; keeps the latest versions."""
    latest = sorted(snapshots, key=lambda snapshot: snapshot.id)[-MAX_KEPT_VERSIONS:]
    return msgspec.json.encode(
        CatalogValue(fleet, [_to_value(snapshot) for snapshot in latest])
    )


def decode_catalog(
    value: bytes, source: str = "catalog"
) -> tuple[Snapshot, ...] | findings.Rejected:
    """Return the snapshots of a JSON value, or all that is wrong with it."""
    try:
        decoded = _catalog_decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        finding = findings.Finding(findings.Place(source), f"{error}; mend the value")
        return findings.Rejected((finding,))
    fleet = names.FleetName(decoded.fleet)
    snapshots = tuple(_from_value(fleet, item) for item in decoded.snapshots)
    found = tuple(
        itertools.chain.from_iterable(
            check_snapshot(snapshot, source) for snapshot in snapshots
        )
    )
    if found:
        return findings.Rejected(found)
    return snapshots


def _to_value(snapshot: Snapshot) -> SnapshotValue:
    return SnapshotValue(
        snapshot.id.version,
        {
            service.name: [
                PartitionValue(partition.shard.name, partition.low, partition.high)
                for partition in partitions
            ]
            for service, partitions in snapshot.partitions.items()
        },
    )


def _from_value(fleet: names.FleetName, value: SnapshotValue) -> Snapshot:
    partitions = {}
    for name, items in value.services.items():
        service = names.ServiceId(fleet, names.ServiceName(name))
        partitions[service] = tuple(
            Partition(
                names.ShardId(service, names.ShardName(item.shard)), item.low, item.high
            )
            for item in items
        )
    snapshot_id = names.SnapshotId(fleet, names.IndexVersion(value.version))
    return Snapshot(snapshot_id, partitions)


class HoldState(enum.Enum):
    """Whether a replica holds a version of a shard."""

    YES = "yes"
    MAYBE = "maybe"
    NO = "no"


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """The versions of a shard that a replica was last seen to hold, both ends in."""

    low: names.IndexVersion
    high: names.IndexVersion
    seen_at: float

    def get_hold_state(self, version: names.IndexVersion, now: float) -> HoldState:
        """Tell whether the replica holds a version, as far as is known.

        An old sighting proves nothing but that dropped versions stay dropped.
        """
        if version < self.low:
            return HoldState.NO
        if now - self.seen_at > MAX_OBSERVATION_AGE_S:
            return HoldState.MAYBE
        return HoldState.YES if version <= self.high else HoldState.NO


class NoSnapshotReason(enum.Enum):
    """Why no snapshot can be chosen."""

    NONE_KNOWN = "none-known"
    UNKNOWN_SERVICE = "unknown-service"
    TOO_OLD = "too-old"


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChoice:
    """The snapshot for a query; `lacking` names shards that no replica holds."""

    snapshot: Snapshot
    missing_shards: tuple[names.ShardId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NoSnapshot:
    """No snapshot fits the query."""

    reason: NoSnapshotReason


class Catalog:
    """Snapshots and holdings of one fleet, as one host knows them."""

    def __init__(self, fleet: names.FleetName):
        self.fleet = fleet
        self.conflicts = 0
        self._snapshots: dict[names.IndexVersion, Snapshot] = {}
        self._holdings: dict[names.ReplicaId, dict[names.ShardId, Holding]] = {}
        self._choices: dict[tuple, tuple[float, SnapshotChoice]] = {}

    @property
    def newest(self) -> Snapshot | None:
        """The newest snapshot known, held or not."""
        if not self._snapshots:
            return None
        return self._snapshots[max(self._snapshots)]

    def list_snapshots(self) -> tuple[Snapshot, ...]:
        """Return the known snapshots, oldest first."""
        return tuple(self._snapshots[version] for version in sorted(self._snapshots))

    def get(self, snapshot_id: names.SnapshotId) -> Snapshot | None:
        """Return a known snapshot."""
        if snapshot_id.fleet != self.fleet:
            return None
        return self._snapshots.get(snapshot_id.version)

    def add_snapshots(self, snapshots: Iterable[Snapshot]) -> bool:
        """Add snapshots; return whether any was new.

        A version never changes its partition map: a second map for a known
        version is counted in `conflicts` and ignored. Older versions than the
        kept ones are ignored, so that a stale catalog changes nothing.
        """
        added = False
        for snapshot in snapshots:
            added = self._add(snapshot) or added
        for version in sorted(self._snapshots)[:-MAX_KEPT_VERSIONS]:
            del self._snapshots[version]
        if added:
            self._choices.clear()
        return added

    def _add(self, snapshot: Snapshot) -> bool:
        version = snapshot.id.version
        if snapshot.id.fleet != self.fleet or check_snapshot(snapshot):
            self.conflicts += 1
            return False
        known = self._snapshots.get(version)
        if known is not None:
            self.conflicts += known.partitions != snapshot.partitions
            return False
        if len(self._snapshots) >= MAX_KEPT_VERSIONS and version < min(self._snapshots):
            return False
        self._snapshots[version] = snapshot
        return True

    def record_held_versions(
        self,
        replica: names.ReplicaId,
        shard: names.ShardId,
        low: names.IndexVersion,
        high: names.IndexVersion,
        now: float,
    ) -> None:
        """Note the versions of a shard that a reply, refusal or probe showed.

        Replies can overtake one another: within a replica's life its versions
        only rise, so a range below the known one is old news.
        """
        held = self._holdings.setdefault(replica, {})
        known = held.get(shard)
        if known is not None:
            low = max(low, known.low)
            high = max(high, known.high)
        held[shard] = Holding(low, high, now)
        if known is None or (known.low, known.high) != (low, high):
            self._choices.clear()

    def remove_replica(self, replica: names.ReplicaId) -> None:
        """Drop what is known of a replica that is gone."""
        if self._holdings.pop(replica, None) is not None:
            self._choices.clear()

    def get_hold_state(
        self,
        replica: names.ReplicaId,
        shard: names.ShardId,
        version: names.IndexVersion,
        now: float,
    ) -> HoldState:
        """Tell whether a replica holds a version of a shard, as far as is known."""
        holding = self._holdings.get(replica, {}).get(shard)
        if holding is None:
            return HoldState.MAYBE
        return holding.get_hold_state(version, now)

    def list_holders(
        self,
        candidates: tuple[names.ReplicaId, ...],
        shard: names.ShardId,
        snapshot: names.SnapshotId,
        now: float,
    ) -> tuple[names.ReplicaId, ...]:
        """Return the candidates that may hold a snapshot; all where none may.

        A replica that was not seen lately counts: only asking shows what it holds.
        """
        holders = tuple(
            replica
            for replica in candidates
            if self.get_hold_state(replica, shard, snapshot.version, now)
            is not HoldState.NO
        )
        return holders or candidates

    def choose_snapshot(
        self,
        services: tuple[names.ServiceId, ...],
        usable: UsableReplicas,
        not_older_than: names.SnapshotId | None,
        now: float,
    ) -> SnapshotChoice | NoSnapshot:
        """Choose the newest version that every shard has at some usable replica.

        Versions seen to be held come before those that may be held; where no
        version can be whole, the one that lacks the fewest shards is chosen.
        """
        if not self._snapshots:
            return NoSnapshot(NoSnapshotReason.NONE_KNOWN)
        oldest = 0 if not_older_than is None else not_older_than.version
        key = (services, oldest)
        cached = self._choices.get(key)
        if cached is not None and now - cached[0] < CHOICE_CACHE_S:
            return cached[1]
        chosen = self._choose(services, usable, oldest, now)
        if isinstance(chosen, SnapshotChoice):
            if len(self._choices) >= CHOICE_CACHE_ENTRIES:
                self._choices.clear()
            self._choices[key] = (now, chosen)
        return chosen

    def _choose(
        self,
        services: tuple[names.ServiceId, ...],
        usable: UsableReplicas,
        oldest: int,
        now: float,
    ) -> SnapshotChoice | NoSnapshot:
        recent = [self._snapshots[v] for v in sorted(self._snapshots, reverse=True)]
        young = [snapshot for snapshot in recent if snapshot.id.version >= oldest]
        if not young:
            return NoSnapshot(NoSnapshotReason.TOO_OLD)
        fit = [s for s in young if all(map(s.partitions.__contains__, services))]
        if not fit:
            return NoSnapshot(NoSnapshotReason.UNKNOWN_SERVICE)
        best_possible: SnapshotChoice | None = None
        for snapshot in fit:
            shards = tuple(
                itertools.chain.from_iterable(map(snapshot.shards, services))
            )
            held = [self._best_hold(snapshot, s, usable, now) for s in shards]
            if all(hold is HoldState.YES for hold in held):
                return SnapshotChoice(snapshot)
            lacking = tuple(
                shard
                for shard, hold in zip(shards, held, strict=True)
                if hold is HoldState.NO
            )
            if best_possible is None or len(lacking) < len(
                best_possible.missing_shards
            ):
                best_possible = SnapshotChoice(snapshot, lacking)
        return best_possible

    def _best_hold(
        self,
        snapshot: Snapshot,
        shard: names.ShardId,
        usable: UsableReplicas,
        now: float,
    ) -> HoldState:
        best = HoldState.NO
        for replica in usable(shard):
            hold = self.get_hold_state(replica, shard, snapshot.id.version, now)
            if hold is HoldState.YES:
                return hold
            if hold is HoldState.MAYBE:
                best = hold
        return best


def add_to_catalogs(
    catalogs: dict[names.FleetName, Catalog], snapshot: Snapshot
) -> None:
    """Add a snapshot to the catalog of its fleet, which is made where it is new."""
    fleet = snapshot.id.fleet
    catalogs.setdefault(fleet, Catalog(fleet)).add_snapshots((snapshot,))
