"""Delegated queries and their answers as bytes."""

import hypothesis
import pytest
from hypothesis import strategies

from corianderrill import names
from corianderrill.gateway import connections, delegation_messages, routes
from tests.utils import virtual_aggregators

SHARDS = strategies.sets(strategies.integers(0, 800), min_size=1, max_size=60)


@hypothesis.given(
    SHARDS,
    strategies.integers(1, 10**9),
    strategies.integers(1, 60),
    strategies.floats(0, 60),
    strategies.booleans(),
)
def test_terms_are_read_as_they_were_written(shards, version, parts, goal_s, may):
    terms = delegation_messages.Terms(
        routes.ConfigurationVersion(version),
        tuple(sorted(shards)),
        parts,
        goal_s,
        0.02,
        may,
    )
    request = virtual_aggregators.build_request()
    read = virtual_aggregators.parse(
        delegation_messages.render_query(request, terms, 0.5)
    )
    assert read.goal_s == pytest.approx(goal_s, abs=0.0001)
    assert (read.version, read.shards, read.min_parts, read.may_delegate) == (
        version,
        tuple(sorted(shards)),
        parts,
        may,
    )


def test_headers_of_the_caller_cannot_change_the_terms():
    head = b"GET /a/x HTTP/1.1\r\nHost: h\r\nX-Query-Shards: ff\r\n"
    request = virtual_aggregators.build_request(head=head)
    terms = delegation_messages.Terms(1, (0, 2), 2, 0.1, 0.02, False)
    data = delegation_messages.render_query(request, terms, 0.5)
    assert virtual_aggregators.parse(data).shards == (0, 2)
    headers = [("Host", "h"), ("x-query-shards", "ff")]
    assert delegation_messages.strip_terms(headers) == [("Host", "h")]


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [("X-Query-Version", "x")],
        [
            ("X-Query-Version", "1"),
            ("X-Query-Shards", "-1"),
            ("X-Query-Min-Parts", "1"),
            ("X-Query-Goal-Ms", "1"),
            ("X-Query-Hedge-After-Ms", "1"),
            ("X-Query-May-Delegate", "1"),
        ],
        [
            ("X-Query-Version", "1"),
            ("X-Query-Shards", "1"),
            ("X-Query-Min-Parts", "1"),
            ("X-Query-Goal-Ms", "inf"),
            ("X-Query-Hedge-After-Ms", "1"),
            ("X-Query-May-Delegate", "1"),
        ],
    ],
)
def test_invalid_terms_are_an_error(headers):
    with pytest.raises(delegation_messages.MessageError):
        delegation_messages.parse_terms(headers)


def build_reply(request_id="q-1", stamps="a,b", shards="3", body=b"r" * 32, status=200):
    headers = {"x-request-id": request_id, "x-part-stamps": stamps}
    headers["x-query-shards"] = shards
    encoded = [(k.encode(), v.encode()) for k, v in headers.items() if v is not None]
    return connections.RawReply(status, encoded, body)


def parse(reply):
    return delegation_messages.parse_answer(reply, names.RequestId("q-1"), (0, 1, 2), 3)


def test_answer_names_its_shards_and_signatures():
    answer = parse(build_reply())
    assert answer.shards == {0, 1}
    assert answer.signatures == ("a", "b")


@pytest.mark.parametrize(
    "changes",
    [
        {"status": 502},
        {"request_id": "q-2"},
        {"request_id": None},
        {"shards": "9"},
        {"shards": None},
        {"shards": "zz"},
        {"stamps": "a"},
        {"stamps": "a,a"},
        {"stamps": "a,b,c"},
        {"body": b"r" * 33},
        {"body": b"r" * 64},
    ],
    ids=str,
)
def test_answer_that_does_not_fit_the_query_is_an_error(changes):
    with pytest.raises(delegation_messages.MessageError):
        parse(build_reply(**changes))


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.binary(max_size=20), strategies.binary(max_size=20)
        ),
        max_size=6,
    ),
    strategies.binary(max_size=80),
    strategies.integers(100, 599),
)
def test_any_reply_is_an_answer_or_an_error(headers, body, status):
    reply = connections.RawReply(status, headers, body)
    with pytest.raises(delegation_messages.MessageError):
        parse(reply)
