"""Templates with typed parameters, parameter sets, and their binding to a query.

A template names its services either as `fleet/service` or by a parameter of type
service, which the fleet of the workspace resolves. One template thus serves both
fleets, and equal names of the two never meet.
"""

import dataclasses
import datetime
import enum
import re
from collections.abc import Iterator, Mapping
from typing import NewType

from corianderrill import findings, names

ParameterName = NewType("ParameterName", str)
Value = str | int

DEFAULT_LIMIT = 100
MAX_LIMIT = 10_000
DEFAULT_DEADLINE_MS = 1_000
MAX_DEADLINE_MS = 60_000
MAX_STRING_CHARACTERS = 1_000
MAX_INTEGER = 2**63 - 1
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
REFERENCE_PATTERN = re.compile(r"\{([A-Za-z0-9][A-Za-z0-9._-]{0,99})\}")
DATE_PATTERN = re.compile(r"\d{4}-\d{2}-\d{2}")
INTEGER_PATTERN = re.compile(r"-?\d{1,18}")


class ParameterType(enum.Enum):
    """The type of a parameter's value."""

    STRING = "string"
    INTEGER = "integer"
    DATE = "date"
    SERVICE = "service"


EXPECTED = {
    ParameterType.STRING: "a text",
    ParameterType.INTEGER: "an integer",
    ParameterType.DATE: "a date such as 2026-03-01",
    ParameterType.SERVICE: "the name of a service",
}


class Source(enum.Enum):
    """Who gives the value of a parameter."""

    WORKSPACE = "workspace"
    CALLER = "caller"


@dataclasses.dataclass(frozen=True, slots=True)
class Parameter:
    """A parameter of a template.

    One that is neither required nor has a default may stay without a value;
    a filter or field that refers to it is then left out.
    """

    type: ParameterType
    source: Source = Source.CALLER
    required: bool = True
    default: Value | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FindRule:
    """An idempotent search: row fields and the values that they must have."""

    where: dict[str, Value]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRule:
    """A write to the one shard of a key; it is not idempotent."""

    key: Value
    fields: dict[str, Value] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Template:
    """A query with parameters; values such as `{permit}` refer to them.

    Exactly one of `find` and `record` is set.
    """

    name: names.TemplateName
    services: tuple[str, ...]
    parameters: dict[ParameterName, Parameter] = dataclasses.field(default_factory=dict)
    find: FindRule | None = None
    record: RecordRule | None = None
    limit: int = DEFAULT_LIMIT
    deadline_ms: int = DEFAULT_DEADLINE_MS
    minimum_coverage: float = 1.0

    @property
    def operation(self) -> FindRule | RecordRule:
        """The rule that is set."""
        return self.find or self.record

    @property
    def idempotent(self) -> bool:
        """Whether running the query twice does no harm."""
        return self.record is None


@dataclasses.dataclass(frozen=True, slots=True)
class ParameterSet:
    """The values that a workspace gives to the parameters of a template."""

    workspace: names.WorkspaceId
    template: names.TemplateName
    values: dict[ParameterName, Value] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class FieldValue:
    """A field of a row and its value."""

    field: str
    value: Value


@dataclasses.dataclass(frozen=True, slots=True)
class Find:
    """A bound search."""

    filters: tuple[FieldValue, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A bound write to the shard of `key`."""

    key: str
    fields: tuple[FieldValue, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BoundQuery:
    """A query that is ready to be planned; all services are of one fleet."""

    template: names.TemplateName
    workspace: names.WorkspaceId
    services: tuple[names.ServiceId, ...]
    operation: Find | Record
    limit: int
    deadline_ms: int
    minimum_coverage: float

    @property
    def idempotent(self) -> bool:
        """Whether running the query twice does no harm."""
        return isinstance(self.operation, Find)


@dataclasses.dataclass(frozen=True, slots=True)
class Reference:
    """A value that a parameter gives."""

    parameter: ParameterName


def parse_reference(value: Value) -> Reference | None:
    """Return the reference that `{parameter}` stands for, None for a literal."""
    match = REFERENCE_PATTERN.fullmatch(value) if isinstance(value, str) else None
    return Reference(ParameterName(match[1])) if match else None


def parse_service(text: str) -> names.ServiceId | None:
    """Return the service that `fleet/service` names, or None without a fleet."""
    fleet, separator, name = text.partition("/")
    if not separator:
        return None
    return names.ServiceId(names.FleetName(fleet), names.ServiceName(name))


def convert(kind: ParameterType, value: object) -> Value:
    """Return a value as its type demands; raise ValueError with the mend."""
    match kind, value:
        case ParameterType.STRING, str():
            if len(value) > MAX_STRING_CHARACTERS:
                raise ValueError(f"expected at most {MAX_STRING_CHARACTERS} characters")
            return value
        case ParameterType.INTEGER, int() if not isinstance(value, bool):
            if abs(value) > MAX_INTEGER:
                raise ValueError("expected an integer of at most 64 bits")
            return value
        case ParameterType.INTEGER, str() if INTEGER_PATTERN.fullmatch(value):
            return int(value)
        case ParameterType.DATE, str() if DATE_PATTERN.fullmatch(value):
            return datetime.date.fromisoformat(value).isoformat()
        case ParameterType.SERVICE, str() if NAME_PATTERN.fullmatch(value):
            return value
        case ParameterType.SERVICE, str():
            raise ValueError(
                "expected a service name without its fleet; the fleet of the "
                "workspace applies"
            )
    raise ValueError(f"expected {EXPECTED[kind]}")


def bind(
    template: Template,
    parameter_set: ParameterSet,
    arguments: Mapping[str, object],
) -> BoundQuery | findings.Rejected:
    """Return the query of a workspace for a caller's arguments.

    Every wrong, missing or unknown value is a finding of its own.
    """
    binder = _Binder(template, parameter_set, arguments)
    return binder.bind()


class _Binder:
    """Collects the values of one binding and what is wrong with them."""

    def __init__(
        self,
        template: Template,
        parameter_set: ParameterSet,
        arguments: Mapping[str, object],
    ) -> None:
        self._template = template
        self._set = parameter_set
        self._arguments = arguments
        self._findings: list[findings.Finding] = []

    def bind(self) -> BoundQuery | findings.Rejected:
        self._report_unknown()
        values = {
            name: value
            for name, parameter in self._template.parameters.items()
            if (value := self._find_value(name, parameter)) is not None
        }
        if self._findings:
            return findings.Rejected(tuple(sorted(self._findings)))
        services = tuple(self._resolve_services(values))
        operation = self._bind_operation(values)
        if self._findings:
            return findings.Rejected(tuple(sorted(self._findings)))
        return BoundQuery(
            template=self._template.name,
            workspace=self._set.workspace,
            services=services,
            operation=operation,
            limit=self._template.limit,
            deadline_ms=self._template.deadline_ms,
            minimum_coverage=self._template.minimum_coverage,
        )

    def _report(self, source: str, message: str) -> None:
        place = findings.Place(source)
        self._findings.append(findings.Finding(place, message))

    def _report_unknown(self) -> None:
        from_caller = {
            name
            for name, parameter in self._template.parameters.items()
            if parameter.source is Source.CALLER
        }
        for name in self._arguments.keys() - from_caller:
            hint = findings.suggest(name, from_caller)
            message = f"the caller gives no such parameter; {hint}"
            self._report(f"argument {name}", message)

    def _find_value(self, name: ParameterName, parameter: Parameter) -> Value | None:
        match parameter.source:
            case Source.CALLER:
                given = self._arguments.get(name)
                source = f"argument {name}"
            case Source.WORKSPACE:
                given = self._set.values.get(name)
                source = f"parameter {name} of {self._set.workspace}"
        if given is None:
            given = parameter.default
        if given is None:
            if parameter.required:
                message = f"missing: expected {EXPECTED[parameter.type]}"
                self._report(source, message)
            return None
        try:
            return convert(parameter.type, given)
        except ValueError as error:
            self._report(source, str(error))
            return None

    def _resolve_services(
        self, values: Mapping[ParameterName, Value]
    ) -> Iterator[names.ServiceId]:
        fleet = self._set.workspace.fleet
        source = f"template {self._template.name}"
        for text in self._template.services:
            reference = parse_reference(text)
            if reference and reference.parameter in values:
                name = names.ServiceName(str(values[reference.parameter]))
                yield names.ServiceId(fleet, name)
            elif not reference:
                service = parse_service(text)
                if service is None or service.fleet != fleet:
                    message = f"reads {text}, which is not a service of {fleet}"
                    self._report(source, message)
                else:
                    yield service

    def _bind_operation(
        self, values: Mapping[ParameterName, Value]
    ) -> Find | Record | None:
        match self._template.operation:
            case FindRule(where):
                return Find(tuple(_fill(where, values)))
            case RecordRule(key, fields):
                filled = tuple(_fill({"key": key}, values))
                if not filled:
                    source = f"template {self._template.name}"
                    self._report(source, "the key of the record has no value")
                    return None
                return Record(str(filled[0].value), tuple(_fill(fields, values)))
            case _:
                source = f"template {self._template.name}"
                self._report(source, "has neither find nor record")
                return None


def _fill(
    rules: Mapping[str, Value], values: Mapping[ParameterName, Value]
) -> Iterator[FieldValue]:
    """Yield the fields whose value is a literal or a parameter that has one."""
    for field, value in rules.items():
        reference = parse_reference(value)
        if reference is None:
            yield FieldValue(field, value)
        elif reference.parameter in values:
            yield FieldValue(field, values[reference.parameter])
