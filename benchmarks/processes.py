"""Child processes of a measure: started, read, counted and ended by process id."""

import contextlib
import os
import pathlib
import selectors
import signal
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence

BANNER_WITHIN_S = 30.0
END_WITHIN_S = 5.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class StartError(Exception):
    """A child ended or stayed silent before its first line of output."""


class Child:
    """One process that a measure started.

    Its standard error goes to `log`, its output to a file or, for `read_line`, a pipe.
    """

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        log: pathlib.Path,
        environment: Mapping[str, str] | None = None,
        output: pathlib.Path | None = None,
    ):
        self.name = name
        self._log = log
        with contextlib.ExitStack() as files:
            errors = files.enter_context(log.open("ab"))
            told = subprocess.PIPE
            if output is not None:
                told = files.enter_context(output.open("ab"))
            self._process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                env=environment,
                stdout=told,
                stderr=errors,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def read_line(self, within_s: float = BANNER_WITHIN_S) -> str:
        """Return the next line of output; raises StartError where none comes."""
        with selectors.DefaultSelector() as selector:
            selector.register(self._process.stdout, selectors.EVENT_READ)
            if not selector.select(within_s):
                raise StartError(f"{self.name} printed nothing; see {self._log}")
        line = self._process.stdout.readline().decode().strip()
        if not line:
            raise StartError(f"{self.name} ended at its start:\n{self.read_log()}")
        return line

    def read_log(self) -> str:
        """Return what the process wrote to its standard error."""
        return self._log.read_text(errors="replace")

    def read_resident_bytes(self) -> int:
        """Return the memory that the process has in use; 0 once it has ended."""
        try:
            pages = pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()[1]
        except (OSError, IndexError):
            return 0
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    def read_cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        try:
            stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it runs."""
        if self.is_running:
            self._process.send_signal(number)

    def wait(self, within_s: float) -> int | None:
        """Return the exit status; None where the process still runs."""
        try:
            return self._process.wait(within_s)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """End the process without notice."""
        self.send_signal(signal.SIGKILL)
        self._process.wait()
        if self._process.stdout is not None:
            self._process.stdout.close()


def end_all(children: Sequence[Child]) -> None:
    """Ask children to end, then end those that did not."""
    for child in children:
        child.send_signal(signal.SIGCONT)
        child.send_signal(signal.SIGTERM)
    give_up_at = time.monotonic() + END_WITHIN_S
    for child in children:
        child.wait(max(0.0, give_up_at - time.monotonic()))
        child.kill()


def end_on_sigterm() -> None:
    """Let SIGTERM and SIGINT unwind this process, so that it ends its children."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(1))
