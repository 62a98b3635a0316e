"""The platform's store comes back from a copy that is some seconds old.

Pattern: its revisions go back and are given out again, so a revision that a host holds
from before stands for another state of the store. What the operator and the replicas
wrote is written again.
"""

import signal

import eventlet
import pytest

from benchmarks.gateways import links
from corianderrill.standins import platform_servers
from tests.utils import aggregator_zones, gateway_rig

OUTAGE_S = 1.0
OTHER_WRITES = 20


class RestoredHost:
    """A gateway whose store goes back to the copy that was taken at the start."""

    def __init__(self, directory):
        self.context = gateway_rig.run(directory)
        self.rig = self.context.__enter__()
        self.store = self.rig.store
        self.copy = self.store.take_copy()

    def stop(self):
        self.context.__exit__(None, None, None)

    def write_others(self):
        for number in range(OTHER_WRITES):
            self.store.put(f"other/{number}", b"x")

    def catch_up(self):
        """Wait until the host has applied all that the store holds."""
        version = self.store.revision
        self.rig.publish_configuration(version=version, single={"prefix": "/past/"})
        self.rig.wait_until(lambda: self.ask("/past/x") == 200)

    def restore(self):
        self.store.is_down = True
        eventlet.sleep(OUTAGE_S)
        self.store.restore(self.copy)
        self.store.is_down = False

    def ask(self, path, request_id="asked"):
        return self.rig.send_request(path, request_id)[0].status

    def assert_soon(self, path, status):
        with eventlet.Timeout(gateway_rig.CONTACT_S + gateway_rig.CONFIG_APPLY_S):
            while self.ask(path) != status:
                eventlet.sleep(gateway_rig.POLL_INTERVAL_S)


@pytest.fixture
def restored(tmp_path):
    running = RestoredHost(tmp_path)
    yield running
    running.stop()


# Guards against watches from a revision that the store has given out again.
def test_host_that_was_frozen_while_the_store_was_restored_misses_no_change(restored):
    restored.catch_up()
    restored.rig.signal(signal.SIGSTOP)
    restored.store.restore(restored.copy)
    restored.rig.publish_configuration(version=900, single={"prefix": "/new/"})
    restored.write_others()
    restored.rig.signal(signal.SIGCONT)
    restored.assert_soon("/new/x", 200)


# Guards against taking the new, lower revisions of entries for stale ones.
def test_replica_that_drains_after_the_restore_gets_no_more_requests(restored):
    old = restored.rig.single_server
    restored.write_others()
    old.register(restored.store)
    restored.catch_up()
    restored.restore()
    fresh = platform_servers.FakeBackendServer("single", "zone-a")
    fresh.register(restored.store)
    old.register(restored.store, state="draining")
    restored.rig.publish_configuration(version=900, single={"prefix": "/new/"})
    restored.assert_soon("/new/x", 200)
    for number in range(10):
        assert restored.ask("/new/x", f"after-{number}") == 200
    assert not [r for r in old.requests if r.startswith("after")]
    fresh.stop()


# Guards against a host that trusts the second copy by what it knew of the first one.
def test_store_that_is_restored_several_times_in_series_is_followed(restored):
    for number in range(1, 4):
        restored.write_others()
        restored.restore()
        prefix = f"/series-{number}/"
        restored.rig.publish_configuration(
            version=10 * number, single={"prefix": prefix}
        )
        restored.assert_soon(f"{prefix}x", 200)


# Guards against a watch that goes on from what a host knew before it was cut off.
def test_host_that_is_cut_off_while_the_store_is_restored_misses_no_change(
    restored,
):
    link = links.Link(restored.store.address)
    host = restored.rig.add_host("front-cut", store_address=str(link.address))
    host.start()
    restored.rig.wait_until_ready(host)
    restored.catch_up()
    restored.rig.wait_until(lambda: host.send_request("/past/x")[0].status == 200)
    link.begin(links.Mode.SILENT)
    restored.store.restore(restored.copy)
    restored.rig.publish_configuration(version=900, single={"prefix": "/new/"})
    restored.write_others()
    eventlet.sleep(OUTAGE_S)
    link.end(links.Mode.SILENT)
    with eventlet.Timeout(gateway_rig.CONTACT_S + gateway_rig.CONFIG_APPLY_S):
        restored.rig.wait_until(lambda: host.send_request("/new/x")[0].status == 200)
    link.stop()


# Guards against a first page from before the restore, which a stale read may return.
def test_host_that_starts_while_the_store_is_restored_misses_no_change(restored):
    restored.write_others()
    restored.catch_up()
    restored.store.snapshot_for_stale_reads()
    restored.store.restore(restored.copy)
    restored.rig.publish_configuration(version=900, single={"prefix": "/new/"})
    restored.write_others()
    restored.write_others()
    assert restored.store.revision > restored.copy.revision + OTHER_WRITES
    host = restored.rig.add_host("front-late")
    host.start()
    restored.rig.wait_until_ready(host)
    with eventlet.Timeout(gateway_rig.CONTACT_S + gateway_rig.CONFIG_APPLY_S):
        restored.rig.wait_until(lambda: host.send_request("/new/x")[0].status == 200)


@pytest.fixture
def zone(tmp_path):
    with aggregator_zones.run(tmp_path) as running:
        yield running


# Guards against an aggregator that holds, and confirms by probes, the watch of a host
# whose revision is from before the restore.
def test_host_behind_an_aggregator_applies_what_is_written_after_the_restore(zone):
    copy = zone.rig.store.take_copy()
    for number in range(OTHER_WRITES):
        zone.rig.store.put(f"other/{number}", b"x")
    zone.publish(800, "/past/")
    zone.wait_for(zone.entry, "/past/x", 200)
    zone.rig.store.is_down = True
    eventlet.sleep(OUTAGE_S)
    zone.rig.store.restore(copy)
    zone.rig.store.is_down = False
    zone.publish(900, "/new/")
    zone.wait_for(zone.aggregator, "/new/x", 200)
    with eventlet.Timeout(gateway_rig.CONTACT_S + gateway_rig.CONFIG_APPLY_S):
        zone.wait_for(zone.entry, "/new/x", 200)
