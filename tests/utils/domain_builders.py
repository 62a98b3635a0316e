"""Builders of services, snapshots, replies, replicas and admission tickets."""

import itertools

import msgspec

from corianderrill import admission, catalog, names, replicas, replies

FLEET = names.FleetName("gantry")


def build_service(name="site-lookup", fleet=FLEET):
    return names.ServiceId(fleet, names.ServiceName(name))


def build_shard(name="s0", service=None):
    return names.ShardId(service or build_service(), names.ShardName(name))


def build_replica(host="b0", fleet=FLEET, incarnation="1"):
    return names.ReplicaId(fleet, names.HostName(host), names.Incarnation(incarnation))


def build_snapshot_id(version=7, fleet=FLEET):
    return names.SnapshotId(fleet, names.IndexVersion(version))


def build_partitions(service, count, prefix="s"):
    boundaries = [catalog.HASH_SPACE * i // count for i in range(count + 1)]
    return tuple(
        catalog.Partition(build_shard(f"{prefix}{i}", service), low, high)
        for i, (low, high) in enumerate(itertools.pairwise(boundaries))
    )


def build_snapshot(version=7, services=None, shards=4, fleet=FLEET, prefix="s"):
    services = services or (build_service(fleet=fleet),)
    return catalog.Snapshot(
        build_snapshot_id(version, fleet),
        {service: build_partitions(service, shards, prefix) for service in services},
    )


def build_keys(snapshot, shard, count):
    """Return `count` keys whose hash is in the range of a shard."""
    keys = (f"key-{i}" for i in itertools.count())
    matching = (k for k in keys if snapshot.shard_of(shard.service, k) == shard)
    return list(itertools.islice(matching, count))


def build_expected_reply(shard=None, version=7, request="r1", attempt="r1.0"):
    return replies.ExpectedReply(
        names.RequestId(request),
        replies.AttemptId(attempt),
        shard or build_shard(),
        build_snapshot_id(version),
    )


def build_reply_fields(expected, keys=("a", "b"), **changes):
    fields = {
        "request_id": expected.request_id,
        "attempt_id": expected.attempt_id,
        "service": expected.shard.service.name,
        "shard": expected.shard.name,
        "version": expected.snapshot.version,
        "row_count": len(keys),
        "rows": [{"key": key, "fields": {"state": "live"}} for key in keys],
        "held": [5, 8],
    }
    return fields | changes


def build_http_reply(expected, status=200, **changes):
    body = msgspec.json.encode(build_reply_fields(expected, **changes))
    return replies.HttpReply(status, body, len(body))


def build_refusal_reply(status, **fields):
    body = msgspec.json.encode(fields)
    return replies.HttpReply(status, body, len(body))


def build_valid_reply(snapshot, shard, keys, attempt="r1.0"):
    expected = build_expected_reply(shard, snapshot.id.version, attempt=attempt)
    rows = [replies.WireRow(key, {"state": "live"}) for key in keys]
    held = replies.HeldVersions(snapshot.id.version, snapshot.id.version)
    return replies.ValidReply(expected, rows, held)


def build_replica_set(zones="abc", slots=2, skip_slow_start=True, now=0.0, shard=None):
    """Return a set with one replica of a shard per letter of `zones`, and their ids."""
    replica_set = replicas.ReplicaSet()
    ids = [build_replica(f"b{i}") for i in range(len(zones))]
    for replica, zone in zip(ids, zones, strict=True):
        replica_set.add(
            replica, zone, [shard or build_shard()], now, slots, skip_slow_start
        )
    return replica_set, ids


def run_attempts(replica_set, replica, count, latency_s, outcome, now):
    """Run attempts one after another; return the time when the last one ended."""
    for index in range(count):
        attempt = replies.AttemptId(f"{replica}-{now}-{index}")
        replica_set.record_start(replica, attempt, now)
        now += latency_s
        replica_set.record_outcome(replica, attempt, outcome, now)
    return now


def build_workspace(label="north", fleet=FLEET):
    return names.WorkspaceId(fleet, names.WorkspaceLabel(label))


def build_ticket(
    request="r1",
    workspace="north",
    deadline=1.0,
    cost=25,
    priority=admission.Priority.NORMAL,
):
    return admission.Ticket(
        names.RequestId(request),
        build_workspace(workspace),
        names.TemplateName("site-lookup"),
        deadline,
        cost,
        priority,
    )


def build_admission_controller(limit=50.0, **options):
    """Return an admission controller with a constant limit."""
    limiter = admission.ConcurrencyLimiter(
        initial=limit, min_limit=limit, max_limit=limit
    )
    return admission.AdmissionController(limiter, **options)
