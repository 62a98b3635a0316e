"""Commands about templates and parameter sets: publish, show, undo, settle, check."""

import dataclasses
import datetime
import difflib
import itertools
import pathlib
import time
import uuid
from collections.abc import Callable, Iterable

import msgspec
import typer
import urllib3

from corianderrill import (
    acceptance,
    catalog,
    configuration,
    documents,
    findings,
    http_pools,
    keyvalue,
    names,
    operators,
    propagation,
    publishing,
    status,
    templates,
)

REPLY_GRACE_S = 2.0
KEY_HELP = "templates/NAME or parameters/FLEET/LABEL/TEMPLATE."
PLATFORM = typer.Option(
    ..., envvar="CORIANDERRILL_PLATFORM", help="IP:PORT of the key-value service."
)
AUTHOR = typer.Option(..., envvar="CORIANDERRILL_AUTHOR", help="Who makes the change.")
CHANGE = typer.Option("", "--change", help="Id of the change; a new one by default.")
JSON = typer.Option(False, "--json", help="Print one JSON object.")
EXPECT = typer.Option(None, help="Revision that must be in force.")
TOKEN = typer.Option(
    "", envvar="CORIANDERRILL_OPERATOR_TOKEN", help="Operators' token, for --wait."
)


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    group = typer.Typer(help="Templates and parameter sets.", rich_markup_mode=None)
    group.command("publish")(publish)
    group.command("show")(show)
    group.command("list")(list_items)
    group.command("diff")(show_difference)
    group.command("history")(show_history)
    group.command("rollback")(roll_back)
    group.command("delete")(delete)
    group.command("settle")(settle)
    group.command("check")(check)
    app.add_typer(group, name="configuration")


@dataclasses.dataclass(frozen=True, slots=True)
class ItemFile:
    """A file with one template or one parameter set."""

    template: templates.Template | None = None
    parameter_set: templates.ParameterSet | None = None

    def __post_init__(self) -> None:
        if (self.template is None) == (self.parameter_set is None):
            raise ValueError("expected exactly one of template and parameter_set")


@dataclasses.dataclass(frozen=True, slots=True)
class ServicesFile:
    """A file with the services that exist, each as `fleet/service`."""

    services: tuple[str, ...]


class Report(msgspec.Struct, omit_defaults=True):
    """What a command tells, as text or as one JSON object."""

    outcome: str
    key: str = ""
    version: configuration.Version | None = None
    in_force: propagation.InForceReport | None = None
    change: str = ""
    command: str = ""
    detail: str = ""
    found: tuple[findings.Finding, ...] = msgspec.field(name="findings", default=())


EXITS = {
    "accepted": status.ExitStatus.SUCCESS,
    "withdrawn": status.ExitStatus.NOT_RUN,
    "conflict": status.ExitStatus.CONFLICT,
    "unsettled": status.ExitStatus.UNKNOWN,
    "unavailable": status.ExitStatus.UNREACHABLE,
    "rejected": status.ExitStatus.REJECTED,
    "not-confirmed": status.ExitStatus.PARTIAL,
}


def publish(
    ctx: typer.Context,
    file: pathlib.Path = typer.Argument(..., help="YAML file of one item."),
    platform: str = PLATFORM,
    author: str = AUTHOR,
    expect: int = EXPECT,
    above: int = typer.Option(0, help="The new revision will be above this one."),
    change: str = CHANGE,
    wait: bool = typer.Option(False, "--wait", help="Wait until it is in force."),
    host: str = typer.Option("", help="Operators' IP:PORT of a host, for --wait."),
    token: str = TOKEN,
    timeout_s: float = typer.Option(10.0, help="Longest wait in seconds."),
    json: bool = JSON,
) -> None:
    """Put a template or a parameter set into force."""
    if wait and not (host and token):
        raise typer.BadParameter("--wait needs --host and the operators' token")
    put = _read_put(file)
    if isinstance(put, findings.Rejected):
        _finish(ctx, _report(put), json)
    change_made = publishing.Change(
        _choose_id(change), author, put, expect, names.Revision(above)
    )
    report = _submit(platform, change_made)
    if wait and report.outcome == "accepted":
        report = _wait(report, host, token, timeout_s)
    _finish(ctx, report, json)


def delete(
    ctx: typer.Context,
    key: str = typer.Argument(..., help=KEY_HELP),
    platform: str = PLATFORM,
    author: str = AUTHOR,
    expect: int = EXPECT,
    change: str = CHANGE,
    json: bool = JSON,
) -> None:
    """Take an item out of force, as a new revision."""
    action = publishing.Delete(_complete(key))
    made = publishing.Change(_choose_id(change), author, action, expect)
    _finish(ctx, _submit(platform, made), json)


def roll_back(
    ctx: typer.Context,
    key: str = typer.Argument(..., help=KEY_HELP),
    to: int = typer.Option(..., help="Revision whose content takes force again."),
    platform: str = PLATFORM,
    author: str = AUTHOR,
    expect: int = EXPECT,
    change: str = CHANGE,
    json: bool = JSON,
) -> None:
    """Put the content of an earlier revision into force, as a new revision."""
    action = publishing.RollBack(_complete(key), names.Revision(to))
    made = publishing.Change(_choose_id(change), author, action, expect)
    _finish(ctx, _submit(platform, made), json)


def settle(
    ctx: typer.Context,
    key: str = typer.Argument(..., help=KEY_HELP),
    change: str = typer.Option(..., "--change", help="Id of the change."),
    platform: str = PLATFORM,
    json: bool = JSON,
) -> None:
    """Find out whether a change was accepted; if not, withdraw it for good."""
    publisher = publishing.Publisher(_connect(platform), frozenset())
    outcome = publisher.settle(_complete(key), names.ChangeId(change))
    _finish(ctx, _report(outcome), json)


def show(
    ctx: typer.Context,
    key: str = typer.Argument(..., help=KEY_HELP),
    platform: str = PLATFORM,
    json: bool = JSON,
) -> None:
    """Show an item as it is in force."""
    current = _read_listing(ctx, platform, json).find(_complete(key)).current
    if current is None:
        _finish(ctx, _report_missing(key), json)
    _print(ctx, current, json, _format_content(current.content) or "deleted")


def list_items(
    ctx: typer.Context,
    platform: str = PLATFORM,
    deleted: bool = typer.Option(False, help="Show deletions too."),
    json: bool = JSON,
) -> None:
    """List the items in force with their revisions."""
    listing = _read_listing(ctx, platform, json)
    items = [
        configuration.Item(key, stored.current)
        for key, stored in listing.records.items()
        if stored.current and (deleted or stored.current.content is not None)
    ]
    lines = (f"{_shorten(item.key)}  {_describe(item.version)}" for item in items)
    _print(ctx, items, json, "\n".join(lines))


def show_history(
    ctx: typer.Context,
    key: str = typer.Argument(..., help=KEY_HELP),
    platform: str = PLATFORM,
    json: bool = JSON,
) -> None:
    """Show the versions of an item, the newest first."""
    record = _read_listing(ctx, platform, json).find(_complete(key)).record
    if record is None:
        _finish(ctx, _report_missing(key), json)
    versions = record.list_versions()
    _print(ctx, versions, json, "\n".join(map(_describe, versions)))


def show_difference(
    ctx: typer.Context,
    file: pathlib.Path = typer.Argument(..., help="YAML file of one item."),
    platform: str = PLATFORM,
    json: bool = JSON,
) -> None:
    """Show what publishing a file would change."""
    put = _read_put(file)
    if isinstance(put, findings.Rejected):
        _finish(ctx, _report(put), json)
    current = _read_listing(ctx, platform, json).find_content(put.key)
    lines = difflib.unified_diff(
        _format_content(current).splitlines(),
        _format_content(put.content).splitlines(),
        "in force",
        str(file),
        lineterm="",
    )
    text = "\n".join(lines)
    _print(ctx, {"key": put.key, "diff": text}, json, text or "no difference")


def check(
    ctx: typer.Context,
    files: list[pathlib.Path] = typer.Argument(
        ..., help="YAML files of one item each."
    ),
    services: pathlib.Path = typer.Option(
        ..., help="YAML file with a list `services` of FLEET/SERVICE."
    ),
    json: bool = JSON,
) -> None:
    """Check files against each other without the platform; show all findings."""
    known = _read_services(services)
    results = [_read_put(file) for file in files]
    rejected = [item for item in results if isinstance(item, findings.Rejected)]
    puts = [item for item in results if isinstance(item, publishing.Put)]
    if isinstance(known, findings.Rejected):
        rejected.append(known)
        problems: Iterable[findings.Finding] = ()
    else:
        problems = publishing.check_offline(puts, known)
    read = itertools.chain.from_iterable(item.findings for item in rejected)
    found = tuple(sorted((*read, *problems)))
    if found:
        _finish(ctx, _report(findings.Rejected(found)), json)
    _print(ctx, Report("accepted"), json, f"{len(puts)} files: no findings")


def _read_put(file: pathlib.Path) -> publishing.Put | findings.Rejected:
    parsed = _parse(file, ItemFile)
    if isinstance(parsed, findings.Rejected):
        return parsed
    root = "template" if parsed.value.template is not None else "parameter_set"
    content = parsed.value.template or parsed.value.parameter_set
    return publishing.Put(content, lambda path: parsed.locate(root, *path))


def _read_services(file: pathlib.Path) -> acceptance.Services | findings.Rejected:
    parsed = _parse(file, ServicesFile)
    if isinstance(parsed, findings.Rejected):
        return parsed
    services = [templates.parse_service(text) for text in parsed.value.services]
    wrong = tuple(
        findings.Finding(parsed.locate("services", index), "expected FLEET/SERVICE")
        for index, service in enumerate(services)
        if service is None
    )
    return findings.Rejected(wrong) if wrong else frozenset(services)


def _parse(file: pathlib.Path, model: type) -> documents.Parsed | findings.Rejected:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        message = f"can't be read: {getattr(error, 'strerror', None) or error}"
        finding = findings.Finding(findings.Place(str(file)), message)
        return findings.Rejected((finding,))
    return documents.parse(text, str(file), model)


def _connect(platform: str) -> keyvalue.Client:
    try:
        return keyvalue.connect(documents.parse_address(platform))
    except ValueError as error:
        raise typer.BadParameter(f"--platform: {error}") from error


def _submit(platform: str, change: publishing.Change) -> Report:
    client = _connect(platform)
    services = read_services(client)
    if isinstance(services, findings.Rejected | publishing.Unavailable):
        return _report(services)
    return _report(publishing.Publisher(client, services).submit(change))


def read_services(
    client: keyvalue.Client,
) -> acceptance.Services | findings.Rejected | publishing.Unavailable:
    """Return the services of the newest snapshot of every fleet's catalog."""
    listed = client.list(catalog.catalog_key(names.FleetName("")))
    if not isinstance(listed, keyvalue.Listed):
        return publishing.Unavailable(listed.detail)
    decoded = [catalog.decode_catalog(item.value, item.key) for item in listed.entries]
    rejected = [item for item in decoded if isinstance(item, findings.Rejected)]
    if rejected:
        return findings.Rejected(
            tuple(itertools.chain.from_iterable(item.findings for item in rejected))
        )
    newest = (
        max(snapshots, key=lambda snapshot: snapshot.id.version)
        for snapshots in decoded
        if snapshots
    )
    return frozenset(
        itertools.chain.from_iterable(snapshot.partitions for snapshot in newest)
    )


def _wait(report: Report, host: str, token: str, timeout_s: float) -> Report:
    """Ask a host until the revision is in force everywhere or time is up."""
    fields = {
        "key": report.key,
        "revision": str(report.version.revision),
        "timeout_s": str(timeout_s),
    }
    try:
        response = http_pools.build_manager().request(
            "GET",
            f"http://{host}{operators.IN_FORCE_PATH}",
            fields=fields,
            headers={"Authorization": f"Bearer {token}"},
            timeout=timeout_s + REPLY_GRACE_S,
            retries=False,
        )
        in_force = msgspec.json.decode(response.data, type=propagation.InForceReport)
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
        detail = f"accepted, but {host} does not tell where it is in force: {error}"
        return msgspec.structs.replace(report, outcome="not-confirmed", detail=detail)
    outcome = "accepted" if in_force.is_in_force_everywhere else "not-confirmed"
    return msgspec.structs.replace(report, outcome=outcome, in_force=in_force)


def _read_listing(ctx: typer.Context, platform: str, json: bool) -> publishing.Listing:
    listing = publishing.Publisher(_connect(platform), frozenset()).read()
    if isinstance(listing, publishing.Unavailable):
        _finish(ctx, _report(listing), json)
    return listing


def _report(outcome: publishing.Outcome | publishing.Withdrawn) -> Report:
    match outcome:
        case publishing.Accepted(key, version):
            return Report("accepted", key, version, change=version.change)
        case publishing.ConflictFound(key, current):
            return Report("conflict", key, current, detail="another change is in force")
        case publishing.Withdrawn(key, current):
            detail = "it was not accepted and can't take effect any more"
            return Report("withdrawn", key, current, detail=detail)
        case publishing.Unsettled(key, change, command, detail):
            return Report(
                "unsettled", key, change=change, command=command, detail=detail
            )
        case publishing.Unavailable(detail):
            return Report("unavailable", detail=f"nothing was changed: {detail}")
        case findings.Rejected(found):
            return Report("rejected", found=found)


def _report_missing(key: str) -> Report:
    finding = findings.Finding(findings.Place(key), "there is no such item")
    return Report("rejected", key, found=(finding,))


def _finish(ctx: typer.Context, report: Report, json: bool) -> None:
    """Print a report and leave with its exit status."""
    exit_status = EXITS[report.outcome]
    if json:
        ctx.obj.print(msgspec.json.encode(report).decode())
    else:
        is_done = exit_status is status.ExitStatus.SUCCESS
        write: Callable = ctx.obj.print if is_done else ctx.obj.warn
        write("\n".join(_format_report(report)))
    raise typer.Exit(exit_status)


def _print(ctx: typer.Context, value: object, json: bool, text: str) -> None:
    ctx.obj.print(msgspec.json.encode(value).decode() if json else text)


def _format_report(report: Report) -> Iterable[str]:
    if report.found:
        yield findings.format_findings(report.found)
        return
    yield " ".join(filter(None, (report.outcome, _shorten(report.key))))
    if report.version is not None:
        yield _describe(report.version)
    if report.detail:
        yield report.detail
    if report.command:
        yield f"settle it later by: {report.command}"
    if report.in_force is not None:
        yield from map(_format_zone, report.in_force.zones)


def _format_zone(zone: propagation.ZoneInForce) -> str:
    total = len(zone.confirmed) + len(zone.unconfirmed)
    line = f"zone {zone.zone}: in force on {len(zone.confirmed)} of {total} hosts"
    if zone.unconfirmed:
        line += f"; not confirmed: {', '.join(zone.unconfirmed)}"
    return line


def _describe(version: configuration.Version) -> str:
    changed_at = datetime.datetime.fromtimestamp(version.changed_at, datetime.UTC)
    kind = "deleted" if version.content is None else "changed"
    return (
        f"revision {version.revision}, {kind} by {version.author or 'nobody'} at "
        f"{changed_at:%Y-%m-%d %H:%M:%S} UTC, change {version.change}"
    )


def _format_content(
    content: templates.Template | templates.ParameterSet | None,
) -> str:
    """Return content in the form in which it is published."""
    if content is None:
        return ""
    root = "template" if isinstance(content, templates.Template) else "parameter_set"
    return msgspec.yaml.encode({root: content}, order="deterministic").decode().rstrip()


def _choose_id(change: str) -> names.ChangeId:
    if change:
        return names.ChangeId(change)
    return names.ChangeId(f"{int(time.time())}-{uuid.uuid4().hex[:8]}")


def _complete(key: str) -> str:
    if key.startswith(configuration.PREFIX):
        return key
    return configuration.PREFIX + key


def _shorten(key: str) -> str:
    return key.removeprefix(configuration.PREFIX)
