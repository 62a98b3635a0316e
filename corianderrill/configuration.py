"""Templates and parameter sets as published, with revisions that only rise.

The platform holds one record a template and a parameter set: the version in force
and the ones before it. A deletion is a version without content, so that an item
which is missing at the platform is never taken for a deleted one. Each host holds
the version in force of every item and applies only a higher revision.
"""

import dataclasses
import enum
import hashlib
import types
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from corianderrill import findings, names, templates

PREFIX = "configuration/"
BUCKETS = 32
HASH_BYTES = 8
NO_REVISION = names.Revision(0)


class Version(msgspec.Struct, frozen=True):
    """One version of an item; one without content is a deletion.

    `changed_at` is in seconds since 1970.
    """

    revision: names.Revision
    change: names.ChangeId
    author: str
    changed_at: float
    template: templates.Template | None = None
    parameter_set: templates.ParameterSet | None = None

    @property
    def content(self) -> templates.Template | templates.ParameterSet | None:
        """What the version holds; None for a deletion."""
        return self.template or self.parameter_set


class Item(msgspec.Struct, frozen=True):
    """An item's key and its version in force."""

    key: str
    version: Version


class Record(msgspec.Struct, frozen=True):
    """An item's value at the platform; `previous` starts with the newest."""

    current: Version
    previous: tuple[Version, ...] = ()

    def list_versions(self) -> tuple[Version, ...]:
        """Return all versions, the newest first."""
        return (self.current, *self.previous)


class Relation(enum.Enum):
    """How an item that arrived relates to the one held."""

    APPLIED = "applied"
    KNOWN = "known"
    OLDER = "older"
    CLASH = "clash"


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The item is now in force."""

    key: str
    revision: names.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The item is held already, in this or a higher revision."""

    key: str
    held: names.Revision


class AlarmReason(enum.Enum):
    """What contradicts the revisions that are held."""

    LOST = "lost"
    OLDER = "older"
    CLASH = "clash"
    UNREADABLE = "unreadable"


@dataclasses.dataclass(frozen=True, slots=True)
class Alarm:
    """Something contradicts what is held; nothing was changed."""

    key: str
    reason: AlarmReason
    detail: str


Result = Applied | Ignored | Alarm


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownTemplate:
    """No template of this name is in force."""

    name: names.TemplateName


@dataclasses.dataclass(frozen=True, slots=True)
class Pinned:
    """The configuration that one query sees from its start to its end.

    `revision` is the highest that is held; `confirmed_at` is the time at which
    the platform last confirmed the whole of it.
    """

    revision: names.Revision
    confirmed_at: float | None
    _items: Mapping[str, Item]

    def find_template(self, name: names.TemplateName) -> templates.Template | None:
        """Return the template in force under a name."""
        item = self._items.get(format_template_key(name))
        return item.version.template if item else None

    def find_parameter_set(
        self, workspace: names.WorkspaceId, template: names.TemplateName
    ) -> templates.ParameterSet | None:
        """Return the parameter set in force of a workspace for a template."""
        item = self._items.get(format_parameter_set_key(workspace, template))
        return item.version.parameter_set if item else None

    def bind(
        self,
        workspace: names.WorkspaceId,
        name: names.TemplateName,
        arguments: Mapping[str, object],
    ) -> templates.BoundQuery | findings.Rejected | UnknownTemplate:
        """Return the query of a workspace for a caller's arguments."""
        template = self.find_template(name)
        if template is None:
            return UnknownTemplate(name)
        parameter_set = self.find_parameter_set(workspace, name)
        if parameter_set is None:
            parameter_set = templates.ParameterSet(workspace, name)
        return templates.bind(template, parameter_set, arguments)

    def measure_age(self, now: float) -> float:
        """Return the seconds since the last confirmation; infinite before one."""
        if self.confirmed_at is None:
            return float("inf")
        return max(0.0, now - self.confirmed_at)


class Configuration:
    """The items that a host holds.

    Its revisions only rise: a lower one changes nothing, and a deletion counts
    as a version like any other.
    """

    def __init__(self) -> None:
        self._items: Mapping[str, Item] = {}
        self._hashes: dict[str, int] = {}
        self._digests = [0] * BUCKETS
        self._revision = NO_REVISION
        self._confirmed_at: float | None = None

    @property
    def revision(self) -> names.Revision:
        """The highest revision that is held."""
        return self._revision

    @property
    def confirmed_at(self) -> float | None:
        """When the platform last confirmed the whole, by way of peers or not."""
        return self._confirmed_at

    @property
    def ready(self) -> bool:
        """Whether the whole configuration has been held and confirmed once."""
        return self._confirmed_at is not None

    @property
    def digests(self) -> tuple[int, ...]:
        """One digest a bucket; equal digests mean equal items."""
        return tuple(self._digests)

    def pin(self) -> Pinned:
        """Return a view that later changes don't touch."""
        items = types.MappingProxyType(self._items)
        return Pinned(self._revision, self._confirmed_at, items)

    def apply(self, items: Iterable[Item]) -> tuple[Result, ...]:
        """Put every item into force that has a higher revision than the held one."""
        merged = dict(self._items)
        results = tuple([self._apply_one(item, merged) for item in items])
        self._items = merged
        return results

    def apply_listing(
        self, items: Iterable[Item], floor: Mapping[str, names.Revision]
    ) -> tuple[Result, ...]:
        """Apply the whole state of the platform and compare it with a `floor`.

        `floor` holds the revisions that were held before the platform was asked.
        An item that the platform lacks or has in a lower revision is an alarm.
        """
        items = tuple(items)
        listed = {item.key: item.version.revision for item in items}
        alarms = tuple(
            _explain_loss(key, held, listed.get(key))
            for key, held in sorted(floor.items())
            if listed.get(key, NO_REVISION) < held
        )
        return self.apply(items) + alarms

    def confirm(self, at: float) -> None:
        """Note that the platform held nothing newer than this at a time."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def list_revisions(self) -> dict[str, names.Revision]:
        """Return the revision in force of each item, deletions included."""
        return {key: item.version.revision for key, item in self._items.items()}

    def list_items(self, buckets: Iterable[int]) -> tuple[Item, ...]:
        """Return the items of some buckets, deletions included."""
        wanted = frozenset(buckets)
        return tuple(
            item for key, item in self._items.items() if find_bucket(key) in wanted
        )

    def find_items(self, keys: Iterable[str]) -> tuple[Item, ...]:
        """Return the items in force of some keys, deletions included."""
        return tuple(self._items[key] for key in keys if key in self._items)

    def find_differences(self, digests: Iterable[int]) -> tuple[int, ...]:
        """Return the buckets whose digests differ from those of a peer."""
        pairs = zip(self._digests, digests, strict=True)
        return tuple(bucket for bucket, (own, peer) in enumerate(pairs) if own != peer)

    def _apply_one(self, item: Item, merged: dict[str, Item]) -> Result:
        held = merged.get(item.key)
        match _relate(item, held):
            case Relation.APPLIED:
                merged[item.key] = item
                self._note(item)
                return Applied(item.key, item.version.revision)
            case Relation.CLASH:
                detail = (
                    f"revision {item.version.revision} stands for two contents: "
                    f"changes {held.version.change} and {item.version.change}; "
                    f"publish it again above revision {self._revision}"
                )
                return Alarm(item.key, AlarmReason.CLASH, detail)
            case _:
                return Ignored(item.key, held.version.revision)

    def _note(self, item: Item) -> None:
        bucket = find_bucket(item.key)
        new = hash_item(item)
        self._digests[bucket] ^= self._hashes.get(item.key, 0) ^ new
        self._hashes[item.key] = new
        self._revision = max(self._revision, item.version.revision)


def _relate(item: Item, held: Item | None) -> Relation:
    if held is None or item.version.revision > held.version.revision:
        return Relation.APPLIED
    if item.version.revision < held.version.revision:
        return Relation.OLDER
    return Relation.KNOWN if item == held else Relation.CLASH


def _explain_loss(
    key: str, held: names.Revision, listed: names.Revision | None
) -> Alarm:
    if listed is None:
        return report_lost(key)
    detail = f"the platform came back with revision {listed}; {held} stays in force"
    return Alarm(key, AlarmReason.OLDER, detail)


def report_lost(key: str) -> Alarm:
    """Return the alarm for a key that is gone from the platform."""
    detail = "the platform has lost it; it stays in force: publish it again"
    return Alarm(key, AlarmReason.LOST, detail)


def format_template_key(name: names.TemplateName) -> str:
    """Return the key of a template at the platform."""
    return f"{PREFIX}templates/{name}"


def format_parameter_set_key(
    workspace: names.WorkspaceId, template: names.TemplateName
) -> str:
    """Return the key of a parameter set at the platform."""
    return f"{PREFIX}parameters/{workspace.fleet}/{workspace.label}/{template}"


def format_key(content: templates.Template | templates.ParameterSet) -> str:
    """Return the key of an item by its content."""
    match content:
        case templates.Template(name=name):
            return format_template_key(name)
        case templates.ParameterSet(workspace, template):
            return format_parameter_set_key(workspace, template)


def find_bucket(key: str) -> int:
    """Return the digest bucket of a key."""
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % BUCKETS


def hash_item(item: Item) -> int:
    """Return the hash of a key, its revision and its content."""
    encoded = msgspec.json.encode(item, order="deterministic")
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=HASH_BYTES).digest())


_RECORD_DECODER = msgspec.json.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return a record as the platform holds it."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> Record:
    """Read a record; raises `msgspec.DecodeError` where it is not one."""
    return _RECORD_DECODER.decode(value)


def decode_items(
    values: Iterable[tuple[str, bytes]],
) -> Iterator[Item | Alarm]:
    """Yield the item in force of each key and value; an alarm where unreadable."""
    for key, value in values:
        try:
            yield Item(key, decode_record(value).current)
        except (msgspec.DecodeError, RecursionError) as error:
            detail = f"the platform holds an unreadable record: {error}"
            yield Alarm(key, AlarmReason.UNREADABLE, detail)
