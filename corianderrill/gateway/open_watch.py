"""The watch that is open: one call that waits for changes and can be interrupted."""

import dataclasses
from collections.abc import Callable

import eventlet
from eventlet import greenthread

from corianderrill.gateway import watch_timing
from corianderrill.platform import store


@dataclasses.dataclass(frozen=True, slots=True)
class WatchReply:
    """Changes, and a time at which they were all that there was.

    The time is in seconds of the host's monotonic clock.
    """

    changes: store.Batch
    complete_at: float


@dataclasses.dataclass(slots=True)
class OpenWatch:
    """Sends one watch at a time, on a green thread of its own.

    `opened_at` is a time of `clock`, None unless a watch is open.
    """

    clock: Callable[[], float]
    opened_at: float | None = None
    _thread: greenthread.GreenThread | None = None

    def wait(
        self,
        call: Callable[[watch_timing.WatchTerms], store.Batch],
        terms: watch_timing.WatchTerms,
    ) -> WatchReply:
        """Send a watch and return its reply; raise StoreError if there is none."""
        opened_at = self.opened_at = self.clock()
        self._thread = eventlet.spawn(_catch_error, call, terms)
        try:
            result = self._thread.wait()
        finally:
            self._thread = None
            self.opened_at = None
        if isinstance(result, store.StoreError):
            raise result
        complete_at = self.clock()
        if not result.items:
            # A process that was frozen may read the reply late.
            complete_at = min(complete_at, opened_at + terms.wait_s)
        return WatchReply(result, complete_at - result.age_s)

    def interrupt(self, error: store.StoreError) -> None:
        """End the open watch, if any, with an error; its connection is closed."""
        if self._thread is not None:
            self._thread.kill(store.StoreError, error, None)


def _catch_error(
    call: Callable[[watch_timing.WatchTerms], store.Batch],
    terms: watch_timing.WatchTerms,
) -> store.Batch | store.StoreError:
    """Return an error instead of raising it; eventlet would print a traceback."""
    try:
        return call(terms)
    except store.StoreError as error:
        return error
