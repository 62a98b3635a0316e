"""Query requests, and their plans for one configuration revision."""

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
    """A query request of a caller.

    `workspace` has the form `FLEET/LABEL`. `not_older_than` is the oldest index version
    that the query may use, usually one that the caller has already seen.
    `minimum_coverage` is the share of shards that must answer, from 0 to 1; below it,
    no rows are returned. `is_resent` is set if the caller has already sent a request
    with this id.
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
    """A query request with its template, limits and configuration revision resolved."""

    request_id: names.RequestId
    workspace: names.WorkspaceId
    bound_query: templates.BoundQuery
    operation: attempts.Operation
    revision: names.Revision
    confirmed_age_s: float
    deadline: deadlines.Deadline
    minimum_coverage: float
    not_older_than: names.SnapshotId | None
    is_resent: bool = False


def parse_workspace(text: str) -> names.WorkspaceId | findings.Rejected:
    """Parse a workspace of the form `FLEET/LABEL`."""
    fleet, separator, label = text.partition("/")
    if fleet and separator and label:
        return names.WorkspaceId(names.FleetName(fleet), names.WorkspaceLabel(label))
    field = findings.Place("workspace")
    message = f"{text!r} is not of the form FLEET/LABEL"
    return findings.Rejected((findings.Finding(field, message),))


def make_plan(
    request: QueryRequest,
    pinned_configuration: configuration.Pinned,
    now: float,
    deadline_settings: settings.Deadlines,
) -> Plan | outcomes.NotRun:
    """Return the plan of a request, or a refusal that lists all of its errors."""
    workspace = parse_workspace(request.workspace)
    if isinstance(workspace, findings.Rejected):
        return _refuse(workspace)
    bound_query = pinned_configuration.bind(
        workspace, request.template, request.arguments
    )
    match bound_query:
        case findings.Rejected():
            return _refuse(bound_query)
        case configuration.UnknownTemplate(name):
            detail = (
                f"template {name!r} is not published; publish it or correct the name"
            )
            return outcomes.NotRun(outcomes.RefusalReason.UNKNOWN_TEMPLATE, detail)
    time_limit_s = min(
        (request.deadline_ms or bound_query.deadline_ms) / 1000,
        deadline_settings.at_most_s,
    )
    requested_coverage = request.minimum_coverage
    return Plan(
        request_id=request.request_id,
        workspace=workspace,
        bound_query=bound_query,
        operation=_convert_operation(bound_query.operation),
        revision=pinned_configuration.revision,
        confirmed_age_s=pinned_configuration.measure_age(now),
        deadline=deadlines.deadline_after(
            now, time_limit_s - deadline_settings.reserve_s
        ),
        minimum_coverage=(
            bound_query.minimum_coverage
            if requested_coverage is None
            else requested_coverage
        ),
        not_older_than=_make_snapshot_id(workspace.fleet, request.not_older_than),
        is_resent=request.is_resent,
    )


def _make_snapshot_id(
    fleet: names.FleetName, version: names.IndexVersion | None
) -> names.SnapshotId | None:
    if version is None:
        return None
    return names.SnapshotId(fleet, version)


def _refuse(rejected: findings.Rejected) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.RefusalReason.BAD_REQUEST, str(rejected))


def _convert_operation(
    operation: templates.Find | templates.Record,
) -> attempts.Operation:
    """Convert an operation to the form that is sent to backend servers."""
    match operation:
        case templates.Find(filters):
            return attempts.FindRows({item.field: item.value for item in filters})
        case templates.Record(key, fields):
            return attempts.WriteRow(key, {item.field: item.value for item in fields})
