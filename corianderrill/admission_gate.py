"""Makes the green thread of a query wait for its admission decision."""

import itertools
import time
from collections.abc import Callable

import eventlet
import eventlet.event
import eventlet.greenthread

from corianderrill import admission, metrics, names

EXPIRE_INTERVAL_S = 0.005
LOOP_LAG_INTERVAL_S = 0.02


def _ignore_loop_lag(lag_s: float, now: float) -> None:
    pass


class AdmissionGate:
    """Makes the green thread of a query wait for its admission decision.

    `on_loop_lag` also receives the event loop lag, for uses besides admission: how
    late the event loop ran a timer and the time of the measurement, both in seconds.
    """

    def __init__(
        self,
        controller: admission.AdmissionController,
        recorder: metrics.Recorder,
        on_loop_lag: Callable[[float, float], None] = _ignore_loop_lag,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._controller = controller
        self._on_loop_lag = on_loop_lag
        self._clock = clock
        self._ticket_numbers = itertools.count(1)
        self._decision_events: dict[names.RequestId, eventlet.event.Event] = {}
        self._tasks: list[eventlet.greenthread.GreenThread] = []
        self._wait_metric = recorder.bind(metrics.ADMISSION_SECONDS)
        self._queue_metric = recorder.bind(metrics.ADMISSION_QUEUE)
        self._in_flight_metric = recorder.bind(metrics.QUERIES_IN_FLIGHT)
        self._loop_lag_metric = recorder.bind(metrics.LOOP_SECONDS)

    def start(self) -> None:
        """Start the tasks that expire queued queries and measure loop lag."""
        self._tasks.append(eventlet.spawn(self._expire_periodically))
        self._tasks.append(eventlet.spawn(self._measure_loop_lag))

    def stop(self) -> None:
        """Stop the tasks."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    def new_ticket_id(self) -> names.RequestId:
        """Return a ticket id that is unique in this process.

        The request id of the caller is not suitable, because a caller may send the
        same request id twice.
        """
        return names.RequestId(f"ticket-{next(self._ticket_numbers)}")

    def request_admission(self, ticket: admission.Ticket) -> admission.Decision:
        """Wait until a query is admitted or refused, and return the decision."""
        submitted_at = self._clock()
        decision_event = eventlet.event.Event()
        self._decision_events[ticket.id] = decision_event
        self._deliver(self._controller.offer(ticket, submitted_at))
        decision = decision_event.wait()
        self._wait_metric.observe(self._clock() - submitted_at)
        return decision

    def finish(self, ticket: admission.Ticket, is_complete: bool = True) -> None:
        """Record that an admitted query finished.

        `is_complete` is false if the query failed or its answer lacks shards, for
        example because it reached its deadline.
        """
        self._deliver(self._controller.finish(ticket.id, self._clock(), is_complete))

    def _deliver(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            self._decision_events.pop(decision.ticket.id).send(decision)
        self._queue_metric.set(len(self._decision_events))
        self._in_flight_metric.set(self._controller.running_count)

    def _expire_periodically(self) -> None:
        while True:
            eventlet.sleep(EXPIRE_INTERVAL_S)
            if self._decision_events:
                self._deliver(self._controller.expire(self._clock()))

    def _measure_loop_lag(self) -> None:
        while True:
            due_at = self._clock() + LOOP_LAG_INTERVAL_S
            eventlet.sleep(LOOP_LAG_INTERVAL_S)
            lag_s = max(0.0, self._clock() - due_at)
            self._loop_lag_metric.observe(lag_s)
            self._controller.record_loop_lag(lag_s)
            self._on_loop_lag(lag_s, self._clock())
