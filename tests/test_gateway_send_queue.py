"""The order of queued requests and the number sent at once."""

import dataclasses

from corianderrill.gateway import send_order, send_queue


@dataclasses.dataclass(frozen=True)
class Queued:
    name: str
    goal_at: float

    def get_urgency(self, now):
        return send_order.Urgency(now >= self.goal_at, self.goal_at)


def pop_names(queue, now):
    return [queue.pop(now).name for _ in range(len(queue))]


def build_queue(*goals_by_name):
    queue = send_queue.SendQueue()
    for name, goal_at in goals_by_name:
        queue.add(Queued(name, goal_at))
    return queue


def test_request_with_the_earliest_goal_goes_first():
    queue = build_queue(("sweep", 0.18), ("check", 0.06), ("other", 0.12))
    assert pop_names(queue, 0.0) == ["check", "other", "sweep"]


def test_requests_past_their_goal_go_last():
    queue = build_queue(("late", 0.05), ("later", 0.04), ("in-time", 0.2))
    assert pop_names(queue, 0.1) == ["in-time", "later", "late"]


def test_requests_of_equal_urgency_keep_their_order():
    queue = build_queue(("first", 0.1), ("second", 0.1))
    assert pop_names(queue, 0.0) == ["first", "second"]


def test_discarded_request_is_not_sent():
    queue = build_queue(("a", 0.1), ("b", 0.2))
    queue.discard(Queued("a", 0.1))
    queue.discard(Queued("unknown", 0.1))
    assert pop_names(queue, 0.0) == ["b"]


def test_limit_is_open_until_a_reply_is_slow():
    limit = send_queue.ConcurrencyLimit()
    for _ in range(10):
        limit.record_latency(1.0, 8)
    assert limit.allows(1000)


def test_slow_replies_lower_the_limit_down_to_its_minimum():
    limit = send_queue.ConcurrencyLimit(min_limit=1.5)
    limit.record_latency(5.0, 8)
    assert limit.allows(5)
    assert not limit.allows(6)
    for _ in range(10):
        limit.record_latency(5.0, 8)
    assert limit.allows(1)
    assert not limit.allows(2)


def test_refusals_lower_the_limit_and_prompt_replies_raise_it_again():
    limit = send_queue.ConcurrencyLimit()
    for _ in range(10):
        limit.record_refusal(8)
    assert not limit.allows(1)
    for _ in range(4):
        limit.record_latency(1.0, 1)
    assert limit.allows(2)
