"""The requests that a host has read and not yet answered to the last byte."""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Protocol


class Forwarded(Protocol):
    """A request that was forwarded and has no outcome yet."""

    def handle_shutdown(self) -> None:
        """End the request now, as the process is about to exit."""


@dataclasses.dataclass(slots=True)
class InFlightRequests:
    """Counts requests while they are served, and until their response is written.

    A response that waits for a slow reader takes no processor time, but the process
    has to outlast it.
    """

    served: int = 0
    unwritten: int = 0
    forwarded: set[Forwarded] = dataclasses.field(default_factory=set)

    def begin(self) -> None:
        """Count a request that is about to be served."""
        self.served += 1
        self.unwritten += 1

    def end_serving(self) -> None:
        """Record that the response of a request is known."""
        self.served -= 1

    def end_writing(self) -> None:
        """Record that the response was written, or that its caller has left."""
        self.unwritten -= 1

    def end_forwarded(self) -> None:
        """End all requests that have no outcome, so that they can be answered."""
        for request in list(self.forwarded):
            request.handle_shutdown()


class ResponseBody:
    """A response body; the server calls `close` when it was written or can't be."""

    def __init__(self, body: bytes, on_close: Callable[[], None]) -> None:
        self._body = body
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        yield self._body

    def close(self) -> None:
        """Report the end of writing."""
        self._on_close()
