"""Build hosts that claim and run requests, without sockets."""

import itertools

from corianderrill import claimant, claims, keyvalue, names
from tests.utils import configuration_builders, hosts, keyvalue_builders

WALL_CLOCK_START_S = 1_764_800_000.0
TIMEOUT_S = 10.0


class ClaimRig:
    """Hosts that share a key-value service; `runs` counts runs by request id.

    `rival` is called during a write that meets the fault RIVAL.
    """

    def __init__(self, count=2, writes_per_s=1_000.0):
        self.key_value_rig = keyvalue_builders.Rig()
        self.writes_per_s = writes_per_s
        self.claimants = {}
        self.transports = {}
        self.live_members = {}
        self.runs = {}
        self.sent_ids = set()
        self.counter = itertools.count(1)
        self.rival = lambda: None
        for number in range(count):
            self.start_host(number)

    def read_wall_clock(self):
        return WALL_CLOCK_START_S + self.key_value_rig.clock.now

    def start_host(self, number):
        """Start or replace a host; the others see the replaced one as not live."""
        member = hosts.build_member(number, f"i{next(self.counter)}")
        self.live_members[number] = member
        transport = keyvalue_builders.ScriptedTransport(
            self.key_value_rig, (), rival=lambda: self.rival()
        )
        self.transports[number] = transport
        self.claimants[number] = claimant.Claimant(
            member,
            keyvalue.Client(transport),
            claims.WriteBudget(self.writes_per_s),
            lambda member_id: member_id in self.live_members.values(),
            self.key_value_rig.clock,
            self.read_wall_clock,
            lambda: f"nonce-{next(self.counter)}",
        )

    def build_request(self, number=1, **changes):
        issued_ms = int(WALL_CLOCK_START_S * 1_000) + number
        request_id = names.RequestId(f"{issued_ms}-abcdefgh")
        values = {
            "id": request_id,
            "workspace": configuration_builders.build_workspace(),
            "deadline": self.key_value_rig.clock.now + TIMEOUT_S,
            "is_resent": request_id in self.sent_ids,
        }
        return claims.Request(**(values | changes))

    def claim(self, host, request):
        self.sent_ids.add(request.id)
        return self.claimants[host].claim(request)

    def start_run(self, request, permit):
        """Record a run of the request if its permit can be used."""
        is_started = permit.start_run(self.key_value_rig.clock.now)
        self.runs[request.id] = self.runs.get(request.id, 0) + is_started
        return is_started
