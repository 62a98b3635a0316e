"""Hybrid logical clocks: stamps near the wall time that follow cause and effect.

Kulkarni, Demirbas, Madappa, Avva, Leone: "Logical Physical Clocks" (2014). A stamp
sent with each message and merged at its receipt makes an effect's stamp higher
than its cause's, however far the hosts' wall clocks differ.
"""

import dataclasses
import time
from collections.abc import Callable

from corianderrill import messages

# A stamp further ahead than this is not merged: one host with a wrong date must
# not carry the clocks of all others into the future.
MAX_AHEAD_MS = 60_000


def tick(last: messages.Stamp, wall_ms: int) -> messages.Stamp:
    """Return the stamp of a local event or of a message to send."""
    if wall_ms > last.wall_ms:
        return messages.Stamp(wall_ms, 0)
    return messages.Stamp(last.wall_ms, last.counter + 1)


def merge(last: messages.Stamp, seen: messages.Stamp, wall_ms: int) -> messages.Stamp:
    """Return the stamp of the receipt of a message that carries `seen`."""
    highest = max(last.wall_ms, seen.wall_ms, wall_ms)
    counters = [stamp.counter for stamp in (last, seen) if stamp.wall_ms == highest]
    return messages.Stamp(highest, max(counters, default=-1) + 1)


def get_sort_key(stamp: messages.Stamp) -> tuple[int, int]:
    """Return the key by which stamps are ordered."""
    return stamp.wall_ms, stamp.counter


def read_wall_ms() -> int:
    """Return the wall time in milliseconds since 1970."""
    return time.time_ns() // 1_000_000


@dataclasses.dataclass(slots=True)
class HybridClock:
    """The clock of one host.

    `refused` counts stamps that were too far ahead to be merged.
    """

    wall_ms: Callable[[], int] = read_wall_ms
    last: messages.Stamp = messages.Stamp()
    rejected_count: int = 0

    def stamp(self) -> messages.Stamp:
        """Return a stamp higher than any before it."""
        self.last = tick(self.last, self.wall_ms())
        return self.last

    def observe(self, seen: messages.Stamp) -> None:
        """Take in the stamp of a received message."""
        wall_ms = self.wall_ms()
        if seen.wall_ms > wall_ms + MAX_AHEAD_MS:
            self.rejected_count += 1
            return
        self.last = merge(self.last, seen, wall_ms)
