"""Settings of an entry host: keys, defaults, rules, and what a reload may change."""

import dataclasses
import enum
from collections.abc import Iterator
from typing import Any

from corianderrill import credentials, documents, findings, names

CURVE_KEY_PATTERN = r"[!-~]{40}"
TOKEN_CHARACTERS_AT_LEAST = 16
NAME_PATTERN = r"[a-z0-9][a-z0-9.-]{0,62}"
ANY_ADDRESS = "0.0.0.0"

describe = documents.describe


class LimitsMode(enum.Enum):
    """How entry hosts share the slots and connections of a replica."""

    OWNER = "owner"
    ALONE = "alone"


class Policy(enum.Enum):
    """How replicas are chosen, hedged and retried."""

    ADAPTIVE = "adaptive"
    FIXED = "fixed"


class LogFormat(enum.Enum):
    """How a log line is written."""

    TEXT = "text"
    JSON = "json"


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """The entry host itself."""

    name: names.HostName = describe("Name of this host.", pattern=NAME_PATTERN)
    zone: names.ZoneName = describe("Availability zone.", pattern=NAME_PATTERN)


@dataclasses.dataclass(frozen=True, slots=True)
class Listen:
    """Own addresses, each an IP number and a port."""

    callers: names.Address = describe("HTTP address of callers.")
    peers: names.Address = describe("ZeroMQ address of other entry hosts.")
    operators: names.Address = describe("HTTP address of operators and metrics.")


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The services of the platform and the way to other hosts without them."""

    key_value: names.Address = describe("HTTP address of the key-value service.")
    host_list: names.Address = describe("HTTP address of the host list.")
    seeds: tuple[names.Address, ...] = describe(
        "Peers' addresses to ask while the host list is away.",
        default=(),
        at_most=32,
    )
    timeout_s: float = describe(
        "Seconds that one call may take.", default=1.0, at_least=0.01, at_most=30
    )
    watch_timeout_s: float = describe(
        "Seconds that one watch waits.", default=30.0, at_least=1, at_most=300
    )
    host_list_interval_s: float = describe(
        "Seconds between reads of the host list.",
        default=2.0,
        at_least=0.1,
        at_most=60,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Deadlines:
    """Time that a query may take."""

    at_most_s: float = describe(
        "Longest deadline of a query, in seconds.",
        default=10.0,
        at_least=0.01,
        at_most=10,
        reload=True,
    )
    reserve_s: float = describe(
        "Seconds of the deadline kept for merging and answering.",
        default=0.005,
        at_least=0,
        at_most=1,
        reload=True,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Shares of the slots and connections of a replica."""

    mode: LimitsMode = describe(
        "owner: an owner host holds a replica's connections; "
        "alone: each host has a fixed share.",
        default=LimitsMode.OWNER,
    )
    zones: tuple[names.ZoneName, ...] = describe(
        "Availability zones that have entry hosts, the same list on every host; "
        "without any, the own zone alone.",
        default=(),
        at_most=64,
    )
    seats_per_zone: int = describe(
        "Entry hosts of a zone that may own replicas at once in mode owner, those "
        "that are being replaced included; the same on every host.",
        default=6,
        at_least=1,
        at_most=1_000,
    )
    hosts_at_most: int = describe(
        "Entry hosts that divide the limits of a replica in mode alone.",
        default=12,
        at_least=1,
        at_most=1_000,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Routing:
    """Choice of replicas."""

    policy: Policy = describe(
        "adaptive: by own observations, with hedges; "
        "fixed: in turn, one retry on a timeout.",
        default=Policy.ADAPTIVE,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Hedging:
    """Extra load of hedges and retries, as a share of the sub-requests."""

    budget_share: float = describe(
        "Share over the long run.", default=0.05, at_least=0, at_most=1
    )
    burst_share: float = describe(
        "Share within one burst.", default=0.10, at_least=0, at_most=1
    )
    burst_s: float = describe(
        "Longest burst, in seconds.", default=60.0, at_least=0, at_most=600
    )
    least_in_burst: int = describe(
        "Hedges and retries that the time of a burst allows, whatever the shares.",
        default=10,
        at_least=0,
        at_most=1_000,
    )
    quantile: float = describe(
        "Quantile of a service's latency after which a hedge is sent.",
        default=0.98,
        at_least=0.5,
        at_most=0.999,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """What is taken in at once."""

    queries_at_most: int = describe(
        "Queries that run or wait at once.",
        default=256,
        at_least=1,
        at_most=100_000,
    )
    body_bytes_at_most: int = describe(
        "Longest body of a request, in bytes.",
        default=65_536,
        at_least=1_024,
        at_most=1_000_000,
    )
    connections_at_most: int = describe(
        "Connections of callers at once.", default=1_000, at_least=1, at_most=100_000
    )
    slow_sender_s: float = describe(
        "Seconds that a caller may take to send a request.",
        default=5.0,
        at_least=0.1,
        at_most=60,
    )
    idle_s: float = describe(
        "Seconds that a caller's connection may be idle.",
        default=60.0,
        at_least=1,
        at_most=3_600,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Secrets; `corianderrill keys` makes new ones."""

    public: str = describe(
        "CURVE public key of the entry hosts, 40 characters of Z85.",
        pattern=CURVE_KEY_PATTERN,
    )
    secret: credentials.Secret = describe("CURVE secret key that belongs to `public`.")
    operator_token: credentials.Secret = describe(
        f"Bearer token of operators, {TOKEN_CHARACTERS_AT_LEAST} characters or more."
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """Graceful shutdown."""

    announce_s: float = describe(
        "Seconds of being not ready before new queries are refused.",
        default=1.0,
        at_least=0,
        at_most=60,
        reload=True,
    )
    grace_s: float = describe(
        "Seconds that queries in flight may take to finish.",
        default=15.0,
        at_least=0,
        at_most=300,
        reload=True,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Reporting:
    """Logs and the time line."""

    log_format: LogFormat = describe(
        "Form of a log line: text or json.", default=LogFormat.TEXT
    )
    timeline: bool = describe("Whether events are recorded.", default=True, reload=True)
    timeline_events: int = describe(
        "Events that a host keeps.", default=20_000, at_least=1, at_most=1_000_000
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an entry host."""

    host: Host = describe("The entry host itself.")
    listen: Listen = describe("Own addresses, each an IP number and a port.")
    platform: Platform = describe("The platform's services and seeds.")
    keys: Keys = describe("Secrets; `corianderrill keys` makes new ones.")
    deadlines: Deadlines = describe(
        "Time that a query may take.", default_factory=Deadlines
    )
    limits: Limits = describe(
        "Shares of the slots and connections of a replica.", default_factory=Limits
    )
    routing: Routing = describe("Choice of replicas.", default_factory=Routing)
    hedging: Hedging = describe(
        "Extra load of hedges and retries, as a share of the sub-requests.",
        default_factory=Hedging,
    )
    admission: Admission = describe(
        "What is taken in at once.", default_factory=Admission
    )
    leaving: Leaving = describe("Graceful shutdown.", default_factory=Leaving)
    reporting: Reporting = describe(
        "Logs and the time line.", default_factory=Reporting
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """One key of the settings, for the manual."""

    path: tuple[str, ...]
    doc: str
    default: object
    reload: bool

    @property
    def is_required(self) -> bool:
        """Whether the key has no default."""
        return self.default is dataclasses.MISSING


def load(text: str, source: str) -> Settings | findings.Rejected:
    """Read settings and check them whole."""
    match documents.parse(text, source, Settings):
        case findings.Rejected() as rejected:
            return rejected
        case parsed:
            found = tuple(sorted(check(parsed)))
            return findings.Rejected(found) if found else parsed.value


def reload(current: Settings, text: str, source: str) -> Settings | findings.Rejected:
    """Read settings for a running host; refused whole where a key needs a restart."""
    match documents.parse(text, source, Settings):
        case findings.Rejected() as rejected:
            return rejected
        case parsed:
            found = [*check(parsed), *_check_fixed_keys(current, parsed)]
            rejected = findings.Rejected(tuple(sorted(found)))
            return rejected if found else parsed.value


def check(parsed: documents.Parsed[Settings]) -> Iterator[findings.Finding]:
    """Yield the findings of the rules between keys."""
    value = parsed.value
    yield from _check_addresses(parsed)
    rules = (
        (
            not value.limits.zones or value.host.zone in value.limits.zones,
            ("limits", "zones"),
            "lacks the own zone host.zone: add it",
        ),
        (
            value.deadlines.reserve_s < value.deadlines.at_most_s,
            ("deadlines", "reserve_s"),
            "leaves no time of deadlines.at_most_s: shorten it",
        ),
        (
            value.hedging.budget_share <= value.hedging.burst_share,
            ("hedging", "budget_share"),
            "above hedging.burst_share: lower it",
        ),
        (
            value.deadlines.at_most_s <= value.leaving.grace_s,
            ("leaving", "grace_s"),
            "shorter than deadlines.at_most_s, so that a query in flight could be "
            "cut off: lengthen it",
        ),
        (
            len(value.keys.operator_token.reveal()) >= TOKEN_CHARACTERS_AT_LEAST,
            ("keys", "operator_token"),
            f"shorter than {TOKEN_CHARACTERS_AT_LEAST} characters: "
            "make one with `corianderrill keys`",
        ),
        (
            len(value.keys.secret.reveal()) == len(value.keys.public),
            ("keys", "secret"),
            "not a CURVE key of 40 characters: make one with `corianderrill keys`",
        ),
    )
    for holds, path, message in rules:
        if not holds:
            yield findings.Finding(parsed.locate(*path), message)


def list_keys(model: type = Settings, path: tuple[str, ...] = ()) -> Iterator[Key]:
    """Yield every key below a model, in the order of the model."""
    for field in dataclasses.fields(model):
        step = (*path, field.name)
        if dataclasses.is_dataclass(field.type) and field.type is not names.Address:
            yield from list_keys(field.type, step)
            continue
        meta = field.metadata
        yield Key(step, meta["doc"], field.default, bool(meta.get("reload")))


def format_value(value: object) -> str:
    """Return a default as it is written in YAML."""
    match value:
        case enum.Enum():
            return str(value.value)
        case bool():
            return str(value).lower()
        case tuple():
            return "[" + ", ".join(format_value(item) for item in value) + "]"
        case _:
            return str(value)


def _check_addresses(
    parsed: documents.Parsed[Settings],
) -> Iterator[findings.Finding]:
    listen = parsed.value.listen
    own = {
        field.name: getattr(listen, field.name) for field in dataclasses.fields(listen)
    }
    for name, address in own.items():
        place = parsed.locate("listen", name)
        if name != "callers" and address.ip == ANY_ADDRESS:
            message = f"{ANY_ADDRESS} is open on every network: name one IP number"
            yield findings.Finding(place, message)
        twins = [other for other in own if other < name and own[other] == address]
        if twins:
            message = f"same address as listen.{twins[0]}: take another port"
            yield findings.Finding(place, message)


def _check_fixed_keys(
    current: Settings, parsed: documents.Parsed[Settings]
) -> Iterator[findings.Finding]:
    for key in list_keys():
        changed = _pick(current, key.path) != _pick(parsed.value, key.path)
        if changed and not key.reload:
            message = f"{'.'.join(key.path)} changes only with a restart"
            yield findings.Finding(parsed.locate(*key.path), message)


def _pick(value: Any, path: tuple[str, ...]) -> Any:
    for name in path:
        value = getattr(value, name)
    return value
