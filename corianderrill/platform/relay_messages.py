"""Calls of other hosts that an aggregator answers in place of the platform's store.

They have the store's own form, so that a host needs one client for both. The keys of
callers stay out of them.
"""

import base64
import dataclasses
import urllib.parse

import msgspec

from corianderrill.gateway import view
from corianderrill.platform import documents, store


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeCall:
    """A call for the store's revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchCall:
    """A call that waits up to `wait_s` for changes after a revision of an era."""

    after: view.StoreRevision
    era: view.StoreEra
    wait_s: float


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
    return WatchCall(after, era, wait_s) if path == store.WATCH_PATH else None


def encode_reply(
    changes: list[store.Item],
    revision: view.StoreRevision,
    removals_untrusted_s: float,
    view_age_s: float,
) -> bytes:
    """Return the reply to a probe or a watch of another host.

    `view_age_s` is the time since these were known to be all changes, in seconds.
    """
    return msgspec.json.encode(
        {
            "items": [],
            "events": [_encode_item(item) for item in changes],
            "at": revision,
            "removals_untrusted_ms": round(1000 * removals_untrusted_s),
            "view_age_ms": round(1000 * view_age_s),
        }
    )


def _encode_item(item: store.Item) -> dict[str, object]:
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "deleted": True}
    value = item.value
    if item.key == documents.CONFIGURATION_KEY:
        value = documents.withhold_keys(value)
    text = base64.b64encode(value).decode()
    return {"key": item.key, "revision": item.revision, "value": text}
