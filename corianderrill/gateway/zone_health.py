"""Failure detection of availability zones that are cut off from this host.

A network partition shows only as missing replies, and a host that uses each replica
rarely would detect it one replica at a time. Overdue attempts are therefore counted by
zone: enough of them, all started after the zone's last reply, make the whole zone
suspect.
"""

import dataclasses
import math

from corianderrill import names

MIN_OVERDUE_ATTEMPTS = 4
# A suspicion without new overdue attempts ends after this time.
SUSPICION_S = 1.5


@dataclasses.dataclass(slots=True)
class _ZoneState:
    last_reply_at: float = -math.inf
    overdue_attempts: int = 0
    suspect_until: float = -math.inf


@dataclasses.dataclass(slots=True)
class ZoneFailureDetector:
    """Replies and overdue attempts of each zone.

    Times are in seconds of this host's monotonic clock.
    """

    _states: dict[names.ZoneName, _ZoneState] = dataclasses.field(default_factory=dict)

    def record_reply(self, name: names.ZoneName, now: float) -> None:
        """Record a reply of any kind from the zone; it clears the suspicion."""
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = _ZoneState()
        state.last_reply_at = now
        state.overdue_attempts = 0
        state.suspect_until = -math.inf

    def record_overdue_attempt(
        self, name: names.ZoneName, started_at: float, now: float
    ) -> bool:
        """Record an attempt without a reply; return whether the zone turns suspect."""
        state = self._states.setdefault(name, _ZoneState())
        if started_at <= state.last_reply_at:
            return False
        state.overdue_attempts += 1
        if state.overdue_attempts < MIN_OVERDUE_ATTEMPTS:
            return False
        was_suspect = now < state.suspect_until
        state.suspect_until = now + SUSPICION_S
        return not was_suspect

    def is_suspect(self, name: names.ZoneName, now: float) -> bool:
        """Return whether the zone is suspected to be cut off."""
        state = self._states.get(name)
        return state is not None and now < state.suspect_until
