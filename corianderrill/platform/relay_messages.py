"""Calls of other hosts that an aggregator answers in place of the platform's store.

They have the store's own form, so that a host needs one client for both. The keys of
callers stay out of them.
"""

import base64
import dataclasses
import functools
import urllib.parse
import zlib

import msgspec

from corianderrill.gateway import view
from corianderrill.platform import documents, store

# The fastest; a configuration repeats itself so much that more effort gains little.
PACKING_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeCall:
    """A call for the store's revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchCall:
    """A call that waits up to `wait_s` for changes after a revision of an era.

    `reads_packed` tells whether the host that sent it reads packed values.
    """

    after: view.StoreRevision
    era: view.StoreEra
    wait_s: float
    reads_packed: bool = False


def parse_call(path: str, query_text: str) -> ProbeCall | WatchCall | None:
    """Return the call that another host sent in place of the store; None if unknown."""
    query = dict(urllib.parse.parse_qsl(query_text))
    if path == store.RANGE_PATH and query.get("prefix") == store.EMPTY_PREFIX:
        return ProbeCall()
    try:
        after = view.StoreRevision(int(query["after"]))
        era = view.StoreEra(int(query[store.ERA_FIELD]))
        wait_s = int(query["wait_ms"]) / 1000
    except (KeyError, ValueError):
        return None
    reads_packed = query.get(store.PACKED_FIELD) == "1"
    if path != store.WATCH_PATH:
        return None
    return WatchCall(after, era, wait_s, reads_packed)


def encode_reply(
    changes: list[store.Item],
    revision: view.StoreRevision,
    removals_untrusted_s: float,
    view_age_s: float,
    is_packed: bool = False,
) -> bytes:
    """Return the reply to a probe or a watch of another host.

    `view_age_s` is the time since these were known to be all changes, in seconds. A
    configuration `is_packed`, since it is sent to many hosts at once.
    """
    return msgspec.json.encode(
        {
            "items": [],
            "events": [_encode_item(item, is_packed) for item in changes],
            "at": revision,
            "removals_untrusted_ms": round(1000 * removals_untrusted_s),
            "view_age_ms": round(1000 * view_age_s),
        }
    )


def _encode_item(item: store.Item, is_packed: bool) -> dict[str, object]:
    fields: dict[str, object] = {"key": item.key, "revision": item.revision}
    if item.value is None:
        return {**fields, "deleted": True}
    if item.key != documents.CONFIGURATION_KEY:
        return {**fields, "value": _encode_base64(item.value)}
    if is_packed:
        return {**fields, "packed": _pack_configuration(item.value)}
    return {**fields, "value": _encode_base64(documents.withhold_keys(item.value))}


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


@functools.lru_cache(maxsize=2)
def _pack_configuration(value: bytes) -> str:
    """Return a configuration without its keys, packed once for all hosts."""
    return _encode_base64(zlib.compress(documents.withhold_keys(value), PACKING_LEVEL))
