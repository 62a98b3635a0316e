"""Reads the bytes of a caller's connection: heads and bodies of requests, in bounds.

Without a network: the connection adds bytes to a `Buffer`, and a reader takes them out.
Each reader bounds what it keeps, takes time linear in the bytes, and returns after a
number of lines, so that a flood of short lines does not hold up other connections.
"""

import dataclasses
import enum
import re

MAX_REQUEST_LINE_BYTES = 65_536
# Clients send one empty line at most, after the body of the request before.
MAX_EMPTY_LINES_BYTES = 64
# Each header line takes many times the memory of its bytes.
MAX_HEADER_LINES = 1_000
LINE_OVERHEAD_BYTES = 500
MAX_HEADER_LINE_BYTES = 65_536
# As received, parsed, in the environment of the application, and as sent on.
HEAD_COPIES = 4
# Spaces around a value count as sent bytes, but not for `max_header_bytes`, which the
# application checks. So more is read than it allows.
HEAD_READ_FACTOR = 2
# Hexadecimal digits and an extension.
MAX_CHUNK_LINE_BYTES = 4_096
MAX_LINES_AT_ONCE = 500

_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,256})[ \t]*(?:;.*)?")
# Greater sizes are beyond any limit; leading zeros are allowed.
_MAX_SIZE_DIGITS = 16
_LINE_ENDS = (b"\r\n", b"\n")
# By the line without its line feed. Chunks of few bytes are mostly framing, so their
# sizes are looked up rather than parsed.
_SHORT_SIZES = {
    line % size: size for size in range(1, 256) for line in (b"%x\r", b"%X\r")
}
_SHORT_SIZE_LINE_BYTES = 4
_SHORT_CHUNKS_BYTES = 3_000


class Progress(enum.Enum):
    """How far a reader came with the bytes that were received."""

    NEEDS_BYTES = 1
    # More can be read from the same bytes.
    PAUSED = 2
    COMPLETE = 3


class InputError(Exception):
    """The input can't be read as a request; nothing of it was executed.

    `status` is the status of the answer, None if the connection is closed without one.
    """

    status: int | None = 400

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class HeadTooLargeError(InputError):
    """The header lines of a request are longer than the configuration allows."""

    status = 431


class RequestLineTooLongError(InputError):
    """The request line has no end within its limit."""

    status = 414


class NoRequestError(InputError):
    """Nothing but empty lines was sent."""

    status = None


class MalformedError(InputError):
    """The framing of a head or a body is invalid."""

    status = 400


class BodyTooLargeError(InputError):
    """The body is longer than the configuration allows."""

    status = 413


class TooSlowError(InputError):
    """The body came slower than any client within the limits sends one."""

    status = 408


class NoMemoryError(InputError):
    """The input of all callers together takes more memory than it may."""

    status = 503


class Buffer:
    """Bytes that were received and not yet read."""

    def __init__(self) -> None:
        self._bytes = bytearray()
        # Before this position there is no end of a line.
        self._searched = 0

    def __len__(self) -> int:
        return len(self._bytes)

    def add(self, data: bytes) -> None:
        """Append received bytes."""
        self._bytes += data

    def peek(self, max_bytes: int) -> bytes:
        """Return the next bytes, at most `max_bytes`, and keep them."""
        return bytes(self._bytes[:max_bytes])

    def skip(self, count: int) -> None:
        """Remove the next bytes."""
        del self._bytes[:count]
        self._searched = 0

    def take(self, max_bytes: int) -> bytearray:
        """Remove and return the next bytes, at most `max_bytes`."""
        taken = self._bytes[:max_bytes]
        self.skip(max_bytes)
        return taken

    def take_line(self, max_bytes: int) -> bytes | None:
        """Remove and return the next line with its end; None if it is incomplete.

        Raise ValueError if it has no end within `max_bytes`.
        """
        end = self._bytes.find(b"\n", self._searched, max_bytes)
        if end >= 0:
            return bytes(self.take(end + 1))
        if len(self._bytes) >= max_bytes:
            raise ValueError(f"no end of line in {max_bytes} bytes")
        self._searched = len(self._bytes)
        return None


@dataclasses.dataclass(slots=True)
class HeadReader:
    """Reads the request line and the header lines of a request."""

    max_header_bytes: int
    request_line: bytes = b""
    header_lines: list[bytes] = dataclasses.field(default_factory=list)
    header_bytes: int = 0
    empty_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Return the memory that the head takes, also once it is parsed."""
        head_bytes = len(self.request_line) + self.header_bytes
        return HEAD_COPIES * head_bytes + LINE_OVERHEAD_BYTES * len(self.header_lines)

    def read(self, buffer: Buffer) -> Progress:
        """Read on. Raise InputError if the head is beyond a limit."""
        if not self.request_line and not self._read_request_line(buffer):
            return Progress.NEEDS_BYTES
        for _ in range(MAX_LINES_AT_ONCE):
            line = self._take_header_line(buffer)
            if line is None:
                return Progress.NEEDS_BYTES
            if line in _LINE_ENDS:
                return Progress.COMPLETE
            self._keep_header_line(line)
        return Progress.PAUSED

    def join_header_lines(self) -> bytes:
        """Return the header lines and the empty line that ends them."""
        return b"".join((*self.header_lines, b"\r\n"))

    def _read_request_line(self, buffer: Buffer) -> bool:
        while True:
            try:
                line = buffer.take_line(MAX_REQUEST_LINE_BYTES)
            except ValueError as error:
                raise RequestLineTooLongError("request-line-too-long") from error
            if line is None:
                return False
            if line not in _LINE_ENDS:
                self.request_line = line
                return True
            self.empty_bytes += len(line)
            if self.empty_bytes > MAX_EMPTY_LINES_BYTES:
                raise NoRequestError("empty-lines")

    def _take_header_line(self, buffer: Buffer) -> bytes | None:
        left_bytes = HEAD_READ_FACTOR * self.max_header_bytes - self.header_bytes
        # The empty line that ends the head does not count.
        try:
            return buffer.take_line(left_bytes + 2)
        except ValueError as error:
            raise HeadTooLargeError("headers-too-large") from error

    def _keep_header_line(self, line: bytes) -> None:
        if b"\r" in line[:-2] or b"\0" in line:
            # The standard library would read it as the end of a line.
            raise MalformedError("headers-malformed")
        self.header_bytes += len(line)
        self.header_lines.append(line)
        if len(line) > MAX_HEADER_LINE_BYTES:
            raise HeadTooLargeError("header-line-too-long")
        if len(self.header_lines) > MAX_HEADER_LINES:
            raise HeadTooLargeError("too-many-headers")


class LengthReader:
    """Reads a body whose length is known; `body` may be cleared between the reads."""

    def __init__(self, length: int, max_bytes: int) -> None:
        self.body = bytearray()
        self._left_bytes = length
        self._is_too_large = length > max_bytes

    @property
    def held_bytes(self) -> int:
        """Return the memory that the body takes."""
        return len(self.body)

    def read(self, buffer: Buffer) -> Progress:
        """Read on. Raise InputError if the body is beyond the limit."""
        if self._is_too_large:
            raise BodyTooLargeError("body-too-large")
        piece = buffer.take(self._left_bytes)
        self.body += piece
        self._left_bytes -= len(piece)
        return Progress.NEEDS_BYTES if self._left_bytes else Progress.COMPLETE


class _ChunkPart(enum.Enum):
    SIZE = 1
    DATA = 2
    DATA_END = 3
    TRAILERS = 4
    END = 5


class ChunkReader:
    """Reads a body in chunks; extensions and trailers are dropped.

    `max_extra_bytes` bounds the sum of the extensions and the trailers. `body` may be
    cleared between the reads.
    """

    def __init__(self, max_bytes: int, max_extra_bytes: int) -> None:
        self.body = bytearray()
        self._left_bytes = max_bytes
        self._left_extra_bytes = max_extra_bytes
        self._left_in_chunk = 0
        self._part = _ChunkPart.SIZE

    @property
    def held_bytes(self) -> int:
        """Return the memory that the body takes."""
        return len(self.body)

    def read(self, buffer: Buffer) -> Progress:
        """Read on. Raise InputError if the body is malformed or beyond a limit."""
        line_count = 0
        while line_count < MAX_LINES_AT_ONCE:
            count = self._read_part(buffer)
            if self._part is _ChunkPart.END:
                return Progress.COMPLETE
            if not count:
                return Progress.NEEDS_BYTES
            line_count += count
        return Progress.PAUSED

    def _read_part(self, buffer: Buffer) -> int:
        """Read lines or chunks; return their number, 0 if more bytes are needed."""
        match self._part:
            case _ChunkPart.SIZE:
                return self._read_short_chunks(buffer) or self._read_size(buffer)
            case _ChunkPart.DATA:
                return self._read_data(buffer)
            case _ChunkPart.DATA_END:
                return self._read_data_end(buffer)
            case _:
                return self._read_trailer(buffer)

    def _read_short_chunks(self, buffer: Buffer) -> int:
        """Read whole chunks of few bytes without extensions; return their number.

        Other chunks are left to `_read_size`.
        """
        data = buffer.peek(_SHORT_CHUNKS_BYTES)
        pieces = []
        position = 0
        while True:
            line_end = data.find(b"\n", position, position + _SHORT_SIZE_LINE_BYTES)
            if line_end < 0:
                break
            size = _SHORT_SIZES.get(data[position:line_end])
            if size is None or size > self._left_bytes:
                break
            end = line_end + 1 + size
            if data[end : end + 2] != b"\r\n":
                break
            pieces.append(data[line_end + 1 : end])
            self._left_bytes -= size
            position = end + 2
        self.body += b"".join(pieces)
        buffer.skip(position)
        return len(pieces)

    def _read_size(self, buffer: Buffer) -> bool:
        line = _take_line(buffer, MAX_CHUNK_LINE_BYTES)
        if line is None:
            return False
        found = _CHUNK_LINE.fullmatch(line.rstrip(b"\r\n"))
        if found is None:
            raise MalformedError("body-malformed")
        digits = found[1].lstrip(b"0")
        if len(digits) > _MAX_SIZE_DIGITS:
            raise BodyTooLargeError("body-too-large")
        self._left_in_chunk = int(digits or b"0", 16)
        self._left_bytes -= self._left_in_chunk
        if self._left_bytes < 0:
            raise BodyTooLargeError("body-too-large")
        # Leading zeros count like an extension, the digits and the line end do not.
        self._count_extra(max(0, len(line) - len(digits) - 2))
        self._part = _ChunkPart.DATA if self._left_in_chunk else _ChunkPart.TRAILERS
        return True

    def _read_data(self, buffer: Buffer) -> bool:
        piece = buffer.take(self._left_in_chunk)
        self.body += piece
        self._left_in_chunk -= len(piece)
        if self._left_in_chunk:
            return False
        self._part = _ChunkPart.DATA_END
        return True

    def _read_data_end(self, buffer: Buffer) -> bool:
        line = _take_line(buffer, 2)
        if line is None:
            return False
        if line not in _LINE_ENDS:
            raise MalformedError("body-malformed")
        self._part = _ChunkPart.SIZE
        return True

    def _read_trailer(self, buffer: Buffer) -> bool:
        line = _take_line(buffer, self._left_extra_bytes + 2)
        if line is None:
            return False
        if line in _LINE_ENDS:
            self._part = _ChunkPart.END
            return True
        self._count_extra(len(line))
        return True

    def _count_extra(self, count: int) -> None:
        self._left_extra_bytes -= count
        if self._left_extra_bytes < 0:
            raise MalformedError("body-framing-too-large")


def _take_line(buffer: Buffer, max_bytes: int) -> bytes | None:
    try:
        return buffer.take_line(max_bytes)
    except ValueError as error:
        raise MalformedError("body-malformed") from error
