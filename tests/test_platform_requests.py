"""What of a request reaches a replica, and what of its reply a caller."""

from corianderrill.gateway import replies
from corianderrill.platform import requests

HEADERS = (
    ("Host", "leno.example"),
    ("X-Request-Id", "9c41"),
    ("X-Deadline-Ms", "600"),
    ("Connection", "keep-alive, X-Hop"),
    ("X-Hop", "1"),
    ("Accept", "*/*"),
    ("X-Expect-Instance", "i-9"),
)


def build(method="GET", headers=HEADERS, body=b""):
    return requests.build_inbound(method, "/a/x?y=%20", headers, body, 0.6, 1.0)


def render(inbound, left_s=0.5):
    return inbound.render("i-1", left_s).split(b"\r\n")


def test_path_and_query_are_forwarded_as_sent():
    assert render(build())[0] == b"GET /a/x?y=%20 HTTP/1.1"


def test_time_left_and_the_expected_replica_replace_what_the_caller_sent():
    lines = render(build(), 0.4567)
    assert b"X-Deadline-Ms: 456" in lines
    assert b"X-Expect-Instance: i-1" in lines
    assert not any(b"i-9" in line or b"600" in line for line in lines)


def test_headers_of_one_connection_are_not_forwarded():
    lines = render(build())
    assert b"Accept: */*" in lines
    assert not any(line.lower().startswith((b"connection", b"x-hop")) for line in lines)


def test_body_goes_with_its_length_whatever_framing_the_caller_used():
    headers = (*HEADERS, ("Transfer-Encoding", "chunked"))
    rendered = build("POST", headers, b"abc").render("i-1", 0.5)
    head, _, body = rendered.partition(b"\r\n\r\n")
    assert body == b"abc"
    assert b"Content-Length: 3" in head
    assert b"chunked" not in head


def test_post_without_a_body_has_length_zero():
    assert b"Content-Length: 0" in render(build("POST"))


def test_deadline_that_is_no_time_is_none():
    for text in (None, "", "soon", "-5", "0", "nan", "inf"):
        assert requests.read_deadline(text) is None
    assert requests.read_deadline("600") == 0.6


def test_headers_of_a_reply_keep_their_values_and_lose_the_framing():
    reply = replies.Reply(
        200,
        [
            (b"x-server-stamp", b"3e1b"),
            (b"transfer-encoding", b"chunked"),
            (b"keep-alive", b"timeout=4"),
            (b"content-type", b"text/plain"),
        ],
        b"",
        "3e1b",
        "9c41",
        not_executed=False,
        is_misdirected=False,
        has_content_encoding=False,
    )
    assert requests.list_reply_headers(reply) == [
        ("X-Server-Stamp", "3e1b"),
        ("Content-Type", "text/plain"),
    ]


def test_parts_are_told_by_their_signatures():
    headers = dict(requests.list_gather_headers("9c41", ["a", "b"], 1))
    assert headers["X-Part-Stamps"] == "a, b"
    assert headers["X-Missing-Parts"] == "1"
