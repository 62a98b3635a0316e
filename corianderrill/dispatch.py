"""Sends sub-requests of this host's queries and delivers their results."""

from collections.abc import Callable
from typing import Protocol

import eventlet

from corianderrill import attempts, backends, directory

ResultCallback = Callable[[attempts.AttemptResult], None]


class Dispatcher(Protocol):
    """Sends sub-requests without blocking."""

    def send(self, sub_request: attempts.SubRequest, deliver: ResultCallback) -> None:
        """Start an attempt; `deliver` gets its result once, or never."""

    def cancel(self, sub_request: attempts.SubRequest) -> None:
        """Give up an attempt whose result is no longer wanted."""


class DirectDispatcher:
    """Sends every sub-request over this host's own connections."""

    def __init__(self, servers: directory.Directory, pools: backends.BackendPools):
        self._servers = servers
        self._pools = pools

    def send(self, sub_request: attempts.SubRequest, deliver: ResultCallback) -> None:
        """Start an attempt in a green thread of its own."""
        eventlet.spawn_n(self._execute, sub_request, deliver)

    def cancel(self, sub_request: attempts.SubRequest) -> None:
        """Tell the backend server that the attempt is given up."""
        server = self._servers.find(sub_request.replica)
        if server is not None and sub_request.idempotent:
            eventlet.spawn_n(self._pools.cancel, server, sub_request.attempt_id)

    def _execute(
        self, sub_request: attempts.SubRequest, deliver: ResultCallback
    ) -> None:
        deliver(self.execute(sub_request))

    def execute(self, sub_request: attempts.SubRequest) -> attempts.AttemptResult:
        """Run one attempt to its end."""
        server = self._servers.find(sub_request.replica)
        if server is None:
            kind = attempts.RefusalKind.NO_CONNECTION
            return attempts.Refused(sub_request.attempt_id, kind)
        return self._pools.execute(server, sub_request)
