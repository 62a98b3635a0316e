"""Which availability zones seem cut off from this host.

A cut is silent, and a host that asks each replica seldom would learn of it replica
by replica. Attempts of one zone that wait long, while none sent since was answered,
are taken as one sign for the whole zone.
"""

import dataclasses
import math

from corianderrill import names

MIN_OVERDUE_ATTEMPTS = 4
SUSPICION_S = 1.5


@dataclasses.dataclass(slots=True)
class _Zone:
    answered_at: float = -math.inf
    signs: int = 0
    suspect_until: float = -math.inf


@dataclasses.dataclass(slots=True)
class ZoneFailureDetector:
    """Answers and silence of each zone. Times of the own clock, in seconds."""

    _zones: dict[names.ZoneName, _Zone] = dataclasses.field(default_factory=dict)

    def record_reply(self, name: names.ZoneName, now: float) -> None:
        """Note that a replica of the zone answered, whatever it said."""
        zone = self._zones.get(name)
        if zone is None:
            zone = self._zones[name] = _Zone()
        zone.answered_at = now
        zone.signs = 0
        zone.suspect_until = -math.inf

    def record_overdue_attempt(
        self, name: names.ZoneName, sent_at: float, now: float
    ) -> bool:
        """Note an attempt that waits long; true where that makes the zone suspect."""
        zone = self._zones.setdefault(name, _Zone())
        if sent_at <= zone.answered_at:
            return False
        zone.signs += 1
        if zone.signs < MIN_OVERDUE_ATTEMPTS:
            return False
        was_suspect = now < zone.suspect_until
        zone.suspect_until = now + SUSPICION_S
        return not was_suspect

    def is_suspect(self, name: names.ZoneName, now: float) -> bool:
        """Tell whether the zone seems cut off."""
        zone = self._zones.get(name)
        return zone is not None and now < zone.suspect_until
