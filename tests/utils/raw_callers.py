"""Callers that misbehave on raw sockets."""

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
    """Open a connection that gives up on silence."""
    return socket.create_connection(address, timeout=TIMEOUT_S)


def read_reply(connection: socket.socket) -> bytes:
    """Read until the server ends the connection, or a whole reply without body."""
    got = b""
    with contextlib.suppress(ConnectionError):
        while part := connection.recv(65_536):
            got += part
    return got


def exchange(address: tuple[str, int], sent: bytes) -> bytes:
    """Send bytes on a connection of their own and read all that comes back."""
    with connect(address) as connection:
        with contextlib.suppress(ConnectionError):
            connection.sendall(sent)
            connection.shutdown(socket.SHUT_WR)
        return read_reply(connection)
