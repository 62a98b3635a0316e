"""Stand-in for the platform's host list: lagging, slow or away on demand."""

import dataclasses
import time
from collections.abc import Callable, Iterable

import eventlet
import eventlet.wsgi
import msgspec

from corianderrill import hostlist, names


@dataclasses.dataclass(slots=True)
class Faults:
    """What is wrong with the service now. Times in seconds."""

    lag_s: float = 0.0
    delay_s: float = 0.0
    is_down: bool = False
    is_garbled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Version:
    made_s: float
    hosts: hostlist.HostList


class HostListStandIn:
    """Serves `GET /` as JSON; the list and the faults are set in process."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.faults = Faults()
        self.calls = 0
        self.unchanged = 0
        self._clock = clock
        self._versions = [_Version(float("-inf"), hostlist.HostList())]
        self._listener = None
        self._task = None

    @property
    def current(self) -> hostlist.HostList:
        """The list without its lag."""
        return self._versions[-1].hosts

    def shown(self) -> hostlist.HostList:
        """The list as callers see it now."""
        seen_s = self._clock() - self.faults.lag_s
        return [each.hosts for each in self._versions if each.made_s <= seen_s][-1]

    def publish(
        self,
        entry_hosts: Iterable[hostlist.EntryHost] | None = None,
        backend_servers: Iterable[hostlist.BackendServer] | None = None,
    ) -> None:
        """Replace one or both halves of the list."""
        before = self.current
        hosts = hostlist.HostList(
            before.revision + 1,
            before.entry_hosts if entry_hosts is None else tuple(entry_hosts),
            before.backend_servers
            if backend_servers is None
            else tuple(backend_servers),
        )
        self._versions.append(_Version(self._clock(), hosts))

    def mark_leaving(self, host: names.HostName) -> None:
        """List every entry host and backend server of this name as leaving."""
        self.publish(
            (_mark(each, host) for each in self.current.entry_hosts),
            (_mark(each, host) for each in self.current.backend_servers),
        )

    def remove(self, host: names.HostName) -> None:
        """Take every entry host and backend server of this name off the list."""
        self.publish(
            (each for each in self.current.entry_hosts if each.host != host),
            (each for each in self.current.backend_servers if each.host != host),
        )

    def start(self, ip: str = "127.0.0.1", port: int = 0) -> names.Address:
        """Listen and serve in a green thread; return the address."""
        self._listener = eventlet.listen((ip, port))
        self._task = eventlet.spawn(
            eventlet.wsgi.server, self._listener, self._answer, log_output=False
        )
        return names.Address(*self._listener.getsockname()[:2])

    def stop(self) -> None:
        """Stop serving."""
        if self._task is not None:
            self._task.kill()
            self._listener.close()
            self._task = None

    def _answer(self, environ, start_response):
        self.calls += 1
        eventlet.sleep(self.faults.delay_s)
        if self.faults.is_down:
            start_response("503 Service Unavailable", [])
            return [b""]
        shown = self.shown()
        tag = f'"{shown.revision}"'
        if environ.get("HTTP_IF_NONE_MATCH") == tag and not self.faults.is_garbled:
            self.unchanged += 1
            start_response("304 Not Modified", [("ETag", tag)])
            return [b""]
        body = msgspec.json.encode(shown)
        if self.faults.is_garbled:
            body = body[: len(body) // 2]
        headers = [("Content-Type", "application/json"), ("ETag", tag)]
        start_response("200 OK", headers)
        return [body]


def _mark(listed, host: names.HostName):
    if listed.host != host:
        return listed
    return dataclasses.replace(listed, state=hostlist.HostState.LEAVING)
