"""Commands that run a gateway and explain a request from the logs of gateways."""

import pathlib

import typer

from corianderrill import names, status


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.command("gateway")(run)
    app.command("explain")(explain)


def run(ctx: typer.Context) -> None:
    """Run a gateway on the users' platform until SIGTERM.

    The environment variable CORIANDERRILL_SETTINGS holds the path of its settings file.
    """
    # Imported here: the other commands do not need the modules of the gateway.
    from corianderrill.gateway import process

    raise typer.Exit(process.run_gateway(ctx.obj))


def explain(
    ctx: typer.Context,
    request_id: str = typer.Argument(..., help="ID of the request."),
    logs: list[pathlib.Path] = typer.Argument(..., help="Log files of the hosts."),
) -> None:
    """Show what happened to one request, from the logs of gateways."""
    from corianderrill.gateway import request_report

    try:
        log_lines = [log.read_text(errors="replace").splitlines() for log in logs]
    except OSError as error:
        ctx.obj.warn(f"corianderrill explain: {error}")
        raise typer.Exit(status.ExitStatus.USAGE) from error
    parsed = request_report.parse_logs(log_lines)
    report = list(request_report.describe_request(parsed, names.RequestId(request_id)))
    if parsed.unparsed:
        ctx.obj.warn(f"corianderrill explain: {parsed.unparsed} lines can't be parsed")
    if not report:
        ctx.obj.warn(
            f"corianderrill explain: no log mentions {request_id}; its lines may "
            "have been dropped under load: see `left_out`"
        )
        raise typer.Exit(status.ExitStatus.ERROR)
    for line in report:
        ctx.obj.print(line)
