"""An event log for dry runs of decisions."""

__all__ = ["SilentLog"]


class SilentLog:
    """Writes and counts nothing."""

    def __call__(self, event, **fields):
        """Takes the place of a log line."""

    def count(self, counter, reason, amount=1):
        """Takes the place of a count."""

    def observe(self, name, seconds, **attributes):
        """Takes the place of a measured time."""
