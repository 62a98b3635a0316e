"""A server on the loopback address, for fakes of the users' platform."""

from collections.abc import Iterable
from typing import Any

import eventlet
from eventlet import wsgi

from corianderrill import names

KEEP_ALIVE_TIMEOUT_S = 5.0

HttpResponse = tuple[str, dict[str, str], bytes]


class _Protocol(wsgi.HttpProtocol):
    """Keeps the target of a request as it was sent."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ["RAW_REQUEST_TARGET"] = self.requestline.split()[1]
        return environ


class LoopbackServer:
    """A WSGI server on a free port of the loopback address."""

    def __init__(self) -> None:
        self._listen(("127.0.0.1", 0))
        self.address = names.Address(*self._listener.getsockname())

    def _listen(self, address: tuple[str, int]) -> None:
        self._listener = eventlet.listen(address)
        self._thread = eventlet.spawn(
            wsgi.server,
            self._listener,
            self._serve,
            log=wsgi.LoggerNull(),
            log_output=False,
            debug=False,
            keepalive=KEEP_ALIVE_TIMEOUT_S,
            protocol=_Protocol,
        )

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        status, headers, body = self.handle_request(environ)
        start_response(status, [*headers.items(), ("Content-Length", str(len(body)))])
        return [body]

    def handle_request(self, environ: dict[str, Any]) -> HttpResponse:
        """Return the status line, headers and body of the response."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop the server and close its listening socket."""
        self._thread.kill()
        self._listener.close()
