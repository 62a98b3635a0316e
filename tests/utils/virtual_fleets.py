"""Several hosts in virtual time that share replicas, and what a limit allows them."""

import bisect

from tests.utils import virtual_servers

# The platform's bounds: a replica may get so many times its limit in a window of this
# length, and a few requests more. It holds from some seconds after the first naming,
# for hosts that were told a moment before.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_MORE = 5
CONTACT_S = 4.0
TOLD_BEFORE_S = 0.5


class Fleet:
    """Hosts in three zones; `hosts` and `per_s` are for each zone."""

    def __init__(self, hosts=(4, 2, 3), seed=1, **site):
        self.sites = []
        self.loop = virtual_servers.VirtualLoop()
        servers = None
        for zone, count in zip(virtual_servers.ZONES, hosts, strict=True):
            for number in range(count):
                added = virtual_servers.Site(
                    seed=100 * seed + len(self.sites),
                    zone=zone,
                    host=f"{zone}-{number}",
                    loop=self.loop,
                    servers=servers,
                    **site,
                )
                servers = added.servers
                self.sites.append(added)
        self.servers = servers

    def run(self, per_s=(26.0, 26.0, 26.0), until_s=20.0):
        """Send requests to all hosts of a zone alike, then let all of them end."""
        for zone, zone_per_s in zip(virtual_servers.ZONES, per_s, strict=True):
            members = [site for site in self.sites if site.tools.zone == zone]
            for site in members:
                site.schedule(zone_per_s / len(members), 0.0, until_s)
        self.loop.run_until(until_s + 2.0)

    def list_ended(self, since_s=0.0):
        """Return how the requests ended that were sent since a time."""
        return [e for site in self.sites for e in site.ended if e.at_s >= since_s]


def compute_excess(server):
    """Return by how many requests a replica got more than its first limit allows.

    The highest figure of any window is returned; it is negative if all windows hold.
    """
    ((start_s, end_s, limit), *_) = server.limits
    counted = [
        at
        for at, host in server.log
        if start_s + CONTACT_S <= at < end_s
        and at - server.told_at.get(host, at) >= TOLD_BEFORE_S
    ]
    allowed = ALLOWED_FACTOR * limit * WINDOW_S + ALLOWED_MORE
    counts = [
        bisect.bisect_left(counted, at + WINDOW_S) - first
        for first, at in enumerate(counted)
    ]
    return max(counts, default=0) - allowed
