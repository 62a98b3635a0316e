"""Backend servers that crash while they run a request with a certain path."""

import dataclasses
import socket
import time

import eventlet

from corianderrill.standins import platform_servers

CRASH_PATH = "/single/crash"
CRASH_QUERY_PATH = "/gather/crash"
RESTART_S = 1.0
LAPSE_S = 0.3


@dataclasses.dataclass(frozen=True)
class Run:
    at: float
    request_id: str


class CrashingServer(platform_servers.FakeBackendServer):
    """A replica that ends under `CRASH_PATH`, and is back as another instance.

    `runs` are those that ended it. `ends_with` is the path under which it ends.
    """

    def __init__(self, store, service="single", zone="zone-a", ends_with=CRASH_PATH):
        self.store = store
        self.runs = []
        self.ends_with = ends_with
        self.is_up = True
        self._connections = set()
        self._starts = 0
        super().__init__(service, zone)
        self.base_id = self.id

    def handle_request(self, environ):
        sock = environ["eventlet.input"].get_socket()
        self._connections.add(sock)
        path = environ["PATH_INFO"]
        is_own = environ.get("HTTP_X_EXPECT_INSTANCE") == self.id
        if path == self.ends_with and is_own and self.is_up:
            self.runs.append(Run(time.monotonic(), environ["HTTP_X_REQUEST_ID"]))
            self.crash()
        return super().handle_request(environ)

    def crash(self):
        """End at once; all connections break, and the entry lapses later."""
        self.is_up = False
        self.stop()
        for sock in self._connections:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        self._connections.clear()
        eventlet.spawn_after(LAPSE_S, self.store.remove, f"servers/{self.id}")
        eventlet.spawn_after(RESTART_S, self._restart)

    def _restart(self):
        self._starts += 1
        self.id = f"{self.base_id}-{self._starts}"
        self._listen((self.address.ip, self.address.port))
        self.is_up = True
        self.register(self.store)
