"""The updates of a host's view: versions, revisions and fallback times."""

from corianderrill.gateway import replicas, view
from tests.utils import gateway_builders as builders

DRAINING = replicas.ReplicaState.DRAINING


def test_older_configuration_version_is_ignored():
    host_view = builders.build_view()
    host_view.apply_configuration(builders.build_configuration(version=7))
    outcome = host_view.apply_configuration(builders.build_configuration(version=5))
    assert outcome is view.UpdateOutcome.STALE
    assert host_view.configuration.version == 7


def test_draining_replica_is_no_longer_ready_and_is_a_fallback_for_a_limited_time():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(), 1, 0.0)
    host_view.apply_registration(builders.build_registration(state=DRAINING), 2, 5.0)
    assert builders.list_ready_ids(host_view) == []
    assert builders.list_fallback_ids(
        host_view, 5.0 + builders.DRAIN_FALLBACK_S - 0.1
    ) == ["i-1"]
    assert builders.list_fallback_ids(host_view, 5.0 + builders.DRAIN_FALLBACK_S) == []


def test_rewritten_draining_entry_does_not_extend_the_fallback_time():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(), 1, 0.0)
    for number in range(4):
        draining = builders.build_registration(state=DRAINING)
        host_view.apply_registration(draining, 2 + number, 5.0 + number)
    assert builders.list_fallback_ids(host_view, 5.0 + builders.DRAIN_FALLBACK_S) == []


def test_rewritten_draining_entry_does_not_restart_an_expired_fallback_time():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(), 1, 0.0)
    host_view.apply_registration(builders.build_registration(state=DRAINING), 2, 5.0)
    host_view.drop_expired(7.0)
    host_view.apply_registration(builders.build_registration(state=DRAINING), 3, 7.5)
    assert builders.list_fallback_ids(host_view, 7.6) == []
    host_view.apply_removal("i-1", 4, 8.0)
    host_view.apply_registration(builders.build_registration(state=DRAINING), 5, 8.5)
    assert builders.list_fallback_ids(host_view, 8.6) == []


def test_draining_entry_read_after_a_store_outage_gets_no_fallback_time():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(), 1, 0.0)
    host_view.record_store_recovery(10.0)
    host_view.apply_registration(builders.build_registration(state=DRAINING), 2, 10.0)
    assert builders.list_fallback_ids(host_view, 10.0) == []


def test_replica_with_a_removed_entry_is_not_ready_and_is_dropped_later():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(), 1, 0.0)
    host_view.apply_removal("i-1", 2, 5.0)
    assert builders.list_ready_ids(host_view) == []
    host_view.drop_expired(5.0 + builders.LAPSED_FALLBACK_S)
    assert host_view.list_replica_ids() == set()


def test_entry_removed_without_draining_has_the_longer_fallback_time():
    # After a zone was cut off from the store, its replicas are reachable again before
    # their entries are back.
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(), 1, 0.0)
    host_view.apply_removal("i-1", 2, 5.0)
    assert builders.list_fallback_ids(host_view, 5.0 + builders.DRAIN_FALLBACK_S) == [
        "i-1"
    ]
    assert builders.list_fallback_ids(host_view, 5.0 + builders.LAPSED_FALLBACK_S) == []


def test_removal_after_draining_does_not_extend_the_fallback_time():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(), 1, 0.0)
    host_view.apply_registration(builders.build_registration(state=DRAINING), 2, 5.0)
    host_view.apply_removal("i-1", 3, 5.5)
    assert builders.list_fallback_ids(host_view, 5.0 + builders.DRAIN_FALLBACK_S) == []


def test_entry_that_lapsed_in_a_store_outage_is_a_fallback_until_registered_again():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(), 1, 0.0)
    host_view.record_store_recovery(10.0)
    assert host_view.apply_removal("i-1", 2, 10.1) is view.UpdateOutcome.FALLBACK
    assert builders.list_fallback_ids(host_view, 11.0) == ["i-1"]
    host_view.apply_registration(builders.build_registration(), 3, 11.0)
    assert host_view.drop_expired(20.0) == []
    assert builders.list_ready_ids(host_view) == ["i-1"]


def test_entry_still_missing_after_the_recovery_grace_time_is_dropped():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(), 1, 0.0)
    host_view.record_store_recovery(10.0)
    host_view.apply_removal("i-1", 2, 10.1)
    expires_at = 10.0 + view.RECOVERY_GRACE_S
    assert builders.list_fallback_ids(host_view, expires_at) == []
    assert host_view.drop_expired(expires_at) == ["i-1"]


def test_replica_whose_entry_lapsed_in_a_store_outage_is_not_ready():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration("i-1"), 1, 0.0)
    host_view.apply_registration(builders.build_registration("i-2"), 2, 0.0)
    host_view.record_store_recovery(10.0)
    host_view.apply_removal("i-1", 3, 10.1)
    assert builders.list_ready_ids(host_view) == ["i-2"]


def test_entry_with_an_older_revision_is_stale():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(state=DRAINING), 9, 0.0)
    assert (
        host_view.apply_registration(builders.build_registration(), 8, 1.0)
        is view.UpdateOutcome.STALE
    )
    assert builders.list_ready_ids(host_view) == []


def test_removal_with_an_older_revision_is_stale():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(), 9, 0.0)
    assert host_view.apply_removal("i-1", 8, 1.0) is view.UpdateOutcome.STALE
    assert builders.list_ready_ids(host_view) == ["i-1"]


def test_restarted_replica_with_the_same_id_starts_without_statistics():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(started_at_ms=100), 1, 0.0)
    before = host_view.list_ready("shard-1")[0]
    host_view.apply_registration(builders.build_registration(started_at_ms=200), 2, 1.0)
    assert host_view.list_ready("shard-1")[0] is not before


def test_entry_of_an_earlier_process_start_is_stale():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(started_at_ms=200), 1, 0.0)
    outcome = host_view.apply_registration(
        builders.build_registration(started_at_ms=100, state=DRAINING), 2, 1.0
    )
    assert outcome is view.UpdateOutcome.STALE
    assert builders.list_ready_ids(host_view) == ["i-1"]


def test_entry_of_the_same_process_keeps_the_statistics():
    host_view = builders.build_view()
    host_view.apply_registration(builders.build_registration(warmup_s=2.0), 1, 0.0)
    before = host_view.list_ready("shard-1")[0]
    host_view.apply_registration(builders.build_registration(), 2, 1.0)
    assert host_view.list_ready("shard-1")[0] is before
