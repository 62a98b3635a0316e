"""The answer of a query over many shards: the greatest records of its parts."""

import heapq
import itertools
from collections.abc import Iterable

RECORD_BYTES = 16


def merge_top_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the `top` greatest records, greatest first; equal ones all count.

    A remainder shorter than a record is left out.
    """
    records = itertools.chain.from_iterable(map(_cut, bodies))
    return b"".join(heapq.nlargest(top, records))


def _cut(body: bytes) -> Iterable[bytes]:
    whole = len(body) - len(body) % RECORD_BYTES
    return (
        body[start : start + RECORD_BYTES] for start in range(0, whole, RECORD_BYTES)
    )
