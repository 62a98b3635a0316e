"""Time as the gateway uses it: the clock and the timers of the event loop."""

import time
from collections.abc import Callable
from typing import Protocol

from eventlet import hubs


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Do not make the call."""


class Loop(Protocol):
    """The clock and the timers."""

    def now(self) -> float:
        """Return the time of a steady clock, in seconds."""

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *arguments: object
    ) -> Timer:
        """Call back after a delay in seconds."""


class EventletLoop:
    """The event loop of eventlet."""

    now = staticmethod(time.monotonic)

    @staticmethod
    def call_later(
        delay_s: float, callback: Callable[..., None], *arguments: object
    ) -> Timer:
        """Call back after a delay in seconds."""
        return hubs.get_hub().schedule_call_global(delay_s, callback, *arguments)
