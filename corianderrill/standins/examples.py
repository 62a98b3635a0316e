"""Example templates and parameter sets of both users."""

from collections.abc import Iterable

from corianderrill import names, templates
from corianderrill.standins import deployments

MORNING = names.WorkspaceLabel("morning")
WORKSPACES = tuple(
    names.WorkspaceId(deployment.fleet, MORNING)
    for deployment in deployments.DEPLOYMENTS
)

_SERVICE = templates.Parameter(
    templates.ParameterType.SERVICE, templates.Source.WORKSPACE
)
_TEXT = templates.Parameter(templates.ParameterType.STRING)
_OPTIONAL_TEXT = templates.Parameter(templates.ParameterType.STRING, required=False)
_DATE = templates.Parameter(templates.ParameterType.DATE)


def _name(text: str) -> templates.ParameterName:
    return templates.ParameterName(text)


EXPIRES_ON = templates.Template(
    name=names.TemplateName("expires-on"),
    services=("{first}", "{second}"),
    parameters={
        _name("first"): _SERVICE,
        _name("second"): _SERVICE,
        _name("date"): _DATE,
    },
    find=templates.FindRule(where={"expires": "{date}"}),
)
PERMITS = templates.Template(
    name=names.TemplateName("permits"),
    services=("gantry/lookup", "gantry/intake"),
    parameters={_name("council"): _TEXT, _name("state"): _OPTIONAL_TEXT},
    find=templates.FindRule(where={"council": "{council}", "state": "{state}"}),
)
LOTS = templates.Template(
    name=names.TemplateName("lots"),
    services=("rongitoitlus/lookup", "rongitoitlus/intake"),
    parameters={_name("train"): _TEXT, _name("item"): _OPTIONAL_TEXT},
    find=templates.FindRule(where={"train": "{train}", "item": "{item}"}),
)
BOOK = templates.Template(
    name=names.TemplateName("book"),
    services=("{desk}",),
    parameters={
        _name("desk"): _SERVICE,
        _name("reference"): _TEXT,
        _name("subject"): _TEXT,
    },
    record=templates.RecordRule(key="{reference}", fields={"subject": "{subject}"}),
)
TEMPLATES = (EXPIRES_ON, PERMITS, LOTS, BOOK)


def list_parameter_sets(
    workspaces: Iterable[names.WorkspaceId] = WORKSPACES,
) -> tuple[templates.ParameterSet, ...]:
    """Return the parameter sets of workspaces; by default `morning` of each fleet."""
    shared = {_name("first"): "lookup", _name("second"): "intake"}
    values = {
        EXPIRES_ON.name: shared,
        BOOK.name: {_name("desk"): "desk"},
    }
    return tuple(
        templates.ParameterSet(workspace, template.name, values.get(template.name, {}))
        for workspace in workspaces
        for template in TEMPLATES
    )
