"""Rate limits that replicas name in their replies.

A replica in need names how many requests a second it accepts from all hosts together,
for as long as its replies say so.
"""

import dataclasses
import enum

from corianderrill import metrics
from corianderrill.gateway import event_log, replicas, replies

MAX_LOGGED_TEXT = 100


class NoticeOutcome(enum.Enum):
    """The effect of what a reply says about a limit; the values are logged."""

    APPLIED = "applied"
    LIFTED = "lifted"
    INVALID = "invalid"


@dataclasses.dataclass(slots=True)
class RateLimits:
    """The rate limits that this host knows, each stored with its replica."""

    log: event_log.EventLog
    meter: metrics.Recorder

    def record_reply(self, replica: replicas.Replica, reply: replies.Reply) -> None:
        """Apply what a reply says about the limit of its replica.

        A reply without a limit lifts it only if it is a success: others may come from
        a layer of the replica that knows no limits.
        """
        match reply.rate_limit:
            case replies.RateLimit(requests_per_s):
                if requests_per_s != replica.rate_limit_per_s:
                    self._set(replica, requests_per_s, NoticeOutcome.APPLIED)
            case replies.InvalidRateLimit(text):
                self._record(
                    replica,
                    replica.rate_limit_per_s,
                    replica.rate_limit_per_s,
                    NoticeOutcome.INVALID,
                    text,
                )
            case None if (
                replica.rate_limit_per_s is not None and 200 <= reply.status < 300
            ):
                self._set(replica, None, NoticeOutcome.LIFTED)

    def _set(
        self, replica: replicas.Replica, per_s: float | None, outcome: NoticeOutcome
    ) -> None:
        before_per_s = replica.rate_limit_per_s
        replica.rate_limit_per_s = per_s
        self._record(replica, per_s, before_per_s, outcome)

    def _record(
        self,
        replica: replicas.Replica,
        per_s: float | None,
        before_per_s: float | None,
        outcome: NoticeOutcome,
        detail: str = "",
    ) -> None:
        self.meter.count(metrics.GATEWAY_RATE_LIMITS, outcome.value)
        self.log.record(
            event_log.RateLimitSeen(
                replica=replica.id,
                service=replica.registration.service,
                per_s=per_s,
                before_per_s=before_per_s,
                outcome=outcome.value,
                detail=detail[:MAX_LOGGED_TEXT],
            )
        )
