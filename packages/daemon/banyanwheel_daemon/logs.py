"""Log output as JSON lines that never blocks the process on a slow reader."""

import os

from eliot import FileDestination, add_destinations, remove_destination

__all__ = ["JsonLines", "LossyStream"]


class LossyStream:
    """Writes lines to a file descriptor without blocking.

    Lines that don't fit into the reader's buffer are dropped whole; ``lost`` is the
    number of dropped lines.
    """

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b""  # the rest of a partly written line
        self.lost = 0

    def write(self, line):
        """Writes a line of bytes, or drops it if the descriptor would block."""
        data = self._rest + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.lost += 1
            return
        rest = data[written:]
        # After a cut within a line, its rest is written before other lines.
        self._rest = b"" if data[:written].endswith(b"\n") else rest
        if rest and not self._rest:
            self.lost += 1

    def flush(self):
        """Does nothing: lines are not buffered. Needed for the file interface."""


class JsonLines:
    """Writes each eliot message as one line of JSON to a stream."""

    def __init__(self, stream):
        self._destination = FileDestination(file=stream)

    def start(self):
        """Registers the stream as a destination of eliot messages."""
        add_destinations(self._destination)

    def stop(self):
        """Removes the stream from the destinations."""
        remove_destination(self._destination)
