"""Messages between entry hosts, and their codec.

A frame is one byte of protocol version followed by a MessagePack envelope. The
version stands outside the envelope, so that a frame of another version is refused
before anything of it is interpreted.
"""

import dataclasses
import enum

import msgspec

from corianderrill import attempts, configuration, names

PROTOCOL_VERSION = 1
MIN_PROTOCOL_VERSION = 1
# The seat of a member that holds none (see `seats`).
NO_SEAT = -1
MAX_FRAME_BYTES = 4 * 1024 * 1024


class MemberState(enum.Enum):
    """What is believed of one start of an entry host."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """A reading of a hybrid logical clock: wall time in milliseconds and a counter."""

    wall_ms: int = 0
    counter: int = 0


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """One member as gossip spreads it.

    Of two records of a member the one with the higher epoch counts. Only the member
    itself raises its epoch, to refute a suspicion or to tell its seat.
    """

    member: names.MemberId
    zone: names.ZoneName
    peer_address: names.Address
    state: MemberState
    epoch: int = 0
    seat: int = NO_SEAT


class Probe(msgspec.Struct, frozen=True, tag=True):
    """A heartbeat, with the sender's own record and news of other members.

    Sequence 0 wants no reply. A sender that is joining wants to hear of many members.
    """

    sequence: int
    sender: MemberRecord
    news: tuple[MemberRecord, ...] = ()
    is_joining: bool = False


class ProbeReply(msgspec.Struct, frozen=True, tag=True):
    """The answer to a probe."""

    sequence: int
    sender: MemberRecord
    news: tuple[MemberRecord, ...] = ()


class RelayBatch(msgspec.Struct, frozen=True, tag=True):
    """Sub-requests for replicas that the recipient owns."""

    requests: tuple[attempts.SubRequest, ...]


class RelayReply(msgspec.Struct, frozen=True, tag=True):
    """Results that an owner host sends to the origin host of the sub-requests."""

    results: tuple[attempts.AttemptResult, ...]


class RelayCancel(msgspec.Struct, frozen=True, tag=True):
    """The origin gives up these attempts."""

    attempt_ids: tuple[str, ...]


class ConfigurationDigest(msgspec.Struct, frozen=True, tag=True):
    """Asks a peer to compare its configuration by one digest of the whole.

    `asked_at` is a reading of the sender's clock, which the answer returns.
    """

    asked_at: float
    digest: int


class ConfigurationState(msgspec.Struct, frozen=True, tag=True):
    """The answer to a digest.

    `digests` holds one a bucket where the whole differs and is empty otherwise.
    `confirmed_age_s` is the time since the platform confirmed what the sender
    holds, None where it never did.
    """

    asked_at: float
    digest: int
    confirmed_age_s: float | None
    digests: tuple[int, ...] = ()


class ConfigurationPull(msgspec.Struct, frozen=True, tag=True):
    """Asks for the items of some digest buckets."""

    buckets: tuple[int, ...]


class ConfigurationItems(msgspec.Struct, frozen=True, tag=True):
    """Items that the sender holds."""

    items: tuple[configuration.Item, ...]


class ConfigurationQuestion(msgspec.Struct, frozen=True, tag=True):
    """Asks which revision of an item is in force; 0 where none is."""

    number: int
    key: str


class ConfigurationAnswer(msgspec.Struct, frozen=True, tag=True):
    """The answer to a question, by its number."""

    number: int
    revision: names.Revision


class ReplicaReport(msgspec.Struct, frozen=True, array_like=True):
    """What a backend server said of itself; `load` is 1 where all slots are taken.

    `low` and `high` are the index versions that it holds, both included.
    """

    replica: names.ReplicaId
    load: float
    healthy: bool
    draining: bool
    low: names.IndexVersion
    high: names.IndexVersion


class ReplicaNews(msgspec.Struct, frozen=True, tag=True):
    """Reports of replicas that the sender owns.

    `revision` is the highest of the platform that the sender has heard of.
    """

    reports: tuple[ReplicaReport, ...]
    revision: names.Revision = names.Revision(0)


class StateQuestion(msgspec.Struct, frozen=True, tag=True):
    """Asks a peer for what a new host lacks while the platform is away."""


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
    """A message with its sender.

    `sent_s` is the sender's monotonic clock in seconds; it compares only with other
    envelopes of the same sender. `recipient` is the incarnation that is meant, empty
    where any incarnation on the address will do.
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
    """A frame that was understood."""

    envelope: Envelope


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A frame that was not understood; nothing of it may be used."""

    reason: DecodeFailure
    detail: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return the frame of an envelope."""
    return bytes((PROTOCOL_VERSION,)) + _encoder.encode(envelope)


def decode(frame: bytes) -> Decoded | Refused:
    """Return the envelope of a frame, or why the frame is refused."""
    if len(frame) > MAX_FRAME_BYTES:
        return Refused(DecodeFailure.OVERSIZED, f"{len(frame)} bytes")
    if not frame:
        return Refused(DecodeFailure.CODEC, "empty frame")
    version = frame[0]
    if not MIN_PROTOCOL_VERSION <= version <= PROTOCOL_VERSION:
        return Refused(DecodeFailure.VERSION, f"protocol version {version}")
    try:
        return Decoded(_decoder.decode(memoryview(frame)[1:]))
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        return Refused(DecodeFailure.CODEC, str(error))
