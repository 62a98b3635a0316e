"""Decodes JSON that other processes wrote: into a value, or one typed error."""

from typing import Annotated

import msgspec

MAX_INTEGER = 2**63 - 1
# The integers of the platform fit into 64 bits. Larger ones could be compared, but
# neither logged nor used as a float.
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


class DecodingError(ValueError):
    """Bytes are no JSON, or no JSON of the expected shape."""


def decode(decoder: msgspec.json.Decoder, data: bytes) -> msgspec.Struct:
    """Return the value that `data` holds. Raise DecodingError if it holds none."""
    try:
        return decoder.decode(data)
    except RecursionError:
        # Without the error as its cause, which would hold the whole stack.
        raise DecodingError("the JSON is nested too deeply") from None
    except (ValueError, OverflowError, TypeError) as error:
        raise DecodingError(str(error)) from error
