"""Links over the loopback: a proxy that delays, resets, cuts or falls silent."""

import enum
import random
import socket
import struct

import eventlet
from eventlet import greenthread

from corianderrill import names

PIECE_BYTES = 65_536
STEP_S = 0.02
DELAY_S = 0.15
CONNECT_S = 2.0
# Of what a server sends, a link that cuts passes on less than most heads have.
CUT_BYTES = 120
CUT_SHARE = 0.3
_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What a link does with what is sent."""

    OPEN = "open"
    DELAYED = "delayed"
    RESET = "reset"
    REFUSED = "refused"
    FORTH_LOST = "forth-lost"
    BACK_LOST = "back-lost"
    SILENT = "silent"
    MUTED = "muted"
    DROPPED = "dropped"
    CUT = "cut"


_STOPS_FORTH = (Mode.FORTH_LOST, Mode.SILENT)
_STOPS_BACK = (Mode.BACK_LOST, Mode.SILENT)


class Link:
    """Listens at `address` and passes connections on to `target`.

    What a cut holds back goes on after its end, as packets sent again would. A
    connection that was open while the link is muted stays open and passes nothing on
    any more; so does one on which a reply came while the link drops replies. A link
    that cuts passes on the beginning of some replies, and then closes their
    connections.
    """

    def __init__(self, target: names.Address) -> None:
        self.target = target
        self._modes: list[Mode] = []
        self._sessions: set[_Session] = set()
        self._listener = eventlet.listen(("127.0.0.1", 0), backlog=512)
        self.address = names.Address(*self._listener.getsockname())
        self._thread = eventlet.spawn(self._accept)

    @property
    def mode(self) -> Mode:
        """What was begun last and has not ended."""
        return self._modes[-1] if self._modes else Mode.OPEN

    def begin(self, mode: Mode) -> None:
        """Treat connections so from now on.

        A reset ends those that are open, and so does a refusal, as the end of a process
        does. It is begun once at a time.
        """
        self._modes.append(mode)
        if mode is Mode.REFUSED:
            self._thread.kill()
            self._listener.close()
        if mode in (Mode.RESET, Mode.REFUSED):
            for session in list(self._sessions):
                session.reset()
        if mode is Mode.MUTED:
            for session in self._sessions:
                session.is_muted = True

    def end(self, mode: Mode) -> None:
        """End what was begun; others may go on."""
        self._modes.remove(mode)
        if mode is Mode.REFUSED:
            self._listener = eventlet.listen(
                (self.address.ip, self.address.port), backlog=512
            )
            self._thread = eventlet.spawn(self._accept)

    def stop(self) -> None:
        """Pass nothing on any more."""
        self._thread.kill()
        self._listener.close()
        for session in list(self._sessions):
            session.reset()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            if self.mode is Mode.RESET:
                _reset(near)
            else:
                eventlet.spawn(self._open, near)

    def _open(self, near: socket.socket) -> None:
        try:
            far = eventlet.connect((self.target.ip, self.target.port))
        except OSError:
            # The caller sees what it would see without a link: a refusal.
            _reset(near)
            return
        session = _Session(self, near, far)
        session.is_muted = self.mode is Mode.MUTED
        self._sessions.add(session)
        session.run()
        self._sessions.discard(session)


class _Session:
    def __init__(self, link: Link, near: socket.socket, far: socket.socket) -> None:
        self._link = link
        self._near = near
        self._far = far
        self.is_muted = False
        self._threads: list[greenthread.GreenThread] = []

    def run(self) -> None:
        """Pass bytes on in both directions until both have ended."""
        self._threads = [
            eventlet.spawn(self._pump, self._near, self._far, _STOPS_FORTH),
            eventlet.spawn(self._pump, self._far, self._near, _STOPS_BACK),
        ]
        for thread in self._threads:
            thread.wait()
        self._near.close()
        self._far.close()

    def reset(self) -> None:
        """End both connections so that their peers see a reset."""
        for sock in (self._near, self._far):
            _linger_not(sock)
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # It has ended already.
                continue

    def _pump(
        self, source: socket.socket, drain: socket.socket, stops: tuple[Mode, ...]
    ) -> None:
        try:
            while piece := source.recv(PIECE_BYTES):
                self._hold(stops)
                self.is_muted |= self._is_dropped(stops)
                if self._is_cut(stops):
                    drain.sendall(piece[: random.randrange(CUT_BYTES)])
                    break
                if not self.is_muted:
                    drain.sendall(piece)
            self._hold(stops)
            drain.shutdown(socket.SHUT_WR)
        except OSError:
            # One side was reset, so the other is too.
            self.reset()

    def _is_dropped(self, stops: tuple[Mode, ...]) -> bool:
        return stops is _STOPS_BACK and self._link.mode is Mode.DROPPED

    def _is_cut(self, stops: tuple[Mode, ...]) -> bool:
        is_reply = stops is _STOPS_BACK
        is_cutting = is_reply and self._link.mode is Mode.CUT
        return is_cutting and random.random() < CUT_SHARE

    def _hold(self, stops: tuple[Mode, ...]) -> None:
        if self._link.mode is Mode.DELAYED:
            eventlet.sleep(DELAY_S)
        while self._link.mode in stops:
            eventlet.sleep(STEP_S)


def _linger_not(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    except OSError:
        # It is closed already, and needs no reset.
        return


def _reset(sock: socket.socket) -> None:
    _linger_not(sock)
    sock.close()
