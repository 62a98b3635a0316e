"""Reads HTTP/1.1 messages from asyncio streams, for stand-ins and clients."""

import asyncio
import dataclasses

MAX_HEAD_BYTES = 1_000_000


@dataclasses.dataclass
class Request:
    """A request as it was received; header names in lower case."""

    method: str
    target: str
    headers: list
    body: bytes

    def get(self, name, default=None):
        return next((v for k, v in self.headers if k == name), default)


@dataclasses.dataclass
class Response:
    """A response as it was received; `complete` unless it ended early."""

    status: int
    headers: list
    body: bytes
    complete: bool = True

    def get(self, name, default=None):
        return next((v for k, v in self.headers if k == name), default)


async def read_head(reader):
    """Return the start line and the headers; None at a clean end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    start, *lines = head.decode("latin-1")[:-4].split("\r\n")
    pairs = [line.partition(":") for line in lines]
    return start, [(name.strip().lower(), value.strip()) for name, _, value in pairs]


async def read_request(reader):
    """Return the next request; None at a clean end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    method, target, _ = start.split(" ", 2)
    request = Request(method, target, headers, b"")
    request.body = await read_body(reader, headers)
    return request


async def read_body(reader, headers):
    fields = dict(headers)
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readline()) not in (b"\r\n", b""):
            pass
        return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


async def read_response(reader):
    """Return the next final response; None if the connection ends before it."""
    while True:
        try:
            head = await read_head(reader)
        except (asyncio.IncompleteReadError, OSError):
            return None
        if head is None:
            return None
        start, headers = head
        status = int(start.split(" ", 2)[1])
        if status < 200:
            continue
        fields = dict(headers)
        try:
            if "content-length" in fields or "transfer-encoding" in fields:
                body, complete = await read_body(reader, headers), True
            else:
                body, complete = await reader.read(), True
        except (asyncio.IncompleteReadError, OSError):
            body, complete = b"", False
        return Response(status, headers, body, complete)
