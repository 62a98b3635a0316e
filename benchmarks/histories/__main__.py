"""`python -m benchmarks.histories`: many histories of hosts, drawn from a seed."""

import os
import sys
import time
import traceback
import warnings

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import typer  # noqa: E402

from benchmarks.histories import machine  # noqa: E402


def run(seed: int = 1, histories: int = 500, steps: int = 30) -> None:
    """Play histories; print the shortest one that fails, and exit with 1 then."""
    started_at = time.monotonic()
    try:
        machine.play(seed, histories, steps)
    except AssertionError:
        traceback.print_exc()
        sys.exit(1)
    took_s = time.monotonic() - started_at
    print(f"seed {seed}: {histories} histories in {took_s:.0f} s, nothing found")


if __name__ == "__main__":
    typer.run(run)
