"""Hosts with quotas in virtual time: slots, messages, partitions, freezes, restarts.

The hosts run the code of the product. The store's slots, the network and the processes
are played here, on a loop whose clock jumps from one timer to the next.
"""

import dataclasses
import itertools
import random

from corianderrill import metrics, names
from corianderrill.gateway import (
    aggregator_role,
    aggregators,
    connections,
    quota_ledger,
    quota_lessor,
    quota_messages,
    quota_upkeep,
    quota_verdicts,
    quotas,
    routes,
)
from corianderrill.platform import settings
from tests.utils import fake_stores, virtual_servers
from tests.utils import gateway_builders as builders

ZONES = tuple(map(names.ZoneName, ("zone-a", "zone-b", "zone-c")))
BOUNDS = settings.QuotaBounds(window_s=5.0, excess=0.1, slack=20.0)
GOAL_S = 0.2
RENEWAL_INTERVAL_S = aggregator_role.RENEWAL_INTERVAL_S
LEASE_TTL_S = aggregator_role.LEASE_TTL_S
BOOT_S = 0.9
TAKE_CHECK_S = 0.5


def build_workspaces(*limits):
    """Return workspaces with these (requests a second, burst)."""
    return [
        routes.Workspace(names.WorkspaceName(f"w-{index}"), 0, per_s, burst)
        for index, (per_s, burst) in enumerate(limits)
    ]


def build_configuration(workspaces, version=1):
    by_key = {
        routes.digest_key(routes.WorkspaceKey(f"k-{w.name}")): w for w in workspaces
    }
    return routes.build_configuration(
        routes.ConfigurationVersion(version), (), (), routes.CallerLimits(), by_key
    )


class HostLoop:
    """The loop of one process: nothing runs while it is frozen or after its end."""

    def __init__(self, host):
        self._host = host
        self._process = host.process

    def now(self):
        return self._host.site.loop.now()

    def call_later(self, delay_s, callback, *arguments):
        return self._host.site.loop.call_later(delay_s, self._run, callback, arguments)

    def _run(self, callback, arguments):
        if self._host.process != self._process:
            return
        wait_s = self._host.frozen_until - self.now()
        if wait_s > 0:
            self._host.site.loop.call_later(wait_s, self._run, callback, arguments)
        else:
            callback(*arguments)


class VirtualRole:
    """The slot of a host, renewed at the site's slots."""

    def __init__(self, host):
        self._host = host
        self._loop = HostLoop(host)
        self.term = None
        self._certain_until = 0.0
        self._loop.call_later(RENEWAL_INTERVAL_S, self._renew)

    def find_term(self, now):
        return self.term if self.term and now < self._certain_until else None

    def may_resume_term(self, term, now):
        return self.term is not None and self.term.id == term

    def offer_slot(self, zone):
        pass

    def take(self, key):
        """Take a slot that is vacant in the store, or was held by this host's name."""
        sent_at = self._loop.now()
        site = self._host.site
        if self._host.is_cut_off_from_store or self.term is not None:
            return
        term_id = quota_ledger.Term(f"t-{next(site.numbers)}")
        site.slots[key] = Slot(self._host, sent_at + LEASE_TTL_S, term_id)
        site.announce(key)
        is_first = key not in site.marked
        site.marked.add(key)
        delay_s = site.rng.uniform(0.001, 0.1)
        self._loop.call_later(delay_s, self._begin, key, term_id, sent_at, is_first)

    def _begin(self, key, term_id, sent_at, is_first):
        now = self._loop.now()
        self.term = quota_lessor.SlotTerm(key, term_id, now, is_first)
        self._certain_until = sent_at + LEASE_TTL_S

    def _renew(self):
        self._loop.call_later(RENEWAL_INTERVAL_S, self._renew)
        if self.term is None or self._host.is_cut_off_from_store:
            return
        sent_at = self._loop.now()
        slot = self._host.site.slots.get(self.term.key)
        if slot is None or slot.term != self.term.id or sent_at >= slot.until:
            self.term = None
            return
        slot.until = sent_at + LEASE_TTL_S
        self._loop.call_later(
            self._host.site.rng.uniform(0.001, 0.1), self._extend, self.term, sent_at
        )

    def _extend(self, term, sent_at):
        if self.term is term:
            self._certain_until = sent_at + LEASE_TTL_S


@dataclasses.dataclass(slots=True)
class Slot:
    host: object
    until: float
    term: str


class VirtualPool:
    """The connections of one process to one host."""

    def __init__(self, host, address):
        self._host = host
        self._address = address

    def send(self, exchange):
        connection = VirtualConnection()
        exchange.attach(connection)
        data = exchange.render()
        exchange.on_send_start()
        body = data.partition(b"\r\n\r\n")[2]
        self._host.site.carry(self._host, self._address, body, exchange, connection)
        return connection

    def cancel_queued(self, exchange):
        pass


class VirtualConnection:
    is_closed = False

    def abort(self, exchange):
        self.is_closed = True


class VirtualHost:
    """One host of a site, and its present process."""

    def __init__(self, site, index):
        self.site = site
        self.name = names.HostName(f"h-{index}")
        self.zone = ZONES[index % len(ZONES)]
        self.address = names.Address("10.0.0.1", 1000 + index)
        self.process = 0
        self.frozen_until = 0.0
        self.is_cut_off_from_store = False
        self.is_alive = True
        self.log = fake_stores.RecordingLog()
        self.boot()

    def boot(self):
        self.process += 1
        self.is_alive = True
        self.loop = HostLoop(self)
        self.role = VirtualRole(self)
        self.directory = aggregators.AggregatorDirectory(self.name)
        self.view = builders.build_view()
        self.view.configuration = self.site.configuration
        pools = {}
        self.quotas = quotas.Quotas(
            quota_ledger.Lessee(self.name, names.Incarnation(str(self.process))),
            self.view,
            self.directory,
            ZONES,
            (self.role,),
            lambda address: pools.setdefault(address, VirtualPool(self, address)),
            lambda: False,
            self.zone,
            True,
            self.loop,
            self.log,
            metrics.Recorder(),
            self.loop.now(),
            BOUNDS,
            float(self.site.host_count),
        )
        self.upkeep = quota_upkeep.QuotaUpkeep(self.quotas)
        for key in self.site.slots:
            self.hear(key)
        self.loop.call_later(quota_upkeep.TICK_INTERVAL_S, self._tick)

    def _tick(self):
        self.loop.call_later(quota_upkeep.TICK_INTERVAL_S, self._tick)
        self.upkeep.tick(self.loop.now())

    def hear(self, key):
        """Learn who holds a slot."""
        slot = self.site.slots.get(key)
        holder = None
        if slot is not None:
            holder = aggregators.Aggregator(key, slot.host.name, slot.host.address)
        self.directory.apply(key, holder, next(self.site.numbers))

    def restart(self):
        """End the process; a new one takes over the slot that it held."""
        held = [k for k, slot in self.site.slots.items() if slot.host is self]
        self.process += 1
        self.is_alive = False
        self.site.loop.call_later(BOOT_S, self._come_back, held)

    def _come_back(self, held):
        if self.is_alive:
            return
        self.boot()
        for key in held:
            if self.site.slots.get(key) and self.site.slots[key].host is self:
                self.role.take(key)

    def kill(self):
        self.process += 1
        self.is_alive = False

    def send_request(self, workspace, goal_s=GOAL_S):
        """Decide on a request of a caller; it runs if it is admitted."""
        if self.is_alive:
            self.loop.call_later(0.0, self._decide, workspace, goal_s)

    def _decide(self, workspace, goal_s):
        terms = self.quotas.find_terms(workspace)
        now = self.loop.now()
        self.quotas.decide(
            workspace,
            terms,
            goal_s,
            names.RequestId("r"),
            now,
            lambda verdict: self._conclude(workspace, now, verdict),
        )

    def _conclude(self, workspace, began_at, verdict):
        site = self.site
        match verdict:
            case quota_verdicts.Admission():
                if site.rng.random() < site.unsent_share:
                    self.quotas.give_back(verdict)
                    return
                delay_s = site.rng.uniform(0.001, site.max_replica_delay_s)
                self.loop.call_later(delay_s, site.run, workspace)
            case quota_verdicts.Refusal():
                site.refusals.append((self.loop.now(), workspace, verdict))
        site.waits_s.append(self.loop.now() - began_at)


class VirtualSite:
    """All hosts, the store's slots, and the network between them.

    `ran` has the times at which requests of each workspace reached a replica.
    """

    def __init__(self, host_count, workspaces, seed=1, **options):
        self.loop = virtual_servers.VirtualLoop()
        self.rng = random.Random(seed)
        self.numbers = itertools.count(1)
        self.host_count = host_count
        self.configuration = build_configuration(workspaces)
        self.workspaces = workspaces
        self.slots = {}
        self.marked = set()
        self.ran = {workspace.name: [] for workspace in workspaces}
        self.refusals = []
        self.waits_s = []
        self.unsent_share = 0.0
        self.max_replica_delay_s = 0.01
        self.loss = 0.0
        self.doubled_share = 0.0
        self.max_delay_s = 0.003
        self.late_share = 0.0
        self.max_news_delay_s = 0.2
        self.cuts = set()
        self.message_count = 0
        for name, value in options.items():
            setattr(self, name, value)
        self.hosts = [VirtualHost(self, index) for index in range(host_count)]
        self._by_address = {host.address: host for host in self.hosts}
        self._fill_slots()

    def run(self, workspace):
        self.ran[workspace].append(self.loop.now())

    # Slots.

    def _fill_slots(self):
        """Let a host of the zone take each slot that is vacant."""
        self.loop.call_later(TAKE_CHECK_S, self._fill_slots)
        now = self.loop.now()
        for zone in ZONES:
            for number in range(aggregators.SLOTS_PER_ZONE):
                key = aggregators.SlotKey(zone, aggregators.Slot(number))
                slot = self.slots.get(key)
                if slot is not None and now < slot.until:
                    continue
                if slot is not None:
                    del self.slots[key]
                    self.announce(key)
                self._take(key)

    def _take(self, key):
        holders = {slot.host for slot in self.slots.values()}
        able = [
            host
            for host in self.hosts
            if host.zone == key.zone
            and host.is_alive
            and host not in holders
            and not host.is_cut_off_from_store
            and host.frozen_until <= self.loop.now()
        ]
        if able:
            self.rng.choice(able).role.take(key)

    def announce(self, key):
        """Tell all hosts that are in touch with the store, after a while."""
        for host in self.hosts:
            delay_s = self.rng.uniform(0.01, self.max_news_delay_s)
            HostLoop(host).call_later(delay_s, self._tell, host, key)

    def _tell(self, host, key):
        if not host.is_cut_off_from_store:
            host.hear(key)

    # Messages.

    def carry(self, sender, address, body, exchange, connection):
        self.message_count += 1
        receiver = self._by_address[address]
        copies = 2 if self.rng.random() < self.doubled_share else 1
        for _ in range(copies):
            if (sender, receiver) in self.cuts or self.rng.random() < self.loss:
                continue
            delay_s = self._draw_delay_s()
            if not receiver.is_alive:
                failure = connections.FailedExchange(
                    connections.Failure.UNREACHABLE, sent=False
                )
                sender.loop.call_later(delay_s, exchange.on_result, failure)
                continue
            receiver.loop.call_later(
                delay_s, self._answer, sender, receiver, body, exchange, connection
            )

    def _draw_delay_s(self):
        if self.rng.random() < self.late_share:
            return self.rng.uniform(0.01, 2.0)
        return self.rng.uniform(0.0002, self.max_delay_s)

    def _answer(self, sender, receiver, body, exchange, connection):
        message = quota_messages.decode_message(body)
        answer = receiver.quotas.lessor.answer(message, self.loop.now())
        if answer is None:
            reply = connections.RawReply(503, [], b"")
        else:
            body = quota_messages.encode_answer(answer)
            reply = connections.RawReply(200, [], body)
        if (receiver, sender) in self.cuts or self.rng.random() < self.loss:
            return
        HostLoop(sender).call_later(
            self._draw_delay_s(), self._deliver, exchange, connection, reply
        )

    def _deliver(self, exchange, connection, reply):
        if not connection.is_closed:
            connection.is_closed = True
            exchange.on_result(reply)

    # Load.

    def add_load(self, workspace, hosts, per_s, start_s, end_s, rng=None):
        """Send requests at random times at a rate, each to one of some hosts."""
        rng = rng or self.rng
        self._send_next(workspace, hosts, per_s, start_s, end_s, rng)

    def _send_next(self, workspace, hosts, per_s, at, end_s, rng):
        at += rng.expovariate(per_s)
        if at < end_s:
            self.loop.call_later(
                at - self.loop.now(),
                self._send,
                workspace,
                hosts,
                per_s,
                at,
                end_s,
                rng,
            )

    def _send(self, workspace, hosts, per_s, at, end_s, rng):
        rng.choice(hosts).send_request(workspace)
        self._send_next(workspace, hosts, per_s, at, end_s, rng)


def find_worst_excess(times, workspace, bounds=BOUNDS):
    """Return the most requests in a window, above what the bound allows."""
    allowed = (workspace.requests_per_s * bounds.window_s + workspace.burst) * (
        1 + bounds.excess
    ) + bounds.slack
    ordered = sorted(times)
    start = 0
    most = 0
    for end, at in enumerate(ordered):
        while at - ordered[start] > bounds.window_s:
            start += 1
        most = max(most, end - start + 1)
    return most - allowed
