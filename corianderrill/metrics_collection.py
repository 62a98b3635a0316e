"""Copies the states and counters of other components into the metrics."""

import collections
from collections.abc import Iterable

import corianderrill
from corianderrill import backends, hedging, messages, metrics, names, peers, replicas


def record_start(
    recorder: metrics.Recorder,
    member: names.MemberId,
    zone: names.ZoneName,
    wall_s: float,
) -> None:
    """Record the version, host, zone, incarnation and start time of this process.

    `wall_s` is the start time in seconds since 1970.
    """
    version = corianderrill.__version__
    recorder.set(metrics.INFO, 1, version, member.host, zone, member.incarnation)
    recorder.set(metrics.START_TIME, wall_s)


def collect_peer_traffic(
    recorder: metrics.Recorder, counters: peers.PeerCounters
) -> None:
    """Copy the counts of messages, bytes, refusals and drops between hosts."""
    for direction, count, size in (
        ("sent", counters.sent, counters.sent_bytes),
        ("received", counters.received, counters.received_bytes),
    ):
        recorder.set_total(metrics.PEER_MESSAGES, count, direction)
        recorder.set_total(metrics.PEER_BYTES, size, direction)
    for cause, count in counters.refused.items():
        recorder.set_total(metrics.PEER_REFUSALS, count, cause.value)
    for cause, count in counters.dropped.items():
        recorder.set_total(metrics.PEER_DROPS, count, cause.value)


def collect_member_states(
    recorder: metrics.Recorder, records: Iterable[messages.MemberRecord]
) -> None:
    """Set the number of hosts in each state in each availability zone."""
    counts = collections.Counter(
        (record.zone, record.state.value) for record in records
    )
    recorder.replace(metrics.MEMBERS, counts)


def collect_replica_states(
    recorder: metrics.Recorder, records: Iterable[replicas.ReplicaRecord]
) -> None:
    """Set the number of replicas in each state in each fleet."""
    counts = collections.Counter(
        (record.id.fleet, record.state.value) for record in records
    )
    recorder.replace(metrics.REPLICAS, counts)


def collect_extra_load(
    recorder: metrics.Recorder, budget: hedging.ExtraLoadBudget
) -> None:
    """Set the ratio of extra to first attempts and the count of denied extra attempts.

    Both are since the start of this process.
    """
    recorder.set(
        metrics.EXTRA_LOAD,
        budget.extra_attempt_count / budget.first_attempt_count
        if budget.first_attempt_count
        else 0,
    )
    recorder.set_total(metrics.EXTRA_DENIED, budget.denied_attempt_count)


def collect_pool_counters(
    recorder: metrics.Recorder, pools: backends.BackendPools
) -> None:
    """Copy the counts of opened connections and invalid replies of backend servers."""
    recorder.set_total(metrics.CONNECTIONS_OPENED, pools.connections_opened)
    for reason, count in pools.counters.invalid.items():
        recorder.set_total(metrics.REPLIES_INVALID, count, reason.value)
