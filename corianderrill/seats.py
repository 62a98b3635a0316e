"""Numbered seats: at most so many processes hold connections to a replica.

A seat is a key in the platform's service, created by compare-and-swap when a process
starts. It carries no lease: a lease lapses while its holder is paused with its
connections open. A seat is free again when its holder gave it back, when a new start
has bound the holder's own peer address, or when the platform's host list has dropped
the holder. The platform drops a host from the list only after its end.
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
# How long the list must lack a holder that was listed, and one that never was: the
# list lags, so a holder that never was listed may only be too new.
MIN_ABSENCE_S = 10.0
MIN_ABSENCE_NEVER_LISTED_S = 600.0

log = logbook.Logger("seats")


class SeatEntry(msgspec.Struct, frozen=True):
    """The value of a seat's key."""

    member: names.MemberId
    peer_address: names.Address


@dataclasses.dataclass(frozen=True, slots=True)
class TakenSeat:
    """A seat as the platform's service has it; `entry` is None if unreadable."""

    number: int
    entry: SeatEntry | None
    revision: names.Revision


class SeatState(enum.Enum):
    """Where a process stands with its seat."""

    SEEKING = "seeking"
    HELD = "held"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True)
class KeepSeat:
    """The seat is the own one; `spare` are others of its own, to be given back."""

    seat: TakenSeat
    spare: tuple[TakenSeat, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSeat:
    """Write the own entry at this number, compared with this revision."""

    number: int
    expected: names.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class NoSeatFree:
    """Every seat is taken; the host relays all its sub-requests to owners."""


SeatAction = KeepSeat | ClaimSeat | NoSeatFree


@dataclasses.dataclass(slots=True)
class DepartureDetector:
    """Which members the platform's list has dropped, by its successive readings."""

    _listed: set[names.MemberId] = dataclasses.field(default_factory=set)
    _ever: set[names.MemberId] = dataclasses.field(default_factory=set)
    _since: dict[names.MemberId, float] = dataclasses.field(default_factory=dict)
    _read_s: float | None = None

    def record_host_list(
        self, entry_hosts: Iterable[hostlist.EntryHost], now: float
    ) -> None:
        """Learn from a fresh reading of the list."""
        self._listed = {entry.member for entry in entry_hosts}
        self._ever |= self._listed
        self._since = {
            member: since_s
            for member, since_s in self._since.items()
            if member not in self._listed
        }
        self._read_s = now

    def has_departed(self, member: names.MemberId) -> bool:
        """Whether the readings show that a member has ended.

        Only readings count, so that time in which the list was away proves nothing.
        """
        if self._read_s is None or member in self._listed:
            return False
        since_s = self._since.setdefault(member, self._read_s)
        limit_s = MIN_ABSENCE_S if member in self._ever else MIN_ABSENCE_NEVER_LISTED_S
        return self._read_s - since_s >= limit_s


def choose_action(
    own: SeatEntry,
    taken: Collection[TakenSeat],
    seats_per_zone: int,
    is_gone: Callable[[names.MemberId], bool],
    advertised: Collection[int] = (),
) -> SeatAction:
    """Return what a process without a seat, or with one to be checked, does.

    `advertised` are the numbers that members say they hold: a service that came back
    older may have lost their keys.
    """
    mine = [seat for seat in taken if _is_held_by(seat, own.member)]
    if mine:
        first, *spare = sorted(mine, key=lambda seat: seat.number)
        return KeepSeat(first, tuple(spare))
    free = [
        ClaimSeat(seat.number, seat.revision)
        for seat in taken
        if seat.number < seats_per_zone and _is_free(seat, own, is_gone)
    ]
    numbers = {seat.number for seat in taken} | set(advertised)
    free += [
        ClaimSeat(number, keyvalue.CREATE_ONLY)
        for number in range(seats_per_zone)
        if number not in numbers
    ]
    return free[0] if free else NoSeatFree()


def _is_held_by(seat: TakenSeat, member: names.MemberId) -> bool:
    return seat.entry is not None and seat.entry.member == member


def _is_free(
    seat: TakenSeat, own: SeatEntry, is_gone: Callable[[names.MemberId], bool]
) -> bool:
    if seat.entry is None:
        return False
    # The own process has bound this address, so an earlier holder of it has ended.
    is_predecessor = seat.entry.peer_address == own.peer_address
    return is_predecessor or is_gone(seat.entry.member)


class SeatTask:
    """Takes a seat in the own zone, checks it from time to time, and gives it back.

    `changed` is called with the own seat, or None when it is lost. Connections must
    be opened only with a seat and be closed before `release`.
    """

    def __init__(
        self,
        client: keyvalue.Client,
        zone: names.ZoneName,
        seats_per_zone: int,
        own: SeatEntry,
        absences: DepartureDetector,
        changed: Callable[[ownership.SeatId | None], None],
        list_advertised: Callable[[], Collection[int]] = tuple,
    ) -> None:
        self.phase = SeatState.SEEKING
        self.lost = 0
        self._client = client
        self._zone = zone
        self._seats_per_zone = seats_per_zone
        self._own = own
        self._absences = absences
        self._changed = changed
        self._list_advertised = list_advertised
        self._held: TakenSeat | None = None
        self._task = None

    @property
    def seat(self) -> ownership.SeatId | None:
        """The own seat."""
        if self._held is None:
            return None
        return ownership.SeatId(self._zone, self._held.number)

    def start(self) -> None:
        """Seek a seat until there is one, then check it from time to time."""
        self._task = eventlet.spawn(self._run)

    def release(self) -> bool:
        """Give the seat back; call it once every connection is closed.

        False means that others must wait until the platform's list drops this host.
        """
        if self._task is not None:
            self._task.kill()
            self._task = None
        self.phase = SeatState.RELEASED
        held, self._held = self._held, None
        return held is None or self._give_back(held)

    def reconcile(self) -> None:
        """Read the seats once and act on them."""
        taken = self._read_seats()
        if taken is None:
            return
        decision = choose_action(
            self._own,
            taken,
            self._seats_per_zone,
            self._absences.has_departed,
            self._list_advertised(),
        )
        match decision:
            case KeepSeat(seat, spare):
                self._take(seat)
                for each in spare:
                    self._give_back(each)
            case ClaimSeat() if self._held is not None:
                self._restore_or_lose(taken)
            case ClaimSeat(number, expected):
                self._claim(number, expected)
            case NoSeatFree() if self._held is not None:
                self._restore_or_lose(taken)

    def _run(self) -> None:
        while True:
            self.reconcile()
            is_held = self.phase is SeatState.HELD
            eventlet.sleep(CHECK_INTERVAL_S if is_held else RETRY_INTERVAL_S)

    def _claim(self, number: int, expected: names.Revision) -> None:
        value = msgspec.json.encode(self._own)
        answer = self._client.put(self._get_key(number), value, expected)
        if isinstance(answer, keyvalue.Written):
            self._take(TakenSeat(number, self._own, answer.revision))
        # Anything else is settled by the next reading of the seats.

    def _restore_or_lose(self, taken: Collection[TakenSeat]) -> None:
        """Write a lost key anew, or give up a seat that another has taken."""
        number = self._held.number
        if any(seat.number == number for seat in taken):
            self._lose()
            return
        log.warning("seat {} was missing from the service", self.seat)
        self._claim(number, keyvalue.CREATE_ONLY)

    def _take(self, seat: TakenSeat) -> None:
        is_new = self._held is None or self._held.number != seat.number
        self._held = seat
        self.phase = SeatState.HELD
        if is_new:
            self._changed(self.seat)

    def _lose(self) -> None:
        log.error("seat {} is held by another process", self.seat)
        self.lost += 1
        self._held = None
        self.phase = SeatState.SEEKING
        self._changed(None)

    def _give_back(self, seat: TakenSeat) -> bool:
        answer = self._client.delete(self._get_key(seat.number), seat.revision)
        return isinstance(answer, keyvalue.Written)

    def _read_seats(self) -> tuple[TakenSeat, ...] | None:
        listed = self._client.list(self._get_key(""))
        if not isinstance(listed, keyvalue.Listed):
            return None
        prefix = len(self._get_key(""))
        return tuple(
            TakenSeat(int(entry.key[prefix:]), _decode(entry.value), entry.revision)
            for entry in listed.entries
            if entry.key[prefix:].isdecimal()
        )

    def _get_key(self, number: int | str) -> str:
        return f"{KEY_PREFIX}{self._zone}/{number}"


def _decode(value: bytes) -> SeatEntry | None:
    try:
        return msgspec.json.decode(value, type=SeatEntry)
    except msgspec.DecodeError:
        return None


def list_advertised_seats(
    records: Iterable[messages.MemberRecord], zone: names.ZoneName
) -> frozenset[int]:
    """Return the seat numbers that live members of a zone say they hold."""
    return frozenset(
        record.seat
        for record in records
        if record.zone == zone
        and record.seat != messages.NO_SEAT
        and record.state is not messages.MemberState.DEAD
    )
