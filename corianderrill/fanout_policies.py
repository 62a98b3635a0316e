"""Policies of a fan-out: which replica to choose, when to hedge, when to retry.

`RoundRobinPolicy` is the baseline that `AdaptivePolicy` is compared with.
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

ATTEMPT_TIMEOUT_S = 0.5
OUTCOMES_BY_REFUSAL = {
    attempts.RefusalKind.NO_SNAPSHOT: replicas.AttemptOutcome.SNAPSHOT_MISSING,
    attempts.RefusalKind.DRAINING: replicas.AttemptOutcome.DRAINING,
    attempts.RefusalKind.NO_CONNECTION: replicas.AttemptOutcome.FAILED,
    attempts.RefusalKind.CANCELLED: replicas.AttemptOutcome.CANCELLED,
}


class AdaptivePolicy:
    """Chooses by what this host measures; hedges and retries share one budget."""

    max_attempts_per_shard = 8

    def __init__(
        self,
        zone: names.ZoneName,
        catalogs: dict[names.FleetName, catalog.Catalog],
        rng: random.Random,
        hedging_policy: hedging.HedgingPolicy | None = None,
    ):
        self.replicas = replicas.ReplicaSet()
        self.hedging = hedging_policy or hedging.HedgingPolicy()
        self._zone = zone
        self._catalogs = catalogs
        self._rng = rng

    def list_replicas(self, shard: names.ShardId) -> list[names.ReplicaId]:
        """Return the replicas of a shard that may be chosen, ejected ones included."""
        return self.replicas.list_choosable(shard)

    def apply_host_list(
        self, servers: tuple[hostlist.BackendServer, ...], now: float
    ) -> None:
        """Add, drain and remove replicas as a new host list says."""
        listed_replicas = {server.replica for server in servers}
        known_replicas = [record.id for record in self.replicas]
        is_first_list = not known_replicas
        for replica in known_replicas:
            if replica not in listed_replicas:
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
        fleet_catalog = self._catalogs.get(replica.fleet)
        if fleet_catalog is not None:
            fleet_catalog.remove_replica(replica)

    def choose_replica(
        self,
        shard: names.ShardId,
        snapshot: names.SnapshotId,
        exclude: frozenset[names.ReplicaId],
        now: float,
    ) -> names.ReplicaId | None:
        """Return the cheaper of two random replicas that may hold the snapshot.

        The zone of this host is preferred.
        """
        candidates = self.replicas.list_all(shard)
        fleet_catalog = self._catalogs.get(snapshot.fleet)
        if fleet_catalog is not None:
            candidates = fleet_catalog.list_holders(candidates, shard, snapshot, now)
        return self.replicas.choose(candidates, self._zone, now, self._rng, exclude)

    def hedge_delay_s(self, service: names.ServiceId, now: float) -> float | None:
        """Return how long to wait before a hedge; None for no hedge."""
        return self.hedging.hedge_delay_s(service, now)

    def attempt_timeout_s(self, service: names.ServiceId, now: float) -> float | None:
        """Return a fixed timeout, long enough for a hedge to be sent first."""
        return ATTEMPT_TIMEOUT_S

    def try_spend_budget(self, purpose: fanout.AttemptPurpose, now: float) -> bool:
        """Spend one extra attempt of the budget that hedges and retries share."""
        return self.hedging.budget.try_spend(now)

    def record_sent(
        self,
        sub_request: attempts.SubRequest,
        purpose: fanout.AttemptPurpose,
        now: float,
    ) -> None:
        """Count the attempt as outstanding; a first attempt also adds to the budget."""
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
        """Record latency, outcome and held index versions at the end of an attempt."""
        outcome = _classify_outcome(result)
        self.replicas.record_outcome(
            sub_request.replica, sub_request.attempt_id, outcome, now
        )
        if outcome is replicas.AttemptOutcome.ANSWERED:
            service = sub_request.shard.service
            self.hedging.record_latency(service, elapsed_s, now)
        self._record_held_versions(sub_request, result, now)

    def record_report(
        self,
        replica: names.ReplicaId,
        report: replicas.HealthReport,
        draining: bool,
        now: float,
    ) -> None:
        """Apply the reported load and health; drain a replica that reports draining."""
        self.replicas.record_report(replica, report, draining, now)

    def record_cancelled(self, sub_request: attempts.SubRequest, now: float) -> None:
        """Record a cancelled attempt; its latency is at least the elapsed time."""
        self.replicas.record_outcome(
            sub_request.replica,
            sub_request.attempt_id,
            replicas.AttemptOutcome.CANCELLED,
            now,
        )

    def record_loop_lag(self, lag_s: float, now: float) -> None:
        """Record how late the event loop runs timers; hedges are delayed by as much."""
        self.hedging.record_loop_lag(lag_s, now)

    def _record_held_versions(
        self,
        sub_request: attempts.SubRequest,
        result: attempts.AttemptResult,
        now: float,
    ) -> None:
        fleet_catalog = self._catalogs.get(sub_request.replica.fleet)
        match result:
            case attempts.Failed():
                return
            case attempts.Answered(held=held) | attempts.Refused(held=held):
                if held is not None and fleet_catalog is not None:
                    fleet_catalog.record_held_versions(
                        sub_request.replica, sub_request.shard, held.low, held.high, now
                    )


def _classify_outcome(result: attempts.AttemptResult) -> replicas.AttemptOutcome:
    match result:
        case attempts.Answered():
            return replicas.AttemptOutcome.ANSWERED
        case attempts.Refused(kind=kind):
            # Every other refusal starts a backoff, as load shedding does.
            return OUTCOMES_BY_REFUSAL.get(kind, replicas.AttemptOutcome.SHED)
        case attempts.Failed():
            return replicas.AttemptOutcome.FAILED


class RoundRobinPolicy:
    """Round robin over all replicas, no hedges, one retry after a fixed timeout."""

    max_attempts_per_shard = 2

    def __init__(self, server_directory: directory.Directory, attempt_timeout_s: float):
        self._directory = server_directory
        self._attempt_timeout_s = attempt_timeout_s
        self._counter = itertools.count()

    def list_replicas(self, shard: names.ShardId) -> tuple[names.ReplicaId, ...]:
        """Return the live replicas of a shard."""
        return self._directory.list_replicas(shard)

    def apply_host_list(
        self, servers: tuple[hostlist.BackendServer, ...], now: float
    ) -> None:
        """Do nothing; the directory already has the list."""

    def choose_replica(
        self,
        shard: names.ShardId,
        snapshot: names.SnapshotId,
        exclude: frozenset[names.ReplicaId],
        now: float,
    ) -> names.ReplicaId | None:
        """Return the next replica, in round-robin order, that is not excluded."""
        candidates = [
            replica
            for replica in self._directory.list_replicas(shard)
            if replica not in exclude
        ]
        if not candidates:
            return None
        return candidates[next(self._counter) % len(candidates)]

    def hedge_delay_s(self, service: names.ServiceId, now: float) -> float | None:
        """Return None: no hedges are sent."""
        return None

    def attempt_timeout_s(self, service: names.ServiceId, now: float) -> float | None:
        """Return the fixed timeout after which an attempt counts as lost."""
        return self._attempt_timeout_s

    def try_spend_budget(self, purpose: fanout.AttemptPurpose, now: float) -> bool:
        """Return True: every retry is allowed."""
        return True

    def record_sent(
        self,
        sub_request: attempts.SubRequest,
        purpose: fanout.AttemptPurpose,
        now: float,
    ) -> None:
        """Do nothing."""

    def record_result(
        self,
        sub_request: attempts.SubRequest,
        result: attempts.AttemptResult,
        elapsed_s: float,
        now: float,
    ) -> None:
        """Do nothing."""

    def record_report(
        self,
        replica: names.ReplicaId,
        report: replicas.HealthReport,
        draining: bool,
        now: float,
    ) -> None:
        """Do nothing."""

    def record_cancelled(self, sub_request: attempts.SubRequest, now: float) -> None:
        """Do nothing."""

    def record_loop_lag(self, lag_s: float, now: float) -> None:
        """Do nothing."""
