"""The HTTP messages with which a host delegates sub-requests to an aggregator.

The request is the caller's request, with headers in front that say which shards are
wanted and until when. The aggregator first confirms the request with an interim
response (102), so that a host that is not running is noticed soon. Its answer holds the
signatures of the parts and the greatest records of all of them, and names the shards.
"""

import dataclasses
import itertools
import math
import re
from collections.abc import Iterable, Sequence

from corianderrill import names
from corianderrill.gateway import (
    connections,
    replica_notices,
    replicas,
    routes,
    top_records,
)
from corianderrill.platform import requests

VERSION_HEADER = "X-Query-Version"
SHARDS_HEADER = "X-Query-Shards"
MIN_PARTS_HEADER = "X-Query-Min-Parts"
GOAL_MS_HEADER = "X-Query-Goal-Ms"
HEDGE_AFTER_MS_HEADER = "X-Query-Hedge-After-Ms"
MAY_DELEGATE_HEADER = "X-Query-May-Delegate"
# Processes of replicas that have announced to the aggregator that they leave.
LEAVING_HEADER = "X-Query-Leaving"
MAX_LEAVING = 64
MAX_MASK_DIGITS = 4_096
_START_TIME = re.compile(r"-?[0-9]{1,18}|")
CONFIRMATION = b"HTTP/1.1 102 Processing\r\n\r\n"
# A caller's own headers of these names are not passed on to replicas.
_OWN_HEADERS = frozenset(
    header.lower()
    for header in (
        VERSION_HEADER,
        SHARDS_HEADER,
        MIN_PARTS_HEADER,
        GOAL_MS_HEADER,
        HEDGE_AFTER_MS_HEADER,
        MAY_DELEGATE_HEADER,
    )
)


class MessageError(ValueError):
    """A delegated query or its answer is invalid."""


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What a host asks of an aggregator.

    `shards` are positions in the route's list of shards under the configuration
    `version`. The answer is wanted `goal_s` after the request's arrival, if it holds
    at least `min_parts` by then. For `hedge_after_s` the aggregator sends no second
    attempt, since the host may still give it up and send one itself. The aggregator may
    delegate shards itself if `may_delegate` is set.
    """

    version: routes.ConfigurationVersion
    shards: tuple[int, ...]
    min_parts: int
    goal_s: float
    hedge_after_s: float
    may_delegate: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer of an aggregator: the parts of `shards`, merged.

    `signatures` has one entry for each shard, in any order.
    """

    shards: frozenset[int]
    signatures: tuple[str, ...]
    body: bytes


def render_query(
    request: requests.InboundRequest, terms: Terms, remaining_s: float
) -> bytes:
    """Return the bytes of a delegated query with `remaining_s` until its deadline."""
    request_line, _, caller_headers = request.head.partition(b"\r\n")
    own_headers = {
        VERSION_HEADER: terms.version,
        SHARDS_HEADER: _encode_shards(terms.shards),
        MIN_PARTS_HEADER: terms.min_parts,
        GOAL_MS_HEADER: f"{max(1000 * terms.goal_s, 0.0):.1f}",
        HEDGE_AFTER_MS_HEADER: f"{1000 * terms.hedge_after_s:.1f}",
        MAY_DELEGATE_HEADER: int(terms.may_delegate),
        requests.DEADLINE_MS_HEADER: int(1000 * remaining_s),
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in own_headers.items())
    return b"%b\r\n%b%b\r\n%b" % (
        request_line,
        lines.encode("latin-1"),
        caller_headers,
        request.body,
    )


def parse_terms(headers: Sequence[tuple[str, str]]) -> Terms:
    """Return the terms of a delegated query. Raise MessageError if they are invalid."""
    try:
        terms = Terms(
            version=routes.ConfigurationVersion(int(_get(headers, VERSION_HEADER))),
            shards=_decode_shards(_get(headers, SHARDS_HEADER)),
            min_parts=int(_get(headers, MIN_PARTS_HEADER)),
            goal_s=float(_get(headers, GOAL_MS_HEADER)) / 1000,
            hedge_after_s=float(_get(headers, HEDGE_AFTER_MS_HEADER)) / 1000,
            may_delegate=_get(headers, MAY_DELEGATE_HEADER) == "1",
        )
    except ValueError as error:
        raise MessageError(str(error)) from error
    if not math.isfinite(terms.goal_s) or not math.isfinite(terms.hedge_after_s):
        raise MessageError("expected finite times")
    return terms


def _get(headers: Sequence[tuple[str, str]], name: str) -> str:
    value = requests.find_header(headers, name)
    if value is None:
        raise MessageError(f"the header {name} is missing")
    return value


def strip_terms(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers without those of a delegated query."""
    return [(name, v) for name, v in headers if name.lower() not in _OWN_HEADERS]


def list_answer_headers(
    request_id: names.RequestId, signatures: Sequence[str], shards: Iterable[int]
) -> list[tuple[str, str]]:
    """Return the headers of an aggregator's answer."""
    return [
        (requests.REQUEST_ID_HEADER, request_id),
        (requests.PART_STAMPS_HEADER, ",".join(signatures)),
        (SHARDS_HEADER, _encode_shards(shards)),
    ]


def parse_answer(
    reply: connections.RawReply,
    request_id: names.RequestId,
    wanted: Iterable[int],
    top_k: int,
) -> Answer:
    """Return the answer to a query for the `wanted` shards.

    Raise MessageError if the reply is no success, or not one of this query.
    """
    headers = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in reply.headers]
    if reply.status != 200:
        raise MessageError(f"status {reply.status}")
    if _get(headers, requests.REQUEST_ID_HEADER) != request_id:
        raise MessageError("the answer belongs to another request")
    shards = frozenset(_decode_shards(_get(headers, SHARDS_HEADER)))
    stamps = _get(headers, requests.PART_STAMPS_HEADER)
    signatures = tuple(stamp for stamp in stamps.split(",") if stamp)
    if not shards <= set(wanted):
        raise MessageError("the answer holds shards that were not asked for")
    if len(set(signatures)) != len(shards):
        raise MessageError(f"{len(signatures)} signatures for {len(shards)} shards")
    if (
        len(reply.body) > top_k * top_records.RECORD_BYTES
        or len(reply.body) % top_records.RECORD_BYTES
    ):
        raise MessageError(f"a body of {len(reply.body)} bytes")
    return Answer(shards, signatures, reply.body)


def list_leaving_headers(
    leaving: Iterable[replica_notices.LeavingProcess],
) -> list[tuple[str, str]]:
    """Return the headers that name the processes that leave; none without any."""
    entries = [
        f"{process.id}/{'' if process.started_at_ms is None else process.started_at_ms}"
        for process in itertools.islice(leaving, MAX_LEAVING)
    ]
    return [(LEAVING_HEADER, ",".join(entries))] if entries else []


def parse_leaving(
    reply: connections.RawReply,
) -> tuple[replica_notices.LeavingProcess, ...]:
    """Return the processes that an aggregator's reply names as leaving.

    Raise MessageError if their list is invalid.
    """
    text = dict(reply.headers).get(LEAVING_HEADER.lower().encode(), b"")
    entries = text.decode("latin-1").split(",")[:MAX_LEAVING] if text else []
    return tuple(map(_parse_leaving_process, entries))


def _parse_leaving_process(entry: str) -> replica_notices.LeavingProcess:
    replica_id, _, started_at = entry.strip().rpartition("/")
    if not replica_id or not _START_TIME.fullmatch(started_at):
        raise MessageError(f"expected a replica and its start, found {entry[:80]!r}")
    return replica_notices.LeavingProcess(
        replicas.InstanceId(replica_id), int(started_at) if started_at else None
    )


def is_refusal(reply: connections.RawReply) -> bool:
    """Return whether the aggregator has not begun to work on the query."""
    return reply.status == 503 and requests.says_not_executed(reply)


def list_limited_headers(retry_after_s: float) -> list[tuple[str, str]]:
    """Return the headers of a refusal because of rate limits of replicas."""
    return [
        requests.NOT_EXECUTED_HEADER,
        (requests.RETRY_AFTER_HEADER, f"{retry_after_s:.3f}"),
    ]


def parse_retry_after(reply: connections.RawReply) -> float | None:
    """Return the delay of a refusal because of rate limits; None for another one."""
    text = dict(reply.headers).get(requests.RETRY_AFTER_HEADER.lower().encode())
    try:
        delay_s = float(text)
    except (TypeError, ValueError):
        return None
    return delay_s if math.isfinite(delay_s) else None


def _encode_shards(shards: Iterable[int]) -> str:
    return f"{sum(1 << shard for shard in shards):x}"


def _decode_shards(text: str) -> tuple[int, ...]:
    try:
        mask = int(text[:MAX_MASK_DIGITS], 16)
    except ValueError as error:
        raise MessageError(str(error)) from error
    if mask < 0 or len(text) > MAX_MASK_DIGITS:
        raise MessageError(f"expected a hexadecimal mask, found {text[:40]!r}")
    return tuple(shard for shard in range(mask.bit_length()) if mask >> shard & 1)
