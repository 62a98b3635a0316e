import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corianderrill import catalog, findings
from tests.utils import domain_builders as build


def build_catalog(*versions, shards=4):
    fleet_catalog = catalog.Catalog(build.FLEET)
    fleet_catalog.add_snapshots(
        build.build_snapshot(version, shards=shards) for version in versions
    )
    return fleet_catalog


def record_all(fleet_catalog, version_ranges, now=0.0):
    for (host, shard), (low, high) in version_ranges.items():
        replica = build.build_replica(host)
        fleet_catalog.record_held_versions(
            replica, build.build_shard(shard), low, high, now
        )


def list_replicas(shard):
    return [build.build_replica(f"{shard.name}-{zone}") for zone in "ab"]


def choose(fleet_catalog, not_older_than=None, now=0.0, usable_replicas=list_replicas):
    services = (build.build_service(),)
    return fleet_catalog.choose_snapshot(services, usable_replicas, not_older_than, now)


@given(st.text(), st.integers(1, 40))
def test_each_key_belongs_to_exactly_one_shard(key, shards):
    snapshot = build.build_snapshot(shards=shards)
    service = build.build_service()
    key_hash = catalog.hash_key(key)
    holders = [
        p.shard for p in snapshot.partitions[service] if p.low <= key_hash < p.high
    ]
    assert holders == [snapshot.shard_of(service, key)]


def test_valid_partition_map_has_no_findings():
    assert catalog.check_snapshot(build.build_snapshot(shards=25)) == ()


@pytest.mark.parametrize(
    ("position", "low", "high", "message"),
    [
        (0, 5, None, "gap from 0 to 5"),
        (1, 3, None, "overlaps"),
        (3, None, 2**32 - 1, "last range ends at"),
        (2, 9, 9, "empty range"),
    ],
)
def test_invalid_partition_map_has_findings(position, low, high, message):
    snapshot = build.build_snapshot(shards=4)
    service = build.build_service()
    ranges = list(snapshot.partitions[service])
    changes = {k: v for k, v in (("low", low), ("high", high)) if v is not None}
    ranges[position] = dataclasses.replace(ranges[position], **changes)
    invalid = catalog.Snapshot(snapshot.id, {service: tuple(ranges)})
    found = catalog.check_snapshot(invalid)
    assert any(message in finding.message for finding in found)


def test_shard_of_another_service_and_duplicate_shard_are_found():
    service = build.build_service()
    other_service = build.build_partitions(build.build_service("other"), 2)
    half = catalog.HASH_SPACE // 2
    duplicate = (
        catalog.Partition(build.build_shard("s0"), 0, half),
        catalog.Partition(build.build_shard("s0"), half, catalog.HASH_SPACE),
    )
    for ranges, count in ((other_service, 2), (duplicate, 1)):
        invalid = catalog.Snapshot(build.build_snapshot_id(), {service: ranges})
        assert len(catalog.check_snapshot(invalid)) == count


def test_catalog_value_round_trips():
    snapshots = tuple(build.build_snapshot(v, shards=3) for v in (7, 8))
    value = catalog.encode_catalog(build.FLEET, snapshots)
    assert catalog.decode_catalog(value) == snapshots


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_are_rejected(value):
    decoded = catalog.decode_catalog(value)
    assert isinstance(decoded, (tuple, findings.Rejected))


def test_value_with_a_gap_is_rejected_with_findings():
    value = b'{"fleet":"f","snapshots":[{"version":1,"services":{"x":[["s",1,9]]}}]}'
    rejected = catalog.decode_catalog(value)
    assert isinstance(rejected, findings.Rejected)
    assert len(rejected.findings) == 2


def test_different_map_for_a_known_version_is_counted_and_ignored():
    fleet_catalog = build_catalog(7)
    assert not fleet_catalog.add_snapshots([build.build_snapshot(7, shards=5)])
    assert fleet_catalog.rejected_snapshots == 1
    assert len(fleet_catalog.newest.shards(build.build_service())) == 4


def test_snapshot_of_another_fleet_is_counted_and_ignored():
    fleet_catalog = catalog.Catalog(build.FLEET)
    assert not fleet_catalog.add_snapshots(
        [build.build_snapshot(7, fleet="rongitoitlus")]
    )
    assert fleet_catalog.rejected_snapshots == 1


def test_only_the_latest_versions_are_kept_and_older_ones_are_ignored():
    fleet_catalog = build_catalog(*range(1, 20))
    assert not fleet_catalog.add_snapshots([build.build_snapshot(1)])
    assert fleet_catalog.get(build.build_snapshot_id(1)) is None
    assert fleet_catalog.get(build.build_snapshot_id(19)) is not None


def test_newest_version_held_for_every_shard_is_chosen():
    fleet_catalog = build_catalog(6, 7, 8, shards=2)
    record_all(
        fleet_catalog,
        {
            ("s0-a", "s0"): (5, 8),
            ("s0-b", "s0"): (5, 6),
            ("s1-a", "s1"): (5, 6),
            ("s1-b", "s1"): (6, 7),
        },
    )
    assert choose(fleet_catalog) == catalog.SnapshotChoice(
        fleet_catalog.get(build.build_snapshot_id(7))
    )


def test_version_known_to_be_held_is_preferred_over_a_newer_possible_one():
    fleet_catalog = build_catalog(7, 8, shards=2)
    record_all(fleet_catalog, {("s0-a", "s0"): (5, 7), ("s1-a", "s1"): (5, 7)})
    assert choose(fleet_catalog).snapshot.id.version == 7


def test_newest_version_is_chosen_if_no_held_versions_are_known():
    assert choose(build_catalog(7, 8)).snapshot.id.version == 8


def test_unusable_replica_is_ignored():
    fleet_catalog = build_catalog(7, 8, shards=2)
    ranges = {
        (f"s{i}-{z}", f"s{i}"): (5, 8 if z == "b" else 7) for i in (0, 1) for z in "ab"
    }
    record_all(fleet_catalog, ranges)
    choice = choose(
        fleet_catalog, usable_replicas=lambda shard: list_replicas(shard)[:1]
    )
    assert choice.snapshot.id.version == 7


def test_changed_held_versions_discard_the_cached_choice():
    fleet_catalog = build_catalog(7, 8, shards=1)
    record_all(fleet_catalog, {("s0-a", "s0"): (5, 8), ("s0-b", "s0"): (5, 7)})
    assert choose(fleet_catalog).snapshot.id.version == 8
    fleet_catalog.remove_replica(build.build_replica("s0-a"))
    fleet_catalog.record_held_versions(
        build.build_replica("s0-a"), build.build_shard("s0"), 5, 7, 0.0
    )
    assert choose(fleet_catalog).snapshot.id.version == 7


def test_outdated_observation_neither_proves_nor_excludes_newer_versions():
    fleet_catalog = build_catalog(7, 9, shards=1)
    record_all(fleet_catalog, {("s0-a", "s0"): (7, 8), ("s0-b", "s0"): (7, 8)})
    assert choose(fleet_catalog, now=0.1).snapshot.id.version == 7
    expired_at = catalog.MAX_OBSERVATION_AGE_S + 1
    assert choose(fleet_catalog, now=expired_at).snapshot.id.version == 9


def test_out_of_order_report_does_not_lower_the_held_versions():
    fleet_catalog = build_catalog(7, 8, shards=1)
    replica, shard = build.build_replica("s0-a"), build.build_shard("s0")
    fleet_catalog.record_held_versions(replica, shard, 6, 8, 0.0)
    fleet_catalog.record_held_versions(replica, shard, 5, 7, 0.1)
    assert fleet_catalog.get_hold_state(replica, shard, 8, 0.1) is catalog.HoldState.YES
    assert fleet_catalog.get_hold_state(replica, shard, 5, 0.1) is catalog.HoldState.NO


def test_missing_shard_is_reported_if_no_version_is_complete():
    fleet_catalog = build_catalog(7, 8, shards=2)

    def usable_replicas(shard):
        return [] if shard.name == "s1" else list_replicas(shard)

    choice = choose(fleet_catalog, usable_replicas=usable_replicas)
    assert choice.missing_shards == (build.build_shard("s1"),)


@pytest.mark.parametrize(
    ("fleet_catalog", "not_older_than", "reason"),
    [
        (catalog.Catalog(build.FLEET), None, catalog.NoSnapshotReason.NONE_KNOWN),
        (build_catalog(7), 8, catalog.NoSnapshotReason.TOO_OLD),
    ],
)
def test_no_snapshot_result_has_a_reason(fleet_catalog, not_older_than, reason):
    min_snapshot = not_older_than and build.build_snapshot_id(not_older_than)
    assert choose(fleet_catalog, min_snapshot) == catalog.NoSnapshot(reason)


def test_unknown_service_gives_a_reason():
    fleet_catalog = build_catalog(7)
    services = (build.build_service("unheard-of"),)
    reason = catalog.NoSnapshotReason.UNKNOWN_SERVICE
    choice = fleet_catalog.choose_snapshot(services, list_replicas, None, 0.0)
    assert choice == catalog.NoSnapshot(reason)


def test_holders_are_the_replicas_that_may_hold_the_snapshot():
    fleet_catalog = build_catalog(7, 8, shards=1)
    record_all(fleet_catalog, {("s0-a", "s0"): (5, 8), ("s0-b", "s0"): (5, 7)})
    shard, unobserved = build.build_shard("s0"), build.build_replica("s0-c")
    current, behind = list_replicas(shard)
    candidates = (current, behind, unobserved)

    def list_holders(version, now):
        return fleet_catalog.list_holders(
            candidates, shard, build.build_snapshot_id(version), now
        )

    assert list_holders(8, 0.0) == (current, unobserved)
    assert list_holders(7, 0.0) == candidates
    assert list_holders(8, catalog.MAX_OBSERVATION_AGE_S + 1) == candidates


def test_all_candidates_are_returned_if_none_may_hold_the_snapshot():
    fleet_catalog = build_catalog(7, 8, shards=1)
    record_all(fleet_catalog, {("s0-a", "s0"): (5, 7), ("s0-b", "s0"): (5, 7)})
    shard = build.build_shard("s0")
    candidates = tuple(list_replicas(shard))
    snapshot = build.build_snapshot_id(8)
    assert fleet_catalog.list_holders(candidates, shard, snapshot, 0.0) == candidates
