"""Decides how long a watch may wait and when it counts as dead.

A watch that will never be answered looks like one with nothing to report. Each watch
therefore returns before the view is too old, with changes or without: the reply
confirms the view, and a reply that is missing shows that the watch is dead.

Times are in seconds; `max_apply_delay_s` is the time within which a host has to apply a
change.
"""

import dataclasses
import enum

# How long after its wait the reply to a watch may come, as a ratio of the time within
# which a host has to apply a change.
MARGIN_RATIO = 0.15
# A slow store answers within this time.
MAX_MARGIN_S = 0.6
# How long the reply to a read of all keys is waited for, as a ratio of the time within
# which a host has to apply a change. After one that is lost there is time for another.
READ_TIMEOUT_RATIO = 0.2
# A watch that does not wait returns what has changed so far.
MIN_WAIT_S = 0.01
# The delay before the watch that follows some changes, as a ratio of the time within
# which a host has to apply one. With it, one call returns several changes that follow
# each other quickly. The ratio grows with the number of hosts that watch the store.
BATCH_DELAY_RATIO = 0.3
BATCH_DELAY_RATIO_PER_HOST = 0.004
MAX_BATCH_DELAY_RATIO = 0.55


class Source(enum.Enum):
    """What answers a watch.

    The value is the age of the view at which a reply is due, as a ratio of the time
    within which a host has to apply a change. A change may reach a host by way of an
    aggregator, so the last two ratios and their margins add up.
    """

    STORE = 0.65
    STORE_FOR_AGGREGATOR = 0.45
    AGGREGATOR = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class WatchTerms:
    """How long a watch may be held open, and how long its reply is waited for."""

    wait_s: float
    timeout_s: float


@dataclasses.dataclass(slots=True)
class WatchTiming:
    """The times of watches, from the time within which a change has to apply.

    `host_count` is the number of hosts that watch the store, `batch_delay_ratio` the
    batch delay of a single one as a ratio of that time.
    """

    max_apply_delay_s: float = 3.0
    host_count: float = 0.0
    batch_delay_ratio: float = BATCH_DELAY_RATIO

    def get_margin_s(self) -> float:
        """Return how long after its wait the reply to a watch may come."""
        return min(MARGIN_RATIO * self.max_apply_delay_s, MAX_MARGIN_S)

    def get_read_timeout_s(self) -> float:
        """Return how long after its sending the reply to a read may begin."""
        return READ_TIMEOUT_RATIO * self.max_apply_delay_s

    def get_interval_s(self, source: Source) -> float:
        """Return the time between the replies of a source."""
        return source.value * self.max_apply_delay_s

    def get_max_age_s(self, source: Source) -> float:
        """Return the age of a view above which a reply is missing."""
        return self.get_interval_s(source) + self.get_margin_s()

    def compute_batch_delay_s(self, source: Source) -> float:
        """Return the delay before the watch that follows some changes."""
        match source:
            case Source.STORE:
                more = BATCH_DELAY_RATIO_PER_HOST * self.host_count
                ratio = min(self.batch_delay_ratio + more, MAX_BATCH_DELAY_RATIO)
            case _:
                # What an aggregator reads late reaches other hosts later.
                ratio = self.batch_delay_ratio
        return ratio * self.max_apply_delay_s

    def compute_terms(self, source: Source, view_age_s: float) -> WatchTerms:
        """Return the terms of the next watch; the age is infinite for a new host."""
        interval_s = self.get_interval_s(source)
        match source:
            case Source.AGGREGATOR if view_age_s <= self.max_apply_delay_s:
                # The age may be the aggregator's, which a shorter wait does not lower.
                wait_s = interval_s
            case _:
                wait_s = max(interval_s - view_age_s, MIN_WAIT_S)
        return WatchTerms(wait_s, wait_s + self.get_margin_s())
