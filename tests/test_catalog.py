import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corianderrill import catalog, findings
from tests.utils import domain_builders as build


def apply_versions(*versions, shards=4):
    known = catalog.Catalog(build.FLEET)
    known.apply(build.build_snapshot(version, shards=shards) for version in versions)
    return known


def observe_all(known, version_ranges, now=0.0):
    for (host, shard), (low, high) in version_ranges.items():
        replica = build.build_replica(host)
        known.observe(replica, build.build_shard(shard), low, high, now)


def usable_by_name(shard):
    return [build.build_replica(f"{shard.name}-{zone}") for zone in "ab"]


def choose(known, not_older_than=None, now=0.0, usable=usable_by_name):
    services = (build.build_service(),)
    return known.choose_snapshot(services, usable, not_older_than, now)


@given(st.text(), st.integers(1, 40))
def test_each_key_lies_in_exactly_one_shard(key, shards):
    snapshot = build.build_snapshot(shards=shards)
    service = build.build_service()
    place = catalog.hash_key(key)
    holders = [p.shard for p in snapshot.partitions[service] if p.low <= place < p.high]
    assert holders == [snapshot.shard_of(service, key)]


def test_sound_partition_map_has_no_findings():
    assert catalog.check_snapshot(build.build_snapshot(shards=25)) == ()


@pytest.mark.parametrize(
    ("position", "low", "high", "message"),
    [
        (0, 5, None, "gap from 0 to 5"),
        (1, 3, None, "overlaps"),
        (3, None, 2**32 - 1, "end its last range"),
        (2, 9, 9, "empty range"),
    ],
)
def test_partition_map_faults_are_found(position, low, high, message):
    snapshot = build.build_snapshot(shards=4)
    service = build.build_service()
    ranges = list(snapshot.partitions[service])
    changes = {k: v for k, v in (("low", low), ("high", high)) if v is not None}
    ranges[position] = dataclasses.replace(ranges[position], **changes)
    broken = catalog.Snapshot(snapshot.id, {service: tuple(ranges)})
    found = catalog.check_snapshot(broken)
    assert any(message in finding.message for finding in found)


def test_shard_of_another_service_or_twice_is_found():
    service = build.build_service()
    foreign = build.build_partitions(build.build_service("other"), 2)
    half = catalog.HASH_SPACE // 2
    twice = (
        catalog.Partition(build.build_shard("s0"), 0, half),
        catalog.Partition(build.build_shard("s0"), half, catalog.HASH_SPACE),
    )
    for ranges, count in ((foreign, 2), (twice, 1)):
        broken = catalog.Snapshot(build.build_snapshot_id(), {service: ranges})
        assert len(catalog.check_snapshot(broken)) == count


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


def test_second_map_for_a_version_is_counted_and_ignored():
    known = apply_versions(7)
    assert not known.apply([build.build_snapshot(7, shards=5)])
    assert known.conflicts == 1
    assert len(known.newest.shards(build.build_service())) == 4


def test_snapshot_of_another_fleet_is_refused():
    known = catalog.Catalog(build.FLEET)
    assert not known.apply([build.build_snapshot(7, fleet="rongitoitlus")])
    assert known.conflicts == 1


def test_only_the_latest_versions_are_kept_and_older_ones_change_nothing():
    known = apply_versions(*range(1, 20))
    assert not known.apply([build.build_snapshot(1)])
    assert known.get(build.build_snapshot_id(1)) is None
    assert known.get(build.build_snapshot_id(19)) is not None


def test_newest_version_held_by_every_shard_is_chosen():
    known = apply_versions(6, 7, 8, shards=2)
    observe_all(
        known,
        {
            ("s0-a", "s0"): (5, 8),
            ("s0-b", "s0"): (5, 6),
            ("s1-a", "s1"): (5, 6),
            ("s1-b", "s1"): (6, 7),
        },
    )
    assert choose(known) == catalog.Chosen(known.get(build.build_snapshot_id(7)))


def test_seen_version_comes_before_a_newer_possible_one():
    known = apply_versions(7, 8, shards=2)
    observe_all(known, {("s0-a", "s0"): (5, 7), ("s1-a", "s1"): (5, 7)})
    assert choose(known).snapshot.id.version == 7


def test_newest_version_is_tried_where_nothing_was_seen():
    assert choose(apply_versions(7, 8)).snapshot.id.version == 8


def test_replica_that_is_not_usable_does_not_count():
    known = apply_versions(7, 8, shards=2)
    ranges = {
        (f"s{i}-{z}", f"s{i}"): (5, 8 if z == "b" else 7) for i in (0, 1) for z in "ab"
    }
    observe_all(known, ranges)
    only_a = choose(known, usable=lambda shard: usable_by_name(shard)[:1])
    assert only_a.snapshot.id.version == 7


def test_refusal_takes_effect_at_once():
    known = apply_versions(7, 8, shards=1)
    observe_all(known, {("s0-a", "s0"): (5, 8), ("s0-b", "s0"): (5, 7)})
    assert choose(known).snapshot.id.version == 8
    known.forget(build.build_replica("s0-a"))
    known.observe(build.build_replica("s0-a"), build.build_shard("s0"), 5, 7, 0.0)
    assert choose(known).snapshot.id.version == 7


def test_old_sighting_neither_proves_nor_excludes_newer_versions():
    known = apply_versions(7, 9, shards=1)
    observe_all(known, {("s0-a", "s0"): (7, 8), ("s0-b", "s0"): (7, 8)})
    assert choose(known, now=0.1).snapshot.id.version == 7
    later = catalog.HOLDING_FRESH_S + 1
    assert choose(known, now=later).snapshot.id.version == 9


def test_overtaken_report_does_not_lower_a_holding():
    known = apply_versions(7, 8, shards=1)
    replica, shard = build.build_replica("s0-a"), build.build_shard("s0")
    known.observe(replica, shard, 6, 8, 0.0)
    known.observe(replica, shard, 5, 7, 0.1)
    assert known.holds(replica, shard, 8, 0.1) is catalog.Holds.YES
    assert known.holds(replica, shard, 5, 0.1) is catalog.Holds.NO


def test_lost_shard_is_named_where_no_version_is_whole():
    known = apply_versions(7, 8, shards=2)

    def usable(shard):
        return [] if shard.name == "s1" else usable_by_name(shard)

    chosen = choose(known, usable=usable)
    assert chosen.lacking == (build.build_shard("s1"),)


@pytest.mark.parametrize(
    ("known", "not_older_than", "reason"),
    [
        (catalog.Catalog(build.FLEET), None, catalog.NoSnapshotReason.NONE_KNOWN),
        (apply_versions(7), 8, catalog.NoSnapshotReason.TOO_OLD),
    ],
)
def test_missing_snapshot_has_its_reason(known, not_older_than, reason):
    asked = not_older_than and build.build_snapshot_id(not_older_than)
    assert choose(known, asked) == catalog.NoSnapshot(reason)


def test_unknown_service_has_its_reason():
    known = apply_versions(7)
    services = (build.build_service("unheard-of"),)
    reason = catalog.NoSnapshotReason.UNKNOWN_SERVICE
    chosen = known.choose_snapshot(services, usable_by_name, None, 0.0)
    assert chosen == catalog.NoSnapshot(reason)


def test_holders_are_the_replicas_that_may_hold_the_snapshot():
    known = apply_versions(7, 8, shards=1)
    observe_all(known, {("s0-a", "s0"): (5, 8), ("s0-b", "s0"): (5, 7)})
    shard, unseen = build.build_shard("s0"), build.build_replica("s0-c")
    ready, behind = usable_by_name(shard)
    candidates = (ready, behind, unseen)

    def list_holders(version, now):
        return known.list_holders(
            candidates, shard, build.build_snapshot_id(version), now
        )

    assert list_holders(8, 0.0) == (ready, unseen)
    assert list_holders(7, 0.0) == candidates
    assert list_holders(8, catalog.HOLDING_FRESH_S + 1) == candidates


def test_all_replicas_are_candidates_where_none_may_hold_the_snapshot():
    known = apply_versions(7, 8, shards=1)
    observe_all(known, {("s0-a", "s0"): (5, 7), ("s0-b", "s0"): (5, 7)})
    shard = build.build_shard("s0")
    candidates = tuple(usable_by_name(shard))
    snapshot = build.build_snapshot_id(8)
    assert known.list_holders(candidates, shard, snapshot, 0.0) == candidates
