import random

from corianderrill import catalog, fanout_policies, hostlist, names
from tests.utils import domain_builders as build


def build_server(host, state=hostlist.HostState.LIVE):
    shard = build.build_shard()
    return hostlist.BackendServer(
        fleet=build.FLEET,
        host=names.HostName(host),
        incarnation=names.Incarnation("1"),
        zone=names.ZoneName("a"),
        address=names.Address("127.0.0.1", 1),
        service=shard.service.name,
        shards=(shard.name,),
        slots=2,
        connection_cap=25,
        connect_cost_s=0.006,
        state=state,
    )


def build_policy():
    fleet_catalog = catalog.Catalog(build.FLEET)
    catalogs = {build.FLEET: fleet_catalog}
    zone = names.ZoneName("a")
    return fanout_policies.AdaptivePolicy(
        zone, catalogs, random.Random(1)
    ), fleet_catalog


def choose(policy, version=8, now=0.0):
    snapshot = build.build_snapshot_id(version)
    return policy.choose_replica(build.build_shard(), snapshot, frozenset(), now)


def test_replica_known_to_lack_the_snapshot_is_not_chosen():
    policy, fleet_catalog = build_policy()
    servers = (build_server("b0"), build_server("b1"))
    policy.apply_host_list(servers, 0.0)
    fleet_catalog.record_held_versions(
        servers[0].replica, build.build_shard(), 5, 7, 0.0
    )
    assert {choose(policy) for _ in range(50)} == {servers[1].replica}
    assert len({choose(policy, 7) for _ in range(50)}) == 2


def test_server_missing_from_a_new_host_list_is_forgotten():
    policy, fleet_catalog = build_policy()
    servers = (build_server("b0"), build_server("b1"))
    policy.apply_host_list(servers, 0.0)
    fleet_catalog.record_held_versions(
        servers[0].replica, build.build_shard(), 5, 7, 0.0
    )
    policy.apply_host_list(servers[1:], 1.0)
    holds = fleet_catalog.get_hold_state(
        servers[0].replica, build.build_shard(), 8, 1.0
    )
    assert holds is catalog.HoldState.MAYBE
    assert choose(policy, now=1.0) == servers[1].replica


def test_server_marked_as_leaving_in_the_host_list_gets_no_new_attempts():
    policy, _ = build_policy()
    leaving = build_server("b0", hostlist.HostState.LEAVING)
    policy.apply_host_list((leaving, build_server("b1")), 0.0)
    assert {choose(policy) for _ in range(50)} == {build_server("b1").replica}
