import hypothesis
import pytest
from hypothesis import stateful, strategies

from corianderrill import configuration, messages, names, propagation
from tests.utils import configuration_builders as builders
from tests.utils import hosts, propagation_clusters

HOSTS = 3
KEY = configuration.format_template_key("template-1")


def list_watchers(cluster):
    return [number for number, host in cluster.propagators.items() if host.should_watch]


def run_round(cluster, loss_rate=0.0):
    """Advance by 1 s: run anti-entropy on every host and deliver all messages."""
    cluster.rig.clock.advance(1.0)
    for number in cluster.propagators:
        cluster.start_anti_entropy(number)
    cluster.deliver_all(loss_rate)


def count_hosts_at_revision(cluster, revision):
    return sum(
        host.get_revision(KEY) == revision for host in cluster.propagators.values()
    )


def test_each_zone_has_exactly_the_configured_number_of_watchers():
    cluster = propagation_clusters.Cluster(30)
    watchers = list_watchers(cluster)
    assert len(watchers) == 3 * propagation.WATCHERS_PER_ZONE
    assert {cluster.zone_by_host[number] for number in watchers} == {
        "zone-0",
        "zone-1",
        "zone-2",
    }


def test_removing_a_watcher_replaces_only_that_watcher():
    members = [hosts.build_member(number) for number in range(10)]
    before = propagation.choose_watchers("a", members, 2)
    members.remove(before[0])
    after = propagation.choose_watchers("a", members, 2)
    assert before[1] == after[0]


def test_a_change_listed_by_the_watchers_is_pushed_to_every_host():
    cluster = propagation_clusters.Cluster(30)
    revision = cluster.publish(1, "c1").version.revision
    for number in list_watchers(cluster):
        cluster.list_platform(number)
    cluster.deliver_all()
    assert count_hosts_at_revision(cluster, revision) == 30


@pytest.mark.parametrize("seed", range(3))
def test_anti_entropy_repairs_lost_messages_within_five_rounds(seed):
    cluster = propagation_clusters.Cluster(90, seed=seed)
    revision = cluster.publish(1, "c1").version.revision
    for number in list_watchers(cluster):
        cluster.list_platform(number)
    cluster.deliver_all(loss_rate=0.3)
    rounds = 0
    while count_hosts_at_revision(cluster, revision) < 90:
        run_round(cluster, loss_rate=0.1)
        rounds += 1
    assert rounds <= 5


@pytest.mark.parametrize("seed", range(3))
def test_a_zone_cut_off_from_the_platform_receives_changes_from_others(seed):
    cluster = propagation_clusters.Cluster(90, seed=seed)
    cluster.disconnected_zones = {"zone-1"}
    revision = cluster.publish(1, "c1").version.revision
    for number in list_watchers(cluster):
        cluster.list_platform(number)
    cluster.deliver_all(loss_rate=0.3)
    for _ in range(5):
        run_round(cluster)
    assert count_hosts_at_revision(cluster, revision) == 90
    assert all(host.local_configuration.ready for host in cluster.propagators.values())


def test_a_new_host_loads_the_configuration_from_peers_in_a_platform_outage():
    cluster = propagation_clusters.Cluster(6)
    revision = cluster.publish(1, "c1").version.revision
    for number in list_watchers(cluster):
        cluster.list_platform(number)
    for _ in range(6):
        run_round(cluster)
    cluster.rig.faults.down = True
    cluster.start(0)
    cluster.list_platform(0)
    host = cluster.propagators[0]
    assert not host.local_configuration.ready
    run_round(cluster)
    assert host.get_revision(KEY) == revision
    assert host.local_configuration.ready


def test_hosts_without_any_configuration_are_not_ready():
    cluster = propagation_clusters.Cluster(6)
    cluster.rig.faults.down = True
    for _ in range(5):
        run_round(cluster)
    assert not any(
        host.local_configuration.ready for host in cluster.propagators.values()
    )


def test_peers_pass_on_the_time_of_a_confirmation_unchanged():
    cluster = propagation_clusters.Cluster(6)
    for number in list_watchers(cluster):
        cluster.list_platform(number)
    confirmed_at = cluster.now
    for _ in range(5):
        run_round(cluster)
    assert {
        host.local_configuration.confirmed_at for host in cluster.propagators.values()
    } == {confirmed_at}


def test_a_platform_rollback_raises_alarms_and_is_not_confirmed():
    cluster = propagation_clusters.Cluster(3)
    for change in ("c1", "c2"):
        revision = cluster.publish(1, change).version.revision
    cluster.list_platform(0)
    confirmed_at = cluster.propagators[0].local_configuration.confirmed_at
    cluster.rig.platform.store.restore(1)
    cluster.rig.clock.advance(1.0)
    assert cluster.watch_platform(0, after=2) == 1
    cluster.list_platform(0)
    host = cluster.propagators[0]
    assert len(cluster.alarms) == 2
    assert host.get_revision(KEY) == revision
    assert host.local_configuration.confirmed_at == confirmed_at
    assert not host.is_platform_current


def test_a_change_above_the_local_revision_recovers_from_a_platform_rollback():
    cluster = propagation_clusters.Cluster(3)
    for change in ("c1", "c2", "c3"):
        local_revision = cluster.publish(1, change).version.revision
    cluster.list_platform(0)
    cluster.rig.platform.store.restore(1)
    lower = cluster.publish(1, "c4").version.revision
    assert lower < local_revision
    cluster.list_platform(0)
    assert cluster.propagators[0].get_revision(KEY) == local_revision
    recovered = cluster.publish(1, "c5", above=local_revision).version.revision
    cluster.list_platform(0)
    assert cluster.propagators[0].get_revision(KEY) == recovered
    assert cluster.propagators[0].is_platform_current


def test_a_watch_that_reports_a_lower_revision_confirms_nothing():
    cluster = propagation_clusters.Cluster(1)
    for change in ("c1", "c2", "c3"):
        local_revision = cluster.publish(1, change).version.revision
    cluster.list_platform(0)
    confirmed_at = cluster.propagators[0].local_configuration.confirmed_at
    cluster.rig.platform.store.restore(1)
    cluster.publish(1, "c4")
    cluster.rig.clock.advance(1.0)
    cluster.watch_platform(0, after=1)
    assert [alarm.reason for alarm in cluster.alarms] == [
        configuration.AlarmReason.OLDER
    ]
    assert cluster.propagators[0].get_revision(KEY) == local_revision
    assert cluster.propagators[0].local_configuration.confirmed_at == confirmed_at


def test_a_key_removed_from_the_platform_by_hand_raises_an_alarm():
    cluster = propagation_clusters.Cluster(1)
    cluster.publish(1, "c1")
    cluster.list_platform(0)
    cluster.rig.client().delete(KEY)
    cluster.watch_platform(0, after=1)
    assert [alarm.reason for alarm in cluster.alarms] == [
        configuration.AlarmReason.LOST
    ]
    assert cluster.propagators[0].get_revision(KEY)


def test_the_in_force_report_lists_the_hosts_that_have_not_confirmed():
    members = [hosts.build_member(number) for number in range(3)]
    zones = ("a", "a", "b")
    peers = [propagation.Peer(*pair) for pair in zip(members, zones, strict=True)]
    poll = propagation.InForcePoll(1, KEY, names.Revision(5), peers)
    poll.record_answer(members[0], messages.ConfigurationAnswer(1, 6))
    poll.record_answer(members[1], messages.ConfigurationAnswer(1, 4))
    poll.record_answer(members[2], messages.ConfigurationAnswer(2, 9))
    assert [outgoing.member for outgoing in poll.build_questions()] == members[1:]
    assert poll.report().zones == (
        propagation.ZoneInForce("a", ("entry-0",), ("entry-1",)),
        propagation.ZoneInForce("b", (), ("entry-2",)),
    )
    assert not poll.report().is_in_force_everywhere


class PropagationMachine(stateful.RuleBasedStateMachine):
    """Runs changes, faults and message deliveries in any order.

    The model records the versions at the platform at each time.
    """

    def __init__(self):
        super().__init__()
        self.cluster = propagation_clusters.Cluster(HOSTS, zones=2)
        self.last_seen_revision = dict.fromkeys(range(HOSTS), 0)
        self.listed_hosts = set()
        self.platform_versions_at = {}
        self.highest_revisions = {}
        self.is_restored = False
        self.change_count = 0
        self.record_platform_versions()

    def record_platform_versions(self):
        self.platform_versions_at[self.cluster.now] = (
            self.cluster.read_platform_versions()
        )

    def advance_clock(self):
        self.cluster.rig.clock.advance(1.0)
        self.record_platform_versions()

    @stateful.initialize()
    def start_cluster(self):
        self.publish(0)
        for host in range(HOSTS):
            self.list_platform(host)

    @stateful.rule(number=strategies.integers(0, 1))
    def publish(self, number):
        self.cluster.rig.clock.advance(1.0)
        self.change_count += 1
        self.cluster.publish(number, f"c{self.change_count}")
        self.record_platform_versions()

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def list_platform(self, host):
        self.advance_clock()
        if self.cluster.can_reach_platform(host):
            self.cluster.list_platform(host)
            self.last_seen_revision[host] = self.cluster.rig.platform.store.revision
            self.listed_hosts.add(host)

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def watch(self, host):
        self.advance_clock()
        if host in self.listed_hosts:
            self.last_seen_revision[host] = self.cluster.watch_platform(
                host, self.last_seen_revision[host]
            )

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def start_anti_entropy(self, host):
        self.advance_clock()
        self.cluster.start_anti_entropy(host)

    @stateful.precondition(lambda self: self.cluster.messages_in_flight)
    @stateful.rule()
    def deliver_all(self):
        self.advance_clock()
        self.cluster.deliver_all()

    @stateful.precondition(lambda self: self.cluster.messages_in_flight)
    @stateful.rule(index=strategies.integers(0, 10_000))
    def deliver(self, index):
        self.advance_clock()
        self.cluster.deliver(index % len(self.cluster.messages_in_flight))

    @stateful.precondition(lambda self: self.cluster.messages_in_flight)
    @stateful.rule(index=strategies.integers(0, 10_000))
    def drop_message(self, index):
        self.cluster.messages_in_flight.pop(
            index % len(self.cluster.messages_in_flight)
        )

    @stateful.precondition(lambda self: self.cluster.messages_in_flight)
    @stateful.rule(index=strategies.integers(0, 10_000))
    def duplicate_message(self, index):
        in_flight = self.cluster.messages_in_flight[
            index % len(self.cluster.messages_in_flight)
        ]
        self.cluster.messages_in_flight.append(in_flight)

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def replace_host(self, host):
        self.advance_clock()
        self.cluster.start(host)
        self.listed_hosts.discard(host)
        self.highest_revisions = {
            host_and_key: revision
            for host_and_key, revision in self.highest_revisions.items()
            if host_and_key[0] != host
        }

    @stateful.rule(down=strategies.booleans())
    def set_platform_down(self, down):
        self.cluster.rig.faults.down = down

    @stateful.rule(zones=strategies.sets(strategies.sampled_from(["zone-0", "zone-1"])))
    def disconnect_zones(self, zones):
        self.cluster.disconnected_zones = zones

    @stateful.rule(revisions_back=strategies.integers(1, 5))
    def restore_older_revision(self, revisions_back):
        self.cluster.rig.clock.advance(1.0)
        store = self.cluster.rig.platform.store
        store.restore(max(0, store.revision - revisions_back))
        self.is_restored = True
        # A platform restart ends every watch, so the hosts list again.
        self.listed_hosts.clear()
        self.record_platform_versions()

    @stateful.invariant()
    def revisions_never_decrease(self):
        for host, propagator in self.cluster.propagators.items():
            for (
                key,
                revision,
            ) in propagator.local_configuration.list_revisions().items():
                assert revision >= self.highest_revisions.get((host, key), 0)
                self.highest_revisions[host, key] = revision

    @stateful.invariant()
    def confirmations_are_correct(self):
        """For each key, a host has the confirmed version or a newer one.

        The confirmed version is the one at the platform at the time of confirmation.
        """
        started_at = min(self.platform_versions_at)
        for host, propagator in self.cluster.propagators.items():
            confirmed_at = propagator.local_configuration.confirmed_at
            # A peer's confirmation is dated back by the round trip, here to a time
            # before the platform had any version.
            if confirmed_at is None or confirmed_at < started_at:
                continue
            local_versions = self.cluster.read_local_versions(host)
            platform = self.platform_versions_at[confirmed_at]
            for key, version in platform.items():
                is_newer = local_versions[key].revision > version.revision
                assert is_newer or local_versions[key] == version

    def teardown(self):
        """Without faults, all hosts converge to the versions at the platform."""
        if self.is_restored:
            return
        self.cluster.rig.faults.down = False
        self.cluster.disconnected_zones = set()
        for host in range(HOSTS):
            self.advance_clock()
            self.cluster.list_platform(host)
        self.cluster.deliver_all()
        run_round(self.cluster)
        versions = self.cluster.read_platform_versions()
        for host in range(HOSTS):
            assert self.cluster.read_local_versions(host) == versions
        assert not self.cluster.alarms


TestPropagationMachine = PropagationMachine.TestCase
TestPropagationMachine.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=50
)


def test_items_beyond_the_limit_of_one_message_are_all_sent():
    items = [
        builders.build_item(number + 1, builders.build_template(name=f"t{number}"))
        for number in range(propagation.MAX_ITEMS_PER_MESSAGE + 1)
    ]
    cluster = propagation_clusters.Cluster(2, zones=1)
    local_configuration = cluster.propagators[0].local_configuration
    local_configuration.apply(items)
    cluster.start_anti_entropy(1)
    cluster.deliver_all()
    assert (
        cluster.propagators[1].local_configuration.digests
        == local_configuration.digests
    )
