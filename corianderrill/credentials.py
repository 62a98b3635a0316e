"""Secrets that no log line, message or representation shows."""

import hmac

HIDDEN = "<secret>"


class Secret:
    """A text that is shown only where it is asked for with `reveal`."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> str:
        """Return the text itself."""
        return self._text

    def matches(self, text: str) -> bool:
        """Compare in a time that does not depend on where the texts differ."""
        return hmac.compare_digest(self._text.encode(), text.encode("utf-8", "replace"))

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Secret) and self.matches(other._text)

    def __hash__(self) -> int:
        return hash(self._text)

    def __repr__(self) -> str:
        return HIDDEN

    def __reduce__(self) -> str:
        raise TypeError("a secret is never serialized: send reveal() where needed")

    def __deepcopy__(self, memo: dict) -> "Secret":
        return self
