from corianderrill.gateway import replicas, view
from tests.utils import gateway_builders as builders

DRAINING = replicas.ReplicaState.DRAINING


def test_configuration_never_goes_back():
    belief = builders.build_view()
    belief.apply_configuration(builders.build_configuration(version=7))
    change = belief.apply_configuration(builders.build_configuration(version=5))
    assert change is view.Change.STALE
    assert belief.configuration.version == 7


def test_draining_replica_leaves_the_choice_at_once_and_is_spare_for_a_moment():
    belief = builders.build_view()
    belief.register(builders.build_registration(), 1, 0.0)
    belief.register(builders.build_registration(state=DRAINING), 2, 5.0)
    assert builders.list_ready_ids(belief) == []
    assert builders.list_spare_ids(belief, 5.0 + builders.SPARE_S - 0.1) == ["i-1"]
    assert builders.list_spare_ids(belief, 5.0 + builders.SPARE_S) == []


def test_entry_written_again_while_draining_does_not_lengthen_the_spare_time():
    belief = builders.build_view()
    belief.register(builders.build_registration(), 1, 0.0)
    for number in range(4):
        draining = builders.build_registration(state=DRAINING)
        belief.register(draining, 2 + number, 5.0 + number)
    assert builders.list_spare_ids(belief, 5.0 + builders.SPARE_S) == []


def test_entry_written_again_after_the_spare_time_does_not_bring_it_back():
    belief = builders.build_view()
    belief.register(builders.build_registration(), 1, 0.0)
    belief.register(builders.build_registration(state=DRAINING), 2, 5.0)
    belief.advance(7.0)
    belief.register(builders.build_registration(state=DRAINING), 3, 7.5)
    assert builders.list_spare_ids(belief, 7.6) == []
    belief.withdraw("i-1", 4, 8.0)
    belief.register(builders.build_registration(state=DRAINING), 5, 8.5)
    assert builders.list_spare_ids(belief, 8.6) == []


def test_draining_heard_after_an_outage_leaves_no_spare_time():
    belief = builders.build_view()
    belief.register(builders.build_registration(), 1, 0.0)
    belief.note_store_returned(10.0)
    belief.register(builders.build_registration(state=DRAINING), 2, 10.0)
    assert builders.list_spare_ids(belief, 10.0) == []


def test_removed_entry_leaves_the_choice_at_once():
    belief = builders.build_view()
    belief.register(builders.build_registration(), 1, 0.0)
    belief.withdraw("i-1", 2, 5.0)
    assert builders.list_ready_ids(belief) == []
    belief.advance(5.0 + builders.LAPSED_SPARE_S)
    assert belief.list_instances() == set()


def test_entry_that_went_without_a_word_is_spare_for_longer():
    """A zone that was cut off from the store is back before its entries are."""
    belief = builders.build_view()
    belief.register(builders.build_registration(), 1, 0.0)
    belief.withdraw("i-1", 2, 5.0)
    assert builders.list_spare_ids(belief, 5.0 + builders.SPARE_S) == ["i-1"]
    assert builders.list_spare_ids(belief, 5.0 + builders.LAPSED_SPARE_S) == []


def test_entry_removed_after_draining_is_spare_no_longer_for_that():
    belief = builders.build_view()
    belief.register(builders.build_registration(), 1, 0.0)
    belief.register(builders.build_registration(state=DRAINING), 2, 5.0)
    belief.withdraw("i-1", 3, 5.5)
    assert builders.list_spare_ids(belief, 5.0 + builders.SPARE_S) == []


def test_entry_that_lapsed_while_the_store_was_away_is_spare_until_it_is_back():
    belief = builders.build_view()
    belief.register(builders.build_registration(), 1, 0.0)
    belief.note_store_returned(10.0)
    assert belief.withdraw("i-1", 2, 10.1) is view.Change.SPARE
    assert builders.list_spare_ids(belief, 11.0) == ["i-1"]
    belief.register(builders.build_registration(), 3, 11.0)
    assert belief.advance(20.0) == []
    assert builders.list_ready_ids(belief) == ["i-1"]


def test_entry_still_missing_after_the_return_is_gone_without_more_spare_time():
    belief = builders.build_view()
    belief.register(builders.build_registration(), 1, 0.0)
    belief.note_store_returned(10.0)
    belief.withdraw("i-1", 2, 10.1)
    over = 10.0 + view.RETURN_GRACE_S
    assert builders.list_spare_ids(belief, over) == []
    assert belief.advance(over) == ["i-1"]


def test_replica_missing_after_an_outage_comes_after_those_that_are_registered():
    belief = builders.build_view()
    belief.register(builders.build_registration("i-1"), 1, 0.0)
    belief.register(builders.build_registration("i-2"), 2, 0.0)
    belief.note_store_returned(10.0)
    belief.withdraw("i-1", 3, 10.1)
    assert builders.list_ready_ids(belief) == ["i-2"]


def test_older_revision_of_an_entry_changes_nothing():
    belief = builders.build_view()
    belief.register(builders.build_registration(state=DRAINING), 9, 0.0)
    assert belief.register(builders.build_registration(), 8, 1.0) is view.Change.STALE
    assert builders.list_ready_ids(belief) == []


def test_removal_read_before_a_newer_registration_is_stale():
    belief = builders.build_view()
    belief.register(builders.build_registration(), 9, 0.0)
    assert belief.withdraw("i-1", 8, 1.0) is view.Change.STALE
    assert builders.list_ready_ids(belief) == ["i-1"]


def test_restart_under_the_same_id_forgets_what_was_seen_before():
    belief = builders.build_view()
    belief.register(builders.build_registration(started_at_ms=100), 1, 0.0)
    before = belief.list_ready("shard-1")[0]
    belief.register(builders.build_registration(started_at_ms=200), 2, 1.0)
    assert belief.list_ready("shard-1")[0] is not before


def test_entry_of_an_earlier_start_is_stale():
    belief = builders.build_view()
    belief.register(builders.build_registration(started_at_ms=200), 1, 0.0)
    change = belief.register(
        builders.build_registration(started_at_ms=100, state=DRAINING), 2, 1.0
    )
    assert change is view.Change.STALE
    assert builders.list_ready_ids(belief) == ["i-1"]


def test_heartbeat_that_changes_nothing_keeps_what_was_seen():
    belief = builders.build_view()
    belief.register(builders.build_registration(warmup_s=2.0), 1, 0.0)
    before = belief.list_ready("shard-1")[0]
    belief.register(builders.build_registration(), 2, 1.0)
    assert belief.list_ready("shard-1")[0] is before
