"""The output streams of the daemon."""

import sys
from dataclasses import dataclass
from typing import TextIO

__all__ = ["Environment"]


@dataclass(frozen=True, slots=True)
class Environment:
    """The standard output and error streams; tests pass their own."""

    stdout: TextIO
    stderr: TextIO

    @classmethod
    def from_process(cls):
        """Returns the environment of the running process."""
        return cls(sys.stdout, sys.stderr)

    def report(self, error):
        """Writes an error as one line to the standard error stream."""
        line = " ".join(str(error).split())
        print(f"banyanwheeld: {line}", file=self.stderr)
