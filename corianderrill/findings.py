"""Findings of a check, each with its place, collected and reported together."""

import dataclasses
import difflib
from collections.abc import Iterable

# Comparing takes time by the square of the length.
COMPARED_CHARACTERS = 100


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Place:
    """Where a finding was made.

    Lines and columns count from 1; 0 stands for the whole source.
    """

    source: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        if not self.line:
            return self.source
        return f"{self.source}:{self.line}:{self.column}"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One thing that is wrong and what mends it."""

    place: Place
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The outcome of a check that found something wrong."""

    findings: tuple[Finding, ...]

    def __str__(self) -> str:
        return format_findings(self.findings)


def suggest(word: str, known: Iterable[str]) -> str:
    """Return the part of a message that names the nearest known word."""
    known = sorted(known)
    nearest = difflib.get_close_matches(word[:COMPARED_CHARACTERS], known, 1)
    if nearest:
        return f"did you mean {nearest[0]}?"
    return f"known: {', '.join(known) or 'none'}"


def format_findings(findings: Iterable[Finding]) -> str:
    """Return one line a finding, in the order of their places."""
    return "\n".join(str(finding) for finding in sorted(findings))
