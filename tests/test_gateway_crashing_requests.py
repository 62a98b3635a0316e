"""A request that crashes each replica that runs it, and comes again at any host.

Pattern: the replicas of a service end one after the other under the same request, and
are back after some seconds; the sound requests of the service find fewer and fewer.
"""

import itertools
import time

import eventlet
import pytest

from corianderrill.gateway import quarantine
from tests.utils import crashing_servers, gateway_rig

HOSTS = 3
REPLICAS = 4
ARRIVAL_INTERVAL_S = 0.15
# After a request has crashed so many replicas, and hosts had time to hear of it, at
# most this many more of its attempts reach one.
CRASHES = 3
MAX_LATE_ATTEMPTS = 3


class Site:
    """Hosts in front of replicas that crash, and requests to all of them in turn."""

    def __init__(self, directory, hosts=HOSTS, replicas=REPLICAS):
        self.rig = gateway_rig.GatewayRig(directory)
        for number in range(1, hosts):
            self.rig.add_host(f"front-{number + 1}")
        self.store = self.rig.store
        self.servers = [
            crashing_servers.CrashingServer(self.store) for _ in range(replicas)
        ]
        self.shard_servers = [
            crashing_servers.CrashingServer(
                self.store, shard, ends_with=crashing_servers.CRASH_QUERY_PATH
            )
            for shard in (*gateway_rig.SHARDS, *gateway_rig.SHARDS)
        ]
        for server in self.shard_servers:
            server.records = [b"A" * 16]
        self.rig.publish_configuration(single={"type": "safe", "max_attempts": 2})
        for server in (*self.shard_servers, *self.servers):
            server.register(self.store)
        self._numbers = itertools.count()

    def start(self):
        for host in self.rig.hosts:
            host.start()
        for host in self.rig.hosts:
            self.rig.wait_until_ready(host)
            self.rig.wait_until(lambda host=host: self.ask(host, "/single/x") == 200)

    def ask(self, host, path):
        request_id = f"q-{next(self._numbers)}"
        try:
            return host.send_request(path, request_id)[0].status
        except OSError:
            return None

    def send_crashing(self, seconds, hosts=None, path=crashing_servers.CRASH_PATH):
        """Send a crashing request to the hosts in turn; return the answers."""
        until = time.monotonic() + seconds
        statuses = []
        for host in itertools.cycle(hosts or self.rig.hosts):
            if time.monotonic() >= until:
                return statuses
            statuses.append(self.ask(host, path))
            eventlet.sleep(ARRIVAL_INTERVAL_S)

    def list_runs(self):
        servers = (*self.servers, *self.shard_servers)
        return sorted(
            itertools.chain.from_iterable(server.runs for server in servers),
            key=lambda run: run.at,
        )

    def count_late_runs(self, contact_s=gateway_rig.CONTACT_S):
        runs = self.list_runs()
        if len(runs) < CRASHES:
            return 0
        since = runs[CRASHES - 1].at + contact_s
        return sum(run.at > since for run in runs)

    def stop(self):
        for server in (*self.servers, *self.shard_servers):
            server.stop()
        self.rig.stop()


@pytest.fixture
def site(tmp_path):
    running = Site(tmp_path)
    try:
        running.start()
        yield running
    finally:
        running.stop()


# Guards against a request that ends one replica after the other, over all hosts.
def test_request_that_crashed_three_replicas_reaches_hardly_any_more(site):
    site.send_crashing(gateway_rig.CONTACT_S + 4.0)
    assert len(site.list_runs()) >= CRASHES
    assert site.count_late_runs() <= MAX_LATE_ATTEMPTS


def test_crashing_request_is_refused_at_once_and_unsent(site):
    site.send_crashing(2.0)
    runs = len(site.list_runs())
    for host in site.rig.hosts:
        began_at = time.monotonic()
        response, _ = host.send_request(crashing_servers.CRASH_PATH, "refused")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) >= 1.0
        assert time.monotonic() - began_at < 0.2
    assert len(site.list_runs()) == runs


def assert_served_soon(site, path):
    """Repeat as a caller would; replicas may just have restarted.

    The time is shorter than that until a quarantined request is tried again.
    """
    eventlet.sleep(crashing_servers.RESTART_S)
    with eventlet.Timeout(3.0):
        for host in site.rig.hosts:
            site.rig.wait_until(lambda host=host: site.ask(host, path) == 200)


def test_sound_requests_of_the_service_are_served_meanwhile(site):
    site.send_crashing(2.0)
    assert_served_soon(site, "/single/sound")


# Guards against a bound that each host keeps by itself only.
def test_host_that_starts_later_knows_what_the_others_noted(site):
    site.send_crashing(2.0)
    late = site.rig.add_host("front-9")
    late.start()
    site.rig.wait_until_ready(late)
    runs = len(site.list_runs())
    assert site.ask(late, crashing_servers.CRASH_PATH) == 503
    assert len(site.list_runs()) == runs


def test_notes_that_a_restored_store_lacks_are_written_again(site):
    copy = site.store.take_copy()
    site.send_crashing(2.0)
    site.store.restore(copy)
    site.rig.wait_until(
        lambda: any(key.startswith("crashes/") for key in site.store.list_keys())
    )


# Guards against refusing a sound request whose replicas end for other reasons.
def test_request_whose_replicas_end_for_other_reasons_is_served(site):
    for server in site.servers:
        server.ends_with = None
    for number, host in enumerate(site.rig.hosts):
        server = site.servers[number]
        server.delay_s = 0.3
        asking = eventlet.spawn(site.ask, host, "/single/sound")
        eventlet.sleep(0.1)
        server.crash()
        asking.wait()
        server.delay_s = 0.0
    assert_served_soon(site, "/single/sound")


def test_host_without_a_store_sends_a_request_no_more_that_crashed_a_replica(site):
    site.store.is_down = True
    eventlet.sleep(gateway_rig.CONFIG_APPLY_S + 0.5)
    site.send_crashing(3.0)
    runs = len(site.list_runs())
    assert runs <= 2 * len(site.rig.hosts)
    site.send_crashing(1.0)
    assert len(site.list_runs()) == runs


def test_query_that_crashes_replicas_of_every_shard_is_refused_too(site):
    site.send_crashing(2.0, path=crashing_servers.CRASH_QUERY_PATH)
    runs = len(site.list_runs())
    assert runs >= CRASHES
    statuses = site.send_crashing(2.0, path=crashing_servers.CRASH_QUERY_PATH)
    assert set(statuses) == {503}
    assert len(site.list_runs()) == runs


# Guards against refusing for good what was sound, or has become so.
@pytest.mark.parametrize(
    "path", [crashing_servers.CRASH_PATH, crashing_servers.CRASH_QUERY_PATH]
)
def test_request_that_crashes_nothing_any_more_is_served_after_a_trial(site, path):
    site.send_crashing(2.0, path=path)
    for server in (*site.servers, *site.shard_servers):
        server.ends_with = None
    host = site.rig.hosts[0]
    assert site.ask(host, path) == 503
    # A host counts the delay from when it heard of the last crash, and restarted
    # replicas answer 421 first.
    hearing_s = gateway_rig.CONFIG_APPLY_S
    with eventlet.Timeout(hearing_s + quarantine.TRIAL_DELAYS_S[0] + 2.0):
        site.rig.wait_until(lambda: site.ask(host, path) == 200)
    with eventlet.Timeout(gateway_rig.CONFIG_APPLY_S):
        for other in site.rig.hosts:
            site.rig.wait_until(lambda other=other: site.ask(other, path) == 200)


def test_trial_of_a_request_that_still_crashes_costs_one_replica(site):
    site.send_crashing(2.0, path=crashing_servers.CRASH_QUERY_PATH)
    runs = len(site.list_runs())
    site.send_crashing(
        quarantine.TRIAL_DELAYS_S[0] + 2.0, path=crashing_servers.CRASH_QUERY_PATH
    )
    assert len(site.list_runs()) == runs + 1
