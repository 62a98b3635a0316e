"""A small deployment for the cases of the second review.

The gateways are processes, started with the command of `deploy/system.toml` and with
settings like those of a small deployment. The store, the replicas and the clients are
stand-ins in the process of the script. Every address is a loopback address.
"""

import asyncio
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import store as store_module
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "leno12.example"
SETTINGS = """
node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "region-1"
port_range = [{first_port},{last_port}]
seeds = []
bootstrap = true
loss_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[listen]
front = "127.0.0.1:{port}"
ready_addr = "127.0.0.1:{ready_port}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_skew_ms = 12000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 58
recovery_s = 12
{more_bounds}
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._began_at = time.monotonic()

    def write(self, text):
        elapsed_s = time.monotonic() - self._began_at
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()


def pick_ports(count):
    """Return free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Gateway:
    """One gateway process."""

    def __init__(self, folder, name, zone, store_address, more_bounds=""):
        ports = pick_ports(5)
        self.name, self.port, self.ready_port = name, ports[0], ports[1]
        self.settings = pathlib.Path(folder) / f"{name}.toml"
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self._metrics_port = ports[2]
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                port=self.port,
                ready_port=self.ready_port,
                first_port=ports[3],
                last_port=ports[3] + 15,
                store=store_address,
                more_bounds=more_bounds,
            )
        )
        self.process = None

    def start(self):
        """Start the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CORIANDERRILL_SETTINGS"] = str(self.settings)
        # The default port may be in use on the machine of the test.
        environment["CORIANDERRILL_METRICS_PORT"] = str(self._metrics_port)
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=open(self.log_path, "ab"),
            stderr=subprocess.STDOUT,
        )

    async def is_ready(self):
        """Ask as the platform does; return whether the answer is 200."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            response = await asyncio.wait_for(wire.read_response(reader), 2.0)
            return response is not None and response.status == 200
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, timeout_s=25.0):
        until = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class CannotRunError(Exception):
    """The case couldn't run."""


class Replica:
    """A replica of a service.

    `behave` is a coroutine function of this replica, a request and a stream writer; it
    answers the request. Left out, the replica works for `work_s` and answers 200.
    """

    numbers = itertools.count(1)

    def __init__(self, record, service, zone="zone-a", work_s=0.02, behave=None):
        self.record, self.service, self.zone = record, service, zone
        self.id = f"i-{next(self.numbers):08x}"
        self.work_s, self.behave = work_s, behave
        self.born = round(1000 * time.time())
        self.seq_no = 0
        self.stamps = itertools.count(1)
        # Ids of the requests that it began to work on, with the times.
        self.ran = []
        self.arrived = []
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=wire.MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def build_entry(self, state="ready"):
        """Return the next entry that it writes to the store."""
        self.seq_no += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": 4,
            "state": state,
            "warmup_left_ms": 0,
            "seq_no": self.seq_no,
            "born": self.born,
        }

    @property
    def key(self):
        return f"servers/{self.id}"

    def stamp(self):
        return f"{self.id[2:]}.{next(self.stamps):02x}.5a2.600.0.c9f2a4d1"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await wire.read_request(reader)) is not None:
                await self._answer(request, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        request_id = request.get("x-request-id", "")
        expected = request.get("x-expect-instance")
        if expected not in (None, self.id):
            await self.reply(writer, 421, request_id, stamped=False)
            return
        self.arrived.append((time.monotonic(), request_id))
        self.note(f"gets {request.method} {request.target[:40]} {request_id}")
        if self.behave is not None:
            await self.behave(self, request, writer)
            return
        await self.run(request_id)
        await self.reply(writer, 200, request_id, body=request.body or b"done")

    async def run(self, request_id):
        """Work on a request."""
        self.ran.append((time.monotonic(), request_id))
        self.note(f"runs {request_id}")
        await asyncio.sleep(self.work_s)

    async def reply(self, writer, status, request_id, body=b"", stamped=True, more=""):
        stamp = f"X-Server-Stamp: {self.stamp()}\r\n" if stamped else ""
        head = (
            f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{stamp}{more}"
            f"Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.note(f"answers {request_id} with {status} {more.strip()}")
        writer.write(head.encode() + body)
        await writer.drain()

    def note(self, text):
        self.record.write(f"replica {self.id} ({self.service}) {text}")


def build_route(name, kind, timeout_ms=3000, **target):
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": timeout_ms,
        "latency_goal_ms": 250,
        "priority": 1,
        "max_attempts": 3,
        **target,
    }


def build_configuration(version, routes, services, **more):
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "max_conns": 110} for name in services],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 20000,
        },
        **more,
    }


class Client:
    """A client with one kept connection, which it opens again when it is closed."""

    numbers = itertools.count(1)

    def __init__(self, record, gateway):
        self.record, self.gateway = record, gateway
        self._streams = None

    async def send(self, target, method="GET", body=b"", deadline_ms=2500, headers=()):
        """Send a request; return its id, and its response or None."""
        request_id = f"{next(self.numbers):016x}"
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            *headers,
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
        shown = target if len(target) < 100 else f"{target[:40]}... ({len(target)} bytes)"
        self.record.write(f"client sends {method} {shown} {request_id}")
        response = await self._exchange(data, deadline_ms / 1000 + 1.0)
        self.record.write(
            f"client has for {request_id} "
            + ("no answer" if response is None else f"{response.status}")
        )
        return request_id, response

    async def _exchange(self, data, timeout_s):
        try:
            if self._streams is None:
                self._streams = await asyncio.open_connection(
                    "127.0.0.1", self.gateway.port, limit=wire.MAX_HEAD_BYTES
                )
            reader, writer = self._streams
            writer.write(data)
            await writer.drain()
            response = await asyncio.wait_for(wire.read_response(reader), timeout_s)
        except (OSError, TimeoutError):
            response = None
        is_closed = response is None or "close" in (response.get("connection") or "")
        if is_closed:
            self.close()
        return response

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Rig:
    """The store, the gateways and the replicas of one case."""

    def __init__(self, folder, directory):
        self.record = Record(folder)
        self.directory = directory
        self.store = store_module.Store()
        self.gateways, self.replicas = [], []

    def add_gateway(self, name, zone="zone-a", **more):
        gateway = Gateway(self.directory, name, zone, self.store.address, **more)
        self.gateways.append(gateway)
        return gateway

    async def add_replica(self, service, **options):
        replica = Replica(self.record, service, **options)
        await replica.start()
        self.replicas.append(replica)
        return replica

    def register(self, replica, state="ready", entry=None):
        entry = entry or replica.build_entry(state)
        revision = self.store.put(replica.key, entry)
        self.record.write(
            f"store acknowledges to {replica.id}: state {entry['state']}, "
            f"seq_no {entry['seq_no']}, revision {revision}"
        )

    def publish(self, configuration):
        revision = self.store.put("op/config", configuration)
        self.record.write(
            f"store acknowledges version {configuration['version']}, revision {revision}"
        )

    def stop(self):
        for gateway in self.gateways:
            gateway.stop()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()


def run(folder, case, timeout_s=100.0):
    """Run a case; exit with 1 if it returns that the rule was broken, else with 0."""

    def end(*_):
        raise CannotRunError("interrupted")

    async def main():
        with tempfile.TemporaryDirectory() as directory:
            rig = Rig(folder, directory)
            loop = asyncio.get_running_loop()
            task = asyncio.current_task()
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                loop.add_signal_handler(number, task.cancel)
            try:
                await rig.store.start()
                async with asyncio.timeout(timeout_s):
                    is_broken = await case(rig)
                rig.record.write("RULE BROKEN" if is_broken else "rule held")
                return int(is_broken)
            except (CannotRunError, TimeoutError, asyncio.CancelledError) as error:
                rig.record.write(f"couldn't run: {error!r}")
                return 2
            except Exception as error:
                rig.record.write(f"failed in the stand-ins: {error!r}")
                return 2
            finally:
                rig.stop()

    sys.exit(asyncio.run(main()))
