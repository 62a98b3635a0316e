"""Answers the messages of other hosts to this one as a quota lessor."""

from eventlet import wsgi

from corianderrill.gateway import (
    quota_messages,
    quota_records,
    request_bodies,
    responses,
    shared_state,
)


def respond(
    shared: shared_state.SharedState, environ: dict[str, object]
) -> responses.Response:
    """Return the response to a message: 503 if this host is not the lessor."""
    try:
        message = quota_messages.decode_message(_read_body(environ))
    except quota_messages.MessageError as error:
        shared.log.record(quota_records.QuotaMessageRefused("", str(error)[:200]))
        return responses.Response(400, [], b"")
    answer = shared.quotas.answer(message)
    if answer is None:
        return responses.Response(503, [], b"")
    return responses.Response(200, [], quota_messages.encode_answer(answer))


def _read_body(environ: dict[str, object]) -> bytes:
    """Return the body. Raise MessageError if it is incomplete or too large."""
    try:
        body = request_bodies.read_body(environ, quota_messages.MAX_BODY_BYTES)
    except (OSError, wsgi.ChunkReadError) as error:
        raise quota_messages.MessageError(f"body incomplete: {error}") from error
    if body is None:
        raise quota_messages.MessageError("the body is too large")
    return body
