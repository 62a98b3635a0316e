"""Answers watches and probes of other hosts in place of the platform's store."""

import dataclasses
from collections.abc import Callable

import eventlet

from corianderrill.gateway import change_history, view
from corianderrill.platform import relay_messages, store

MAX_WAIT_S = 30.0


@dataclasses.dataclass(slots=True)
class StoreRelay:
    """Answers from the changes that this host has applied, while its view is current.

    Each answer names the era of its revisions, and the age of the view; a host of
    another era gets it at once.

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
        match relay_messages.parse_call(path, query_text):
            case relay_messages.ProbeCall():
                return self._encode([]) if self._is_current() else None
            case relay_messages.WatchCall() as call:
                return self._watch(call)
            case _:
                return None

    def _is_current(self) -> bool:
        age_s = self.view.get_age_s(self.clock())
        return not self.is_closed and age_s <= self.max_view_age_s

    def _watch(self, call: relay_messages.WatchCall) -> bytes | None:
        after, era = call.after, call.era
        with eventlet.Timeout(min(call.wait_s, MAX_WAIT_S), False):
            while self._can_answer(after, era) and self.history.revision <= after:
                self.history.wait()
        if self._is_current() and self.history.era != era:
            return self._encode([])
        if not self._can_answer(after, era):
            return None
        return self._encode(self.history.list_after(after), call.reads_packed)

    def _can_answer(self, after: view.StoreRevision, era: view.StoreEra) -> bool:
        """Return whether all changes after a revision of an era are known."""
        is_same_era = self.history.era == era
        return self._is_current() and is_same_era and self.history.has_all_since(after)

    def _encode(self, changes: list[store.Item], is_packed: bool = False) -> bytes:
        now = self.clock()
        untrusted_s = self.view.removals_untrusted_until - now
        return relay_messages.encode_reply(
            changes,
            self.history.revision,
            max(untrusted_s, 0.0),
            self.view.get_age_s(now),
            is_packed,
        )
