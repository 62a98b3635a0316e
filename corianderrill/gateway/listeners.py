"""Listening sockets whose errors don't end the server that accepts from them."""

import errno
import socket

import eventlet
from eventlet import event

from corianderrill import names
from corianderrill.gateway import event_log

# Until descriptors or memory may be free again.
RETRY_DELAY_S = 0.05
BACKLOG = 1024
# The connection was gone before it was accepted; the next one may be sound.
_GONE_ERRORS = (errno.ECONNABORTED, errno.ECONNRESET, errno.EPROTO)


class _StoppedError(Exception):
    """The listener is stopped while it waits for a connection."""


class Listener:
    """A listening socket that accepts until it is stopped."""

    def __init__(self, sock: object, log: event_log.EventLog) -> None:
        self._sock = sock
        self._log = log
        self._is_stopped = False
        # The green thread that waits for a connection.
        self._acceptor: object | None = None

    def __getattr__(self, name: str) -> object:
        return getattr(self._sock, name)

    def accept(self) -> tuple[object, tuple[str, int]]:
        """Return the next connection and the address of its other end.

        Once the listener is stopped, this never returns: when the loop of the WSGI
        server ends, it shuts down connections on which requests may have arrived.
        """
        while not self._is_stopped:
            try:
                return self._accept()
            except _StoppedError:
                break
            except OSError as error:
                if self._sock.fileno() < 0:
                    raise
                self._log.record(event_log.InternalError("accept", str(error)))
                if error.errno not in _GONE_ERRORS:
                    eventlet.sleep(RETRY_DELAY_S)
        return event.Event().wait()

    def _accept(self) -> tuple[object, tuple[str, int]]:
        self._acceptor = eventlet.getcurrent()
        try:
            return self._sock.accept()
        finally:
            self._acceptor = None

    def stop(self) -> None:
        """Accept the connections that are established, and refuse later ones."""
        # The loop that accepts gets its turn once more.
        eventlet.sleep(0)
        self._is_stopped = True
        if self._acceptor is not None:
            eventlet.kill(self._acceptor, _StoppedError)
        self._sock.close()
        # The connections that were accepted last are set up.
        eventlet.sleep(0)


def listen(address: names.Address, log: event_log.EventLog) -> Listener:
    """Listen on an address. Raise OSError if it can't be bound."""
    sock = eventlet.listen((address.ip, address.port), socket.AF_INET, BACKLOG)
    return Listener(sock, log)
