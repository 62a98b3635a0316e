"""When a request under which replicas crash is refused, tried and cleared."""

import itertools

import pytest

from corianderrill import names
from corianderrill.gateway import quarantine
from tests.utils import gateway_builders as builders

F = quarantine.Fingerprint("f0")
CLEAR = quarantine.Verdict.CLEAR
SUSPECTED = quarantine.Verdict.SUSPECTED
QUARANTINED = quarantine.Verdict.QUARANTINED


def build_crash(replica, arrival):
    return quarantine.Crash(f"i-{replica}/0", names.RequestId(f"q-{arrival}"))


def build_quarantine(*crashes, now=10.0):
    known = builders.build_quarantine()
    for replica, arrival in crashes:
        known.record_crash(F, build_crash(replica, arrival), now)
    return known


@pytest.mark.parametrize(
    ("crashes", "verdict"),
    [
        ([], CLEAR),
        ([(1, 1)], SUSPECTED),
        # A query over shards, whose replicas ended all at once.
        ([(1, 1), (2, 1), (3, 1), (4, 1)], SUSPECTED),
        ([(1, 1), (2, 1), (3, 2)], QUARANTINED),
        ([(1, 1), (2, 2), (3, 3)], QUARANTINED),
        # One replica whose end two requests met.
        ([(1, 1), (1, 2), (1, 3)], SUSPECTED),
    ],
)
def test_request_is_quarantined_after_three_replicas_in_two_arrivals(crashes, verdict):
    assert build_quarantine(*crashes).assess(F, is_store_known=True) is verdict


def test_host_without_a_store_sends_nothing_that_has_crashed_a_replica():
    assert build_quarantine((1, 1)).assess(F, is_store_known=False) is QUARANTINED
    assert build_quarantine().assess(F, is_store_known=False) is CLEAR


def test_crash_that_is_known_is_no_news():
    known = build_quarantine((1, 1))
    assert not known.record_crash(F, build_crash(1, 1), 11.0)


# Guards against a bound that each host keeps by itself only.
def test_crashes_that_hosts_note_add_up():
    first, second = build_quarantine((1, 1), (2, 1)), build_quarantine((3, 2))
    notes, _ = first.build_notes(F)
    second.apply_notes(F, notes, 7, 11.0)
    assert second.assess(F, is_store_known=True) is QUARANTINED
    assert second.list_unpublished(11.0) == [F]
    merged, revision = second.build_notes(F)
    assert revision == 7
    assert len(merged.crashes) == 3


def test_older_notes_are_ignored():
    known = build_quarantine()
    assert known.apply_notes(
        F, quarantine.Notes(frozenset({build_crash(1, 1)})), 7, 1.0
    )
    assert not known.apply_notes(F, None, 6, 2.0)
    assert not known.apply_notes(F, quarantine.Notes(), 7, 2.0)
    assert known.list_stored() == {F}


def test_reply_of_a_replica_clears_the_request_and_withdraws_its_notes():
    known = build_quarantine((1, 1), (2, 1), (3, 2))
    notes, _ = known.build_notes(F)
    known.apply_notes(F, notes, 7, 11.0)
    assert known.clear(F)
    assert known.assess(F, is_store_known=True) is CLEAR
    assert known.list_withdrawn() == [(F, 7)]
    assert not known.clear(F)


def test_removal_of_the_notes_clears_the_request_on_other_hosts():
    known = build_quarantine((1, 1), (2, 1), (3, 2))
    assert known.apply_notes(F, None, 9, 12.0)
    assert known.is_empty()
    assert not known.list_withdrawn()


def test_notes_are_written_again_when_a_restored_store_lacks_them():
    known = build_quarantine((1, 1))
    notes, _ = known.build_notes(F)
    known.apply_notes(F, notes, 70, 11.0)
    assert known.list_unpublished(11.0) == []
    known.enter_era(20.0)
    assert known.list_unpublished(20.0) == []
    assert known.list_unpublished(20.0 + quarantine.REPUBLISH_DELAY_S) == [F]
    known.apply_notes(F, notes, 5, 20.5)
    assert known.list_unpublished(30.0) == []


def test_quarantined_request_is_tried_after_growing_delays_and_then_no_more():
    known = build_quarantine((1, 1), (2, 1), (3, 2), now=10.0)
    now = 10.0
    for trials, delay_s in enumerate(quarantine.TRIAL_DELAYS_S):
        assert not known.is_trial_due(F, now + delay_s - 0.1)
        now += delay_s
        assert known.is_trial_due(F, now)
        notes, _ = known.build_notes(F, more_trials=1)
        assert notes.trials == trials + 1
        known.apply_notes(F, notes, 7 + trials, now)
        assert not known.is_trial_due(F, now)
    assert not known.is_trial_due(F, now + 10_000.0)


def test_late_crash_of_a_trial_puts_the_next_one_off():
    known = build_quarantine((1, 1), (2, 1), (3, 2), now=10.0)
    known.record_crash(F, build_crash(4, 3), 14.0)
    assert not known.is_trial_due(F, 18.0)
    assert known.is_trial_due(F, 19.0)


def test_suspicion_ends_without_news_and_a_quarantine_lasts_longer():
    suspected = build_quarantine((1, 1), now=0.0)
    quarantined = build_quarantine((1, 1), (2, 1), (3, 2), now=0.0)
    for known in (suspected, quarantined):
        known.expire(quarantine.SUSPICION_S)
    assert suspected.is_empty()
    assert not quarantined.is_empty()
    quarantined.expire(quarantine.QUARANTINE_S)
    assert quarantined.is_empty()


# Notes are removed by one host, not by all of them at once.
def test_notes_of_another_host_are_kept_for_longer():
    notes, _ = build_quarantine((1, 1)).build_notes(F)
    known = build_quarantine()
    known.apply_notes(F, notes, 7, 0.0)
    known.expire(quarantine.SUSPICION_S + 5.0)
    assert known.list_stored() == {F}
    known.expire(quarantine.SUSPICION_S + 1.2 * quarantine.FOREIGN_GRACE_S)
    assert known.list_withdrawn() == [(F, 7)]


def test_number_of_requests_is_bounded_and_the_oldest_is_dropped():
    known = builders.build_quarantine()
    fingerprints = [
        quarantine.Fingerprint(str(number))
        for number in range(quarantine.MAX_RECORDS + 1)
    ]
    for fingerprint in fingerprints:
        known.record_crash(fingerprint, build_crash(1, 1), 1.0)
    verdicts = [known.assess(f, is_store_known=True) for f in fingerprints]
    assert verdicts == [CLEAR, *itertools.repeat(SUSPECTED, quarantine.MAX_RECORDS)]


def test_first_crash_is_shared_after_a_delay_and_a_second_arrival_at_once():
    known = build_quarantine((1, 1), (2, 1), now=10.0)
    assert known.has_unpublished()
    assert known.list_unpublished(10.0) == []
    assert known.list_unpublished(10.0 + quarantine.PUBLISH_DELAY_S) == [F]
    known.record_crash(F, build_crash(3, 2), 10.1)
    assert known.list_unpublished(10.1) == [F]
