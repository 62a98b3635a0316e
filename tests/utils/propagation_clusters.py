"""A cluster of hosts that spread configuration over a network without sockets."""

import dataclasses
import random

from corianderrill import configuration, keyvalue, propagation, publishing
from tests.utils import configuration_builders as builders
from tests.utils import hosts, keyvalue_builders


@dataclasses.dataclass(frozen=True)
class Packet:
    """A message under way."""

    sender: object
    send: propagation.OutgoingMessage


class Cluster:
    """Hosts, their platform and the packets between them."""

    def __init__(self, count, zones=3, seed=0):
        self.rig = keyvalue_builders.Rig()
        self.choices = random.Random(seed)
        self.zone_of = {number: f"zone-{number % zones}" for number in range(count)}
        self.spreaders = {}
        self.members = {}
        self.packets = []
        self.alarms = []
        self.incarnations = 0
        self.cut_zones = set()
        for number in self.zone_of:
            self.start(number)

    @property
    def now(self):
        return self.rig.clock.now

    def start(self, number):
        """Start or replace a host, without any state."""
        self.incarnations += 1
        member = hosts.build_member(number, str(self.incarnations))
        held = configuration.Configuration()
        choices = random.Random(self.choices.random())
        zone = self.zone_of[number]
        self.spreaders[number] = propagation.Propagator(member, zone, held, choices)
        self.members[number] = propagation.Peer(member, zone)
        for spreader in self.spreaders.values():
            spreader.update_peers(self.members.values())

    def publish(self, number, change, above=0):
        """Publish a template under a name by number; return the outcome."""
        template = builders.build_template(
            name=f"template-{number}", limit=self.choices.randint(1, 100)
        )
        publisher = publishing.Publisher(
            self.rig.client(), builders.SERVICES, sleep=lambda seconds: None
        )
        action = publishing.Put(template)
        return publisher.submit(publishing.Change(change, "mari", action, above=above))

    def reaches_platform(self, number):
        down = self.rig.faults.down
        return not down and self.zone_of[number] not in self.cut_zones

    def list_platform(self, number):
        if not self.reaches_platform(number):
            return
        spreader = self.spreaders[number]
        floor = spreader.local_configuration.list_revisions()
        listed = self.rig.client().list(configuration.PREFIX)
        values = ((entry.key, entry.value) for entry in listed.entries)
        self.carry_out(number, spreader.apply_listing(values, floor, self.now))

    def read_changes(self, number, after):
        """Take the changes after a revision, as a watch does."""
        if not self.reaches_platform(number):
            return after
        spreader = self.spreaders[number]
        floor = spreader.local_configuration.list_revisions()
        changed = self.rig.client().watch(configuration.PREFIX, after, 0.0)
        if changed.revision < after:
            step = spreader.handle_platform_rollback(after, changed.revision)
        else:
            values = ((change.key, change.value) for change in changed.changes)
            step = spreader.apply_watch_changes(values, floor, self.now)
        self.carry_out(number, step)
        return changed.revision

    def compare(self, number):
        self.carry_out(number, self.spreaders[number].start_anti_entropy(self.now))

    def carry_out(self, number, step):
        sender = self.members[number].member
        self.packets.extend(Packet(sender, send) for send in step.outgoing)
        self.alarms.extend(step.alarms)

    def deliver(self, index):
        packet = self.packets.pop(index)
        for number, peer in self.members.items():
            if peer.member == packet.send.member:
                step = self.spreaders[number].handle_message(
                    packet.sender, packet.send.message, self.now
                )
                self.carry_out(number, step)

    def deliver_all(self, loss=0.0):
        """Deliver in random order until nothing is under way."""
        while self.packets:
            index = self.choices.randrange(len(self.packets))
            if self.choices.random() < loss:
                self.packets.pop(index)
            else:
                self.deliver(index)

    def read_platform(self):
        """The version in force of each key at the platform."""
        call = keyvalue.List(configuration.PREFIX)
        listed = self.rig.platform.store.apply(call, self.now)
        return {
            entry.key: configuration.decode_record(entry.value).current
            for entry in listed.entries
        }

    def list_held(self, number):
        held = self.spreaders[number].local_configuration
        items = held.list_items(range(configuration.BUCKETS))
        return {item.key: item.version for item in items}
