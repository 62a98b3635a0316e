"""Decodes JSON that other processes wrote: into a value, or one typed error."""

import re
from typing import Annotated

import msgspec

MAX_INTEGER = 2**63 - 1
# The integers of the platform fit into 64 bits. Larger ones could be compared, but
# neither logged nor used as a float.
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


# An escape in a JSON string; the group is a surrogate that is not one of a pair.
_ESCAPE = re.compile(
    rb"\\(?:u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}"
    rb"|(u[dD][89a-fA-F][0-9a-fA-F]{2})|.)",
    re.DOTALL,
)
_REPLACEMENT = rb"\ufffd"


class DecodingError(ValueError):
    """Bytes are no JSON, or no JSON of the expected shape."""


def decode_lenient(decoder: msgspec.json.Decoder, data: bytes) -> msgspec.Struct:
    """Return the value that `data` holds, with its invalid characters replaced.

    A name that is no Unicode, in one of many items, then spoils that item alone. Raise
    DecodingError if `data` holds no value even so.
    """
    try:
        return decode(decoder, data)
    except DecodingError:
        return decode(decoder, replace_invalid_characters(data))


def replace_invalid_characters(data: bytes) -> bytes:
    """Return JSON without bytes and escapes that are no Unicode character."""
    valid = data.decode("utf-8", "replace").encode()
    return _ESCAPE.sub(_replace_lone_surrogate, valid)


def _replace_lone_surrogate(match: re.Match[bytes]) -> bytes:
    return match[0] if match[1] is None else _REPLACEMENT


def decode(decoder: msgspec.json.Decoder, data: bytes) -> msgspec.Struct:
    """Return the value that `data` holds. Raise DecodingError if it holds none."""
    try:
        return decoder.decode(data)
    except RecursionError:
        # Without the error as its cause, which would hold the whole stack.
        raise DecodingError("the JSON is nested too deeply") from None
    except (ValueError, OverflowError, TypeError) as error:
        raise DecodingError(str(error)) from error
