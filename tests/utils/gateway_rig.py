"""A gateway as a process of its own, between stand-ins of the platform."""

import contextlib
import http.client
import os
import pathlib
import signal
import sys

import eventlet
from eventlet.green import subprocess

from corianderrill.standins import platform
from tests.utils import processes

WAIT_S = 30.0
STEP_S = 0.02
HOST = "leno.example"
SHARDS = ("one", "two", "three")


def build_configuration(version=1, **routes):
    base = {"host": HOST, "priority": 1, "max_attempts": 2, "latency_goal_ms": 500}
    given = [
        {
            **base,
            "name": "sweep",
            "prefix": "/sweep/",
            "type": "safe",
            "timeout_ms": 2000,
            "gather": list(SHARDS),
            "top_k": 3,
            "min_coverage": 0.6,
        },
        {
            **base,
            "name": "desk",
            "prefix": "/desk/",
            "type": "unsafe",
            "timeout_ms": 4000,
            "service": "desk",
        },
    ]
    given = [{**route, **routes.get(route["name"], {})} for route in given]
    services = [{"name": name, "max_conns": 26} for name in (*SHARDS, "desk")]
    return {"version": version, "routes": given, "services": services}


class GatewayRig:
    """The stand-ins and one gateway."""

    def __init__(self, directory):
        self.store = platform.FakeStore()
        self.shards = [
            platform.FakeBackendServer(name, "zone-a", [bytes([65 + index]) * 16] * 2)
            for index, name in enumerate(SHARDS)
        ]
        self.desk = platform.FakeBackendServer("desk", "zone-a")
        self.front, self.ready, self.metrics = (
            processes.pick_address() for _ in range(3)
        )
        self.file = pathlib.Path(directory) / "boot.toml"
        settings = platform.HostSettingsFile(
            name="front-1",
            zone="zone-a",
            front=self.front,
            ready=self.ready,
            store=str(self.store.address),
            drain_ms=3000,
            grace_s=6,
            config_apply_ms=3000,
            retry_ratio=0.2,
            retry_slack=58,
        )
        self.file.write_text(settings.render())
        self.process = None

    def publish(self, **changes):
        self.store.put("op/config", build_configuration(**changes))

    def register(self):
        for server in (*self.shards, self.desk):
            server.register(self.store)

    def start(self):
        environment = {
            **os.environ,
            "CORIANDERRILL_SETTINGS": str(self.file),
            "CORIANDERRILL_METRICS_PORT": self.metrics.rpartition(":")[2],
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "corianderrill.gateway"],
            env=environment,
            stdout=subprocess.PIPE,
        )

    def probe_readiness(self):
        connection = connect(self.ready)
        try:
            connection.request("GET", "/api/ready")
            return connection.getresponse().status
        except OSError:
            return None
        finally:
            connection.close()

    def wait_until(self, condition):
        with eventlet.Timeout(WAIT_S):
            while not condition():
                eventlet.sleep(STEP_S)

    def wait_until_ready(self):
        self.wait_until(lambda: self.probe_readiness() == 200)

    def connect(self):
        return connect(self.front)

    def ask(self, path, request_id="9c41", connection=None, **fields):
        connection = connection or self.connect()
        method = "POST" if "body" in fields else "GET"
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "2000",
            **fields.pop("headers", {}),
        }
        connection.request(method, path, headers=headers, **fields)
        reply = connection.getresponse()
        return reply, reply.read()

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def read_output(self):
        with eventlet.Timeout(WAIT_S):
            output, _ = self.process.communicate()
        return output.decode()

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.communicate()
        for server in (*self.shards, self.desk, self.store):
            server.stop()


def connect(address):
    return http.client.HTTPConnection(address, timeout=WAIT_S)


@contextlib.contextmanager
def run(directory):
    """Yield a rig whose gateway is ready."""
    rig = GatewayRig(directory)
    try:
        rig.publish()
        rig.register()
        rig.start()
        rig.wait_until_ready()
        rig.wait_until(lambda: rig.ask("/desk/x", "warm")[0].status == 200)
        rig.wait_until(
            lambda: rig.ask("/sweep/x", "warm")[0].headers["X-Missing-Parts"] == "0"
        )
        yield rig
    finally:
        rig.stop()
