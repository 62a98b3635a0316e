"""Many hosts that send to one cold replica, without network, in virtual time."""

import bisect
import dataclasses
import random

from corianderrill import names
from corianderrill.gateway import demand, rate_limits, replicas
from tests.utils import fake_stores
from tests.utils import gateway_builders as builders

SERVICE = names.ServiceName("shard-1")
ZONES = ("zone-a", "zone-b", "zone-c")
EXCESS = 1.5
SLACK = 5.0
WINDOW_S = 1.0


@dataclasses.dataclass
class ColdHost:
    """What one host knows of the replica; `sent` are the times of its requests."""

    zone: str
    limits: rate_limits.RateLimits
    replica: replicas.Replica
    sent: list = dataclasses.field(default_factory=list)

    def ask(self, now):
        """Send a request if the limit allows it; return whether it does."""
        if self.limits.compute_delay_s(self.replica, now) > 0.0:
            return False
        assert self.limits.acquire(self.replica, now)
        self.sent.append(now)
        return True


def build_cold_replica(limit_per_s=20.0, cold_until=1e6):
    replica = builders.build_replica(zone="zone-a")
    replica.warmup_limit_per_s = limit_per_s
    replica.announced_cold_until = cold_until
    return replica


def build_hosts(count, limit_per_s=20.0, seed=1, host_count=None):
    """Return hosts that know no demand; `host_count` is how many they believe in."""
    hosts = []
    for number in range(count):
        limits = builders.build_rate_limits(
            fake_stores.RecordingLog(), f"front-{number}", host_count or count
        )
        limits.rng = limits.cold.rng = random.Random(f"{seed}/{number}")
        zone = ZONES[number % len(ZONES)]
        hosts.append(ColdHost(zone, limits, build_cold_replica(limit_per_s)))
    return hosts


def publish(hosts, rates, now, readers=None, revision=2):
    """Let `readers`, by default all hosts, read the demand of these hosts."""
    for host, per_s in zip(hosts, rates, strict=True):
        name = host.limits.directory.own_host
        report = demand.DemandReport(name, names.ZoneName(host.zone), {SERVICE: per_s})
        for reader in readers or hosts:
            reader.limits.directory.apply(name, report, revision, now)
    for host in hosts:
        host.limits.directory.lease_until = now + 1e6


def load(hosts, rates, since_s, until_s, rng):
    """Let requests arrive at random times; return how many there were."""
    arrivals = []
    for host, per_s in zip(hosts, rates, strict=True):
        at = since_s
        while per_s and (at := at + rng.expovariate(per_s)) < until_s:
            arrivals.append((at, host))
    for at, host in sorted(arrivals, key=lambda arrival: arrival[0]):
        host.ask(at)
    return len(arrivals)


def list_sent(hosts):
    return sorted(at for host in hosts for at in host.sent)


def compute_excess(sent, limit_per_s=20.0):
    """Return by how many requests the fullest second exceeds the bound."""
    counts = [
        bisect.bisect_left(sent, at + WINDOW_S) - first for first, at in enumerate(sent)
    ]
    return max(counts, default=0) - (EXCESS * limit_per_s + SLACK)
