"""Log lines by logbook: one line for each change of state, as text or JSON."""

import collections
import enum
import json
from typing import TextIO

import logbook

from corianderrill import settings

VALUE_CHARACTERS_AT_MOST = 500
SUBJECTS_AT_MOST = 10_000
_BARE = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-./:@#+"
)


def open_handler(
    stream: TextIO,
    log_format: settings.LogFormat = settings.LogFormat.TEXT,
    level: int = logbook.INFO,
) -> logbook.Handler:
    """Return a handler that writes to a stream; push it to put it in force."""
    handler = logbook.StreamHandler(stream, level=level, bubble=False)
    handler.formatter = _FORMATTERS[log_format]
    return handler


class Journal:
    """Writes changes of state of one host, and drops what repeats a state."""

    def __init__(self, host: str) -> None:
        self._logger = logbook.Logger(host)
        self._states: collections.OrderedDict[str, str] = collections.OrderedDict()

    def change(
        self,
        subject: object,
        state: object,
        level: int = logbook.INFO,
        **fields: object,
    ) -> bool:
        """Write that a subject entered a state; False where it was in it already."""
        subject, state = str(subject), _show(state)
        before = self._states.get(subject)
        if before == state:
            return False
        self._states[subject] = state
        self._states.move_to_end(subject)
        if len(self._states) > SUBJECTS_AT_MOST:
            self._states.popitem(last=False)
        extra = {"subject": subject, "before": before or "", **fields}
        shown = {name: _show(value) for name, value in extra.items()}
        self._logger.log(level, state, extra=shown)
        return True


def _show(value: object) -> str:
    if isinstance(value, enum.Enum):
        value = value.value
    return str(value)[:VALUE_CHARACTERS_AT_MOST]


def _list_fields(record: logbook.LogRecord) -> dict[str, str]:
    return {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "host": record.channel,
        "state": record.message,
        **{name: value for name, value in record.extra.items() if value != ""},
    }


def _format_text(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    fields = _list_fields(record)
    return " ".join(f"{name}={_quote(value)}" for name, value in fields.items())


def _format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    return json.dumps(_list_fields(record), ensure_ascii=True)


def _quote(value: str) -> str:
    return value if value and _BARE.issuperset(value) else json.dumps(value)


_FORMATTERS = {
    settings.LogFormat.TEXT: _format_text,
    settings.LogFormat.JSON: _format_json,
}
