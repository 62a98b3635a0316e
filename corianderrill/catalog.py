"""Index versions of a fleet, their partition maps, and which replica holds which.

A snapshot combines an index version with the partition map of that version. A query
uses a single snapshot, so each key belongs to exactly one shard during the query.
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
CHOICE_CACHE_TTL_S = 0.1
MAX_CACHED_CHOICES = 256

UsableReplicas = Callable[[names.ShardId], Iterable[names.ReplicaId]]


def hash_key(key: str) -> int:
    """Return the hash of a key (CRC-32 of its UTF-8 bytes)."""
    return zlib.crc32(key.encode())


def catalog_key(fleet: names.FleetName) -> str:
    """Return the key of a fleet's catalog in the key-value service."""
    return f"catalog/{fleet}"


@dataclasses.dataclass(frozen=True, slots=True)
class Partition:
    """The hash range of a shard; `low` is inclusive, `high` is exclusive."""

    shard: names.ShardId
    low: int
    high: int


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """An index version and the partitions of each service, ordered by hash range."""

    id: names.SnapshotId
    partitions: dict[names.ServiceId, tuple[Partition, ...]]

    @functools.cached_property
    def partitions_by_shard(self) -> dict[names.ShardId, Partition]:
        """The partition of each shard."""
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
    def _range_starts(self) -> dict[names.ServiceId, list[int]]:
        return {
            service: [partition.low for partition in partitions]
            for service, partitions in self.partitions.items()
        }

    def shards(self, service: names.ServiceId) -> tuple[names.ShardId, ...]:
        """Return the shards of a service; empty if the service is unknown."""
        return self._shards.get(service, ())

    def shard_of(self, service: names.ServiceId, key: str) -> names.ShardId:
        """Return the shard that holds a key."""
        position = bisect.bisect_right(self._range_starts[service], hash_key(key)) - 1
        return self.partitions[service][position].shard


def check_snapshot(
    snapshot: Snapshot, source: str = "catalog"
) -> tuple[findings.Finding, ...]:
    """Return findings about a partition map, such as gaps and overlaps."""
    return tuple(
        findings.Finding(findings.Place(source), f"{snapshot.id}: {message}")
        for service, partitions in snapshot.partitions.items()
        for message in _check_partitions(service, partitions)
    )


def _check_partitions(
    service: names.ServiceId, partitions: tuple[Partition, ...]
) -> Iterable[str]:
    seen_shards: set[names.ShardId] = set()
    end = 0
    for partition in partitions:
        shard = partition.shard
        if shard.service != service:
            yield f"{shard} is not a shard of {service}; list it under its own service"
        if shard in seen_shards:
            yield f"{shard} is listed twice; give each shard one range"
        if partition.low >= partition.high:
            yield f"{shard} has an empty range; set high above low"
        if partition.low > end:
            yield f"{service} has a gap from {end} to {partition.low}; close the gap"
        if partition.low < end:
            yield f"{shard} overlaps the range before it; start it at {end}"
        seen_shards.add(shard)
        end = max(end, partition.high)
    if end != HASH_SPACE:
        yield f"{service}: last range ends at {end}; it must end at {HASH_SPACE}"


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
    """Stored form of a fleet's catalog: its latest snapshots."""

    fleet: str
    snapshots: list[SnapshotValue]


_catalog_decoder = msgspec.json.Decoder(CatalogValue)


def encode_catalog(fleet: names.FleetName, snapshots: Iterable[Snapshot]) -> bytes:
    """Encode the latest `MAX_KEPT_VERSIONS` snapshots of a catalog as JSON."""
    latest = sorted(snapshots, key=lambda snapshot: snapshot.id)[-MAX_KEPT_VERSIONS:]
    return msgspec.json.encode(
        CatalogValue(fleet, [_encode_snapshot(snapshot) for snapshot in latest])
    )


def decode_catalog(
    value: bytes, source: str = "catalog"
) -> tuple[Snapshot, ...] | findings.Rejected:
    """Decode the snapshots of a JSON value, or return all findings about it."""
    try:
        decoded = _catalog_decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        finding = findings.Finding(
            findings.Place(source), f"{error}; publish a catalog of the expected form"
        )
        return findings.Rejected((finding,))
    fleet = names.FleetName(decoded.fleet)
    snapshots = tuple(_decode_snapshot(fleet, item) for item in decoded.snapshots)
    map_findings = tuple(
        itertools.chain.from_iterable(
            check_snapshot(snapshot, source) for snapshot in snapshots
        )
    )
    if map_findings:
        return findings.Rejected(map_findings)
    return snapshots


def _encode_snapshot(snapshot: Snapshot) -> SnapshotValue:
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


def _decode_snapshot(fleet: names.FleetName, value: SnapshotValue) -> Snapshot:
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
    """Whether a replica holds a version of a shard, as far as is known."""

    YES = "yes"
    MAYBE = "maybe"
    NO = "no"


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedVersions:
    """The versions of a shard that a replica was last observed to hold.

    `low` and `high` are inclusive.
    """

    low: names.IndexVersion
    high: names.IndexVersion
    observed_at: float

    def get_hold_state(self, version: names.IndexVersion, now: float) -> HoldState:
        """Return whether the replica holds a version, as far as is known.

        An outdated observation only shows that versions below `low` are dropped,
        because replicas never load dropped versions again.
        """
        if version < self.low:
            return HoldState.NO
        if now - self.observed_at > MAX_OBSERVATION_AGE_S:
            return HoldState.MAYBE
        return HoldState.YES if version <= self.high else HoldState.NO


class NoSnapshotReason(enum.Enum):
    """Why no snapshot can be chosen."""

    NONE_KNOWN = "none-known"
    UNKNOWN_SERVICE = "unknown-service"
    TOO_OLD = "too-old"


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChoice:
    """The snapshot for a query.

    `missing_shards` are the shards for which every usable replica is known not to
    hold the snapshot.
    """

    snapshot: Snapshot
    missing_shards: tuple[names.ShardId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NoSnapshot:
    """No snapshot fits the query."""

    reason: NoSnapshotReason


class Catalog:
    """Snapshots of one fleet and which replica holds which, as known to one host."""

    def __init__(self, fleet: names.FleetName):
        self.fleet = fleet
        self.rejected_snapshots = 0
        self._snapshots: dict[names.IndexVersion, Snapshot] = {}
        self._observed_versions: dict[
            names.ReplicaId, dict[names.ShardId, ObservedVersions]
        ] = {}
        self._cached_choices: dict[tuple, tuple[float, SnapshotChoice]] = {}

    @property
    def newest(self) -> Snapshot | None:
        """The newest known snapshot, whether or not a replica holds it."""
        if not self._snapshots:
            return None
        return self._snapshots[max(self._snapshots)]

    def list_snapshots(self) -> tuple[Snapshot, ...]:
        """Return the known snapshots, oldest first."""
        return tuple(self._snapshots[version] for version in sorted(self._snapshots))

    def get(self, snapshot_id: names.SnapshotId) -> Snapshot | None:
        """Return a snapshot, or None if it is unknown."""
        if snapshot_id.fleet != self.fleet:
            return None
        return self._snapshots.get(snapshot_id.version)

    def add_snapshots(self, snapshots: Iterable[Snapshot]) -> bool:
        """Add snapshots; return whether any was new.

        The partition map of a version never changes. Snapshots with a different map
        for a known version, with an invalid map or of another fleet are counted in
        `rejected_snapshots` and ignored. Versions older than the
        kept ones are ignored, so that a stale catalog has no effect.
        """
        has_new = False
        for snapshot in snapshots:
            has_new = self._add(snapshot) or has_new
        for version in sorted(self._snapshots)[:-MAX_KEPT_VERSIONS]:
            del self._snapshots[version]
        if has_new:
            self._cached_choices.clear()
        return has_new

    def _add(self, snapshot: Snapshot) -> bool:
        version = snapshot.id.version
        if snapshot.id.fleet != self.fleet or check_snapshot(snapshot):
            self.rejected_snapshots += 1
            return False
        existing = self._snapshots.get(version)
        if existing is not None:
            self.rejected_snapshots += existing.partitions != snapshot.partitions
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
        """Record the versions of a shard that a reply, refusal or probe reported.

        Replies can arrive out of order. The versions of a replica only increase
        during its lifetime, so the known bounds are never lowered.
        """
        by_shard = self._observed_versions.setdefault(replica, {})
        previous = by_shard.get(shard)
        if previous is not None:
            low = max(low, previous.low)
            high = max(high, previous.high)
        by_shard[shard] = ObservedVersions(low, high, now)
        if previous is None or (previous.low, previous.high) != (low, high):
            self._cached_choices.clear()

    def remove_replica(self, replica: names.ReplicaId) -> None:
        """Discard the observations of a replica that was removed."""
        if self._observed_versions.pop(replica, None) is not None:
            self._cached_choices.clear()

    def get_hold_state(
        self,
        replica: names.ReplicaId,
        shard: names.ShardId,
        version: names.IndexVersion,
        now: float,
    ) -> HoldState:
        """Return whether a replica holds a version of a shard, as far as is known."""
        observed = self._observed_versions.get(replica, {}).get(shard)
        if observed is None:
            return HoldState.MAYBE
        return observed.get_hold_state(version, now)

    def list_holders(
        self,
        candidates: tuple[names.ReplicaId, ...],
        shard: names.ShardId,
        snapshot: names.SnapshotId,
        now: float,
    ) -> tuple[names.ReplicaId, ...]:
        """Return the candidates that may hold a snapshot, or all if none may.

        Replicas without a recent observation are included, because only a request
        to them shows what they hold.
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
        usable_replicas: UsableReplicas,
        not_older_than: names.SnapshotId | None,
        now: float,
    ) -> SnapshotChoice | NoSnapshot:
        """Choose the newest version that has a usable replica for every shard.

        Versions that are known to be held are preferred over versions that may be
        held. If every version has missing shards, the one with the fewest is chosen.
        """
        if not self._snapshots:
            return NoSnapshot(NoSnapshotReason.NONE_KNOWN)
        min_version = 0 if not_older_than is None else not_older_than.version
        key = (services, min_version)
        cached = self._cached_choices.get(key)
        if cached is not None and now - cached[0] < CHOICE_CACHE_TTL_S:
            return cached[1]
        choice = self._select_snapshot(services, usable_replicas, min_version, now)
        if isinstance(choice, SnapshotChoice):
            if len(self._cached_choices) >= MAX_CACHED_CHOICES:
                self._cached_choices.clear()
            self._cached_choices[key] = (now, choice)
        return choice

    def _select_snapshot(
        self,
        services: tuple[names.ServiceId, ...],
        usable_replicas: UsableReplicas,
        min_version: int,
        now: float,
    ) -> SnapshotChoice | NoSnapshot:
        newest_first = [
            self._snapshots[v] for v in sorted(self._snapshots, reverse=True)
        ]
        recent_enough = [
            snapshot for snapshot in newest_first if snapshot.id.version >= min_version
        ]
        if not recent_enough:
            return NoSnapshot(NoSnapshotReason.TOO_OLD)
        candidates = [
            s for s in recent_enough if all(map(s.partitions.__contains__, services))
        ]
        if not candidates:
            return NoSnapshot(NoSnapshotReason.UNKNOWN_SERVICE)
        best_choice: SnapshotChoice | None = None
        for snapshot in candidates:
            shards = tuple(
                itertools.chain.from_iterable(map(snapshot.shards, services))
            )
            hold_states = [
                self._get_best_hold_state(snapshot, s, usable_replicas, now)
                for s in shards
            ]
            if all(state is HoldState.YES for state in hold_states):
                return SnapshotChoice(snapshot)
            missing_shards = tuple(
                shard
                for shard, state in zip(shards, hold_states, strict=True)
                if state is HoldState.NO
            )
            if best_choice is None or len(missing_shards) < len(
                best_choice.missing_shards
            ):
                best_choice = SnapshotChoice(snapshot, missing_shards)
        return best_choice

    def _get_best_hold_state(
        self,
        snapshot: Snapshot,
        shard: names.ShardId,
        usable_replicas: UsableReplicas,
        now: float,
    ) -> HoldState:
        best_state = HoldState.NO
        for replica in usable_replicas(shard):
            state = self.get_hold_state(replica, shard, snapshot.id.version, now)
            if state is HoldState.YES:
                return state
            if state is HoldState.MAYBE:
                best_state = state
        return best_state


def add_to_catalogs(
    catalogs: dict[names.FleetName, Catalog], snapshot: Snapshot
) -> None:
    """Add a snapshot to the catalog of its fleet; create the catalog if needed."""
    fleet = snapshot.id.fleet
    catalogs.setdefault(fleet, Catalog(fleet)).add_snapshots((snapshot,))
