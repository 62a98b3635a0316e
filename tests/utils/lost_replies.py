"""A gateway whose store loses replies to it while stale reads are seconds behind."""

import contextlib
import time

import eventlet

from corianderrill.standins import store_addresses
from tests.utils import gateway_rig

STALE_S = 5.0
LOSS_S = 0.5
WATCH_PATH = "/api/kv-watch"


class LossyStore:
    """The store as one host reaches it."""

    def __init__(self, store):
        self.store = store
        self.door = store_addresses.StoreAddress(store)
        self.address = self.door.address

    def wait_for_probe(self):
        """Wait until a stale read was answered, so that none is due at once."""
        answered = self.store.stale_read_count
        with eventlet.Timeout(gateway_rig.TIMEOUT_S):
            while self.store.stale_read_count == answered:
                eventlet.sleep(0.005)

    def lose_watch_reply(self, change):
        """Lose the reply to the open watch, which would tell of a change.

        Return when the change was made.
        """
        self.wait_for_probe()
        self.door.begin_loss()
        changed_at = time.monotonic()
        change()
        eventlet.sleep(LOSS_S)
        self.door.end_loss()
        assert WATCH_PATH in self.door.lost_paths
        return changed_at

    def stop(self):
        self.door.stop()


@contextlib.contextmanager
def run(directory, host_count=1):
    """Yield a rig of ready gateways, and the lossy store of all of them."""
    rig = gateway_rig.GatewayRig(directory)
    for number in range(2, host_count + 1):
        rig.add_host(f"front-{number}")
    lossy = LossyStore(rig.store)
    try:
        rig.publish_configuration()
        rig.register_servers()
        for host in rig.hosts:
            host.change_store_address(lossy.address)
            host.start()
        for host in rig.hosts:
            rig.wait_until_ready(host)
        rig.store.delay_stale_reads(STALE_S)
        yield rig, lossy
    finally:
        lossy.stop()
        rig.stop()
