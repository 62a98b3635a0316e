"""What a command works on besides its arguments."""

import dataclasses
import sys
from typing import TextIO


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Streams of one run of the program."""

    stdin: TextIO = dataclasses.field(default_factory=lambda: sys.stdin)
    stdout: TextIO = dataclasses.field(default_factory=lambda: sys.stdout)
    stderr: TextIO = dataclasses.field(default_factory=lambda: sys.stderr)

    def print(self, *values: object) -> None:
        """Write a line of output."""
        print(*values, file=self.stdout, flush=True)

    def warn(self, *values: object) -> None:
        """Write a line for the person, apart from the output."""
        print(*values, file=self.stderr, flush=True)
