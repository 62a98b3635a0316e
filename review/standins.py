"""Stand-ins of the platform's store, of replicas and of clients, and a gateway process.

They use the standard library only. All addresses are on the loopback interface. The
store and the replicas follow PROTOCOL.md; what a case adds to that is in its own script.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_MS = 1200
READY_WITHIN_S = 30.0
MAX_PAGE_ITEMS = 500
RUN_TIMEOUT_S = 110.0
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 12000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
    "recovery_s": 12,
}


class CannotRun(Exception):
    """The case can't be run here; its script exits with 2."""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._started_at = time.monotonic()

    def write(self, text):
        """Write one line with the time since the start."""
        elapsed_s = time.monotonic() - self._started_at
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()


def find_free_port(ip="127.0.0.1"):
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


async def read_message(reader):
    """Return the first line, the headers in lower case and the body; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (field := await reader.readline()).strip():
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = b""
    return line.decode("latin-1").strip(), headers, body


def render_answer(status, headers, body=b""):
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """An HTTP/1.1 server on a free loopback port."""

    def __init__(self):
        self._tasks = set()

    async def start(self):
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                await self.answer(*message, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def answer(self, line, headers, body, writer):
        """Write the answer to one request."""
        raise NotImplementedError

    def stop(self):
        """Listen no more and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.revision = 10
        self.items = {}
        self._history = []
        self._changed = asyncio.Event()
        self._lease_count = 0
        self._leases = {}

    def put(self, key, value, lease=0):
        """Write a key; a value that is no bytes is encoded as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._append(self.items[key])

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self._append(event)

    def _append(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, line, headers, body, writer):
        method, target, _ = line.split(" ")
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        document = json.loads(body) if body else {}
        status, result = await self._call(method, path, query, document)
        data = json.dumps({"at": self.revision, **result}).encode()
        writer.write(render_answer(status, {"Content-Type": "application/json"}, data))

    async def _call(self, method, path, query, document):
        self._end_leases()
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item)
        if path == "/api/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:MAX_PAGE_ITEMS]]
            return 200, {"items": page, "has_more": len(keys) > MAX_PAGE_ITEMS}
        if path == "/api/kv-watch":
            return 200, {"events": await self._watch(query)}
        if path == "/api/kv-txn":
            return self._write(document)
        if path == "/api/kv-lease":
            self._lease_count += 1
            ttl_ms = max(document["ttl_ms"], 1000)
            self._leases[self._lease_count] = [ttl_ms, time.monotonic()]
            return 200, {"lease": self._lease_count, "ttl_ms": ttl_ms}
        number = int(path.rpartition("/")[2])
        if number not in self._leases:
            return 404, {}
        if path.startswith("/api/kv-keep/"):
            self._leases[number][1] = time.monotonic()
            return 200, {"ttl_ms": self._leases[number][0]}
        self._drop_lease(number)
        return 200, {}

    def _end_leases(self):
        now = time.monotonic()
        for number, (ttl_ms, renewed_at) in list(self._leases.items()):
            if now - renewed_at > ttl_ms / 1000:
                self._drop_lease(number)

    def _drop_lease(self, number):
        del self._leases[number]
        for key in [k for k, item in self.items.items() if item["lease"] == number]:
            self.remove(key)

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return events
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _write(self, document):
        for row in document["expected_rev"]:
            item = self.items.get(row["key"])
            if (0 if item is None else item["revision"]) != row["revision"]:
                return 412, {"items": [] if item is None else [item]}
        for row in document["writes"]:
            if row["lease"] and row["lease"] not in self._leases:
                return 404, {}
        for key in document["deletes"]:
            self.remove(key)
        for row in document["writes"]:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        return 200, {"revision": self.revision}


class Replica(Server):
    """A replica; `work_s` is the time that it works on each request.

    Each item of `runs` is the id of a request that it began to work on.
    """

    _count = 0

    def __init__(self, service, record, work_s=0.02, capacity=4, zone="zone-a"):
        super().__init__()
        Replica._count += 1
        self.id = f"i-{service}-{Replica._count}"
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.capacity = capacity
        self.runs = []
        self.answers = 0
        self._record = record
        self._seq_no = 0
        self._born = int(time.time() * 1000)

    def register(self, store, state="ready"):
        """Write the entry of this replica."""
        self._seq_no += 1
        store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "1",
                "capacity": self.capacity,
                "state": state,
                "warmup_left_ms": 0,
                "seq_no": self._seq_no,
                "born": self._born,
            },
        )

    async def answer(self, line, headers, body, writer):
        self.answers += 1
        if line.startswith("GET /health "):
            writer.write(render_answer(200, {"X-Instance-Id": self.id}))
            return
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            refusal = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
            writer.write(render_answer(421, refusal))
            return
        if self.is_full(request_id):
            self._record.write(f"{self.id} is full, refuses {request_id} unrun")
            refusal = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
            writer.write(render_answer(503, refusal))
            self.after_refusal(request_id, writer)
            return
        self.runs.append(request_id)
        self._record.write(f"{self.id} runs {request_id}: {line}")
        await asyncio.sleep(self.work_s)
        stamp = f"{self.id}.{request_id}"
        fields = {"X-Request-Id": request_id, "X-Server-Stamp": stamp}
        writer.write(render_answer(200, fields, self.build_body(request_id)))

    def is_full(self, request_id):
        """Return whether no slot and no place in the queue is free."""
        return False

    def after_refusal(self, request_id, writer):
        """Called once a refusal was written."""

    def build_body(self, request_id):
        """Return the body of the answer to a request."""
        return f"{self.service} {request_id}".encode()


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name, store, directory, zone="zone-a", bounds=None, ports=None):
        self.name = name
        self._directory = directory
        front, ready, control = (find_free_port() for _ in range(3))
        self.port = front
        self._ready_port = ready
        self._metrics_port = find_free_port()
        port_range = ports or [find_free_port()] * 2
        limits = "cpu_share = 0.537\ncores = 2\nmemory_mb = 300\nmax_fds = 4100\n"
        bound_lines = "\n".join(
            f"{name} = {value}" for name, value in {**BOUNDS, **(bounds or {})}.items()
        )
        self._settings = directory / f"{name}.toml"
        self._settings.write_text(
            f'node_name = "{name}"\nrole = "gateway"\nmachine_class = "front"\n'
            f'serves = ["front"]\nip = "127.0.0.1"\nzone = "{zone}"\n'
            f'region = "region"\nport_range = {port_range}\nseeds = []\n'
            f"bootstrap = true\nheartbeat_ms = {HEARTBEAT_MS}\n"
            f'[zones]\nzone-a = "region"\nzone-b = "region"\nzone-c = "region"\n'
            f'[listen]\nfront = "127.0.0.1:{front}"\n'
            f'ready_addr = "127.0.0.1:{ready}"\ncontrol = "127.0.0.1:{control}"\n'
            f"[limits]\n{limits}link_mbps = 1000.0\ndisk_mb = 0\n"
            f"[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            f"[bounds]\n{bound_lines}\n"
            f'[platform]\naddress = "{store.address}"\nform = "kv"\n'
            "writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
            "value_bytes = 1048576\nmin_ttl_ms = 1000\n"
        )
        self.process = None

    async def start(self):
        """Start the process and wait until it is ready."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "CORIANDERRILL_SETTINGS": str(self._settings),
            "CORIANDERRILL_METRICS_PORT": str(self._metrics_port),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.log = self._directory / f"{self.name}.log"
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-m", "corianderrill.gateway"),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        ends_at = time.monotonic() + READY_WITHIN_S
        while not await self.is_ready():
            if time.monotonic() > ends_at or self.process.returncode is not None:
                tail = self.log.read_text(errors="replace")[-2000:]
                raise CannotRun(f"{self.name} did not get ready:\n{tail}")
            await asyncio.sleep(0.05)

    async def is_ready(self):
        """Return whether the process answers the platform's question with 200."""
        try:
            answer = await ask(
                self._ready_port, b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"
            )
        except OSError:
            return False
        return answer is not None and answer[0] == 200

    def send_signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def render_request(path, request_id, host, deadline_ms, body=None, method=None):
    """Return the bytes of a client's request."""
    method = method or ("GET" if body is None else "POST")
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"X-Request-Id: {request_id}", f"X-Deadline-Ms: {deadline_ms}"]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


async def ask(port, data):
    """Send a request on a new connection; return status, headers and body.

    Return None if the connection ends without a complete answer.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        message = await read_message(reader)
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()
    if message is None:
        return None
    line, headers, body = message
    return int(line.split(" ")[1]), headers, body


def build_route(name, prefix, target, kind, deadline_ms, attempts=3):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "shop.example",
        "prefix": prefix,
        "type": kind,
        "timeout_ms": deadline_ms,
        "latency_goal_ms": 250,
        "max_attempts": attempts,
        "priority": 1,
        **target,
    }


def build_configuration(version, routes, services):
    """Return a configuration in full."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "max_conns": 110, "health_path": "/health", "protocol": "h1"}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 65536,
            "max_body_bytes": 262144,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 60000,
        },
    }


def run_case(folder, play, has_trouble):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    `play(record, directory, has_trouble, cleanup)` returns whether the rule held;
    `cleanup` is an asynchronous exit stack. Its processes also end when this one is
    interrupted.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def play_whole():
        _cancel_on_signals(asyncio.current_task())
        async with contextlib.AsyncExitStack() as cleanup:
            return await asyncio.wait_for(
                play(record, directory, has_trouble, cleanup), RUN_TIMEOUT_S
            )

    try:
        held = asyncio.run(play_whole())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    finally:
        shutil.rmtree(directory, ignore_errors=True)
    record.write("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)


def _cancel_on_signals(task):
    """Cancel a task at the first signal to stop; later ones leave its cleanup alone."""

    def cancel_once():
        nonlocal is_canceled
        if not is_canceled:
            is_canceled = True
            task.cancel()

    is_canceled = False
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, cancel_once)
