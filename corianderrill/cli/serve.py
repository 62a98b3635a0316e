"""The command that runs an entry host."""

import pathlib
import signal

import eventlet
import logbook
import typer

from corianderrill import findings, host, logs, settings, status, timeline
from corianderrill.cli import settings as settings_commands


def register(app: typer.Typer) -> None:
    """Add the command of this module."""
    app.command("serve")(serve)


def serve(
    ctx: typer.Context,
    file: pathlib.Path = typer.Option(..., "--settings", help="Settings file."),
) -> None:
    """Run an entry host until SIGTERM; work in flight is finished first."""
    values = settings_commands.read_file(file)
    if isinstance(values, findings.Rejected):
        ctx.obj.warn(values)
        raise typer.Exit(status.ExitStatus.REJECTED)
    logs.open_handler(ctx.obj.stderr, values.reporting.log_format).push_application()
    entry_host = host.EntryHost(values)
    address = entry_host.start()
    ctx.obj.print(f"{entry_host.member} listening on {address}")
    signal.signal(signal.SIGTERM, lambda *_: entry_host.take_signal())
    signal.signal(signal.SIGINT, lambda *_: entry_host.take_signal())
    signal.signal(signal.SIGHUP, lambda *_: eventlet.spawn(reload, entry_host, file))
    closed = entry_host.wait_until_left()
    if closed.cut_off:
        raise typer.Exit(status.ExitStatus.INTERRUPTED)


def reload(entry_host: host.EntryHost, file: pathlib.Path) -> None:
    """Take in the file again, or keep what is in force where any of it is refused."""
    journal = logs.Journal(entry_host.member.host)
    match settings_commands.reload_file(entry_host.settings, file):
        case findings.Rejected() as rejected:
            detail = "; ".join(str(finding) for finding in rejected.findings)
            journal.change(file, "refused", logbook.ERROR, findings=detail)
        case settings.Settings() as values:
            entry_host.take_settings(values)
            detail = "taken in"
            journal.change(file, "in-force")
    entry_host.events.record(timeline.Kind.SETTINGS_RELOADED, detail=detail)
