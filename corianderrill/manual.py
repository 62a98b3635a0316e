"""The parts of the operators' manual that are made from the code."""

import pathlib
import re
import sys

from corianderrill import metrics, settings

_PART = "<!-- made from the code: {name} -->"
_END = "<!-- end -->"


def renew(text: str) -> str:
    """Return the text of a page with every marked part made anew."""
    for name, make in PARTS.items():
        mark = _PART.format(name=name)
        pattern = re.compile(f"{re.escape(mark)}.*?{re.escape(_END)}", re.DOTALL)
        part = f"{mark}\n{make()}\n{_END}"
        text = pattern.sub(lambda match, part=part: part, text)
    return text


def format_settings() -> str:
    """Return every key of the settings as a table in Markdown."""
    rows = (
        f"| `{'.'.join(key.path)}` | {_format_default(key)} | "
        f"{'yes' if key.reload else 'no'} | {key.doc} |"
        for key in settings.list_keys()
    )
    head = "| key | default | reload | meaning |"
    return "\n".join((head, "| --- | --- | --- | --- |", *rows))


def _format_default(key: settings.Key) -> str:
    return "required" if key.is_required else f"`{settings.format_value(key.default)}`"


PARTS = {"settings": format_settings, "metrics": metrics.format_table}


if __name__ == "__main__":
    for name in sys.argv[1:]:
        page = pathlib.Path(name)
        page.write_text(renew(page.read_text(encoding="utf-8")), encoding="utf-8")
