"""The messages between a host and a quota lessor, also those that are invalid."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from corianderrill.gateway import connections, quota_messages

ASK = quota_messages.WorkspaceAsk("kami", 1, 2, 3)
MESSAGE = quota_messages.Message("h-1", "p-1", 7, "t-1", "zone-a", False, [ASK])
GRANT = quota_messages.WorkspaceGrant(1, 0.25, 3, 9)
MAX_USUAL_BYTES = 200


def encode(*changes):
    """Return the message with fields of it set: (position, value)."""
    fields = msgspec.to_builtins(MESSAGE)
    for position, value in changes:
        fields[position] = value
    return msgspec.json.encode(fields)


def build_reply(*grants, status=200):
    body = quota_messages.encode_answer(quota_messages.Answer("t-1", list(grants)))
    return connections.RawReply(status, [], body)


def test_message_survives_the_wire_and_is_small():
    data = quota_messages.render_message(MESSAGE)
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"POST /quota HTTP/1.1\r\n")
    assert quota_messages.decode_message(body) == MESSAGE
    assert len(data) <= MAX_USUAL_BYTES


def test_answer_survives_the_wire():
    answer = quota_messages.parse_answer(build_reply(GRANT), MESSAGE)
    assert answer.grants == [GRANT]


@pytest.mark.parametrize(
    "change",
    [
        (0, 5),
        (0, "h" * 600),
        (2, -1),
        (2, 2**70),
        (5, "yes"),
        (6, [["kami", -1]]),
        (6, [["kami", 10**9]]),
        (6, [["kami", 1.5]]),
        (6, [["kami", 1]] * (quota_messages.MAX_ASKS + 1)),
        (6, "kami"),
    ],
    ids=str,
)
def test_message_out_of_its_bounds_is_an_error(change):
    with pytest.raises(quota_messages.MessageError):
        quota_messages.decode_message(encode(change))


@hypothesis.given(strategies.binary(max_size=80))
def test_any_bytes_are_a_message_or_an_error(data):
    try:
        quota_messages.decode_message(data)
    except quota_messages.MessageError:
        return


# Guards against a lessor, or another server, whose answer would exceed what was asked.
@pytest.mark.parametrize(
    "reply",
    [
        build_reply(GRANT, status=500),
        build_reply(GRANT, GRANT),
        build_reply(),
        build_reply(quota_messages.WorkspaceGrant(2)),
        build_reply(quota_messages.WorkspaceGrant(1, 0.0, 5, 4)),
        build_reply(quota_messages.WorkspaceGrant(1, 1e9)),
        connections.RawReply(200, [], b'["t-1",[[1,1e999,0,0]]]'),
        connections.RawReply(200, [], b"[" * 5_000),
        connections.RawReply(200, [], b" " * (quota_messages.MAX_BODY_BYTES + 1)),
    ],
)
def test_answer_that_does_not_fit_is_an_error(reply):
    with pytest.raises(quota_messages.MessageError):
        quota_messages.parse_answer(reply, MESSAGE)
