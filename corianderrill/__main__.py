"""The process: patch the standard library first, then run the program."""

import os
import warnings

# Addresses are IP numbers; the resolver of eventlet would only cost start time.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
# The house style asks for eventlet; its note to new projects tells a user nothing.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

# Locks and threads of the modules below must be green from the start.
eventlet.monkey_patch()

import sys  # noqa: E402

from corianderrill import context, core  # noqa: E402


def main() -> int:
    """Run the program on the arguments and streams of this process."""
    # Names of other languages must not end a command in a locale without them.
    sys.stdout.reconfigure(errors="backslashreplace")
    return int(core.program(sys.argv[1:], context.Environment()))


if __name__ == "__main__":
    sys.exit(main())
