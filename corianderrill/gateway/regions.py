"""The availability zones that a request may be sent to, by their regions."""

from collections.abc import Mapping

from corianderrill import names


def find_allowed_zones(
    zone_regions: Mapping[names.ZoneName, names.RegionName],
    *region_sets: frozenset[names.RegionName],
) -> frozenset[names.ZoneName] | None:
    """Return the zones whose region is in each set; None if all zones are allowed.

    An empty set allows any region. A zone whose region is not known is in none.
    """
    binding = [regions for regions in region_sets if regions]
    if not binding:
        return None
    return frozenset(
        zone
        for zone, region in zone_regions.items()
        if all(region in regions for regions in binding)
    )
