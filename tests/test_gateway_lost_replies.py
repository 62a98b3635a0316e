"""Changes that the store told of in a reply which never came.

Pattern: the store loses replies to one host for half a second, while its stale reads
are seconds behind; what the lost reply told of has to be in force in time.
"""

import time

import eventlet
import pytest

from tests.utils import aggregator_zones, gateway_rig, lost_replies

# The bound of the platform's pages starts at the acknowledgement.
APPLY_S = gateway_rig.CONFIG_APPLY_S
SETTLED_S = 5.0


def wait_until_served(host, path, deadline):
    while host.send_request(path)[0].status != 200:
        assert time.monotonic() < deadline, f"{path} is not served in time"
        eventlet.sleep(gateway_rig.POLL_INTERVAL_S)


@pytest.fixture
def lossy(tmp_path):
    with lost_replies.run(tmp_path) as running:
        yield running


# Guards against hosts that stay at an old configuration while their probes, which may
# be stale, show what they know: the reply to their watch was lost.
def test_change_of_a_lost_watch_reply_is_in_force_in_time_while_stale_reads_are_old(
    lossy,
):
    rig, store = lossy
    eventlet.sleep(lost_replies.STALE_S)
    changed_at = store.lose_watch_reply(
        lambda: rig.publish_configuration(version=5, single={"prefix": "/moved/"})
    )
    wait_until_served(rig.hosts[0], "/moved/x", changed_at + APPLY_S)
    assert rig.send_request("/single/x")[0].status == 404


# Guards against hosts that rely on each other to learn of a lost reply.
def test_change_is_in_force_in_time_on_all_hosts_that_lost_its_reply_at_once(tmp_path):
    with lost_replies.run(tmp_path, host_count=3) as (rig, store):
        eventlet.sleep(lost_replies.STALE_S)
        changed_at = store.lose_watch_reply(
            lambda: rig.publish_configuration(version=5, single={"prefix": "/moved/"})
        )
        assert store.door.lost_paths.count(lost_replies.WATCH_PATH) >= 2
        for host in rig.hosts:
            wait_until_served(host, "/moved/x", changed_at + APPLY_S)


# Guards against requests to a replica that has left, by the same cause.
def test_replica_that_leaves_in_a_lost_watch_reply_is_avoided_in_time(lossy):
    rig, store = lossy
    eventlet.sleep(lost_replies.STALE_S)
    left_at = store.lose_watch_reply(
        lambda: rig.single_server.register(rig.store, state="draining")
    )
    eventlet.sleep(max(left_at + APPLY_S - time.monotonic(), 0.0))
    asked = [f"late-{number}" for number in range(5)]
    for request_id in asked:
        rig.send_request("/single/x", request_id)
    assert not set(asked) & set(rig.single_server.requests)


# Guards against a host that takes part as current on the word of stale reads alone: the
# first read, and the probe after it.
def test_host_that_starts_is_not_confirmed_before_its_first_watch_is_answered(tmp_path):
    rig = gateway_rig.GatewayRig(tmp_path)
    store = lost_replies.LossyStore(rig.store)
    host = rig.hosts[0]
    host.change_store_address(store.address)
    try:
        rig.publish_configuration()
        rig.register_servers()
        rig.store.delay_stale_reads(lost_replies.STALE_S)
        rig.publish_configuration(version=5, single={"prefix": "/moved/"})
        rig.store.are_watches_silent = True
        host.start()
        rig.wait_until_ready(host)
        started_at = time.monotonic()
        wait_until_served(host, "/moved/x", started_at + APPLY_S)
        assert rig.store.stale_read_count >= 1
    finally:
        store.stop()
        rig.stop()


@pytest.fixture
def lossy_zone(tmp_path):
    zone = aggregator_zones.Zone(tmp_path)
    store = lost_replies.LossyStore(zone.rig.store)
    zone.aggregator.change_store_address(store.address)
    try:
        zone.start()
        zone.rig.store.delay_stale_reads(lost_replies.STALE_S)
        yield zone, store
    finally:
        store.stop()
        zone.rig.stop()


# Guards against ages that add up: what an aggregator's stale probes confirm, the host
# behind it takes for a reply of now.
def test_change_of_a_reply_lost_to_the_aggregator_reaches_the_host_behind_it(
    lossy_zone,
):
    zone, store = lossy_zone
    eventlet.sleep(SETTLED_S)
    changed_at = store.lose_watch_reply(lambda: zone.publish(5, "/moved/"))
    for host in (zone.entry, zone.aggregator):
        wait_until_served(host, "/moved/x", changed_at + APPLY_S)
