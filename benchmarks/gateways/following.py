"""Checks that hosts follow the operator and the replicas that leave."""

import dataclasses
from collections.abc import Iterator

from benchmarks.gateways import findings, records

DRAIN_S = 2.0
APPLY_S = 2.0
ROLLBACK_SLACK_S = 0.25
ROLLBACK_DISTURBED_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    """A host handled a request by a version."""

    at: float
    version: int


def check_routes(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """Bookings go where a version sends them: in time, and never back."""
    published = evidence.history.published
    seen: dict[records.HostName, list[_Seen]] = {}
    for arrival in sorted(evidence.runs.values(), key=lambda a: a.at):
        asked = evidence.by_id[arrival.id]
        if asked.kind is not records.Kind.BOOKING or asked.sent_at is None:
            continue
        versions = [p for p in published if p.bookings == arrival.service]
        started = [p for p in versions if p.at <= arrival.at]
        if not started:
            yield findings.Broken(
                "routes", arrival.at, f"{arrival.id} at {arrival.service}"
            )
            continue
        newest = started[-1]
        yield from _check_age(evidence, asked, newest)
        known = seen.setdefault(asked.host, [])
        yield from _check_order(evidence, asked, newest.version, known)
        known.append(_Seen(arrival.at, newest.version))


def _check_age(
    evidence: findings.Evidence, asked: records.Asked, used: records.Published
) -> Iterator[findings.Broken]:
    later = [p for p in evidence.history.published if p.version > used.version]
    if not later or asked.sent_at <= later[0].at + APPLY_S:
        return
    if evidence.is_in_touch(asked.host, later[0].at, asked.sent_at):
        detail = f"{asked.id} handled by {used.version} after {later[0].version}"
        yield findings.Broken("routes", asked.sent_at, detail)


def _check_order(
    evidence: findings.Evidence,
    asked: records.Asked,
    version: int,
    known: list[_Seen],
) -> Iterator[findings.Broken]:
    starts = [s.at for s in evidence.history.started if s.host == asked.host]
    since = max((at for at in starts if at <= asked.sent_at), default=0.0)
    calm = evidence.is_in_touch(asked.host, asked.sent_at)
    slack_s = ROLLBACK_SLACK_S if calm else ROLLBACK_DISTURBED_S
    for other in known:
        if other.version > version and since <= other.at < asked.sent_at - slack_s:
            detail = f"{asked.id} handled by {version} after {other.version}"
            yield findings.Broken("routes", asked.sent_at, detail)
            return


def check_draining(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """A replica that leaves gets nothing new after its time."""
    left = {entry.replica: entry.at for entry in evidence.history.left}
    for arrival in evidence.history.arrivals:
        left_at = left.get(arrival.replica)
        if left_at is None or arrival.at <= left_at + DRAIN_S or arrival.was_elsewhere:
            continue
        asked = evidence.by_id[arrival.id]
        sent_late = (asked.sent_at or 0.0) > left_at + DRAIN_S
        if sent_late and evidence.is_in_touch(asked.host, left_at, arrival.at):
            late_s = arrival.at - left_at
            detail = f"{arrival.id} at {arrival.replica} after {late_s:.1f} s"
            yield findings.Broken("draining", arrival.at, detail)
