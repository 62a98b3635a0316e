"""Queues of the replicas that a host owns: earliest deadline first.

The owner queues, holds connections and sends. The origin of a query chooses
replicas, hedges and merges.
"""

import dataclasses
import enum
import heapq
import itertools

from corianderrill import attempts, names

MAX_QUEUE_LENGTH = 256
FIRST_SERVICE_S = 0.002
LEAST_SERVICE_S = 0.0005
# Smoothed mean and mean deviation as in RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 2.0


class JobState(enum.Enum):
    """What a queue knows of an attempt."""

    QUEUED = "queued"
    RUNNING = "running"
    ABSENT = "absent"


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A sub-request with the host that wants its result; times of the own clock."""

    sub_request: attempts.SubRequest
    origin: names.MemberId
    arrived_s: float
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Send the job now."""

    job: Job


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Tell the origin that the job did not run, and why."""

    job: Job
    kind: attempts.RefusalKind


@dataclasses.dataclass(slots=True)
class QueueCounters:
    """What became of the jobs of a queue."""

    started: int = 0
    duplicates: int = 0
    dropped: dict[attempts.RefusalKind, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class OwnerQueue:
    """Jobs for one replica. Rules only: the caller sends and keeps time.

    At most `max_running` jobs are sent at once. A job that is unlikely to end before
    its deadline, by the service times of late, is dropped before it runs: at once where
    the jobs before it show it, later where the replica has become slower. While none
    runs, the first is tried whatever the estimate, which thus cannot stay wrong.
    """

    max_running: int
    max_length: int = MAX_QUEUE_LENGTH
    counters: QueueCounters = dataclasses.field(default_factory=QueueCounters)
    _mean_s: float = FIRST_SERVICE_S
    _deviation_s: float = 0.0
    _heap: list[tuple[float, int, Job]] = dataclasses.field(default_factory=list)
    _queued: dict[str, Job] = dataclasses.field(default_factory=dict)
    _running: dict[str, Job] = dataclasses.field(default_factory=dict)
    _numbers: itertools.count = dataclasses.field(default_factory=itertools.count)

    @property
    def length(self) -> int:
        """Jobs that wait."""
        return len(self._queued)

    @property
    def running(self) -> int:
        """Jobs that were sent and have not ended."""
        return len(self._running)

    def add(self, job: Job, now: float) -> tuple[Start | Drop, ...]:
        """Take a job; return what to do now."""
        attempt_id = job.sub_request.attempt_id
        if self.get_state(attempt_id) is not JobState.ABSENT:
            self.counters.duplicates += 1
            return ()
        if self._predict_end(job, now) > job.deadline_s:
            return (self._drop(job, attempts.RefusalKind.TOO_LATE), *self.advance(now))
        if len(self._queued) >= self.max_length:
            full = self._drop(job, attempts.RefusalKind.QUEUE_FULL)
            return (full, *self.advance(now))
        self._queued[attempt_id] = job
        heapq.heappush(self._heap, (job.deadline_s, next(self._numbers), job))
        return self.advance(now)

    def finish(
        self, attempt_id: str, now: float, served_s: float | None = None
    ) -> tuple[Start | Drop, ...]:
        """End a running job.

        `served_s` is its service time, or how long it was waited for in vain; None
        where the backend server refused it or was not reached.
        """
        self._running.pop(attempt_id, None)
        if served_s is not None:
            self._learn(served_s)
        return self.advance(now)

    def cancel(self, attempt_id: str) -> JobState:
        """Give up a waiting job; a running one is only reported."""
        phase = self.get_state(attempt_id)
        if phase is JobState.QUEUED:
            self._drop(self._queued.pop(attempt_id), attempts.RefusalKind.CANCELLED)
            self._compact()
        return phase

    def get_state(self, attempt_id: str) -> JobState:
        """Return what is known of an attempt."""
        if attempt_id in self._queued:
            return JobState.QUEUED
        if attempt_id in self._running:
            return JobState.RUNNING
        return JobState.ABSENT

    def find_jobs(self, attempt_ids: set[str]) -> tuple[Job, ...]:
        """Return the waiting and running jobs of these attempts."""
        held = (self._queued, self._running)
        return tuple(
            jobs[attempt_id]
            for jobs in held
            for attempt_id in attempt_ids & jobs.keys()
        )

    def advance(self, now: float) -> tuple[Start | Drop, ...]:
        """Drop what is too late and start what there are slots for."""
        return tuple(self._advance(now))

    def _advance(self, now: float):
        while self._heap:
            deadline_s, _, job = self._heap[0]
            is_late = now + self._estimate_service_s() > deadline_s
            if not is_late and len(self._running) >= self.max_running:
                return
            heapq.heappop(self._heap)
            if self._queued.get(job.sub_request.attempt_id) is not job:
                continue
            del self._queued[job.sub_request.attempt_id]
            if is_late:
                yield self._drop(job, attempts.RefusalKind.TOO_LATE)
            else:
                self._running[job.sub_request.attempt_id] = job
                self.counters.started += 1
                yield Start(job)

    def _learn(self, served_s: float) -> None:
        error_s = served_s - self._mean_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * error_s

    def _estimate_service_s(self) -> float:
        """Return a time within which most jobs end, in seconds."""
        if not self._running:
            return LEAST_SERVICE_S
        return self._mean_s + DEVIATIONS * self._deviation_s

    def _predict_end(self, job: Job, now: float) -> float:
        """Return when a job would end after those with earlier deadlines."""
        earlier = sum(entry[0] <= job.deadline_s for entry in self._heap)
        ahead = max(0, earlier + len(self._running) + 1 - self.max_running)
        wait_s = self._mean_s * ahead / max(1, self.max_running)
        return now + wait_s + self._estimate_service_s()

    def _drop(self, job: Job, kind: attempts.RefusalKind) -> Drop:
        counts = self.counters.dropped
        counts[kind] = counts.get(kind, 0) + 1
        return Drop(job, kind)

    def _compact(self) -> None:
        """Rebuild the heap once most of its entries were cancelled."""
        if len(self._heap) <= 2 * len(self._queued) + 16:
            return
        self._heap = [
            entry
            for entry in self._heap
            if self._queued.get(entry[2].sub_request.attempt_id) is entry[2]
        ]
        heapq.heapify(self._heap)
