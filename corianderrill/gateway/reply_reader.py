"""Reads the reply to one request from the bytes that a connection receives.

A reader belongs to one exchange. `close` lets go of all that it has read: the parser
and the reader refer to each other, so memory would otherwise be kept until the garbage
collector runs.
"""

import enum
from typing import Protocol

import httptools

MAX_REPLY_HEAD_BYTES = 262_144
# Each header takes many times the memory of its bytes.
MAX_REPLY_HEADERS = 256
MAX_REPLY_BODY_BYTES = 4 * 1_048_576
# Interim replies, chunk headers and replies to other requests count as well.
MAX_EXCHANGE_BYTES = MAX_REPLY_HEAD_BYTES + 2 * MAX_REPLY_BODY_BYTES
# The parser takes any three digits, and versions that frame replies in other ways.
STATUSES = range(100, 600)
SWITCHING_PROTOCOLS = 101
VERSIONS = ("1.0", "1.1")


class Progress(enum.Enum):
    """What became of the bytes that were fed to a reader."""

    INCOMPLETE = 1
    COMPLETE = 2
    MALFORMED = 3
    TOO_LARGE = 4


class ReplyOwner(Protocol):
    """The request that a reply is read for."""

    def owns_reply(self, headers: list[tuple[bytes, bytes]]) -> bool:
        """Return whether a reply with these headers may belong to the request."""

    def on_interim_reply(self) -> None:
        """Handle an interim (1xx) reply; the reply itself is still to come."""


class ReplyReader:
    """The reply to one request, as far as it was received.

    `headers` have names in lower case. `is_reusable` is false if the connection can't
    carry another request after this reply.
    """

    def __init__(self, owner: ReplyOwner) -> None:
        self._owner = owner
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._has_headers = False
        self._is_body_delimited = False
        self._is_complete = False
        self._is_malformed = False
        self.received_bytes = 0
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_reusable = True

    def feed(self, data: bytes) -> Progress:
        """Read the next bytes of the connection."""
        self.received_bytes += len(data)
        if self._is_too_large():
            return Progress.TOO_LARGE
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No request asks for another protocol.
            return Progress.MALFORMED
        except httptools.HttpParserError:
            if not self._is_complete:
                return Progress.MALFORMED
            self.is_reusable = False
        if self._is_complete:
            return Progress.COMPLETE
        if self._is_malformed:
            return Progress.MALFORMED
        return Progress.TOO_LARGE if self._is_too_large() else Progress.INCOMPLETE

    def _is_too_large(self) -> bool:
        """Return whether the server sends more than any reply that is accepted."""
        if not self._has_headers and self.received_bytes > MAX_REPLY_HEAD_BYTES:
            return not self._body
        return (
            len(self._body) > MAX_REPLY_BODY_BYTES
            or len(self.headers) > MAX_REPLY_HEADERS
            or self.received_bytes > MAX_EXCHANGE_BYTES
        )

    def end(self) -> Progress:
        """Handle the end of the connection, which ends a reply without a length."""
        if self._has_headers and not self._is_body_delimited and self.status >= 200:
            self._is_complete = True
            self.is_reusable = False
            return Progress.COMPLETE
        return Progress.INCOMPLETE

    def join_body(self) -> bytes:
        """Return the body that was received."""
        return bytes(self._body)

    def close(self) -> None:
        """Let go of the parser, the headers and the body."""
        self._parser = None
        self._body = bytearray()
        self.headers = []

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Rule out reuse of the connection if a second reply follows a complete one."""
        if self._is_complete:
            self.is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the reply."""
        if not self._is_ended and len(self.headers) <= MAX_REPLY_HEADERS:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine whether the headers delimit the body, by length or by chunks."""
        if self._is_ended:
            return
        self.status = self._parser.get_status_code()
        if not self._has_valid_status_line():
            self._is_malformed = True
            return
        header_fields = dict(self.headers)
        self._is_body_delimited = (
            b"content-length" in header_fields
            or b"chunked" in header_fields.get(b"transfer-encoding", b"").lower()
        )
        self._has_headers = True

    @property
    def _is_ended(self) -> bool:
        """Return whether what follows is no part of the reply."""
        return self._is_complete or self._is_malformed

    def _has_valid_status_line(self) -> bool:
        # No request asks for another protocol.
        return (
            self.status in STATUSES
            and self.status != SWITCHING_PROTOCOLS
            and self._parser.get_http_version() in VERSIONS
        )

    def on_body(self, body: bytes) -> None:
        """Store a piece of the body."""
        if not self._is_ended:
            self._body += body

    def on_message_complete(self) -> None:
        """Mark the reply as complete, unless the reply to the request is still to come.

        It is after an interim (1xx) response, and after a reply to an earlier request,
        which a server may have sent a second time.
        """
        if self._is_ended:
            return
        is_interim = self.status < 200
        if is_interim or not self._owner.owns_reply(self.headers):
            self.headers = []
            self._body = bytearray()
            self._has_headers = False
            self.is_reusable = self.is_reusable and is_interim
            if is_interim:
                self._owner.on_interim_reply()
            return
        self._is_complete = True
        self.is_reusable = self.is_reusable and self._parser.should_keep_alive()
