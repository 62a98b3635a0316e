"""What a run showed, as the checks need it."""

import dataclasses

from benchmarks.gateways import records

# A host binds by a time bound only while nothing was wrong for so long.
CONTACT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """A promise that was not kept, and what showed it."""

    check: str
    at_s: float
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """What the checks have to know of the run."""

    shards: tuple[records.ServiceName, ...]
    repeat_fixed: float
    has_aggregators: bool = False


class Evidence:
    """What was seen, indexed for the checks."""

    def __init__(self, history: records.History, setting: Setting) -> None:
        self.history = history
        self.setting = setting
        self.by_id = {asked.id: asked for asked in history.asked}
        self.runs = {a.signature: a for a in history.arrivals if a.signature}
        self.by_request: dict[records.RequestId, list[records.Arrival]] = {}
        for arrival in history.arrivals:
            self.by_request.setdefault(arrival.id, []).append(arrival)

    def is_in_touch(
        self, host: records.HostName, since: float, until: float | None = None
    ) -> bool:
        """Tell whether nothing was wrong from `CONTACT_S` before a span to its end."""
        end = since if until is None else until
        return not any(
            span.since <= end and span.until >= since - CONTACT_S
            for span in self.history.disturbed
            if span.host in (None, host)
        )

    def was_held(self, arrival: records.Arrival) -> bool:
        """Tell whether a harmed link may have brought a request late."""
        return any(
            held.since <= arrival.at <= held.until + CONTACT_S
            for held in self.history.held
            if held.replica == arrival.replica
        )

    def list_runs(self, request: records.RequestId) -> list[records.Arrival]:
        """Return the runs of a request."""
        return [a for a in self.by_request.get(request, []) if a.signature]
