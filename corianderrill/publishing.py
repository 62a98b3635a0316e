"""Operators' changes: publish, delete and roll back under compare-and-swap.

Each change carries an id. A write whose reply is lost is sent again under the same
comparison: only one of the two can take effect, and the record then shows whose
change it was.
"""

import dataclasses
import time
from collections.abc import Callable, Iterable

import msgspec

from corianderrill import (
    acceptance,
    configuration,
    findings,
    keyvalue,
    names,
    templates,
)

MAX_HISTORY = 20
MAX_RECORD_BYTES = 500_000
MAX_ATTEMPTS = 5
RETRY_PAUSE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Puts a template or a parameter set into force."""

    content: templates.Template | templates.ParameterSet
    locate: acceptance.Locate | None = None

    @property
    def key(self) -> str:
        """The key of the item."""
        return configuration.format_key(self.content)


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Takes an item out of force."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class RollBack:
    """Puts the content of an earlier revision into force as a new revision."""

    key: str
    revision: names.Revision


Action = Put | Delete | RollBack


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An action with its id and its author.

    `expected` is the revision that the author has seen, None for whichever is in
    force. The new revision will be above `above`.
    """

    id: names.ChangeId
    author: str
    action: Action
    expected: names.Revision | None = None
    above: names.Revision = configuration.NO_REVISION


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change was accepted and is spread to the hosts."""

    key: str
    version: configuration.Version


@dataclasses.dataclass(frozen=True, slots=True)
class ConflictFound:
    """Another change is in force; this one had no effect.

    `current` is None where the item does not exist.
    """

    key: str
    current: configuration.Version | None


@dataclasses.dataclass(frozen=True, slots=True)
class Unsettled:
    """The change may or may not have been accepted; `command` settles it later."""

    key: str
    change: names.ChangeId
    command: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform was not reached; nothing was changed."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """The change was not accepted and can no longer take effect."""

    key: str
    current: configuration.Version | None


Outcome = Accepted | ConflictFound | Unsettled | Unavailable | findings.Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """A record with the revision of its key at the platform, 0 where absent."""

    record: configuration.Record | None
    revision: names.Revision

    @property
    def current(self) -> configuration.Version | None:
        """The version in force, which may be a deletion."""
        return self.record.current if self.record else None

    def find_change(self, change: names.ChangeId) -> configuration.Version | None:
        """Return the version that a change made, if it was accepted."""
        versions = self.record.list_versions() if self.record else ()
        return next((item for item in versions if item.change == change), None)

    def find_revision(self, revision: names.Revision) -> configuration.Version | None:
        """Return a version by its revision."""
        versions = self.record.list_versions() if self.record else ()
        return next((item for item in versions if item.revision == revision), None)


ABSENT = Stored(None, keyvalue.CREATE_ONLY)


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All records of the platform at one of its revisions."""

    records: dict[str, Stored]
    revision: names.Revision

    def find(self, key: str) -> Stored:
        """Return the record of a key."""
        return self.records.get(key, ABSENT)

    def find_content(
        self, key: str
    ) -> templates.Template | templates.ParameterSet | None:
        """Return the content in force of a key."""
        current = self.find(key).current
        return current.content if current else None

    def list_parameter_sets(
        self, template: names.TemplateName
    ) -> tuple[templates.ParameterSet, ...]:
        """Return the parameter sets in force of a template."""
        versions = (stored.current for stored in self.records.values())
        sets = (version.parameter_set for version in versions if version)
        return tuple(item for item in sets if item and item.template == template)


class Publisher:
    """Carries out changes at the platform."""

    def __init__(
        self,
        client: keyvalue.Client,
        services: acceptance.Services,
        wall_clock: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._client = client
        self._services = services
        self._wall_clock = wall_clock
        self._sleep = sleep

    def read(self) -> Listing | Unavailable:
        """Read all records."""
        match self._client.list(configuration.PREFIX):
            case keyvalue.Listed(entries, revision):
                records = {entry.key: _read_entry(entry) for entry in entries}
                return Listing(records, revision)
            case failure:
                return Unavailable(failure.detail)

    def submit(self, change: Change) -> Outcome:
        """Check a change whole and carry it out.

        Submitting the same change again never makes a second revision.
        """
        listing = self.read()
        if isinstance(listing, Unavailable):
            return listing
        key = change.action.key
        stored = listing.find(key)
        accepted = stored.find_change(change.id)
        if accepted is not None:
            return Accepted(key, accepted)
        if change.expected not in (None, _get_revision(stored.current)):
            return ConflictFound(key, stored.current)
        content = _resolve_content(change.action, listing)
        if isinstance(content, findings.Rejected):
            return content
        problems = check_change(change.action, content, listing, self._services)
        if problems:
            return findings.Rejected(problems)
        version = self._build_version(change, content, stored, listing.revision)
        return self._write(key, _append(stored.record, version), stored.revision)

    def settle(self, key: str, change: names.ChangeId) -> Outcome | Withdrawn:
        """Find out whether a change was accepted; if not, make sure that it won't.

        A write that is still on its way compares with the revision that it saw.
        Writing the record again unchanged makes that comparison fail.
        """
        read = self._client.get(key)
        match read:
            case keyvalue.Found(entry):
                stored = _read_entry(entry)
            case keyvalue.Absent():
                stored = ABSENT
            case failure:
                return self._leave_unsettled(key, change, failure.detail)
        accepted = stored.find_change(change)
        if accepted is not None:
            return Accepted(key, accepted)
        return self._withdraw(key, change, stored)

    def _withdraw(
        self, key: str, change: names.ChangeId, stored: Stored
    ) -> Outcome | Withdrawn:
        record = stored.record or self._build_empty_record(change)
        value = configuration.encode_record(record)
        match self._client.put(key, value, stored.revision):
            case keyvalue.Written():
                return Withdrawn(key, stored.current)
            case keyvalue.Conflict(entry):
                current = _read_entry(entry) if entry else ABSENT
                accepted = current.find_change(change)
                if accepted is not None:
                    return Accepted(key, accepted)
                return Withdrawn(key, current.current)
            case failure:
                return self._leave_unsettled(key, change, failure.detail)

    def _build_empty_record(self, change: names.ChangeId) -> configuration.Record:
        """A deletion of what was never there, under an id of its own."""
        version = configuration.Version(
            revision=names.Revision(1),
            change=names.ChangeId(f"{change}-withdrawn"),
            author="",
            changed_at=self._wall_clock(),
        )
        return configuration.Record(version)

    def _build_version(
        self,
        change: Change,
        content: templates.Template | templates.ParameterSet | None,
        stored: Stored,
        platform_revision: names.Revision,
    ) -> configuration.Version:
        highest = max(platform_revision, _get_revision(stored.current), change.above)
        is_template = isinstance(content, templates.Template)
        return configuration.Version(
            revision=names.Revision(highest + 1),
            change=change.id,
            author=change.author,
            changed_at=self._wall_clock(),
            template=content if is_template else None,
            parameter_set=None if is_template else content,
        )

    def _write(
        self, key: str, record: configuration.Record, expected: names.Revision
    ) -> Outcome:
        """Write a record; repeat the write while its fate is unknown."""
        version = record.current
        value = configuration.encode_record(record)
        is_sent = False
        detail = ""
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                self._sleep(RETRY_PAUSE_S)
            match self._client.put(key, value, expected):
                case keyvalue.Written():
                    return Accepted(key, version)
                case keyvalue.Conflict(entry):
                    return _judge_conflict(key, version.change, entry)
                case keyvalue.UnknownWrite(detail):
                    is_sent = True
                case failure if not is_sent:
                    return Unavailable(failure.detail)
                case failure:
                    detail = failure.detail
        return self._leave_unsettled(key, version.change, detail)

    def _leave_unsettled(
        self, key: str, change: names.ChangeId, detail: str
    ) -> Unsettled:
        command = f"corianderrill configuration settle {key} --change {change}"
        return Unsettled(key, change, command, detail)


def _judge_conflict(
    key: str, change: names.ChangeId, entry: keyvalue.Entry | None
) -> Outcome:
    current = _read_entry(entry) if entry else ABSENT
    accepted = current.find_change(change)
    if accepted is not None:
        return Accepted(key, accepted)
    return ConflictFound(key, current.current)


def _read_entry(entry: keyvalue.Entry) -> Stored:
    """Return the record of an entry; an unreadable one counts as no record."""
    try:
        return Stored(configuration.decode_record(entry.value), entry.revision)
    except (msgspec.DecodeError, RecursionError):
        return Stored(None, entry.revision)


def _get_revision(version: configuration.Version | None) -> names.Revision:
    return version.revision if version else configuration.NO_REVISION


def _append(
    record: configuration.Record | None, version: configuration.Version
) -> configuration.Record:
    """Return the record with a new version, its history cut to the bounds."""
    previous = record.list_versions()[:MAX_HISTORY] if record else ()
    appended = configuration.Record(version, previous)
    while previous and len(configuration.encode_record(appended)) > MAX_RECORD_BYTES:
        previous = previous[:-1]
        appended = configuration.Record(version, previous)
    return appended


def _reject(source: str, message: str) -> findings.Rejected:
    return findings.Rejected((findings.Finding(findings.Place(source), message),))


def _resolve_content(
    action: Action, listing: Listing
) -> templates.Template | templates.ParameterSet | None | findings.Rejected:
    match action:
        case Put(content):
            return content
        case Delete(key):
            if listing.find_content(key) is None:
                return _reject(key, "there is nothing to delete")
            return None
        case RollBack(key, revision):
            version = listing.find(key).find_revision(revision)
            if version is None:
                return _reject(
                    key,
                    f"revision {revision} is not in its history: `corianderrill "
                    f"configuration history {key}` shows what is",
                )
            if version.content is None:
                return _reject(key, f"revision {revision} is a deletion: use delete")
            return version.content


def check_change(
    action: Action,
    content: templates.Template | templates.ParameterSet | None,
    listing: Listing,
    services: acceptance.Services,
) -> tuple[findings.Finding, ...]:
    """Return all that speaks against a change, parameter sets in force included."""
    match content:
        case templates.Template():
            problems = _check_content(action, content, listing, services)
            return problems + _check_parameter_sets(content, listing, services)
        case templates.ParameterSet():
            return _check_content(action, content, listing, services)
        case None:
            return _check_deletion(action.key, listing)


def _check_content(
    action: Action,
    content: templates.Template | templates.ParameterSet,
    listing: Listing,
    services: acceptance.Services,
) -> tuple[findings.Finding, ...]:
    locate = _choose_locate(action)
    match content:
        case templates.Template():
            return acceptance.check_template(content, services, locate)
        case templates.ParameterSet(_, template):
            key = configuration.format_template_key(template)
            return acceptance.check_parameter_set(
                content, listing.find_content(key), services, locate
            )


def _choose_locate(action: Action) -> acceptance.Locate:
    match action:
        case Put(locate=locate) if locate is not None:
            return locate
        case _:
            return lambda path: findings.Place(
                " ".join((action.key, ".".join(map(str, path)))).strip()
            )


def _check_parameter_sets(
    template: templates.Template, listing: Listing, services: acceptance.Services
) -> tuple[findings.Finding, ...]:
    return tuple(
        finding
        for parameter_set in listing.list_parameter_sets(template.name)
        for finding in acceptance.check_parameter_set(
            parameter_set, template, services, _locate_in_force(parameter_set)
        )
    )


def _locate_in_force(parameter_set: templates.ParameterSet) -> acceptance.Locate:
    key = configuration.format_key(parameter_set)
    return lambda path: findings.Place(f"{key} (in force) {'.'.join(map(str, path))}")


def _check_deletion(key: str, listing: Listing) -> tuple[findings.Finding, ...]:
    content = listing.find_content(key)
    if not isinstance(content, templates.Template):
        return ()
    return tuple(
        findings.Finding(
            findings.Place(key),
            f"{configuration.format_key(item)} still needs it: delete that first",
        )
        for item in listing.list_parameter_sets(content.name)
    )


def check_offline(
    puts: Iterable[Put], services: acceptance.Services
) -> tuple[findings.Finding, ...]:
    """Check files against each other, without the platform."""
    puts = tuple(puts)
    version = configuration.Version(
        configuration.NO_REVISION, names.ChangeId(""), "", 0
    )
    listing = Listing(
        {
            put.key: Stored(
                configuration.Record(_fill(version, put.content)),
                keyvalue.CREATE_ONLY,
            )
            for put in puts
        },
        configuration.NO_REVISION,
    )
    return tuple(
        finding
        for put in puts
        for finding in _check_content(put, put.content, listing, services)
    )


def _fill(
    version: configuration.Version,
    content: templates.Template | templates.ParameterSet,
) -> configuration.Version:
    if isinstance(content, templates.Template):
        return msgspec.structs.replace(version, template=content)
    return msgspec.structs.replace(version, parameter_set=content)
