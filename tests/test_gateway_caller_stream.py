"""The stream of a caller's connection: its deadlines, and its end from outside."""

import contextlib
import socket
import time

import eventlet
import pytest

from corianderrill.gateway import caller_input, caller_resources, caller_stream

LIMIT_BYTES = 1_000_000
IDLE_S = 0.6
HEAD_S = 0.2
STALL_S = 0.3
PAUSE_S = 0.02
# For a step that has no deadline of its own here.
LONG_S = 10.0


class Connection:
    """Stands for the protocol object that owns a stream."""

    def __init__(self):
        self.stream = None

    def evict(self, reason):
        self.stream.interrupt()


class StreamPair:
    """A stream, and the caller at the other end of its socket."""

    def __init__(self, memory=None):
        self.sock, self.caller = socket.socketpair()
        self.memory = memory or caller_resources.BufferMemory(
            LIMIT_BYTES, lambda: 0, lambda *_: None
        )
        connection = Connection()
        self.holder = caller_resources.Holder(connection, 0.0)
        self.memory.add(self.holder)
        self.stream = caller_stream.CallerStream(self.sock, self.holder, self.memory)
        connection.stream = self.stream

    def read_head(self):
        reader = caller_input.HeadReader(1_000)
        self.stream.read_head(reader, IDLE_S, HEAD_S)
        return reader

    def read_body(self, length):
        reader = caller_input.LengthReader(length, LIMIT_BYTES)
        self.stream.read_body(reader)
        return bytes(reader.body)

    def send_bytewise(self, data):
        """Send bytes one by one from a green thread."""

        def send():
            with contextlib.suppress(OSError):
                for at in range(len(data)):
                    self.caller.sendall(data[at : at + 1])
                    eventlet.sleep(PAUSE_S)

        return eventlet.spawn(send)

    def close(self):
        self.sock.close()
        self.caller.close()


@pytest.fixture
def pair():
    running = StreamPair()
    yield running
    running.close()


@pytest.fixture
def short_stall(monkeypatch):
    monkeypatch.setattr(caller_stream, "STALL_TIMEOUT_S", STALL_S)


def test_connection_that_stays_idle_ends_after_the_idle_time(pair):
    began_at = time.monotonic()
    with pytest.raises(TimeoutError):
        pair.read_head()
    assert time.monotonic() - began_at >= IDLE_S
    assert pair.holder.stage is caller_resources.Stage.IDLE


# Guards against a head for which each byte has a time of its own.
def test_head_that_is_sent_bytewise_ends_after_the_time_for_a_head(pair):
    pair.send_bytewise(b"G" * 1_000)
    began_at = time.monotonic()
    with pytest.raises(TimeoutError):
        pair.read_head()
    assert time.monotonic() - began_at < IDLE_S
    assert pair.holder.stage is caller_resources.Stage.READING


# Guards against a kept connection that ends early since a client sent an empty line
# after the request before.
def test_empty_line_does_not_begin_a_head(pair):
    pair.caller.sendall(b"\r\n")
    eventlet.spawn_after(2 * HEAD_S, pair.caller.sendall, b"GET / HTTP/1.1\r\n\r\n")
    assert pair.read_head().request_line == b"GET / HTTP/1.1\r\n"


def test_body_that_stalls_is_too_slow(pair, short_stall):
    pair.caller.sendall(b"abc")
    with pytest.raises(caller_input.TooSlowError):
        pair.read_body(4)


# Guards against a body that holds its connection for as long as each byte is in time.
def test_body_that_is_sent_bytewise_below_the_least_average_is_too_slow(
    pair, short_stall
):
    pair.send_bytewise(b"a" * 1_000)
    with pytest.raises(caller_input.TooSlowError), eventlet.Timeout(LONG_S):
        pair.read_body(1_000)


def test_body_that_is_sent_bytewise_above_the_least_average_is_read(
    pair, short_stall, monkeypatch
):
    monkeypatch.setattr(caller_stream, "MIN_BYTES_PER_S", 0.1 / PAUSE_S)
    pair.send_bytewise(b"a" * 40)
    assert pair.read_body(40) == b"a" * 40


def test_answer_that_is_not_read_ends_with_an_error(pair, short_stall):
    with pytest.raises(TimeoutError):
        pair.stream.send([b"a" * 5_000_000])
    assert pair.holder.held_bytes == 0


def test_long_answer_is_sent_whole(pair):
    pieces = [b"head", b"b" * 3_000_000, b"tail"]
    sender = eventlet.spawn(pair.stream.send, pieces)
    received = b""
    with eventlet.Timeout(LONG_S):
        while len(received) < 3_000_008:
            received += pair.caller.recv(65_536)
    sender.wait()
    assert received == b"".join(pieces)


# Guards against a connection that keeps its bytes until its caller sends more.
def test_connection_that_waits_for_its_body_ends_at_once_when_evicted(pair):
    other = StreamPair(pair.memory)
    other.holder.stage = caller_resources.Stage.SERVING
    pair.caller.sendall(b"a" * 100_000)
    reading = eventlet.spawn(pair.read_body, 200_000)
    while pair.holder.held_bytes < 100_000:
        eventlet.sleep(PAUSE_S)
    pair.memory.hold(other.holder, LIMIT_BYTES)
    with pytest.raises(caller_input.NoMemoryError), eventlet.Timeout(LONG_S):
        reading.wait()
    other.close()


# Guards against a throw into a green thread that has gone on to other work.
def test_interrupt_of_a_connection_that_does_not_wait_does_nothing(pair):
    pair.stream.interrupt()
    eventlet.sleep(0)
    pair.caller.sendall(b"abc")
    assert pair.read_body(3) == b"abc"


def test_linger_drops_a_bounded_number_of_bytes(pair, monkeypatch):
    monkeypatch.setattr(caller_stream, "MAX_LINGER_BYTES", 100_000)

    def flood():
        with contextlib.suppress(OSError):
            while True:
                pair.caller.sendall(b"a" * 10_000)

    eventlet.spawn(flood)
    with eventlet.Timeout(LONG_S):
        pair.stream.linger()


def test_linger_ends_after_its_time(pair, monkeypatch):
    monkeypatch.setattr(caller_stream, "LINGER_S", 0.2)
    with eventlet.Timeout(LONG_S):
        pair.stream.linger()
