"""Requests that may be sent to some regions alone.

Pattern: a route allows some regions, while the best replicas and aggregators are
in others.
"""

import dataclasses

import pytest

from corianderrill import names
from corianderrill.gateway import (
    availability,
    delegation,
    regions,
    replica_selector,
    request_outcomes,
)
from tests.utils import virtual_aggregators, virtual_servers

Outcome = request_outcomes.Outcome
ZONE_REGIONS = {
    names.ZoneName("zone-a"): names.RegionName("north"),
    names.ZoneName("zone-b"): names.RegionName("south"),
    names.ZoneName("zone-c"): names.RegionName("south"),
}


def find_zones(*region_sets):
    sets = [frozenset(map(names.RegionName, region_set)) for region_set in region_sets]
    return regions.find_allowed_zones(ZONE_REGIONS, *sets)


def test_without_regions_all_zones_are_allowed():
    assert find_zones() is None
    assert find_zones((), ()) is None


@pytest.mark.parametrize(
    ("region_sets", "zones"),
    [
        ([("south",)], {"zone-b", "zone-c"}),
        ([("south",), ()], {"zone-b", "zone-c"}),
        ([("north", "south"), ("north",)], {"zone-a"}),
        ([("north",), ("south",)], set()),
        ([("west",)], set()),
    ],
)
def test_zones_in_the_regions_of_route_and_workspace_are_allowed(region_sets, zones):
    assert find_zones(*region_sets) == zones


def test_zone_of_an_unknown_region_is_not_allowed():
    allowed = frozenset({names.RegionName("north")})
    assert regions.find_allowed_zones({}, allowed) == frozenset()


def build_site(allowed, shards=6, **fields):
    site = virtual_servers.Site(shards=shards, **fields)
    site.tools.zone_regions = ZONE_REGIONS
    site.route = dataclasses.replace(
        site.route, allowed_regions=frozenset(map(names.RegionName, allowed))
    )
    return site


def count_by_zone(site):
    return {
        zone: sum(s.arrivals for s in site.servers if s.zone == zone)
        for zone in virtual_servers.ZONES
    }


# Guards against the preference for the own zone, and against hedges and retries that
# leave the region when its replicas are slow or refuse.
@pytest.mark.parametrize("trouble", [{}, {"shed_share": 0.3}, {"fail_share": 0.2}])
@pytest.mark.parametrize(
    ("allowed", "others"), [("north", ["zone-b", "zone-c"]), ("south", ["zone-a"])]
)
def test_requests_reach_no_replica_outside_the_allowed_regions(
    allowed, others, trouble
):
    site = build_site([allowed])
    for server in site.servers:
        for name, value in trouble.items():
            setattr(server, name, value)
    site.run(10.0, 8.0)
    counts = count_by_zone(site)
    assert all(counts[zone] == 0 for zone in others)
    assert sum(counts.values()) > 300


def test_draining_replica_outside_the_allowed_regions_is_no_fallback():
    site = build_site(["south"])
    near = [index for index, s in enumerate(site.servers) if s.zone == "zone-a"]
    for index, server in enumerate(site.servers):
        if index not in near:
            site.remove(server)
    for index in near:
        site.tools.view.apply_removal(f"i-{index}", 500 + index, 0.0)
    assert site.tools.view.list_fallback("shard-0", 0.0)
    site.ask()
    site.loop.run_until(2.0)
    assert sum(count_by_zone(site).values()) == 0
    assert [ended.outcome for ended in site.ended] == [Outcome.NOT_EXECUTED]


# Guards against a body that an aggregator in another region gets.
@pytest.mark.parametrize(("allowed", "asked"), [("north", False), ("south", True)])
def test_only_aggregators_in_the_allowed_regions_get_queries(allowed, asked):
    site = build_site([allowed], mode=delegation.Mode.OTHER_ZONES)
    aggregator = virtual_aggregators.add_to(site, "zone-b")
    for server in site.servers:
        if server.zone == "zone-a":
            site.remove(server)
    site.ask()
    site.loop.run_until(2.0)
    assert bool(aggregator.queries) == asked
    assert sum(count_by_zone(site).values()) == 0


# Guards against an aggregator that has replicas of the query's shards, but no allowed
# ones.
def test_aggregator_outside_the_regions_is_not_asked_for_parts_that_others_can_take():
    site = build_site(["east"], mode=delegation.Mode.OTHER_ZONES)
    site.tools.zone_regions = {**ZONE_REGIONS, "zone-c": names.RegionName("east")}
    aggregator = virtual_aggregators.add_to(site, "zone-b")
    site.ask()
    site.loop.run_until(2.0)
    assert aggregator.queries == []
    assert count_by_zone(site) == {"zone-a": 0, "zone-b": 0, "zone-c": 6}


# The host that the client is connected to, and those of its zone, are in its region.
def test_aggregator_of_the_own_zone_may_get_a_query_for_other_regions():
    site = build_site(["south"], mode=delegation.Mode.WHOLE_QUERY)
    aggregator = virtual_aggregators.add_to(site, "zone-a")
    site.ask()
    site.loop.run_until(2.0)
    assert len(aggregator.queries) == 1


def test_regions_of_a_workspace_bind_as_well():
    site = build_site(["north", "south"])
    south = frozenset({names.RegionName("south")})
    estimator = site.tools.get_latency_estimator(site.route)
    selector = replica_selector.build_selector(site.tools, site.route, estimator, south)
    assert selector.allowed_zones == {"zone-b", "zone-c"}


def find_refusal(site, *more_regions):
    check = availability.AvailabilityCheck(site.tools)
    return check.find_refusal(site.route, site.services, 1.0, *more_regions)


def test_request_is_refused_at_once_if_its_regions_have_no_replica():
    assert find_refusal(build_site(["south"])) is None
    assert find_refusal(build_site(["west"])).reason == "regions"
    nowhere = frozenset({names.RegionName("west")})
    assert find_refusal(build_site(["south"]), nowhere).reason == "regions"


def test_evacuated_replicas_in_the_allowed_regions_are_the_reason():
    site = build_site(["north"])
    site.tools.view.apply_evacuation(names.ZoneName("zone-a"), True, 900, 0.0)
    assert find_refusal(site).reason == "evacuated"
