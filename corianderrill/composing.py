"""YAML text composed into nodes, bounded before memory is spent."""

from collections.abc import Iterator

import yaml

from corianderrill import findings

TEXT_CHARACTERS_AT_MOST = 1_000_000
DEPTH_AT_MOST = 32
NODES_AT_MOST = 100_000

_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def compose(text: str, source: str) -> yaml.Node | findings.Finding:
    """Return the node of the one document of a text, or what is wrong with it."""
    refused = _check_text(text, source)
    if refused:
        return refused
    node = yaml.compose(text, Loader=_LOADER)
    if node is None:
        return findings.Finding(findings.Place(source), "the document is empty")
    return node


def _check_text(text: str, source: str) -> findings.Finding | None:
    """Return what keeps the text from being composed, before memory is spent."""
    whole = findings.Place(source)
    if len(text) > TEXT_CHARACTERS_AT_MOST:
        size = f"{len(text):,} of at most {TEXT_CHARACTERS_AT_MOST:,} characters"
        return findings.Finding(whole, f"the document is too long: {size}")
    try:
        text.encode()
        return _check_events(yaml.parse(text, Loader=_LOADER), source)
    except UnicodeEncodeError as error:
        place = _locate_offset(text, error.start, source)
        return findings.Finding(place, "this character is not valid Unicode")
    except yaml.reader.ReaderError as error:
        place = _locate_offset(text, error.position, source)
        return findings.Finding(place, "control characters are not allowed")
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        problem = (error.problem or error.context or "not YAML").strip()
        return findings.Finding(locate(mark, source), f"not YAML: {problem}")


def _check_events(events: Iterator[yaml.Event], source: str) -> findings.Finding | None:
    depth = 0
    documents = 0
    for count, event in enumerate(events):
        problem = None
        match event:
            case yaml.AliasEvent():
                problem = "aliases are not allowed: write the value out"
            case yaml.DocumentStartEvent():
                documents += 1
            case yaml.MappingStartEvent() | yaml.SequenceStartEvent():
                depth += 1
            case yaml.MappingEndEvent() | yaml.SequenceEndEvent():
                depth -= 1
        if documents > 1:
            problem = "one document is allowed: remove this and what follows"
        if depth > DEPTH_AT_MOST:
            problem = f"nested deeper than {DEPTH_AT_MOST} levels"
        if count > NODES_AT_MOST:
            problem = f"more than {NODES_AT_MOST:,} keys and values"
        if getattr(event, "anchor", None) and not problem:
            problem = "anchors are not allowed: write the value out"
        if problem:
            return findings.Finding(locate(event.start_mark, source), problem)
    return None


def locate(mark: yaml.Mark | None, source: str) -> findings.Place:
    """Return the place of a mark, or the whole source."""
    if mark is None:
        return findings.Place(source)
    return findings.Place(source, mark.line + 1, mark.column + 1)


def _locate_offset(text: str, offset: int, source: str) -> findings.Place:
    before = text[:offset]
    column = offset - (before.rfind("\n") + 1)
    return findings.Place(source, before.count("\n") + 1, column + 1)
