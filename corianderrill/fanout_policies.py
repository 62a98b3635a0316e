"""Policies that steer a fan-out: which replica, when to hedge, when to retry.

`FixedSteering` is the baseline that `AdaptiveSteering` is measured against.
"""

import itertools
import random

from corianderrill import (
    attempts,
    catalog,
    directory,
    fanout,
    hedging,
    hostlist,
    names,
    replicas,
)

LOST_AFTER_S = 0.5
RESULTS_BY_REFUSAL = {
    attempts.RefusalKind.NO_SNAPSHOT: replicas.AttemptOutcome.SNAPSHOT_MISSING,
    attempts.RefusalKind.DRAINING: replicas.AttemptOutcome.DRAINING,
    attempts.RefusalKind.NO_CONNECTION: replicas.AttemptOutcome.FAILED,
    attempts.RefusalKind.CANCELLED: replicas.AttemptOutcome.CANCELLED,
}


class AdaptivePolicy:
    """Own observations choose the replica; hedges and retries share a budget."""

    max_attempts_per_shard = 8

    def __init__(
        self,
        zone: names.ZoneName,
        catalogs: dict[names.FleetName, catalog.Catalog],
        clock_rng: random.Random,
        hedges: hedging.HedgingPolicy | None = None,
    ):
        self.replicas = replicas.ReplicaSet()
        self.hedging = hedges or hedging.HedgingPolicy()
        self._zone = zone
        self._catalogs = catalogs
        self._rng = clock_rng

    def list_replicas(self, shard: names.ShardId) -> list[names.ReplicaId]:
        """Return the replicas of a shard that may get new work."""
        return self.replicas.list_usable(shard)

    def apply_host_list(
        self, servers: tuple[hostlist.BackendServer, ...], now: float
    ) -> None:
        """Take a new host list: add, drain and remove replicas."""
        listed = {server.replica for server in servers}
        known = [record.id for record in self.replicas]
        is_first_list = not known
        for replica in known:
            if replica not in listed:
                self._remove(replica, now)
        for server in servers:
            self.replicas.add(
                server.replica,
                server.zone,
                server.shard_ids,
                now,
                slots=server.slots,
                skip_slow_start=is_first_list,
            )
            if server.state is hostlist.HostState.LEAVING:
                source = replicas.DrainSource.HOST_LIST
                self.replicas.drain(server.replica, source, now)

    def _remove(self, replica: names.ReplicaId, now: float) -> None:
        self.replicas.remove(replica, now)
        known = self._catalogs.get(replica.fleet)
        if known is not None:
            known.forget(replica)

    def choose_replica(
        self,
        shard: names.ShardId,
        snapshot: names.SnapshotId,
        exclude: frozenset[names.ReplicaId],
        now: float,
    ) -> names.ReplicaId | None:
        """Return the cheaper of two that may hold the snapshot, own zone first."""
        candidates = self.replicas.list_all(shard)
        known = self._catalogs.get(snapshot.fleet)
        if known is not None:
            candidates = known.list_holders(candidates, shard, snapshot, now)
        return self.replicas.choose(candidates, self._zone, now, self._rng, exclude)

    def hedge_delay_s(self, service: names.ServiceId, now: float) -> float | None:
        """Return a high quantile of the service; None where all is slow."""
        return self.hedging.hedge_delay_s(service, now)

    def attempt_timeout_s(self, service: names.ServiceId, now: float) -> float | None:
        """Leave a lost attempt to its hedge, and past that to a long timeout."""
        return LOST_AFTER_S

    def try_spend_budget(self, purpose: fanout.AttemptPurpose, now: float) -> bool:
        """Take one from the budget that hedges and retries share."""
        return self.hedging.budget.try_spend(now)

    def record_sent(
        self,
        sub_request: attempts.SubRequest,
        purpose: fanout.AttemptPurpose,
        now: float,
    ) -> None:
        """Count the attempt against its replica, and earn budget."""
        self.replicas.record_start(sub_request.replica, sub_request.attempt_id, now)
        if purpose is fanout.AttemptPurpose.FIRST:
            self.hedging.budget.record_sent(1, now)

    def record_result(
        self,
        sub_request: attempts.SubRequest,
        result: attempts.AttemptResult,
        elapsed_s: float,
        now: float,
    ) -> None:
        """Learn latency, failures and held versions from the end of an attempt."""
        outcome = _classify(result)
        self.replicas.record_outcome(
            sub_request.replica, sub_request.attempt_id, outcome, now
        )
        if outcome is replicas.AttemptOutcome.ANSWERED:
            service = sub_request.shard.service
            self.hedging.record(service, elapsed_s, now)
        self._note_held(sub_request, result, now)

    def record_report(
        self,
        replica: names.ReplicaId,
        report: replicas.HealthReport,
        draining: bool,
        now: float,
    ) -> None:
        """Add caution, and stop new work where the replica drains."""
        self.replicas.record_report(replica, report, draining, now)

    def record_cancelled(self, sub_request: attempts.SubRequest, now: float) -> None:
        """Learn that the attempt took at least this long."""
        self.replicas.record_outcome(
            sub_request.replica,
            sub_request.attempt_id,
            replicas.AttemptOutcome.CANCELLED,
            now,
        )

    def record_loop_lag(self, lag_s: float, now: float) -> None:
        """Learn how late the event loop is, so that it delays hedges."""
        self.hedging.record_loop_lag(lag_s, now)

    def _note_held(
        self,
        sub_request: attempts.SubRequest,
        result: attempts.AttemptResult,
        now: float,
    ) -> None:
        known = self._catalogs.get(sub_request.replica.fleet)
        match result:
            case attempts.Failed():
                return
            case attempts.Answered(held=held) | attempts.Refused(held=held):
                if held is not None and known is not None:
                    known.observe(
                        sub_request.replica, sub_request.shard, held.low, held.high, now
                    )


def _classify(result: attempts.AttemptResult) -> replicas.AttemptOutcome:
    match result:
        case attempts.Answered():
            return replicas.AttemptOutcome.ANSWERED
        case attempts.Refused(kind=kind):
            return RESULTS_BY_REFUSAL.get(kind, replicas.AttemptOutcome.SHED)
        case attempts.Failed():
            return replicas.AttemptOutcome.FAILED


class RoundRobinPolicy:
    """Round robin over all replicas, no hedge, one retry on a fixed timeout."""

    max_attempts_per_shard = 2

    def __init__(self, servers: directory.Directory, retry_after_s: float):
        self._servers = servers
        self._retry_after_s = retry_after_s
        self._turns = itertools.count()

    def list_replicas(self, shard: names.ShardId) -> tuple[names.ReplicaId, ...]:
        """Return the live replicas of a shard."""
        return self._servers.list_replicas(shard)

    def apply_host_list(
        self, servers: tuple[hostlist.BackendServer, ...], now: float
    ) -> None:
        """Learn nothing; the directory has the list."""

    def choose_replica(
        self,
        shard: names.ShardId,
        snapshot: names.SnapshotId,
        exclude: frozenset[names.ReplicaId],
        now: float,
    ) -> names.ReplicaId | None:
        """Return the next replica in turn that is not excluded."""
        replicas = [
            replica
            for replica in self._servers.list_replicas(shard)
            if replica not in exclude
        ]
        if not replicas:
            return None
        return replicas[next(self._turns) % len(replicas)]

    def hedge_delay_s(self, service: names.ServiceId, now: float) -> float | None:
        """Never hedge."""
        return None

    def attempt_timeout_s(self, service: names.ServiceId, now: float) -> float | None:
        """Count an attempt as lost after the fixed timeout."""
        return self._retry_after_s

    def try_spend_budget(self, purpose: fanout.AttemptPurpose, now: float) -> bool:
        """Allow every retry."""
        return True

    def record_sent(
        self,
        sub_request: attempts.SubRequest,
        purpose: fanout.AttemptPurpose,
        now: float,
    ) -> None:
        """Learn nothing."""

    def record_result(
        self,
        sub_request: attempts.SubRequest,
        result: attempts.AttemptResult,
        elapsed_s: float,
        now: float,
    ) -> None:
        """Learn nothing."""

    def record_report(
        self,
        replica: names.ReplicaId,
        report: replicas.HealthReport,
        draining: bool,
        now: float,
    ) -> None:
        """Learn nothing."""

    def record_cancelled(self, sub_request: attempts.SubRequest, now: float) -> None:
        """Learn nothing."""

    def record_loop_lag(self, lag_s: float, now: float) -> None:
        """Learn nothing."""
