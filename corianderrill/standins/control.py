"""Remote control of a site's stand-ins, for benchmarks over several processes.

Each command is one tagged struct, sent as JSON in a POST.
"""

import fnmatch
import time

import msgspec

from corianderrill import hostlist, names
from corianderrill.standins import backend, site


class Faults(msgspec.Struct, tag=True):
    """Sets faults of the servers whose `fleet/host` matches one of the patterns."""

    patterns: tuple[str, ...]
    slow_factor: float = 1.0
    frozen: bool = False
    lost_replies: bool = False
    draining: bool = False
    shedding: bool = False
    reply_fault: backend.ReplyFault | None = None
    reply_fault_every: int = 1


class Kill(msgspec.Struct, tag=True):
    """Ends the servers whose `fleet/host` matches a pattern, without notice."""

    patterns: tuple[str, ...]


class Replace(msgspec.Struct, tag=True):
    """Starts the matching servers anew, each on its old address."""

    patterns: tuple[str, ...]
    incarnation: names.Incarnation


class ReadHistory(msgspec.Struct, tag=True):
    """Asks what ran, and what arrived at servers that were leaving."""


class AddVersion(msgspec.Struct, tag=True):
    """Builds the next index version of a fleet."""

    fleet: names.FleetName
    repartition: bool = False


class PublishHosts(msgspec.Struct, tag=True):
    """Sets the host list."""

    hosts: hostlist.HostList


class ReadCounters(msgspec.Struct, tag=True):
    """Asks for the counters of all servers."""


class Totals(msgspec.Struct):
    """Counters summed over the servers of a site; peaks are the highest of any."""

    requests: int = 0
    executed: int = 0
    cancelled: int = 0
    shed: int = 0
    connections: int = 0
    connections_over_cap: int = 0
    refused_draining: int = 0
    refused_snapshot: int = 0
    too_late: int = 0
    doubled_executions: int = 0
    executions: int = 0


class Run(msgspec.Struct, frozen=True):
    """One run of a request that is not idempotent; `at` is on the monotonic clock."""

    server: str
    request_id: str
    key: str
    at: float


class LateWork(msgspec.Struct, frozen=True):
    """A sub-request to a leaving server; instants of the monotonic clock."""

    server: str
    leaving_since: float
    at: float


class History(msgspec.Struct, frozen=True):
    """What the servers of a site saw."""

    runs: tuple[Run, ...]
    late_work: tuple[LateWork, ...]


Command = (
    Faults | Kill | Replace | ReadHistory | AddVersion | PublishHosts | ReadCounters
)

_decode = msgspec.json.Decoder(Command).decode


class ControlApplication:
    """Carries out commands on a site (WSGI)."""

    def __init__(self, controlled: site.Site):
        self._site = controlled

    def __call__(self, environ, start_response):
        """Carry out one command; reply with the totals after it, or the history."""
        command = _decode(environ["wsgi.input"].read())
        carry_out(self._site, command)
        match command:
            case ReadHistory():
                body = msgspec.json.encode(list_history(self._site))
            case _:
                body = msgspec.json.encode(sum_counters(self._site))
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


def carry_out(controlled: site.Site, command: Command) -> None:
    """Carry out one command."""
    match command:
        case Faults():
            for server in _select(controlled, command.patterns):
                server.faults = backend.Faults(
                    slow_factor=command.slow_factor,
                    frozen=command.frozen,
                    lost_replies=command.lost_replies,
                    draining=command.draining,
                    draining_since=time.monotonic() if command.draining else None,
                    shedding=command.shedding,
                    reply_fault=command.reply_fault,
                    reply_fault_every=command.reply_fault_every,
                )
        case Kill(patterns):
            for server in _select(controlled, patterns):
                server.kill()
        case Replace(patterns, incarnation):
            for server in _select(controlled, patterns):
                controlled.replace_server(server, incarnation)
        case AddVersion(fleet, repartition):
            controlled.add_version(fleet, repartition)
        case PublishHosts(hosts):
            controlled.host_list.publish(hosts.entry_hosts, hosts.backend_servers)
        case ReadCounters() | ReadHistory():
            pass


def sum_counters(controlled: site.Site) -> Totals:
    """Return the counters of all servers of a site."""
    totals = Totals()
    for server in controlled.list_servers():
        for name in Totals.__struct_fields__:
            count = getattr(server.counters, name, 0)
            setattr(totals, name, getattr(totals, name) + count)
        requests = [execution.request_id for execution in server.executions]
        totals.executions += len(requests)
        totals.doubled_executions += len(requests) - len(set(requests))
    return totals


def list_history(controlled: site.Site) -> History:
    """Return what every server of a site saw, replaced ones included."""
    servers = controlled.list_servers()
    return History(
        runs=tuple(
            Run(str(server.shape.replica), run.request_id, run.key, run.at)
            for server in servers
            for run in server.executions
        ),
        late_work=tuple(
            LateWork(str(server.shape.replica), server.faults.draining_since, at)
            for server in servers
            for at in server.counters.refused_draining_at
            if server.faults.draining_since is not None
        ),
    )


def _select(
    controlled: site.Site, patterns: tuple[str, ...]
) -> list[backend.BackendServer]:
    return [
        server
        for replica, server in controlled.servers.items()
        if any(
            fnmatch.fnmatch(f"{replica.fleet}/{replica.host}", pattern)
            for pattern in patterns
        )
    ]
