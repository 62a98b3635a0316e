"""The checks that a template or a parameter set passes before it is accepted.

What passes can run: its references resolve, its values have the right types and
its services exist in the fleets that it serves.
"""

import difflib
import itertools
from collections.abc import Callable, Iterable, Iterator, Mapping

from corianderrill import findings, names, templates

Path = tuple[str | int, ...]
Locate = Callable[[Path], findings.Place]
Problem = tuple[Path, str]
Services = frozenset[names.ServiceId]


def check_template(
    template: templates.Template, services: Services, locate: Locate
) -> tuple[findings.Finding, ...]:
    """Return all that keeps a template from running.

    `services` are those that exist; `locate` gives the place of a part by its
    path of keys.
    """
    problems = itertools.chain(
        _check_head(template),
        _check_parameters(template),
        _check_services(template, services),
        _check_references(template),
    )
    return _place(problems, locate)


def check_parameter_set(
    parameter_set: templates.ParameterSet,
    template: templates.Template | None,
    services: Services,
    locate: Locate,
) -> tuple[findings.Finding, ...]:
    """Return all that keeps a template from running with a parameter set."""
    workspace = parameter_set.workspace
    problems = itertools.chain(
        _check_name(("workspace", "fleet"), workspace.fleet),
        _check_name(("workspace", "label"), workspace.label),
        _check_values(parameter_set, template, services),
    )
    return _place(problems, locate)


def _place(problems: Iterable[Problem], locate: Locate) -> tuple[findings.Finding, ...]:
    return tuple(
        sorted(findings.Finding(locate(path), text) for path, text in problems)
    )


def _check_name(path: Path, name: str) -> Iterator[Problem]:
    if not templates.NAME_PATTERN.fullmatch(name):
        yield (
            path,
            f"{name!r} is not a name: use up to 100 letters, digits, '.', '_' "
            "and '-', with a letter or digit first",
        )


def _check_head(template: templates.Template) -> Iterator[Problem]:
    yield from _check_name(("name",), template.name)
    bounds = (
        ("limit", template.limit, 1, templates.MAX_LIMIT),
        ("deadline_ms", template.deadline_ms, 1, templates.MAX_DEADLINE_MS),
        ("minimum_coverage", template.minimum_coverage, 0.0, 1.0),
    )
    for key, value, lowest, highest in bounds:
        if not lowest <= value <= highest:
            yield (key,), f"expected {lowest} to {highest}, got {value}"
    if (template.find is None) == (template.record is None):
        yield (), "expected exactly one of find and record"
    if template.record is not None and len(template.services) != 1:
        yield ("services",), "a record goes to exactly one service"


def _check_parameters(template: templates.Template) -> Iterator[Problem]:
    used = {reference.parameter for _, reference in _list_references(template)}
    for name, parameter in template.parameters.items():
        path = ("parameters", name)
        yield from _check_name(path, name)
        if name not in used:
            yield path, f"nothing refers to {{{name}}}: use it or remove it"
        if parameter.default is not None:
            yield from _check_value((*path, "default"), parameter, parameter.default)


def _check_value(
    path: Path, parameter: templates.Parameter, value: templates.Value
) -> Iterator[Problem]:
    try:
        templates.convert(parameter.type, value)
    except ValueError as error:
        yield path, str(error)


def _list_values(
    template: templates.Template,
) -> Iterator[tuple[Path, templates.Value]]:
    """Yield every value that may refer to a parameter, with its path."""
    for index, text in enumerate(template.services):
        yield ("services", index), text
    if template.find is not None:
        for field, value in template.find.where.items():
            yield ("find", "where", field), value
    if template.record is not None:
        yield ("record", "key"), template.record.key
        for field, value in template.record.fields.items():
            yield ("record", "fields", field), value


def _list_references(
    template: templates.Template,
) -> Iterator[tuple[Path, templates.Reference]]:
    for path, value in _list_values(template):
        reference = templates.parse_reference(value)
        if reference is not None:
            yield path, reference


def _check_references(template: templates.Template) -> Iterator[Problem]:
    for path, value in _list_values(template):
        reference = templates.parse_reference(value)
        if reference is not None:
            yield from _check_reference(path, reference, template.parameters)
        elif isinstance(value, str) and ("{" in value or "}" in value):
            yield path, f"{value!r} is not a reference: write {{name}} and no more"


def _check_reference(
    path: Path,
    reference: templates.Reference,
    parameters: Mapping[templates.ParameterName, templates.Parameter],
) -> Iterator[Problem]:
    name = reference.parameter
    parameter = parameters.get(name)
    in_services = path[0] == "services"
    if parameter is None:
        hint = findings.suggest(name, parameters)
        yield path, f"there is no parameter {name!r}: {hint}"
        return
    is_service = parameter.type is templates.ParameterType.SERVICE
    if in_services and not is_service:
        yield path, f"parameter {name!r} must have the type service"
    if is_service and not in_services:
        yield path, f"parameter {name!r} of type service belongs under services"
    has_value = parameter.required or parameter.default is not None
    needs_value = in_services or path == ("record", "key")
    if needs_value and not has_value:
        yield path, f"parameter {name!r} must be required or have a default"


def _check_services(
    template: templates.Template, services: Services
) -> Iterator[Problem]:
    if not template.services:
        yield ("services",), "expected at least one service"
    fleets = set()
    for index, text in enumerate(template.services):
        if templates.parse_reference(text) is not None or "{" in text:
            continue
        service = templates.parse_service(text)
        if service is None:
            yield ("services", index), _explain_bare_name(text, services)
            continue
        fleets.add(service.fleet)
        if service not in services:
            hint = findings.suggest(text, map(str, services))
            yield ("services", index), f"there is no service {text}: {hint}"
    if len(fleets) > 1:
        listed = " and ".join(sorted(fleets))
        yield ("services",), f"one answer reads one fleet, not {listed}"


def _explain_bare_name(text: str, services: Services) -> str:
    candidates = _list_named(text, services)
    match candidates:
        case []:
            nearest = difflib.get_close_matches(
                text, {service.name for service in services}, n=1
            )
            listed = " or ".join(_list_named(*nearest, services)) if nearest else ""
            hint = f"did you mean {listed}?" if listed else "write fleet/service"
            return f"there is no service {text!r}: {hint}"
        case [only]:
            return f"{text!r} lacks its fleet: write {only}"
        case _:
            listed = " or ".join(candidates)
            return f"{text!r} is ambiguous across the fleets: write {listed}"


def _list_named(name: str, services: Services) -> list[str]:
    return sorted(str(service) for service in services if service.name == name)


def _check_values(
    parameter_set: templates.ParameterSet,
    template: templates.Template | None,
    services: Services,
) -> Iterator[Problem]:
    if template is None:
        yield ("template",), f"there is no template {parameter_set.template!r}"
        return
    fleet = parameter_set.workspace.fleet
    known = {
        name: parameter
        for name, parameter in template.parameters.items()
        if parameter.source is templates.Source.WORKSPACE
    }
    for name, value in parameter_set.values.items():
        path = ("values", name)
        if name not in known:
            hint = findings.suggest(name, known)
            yield path, f"the workspace gives no parameter {name!r}: {hint}"
        else:
            yield from _check_value(path, known[name], value)
    for name, parameter in known.items():
        yield from _check_presence(name, parameter, parameter_set)
    yield from _check_fleet(template, fleet)
    yield from _check_bound_services(parameter_set, template, services)


def _check_presence(
    name: templates.ParameterName,
    parameter: templates.Parameter,
    parameter_set: templates.ParameterSet,
) -> Iterator[Problem]:
    missing = name not in parameter_set.values and parameter.default is None
    if missing and parameter.required:
        expected = templates.EXPECTED[parameter.type]
        yield ("values",), f"missing parameter {name!r}: expected {expected}"


def _check_fleet(
    template: templates.Template, fleet: names.FleetName
) -> Iterator[Problem]:
    for text in template.services:
        service = templates.parse_service(text)
        if service is not None and service.fleet != fleet:
            message = f"template {template.name!r} reads {text}, not {fleet}"
            yield ("workspace",), message


def _check_bound_services(
    parameter_set: templates.ParameterSet,
    template: templates.Template,
    services: Services,
) -> Iterator[Problem]:
    """Check the services that the workspace or a default names."""
    fleet = parameter_set.workspace.fleet
    for name, parameter in template.parameters.items():
        value = parameter_set.values.get(name, parameter.default)
        if parameter.type is not templates.ParameterType.SERVICE or value is None:
            continue
        service = names.ServiceId(fleet, names.ServiceName(str(value)))
        if service not in services:
            own = (str(known.name) for known in services if known.fleet == fleet)
            hint = findings.suggest(str(value), own)
            yield ("values", name), f"there is no service {service}: {hint}"
