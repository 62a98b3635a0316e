"""Runs the test files side by side, each in a pytest process of its own.

Many tests wait for real processes, so most of their time is spent idle. pytest-xdist
cannot be used: its workers read from pipes in threads, which eventlet's patched modules
do not allow.

Usage: python extras/run_tests.py [PYTEST_OPTION...]
"""

import concurrent.futures
import dataclasses
import os
import pathlib
import re
import subprocess
import sys
import time
from collections.abc import Sequence

TESTS = pathlib.Path(__file__).parent.parent / "tests"
MAX_PROCESSES = 4
# Tests with real processes and bounds on time need room beside each other.
CORES_PER_PROCESS = 2
# Files with tests of the memory and the descriptors of a process run alone, last.
RUNS_ALONE = re.compile(r"^pytestmark = .*\bruns_alone\b", re.MULTILINE)
# pytest's exit status if it found no test in a file.
STATUS_NO_TESTS = 5
_COUNT = re.compile(r"(\d+) (passed|failed|errors?|xfailed|xpassed|skipped)")


@dataclasses.dataclass(frozen=True, slots=True)
class FileResult:
    """The result of the tests of one file."""

    path: pathlib.Path
    status: int
    output: str
    took_s: float

    @property
    def is_failure(self) -> bool:
        """Whether a test failed, or the file could not be run."""
        return self.status not in (0, STATUS_NO_TESTS)

    def count(self, outcome: str) -> int:
        """Return how many tests had an outcome, by pytest's summary."""
        summary = self.output.rstrip().rpartition("\n")[2]
        return sum(
            int(number)
            for number, name in _COUNT.findall(summary)
            if name.rstrip("s") == outcome
        )


def run_file(path: pathlib.Path, options: Sequence[str]) -> FileResult:
    """Run the tests of a file."""
    started_at = time.monotonic()
    process = subprocess.run(
        [sys.executable, "-m", "pytest", "-rA", *options, str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    took_s = time.monotonic() - started_at
    return FileResult(path, process.returncode, process.stdout + process.stderr, took_s)


def list_files() -> tuple[list[pathlib.Path], list[pathlib.Path]]:
    """Return the files that run side by side, the largest first, and the others."""
    paths = sorted(TESTS.glob("test_*.py"), key=_get_size, reverse=True)
    alone = [path for path in paths if RUNS_ALONE.search(path.read_text())]
    return [path for path in paths if path not in alone], alone


def _get_size(path: pathlib.Path) -> int:
    return path.stat().st_size


def report(result: FileResult) -> None:
    """Print the result of a file, with the output of pytest if a test failed."""
    verdict = "FAILED" if result.is_failure else "ok"
    print(f"{result.path.name}: {verdict}, {result.took_s:.1f} s", flush=True)
    if result.is_failure:
        print(result.output, flush=True)


def main(options: Sequence[str]) -> int:
    """Run all tests; return 1 if one failed."""
    started_at = time.monotonic()
    together, alone = list_files()
    processes = min(MAX_PROCESSES, max(1, (os.cpu_count() or 1) // CORES_PER_PROCESS))
    results = []
    with concurrent.futures.ThreadPoolExecutor(processes) as executor:
        running = [executor.submit(run_file, path, options) for path in together]
        for done in concurrent.futures.as_completed(running):
            report(done.result())
            results.append(done.result())
    for path in alone:
        results.append(run_file(path, options))
        report(results[-1])
    totals = {
        outcome: sum(result.count(outcome) for result in results)
        for outcome in ("passed", "failed", "error", "xfailed", "xpassed")
    }
    took_s = time.monotonic() - started_at
    print(", ".join(f"{count} {name}" for name, count in totals.items()))
    print(f"{len(results)} files in {took_s:.0f} s")
    print(f"{totals['passed']} passed, {totals['failed'] + totals['error']} failed")
    return int(any(result.is_failure for result in results))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
