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
from corianderrill.standins import keyvalue as standin
from tests.utils import configuration_builders as builders
from tests.utils import hosts, keyvalue_builders

WAIT_S = 10.0


@dataclasses.dataclass
class Envelope:
    sender: names.MemberId
    message: messages.Message


@dataclasses.dataclass
class Delivery:
    envelope: Envelope


class Network:
    """Hands messages to the registered handlers of hosts in this process."""

    def __init__(self):
        self.handlers = {}
        self.peers = []
        self.cut = set()

    def deliver(self, sender, member, message):
        handler = self.handlers.get((member, type(message)))
        if handler and not {sender, member} & self.cut:
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
    held = configuration.Configuration()
    choices = random.Random(number)
    task = configuration_watcher.ConfigurationWatcher(
        peer,
        propagation.Propagator(peer.member, zone, held, choices),
        keyvalue.connect(address, timeout_s=0.5),
        Link(network, peer.member),
        lambda: network.peers,
        metrics.Recorder(),
        logs.Journal("test"),
    )
    task.local_configuration = held
    task.start()
    try:
        yield task
    finally:
        task.stop()


def wait_until(condition):
    ends_at = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < ends_at
        eventlet.sleep(0.02)


@pytest.fixture
def running():
    """Five hosts in two zones with their platform."""
    network = Network()
    with contextlib.ExitStack() as stack:
        platform, address = stack.enter_context(keyvalue_builders.serve_platform())
        tasks = [
            stack.enter_context(
                start_watcher(network, address, number, "ab"[number % 2])
            )
            for number in range(5)
        ]
        wait_until(lambda: all(task.local_configuration.ready for task in tasks))
        yield network, platform, address, tasks, stack


def publish(address, limit=7):
    publisher = publishing.Publisher(keyvalue.connect(address), builders.SERVICES)
    action = publishing.Put(builders.build_template(limit=limit))
    change = publishing.Change(names.ChangeId(f"c{limit}"), "mari", action)
    return publisher.submit(change)


def test_a_change_is_in_force_on_all_hosts_and_counted_by_zone(running):
    _, _, address, tasks, _ = running
    accepted = publish(address)
    report = tasks[0].count_in_force(
        accepted.key, accepted.version.revision, timeout_s=WAIT_S
    )
    assert report.is_in_force_everywhere
    assert [len(zone.confirmed) for zone in report.zones] == [3, 2]
    limits = {
        task.local_configuration.pin().find_template("permit-status").limit
        for task in tasks
    }
    assert limits == {7}


def test_a_host_that_is_cut_off_is_named_as_unconfirmed(running):
    network, _, address, tasks, _ = running
    network.cut.add(hosts.build_member(3))
    accepted = publish(address)
    report = tasks[0].count_in_force(
        accepted.key, accepted.version.revision, timeout_s=1.0
    )
    assert [zone.unconfirmed for zone in report.zones] == [(), ("entry-3",)]


def test_a_host_that_starts_in_an_outage_becomes_ready_from_its_peers(running):
    network, platform, address, _, stack = running
    accepted = publish(address)
    platform.faults = standin.Faults(down=True)
    late = stack.enter_context(start_watcher(network, address, 9))
    wait_until(lambda: late.local_configuration.ready)
    revisions = late.local_configuration.list_revisions()
    wait_until(
        lambda: (
            late.local_configuration.list_revisions()[accepted.key]
            == accepted.version.revision
        )
    )
    assert revisions.keys() == {accepted.key}


def test_only_the_watchers_of_the_zones_call_the_platform(running):
    _, platform, _, _, _ = running
    eventlet.sleep(0.5)
    before = platform.counts.reads
    eventlet.sleep(2 * configuration_watcher.WATCH_TIMEOUT_S)
    watchers = 2 * propagation.WATCHERS_PER_ZONE
    assert platform.counts.reads - before <= 3 * watchers


def test_a_platform_that_comes_back_older_is_counted_and_changes_nothing(running):
    _, platform, address, tasks, _ = running
    accepted = publish(address)
    key, revision = accepted.key, accepted.version.revision
    wait_until(
        lambda: all(
            task.local_configuration.list_revisions().get(key) for task in tasks
        )
    )
    platform.store.restore(names.Revision(0))
    wait_until(
        lambda: any(task.recorder.total(metrics.CONFIGURATION_ALARMS) for task in tasks)
    )
    assert {task.local_configuration.list_revisions()[key] for task in tasks} == {
        revision
    }


def test_the_retry_delay_grows_to_a_maximum_with_jitter():
    choices = random.Random(1)
    pauses = [
        configuration_watcher.choose_retry_delay_s(failures, choices)
        for failures in range(100)
    ]
    assert pauses[0] <= configuration_watcher.INITIAL_RETRY_DELAY_S
    assert max(pauses) <= configuration_watcher.MAX_RETRY_DELAY_S
    assert min(pauses[10:]) >= configuration_watcher.MAX_RETRY_DELAY_S / 2
    assert len(set(pauses)) == len(pauses)
