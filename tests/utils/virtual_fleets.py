"""Several hosts in virtual time that share replicas, and what a limit allows them."""

import bisect
import dataclasses
import itertools
import random

from corianderrill import names
from corianderrill.gateway import demand_reporter
from corianderrill.platform import documents, store
from tests.utils import virtual_servers

# The platform's bounds: a replica may get so many times its limit in a window of this
# length, and a few requests more. It holds from some seconds after the first naming,
# for hosts that were told a moment before.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_MORE = 5
CONTACT_S = 4.0
TOLD_BEFORE_S = 0.5


# How long after a write the hosts read it.
WATCH_DELAY_S = (0.01, 1.2)


def is_within(at, windows):
    return any(start <= at < end for start, end in windows)


@dataclasses.dataclass(slots=True, eq=False)
class VirtualStore:
    """The platform's store, for demand reports; hosts read each write a bit later.

    In an outage (from, until) all calls fail, and in one of `cuts`, by host, those of
    that host. Leases run out meanwhile, and what was written is read afterwards.
    """

    loop: virtual_servers.VirtualLoop
    rng: random.Random
    sites: list
    outages: list = dataclasses.field(default_factory=list)
    cuts: dict = dataclasses.field(default_factory=dict)
    writes: int = 0
    _revision: int = 1
    _items: dict = dataclasses.field(default_factory=dict)
    _keys_by_lease: dict = dataclasses.field(default_factory=dict)
    _ends: dict = dataclasses.field(default_factory=dict)
    _numbers: object = dataclasses.field(default_factory=lambda: itertools.count(1))

    def list_absences(self, host):
        return [*self.outages, *self.cuts.get(host, [])]

    def grant_lease(self, ttl_s):
        lease = store.LeaseId(next(self._numbers))
        self._keys_by_lease[lease] = set()
        self._start_lease(lease, ttl_s)
        return lease

    def keep_lease(self, lease):
        if lease not in self._keys_by_lease:
            return False
        self._start_lease(lease, demand_reporter.LEASE_TTL_S)
        return True

    def remove_key(self, key, revision):
        """Remove a key; its lease, which nobody renews, ends at once."""
        for lease, keys in list(self._keys_by_lease.items()):
            if key in keys:
                self._expire(lease, self._ends.get(lease))

    def write_key(self, key, value, lease):
        if lease not in self._keys_by_lease:
            return None
        self.writes += 1
        self._keys_by_lease[lease].add(key)
        return self._change(key, documents.decode_demand(key, value))

    def _start_lease(self, lease, ttl_s):
        end = self._ends[lease] = self.loop.now() + ttl_s
        self.loop.call_later(ttl_s, self._expire, lease, end)

    def _expire(self, lease, end):
        if self._ends.get(lease) != end:
            return
        for key in self._keys_by_lease.pop(lease, ()):
            self._change(key, None)

    def _change(self, key, report):
        self._revision += 1
        self._items[key] = (report, self._revision)
        for site in self.sites:
            self._send(site, key, report, self._revision)
        return self._revision

    def _send(self, site, key, report, revision):
        at = self.loop.now() + self.rng.uniform(*WATCH_DELAY_S)
        absences = self.list_absences(site.host)
        at = max([at, *(end for start, end in absences if start <= at < end)])
        self.loop.call_later(
            at - self.loop.now(), self._deliver, site, key, report, revision
        )

    def _deliver(self, site, key, report, revision):
        host = documents.parse_demand_key(key)
        limits = site.tools.rate_limits
        now = self.loop.now()
        if limits.apply_report(host, report, revision, now) and report is not None:
            limits.apply_reported_cold(report, site.tools.view, now)

    def read_all(self, site):
        """Let a host that starts read all reports."""
        for key, (report, revision) in self._items.items():
            self._deliver(site, key, report, revision)


@dataclasses.dataclass(frozen=True, slots=True)
class VirtualClient:
    """The calls of one host to the store."""

    store: VirtualStore
    host: str

    def __getattr__(self, name):
        if is_within(self.store.loop.now(), self.store.list_absences(self.host)):
            raise store.StoreError(store.FailureKind.UNREACHABLE, "away")
        return getattr(self.store, name)


class Fleet:
    """Hosts in three zones; `hosts` and `per_s` are for each zone.

    `host_count` is how many hosts they believe that there are.
    """

    def __init__(self, hosts=(4, 2, 3), seed=1, host_count=None, **site):
        self.sites = []
        self.servers = None
        self.loop = virtual_servers.VirtualLoop()
        self.store = VirtualStore(self.loop, random.Random(seed), self.sites)
        self._seed = 100 * seed
        self._site_options = site
        self._host_count = host_count or sum(hosts)
        for zone, count in zip(virtual_servers.ZONES, hosts, strict=True):
            for number in range(count):
                self.add_host(zone, f"{zone}-{number}")

    def add_host(self, zone, host):
        """Start a host that knows nothing but what is in the store; return it."""
        self._seed += 1
        site = virtual_servers.Site(
            seed=self._seed,
            zone=zone,
            host=host,
            loop=self.loop,
            servers=self.servers,
            **self._site_options,
        )
        site.demand.host_count = self._host_count
        self.servers = site.servers
        self.sites.append(site)
        self.store.read_all(site)
        self._step(self._build_reporter(site), site)
        return site

    def kill(self, site):
        """Stop a host at once; its lease runs out."""
        self.sites.remove(site)

    def freeze(self, site, since, until):
        """Stop a host between two times; it goes on with what it had then."""
        self.store.cuts.setdefault(site.host, []).append((since, until))
        site.frozen.append((since, until))

    def _build_reporter(self, site):
        return demand_reporter.DemandReporter(
            VirtualClient(self.store, site.host),
            site.tools.view,
            site.tools.rate_limits,
            site.tools.request_rates,
            names.ZoneName(site.tools.zone),
            site.tools.log,
            site.rng,
            self.loop.now,
        )

    def _step(self, reporter, site):
        if site not in self.sites:
            return
        now = self.loop.now()
        ends = [end for start, end in site.frozen if start <= now < end]
        delay_s = max(ends) - now if ends else reporter.step()
        delay_s *= 1.0 if ends else 0.5 + site.rng.random()
        self.loop.call_later(delay_s, self._step, reporter, site)

    def run(self, per_s=(26.0, 26.0, 26.0), until_s=20.0):
        """Send requests to all hosts of a zone alike, then let all of them end."""
        self.load(per_s, until_s)
        self.loop.run_until(until_s + 2.0)

    def load(self, per_s, until_s):
        """Send requests to all hosts of a zone alike from now until a time."""
        for zone, zone_per_s in zip(virtual_servers.ZONES, per_s, strict=True):
            members = [site for site in self.sites if site.tools.zone == zone]
            for site in members:
                site.schedule(zone_per_s / len(members), self.loop.now(), until_s)
        self.loop.run_until(until_s)

    def list_ended(self, since_s=0.0):
        """Return how the requests ended that were sent since a time, by all hosts."""
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
