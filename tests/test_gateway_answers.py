"""What a reply is worth: stray, spoiled and refused ones."""

import pytest

from corianderrill.gateway import answers, connections
from corianderrill.platform import requests

ID = "9c41d07be2a35f68"
ECHO = (b"x-request-id", ID.encode())
SIGNED = (b"x-server-stamp", b"3e1b.07")


def judge(status, *headers):
    raw = connections.RawReply(status, list(headers), b"")
    return answers.judge(requests.decode_reply(raw), ID)


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, (ECHO, SIGNED), answers.Verdict.GOOD),
        (500, (ECHO, SIGNED), answers.Verdict.FAILED),
        (504, (ECHO, SIGNED), answers.Verdict.FAILED),
        (200, (ECHO,), answers.Verdict.UNUSABLE),
        (200, (SIGNED,), answers.Verdict.UNUSABLE),
        (200, ((b"x-request-id", b"other"), SIGNED), answers.Verdict.UNUSABLE),
        (
            200,
            (ECHO, SIGNED, (b"content-encoding", b"gzip")),
            answers.Verdict.UNUSABLE,
        ),
        (503, ((b"x-not-executed", b"1"),), answers.Verdict.NOT_RUN),
        (429, (ECHO, (b"x-not-executed", b"1")), answers.Verdict.NOT_RUN),
        (503, (ECHO, SIGNED), answers.Verdict.FAILED),
        (503, (), answers.Verdict.UNUSABLE),
        (421, ((b"x-instance-id", b"i-2"),), answers.Verdict.ELSEWHERE),
        (
            503,
            ((b"x-request-id", b"other"), (b"x-not-executed", b"1")),
            answers.Verdict.UNUSABLE,
        ),
    ],
)
def test_reply_is_judged_by_status_id_and_signature(status, headers, verdict):
    assert judge(status, *headers) is verdict
