"""Which connections end when all callers together take too much."""

import itertools

import hypothesis
import pytest
from hypothesis import strategies

from corianderrill.gateway import caller_resources as resources

LIMIT_BYTES = 1_000_000
REASONS = resources.Reason
STAGES = resources.Stage


class Connection:
    def __init__(self):
        self.evictions = []

    def evict(self, reason):
        self.evictions.append(reason)


class ConnectionGroup:
    """Connections with a common limit; `evicted` numbers those that ended."""

    def __init__(self, max_connections=100, min_limit_bytes=0):
        self.records = []
        self.memory = resources.BufferMemory(
            LIMIT_BYTES,
            lambda: min_limit_bytes,
            lambda *record: self.records.append(record),
        )
        self.slots = resources.ConnectionSlots(max_connections, self.memory)
        self.holders = []

    def open(self, stage=STAGES.READING, since=0.0, now=100.0, requests=0):
        holder = resources.Holder(Connection(), now)
        self.slots.open(holder, now)
        holder.stage, holder.since, holder.requests = stage, since, requests
        self.holders.append(holder)
        return holder

    @property
    def evicted(self):
        return [
            number
            for number, holder in enumerate(self.holders)
            if holder.connection.evictions
        ]


def test_connection_that_holds_most_ends_when_memory_runs_short():
    group = ConnectionGroup()
    for count in (300_000, 600_000, 200_000):
        group.memory.hold(group.open(), count)
    assert group.evicted == [1]
    assert group.holders[1].connection.evictions == [REASONS.MEMORY]
    assert group.records == [(REASONS.MEMORY, STAGES.READING, 600_000)]
    assert group.memory.charged_bytes < LIMIT_BYTES


# Guards against an unsafe request that is cut off while it may run.
def test_request_that_is_being_served_does_not_end():
    group = ConnectionGroup()
    group.memory.hold(group.open(STAGES.SERVING), 900_000)
    group.memory.hold(group.open(), 300_000)
    assert group.evicted == [1]


# Guards against small requests that are refused while large ones fill the memory.
def test_small_request_is_read_while_served_ones_fill_the_memory():
    group = ConnectionGroup()
    group.memory.hold(group.open(STAGES.SERVING), 2 * LIMIT_BYTES)
    group.memory.hold(group.open(), resources.FREE_BYTES)
    assert group.evicted == []


# Guards against a host whose share is less than one request that it has to serve.
def test_greatest_request_fits_whatever_the_limit():
    group = ConnectionGroup(min_limit_bytes=3 * LIMIT_BYTES)
    group.memory.hold(group.open(), 3 * LIMIT_BYTES)
    assert group.evicted == []


# Guards against an answer that can never be sent, as it is greater than the share.
def test_only_connection_that_holds_much_does_not_end():
    group = ConnectionGroup()
    group.memory.hold(group.open(), resources.FREE_BYTES)
    group.memory.hold(group.open(STAGES.WRITING), 3 * LIMIT_BYTES)
    assert group.evicted == []
    group.memory.hold(group.open(), 2 * resources.FREE_BYTES)
    assert group.evicted == [1]


def test_closed_connections_give_their_bytes_back():
    group = ConnectionGroup()
    for _ in range(10):
        holder = group.open()
        group.memory.hold(holder, 900_000)
        group.slots.close(holder)
    assert group.evicted == []
    assert group.memory.charged_bytes == 0


@pytest.mark.parametrize(
    ("others", "victim"),
    [
        ([(STAGES.IDLE, 10.0, 5), (STAGES.IDLE, 20.0, 0)], 1),
        ([(STAGES.IDLE, 20.0, 0), (STAGES.IDLE, 10.0, 0)], 1),
        ([(STAGES.READING, 10.0, 0), (STAGES.IDLE, 20.0, 5)], 1),
        ([(STAGES.WRITING, 10.0, 0), (STAGES.READING, 20.0, 0)], 1),
        ([(STAGES.WRITING, 10.0, 0), (STAGES.SERVING, 1.0, 0)], 0),
        ([(STAGES.WRITING, 99.9, 0), (STAGES.SERVING, 1.0, 0)], 2),
    ],
    ids=["new", "oldest", "kept", "reading", "stalled", "none"],
)
def test_new_connection_displaces_the_one_that_is_needed_least(others, victim):
    group = ConnectionGroup(max_connections=2)
    for stage, since, requests in others:
        group.open(stage, since, requests=requests)
    group.open()
    assert group.evicted == [victim]


@pytest.mark.parametrize(
    ("memory_bytes", "descriptors", "expected"),
    [
        (None, None, (100_000_000, 3_000, 3_000)),
        (152_000_000, None, (19_000_000, 579, 579)),
        (552_000_000, 1_024, (69_000_000, 512, 128)),
        (100_000_000, 60, (12_500_000, 30, 7)),
        (1_000, 1, (125, 1, 1)),
    ],
)
def test_limits_follow_from_those_of_the_process(memory_bytes, descriptors, expected):
    limits = resources.derive_limits(memory_bytes, descriptors)
    assert expected == (
        limits.max_buffer_bytes,
        limits.max_caller_connections,
        limits.max_host_connections,
    )


OPERATIONS = strategies.tuples(
    strategies.sampled_from(("open", "hold", "close", *STAGES)),
    strategies.integers(0, 20),
    strategies.integers(0, 2 * LIMIT_BYTES),
)


# Guards against a sum that drifts, after which hosts end sound connections or none.
@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(strategies.lists(OPERATIONS, max_size=60))
def test_sum_is_that_of_the_connections_and_within_the_limit(operations):
    group = ConnectionGroup(max_connections=8)
    clock = itertools.count(200)
    closed = set()
    for operation, number, count in operations:
        if operation == "open" or not group.holders:
            group.open(STAGES.IDLE, now=float(next(clock)))
            continue
        holder = group.holders[number % len(group.holders)]
        if holder in closed:
            continue
        if operation == "close":
            group.slots.close(holder)
            closed.add(holder)
        elif operation == "hold":
            group.memory.hold(holder, count)
        else:
            holder.stage = operation
    alive = [
        holder
        for holder in group.holders
        if holder not in closed and holder.evicted_for is None
    ]
    assert group.memory.charged_bytes == sum(h.charged_bytes for h in alive)
    assert len(alive) <= 8
    assert all(len(h.connection.evictions) <= 1 for h in group.holders)
    reading = [h for h in alive if h.stage is STAGES.READING]
    if operations and operations[-1][0] == "hold" and reading:
        served = sum(h.charged_bytes for h in alive if h.stage is STAGES.SERVING)
        largest = max(h.charged_bytes for h in alive)
        assert group.memory.charged_bytes <= max(LIMIT_BYTES, served, largest)
