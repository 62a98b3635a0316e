"""The bound of a quota over all hosts, and that nobody below it is refused.

The hosts run the product's code in virtual time, without a network. Pattern: quota
lessors that change, restart, freeze or are cut off while messages are lost, doubled or
late; a workspace whose requests come to one host, or to all of them now and then.
"""

import random

import pytest

from corianderrill import names
from corianderrill.gateway import quota_verdicts
from tests.utils import virtual_quotas

SEEDS = range(20)
HOST_COUNT = 70
WARM_UP_S = 20.0


def draw_faults(site, rng, end_s):
    """Let hosts, lessors more often than others, fail in turn until a time."""
    at = rng.uniform(2.0, 6.0)
    while at < end_s:
        site.loop.call_later(at, fail_once, site, rng)
        at += rng.choice([0.3, 1.1, 2.5, 7.0, 16.0]) * rng.uniform(0.5, 1.5)


def fail_once(site, rng):
    holders = [slot.host for slot in site.slots.values()]
    host = rng.choice(holders if holders and rng.random() < 0.7 else site.hosts)
    match rng.randrange(6):
        case 0 | 1:
            host.restart()
        case 2:
            host.frozen_until = site.loop.now() + rng.uniform(0.5, 15.0)
        case 3:
            # Those that are cut off with a lessor don't hear of the next one.
            others = rng.choice([[], rng.sample(site.hosts, len(site.hosts) // 2)])
            cut_off = [host, *others]
            for lost in cut_off:
                lost.is_cut_off_from_store = True
            site.loop.call_later(rng.uniform(1.0, 20.0), reconnect, cut_off)
        case 4:
            others = rng.sample(site.hosts, len(site.hosts) // 2)
            cuts = {(host, other) for other in others}
            if rng.random() < 0.5:
                cuts |= {(other, host) for other in others}
            site.cuts |= cuts
            site.loop.call_later(
                rng.uniform(0.5, 10.0), site.cuts.difference_update, cuts
            )
        case 5:
            host.kill()
            site.loop.call_later(rng.uniform(1.0, 30.0), host._come_back, [])


def reconnect(hosts):
    for host in hosts:
        host.is_cut_off_from_store = False
        for key in list(host.site.slots):
            host.hear(key)


def draw_load(site, rng, workspace, end_s):
    """Offer a multiple of the quota, each few seconds split in another way."""
    at = 0.0
    while at < end_s:
        next_at = at + rng.uniform(0.5, 12.0)
        hosts = rng.sample(site.hosts, rng.choice([1, 2, 5, len(site.hosts)]))
        per_s = workspace.requests_per_s * rng.choice([0.05, 0.6, 1.0, 3.0, 8.0])
        site.loop.call_later(
            at,
            site.add_load,
            workspace.name,
            hosts,
            max(per_s, 0.1),
            at,
            min(next_at, end_s),
        )
        at = next_at


@pytest.mark.parametrize("seed", SEEDS)
def test_no_window_exceeds_the_bound_among_random_faults(seed):
    rng = random.Random(seed)
    limits = [
        (rng.choice([0.3, 1.0, 4.0, 12.0, 40.0]), rng.choice([0.0, 1.0, 5.0, 40.0]))
        for _ in range(6)
    ]
    workspaces = virtual_quotas.build_workspaces(*limits)
    site = virtual_quotas.VirtualSite(
        rng.choice([6, 9, 20, 40]),
        workspaces,
        seed,
        loss=0.02,
        late_share=0.03,
        doubled_share=0.02,
        unsent_share=0.05,
        max_news_delay_s=1.5,
    )
    end_s = 90.0
    draw_faults(site, rng, end_s)
    for workspace in workspaces:
        draw_load(site, rng, workspace, end_s)
    site.loop.run_until(end_s + 5.0)
    for workspace in workspaces:
        times = site.ran[workspace.name]
        assert times
        assert virtual_quotas.find_worst_excess(times, workspace) <= 0


def draw_usual_loads(rng, count=77, total_per_s=140.0):
    """Return the usual requests a second of workspaces, with sizes as by Zipf."""
    weights = [1.0 / (rank + 1) for rank in range(count)]
    return [total_per_s * weight / sum(weights) for weight in weights]


def test_workspaces_at_their_usual_load_are_never_refused():
    rng = random.Random(7)
    loads = draw_usual_loads(rng)
    limits = [(1.6 * per_s, 1.6 * per_s) for per_s in loads]
    workspaces = virtual_quotas.build_workspaces(*limits)
    site = virtual_quotas.VirtualSite(HOST_COUNT, workspaces)
    for workspace, per_s in zip(workspaces, loads, strict=True):
        clients = 2 if workspace.requests_per_s <= 1.0 else HOST_COUNT
        hosts = rng.sample(site.hosts, clients)
        site.add_load(workspace.name, hosts, per_s, WARM_UP_S, 120.0)
    site.loop.run_until(125.0)
    assert site.refusals == []


@pytest.mark.parametrize("burst", [0.0, 1.0, 3.0])
def test_small_workspace_with_a_small_burst_is_never_refused(burst):
    workspaces = virtual_quotas.build_workspaces(*[(0.5, burst)] * 30)
    site = virtual_quotas.VirtualSite(HOST_COUNT, workspaces)
    for workspace in workspaces:
        hosts = site.rng.sample(site.hosts, site.rng.choice([1, 2]))
        site.add_load(workspace.name, hosts, 0.5 / 1.6, WARM_UP_S, 200.0)
    site.loop.run_until(205.0)
    assert site.refusals == []


def test_workspace_with_one_request_a_minute_on_each_host_is_never_refused():
    per_s = HOST_COUNT / 60.0
    workspaces = virtual_quotas.build_workspaces((1.6 * per_s, 1.6 * per_s))
    site = virtual_quotas.VirtualSite(HOST_COUNT, workspaces)
    site.add_load(workspaces[0].name, site.hosts, per_s, WARM_UP_S, 600.0)
    site.loop.run_until(605.0)
    assert site.refusals == []


@pytest.mark.parametrize("spread", [1, 3, HOST_COUNT])
@pytest.mark.parametrize("usual_per_s", [0.3, 5.0, 30.0])
def test_hot_workspace_gets_its_quota(usual_per_s, spread):
    quota_per_s = 1.6 * usual_per_s
    workspaces = virtual_quotas.build_workspaces((quota_per_s, quota_per_s))
    site = virtual_quotas.VirtualSite(HOST_COUNT, workspaces)
    name = workspaces[0].name
    hosts = site.rng.sample(site.hosts, spread)
    end_s = 80.0
    site.add_load(name, hosts, 8 * usual_per_s, WARM_UP_S, end_s)
    site.loop.run_until(end_s)
    got = len([at for at in site.ran[name] if at >= WARM_UP_S])
    assert got >= 0.9 * quota_per_s * (end_s - WARM_UP_S)
    assert virtual_quotas.find_worst_excess(site.ran[name], workspaces[0]) <= 0
    reasons = {refusal.decision for _, _, refusal in site.refusals}
    assert reasons <= {quota_verdicts.Decision.OVER_QUOTA}


def test_request_without_a_lessor_is_refused_once_its_lease_is_used_up():
    workspaces = virtual_quotas.build_workspaces((2.0, 2.0))
    site = virtual_quotas.VirtualSite(9, workspaces)
    name = workspaces[0].name
    site.loop.run_until(WARM_UP_S)
    client, *_ = [h for h in site.hosts if h.role.term is None]
    key = client.quotas.placement.find_slot(names.WorkspaceName(name))
    site.add_load(name, [client], 0.7, WARM_UP_S, 60.0)
    site.loop.run_until(30.0)
    assert site.refusals == []
    for host in site.hosts:
        if host is not client:
            host.kill()
    site.loop.run_until(31.0)
    assert site.slots[key].host.is_alive is False
    site.loop.run_until(60.0)
    decisions = {refusal.decision for _, _, refusal in site.refusals}
    assert quota_verdicts.Decision.LESSOR_UNKNOWN in decisions
    assert min(at for at, _, _ in site.refusals) > 32.0


def build_loaded_site(per_s=40.0, burst=40.0, end_s=60.0):
    """Return a site with 8 times the quota on all hosts, and the workspace's lessor."""
    workspaces = virtual_quotas.build_workspaces((per_s, burst))
    site = virtual_quotas.VirtualSite(20, workspaces)
    name = workspaces[0].name
    site.add_load(name, site.hosts, 8 * per_s, WARM_UP_S, end_s)
    site.loop.run_until(WARM_UP_S + 10.0)
    key = site.hosts[0].quotas.placement.find_slot(name)
    return site, workspaces[0], key


# Guards against a lessor that goes on while the store has given its slot to another.
def test_bound_holds_while_a_lessor_and_half_of_the_hosts_are_cut_off_from_the_store():
    site, workspace, key = build_loaded_site()
    lessor = site.slots[key].host
    for host in [lessor, *site.hosts[::2]]:
        host.is_cut_off_from_store = True
    site.loop.run_until(60.0)
    assert site.slots[key].host is not lessor
    assert virtual_quotas.find_worst_excess(site.ran[workspace.name], workspace) <= 0


# Guards against a new lessor that begins with a full bucket.
@pytest.mark.parametrize("interval_s", [0.95, 1.3, 2.4])
def test_bound_holds_while_a_lessor_restarts_again_and_again(interval_s):
    site, workspace, key = build_loaded_site(4.0, 40.0)
    for number in range(12):
        site.loop.call_later(interval_s * number, site.slots[key].host.restart)
    site.loop.run_until(60.0)
    assert virtual_quotas.find_worst_excess(site.ran[workspace.name], workspace) <= 0


# Guards against processes that use the lease of their host once more.
def test_bound_holds_while_all_hosts_restart_again_and_again():
    site, workspace, key = build_loaded_site(0.5, 0.0)
    lessor = site.slots[key].host
    for number in range(12):
        for host in site.hosts:
            if host is not lessor:
                site.loop.call_later(1.6 * number, host.restart)
    site.loop.run_until(60.0)
    assert virtual_quotas.find_worst_excess(site.ran[workspace.name], workspace) <= 0
