"""Entry point of the gateway: patches the standard library before other imports."""

import os
import signal
import sys
import warnings

# Until the handler is installed; the settings are read later anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# All addresses are IP addresses, so loading eventlet's DNS resolver would only slow
# down the start.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
# The project's style guide requires eventlet; its deprecation warning, which is for
# new projects, is of no use to operators.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

# The store client uses blocking sockets of the standard library.
eventlet.monkey_patch()


def main() -> int:
    """Run the gateway; return its exit status."""
    from corianderrill import context
    from corianderrill.gateway import process

    return int(process.run_gateway(context.Environment()))


if __name__ == "__main__":
    sys.exit(main())
