"""Messaging between entry hosts: ZeroMQ over TCP, authenticated by CURVE keys.

Each host binds one PULL socket and connects one PUSH socket to each peer, so that a
slow or paused peer fills only its own queue. A frame is queued only on an established
connection and only up to a limit; otherwise it is dropped and counted. All hosts of a
deployment share the server key pair of the bound sockets. Each host authenticates
with a client key, which must be in the list of allowed keys. Hosts of one deployment
trust each other's sender ids.
"""

import collections
import dataclasses
import enum
import time
from collections.abc import Callable

import eventlet
import logbook
import zmq.utils.monitor
import zmq.utils.z85
from eventlet.green import zmq as green_zmq

from corianderrill import message_age, messages, names

MAX_SEND_QUEUE_FRAMES = 1000
MAX_RECEIVE_QUEUE_FRAMES = 1000
MAX_RECEIVE_BATCH_FRAMES = 64
MIN_RECONNECT_INTERVAL_MS = 100
MAX_RECONNECT_INTERVAL_MS = 1000
HANDSHAKE_TIMEOUT_MS = 2000
TCP_RETRANSMIT_TIMEOUT_MS = 3000
MAX_SOCKETS = 4096
NO_REQUEST_ID = names.RequestId("")
ZAP_ENDPOINT = "inproc://zeromq.zap.01"
ZAP_DOMAIN = b"peers"

HANDSHAKE_FAILURE_EVENTS = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
)

log = logbook.Logger("peers")


class RefusalCause(enum.Enum):
    """Why an incoming connection or message was refused."""

    KEY = "key"
    HANDSHAKE = "handshake"
    CODEC = "codec"
    VERSION = "version"
    OVERSIZED = "oversized"
    RECIPIENT = "recipient"
    NO_HANDLER = "unhandled"


class DropCause(enum.Enum):
    """Why a message was not sent."""

    UNKNOWN_PEER = "unknown-peer"
    # No established connection, or its queue is full.
    WOULD_BLOCK = "no-room"
    OVERSIZED = "oversized"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerKeys:
    """CURVE keys in Z85; all hosts of a deployment share the server key pair."""

    server_public: bytes
    server_secret: bytes = dataclasses.field(repr=False)
    client_public: bytes
    client_secret: bytes = dataclasses.field(repr=False)
    allowed_clients: frozenset[bytes]


@dataclasses.dataclass(slots=True)
class PeerCounters:
    """Counts of messages, bytes and failures since the `PeerLink` was created."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    handler_failures: int = 0
    dropped: collections.Counter[DropCause] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: collections.Counter[RefusalCause] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """A received message.

    `age_s` estimates the extra delay of the message in seconds: its delay minus the
    shortest delay from the same sender (see `message_age`).
    """

    envelope: messages.Envelope
    age_s: float


Handler = Callable[[Delivery], None]


@dataclasses.dataclass(slots=True)
class _Peer:
    address: names.Address
    socket: green_zmq.Socket


class PeerLink:
    """Owns the sockets to and from all peers and calls the handlers of messages.

    Handlers run in the task that receives messages, so a handler must not block: it
    changes state or puts work on a queue. `stamp` reads the hybrid logical clock for
    a message to send and `observe` merges the stamp of a received message into it.
    """

    def __init__(
        self,
        member: names.MemberId,
        address: names.Address,
        keys: PeerKeys,
        clock: Callable[[], float] = time.monotonic,
        stamp: Callable[[], messages.Stamp] = messages.Stamp,
        observe: Callable[[messages.Stamp], None] = lambda stamp: None,
    ) -> None:
        self.member = member
        self.address = address
        self.counters = PeerCounters()
        self._keys = keys
        self._clock = clock
        self._stamp = stamp
        self._observe = observe
        self._handlers: dict[type, Handler] = {}
        self._peers: dict[names.MemberId, _Peer] = {}
        self._age_estimators: dict[names.MemberId, message_age.MessageAgeEstimator] = {}
        self._context = green_zmq.Context()
        self._context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
        self._sockets: list[green_zmq.Socket] = []
        self._tasks: list[eventlet.greenthread.GreenThread] = []

    def register(self, message_type: type, handler: Handler) -> None:
        """Call `handler` with each received message of this type."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Bind the own address and start to receive; port 0 selects a free port."""
        zap_socket = self._open_socket(zmq.REP)
        zap_socket.bind(ZAP_ENDPOINT)
        self._tasks.append(eventlet.spawn(self._run_zap_handler, zap_socket))
        receiver = self._open_receiver()
        monitor = receiver.get_monitor_socket(HANDSHAKE_FAILURE_EVENTS)
        self._sockets.append(monitor)
        receiver.bind(f"tcp://{self.address}")
        endpoint = receiver.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = names.Address(self.address.ip, int(endpoint.rpartition(":")[2]))
        self._tasks.append(eventlet.spawn(self._count_handshake_failures, monitor))
        self._tasks.append(eventlet.spawn(self._receive, receiver))

    def stop(self) -> None:
        """Stop the tasks and close all sockets; unsent frames are dropped."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()
        for member in tuple(self._peers):
            self.disconnect(member)
        for socket in self._sockets:
            socket.close(linger=0)
        self._sockets.clear()
        self._context.term()

    def connect(self, member: names.MemberId, address: names.Address) -> None:
        """Connect to a peer and reconnect as needed; a new address replaces the old."""
        peer = self._peers.get(member)
        if peer is not None and peer.address == address:
            return
        self.disconnect(member)
        socket = self._context.socket(zmq.PUSH)
        for option, value in _build_sender_options(self._keys).items():
            socket.setsockopt(option, value)
        socket.connect(f"tcp://{address}")
        self._peers[member] = _Peer(address, socket)

    def disconnect(self, member: names.MemberId) -> None:
        """Close the connection to a peer and drop its queued frames."""
        self._age_estimators.pop(member, None)
        peer = self._peers.pop(member, None)
        if peer is not None:
            peer.socket.close(linger=0)

    def list_connected_peers(self) -> tuple[names.MemberId, ...]:
        """Return the peers to which this host connects, established or not."""
        return tuple(self._peers)

    def send(
        self,
        member: names.MemberId,
        message: messages.Message,
        request: names.RequestId = NO_REQUEST_ID,
        any_incarnation: bool = False,
    ) -> bool:
        """Queue a message for a peer without blocking.

        Return False if the message was dropped, and True if it was queued; a queued
        message can still be lost. With `any_incarnation` every process that listens
        on the address accepts the message, not just the incarnation in `member`.
        """
        peer = self._peers.get(member)
        if peer is None:
            return self._count_drop(DropCause.UNKNOWN_PEER)
        recipient = names.Incarnation("") if any_incarnation else member.incarnation
        frame = messages.encode(
            messages.Envelope(
                self.member, recipient, self._stamp(), self._clock(), message, request
            )
        )
        if len(frame) > messages.MAX_FRAME_BYTES:
            return self._count_drop(DropCause.OVERSIZED)
        try:
            peer.socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return self._count_drop(DropCause.WOULD_BLOCK)
        self.counters.sent += 1
        self.counters.sent_bytes += len(frame)
        return True

    def handle_frame(self, frame: bytes) -> None:
        """Decode and check one received frame and call the handler of its message."""
        self.counters.received += 1
        self.counters.received_bytes += len(frame)
        match messages.decode(frame):
            case messages.Refused(reason):
                self._count_refusal(RefusalCause(reason.value))
            case messages.Decoded(envelope) if not self._is_recipient(envelope):
                self._count_refusal(RefusalCause.RECIPIENT)
            case messages.Decoded(envelope):
                self._dispatch(envelope)

    def _is_recipient(self, envelope: messages.Envelope) -> bool:
        return envelope.recipient in ("", self.member.incarnation)

    def _dispatch(self, envelope: messages.Envelope) -> None:
        self._observe(envelope.stamp)
        estimator = self._age_estimators.setdefault(
            envelope.sender, message_age.MessageAgeEstimator()
        )
        age_s = estimator.estimate_age_s(envelope.sent_s, self._clock())
        handler = self._handlers.get(type(envelope.message))
        if handler is None:
            self._count_refusal(RefusalCause.NO_HANDLER)
            return
        try:
            handler(Delivery(envelope, age_s))
        except Exception:
            self.counters.handler_failures += 1
            log.exception("handler of {} failed", type(envelope.message).__name__)

    def _count_refusal(self, cause: RefusalCause) -> None:
        self.counters.refused[cause] += 1

    def _count_drop(self, cause: DropCause) -> bool:
        self.counters.dropped[cause] += 1
        return False

    def _open_socket(self, kind: int) -> green_zmq.Socket:
        socket = self._context.socket(kind)
        self._sockets.append(socket)
        return socket

    def _open_receiver(self) -> green_zmq.Socket:
        socket = self._open_socket(zmq.PULL)
        socket.setsockopt(zmq.CURVE_SERVER, 1)
        socket.setsockopt(zmq.CURVE_SECRETKEY, self._keys.server_secret)
        socket.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
        socket.setsockopt(zmq.RCVHWM, MAX_RECEIVE_QUEUE_FRAMES)
        socket.setsockopt(zmq.MAXMSGSIZE, messages.MAX_FRAME_BYTES)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        return socket

    def _receive(self, socket: green_zmq.Socket) -> None:
        while True:
            self.handle_frame(socket.recv())
            for frame in _receive_available(socket, MAX_RECEIVE_BATCH_FRAMES):
                self.handle_frame(frame)
            eventlet.sleep(0)

    def _run_zap_handler(self, socket: green_zmq.Socket) -> None:
        while True:
            request = socket.recv_multipart()
            socket.send_multipart(self._handle_zap_request(request))

    def _handle_zap_request(self, request: list[bytes]) -> list[bytes]:
        """Return the reply to a ZeroMQ Authentication Protocol request (RFC 27)."""
        version, sequence, _domain, _address, _identity, mechanism, *credentials = (
            request
        )
        is_allowed = (
            mechanism == b"CURVE"
            and zmq.utils.z85.encode(credentials[0]) in self._keys.allowed_clients
        )
        if is_allowed:
            return [version, sequence, b"200", b"OK", b"", b""]
        self._count_refusal(RefusalCause.KEY)
        return [version, sequence, b"400", b"key is not allowed", b"", b""]

    def _count_handshake_failures(self, monitor: green_zmq.Socket) -> None:
        while True:
            event = zmq.utils.monitor.parse_monitor_message(monitor.recv_multipart())
            if event["event"] & HANDSHAKE_FAILURE_EVENTS:
                self._count_refusal(RefusalCause.HANDSHAKE)


def _build_sender_options(keys: PeerKeys) -> dict[int, int | bytes]:
    return {
        zmq.SNDHWM: MAX_SEND_QUEUE_FRAMES,
        zmq.IMMEDIATE: 1,
        zmq.LINGER: 0,
        zmq.RECONNECT_IVL: MIN_RECONNECT_INTERVAL_MS,
        zmq.RECONNECT_IVL_MAX: MAX_RECONNECT_INTERVAL_MS,
        zmq.HANDSHAKE_IVL: HANDSHAKE_TIMEOUT_MS,
        zmq.TCP_MAXRT: TCP_RETRANSMIT_TIMEOUT_MS,
        zmq.CURVE_SERVERKEY: keys.server_public,
        zmq.CURVE_PUBLICKEY: keys.client_public,
        zmq.CURVE_SECRETKEY: keys.client_secret,
    }


def _receive_available(socket: green_zmq.Socket, limit: int):
    """Yield the frames that a socket has already received, up to a limit."""
    for _ in range(limit):
        try:
            yield socket.recv(zmq.NOBLOCK)
        except zmq.Again:
            return
