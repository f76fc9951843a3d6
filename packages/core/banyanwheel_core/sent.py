"""Tasks that a coordinator has sent and has no result of yet."""

from collections import defaultdict

from .effects import Send
from .messages import QueryTasks

__all__ = ["SentTasks"]


class SentTasks:
    """Keys (job id, task index) by executor and grant number."""

    def __init__(self):
        self._grants = defaultdict(dict)
        self._due = {}

    def overdue(self, now):
        """Names of the executors that owe a result past its expected time."""
        return {executor.name for (executor, _), at in self._due.items() if at <= now}

    def add(self, executor, grant, keys, due):
        """Notes the tasks sent under a grant; a result is expected until ``due``."""
        self._grants[executor][grant] = set(keys)
        self._due[executor, grant] = due

    def remove(self, sent, key):
        """Forgets one task; ``sent`` is (executor, grant number)."""
        executor, grant = sent
        keys = self._grants[executor].get(grant)
        if keys is None:
            return
        keys.discard(key)
        if not keys:
            self.pop_grant(executor, grant)

    def pop_grant(self, executor, grant):
        """Forgets and returns the tasks of a grant."""
        self._due.pop((executor, grant), None)
        return self._grants[executor].pop(grant, set())

    def pop_executor(self, executor):
        """Forgets and returns, in order, all tasks sent to an executor."""
        grants = self._grants.pop(executor, {})
        for grant in grants:
            del self._due[executor, grant]
        return sorted(key for keys in grants.values() for key in keys)

    def incarnations(self, name):
        """Returns the executors under a name that owe a result."""
        return [
            peer
            for peer, grants in self._grants.items()
            if peer.name == name and grants
        ]

    def questions(self, name):
        """Returns the messages that ask what became of the tasks sent to a name."""
        return [
            Send(peer, QueryTasks(grant, tuple(sorted(keys))))
            for peer in self.incarnations(name)
            for grant, keys in self._grants[peer].items()
        ]
