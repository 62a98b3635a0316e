"""Pools of HTTP connections that refuse a reply whose head breaks off.

The standard library takes the end of a connection for the end of the headers. A reply
that is cut there would look whole: without a body, and with headers cut short.
"""

import http.client
from typing import BinaryIO

import urllib3


class IncompleteHeadError(http.client.HTTPException):
    """The connection ended within the head of a reply."""


class _HeadLines:
    """The lines of a head, read from the file of a connection."""

    def __init__(self, file: BinaryIO) -> None:
        self.file = file

    def readline(self, limit: int) -> bytes:
        """Return the next line; the caller refuses one that is as long as the limit."""
        line = self.file.readline(limit)
        if not line.endswith(b"\n") and len(line) < limit:
            raise IncompleteHeadError(f"the head of the reply ends with {line[-20:]!r}")
        return line


class _Response(http.client.HTTPResponse):
    """A response whose head is whole."""

    def begin(self) -> None:
        """Read the head. Raise IncompleteHeadError if the connection ends before."""
        lines = _HeadLines(self.fp)
        self.fp = lines
        try:
            super().begin()
        finally:
            self.fp = lines.file


class _Connection(urllib3.connection.HTTPConnection):
    response_class = _Response


class HostPool(urllib3.HTTPConnectionPool):
    """The connections to one address; a cut head raises urllib3's ProtocolError."""

    ConnectionCls = _Connection


def build_manager(**options: object) -> urllib3.PoolManager:
    """Return a manager of such pools, with the options of urllib3's own."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {
        **manager.pool_classes_by_scheme,
        "http": HostPool,
    }
    return manager
