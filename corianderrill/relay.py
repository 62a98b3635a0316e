"""Relay of sub-requests from the host that received the query to replica owners.

An owner is a host that holds connections to a replica. Each host runs two tasks:
`OwnerTask` executes sub-requests to the replicas that the host owns, and
`OwnerDispatcher` sends the sub-requests of the host's own queries to owners, which may
include the host itself. Both batch the messages that they send to a host within
`BATCH_DELAY_S`.
"""

import collections
import dataclasses
import time
from collections.abc import Callable, Iterable

import eventlet
import logbook

from corianderrill import (
    attempts,
    connection_shares,
    directory,
    heartbeats,
    hostlist,
    membership,
    messages,
    names,
    owner_queues,
    ownership,
    peers,
)

BATCH_DELAY_S = 0.001
MAX_BATCH_SIZE = 64
# How long a pending attempt is kept after its deadline. A result that arrives after
# the deadline is of no use.
PENDING_GRACE_S = 1.0
EXPIRY_INTERVAL_S = 0.5
DEADLINE_CHECK_INTERVAL_S = 0.005

log = logbook.Logger("relay")

ResultCallback = Callable[[attempts.AttemptResult], None]
Execute = Callable[[attempts.SubRequest], attempts.AttemptResult]
Cancel = Callable[[attempts.SubRequest], None]
SendBatch = Callable[[names.MemberId, tuple], None]


@dataclasses.dataclass(slots=True)
class RelayCounters:
    """Counts of relayed sub-requests since the start."""

    local: int = 0
    relayed: int = 0
    batches: int = 0
    unsent: int = 0
    received_from_peers: int = 0
    late_results: int = 0
    failed_on_dead_owner: int = 0
    execute_errors: int = 0


class Batcher:
    """Batches items per host; sends a batch when full or after `BATCH_DELAY_S`."""

    def __init__(self, send: SendBatch) -> None:
        self._send = send
        self._buffers: dict[names.MemberId, list] = {}

    def add(self, member: names.MemberId, item) -> None:
        """Add an item to the batch of a host."""
        buffer = self._buffers.setdefault(member, [])
        buffer.append(item)
        if len(buffer) >= MAX_BATCH_SIZE:
            self._flush(member)
        elif len(buffer) == 1:
            eventlet.spawn_after(BATCH_DELAY_S, self._flush, member)

    def flush(self) -> None:
        """Send all batched items now."""
        for member in tuple(self._buffers):
            self._flush(member)

    def _flush(self, member: names.MemberId) -> None:
        items = self._buffers.pop(member, None)
        if items:
            self._send(member, tuple(items))


class OwnerTask:
    """Executes the sub-requests to the replicas that this host owns.

    `execute` sends one sub-request and blocks until it ends. `cancel` tells the backend
    server that a running sub-request is cancelled. `may_connect` returns whether this
    host may open connections to a server.
    """

    def __init__(
        self,
        link: peers.PeerLink,
        servers: directory.Directory,
        execute: Execute,
        cancel: Cancel,
        may_connect: Callable[[hostlist.BackendServer], bool],
        is_trusted: Callable[[], bool] = lambda: True,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.counters = RelayCounters()
        self.queues: dict[names.ReplicaId, owner_queues.OwnerQueue] = {}
        self._link = link
        self._servers = servers
        self._execute = execute
        self._cancel = cancel
        self.may_connect = may_connect
        self._is_trusted = is_trusted
        self._clock = clock
        self._is_draining = False
        self._local_callbacks: dict[str, ResultCallback] = {}
        self._result_batcher = Batcher(self._send_results)
        self._greenthread = None

    def start(self) -> None:
        """Accept sub-requests and cancellations from peers."""
        self._link.register(messages.RelayBatch, self._handle_batch)
        self._link.register(messages.RelayCancel, self._handle_cancel)
        self._greenthread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop the task. Call this once no sub-request is in flight."""
        if self._greenthread is not None:
            self._greenthread.kill()
            self._greenthread = None

    def start_draining(self) -> None:
        """Refuse new sub-requests of peers; those that were accepted are completed.

        A refusal reports that the sub-request did not run.
        """
        self._is_draining = True

    def count_in_flight(self) -> int:
        """Return how many sub-requests are queued or running on this host."""
        return sum(queue.length + queue.running for queue in self.queues.values())

    def remove_queue(self, replica: names.ReplicaId) -> None:
        """Remove the queue of a replica that no longer exists, unless it has jobs."""
        queue = self.queues.get(replica)
        if queue is not None and not queue.length + queue.running:
            del self.queues[replica]

    def enqueue_local(
        self, sub_request: attempts.SubRequest, on_result: ResultCallback
    ) -> None:
        """Queue a sub-request of this host's own query."""
        self.counters.local += 1
        self._local_callbacks[sub_request.attempt_id] = on_result
        self._enqueue(sub_request, self._link.member, sub_request.remaining_s)

    def cancel(self, sub_request: attempts.SubRequest) -> None:
        """Cancel a sub-request, whether its origin is this host or a peer."""
        queue = self.queues.get(sub_request.replica)
        if queue is None:
            return
        state = queue.cancel(sub_request.attempt_id)
        if state is owner_queues.JobState.QUEUED:
            self._local_callbacks.pop(sub_request.attempt_id, None)
        elif state is owner_queues.JobState.RUNNING:
            self._cancel(sub_request)

    def _run(self) -> None:
        """Periodically drop queued jobs that can no longer meet their deadlines."""
        while True:
            now = self._clock()
            for queue in tuple(self.queues.values()):
                if queue.length:
                    self._perform(queue, queue.advance(now))
            eventlet.sleep(DEADLINE_CHECK_INTERVAL_S)

    def _handle_batch(self, delivery: peers.Delivery) -> None:
        for sub_request in delivery.envelope.message.requests:
            self.counters.received_from_peers += 1
            remaining_s = sub_request.remaining_s - delivery.age_s
            self._enqueue(sub_request, delivery.envelope.sender, remaining_s)

    def _handle_cancel(self, delivery: peers.Delivery) -> None:
        attempt_ids = set(delivery.envelope.message.attempt_ids)
        for queue in self.queues.values():
            for job in queue.find_jobs(attempt_ids):
                if job.origin == delivery.envelope.sender:
                    self.cancel(job.sub_request)

    def _enqueue(
        self, sub_request: attempts.SubRequest, origin: names.MemberId, remaining_s
    ) -> None:
        now = self._clock()
        job = owner_queues.Job(sub_request, origin, now, now + remaining_s)
        kind = self._find_refusal(sub_request, origin)
        if kind is not None:
            self._report_result(job, attempts.Refused(sub_request.attempt_id, kind))
            return
        queue = self._get_queue(sub_request.replica)
        self._perform(queue, queue.add(job, now))

    def _find_refusal(
        self, sub_request: attempts.SubRequest, origin: names.MemberId
    ) -> attempts.RefusalKind | None:
        # A draining host still completes its own queries in flight.
        if self._is_draining and origin != self._link.member:
            return attempts.RefusalKind.LEAVING
        server = self._servers.find(sub_request.replica)
        if server is None:
            return attempts.RefusalKind.NO_CONNECTION
        if not self.may_connect(server) or not self._is_trusted():
            return attempts.RefusalKind.NOT_OWNER
        return None

    def _get_queue(self, replica: names.ReplicaId) -> owner_queues.OwnerQueue:
        queue = self.queues.get(replica)
        if queue is None:
            max_running = (
                self._servers.find(replica).slots
                + connection_shares.PREFETCHED_REQUESTS
            )
            queue = self.queues[replica] = owner_queues.OwnerQueue(max_running)
        return queue

    def _perform(
        self,
        queue: owner_queues.OwnerQueue,
        actions: Iterable[owner_queues.Start | owner_queues.Drop],
    ) -> None:
        for action in actions:
            match action:
                case owner_queues.Start(job):
                    eventlet.spawn_n(self._execute_job, queue, job)
                case owner_queues.Drop(job, kind):
                    attempt_id = job.sub_request.attempt_id
                    self._report_result(job, attempts.Refused(attempt_id, kind))

    def _execute_job(
        self, queue: owner_queues.OwnerQueue, job: owner_queues.Job
    ) -> None:
        attempt_id = job.sub_request.attempt_id
        started_s = self._clock()
        remaining_s = job.deadline_s - started_s
        service_s = None
        result = attempts.Failed(attempt_id, attempts.FailureKind.CONNECTION)
        try:
            if remaining_s <= 0:
                # The process was paused after the queue had started the job.
                result = attempts.Refused(attempt_id, attempts.RefusalKind.TOO_LATE)
            else:
                result = self._execute(
                    _with_remaining_time(job.sub_request, remaining_s)
                )
                if _is_service_time_sample(result):
                    service_s = self._clock() - started_s
        except Exception:
            self.counters.execute_errors += 1
            log.exception(
                "unexpected error in an attempt on replica {}", job.sub_request.replica
            )
        finally:
            self._report_result(job, result)
            self._perform(queue, queue.finish(attempt_id, self._clock(), service_s))

    def _report_result(
        self, job: owner_queues.Job, result: attempts.AttemptResult
    ) -> None:
        if job.origin != self._link.member:
            self._result_batcher.add(job.origin, result)
            return
        on_result = self._local_callbacks.pop(job.sub_request.attempt_id, None)
        if on_result is not None:
            on_result(result)

    def _send_results(self, origin: names.MemberId, results: tuple) -> None:
        if not self._link.send(origin, messages.RelayReply(results)):
            self.counters.unsent += len(results)


@dataclasses.dataclass(slots=True)
class _PendingAttempt:
    """A sub-request that awaits a result from the last owner in `tried_owners`."""

    sub_request: attempts.SubRequest
    on_result: ResultCallback
    deadline_s: float
    tried_owners: list[names.MemberId]


class OwnerDispatcher:
    """Sends the sub-requests of this host's queries to the owners of their replicas."""

    def __init__(
        self,
        link: peers.PeerLink,
        heartbeat_task: heartbeats.HeartbeatTask,
        replica_owners: ownership.Ownership,
        servers: directory.Directory,
        owner_task: OwnerTask,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.counters = RelayCounters()
        self._link = link
        self._heartbeat_task = heartbeat_task
        self._replica_owners = replica_owners
        self._servers = servers
        self._owner_task = owner_task
        self._clock = clock
        self._members_revision = -1
        self._pending: dict[str, _PendingAttempt] = {}
        self._request_batcher = Batcher(self._send_requests)
        self._cancel_batcher = Batcher(self._send_cancels)
        self._expiry_greenthread = None

    def start(self) -> None:
        """Start to accept results from owners and to drop expired attempts."""
        self._link.register(messages.RelayReply, self._handle_results)
        self._expiry_greenthread = eventlet.spawn(self._expire_pending)

    def stop(self) -> None:
        """Stop dropping expired attempts."""
        if self._expiry_greenthread is not None:
            self._expiry_greenthread.kill()
            self._expiry_greenthread = None

    def count_in_flight(self) -> int:
        """Return how many sub-requests await a result from another host."""
        return len(self._pending)

    def send(self, sub_request: attempts.SubRequest, on_result: ResultCallback) -> None:
        """Start an attempt; `on_result` is called with its result at most once."""
        deadline_s = self._clock() + sub_request.remaining_s
        self._route(_PendingAttempt(sub_request, on_result, deadline_s, []))

    def cancel(self, sub_request: attempts.SubRequest) -> None:
        """Cancel an attempt whose result is no longer needed."""
        pending = self._pending.pop(sub_request.attempt_id, None)
        if pending is not None:
            self._cancel_batcher.add(pending.tried_owners[-1], sub_request.attempt_id)
        else:
            self._owner_task.cancel(sub_request)

    def handle_member_change(self, change: membership.Change) -> None:
        """Fail the attempts that await a result from an owner declared dead."""
        if change.after is not messages.MemberState.DEAD:
            return
        failed = [
            pending
            for pending in self._pending.values()
            if pending.tried_owners[-1] == change.member
        ]
        self.counters.failed_on_dead_owner += len(failed)
        for pending in failed:
            attempt_id = pending.sub_request.attempt_id
            kind = attempts.FailureKind.CONNECTION
            self._complete(attempts.Failed(attempt_id, kind))

    def _route(self, pending: _PendingAttempt) -> None:
        """Send an attempt to the first usable owner that has not been tried.

        Refuse the attempt if there is none.
        """
        owner = self._choose_owner(pending)
        if owner is None:
            attempt_id = pending.sub_request.attempt_id
            kind = attempts.RefusalKind.NO_CONNECTION
            pending.on_result(attempts.Refused(attempt_id, kind))
        elif owner == self._link.member:
            remaining_s = pending.deadline_s - self._clock()
            self._owner_task.enqueue_local(
                _with_remaining_time(pending.sub_request, remaining_s),
                pending.on_result,
            )
        else:
            pending.tried_owners.append(owner)
            self._pending[pending.sub_request.attempt_id] = pending
            self._request_batcher.add(owner, pending.sub_request.attempt_id)

    def _choose_owner(self, pending: _PendingAttempt) -> names.MemberId | None:
        server = self._servers.find(pending.sub_request.replica)
        if server is None:
            return None
        self.refresh_members()
        candidates = self._replica_owners.list_owners(server)
        if self._owner_task.may_connect(server):
            # While leaving, this host is not listed as usable, but it can serve itself.
            candidates += (self._link.member,)
        untried = (each for each in candidates if each not in pending.tried_owners)
        return next(untried, None)

    def refresh_members(self) -> None:
        """Apply the current members to the ownership, if they have changed."""
        view = self._heartbeat_task.membership
        if view.revision != self._members_revision:
            self._members_revision = view.revision
            self._replica_owners.replace_members(view.list_usable())

    def _send_requests(self, owner: names.MemberId, attempt_ids: tuple) -> None:
        now = self._clock()
        to_send = [
            self._pending[attempt_id]
            for attempt_id in attempt_ids
            if attempt_id in self._pending
        ]
        if not to_send:
            return
        batch = messages.RelayBatch(
            tuple(
                _with_remaining_time(each.sub_request, each.deadline_s - now)
                for each in to_send
            )
        )
        if self._link.send(owner, batch):
            self.counters.batches += 1
            self.counters.relayed += len(to_send)
            return
        # Nothing was sent, so another owner is safe even for non-idempotent requests.
        self.counters.unsent += len(to_send)
        for pending in to_send:
            del self._pending[pending.sub_request.attempt_id]
            self._route(pending)

    def _send_cancels(self, owner: names.MemberId, attempt_ids: tuple) -> None:
        self._link.send(owner, messages.RelayCancel(attempt_ids))

    def _handle_results(self, delivery: peers.Delivery) -> None:
        sender = delivery.envelope.sender
        for result in delivery.envelope.message.results:
            pending = self._pending.get(result.attempt_id)
            if pending is None or pending.tried_owners[-1] != sender:
                self.counters.late_results += 1
            elif _can_try_next_owner(result):
                del self._pending[result.attempt_id]
                self._route(pending)
            else:
                self._complete(result)

    def _complete(self, result: attempts.AttemptResult) -> None:
        pending = self._pending.pop(result.attempt_id, None)
        if pending is not None:
            pending.on_result(result)

    def _expire_pending(self) -> None:
        """Periodically drop attempts that are past their deadline by `PENDING_GRACE_S`.

        Their queries no longer wait for them.
        """
        while True:
            expiry_cutoff_s = self._clock() - PENDING_GRACE_S
            expired = [
                attempt_id
                for attempt_id, pending in self._pending.items()
                if pending.deadline_s < expiry_cutoff_s
            ]
            collections.deque(map(self._pending.pop, expired), maxlen=0)
            eventlet.sleep(EXPIRY_INTERVAL_S)


def _can_try_next_owner(result: attempts.AttemptResult) -> bool:
    """Return whether the owner refused because it is leaving or not the owner."""
    return isinstance(result, attempts.Refused) and result.kind in (
        attempts.RefusalKind.LEAVING,
        attempts.RefusalKind.NOT_OWNER,
    )


def _is_service_time_sample(result: attempts.AttemptResult) -> bool:
    match result:
        case attempts.Answered():
            return True
        case attempts.Failed(_, attempts.FailureKind.TIMEOUT):
            return True
    return False


def _with_remaining_time(
    sub_request: attempts.SubRequest, remaining_s: float
) -> attempts.SubRequest:
    return attempts.SubRequest(
        sub_request.request_id,
        sub_request.attempt_id,
        sub_request.replica,
        sub_request.shard,
        sub_request.snapshot,
        sub_request.operation,
        max(0.0, remaining_s),
        sub_request.idempotent,
    )
