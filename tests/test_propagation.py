import hypothesis
import pytest
from hypothesis import stateful, strategies

from corianderrill import configuration, messages, names, propagation
from tests.utils import configuration_builders as builders
from tests.utils import hosts, propagation_clusters

HOSTS = 3
KEY = configuration.format_template_key("template-1")


def list_watchers(cluster):
    return [number for number, host in cluster.spreaders.items() if host.should_watch]


def run_round(cluster, loss=0.0):
    """One second: every host compares, and what is under way arrives."""
    cluster.rig.clock.advance(1.0)
    for number in cluster.spreaders:
        cluster.compare(number)
    cluster.deliver_all(loss)


def count_holding(cluster, revision):
    return sum(
        host.get_revision(KEY) == revision for host in cluster.spreaders.values()
    )


def test_each_zone_has_exactly_the_configured_number_of_watchers():
    cluster = propagation_clusters.Cluster(30)
    watchers = list_watchers(cluster)
    assert len(watchers) == 3 * propagation.WATCHERS_PER_ZONE
    assert {cluster.zone_of[number] for number in watchers} == {
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


def test_a_change_that_watchers_see_is_in_force_everywhere_at_once():
    cluster = propagation_clusters.Cluster(30)
    revision = cluster.publish(1, "c1").version.revision
    for number in list_watchers(cluster):
        cluster.list_platform(number)
    cluster.deliver_all()
    assert count_holding(cluster, revision) == 30


@pytest.mark.parametrize("seed", range(3))
def test_anti_entropy_repairs_lost_messages_within_five_rounds(seed):
    cluster = propagation_clusters.Cluster(90, seed=seed)
    revision = cluster.publish(1, "c1").version.revision
    for number in list_watchers(cluster):
        cluster.list_platform(number)
    cluster.deliver_all(loss=0.3)
    rounds = 0
    while count_holding(cluster, revision) < 90:
        run_round(cluster, loss=0.1)
        rounds += 1
    assert rounds <= 5


@pytest.mark.parametrize("seed", range(3))
def test_a_zone_cut_off_from_the_platform_receives_changes_from_others(seed):
    cluster = propagation_clusters.Cluster(90, seed=seed)
    cluster.cut_zones = {"zone-1"}
    revision = cluster.publish(1, "c1").version.revision
    for number in list_watchers(cluster):
        cluster.list_platform(number)
    cluster.deliver_all(loss=0.3)
    for _ in range(5):
        run_round(cluster)
    assert count_holding(cluster, revision) == 90
    assert all(host.local_configuration.ready for host in cluster.spreaders.values())


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
    host = cluster.spreaders[0]
    assert not host.local_configuration.ready
    run_round(cluster)
    assert host.get_revision(KEY) == revision
    assert host.local_configuration.ready


def test_hosts_without_any_state_stay_not_ready():
    cluster = propagation_clusters.Cluster(6)
    cluster.rig.faults.down = True
    for _ in range(5):
        run_round(cluster)
    assert not any(
        host.local_configuration.ready for host in cluster.spreaders.values()
    )


def test_the_age_of_a_confirmation_is_never_told_as_younger():
    cluster = propagation_clusters.Cluster(6)
    for number in list_watchers(cluster):
        cluster.list_platform(number)
    confirmed_at = cluster.now
    for _ in range(5):
        run_round(cluster)
    assert {
        host.local_configuration.confirmed_at for host in cluster.spreaders.values()
    } == {confirmed_at}


def test_an_older_platform_raises_alarms_and_is_not_confirmed():
    cluster = propagation_clusters.Cluster(3)
    for change in ("c1", "c2"):
        revision = cluster.publish(1, change).version.revision
    cluster.list_platform(0)
    confirmed_at = cluster.spreaders[0].local_configuration.confirmed_at
    cluster.rig.platform.store.restore(1)
    cluster.rig.clock.advance(1.0)
    assert cluster.read_changes(0, after=2) == 1
    cluster.list_platform(0)
    host = cluster.spreaders[0]
    assert len(cluster.alarms) == 2
    assert host.get_revision(KEY) == revision
    assert host.local_configuration.confirmed_at == confirmed_at
    assert not host.is_platform_current


def test_a_change_published_above_the_held_revision_heals_an_older_platform():
    cluster = propagation_clusters.Cluster(3)
    for change in ("c1", "c2", "c3"):
        held = cluster.publish(1, change).version.revision
    cluster.list_platform(0)
    cluster.rig.platform.store.restore(1)
    beaten = cluster.publish(1, "c4").version.revision
    assert beaten < held
    cluster.list_platform(0)
    assert cluster.spreaders[0].get_revision(KEY) == held
    healed = cluster.publish(1, "c5", above=held).version.revision
    cluster.list_platform(0)
    assert cluster.spreaders[0].get_revision(KEY) == healed
    assert cluster.spreaders[0].is_platform_current


def test_a_watch_that_reports_a_lower_revision_does_not_confirm():
    cluster = propagation_clusters.Cluster(1)
    for change in ("c1", "c2", "c3"):
        held = cluster.publish(1, change).version.revision
    cluster.list_platform(0)
    confirmed_at = cluster.spreaders[0].local_configuration.confirmed_at
    cluster.rig.platform.store.restore(1)
    cluster.publish(1, "c4")
    cluster.rig.clock.advance(1.0)
    cluster.read_changes(0, after=1)
    assert [alarm.reason for alarm in cluster.alarms] == [
        configuration.AlarmReason.OLDER
    ]
    assert cluster.spreaders[0].get_revision(KEY) == held
    assert cluster.spreaders[0].local_configuration.confirmed_at == confirmed_at


def test_a_key_removed_from_the_platform_by_hand_is_an_alarm():
    cluster = propagation_clusters.Cluster(1)
    cluster.publish(1, "c1")
    cluster.list_platform(0)
    cluster.rig.client().delete(KEY)
    cluster.read_changes(0, after=1)
    assert [alarm.reason for alarm in cluster.alarms] == [
        configuration.AlarmReason.LOST
    ]
    assert cluster.spreaders[0].get_revision(KEY)


def test_the_count_in_force_names_the_hosts_that_have_not_confirmed():
    members = [hosts.build_member(number) for number in range(3)]
    zones = ("a", "a", "b")
    peers = [propagation.Peer(*pair) for pair in zip(members, zones, strict=True)]
    count = propagation.InForcePoll(1, KEY, names.Revision(5), peers)
    count.record_answer(members[0], messages.ConfigurationAnswer(1, 6))
    count.record_answer(members[1], messages.ConfigurationAnswer(1, 4))
    count.record_answer(members[2], messages.ConfigurationAnswer(2, 9))
    assert [send.member for send in count.build_questions()] == members[1:]
    assert count.report().zones == (
        propagation.ZoneInForce("a", ("entry-0",), ("entry-1",)),
        propagation.ZoneInForce("b", (), ("entry-2",)),
    )
    assert not count.report().is_in_force_everywhere


class PropagationMachine(stateful.RuleBasedStateMachine):
    """Changes, faults and packets in any order.

    The model keeps what the platform held at each time.
    """

    def __init__(self):
        super().__init__()
        self.cluster = propagation_clusters.Cluster(HOSTS, zones=2)
        self.after = dict.fromkeys(range(HOSTS), 0)
        self.listed = set()
        self.platform_at = {}
        self.highest = {}
        self.is_restored = False
        self.changes = 0
        self.note_platform()

    def note_platform(self):
        self.platform_at[self.cluster.now] = self.cluster.read_platform()

    def tick(self):
        self.cluster.rig.clock.advance(1.0)
        self.note_platform()

    @stateful.initialize()
    def begin(self):
        self.publish(0)
        for host in range(HOSTS):
            self.list_platform(host)

    @stateful.rule(number=strategies.integers(0, 1))
    def publish(self, number):
        self.cluster.rig.clock.advance(1.0)
        self.changes += 1
        self.cluster.publish(number, f"c{self.changes}")
        self.note_platform()

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def list_platform(self, host):
        self.tick()
        if self.cluster.reaches_platform(host):
            self.cluster.list_platform(host)
            self.after[host] = self.cluster.rig.platform.store.revision
            self.listed.add(host)

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def watch(self, host):
        self.tick()
        if host in self.listed:
            self.after[host] = self.cluster.read_changes(host, self.after[host])

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def compare(self, host):
        self.tick()
        self.cluster.compare(host)

    @stateful.precondition(lambda self: self.cluster.packets)
    @stateful.rule()
    def deliver_all(self):
        self.tick()
        self.cluster.deliver_all()

    @stateful.precondition(lambda self: self.cluster.packets)
    @stateful.rule(place=strategies.integers(0, 10_000))
    def deliver(self, place):
        self.tick()
        self.cluster.deliver(place % len(self.cluster.packets))

    @stateful.precondition(lambda self: self.cluster.packets)
    @stateful.rule(place=strategies.integers(0, 10_000))
    def lose(self, place):
        self.cluster.packets.pop(place % len(self.cluster.packets))

    @stateful.precondition(lambda self: self.cluster.packets)
    @stateful.rule(place=strategies.integers(0, 10_000))
    def duplicate(self, place):
        packet = self.cluster.packets[place % len(self.cluster.packets)]
        self.cluster.packets.append(packet)

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def replace_host(self, host):
        self.tick()
        self.cluster.start(host)
        self.listed.discard(host)
        self.highest = {
            place: revision
            for place, revision in self.highest.items()
            if place[0] != host
        }

    @stateful.rule(down=strategies.booleans())
    def set_platform(self, down):
        self.cluster.rig.faults.down = down

    @stateful.rule(zones=strategies.sets(strategies.sampled_from(["zone-0", "zone-1"])))
    def cut_zones(self, zones):
        self.cluster.cut_zones = zones

    @stateful.rule(back=strategies.integers(1, 5))
    def restore_older(self, back):
        self.cluster.rig.clock.advance(1.0)
        store = self.cluster.rig.platform.store
        store.restore(max(0, store.revision - back))
        self.is_restored = True
        # A restart of the platform ends every watch; the hosts list again.
        self.listed.clear()
        self.note_platform()

    @stateful.invariant()
    def revisions_only_rise(self):
        for host, spreader in self.cluster.spreaders.items():
            for key, revision in spreader.local_configuration.list_revisions().items():
                assert revision >= self.highest.get((host, key), 0)
                self.highest[host, key] = revision

    @stateful.invariant()
    def confirmations_are_true(self):
        """The platform held nothing then that is not held, or newer, now."""
        for host, spreader in self.cluster.spreaders.items():
            if spreader.local_configuration.confirmed_at is None:
                continue
            held = self.cluster.list_held(host)
            platform = self.platform_at[spreader.local_configuration.confirmed_at]
            for key, version in platform.items():
                is_newer = held[key].revision > version.revision
                assert is_newer or held[key] == version

    def teardown(self):
        """Without faults all hosts come to hold what the platform holds."""
        if self.is_restored:
            return
        self.cluster.rig.faults.down = False
        self.cluster.cut_zones = set()
        for host in range(HOSTS):
            self.tick()
            self.cluster.list_platform(host)
        self.cluster.deliver_all()
        run_round(self.cluster)
        versions = self.cluster.read_platform()
        for host in range(HOSTS):
            assert self.cluster.list_held(host) == versions
        assert not self.cluster.alarms


TestPropagationMachine = PropagationMachine.TestCase
TestPropagationMachine.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=50
)


def test_the_items_of_a_message_are_bounded():
    items = [
        builders.build_item(number + 1, builders.build_template(name=f"t{number}"))
        for number in range(propagation.MAX_ITEMS_PER_MESSAGE + 1)
    ]
    cluster = propagation_clusters.Cluster(2, zones=1)
    held = cluster.spreaders[0].local_configuration
    held.apply(items)
    cluster.compare(1)
    cluster.deliver_all()
    assert cluster.spreaders[1].local_configuration.digests == held.digests
