import collections

from corianderrill import (
    hedging,
    keyvalue,
    messages,
    metering,
    metrics,
    metrics_collection,
    names,
    peers,
)
from tests.utils import domain_builders, hosts


def test_the_count_of_a_state_without_hosts_becomes_zero():
    recorder = metrics.Recorder()
    alive, dead = messages.MemberState.ALIVE, messages.MemberState.DEAD
    metrics_collection.collect_member_states(
        recorder, [hosts.build_record(1), hosts.build_record(2)]
    )
    assert recorder.read(metrics.MEMBERS, "a", alive.value) == 2
    metrics_collection.collect_member_states(recorder, [hosts.build_record(1, dead)])
    assert recorder.read(metrics.MEMBERS, "a", alive.value) == 0
    assert recorder.read(metrics.MEMBERS, "a", dead.value) == 1


def test_peer_traffic_is_counted_by_direction_and_refusal_cause():
    recorder = metrics.Recorder()
    refused = collections.Counter({peers.RefusalCause.KEY: 3})
    counters = peers.PeerCounters(sent=5, sent_bytes=700, received=4, refused=refused)
    for _ in range(2):
        metrics_collection.collect_peer_traffic(recorder, counters)
    assert recorder.read(metrics.PEER_MESSAGES, "sent") == 5
    assert recorder.read(metrics.PEER_BYTES, "sent") == 700
    assert recorder.read(metrics.PEER_MESSAGES, "received") == 4
    assert recorder.read(metrics.PEER_REFUSALS, "key") == 3


def test_replicas_are_counted_by_fleet_and_state():
    recorder = metrics.Recorder()
    replica_set = domain_builders.build_replica_set()[0]
    metrics_collection.collect_replica_states(recorder, replica_set)
    assert recorder.total(metrics.REPLICAS) == len(list(replica_set)) > 0


def test_extra_load_is_a_ratio_to_the_first_attempts():
    recorder = metrics.Recorder()
    budget = hedging.ExtraLoadBudget()
    metrics_collection.collect_extra_load(recorder, budget)
    assert recorder.read(metrics.EXTRA_LOAD) == 0
    budget.record_sent(100, 0.0)
    assert budget.try_spend(0.0)
    metrics_collection.collect_extra_load(recorder, budget)
    assert recorder.read(metrics.EXTRA_LOAD) == 0.01


def test_process_identity_and_start_time_are_recorded():
    recorder = metrics.Recorder()
    member = hosts.build_member(1)
    metrics_collection.record_start(recorder, member, names.ZoneName("a"), 1_000.0)
    assert 'host="entry-1",incarnation="a"' in recorder.render()[0].decode()
    assert recorder.read(metrics.START_TIME) == 1_000.0


def test_watches_are_counted_as_platform_calls_but_not_timed():
    class UnreachableTransport:
        def exchange(self, call, timeout_s):
            return keyvalue.Unreachable("connection refused")

    recorder = metrics.Recorder()
    client = keyvalue.Client(
        metering.MeteredTransport(UnreachableTransport(), recorder)
    )
    client.get("k")
    client.watch("k", names.Revision(0), 1.0)
    calls = [
        recorder.read(metrics.PLATFORM_CALLS, "key-value", operation, "unreachable")
        for operation in ("get", "watch", "list")
    ]
    assert calls == [1, 1, 0]
    assert recorder.read(metrics.PLATFORM_SECONDS, "key-value")["count"] == 1
