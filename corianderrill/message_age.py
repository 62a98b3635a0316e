"""Age of a received message, from the monotonic clocks of sender and receiver.

The clocks of two hosts differ by an unknown offset that drifts slowly. The smallest
difference seen between receive time and send time is the offset plus the shortest
network delay. The age of a message is its own difference minus this smallest one. A
host that was paused thus detects that messages in its socket buffer are old.
"""

import dataclasses

MAX_CLOCK_DRIFT_RATE = 200e-6  # Seconds per second.


@dataclasses.dataclass(slots=True)
class MessageAgeEstimator:
    """Estimates the age of messages from one incarnation of a sender."""

    _min_difference_s: float | None = None
    _latest_sent_s: float = 0.0

    def estimate_age_s(self, sent_s: float, received_s: float) -> float:
        """Return the age of a message in seconds, and update the smallest difference.

        The smallest difference rises only as fast as clocks drift, so that a burst of
        old messages does not count as the new shortest delay.
        """
        difference_s = received_s - sent_s
        if self._min_difference_s is None:
            self._min_difference_s = difference_s
        elapsed_s = (
            max(0.0, sent_s - self._latest_sent_s) if self._latest_sent_s else 0.0
        )
        max_difference_s = self._min_difference_s + elapsed_s * MAX_CLOCK_DRIFT_RATE
        self._min_difference_s = min(difference_s, max_difference_s)
        self._latest_sent_s = max(sent_s, self._latest_sent_s)
        return difference_s - self._min_difference_s
