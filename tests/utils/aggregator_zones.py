"""A zone of two gateways, of which one is an aggregator."""

import contextlib

import eventlet

from tests.utils import gateway_rig, processes

# Sized for 80 hosts, so that aggregators are wanted.
RETRY_SLACK = 200
# Lets a host that has just started send a query again that its aggregator did not take.
RETRY_RATIO = 20


def pick_port_range():
    port = int(processes.pick_address().rpartition(":")[2])
    return [port, port]


class Zone:
    """Two hosts: the first one, with more capacity, is the aggregator."""

    def __init__(self, directory):
        options = {"retry_slack": RETRY_SLACK, "retry_ratio": RETRY_RATIO}
        self.port_range = pick_port_range()
        self.rig = gateway_rig.GatewayRig(
            directory, port_range=self.port_range, cpu_share=60.0, **options
        )
        self.aggregator = self.rig.hosts[0]
        self.entry = self.rig.add_host(
            "front-2", port_range=pick_port_range(), cpu_share=0.1, **options
        )
        self.rig.publish_configuration()
        self.rig.register_servers()

    @property
    def aggregation_address(self):
        """The address at which the aggregator answers other hosts."""
        ip, _, _ = self.aggregator.gateway_address.partition(":")
        return f"{ip}:{self.port_range[0]}"

    def start(self):
        """Start the aggregator, and the other host once its slot is taken."""
        for host in self.rig.hosts:
            host.start()
            self.rig.wait_until_ready(host)
            self.rig.wait_until(
                lambda: "aggregators/zone-a/0" in self.rig.store.list_keys()
            )

    def publish(self, version, prefix):
        self.rig.publish_configuration(version=version, single={"prefix": prefix})

    def wait_for(self, host, path, status):
        while host.send_request(path)[0].status != status:
            eventlet.sleep(gateway_rig.POLL_INTERVAL_S)


@contextlib.contextmanager
def run(directory):
    """Yield a zone whose hosts are ready, the second one behind the first."""
    zone = Zone(directory)
    try:
        zone.start()
        yield zone
    finally:
        zone.rig.stop()
