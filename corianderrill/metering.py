"""Metrics of the calls to the platform's key-value service."""

import time
from collections.abc import Callable

from corianderrill import keyvalue, metrics, names

KEY_VALUE = "key-value"


class MeteredTransport:
    """Counts and times the calls of another transport; see `keyvalue.Transport`."""

    def __init__(
        self,
        transport: keyvalue.Transport,
        recorder: metrics.Recorder,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._transport = transport
        self._recorder = recorder
        self._clock = clock

    def exchange(
        self, call: keyvalue.Call, timeout_s: float
    ) -> keyvalue.Answer | keyvalue.Failure:
        """Pass a call on; a watch is counted, but its waiting is not timed."""
        started_at = self._clock()
        answer = self._transport.exchange(call, timeout_s)
        operation = type(call).__name__.lower()
        outcome = type(answer).__name__.lower()
        self._recorder.count(metrics.PLATFORM_CALLS, KEY_VALUE, operation, outcome)
        if not isinstance(call, keyvalue.Watch):
            elapsed_s = self._clock() - started_at
            self._recorder.observe(metrics.PLATFORM_SECONDS, elapsed_s, KEY_VALUE)
        return answer


def connect(
    address: names.Address, timeout_s: float, recorder: metrics.Recorder
) -> keyvalue.Client:
    """Return a client of the key-value service whose calls are counted."""
    transport = MeteredTransport(keyvalue.HttpTransport(address), recorder)
    return keyvalue.Client(transport, timeout_s)
