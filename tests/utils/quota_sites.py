"""A small site of two gateways, whose workspaces have quotas over both."""

import contextlib
import json

import eventlet

from tests.utils import aggregator_zones, gateway_rig, virtual_quotas

KEY = "k-7d2f90b3"
FREE_KEY = "k-51c0aa4e"
REQUESTS_PER_S = 2
BURST = 2
TENANTS = [
    {"name": "kami", "api_keys": [KEY], "rate_per_s": REQUESTS_PER_S, "burst": BURST},
    {"name": "anu", "api_keys": [FREE_KEY]},
]
QUOTA_BOUNDS = {
    "quota_window_s": virtual_quotas.BOUNDS.window_s,
    "quota_excess": virtual_quotas.BOUNDS.excess,
    "quota_slack": virtual_quotas.BOUNDS.slack,
}
ZONE_SLOTS = {"aggregators/zone-a/0", "aggregators/zone-a/1"}


class QuotaSite:
    """Two hosts; each holds one of the two slots of their zone, if they can."""

    def __init__(self, directory, **settings):
        options = {"zones": ("zone-a",), "more_bounds": QUOTA_BOUNDS, **settings}
        port_range = aggregator_zones.pick_port_range()
        self.first_address = f"127.0.0.1:{port_range[0]}"
        self.rig = gateway_rig.GatewayRig(directory, port_range=port_range, **options)
        self.first = self.rig.hosts[0]
        self.second = self.rig.add_host(
            "front-2", port_range=aggregator_zones.pick_port_range(), **options
        )
        self.rig.publish_configuration(tenants=TENANTS)
        self.rig.register_servers()

    def start(self):
        for host in self.rig.hosts:
            host.start()
        for host in self.rig.hosts:
            self.rig.wait_until_ready(host)
        self.wait_for_slots()

    def wait_for_slots(self):
        self.rig.wait_until(lambda: self.rig.store.list_keys() >= ZONE_SLOTS)

    def send(self, host, request_id, key=KEY):
        """Send a request to a host; return the response."""
        headers = {"Authorization": f"Bearer {key}"}
        return host.send_request("/single/x", request_id, headers=headers)[0]

    def wait_for_answer(self, host, status=200):
        """Send requests until one has a status."""
        while self._try_send(host) != status:
            eventlet.sleep(0.1)

    def _try_send(self, host):
        try:
            return self.send(host, "w").status
        except OSError:
            return None

    def send_many(self, host, count, interval_s):
        """Send requests at an interval, without waiting for their responses."""
        sent = []
        for number in range(count):
            request_id = f"{host.name}-{number}"
            sent.append((request_id, eventlet.spawn(self.send, host, request_id)))
            eventlet.sleep(interval_s)
        return [(request_id, thread.wait()) for request_id, thread in sent]


def read_records(host):
    """Stop a host; return its log records."""
    host.terminate()
    return [json.loads(line)["record"] for line in host.read_output().splitlines()]


def read_metrics(host):
    """Return the text of a scrape."""
    connection = gateway_rig.connect(host.metrics_address)
    connection.request("GET", "/metrics")
    return connection.getresponse().read().decode()


@contextlib.contextmanager
def run(directory, **settings):
    """Yield a site whose hosts are ready and hold the slots."""
    site = QuotaSite(directory, **settings)
    try:
        site.start()
        yield site
    finally:
        site.rig.stop()
