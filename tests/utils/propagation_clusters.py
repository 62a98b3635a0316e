"""A cluster of entry hosts that propagate configuration over a simulated network."""

import dataclasses
import random

from corianderrill import configuration, keyvalue, propagation, publishing
from tests.utils import configuration_builders as builders
from tests.utils import hosts, keyvalue_builders


@dataclasses.dataclass(frozen=True)
class InFlightMessage:
    """A message that is sent but not yet delivered."""

    sender: object
    outgoing: propagation.OutgoingMessage


class Cluster:
    """Entry hosts, their platform and the messages in flight between them."""

    def __init__(self, count, zones=3, seed=0):
        self.rig = keyvalue_builders.Rig()
        self.rng = random.Random(seed)
        self.zone_by_host = {
            number: f"zone-{number % zones}" for number in range(count)
        }
        self.propagators = {}
        self.peers = {}
        self.messages_in_flight = []
        self.alarms = []
        self.incarnations = 0
        self.disconnected_zones = set()
        for number in self.zone_by_host:
            self.start(number)

    @property
    def now(self):
        return self.rig.clock.now

    def start(self, number):
        """Start or replace a host, with an empty configuration."""
        self.incarnations += 1
        member = hosts.build_member(number, str(self.incarnations))
        local_configuration = configuration.Configuration()
        rng = random.Random(self.rng.random())
        zone = self.zone_by_host[number]
        self.propagators[number] = propagation.Propagator(
            member, zone, local_configuration, rng
        )
        self.peers[number] = propagation.Peer(member, zone)
        for propagator in self.propagators.values():
            propagator.update_peers(self.peers.values())

    def publish(self, number, change_id, above=0):
        """Publish a new version of `template-<number>` and return the outcome.

        Its revision is higher than `above`.
        """
        template = builders.build_template(
            name=f"template-{number}", limit=self.rng.randint(1, 100)
        )
        publisher = publishing.Publisher(
            self.rig.client(), builders.SERVICES, sleep=lambda seconds: None
        )
        action = publishing.Put(template)
        return publisher.submit(
            publishing.Change(change_id, "mari", action, above=above)
        )

    def can_reach_platform(self, number):
        down = self.rig.faults.down
        return not down and self.zone_by_host[number] not in self.disconnected_zones

    def list_platform(self, number):
        if not self.can_reach_platform(number):
            return
        propagator = self.propagators[number]
        min_revisions = propagator.local_configuration.list_revisions()
        listed = self.rig.client().list(configuration.PREFIX)
        values = ((entry.key, entry.value) for entry in listed.entries)
        self.apply_effects(
            number, propagator.apply_listing(values, min_revisions, self.now)
        )

    def watch_platform(self, number, after):
        """Apply the changes after a revision, as a watch does; return the newest."""
        if not self.can_reach_platform(number):
            return after
        propagator = self.propagators[number]
        min_revisions = propagator.local_configuration.list_revisions()
        changed = self.rig.client().watch(configuration.PREFIX, after, 0.0)
        if changed.revision < after:
            effects = propagator.handle_platform_rollback(after, changed.revision)
        else:
            values = ((change.key, change.value) for change in changed.changes)
            effects = propagator.apply_watch_changes(values, min_revisions, self.now)
        self.apply_effects(number, effects)
        return changed.revision

    def start_anti_entropy(self, number):
        self.apply_effects(
            number, self.propagators[number].start_anti_entropy(self.now)
        )

    def apply_effects(self, number, effects):
        sender = self.peers[number].member
        self.messages_in_flight.extend(
            InFlightMessage(sender, outgoing) for outgoing in effects.outgoing
        )
        self.alarms.extend(effects.alarms)

    def deliver(self, index):
        in_flight = self.messages_in_flight.pop(index)
        for number, peer in self.peers.items():
            if peer.member == in_flight.outgoing.member:
                effects = self.propagators[number].handle_message(
                    in_flight.sender, in_flight.outgoing.message, self.now
                )
                self.apply_effects(number, effects)

    def deliver_all(self, loss_rate=0.0):
        """Deliver in random order until no message is in flight."""
        while self.messages_in_flight:
            index = self.rng.randrange(len(self.messages_in_flight))
            if self.rng.random() < loss_rate:
                self.messages_in_flight.pop(index)
            else:
                self.deliver(index)

    def read_platform_versions(self):
        """Return the current version of each key at the platform."""
        call = keyvalue.List(configuration.PREFIX)
        listed = self.rig.platform.store.apply(call, self.now)
        return {
            entry.key: configuration.decode_record(entry.value).current
            for entry in listed.entries
        }

    def read_local_versions(self, number):
        local_configuration = self.propagators[number].local_configuration
        items = local_configuration.list_items(range(configuration.BUCKETS))
        return {item.key: item.version for item in items}
