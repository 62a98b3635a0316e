import contextlib
import dataclasses
import json

import pytest

from corianderrill import catalog, operators, propagation, status
from corianderrill.standins import keyvalue as standin
from tests.utils import configuration_builders as builders
from tests.utils import keyvalue_builders, program, timelines

TEMPLATE = """\
template:
  name: permit-status
  services: ["{service}"]
  parameters:
    service: {type: service, source: workspace}
    permit: {type: string}
  find:
    where: {permit: "{permit}"}
  limit: LIMIT
"""
PARAMETER_SET = """\
parameter_set:
  workspace: {fleet: gantry, label: north}
  template: permit-status
  values: {service: lookup}
"""
SERVICES = """\
services: [gantry/lookup, gantry/intake, rongitoitlus/lookup]
"""
KEY = "templates/permit-status"


@pytest.fixture
def stack():
    with contextlib.ExitStack() as entered:
        yield entered


@pytest.fixture
def write(tmp_path):
    def write_file(name, text):
        path = tmp_path / name
        path.write_text(text)
        return path

    return write_file


@pytest.fixture
def site(write):
    """A platform that holds the catalogs of both fleets, and a template file."""
    with keyvalue_builders.serve_platform() as (platform, address):
        client = keyvalue_builders.keyvalue.connect(address)
        for fleet in builders.FLEETS:
            client.put(catalog.catalog_key(fleet), encode_catalog(fleet))
        yield Site(platform, address, write)


def encode_catalog(fleet):
    services = {name: [["1", 0, catalog.HASH_SPACE]] for name in builders.SERVICE_NAMES}
    value = {"fleet": fleet, "snapshots": [{"version": 1, "services": services}]}
    return json.dumps(value).encode()


class Site:
    def __init__(self, platform, address, write):
        self.platform = platform
        self.address = address
        self.write = write

    def run(self, command, *arguments, author=True):
        options = ["--platform", self.address]
        if author:
            options += ["--author", "mari"]
        return program.run("configuration", command, *arguments, *options)

    def publish(self, limit, *arguments):
        text = TEMPLATE.replace("LIMIT", str(limit))
        file = self.write(f"template-{limit}.yaml", text)
        return self.run("publish", file, *arguments)


def test_publishing_tells_the_revision_and_who_changed_it(site):
    run = site.publish(5, "--change", "c1")
    assert run.exit == status.ExitStatus.SUCCESS
    assert run.stdout.startswith("accepted templates/permit-status\nrevision 3")
    assert "mari" in run.stdout
    shown = site.run("show", KEY, "--json", author=False)
    assert json.loads(shown.stdout)["template"]["limit"] == 5


def test_what_is_shown_can_be_published_again(site):
    site.publish(5)
    shown = site.run("show", KEY, author=False).stdout
    again = site.run("publish", site.write("again.yaml", shown))
    assert again.exit == status.ExitStatus.SUCCESS
    second = site.run("show", KEY, author=False).stdout
    assert second == shown


def test_every_finding_of_a_file_is_shown_with_line_and_column(site):
    text = TEMPLATE.replace('["{service}"]', "[lookup, nowhere]").replace("LIMIT", "0")
    run = site.run("publish", site.write("wrong.yaml", text))
    assert run.exit == status.ExitStatus.REJECTED
    places = [line.split(": ")[0].split("/")[-1] for line in run.stderr.splitlines()]
    assert places == [
        "wrong.yaml:3:14",
        "wrong.yaml:3:22",
        "wrong.yaml:5:14",
        "wrong.yaml:9:10",
    ]


def test_a_conflict_shows_what_is_in_force_and_who_changed_it(site):
    first = json.loads(site.publish(5, "--json").stdout)
    site.publish(6)
    revision = first["version"]["revision"]
    run = site.publish(7, "--expect", revision, "--json")
    assert run.exit == status.ExitStatus.CONFLICT
    report = json.loads(run.stdout)
    assert report["outcome"] == "conflict"
    assert report["version"]["template"]["limit"] == 6
    assert report["version"]["author"] == "mari"


def test_history_roll_back_and_delete(site):
    first = json.loads(site.publish(5, "--json").stdout)["version"]["revision"]
    site.publish(6)
    assert site.run("rollback", KEY, "--to", first).exit == status.ExitStatus.SUCCESS
    assert site.run("delete", KEY).exit == status.ExitStatus.SUCCESS
    run = site.run("history", KEY, "--json", author=False)
    limits = [
        item["template"] and item["template"]["limit"]
        for item in json.loads(run.stdout)
    ]
    assert limits == [None, 5, 6, 5]
    assert site.run("list", author=False).stdout.strip() == ""
    listed = site.run("list", "--deleted", author=False).stdout
    assert "deleted by mari" in listed


def test_the_difference_to_what_is_in_force_is_shown(site):
    site.publish(5)
    file = site.write("next.yaml", TEMPLATE.replace("LIMIT", "6"))
    run = site.run("diff", file, author=False)
    assert "-  limit: 5" in run.stdout
    assert "+  limit: 6" in run.stdout


def test_a_platform_that_is_down_changes_nothing(site):
    site.platform.faults = standin.Faults(down=True)
    run = site.publish(5)
    assert run.exit == status.ExitStatus.UNREACHABLE
    assert "nothing was changed" in run.stderr


def test_a_lost_reply_is_settled_by_itself(site):
    site.platform.faults = standin.Faults(lost_replies=1)
    assert site.publish(5).exit == status.ExitStatus.SUCCESS


def test_an_unsettled_change_names_the_command_that_settles_it(site):
    site.platform.faults = standin.Faults(lost_requests=100)
    run = site.publish(5, "--change", "c1", "--json")
    assert run.exit == status.ExitStatus.UNKNOWN
    site.platform.faults = standin.Faults()
    command = json.loads(run.stdout)["command"].split()
    settled = program.run(*command[1:], "--platform", site.address)
    assert settled.exit == status.ExitStatus.NOT_RUN
    assert "withdrawn" in settled.stderr


def test_files_are_checked_without_the_platform(write):
    files = [
        write("template.yaml", TEMPLATE.replace("LIMIT", "5")),
        write("set.yaml", PARAMETER_SET),
    ]
    services = write("services.yaml", SERVICES)
    sound = program.run("configuration", "check", *files, "--services", services)
    assert sound.exit == status.ExitStatus.SUCCESS
    wrong = write("wrong.yaml", PARAMETER_SET.replace("lookup", "lokup"))
    run = program.run(
        "configuration", "check", files[0], wrong, "--services", services, "--json"
    )
    assert run.exit == status.ExitStatus.REJECTED
    (finding,) = json.loads(run.stdout)["findings"]
    assert (finding["place"]["line"], finding["place"]["column"]) == (4, 21)
    assert "did you mean lookup?" in finding["message"]


def test_waiting_tells_the_hosts_that_have_not_confirmed(site, stack):
    zones = [propagation.ZoneInForce("a", ("entry-1",), ("entry-2",))]
    asked = []

    def count_in_force(key, revision, timeout_s):
        asked.append((key, timeout_s))
        return propagation.InForceReport(key, revision, tuple(zones))

    sources = dataclasses.replace(
        timelines.build_sources(timelines.build_timeline()),
        count_in_force=count_in_force,
    )
    server = timelines.serve(operators.build_app(sources))
    host = stack.enter_context(server)
    options = (
        "--wait",
        "--host",
        host,
        "--token",
        "token-of-the-operators",
        "--timeout-s",
        "3",
    )
    run = site.publish(5, *options)
    assert run.exit == status.ExitStatus.PARTIAL
    assert "in force on 1 of 2 hosts; not confirmed: entry-2" in run.stderr
    assert asked == [("configuration/templates/permit-status", 3.0)]
    zones[0] = propagation.ZoneInForce("a", ("entry-1", "entry-2"), ())
    run = site.publish(6, *options)
    assert run.exit == status.ExitStatus.SUCCESS
    assert "in force on 2 of 2 hosts" in run.stdout
