"""Answers operators' questions from the state of one dispatcher."""

import msgspec

from banyanwheel_core.language import Show, Table, Why, matches
from banyanwheel_jobs.owners import inspection

from .where import Where

__all__ = ["Inspector"]


class Inspector:
    """Builds the rows of the command language's tables at one dispatcher.

    ``gateway`` has the routing table and ``members`` the known processes.
    ``clock()`` returns seconds, and ``stalled(partition)`` whether the log doesn't
    answer for a partition. ``transient`` are the TransientRequests.
    """

    def __init__(
        self, name, owner, gateway, members, metrics, clock, stalled, transient=None
    ):
        self._name = name
        self._owner = owner
        self._gateway = gateway
        self._members = members
        self._metrics = metrics
        self._now = clock
        self._stalled = stalled
        self._where = Where(name, owner, gateway, transient, stalled, clock)

    def answer(self, question):
        """Returns the filtered rows for a Show, or the rows for a Why.

        The rows of a Show are neither ordered nor limited: the dispatcher that asks
        does that over the rows of all dispatchers.
        """
        match question:
            case Why(job_id):
                now = self._now()
                return inspection.why_rows(self._owner, self._name, job_id, now)
            case Show(table=table, where=where):
                return [row for row in self._rows(table) if matches(where, row)]
        raise TypeError(f"not a question: {question!r}")

    @property
    def where(self):
        """Tells where jobs would go."""
        return self._where

    def _rows(self, table):
        owner, now = self._owner, self._now()
        match table:
            case Table.JOBS:
                return inspection.job_rows(owner, self._name, now)
            case Table.TASKS:
                return inspection.task_rows(owner)
            case Table.WORKERS:
                return inspection.worker_rows(owner, now)
            case Table.PARTITIONS:
                return inspection.partition_rows(owner, self._name, self._stalled)
            case Table.QUEUES:
                return self._queue_rows()
            case Table.PROCESSES:
                return self._process_rows(now)
        return self._refusal_rows()

    def _queue_rows(self):
        routing = self._gateway.routing
        if routing is None:
            return []
        return [
            {
                "queue": queue.name,
                "host": host,
                "prefix": prefix,
                "service": queue.service,
                "priority": queue.priority,
                "max_attempts": queue.max_attempts,
                "slack_factor": queue.slack_factor,
                "pending": self._gateway.pending(queue),
                "version": routing.version,
                "target_ms": queue.target_ms,
                **inspection.queue_shares(self._owner, queue),
            }
            for host, rows in routing.by_host.items()
            for prefix, queue in rows
        ]

    def _process_rows(self, now):
        return [
            {
                "process": address,
                "role": member.role,
                "data_centre": member.data_centre,
                "age_ms": self._age_ms(address, now),
            }
            for address, member in self._members.known.items()
        ]

    def _age_ms(self, address, now):
        view = self._owner.views.get(address)
        heard_at = view.heard_at if view else self._gateway.heard_at(address)
        if heard_at is None or heard_at == float("-inf"):
            return None
        return round((now - heard_at) * 1000)

    def _refusal_rows(self):
        return [
            {"process": self._name, "counter": counter, "reason": reason, "count": n}
            for (counter, reason), n in sorted(self._metrics.totals.items())
        ]

    @staticmethod
    def encode(rows):
        """Returns rows as MessagePack bytes for another dispatcher."""
        return msgspec.msgpack.encode(rows)

    @staticmethod
    def decode(data):
        """Returns the rows of another dispatcher from their MessagePack bytes.

        Raises msgspec.MsgspecError if they are not a list of mappings.
        """
        return msgspec.msgpack.decode(data, type=list[dict])
