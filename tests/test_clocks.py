import hypothesis
from hypothesis import strategies

from corianderrill import clocks, messages
from tests.utils import timelines

HOST_COUNT = 3
delivery_strategy = strategies.tuples(
    strategies.integers(0, HOST_COUNT - 1),
    strategies.integers(0, HOST_COUNT - 1),
    strategies.integers(-50, 50),
)


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(strategies.lists(delivery_strategy, max_size=60))
def test_effect_has_a_higher_stamp_than_its_cause_when_wall_clocks_jump(deliveries):
    wall_clocks = [timelines.Wall() for _ in range(HOST_COUNT)]
    host_clocks = [clocks.HybridClock(wall_clock.read_ms) for wall_clock in wall_clocks]
    for sender, receiver, jump_ms in deliveries:
        wall_clocks[sender].now_ms += jump_ms
        before = host_clocks[receiver].last_stamp
        sent = host_clocks[sender].stamp()
        host_clocks[receiver].observe(sent)
        after = host_clocks[receiver].stamp()
        assert clocks.get_sort_key(after) > clocks.get_sort_key(sent)
        assert clocks.get_sort_key(after) > clocks.get_sort_key(before)


@hypothesis.settings(derandomize=True, max_examples=100)
@hypothesis.given(strategies.lists(delivery_strategy, max_size=60))
def test_stamp_is_never_ahead_of_the_highest_wall_clock_reading(deliveries):
    wall_clocks = [timelines.Wall() for _ in range(HOST_COUNT)]
    host_clocks = [clocks.HybridClock(wall_clock.read_ms) for wall_clock in wall_clocks]
    highest_ms = wall_clocks[0].now_ms
    for sender, receiver, jump_ms in deliveries:
        wall_clocks[sender].now_ms += jump_ms
        highest_ms = max(highest_ms, wall_clocks[sender].now_ms)
        host_clocks[receiver].observe(host_clocks[sender].stamp())
        assert host_clocks[receiver].last_stamp.wall_ms <= highest_ms


def test_stamp_too_far_ahead_of_the_wall_clock_is_not_merged():
    wall_clock = timelines.Wall()
    clock = clocks.HybridClock(wall_clock.read_ms)
    ahead_ms = wall_clock.now_ms + clocks.MAX_AHEAD_MS
    clock.observe(messages.Stamp(ahead_ms + 1, 0))
    assert (clock.last_stamp, clock.rejected_count) == (messages.Stamp(), 1)
    clock.observe(messages.Stamp(ahead_ms, 4))
    assert (clock.last_stamp, clock.rejected_count) == (messages.Stamp(ahead_ms, 5), 1)
