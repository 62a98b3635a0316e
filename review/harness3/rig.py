"""A small deployment on loopback: stand-ins of store, replicas and clients.

Only the standard library is used. The gateway is started with the command of
`deploy/system.toml`, on the packages that its build has put into `target/deps`.
"""

import base64
import collections
import contextlib
import http.server
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "leno12.example"
IP = "127.0.0.1"
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
ZONES = ("zone-a", "zone-b", "zone-c")

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class Record:
    """The lines of `record.txt`, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.now():9.3f} {text}\n")
            self._file.flush()


# The store.


class Store:
    """The platform's store: ranges, watches, transactions and leases."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.revision = 5
        self.items = {}
        self.history = []
        self.leases = {}
        self._lease_ids = itertools.count(1)
        # How many seconds old the replies to reads with `serializable` are.
        self.stale_s = 0.0
        self._versions = []
        self._doors = []
        self.address = self.open_door().address

    def open_door(self):
        """Return one more address of the store."""
        door = Door(self)
        self._doors.append(door)
        return door

    def put(self, key, value, lease=0):
        """Write a key; return when the write was acknowledged."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.lock:
            self._put(key, data, lease)
        return time.monotonic()

    def _put(self, key, data, lease):
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)
        self._keep_version()
        self.lock.notify_all()

    def _keep_version(self):
        if self.stale_s:
            version = (time.monotonic(), self.revision, dict(self.items))
            self._versions.append(version)

    def _find_version(self, is_stale):
        """Return the items and the revision that a read is answered from."""
        if not is_stale or not self.stale_s:
            return self.items, self.revision
        until = time.monotonic() - self.stale_s
        old = [v for v in self._versions if v[0] <= until]
        _, revision, items = old[-1] if old else self._versions[0]
        return items, revision

    def remove(self, key):
        with self.lock:
            self._remove(key)

    def _remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.history.append(event)
        self._keep_version()
        self.lock.notify_all()

    def answer(self, door, path, fields, document):
        if path == "/api/kv-watch":
            return self._watch(door, fields)
        with self.lock:
            self._end_leases()
            if path == "/api/kv-range":
                prefix, after = fields.get("prefix", ""), fields.get("after", "")
                is_stale = fields.get("serializable") == "1"
                items, revision = self._find_version(is_stale)
                keys = sorted(k for k in items if k.startswith(prefix) and k > after)
                page = [items[k] for k in keys[:500]]
                more = len(keys) > 500
                return 200, {"items": page, "has_more": more, "at": revision}
            if path == "/api/kv-key":
                item = self.items.get(fields.get("key"))
                if item is None:
                    return 404, {"at": self.revision}
                return 200, {**item, "at": self.revision}
            if path == "/api/kv-lease":
                number = next(self._lease_ids)
                ttl_ms = document["ttl_ms"]
                self.leases[number] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
                return 200, {"lease": number, "ttl_ms": ttl_ms}
            if path.startswith("/api/kv-keep/"):
                number = int(path.rpartition("/")[2])
                if number not in self.leases:
                    return 404, {}
                ttl_ms = self.leases[number][1]
                self.leases[number] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
                return 200, {"ttl_ms": ttl_ms}
            if path.startswith("/api/kv-lease-end/"):
                self._end_lease(int(path.rpartition("/")[2]))
                return 200, {}
            if path == "/api/kv-txn":
                return self._transact(document)
        return 404, {}

    def _end_leases(self):
        now = time.monotonic()
        for number in [n for n, (end, _) in self.leases.items() if end <= now]:
            self._end_lease(number)

    def _end_lease(self, number):
        self.leases.pop(number, None)
        for key in [k for k, i in self.items.items() if i["lease"] == number]:
            self._remove(key)

    def _transact(self, document):
        expected = document.get("expected_rev", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [
                    self.items[r["key"]] for r in expected if r["key"] in self.items
                ]
                return 412, {"items": rows}
        writes = document.get("writes", [])
        if any(r.get("lease") and r["lease"] not in self.leases for r in writes):
            return 404, {}
        for key in document.get("deletes", []):
            self._remove(key)
        for row in writes:
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        return 200, {"revision": self.revision}

    def _watch(self, door, fields):
        prefix, after = fields.get("prefix", ""), int(fields["after"])
        end = time.monotonic() + int(fields["wait_ms"]) / 1000
        with self.lock:
            while True:
                events = [
                    e
                    for e in self.history
                    if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                self.lock.wait(min(left, 0.5))
                self._end_leases()

    def stop(self):
        for door in self._doors:
            door.stop()


class _Server(socketserver.ThreadingMixIn, socketserver.TCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass


class Door:
    """One address of the store; while it is silent, no call there gets a response.

    A connection on which a response is lost returns nothing further.
    """

    def __init__(self, store):
        self._silent_from = self._silent_until = 0.0
        # When a stale read was last answered; lost responses, by path.
        self.stale_read_at = 0.0
        self.lost = []
        door = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                self._answer(None)

            def do_DELETE(self):
                self._answer(None)

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                self._answer(json.loads(self.rfile.read(length) or b"{}"))

            def _answer(self, document):
                path, _, query = self.path.partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                was_silent = door.is_silent()
                status, reply = store.answer(door, path, fields, document)
                if was_silent or door.is_silent():
                    door.lost.append(path)
                    store.record.write(f"store: the response to {path} is lost")
                    threading.Event().wait()
                if fields.get("serializable") == "1":
                    door.stale_read_at = time.monotonic()
                body = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self._server = _Server((IP, 0), Handler)
        self.address = f"{IP}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def fall_silent(self, for_s):
        """Give no response to calls that come, or are due, in the next `for_s`."""
        self._silent_from = time.monotonic()
        self._silent_until = self._silent_from + for_s
        return self._silent_until

    def is_silent(self):
        return self._silent_from <= time.monotonic() < self._silent_until

    def stop(self):
        self._server.shutdown()
        self._server.server_close()


# HTTP/1.1 on a socket.


class Closed(Exception):
    """The other end has closed the connection before a whole message."""


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def _more(self):
        piece = self.sock.recv(65536)
        if not piece:
            raise Closed
        self.data += piece

    def read_head(self):
        """Return the first line and the headers, in lower case."""
        while b"\r\n\r\n" not in self.data:
            self._more()
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = [
            (name.strip(" \t").lower(), value.strip(" \t"))
            for name, _, value in (line.partition(":") for line in lines[1:])
        ]
        return lines[0], headers

    def read_count(self, count):
        while len(self.data) < count:
            self._more()
        taken, self.data = self.data[:count], self.data[count:]
        return taken

    def read_line(self):
        while b"\r\n" not in self.data:
            self._more()
        line, _, self.data = self.data.partition(b"\r\n")
        return line

    def read_body(self, headers):
        fields = dict(headers)
        if "chunked" in fields.get("transfer-encoding", ""):
            body = b""
            while size := int(self.read_line().split(b";")[0], 16):
                body += self.read_count(size)
                self.read_count(2)
            while self.read_line():
                pass
            return body
        return self.read_count(int(fields.get("content-length", 0)))


class Answer:
    """An answer that a client got."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.fields = dict(headers)
        self.body = body

    def __repr__(self):
        stamp = self.fields.get("x-server-stamp")
        return f"{self.status} stamp={stamp} body={self.body[:60]!r}"


def connect(address, timeout_s=20.0):
    ip, _, port = address.rpartition(":")
    sock = socket.create_connection((ip, int(port)), timeout=timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def read_answer(reader):
    line, headers = reader.read_head()
    status = int(line.split()[1])
    while status < 200:
        line, headers = reader.read_head()
        status = int(line.split()[1])
    return Answer(status, headers, reader.read_body(headers))


def build_request(
    method, path, request_id, deadline_ms=5000, body=b"", more=(), host=HOST
):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        *more,
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


_ids = itertools.count(1)


def new_id():
    return f"{os.getpid():08x}{next(_ids):08x}"


# Replicas.


class Run:
    """A request that reached a replica."""

    def __init__(self, replica, line, headers, body, at):
        self.replica = replica
        self.method, self.path = line.split(" ")[:2]
        self.headers = headers
        self.fields = dict(headers)
        self.id = self.fields.get("x-request-id", "")
        self.body = body
        self.at = at


class Replica:
    """A replica that runs requests; `behave` may answer in another way.

    `behave(run, sock)` returns True if it has dealt with the request and the connection
    can go on, False if the connection is to be closed, and None to run as usual.
    """

    _numbers = itertools.count(1)

    def __init__(
        self, record, service, zone=ZONES[0], work_s=0.01, slots=4, id_=None, port=0
    ):
        self.record = record
        self.id = id_ or f"i-{os.getpid():x}-{next(self._numbers)}"
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.behave = None
        self.body = None
        self.runs = []
        self.arrivals = []
        self._gate = threading.Semaphore(slots)
        self._seq_no = 0
        self.born = round(time.time() * 1000)
        self._listener = socket.create_server((IP, port), backlog=512)
        self.address = f"{IP}:{self._listener.getsockname()[1]}"
        self._socks = set()
        self._is_stopped = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._socks.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                line, headers = reader.read_head()
                at = time.monotonic()
                run = Run(self, line, headers, b"", at)
                run.body = reader.read_body(headers)
                if not self._handle(run, sock):
                    return
        except (OSError, Closed, ValueError):
            pass
        finally:
            self._socks.discard(sock)
            sock.close()

    def _handle(self, run, sock):
        echo = f"X-Request-Id: {run.id}\r\n"
        expected = run.fields.get("x-expect-instance")
        if expected not in (None, self.id):
            head = f"HTTP/1.1 421 Misdirected Request\r\n{echo}X-Instance-Id: {self.id}"
            sock.sendall(f"{head}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.arrivals.append(run)
        self.record.write(
            f"replica {self.id} ({self.service}) got {run.method} {run.path[:60]!r}"
            f" id={run.id} body={len(run.body)} bytes"
            f" deadline={run.fields.get('x-deadline-ms')}"
        )
        if self.behave is not None:
            dealt = self.behave(run, sock)
            if dealt is not None:
                return dealt
        with self._gate:
            self.runs.append(run)
            time.sleep(self.work_s)
        sock.sendall(self.render(run))
        return True

    def render(self, run, status="200 OK", body=None, more=""):
        body = body if body is not None else (self.body or run.body or b"done")
        return (
            f"HTTP/1.1 {status}\r\nX-Request-Id: {run.id}\r\n"
            f"X-Server-Stamp: {self.id}.{run.id}.{len(body)}\r\n{more}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def register(self, store, state="ready", **changes):
        """Write the entry of this replica; return when it was acknowledged."""
        self._seq_no += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "seq_no": self._seq_no,
            "born": self.born,
            **changes,
        }
        return store.put(f"servers/{self.id}", entry)

    def stop(self):
        """End as a process does that is killed."""
        if self._is_stopped:
            return
        self._is_stopped = True
        # Without this, a thread that waits in accept keeps the socket open.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in list(self._socks):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


# Gateways.


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(
        self, directory, name, store_address, zone=ZONES[0], bounds=None, between=()
    ):
        self.name = name
        self._between = list(between)
        front, ready, metrics = (pick_port() for _ in range(3))
        self.front = f"{IP}:{front}"
        self.ready = f"{IP}:{ready}"
        self._metrics = metrics
        self._directory = pathlib.Path(directory)
        self.settings = self._directory / f"{name}.toml"
        self.log = self._directory / f"{name}.log"
        self.write_settings(store_address, zone, {**BOUNDS, **(bounds or {})})
        self.process = None

    def write_settings(self, store_address, zone, bounds):
        lines = [
            f'node_name = "{self.name}"',
            'role = "gateway"',
            'machine_class = "front"',
            'serves = ["front"]',
            f'ip = "{IP}"',
            f'zone = "{zone}"',
            'region = "region"',
            f"port_range = {self._between}",
            "seeds = []",
            "bootstrap = true",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeat_ms = 1200",
            "[zones]",
            *(f'{name} = "region"' for name in ZONES),
            "[listen]",
            f'front = "{self.front}"',
            f'ready_addr = "{self.ready}"',
            "[limits]",
            "cpu_share = 0.537",
            "cores = 2",
            "memory_mb = 300",
            "max_fds = 4100",
            "link_mbps = 1000.0",
            "disk_mb = 0",
            "[fault_tolerance]",
            "machines = 1",
            "zones = 1",
            "regions = 0",
            "[bounds]",
            *(f"{name} = {value}" for name, value in bounds.items()),
            "[platform]",
            f'address = "{store_address}"',
            'form = "kv"',
            "writes_per_s = 400",
            "reads_per_s = 2000",
            "history_s = 20",
            "value_bytes = 1048576",
            "min_ttl_ms = 1000",
        ]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "CORIANDERRILL_SETTINGS": str(self.settings),
            "CORIANDERRILL_METRICS_PORT": str(self._metrics),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.log, "ab") as log, Interrupts.deferred():
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def is_ready(self):
        try:
            with connect(self.ready, 1.0) as sock:
                sock.sendall(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return read_answer(Reader(sock)).status == 200
        except (OSError, Closed):
            return False

    def wait_ready(self, within_s=20.0):
        end = time.monotonic() + within_s
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise CannotRunError(f"{self.name} is not ready")
            time.sleep(0.05)

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Interrupts:
    """Signals that end the script; one that comes while a process starts waits."""

    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    _is_deferred = False
    _is_pending = False

    @classmethod
    def install(cls):
        for number in cls.numbers:
            signal.signal(number, cls._handle)

    @classmethod
    def ignore(cls):
        for number in cls.numbers:
            signal.signal(number, signal.SIG_IGN)

    @classmethod
    def _handle(cls, *_):
        if cls._is_deferred:
            cls._is_pending = True
        else:
            raise CannotRunError("interrupted")

    @classmethod
    @contextlib.contextmanager
    def deferred(cls):
        cls._is_deferred = True
        try:
            yield
        finally:
            cls._is_deferred = False
        if cls._is_pending:
            raise CannotRunError("interrupted")


class CannotRunError(Exception):
    """The case could not be set up."""


# Below those that the system gives to outgoing connections.
PORTS = range(12_000, 30_000)


def pick_port():
    """Return a free port; another process may take it before it is used."""
    while True:
        port = random.choice(PORTS)
        try:
            socket.create_server((IP, port)).close()
        except OSError:
            continue
        return port


class Rig:
    """What a case starts, and its record."""

    def __init__(self, case_directory):
        self.record = Record(pathlib.Path(case_directory) / "record.txt")
        self.directory = tempfile.mkdtemp(prefix="corianderrill-review-")
        self.store = Store(self.record)
        self.replicas = []
        self.gateways = []

    def add_replica(self, *arguments, clock_ahead_ms=0, **options):
        replica = Replica(self.record, *arguments, **options)
        replica.born += clock_ahead_ms
        self.replicas.append(replica)
        replica.register(self.store)
        self.record.write(f"{replica.id} starts, born {replica.born}")
        return replica

    def add_gateway(self, name="front-1", store_address=None, **options):
        address = store_address or self.store.address
        gateway = Gateway(self.directory, name, address, **options)
        self.gateways.append(gateway)
        return gateway

    def publish(self, document):
        at = self.store.put("op/config", document)
        self.record.write(f"operator: version {document['version']} acknowledged")
        return at

    def ask(self, gateway, raw, timeout_s=20.0):
        """Send a request on a new connection; return its answer, None if closed."""
        line, _, rest = raw.partition(b"\r\n")
        name = rest.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0].decode()
        self.record.write(f"client sent id={name} {line[:60]!r} ({len(raw)} bytes)")
        answer = None
        try:
            with connect(gateway.front, timeout_s) as sock:
                sock.sendall(raw)
                answer = read_answer(Reader(sock))
        except (Closed, OSError) as error:
            self.record.write(f"client got no answer id={name}: {error!r}")
        else:
            self.record.write(f"client got id={name} {answer}")
        return answer

    def check_calm(self, gateway, method, path, count=5):
        """Raise CannotRunError unless ordinary requests are served."""
        for _ in range(count):
            body = b"calm" if method != "GET" else b""
            answer = self.ask(gateway, build_request(method, path, new_id(), body=body))
            if answer is None or answer.status != 200:
                raise CannotRunError(f"in calm, {path} got {answer}")

    def stop(self):
        for gateway in self.gateways:
            gateway.stop()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()
        shutil.rmtree(self.directory, ignore_errors=True)


def build_route(name, prefix, service, **changes):
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "type": "unsafe",
        "timeout_ms": 5000,
        "latency_goal_ms": 500,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
        **changes,
    }


def build_configuration(version, routes, services, max_conns=26, **changes):
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "max_conns": max_conns} for name in services],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        **changes,
    }


def run_case(case_file, body):
    """Run `body(rig)`, which returns the breaches; exit as a case has to."""
    directory = pathlib.Path(case_file).parent
    if not (ROOT / "target" / "deps").exists():
        print("target/deps is missing: run the build of deploy/system.toml")
        sys.exit(EXIT_NOT_RUN)
    Interrupts.install()
    rig = Rig(directory)
    code = EXIT_NOT_RUN
    try:
        breaches = body(rig)
        for line in breaches:
            rig.record.write(f"BROKEN {line}")
            print(f"BROKEN {line}")
        code = EXIT_BROKEN if breaches else EXIT_HELD
        print("the rule was broken" if breaches else "the rule held")
    except CannotRunError as error:
        print(f"could not run: {error}")
    except Exception:
        traceback.print_exc()
        print("could not run: an error of the script")
    finally:
        Interrupts.ignore()
        rig.stop()
    rig.record.write(f"exit {code}")
    sys.stdout.flush()
    # Threads that still wait for an answer are not waited for.
    os._exit(code)


def count_by(values):
    return dict(collections.Counter(values))
