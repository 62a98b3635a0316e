"""Which sub-requests of a query are sent while replicas advertise rate limits.

When all replicas of several shards are limited, sub-requests that are sent as they come
would leave some queries whole and others with too few parts. So each query leaves out
a few of the shards that are short, as many as its coverage allows, and each shard is
left out as often as its limits require. A query that cannot reach its coverage sends
nothing.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from corianderrill import names
from corianderrill.gateway import attempts

# A shard is left out once this much of a sub-request is owed. More is not remembered
# than the second figure, since a query may not leave out all that is owed.
MIN_OWED = 0.5
MAX_OWED = 1.5
# The demand may have fallen by then, or a limit may have been lifted.
MAX_RETRY_AFTER_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What limits do to one sub-request.

    It may be sent in `delay_s`, which is infinite without any replica. `shortage` is
    the share of the requests to its shard that the limits do not allow, 0 to 1.
    """

    delay_s: float
    shortage: float


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the sub-requests of `now`; those of `postponed` only if others fail."""

    now: tuple[attempts.SubRequest, ...]
    postponed: tuple[attempts.SubRequest, ...]
    unavailable: tuple[attempts.SubRequest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Send nothing: too few shards can be reached.

    After `retry_after_s` there should be enough, in seconds; it is None if some shards
    that are needed have no replica at all.
    """

    retry_after_s: float | None


@dataclasses.dataclass(slots=True)
class LimitPlanner:
    """Plans the sub-requests of one query after the other.

    With each query, a shard is owed its shortage; it is owed one less when it was left
    out (smooth weighted round robin).
    """

    _owed: dict[names.ServiceName, float] = dataclasses.field(default_factory=dict)

    def plan(
        self,
        needs: Mapping[attempts.SubRequest, Need],
        max_left_out: int,
    ) -> Send | Refuse:
        """Return what to send; at most `max_left_out` sub-requests may be left out.

        A sub-request that may not be sent now is unavailable.
        """
        unavailable = [s for s, need in needs.items() if need.delay_s > 0.0]
        spare = max_left_out - len(unavailable)
        if spare < 0:
            delays_s = sorted(needs[sub_request].delay_s for sub_request in unavailable)
            delay_s = delays_s[-spare - 1]
            return Refuse(
                min(delay_s, MAX_RETRY_AFTER_S) if math.isfinite(delay_s) else None
            )
        self._charge(needs)
        available = [s for s in needs if s not in unavailable]
        postponed = self._select_owed(available)[:spare]
        left_out = {*unavailable, *postponed}
        for sub_request in left_out:
            self._owed[sub_request.service] = self._get_owed(sub_request) - 1.0
        return Send(
            now=tuple(s for s in needs if s not in left_out),
            postponed=tuple(postponed),
            unavailable=tuple(unavailable),
        )

    def _charge(self, needs: Mapping[attempts.SubRequest, Need]) -> None:
        for sub_request, need in needs.items():
            if need.shortage > 0.0:
                owed = self._get_owed(sub_request) + need.shortage
                self._owed[sub_request.service] = min(max(owed, -MAX_OWED), MAX_OWED)
            else:
                self._owed.pop(sub_request.service, None)

    def _select_owed(
        self, candidates: Iterable[attempts.SubRequest]
    ) -> list[attempts.SubRequest]:
        owed = [s for s in candidates if self._get_owed(s) >= MIN_OWED]
        return sorted(owed, key=self._get_owed, reverse=True)

    def _get_owed(self, sub_request: attempts.SubRequest) -> float:
        return self._owed.get(sub_request.service, 0.0)
