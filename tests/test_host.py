import time

import eventlet
import pytest

from corianderrill import entry, shutdown
from corianderrill.cli import demo
from corianderrill.standins import deployments
from tests.utils import rigs

HOSTS = 3


@pytest.fixture
def rig():
    started = rigs.Rig(hosts=HOSTS, service_s=0.03)
    yield started
    started.stop()


def test_a_booking_sent_to_every_host_runs_once(rig):
    request_id = entry.make_request_id()
    answers = list(
        eventlet.GreenPool().imap(
            lambda host: rig.book("twice", host=host, request_id=request_id),
            range(HOSTS),
        )
    )
    assert len(rig.list_runs("twice")) == 1
    outcomes = sorted(answer.outcome for answer in answers)
    assert outcomes == ["complete", "unknown", "unknown"]
    again = rig.book("twice", request_id=request_id, is_resent=True)
    assert again.outcome == "unknown"
    assert "ran" in again.detail
    assert len(rig.list_runs("twice")) == 1


def test_a_booking_is_not_run_while_the_platform_is_away(rig):
    rig.site.platform.faults.down = True
    answer = rig.book("away")
    assert (answer.outcome, answer.reason) == ("not-run", "claim-unavailable")
    assert rig.list_runs("away") == []


def test_a_leaving_host_finishes_what_is_in_flight_and_refuses_the_rest(rig):
    left = rig.hosts[0]
    done = eventlet.spawn(left.wait_until_left)
    pool = eventlet.GreenPool()
    running = [pool.spawn(rig.find_permits) for _ in range(5)]
    eventlet.sleep(0.02)
    left.take_signal()
    assert done.wait() == shutdown.Close(shutdown.CloseReason.FINISHED, 0)
    assert [answer.wait().outcome for answer in running] == ["complete"] * 5
    assert not left.is_ready


def test_queries_of_other_hosts_stay_whole_while_an_owner_leaves(rig):
    left = rig.hosts[0]
    done = eventlet.spawn(left.wait_until_left)
    answers = []

    def ask_often():
        ends_at = time.monotonic() + 1.0
        while time.monotonic() < ends_at:
            answers.append(rig.find_permits(host=1).outcome)

    asking = [eventlet.spawn(ask_often) for _ in range(3)]
    eventlet.sleep(0.3)
    left.take_signal()
    assert done.wait().cut_off == 0
    for task in asking:
        task.wait()
    assert set(answers) == {"complete"}
    assert len(answers) > 3


def test_a_zone_that_is_cut_off_from_the_platform_serves_on_and_says_so(rig):
    rig.site.platform.faults.down = True
    rig.site.host_list.faults.is_down = True
    first = rig.find_permits()
    eventlet.sleep(0.2)
    second = rig.find_permits()
    assert (first.outcome, second.outcome) == ("complete", "complete")
    assert second.label.confirmed_age_s > first.label.confirmed_age_s
    assert second.label.snapshot == f"{deployments.GANTRY.fleet}@1"


def test_a_draining_server_is_known_to_every_host_after_one_round_of_probes(rig):
    server = rigs.pick_servers(rig, 0.1, seed=5)[0]
    server.faults.draining = True
    for entry_host in rig.hosts:
        entry_host.cluster.probe_servers()
    eventlet.sleep(0.1)
    for host in range(HOSTS):
        assert rig.find_permits(host=host).outcome == "complete"
    assert server.counters.refused_draining == 0


def test_a_host_that_starts_while_the_platform_is_away_takes_its_state_from_peers(rig):
    rig.site.platform.faults.down = True
    rig.site.host_list.faults.is_down = True
    late = rig.start_late_host()
    demo.wait_until_ready([late])
    answer = rig.find_permits(host=HOSTS)
    assert answer.outcome == "complete"
    assert answer.label.confirmed_age_s >= 0


def test_no_claim_is_made_on_a_platform_that_came_back_older(rig):
    store = rig.site.platform.store
    older = store.revision
    request_id = entry.make_request_id()
    assert rig.book("older", request_id=request_id).outcome == "complete"
    rigs.wait_for(
        lambda: all(
            host.cluster.claimant.highest_revision > older for host in rig.hosts
        )
    )
    store.restore(older)
    for entry_host in rig.hosts:
        entry_host.cluster.claimant.observe_revision(store.revision)
    again = rig.book("older", host=1, request_id=request_id)
    assert again.outcome in ("not-run", "unknown")
    assert len(rig.list_runs("older")) == 1
