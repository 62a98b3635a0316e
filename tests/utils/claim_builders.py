"""Hosts that claim requests, and the runs that follow, without sockets."""

import itertools

from corianderrill import claimant, claims, keyvalue, names
from tests.utils import configuration_builders, hosts, keyvalue_builders

WALL_START = 1_764_800_000.0
TIMEOUT_S = 10.0


class ClaimRig:
    """Hosts with one platform; `runs` counts the runs of each request id."""

    def __init__(self, count=2, writes_per_s=1_000.0):
        self.rig = keyvalue_builders.Rig()
        self.writes_per_s = writes_per_s
        self.claimants = {}
        self.transports = {}
        self.alive = {}
        self.runs = {}
        self.sent = set()
        self.numbers = itertools.count(1)
        self.rival = lambda: None
        for number in range(count):
            self.start(number)

    def read_wall(self):
        return WALL_START + self.rig.clock.now

    def start(self, number):
        """Start or replace a host; its predecessor is dead to the others."""
        member = hosts.build_member(number, f"i{next(self.numbers)}")
        self.alive[number] = member
        transport = keyvalue_builders.ScriptedTransport(
            self.rig, (), rival=lambda: self.rival()
        )
        self.transports[number] = transport
        self.claimants[number] = claimant.Claimant(
            member,
            keyvalue.Client(transport),
            claims.WriteBudget(self.writes_per_s),
            lambda asked: asked in self.alive.values(),
            self.rig.clock,
            self.read_wall,
            lambda: f"nonce-{next(self.numbers)}",
        )

    def build_request(self, number=1, **changes):
        issued_ms = int(WALL_START * 1_000) + number
        request_id = names.RequestId(f"{issued_ms}-abcdefgh")
        values = {
            "id": request_id,
            "workspace": configuration_builders.build_workspace(),
            "deadline": self.rig.clock.now + TIMEOUT_S,
            "is_resent": request_id in self.sent,
        }
        return claims.Request(**(values | changes))

    def claim(self, host, request):
        self.sent.add(request.id)
        return self.claimants[host].claim(request)

    def begin(self, request, ticket):
        """Run a request if its ticket allows."""
        began = ticket.begin(self.rig.clock.now)
        self.runs[request.id] = self.runs.get(request.id, 0) + began
        return began
