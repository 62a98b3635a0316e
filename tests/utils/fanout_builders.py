"""Builds fan-outs, and a policy whose replicas, delays and budget a test sets."""

import itertools

from corianderrill import attempts, catalog, deadlines, fanout, merge, names

FLEET = names.FleetName("gantry")
SERVICE = names.ServiceId(FLEET, names.ServiceName("lookup"))
DEADLINE_S = 1.0


def make_shards(count: int = 2) -> tuple[names.ShardId, ...]:
    return tuple(
        names.ShardId(SERVICE, names.ShardName(f"s{number:02}"))
        for number in range(count)
    )


def make_snapshot(
    shards: tuple[names.ShardId, ...], version: int = 7
) -> catalog.Snapshot:
    bounds = [
        catalog.HASH_SPACE * number // len(shards) for number in range(len(shards) + 1)
    ]
    partitions = tuple(
        catalog.Partition(shard, low, high)
        for shard, (low, high) in zip(shards, itertools.pairwise(bounds), strict=True)
    )
    snapshot_id = names.SnapshotId(FLEET, names.IndexVersion(version))
    return catalog.Snapshot(snapshot_id, {SERVICE: partitions})


def make_replica(shard: names.ShardId, number: int) -> names.ReplicaId:
    host = names.HostName(f"{shard.name}-{number}")
    return names.ReplicaId(FLEET, host, names.Incarnation("1"))


class ScriptedPolicy:
    """Chooses replicas in order; the test sets the delays and the budget."""

    max_attempts_per_shard = 8

    def __init__(self, replica_count=3, hedge_after_s=None, timeout_s=None, budget=100):
        self.replica_count = replica_count
        self.hedge_after_s = hedge_after_s
        self.timeout_s = timeout_s
        self.budget = budget
        self.cancelled = []

    def list_replicas(self, shard):
        return [make_replica(shard, number) for number in range(self.replica_count)]

    def apply_host_list(self, servers, now):
        pass

    def choose_replica(self, shard, snapshot, exclude, now):
        usable = [each for each in self.list_replicas(shard) if each not in exclude]
        return usable[0] if usable else None

    def hedge_delay_s(self, service, now):
        return self.hedge_after_s

    def attempt_timeout_s(self, service, now):
        return self.timeout_s

    def try_spend_budget(self, purpose, now):
        if not self.budget:
            return False
        self.budget -= 1
        return True

    def record_sent(self, sub_request, purpose, now):
        pass

    def record_result(self, sub_request, result, elapsed_s, now):
        pass

    def record_report(self, replica, report, draining, now):
        pass

    def record_cancelled(self, sub_request, now):
        self.cancelled.append(sub_request.attempt_id)


def make_fan_out(
    policy: ScriptedPolicy, shard_count=2, idempotent=True
) -> fanout.FanOut:
    shards = make_shards(shard_count)
    snapshot = make_snapshot(shards)
    operation = attempts.FindRows({}) if idempotent else attempts.WriteRow("key", {})
    spec = fanout.FanOutSpec(
        names.RequestId("request"),
        snapshot.id,
        operation,
        deadlines.Deadline(DEADLINE_S),
        idempotent,
    )
    return fanout.FanOut(spec, shards, policy, merge.ReplyMerger(snapshot, shards))


def list_sent(actions: list[fanout.Action]) -> list[attempts.SubRequest]:
    return [action.sub_request for action in actions if isinstance(action, fanout.Send)]


def make_answer(sub_request: attempts.SubRequest, *keys: str) -> attempts.Answered:
    rows = tuple(attempts.ReplyRow(key, {}) for key in keys)
    return attempts.Answered(sub_request.attempt_id, rows, attempts.HeldVersions(1, 7))


def make_refusal(
    sub_request: attempts.SubRequest, kind: attempts.RefusalKind
) -> attempts.Refused:
    return attempts.Refused(sub_request.attempt_id, kind)


def make_failure(sub_request: attempts.SubRequest) -> attempts.Failed:
    return attempts.Failed(sub_request.attempt_id, attempts.FailureKind.CONNECTION)
