"""The way between a host and what answers its calls, in place of a pool of connections.

A call takes some time a way; a reply shares the link of its sender with others.
"""

import dataclasses
import enum
import io
import random
from collections.abc import Callable
from typing import Protocol

import eventlet
import urllib3
from eventlet import event, hubs

from benchmarks.histories import virtual_hub, virtual_store

WAY_S = 0.002
REFUSAL_S = 0.001


class Trouble(enum.Enum):
    """What happens to the calls on a way."""

    SILENT = "silent"
    BUSY = "busy"
    RESET = "reset"
    LOST_REPLIES = "lost-replies"


class Answerer(Protocol):
    """What answers calls, on green threads of its own process."""

    name: str
    process: virtual_hub.Process | None
    link: "Link"

    def answer(self, path: str, fields: dict[str, str]) -> virtual_store.Answer:
        """Answer a call."""

    def is_running(self) -> bool:
        """Return whether there is a process that takes connections."""


@dataclasses.dataclass(slots=True)
class Link:
    """What the replies share that a host sends, or those that it gets."""

    bytes_per_s: float
    transfers: int = 0

    def get_share(self) -> float:
        """Return what one of the transfers has, in bytes a second."""
        return self.bytes_per_s / max(self.transfers, 1)


@dataclasses.dataclass(slots=True)
class Way:
    """The way from one host to one that answers.

    `trouble_of` returns what happens to a call that is sent now, `way_s` how long one
    way takes.
    """

    answerer: Answerer
    process: virtual_hub.Process
    inbound: Link
    rng: random.Random
    trouble_of: Callable[[], Trouble | None]
    way_s: Callable[[], float]

    def request(
        self,
        method: str,
        path: str,
        fields: dict[str, str],
        timeout: urllib3.Timeout,
        **_: object,
    ) -> "Reply":
        """Send a call as a pool of urllib3 would, and return the head of its reply."""
        trouble = self.trouble_of()
        if not self.answerer.is_running() or trouble is Trouble.RESET:
            eventlet.sleep(REFUSAL_S)
            raise urllib3.exceptions.ProtocolError("connection refused")
        if trouble is Trouble.SILENT:
            eventlet.sleep(timeout.connect_timeout)
            raise urllib3.exceptions.ConnectTimeoutError()
        return self._wait_for_head(path, fields, timeout.read_timeout)

    def _wait_for_head(
        self, path: str, fields: dict[str, str], read_timeout_s: float
    ) -> "Reply":
        head = event.Event()
        serving = eventlet.spawn(self._serve, path, fields, head)
        try:
            with eventlet.Timeout(read_timeout_s, False):
                return Reply(self, head.wait())
        finally:
            if not head.ready():
                serving.kill()
        raise urllib3.exceptions.ReadTimeoutError(None, path, "no reply")

    def _serve(self, path: str, fields: dict[str, str], head: event.Event) -> None:
        hub = hubs.get_hub()
        hub.set_process(self.answerer.process)
        self._travel()
        if self.trouble_of() is Trouble.BUSY:
            answer = virtual_store.Answer(503, 0)
        else:
            answer = self.answerer.answer(path, fields)
        hub.set_process(None)
        self._travel()
        if self.trouble_of() in (Trouble.SILENT, Trouble.LOST_REPLIES):
            return
        self.wait_for_reader()
        head.send(answer)

    def _travel(self) -> None:
        eventlet.sleep(self.way_s() * (0.5 + self.rng.random()))

    def wait_for_reader(self) -> None:
        """Wait until the host that reads is not frozen."""
        left_s = self.process.frozen_until - hubs.get_hub().now
        if left_s > 0:
            # What a process finds at its thaw comes after its own timers.
            eventlet.sleep(left_s + REFUSAL_S)

    def carry(self, size: int) -> None:
        """Wait for some bytes of a reply; forever if the way has fallen silent."""
        if self.trouble_of() in (Trouble.SILENT, Trouble.LOST_REPLIES):
            event.Event().wait()
        share = min(self.answerer.link.get_share(), self.inbound.get_share())
        eventlet.sleep(size / share)

    def count_transfer(self, change: int) -> None:
        """Count one transfer more, or one less, on the links of both ends."""
        self.answerer.link.transfers += change
        self.inbound.transfers += change

    def close(self) -> None:
        """There is nothing to close."""


class Reply:
    """A reply whose body is read in pieces, as one of urllib3."""

    def __init__(self, way: Way, answer: virtual_store.Answer) -> None:
        self.status = answer.status
        self.headers = {"Store-Era": str(answer.era)} if answer.era else {}
        self._way = way
        self._body = io.BytesIO(answer.body)
        self._is_open = True
        way.count_transfer(1)

    def read(self, size: int) -> bytes:
        """Return the next bytes of the body, none at its end."""
        piece = self._body.read(size)
        if piece:
            self._way.carry(len(piece))
        return piece

    def close(self) -> None:
        """Give the link free."""
        if self._is_open:
            self._is_open = False
            self._way.count_transfer(-1)

    release_conn = close
