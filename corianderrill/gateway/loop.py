"""The clock and the timers of the event loop, as an interface that tests replace."""

import time
from collections.abc import Callable
from typing import Protocol

from eventlet import hubs


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

    now = staticmethod(time.monotonic)

    @staticmethod
    def call_later(
        delay_s: float, callback: Callable[..., None], *arguments: object
    ) -> Timer:
        """Call `callback` after a delay in seconds."""
        return hubs.get_hub().schedule_call_global(delay_s, callback, *arguments)
