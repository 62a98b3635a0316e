import hypothesis
from hypothesis import strategies

from corianderrill import clocks, messages
from tests.utils import timelines

HOSTS = 3
steps = strategies.tuples(
    strategies.integers(0, HOSTS - 1),
    strategies.integers(0, HOSTS - 1),
    strategies.integers(-50, 50),
)


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(strategies.lists(steps, max_size=60))
def test_effect_is_stamped_after_its_cause_however_wall_clocks_jump(exchange):
    walls = [timelines.Wall() for _ in range(HOSTS)]
    hosts = [clocks.HybridClock(wall.read_ms) for wall in walls]
    for sender, receiver, jump_ms in exchange:
        walls[sender].now_ms += jump_ms
        before = hosts[receiver].last
        sent = hosts[sender].stamp()
        hosts[receiver].observe(sent)
        after = hosts[receiver].stamp()
        assert clocks.get_sort_key(after) > clocks.get_sort_key(sent)
        assert clocks.get_sort_key(after) > clocks.get_sort_key(before)


@hypothesis.settings(derandomize=True, max_examples=100)
@hypothesis.given(strategies.lists(steps, max_size=60))
def test_stamp_is_never_ahead_of_every_wall_clock_that_was_read(exchange):
    walls = [timelines.Wall() for _ in range(HOSTS)]
    hosts = [clocks.HybridClock(wall.read_ms) for wall in walls]
    highest_ms = walls[0].now_ms
    for sender, receiver, jump_ms in exchange:
        walls[sender].now_ms += jump_ms
        highest_ms = max(highest_ms, walls[sender].now_ms)
        hosts[receiver].observe(hosts[sender].stamp())
        assert hosts[receiver].last.wall_ms <= highest_ms


def test_host_with_a_date_far_ahead_does_not_move_other_clocks():
    wall = timelines.Wall()
    clock = clocks.HybridClock(wall.read_ms)
    ahead_ms = wall.now_ms + clocks.MAX_AHEAD_MS
    clock.observe(messages.Stamp(ahead_ms + 1, 0))
    assert (clock.last, clock.rejected_count) == (messages.Stamp(), 1)
    clock.observe(messages.Stamp(ahead_ms, 4))
    assert (clock.last, clock.rejected_count) == (messages.Stamp(ahead_ms, 5), 1)
