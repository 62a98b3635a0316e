"""Deadlines on the monotonic clock of this process."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Deadline:
    """A point in time on the monotonic clock, in seconds."""

    at: float

    def remaining_s(self, now: float) -> float:
        """Return the seconds left, never below zero."""
        return max(0.0, self.at - now)

    def has_passed(self, now: float) -> bool:
        """Return whether the deadline is reached."""
        return now >= self.at


def deadline_after(now: float, timeout_s: float) -> Deadline:
    """Return the deadline `timeout_s` seconds after `now`."""
    return Deadline(now + timeout_s)
