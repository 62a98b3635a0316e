"""Notices of replicas as callers of one gateway process see their effect."""

import contextlib
import json

import eventlet

from tests.utils import gateway_rig, raw_replicas

PAUSE_S = 2.0
DRAIN_S = 3.0


@contextlib.contextmanager
def run_rig(directory, answer):
    """Yield a rig and two replicas that serve its unsafe route."""
    with gateway_rig.run(directory) as rig:
        replicas = [raw_replicas.RawReplica(name, answer) for name in ("a", "b")]
        for replica in replicas:
            replica.register(rig.store, "raw")
        rig.publish_configuration(
            version=2, single={"service": "raw", "prefix": "/raw/", "max_attempts": 3}
        )
        rig.wait_until(lambda: ask(rig, "ready").status == 200)
        yield rig, replicas
        for replica in replicas:
            replica.stop()


def ask(rig, request_id):
    return rig.send_request("/raw/x", request_id, body=b"x")[0]


def announce_leaving(replica, connection, request_id):
    replica.runs.append(request_id)
    more = b"Server-Leaving: 1\r\n" if replica.is_leaving else b""
    connection.sendall(raw_replicas.build_success(request_id, more=more))


def refuse_with_pause(replica, connection, request_id):
    if not replica.is_quiet:
        replica.run(connection, request_id)
        return
    replica.refused.add(request_id)
    refusal = raw_replicas.build_refusal(request_id, b"Retry-After: 2\r\n")
    connection.sendall(refusal)


# Guards against a replica that gets requests for long after it said that it leaves,
# while the store still says that it is ready.
def test_replica_that_announced_its_leaving_gets_no_more_requests(tmp_path):
    with run_rig(tmp_path, announce_leaving) as (rig, replicas):
        leaver, other = replicas
        leaver.is_leaving = True
        rig.wait_until(lambda: ask(rig, "told").status == 200 and "told" in leaver.runs)
        leaver.register(rig.store, "raw")
        eventlet.sleep(DRAIN_S)
        assert [ask(rig, f"late-{n}").status for n in range(20)] == [200] * 20
        assert not [run for run in leaver.runs if run.startswith("late")]
        assert len([run for run in other.runs if run.startswith("late")]) == 20
        rig.terminate()
        records = [
            json.loads(line)["record"] for line in rig.read_output().splitlines()
        ]
        (noticed,) = [r for r in records if r["event"] == "replica-leaving"]
        assert (noticed["replica"], noticed["source"]) == (leaver.id, "reply")


# Guards against callers that wait, or are told to come back too early, while all
# replicas of a service have asked for a pause.
def test_request_is_refused_with_the_time_of_the_pause(tmp_path):
    with run_rig(tmp_path, refuse_with_pause) as (rig, replicas):
        for replica in replicas:
            replica.is_quiet = True
        rig.wait_until(
            lambda: ask(rig, "first").status == 503 and all(r.refused for r in replicas)
        )
        refused = ask(rig, "second")
        assert refused.status == 503
        assert 0.8 * PAUSE_S < float(refused.headers["Retry-After"]) < 2 * PAUSE_S
        assert not any("second" in replica.refused for replica in replicas)
        for replica in replicas:
            replica.is_quiet = False
        eventlet.sleep(PAUSE_S)
        assert ask(rig, "third").status == 200
