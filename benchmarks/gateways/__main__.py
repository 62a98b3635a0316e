"""`python -m benchmarks.gateways`: one run of the fault soak, by its seed."""

import os
import sys
import warnings

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

# Callers and links wait on sockets of the standard library.
eventlet.monkey_patch()

if __name__ == "__main__":
    from benchmarks.gateways import soak

    sys.exit(soak.run_command())
