"""The command that shows the whole path on embedded stand-ins."""

import dataclasses
import itertools
import time

import eventlet
import typer
import zmq

from corianderrill import (
    credentials,
    host,
    hostlist,
    keyvalue,
    names,
    plan,
    settings,
    status,
)
from corianderrill.cli import query as query_commands
from corianderrill.standins import examples, publishing, site

LOOPBACK = "127.0.0.1"
READY_WITHIN_S = 20.0
READY_POLL_S = 0.05
OPERATOR_TOKEN = "demo-operator-token"


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """One query of the demo."""

    workspace: names.WorkspaceId
    template: names.TemplateName
    arguments: dict[str, str]


GANTRY, RONGITOITLUS = examples.WORKSPACES
QUESTIONS = (
    Question(GANTRY, examples.PERMITS.name, {"council": "Logan", "state": "lapsed"}),
    Question(RONGITOITLUS, examples.LOTS.name, {"train": "R214", "item": "kohv"}),
    Question(GANTRY, examples.EXPIRES_ON.name, {"date": "2026-12-04"}),
    Question(RONGITOITLUS, examples.EXPIRES_ON.name, {"date": "2026-12-04"}),
    Question(
        RONGITOITLUS,
        examples.BOOK.name,
        {"reference": "restock-7781", "subject": "R214 kohv"},
    ),
)


def register(app: typer.Typer) -> None:
    """Add the command of this module."""
    app.command("demo")(demo)


def demo(ctx: typer.Context) -> None:
    """Run both deployments on stand-ins and ask a few queries of each."""
    started_at = time.monotonic()
    shown = site.Site()
    shown.start()
    publishing.publish_examples(keyvalue.connect(shown.key_value_address))
    hosts = start_hosts(shown)
    ctx.obj.print(
        f"{len(shown.servers)} backend servers and {len(hosts)} entry hosts "
        f"started in {time.monotonic() - started_at:.1f} s"
    )
    wait_until_ready(hosts)
    outcomes = [
        ask(ctx, entry_host, question)
        for entry_host, question in zip(itertools.cycle(hosts), QUESTIONS)  # noqa: B905
    ]
    for entry_host in hosts:
        entry_host.stop()
    if any(outcome != "complete" for outcome in outcomes):
        raise typer.Exit(status.ExitStatus.ERROR)


def start_hosts(shown: site.Site) -> list[host.EntryHost]:
    """Start the entry hosts of every deployment of a site."""
    keys = make_keys()
    started = []
    for deployment in shown.deployments:
        zones = itertools.islice(
            itertools.cycle(deployment.zones), deployment.entry_hosts
        )
        for number, zone in enumerate(zones, start=1):
            name = names.HostName(f"{deployment.fleet}-entry-{number}")
            started.append(start_host(shown, name, zone, keys))
    return started


def start_host(
    shown: site.Site,
    name: names.HostName,
    zone: names.ZoneName,
    keys: settings.Keys,
    **sections: object,
) -> host.EntryHost:
    """Start one entry host and add it to the host list of the site.

    `sections` replaces sections of the settings, such as `limits`.
    """
    values = make_settings(shown, name, zone, keys)
    entry_host = host.EntryHost(dataclasses.replace(values, **sections))
    address = entry_host.start()
    shown.list_entry_host(
        hostlist.EntryHost(
            host=name,
            incarnation=entry_host.member.incarnation,
            zone=zone,
            caller_address=address,
            peer_address=entry_host.cluster.link.address,
        )
    )
    return entry_host


def make_settings(
    shown: site.Site,
    name: names.HostName,
    zone: names.ZoneName,
    keys: settings.Keys,
) -> settings.Settings:
    """Return the settings of an entry host on free ports of the loopback."""
    free = names.Address(LOOPBACK, 0)
    return settings.Settings(
        host=settings.Host(name, zone),
        listen=settings.Listen(callers=free, peers=free, operators=free),
        platform=settings.Platform(
            key_value=shown.key_value_address, host_list=shown.host_list_address
        ),
        keys=keys,
        limits=settings.Limits(zones=list_zones(shown)),
    )


def list_zones(shown: site.Site) -> tuple[names.ZoneName, ...]:
    """Return the availability zones of every deployment of a site."""
    return tuple(zone for deployment in shown.deployments for zone in deployment.zones)


def make_keys() -> settings.Keys:
    """Return a new key pair and the token of the demo."""
    public, secret = zmq.curve_keypair()
    return settings.Keys(
        public=public.decode(),
        secret=credentials.Secret(secret.decode()),
        operator_token=credentials.Secret(OPERATOR_TOKEN),
    )


def wait_until_ready(hosts: list[host.EntryHost]) -> None:
    """Wait until every host has its state; raises TimeoutError past the limit."""
    give_up_at = time.monotonic() + READY_WITHIN_S
    while not all(entry_host.is_ready for entry_host in hosts):
        if time.monotonic() > give_up_at:
            raise TimeoutError("the entry hosts did not get ready; see the log")
        eventlet.sleep(READY_POLL_S)


def ask(ctx: typer.Context, entry_host: host.EntryHost, question: Question) -> str:
    """Ask one question over HTTP, print the answer, and return its outcome."""
    request = plan.QueryRequest(
        workspace=str(question.workspace),
        template=question.template,
        arguments=question.arguments,
    )
    ctx.obj.print(f"\n{question.workspace} {question.template} {question.arguments}")
    response = query_commands.send(str(entry_host.address), request)
    query_commands.show_answer(ctx, response)
    return response.headers.get(status.OUTCOME_HEADER, "")
