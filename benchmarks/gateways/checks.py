"""Checks of what was seen against the promises; each returns what broke it.

A host binds by a time bound only while nothing was wrong with it or with the store
for `findings.CONTACT_S`.
"""

import bisect
import collections
import dataclasses
import itertools
from collections.abc import Callable, Iterator

from benchmarks.gateways import findings, following, records, servers

GRACE_S = 6.0
LOSS_SLACK_S = 0.2
REPEAT_RATIO = 0.2
REPEAT_WINDOW_S = 10.0
MAX_ATTEMPTS = 2
# So many requests may run on more replicas than allowed.
OVER_ATTEMPTS = 3
# A replica may get so many times its limit in a window, and a few requests more.
LIMIT_FACTOR = 1.5
LIMIT_MORE = 5
LIMIT_WINDOW_S = 4.0
# The limit binds so long after it was named, for hosts that were told a moment before.
LIMIT_CONTACT_S = 4.0
TOLD_BEFORE_S = 0.5
# A request that has ended so many servers ends hardly any more, this long after.
CRASHES = 3
CRASH_CONTACT_S = 4.0
CRASHES_AT_MOST = 3
LATE_AFTER_S = 0.5
PAUSE_SLACK_S = 0.5
PAUSE_AT_MOST = 2
GONE_AFTER_S = 0.5
GONE_AT_MOST = 3
RECOVERY_S = 5.0
RECOVERED_SHARE = 0.95
TOP = 5
MIN_COVERAGE = 0.5
REFUSALS = (408, 421, 429, 503)


Check = Callable[[findings.Evidence], Iterator[findings.Broken]]


def check_answers(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """A success is the whole reply of a server that ran this very request."""
    for asked in evidence.history.asked:
        if not asked.is_success:
            continue
        match asked.kind:
            case records.Kind.QUERY:
                fault = _find_query_fault(asked, evidence)
            case records.Kind.BOOKING:
                fault = _find_booking_fault(asked, evidence)
        if fault is not None:
            yield findings.Broken("answers", asked.began_at, f"{asked.id}: {fault}")


def _find_booking_fault(
    asked: records.Asked, evidence: findings.Evidence
) -> str | None:
    if len(asked.signatures) != 1:
        return "no signature"
    run = evidence.runs.get(asked.signatures[0])
    if run is None or run.id != asked.id or run.status != 200:
        return "the signature is of no good reply to it"
    return None if run.body == asked.body else "another body than the server's"


def _find_query_fault(asked: records.Asked, evidence: findings.Evidence) -> str | None:
    runs = [evidence.runs.get(signature) for signature in asked.signatures]
    if any(r is None or r.id != asked.id or r.status != 200 for r in runs):
        return "a part is no good reply to it"
    named = [run.service for run in runs]
    shards = evidence.setting.shards
    if len(set(named)) < len(named) or not set(named) <= set(shards):
        return "parts of one shard twice, or of no shard"
    if len(named) + asked.missing != len(shards):
        return "parts and missing parts are not all shards"
    if len(named) < MIN_COVERAGE * len(shards):
        return "fewer parts than the route allows"
    whole = b"".join(run.body for run in runs)
    size = servers.RECORD_BYTES
    pieces = [whole[at : at + size] for at in range(0, len(whole), size)]
    greatest = sorted(pieces, reverse=True)[:TOP]
    return None if asked.body == b"".join(greatest) else "not the greatest records"


def check_at_most_once(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """A booking runs once at most, and not at all where it was refused."""
    for asked in evidence.history.asked:
        if asked.kind is not records.Kind.BOOKING:
            continue
        runs = evidence.list_runs(asked.id)
        if len(runs) > 1:
            yield findings.Broken(
                "at-most-once", asked.began_at, f"{asked.id} ran twice"
            )
        if runs and asked.status in REFUSALS:
            detail = f"{asked.id} ran and was refused with {asked.status}"
            yield findings.Broken("at-most-once", asked.began_at, detail)


def check_repeats(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """In each window, a service gets no more repeats than the platform allows."""
    requests: dict[str, list[float]] = {name: [] for name in evidence.setting.shards}
    bookings = []
    for asked in evidence.history.asked:
        if asked.kind is records.Kind.BOOKING:
            bookings.append(asked.began_at)
        else:
            for times in requests.values():
                times.append(asked.began_at)
    for service, times in _list_repeats(evidence).items():
        asked_at = sorted(requests.get(service, bookings))
        for repeats, at in _find_windows(times):
            window_s = REPEAT_WINDOW_S
            most = max(
                _count(asked_at, at - shift_s - window_s, at - shift_s)
                for shift_s in (0.0, window_s, window_s / 2)
            )
            allowed = REPEAT_RATIO * most + evidence.setting.repeat_fixed
            if repeats > allowed:
                detail = (
                    f"{service}: {repeats} repeats in a window, {allowed:.0f} allowed"
                )
                yield findings.Broken("repeats", at, detail)


def _list_repeats(evidence: findings.Evidence) -> dict[str, list[float]]:
    repeats: dict[str, list[float]] = collections.defaultdict(list)
    for arrivals in evidence.by_request.values():
        by_service = itertools.groupby(
            sorted(arrivals, key=lambda a: (a.service, a.at)), lambda a: a.service
        )
        for service, group in by_service:
            repeats[service].extend(a.at for a in list(group)[1:])
    return repeats


def _find_windows(times: list[float]) -> Iterator[tuple[int, float]]:
    """Yield how many lie in the window that ends at each time."""
    ordered = sorted(times)
    for index, at in enumerate(ordered):
        yield index + 1 - bisect.bisect_right(ordered, at - REPEAT_WINDOW_S), at


def _count(ordered: list[float], since: float, until: float) -> int:
    return bisect.bisect_right(ordered, until) - bisect.bisect_right(ordered, since)


def check_attempts(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """A request runs on no more replicas of a service than its route allows."""
    over = []
    for request, arrivals in evidence.by_request.items():
        replicas = {(a.service, a.replica) for a in arrivals if a.signature}
        counts = collections.Counter(service for service, _ in replicas)
        if max(counts.values(), default=0) > MAX_ATTEMPTS:
            over.append(request)
    if len(over) > OVER_ATTEMPTS:
        yield findings.Broken("attempts", evidence.history.began_at, ", ".join(over))


def check_limits(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """A replica gets no more from the hosts that it told than its limit allows.

    It is not known which host sent what an aggregator sent for another one.
    """
    if evidence.setting.has_aggregators:
        return
    for limited in evidence.history.limited:
        allowed = LIMIT_FACTOR * limited.per_s * LIMIT_WINDOW_S + LIMIT_MORE
        times = sorted(_list_limited(evidence, limited))
        for first, at in enumerate(times):
            count = bisect.bisect_left(times, at + LIMIT_WINDOW_S) - first
            if count > allowed:
                detail = f"{limited.replica}: {count} requests, {allowed:.0f} allowed"
                yield findings.Broken("limits", at, detail)
                break


def _list_limited(
    evidence: findings.Evidence, limited: records.Limited
) -> Iterator[float]:
    """Yield when a limited replica got requests that its limit binds."""
    told_at: dict[records.HostName, float] = {}
    arrivals = [a for a in evidence.history.arrivals if a.replica == limited.replica]
    for arrival in sorted(arrivals, key=lambda a: a.at):
        host = evidence.by_id[arrival.id].host
        told = told_at.get(host, arrival.at) + TOLD_BEFORE_S <= arrival.at
        is_bound = limited.since + LIMIT_CONTACT_S <= arrival.at < limited.until
        is_excused = evidence.was_held(arrival) or not evidence.is_in_touch(
            host, arrival.at
        )
        if told and is_bound and not is_excused:
            yield arrival.at
        if arrival.limited_at is not None:
            told_at.setdefault(host, arrival.limited_at)


def check_announced(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """A replica that said that it leaves gets nothing late of the host it told."""
    told: dict[tuple[str, str], float] = {}
    for noticed in evidence.history.noticed:
        if noticed.until is None:
            host = evidence.by_id[noticed.request].host
            told.setdefault((noticed.replica, host), noticed.at)
    for arrival in evidence.history.arrivals:
        asked = evidence.by_id[arrival.id]
        told_at = told.get((arrival.replica, asked.host))
        if told_at is None or (asked.sent_at or 0.0) <= told_at + following.DRAIN_S:
            continue
        restarted = any(
            s.host == asked.host and told_at < s.at <= arrival.at
            for s in evidence.history.started
        )
        if not restarted and not evidence.setting.has_aggregators:
            detail = f"{arrival.id} at {arrival.replica} from {asked.host}"
            yield findings.Broken("announced", arrival.at, detail)


def check_pauses(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """A replica that wants a pause gets two more requests of that host at most."""
    if evidence.setting.has_aggregators:
        return
    arrivals: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    for arrival in evidence.history.arrivals:
        host = evidence.by_id[arrival.id].host
        arrivals[arrival.replica, host].append(arrival.at)
    for noticed in evidence.history.noticed:
        if noticed.until is None:
            continue
        host = evidence.by_id[noticed.request].host
        if not evidence.is_in_touch(host, noticed.at, noticed.until):
            continue
        times = arrivals[noticed.replica, host]
        late = [at for at in times if noticed.at + PAUSE_SLACK_S < at < noticed.until]
        if len(late) > PAUSE_AT_MOST:
            detail = f"{noticed.replica}: {len(late)} requests from {host}"
            yield findings.Broken("pauses", noticed.at, detail)


def check_crashes(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """A request under which servers ended is soon sent to hardly any more."""
    by_body = collections.defaultdict(list)
    for crashed in evidence.history.crashed:
        by_body[crashed.body].append(crashed)
    for body, runs in by_body.items():
        runs.sort(key=lambda run: run.at)
        if len(runs) <= CRASHES:
            continue
        since = runs[CRASHES - 1].at + CRASH_CONTACT_S
        late = [
            run
            for run in runs
            if run.at > since
            and evidence.is_in_touch(evidence.by_id[run.request].host, run.at)
        ]
        if len(late) > CRASHES_AT_MOST:
            detail = f"{body.decode()}: {len(late)} more of {len(runs)} in all"
            yield findings.Broken("crashes", late[0].at, detail)


def check_losses(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """A host that ends on SIGTERM loses no request that it has read."""
    for told in evidence.history.told:
        if told.status != 0 or told.ended_at - told.at > GRACE_S:
            detail = f"{told.host}: status {told.status}"
            detail += f" after {told.ended_at - told.at:.1f} s"
            if evidence.is_in_touch(told.host, told.at - 0.01, told.at - 0.01):
                yield findings.Broken("losses", told.at, detail)
        for asked in evidence.history.asked:
            if _is_lost(asked, told, evidence):
                yield findings.Broken(
                    "losses", asked.began_at, f"{asked.id}: cut at the end"
                )


def _is_lost(
    asked: records.Asked, told: records.Told, evidence: findings.Evidence
) -> bool:
    if asked.host != told.host or asked.ending is not records.Ending.CUT:
        return False
    if asked.sent_at > told.ended_at or asked.ended_at < told.at:
        return False
    spans = [
        span
        for span in evidence.history.disturbed
        if span.host in (None, told.host) and span.since != told.at
    ]
    if any(
        s.since <= asked.ended_at and s.until >= told.at - findings.CONTACT_S
        for s in spans
    ):
        return False
    was_passed_on = bool(evidence.by_request.get(asked.id))
    return was_passed_on or asked.ended_at - asked.sent_at > LOSS_SLACK_S


def check_deadlines(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """A request has its end soon after the time that its route allows."""
    for asked in evidence.history.asked:
        if asked.sent_at is None or asked.ending is records.Ending.LEFT:
            continue
        took_s = asked.ended_at - asked.began_at
        if took_s <= asked.kind.timeout_s + LATE_AFTER_S:
            continue
        if evidence.is_in_touch(asked.host, asked.began_at, asked.ended_at):
            yield findings.Broken(
                "deadlines", asked.began_at, f"{asked.id}: {took_s:.2f} s"
            )


def check_leaving(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """What a caller has left is soon asked of no server any more.

    What a harmed link brings late was sent in time.
    """
    late = [
        arrival
        for arrival in evidence.history.arrivals
        if (asked := evidence.by_id[arrival.id]).ending is records.Ending.LEFT
        and arrival.at > asked.ended_at + GONE_AFTER_S
        and evidence.is_in_touch(asked.host, asked.began_at, arrival.at)
        and not evidence.was_held(arrival)
    ]
    if len(late) > GONE_AT_MOST:
        yield findings.Broken(
            "leaving", late[0].at, f"{len(late)} arrivals after their caller"
        )


def check_recovery(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """After the last fault nearly all is served again."""
    since = evidence.history.faults_end_at + RECOVERY_S
    late = [asked for asked in evidence.history.asked if asked.began_at > since]
    served = sum(asked.is_success for asked in late)
    if served < RECOVERED_SHARE * len(late):
        detail = f"{served} of {len(late)} served after the faults"
        yield findings.Broken("recovery", since, detail)


def check_processes(evidence: findings.Evidence) -> Iterator[findings.Broken]:
    """No process ends by itself or reports an error of its own."""
    for vanished in evidence.history.vanished:
        yield findings.Broken(
            "processes", vanished.at, f"{vanished.host}: {vanished.detail}"
        )


CHECKS: tuple[Check, ...] = (
    check_answers,
    check_at_most_once,
    check_repeats,
    check_attempts,
    following.check_routes,
    following.check_draining,
    check_limits,
    check_announced,
    check_pauses,
    check_crashes,
    check_losses,
    check_deadlines,
    check_leaving,
    check_recovery,
    check_processes,
)


def judge(history: records.History, setting: findings.Setting) -> list[findings.Broken]:
    """Return all that broke a promise, with times since the begin of the run."""
    evidence = findings.Evidence(history, setting)
    found = itertools.chain.from_iterable(check(evidence) for check in CHECKS)
    return [
        dataclasses.replace(broken, at_s=round(broken.at_s - history.began_at, 2))
        for broken in found
    ]
