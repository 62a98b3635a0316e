"""Builders of quotas: terms, lessees, ledgers and the state of one host."""

from corianderrill import metrics, names
from corianderrill.gateway import (
    aggregators,
    quota_ledger,
    quota_lessor,
    quota_placement,
    quota_terms,
    quota_upkeep,
    quotas,
)
from tests.utils import fake_stores, virtual_quotas, virtual_servers
from tests.utils import gateway_builders as builders

WORKSPACE = names.WorkspaceName("w-0")
KEY = quota_placement.QuotaPlacement(virtual_quotas.ZONES).find_slot(WORKSPACE)
OTHER_HOST = names.HostName("h-9")


def build_terms(per_s=10.0, burst=10.0):
    workspace, *_ = virtual_quotas.build_workspaces((per_s, burst))
    return quota_terms.build_terms(workspace, virtual_quotas.BOUNDS)


def build_lessee(host="h-1", process="1"):
    return quota_ledger.Lessee(names.HostName(host), names.Incarnation(process))


class Role:
    """A slot that is held from a time until another."""

    def __init__(self, key=KEY, started_at=0.0, until=1e9, term="t-1"):
        self.term = quota_lessor.SlotTerm(key, quota_ledger.Term(term), started_at)
        self.until = until

    def find_term(self, now):
        return self.term if now < self.until else None

    def may_resume_term(self, term, now):
        return now < self.until and self.term.id == term

    def offer_slot(self, zone):
        pass


class Pool:
    """Keeps the exchanges that were sent; the test answers them."""

    def __init__(self):
        self.exchanges = []
        self.bodies = []
        self.aborted = []

    def send(self, exchange):
        exchange.attach(self)
        self.bodies.append(exchange.render().partition(b"\r\n\r\n")[2])
        exchange.on_send_start()
        self.exchanges.append(exchange)
        return self

    def cancel_queued(self, exchange):
        self.aborted.append(exchange)

    def abort(self, exchange):
        self.aborted.append(exchange)


class Host:
    """The quotas of one host, whose lessor is another host or itself."""

    def __init__(self, limits=((10.0, 10.0),), roles=(), holder=OTHER_HOST, **options):
        self.loop = virtual_servers.VirtualLoop()
        self.loop.time = 100.0
        self.pool = Pool()
        self.log = fake_stores.RecordingLog()
        self.meter = metrics.Recorder()
        self.directory = aggregators.AggregatorDirectory(names.HostName("h-1"))
        self.view = builders.build_view()
        self.publish(*limits)
        self.verdicts = []
        if holder is not None:
            address = names.Address("10.0.0.9", 7420)
            self.holder = aggregators.Aggregator(KEY, holder, address)
            self.directory.apply(KEY, self.holder, 1)
        fields = {"can_hold_slots": True, "bounds": virtual_quotas.BOUNDS, **options}
        self.quotas = quotas.Quotas(
            lessee=build_lessee(),
            view=self.view,
            directory=self.directory,
            zones=virtual_quotas.ZONES,
            roles=roles,
            get_pool=lambda address: self.pool,
            wants_slot=lambda: False,
            zone=virtual_quotas.ZONES[0],
            loop=self.loop,
            log=self.log,
            meter=self.meter,
            started_at=0.0,
            **fields,
        )

        self.upkeep = quota_upkeep.QuotaUpkeep(self.quotas)

    def publish(self, *limits, version=1):
        workspaces = virtual_quotas.build_workspaces(*limits)
        self.view.configuration = virtual_quotas.build_configuration(
            workspaces, version
        )

    def decide(self, goal_s=0.2):
        """Decide on one request; return the list that gets its verdict."""
        verdicts = []
        self.quotas.decide(
            WORKSPACE,
            self.quotas.find_terms(WORKSPACE),
            goal_s,
            names.RequestId("9c41"),
            self.loop.now(),
            verdicts.append,
        )
        return verdicts

    def wait(self, duration_s):
        self.loop.run_until(self.loop.now() + duration_s)
