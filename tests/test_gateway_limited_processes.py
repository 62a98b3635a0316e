"""Two gateway processes that share the limit of a replica.

Pattern: a replica advertises a limit while the load of the hosts differs much, and a
host ends.
"""

import json
import time

import eventlet
import pytest

from tests.utils import gateway_rig

LIMIT_PER_S = 10.0
# Time until both hosts have published their demand and read each other's.
SETTLING_TIME_S = 4.5
WINDOW_S = 4.0


@pytest.fixture(scope="module")
def rig(tmp_path_factory):
    with gateway_rig.run(tmp_path_factory.mktemp("limits")) as running:
        second = running.add_host("front-2")
        second.start()
        running.wait_until_ready(second)
        yield running


class Caller:
    """Sends requests to a host at a steady rate and keeps the statuses."""

    def __init__(self, host, name, per_s):
        self.host = host
        self.name = name
        self.interval_s = 1.0 / per_s
        self.statuses = []
        self.slowest_refusal_s = 0.0
        self.thread = eventlet.spawn(self.run)

    def run(self):
        number = 0
        while True:
            number += 1
            eventlet.spawn(self.ask, f"{self.name}-{number}")
            eventlet.sleep(self.interval_s)

    def ask(self, request_id):
        started_at = time.monotonic()
        response, _ = self.host.send_request("/single/x", request_id)
        self.statuses.append(response.status)
        if response.status == 503:
            took_s = time.monotonic() - started_at
            self.slowest_refusal_s = max(self.slowest_refusal_s, took_s)
            assert float(response.headers["Retry-After"]) > 0.0


def test_replica_gets_its_limit_from_two_hosts_and_the_rest_is_refused_at_once(rig):
    rig.single_server.rate_limit = LIMIT_PER_S
    callers = [Caller(rig.hosts[0], "busy", 30.0), Caller(rig.hosts[1], "calm", 5.0)]
    eventlet.sleep(SETTLING_TIME_S)
    assert {"demand/front-1", "demand/front-2"} <= rig.store.list_keys()
    before = len(rig.single_server.requests)
    eventlet.sleep(WINDOW_S)
    arrived = rig.single_server.requests[before:]
    # All that is allowed may arrive, and half of it is used at the very least.
    assert len(arrived) >= LIMIT_PER_S * WINDOW_S / 2
    assert len(arrived) <= 1.5 * LIMIT_PER_S * WINDOW_S + 5
    busy = [request for request in arrived if request.startswith("busy")]
    assert len(busy) > len(arrived) / 2
    for caller in callers:
        caller.thread.kill()
    eventlet.sleep(0.5)
    assert {*callers[0].statuses, *callers[1].statuses} == {200, 503}
    # Refused at once, instead of after waiting for a share.
    assert callers[0].slowest_refusal_s < 0.3


def test_end_of_the_limit_is_noticed_and_the_reports_are_withdrawn(rig):
    rig.single_server.rate_limit = None

    def is_withdrawn():
        for host in rig.hosts:
            host.send_request("/single/x", "after")
        keys = rig.store.list_keys()
        return not any(key.startswith("demand/") for key in keys)

    rig.wait_until(is_withdrawn)
    statuses = {rig.send_request("/single/x", f"free-{n}")[0].status for n in range(40)}
    assert statuses == {200}


def test_logs_tell_the_limits_and_the_published_demand(rig):
    rig.hosts[1].terminate()
    lines = [json.loads(line) for line in rig.hosts[1].read_output().splitlines()]
    records = [line["record"] for line in lines]
    limits = [r for r in records if r["event"] == "rate-limit"]
    assert [r["outcome"] for r in limits][0] == "applied"
    assert limits[-1]["outcome"] in ("lifted", "lifted-elsewhere")
    assert limits[0]["per_s"] == LIMIT_PER_S
    outcomes = [r["outcome"] for r in records if r["event"] == "demand"]
    assert outcomes[0] == "published"
    assert outcomes[-1] == "withdrawn"
