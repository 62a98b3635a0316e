"""`python -m benchmarks.gateways.changes`: an operator who changes things for minutes.

It adds, moves and drops routes and drains replicas, while callers ask each host. One
disturbance is chosen; the report counts what was handled by an old version, and what
reached a replica that had left.
"""

import collections
import dataclasses
import enum
import itertools
import json
import os
import pathlib
import random
import sys
import time
import warnings
from typing import Annotated

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import http.client  # noqa: E402

import typer  # noqa: E402

from benchmarks.gateways import (  # noqa: E402
    callers,
    following,
    hosts,
    links,
    records,
    servers,
)
from corianderrill.standins import platform, platform_servers  # noqa: E402

SERVICES = tuple(f"service-{number}" for number in range(6))
REPLICAS = 3
CHANGE_EVERY_S = 1.5
DRAIN_EVERY_S = 4.0
ASK_EVERY_S = 0.05
TIMEOUT_S = 2.0
DISTURB_AFTER_S = 10.0
# Callers ask for a change only when it has to be in force.
SLACK_S = 0.3
STAY_S = following.DRAIN_S + 3.0
DIRECTORY = pathlib.Path("target/changes")


class Disturbance(enum.Enum):
    """What happens to the store once, some seconds after the start."""

    NONE = "none"
    NESTED_ENTRY = "nested-entry"
    LARGE_NUMBER = "large-number"
    ODD_PORT = "odd-port"
    ODD_KEY = "odd-key"
    SILENT_WATCHES = "silent-watches"
    SILENT_STORE = "silent-store"
    MUTED_CONNECTIONS = "muted-connections"
    RESTORED = "restored"
    ERA_BACK = "era-back"
    FORGETFUL = "forgetful"
    RESETS = "resets"
    BUSY = "busy"


@dataclasses.dataclass(slots=True)
class Route:
    """A route of the operator; `since` is when its service was acknowledged."""

    name: str
    service: str
    since: float


@dataclasses.dataclass(slots=True)
class Report:
    """What a run showed; `stale` and `late` broke a promise."""

    disturbance: str
    hosts: int
    seconds: float
    asked: int = 0
    statuses: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    stale: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    late: int = 0
    last_stale_s: float = 0.0
    versions: int = 0

    def to_document(self) -> dict[str, object]:
        """Return the fields, with plain maps for the counts."""
        fields = dataclasses.fields(self)
        values = {field.name: getattr(self, field.name) for field in fields}
        return values | {"statuses": dict(self.statuses), "stale": dict(self.stale)}


class Replica(platform_servers.FakeBackendServer):
    """A replica that knows when it left; `report` counts what reaches it too late."""

    left_at: float | None = None

    def __init__(self, service: str, zone: str, report: Report) -> None:
        super().__init__(service, zone)
        self.delay_s = servers.SERVICE_S
        self._report = report

    def handle_request(self, environ):
        """Run a request; its body tells which service ran it."""
        left_at = self.left_at
        if (
            left_at is not None
            and time.monotonic() > left_at + following.DRAIN_S + SLACK_S
        ):
            self._report.late += 1
        status, headers, _ = super().handle_request(environ)
        return status, headers, self.service.encode()


class Operator:
    """Adds, moves and drops routes, and drains replicas."""

    def __init__(self, store, report: Report, rng: random.Random) -> None:
        self.store = store
        self._report = report
        self._rng = rng
        self._numbers = itertools.count(1)
        self.version = 0
        self.routes: list[Route] = []
        self.dropped: list[Route] = []
        self._replicas = [
            self._start_replica(service, number)
            for service in SERVICES
            for number in range(REPLICAS)
        ]
        for _ in range(3):
            self._add()
        self.publish()

    def _start_replica(self, service: str, number: int) -> Replica:
        replica = Replica(service, hosts.ZONES[number % 2], self._report)
        replica.register(self.store)
        return replica

    def _add(self) -> None:
        service = self._rng.choice(SERVICES)
        name = f"r{next(self._numbers)}"
        self.routes.append(Route(name, service, time.monotonic()))

    def change(self) -> None:
        """Publish versions until the end of the run."""
        while True:
            eventlet.sleep(CHANGE_EVERY_S)
            kind = self._rng.choice(("add", "add", "move", "drop"))
            if kind == "add" or len(self.routes) < 4:
                self._add()
            elif kind == "move":
                route = self._rng.choice(self.routes)
                others = [s for s in SERVICES if s != route.service]
                route.service = self._rng.choice(others)
                route.since = time.monotonic()
            else:
                route = self.routes.pop(self._rng.randrange(len(self.routes)))
                route.since = time.monotonic()
                self.dropped.append(route)
            self.publish()

    def publish(self) -> None:
        """Write the next version."""
        self.version += self._rng.randint(1, 3)
        self._report.versions += 1
        shared = {"host": callers.HOST, "type": "safe", "max_attempts": 2}
        documents = [
            {
                **shared,
                "name": route.name,
                "prefix": f"/{route.name}/",
                "service": route.service,
                "timeout_ms": 1000 * TIMEOUT_S,
                "latency_goal_ms": 300,
            }
            for route in self.routes
        ]
        services = [{"name": name, "max_conns": 64} for name in SERVICES]
        document = {
            "version": self.version,
            "routes": documents,
            "services": services,
        }
        self.store.put("op/config", document)

    def drain(self) -> None:
        """Replace one replica after the other until the end of the run."""
        while True:
            eventlet.sleep(DRAIN_EVERY_S)
            old = self._replicas.pop(0)
            number = hosts.ZONES.index(old.zone)
            self._replicas.append(self._start_replica(old.service, number))
            old.register(self.store, "draining")
            old.left_at = time.monotonic()
            eventlet.spawn_after(STAY_S, self._remove, old)

    def _remove(self, replica: Replica) -> None:
        self.store.remove(f"servers/{replica.id}")


class Asker:
    """Asks one host for routes whose last change has to be in force."""

    def __init__(self, host: hosts.Host, operator: Operator, report: Report) -> None:
        self._host = host
        self._operator = operator
        self._report = report
        self._rng = random.Random(host.name)
        self._began_at = time.monotonic()

    def run(self) -> None:
        """Ask until the end of the run."""
        for number in itertools.count():
            eventlet.sleep(ASK_EVERY_S)
            due = time.monotonic() - following.APPLY_S - SLACK_S
            dropped = [(r, None) for r in self._operator.dropped[-3:] if r.since < due]
            kept = [(r, r.service) for r in self._operator.routes if r.since < due]
            if kept or dropped:
                route, service = self._rng.choice(kept + dropped)
                self._ask(number, route, service)

    def _ask(self, number: int, route: Route, service: str | None) -> None:
        connection = http.client.HTTPConnection(self._host.door.address, timeout=3.0)
        headers = {
            "Host": callers.HOST,
            "X-Request-Id": f"{self._host.name}-{number}",
            "X-Deadline-Ms": str(int(1000 * TIMEOUT_S)),
        }
        self._report.asked += 1
        try:
            connection.request("GET", f"/{route.name}/x", headers=headers)
            response = connection.getresponse()
            body = response.read().decode()
        except (OSError, http.client.HTTPException) as error:
            self._report.statuses[type(error).__name__] += 1
            return
        finally:
            connection.close()
        self._report.statuses[response.status] += 1
        self._judge(response.status, body, service, response.headers)

    def _judge(self, status: int, body: str, service: str | None, headers) -> None:
        is_stale = (
            (status == 200 and body != service)
            or (status == 404 and service is not None)
            or (status == 503 and service is not None)
        )
        if is_stale:
            self._report.stale[self._host.name] += 1
            self._report.last_stale_s = round(time.monotonic() - self._began_at, 1)


def disturb(kind: Disturbance, store, all_hosts, operator: Operator) -> None:
    """Do to the store what was chosen."""
    match kind:
        case Disturbance.NESTED_ENTRY:
            store.put("servers/i-odd", b'{"a":' + b"[" * 2_000)
        case Disturbance.LARGE_NUMBER:
            text = '{"service":"service-0","address":"127.0.0.1:9","zone":"zone-a",'
            text += '"version":"v1","capacity":1%s,"state":"ready",'
            text += '"warmup_left_ms":0,"seq_no":1%s,"born":1%s}'
            zeros = "0" * 400
            store.put("servers/i-odd", (text % (zeros, zeros, zeros)).encode())
        case Disturbance.ODD_PORT:
            text = (
                '{"service":"service-0","address":"127.0.0.1:\u00b2","zone":"zone-a",'
            )
            text += '"version":"v1","capacity":1,"state":"ready",'
            text += '"warmup_left_ms":0,"seq_no":1}'
            store.put("servers/i-odd", text.encode())
        case Disturbance.ODD_KEY:
            store.put("servers/\udcff\ud800", b"{}")
        case Disturbance.SILENT_WATCHES:
            store.are_watches_silent = True
        case Disturbance.SILENT_STORE:
            store.fall_silent()
            eventlet.spawn_after(3.0, store.end_silence)
        case Disturbance.MUTED_CONNECTIONS:
            for host in all_hosts:
                host.store_link.begin(links.Mode.MUTED)
            eventlet.sleep(0.5)
            for host in all_hosts:
                host.store_link.end(links.Mode.MUTED)
        case Disturbance.RESTORED:
            copy = store.take_copy()
            eventlet.sleep(5.0)
            store.restore(copy)
            operator.publish()
        case Disturbance.ERA_BACK:
            store.era -= 1
        case Disturbance.FORGETFUL:
            while True:
                store.compact_history()
                eventlet.sleep(0.2)
        case Disturbance.RESETS:
            store.is_resetting = True
            eventlet.sleep(3.0)
            store.is_resetting = False
        case Disturbance.BUSY:
            store.is_down = True
            eventlet.sleep(3.0)
            store.is_down = False


def run(kind: Disturbance, seconds: float, host_count: int, seed: int) -> Report:
    """Run hosts among the changes of an operator."""
    directory = DIRECTORY / f"{kind.value}-{os.getpid()}"
    directory.mkdir(parents=True, exist_ok=True)
    report = Report(kind.value, host_count, seconds)
    store = platform.FakeStore()
    operator = Operator(store, report, random.Random(seed))
    history = records.History(time.monotonic())
    all_hosts = [
        hosts.Host(number, directory, history, store.address, 58, False)
        for number in range(host_count)
    ]
    threads = []
    try:
        for host in all_hosts:
            host.start()
        for host in all_hosts:
            host.wait_ready()
        threads += [eventlet.spawn(operator.change), eventlet.spawn(operator.drain)]
        threads += [
            eventlet.spawn(Asker(host, operator, report).run) for host in all_hosts
        ]
        threads.append(
            eventlet.spawn_after(
                DISTURB_AFTER_S, disturb, kind, store, all_hosts, operator
            )
        )
        eventlet.sleep(seconds)
    finally:
        for thread in threads:
            thread.kill()
        for host in all_hosts:
            host.stop()
    return report


def main(
    kind: Annotated[Disturbance, typer.Option()] = Disturbance.NONE,
    seconds: Annotated[float, typer.Option(min=15.0)] = 60.0,
    host_count: Annotated[int, typer.Option("--hosts", min=1, max=100)] = 7,
    seed: Annotated[int, typer.Option()] = 1,
) -> None:
    """Run once; exit with 1 if a promise was broken."""
    report = run(kind, seconds, host_count, seed)
    print(json.dumps(report.to_document()))
    sys.exit(1 if report.late or report.stale else 0)


if __name__ == "__main__":
    typer.run(main)
