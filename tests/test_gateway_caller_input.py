"""The readers of callers' bytes: any bytes, split anywhere, end in a typed outcome."""

import gc
import itertools
import time
import tracemalloc

import hypothesis
import pytest
from hypothesis import strategies

from corianderrill.gateway import caller_input

MAX_HEADER_BYTES = 400
MAX_BODY_BYTES = 300
MAX_EXTRA_BYTES = 100
# In the tests of memory and time.
LARGE_BYTES = 400_000
LARGE_PIECE_BYTES = 30_000
# For the objects of a reader, beside what it reads.
SLACK_BYTES = 100_000

HEAD_PIECES = strategies.one_of(
    strategies.sampled_from(
        (
            b"GET /x HTTP/1.1\r\n",
            b"Host: a\r\n",
            b"X-A: b\n",
            b"X-A: " + b"a" * 300 + b"\r\n",
            b" folded\r\n",
            b"X-A: b\rX-B: c\r\n",
            b"\r\n",
            b"\n",
            b"\r",
        )
    ),
    strategies.binary(max_size=40),
)
BODY_PIECES = strategies.one_of(
    strategies.sampled_from(
        (
            b"1\r\na\r\n",
            b"3;a=b\r\nabc\r\n",
            b"0\r\n",
            b"0\r\n\r\n",
            b"00000005\r\nabcde\r\n",
            b"ff\r\n",
            b"fffffffffffffffff\r\n",
            b"-1\r\n",
            b"0x1\r\n",
            b"X-Trailer: a\r\n",
            b"\r\n",
        )
    ),
    strategies.binary(max_size=40),
)
CUTS = strategies.lists(strategies.integers(0), max_size=8)


def split_bytes(data, cuts):
    ends = sorted({cut % (len(data) + 1) for cut in cuts} | {len(data)})
    return [data[a:b] for a, b in itertools.pairwise([0, *ends]) if b > a]


def read(reader, pieces):
    """Feed pieces until the reader is done; return the outcome and the bytes left."""
    buffer = caller_input.Buffer()
    progress = caller_input.Progress.NEEDS_BYTES
    for piece in (b"", *pieces):
        buffer.add(piece)
        try:
            progress = reader.read(buffer)
            while progress is caller_input.Progress.PAUSED:
                progress = reader.read(buffer)
        except caller_input.InputError as error:
            return error, b""
        if progress is caller_input.Progress.COMPLETE:
            break
    return progress, bytes(buffer.take(len(buffer)))


def build_head_reader():
    return caller_input.HeadReader(MAX_HEADER_BYTES)


def build_chunk_reader():
    return caller_input.ChunkReader(MAX_BODY_BYTES, MAX_EXTRA_BYTES)


def get_result(reader):
    """Return what a reader of either kind has read."""
    if isinstance(reader, caller_input.HeadReader):
        return reader.request_line, reader.header_lines
    return bytes(reader.body)


def check_outcome(build, data, cuts):
    """Check that an outcome is typed, and the same however the bytes are split."""
    whole, split = build(), build()
    expected, rest = read(whole, [data])
    outcome, _ = read(split, split_bytes(data, cuts))
    assert isinstance(expected, caller_input.Progress | caller_input.InputError)
    if isinstance(expected, caller_input.InputError):
        assert (type(outcome), str(outcome)) == (type(expected), str(expected))
        return
    assert outcome is expected
    assert get_result(split) == get_result(whole)
    assert data.endswith(rest)


# Guards against bytes that raise an error of another kind, for which the caller would
# get 500, and against limits that depend on how the bytes arrive.
@hypothesis.settings(max_examples=500, deadline=None)
@hypothesis.given(strategies.lists(HEAD_PIECES, max_size=12), CUTS)
def test_any_head_split_anywhere_has_a_typed_outcome(pieces, cuts):
    check_outcome(build_head_reader, b"".join(pieces), cuts)


@hypothesis.settings(max_examples=500, deadline=None)
@hypothesis.given(strategies.lists(BODY_PIECES, max_size=12), CUTS)
def test_any_body_in_chunks_split_anywhere_has_a_typed_outcome(pieces, cuts):
    check_outcome(build_chunk_reader, b"".join(pieces), cuts)


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(strategies.integers(0, 400), strategies.binary(max_size=400), CUTS)
def test_any_body_with_a_length_has_a_typed_outcome(length, data, cuts):
    check_outcome(lambda: caller_input.LengthReader(length, MAX_BODY_BYTES), data, cuts)


# Guards against a body that is cut short or taken for the next request.
@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.binary(min_size=1, max_size=20), max_size=10),
    strategies.binary(max_size=10),
    CUTS,
)
def test_body_in_chunks_is_read_to_its_end_and_no_further(chunks, rest, cuts):
    encoded = b"".join(b"%x;a\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    reader = build_chunk_reader()
    data = encoded + b"0\r\nX-Trailer: a\r\n\r\n"
    buffer = caller_input.Buffer()
    for piece in split_bytes(data, cuts):
        buffer.add(piece)
        progress = reader.read(buffer)
    buffer.add(rest)
    left = bytes(buffer.take(len(rest) + 1))
    assert (progress, left) == (caller_input.Progress.COMPLETE, rest)
    assert bytes(reader.body) == b"".join(chunks)


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b"\r\n" * 100, caller_input.NoRequestError),
        (b"G" * 70_000, caller_input.RequestLineTooLongError),
        (b"G /\r\nX-A: " + b"a" * 900, caller_input.HeadTooLargeError),
        (b"G /\r\n" + b"X-A: a\r\n" * 200, caller_input.HeadTooLargeError),
        (b"G /\r\nX-A: a\rX-B: b\r\n\r\n", caller_input.MalformedError),
        (b"G /\r\nX-A: \0\r\n\r\n", caller_input.MalformedError),
    ],
    ids=["empty", "line", "header", "headers", "return", "zero"],
)
def test_head_beyond_a_limit_is_refused(data, error):
    outcome, _ = read(build_head_reader(), [data])
    assert type(outcome) is error


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b"1;" + b"a" * 5_000, caller_input.MalformedError),
        (b"0" * 5_000, caller_input.MalformedError),
        (b"1;aaaaaaaaaaaaaaaaaaaa\r\na\r\n" * 6, caller_input.MalformedError),
        (b"0\r\n" + b"X-A: a\r\n" * 20, caller_input.MalformedError),
        (b"0\r\nX-A: " + b"a" * 200, caller_input.MalformedError),
        (b"1\r\na\r\n" * 301, caller_input.BodyTooLargeError),
        (b"12d\r\n", caller_input.BodyTooLargeError),
        (b"f" * 100 + b"\r\n", caller_input.BodyTooLargeError),
        (b"none\r\n", caller_input.MalformedError),
        (b"\r\n", caller_input.MalformedError),
        (b"1\r\nab\r\n", caller_input.MalformedError),
    ],
)
def test_body_beyond_a_limit_is_refused(data, error):
    outcome, _ = read(build_chunk_reader(), [data])
    assert type(outcome) is error


def test_chunks_of_one_byte_up_to_the_limit_are_read():
    reader = build_chunk_reader()
    outcome, _ = read(reader, [b"1\r\na\r\n" * MAX_BODY_BYTES + b"0\r\n\r\n"])
    assert outcome is caller_input.Progress.COMPLETE
    assert len(reader.body) == MAX_BODY_BYTES


# Guards against a flood of short lines that keeps other connections waiting.
@pytest.mark.parametrize(
    ("reader", "data"),
    [
        (caller_input.HeadReader(LARGE_BYTES), b"G /\r\n" + b"a:b\r\n" * 900),
        (caller_input.ChunkReader(LARGE_BYTES, LARGE_BYTES), b"1;\r\na\r\n" * 900),
    ],
    ids=["head", "chunks"],
)
def test_reader_pauses_within_many_lines(reader, data):
    buffer = caller_input.Buffer()
    buffer.add(data)
    assert reader.read(buffer) is caller_input.Progress.PAUSED


FLOODS = {
    "request-line": (lambda: caller_input.HeadReader(LARGE_BYTES), b"", b"a"),
    "header": (lambda: caller_input.HeadReader(LARGE_BYTES), b"G /\r\nX: ", b"a"),
    "headers": (lambda: caller_input.HeadReader(LARGE_BYTES), b"G /\r\n", b"a:b\r\n"),
    "empty": (lambda: caller_input.HeadReader(LARGE_BYTES), b"", b"\r\n"),
    "size": (lambda: caller_input.ChunkReader(LARGE_BYTES, 0), b"", b"0"),
    "chunks": (lambda: caller_input.ChunkReader(LARGE_BYTES, 0), b"", b"1\r\na\r\n"),
    "extension": (lambda: caller_input.ChunkReader(LARGE_BYTES, 0), b"1;", b"a"),
    "trailers": (
        lambda: caller_input.ChunkReader(LARGE_BYTES, LARGE_BYTES),
        b"0\r\n",
        b"a:b\r\n",
    ),
    "length": (lambda: caller_input.LengthReader(LARGE_BYTES, LARGE_BYTES), b"", b"a"),
}


def measure_peak_bytes(build, opening, line):
    piece = line * (LARGE_PIECE_BYTES // len(line))
    pieces = [opening, *[piece] * (3 * LARGE_BYTES // LARGE_PIECE_BYTES)]
    gc.collect()
    tracemalloc.start()
    reader = build()
    read(reader, pieces)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak_bytes


# Guards against short pieces that take many times the memory of their bytes.
@pytest.mark.parametrize(("build", "opening", "line"), FLOODS.values(), ids=FLOODS)
def test_flood_takes_little_more_memory_than_its_limit(build, opening, line):
    assert measure_peak_bytes(build, opening, line) < 4 * LARGE_BYTES + SLACK_BYTES


def measure_s(build, opening, line, count):
    """Return the processor time to read lines that arrive in small pieces."""
    reader = build()
    buffer = caller_input.Buffer()
    buffer.add(opening)
    began_at = time.process_time()
    for _ in range(count):
        buffer.add(line)
        reader.read(buffer)
    return time.process_time() - began_at


# Guards against a time that grows with the square of the bytes.
@pytest.mark.parametrize(
    ("opening", "line", "build"),
    [
        (b"G /\r\nX: ", b"a", lambda: caller_input.HeadReader(LARGE_BYTES)),
        (b"", b"1\r\na\r\n", lambda: caller_input.ChunkReader(LARGE_BYTES, 0)),
        (
            b"0\r\nX: ",
            b"a",
            lambda: caller_input.ChunkReader(LARGE_BYTES, LARGE_BYTES),
        ),
    ],
    ids=["header", "chunks", "trailer"],
)
def test_small_pieces_are_read_in_linear_time(opening, line, build):
    short_s = min(measure_s(build, opening, line, 20_000) for _ in range(3))
    assert measure_s(build, opening, line, 80_000) < 12 * short_s
