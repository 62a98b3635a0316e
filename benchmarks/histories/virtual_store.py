"""The platform's store, as far as hosts read it, without sockets.

It answers calls with the bodies of the platform's protocol.
"""

import dataclasses
from collections.abc import Callable

import eventlet
import msgspec
from eventlet import event

MAX_PAGE_ITEMS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A version of a key; the value is None if the key was removed."""

    key: str
    revision: int
    value: bytes | None

    def to_wire(self) -> dict[str, object]:
        """Return the change as a watch tells it."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        # The encoder turns bytes into base64.
        return {"key": self.key, "revision": self.revision, "value": self.value}


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What the store held from a time on."""

    since: float
    revision: int
    era: int
    items: dict[str, Change]
    history: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A status, the era that is named, and a body."""

    status: int
    era: int
    body: bytes = b""


class VirtualStore:
    """A store with revisions, eras, paged reads and watches; it writes what it is told.

    Reads that may be stale show what it held `stale_s` ago. While `are_watches_deaf`,
    no watch hears of changes.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.stale_s = 0.0
        self.are_watches_deaf = False
        self._states = [State(clock(), 1, 1, {}, ())]
        self._complete_since = 0
        self._changed = event.Event()

    @property
    def state(self) -> State:
        """What the store holds now."""
        return self._states[-1]

    def write(self, key: str, value: bytes | None) -> int:
        """Write a key, or remove it; return the revision."""
        now = self.state
        change = Change(key, now.revision + 1, value)
        items = {name: item for name, item in now.items.items() if name != key}
        if value is not None:
            items[key] = change
        self._begin(change.revision, now.era, items, (*now.history, change))
        return change.revision

    def _begin(
        self,
        revision: int,
        era: int,
        items: dict[str, Change],
        history: tuple[Change, ...],
    ) -> None:
        self._states.append(State(self._clock(), revision, era, items, history))
        self._wake()

    def _wake(self) -> None:
        former, self._changed = self._changed, event.Event()
        former.send()

    def drop_history(self) -> None:
        """Forget all changes, and end the watches that wait."""
        self._complete_since = self.state.revision
        self._wake()

    def restore(self, age_s: float) -> State:
        """Come back, in a new era, with what was held some time ago; return that."""
        copy = self.find_state(age_s)
        self._complete_since = min(self._complete_since, copy.revision)
        self._begin(copy.revision, self.state.era + 1, copy.items, copy.history)
        return copy

    def find_state(self, age_s: float) -> State:
        """Return what the store held some time ago."""
        at = self._clock() - age_s
        past = [state for state in self._states if state.since <= at]
        return past[-1] if past else self._states[0]

    def answer(self, path: str, fields: dict[str, str]) -> Answer:
        """Answer a call; a watch takes its time."""
        if path.endswith("watch"):
            return self._watch(
                int(fields["after"]), int(fields["wait_ms"]) / 1000, self.state.era
            )
        is_stale = fields.get("serializable") == "1"
        state = self.find_state(self.stale_s) if is_stale else self.state
        return _list_range(state, fields["prefix"], fields.get("after", ""))

    def _watch(self, after: int, wait_s: float, era: int) -> Answer:
        with eventlet.Timeout(wait_s, False):
            while self._has_since(after, era) and not self._list_after(after):
                self._changed.wait()
        state = self.state
        if not self._has_since(after, era):
            return Answer(410, state.era)
        events = [change.to_wire() for change in self._list_after(after)]
        at = state.revision if not self.are_watches_deaf else after
        return Answer(200, state.era, msgspec.json.encode({"events": events, "at": at}))

    def _list_after(self, after: int) -> list[Change]:
        if self.are_watches_deaf:
            return []
        return [change for change in self.state.history if change.revision > after]

    def _has_since(self, revision: int, era: int) -> bool:
        is_same = self.state.era == era
        return is_same and self._complete_since <= revision <= self.state.revision


def _list_range(state: State, prefix: str, after: str) -> Answer:
    keys = sorted(key for key in state.items if key.startswith(prefix) and key > after)
    page = [state.items[key].to_wire() for key in keys[:MAX_PAGE_ITEMS]]
    document = {
        "items": page,
        "at": state.revision,
        "has_more": len(keys) > MAX_PAGE_ITEMS,
    }
    return Answer(200, state.era, msgspec.json.encode(document))
