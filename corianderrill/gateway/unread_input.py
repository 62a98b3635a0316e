"""What has arrived on a connection and was not read yet."""

import enum
import socket


class Arrival(enum.Enum):
    """What the next read of a connection would find."""

    NOTHING = 1
    BYTES = 2
    # The other end has closed or reset the connection.
    END = 3


def peek(sock: object) -> Arrival:
    """Return what has arrived on a green socket, without reading it or waiting."""
    try:
        received = sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return Arrival.NOTHING
    except OSError:
        return Arrival.END
    return Arrival.BYTES if received else Arrival.END
