"""Runs one gateway process against fakes of the platform's store and servers."""

import contextlib
import http.client
import os
import pathlib
import signal
import sys

import eventlet
from eventlet.green import subprocess

from corianderrill.standins import host_settings, loopback, platform, platform_servers
from tests.utils import processes

TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
# The time within which a host has to apply a configuration, and within which it has to
# be in touch with the store again after an outage.
CONFIG_APPLY_S = 3.0
CONTACT_S = 4.0
GRACE_S = 6
HOST = "leno.example"
SHARDS = ("one", "two", "three")


def build_configuration(version=1, tenants=None, **route_changes):
    defaults = {"host": HOST, "priority": 1, "max_attempts": 2, "latency_goal_ms": 500}
    route_documents = [
        {
            **defaults,
            "name": "gather",
            "prefix": "/gather/",
            "type": "safe",
            "timeout_ms": 2000,
            "gather": list(SHARDS),
            "top_k": 3,
            "min_coverage": 0.6,
        },
        {
            **defaults,
            "name": "single",
            "prefix": "/single/",
            "type": "unsafe",
            "timeout_ms": 4000,
            "service": "single",
        },
    ]
    route_documents = [
        {**route, **route_changes.get(route["name"], {})} for route in route_documents
    ]
    services = [{"name": name, "max_conns": 26} for name in (*SHARDS, "single")]
    document = {"version": version, "routes": route_documents, "services": services}
    return document if tenants is None else {**document, "tenants": tenants}


class Alias(loopback.LoopbackServer):
    """Another address of a server; `paths` are those of its requests."""

    def __init__(self, server):
        self._server = server
        self.paths = []
        super().__init__()

    def handle_request(self, environ):
        self.paths.append(environ["PATH_INFO"])
        return self._server.handle_request(environ)


class GatewayHost:
    """One gateway process and its addresses."""

    def __init__(self, directory, name, store_address, **settings):
        self.name = name
        self.gateway_address, self.readiness_address, self.metrics_address = (
            processes.pick_address() for _ in range(3)
        )
        self.settings_path = pathlib.Path(directory) / f"{name}.toml"
        defaults = {
            "zone": "zone-a",
            "listen_address": self.gateway_address,
            "readiness_address": self.readiness_address,
            "store_address": str(store_address),
            "drain_ms": 3000,
            "grace_s": GRACE_S,
            "config_apply_ms": int(1000 * CONFIG_APPLY_S),
            "retry_ratio": 0.2,
            "retry_slack": 58,
        }
        file = host_settings.HostSettingsFile(name=name, **{**defaults, **settings})
        self.settings_path.write_text(file.render())
        self.store_address = str(store_address)
        self.process = None

    def change_store_address(self, address):
        """Write the settings again with another address of the store."""
        text = self.settings_path.read_text()
        changed = text.replace(self.store_address, str(address))
        self.settings_path.write_text(changed)
        self.store_address = str(address)

    def change_listen_address(self, address):
        """Write the settings again with another address for callers."""
        text = self.settings_path.read_text()
        self.settings_path.write_text(text.replace(self.gateway_address, address))

    def start(self):
        environment = {
            **os.environ,
            "CORIANDERRILL_SETTINGS": str(self.settings_path),
            "CORIANDERRILL_METRICS_PORT": self.metrics_address.rpartition(":")[2],
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "corianderrill.gateway"],
            env=environment,
            stdout=subprocess.PIPE,
        )

    def probe_readiness(self):
        connection = connect(self.readiness_address)
        try:
            connection.request("GET", "/api/ready")
            return connection.getresponse().status
        except OSError:
            return None
        finally:
            connection.close()

    def connect(self):
        return connect(self.gateway_address)

    def send_request(self, path, request_id="9c41", connection=None, **options):
        connection = connection or self.connect()
        method = "POST" if "body" in options else "GET"
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "2000",
            **options.pop("headers", {}),
        }
        connection.request(method, path, headers=headers, **options)
        response = connection.getresponse()
        return response, response.read()

    def signal(self, number):
        self.process.send_signal(number)

    def terminate(self):
        self.signal(signal.SIGTERM)

    def read_output(self):
        with eventlet.Timeout(TIMEOUT_S):
            output, _ = self.process.communicate()
        return output.decode()

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.communicate()


class GatewayRig:
    """Gateway processes, a fake store and fake backend servers.

    What is not defined here is an attribute of the first host.
    """

    def __init__(self, directory, **settings):
        self.store = platform.FakeStore()
        self.shard_servers = [
            platform_servers.FakeBackendServer(
                name, "zone-a", [bytes([65 + index]) * 16] * 2
            )
            for index, name in enumerate(SHARDS)
        ]
        self.single_server = platform_servers.FakeBackendServer("single", "zone-a")
        self._directory = directory
        self.hosts = []
        self.add_host("front-1", **settings)

    def __getattr__(self, name):
        return getattr(self.hosts[0], name)

    def add_host(self, name, **settings):
        """Write the settings of one more host; it is not started."""
        address = settings.pop("store_address", self.store.address)
        host = GatewayHost(self._directory, name, address, **settings)
        self.hosts.append(host)
        return host

    def publish_configuration(self, **changes):
        self.store.put("op/config", build_configuration(**changes))

    def register_servers(self):
        for server in (*self.shard_servers, self.single_server):
            server.register(self.store)

    def wait_until(self, condition):
        with eventlet.Timeout(TIMEOUT_S):
            while not condition():
                eventlet.sleep(POLL_INTERVAL_S)

    def wait_until_ready(self, host=None):
        host = host or self.hosts[0]
        self.wait_until(lambda: host.probe_readiness() == 200)

    def stop(self):
        for host in self.hosts:
            host.stop()
        for server in (*self.shard_servers, self.single_server, self.store):
            server.stop()


def connect(address):
    return http.client.HTTPConnection(address, timeout=TIMEOUT_S)


@contextlib.contextmanager
def run(directory, **settings):
    """Yield a rig whose gateway is ready."""
    rig = GatewayRig(directory, **settings)
    try:
        rig.publish_configuration()
        rig.register_servers()
        rig.start()
        rig.wait_until_ready()
        rig.wait_until(
            lambda: rig.send_request("/single/x", "warm-up")[0].status == 200
        )
        rig.wait_until(
            lambda: (
                rig.send_request("/gather/x", "warm-up")[0].headers["X-Missing-Parts"]
                == "0"
            )
        )
        yield rig
    finally:
        rig.stop()
