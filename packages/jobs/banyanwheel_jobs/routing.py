"""Finds the queue of a caller's request."""

from dataclasses import dataclass

__all__ = ["RoutingTable"]


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """The queues of one version of the configuration.

    ``by_host`` maps a host in lower case to its (path prefix, queue) rows, the longest
    prefix first.
    """

    version: int
    by_host: dict
    max_body_bytes: int

    @classmethod
    def build(cls, version, queues, max_body_bytes):
        """Builds the table from (host, path prefix, Queue) rows."""
        by_host = {}
        for host, prefix, queue in queues:
            by_host.setdefault(host.lower(), []).append((prefix, queue))
        for rows in by_host.values():
            rows.sort(key=lambda row: len(row[0]), reverse=True)
        return cls(version, by_host, max_body_bytes)

    def find(self, name):
        """Returns the queue with a name, or None."""
        for rows in self.by_host.values():
            for _, queue in rows:
                if queue.name == name:
                    return queue
        return None

    def match(self, host, path):
        """Returns the queue with the longest matching prefix, and the rest of the path.

        ``host`` may include a port. Returns None if no queue matches.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for prefix, queue in self.by_host.get(name.lower(), ()):
            if path.startswith(prefix):
                return queue, path[len(prefix) :]
        return None
