"""The record of a case: what was sent, answered and run, in order."""

import time

__all__ = ["Record"]


class Record:
    """Writes one line an event to ``path``, with seconds since the start."""

    def __init__(self, path):
        self._began = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    @property
    def now(self):
        """Seconds since the start of the record."""
        return time.monotonic() - self._began

    def __call__(self, event, **fields):
        """Writes an event with its fields."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now:8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()
