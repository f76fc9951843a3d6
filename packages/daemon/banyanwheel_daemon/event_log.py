"""The event log of a process: structured log lines and counters for operators."""

from eliot import log_message

__all__ = ["EventLog"]

ROUTINE_LINES_PER_S = 300  # about 1% of a core; twice the rate of a steady day
# Events that are always logged: failures, refusals and changes in what a process knows.
_UNLIMITED_EVENTS = (
    "process:",
    "partition:",
    "worker:",
    "log:",
    "configuration:",
    "evacuation:",
    "runner:",
    "heartbeat:",
    "drain:",
    "inspection:",
    "request:refused",
    "request:invalid",
    "task:released",
    "task:retry",
    "task:stopped",
    "task:superseded",
    "run:doubtful",
    "run:lapsed",
    "run:unauthorized",
)


class EventLog:
    """Logs the decisions of a process and counts their reasons.

    Routine events share a budget of ``ROUTINE_LINES_PER_S``. Lines above it are
    dropped, and their number is logged in a later second, as ``log:lines-left-out``.
    ``clock()`` returns seconds.
    """

    def __init__(self, metrics, clock):
        self._metrics = metrics
        self._clock = clock
        self._second = 0
        self._lines_written = 0
        self._lines_dropped = 0

    def __call__(self, event, **fields):
        """Logs an event with the values that led to it, unless over the budget."""
        if not event.startswith(_UNLIMITED_EVENTS) and not self._within_budget():
            return
        log_message(event, **fields)

    def fault(self, error, **fields):
        """Logs and counts an error that nothing expected."""
        self("process:fault", fault=repr(error), **fields)
        self.count("banyanwheel.faults", type(error).__name__)

    def count(self, name, reason, amount=1):
        """Adds ``amount`` to the counter ``name`` under the label ``reason``."""
        self._metrics.count(name, reason, amount)

    def observe(self, name, seconds, **attributes):
        """Adds a duration to the histogram ``name`` under the labels ``attributes``."""
        self._metrics.observe(name, seconds, **attributes)

    def _within_budget(self):
        second = int(self._clock())
        if second != self._second:
            if self._lines_dropped:
                log_message("log:lines-left-out", lines=self._lines_dropped)
            self._second, self._lines_written, self._lines_dropped = second, 0, 0
        if self._lines_written >= ROUTINE_LINES_PER_S:
            self._lines_dropped += 1
            return False
        self._lines_written += 1
        return True
