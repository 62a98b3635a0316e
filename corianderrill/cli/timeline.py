"""The command `timeline`: events of all hosts in one order."""

import heapq
import json
import os
import pathlib
from collections.abc import Iterator

import msgspec
import typer

from corianderrill import (
    credentials,
    documents,
    findings,
    inspection,
    names,
    operators,
    settings,
    status,
    timeline,
)
from corianderrill.cli import settings as settings_commands

TOKEN_VARIABLE = "CORIANDERRILL_OPERATOR_TOKEN"


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.command("timeline")(show)


def show(
    ctx: typer.Context,
    host: list[str] = typer.Option(..., help="Operators' IP:PORT of a host; repeat."),
    file: pathlib.Path = typer.Option(None, "--settings", help="File with the token."),
    request: str = typer.Option("", help="Only events of this request id."),
    change: str = typer.Option("", help="Only events of this change id."),
    member: str = typer.Option("", help="Only events of the host of this name."),
    server: str = typer.Option("", help="Only events of this backend server."),
    limit: int = typer.Option(
        timeline.EVENTS_ASKED_AT_MOST, min=1, help="Newest events asked of each host."
    ),
    slowest: int = typer.Option(
        0, min=0, help="Show this many of the longest spans instead of events."
    ),
    chrome: pathlib.Path = typer.Option(None, help="Write a Chrome trace file."),
) -> None:
    """Collect the time line of hosts and show it in causal order.

    The operators' token comes from the settings file or from the environment
    variable CORIANDERRILL_OPERATOR_TOKEN.
    """
    addresses = [_read_address(text) for text in host]
    wanted = timeline.Filter(request, change, member, server)
    fields = {
        "request": request,
        "change": change,
        "host": member,
        "server": server,
        "limit": str(limit),
    }
    answers = inspection.ask(
        addresses, operators.TIMELINE_PATH, read_token(ctx, file), fields
    )
    read = [_read_page(answer) for answer in answers]
    pages = [page for page in read if isinstance(page, timeline.Page)]
    silent = [page for page in read if isinstance(page, inspection.Unreachable)]
    _warn_of_gaps(ctx, pages, silent)
    located = list(timeline.merge(pages, wanted))
    if chrome:
        chrome.write_text(json.dumps(timeline.build_trace(located)))
        ctx.obj.print(f"{chrome}: {len(located)} events")
    else:
        for line in _format(located, slowest):
            ctx.obj.print(line)
    if silent:
        raise typer.Exit(status.ExitStatus.UNREACHABLE)


def read_token(ctx: typer.Context, file: pathlib.Path | None) -> credentials.Secret:
    """Return the operators' token of a settings file or of the environment."""
    if file is None:
        text = os.environ.get(TOKEN_VARIABLE)
        if not text:
            raise typer.BadParameter(f"give --settings or set {TOKEN_VARIABLE}")
        return credentials.Secret(text)
    match settings_commands.read_file(file):
        case findings.Rejected() as rejected:
            ctx.obj.warn(rejected)
            raise typer.Exit(status.ExitStatus.REJECTED)
        case settings.Settings() as loaded:
            return loaded.keys.operator_token


def _format(located: list[timeline.Located], slowest: int) -> Iterator[str]:
    if not slowest:
        return timeline.format_lines(located)
    spans = timeline.list_spans(located)
    longest = heapq.nlargest(slowest, spans, key=lambda span: span.duration_us)
    return timeline.format_spans(sorted(longest, key=lambda span: span.start.order))


def _read_address(text: str) -> names.Address:
    try:
        return documents.parse_address(text)
    except ValueError as error:
        raise typer.BadParameter(f"--host {text!r}: {error}") from error


def _read_page(
    answer: inspection.Answered | inspection.Unreachable,
) -> timeline.Page | inspection.Unreachable:
    match answer:
        case inspection.Answered(address, body):
            try:
                return msgspec.json.decode(body, type=timeline.Page)
            except msgspec.DecodeError as error:
                return inspection.Unreachable(address, f"not a time line: {error}")
        case _:
            return answer


def _warn_of_gaps(
    ctx: typer.Context,
    pages: list[timeline.Page],
    silent: list[inspection.Unreachable],
) -> None:
    for gap in silent:
        ctx.obj.warn(f"no events of {gap.address}: {gap.detail}")
    for page in pages:
        if page.lost:
            ctx.obj.warn(f"{page.member.host}: {page.lost} older events are gone")
