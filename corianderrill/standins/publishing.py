"""Publishes the example configuration to a key-value service."""

import time
from collections.abc import Iterable

from corianderrill import configuration, keyvalue, names, templates
from corianderrill.standins import examples

AUTHOR = "example"
CHANGE = names.ChangeId("example-1")


def publish_examples(
    client: keyvalue.Client,
    workspaces: Iterable[names.WorkspaceId] = examples.WORKSPACES,
) -> None:
    """Write every example template and parameter set that is not there yet."""
    for template in examples.TEMPLATES:
        _write(client, configuration.format_key(template), template, None)
    for parameter_set in examples.list_parameter_sets(workspaces):
        key = configuration.format_key(parameter_set)
        _write(client, key, None, parameter_set)


def _write(
    client: keyvalue.Client,
    key: str,
    template: templates.Template | None,
    parameter_set: templates.ParameterSet | None,
) -> None:
    version = configuration.Version(
        revision=names.Revision(1),
        change=CHANGE,
        author=AUTHOR,
        changed_at=time.time(),
        template=template,
        parameter_set=parameter_set,
    )
    record = configuration.encode_record(configuration.Record(version))
    client.put(key, record, keyvalue.CREATE_ONLY)
