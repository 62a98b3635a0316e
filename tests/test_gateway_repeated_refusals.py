"""Unsafe requests whose replicas send bytes that look like another refusal."""

import contextlib

import eventlet
import pytest

from tests.utils import gateway_rig, raw_replicas

COPY_DELAY_S = 0.03
RUN_S = 0.12
WARM_UP_REQUESTS = 30


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
        rig.wait_until(
            lambda: rig.send_request("/raw/x", "ready", body=b"x")[0].status == 200
        )
        # Earns the retry budget that the retries need.
        for _ in range(WARM_UP_REQUESTS):
            rig.send_request("/raw/x", "ready", body=b"x")
        yield rig, replicas
        for replica in replicas:
            replica.stop()


def refuse_twice(replica, connection, request_id):
    """Refuse a request, repeat that late, and run the request when it returns."""
    if request_id == "ready" or request_id in replica.refused:
        replica.run(connection, request_id, 0.0 if request_id == "ready" else RUN_S)
        return
    replica.refused.add(request_id)
    refusal = raw_replicas.build_refusal(request_id)
    connection.sendall(refusal)
    eventlet.spawn_after(COPY_DELAY_S, connection.sendall, refusal)


# Guards against an unsafe request that runs twice: a late copy of a refusal was taken
# for the answer to the next attempt, which has the same id on the same connection.
@pytest.mark.parametrize("number", range(3))
def test_repeated_refusal_is_not_the_answer_to_the_next_attempt(tmp_path, number):
    with run_rig(tmp_path, refuse_twice) as (rig, replicas):
        response, _ = rig.send_request("/raw/x", f"booking-{number}", body=b"x")
        eventlet.sleep(2 * RUN_S)
        runs = [run for replica in replicas for run in replica.runs]
        assert runs.count(f"booking-{number}") == 1
        assert response.status == 200


def refuse_without_a_name(replica, connection, request_id):
    """Send a refusal that names no request, late, before the answer to the next one."""
    if request_id.startswith("booking"):
        replica.runs.append(request_id)
        connection.sendall(raw_replicas.UNNAMED_REFUSAL)
        eventlet.sleep(RUN_S)
        connection.sendall(raw_replicas.build_success(request_id))
        return
    replica.run(connection, request_id)


# Guards against an unsafe request that runs twice: bytes that look like a refusal and
# name no request were taken for its answer.
def test_refusal_that_names_no_request_does_not_repeat_an_unsafe_one(tmp_path):
    with run_rig(tmp_path, refuse_without_a_name) as (rig, replicas):
        response, _ = rig.send_request("/raw/x", "booking", body=b"x")
        eventlet.sleep(2 * RUN_S)
        runs = [run for replica in replicas for run in replica.runs]
        assert runs.count("booking") == 1
        # Not 503: that would promise that it has not run.
        assert response.status == 502
