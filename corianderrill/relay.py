"""The tasks that carry sub-requests from their origin to the owner of a replica.

`OwnerTask` runs on every host for the replicas that it owns; `OwnerDispatcher` sends
the sub-requests of a host's own queries to owners, the own host among them. Both
batch what they send within a short time.
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

BATCH_S = 0.001
MAX_BATCH = 64
# Beyond the deadline the result is of no use and its entry is dropped.
PENDING_GRACE_S = 1.0
SWEEP_INTERVAL_S = 0.5
TICK_S = 0.005

log = logbook.Logger("relay")

Deliver = Callable[[attempts.AttemptResult], None]
Execute = Callable[[attempts.SubRequest], attempts.AttemptResult]
Cancel = Callable[[attempts.SubRequest], None]
SendBatch = Callable[[names.MemberId, tuple], None]


@dataclasses.dataclass(slots=True)
class RelayCounters:
    """What was relayed since the start."""

    own: int = 0
    relayed: int = 0
    batches: int = 0
    unsent: int = 0
    served_for_peers: int = 0
    late_results: int = 0
    lost_owners: int = 0
    execute_faults: int = 0


class Batcher:
    """Collects items for each host and sends them after `BATCH_S` or when full."""

    def __init__(self, send: SendBatch) -> None:
        self._send = send
        self._waiting: dict[names.MemberId, list] = {}

    def add(self, member: names.MemberId, item) -> None:
        """Queue an item for a host."""
        waiting = self._waiting.setdefault(member, [])
        waiting.append(item)
        if len(waiting) >= MAX_BATCH:
            self._flush(member)
        elif len(waiting) == 1:
            eventlet.spawn_after(BATCH_S, self._flush, member)

    def flush(self) -> None:
        """Send everything that waits."""
        for member in tuple(self._waiting):
            self._flush(member)

    def _flush(self, member: names.MemberId) -> None:
        items = self._waiting.pop(member, None)
        if items:
            self._send(member, tuple(items))


class OwnerTask:
    """Runs the sub-requests for the replicas that this host owns.

    `execute` sends one sub-request and waits for its end; `cancel` tells the backend
    server that a running one is given up; `may_connect` tells whether this host may
    hold connections to a server.
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
        self._is_leaving = False
        self._local: dict[str, Deliver] = {}
        self._replies = Batcher(self._send_results)
        self._task = None

    def start(self) -> None:
        """Take relays of peers."""
        self._link.register(messages.RelayBatch, self._take_batch)
        self._link.register(messages.RelayCancel, self._take_cancel)
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Take no more; call it once nothing is in flight."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def leave(self) -> None:
        """Refuse new work as not run; what was taken before is finished."""
        self._is_leaving = True

    def count_in_flight(self) -> int:
        """Return how many sub-requests wait or run here."""
        return sum(queue.length + queue.running for queue in self.queues.values())

    def forget(self, replica: names.ReplicaId) -> None:
        """Drop the queue of a replica that is gone, once nothing is in it."""
        queue = self.queues.get(replica)
        if queue is not None and not queue.length + queue.running:
            del self.queues[replica]

    def run_local(self, sub_request: attempts.SubRequest, deliver: Deliver) -> None:
        """Queue a sub-request of this host's own query."""
        self.counters.own += 1
        self._local[sub_request.attempt_id] = deliver
        self._take(sub_request, self._link.member, sub_request.remaining_s)

    def cancel(self, sub_request: attempts.SubRequest) -> None:
        """Give up a sub-request, whoever its origin is."""
        queue = self.queues.get(sub_request.replica)
        if queue is None:
            return
        phase = queue.cancel(sub_request.attempt_id)
        if phase is owner_queues.JobState.QUEUED:
            self._local.pop(sub_request.attempt_id, None)
        elif phase is owner_queues.JobState.RUNNING:
            self._cancel(sub_request)

    def _run(self) -> None:
        """Drop waiting jobs that have become too late."""
        while True:
            now = self._clock()
            for queue in tuple(self.queues.values()):
                if queue.length:
                    self._act(queue, queue.advance(now))
            eventlet.sleep(TICK_S)

    def _take_batch(self, delivery: peers.Delivery) -> None:
        for sub_request in delivery.envelope.message.requests:
            self.counters.served_for_peers += 1
            remaining_s = sub_request.remaining_s - delivery.age_s
            self._take(sub_request, delivery.envelope.sender, remaining_s)

    def _take_cancel(self, delivery: peers.Delivery) -> None:
        wanted = set(delivery.envelope.message.attempt_ids)
        for queue in self.queues.values():
            for job in queue.find_jobs(wanted):
                if job.origin == delivery.envelope.sender:
                    self.cancel(job.sub_request)

    def _take(
        self, sub_request: attempts.SubRequest, origin: names.MemberId, remaining_s
    ) -> None:
        now = self._clock()
        job = owner_queues.Job(sub_request, origin, now, now + remaining_s)
        kind = self._find_refusal(sub_request, origin)
        if kind is not None:
            self._finish(job, attempts.Refused(sub_request.attempt_id, kind))
            return
        queue = self._get_queue(sub_request.replica)
        self._act(queue, queue.add(job, now))

    def _find_refusal(
        self, sub_request: attempts.SubRequest, origin: names.MemberId
    ) -> attempts.RefusalKind | None:
        # The own queries in flight are finished also while leaving.
        if self._is_leaving and origin != self._link.member:
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
            limit = (
                self._servers.find(replica).slots
                + connection_shares.PREFETCHED_REQUESTS
            )
            queue = self.queues[replica] = owner_queues.OwnerQueue(limit)
        return queue

    def _act(
        self,
        queue: owner_queues.OwnerQueue,
        actions: Iterable[owner_queues.Start | owner_queues.Drop],
    ) -> None:
        for action in actions:
            match action:
                case owner_queues.Start(job):
                    eventlet.spawn_n(self._serve, queue, job)
                case owner_queues.Drop(job, kind):
                    attempt_id = job.sub_request.attempt_id
                    self._finish(job, attempts.Refused(attempt_id, kind))

    def _serve(self, queue: owner_queues.OwnerQueue, job: owner_queues.Job) -> None:
        attempt_id = job.sub_request.attempt_id
        started_s = self._clock()
        remaining_s = job.deadline_s - started_s
        served_s = None
        result = attempts.Failed(attempt_id, attempts.FailureKind.CONNECTION)
        try:
            if remaining_s <= 0:
                # The host was paused between the queue's decision and this line.
                result = attempts.Refused(attempt_id, attempts.RefusalKind.TOO_LATE)
            else:
                result = self._execute(_replace_remaining(job.sub_request, remaining_s))
                if _shows_service_time(result):
                    served_s = self._clock() - started_s
        except Exception:
            self.counters.execute_faults += 1
            log.exception("an attempt on {} failed", job.sub_request.replica)
        finally:
            self._finish(job, result)
            self._act(queue, queue.finish(attempt_id, self._clock(), served_s))

    def _finish(self, job: owner_queues.Job, result: attempts.AttemptResult) -> None:
        if job.origin != self._link.member:
            self._replies.add(job.origin, result)
            return
        deliver = self._local.pop(job.sub_request.attempt_id, None)
        if deliver is not None:
            deliver(result)

    def _send_results(self, origin: names.MemberId, results: tuple) -> None:
        if not self._link.send(origin, messages.RelayReply(results)):
            self.counters.unsent += len(results)


@dataclasses.dataclass(slots=True)
class _Pending:
    """A sub-request whose result is awaited from an owner; `owner` None: not sent."""

    sub_request: attempts.SubRequest
    deliver: Deliver
    deadline_s: float
    tried: list[names.MemberId]


class OwnerDispatcher:
    """Sends the sub-requests of this host's queries to the owners of their replicas."""

    def __init__(
        self,
        link: peers.PeerLink,
        beats: heartbeats.HeartbeatTask,
        owned: ownership.Ownership,
        servers: directory.Directory,
        task: OwnerTask,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.counters = RelayCounters()
        self._link = link
        self._beats = beats
        self._owned = owned
        self._servers = servers
        self._task = task
        self._clock = clock
        self._members_revision = -1
        self._pending: dict[str, _Pending] = {}
        self._requests = Batcher(self._send_requests)
        self._cancels = Batcher(self._send_cancels)
        self._sweeper = None

    def start(self) -> None:
        """Take the results that owners send."""
        self._link.register(messages.RelayReply, self._take_results)
        self._sweeper = eventlet.spawn(self._sweep)

    def stop(self) -> None:
        """Take no more results."""
        if self._sweeper is not None:
            self._sweeper.kill()
            self._sweeper = None

    def count_in_flight(self) -> int:
        """Return how many sub-requests wait for an owner's result."""
        return len(self._pending)

    def send(self, sub_request: attempts.SubRequest, deliver: Deliver) -> None:
        """Start an attempt; `deliver` gets its result once, or never."""
        deadline_s = self._clock() + sub_request.remaining_s
        self._route(_Pending(sub_request, deliver, deadline_s, []))

    def cancel(self, sub_request: attempts.SubRequest) -> None:
        """Give up an attempt whose result is no longer wanted."""
        pending = self._pending.pop(sub_request.attempt_id, None)
        if pending is not None:
            self._cancels.add(pending.tried[-1], sub_request.attempt_id)
        else:
            self._task.cancel(sub_request)

    def take_change(self, change: membership.Change) -> None:
        """Fail at once what an owner that died had been sent."""
        if change.after is not messages.MemberState.DEAD:
            return
        lost = [
            pending
            for pending in self._pending.values()
            if pending.tried[-1] == change.member
        ]
        self.counters.lost_owners += len(lost)
        for pending in lost:
            attempt_id = pending.sub_request.attempt_id
            kind = attempts.FailureKind.CONNECTION
            self._deliver(attempts.Failed(attempt_id, kind))

    def _route(self, pending: _Pending) -> None:
        """Give an attempt to the first usable owner that it was not given to."""
        owner = self._choose_owner(pending)
        if owner is None:
            attempt_id = pending.sub_request.attempt_id
            kind = attempts.RefusalKind.NO_CONNECTION
            pending.deliver(attempts.Refused(attempt_id, kind))
        elif owner == self._link.member:
            remaining_s = pending.deadline_s - self._clock()
            self._task.run_local(
                _replace_remaining(pending.sub_request, remaining_s), pending.deliver
            )
        else:
            pending.tried.append(owner)
            self._pending[pending.sub_request.attempt_id] = pending
            self._requests.add(owner, pending.sub_request.attempt_id)

    def _choose_owner(self, pending: _Pending) -> names.MemberId | None:
        server = self._servers.find(pending.sub_request.replica)
        if server is None:
            return None
        self.follow_members()
        owners_of_server = self._owned.list_owners(server)
        if self._task.may_connect(server):
            # The own host is no usable owner while it leaves, but better than none.
            owners_of_server += (self._link.member,)
        untried = (each for each in owners_of_server if each not in pending.tried)
        return next(untried, None)

    def follow_members(self) -> None:
        """Take in the newest view of the members."""
        view = self._beats.membership
        if view.revision != self._members_revision:
            self._members_revision = view.revision
            self._owned.replace_members(view.list_usable())

    def _send_requests(self, owner: names.MemberId, attempt_ids: tuple) -> None:
        now = self._clock()
        waiting = [
            self._pending[attempt_id]
            for attempt_id in attempt_ids
            if attempt_id in self._pending
        ]
        if not waiting:
            return
        batch = messages.RelayBatch(
            tuple(
                _replace_remaining(each.sub_request, each.deadline_s - now)
                for each in waiting
            )
        )
        if self._link.send(owner, batch):
            self.counters.batches += 1
            self.counters.relayed += len(waiting)
            return
        # Nothing was sent, so another owner may be tried whatever the request is.
        self.counters.unsent += len(waiting)
        for pending in waiting:
            del self._pending[pending.sub_request.attempt_id]
            self._route(pending)

    def _send_cancels(self, owner: names.MemberId, attempt_ids: tuple) -> None:
        self._link.send(owner, messages.RelayCancel(attempt_ids))

    def _take_results(self, delivery: peers.Delivery) -> None:
        sender = delivery.envelope.sender
        for result in delivery.envelope.message.results:
            pending = self._pending.get(result.attempt_id)
            if pending is None or pending.tried[-1] != sender:
                self.counters.late_results += 1
            elif _is_refused_by_owner(result):
                del self._pending[result.attempt_id]
                self._route(pending)
            else:
                self._deliver(result)

    def _deliver(self, result: attempts.AttemptResult) -> None:
        pending = self._pending.pop(result.attempt_id, None)
        if pending is not None:
            pending.deliver(result)

    def _sweep(self) -> None:
        """Forget attempts whose deadline is long past; their origin gave them up."""
        while True:
            limit_s = self._clock() - PENDING_GRACE_S
            late = [
                attempt_id
                for attempt_id, pending in self._pending.items()
                if pending.deadline_s < limit_s
            ]
            collections.deque(map(self._pending.pop, late), maxlen=0)
            eventlet.sleep(SWEEP_INTERVAL_S)


def _is_refused_by_owner(result: attempts.AttemptResult) -> bool:
    """Whether the owner itself refused, so that the next owner may be asked."""
    return isinstance(result, attempts.Refused) and result.kind in (
        attempts.RefusalKind.LEAVING,
        attempts.RefusalKind.NOT_OWNER,
    )


def _shows_service_time(result: attempts.AttemptResult) -> bool:
    match result:
        case attempts.Answered():
            return True
        case attempts.Failed(_, attempts.FailureKind.TIMEOUT):
            return True
    return False


def _replace_remaining(
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
