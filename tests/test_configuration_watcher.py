import contextlib
import dataclasses
import random
import time

import eventlet
import pytest

from corianderrill import (
    configuration,
    configuration_watcher,
    keyvalue,
    logs,
    messages,
    metrics,
    names,
    propagation,
    publishing,
)
from corianderrill.standins import keyvalue as keyvalue_standin
from tests.utils import configuration_builders as builders
from tests.utils import hosts, keyvalue_builders

WAIT_TIMEOUT_S = 10.0


@dataclasses.dataclass
class Envelope:
    sender: names.MemberId
    message: messages.Message


@dataclasses.dataclass
class Delivery:
    envelope: Envelope


class Network:
    """Passes messages to the handlers of hosts in this process."""

    def __init__(self):
        self.handlers = {}
        self.peers = []
        self.partitioned = set()

    def deliver(self, sender, member, message):
        handler = self.handlers.get((member, type(message)))
        if handler and not {sender, member} & self.partitioned:
            eventlet.spawn_n(handler, Delivery(Envelope(sender, message)))


class Link:
    def __init__(self, network, member):
        self._network = network
        self._member = member

    def register(self, message_type, handler):
        self._network.handlers[self._member, message_type] = handler

    def send(self, member, message):
        self._network.deliver(self._member, member, message)
        return True


@contextlib.contextmanager
def start_watcher(network, address, number, zone="a"):
    peer = propagation.Peer(hosts.build_member(number), zone)
    network.peers.append(peer)
    local_configuration = configuration.Configuration()
    rng = random.Random(number)
    watcher = configuration_watcher.ConfigurationWatcher(
        peer,
        propagation.Propagator(peer.member, zone, local_configuration, rng),
        keyvalue.connect(address, timeout_s=0.5),
        Link(network, peer.member),
        lambda: network.peers,
        metrics.Recorder(),
        logs.Journal("test"),
    )
    watcher.local_configuration = local_configuration
    watcher.start()
    try:
        yield watcher
    finally:
        watcher.stop()


def wait_until(condition):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        eventlet.sleep(0.02)


@pytest.fixture
def running_hosts():
    """Start five hosts in two availability zones and their platform."""
    network = Network()
    with contextlib.ExitStack() as stack:
        platform, address = stack.enter_context(keyvalue_builders.serve_platform())
        watchers = [
            stack.enter_context(
                start_watcher(network, address, number, "ab"[number % 2])
            )
            for number in range(5)
        ]
        wait_until(
            lambda: all(watcher.local_configuration.ready for watcher in watchers)
        )
        yield network, platform, address, watchers, stack


def publish(address, limit=7):
    publisher = publishing.Publisher(keyvalue.connect(address), builders.SERVICES)
    action = publishing.Put(builders.build_template(limit=limit))
    change = publishing.Change(names.ChangeId(f"c{limit}"), "mari", action)
    return publisher.submit(change)


def test_a_change_is_in_force_on_all_hosts_and_reported_by_zone(running_hosts):
    _, _, address, watchers, _ = running_hosts
    accepted = publish(address)
    report = watchers[0].count_in_force(
        accepted.key, accepted.version.revision, timeout_s=WAIT_TIMEOUT_S
    )
    assert report.is_in_force_everywhere
    assert [len(zone.confirmed) for zone in report.zones] == [3, 2]
    limits = {
        watcher.local_configuration.pin().find_template("permit-status").limit
        for watcher in watchers
    }
    assert limits == {7}


def test_a_partitioned_host_is_reported_as_unconfirmed(running_hosts):
    network, _, address, watchers, _ = running_hosts
    network.partitioned.add(hosts.build_member(3))
    accepted = publish(address)
    report = watchers[0].count_in_force(
        accepted.key, accepted.version.revision, timeout_s=1.0
    )
    assert [zone.unconfirmed for zone in report.zones] == [(), ("entry-3",)]


def test_a_host_started_in_a_platform_outage_becomes_ready_from_its_peers(
    running_hosts,
):
    network, platform, address, _, stack = running_hosts
    accepted = publish(address)
    platform.faults = keyvalue_standin.Faults(down=True)
    late_host = stack.enter_context(start_watcher(network, address, 9))
    wait_until(lambda: late_host.local_configuration.ready)
    revisions_when_ready = late_host.local_configuration.list_revisions()
    wait_until(
        lambda: (
            late_host.local_configuration.list_revisions()[accepted.key]
            == accepted.version.revision
        )
    )
    assert revisions_when_ready.keys() == {accepted.key}


def test_only_the_watchers_call_the_platform(running_hosts):
    _, platform, _, _, _ = running_hosts
    eventlet.sleep(0.5)
    before = platform.counts.reads
    eventlet.sleep(2 * configuration_watcher.WATCH_TIMEOUT_S)
    watcher_count = 2 * propagation.WATCHERS_PER_ZONE
    assert platform.counts.reads - before <= 3 * watcher_count


def test_a_platform_rollback_is_counted_as_alarm_and_changes_nothing(running_hosts):
    _, platform, address, watchers, _ = running_hosts
    accepted = publish(address)
    key, revision = accepted.key, accepted.version.revision
    wait_until(
        lambda: all(
            watcher.local_configuration.list_revisions().get(key)
            for watcher in watchers
        )
    )
    platform.store.restore(names.Revision(0))
    wait_until(
        lambda: any(
            watcher.recorder.total(metrics.CONFIGURATION_ALARMS) for watcher in watchers
        )
    )
    assert {
        watcher.local_configuration.list_revisions()[key] for watcher in watchers
    } == {revision}


def test_the_retry_delay_grows_to_a_maximum_with_jitter():
    rng = random.Random(1)
    delays_s = [
        configuration_watcher.choose_retry_delay_s(failures, rng)
        for failures in range(100)
    ]
    assert delays_s[0] <= configuration_watcher.INITIAL_RETRY_DELAY_S
    assert max(delays_s) <= configuration_watcher.MAX_RETRY_DELAY_S
    assert min(delays_s[10:]) >= configuration_watcher.MAX_RETRY_DELAY_S / 2
    assert len(set(delays_s)) == len(delays_s)
