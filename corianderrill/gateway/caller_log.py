"""Log records on connections that are ended by their input; see `event_log`."""

import msgspec


class CallerEvicted(msgspec.Struct, tag="caller-evicted", tag_field="event"):
    """A connection was ended as all connections together took too much.

    `reason` is what they took too much of, `stage` what the connection did, and
    `held_bytes` the input or answer that it held.
    """

    reason: str
    stage: str
    held_bytes: int


class InputRefused(msgspec.Struct, tag="input-refused", tag_field="event"):
    """A connection was closed as its input is no request within the limits.

    `status` is the status of the answer, 0 if there was none.
    """

    reason: str
    status: int


class AnswerUnread(msgspec.Struct, tag="answer-unread", tag_field="event"):
    """A caller did not read the whole of an answer, or of a part of it.

    `output_bytes` is the length of what it did not read whole.
    """

    reason: str
    output_bytes: int
