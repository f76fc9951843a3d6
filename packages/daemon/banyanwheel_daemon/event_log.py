"""The event log of a process: structured log lines and counters for operators."""

from eliot import log_message

__all__ = ["EventLog"]

ROUTINE_LINES_PER_S = 300  # about 1% of a core; twice the rate of a steady day
CLIENT_LINES_PER_S = 100
MAX_TEXT = 1_000  # characters of one value; clients choose some of them
# Events that any client can cause, as often as it likes.
_CLIENT_EVENTS = (
    "client:",
    "heartbeat:refused",
    "heartbeat:unreadable",
    "request:invalid",
)
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
    "task:released",
    "task:replacement-storing",
    "task:retry",
    "task:stopped",
    "task:superseded",
    "run:doubtful",
    "run:lapsed",
    "run:unauthorized",
)


class EventLog:
    """Logs the decisions of a process and counts their reasons.

    Routine events share a budget of ``ROUTINE_LINES_PER_S``, those that clients cause
    one of ``CLIENT_LINES_PER_S``. Lines above it are dropped, and their number is
    logged in a later second, as ``log:lines-left-out``. ``clock()`` returns seconds.
    """

    def __init__(self, metrics, clock):
        self._metrics = metrics
        self._clock = clock
        self._routine = _LineBudget(ROUTINE_LINES_PER_S)
        self._by_clients = _LineBudget(CLIENT_LINES_PER_S)

    def __call__(self, event, **fields):
        """Logs an event with the values that led to it, unless over the budget."""
        if event.startswith(_CLIENT_EVENTS):
            budget = self._by_clients
        elif event.startswith(_UNLIMITED_EVENTS):
            budget = None
        else:
            budget = self._routine
        if budget is not None and not budget.take(int(self._clock())):
            return
        log_message(event, **{name: _shorten(each) for name, each in fields.items()})

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


class _LineBudget:
    """Lines per second, and how many were dropped above them."""

    def __init__(self, lines_per_s):
        self._lines_per_s = lines_per_s
        self._second = 0
        self._written = 0
        self._dropped = 0

    def take(self, second):
        """Returns whether one more line may be written in a second."""
        if second != self._second:
            if self._dropped:
                log_message("log:lines-left-out", lines=self._dropped)
            self._second, self._written, self._dropped = second, 0, 0
        if self._written >= self._lines_per_s:
            self._dropped += 1
            return False
        self._written += 1
        return True


def _shorten(value):
    if isinstance(value, str) and len(value) > MAX_TEXT:
        return value[:MAX_TEXT] + "…"
    return value
