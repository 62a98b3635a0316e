"""The commands of the gateway: run one, and explain a request from its logs."""

import pathlib

import typer

from corianderrill import names, status


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.command("gateway")(run)
    app.command("explain")(explain)


def run(ctx: typer.Context) -> None:
    """Run a gateway on the users' platform until SIGTERM.

    The platform names the settings file in the environment.
    """
    # Only this command needs the modules that the gateway loads.
    from corianderrill.gateway import process

    raise typer.Exit(process.run_gateway(ctx.obj))


def explain(
    ctx: typer.Context,
    request_id: str = typer.Argument(..., help="Id of the request."),
    logs: list[pathlib.Path] = typer.Argument(..., help="Logs of the hosts."),
) -> None:
    """Tell from the logs of gateways what happened to one request."""
    from corianderrill.gateway import request_report

    try:
        texts = [log.read_text(errors="replace").splitlines() for log in logs]
    except OSError as error:
        ctx.obj.warn(f"corianderrill explain: {error}")
        raise typer.Exit(status.ExitStatus.USAGE) from error
    read = request_report.read_logs(texts)
    told = list(request_report.describe_request(read, names.RequestId(request_id)))
    if read.unparsed:
        ctx.obj.warn(f"corianderrill explain: {read.unparsed} lines are no records")
    if not told:
        ctx.obj.warn(
            f"corianderrill explain: no log tells of {request_id}; a routine line may "
            "have been left out under load: see `left_out`"
        )
        raise typer.Exit(status.ExitStatus.ERROR)
    for line in told:
        ctx.obj.print(line)
