"""Builders of fan-outs over a scripted policy."""

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


class ScriptedSteering:
    """Replicas in order; hedges and retries as a test sets them."""

    max_attempts_per_shard = 8

    def __init__(self, replicas=3, hedge_s=None, lost_s=None, extra=100):
        self.replicas = replicas
        self.hedge_s = hedge_s
        self.lost_s = lost_s
        self.extra = extra
        self.cancelled = []

    def list_replicas(self, shard):
        return [make_replica(shard, number) for number in range(self.replicas)]

    def apply_host_list(self, servers, now):
        pass

    def choose_replica(self, shard, snapshot, exclude, now):
        left = [r for r in self.list_replicas(shard) if r not in exclude]
        return left[0] if left else None

    def hedge_delay_s(self, service, now):
        return self.hedge_s

    def attempt_timeout_s(self, service, now):
        return self.lost_s

    def try_spend_budget(self, purpose, now):
        if not self.extra:
            return False
        self.extra -= 1
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
    steering: ScriptedSteering, shards=2, idempotent=True
) -> fanout.FanOut:
    ids = make_shards(shards)
    snapshot = make_snapshot(ids)
    operation = attempts.FindRows({}) if idempotent else attempts.WriteRow("key", {})
    task = fanout.FanOutSpec(
        names.RequestId("request"),
        snapshot.id,
        operation,
        deadlines.Deadline(DEADLINE_S),
        idempotent,
    )
    return fanout.FanOut(task, ids, steering, merge.ReplyMerger(snapshot, ids))


def list_sent(actions: list[fanout.Action]) -> list[attempts.SubRequest]:
    return [a.sub_request for a in actions if isinstance(a, fanout.Send)]


def answer(sub_request: attempts.SubRequest, *keys: str) -> attempts.Answered:
    rows = tuple(attempts.ReplyRow(key, {}) for key in keys)
    return attempts.Answered(sub_request.attempt_id, rows, attempts.HeldVersions(1, 7))


def refuse(
    sub_request: attempts.SubRequest, kind: attempts.RefusalKind
) -> attempts.Refused:
    return attempts.Refused(sub_request.attempt_id, kind)


def fail(sub_request: attempts.SubRequest) -> attempts.Failed:
    return attempts.Failed(sub_request.attempt_id, attempts.FailureKind.CONNECTION)
