"""Queues of jobs for owned replicas, one queue per replica.

A job is one attempt of a sub-request, queued or running at the owner of the replica.
The owner starts the job with the earliest deadline first, keeps the connections to the
replica and sends. The origin of a query, the host that received it, chooses replicas,
hedges sub-requests and merges results.
"""

import dataclasses
import enum
import heapq
import itertools

from corianderrill import attempts, names

MAX_QUEUE_LENGTH = 256
INITIAL_MEAN_SERVICE_S = 0.002
# A job that starts while no other job runs needs this much time before its deadline.
MIN_TIME_LEFT_S = 0.0005
# Weights of a new sample in the smoothed mean and mean deviation, as in RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_MULTIPLIER = 2.0


class JobState(enum.Enum):
    """The state of a job in a queue; ABSENT if the queue does not have it."""

    QUEUED = "queued"
    RUNNING = "running"
    ABSENT = "absent"


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A queued or running attempt of a sub-request, whose result `origin` gets.

    Times are of the local clock.
    """

    sub_request: attempts.SubRequest
    origin: names.MemberId
    arrived_s: float
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Tells the caller to send the job now."""

    job: Job


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Tells the caller to report to the origin that the job did not run, and why."""

    job: Job
    kind: attempts.RefusalKind


@dataclasses.dataclass(slots=True)
class QueueCounters:
    """Counts of the jobs of a queue by outcome."""

    started: int = 0
    duplicates: int = 0
    dropped: dict[attempts.RefusalKind, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class OwnerQueue:
    """Queues jobs for one replica by deadline. The caller sends and passes the time.

    At most `max_running` jobs run at once. A job that, by recent service times, is
    unlikely to end before its deadline is dropped before it runs: on arrival if the
    jobs ahead of it take too long, or later if the replica has become slower. While no
    job runs, the job with the earliest deadline starts even if the estimate is too long
    for it, provided `MIN_TIME_LEFT_S` is left, so that a new measurement corrects an
    estimate that is too high.
    """

    max_running: int
    max_length: int = MAX_QUEUE_LENGTH
    counters: QueueCounters = dataclasses.field(default_factory=QueueCounters)
    _mean_service_s: float = INITIAL_MEAN_SERVICE_S
    _service_deviation_s: float = 0.0
    _heap: list[tuple[float, int, Job]] = dataclasses.field(default_factory=list)
    _queued: dict[str, Job] = dataclasses.field(default_factory=dict)
    _running: dict[str, Job] = dataclasses.field(default_factory=dict)
    _sequence_numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )

    @property
    def length(self) -> int:
        """The number of queued jobs."""
        return len(self._queued)

    @property
    def running(self) -> int:
        """The number of jobs that were sent and have not ended."""
        return len(self._running)

    def add(self, job: Job, now: float) -> tuple[Start | Drop, ...]:
        """Queue a job, unless it is a duplicate or dropped; return what to do now."""
        attempt_id = job.sub_request.attempt_id
        if self.get_state(attempt_id) is not JobState.ABSENT:
            self.counters.duplicates += 1
            return ()
        if self._predict_end(job, now) > job.deadline_s:
            return (self._drop(job, attempts.RefusalKind.TOO_LATE), *self.advance(now))
        if len(self._queued) >= self.max_length:
            drop = self._drop(job, attempts.RefusalKind.QUEUE_FULL)
            return (drop, *self.advance(now))
        self._queued[attempt_id] = job
        heapq.heappush(self._heap, (job.deadline_s, next(self._sequence_numbers), job))
        return self.advance(now)

    def finish(
        self, attempt_id: str, now: float, service_s: float | None = None
    ) -> tuple[Start | Drop, ...]:
        """Remove a running job; return what to do now.

        `service_s` is its service time, or how long it ran before it timed out. It is
        None if the backend server refused the job or was not reached.
        """
        self._running.pop(attempt_id, None)
        if service_s is not None:
            self._record_service_time(service_s)
        return self.advance(now)

    def cancel(self, attempt_id: str) -> JobState:
        """Drop a queued job; a running one keeps running. Return the old state."""
        state = self.get_state(attempt_id)
        if state is JobState.QUEUED:
            self._drop(self._queued.pop(attempt_id), attempts.RefusalKind.CANCELLED)
            self._compact()
        return state

    def get_state(self, attempt_id: str) -> JobState:
        """Return the state of the job with this attempt ID."""
        if attempt_id in self._queued:
            return JobState.QUEUED
        if attempt_id in self._running:
            return JobState.RUNNING
        return JobState.ABSENT

    def find_jobs(self, attempt_ids: set[str]) -> tuple[Job, ...]:
        """Return the queued and running jobs with these attempt IDs."""
        job_maps = (self._queued, self._running)
        return tuple(
            jobs[attempt_id]
            for jobs in job_maps
            for attempt_id in attempt_ids & jobs.keys()
        )

    def advance(self, now: float) -> tuple[Start | Drop, ...]:
        """Drop jobs that are too late, and start jobs while `max_running` allows."""
        return tuple(self._advance(now))

    def _advance(self, now: float):
        while self._heap:
            deadline_s, _, job = self._heap[0]
            is_too_late = now + self._estimate_service_s() > deadline_s
            if not is_too_late and len(self._running) >= self.max_running:
                return
            heapq.heappop(self._heap)
            if self._queued.get(job.sub_request.attempt_id) is not job:
                continue
            del self._queued[job.sub_request.attempt_id]
            if is_too_late:
                yield self._drop(job, attempts.RefusalKind.TOO_LATE)
            else:
                self._running[job.sub_request.attempt_id] = job
                self.counters.started += 1
                yield Start(job)

    def _record_service_time(self, service_s: float) -> None:
        error_s = service_s - self._mean_service_s
        self._service_deviation_s += DEVIATION_WEIGHT * (
            abs(error_s) - self._service_deviation_s
        )
        self._mean_service_s += MEAN_WEIGHT * error_s

    def _estimate_service_s(self) -> float:
        """Return the estimated service time: mean plus deviations.

        While no job runs, return `MIN_TIME_LEFT_S`, so that the first one can start.
        """
        if not self._running:
            return MIN_TIME_LEFT_S
        return self._mean_service_s + DEVIATION_MULTIPLIER * self._service_deviation_s

    def _predict_end(self, job: Job, now: float) -> float:
        """Return when a job would end if jobs with no later deadline run first.

        Cancelled jobs whose heap entries are not yet removed are counted too.
        """
        entries_ahead = sum(entry[0] <= job.deadline_s for entry in self._heap)
        jobs_ahead = max(0, entries_ahead + len(self._running) + 1 - self.max_running)
        wait_s = self._mean_service_s * jobs_ahead / max(1, self.max_running)
        return now + wait_s + self._estimate_service_s()

    def _drop(self, job: Job, kind: attempts.RefusalKind) -> Drop:
        counts = self.counters.dropped
        counts[kind] = counts.get(kind, 0) + 1
        return Drop(job, kind)

    def _compact(self) -> None:
        """Rebuild the heap when most of its entries are of cancelled jobs."""
        if len(self._heap) <= 2 * len(self._queued) + 16:
            return
        self._heap = [
            entry
            for entry in self._heap
            if self._queued.get(entry[2].sub_request.attempt_id) is entry[2]
        ]
        heapq.heapify(self._heap)
