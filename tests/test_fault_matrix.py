"""Every fault at every step of a query: the promises hold, whatever happens."""

import itertools

import eventlet
import pytest

from corianderrill import hostlist, names, publishing
from corianderrill.standins import backend
from tests.utils import rigs

SEED = 11
COUNCIL = "Logan"


def slow_some(rig):
    for server in rigs.pick_servers(rig, 0.5, SEED):
        server.faults.slow_factor = 30.0


def kill_some(rig):
    for server in rigs.pick_servers(rig, 0.5, SEED):
        server.kill()


def freeze_some(rig):
    for server in rigs.pick_servers(rig, 0.5, SEED):
        server.faults.frozen = True


def repartition(rig):
    for fleet in rig.site.builders:
        rig.site.add_version(fleet, repartition=True)


def drop_old_versions(rig):
    for fleet in rig.site.builders:
        for number in range(6):
            rig.site.add_version(fleet, repartition=number % 2 == 0)


def add_version(rig):
    for fleet in rig.site.builders:
        rig.site.add_version(fleet)


def lie_about_load(rig):
    for number, server in enumerate(rig.servers):
        server.faults.reported_load = float(number % 2)
        server.faults.reported_healthy = bool(number % 2)


def shed_some(rig):
    for server in rigs.pick_servers(rig, 0.5, SEED):
        server.faults.shedding = True


def drain_some(rig):
    for server in rigs.pick_servers(rig, 0.5, SEED):
        server.faults.draining = True


def spoil_some(rig):
    for server, fault in zip(
        rigs.pick_servers(rig, 1.0, SEED), itertools.cycle(backend.ReplyFault)
    ):
        server.faults.reply_fault = fault


def stop_store(rig):
    rig.site.platform.faults.down = True


def slow_store(rig):
    rig.site.platform.faults.delay_s = 0.5


def take_host_list_away(rig):
    rig.site.host_list.faults.is_down = True


def make_host_list_late(rig):
    rig.site.host_list.faults.lag_s = 30.0


def replace_some(rig):
    for server in rigs.pick_servers(rig, 0.5, SEED):
        rig.replace_server(server)


def lose_replies_of_store(rig):
    rig.site.platform.faults.lost_replies = 3


def bring_crowd(rig):
    for _ in range(30):
        eventlet.spawn(rig.find_permits, COUNCIL)


def kill_entry_host(rig):
    rig.hosts[1].stop()


def cut_off_from_hosts(rig):
    link = rig.hosts[0].cluster.link
    for member in link.list_connected_peers():
        link.disconnect(member)


def cut_off_from_platform(rig):
    rig.site.platform.faults.down = True
    rig.site.host_list.faults.is_down = True


def race_operators(rig):
    changed = [
        eventlet.spawn(rig.publish_limit, author, limit)
        for author, limit in (("Mari", 400), ("Jo", 500))
    ]
    outcomes = [task.wait() for task in changed]
    assert any(isinstance(outcome, publishing.Accepted) for outcome in outcomes)


def replace_entry_host(rig):
    rig.replace_host(1)


def empty_host_list(rig):
    for server in rigs.pick_servers(rig, 0.5, SEED):
        rig.site.host_list.remove(server.shape.replica.host)
        server.kill()


FAULTS = {
    "straggler": slow_some,
    "replica-lost": kill_some,
    "replica-frozen": freeze_some,
    "repartition": repartition,
    "index-version": add_version,
    "versions-dropped": drop_old_versions,
    "lying-report": lie_about_load,
    "shed": shed_some,
    "drain": drain_some,
    "wrong-reply": spoil_some,
    "store-down": stop_store,
    "store-slow": slow_store,
    "host-list-down": take_host_list_away,
    "host-list-late": make_host_list_late,
    "server-removed": empty_host_list,
    "cold-start": replace_some,
    "store-reply-lost": lose_replies_of_store,
    "demand-swing": bring_crowd,
    "platform-cut": cut_off_from_platform,
    "racing-operators": race_operators,
}
HOST_FAULTS = {
    "host-killed": kill_entry_host,
    "zone-cut": cut_off_from_hosts,
    "host-replaced": replace_entry_host,
}
CELLS = [
    pytest.param(strike, step, id=f"{name}-{step.value}")
    for (name, strike), step in itertools.product(FAULTS.items(), rigs.Step)
]
HOST_CELLS = [
    pytest.param(strike, step, id=f"{name}-{step.value}")
    for (name, strike), step in itertools.product(HOST_FAULTS.items(), rigs.Step)
]


@pytest.fixture
def rig():
    started = rigs.Rig()
    yield started
    started.stop()


@pytest.fixture
def three_hosts():
    started = rigs.Rig(hosts=3)
    yield started
    started.stop()


def check_answer(rig, answer):
    """Fail unless the answer is whole or says truly what it lacks."""
    label = answer.label
    assert answer.outcome in ("complete", "partial"), answer.detail
    assert label.coverage.asked == 2 * rigs.SHARDS
    missing = {lacking.shard for lacking in label.coverage.missing}
    assert label.coverage.answered == label.coverage.asked - len(missing)
    found = sorted((row.shard.split("/")[1], row.key) for row in answer.rows)
    assert len(set(found)) == len(found), "a row stands twice"
    version = int(label.snapshot.partition("@")[2])
    assert {row.fields["index_version"] for row in answer.rows} <= {version}
    assert not missing & {row.shard for row in answer.rows}
    expected = rig.list_permits(COUNCIL)
    if missing:
        assert set(found) < set(expected) or found == expected
    else:
        assert found == expected


@pytest.mark.parametrize(("strike", "step"), CELLS)
def test_an_answer_is_whole_or_says_what_it_lacks(rig, strike, step):
    rigs.strike_at(rig.hosts[0].observer, step, lambda: strike(rig))
    check_answer(rig, rig.find_permits(COUNCIL, minimum_coverage=0.0))


@pytest.mark.parametrize(("strike", "step"), HOST_CELLS)
def test_an_answer_is_whole_or_says_what_it_lacks_without_a_host(
    three_hosts, strike, step
):
    rigs.strike_at(three_hosts.hosts[0].observer, step, lambda: strike(three_hosts))
    check_answer(three_hosts, three_hosts.find_permits(COUNCIL, minimum_coverage=0.0))


@pytest.mark.parametrize(("strike", "step"), HOST_CELLS)
def test_a_booking_runs_at_most_once_without_a_host(three_hosts, strike, step):
    rigs.strike_at(three_hosts.hosts[0].observer, step, lambda: strike(three_hosts))
    check_booking(three_hosts, three_hosts.book("renewal-1"))


@pytest.mark.parametrize(("strike", "step"), CELLS)
def test_a_booking_runs_at_most_once_and_is_told_truly(rig, strike, step):
    rigs.strike_at(rig.hosts[0].observer, step, lambda: strike(rig))
    check_booking(rig, rig.book("renewal-1"))


def check_booking(rig, answer):
    """Fail unless the booking ran at most once and the answer says so truly."""
    runs = len(rig.list_runs("renewal-1"))
    assert runs <= 1
    match answer.outcome:
        case "complete":
            assert runs == 1
        case "not-run":
            assert runs == 0
        case outcome:
            assert outcome == "unknown", answer


@pytest.mark.parametrize("name", sorted(FAULTS | HOST_FAULTS))
def test_a_host_leaves_without_a_cut(three_hosts, name):
    left = three_hosts.hosts[0]
    done = eventlet.spawn(left.wait_until_left)
    running = [eventlet.spawn(three_hosts.find_permits, COUNCIL) for _ in range(3)]
    eventlet.sleep(0.01)
    left.take_signal()
    (FAULTS | HOST_FAULTS)[name](three_hosts)
    assert done.wait().cut_off == 0
    for answer in running:
        assert answer.wait().outcome in ("complete", "insufficient", "not-run")


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_the_next_query_is_whole_again_while_a_replica_is_left(rig, name):
    FAULTS[name](rig)
    for _ in range(5):
        answer = rig.find_permits(COUNCIL, minimum_coverage=0.0)
        check_answer(rig, answer)
    assert answer.outcome == "complete", answer.label


def test_a_leaving_server_on_the_host_list_gets_no_new_work(rig):
    server = rigs.pick_servers(rig, 0.1, SEED)[0]
    rig.site.host_list.mark_leaving(server.shape.replica.host)
    rig.hosts[0].read_host_list()
    before = server.counters.requests
    for _ in range(5):
        assert rig.find_permits(COUNCIL).outcome == "complete"
    assert server.counters.requests == before
    state = {
        listed.state
        for listed in rig.site.host_list.current.backend_servers
        if listed.host == names.HostName(server.shape.replica.host)
    }
    assert state == {hostlist.HostState.LEAVING}
