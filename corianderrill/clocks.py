"""Hybrid logical clocks: timestamps near wall time that respect causal order.

Kulkarni, Demirbas, Madappa, Avva, Leone: "Logical Physical Clocks" (2014). Each
message carries a stamp, and its receiver merges the stamp into its own clock. So an
effect has a higher stamp than its cause, however far the hosts' wall clocks differ.
"""

import dataclasses
import time
from collections.abc import Callable

from corianderrill import messages

# A stamp further ahead of the wall clock than this is not merged. Otherwise one host
# with a wrong date would move the clocks of all others into the future.
MAX_AHEAD_MS = 60_000


def compute_next_stamp(last: messages.Stamp, wall_ms: int) -> messages.Stamp:
    """Return the next stamp, for a local event or a message to send."""
    if wall_ms > last.wall_ms:
        return messages.Stamp(wall_ms, 0)
    return messages.Stamp(last.wall_ms, last.counter + 1)


def merge_stamps(
    last: messages.Stamp, received: messages.Stamp, wall_ms: int
) -> messages.Stamp:
    """Return the next stamp after receiving a message stamped `received`."""
    highest = max(last.wall_ms, received.wall_ms, wall_ms)
    counters = [stamp.counter for stamp in (last, received) if stamp.wall_ms == highest]
    return messages.Stamp(highest, max(counters, default=-1) + 1)


def get_sort_key(stamp: messages.Stamp) -> tuple[int, int]:
    """Return the key that sorts stamps in causal order."""
    return stamp.wall_ms, stamp.counter


def read_wall_ms() -> int:
    """Return the wall time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


@dataclasses.dataclass(slots=True)
class HybridClock:
    """The hybrid logical clock of one host.

    `wall_ms` is the function that reads the wall time. `rejected_count` is the number
    of stamps that were too far ahead to be merged.
    """

    wall_ms: Callable[[], int] = read_wall_ms
    last_stamp: messages.Stamp = messages.Stamp()
    rejected_count: int = 0

    def stamp(self) -> messages.Stamp:
        """Return a stamp higher than all stamps issued or merged before."""
        self.last_stamp = compute_next_stamp(self.last_stamp, self.wall_ms())
        return self.last_stamp

    def observe(self, received: messages.Stamp) -> None:
        """Merge the stamp of a received message, unless it is too far ahead."""
        wall_ms = self.wall_ms()
        if received.wall_ms > wall_ms + MAX_AHEAD_MS:
            self.rejected_count += 1
            return
        self.last_stamp = merge_stamps(self.last_stamp, received, wall_ms)
