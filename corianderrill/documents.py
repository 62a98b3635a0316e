"""YAML documents read into data classes, with every finding at its place.

A model is a data class whose fields are scalars, `NewType` ids, enums, tuples,
dictionaries with text keys, optional values or other data classes. A data class
may raise `ValueError` in `__post_init__`; that becomes a finding at its place.
"""

import collections
import dataclasses
import enum
import ipaddress
import math
import re
import types
import typing
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Generic, TypeVar

import yaml

from corianderrill import composing, credentials, findings, names

FINDINGS_AT_MOST = 100
QUOTED_CHARACTERS = 40
DIGITS_AT_MOST = 18

T = TypeVar("T")
Path = tuple[str | int, ...]

_NULL_TAG = "tag:yaml.org,2002:null"
_TEXT_TAG = "tag:yaml.org,2002:str"
_INTEGER = re.compile(r"[-+]?[0-9]+(_[0-9]+)*")
_NUMBER = re.compile(r"[-+]?([0-9]+(_[0-9]+)*)(\.[0-9]*)?([eE][-+]?[0-9]{1,3})?")
_BOOLEANS = {"true": True, "false": False}
_SECRET_TYPES = (credentials.Secret,)


@dataclasses.dataclass(frozen=True, slots=True)
class Parsed(Generic[T]):
    """A value with the place of each of its keys."""

    value: T
    places: Mapping[Path, findings.Place]

    def locate(self, *path: str | int) -> findings.Place:
        """Return the place of a key, or of the nearest part above it."""
        ancestors = (path[:length] for length in range(len(path), -1, -1))
        return next(self.places[step] for step in ancestors if step in self.places)


def describe(
    doc: str,
    *,
    default: object = dataclasses.MISSING,
    default_factory: Any = dataclasses.MISSING,
    at_least: float | None = None,
    at_most: float | None = None,
    pattern: str | None = None,
    **metadata: object,
) -> Any:
    """Return a field of a model with its documentation and bounds.

    `at_least` and `at_most` bound a number, or the length of a tuple.
    """
    return dataclasses.field(
        default=default,
        default_factory=default_factory,
        metadata={
            "doc": doc,
            "at_least": at_least,
            "at_most": at_most,
            "pattern": pattern,
            **metadata,
        },
    )


def parse(text: str, source: str, model: type[T]) -> Parsed[T] | findings.Rejected:
    """Read one YAML document into `model`, or return all that is wrong with it."""
    node = composing.compose(text, source)
    if isinstance(node, findings.Finding):
        return findings.Rejected((node,))
    reader = _Reader(source)
    value = reader.read(node, model, (), {})
    if reader.findings:
        return findings.Rejected(tuple(sorted(reader.findings)))
    return Parsed(value, reader.places)


def parse_address(text: str) -> names.Address:
    """Read `IP:port`; the IP is an IPv4 number, never a name."""
    ip, separator, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        separator = ""
    if not (separator and port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError("expected an IPv4 number and a port, such as 127.0.0.1:8080")
    if not 1 <= int(port) <= 65_535:
        raise ValueError("expected a port from 1 to 65535")
    return names.Address(ip, int(port))


CONVERTERS: dict[type, Callable[[str], object]] = {
    names.Address: parse_address,
    credentials.Secret: credentials.Secret,
}


def _quote(text: str) -> str:
    if len(text) > QUOTED_CHARACTERS:
        text = text[:QUOTED_CHARACTERS] + "…"
    return repr(text)


def _resolve(kind: Any) -> Any:
    """Return the type behind a `NewType`."""
    while isinstance(kind, typing.NewType):
        kind = kind.__supertype__
    return kind


class _Reader:
    """Reads nodes by type; collects findings and places on the way."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.findings: list[findings.Finding] = []
        self.count = 0
        self.places: dict[Path, findings.Place] = {}

    def report(self, node: yaml.Node, message: str) -> None:
        self.report_at(composing.locate(node.start_mark, self.source), message)

    def report_at(self, place: findings.Place, message: str) -> None:
        self.count += 1
        if len(self.findings) < FINDINGS_AT_MOST:
            self.findings.append(findings.Finding(place, message))

    def read(
        self, node: yaml.Node, kind: Any, path: Path, rules: Mapping[str, Any]
    ) -> Any:
        """Return the value of a node, or None after a finding."""
        self.places[path] = composing.locate(node.start_mark, self.source)
        kind = _resolve(kind)
        origin = typing.get_origin(kind)
        if origin in (types.UnionType, typing.Union):
            return self._read_union(node, typing.get_args(kind), path, rules)
        if origin is tuple:
            return self._read_tuple(node, typing.get_args(kind)[0], path, rules)
        if origin is dict:
            return self._read_dict(node, typing.get_args(kind)[1], path, rules)
        if kind in CONVERTERS:
            return self._convert(node, kind)
        if dataclasses.is_dataclass(kind):
            return self._read_dataclass(node, kind, path)
        value = self._read_scalar(node, kind)
        if value is not None:
            self._check_rules(node, value, rules)
        return value

    def _read_union(
        self,
        node: yaml.Node,
        kinds: tuple[Any, ...],
        path: Path,
        rules: Mapping[str, Any],
    ) -> Any:
        if node.tag == _NULL_TAG and types.NoneType in kinds:
            return None
        kinds = tuple(kind for kind in kinds if kind is not types.NoneType)
        if len(kinds) == 1:
            return self.read(node, kinds[0], path, rules)
        return self.read(node, _choose_scalar(node, kinds), path, rules)

    def _read_tuple(
        self, node: yaml.Node, kind: Any, path: Path, rules: Mapping[str, Any]
    ) -> tuple[Any, ...] | None:
        if not isinstance(node, yaml.SequenceNode):
            return self.report(node, "expected a list")
        values = tuple(
            self.read(item, kind, (*path, index), {})
            for index, item in enumerate(node.value)
        )
        self._check_rules(node, values, rules)
        return values

    def _read_dict(
        self, node: yaml.Node, kind: Any, path: Path, rules: Mapping[str, Any]
    ) -> dict[str, Any] | None:
        if not isinstance(node, yaml.MappingNode):
            return self.report(node, "expected keys with values")
        values = {
            key.value: self.read(value, kind, (*path, key.value), {})
            for key, value in self._pick_unique(node)
        }
        self._check_rules(node, values, rules)
        return values

    def _read_dataclass(self, node: yaml.Node, model: type, path: Path) -> Any:
        if not isinstance(node, yaml.MappingNode):
            return self.report(node, "expected keys with values")
        count = self.count
        hints = typing.get_type_hints(model)
        fields = {field.name: field for field in dataclasses.fields(model)}
        values = {}
        for key, value in self._pick_unique(node):
            if key.value not in fields:
                hint = findings.suggest(key.value, fields)
                self.report(key, f"unknown key {_quote(key.value)}: {hint}")
                continue
            rules = fields[key.value].metadata
            step = (*path, key.value)
            values[key.value] = self.read(value, hints[key.value], step, rules)
        self._report_missing(node, fields.values(), values)
        if self.count > count:
            return None
        try:
            return model(**values)
        except ValueError as error:
            return self.report(node, str(error))

    def _report_missing(
        self,
        node: yaml.Node,
        fields: Iterable[dataclasses.Field],
        values: Mapping[str, Any],
    ) -> None:
        for field in fields:
            optional = (
                field.default is not dataclasses.MISSING
                or field.default_factory is not dataclasses.MISSING
            )
            if not optional and field.name not in values:
                doc = field.metadata.get("doc")
                detail = f": {doc}" if doc else ""
                self.report(node, f"missing key {field.name!r}{detail}")

    def _pick_unique(
        self, node: yaml.MappingNode
    ) -> Iterator[tuple[yaml.ScalarNode, yaml.Node]]:
        """Yield the entries of a mapping; report odd and repeated keys."""
        seen: dict[str, yaml.Node] = {}
        for key, value in node.value:
            if not isinstance(key, yaml.ScalarNode):
                self.report(key, "expected a plain key")
            elif key.value in seen:
                first = composing.locate(seen[key.value].start_mark, self.source)
                message = f"key {_quote(key.value)} stands twice, first at {first}"
                self.report(key, message)
            else:
                seen[key.value] = key
                yield key, value

    def _convert(self, node: yaml.Node, kind: type) -> Any:
        text = self._read_scalar(node, str)
        if text is None:
            return None
        try:
            return CONVERTERS[kind](text)
        except ValueError as error:
            got = "" if kind in _SECRET_TYPES else f", got {_quote(text)}"
            return self.report(node, f"{error}{got}")

    def _read_scalar(self, node: yaml.Node, kind: Any) -> Any:
        if not isinstance(node, yaml.ScalarNode):
            return self.report(node, f"expected {_describe_kind(kind)}")
        if node.tag == _NULL_TAG:
            return self.report(node, f"expected {_describe_kind(kind)}, got nothing")
        value = _convert_scalar(node, kind)
        if value is None:
            self.report(node, _describe_mismatch(kind, node.value))
        return value

    def _check_rules(
        self, node: yaml.Node, value: Any, rules: Mapping[str, Any]
    ) -> None:
        sized = isinstance(value, tuple | dict)
        number = len(value) if sized else value
        what = "entries" if sized else ""
        at_least, at_most = rules.get("at_least"), rules.get("at_most")
        if at_least is not None and number < at_least:
            self.report(node, f"expected at least {at_least} {what}".rstrip())
        if at_most is not None and number > at_most:
            self.report(node, f"expected at most {at_most} {what}".rstrip())
        pattern = rules.get("pattern")
        if pattern and not re.fullmatch(pattern, value):
            self.report(node, f"expected a text like {pattern}, got {_quote(value)}")


def _choose_scalar(node: yaml.Node, kinds: tuple[Any, ...]) -> Any:
    """Return the first of several scalar types that the node can be read as."""
    plain = isinstance(node, yaml.ScalarNode) and node.tag != _TEXT_TAG
    ordered = sorted(kinds, key=lambda kind: _resolve(kind) is str)
    readable = (
        kind for kind in ordered if plain and _convert_scalar(node, kind) is not None
    )
    return next(readable, ordered[-1])


def _convert_scalar(node: yaml.ScalarNode, kind: Any) -> Any:
    """Return the value of a scalar, or None where it is of another type."""
    kind, text = _resolve(kind), node.value
    if kind is str:
        return text
    if kind is bool:
        return _BOOLEANS.get(text)
    if kind is int and _INTEGER.fullmatch(text) and len(text) <= DIGITS_AT_MOST:
        return int(text)
    if kind is float and _NUMBER.fullmatch(text):
        return float(text) if math.isfinite(float(text)) else None
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        members = {str(item.value): item for item in kind}
        return members.get(text)
    return None


def _describe_mismatch(kind: Any, text: str) -> str:
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        hint = findings.suggest(text, (str(item.value) for item in kind))
        return f"unknown value {_quote(text)}: {hint}"
    return f"expected {_describe_kind(kind)}, got {_quote(text)}"


def _describe_kind(kind: Any) -> str:
    descriptions = collections.defaultdict(
        lambda: "a known word",
        {
            str: "a text",
            int: "a whole number",
            float: "a number",
            bool: "true or false",
        },
    )
    return descriptions[kind]
