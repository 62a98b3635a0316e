"""A host in virtual time: the parts of the product that follow the store."""

import math
import random
import urllib.parse
from collections.abc import Callable

import eventlet

from benchmarks.histories import links, virtual_hub, virtual_store
from corianderrill import metrics, names
from corianderrill.gateway import (
    aggregators,
    change_history,
    demand,
    event_log,
    quarantine,
    rate_limits,
    store_probe,
    store_relay,
    store_watcher,
    view,
    watch_timing,
)
from corianderrill.platform import store

ZONE = names.ZoneName("zone-a")
DRAIN_FALLBACK_S = 1.2
STORE_ADDRESS = names.Address("10.9.0.1", 8000)
MAX_KEPT_RECORDS = 400


class KeptLog:
    """The latest records of a host, with their times."""

    def __init__(self, hub: virtual_hub.VirtualHub) -> None:
        self._hub = hub
        self.records: list[tuple[float, object]] = []

    def record(self, record: object) -> None:
        """Keep a record."""
        self.records.append((self._hub.now, record))
        del self.records[:-MAX_KEPT_RECORDS]


class NoPools:
    """In place of the connections to replicas."""

    def retain(self, addresses: set[names.Address]) -> None:
        """There are none."""


class Host:
    """One host and its process, which may be frozen, stopped and started again.

    `frozen_until` is a time of the hub. `incarnation` counts the processes.
    """

    def __init__(
        self,
        number: int,
        hub: virtual_hub.VirtualHub,
        apply_delay_s: float,
        host_count: float,
        outbound: links.Link,
        inbound: links.Link,
        rng: random.Random,
    ) -> None:
        self.name = names.HostName(f"front-{number}")
        self.address = names.Address("10.1.0.1", 7000 + number)
        self.process = self
        self.link = outbound
        self.inbound = inbound
        self.frozen_until = 0.0
        self.incarnation = 0
        self._hub = hub
        self._apply_delay_s = apply_delay_s
        self._host_count = host_count
        self._rng = rng
        self._tasks: list[eventlet.greenthread.GreenThread] = []
        self.log = KeptLog(hub)

    def start(self, ways: dict[names.Address, links.Way]) -> None:
        """Start a process that reaches the store and the other hosts by these ways."""
        clock = self._hub.read_clock
        self.incarnation += 1
        self.view = view.View(DRAIN_FALLBACK_S, DRAIN_FALLBACK_S)
        self.directory = aggregators.AggregatorDirectory(self.name)
        meter = metrics.Recorder()
        history = change_history.ChangeHistory()
        self.relay = store_relay.StoreRelay(history, self.view, clock)
        self.watcher = store_watcher.StoreWatcher(
            self._build_client(STORE_ADDRESS, ways),
            self.view,
            NoPools(),
            self.directory,
            rate_limits.RateLimits(
                demand.DemandDirectory(self.name, self._host_count),
                self.log,
                meter,
                self._rng,
            ),
            ZONE,
            self.log,
            self._rng,
            history,
            quarantine.Quarantine(self._rng),
            clock=clock,
        )
        self.watcher._relay_clients.update(
            (address, self._build_client(address, ways))
            for address in ways
            if address != STORE_ADDRESS
        )
        self.probe = store_probe.StoreProbe(self.watcher, self._rng)
        self.apply_bounds()
        self._tasks = [
            eventlet.spawn(self._run, run) for run in (self.watcher.run, self.probe.run)
        ]

    def _run(self, run: Callable[[], None]) -> None:
        self._hub.set_process(self)
        run()

    def _build_client(
        self, address: names.Address, ways: dict[names.Address, links.Way]
    ) -> store.StoreClient:
        client = store.StoreClient(address, self._hub.read_clock)
        client._pool = ways[address]
        return client

    def apply_bounds(self) -> None:
        """Set what the settings say, as at the start and after SIGHUP."""
        timing = watch_timing.WatchTiming(self._apply_delay_s, self._host_count)
        self.watcher.timing = timing
        self.relay.max_view_age_s = timing.get_max_age_s(
            watch_timing.Source.STORE_FOR_AGGREGATOR
        )
        self.view.max_unconfirmed_s = self._apply_delay_s

    def reload(self) -> None:
        """Do what follows SIGHUP."""
        self.apply_bounds()
        eventlet.spawn(self._run, self.probe.check)

    def freeze(self, for_s: float) -> None:
        """Let the process stand still."""
        self.frozen_until = max(self.frozen_until, self._hub.now + for_s)

    def stop(self) -> None:
        """End the process."""
        for task in self._tasks:
            task.kill()
        self.watcher.interrupt(
            store.StoreError(store.FailureKind.UNREACHABLE, "the process has ended")
        )
        self._tasks = []
        self.frozen_until = 0.0

    def is_running(self) -> bool:
        """Return whether there is a process; one that is frozen takes connections."""
        return bool(self._tasks)

    def answer(self, path: str, fields: dict[str, str]) -> virtual_store.Answer:
        """Answer a call of another host, in place of the store."""
        body = self.relay.answer(path, urllib.parse.urlencode(fields))
        if body is None:
            return virtual_store.Answer(503, 0)
        return virtual_store.Answer(200, self.relay.history.era, body)

    def get_version(self) -> float:
        """Return the version in force; below all versions if there is none."""
        configuration = self.view.configuration
        return -math.inf if configuration is None else configuration.version

    def list_records(self) -> list[str]:
        """Return the kept records, a line each."""
        return [
            f"{at:7.3f} {self.name} {type(record).__name__} {_describe(record)}"
            for at, record in self.log.records
            if not isinstance(record, event_log.ReplicaSeen)
        ]


def _describe(record: object) -> str:
    fields = getattr(record, "__struct_fields__", ())
    return " ".join(f"{field}={getattr(record, field)}" for field in fields)
