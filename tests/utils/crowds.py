"""Crowds of hostile clients against one gateway process, and bounds on the process.

What a crowd sends is bounded in bytes and in time; it stops earlier where the gateway
closes the connection or stops reading.
"""

import contextlib
import os
import pathlib
import socket
import time

import eventlet

from tests.utils import gateway_rig, processes

# Below the memory of the smallest host.
MEMORY_MB = 100
MAX_DESCRIPTORS = 60
CROWD_SIZE = 32
SECONDS_AT_MOST = 10.0
# A client whose bytes are not read for this long stops sending.
STALL_S = 1.0
SAMPLE_INTERVAL_S = 0.02
QUIET_S = 1.0
PIECE_BYTES = 65_536
FLOOD_BYTES = 16 * 1_048_576
# For requests that are asked beside a crowd; no test measures their time.
DEADLINE_MS = "20000"

HEAD = f"GET /single/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n".encode()
POST_HEAD = (
    f"POST /single/x HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
    f"X-Request-Id: crowd\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
).encode()
CHUNKED_HEAD = POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class Process:
    """What a running process uses, by the records of the kernel."""

    def __init__(self, process):
        self._process = process
        self._directory = pathlib.Path("/proc") / str(process.pid)
        self.most_descriptors = 0
        self._sampler = eventlet.spawn(self._sample)

    def _sample(self):
        while self.is_alive():
            self.count_descriptors()
            eventlet.sleep(SAMPLE_INTERVAL_S)

    def count_descriptors(self):
        """Record the number of descriptors that are open now."""
        with contextlib.suppress(FileNotFoundError):
            count = len(os.listdir(self._directory / "fd"))
            self.most_descriptors = max(self.most_descriptors, count)

    def is_alive(self):
        return self._process.poll() is None

    def read_peak_memory(self):
        """Return the greatest resident memory so far, in bytes."""
        for line in (self._directory / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return 1024 * int(line.split()[1])
        raise AssertionError("the process has no resident memory")

    def stop(self):
        self._sampler.kill()


class Crowd:
    """Connections to one address, each of which sends the same."""

    def __init__(self, address, size=CROWD_SIZE):
        ip, _, port = address.partition(":")
        self._address = (ip, int(port))
        self._size = size
        self._connections = []

    def connect(self, receive_buffer_bytes=None):
        """Open the connections; they stay open until the crowd is closed."""
        for _ in range(self._size):
            connection = socket.socket()
            if receive_buffer_bytes is not None:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
                )
            connection.settimeout(STALL_S)
            self._connections.append(connection)
            with contextlib.suppress(OSError):
                connection.connect(self._address)

    def send(self, opening, piece=b"", total_bytes=0, pause_s=0.0):
        """Send an opening and then a piece again and again, from all connections."""
        pool = eventlet.GreenPool(self._size)
        ends_at = time.monotonic() + SECONDS_AT_MOST
        for connection in self._connections:
            pool.spawn(_send, connection, opening, piece, total_bytes, pause_s, ends_at)
        pool.waitall()

    def close(self):
        for connection in self._connections:
            connection.close()


def _send(connection, opening, piece, total_bytes, pause_s, ends_at):
    sent_bytes = 0
    with contextlib.suppress(OSError):
        connection.sendall(opening)
        while sent_bytes < total_bytes and time.monotonic() < ends_at:
            connection.sendall(piece)
            sent_bytes += len(piece)
            eventlet.sleep(pause_s)


def repeat(line):
    """Return a piece of whole lines that is worth a system call."""
    return line * (PIECE_BYTES // len(line) or 1)


class Scene:
    """One gateway process with lowered limits, and the crowd that besets it."""

    def __init__(self, directory):
        self.port_for_hosts = int(processes.pick_address().rpartition(":")[2])
        self.rig = gateway_rig.GatewayRig(
            directory,
            port_range=[self.port_for_hosts],
            more_limits={"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS},
        )
        self.process = None
        self._crowds = []

    def start(self, **limits):
        configuration = {**gateway_rig.build_configuration(), "limits": limits}
        self.rig.store.put("op/config", configuration)
        self.rig.register_servers()
        self.rig.start()
        self.rig.wait_until_ready()
        self.rig.wait_until(
            lambda: self.rig.send_request("/single/x", "warm-up")[0].status == 200
        )
        self.process = Process(self.rig.process)

    def gather_crowd(self, address=None, size=CROWD_SIZE, **options):
        crowd = Crowd(address or self.rig.gateway_address, size)
        self._crowds.append(crowd)
        crowd.connect(**options)
        return crowd

    def wait_for_quiet(self):
        """Wait until the replicas have no new requests."""
        server = self.rig.single_server
        seen_count = -1
        while len(server.requests) != seen_count:
            seen_count = len(server.requests)
            eventlet.sleep(QUIET_S)

    def check(self):
        """Check the process, and one ordinary request beside the open connections."""
        response, body = self.rig.send_request(
            "/single/x",
            "ordinary",
            body=b"question",
            headers={"X-Deadline-Ms": DEADLINE_MS},
        )
        self.process.count_descriptors()
        peak_memory = self.process.read_peak_memory()
        seen = (
            f"peak memory {peak_memory / 1e6:.0f} MB, "
            f"{self.process.most_descriptors} descriptors, status {response.status}"
        )
        assert self.process.is_alive(), seen
        assert peak_memory < MEMORY_MB * 1_000_000, seen
        assert self.process.most_descriptors < MAX_DESCRIPTORS, seen
        assert (response.status, body) == (200, b"question"), seen

    def stop(self):
        for crowd in self._crowds:
            crowd.close()
        if self.process is not None:
            self.process.stop()
        self.rig.stop()
