"""Gateways of a soak: one process each, with links to its callers and to the store."""

import os
import pathlib
import signal
import time

import eventlet

from benchmarks import ports, processes
from benchmarks.gateways import (
    callers,
    checks,
    following,
    links,
    records,
)
from corianderrill import names
from corianderrill.standins import host_settings

READY_WITHIN_S = 60.0
ZONES = ("zone-a", "zone-b")
STEP_S = 0.02
# The smallest host of the users has 200 MB.
MAX_RESIDENT_BYTES = 200 << 20
ERROR_EVENT = b'"event":"internal-error"'


class Host:
    """One gateway process that is started, signalled and started again."""

    def __init__(
        self,
        number: int,
        directory: pathlib.Path,
        history: records.History,
        store_at: names.Address,
        repeat_fixed: float,
        has_aggregators: bool,
    ) -> None:
        self.name = records.HostName(f"front-{number}")
        self._history = history
        front, ready, self._metrics, between = ports.find_free_addresses(4)
        self.callers_link = links.Link(front)
        self.store_link = links.Link(store_at)
        self.door = callers.Door(self.name, str(self.callers_link.address), str(ready))
        self._file = directory / f"{self.name}.toml"
        self._log = directory / f"{self.name}.log"
        self._errors = directory / f"{self.name}.err"
        self._text = host_settings.HostSettingsFile(
            name=self.name,
            zone=ZONES[number % len(ZONES)],
            listen_address=str(front),
            readiness_address=str(ready),
            store_address=str(self.store_link.address),
            drain_ms=int(1000 * following.DRAIN_S),
            grace_s=int(checks.GRACE_S),
            config_apply_ms=int(1000 * following.APPLY_S),
            retry_ratio=checks.REPEAT_RATIO,
            retry_slack=int(repeat_fixed),
            port_range=[between.port, between.port] if has_aggregators else [],
            zones=ZONES,
        ).render()
        self._child: processes.Child | None = None
        self._pauses = 0
        self.is_up = False
        self._is_large = False

    def start(self) -> None:
        """Start the process."""
        self._write_settings()
        environment = {
            **os.environ,
            "CORIANDERRILL_SETTINGS": str(self._file),
            "CORIANDERRILL_METRICS_PORT": str(self._metrics.port),
        }
        self._child = processes.Child(
            self.name,
            ["corianderrill.gateway"],
            self._errors,
            environment,
            self._log,
        )
        self._pauses = 0
        self.is_up = True
        self._history.started.append(records.Started(self.name, time.monotonic()))

    def start_whole(self) -> None:
        """Start the process and wait until it is ready."""
        self.start()
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until the host is ready; a fault elsewhere may delay it."""
        with eventlet.Timeout(READY_WITHIN_S, False):
            while not callers.ask_ready(self.door.ready_address):
                eventlet.sleep(STEP_S)

    def pause(self) -> processes.Child:
        """Stop the process where it stands; return it."""
        self._pauses += 1
        self._child.send_signal(signal.SIGSTOP)
        return self._child

    def resume(self, paused: processes.Child) -> None:
        """Let the process go on once no other pause holds it."""
        if paused is not self._child:
            return
        self._pauses -= 1
        if self._pauses == 0:
            self._child.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process without notice."""
        self.is_up = False
        self._child.kill()

    def terminate(self, at: float) -> None:
        """Ask the process to end, and note how it did."""
        self.is_up = False
        self._child.send_signal(signal.SIGTERM)
        status = self._child.wait(checks.GRACE_S + 1.0)
        ended_at = time.monotonic()
        self._history.told.append(records.Told(self.name, at, ended_at, status))
        self._child.kill()

    def reload(self) -> None:
        """Write the settings anew and tell the process."""
        self._write_settings()
        self._child.send_signal(signal.SIGHUP)

    def _write_settings(self) -> None:
        """Replace the file at once: a process that starts may be reading it."""
        fresh = self._file.with_suffix(".new")
        fresh.write_text(self._text)
        fresh.replace(self._file)

    def look(self) -> None:
        """Note a process that ended by itself, and start it again."""
        if self.is_up and self._child.is_running:
            self._check_memory()
        if self.is_up and not self._child.is_running:
            self._note(f"ended by itself with {self._child.wait(0.0)}")
            self.start()

    def _check_memory(self) -> None:
        resident_bytes = self._child.read_resident_bytes()
        if resident_bytes > MAX_RESIDENT_BYTES and not self._is_large:
            self._is_large = True
            self._note(f"takes {resident_bytes >> 20} MB of memory")

    def stop(self) -> None:
        """End the process and note what it reported of itself."""
        if self._child is not None:
            self._child.kill()
        self.callers_link.stop()
        self.store_link.stop()
        told = self._errors.read_text(errors="replace").strip()
        if told:
            self._note(f"wrote to its standard error: {told[-200:]}")
        if ERROR_EVENT in self._log.read_bytes():
            self._note(f"reported an error of its own, see {self._log.name}")

    def _note(self, detail: str) -> None:
        self._history.vanished.append(
            records.Vanished(self.name, time.monotonic(), detail)
        )
