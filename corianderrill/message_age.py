"""Age of a received message, from the monotonic clocks of sender and receiver.

The clocks of two hosts differ by an unknown offset that drifts slowly. The smallest
difference seen between receive time and send time is the offset plus the shortest
network delay. What the difference of a message exceeds it by is the message's age.
A host that was paused thus detects that messages in its socket buffer are old.
"""

import dataclasses

MAX_CLOCK_DRIFT_RATE = 200e-6


@dataclasses.dataclass(slots=True)
class MessageAgeEstimator:
    """Estimates the age of messages from one incarnation of a sender."""

    _offset_s: float | None = None
    _last_sent_s: float = 0.0

    def estimate_age_s(self, sent_s: float, received_s: float) -> float:
        """Return the age of a message in seconds, and update the offset.

        The offset may rise only as fast as clocks drift, so that a burst of old
        messages does not raise it.
        """
        difference_s = received_s - sent_s
        if self._offset_s is None:
            self._offset_s = difference_s
        elapsed_s = max(0.0, sent_s - self._last_sent_s) if self._last_sent_s else 0.0
        max_offset_s = self._offset_s + elapsed_s * MAX_CLOCK_DRIFT_RATE
        self._offset_s = min(difference_s, max_offset_s)
        self._last_sent_s = max(sent_s, self._last_sent_s)
        return difference_s - self._offset_s
