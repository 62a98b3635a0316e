"""A whole deployment in processes of its own, with the commands that disturb it."""

import dataclasses
import pathlib
import tempfile
import time

import msgspec
import urllib3
import yaml
import zmq

from benchmarks import banners, ports, processes
from corianderrill import hostlist, names
from corianderrill.standins import control, deployments

READY_WITHIN_S = 30.0
READY_POLL_S = 0.1
CONTROL_TIMEOUT_S = 5.0
OPERATOR_TOKEN = "operator-token-of-the-rig"


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """What a rig is made of. Times in seconds."""

    shown: tuple[deployments.Deployment, ...]
    seed: int
    routing: dict[str, str]
    limits: dict[str, object]
    service_s: float = 0.03
    load_lag_s: float = 0.0
    workspaces: tuple[str, ...] = ("morning",)
    fan_out: int | None = None


@dataclasses.dataclass(slots=True)
class EntryHost:
    """An entry host with its process and its fixed addresses."""

    name: names.HostName
    zone: names.ZoneName
    fleet: names.FleetName
    settings: pathlib.Path
    callers: names.Address
    peers: names.Address
    operators: names.Address
    child: processes.Child
    incarnation: names.Incarnation = names.Incarnation("")

    def describe(self) -> hostlist.EntryHost:
        """Return how the host list shows this host."""
        return hostlist.EntryHost(
            self.name, self.incarnation, self.zone, self.callers, self.peers
        )


class Rig:
    """Starts a deployment on entry; ends every process of it on exit."""

    def __init__(self, shape: Shape):
        self.shape = shape
        self.hosts: list[EntryHost] = []
        self.servers: tuple[hostlist.BackendServer, ...] = ()
        self.children: list[processes.Child] = []
        self.platform: banners.Banner | None = None
        self._zones: list[banners.Banner] = []
        self._http = urllib3.PoolManager(timeout=CONTROL_TIMEOUT_S, retries=False)
        self._folder = tempfile.TemporaryDirectory(prefix="corianderrill-rig-")
        public, secret = zmq.curve_keypair()
        self._keys = {
            "public": public.decode(),
            "secret": secret.decode(),
            "operator_token": OPERATOR_TOKEN,
        }

    def __enter__(self) -> "Rig":
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    def stop(self) -> None:
        """End every process and remove the temporary folder."""
        processes.end_all(self.children)
        self.children.clear()
        self._folder.cleanup()

    def _start(self) -> None:
        zones = [
            (f"servers-{zone}", ["--zone", zone])
            for shown in self.shape.shown
            for zone in shown.zones
        ]
        labels = [
            part for name in self.shape.workspaces for part in ("--workspace", name)
        ]
        standin_children = [
            self._start_standins(name, arguments)
            for name, arguments in [("platform", labels), *zones]
        ]
        self.platform, *self._zones = (
            msgspec.json.decode(child.read_line(), type=banners.Banner)
            for child in standin_children
        )
        self.servers = tuple(
            server for banner in self._zones for server in banner.servers
        )
        self.publish_hosts()
        for shown in self.shape.shown:
            self._start_hosts(shown)
        for host in self.hosts:
            self._learn_incarnation(host)
        self.publish_hosts()
        self._wait_until_ready()

    def _start_standins(self, name: str, arguments: list[str]) -> processes.Child:
        fleets = [
            part for shown in self.shape.shown for part in ("--fleet", shown.fleet)
        ]
        fan_out = self.shape.fan_out
        child = processes.Child(
            name,
            [
                "benchmarks.standins",
                *fleets,
                f"--seed={self.shape.seed}",
                f"--service-s={self.shape.service_s}",
                f"--load-lag-s={self.shape.load_lag_s}",
                *([f"--fan-out={fan_out}"] if fan_out else []),
                *arguments,
            ],
            self._log_of(name),
        )
        self.children.append(child)
        return child

    def _log_of(self, name: str) -> pathlib.Path:
        return pathlib.Path(self._folder.name) / f"{name}.log"

    def _start_hosts(self, shown: deployments.Deployment) -> None:
        for number in range(shown.entry_hosts):
            name = names.HostName(f"{shown.fleet}-entry-{number + 1}")
            zone = shown.zones[number % len(shown.zones)]
            callers, peers, operators = ports.find_free_addresses(3)
            settings = pathlib.Path(self._folder.name) / f"{name}.yaml"
            settings.write_text(
                yaml.safe_dump(
                    {
                        "host": {"name": str(name), "zone": str(zone)},
                        "listen": {
                            "callers": str(callers),
                            "peers": str(peers),
                            "operators": str(operators),
                        },
                        "platform": {
                            "key_value": str(self.platform.key_value),
                            "host_list": str(self.platform.host_list),
                        },
                        "keys": self._keys,
                        "routing": self.shape.routing,
                        "limits": self.shape.limits,
                    }
                )
            )
            child = self._start_process(name, settings)
            self.hosts.append(
                EntryHost(
                    name, zone, shown.fleet, settings, callers, peers, operators, child
                )
            )

    def _start_process(
        self, name: names.HostName, settings: pathlib.Path
    ) -> processes.Child:
        arguments = ["corianderrill", "serve", "--settings", str(settings)]
        child = processes.Child(name, arguments, self._log_of(name))
        self.children.append(child)
        return child

    def _learn_incarnation(self, host: EntryHost) -> None:
        member = host.child.read_line().partition(" ")[0]
        host.incarnation = names.Incarnation(member.rpartition("#")[2])

    def restart_host(self, host: EntryHost) -> None:
        """Start an entry host again on its addresses and list its new start."""
        host.child = self._start_process(host.name, host.settings)
        self._learn_incarnation(host)
        self.publish_hosts()

    def _wait_until_ready(self) -> None:
        give_up_at = time.monotonic() + READY_WITHIN_S
        waiting = list(self.hosts)
        while waiting:
            waiting = [host for host in waiting if not self._is_ready(host)]
            if time.monotonic() > give_up_at:
                silent = [host.name for host in waiting]
                log = waiting[0].child.read_log()
                raise processes.StartError(f"not ready: {silent}\n{log}")
            time.sleep(READY_POLL_S)

    def _is_ready(self, host: EntryHost) -> bool:
        try:
            url = f"http://{host.callers}/readyz"
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def publish_hosts(self) -> None:
        """Publish the host list as the rig knows it now."""
        hosts = hostlist.HostList(
            entry_hosts=tuple(host.describe() for host in self.hosts),
            backend_servers=self.servers,
        )
        self._send(self.platform, control.PublishHosts(hosts))

    def command_servers(self, command: control.Command) -> None:
        """Carry out a command at the backend servers of every zone."""
        for banner in self._zones:
            self._send(banner, command)

    def add_version(self, fleet: names.FleetName, repartition: bool) -> None:
        """Build the next index version at the servers, then publish it."""
        command = control.AddVersion(fleet, repartition)
        self.command_servers(command)
        self._send(self.platform, command)

    def kill_servers(self, hosts: frozenset[names.HostName]) -> None:
        """End backend servers without notice."""
        patterns = tuple(
            f"{server.fleet}/{server.host}"
            for server in self.servers
            if server.host in hosts
        )
        self.command_servers(control.Kill(patterns))

    def unlist_servers(self, hosts: frozenset[names.HostName]) -> None:
        """Take backend servers off the host list."""
        self.servers = tuple(
            server for server in self.servers if server.host not in hosts
        )
        self.publish_hosts()

    def replace_server(self, server: str) -> None:
        """Start a backend server anew on its address and list the new start."""
        old = self._find_server(server)
        incarnation = names.Incarnation(str(int(old.incarnation) + 1))
        self.command_servers(control.Replace((server,), incarnation))
        self._change_server(old, incarnation=incarnation, state=hostlist.HostState.LIVE)

    def list_leaving(self, server: str) -> None:
        """Show a backend server as leaving in the host list."""
        old = self._find_server(server)
        self._change_server(old, state=hostlist.HostState.LEAVING)

    def _find_server(self, text: str) -> hostlist.BackendServer:
        return next(s for s in self.servers if f"{s.fleet}/{s.host}" == text)

    def _change_server(self, old: hostlist.BackendServer, **changes: object) -> None:
        changed = dataclasses.replace(old, **changes)
        self.servers = tuple(changed if s == old else s for s in self.servers)
        self.publish_hosts()

    def read_histories(self) -> list[control.History]:
        """Return what the backend servers of each zone saw."""
        command = control.ReadHistory()
        return [self._send(banner, command, control.History) for banner in self._zones]

    def send_platform(self, path: str, body: msgspec.Struct) -> None:
        """Control the key-value service, see `standins.keyvalue`."""
        url = f"http://{self.platform.key_value}{path}"
        self._http.request("POST", url, body=msgspec.json.encode(body))

    def read_operators(self, host: EntryHost, path: str) -> bytes:
        """Return what an entry host answers its operators; empty where silent."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = f"http://{host.operators}{path}"
        try:
            return self._http.request("GET", url, headers=headers).data
        except urllib3.exceptions.HTTPError:
            return b""

    def read_totals(self) -> list[control.Totals]:
        """Return the counters of the backend servers, one for each zone."""
        return [self._send(banner, control.ReadCounters()) for banner in self._zones]

    def read_cpu_s(self) -> dict[str, float]:
        """Return the processor time used so far, by kind of process."""
        hosts = {host.child.pid for host in self.hosts}
        used = {"entry_hosts": 0.0, "stand_ins": 0.0}
        for child in self.children:
            kind = "entry_hosts" if child.pid in hosts else "stand_ins"
            used[kind] += child.read_cpu_s()
        return used

    def _send(
        self, banner: banners.Banner, command: control.Command, kind=control.Totals
    ) -> control.Totals | control.History:
        response = self._http.request(
            "POST", f"http://{banner.control}/", body=msgspec.json.encode(command)
        )
        return msgspec.json.decode(response.data, type=kind)
