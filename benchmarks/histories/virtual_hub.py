"""A hub of eventlet whose time is virtual.

`sleep`, `spawn`, `Timeout` and `Event` then run in virtual time. Timers that are due at
once run in the order in which they were set, so a run repeats. Green threads that an
event wakes run in the order of their numbers: eventlet keeps them in a set.
"""

import contextlib
import dataclasses
import heapq
import itertools
import weakref
from collections.abc import Iterator
from typing import Protocol

import eventlet
import greenlet
from eventlet import event, hubs
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
        self._thread_numbers = itertools.count()
        # Of the timer that fires now; what it sets is ordered within this.
        self._firing_number = 0
        self._threads: weakref.WeakKeyDictionary[greenlet.greenlet, _Thread] = (
            weakref.WeakKeyDictionary()
        )
        # That of the timer which fires now.
        self._firing: Process | None = None

    def read_clock(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now

    def set_process(self, process: Process | None) -> None:
        """Let the current green thread, and what it starts, belong to a process."""
        self._get_thread(greenlet.getcurrent()).process = process

    def get_process(self) -> Process | None:
        """Return the process that the current green thread belongs to."""
        return self._get_thread(greenlet.getcurrent()).process

    def _get_thread(self, thread: greenlet.greenlet) -> "_Thread":
        if thread not in self._threads:
            number = next(self._thread_numbers)
            self._threads[thread] = _Thread(number, self._firing)
        return self._threads[thread]

    def add_timer(self, added: timer.Timer) -> float:
        """Schedule a timer of the process of the current green thread."""
        return self._add(self.now + added.seconds, added, self.get_process())

    def _add(self, at: float, added: timer.Timer, process: Process | None) -> float:
        entry = _Entry(self._compute_order(added), added, process)
        self.next_timers.append((at, entry))
        return at

    def _compute_order(self, added: timer.Timer) -> tuple[int, int, int]:
        callback, arguments, _ = added.tpl
        if getattr(callback, "__func__", None) is event.Event._do_send:
            waiter = arguments[-1]
            return self._firing_number, 1, self._get_thread(waiter).number
        return self._firing_number, 0, next(self._numbers)

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
        self._firing_number += 1
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


@dataclasses.dataclass(slots=True)
class _Thread:
    """A green thread: its number in the order of their first timers, its process."""

    number: int
    process: Process | None


class _Entry:
    """A timer with its place among those of the same time."""

    __slots__ = ("order", "process", "timer")

    def __init__(
        self, order: tuple[int, int, int], added: timer.Timer, process: Process | None
    ):
        self.order = order
        self.timer = added
        self.process = process

    @property
    def called(self) -> bool:
        """Whether the timer has fired or was canceled."""
        return self.timer.called

    def __lt__(self, other: "_Entry") -> bool:
        return self.order < other.order


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
