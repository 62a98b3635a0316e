"""The process of a gateway: patch the standard library first, then run."""

import os
import sys
import warnings

# Addresses are IP numbers; the resolver of eventlet would only cost start time.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
# The house style asks for eventlet; its note to new projects tells a user nothing.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

# The store's client waits on sockets of the standard library.
eventlet.monkey_patch()


def main() -> int:
    """Run the gateway of this process."""
    from corianderrill import context
    from corianderrill.gateway import process

    return int(process.run_gateway(context.Environment()))


if __name__ == "__main__":
    sys.exit(main())
