"""A stand-in for the builder of index versions of one fleet.

It adds a version at a time and may split, move or merge shards with it. Each row
names the version that it was read from in the field `index_version`, so that a
checker outside the product can see a mix of versions.
"""

import dataclasses
import random
import time

from corianderrill import attempts, catalog, names
from corianderrill.standins import deployments, records

KEPT_VERSIONS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class ShardContent:
    """What one shard holds at one version."""

    shard: names.ShardId
    version: names.IndexVersion
    rows: tuple[attempts.ReplyRow, ...]


class IndexBuilder:
    """Owns the rows, versions and partition maps of one fleet."""

    def __init__(self, deployment: deployments.Deployment, seed: int = 1):
        self.fleet = deployment.fleet
        self._rng = random.Random(f"{seed}/{deployment.fleet}/partitions")
        self._rows = {
            names.ServiceId(self.fleet, shape.name): records.make_rows(
                self.fleet, shape, seed
            )
            for shape in deployment.services
        }
        self._snapshots: dict[names.IndexVersion, catalog.Snapshot] = {}
        self._published: dict[names.IndexVersion, float] = {}
        self._contents: dict[
            tuple[names.IndexVersion, names.ShardId], ShardContent
        ] = {}
        self._add_snapshot(
            names.IndexVersion(1),
            {
                names.ServiceId(self.fleet, shape.name): _divide_evenly(
                    deployments.list_first_shards(self.fleet, shape)
                )
                for shape in deployment.services
            },
        )

    @property
    def newest(self) -> catalog.Snapshot:
        """The newest snapshot."""
        return self._snapshots[max(self._snapshots)]

    def list_snapshots(self) -> tuple[catalog.Snapshot, ...]:
        """Return the kept snapshots, oldest first."""
        return tuple(self._snapshots[version] for version in sorted(self._snapshots))

    def list_published(self, now: float) -> dict[names.IndexVersion, float]:
        """Return the age of each kept version, in seconds."""
        return {version: now - at for version, at in self._published.items()}

    def list_rows(self, service: names.ServiceId) -> tuple[records.IndexedRow, ...]:
        """Return the rows of a service, for a checker of whole answers."""
        return self._rows[service]

    def find_content(
        self, shard: names.ShardId, version: names.IndexVersion
    ) -> ShardContent | None:
        """Return what a shard holds at a version, or None where it is not part."""
        return self._contents.get((version, shard))

    def add_version(self, repartition: bool = False) -> catalog.Snapshot:
        """Publish the next version and drop the oldest past `KEPT_VERSIONS`."""
        newest = self.newest
        version = names.IndexVersion(newest.id.version + 1)
        partitions = dict(newest.partitions)
        if repartition:
            service = self._rng.choice(
                [name for name, parts in partitions.items() if len(parts) > 1]
            )
            change = self._rng.choice((_split, _merge, _move))
            partitions[service] = change(partitions[service], self._rng)
        snapshot = self._add_snapshot(version, partitions)
        self._drop_old()
        return snapshot

    def _add_snapshot(
        self,
        version: names.IndexVersion,
        partitions: dict[names.ServiceId, tuple[catalog.Partition, ...]],
    ) -> catalog.Snapshot:
        snapshot = catalog.Snapshot(names.SnapshotId(self.fleet, version), partitions)
        self._snapshots[version] = snapshot
        self._published[version] = time.monotonic()
        for service, parts in partitions.items():
            self._fill_contents(service, version, parts)
        return snapshot

    def _fill_contents(
        self,
        service: names.ServiceId,
        version: names.IndexVersion,
        parts: tuple[catalog.Partition, ...],
    ) -> None:
        hashed = [(catalog.hash_key(row.key), row) for row in self._rows[service]]
        for part in parts:
            rows = tuple(
                attempts.ReplyRow(row.key, {**row.fields, "index_version": version})
                for position, row in hashed
                if part.low <= position < part.high
            )
            content = ShardContent(part.shard, version, rows)
            self._contents[(version, part.shard)] = content

    def _drop_old(self) -> None:
        for version in sorted(self._snapshots)[:-KEPT_VERSIONS]:
            del self._snapshots[version]
            del self._published[version]
            for key in [key for key in self._contents if key[0] == version]:
                del self._contents[key]


def _divide_evenly(
    shards: tuple[names.ShardId, ...],
) -> tuple[catalog.Partition, ...]:
    bounds = [
        catalog.HASH_SPACE * number // len(shards) for number in range(len(shards) + 1)
    ]
    return tuple(
        catalog.Partition(shard, low, high)
        for shard, low, high in zip(shards, bounds, bounds[1:], strict=False)
    )


def _split(
    parts: tuple[catalog.Partition, ...], rng: random.Random
) -> tuple[catalog.Partition, ...]:
    """Give the upper half of one shard's range to its right neighbour.

    The stand-in keeps the number of shards, because a backend server serves one
    shard; ranges move between neighbours.
    """
    index = rng.randrange(len(parts) - 1)
    left, right = parts[index], parts[index + 1]
    middle = (left.low + left.high) // 2
    return _rebound(parts, index, middle, right.high)


def _merge(
    parts: tuple[catalog.Partition, ...], rng: random.Random
) -> tuple[catalog.Partition, ...]:
    """Give almost all of one shard's range to its left neighbour."""
    index = rng.randrange(len(parts) - 1)
    right = parts[index + 1]
    return _rebound(parts, index, right.high - 1, right.high)


def _move(
    parts: tuple[catalog.Partition, ...], rng: random.Random
) -> tuple[catalog.Partition, ...]:
    """Exchange the ranges of two shards."""
    first, second = rng.sample(range(len(parts)), 2)
    moved = list(parts)
    moved[first] = dataclasses.replace(parts[first], shard=parts[second].shard)
    moved[second] = dataclasses.replace(parts[second], shard=parts[first].shard)
    return tuple(moved)


def _rebound(
    parts: tuple[catalog.Partition, ...], index: int, middle: int, high: int
) -> tuple[catalog.Partition, ...]:
    left, right = parts[index], parts[index + 1]
    changed = list(parts)
    changed[index] = dataclasses.replace(left, high=middle)
    changed[index + 1] = dataclasses.replace(right, low=middle, high=high)
    return tuple(changed)
