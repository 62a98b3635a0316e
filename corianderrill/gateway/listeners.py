"""Listening sockets whose errors don't end the server that accepts from them."""

import errno
import socket

import eventlet

from corianderrill import names
from corianderrill.gateway import event_log

# Until descriptors or memory may be free again.
RETRY_DELAY_S = 0.05
BACKLOG = 1024
# The connection was gone before it was accepted; the next one may be sound.
_GONE_ERRORS = (errno.ECONNABORTED, errno.ECONNRESET, errno.EPROTO)


class Listener:
    """A listening socket that accepts until it is closed."""

    def __init__(self, sock: object, log: event_log.EventLog) -> None:
        self._sock = sock
        self._log = log

    def __getattr__(self, name: str) -> object:
        return getattr(self._sock, name)

    def accept(self) -> tuple[object, tuple[str, int]]:
        """Return the next connection and the address of its other end.

        Raise OSError only if the socket is closed.
        """
        while True:
            try:
                return self._sock.accept()
            except OSError as error:
                if self._sock.fileno() < 0:
                    raise
                self._log.record(event_log.InternalError("accept", str(error)))
                if error.errno not in _GONE_ERRORS:
                    eventlet.sleep(RETRY_DELAY_S)


def listen(address: names.Address, log: event_log.EventLog) -> Listener:
    """Listen on an address. Raise OSError if it can't be bound."""
    sock = eventlet.listen((address.ip, address.port), socket.AF_INET, BACKLOG)
    return Listener(sock, log)
