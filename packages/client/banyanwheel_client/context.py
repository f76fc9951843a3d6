"""The streams, variables and directories that a run of the client uses."""

import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO

__all__ = ["Environment"]

CONFIG_DIRECTORY_VARIABLE = "BANYANWHEEL_CONFIG_DIR"


@dataclass(frozen=True, slots=True)
class Environment:
    """What surrounds one run; tests pass their own.

    ``terminal`` tells whether a person reads standard output.
    """

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    config_directory: Path
    terminal: bool = False
    variables: Mapping[str, str] = field(default_factory=dict)

    @classmethod
    def from_process(cls):
        """Returns the environment of the running process."""
        directory = os.environ.get(CONFIG_DIRECTORY_VARIABLE)
        default = Path.home() / ".config" / "banyanwheel"
        return cls(
            stdin=sys.stdin,
            stdout=sys.stdout,
            stderr=sys.stderr,
            config_directory=Path(directory) if directory else default,
            terminal=sys.stdout.isatty(),
            variables=os.environ,
        )
