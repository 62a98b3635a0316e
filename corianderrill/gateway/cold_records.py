"""Log records of cold replicas."""

import msgspec


class ReplicaCold(msgspec.Struct, tag="cold", tag_field="event"):
    """A replica whose service limits cold replicas turned cold, or warm again.

    `source` is what told that it is cold (`store`, `reply`, or the `report` of another
    host), or else `warm`, `gone`, or `invalid` with what a reply has in place of a
    number. It is cold for `left_ms`.
    """

    replica: str
    service: str
    source: str
    left_ms: float
    limit_per_s: float | None
