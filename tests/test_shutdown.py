import eventlet
import hypothesis
from hypothesis import stateful, strategies

from corianderrill import shutdown


def _build() -> shutdown.ShutdownSequence:
    return shutdown.ShutdownSequence(announce_s=1.0, grace_s=5.0)


def test_peers_are_notified_before_any_query_is_refused():
    sequence = _build()
    assert sequence.handle_signal(10.0, in_flight=3) == (shutdown.AnnounceShutdown(),)
    assert not sequence.is_ready
    assert sequence.accepts_queries
    assert sequence.advance(10.9, 0) == ()
    assert sequence.advance(11.0, 3) == (shutdown.RefuseQueries(),)
    assert not sequence.accepts_queries


def test_work_in_flight_is_finished_before_the_host_closes():
    sequence = _build()
    sequence.handle_signal(10.0, 3)
    sequence.advance(11.0, 3)
    assert sequence.advance(15.9, 1) == ()
    close = shutdown.Close(shutdown.CloseReason.FINISHED, 0)
    assert sequence.advance(15.95, 0) == (close,)
    assert sequence.stage is shutdown.Stage.CLOSED


def test_the_end_of_the_grace_period_counts_what_it_cuts_off():
    sequence = _build()
    sequence.handle_signal(10.0, 3)
    sequence.advance(11.0, 3)
    close = shutdown.Close(shutdown.CloseReason.GRACE_EXPIRED, 2)
    assert sequence.advance(16.0, 2) == (close,)
    assert (sequence.ending, sequence.cut_off) == (
        shutdown.CloseReason.GRACE_EXPIRED,
        2,
    )


def test_a_second_signal_closes_at_once_and_counts_what_it_cuts_off():
    for wait_s in (0.1, 2.0):
        sequence = _build()
        sequence.handle_signal(10.0, 3)
        sequence.advance(10.0 + wait_s, 3)
        close = shutdown.Close(shutdown.CloseReason.SECOND_SIGNAL, 3)
        assert sequence.handle_signal(10.0 + wait_s, 3) == (close,)
        assert sequence.handle_signal(13.0, 0) == ()
        assert (sequence.signal_count, sequence.cut_off) == (3, 3)


def test_an_idle_host_with_no_announcement_time_closes_at_once():
    sequence = shutdown.ShutdownSequence(announce_s=0.0, grace_s=5.0)
    actions = sequence.handle_signal(10.0, 0)
    assert actions == (
        shutdown.AnnounceShutdown(),
        shutdown.RefuseQueries(),
        shutdown.Close(shutdown.CloseReason.FINISHED, 0),
    )


def test_the_task_runs_the_actions_in_order():
    done = []
    in_flight = [2]
    task = shutdown.ShutdownTask(
        shutdown.ShutdownSequence(announce_s=0.0, grace_s=60.0),
        shutdown.ShutdownHooks(
            lambda: done.append("announced"),
            lambda: done.append("refused"),
            lambda: in_flight[0],
            lambda: done.append("closed"),
        ),
    )
    running = eventlet.spawn(task.run)
    eventlet.sleep(2 * shutdown.POLL_INTERVAL_S)
    assert done == []
    task.handle_signal()
    eventlet.sleep(5 * shutdown.POLL_INTERVAL_S)
    assert done == ["announced", "refused"]
    in_flight[0] = 0
    assert running.wait() == shutdown.Close(shutdown.CloseReason.FINISHED, 0)
    assert done == ["announced", "refused", "closed"]


class ShutdownMachine(stateful.RuleBasedStateMachine):
    """Stages only move forward; work that is cut off is always counted."""

    def __init__(self):
        super().__init__()
        self.sequence = _build()
        self.now = 0.0
        self.in_flight = 0
        self.stages = [self.sequence.stage]
        self.closes = []

    def _record(self, actions):
        self.closes += [each for each in actions if isinstance(each, shutdown.Close)]
        self.stages.append(self.sequence.stage)

    @stateful.rule(seconds=strategies.floats(0.0, 3.0))
    def pass_time(self, seconds):
        self.now += seconds
        self._record(self.sequence.advance(self.now, self.in_flight))

    @stateful.rule()
    def signal(self):
        self._record(self.sequence.handle_signal(self.now, self.in_flight))

    @stateful.precondition(lambda self: self.sequence.accepts_queries)
    @stateful.rule()
    def start_work(self):
        self.in_flight += 1

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule()
    def finish_work(self):
        self.in_flight -= 1

    @stateful.invariant()
    def stages_move_forward_and_the_one_close_counts_what_it_cut_off(self):
        order = list(shutdown.Stage)
        positions = [order.index(stage) for stage in self.stages]
        assert positions == sorted(positions)
        assert len(self.closes) == (self.sequence.stage is shutdown.Stage.CLOSED)
        for close in self.closes:
            is_finished = close.ending is shutdown.CloseReason.FINISHED
            assert is_finished == (close.cut_off == 0) or self.sequence.signal_count > 1


TestShutdown = ShutdownMachine.TestCase
TestShutdown.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=50, stateful_step_count=30
)
