"""The event log, and the report on one request that is built from it."""

import json
import os

import pytest

from corianderrill.gateway import event_log, request_report

RECORD = event_log.HistoryLost(revision=7)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    os.set_blocking(reader, False)
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_line_holds_host_event_and_fields(pipe):
    handler = event_log.BufferedHandler(pipe[1], "front-1")
    log = event_log.LogbookEventLog("gateway", handler)
    with handler.applicationbound():
        log.record(RECORD)
    handler.flush()
    (line,) = read_lines(pipe[0])
    assert line["host"] == "front-1"
    expected = {"event": "store-history-lost", "revision": 7, "era": 0}
    assert line["record"] == expected


def test_lines_over_the_rate_limit_are_dropped_and_counted(pipe):
    handler = event_log.BufferedHandler(pipe[1], "front-1")
    for _ in range(int(event_log.MAX_BURST_LINES) + 50):
        handler.enqueue("gateway", RECORD)
    assert handler.dropped_lines > 0
    handler.enqueue("gateway", event_log.Stopped("finished", 0))
    handler.flush()
    assert read_lines(pipe[0])[-1]["left_out"] == handler.dropped_lines


def test_stuck_reader_causes_dropped_lines_and_does_not_block(pipe):
    handler = event_log.BufferedHandler(pipe[1], "front-1")
    kinds = [
        event_log.InternalError("here", "x" * 2_000),
        event_log.EntrySkipped("key", 1, "y" * 2_000),
        event_log.Reloaded("signal", "refused", "z" * 2_000),
    ]
    for _ in range(20):
        for _ in range(100):
            for record in kinds:
                handler.enqueue("gateway", record)
        handler.flush()
    assert handler.dropped_lines > 0


def test_closed_output_drops_lines_without_an_error():
    reader, writer = os.pipe()
    handler = event_log.BufferedHandler(writer, "front-1")
    os.close(reader)
    handler.enqueue("gateway", RECORD)
    handler.flush()
    os.close(writer)
    assert handler.dropped_lines == 1


def build_line(time, record, host="front-1"):
    return json.loads(
        event_log.msgspec.json.encode(event_log.LogLine(time, host, 0, record))
    )


def build_log(*lines):
    return [json.dumps(line) for line in lines]


def build_request_ended(request_id="q-1", outcome="timed-out"):
    return event_log.RequestEnded(
        request_id=request_id,
        route="r-1",
        version=3,
        status=504,
        outcome=outcome,
        took_ms=790.0,
        goal_ms=92.0,
        left_ms=0.0,
        parts=9,
        missing=1,
        repeats=0,
        denied=1,
        attempts=[
            event_log.AttemptSummary("s-1", "i-1", "first", 0.1, 0.2, None, "waiting")
        ],
    )


def test_report_shows_attempts_and_events_of_their_replicas():
    log = build_log(
        build_line(95.0, event_log.ReplicaSeen("i-1", "s-1", "draining", 9, "applied")),
        build_line(95.5, event_log.ReplicaSeen("i-2", "s-1", "draining", 9, "applied")),
        build_line(96.0, event_log.StoreLost("unreachable", "ReadTimeoutError", 9)),
        build_line(100.0, build_request_ended()),
        build_line(101.0, build_request_ended("q-2")),
    )
    report = "\n".join(
        request_report.describe_request(request_report.parse_logs([log]), "q-1")
    )
    assert "status 504, timed-out after 790.0 ms" in report
    assert "s-1 on i-1 (first): sent at 0.2 ms, no end, waiting" in report
    assert "'draining'" in report
    assert "StoreLost" in report
    assert "q-2" not in report
    assert "i-2" not in report


def test_report_of_an_unknown_request_is_empty():
    assert (
        list(request_report.describe_request(request_report.parse_logs([[]]), "q-1"))
        == []
    )


def test_unparsable_lines_are_counted_and_a_prefix_before_a_record_is_ignored():
    lines = ["  1.07 front-1 " + line for line in build_log(build_line(1.0, RECORD))]
    parsed = request_report.parse_logs([["Traceback (most recent call last):", *lines]])
    assert (len(parsed.lines), parsed.unparsed) == (1, 1)
