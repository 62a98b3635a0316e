"""Commands about settings: show every key, check a file, make new keys."""

import itertools
import pathlib
import secrets
import textwrap
from collections.abc import Callable

import typer
import zmq

from corianderrill import findings, settings, status

TOKEN_BYTES = 32


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.command("settings")(show)
    app.command("check")(check)
    app.command("keys")(make_keys)


def show(ctx: typer.Context) -> None:
    """Show every key with its meaning and default, as YAML."""
    ctx.obj.print(format_reference())


def check(
    ctx: typer.Context,
    file: pathlib.Path = typer.Option(..., "--settings", help="File to check."),
) -> None:
    """Check a settings file and show all that is wrong with it."""
    match read_file(file):
        case findings.Rejected() as rejected:
            ctx.obj.warn(rejected)
            raise typer.Exit(status.ExitStatus.REJECTED)
        case _:
            ctx.obj.print(f"{file}: no findings")


def make_keys(ctx: typer.Context) -> None:
    """Make new keys for the section `keys`; all entry hosts share them."""
    public, secret = zmq.curve_keypair()
    ctx.obj.print("keys:")
    ctx.obj.print(f"  public: {_quote(public.decode())}")
    ctx.obj.print(f"  secret: {_quote(secret.decode())}")
    ctx.obj.print(f"  operator_token: {secrets.token_urlsafe(TOKEN_BYTES)}")


def read_file(file: pathlib.Path) -> settings.Settings | findings.Rejected:
    """Read and check a settings file; a file that can't be read is a finding."""
    return _read(file, lambda text: settings.load(text, str(file)))


def reload_file(
    current: settings.Settings, file: pathlib.Path
) -> settings.Settings | findings.Rejected:
    """Read and check the file of a running host; see `settings.reload`."""
    return _read(file, lambda text: settings.reload(current, text, str(file)))


def _read(
    file: pathlib.Path, load: Callable[[str], settings.Settings | findings.Rejected]
) -> settings.Settings | findings.Rejected:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        message = f"can't be read: {getattr(error, 'strerror', None) or error}"
        place = findings.Place(str(file))
        return findings.Rejected((findings.Finding(place, message),))
    return load(text)


def format_reference() -> str:
    """Return all keys as YAML; keys without a default are marked as required."""
    keys = settings.list_keys()
    sections = itertools.groupby(keys, key=lambda key: key.path[0])
    return "\n".join(
        f"{name}:\n" + "\n".join(_format_key(key) for key in section)
        for name, section in sections
    )


def _format_key(key: settings.Key) -> str:
    value = "" if key.is_required else f" {settings.format_value(key.default)}"
    notes = [
        *(["Required."] if key.is_required else []),
        *(["Taken in by a reload."] if key.reload else []),
    ]
    doc = textwrap.wrap(" ".join([key.doc, *notes]), width=70)
    return "\n".join([*(f"  # {line}" for line in doc), f"  {key.path[-1]}:{value}"])


def _quote(text: str) -> str:
    return "'" + text.replace("'", "''") + "'"
