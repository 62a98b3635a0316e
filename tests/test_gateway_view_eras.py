"""A restored store whose entries of replicas may be older than what is known.

Pattern: the store comes back from a copy that is some seconds old. Its revisions begin
anew at a lower one, and the backend servers write their entries again.
"""

import pytest

from corianderrill.gateway import replicas, view
from tests.utils import gateway_builders as builders

DRAINING = replicas.ReplicaState.DRAINING
STARTED_AT_MS = 1_000
RESTORED_AT = 20.0


def build_registration(write_number, **changes):
    options = {"started_at_ms": STARTED_AT_MS, **changes}
    return builders.build_registration(write_number=write_number, **options)


@pytest.fixture
def host_view():
    """Return a view with one replica, its fourth write, at revision 100."""
    built = builders.build_view()
    built.apply_registration(build_registration(4), 100, 0.0)
    return built


def restore(host_view):
    host_view.record_store_recovery(RESTORED_AT)
    host_view.enter_era(RESTORED_AT)


def apply(host_view, registration, revision=50, now=RESTORED_AT):
    return host_view.apply_registration(registration, revision, now)


def test_write_of_the_new_era_is_applied_though_its_revision_is_lower(host_view):
    restore(host_view)
    assert apply(host_view, build_registration(5, state=DRAINING)) is (
        view.UpdateOutcome.APPLIED
    )
    assert builders.list_ready_ids(host_view) == []


def test_replica_that_drains_is_not_ready_again_by_its_older_entry(host_view):
    host_view.apply_registration(build_registration(5, state=DRAINING), 101, 10.0)
    restore(host_view)
    assert apply(host_view, build_registration(4)) is view.UpdateOutcome.STALE
    assert builders.list_ready_ids(host_view) == []
    assert apply(host_view, build_registration(4), 51) is view.UpdateOutcome.STALE


def test_replica_that_was_removed_is_not_ready_again_by_its_former_entry(host_view):
    host_view.apply_removal("i-1", 101, 10.0)
    host_view.drop_expired(19.0)
    restore(host_view)
    assert apply(host_view, build_registration(4)) is view.UpdateOutcome.STALE
    assert builders.list_ready_ids(host_view) == []


def test_replica_that_was_removed_is_ready_again_once_it_writes(host_view):
    host_view.apply_removal("i-1", 101, 10.0)
    restore(host_view)
    apply(host_view, build_registration(4))
    assert apply(host_view, build_registration(6), 51) is view.UpdateOutcome.APPLIED
    assert builders.list_ready_ids(host_view) == ["i-1"]


def test_replica_whose_entry_the_copy_holds_stays_ready(host_view):
    restore(host_view)
    apply(host_view, build_registration(4))
    assert builders.list_ready_ids(host_view) == ["i-1"]


def test_replica_that_the_copy_lacks_is_a_fallback_until_it_writes_again(host_view):
    restore(host_view)
    host_view.apply_removal("i-1", 50, RESTORED_AT)
    assert builders.list_fallback_ids(host_view, RESTORED_AT + 1.0) == ["i-1"]
    apply(host_view, build_registration(4), 51, RESTORED_AT + 1.0)
    assert builders.list_ready_ids(host_view) == ["i-1"]


def test_entry_of_an_earlier_process_is_older_whatever_it_counts(host_view):
    host_view.apply_registration(
        build_registration(1, started_at_ms=2_000, state=DRAINING), 101, 10.0
    )
    restore(host_view)
    assert apply(host_view, build_registration(9)) is view.UpdateOutcome.STALE


def test_entries_that_name_no_start_are_taken_as_they_come(host_view):
    restore(host_view)
    assert apply(host_view, build_registration(1, started_at_ms=None)) is (
        view.UpdateOutcome.APPLIED
    )


def test_lower_write_number_within_an_era_is_decided_by_the_revision(host_view):
    assert apply(host_view, build_registration(2, state=DRAINING), 101) is (
        view.UpdateOutcome.APPLIED
    )
