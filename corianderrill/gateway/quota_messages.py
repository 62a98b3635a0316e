"""The messages between a host and a quota lessor: JSON arrays over HTTP.

A message asks for several workspaces of one lessor. The answer has one grant for each,
in the same order. Times in messages are durations in seconds.
"""

from typing import Annotated

import msgspec

from corianderrill import names
from corianderrill.gateway import connections, quota_ledger
from corianderrill.platform import decoding

PATH = "/quota"
MAX_ASKS = 64
MAX_BODY_BYTES = 65_536
MAX_COUNT = 1_000_000
MAX_DELAY_S = 60.0
# The lessor's answer to an ask for a workspace that its configuration does not have.
UNKNOWN = -1

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Name = Annotated[str, msgspec.Meta(max_length=512)]


class MessageError(ValueError):
    """A message or its answer is invalid."""


class WorkspaceAsk(msgspec.Struct, array_like=True, frozen=True):
    """What a host asks for one workspace; see `quota_ledger.Ask`."""

    workspace: _Name
    wanted: _Count
    used: _Count = 0
    returned: _Count = 0

    def to_ask(self) -> quota_ledger.Ask:
        """Return the ask for the ledger."""
        return quota_ledger.Ask(self.wanted, self.used, self.returned)


class Message(msgspec.Struct, array_like=True, frozen=True):
    """What one process of a host asks a lessor.

    `sequence` rises with each message of the process. `term` is the ledger that granted
    the tokens that are returned. `wants_slot` tells that the host waits for a slot of
    its `zone`.
    """

    host: _Name
    process: _Name
    sequence: Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INTEGER)]
    term: _Name
    zone: _Name
    wants_slot: bool
    asks: Annotated[list[WorkspaceAsk], msgspec.Meta(max_length=MAX_ASKS)]


class WorkspaceGrant(msgspec.Struct, array_like=True, frozen=True):
    """The answer for one workspace; see `quota_ledger.Grant`."""

    granted: Annotated[int, msgspec.Meta(ge=UNKNOWN, le=MAX_COUNT)]
    retry_after_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DELAY_S)] = 0.0
    units: _Count = 0
    total: _Count = 0
    overdrawn: _Count = 0


class Answer(msgspec.Struct, array_like=True, frozen=True):
    """The grants of a lessor, and the ledger that they are from."""

    term: _Name
    grants: Annotated[list[WorkspaceGrant], msgspec.Meta(max_length=MAX_ASKS)]


_MESSAGE_DECODER = msgspec.json.Decoder(Message)
_ANSWER_DECODER = msgspec.json.Decoder(Answer)


def render_message(message: Message) -> bytes:
    """Return the bytes of the HTTP request that carries a message."""
    body = msgspec.json.encode(message)
    head = f"POST {PATH} HTTP/1.1\r\nHost: q\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def decode_message(body: bytes) -> Message:
    """Decode the body of a message. Raise MessageError if it is invalid."""
    try:
        return decoding.decode(_MESSAGE_DECODER, body)
    except decoding.DecodingError as error:
        raise MessageError(str(error)) from error


def encode_answer(answer: Answer) -> bytes:
    """Return the body of an answer."""
    return msgspec.json.encode(answer)


def build_grant(grant: quota_ledger.Grant) -> WorkspaceGrant:
    """Return the grant for an answer."""
    return WorkspaceGrant(
        grant.granted,
        round(grant.retry_after_s, 3),
        grant.units,
        grant.total,
        grant.overdrawn,
    )


def parse_answer(reply: connections.RawReply, message: Message) -> Answer:
    """Return the answer to a message. Raise MessageError if it is none."""
    if reply.status != 200:
        raise MessageError(f"status {reply.status}")
    if len(reply.body) > MAX_BODY_BYTES:
        raise MessageError(f"a body of {len(reply.body)} bytes")
    try:
        answer = decoding.decode(_ANSWER_DECODER, reply.body)
    except decoding.DecodingError as error:
        raise MessageError(str(error)) from error
    if len(answer.grants) != len(message.asks):
        raise MessageError(f"{len(answer.grants)} grants, {len(message.asks)} asks")
    for ask, grant in zip(message.asks, answer.grants, strict=True):
        if grant.granted > ask.wanted or grant.units > grant.total:
            raise MessageError("more was granted than asked for or leased out")
    return answer


def build_lessee(message: Message) -> quota_ledger.Lessee:
    """Return the process that sent a message."""
    return quota_ledger.Lessee(
        names.HostName(message.host), names.Incarnation(message.process)
    )
