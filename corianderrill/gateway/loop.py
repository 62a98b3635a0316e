"""The clock and the timers of the event loop, as an interface that tests replace.

The clock also counts the time for which the host was suspended. What ran out meanwhile,
such as a deadline or the trust in what the store said, has run out when it resumes.
"""

import time
from collections.abc import Callable
from typing import Protocol

from eventlet import hubs


def read_clock() -> float:
    """Return the time since the host started, suspensions included, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


class Loop(Protocol):
    """A monotonic clock and timers."""

    def now(self) -> float:
        """Return the time of a monotonic clock, in seconds."""

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *arguments: object
    ) -> Timer:
        """Call `callback` after a delay in seconds."""


class EventletLoop:
    """The event loop of eventlet."""

    now = staticmethod(read_clock)

    @staticmethod
    def call_later(
        delay_s: float, callback: Callable[..., None], *arguments: object
    ) -> Timer:
        """Call `callback` after a delay in seconds."""
        return hubs.get_hub().schedule_call_global(delay_s, callback, *arguments)
