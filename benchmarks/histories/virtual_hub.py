"""A hub of eventlet whose time is virtual.

`sleep`, `spawn`, `Timeout` and `Event` then run in virtual time. Timers that are due at
once run in the order in which they were set, so a run repeats.
"""

import contextlib
import heapq
import itertools
import weakref
from collections.abc import Iterator
from typing import Protocol

import eventlet
import greenlet
from eventlet import hubs
from eventlet.hubs import hub, timer


class Process(Protocol):
    """Something whose green threads stand still while it is frozen."""

    frozen_until: float


class VirtualHub(hub.BaseHub):
    """A hub that sleeps by setting its clock forward.

    A green thread belongs to the process whose green thread started it, unless
    `set_process` says otherwise. A timer of a process that is frozen fires at its thaw.
    """

    def __init__(self) -> None:
        self.now = 0.0
        super().__init__(clock=self.read_clock)
        self._numbers = itertools.count()
        self._processes: weakref.WeakKeyDictionary[
            greenlet.greenlet, Process | None
        ] = weakref.WeakKeyDictionary()
        # That of the timer which fires now.
        self._firing: Process | None = None

    def read_clock(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now

    def set_process(self, process: Process | None) -> None:
        """Let the current green thread, and what it starts, belong to a process."""
        self._processes[greenlet.getcurrent()] = process

    def get_process(self) -> Process | None:
        """Return the process that the current green thread belongs to."""
        current = greenlet.getcurrent()
        if current not in self._processes:
            self._processes[current] = self._firing
        return self._processes[current]

    def add_timer(self, added: timer.Timer) -> float:
        """Schedule a timer of the process of the current green thread."""
        return self._add(self.now + added.seconds, added, self.get_process())

    def _add(self, at: float, added: timer.Timer, process: Process | None) -> float:
        self.next_timers.append((at, _Entry(next(self._numbers), added, process)))
        return at

    def fire_timers(self, when: float) -> None:
        """Fire the timers that are due; those of frozen processes wait."""
        while self.timers and self.timers[0][0] <= when:
            _, entry = heapq.heappop(self.timers)
            if entry.called:
                self.timers_canceled -= 1
            elif entry.process is not None and entry.process.frozen_until > when:
                self._add(entry.process.frozen_until, entry.timer, entry.process)
            else:
                self._fire(entry)

    def _fire(self, entry: "_Entry") -> None:
        self._firing = entry.process
        try:
            entry.timer()
        finally:
            self._firing = None

    def let_pass(self, seconds: float) -> None:
        """Let the time pass for all but the current green thread."""
        eventlet.sleep(seconds)

    def wait(self, seconds: float | None = None) -> None:
        """Let the time pass."""
        self.now += seconds or 0.0


class _Entry:
    """A timer with its place among those of the same time."""

    __slots__ = ("number", "process", "timer")

    def __init__(self, number: int, added: timer.Timer, process: Process | None):
        self.number = number
        self.timer = added
        self.process = process

    @property
    def called(self) -> bool:
        """Whether the timer has fired or was canceled."""
        return self.timer.called

    def __lt__(self, other: "_Entry") -> bool:
        return self.number < other.number


@contextlib.contextmanager
def use_hub() -> Iterator[VirtualHub]:
    """Run the green threads of this thread on a virtual hub until the end."""
    former = hubs.get_hub()
    virtual = VirtualHub()
    hubs._threadlocal.hub = virtual
    try:
        yield virtual
    finally:
        hubs._threadlocal.hub = former
