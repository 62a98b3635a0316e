"""Starts the program as a process and looks at what it started."""

import contextlib
import pathlib
import subprocess
import sys
import time
from collections.abc import Iterator, Mapping, Sequence

from benchmarks import ports

WAIT_S = 30.0


@contextlib.contextmanager
def start(
    command: Sequence[str], environment: Mapping[str, str], directory: pathlib.Path
) -> Iterator[subprocess.Popen]:
    """Start a process and end it, and only it, on the way out."""
    process = subprocess.Popen(
        [str(part) for part in command],
        env=dict(environment),
        cwd=directory,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        yield process
    except AssertionError as error:
        process.kill()
        error.add_note(f"output of the process: {process.communicate()}")
        raise
    finally:
        process.kill()
        process.communicate()


def list_children(pid: int) -> list[int]:
    """Return the ids of the processes whose parent is `pid`."""
    return [
        int(entry.name)
        for entry in pathlib.Path("/proc").iterdir()
        if entry.name.isdigit() and _read_parent(entry) == pid
    ]


def pick_address() -> str:
    """Return an address of the loopback that nothing uses."""
    return str(ports.find_free_addresses(1)[0])


def find_interpreter() -> str:
    """Return the interpreter below the virtual environment, without its packages."""
    return getattr(sys, "_base_executable", sys.executable)


def wait_until(condition, what: str) -> None:
    """Wait for a condition; fail with a name where it does not come."""
    end = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end, f"{what} did not happen within {WAIT_S} s"
        time.sleep(0.02)


def _read_parent(entry: pathlib.Path) -> int:
    try:
        text = (entry / "stat").read_text()
    except OSError:
        return 0
    return int(text.rpartition(")")[2].split()[1])
