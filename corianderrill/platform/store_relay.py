"""Answers watches and probes of other hosts, in the format of the platform's store."""

import base64
import dataclasses
import urllib.parse
from collections.abc import Callable

import eventlet
import msgspec

from corianderrill.gateway import change_history, view
from corianderrill.platform import store

MAX_WAIT_S = 30.0


@dataclasses.dataclass(slots=True)
class StoreRelay:
    """Answers from the changes that this host has applied, while its view is current.

    `max_view_age_s` is how long ago the store may have confirmed the view.
    """

    history: change_history.ChangeHistory
    view: view.View
    clock: Callable[[], float]
    max_view_age_s: float = 0.0
    is_closed: bool = False

    def close(self) -> None:
        """Answer no more calls, so that the other hosts turn elsewhere."""
        self.is_closed = True
        self.history.wake()

    def answer(self, path: str, query_text: str) -> bytes | None:
        """Return the reply to a call; None if the caller should ask the store."""
        query = dict(urllib.parse.parse_qsl(query_text))
        try:
            after = view.StoreRevision(int(query.get("after", 0)))
            wait_s = min(int(query.get("wait_ms", 0)) / 1000, MAX_WAIT_S)
        except ValueError:
            return None
        if path == store.RANGE_PATH and query.get("prefix") == store.EMPTY_PREFIX:
            return self._encode([]) if self._is_current() else None
        if path == store.WATCH_PATH:
            return self._watch(after, wait_s)
        return None

    def _is_current(self) -> bool:
        age_s = self.view.get_age_s(self.clock())
        return not self.is_closed and age_s <= self.max_view_age_s

    def _watch(self, after: view.StoreRevision, wait_s: float) -> bytes | None:
        if not self._is_current() or not self.history.has_all_since(after):
            return None
        with eventlet.Timeout(wait_s, False):
            while not self.is_closed and self.history.revision <= after:
                self.history.wait()
        if not self._is_current() or not self.history.has_all_since(after):
            return None
        return self._encode(self.history.list_after(after))

    def _encode(self, items: list[store.Item]) -> bytes:
        untrusted_s = self.view.removals_untrusted_until - self.clock()
        return msgspec.json.encode(
            {
                "items": [],
                "events": [_convert_item(item) for item in items],
                "at": self.history.revision,
                "removals_untrusted_ms": max(round(1000 * untrusted_s), 0),
            }
        )


def _convert_item(item: store.Item) -> dict[str, object]:
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "deleted": True}
    value = base64.b64encode(item.value).decode()
    return {"key": item.key, "revision": item.revision, "value": value}
