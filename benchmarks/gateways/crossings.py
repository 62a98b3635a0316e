"""Callers that use kept connections as a stopping host closes them."""

import itertools
import random
import time

import eventlet

from benchmarks.gateways import callers, records
from corianderrill.gateway import graceful_shutdown

CALLERS = 60
# Around the close of the host's idle connections.
SPREAD_S = 0.04
# Together some 11 KB, which come in several segments.
HEADER_LINES = 400
BODY = b"crossing "
HEADERS = {f"X-Field-{number:03}": f"{number:011}" for number in range(HEADER_LINES)}
_numbers = itertools.count(1)


class Crossing:
    """Callers of one host, each with a kept connection and one more request."""

    def __init__(
        self,
        door: callers.Door,
        balancer: callers.Balancer,
        history: records.History,
        rng: random.Random,
    ) -> None:
        self._door = door
        self._rng = rng
        self._callers = [callers.Caller(balancer, history, rng) for _ in range(CALLERS)]
        for caller in self._callers:
            caller.body = BODY + str(next(_numbers)).encode()
            caller.headers = HEADERS

    def connect(self) -> None:
        """Send a first request of each caller, and keep its connection."""
        pool = eventlet.GreenPool(CALLERS)
        for caller in self._callers:
            pool.spawn(caller.ask, self._door)
        pool.waitall()

    def cross(self, stopped_at: float) -> None:
        """Send one more request of each caller around the close."""
        closes_at = stopped_at + graceful_shutdown.ANNOUNCE_S
        for caller in self._callers:
            due_at = closes_at + SPREAD_S * (self._rng.random() - 0.5)
            delay_s = max(0.0, due_at - time.monotonic())
            eventlet.spawn_after(delay_s, caller.ask, self._door)
