"""Messages between entry hosts, and their codec.

A frame is one byte of protocol version followed by a MessagePack envelope. The
version is outside the envelope, so that a frame of an unsupported version is refused
before any of its content is decoded.

The names of message classes are the tags on the wire, and array-like structs are
encoded by the order of their fields. Hosts of different builds exchange them, so
names, tags and order stay as they are, also where a better term exists.
"""

import dataclasses
import enum

import msgspec

from corianderrill import attempts, configuration, names

PROTOCOL_VERSION = 1
MIN_PROTOCOL_VERSION = 1
# The `seat` of a member without one. A seat is a numbered slot that allows a process
# to open connections to backend servers (see `seats`).
NO_SEAT = -1
MAX_FRAME_BYTES = 4 * 1024 * 1024


class MemberState(enum.Enum):
    """State of one incarnation of an entry host, as the sender of a record sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """A hybrid logical clock timestamp: wall time in milliseconds and a counter."""

    wall_ms: int = 0
    counter: int = 0


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """One member, as hosts report it to each other by gossip.

    Of two records of a member the one with the higher epoch applies. Only the member
    itself raises its epoch, to refute a suspicion or to announce its seat.
    """

    member: names.MemberId
    zone: names.ZoneName
    peer_address: names.Address
    state: MemberState
    epoch: int = 0
    seat: int = NO_SEAT


class Probe(msgspec.Struct, frozen=True, tag=True):
    """A heartbeat, with the sender's own record and updates on other members.

    This checks entry hosts; for checks of backend servers see `health_checks`. A probe
    with sequence 0 gets no reply. If `is_joining` is true, the reply has more records
    in `news` than other replies; `membership` has both limits.
    """

    sequence: int
    sender: MemberRecord
    news: tuple[MemberRecord, ...] = ()
    is_joining: bool = False


class ProbeReply(msgspec.Struct, frozen=True, tag=True):
    """The reply to a probe, with the same sequence number."""

    sequence: int
    sender: MemberRecord
    news: tuple[MemberRecord, ...] = ()


class RelayBatch(msgspec.Struct, frozen=True, tag=True):
    """Sub-requests to run on replicas that the recipient owns."""

    requests: tuple[attempts.SubRequest, ...]


class RelayReply(msgspec.Struct, frozen=True, tag=True):
    """Results that the owner host returns to the host that sent the sub-requests."""

    results: tuple[attempts.AttemptResult, ...]


class RelayCancel(msgspec.Struct, frozen=True, tag=True):
    """Cancels attempts that the sender no longer needs."""

    attempt_ids: tuple[str, ...]


class ConfigurationDigest(msgspec.Struct, frozen=True, tag=True):
    """Sends a digest of the whole configuration for a peer to compare with its own.

    `asked_at` is the time in seconds on the monotonic clock of the host that asks; the
    reply returns it unchanged.
    """

    asked_at: float
    digest: int


class ConfigurationState(msgspec.Struct, frozen=True, tag=True):
    """The reply to a `ConfigurationDigest`, with the `asked_at` of that message.

    `digest` is the digest of the whole configuration of the host that replies. If it
    differs from the digest that was sent, `digests` has one digest for each bucket (the
    items whose keys have the same hash); otherwise `digests` is empty.
    `confirmed_age_s` is the time since the platform last confirmed the configuration of
    the host that replies, None if it never did.
    """

    asked_at: float
    digest: int
    confirmed_age_s: float | None
    digests: tuple[int, ...] = ()


class ConfigurationPull(msgspec.Struct, frozen=True, tag=True):
    """Requests the items of some digest buckets."""

    buckets: tuple[int, ...]


class ConfigurationItems(msgspec.Struct, frozen=True, tag=True):
    """Configuration items of the sender."""

    items: tuple[configuration.Item, ...]


class ConfigurationQuestion(msgspec.Struct, frozen=True, tag=True):
    """Asks which revision of an item is in force at the recipient.

    `number` identifies the question in its answer.
    """

    number: int
    key: str


class ConfigurationAnswer(msgspec.Struct, frozen=True, tag=True):
    """The answer to the `ConfigurationQuestion` with the same `number`.

    `revision` is 0 if no revision of the item is in force.
    """

    number: int
    revision: names.Revision


class ReplicaReport(msgspec.Struct, frozen=True, array_like=True):
    """State that a backend server reported; `load` is 1 if all its slots are in use.

    `low` and `high` are the oldest and newest index version that it holds.
    """

    replica: names.ReplicaId
    load: float
    healthy: bool
    draining: bool
    low: names.IndexVersion
    high: names.IndexVersion


class ReplicaNews(msgspec.Struct, frozen=True, tag=True):
    """Reports of replicas that the sender owns.

    `revision` is the highest revision of the platform that is known to the sender.
    """

    reports: tuple[ReplicaReport, ...]
    revision: names.Revision = names.Revision(0)


class StateQuestion(msgspec.Struct, frozen=True, tag=True):
    """Requests a `StateCopy`; sent by a host that starts while the platform is down."""


class StateCopy(msgspec.Struct, frozen=True, tag=True):
    """The sender's host list and the catalogs of all fleets, each as JSON."""

    hosts: bytes
    catalogs: tuple[bytes, ...]


Message = (
    ReplicaNews
    | StateQuestion
    | StateCopy
    | Probe
    | ProbeReply
    | RelayBatch
    | RelayReply
    | RelayCancel
    | ConfigurationDigest
    | ConfigurationState
    | ConfigurationPull
    | ConfigurationItems
    | ConfigurationQuestion
    | ConfigurationAnswer
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender, recipient and send time.

    `sent_s` is the time in seconds on the sender's monotonic clock, comparable only
    between envelopes of the same sender. `recipient` is the incarnation that the
    message is addressed to; if it is empty, any incarnation on the address accepts it.
    """

    sender: names.MemberId
    recipient: names.Incarnation
    stamp: Stamp
    sent_s: float
    message: Message
    request: names.RequestId = names.RequestId("")


class DecodeFailure(enum.Enum):
    """Why a frame was refused."""

    CODEC = "codec"
    VERSION = "version"
    OVERSIZED = "oversized"


@dataclasses.dataclass(frozen=True, slots=True)
class Decoded:
    """The envelope of a valid frame."""

    envelope: Envelope


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Why a frame could not be decoded; no part of the frame may be used."""

    reason: DecodeFailure
    detail: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return an envelope encoded as a frame."""
    return bytes((PROTOCOL_VERSION,)) + _encoder.encode(envelope)


def decode(frame: bytes) -> Decoded | Refused:
    """Return the envelope of a frame, or the reason why the frame is refused."""
    if len(frame) > MAX_FRAME_BYTES:
        return Refused(
            DecodeFailure.OVERSIZED, f"{len(frame)} bytes exceed the limit of a frame"
        )
    if not frame:
        return Refused(DecodeFailure.CODEC, "empty frame")
    version = frame[0]
    if not MIN_PROTOCOL_VERSION <= version <= PROTOCOL_VERSION:
        return Refused(DecodeFailure.VERSION, f"unsupported protocol version {version}")
    try:
        return Decoded(_decoder.decode(memoryview(frame)[1:]))
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        return Refused(DecodeFailure.CODEC, str(error))
