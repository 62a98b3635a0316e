"""Seats: numbered slots that limit how many processes connect to a replica.

The seats of a zone form a distributed semaphore: only a process that holds a seat may
open connections to backend servers. A seat is a key in the platform's key-value
service, which a process writes by compare-and-swap when it starts. The key has no
lease: a lease can expire while its holder is paused with its connections still open.

A process can claim a seat that another process took in three cases: the holder has
released it; the process has bound the holder's peer address, so the holder must have
ended; or the holder has been missing from the platform's host list for long enough.
The platform removes a host from the list only after the host has ended.
"""

import dataclasses
import enum
from collections.abc import Callable, Collection, Iterable

import eventlet
import logbook
import msgspec

from corianderrill import hostlist, keyvalue, messages, names, ownership

KEY_PREFIX = "seats/"
CHECK_INTERVAL_S = 30.0
RETRY_INTERVAL_S = 2.0
# How long a holder must be missing from the host list before its seat can be claimed.
# The limit is longer for a holder that was never listed: the list lags, so the holder
# may be new and not listed yet.
MIN_ABSENCE_S = 10.0
MIN_ABSENCE_NEVER_LISTED_S = 600.0

log = logbook.Logger("seats")


class SeatEntry(msgspec.Struct, frozen=True):
    """The value stored under the key of a seat."""

    member: names.MemberId
    peer_address: names.Address


@dataclasses.dataclass(frozen=True, slots=True)
class TakenSeat:
    """A seat whose key exists; `entry` is None if its value cannot be decoded."""

    number: int
    entry: SeatEntry | None
    revision: names.Revision


class SeatState(enum.Enum):
    """Whether a process is looking for a seat, holds one or has released it."""

    SEEKING = "seeking"
    HELD = "held"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True)
class KeepSeat:
    """Keep this seat, and release `spare`, other seats that the process also holds."""

    seat: TakenSeat
    spare: tuple[TakenSeat, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSeat:
    """Write the own entry under this number if the key has the expected revision."""

    number: int
    expected: names.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class NoSeatFree:
    """No seat can be claimed.

    Without a seat, this host opens no connections to backend servers and sends its
    sub-requests through hosts that hold seats.
    """


SeatAction = KeepSeat | ClaimSeat | NoSeatFree


@dataclasses.dataclass(slots=True)
class DepartureDetector:
    """Detects departed members by their absence from successive host lists.

    A member has departed once it is missing for long enough to be taken as ended.
    """

    _listed_members: set[names.MemberId] = dataclasses.field(default_factory=set)
    _ever_listed_members: set[names.MemberId] = dataclasses.field(default_factory=set)
    _missing_since_s: dict[names.MemberId, float] = dataclasses.field(
        default_factory=dict
    )
    _last_read_s: float | None = None

    def record_host_list(
        self, entry_hosts: Iterable[hostlist.EntryHost], now: float
    ) -> None:
        """Record a host list that was just read."""
        self._listed_members = {entry.member for entry in entry_hosts}
        self._ever_listed_members |= self._listed_members
        self._missing_since_s = {
            member: since_s
            for member, since_s in self._missing_since_s.items()
            if member not in self._listed_members
        }
        self._last_read_s = now

    def has_departed(self, member: names.MemberId) -> bool:
        """Return whether a member has been missing for long enough to have ended.

        The first call for a missing member starts the measurement: the absence counts
        from the reading before that call, up to the latest reading. So it does not
        grow while the list cannot be read. A reading that lists the member resets it.
        """
        if self._last_read_s is None or member in self._listed_members:
            return False
        since_s = self._missing_since_s.setdefault(member, self._last_read_s)
        min_absence_s = (
            MIN_ABSENCE_S
            if member in self._ever_listed_members
            else MIN_ABSENCE_NEVER_LISTED_S
        )
        return self._last_read_s - since_s >= min_absence_s


def choose_action(
    own: SeatEntry,
    taken: Collection[TakenSeat],
    seats_per_zone: int,
    has_departed: Callable[[names.MemberId], bool],
    advertised: Collection[int] = (),
) -> SeatAction:
    """Return what a process does about its seat, given the seats that are taken.

    `advertised` are the seat numbers that members report as their own. One of them
    whose key is missing is not claimed: a key-value service that was restored from
    older data may have lost the key.
    """
    own_seats = [seat for seat in taken if _is_held_by(seat, own.member)]
    if own_seats:
        first, *spare = sorted(own_seats, key=lambda seat: seat.number)
        return KeepSeat(first, tuple(spare))
    claims = [
        ClaimSeat(seat.number, seat.revision)
        for seat in taken
        if seat.number < seats_per_zone and _can_claim(seat, own, has_departed)
    ]
    used_numbers = {seat.number for seat in taken} | set(advertised)
    claims += [
        ClaimSeat(number, keyvalue.CREATE_ONLY)
        for number in range(seats_per_zone)
        if number not in used_numbers
    ]
    return claims[0] if claims else NoSeatFree()


def _is_held_by(seat: TakenSeat, member: names.MemberId) -> bool:
    return seat.entry is not None and seat.entry.member == member


def _can_claim(
    seat: TakenSeat, own: SeatEntry, has_departed: Callable[[names.MemberId], bool]
) -> bool:
    if seat.entry is None:
        return False
    # This process has bound the address, so any earlier process on it has ended.
    is_predecessor = seat.entry.peer_address == own.peer_address
    return is_predecessor or has_departed(seat.entry.member)


class SeatTask:
    """Claims a seat in the own zone, checks it periodically, and releases it.

    `on_change` is called with the own seat, or with None when the seat is lost.
    Connections must be opened only while a seat is held, and closed before `release`.
    """

    def __init__(
        self,
        client: keyvalue.Client,
        zone: names.ZoneName,
        seats_per_zone: int,
        own: SeatEntry,
        departures: DepartureDetector,
        on_change: Callable[[ownership.SeatId | None], None],
        list_advertised: Callable[[], Collection[int]] = tuple,
    ) -> None:
        self.state = SeatState.SEEKING
        self.lost_count = 0
        self._client = client
        self._zone = zone
        self._seats_per_zone = seats_per_zone
        self._own_entry = own
        self._departures = departures
        self._on_change = on_change
        self._list_advertised = list_advertised
        self._held_seat: TakenSeat | None = None
        self._greenthread = None

    @property
    def seat(self) -> ownership.SeatId | None:
        """The seat that this process holds, if any."""
        if self._held_seat is None:
            return None
        return ownership.SeatId(self._zone, self._held_seat.number)

    def start(self) -> None:
        """Start to claim a seat, with retries, and then to check it periodically."""
        self._greenthread = eventlet.spawn(self._run)

    def release(self) -> bool:
        """Release the seat. Call this only after every connection is closed.

        Return whether the key is known to be deleted, or True if no seat was held. If
        the key still exists, other hosts can claim the seat only after this host has
        been missing from the platform's host list for long enough.
        """
        if self._greenthread is not None:
            self._greenthread.kill()
            self._greenthread = None
        self.state = SeatState.RELEASED
        held, self._held_seat = self._held_seat, None
        return held is None or self._delete_key(held)

    def reconcile(self) -> None:
        """Read all seats of the zone once, then claim, keep or release as needed."""
        taken = self._read_seats()
        if taken is None:
            return
        action = choose_action(
            self._own_entry,
            taken,
            self._seats_per_zone,
            self._departures.has_departed,
            self._list_advertised(),
        )
        match action:
            case KeepSeat(seat, spare):
                self._record_held(seat)
                for each in spare:
                    self._delete_key(each)
            case ClaimSeat() if self._held_seat is not None:
                self._rewrite_key_or_record_lost(taken)
            case ClaimSeat(number, expected):
                self._try_claim(number, expected)
            case NoSeatFree() if self._held_seat is not None:
                self._rewrite_key_or_record_lost(taken)

    def _run(self) -> None:
        while True:
            self.reconcile()
            is_held = self.state is SeatState.HELD
            eventlet.sleep(CHECK_INTERVAL_S if is_held else RETRY_INTERVAL_S)

    def _try_claim(self, number: int, expected: names.Revision) -> None:
        value = msgspec.json.encode(self._own_entry)
        answer = self._client.put(self._get_key(number), value, expected)
        if isinstance(answer, keyvalue.Written):
            self._record_held(TakenSeat(number, self._own_entry, answer.revision))
        # After any other answer, the next `reconcile` reads who holds the seat.

    def _rewrite_key_or_record_lost(self, taken: Collection[TakenSeat]) -> None:
        """If the key of the held seat is missing, write it again.

        If the key holds another entry, record that the seat is lost.
        """
        number = self._held_seat.number
        if any(seat.number == number for seat in taken):
            self._record_lost()
            return
        log.warning(
            "seat {} is missing from the key-value service; writing it again",
            self.seat,
        )
        self._try_claim(number, keyvalue.CREATE_ONLY)

    def _record_held(self, seat: TakenSeat) -> None:
        is_new = self._held_seat is None or self._held_seat.number != seat.number
        self._held_seat = seat
        self.state = SeatState.HELD
        if is_new:
            self._on_change(self.seat)

    def _record_lost(self) -> None:
        log.error(
            "lost seat {}: its key no longer holds the entry of this process", self.seat
        )
        self.lost_count += 1
        self._held_seat = None
        self.state = SeatState.SEEKING
        self._on_change(None)

    def _delete_key(self, seat: TakenSeat) -> bool:
        answer = self._client.delete(self._get_key(seat.number), seat.revision)
        return isinstance(answer, keyvalue.Written)

    def _read_seats(self) -> tuple[TakenSeat, ...] | None:
        answer = self._client.list(self._get_key(""))
        if not isinstance(answer, keyvalue.Listed):
            return None
        prefix_length = len(self._get_key(""))
        return tuple(
            TakenSeat(
                int(entry.key[prefix_length:]),
                _decode_entry(entry.value),
                entry.revision,
            )
            for entry in answer.entries
            if entry.key[prefix_length:].isdecimal()
        )

    def _get_key(self, number: int | str) -> str:
        return f"{KEY_PREFIX}{self._zone}/{number}"


def _decode_entry(value: bytes) -> SeatEntry | None:
    try:
        return msgspec.json.decode(value, type=SeatEntry)
    except msgspec.DecodeError:
        return None


def list_advertised_seats(
    records: Iterable[messages.MemberRecord], zone: names.ZoneName
) -> frozenset[int]:
    """Return the seat numbers that members of a zone report, ignoring dead members."""
    return frozenset(
        record.seat
        for record in records
        if record.zone == zone
        and record.seat != messages.NO_SEAT
        and record.state is not messages.MemberState.DEAD
    )
