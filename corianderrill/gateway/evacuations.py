"""Evacuated availability zones, and how their replicas get requests again.

An evacuation is a key in the platform's store. While it is there, nothing is sent to
the replicas of the zone. After its removal each request draws whether it may use them.
The share of those that may grows in steps: all hosts learn of the removal within a few
seconds, and the replicas have been idle.
"""

import dataclasses
import random

from corianderrill import names

# The time since the return of a zone, in seconds, up to which this share of the
# requests may use its replicas.
RETURN_STEPS = ((2.0, 0.1), (4.0, 0.25), (6.0, 0.5), (8.0, 0.75))
RETURN_S = RETURN_STEPS[-1][0]

NO_ZONES: frozenset[names.ZoneName] = frozenset()


@dataclasses.dataclass(slots=True)
class Evacuations:
    """The evacuated zones as one host knows them.

    What is known stays until the store says something else. Times are in seconds of the
    host's monotonic clock.
    """

    _evacuated: frozenset[names.ZoneName] = NO_ZONES
    # Revisions of the store, in its present era.
    _revisions: dict[names.ZoneName, int] = dataclasses.field(default_factory=dict)
    _returned_at: dict[names.ZoneName, float] = dataclasses.field(default_factory=dict)

    def apply(
        self, zone: names.ZoneName, is_evacuated: bool, revision: int, now: float
    ) -> bool:
        """Set whether a zone is evacuated; return whether that is a change."""
        if revision <= self._revisions.get(zone, 0):
            return False
        self._revisions[zone] = revision
        if is_evacuated == (zone in self._evacuated):
            return False
        if is_evacuated:
            self._evacuated |= {zone}
            self._returned_at.pop(zone, None)
        else:
            self._evacuated -= {zone}
            self._returned_at[zone] = now
        return True

    def enter_era(self) -> None:
        """Take any revision for a new one, since the store counts them anew."""
        self._revisions.clear()

    def list_evacuated(self) -> frozenset[names.ZoneName]:
        """Return the zones that are evacuated."""
        return self._evacuated

    def compute_share(self, zone: names.ZoneName, now: float) -> float:
        """Return the share of the requests that may use a zone's replicas, 0 to 1."""
        if zone in self._evacuated:
            return 0.0
        returned_at = self._returned_at.get(zone)
        if returned_at is None:
            return 1.0
        since_s = now - returned_at
        return next((share for end_s, share in RETURN_STEPS if since_s < end_s), 1.0)

    def is_returning(self, zone: names.ZoneName) -> bool:
        """Return whether a zone's replicas do not get all their requests again yet."""
        return zone in self._returned_at

    def draw_held_back(
        self, now: float, rng: random.Random
    ) -> frozenset[names.ZoneName]:
        """Return the returning zones that one sub-request is not to use.

        It may use them if no other has a replica for it.
        """
        if not self._returned_at:
            return NO_ZONES
        return frozenset(
            zone
            for zone in self._returned_at
            if rng.random() >= self.compute_share(zone, now)
        )

    def drop_returned(self, now: float) -> list[names.ZoneName]:
        """Forget the returns that are complete; return their zones."""
        complete = [
            zone for zone, at in self._returned_at.items() if now - at >= RETURN_S
        ]
        for zone in complete:
            del self._returned_at[zone]
        return complete
