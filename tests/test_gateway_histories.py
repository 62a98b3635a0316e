"""Hosts that follow the store among faults, in virtual time.

Pattern: a reply that is lost, late, old or under way, and then a second fault while the
host makes up for the first.
"""

import contextlib

import pytest

from benchmarks.histories import links, machine, site, virtual_hub

START_S = 8.0
# Enough for each fault and the calm after it.
CALM_S = 12.0


@contextlib.contextmanager
def run_site(shape, seed=1):
    with virtual_hub.use_hub() as hub:
        started = site.Site(shape, seed, hub)
        try:
            hub.let_pass(START_S)
            yield started, hub
            hub.let_pass(CALM_S)
        finally:
            started.stop()
    assert started.findings == []


@pytest.mark.parametrize("shape", site.SHAPES)
def test_changes_apply_in_time_while_nothing_else_happens(shape):
    with run_site(shape) as (started, hub):
        for _ in range(6):
            started.publish()
            hub.let_pass(1.7)


# Guards against hosts behind an aggregator with a narrow link that are late after a
# series of great configurations.
def test_series_of_great_configurations_applies_in_time_behind_a_narrow_link():
    with run_site(site.NARROW) as (started, hub):
        for _ in range(4):
            started.publish(is_great=True)
            hub.let_pass(0.3)


# Guards against a read of all keys that waits for a lost reply as long as a change may
# take.
def test_change_applies_in_time_though_history_and_the_reply_after_it_are_lost():
    with run_site(site.SMALL) as (started, hub):
        started.publish()
        hub.let_pass(0.05)
        started.publish()
        started.drop_history(0.0)
        started.slow_down(5.0)
        # After the reply to the watch that follows the batch delay.
        hub.let_pass(1.3)
        for host in started.hosts:
            started.lose_replies(host, 0.4)


def test_histories_hold():
    machine.play(seed=58, examples=100, steps=15)


# Guards against a host that takes a stale read for the word that nothing has changed.
@pytest.mark.parametrize("shape", [site.SMALL, site.GROWN])
def test_change_whose_reply_is_lost_applies_in_time_while_stale_reads_are_old(shape):
    with run_site(shape) as (started, hub):
        started.age_stale_reads(5.5, for_s=12.0)
        hub.let_pass(0.5)
        started.lose_replies(started.hosts[0], 0.1)
        hub.let_pass(0.05)
        started.publish()
        hub.let_pass(0.9)
        started.publish()


def publish_series(started, hub, count=3, gap_s=0.4):
    for _ in range(count):
        started.publish()
        hub.let_pass(gap_s)


# Guards against a process that takes what it finds at its thaw for the present state.
@pytest.mark.parametrize("shape", [site.SMALL, site.GROWN])
def test_hosts_follow_a_series_after_a_freeze(shape):
    with run_site(shape) as (started, hub):
        for host in started.hosts:
            started.freeze(host, 3.0)
        publish_series(started, hub)
        hub.let_pass(2.0)
        publish_series(started, hub)


# Guards against hosts that are late because the aggregators they watch stand still.
def test_hosts_are_in_time_while_both_aggregators_are_frozen():
    with run_site(site.GROWN) as (started, hub):
        for host in started.hosts[:2]:
            started.freeze(host, 8.0)
        publish_series(started, hub)


def test_hosts_are_in_time_while_the_store_turns_both_aggregators_away():
    with run_site(site.GROWN) as (started, hub):
        for host in started.hosts[:2]:
            started.cut(host, links.Trouble.BUSY, 9.0)
        publish_series(started, hub)


def test_half_of_the_hosts_follow_a_series_after_the_store_turned_them_away():
    with run_site(site.GROWN) as (started, hub):
        for host in started.hosts[::2]:
            started.cut(host, links.Trouble.RESET, 6.0)
        publish_series(started, hub, count=5, gap_s=1.5)


def test_hosts_that_start_or_reload_follow_a_series_though_stale_reads_are_old():
    with run_site(site.GROWN) as (started, hub):
        started.age_stale_reads(5.5, for_s=12.0)
        publish_series(started, hub)
        started.restart(started.hosts[3], 0.3)
        started.reload(started.hosts[4])
        publish_series(started, hub)


# Guards against a host that goes back to the version of the copy.
@pytest.mark.parametrize("shape", [site.SMALL, site.GROWN])
def test_no_host_goes_back_when_the_store_is_restored(shape):
    with run_site(shape) as (started, hub):
        publish_series(started, hub)
        started.restore_store(2.0)
        publish_series(started, hub)


def test_hosts_keep_the_version_in_force_while_an_invalid_one_stands_in_its_place():
    with run_site(site.GROWN) as (started, hub):
        for kind in range(len(site.INVALID_VALUES)):
            started.publish_invalid(kind)
            hub.let_pass(1.0)


def record_history():
    """Return the records of hosts that wake each other in many ways."""
    with run_site(site.GROWN) as (started, hub):
        publish_series(started, hub)
        started.drop_history(0.0)
        started.cut(started.hosts[4], links.Trouble.RESET, 1.0)
        publish_series(started, hub)
        started.restore_store(1.0)
    return [line for host in started.hosts for line in host.list_records()]


# Guards against a seed that finds a fault once and not again.
def test_history_repeats():
    assert record_history() == record_history()
