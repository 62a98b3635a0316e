"""Classification of replies: misdelivered, invalid, refused and error replies."""

import pytest

from corianderrill.gateway import connections, replies
from corianderrill.platform import requests

REQUEST_ID = "9c41d07be2a35f68"
ECHOED_ID = (b"x-request-id", REQUEST_ID.encode())
SIGNATURE = (b"x-server-stamp", b"3e1b.07")


def classify(status, *headers):
    raw = connections.RawReply(status, list(headers), b"")
    return replies.classify_reply(requests.decode_reply(raw), REQUEST_ID)


@pytest.mark.parametrize(
    ("status", "headers", "outcome"),
    [
        (200, (ECHOED_ID, SIGNATURE), replies.AttemptOutcome.SUCCESS),
        (500, (ECHOED_ID, SIGNATURE), replies.AttemptOutcome.ERROR_REPLY),
        (504, (ECHOED_ID, SIGNATURE), replies.AttemptOutcome.ERROR_REPLY),
        (200, (ECHOED_ID,), replies.AttemptOutcome.UNUSABLE),
        (200, (SIGNATURE,), replies.AttemptOutcome.UNUSABLE),
        (
            200,
            ((b"x-request-id", b"other"), SIGNATURE),
            replies.AttemptOutcome.UNUSABLE,
        ),
        (
            200,
            (ECHOED_ID, SIGNATURE, (b"content-encoding", b"gzip")),
            replies.AttemptOutcome.UNUSABLE,
        ),
        (503, ((b"x-not-executed", b"1"),), replies.AttemptOutcome.UNUSABLE),
        (
            503,
            (ECHOED_ID, (b"x-not-executed", b"1")),
            replies.AttemptOutcome.NOT_EXECUTED,
        ),
        (
            429,
            (ECHOED_ID, (b"x-not-executed", b"1")),
            replies.AttemptOutcome.NOT_EXECUTED,
        ),
        (503, (ECHOED_ID, SIGNATURE), replies.AttemptOutcome.ERROR_REPLY),
        (503, (), replies.AttemptOutcome.UNUSABLE),
        (421, ((b"x-instance-id", b"i-2"),), replies.AttemptOutcome.UNUSABLE),
        (
            421,
            (ECHOED_ID, (b"x-instance-id", b"i-2")),
            replies.AttemptOutcome.MISDIRECTED,
        ),
        (
            503,
            ((b"x-request-id", b"other"), (b"x-not-executed", b"1")),
            replies.AttemptOutcome.UNUSABLE,
        ),
    ],
)
def test_reply_is_classified_by_status_request_id_and_signature(
    status, headers, outcome
):
    assert classify(status, *headers) is outcome
