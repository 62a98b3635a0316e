"""Which hosts are aggregators, and which one a host uses."""

import random

from corianderrill import names
from corianderrill.gateway import aggregators
from tests.utils import gateway_builders as builders

OTHER_ZONE = names.ZoneName("zone-b")


def build_aggregator(host="front-2", slot=0, zone=builders.ZONE, cores=1.0):
    key = aggregators.SlotKey(zone, aggregators.Slot(slot))
    address = names.Address("10.0.0.2", 7420 + slot)
    return aggregators.Aggregator(key, names.HostName(host), address, cores)


def build_directory(*known):
    directory = builders.build_aggregator_directory()
    for aggregator in known:
        directory.apply(aggregator.key, aggregator, 5)
    return directory


def select(directory, now=0.0, zone=builders.ZONE):
    return directory.select(zone, now, random.Random(1))


def test_older_change_of_a_slot_is_ignored():
    holder = build_aggregator()
    directory = build_directory(holder)
    assert not directory.apply(holder.key, None, 4)
    assert select(directory) == holder
    assert directory.apply(holder.key, None, 6)
    assert select(directory) is None


def test_aggregator_with_the_most_capacity_is_used():
    small, large = build_aggregator("a", 0, cores=0.5), build_aggregator("b", 1)
    assert select(build_directory(small, large)) == large


def test_aggregator_of_another_zone_is_not_used():
    assert select(build_directory(build_aggregator(zone=OTHER_ZONE))) is None


def test_host_uses_itself_neither_as_aggregator_nor_as_relay():
    own = build_aggregator("front-1")
    directory = build_directory(own, build_aggregator("front-2", 1))
    assert directory.is_aggregator()
    assert select(directory).host == "front-2"
    assert directory.select_relay(builders.ZONE, 0.0, random.Random(1)) is None


def test_failed_aggregator_is_left_alone_for_twice_as_long_each_time():
    holder = build_aggregator()
    directory = build_directory(holder)
    directory.record_failure(holder, 0.0)
    assert select(directory, 0.9) is None
    assert select(directory, 1.1) == holder
    directory.record_failure(holder, 1.1)
    assert select(directory, 3.0) is None
    assert select(directory, 3.2) == holder
    directory.record_success(holder)
    directory.record_failure(holder, 4.0)
    assert select(directory, 5.1) == holder


def test_aggregator_that_fails_as_relay_still_gets_queries():
    holder = build_aggregator()
    directory = build_directory(holder)
    directory.record_relay_failure(holder, 0.0)
    assert directory.select_relay(builders.ZONE, 0.5, random.Random(1)) is None
    assert select(directory, 0.5) == holder


# Guards against an aggregator that all hosts of its zone keep watching after the other
# one was away, and against hosts that change theirs with each watch.
def test_relay_stays_the_same_for_a_while_and_is_then_chosen_anew():
    directory = build_directory(build_aggregator("a"), build_aggregator("b", 1))
    rng = random.Random(1)
    first = directory.select_relay(builders.ZONE, 0.0, rng)
    kept = {directory.select_relay(builders.ZONE, 0.1 * n, rng) for n in range(200)}
    assert kept == {first}
    directory.record_relay_failure(first, 20.0)
    other = directory.select_relay(builders.ZONE, 20.0, rng)
    assert other not in (first, None)
    later = range(1, 20)
    chosen = {
        directory.select_relay(builders.ZONE, 20.0 + n * aggregators.RELAY_TERM_S, rng)
        for n in later
    }
    assert chosen == {first, other}


def test_slots_that_nobody_holds_are_vacant():
    directory = build_directory(build_aggregator(slot=0))
    assert [key.slot for key in directory.list_vacant(builders.ZONE)] == [1]
    assert len(directory.list_vacant(OTHER_ZONE)) == aggregators.SLOTS_PER_ZONE
