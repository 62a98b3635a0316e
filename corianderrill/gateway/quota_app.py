"""Answers the messages of other hosts to this one as a quota lessor."""

from corianderrill.gateway import (
    caller_input,
    quota_messages,
    quota_records,
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
        return environ["wsgi.input"].read_body(quota_messages.MAX_BODY_BYTES)
    except (OSError, caller_input.InputError) as error:
        raise quota_messages.MessageError(f"body incomplete: {error}") from error
