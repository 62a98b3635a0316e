"""HTTP callers on raw sockets, which can send malformed or slow requests."""

import contextlib
import socket
from collections.abc import Iterator

import eventlet

from corianderrill import metrics, serving

TIMEOUT_S = 10.0
BOUNDS = serving.Bounds(
    connections_at_most=8, body_bytes_at_most=1_024, slow_sender_s=0.3, idle_s=30.0
)


@contextlib.contextmanager
def serve(
    application: object, bounds: serving.Bounds = BOUNDS
) -> Iterator[tuple[tuple[str, int], metrics.Recorder]]:
    """Serve an application; yield the address and the metrics of the server."""
    recorder = metrics.Recorder()
    listener = eventlet.listen(("127.0.0.1", 0))
    address = listener.getsockname()
    server = eventlet.spawn(serving.serve, listener, application, bounds, recorder)
    try:
        yield address, recorder
    finally:
        server.kill()


def connect(address: tuple[str, int]) -> socket.socket:
    """Open a connection with a timeout for each socket operation."""
    return socket.create_connection(address, timeout=TIMEOUT_S)


def read_until_close(connection: socket.socket) -> bytes:
    """Read until the server closes the connection."""
    received = b""
    with contextlib.suppress(ConnectionError):
        while data := connection.recv(65_536):
            received += data
    return received


def exchange(address: tuple[str, int], request_bytes: bytes) -> bytes:
    """Send bytes on a new connection and read until the server closes it."""
    with connect(address) as connection:
        with contextlib.suppress(ConnectionError):
            connection.sendall(request_bytes)
            connection.shutdown(socket.SHUT_WR)
        return read_until_close(connection)
