"""Rate limits of replicas that several hosts share, in virtual time.

Pattern: replicas in need name fewer requests a second than they get, while hosts with
very different loads send to them. No host sees what the others send.
"""

import pytest

from tests.utils import virtual_fleets

SEEDS = (1, 2, 3)
LIMITS_FROM_S = 3.0
# Half of what a replica gets when each zone uses its own.
LIMIT_PER_S = 13.0


def limit(servers, per_s=LIMIT_PER_S):
    for server in servers:
        server.limits = [(LIMITS_FROM_S, 100.0, per_s)]


def run_fleet(limited, seed=1, per_s=(26.0, 26.0, 26.0), until_s=20.0, **fields):
    """Run a fleet of nine hosts whose replicas `limited` (a slice) name a limit."""
    fleet = virtual_fleets.Fleet(seed=seed, shards=4, min_coverage=0.75, **fields)
    limit(fleet.servers[limited])
    fleet.run(per_s, until_s)
    return fleet


def compute_excesses(fleet):
    limited = [server for server in fleet.servers if server.limits]
    return [virtual_fleets.compute_excess(server) for server in limited]


# Guards against hosts that each send what they like to a replica in need, so that it
# gets more requests from all of them together than it named.
@pytest.mark.parametrize("seed", SEEDS)
def test_replicas_get_no_more_than_their_limit_allows_from_all_hosts(seed):
    fleet = run_fleet(slice(0, 2), seed, per_s=(26.0, 26.0, 40.0))
    assert max(compute_excesses(fleet)) <= 0
