"""Top-k merge of the records that the shards of a query return."""

import heapq
import itertools
from collections.abc import Iterable

RECORD_BYTES = 16


def merge_top_records(bodies: Iterable[bytes], limit: int) -> bytes:
    """Return the `limit` greatest records in descending order.

    Equal records are all kept. A trailing fragment shorter than a record is ignored.
    """
    records = itertools.chain.from_iterable(map(_split_into_records, bodies))
    return b"".join(heapq.nlargest(limit, records))


def _split_into_records(body: bytes) -> Iterable[bytes]:
    end = len(body) - len(body) % RECORD_BYTES
    return (body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES))
