"""Former states of the fake store, for reads that may be stale."""

import bisect
import dataclasses
import time
from collections.abc import Mapping
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """What the store held from a time on, in seconds of the monotonic clock."""

    since: float
    items: Mapping[str, Any]
    revision: int
    era: int


class StoreVersions:
    """The versions of the last `age_s` seconds; nothing is kept while that is 0."""

    def __init__(self) -> None:
        self.age_s = 0.0
        self._versions: list[Version] = []

    def begin(
        self, age_s: float, items: Mapping[str, Any], revision: int, era: int
    ) -> None:
        """Keep versions from now on; what there is now has been so for long."""
        if not self.age_s:
            self._versions = [Version(0.0, dict(items), revision, era)]
        self.age_s = age_s

    def end(self) -> None:
        """Keep no versions any more."""
        self.age_s = 0.0
        self._versions = []

    def keep(self, items: Mapping[str, Any], revision: int, era: int) -> None:
        """Keep the version that begins now."""
        if not self.age_s:
            return
        now = time.monotonic()
        del self._versions[: self._find(now)]
        self._versions.append(Version(now, dict(items), revision, era))

    def find_stale(self) -> Version | None:
        """Return the version of `age_s` ago; None if none are kept."""
        if not self.age_s:
            return None
        return self._versions[self._find(time.monotonic())]

    def _find(self, now: float) -> int:
        times = [version.since for version in self._versions]
        return max(bisect.bisect_right(times, now - self.age_s) - 1, 0)
