"""A gateway process whose zone is evacuated and returns.

Pattern: the key of an evacuation is written and removed while requests arrive or are
queued, with and without replicas elsewhere; the store is silent, or comes back from an
older copy.
"""

import json
import time

import eventlet
import pytest

from corianderrill.standins import platform_servers
from tests.utils import gateway_rig

KEY = "op/evacuate/zone-a"
# Less than the time within which a host has to apply a configuration, so that the
# batch delay of the watch is too long for it unless the bound shortens it.
EVACUATE_S = 0.7
REQUESTS_PER_S = 40.0


@pytest.fixture
def rig(tmp_path):
    bounds = {"evacuate_ms": int(1000 * EVACUATE_S)}
    with gateway_rig.run(tmp_path, more_bounds=bounds) as running:
        yield running


class Callers:
    """Sends requests to the route of one service at a steady rate, until stopped."""

    def __init__(self, rig):
        self.rig = rig
        self.statuses = []
        self._number = 0
        self._thread = eventlet.spawn(self._run)

    def _run(self):
        while True:
            self._number += 1
            eventlet.spawn_n(self._ask, f"steady-{self._number}")
            eventlet.sleep(1.0 / REQUESTS_PER_S)

    def _ask(self, request_id):
        self.statuses.append(self.rig.send_request("/single/x", request_id)[0].status)

    def stop(self):
        self._thread.kill()
        eventlet.sleep(0.3)


def count_arrivals(server, duration_s):
    before = len(server.requests)
    eventlet.sleep(duration_s)
    return len(server.requests) - before


def ask(rig, request_id="asked"):
    response, _ = rig.send_request("/single/x", request_id)
    return response


def wait_until_refused(rig):
    rig.wait_until(lambda: ask(rig).status == 503)


def wait_until_served(rig):
    rig.wait_until(lambda: ask(rig).status == 200)


def list_records(rig, event):
    rig.terminate()
    records = [json.loads(line)["record"] for line in rig.read_output().splitlines()]
    return [record for record in records if record["event"] == event]


# Guards against a batch delay that is longer than the time for an evacuation, and
# against a zone that gets all its requests again at once.
def test_evacuation_is_in_force_in_time_and_its_end_is_gradual(rig):
    elsewhere = platform_servers.FakeBackendServer("single", "zone-b")
    elsewhere.register(rig.store)
    callers = Callers(rig)
    usual = count_arrivals(rig.single_server, 1.0)
    assert usual > REQUESTS_PER_S / 2
    # The watch returns at once for this change, and then waits for the batch delay.
    rig.store.put("op/other", {})
    eventlet.sleep(0.05)
    rig.store.put(KEY, {"why": "maintenance"})
    eventlet.sleep(EVACUATE_S)
    assert count_arrivals(rig.single_server, 1.5) == 0
    rig.store.remove(KEY)
    rig.wait_until(lambda: count_arrivals(rig.single_server, 0.1) > 0)
    assert count_arrivals(rig.single_server, 1.0) < 0.4 * usual
    callers.stop()
    elsewhere.stop()
    assert set(callers.statuses) == {200}
    changes = [record["change"] for record in list_records(rig, "evacuation")]
    assert changes == ["began", "ended"]


# Guards against requests that wait in a queue until their deadline, or are sent after
# the evacuation is in force.
def test_queued_requests_are_refused_at_once_if_all_replicas_are_in_the_zone(rig):
    rig.single_server.delay_s = 1.6
    answers = {}

    def send(number):
        response, _ = rig.send_request("/single/x", f"queued-{number}", body=b"q")
        answers[number] = (response.status, time.monotonic())

    threads = [eventlet.spawn(send, number) for number in range(8)]
    rig.wait_until(lambda: len(rig.single_server.requests) > 3)
    eventlet.sleep(0.2)
    sent = [r for r in rig.single_server.requests if r.startswith("queued")]
    assert 0 < len(sent) < 8
    rig.store.put(KEY, {})
    put_at = time.monotonic()
    for thread in threads:
        thread.wait()
    refused = [at for status, at in answers.values() if status == 503]
    assert len(refused) == 8 - len(sent)
    assert max(refused) - put_at < EVACUATE_S
    assert sorted(status for status, _ in answers.values())[: len(sent)] == [200] * len(
        sent
    )
    arrived = [r for r in rig.single_server.requests if r.startswith("queued")]
    assert arrived == sent
    response = ask(rig, "later")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) >= 1.0
    assert "later" not in rig.single_server.requests
    rig.single_server.delay_s = 0.0
    rig.store.remove(KEY)
    wait_until_served(rig)
    reasons = {record["reason"] for record in list_records(rig, "refused")}
    assert "evacuated" in reasons


# Guards against an evacuation that a copy of the store without its key leaves in
# force, or that a copy with the key does not bring back.
def test_restored_store_decides_anew_whether_the_zone_is_evacuated(rig):
    without_key = rig.store.take_copy()
    rig.store.put(KEY, {})
    wait_until_refused(rig)
    with_key = rig.store.take_copy()
    rig.store.restore(without_key)
    wait_until_served(rig)
    rig.store.restore(with_key)
    wait_until_refused(rig)


# Guards against an evacuation that ends since the store says nothing any more.
def test_evacuation_lasts_while_the_store_is_silent(rig):
    rig.store.put(KEY, {})
    wait_until_refused(rig)
    before = len(rig.single_server.requests)
    rig.store.fall_silent()
    rig.store.remove(KEY)
    eventlet.sleep(2.0)
    assert ask(rig).status == 503
    assert len(rig.single_server.requests) == before
    rig.store.end_silence()
    wait_until_served(rig)
