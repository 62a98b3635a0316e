"""Dispatch of sub-requests of this host's queries, and delivery of their results."""

from collections.abc import Callable
from typing import Protocol

import eventlet

from corianderrill import attempts, backends, directory

ResultCallback = Callable[[attempts.AttemptResult], None]


class Dispatcher(Protocol):
    """Sends sub-requests without blocking."""

    def send(self, sub_request: attempts.SubRequest, on_result: ResultCallback) -> None:
        """Start an attempt; `on_result` is called with its result at most once."""

    def cancel(self, sub_request: attempts.SubRequest) -> None:
        """Cancel an attempt whose result is no longer needed.

        An attempt that is not idempotent may still run to its end.
        """


class DirectDispatcher:
    """Sends every sub-request over this host's own connections."""

    def __init__(
        self, server_directory: directory.Directory, pools: backends.BackendPools
    ):
        self._directory = server_directory
        self._pools = pools

    def send(self, sub_request: attempts.SubRequest, on_result: ResultCallback) -> None:
        """Start an attempt in its own green thread."""
        eventlet.spawn_n(self._execute_and_report, sub_request, on_result)

    def cancel(self, sub_request: attempts.SubRequest) -> None:
        """Ask the backend server to cancel the attempt, if it is idempotent."""
        server = self._directory.find(sub_request.replica)
        if server is not None and sub_request.idempotent:
            eventlet.spawn_n(self._pools.cancel, server, sub_request.attempt_id)

    def _execute_and_report(
        self, sub_request: attempts.SubRequest, on_result: ResultCallback
    ) -> None:
        on_result(self.execute(sub_request))

    def execute(self, sub_request: attempts.SubRequest) -> attempts.AttemptResult:
        """Run an attempt and return its result."""
        server = self._directory.find(sub_request.replica)
        # The replica is not in the host list.
        if server is None:
            kind = attempts.RefusalKind.NO_CONNECTION
            return attempts.Refused(sub_request.attempt_id, kind)
        return self._pools.execute(server, sub_request)
