"""Which parts of a request are forwarded to a replica, and of a reply to a caller."""

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


def build_request(method="GET", headers=HEADERS, body=b""):
    return requests.build_inbound_request(method, "/a/x?y=%20", headers, body, 0.6, 1.0)


def render_lines(inbound, left_s=0.5):
    return inbound.render_sub_request("i-1", left_s).split(b"\r\n")


def test_path_and_query_are_forwarded_as_sent():
    assert render_lines(build_request())[0] == b"GET /a/x?y=%20 HTTP/1.1"


def test_deadline_and_expected_instance_of_the_caller_are_replaced():
    lines = render_lines(build_request(), 0.4567)
    assert b"X-Deadline-Ms: 456" in lines
    assert b"X-Expect-Instance: i-1" in lines
    assert not any(b"i-9" in line or b"600" in line for line in lines)


def test_hop_by_hop_headers_are_not_forwarded():
    lines = render_lines(build_request())
    assert b"Accept: */*" in lines
    assert not any(line.lower().startswith((b"connection", b"x-hop")) for line in lines)


def test_chunked_body_is_forwarded_with_a_content_length():
    headers = (*HEADERS, ("Transfer-Encoding", "chunked"))
    rendered = build_request("POST", headers, b"abc").render_sub_request("i-1", 0.5)
    head, _, body = rendered.partition(b"\r\n\r\n")
    assert body == b"abc"
    assert b"Content-Length: 3" in head
    assert b"chunked" not in head


def test_post_without_a_body_has_content_length_zero():
    assert b"Content-Length: 0" in render_lines(build_request("POST"))


def test_only_a_valid_deadline_is_parsed():
    for text in (None, "", "soon", "-5", "0", "nan", "inf"):
        assert requests.parse_deadline(text) is None
    assert requests.parse_deadline("600") == 0.6


def test_reply_headers_are_forwarded_without_hop_by_hop_headers():
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


def test_gather_headers_list_the_signatures_and_the_missing_parts():
    headers = dict(requests.list_gather_headers("9c41", ["a", "b"], 1))
    assert headers["X-Part-Stamps"] == "a, b"
    assert headers["X-Missing-Parts"] == "1"
