"""The command that asks an entry host."""

import msgspec
import typer
import urllib3

from corianderrill import entry, http_pools, plan, status

DEFAULT_TIMEOUT_S = 15.0


def register(app: typer.Typer) -> None:
    """Add the command of this module."""
    app.command("query")(ask)


def ask(
    ctx: typer.Context,
    host: str = typer.Option(..., help="IP:PORT of an entry host."),
    workspace: str = typer.Option(..., help="FLEET/LABEL of the workspace."),
    template: str = typer.Argument(..., help="Name of the template."),
    arguments: list[str] = typer.Argument(None, help="NAME=VALUE of parameters."),
    deadline_ms: float = typer.Option(None, help="Deadline in milliseconds."),
    minimum_coverage: float = typer.Option(
        None, help="Share of shards, 0 to 1; an answer below it is refused."
    ),
    not_older_than: int = typer.Option(None, help="Oldest index version that will do."),
    request_id: str = typer.Option("", help="Id of the request, to ask again."),
    resent: bool = typer.Option(
        False, "--resent", help="Tell that this id was sent before."
    ),
    json: bool = typer.Option(False, "--json", help="Print the whole reply."),
) -> None:
    """Ask one query and print its rows.

    Example: corianderrill query --host 127.0.0.1:8080 --workspace gantry/morning
    permit-status state=live
    """
    request = plan.QueryRequest(
        workspace=workspace,
        template=template,
        arguments=dict(_split_argument(text) for text in arguments or ()),
        request_id=request_id,
        is_resent=resent,
        deadline_ms=deadline_ms,
        minimum_coverage=minimum_coverage,
        not_older_than=not_older_than,
    )
    try:
        response = send(host, request)
    except urllib3.exceptions.HTTPError as error:
        ctx.obj.warn(f"{host} does not answer: {error}; try another host")
        raise typer.Exit(status.ExitStatus.UNREACHABLE) from error
    if json:
        ctx.obj.print(response.data.decode())
    else:
        show_answer(ctx, response)
    outcome = response.headers.get(status.OUTCOME_HEADER)
    raise typer.Exit(status.exit_status_for(outcome))


def send(address: str, request: plan.QueryRequest) -> urllib3.BaseHTTPResponse:
    """Send a request to an entry host; raises urllib3's errors."""
    return http_pools.build_manager().request(
        "POST",
        f"http://{address}{entry.QUERY_PATH}",
        body=msgspec.json.encode(request),
        headers={"Content-Type": "application/json"},
        timeout=DEFAULT_TIMEOUT_S,
        retries=False,
    )


def show_answer(ctx: typer.Context, response: urllib3.BaseHTTPResponse) -> None:
    """Print the rows to the output and the label beside it."""
    try:
        answer = msgspec.json.decode(response.data, type=entry.AnswerView)
    except msgspec.DecodeError:
        ctx.obj.warn(f"the host answered with status {response.status} and no answer")
        return
    for row in answer.rows or ():
        fields = " ".join(f"{name}={value}" for name, value in row.fields.items())
        ctx.obj.print(f"{row.key}  {fields}")
    ctx.obj.warn(describe_answer(answer))


def describe_answer(answer: entry.AnswerView) -> str:
    """Return the outcome and the label in one line."""
    if answer.label is None:
        return f"{answer.outcome}: {answer.detail}"
    label = answer.label
    coverage = f"{label.coverage.answered}/{label.coverage.asked} shards"
    left_out = ""
    if label.rows_left_out:
        left_out = f", {label.rows_left_out} more rows past the template's limit"
    return (
        f"{answer.outcome}: {coverage}{left_out}, snapshot {label.snapshot}, "
        f"revision {label.revision} confirmed {label.confirmed_age_s:.1f} s ago"
    )


def _split_argument(text: str) -> tuple[str, str]:
    name, separator, value = text.partition("=")
    if not separator:
        raise typer.BadParameter(f"{text!r} has no value; write it as NAME=VALUE")
    return name, value
