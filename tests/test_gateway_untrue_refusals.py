"""Replicas that run a request, and whose status promises that they did not."""

import pytest

from tests.utils import gateway_rig

# Each promises that a request has not run and will not.
PROMISES = (
    "408 Request Timeout",
    "429 Too Many Requests",
    "503 Service Unavailable",
)
# Beyond the statuses that a replica has for a failure.
OTHER_FAILURES = ("500 Internal Server Error", "504 Gateway Timeout", "404 Not Found")


@pytest.fixture
def rig(tmp_path):
    with gateway_rig.run(tmp_path) as running:
        yield running


# Guards against callers that send an unsafe request again since it was refused, though
# a replica has run it: its answer was passed on with a status that promises otherwise.
@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
def test_failure_of_a_replica_that_ran_promises_nothing(rig, status, is_chunked):
    rig.single_server.status = status
    body = iter([b"ren", b"ew"]) if is_chunked else b"renew"
    response, _ = rig.send_request("/single/x", "ran", body=body)
    assert rig.single_server.requests.count("ran") == 1
    assert response.status == 502
    assert response.headers["X-Request-Id"] == "ran"
    # A failure that bears it has the replica's own status.
    assert "X-Server-Stamp" not in response.headers
    assert "Retry-After" not in response.headers


# Guards against the same on a route that may be repeated: the first attempt and its
# retry have run.
@pytest.mark.parametrize("status", PROMISES)
def test_retried_failures_of_replicas_that_ran_promise_nothing(rig, status):
    rig.publish_configuration(version=2, single={"type": "safe", "prefix": "/again/"})
    rig.wait_until(lambda: rig.send_request("/again/x")[0].status == 200)
    rig.single_server.status = status
    response, _ = rig.send_request("/again/x", "ran", body=b"renew")
    assert rig.single_server.requests.count("ran") >= 1
    assert response.status == 502


# Guards against a query over one shard whose failed part is passed on as it is.
@pytest.mark.parametrize("status", PROMISES)
def test_failed_part_of_a_query_promises_nothing(rig, status):
    rig.publish_configuration(version=2, gather={"gather": ["one"], "prefix": "/one/"})
    rig.wait_until(lambda: rig.send_request("/one/x")[0].status == 200)
    rig.shard_servers[0].status = status
    response, _ = rig.send_request("/one/x", "ran")
    assert "ran" in rig.shard_servers[0].requests
    assert response.status == 502


@pytest.mark.parametrize("status", OTHER_FAILURES)
def test_failure_without_a_promise_is_returned_unchanged(rig, status):
    rig.single_server.status = status
    response, body = rig.send_request("/single/x", "ran", body=b"renew")
    assert (response.status, body) == (int(status[:3]), b"renew")
    assert response.headers["X-Server-Stamp"] == f"{rig.single_server.id}.ran"
