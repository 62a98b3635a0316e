"""The gate of one entry host: queries wait here until admission decides."""

import itertools
import time
from collections.abc import Callable

import eventlet
import eventlet.event
import eventlet.greenthread

from corianderrill import admission, metrics, names

EXPIRE_INTERVAL_S = 0.005
LAG_INTERVAL_S = 0.02


def _ignore_loop_lag(lag_s: float, now: float) -> None:
    pass


class AdmissionGate:
    """Carries out the decisions of admission for the green threads of queries.

    `note_lag` is told how late the event loop woke a timer, and when, in seconds.
    """

    def __init__(
        self,
        decisions: admission.AdmissionController,
        recorder: metrics.Recorder,
        record_loop_lag: Callable[[float, float], None] = _ignore_loop_lag,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._decisions = decisions
        self._record_loop_lag = record_loop_lag
        self._clock = clock
        self._numbers = itertools.count(1)
        self._waiting: dict[names.RequestId, eventlet.event.Event] = {}
        self._tasks: list[eventlet.greenthread.GreenThread] = []
        self._wait_cell = recorder.bind(metrics.ADMISSION_SECONDS)
        self._queue_cell = recorder.bind(metrics.ADMISSION_QUEUE)
        self._flight_cell = recorder.bind(metrics.QUERIES_IN_FLIGHT)
        self._lag_cell = recorder.bind(metrics.LOOP_SECONDS)

    def start(self) -> None:
        """Start the tasks that refuse late queries and watch the event loop."""
        self._tasks.append(eventlet.spawn(self._expire))
        self._tasks.append(eventlet.spawn(self._watch_lag))

    def stop(self) -> None:
        """End the tasks."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    def new_ticket_id(self) -> names.RequestId:
        """Return an id for a ticket; callers may send the same request id twice."""
        return names.RequestId(f"ticket-{next(self._numbers)}")

    def request_admission(self, ticket: admission.Ticket) -> admission.Decision:
        """Wait until a query may start or is refused."""
        offered_at = self._clock()
        decided = eventlet.event.Event()
        self._waiting[ticket.id] = decided
        self._settle(self._decisions.offer(ticket, offered_at))
        decision = decided.wait()
        self._wait_cell.observe(self._clock() - offered_at)
        return decision

    def finish(self, ticket: admission.Ticket, is_complete: bool = True) -> None:
        """Tell that an admitted query has ended; `whole` if every shard answered."""
        self._settle(self._decisions.finish(ticket.id, self._clock(), is_complete))

    def _settle(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            self._waiting.pop(decision.ticket.id).send(decision)
        self._queue_cell.set(len(self._waiting))
        self._flight_cell.set(self._decisions.running)

    def _expire(self) -> None:
        while True:
            eventlet.sleep(EXPIRE_INTERVAL_S)
            if self._waiting:
                self._settle(self._decisions.expire(self._clock()))

    def _watch_lag(self) -> None:
        while True:
            due_at = self._clock() + LAG_INTERVAL_S
            eventlet.sleep(LAG_INTERVAL_S)
            lag_s = max(0.0, self._clock() - due_at)
            self._lag_cell.observe(lag_s)
            self._decisions.record_loop_lag(lag_s)
            self._record_loop_lag(lag_s, self._clock())
