"""A gateway process whose only replica of a service is cold.

Pattern: a replica says in its entry, or later in a reply, that it is cold, while it
gets many times the requests that it then takes, and becomes warm.
"""

import json
import time

import eventlet
import pytest

from corianderrill.standins import platform_servers
from tests.utils import cold_hosts, gateway_rig

LIMIT_PER_S = 6.0
REQUESTS_PER_S = 50.0
COLD_S = 3.0


class TimedServer(platform_servers.FakeBackendServer):
    """A server that keeps the times of its requests."""

    def __init__(self, *arguments):
        self.times = []
        super().__init__(*arguments)

    def handle_request(self, environ):
        self.times.append(time.monotonic())
        return super().handle_request(environ)


@pytest.fixture
def rig(tmp_path):
    rig = gateway_rig.GatewayRig(
        tmp_path, more_bounds={"warmup_excess": 1.5, "warmup_slack": 5.0}
    )
    configuration = gateway_rig.build_configuration()
    for service in configuration["services"]:
        service["warmup_per_s"] = LIMIT_PER_S
    rig.store.put("op/config", configuration)
    rig.start()
    rig.wait_until_ready()
    yield rig
    rig.stop()


def send_for(rig, duration_s):
    """Send requests at a steady rate; return their statuses."""
    statuses = []

    def ask(number):
        response, _ = rig.send_request("/single/x", f"asked-{time.time()}-{number}")
        statuses.append(response.status)

    for number in range(int(duration_s * REQUESTS_PER_S)):
        eventlet.spawn_n(ask, number)
        eventlet.sleep(1.0 / REQUESTS_PER_S)
    eventlet.sleep(0.3)
    return statuses


# Guards against requests over the limit, and against a limit that outlasts its reason.
@pytest.mark.parametrize("is_told_by_reply", [False, True])
def test_cold_replica_gets_what_it_takes_and_then_all(rig, is_told_by_reply):
    server = TimedServer("single", "zone-a")
    server.warmup_left_ms = None if is_told_by_reply else int(1000 * COLD_S)
    server.register(rig.store)
    rig.wait_until(lambda: rig.send_request("/single/x", "up")[0].status == 200)
    if is_told_by_reply:
        server.warmup_left_ms = int(1000 * COLD_S)
        rig.send_request("/single/x", "told")
    server.times.clear()
    statuses = send_for(rig, 2.0)
    assert cold_hosts.compute_excess(server.times, LIMIT_PER_S) <= 0
    assert set(statuses) == {200, 503}
    server.warmup_left_ms = 0
    rig.wait_until(lambda: set(send_for(rig, 0.2)) == {200})
    rig.terminate()
    records = [json.loads(line)["record"] for line in rig.read_output().splitlines()]
    sources = [r["source"] for r in records if r["event"] == "cold"]
    assert sources[0] == ("reply" if is_told_by_reply else "store")
    server.stop()
