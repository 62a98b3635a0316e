"""Plans: a request that is bound to one configuration revision."""

import dataclasses
from typing import Annotated

import msgspec

from corianderrill import (
    admission,
    attempts,
    configuration,
    deadlines,
    findings,
    names,
    outcomes,
    settings,
    templates,
)


class QueryRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller's request.

    `workspace` is `FLEET/LABEL`. `not_older_than` is an index version that the
    caller has seen. `minimum_coverage` is a share from 0 to 1; an answer below it
    is refused. `is_resent` tells that the caller has sent the same id before.
    """

    workspace: str
    template: names.TemplateName
    arguments: dict[str, str | int | float | bool] = {}
    request_id: names.RequestId = names.RequestId("")
    deadline_ms: Annotated[float, msgspec.Meta(gt=0)] | None = None
    minimum_coverage: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None
    not_older_than: Annotated[names.IndexVersion, msgspec.Meta(ge=0)] | None = None
    priority: admission.Priority = admission.Priority.NORMAL
    is_resent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A query that is bound to one configuration revision."""

    request_id: names.RequestId
    workspace: names.WorkspaceId
    bound: templates.BoundQuery
    operation: attempts.Operation
    revision: names.Revision
    confirmed_age_s: float
    deadline: deadlines.Deadline
    minimum_coverage: float
    not_older_than: names.SnapshotId | None
    is_resent: bool = False


def parse_workspace(text: str) -> names.WorkspaceId | findings.Rejected:
    """Return the workspace that `FLEET/LABEL` names."""
    fleet, separator, label = text.partition("/")
    if fleet and separator and label:
        return names.WorkspaceId(names.FleetName(fleet), names.WorkspaceLabel(label))
    place = findings.Place("workspace")
    message = f"{text!r} names no fleet; write it as FLEET/LABEL"
    return findings.Rejected((findings.Finding(place, message),))


def make_plan(
    request: QueryRequest,
    pinned: configuration.Pinned,
    now: float,
    limits: settings.Deadlines,
) -> Plan | outcomes.NotRun:
    """Bind a request to a configuration revision, or say all that is wrong."""
    workspace = parse_workspace(request.workspace)
    if isinstance(workspace, findings.Rejected):
        return _reject(workspace)
    bound = pinned.bind(workspace, request.template, request.arguments)
    match bound:
        case findings.Rejected():
            return _reject(bound)
        case configuration.UnknownTemplate(name):
            detail = f"no template {name!r} is in force; publish it or mend the name"
            return outcomes.NotRun(outcomes.RefusalReason.UNKNOWN_TEMPLATE, detail)
    budget_s = min((request.deadline_ms or bound.deadline_ms) / 1000, limits.at_most_s)
    minimum = request.minimum_coverage
    return Plan(
        request_id=request.request_id,
        workspace=workspace,
        bound=bound,
        operation=_translate(bound.operation),
        revision=pinned.revision,
        confirmed_age_s=pinned.measure_age(now),
        deadline=deadlines.deadline_after(now, budget_s - limits.reserve_s),
        minimum_coverage=bound.minimum_coverage if minimum is None else minimum,
        not_older_than=_name_snapshot(workspace.fleet, request.not_older_than),
        is_resent=request.is_resent,
    )


def _name_snapshot(
    fleet: names.FleetName, version: names.IndexVersion | None
) -> names.SnapshotId | None:
    if version is None:
        return None
    return names.SnapshotId(fleet, version)


def _reject(rejected: findings.Rejected) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.RefusalReason.BAD_REQUEST, str(rejected))


def _translate(operation: templates.Find | templates.Record) -> attempts.Operation:
    """Return the operation in the form that backend servers are sent."""
    match operation:
        case templates.Find(filters):
            return attempts.FindRows({item.field: item.value for item in filters})
        case templates.Record(key, fields):
            return attempts.WriteRow(key, {item.field: item.value for item in fields})
