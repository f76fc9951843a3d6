"""Runs a case: its disruption, its check, its record and its exit status."""

import asyncio
import os
import signal
import sys
import traceback
from pathlib import Path

from .record import Record

__all__ = ["HELD", "BROKEN", "NOT_RUN", "main", "trouble"]

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110


def trouble():
    """Returns whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(play, check, folder):
    """Plays a case and exits with its status.

    ``play(record)`` is a coroutine function that runs the system. ``check(record)``
    returns the breaches of the rule as lines.
    """
    # A case that is asked to end leaves no process behind.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record()
    record.add("case", trouble=int(trouble()))
    try:
        asyncio.run(asyncio.wait_for(play(record), LIMIT_S))
        breaches = check(record)
    except Exception as error:
        traceback.print_exc()
        record.add("not-run", fault=repr(error))
        status = NOT_RUN
    else:
        for breach in breaches:
            record.add("BREACH", what=breach)
            print(breach)
        status = BROKEN if breaches else HELD
    record.add("status", status=status)
    record.write(Path(folder) / "record.txt")
    sys.exit(status)
