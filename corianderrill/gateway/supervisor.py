"""Runs the long-lived tasks of a process, and starts each again that fails."""

import dataclasses
import random
import time
import traceback
from collections.abc import Callable

import eventlet
from eventlet import greenthread

from corianderrill import metrics
from corianderrill.gateway import event_log

MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
# A task that ran for so long has recovered from its last failure.
RECOVERED_AFTER_S = 10.0
# An essential task that failed so many times without recovering makes the process
# unready.
MAX_FAILURES_WHEN_READY = 3
MAX_TRACE_CHARACTERS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Failure:
    """The number of failures since the task last recovered, and the last one's time."""

    count: int
    at: float


@dataclasses.dataclass(slots=True)
class Supervisor:
    """Starts tasks and keeps them running.

    An unexpected exception is logged and counted, and the task starts again after a
    delay that grows with each failure. Times are in seconds of the monotonic clock.
    """

    log: event_log.EventLog
    meter: metrics.Recorder
    rng: random.Random
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = eventlet.sleep
    # The last failure of each essential task that failed, by name.
    _failures: dict[str, _Failure] = dataclasses.field(default_factory=dict)

    def start(
        self, name: str, task: Callable[[], None], is_essential: bool = False
    ) -> greenthread.GreenThread:
        """Run a task in a green thread of its own until it returns."""
        return eventlet.spawn(self.run, name, task, is_essential)

    def is_healthy(self) -> bool:
        """Return whether all essential tasks run, or failed only a few times."""
        recovered_at = self.clock() - RECOVERED_AFTER_S
        return not any(
            failure.count >= MAX_FAILURES_WHEN_READY and failure.at > recovered_at
            for failure in self._failures.values()
        )

    def run(
        self, name: str, task: Callable[[], None], is_essential: bool = False
    ) -> None:
        """Run a task until it returns; start it again whenever it fails."""
        failures = 0
        while True:
            started_at = self.clock()
            try:
                task()
            except (Exception, eventlet.Timeout) as error:
                has_recovered = self.clock() - started_at >= RECOVERED_AFTER_S
                failures = 1 if has_recovered else failures + 1
                self._record_failure(name, error)
            else:
                self._failures.pop(name, None)
                return
            if is_essential:
                self._failures[name] = _Failure(failures, self.clock())
            self.sleep(self._compute_delay_s(failures))

    def _compute_delay_s(self, failures: int) -> float:
        delay_s = MIN_RESTART_DELAY_S * 2 ** min(failures - 1, 10)
        return min(delay_s, MAX_RESTART_DELAY_S) * (0.5 + self.rng.random())

    def _record_failure(self, name: str, error: BaseException) -> None:
        self.meter.count(metrics.GATEWAY_TASK_FAILURES, name)
        trace = "".join(traceback.format_exception(error))
        self.log.record(event_log.InternalError(name, trace[-MAX_TRACE_CHARACTERS:]))
