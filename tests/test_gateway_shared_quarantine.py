"""The bound on the crashes of one request, over all hosts together.

Pattern: the request comes at random hosts, which hear of each other's crashes late,
restart, or have no store for a while.
"""

import pytest

from corianderrill.gateway import crash_notes
from tests.utils import virtual_notes

SEEDS = range(5)
# What the platform allows later than `contact_s` after the third crash.
MAX_LATE_RUNS = 3
# Hosts, the longest time until one hears of a change, and `contact_s` of such sites.
SITES = [(9, 1.5, 4.0), (84, 3.0, 5.0), (195, 4.0, 6.0)]


@pytest.fixture(autouse=True)
def _no_sleep(monkeypatch):
    monkeypatch.setattr(crash_notes.eventlet, "sleep", lambda _seconds: None)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("hosts", "delay_s", "contact_s"), SITES)
def test_hosts_that_hear_late_keep_the_bound_together(hosts, delay_s, contact_s, seed):
    fleet = virtual_notes.Fleet(hosts, seed, delay_s)
    fleet.run(30.0)
    assert len(fleet.runs) > 2
    assert fleet.count_late_runs(contact_s) <= MAX_LATE_RUNS


@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_that_restart_in_turn_keep_the_bound(seed):
    fleet = virtual_notes.Fleet(9, seed, 1.5)
    fleet.run(40.0, restart_every_s=1.0)
    assert fleet.count_late_runs(4.0) <= MAX_LATE_RUNS


@pytest.mark.parametrize("seed", SEEDS)
def test_bound_holds_once_the_store_is_back(seed):
    away = (2.0, 9.0)
    fleet = virtual_notes.Fleet(9, seed, 1.5, away=[away])
    fleet.run(40.0)
    late_from = max(fleet.runs[2][0], away[1]) + 4.0
    late = [at for at, _ in fleet.runs if at > late_from]
    assert len(late) <= MAX_LATE_RUNS


@pytest.mark.parametrize("seed", SEEDS)
def test_host_without_a_store_crashes_no_more_than_one_arrival_does(seed):
    fleet = virtual_notes.Fleet(9, seed, 1.5, away=[(0.0, 30.0)])
    fleet.run(30.0)
    for host in fleet.hosts:
        runs = sum(other is host for _, other in fleet.runs)
        assert runs <= virtual_notes.MAX_ATTEMPTS


# The notes cost the store little, however often the request comes.
def test_calls_to_the_store_do_not_grow_with_the_arrivals():
    fleet = virtual_notes.Fleet(9, 1, 1.5)
    fleet.run(30.0, per_s=15.0)
    assert fleet.store.call_count < 60
