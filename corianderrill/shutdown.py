"""Graceful shutdown of a host.

After the first signal the host reports that it is not ready, so that the load balancer
and the peers stop sending new work. New work of peers is refused at once; queries of
callers that still arrive are answered for a while. Then it refuses new queries as not
run, finishes the work in flight, its own and that for peers, and closes everything.
"""

import dataclasses
import enum
import time
from collections.abc import Callable

import eventlet

POLL_INTERVAL_S = 0.02


class Stage(enum.Enum):
    """A stage of the shutdown, in order."""

    SERVING = "serving"
    NOT_READY = "not-ready"
    DRAINING = "draining"
    CLOSED = "closed"


class CloseReason(enum.Enum):
    """Why the host closed."""

    FINISHED = "finished"
    GRACE_EXPIRED = "grace-over"
    SECOND_SIGNAL = "second-signal"


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceShutdown:
    """Report not ready, notify the peers, and refuse their new work as not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseQueries:
    """Refuse new queries from callers as not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Close everything; `cut_off` counts the work that was still in flight."""

    ending: CloseReason
    cut_off: int


Action = AnnounceShutdown | RefuseQueries | Close


@dataclasses.dataclass(slots=True)
class ShutdownSequence:
    """The shutdown of one host as a state machine, without I/O.

    Times are in seconds of the host's own clock. Queries are still accepted for
    `announce_s` after the first signal; those in flight then have `grace_s` to finish.
    """

    announce_s: float
    grace_s: float
    stage: Stage = Stage.SERVING
    signal_count: int = 0
    ending: CloseReason | None = None
    cut_off: int = 0
    _stage_ends_at: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer and the peers may send new work."""
        return self.stage is Stage.SERVING

    @property
    def accepts_queries(self) -> bool:
        """Whether new queries are answered."""
        return self.stage in (Stage.SERVING, Stage.NOT_READY)

    def handle_signal(self, now: float, in_flight: int) -> tuple[Action, ...]:
        """Start the shutdown; a second signal closes the host at once."""
        self.signal_count += 1
        if self.stage is Stage.SERVING:
            self.stage = Stage.NOT_READY
            self._stage_ends_at = now + self.announce_s
            return (AnnounceShutdown(), *self.advance(now, in_flight))
        if self.stage is Stage.CLOSED:
            return ()
        return (self._close(CloseReason.SECOND_SIGNAL, in_flight),)

    def advance(self, now: float, in_flight: int) -> tuple[Action, ...]:
        """Return the actions that are due now."""
        actions: tuple[Action, ...] = ()
        if self.stage is Stage.NOT_READY and now >= self._stage_ends_at:
            self.stage = Stage.DRAINING
            self._stage_ends_at = now + self.grace_s
            actions = (RefuseQueries(),)
        if self.stage is not Stage.DRAINING:
            return actions
        if not in_flight:
            return (*actions, self._close(CloseReason.FINISHED, 0))
        if now >= self._stage_ends_at:
            return (*actions, self._close(CloseReason.GRACE_EXPIRED, in_flight))
        return actions

    def _close(self, ending: CloseReason, cut_off: int) -> Close:
        self.stage = Stage.CLOSED
        self.ending = ending
        self.cut_off = cut_off
        return Close(ending, cut_off)


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownHooks:
    """The callbacks of a host for the actions of its shutdown."""

    announce_shutdown: Callable[[], None]
    refuse_queries: Callable[[], None]
    count_in_flight: Callable[[], int]
    close: Callable[[], None]


class ShutdownTask:
    """Runs the shutdown sequence of a host."""

    def __init__(
        self,
        sequence: ShutdownSequence,
        hooks: ShutdownHooks,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.sequence = sequence
        self._hooks = hooks
        self._clock = clock
        self._pending_signals = 0

    def handle_signal(self) -> None:
        """Record a signal; safe to call from a signal handler."""
        self._pending_signals += 1

    def run(self) -> Close:
        """Wait for a signal, shut down, and return how it ended."""
        while True:
            for action in self._step():
                match action:
                    case AnnounceShutdown():
                        self._hooks.announce_shutdown()
                    case RefuseQueries():
                        self._hooks.refuse_queries()
                    case Close():
                        self._hooks.close()
                        return action
            eventlet.sleep(POLL_INTERVAL_S)

    def _step(self) -> tuple[Action, ...]:
        now = self._clock()
        in_flight = self._hooks.count_in_flight()
        if self._pending_signals:
            self._pending_signals -= 1
            return self.sequence.handle_signal(now, in_flight)
        return self.sequence.advance(now, in_flight)
