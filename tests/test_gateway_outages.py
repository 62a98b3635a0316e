"""Planned work while the platform's store is away, in every way that it can be.

Pattern: the store falls silent, refuses or closes connections, and registrations may
lapse meanwhile. The operator's and the replicas' changes of that time have to be in
force soon after the store's return.
"""

import signal
import time

import eventlet
import pytest

from corianderrill.standins import platform_servers
from tests.utils import gateway_rig

OUTAGE_S = 1.5
RETURN_S = 1.0
MODES = ("silent", "busy", "reset")


def begin_outage(store, mode):
    match mode:
        case "silent":
            store.fall_silent()
        case "busy":
            store.is_down = True
        case "reset":
            store.is_resetting = True


def end_outage(store):
    store.end_silence()
    store.is_down = False
    store.is_resetting = False


class Outage:
    """A gateway whose store is away while replicas and routes change."""

    def __init__(self, directory):
        self.context = gateway_rig.run(directory)
        self.rig = self.context.__enter__()
        self.old_server = self.rig.single_server
        self.new_server = platform_servers.FakeBackendServer("single", "zone-a")

    def stop(self):
        self.new_server.stop()
        self.context.__exit__(None, None, None)

    def change(self):
        """Replace the replica of a service and move its route."""
        self.rig.publish_configuration(version=5, single={"prefix": "/moved/"})
        self.new_server.register(self.rig.store)
        self.old_server.register(self.rig.store, state="draining")

    def lapse(self):
        servers = (*self.rig.shard_servers, self.old_server, self.new_server)
        for server in servers:
            self.rig.store.remove(f"servers/{server.id}")

    def register_again(self):
        for server in (*self.rig.shard_servers, self.new_server):
            server.register(self.rig.store)

    def assert_in_force_in_time(self):
        returned_at = time.monotonic()
        bound_s = gateway_rig.CONTACT_S + gateway_rig.CONFIG_APPLY_S
        with eventlet.Timeout(bound_s):
            while self.ask("/moved/x") != 200 or self.ask("/gather/x") != 200:
                eventlet.sleep(gateway_rig.POLL_INTERVAL_S)
        assert self.ask("/single/x") in (404, 503)
        settled_at = returned_at + gateway_rig.CONFIG_APPLY_S
        eventlet.sleep(max(settled_at - time.monotonic(), 0.0))
        for number in range(5):
            assert self.ask("/moved/x", f"after-{number}") == 200
        assert not [r for r in self.old_server.requests if r.startswith("after")]

    def ask(self, path, request_id="asked"):
        try:
            return self.rig.send_request(path, request_id)[0].status
        except OSError:
            return None


@pytest.fixture
def outage(tmp_path):
    running = Outage(tmp_path)
    yield running
    running.stop()


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("lapses", [False, True], ids=["kept", "lapsed"])
def test_changes_made_while_the_store_was_away_are_in_force_in_time(
    outage, mode, lapses
):
    begin_outage(outage.rig.store, mode)
    outage.change()
    if lapses:
        outage.lapse()
    outage.rig.signal(signal.SIGHUP)
    eventlet.sleep(OUTAGE_S)
    end_outage(outage.rig.store)
    if lapses:
        eventlet.spawn_after(RETURN_S, outage.register_again)
    outage.assert_in_force_in_time()


@pytest.mark.parametrize("mode", MODES)
def test_host_that_started_while_the_store_was_away_uses_nothing_withdrawn(
    outage, mode
):
    begin_outage(outage.rig.store, mode)
    outage.change()
    outage.rig.signal(signal.SIGKILL)
    outage.rig.process.communicate()
    outage.rig.hosts[0].start()
    eventlet.sleep(OUTAGE_S)
    assert outage.ask("/single/x", "away") in (None, 503)
    end_outage(outage.rig.store)
    outage.assert_in_force_in_time()
    assert "away" not in outage.old_server.requests
