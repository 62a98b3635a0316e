"""Reads the bodies of requests."""


def read_body(environ: dict[str, object], max_bytes: int) -> bytes | None:
    """Return the body of a request; None if it is longer than `max_bytes`.

    Raise ConnectionError if the caller disconnects before the end of the body.
    """
    stream = environ["wsgi.input"]
    length = environ.get("CONTENT_LENGTH")
    if length is None:
        body = stream.read(max_bytes + 1) if stream.chunked_input else b""
        return body if len(body) <= max_bytes else None
    if int(length) > max_bytes:
        return None
    # The server has refused a length that is no number.
    body = stream.read()
    if len(body) < int(length):
        raise ConnectionError(
            "the caller disconnected before the end of the request body"
        )
    return body
