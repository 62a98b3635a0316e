"""End-to-end tests of gateway processes whose workspaces have quotas."""

import signal
import time

import eventlet
import pytest

from tests.utils import gateway_rig, quota_sites

SECONDS = 6.0
INTERVAL_S = 0.1


@pytest.fixture
def site(tmp_path):
    with quota_sites.run(tmp_path) as running:
        yield running


# Guards against hosts that count apart, and against a refused request that runs.
def test_quota_holds_over_both_hosts_and_what_is_refused_has_not_run(site):
    for host in site.rig.hosts:
        site.wait_for_answer(host)
    began_at = time.monotonic()
    count = int(SECONDS / INTERVAL_S)
    threads = [
        eventlet.spawn(site.send_many, host, count, INTERVAL_S)
        for host in site.rig.hosts
    ]
    sent = [answer for thread in threads for answer in thread.wait()]
    windows = (time.monotonic() - began_at) // 5.0 + 1
    statuses = [response.status for _, response in sent]
    assert set(statuses) == {200, 429}
    quota = quota_sites.REQUESTS_PER_S * 5.0 + quota_sites.BURST
    assert statuses.count(200) <= windows * (1.1 * quota + 20)
    assert statuses.count(200) >= 0.9 * quota_sites.REQUESTS_PER_S * SECONDS
    refused = {id_: response for id_, response in sent if response.status == 429}
    assert not set(refused) & set(site.rig.single_server.requests)
    delays = [float(r.headers["Retry-After"]) for r in refused.values()]
    assert len(set(delays)) > len(delays) // 2


def test_workspace_without_a_limit_asks_nobody(site):
    for number in range(10):
        for host in site.rig.hosts:
            answer = site.send(host, f"free-{number}", quota_sites.FREE_KEY)
            assert answer.status == 200
    for host in site.rig.hosts:
        text = quota_sites.read_metrics(host)
        assert "gateway_requests_total{" in text
        assert "gateway_quota_messages_total{" not in text
        assert "gateway_quota_decisions_total{" not in text


# Guards against a workspace that is refused for as long as its lessor is gone.
@pytest.mark.parametrize("killed", [0, 1])
def test_workspace_is_served_again_after_each_host_was_killed(site, killed):
    for host in site.rig.hosts:
        site.wait_for_answer(host)
    left = site.rig.hosts[1 - killed]
    site.rig.hosts[killed].stop()
    with eventlet.Timeout(gateway_rig.TIMEOUT_S):
        site.rig.wait_until(lambda: not list_keys(site) >= quota_sites.ZONE_SLOTS)
        site.wait_for_slots()
        site.wait_for_answer(left)


def list_keys(site):
    return site.rig.store.list_keys()


# Guards against 6 s without lessors after all hosts have restarted.
def test_restarted_host_takes_over_its_slot_before_the_old_lease_ends(site):
    for host in site.rig.hosts:
        site.wait_for_answer(host)
    for host in site.rig.hosts:
        host.stop()
    began_at = time.monotonic()
    for host in site.rig.hosts:
        host.start()
    for host in site.rig.hosts:
        site.wait_for_answer(host)
    assert time.monotonic() - began_at < 5.0
    for host in site.rig.hosts:
        records = quota_sites.read_records(host)
        roles = [r for r in records if r["event"] == "aggregator-role"]
        assert [role["change"] for role in roles] == ["taken"]


# Guards against a lessor that wakes and grants what its successor grants too.
def test_lessor_that_was_frozen_answers_no_more_once_its_slot_is_taken(site):
    for host in site.rig.hosts:
        site.wait_for_answer(host)
    frozen, other = site.first, site.second
    frozen.signal(signal.SIGSTOP)
    try:
        site.rig.wait_until(lambda: not list_keys(site) >= quota_sites.ZONE_SLOTS)
        site.wait_for_slots()
        site.wait_for_answer(other)
    finally:
        frozen.signal(signal.SIGCONT)
    site.wait_for_answer(frozen)
    events = [record["event"] for record in quota_sites.read_records(frozen)]
    begun, ended = map(events.count, ("quota-term-begun", "quota-term-ended"))
    assert begun == ended == 1


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"{", 400),
        (b"[" * 100_000, 400),
        (b'["h","p",1,"","zone-a",false,[["kami",-1]]]', 400),
        (b'["h","p",1,"","zone-a",false,[]]', 503),
    ],
)
def test_bad_message_is_refused_and_the_lessor_goes_on(site, body, status):
    connection = gateway_rig.connect(site.first_address)
    connection.request("POST", "/quota", body=body)
    assert connection.getresponse().status == status
    site.wait_for_answer(site.first)


# Guards against tokens that are lost with requests that no replica could take.
def test_request_without_a_replica_gives_back_what_it_took(site):
    for host in site.rig.hosts:
        site.wait_for_answer(host)
    site.rig.store.remove(f"servers/{site.rig.single_server.id}")
    eventlet.sleep(gateway_rig.CONFIG_APPLY_S + 1.0)
    for host in site.rig.hosts:
        statuses = [site.send(host, f"n-{number}").status for number in range(60)]
        assert set(statuses) == {503}
