import hypothesis
from hypothesis import stateful, strategies

from corianderrill import attempts, owner_queues
from tests.utils import hosts


def _build_job(
    attempt_id: str, deadline_s: float, now: float = 0.0
) -> owner_queues.Job:
    sub_request = hosts.build_sub_request(attempt_id, deadline_s - now)
    return owner_queues.Job(sub_request, hosts.build_member(), now, deadline_s)


def _list_started(actions) -> list[str]:
    return [
        action.job.sub_request.attempt_id
        for action in actions
        if isinstance(action, owner_queues.Start)
    ]


def test_jobs_start_in_the_order_of_their_deadlines():
    queue = owner_queues.OwnerQueue(max_running=1)
    assert _list_started(queue.add(_build_job("first", 9.0), 0.0)) == ["first"]
    for attempt_id, deadline_s in (("late", 8.0), ("early", 2.0), ("mid", 5.0)):
        assert not queue.add(_build_job(attempt_id, deadline_s), 0.0)
    order = ["first"]
    while queue.running:
        order += _list_started(queue.finish(order[-1], 0.1))
    assert order == ["first", "early", "mid", "late"]


def test_a_job_that_cannot_end_in_time_is_dropped_before_it_runs():
    queue = owner_queues.OwnerQueue(max_running=2)
    queue.add(_build_job("runs", 9.0), 0.0)
    queue.add(_build_job("keeps running", 9.0), 0.0)
    queue.add(_build_job("waits", 1.0), 0.0)
    (drop,) = queue.finish("runs", 0.9995)
    assert drop == owner_queues.Drop(
        _build_job("waits", 1.0), attempts.RefusalKind.TOO_LATE
    )
    assert queue.counters.started == 2


def _record_service_times(
    queue: owner_queues.OwnerQueue, service_s: float, now: float
) -> None:
    for number in range(60):
        queue.add(_build_job(f"t{number}", now + 99.0, now), now)
        queue.finish(f"t{number}", now, service_s)


def test_a_job_with_less_time_left_than_the_service_time_is_dropped():
    queue = owner_queues.OwnerQueue(max_running=2)
    _record_service_times(queue, 0.1, 100.0)
    queue.add(_build_job("runs", 109.0, 100.0), 100.0)
    (drop,) = queue.add(_build_job("short", 100.05, 100.0), 100.0)
    assert drop.kind is attempts.RefusalKind.TOO_LATE
    assert _list_started(queue.add(_build_job("long", 100.2, 100.0), 100.0)) == ["long"]


def test_a_job_for_an_idle_replica_starts_even_if_the_estimate_exceeds_its_deadline():
    queue = owner_queues.OwnerQueue(max_running=2)
    _record_service_times(queue, 0.1, 100.0)
    assert _list_started(
        queue.add(_build_job("short deadline", 100.05, 100.0), 100.0)
    ) == ["short deadline"]
    queue.finish("short deadline", 100.004, service_s=0.004)
    _record_service_times(queue, 0.004, 101.0)
    queue.add(_build_job("runs", 110.0, 101.0), 101.0)
    assert _list_started(queue.add(_build_job("b", 101.05, 101.0), 101.0)) == ["b"]


def test_a_job_is_dropped_on_arrival_if_the_jobs_ahead_of_it_take_too_long():
    queue = owner_queues.OwnerQueue(max_running=1)
    _record_service_times(queue, 0.01, 0.0)
    queue.add(_build_job("runs", 9.0), 0.0)
    for number in range(10):
        assert not queue.add(_build_job(str(number), 0.115), 0.0)
    (drop,) = queue.add(_build_job("latest deadline", 0.1151), 0.0)
    assert drop.kind is attempts.RefusalKind.TOO_LATE
    assert not queue.add(_build_job("earlier deadline", 0.05), 0.0)


def test_a_full_queue_drops_a_new_job():
    queue = owner_queues.OwnerQueue(max_running=1, max_length=1)
    queue.add(_build_job("runs", 9.0), 0.0)
    queue.add(_build_job("waits", 9.0), 0.0)
    (drop,) = queue.add(_build_job("third", 9.0), 0.0)
    assert drop.kind is attempts.RefusalKind.QUEUE_FULL


def test_cancel_drops_a_queued_job_and_reports_a_running_one():
    queue = owner_queues.OwnerQueue(max_running=1)
    queue.add(_build_job("runs", 9.0), 0.0)
    queue.add(_build_job("waits", 9.0), 0.0)
    assert queue.cancel("waits") is owner_queues.JobState.QUEUED
    assert queue.cancel("runs") is owner_queues.JobState.RUNNING
    assert queue.cancel("waits") is owner_queues.JobState.ABSENT
    assert queue.finish("runs", 0.1) == ()


def test_a_job_that_arrives_twice_runs_once():
    queue = owner_queues.OwnerQueue(max_running=2)
    assert queue.add(_build_job("same", 9.0), 0.0)
    assert not queue.add(_build_job("same", 9.0), 0.0)
    assert (queue.running, queue.counters.duplicates) == (1, 1)


def test_cancelled_jobs_do_not_accumulate_in_the_heap():
    queue = owner_queues.OwnerQueue(max_running=1)
    queue.add(_build_job("runs", 9.0), 0.0)
    for number in range(1000):
        queue.add(_build_job(str(number), 9.0), 0.0)
        queue.cancel(str(number))
    assert len(queue._heap) < 50


class QueueMachine(stateful.RuleBasedStateMachine):
    """Every job ends once, at most `max_running` run, and none starts too late."""

    def __init__(self):
        super().__init__()
        self.queue = owner_queues.OwnerQueue(max_running=2, max_length=5)
        self.now = 0.0
        self.added_count = 0
        self.waiting: dict[str, float] = {}
        self.running: set[str] = set()

    def _check_actions(self, actions):
        for action in actions:
            attempt_id = action.job.sub_request.attempt_id
            match action:
                case owner_queues.Start(job):
                    assert self.now < job.deadline_s
                    assert job.deadline_s == min(self.waiting.values())
                    self.running.add(attempt_id)
                case owner_queues.Drop(_, attempts.RefusalKind.QUEUE_FULL):
                    assert len(self.waiting) > self.queue.max_length
            del self.waiting[attempt_id]

    @stateful.rule(remaining_s=strategies.floats(-0.1, 1.0))
    def add(self, remaining_s):
        self.added_count += 1
        job = _build_job(str(self.added_count), self.now + remaining_s, self.now)
        self.waiting[str(self.added_count)] = job.deadline_s
        self._check_actions(self.queue.add(job, self.now))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(service_s=strategies.floats(0.0, 0.5))
    def finish(self, service_s):
        attempt_id = min(self.running)
        self.running.discard(attempt_id)
        self._check_actions(self.queue.finish(attempt_id, self.now, service_s))

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule()
    def cancel(self):
        attempt_id = min(self.waiting)
        assert self.queue.cancel(attempt_id) is owner_queues.JobState.QUEUED
        del self.waiting[attempt_id]

    @stateful.rule(seconds=strategies.floats(0.0, 0.5))
    def pass_time(self, seconds):
        self.now += seconds
        self._check_actions(self.queue.advance(self.now))

    @stateful.invariant()
    def the_queue_matches_the_actions_it_returned(self):
        assert self.queue.length == len(self.waiting)
        assert self.queue.running == len(self.running) <= self.queue.max_running
        assert not self.waiting or self.queue.running == self.queue.max_running


TestQueue = QueueMachine.TestCase
TestQueue.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
