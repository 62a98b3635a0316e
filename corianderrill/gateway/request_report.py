"""The story of one request, told from the logs of all hosts."""

import dataclasses
import itertools
from collections.abc import Iterable, Iterator

import msgspec

from corianderrill import names
from corianderrill.gateway import event_log

# Changes of belief this long before a request may explain it.
CONTEXT_S = 10.0
CONTEXT_LINES_AT_MOST = 20

_DECODER = msgspec.json.Decoder(event_log.LogLine)


@dataclasses.dataclass(slots=True)
class ParsedLogs:
    """The lines of all hosts in order of time; `unread` lines were no records."""

    lines: list[event_log.LogLine]
    unparsed: int


def read_logs(texts: Iterable[Iterable[str]]) -> ParsedLogs:
    """Read the lines of several logs; what stands before a record is passed over."""
    lines = []
    unread = 0
    for text in itertools.chain.from_iterable(texts):
        start = text.find("{")
        try:
            lines.append(_DECODER.decode(text[max(start, 0) :].strip()))
        except msgspec.DecodeError:
            unread += 1
    lines.sort(key=lambda line: line.time)
    return ParsedLogs(lines, unread)


def describe_request(logs: ParsedLogs, request_id: names.RequestId) -> Iterator[str]:
    """Yield the lines of the story; none where no log knows the request."""
    own = [line for line in logs.lines if _read_id(line.record) == request_id]
    for host, group in itertools.groupby(own, key=lambda line: line.host):
        lines = list(group)
        yield f"request {request_id} on {host}"
        for line in lines:
            yield from _describe(line)
        yield from _tell_context(logs, lines)


def _read_id(record: event_log.Record) -> str | None:
    return getattr(record, "request_id", None)


def _describe(line: event_log.LogLine) -> Iterator[str]:
    match line.record:
        case event_log.RequestEnded() as ended:
            yield (
                f"  {line.time:.3f} status {ended.status}, {ended.outcome} after "
                f"{ended.took_ms} ms of a goal of {ended.goal_ms} ms; route "
                f"{ended.route} of version {ended.version}; {ended.parts} parts, "
                f"{ended.missing} missing; {ended.repeats} repeats, "
                f"{ended.denied} denied"
            )
            yield from map(_describe_attempt, ended.attempts)
        case event_log.RequestRefused() as refused:
            yield (
                f"  {line.time:.3f} status {refused.status}, not sent on: "
                f"{refused.reason}; route {refused.route or 'none'} of version "
                f"{refused.version}; {refused.in_flight} in flight"
            )
        case event_log.Repeated() as repeated:
            yield (
                f"  {line.time:.3f} {repeated.why} of {repeated.service} to "
                f"{repeated.replica} after {repeated.waited_ms} ms"
            )
        case other:
            yield f"  {line.time:.3f} {other}"


def _describe_attempt(attempt: event_log.AttemptSummary) -> str:
    sent = "not sent" if attempt.sent_ms is None else f"sent at {attempt.sent_ms} ms"
    ended = "no end" if attempt.ended_ms is None else f"ended at {attempt.ended_ms} ms"
    return (
        f"    {attempt.service} on {attempt.replica} ({attempt.why}): {sent}, {ended}, "
        f"{attempt.outcome}"
    )


def _tell_context(logs: ParsedLogs, lines: list[event_log.LogLine]) -> Iterator[str]:
    """Yield what the host came to believe shortly before, as far as it matters."""
    last = lines[-1]
    replicas = {
        attempt.replica
        for line in lines
        if isinstance(line.record, event_log.RequestEnded)
        for attempt in line.record.attempts
        if attempt.outcome != "good"
    }
    found = [
        line
        for line in logs.lines
        if line.host == last.host
        and last.time - CONTEXT_S <= line.time <= last.time
        and _matters(line.record, replicas)
    ]
    if found:
        yield f"  the last {CONTEXT_S:g} s on this host:"
    for line in found[-CONTEXT_LINES_AT_MOST:]:
        yield f"    {line.time:.3f} {line.record}"


def _matters(record: event_log.Record, replicas: set[str]) -> bool:
    match record:
        case event_log.ReplicaSeen(replica=replica):
            return replica in replicas
        case (
            event_log.RequestEnded()
            | event_log.RequestRefused()
            | event_log.Repeated()
            | event_log.EntrySkipped()
        ):
            return False
        case _:
            return True
