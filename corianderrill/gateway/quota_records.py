"""Log records of quotas. Their tags and fields are part of the log format."""

import msgspec


class QuotaRefused(msgspec.Struct, tag="quota-refused", tag_field="event"):
    """A request was refused by the quota of its workspace.

    `cause` is the same as the reason of the refusal. `lessor` is the host that decided,
    or that was asked in vain; `units` is what the leases of this host allow a window.
    """

    request_id: str
    workspace: str
    cause: str
    slot: str
    lessor: str
    units: int
    waited_ms: float
    retry_after_s: float


class QuotaDenied(msgspec.Struct, tag="quota-denied", tag_field="event"):
    """The quota lessor (this host) granted fewer requests than a host wanted."""

    workspace: str
    host: str
    wanted: int
    granted: int
    tokens: float
    leased: int
    term: str


class QuotaTermBegun(msgspec.Struct, tag="quota-term-begun", tag_field="event"):
    """The host is the quota lessor of a slot from now on, and counts from zero."""

    slot: str
    term: str


class QuotaTermEnded(msgspec.Struct, tag="quota-term-ended", tag_field="event"):
    """The host no longer answers as the quota lessor of a slot."""

    slot: str
    term: str
    workspaces: int


class QuotaLessorLost(msgspec.Struct, tag="quota-lessor-lost", tag_field="event"):
    """A quota lessor did not answer; it is not asked for a while."""

    lessor: str
    address: str
    outcome: str
    pause_s: float


class QuotaLessorReturned(
    msgspec.Struct, tag="quota-lessor-returned", tag_field="event"
):
    """A quota lessor that had not answered has done so."""

    lessor: str
    address: str
    away_s: float


class QuotaMessageRefused(
    msgspec.Struct, tag="quota-message-refused", tag_field="event"
):
    """A message of another host, or its answer, was not used."""

    host: str
    reason: str


Record = (
    QuotaRefused
    | QuotaDenied
    | QuotaTermBegun
    | QuotaTermEnded
    | QuotaLessorLost
    | QuotaLessorReturned
    | QuotaMessageRefused
)
