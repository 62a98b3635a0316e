"""The program without its process: arguments in, exit status out."""

import contextlib
import importlib
from collections.abc import Sequence

import typer

import corianderrill
from corianderrill import context, status

# Modules below corianderrill.cli; each registers its commands with `register(app)`.
COMMAND_MODULES = (
    "settings",
    "serve",
    "query",
    "configuration",
    "timeline",
    "demo",
    "gateway",
)


def program(
    arguments: Sequence[str], environment: context.Environment
) -> status.ExitStatus:
    """Run one command; every way out is an exit status, never an exception."""
    command = typer.main.get_command(build_app())
    try:
        # The library writes the help text to the standard output of the process.
        with contextlib.redirect_stdout(environment.stdout):
            code = command.main(
                list(arguments),
                prog_name="corianderrill",
                standalone_mode=False,
                obj=environment,
            )
    except typer.TyperException as error:
        environment.warn(f"corianderrill: {_describe(error)}")
        environment.warn("`corianderrill --help` lists the commands.")
        return status.ExitStatus.USAGE
    except (typer.Abort, KeyboardInterrupt):
        return status.ExitStatus.INTERRUPTED
    return status.ExitStatus(code or 0)


def build_app() -> typer.Typer:
    """Return the application with the commands of every module."""
    app = typer.Typer(
        add_completion=False,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
    )
    app.callback(invoke_without_command=True)(_show_version)
    for name in COMMAND_MODULES:
        importlib.import_module(f"corianderrill.cli.{name}").register(app)
    return app


def _show_version(
    ctx: typer.Context,
    version: bool = typer.Option(False, "--version", help="Show the version."),
) -> None:
    """Draw one whole, current answer from many shards."""
    if version:
        ctx.obj.print(corianderrill.__version__)
        raise typer.Exit()
    if ctx.invoked_subcommand is None:
        ctx.obj.print(ctx.get_help())
        raise typer.Exit(status.ExitStatus.USAGE)


def _describe(error: typer.TyperException) -> str:
    return getattr(error, "format_message", error.__str__)()
