"""What a reply is worth: stray, spoiled and refused ones."""

import pytest

from corianderrill.gateway import connections, replies
from corianderrill.platform import requests

ID = "9c41d07be2a35f68"
ECHO = (b"x-request-id", ID.encode())
SIGNED = (b"x-server-stamp", b"3e1b.07")


def classify_reply(status, *headers):
    raw = connections.RawReply(status, list(headers), b"")
    return replies.classify_reply(requests.decode_reply(raw), ID)


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, (ECHO, SIGNED), replies.AttemptOutcome.SUCCESS),
        (500, (ECHO, SIGNED), replies.AttemptOutcome.ERROR_REPLY),
        (504, (ECHO, SIGNED), replies.AttemptOutcome.ERROR_REPLY),
        (200, (ECHO,), replies.AttemptOutcome.UNUSABLE),
        (200, (SIGNED,), replies.AttemptOutcome.UNUSABLE),
        (200, ((b"x-request-id", b"other"), SIGNED), replies.AttemptOutcome.UNUSABLE),
        (
            200,
            (ECHO, SIGNED, (b"content-encoding", b"gzip")),
            replies.AttemptOutcome.UNUSABLE,
        ),
        (503, ((b"x-not-executed", b"1"),), replies.AttemptOutcome.NOT_EXECUTED),
        (429, (ECHO, (b"x-not-executed", b"1")), replies.AttemptOutcome.NOT_EXECUTED),
        (503, (ECHO, SIGNED), replies.AttemptOutcome.ERROR_REPLY),
        (503, (), replies.AttemptOutcome.UNUSABLE),
        (421, ((b"x-instance-id", b"i-2"),), replies.AttemptOutcome.MISDIRECTED),
        (
            503,
            ((b"x-request-id", b"other"), (b"x-not-executed", b"1")),
            replies.AttemptOutcome.UNUSABLE,
        ),
    ],
)
def test_reply_is_judged_by_status_id_and_signature(status, headers, verdict):
    assert classify_reply(status, *headers) is verdict
