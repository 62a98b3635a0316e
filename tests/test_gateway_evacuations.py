"""Evacuated zones: what a host knows, and how replicas get requests again."""

import random

import pytest

from corianderrill import names
from corianderrill.gateway import evacuations
from tests.utils import gateway_builders as builders

ZONE = names.ZoneName("zone-b")


def build_returned(at=10.0):
    state = evacuations.Evacuations()
    state.apply(ZONE, True, 2, 0.0)
    state.apply(ZONE, False, 3, at)
    return state


def test_evacuated_zone_has_no_share_of_the_requests():
    state = evacuations.Evacuations()
    assert state.compute_share(ZONE, 0.0) == 1.0
    assert state.apply(ZONE, True, 2, 0.0)
    assert state.compute_share(ZONE, 1e6) == 0.0


# Guards against a return at once, when all hosts turn to idle replicas within a moment.
def test_share_of_a_returning_zone_grows_in_steps():
    state = build_returned(at=10.0)
    times = [10.0 + 0.1 * step for step in range(100)]
    shares = [state.compute_share(ZONE, now) for now in times]
    assert shares == sorted(shares)
    assert shares[0] <= 0.1
    assert len(set(shares)) >= 4
    assert state.compute_share(ZONE, 10.0 + evacuations.RETURN_S) == 1.0


@pytest.mark.parametrize(("since_s", "share"), [(1.0, 0.1), (5.0, 0.5), (9.0, 1.0)])
def test_as_many_requests_as_the_share_says_may_use_a_returning_zone(since_s, share):
    state, rng = build_returned(at=0.0), random.Random(1)
    draws = [state.draw_held_back(since_s, rng) for _ in range(4000)]
    free = sum(ZONE not in drawn for drawn in draws)
    assert free / len(draws) == pytest.approx(share, abs=0.03)


def test_zone_that_is_evacuated_again_during_its_return_gets_nothing():
    state = build_returned(at=10.0)
    assert state.apply(ZONE, True, 4, 11.0)
    assert state.compute_share(ZONE, 30.0) == 0.0
    assert not state.is_returning(ZONE)


def test_return_is_complete_after_its_steps_and_reported_once():
    state = build_returned(at=10.0)
    assert state.drop_returned(12.0) == []
    assert state.drop_returned(10.0 + evacuations.RETURN_S) == [ZONE]
    assert state.drop_returned(60.0) == []


def test_older_revision_of_an_era_changes_nothing():
    state = evacuations.Evacuations()
    state.apply(ZONE, True, 5, 0.0)
    assert not state.apply(ZONE, False, 4, 1.0)
    assert state.list_evacuated() == {ZONE}
    state.enter_era()
    assert state.list_evacuated() == {ZONE}
    assert state.apply(ZONE, False, 4, 1.0)
    assert state.list_evacuated() == set()


def test_zone_that_was_never_evacuated_has_no_return():
    state = evacuations.Evacuations()
    assert not state.apply(ZONE, False, 5, 0.0)
    assert state.draw_held_back(0.0, random.Random(1)) == frozenset()


def build_view(*zones):
    view = builders.build_view()
    for number, zone in enumerate(zones):
        registration = builders.build_registration(f"i-{number}", zone=zone)
        view.apply_registration(registration, 2 + number, 0.0)
    return view


def test_view_lists_no_replica_of_an_evacuated_zone():
    view = build_view("zone-a", "zone-b")
    assert builders.list_ready_ids(view) == ["i-0", "i-1"]
    view.apply_evacuation(ZONE, True, 9, 1.0)
    assert builders.list_ready_ids(view) == ["i-0"]
    assert [r.id for r in view.list_evacuated("shard-1", 1.0)] == ["i-1"]
    view.apply_evacuation(ZONE, False, 10, 2.0)
    assert builders.list_ready_ids(view) == ["i-0", "i-1"]


# Guards against replicas of the zone that register, or register anew, while it is
# evacuated.
def test_replica_that_registers_in_an_evacuated_zone_is_not_listed():
    view = build_view("zone-a")
    view.apply_evacuation(ZONE, True, 9, 1.0)
    for started_at_ms in (1, 2):
        registration = builders.build_registration(
            "i-1", zone="zone-b", started_at_ms=started_at_ms
        )
        view.apply_registration(registration, 10 + started_at_ms, 2.0)
        assert builders.list_ready_ids(view) == ["i-0"]


def test_draining_replica_of_an_evacuated_zone_is_no_fallback():
    view = build_view("zone-b")
    view.apply_removal("i-0", 5, 0.5)
    assert builders.list_fallback_ids(view, 1.0) == ["i-0"]
    (replica,) = view.list_fallback("shard-1", 1.0)
    view.apply_evacuation(ZONE, True, 9, 1.0)
    assert builders.list_fallback_ids(view, 1.0) == []
    assert not view.is_in_use(replica, 1.0)
