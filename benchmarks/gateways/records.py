"""What callers, backend servers and the operator saw; times of the steady clock."""

import dataclasses
import enum
from typing import NewType

HostName = NewType("HostName", str)
ServiceName = NewType("ServiceName", str)
RequestId = NewType("RequestId", str)
InstanceId = NewType("InstanceId", str)

QUERY_TIMEOUT_S = 1.0
BOOKING_TIMEOUT_S = 2.0


class Kind(enum.Enum):
    """The requests that callers send."""

    QUERY = "query"
    BOOKING = "booking"

    @property
    def timeout_s(self) -> float:
        """How long the route of these requests keeps a caller waiting."""
        match self:
            case Kind.QUERY:
                return QUERY_TIMEOUT_S
            case Kind.BOOKING:
                return BOOKING_TIMEOUT_S


class Ending(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    # The connection ended or was reset before a whole answer.
    CUT = "cut"
    NOT_CONNECTED = "not-connected"
    GAVE_UP = "gave-up"
    # The caller closed its connection early on purpose.
    LEFT = "left"


@dataclasses.dataclass(slots=True, eq=False)
class Asked:
    """One request as its caller saw it; `sent_at` is None where nothing was sent."""

    id: RequestId
    kind: Kind
    host: HostName
    began_at: float
    sent_at: float | None = None
    ended_at: float | None = None
    ending: Ending | None = None
    status: int = 0
    signatures: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""

    @property
    def is_success(self) -> bool:
        """Whether the caller got a 2xx."""
        return self.ending is Ending.ANSWERED and 200 <= self.status < 300


@dataclasses.dataclass(slots=True, eq=False)
class Arrival:
    """A request that reached a backend server.

    `signature` marks its run and is empty where the server refused it; `body` is what
    a good reply holds, `status` what was answered. `limited_at` is when a limit was
    named in the reply, if there was one.
    """

    id: RequestId
    service: ServiceName
    replica: InstanceId
    at: float
    signature: str = ""
    status: int = 0
    body: bytes = b""
    was_elsewhere: bool = False
    limited_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """A version of the configuration; bookings go to `bookings` from then on."""

    version: int
    at: float
    bookings: ServiceName


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """A replica that the store showed as leaving or gone."""

    replica: InstanceId
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbed:
    """A span in which something was wrong; without a host, at the store itself."""

    since: float
    until: float
    host: HostName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A span in which the link of a replica held back or lost what was sent to it."""

    replica: InstanceId
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """A span in which a replica advertised a limit of requests a second."""

    replica: InstanceId
    per_s: float
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Noticed:
    """A replica told a host in an answer that it leaves, or wants a pause until then.

    `until` is None for one that leaves.
    """

    replica: InstanceId
    request: RequestId
    at: float
    until: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Crashed:
    """A replica ended while it ran a request; `body` is that of all its repetitions."""

    body: bytes
    request: RequestId
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """SIGTERM was sent to a host, which ended at `ended_at` with `status`."""

    host: HostName
    at: float
    ended_at: float
    status: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """A host began anew; what it knew before does not bind it."""

    host: HostName
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Vanished:
    """A process ended by itself, or wrote of an error of its own."""

    host: HostName
    at: float
    detail: str


@dataclasses.dataclass(slots=True)
class History:
    """All that was seen in one run."""

    began_at: float
    asked: list[Asked] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    published: list[Published] = dataclasses.field(default_factory=list)
    left: list[Left] = dataclasses.field(default_factory=list)
    disturbed: list[Disturbed] = dataclasses.field(default_factory=list)
    held: list[Held] = dataclasses.field(default_factory=list)
    limited: list[Limited] = dataclasses.field(default_factory=list)
    noticed: list[Noticed] = dataclasses.field(default_factory=list)
    crashed: list[Crashed] = dataclasses.field(default_factory=list)
    told: list[Told] = dataclasses.field(default_factory=list)
    vanished: list[Vanished] = dataclasses.field(default_factory=list)
    started: list[Started] = dataclasses.field(default_factory=list)
    faults_end_at: float = 0.0
    ended_at: float = 0.0

    def disturb(self, since: float, host: HostName | None = None) -> Disturbed:
        """Note a disturbance without an end yet."""
        span = Disturbed(since, float("inf"), host)
        self.disturbed.append(span)
        return span

    def end_disturbance(self, span: Disturbed, at: float) -> None:
        """Note the end of a disturbance."""
        self.disturbed.remove(span)
        self.disturbed.append(dataclasses.replace(span, until=at))
