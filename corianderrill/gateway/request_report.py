"""Reports what happened to one request, from the logs of all hosts."""

import dataclasses
import itertools
from collections.abc import Iterable, Iterator

import msgspec

from corianderrill import names
from corianderrill.gateway import event_log

# Events that a host logged within this time before it ended a request may explain the
# outcome of the request.
CONTEXT_WINDOW_S = 10.0
MAX_CONTEXT_LINES = 20

_DECODER = msgspec.json.Decoder(event_log.LogLine)


@dataclasses.dataclass(slots=True)
class ParsedLogs:
    """The records of all hosts in order of time, and the number of other lines."""

    lines: list[event_log.LogLine]
    unparsed: int


def parse_logs(logs: Iterable[Iterable[str]]) -> ParsedLogs:
    """Parse the lines of several logs; text before the JSON of a line is ignored."""
    lines = []
    unparsed = 0
    for text in itertools.chain.from_iterable(logs):
        start = text.find("{")
        try:
            lines.append(_DECODER.decode(text[max(start, 0) :].strip()))
        except msgspec.DecodeError:
            unparsed += 1
    lines.sort(key=lambda line: line.time)
    return ParsedLogs(lines, unparsed)


def describe_request(logs: ParsedLogs, request_id: names.RequestId) -> Iterator[str]:
    """Yield the lines of the report; none if no log mentions the request."""
    own_lines = [
        line for line in logs.lines if _get_request_id(line.record) == request_id
    ]
    for host, group in itertools.groupby(own_lines, key=lambda line: line.host):
        lines = list(group)
        yield f"request {request_id} on {host}"
        for line in lines:
            yield from _describe_line(line)
        yield from _describe_context(logs, lines)


def _get_request_id(record: event_log.Record) -> str | None:
    return getattr(record, "request_id", None)


def _describe_line(line: event_log.LogLine) -> Iterator[str]:
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


def _describe_context(
    logs: ParsedLogs, lines: list[event_log.LogLine]
) -> Iterator[str]:
    """Yield the relevant events of the last `CONTEXT_WINDOW_S` on the same host.

    Of the replicas, only those with an attempt that did not succeed are relevant.
    """
    last_line = lines[-1]
    failed_replicas = {
        attempt.replica
        for line in lines
        if isinstance(line.record, event_log.RequestEnded)
        for attempt in line.record.attempts
        if attempt.outcome != "good"
    }
    relevant_lines = [
        line
        for line in logs.lines
        if line.host == last_line.host
        and last_line.time - CONTEXT_WINDOW_S <= line.time <= last_line.time
        and _is_relevant(line.record, failed_replicas)
    ]
    if relevant_lines:
        yield f"  the last {CONTEXT_WINDOW_S:g} s on this host:"
    for line in relevant_lines[-MAX_CONTEXT_LINES:]:
        yield f"    {line.time:.3f} {line.record}"


def _is_relevant(record: event_log.Record, replicas: set[str]) -> bool:
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
