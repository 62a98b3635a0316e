"""How long a message was under way, from the monotonic clocks of both hosts.

The clocks of two hosts have an unknown, slowly drifting offset. The smallest
difference seen between receipt and sending stands for the offset with the shortest
delay; what a message takes beyond it is its age. A host that was paused thus sees
that the messages in its socket buffer are old.
"""

import dataclasses

MAX_CLOCK_DRIFT = 200e-6


@dataclasses.dataclass(slots=True)
class MessageAgeEstimator:
    """Ages of the messages of one incarnation of a sender."""

    _offset_s: float | None = None
    _sent_s: float = 0.0

    def estimate_age_s(self, sent_s: float, received_s: float) -> float:
        """Return the age of a message in seconds and learn from it.

        The learned offset may rise only as fast as clocks drift, so a burst of old
        messages does not become the new normal.
        """
        difference = received_s - sent_s
        if self._offset_s is None:
            self._offset_s = difference
        elapsed = max(0.0, sent_s - self._sent_s) if self._sent_s else 0.0
        allowed = self._offset_s + elapsed * MAX_CLOCK_DRIFT
        self._offset_s = min(difference, allowed)
        self._sent_s = max(sent_s, self._sent_s)
        return difference - self._offset_s
