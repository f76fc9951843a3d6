"""Decisions on connections: is a peer silent, and when is it tried again?

A connection can go silent for good while a new one to the same peer works. Where
something is awaited from a peer, silence is probed by a ping; an unanswered ping
replaces the connection, and a few replaced ones without an answer mean that the peer
is lost. Times are seconds of a monotonic clock.
"""

from dataclasses import dataclass

from .charts import Chart

__all__ = ["Links", "Lost", "Probe", "Recovered", "Reopen"]

SILENCE_SECONDS = 0.25  # without a message before a ping is sent
PING_TIMEOUT_SECONDS = 0.15
MAX_PAUSE_SECONDS = 5.0  # between two new connections to a lost peer
REOPENS_BEFORE_LOST = 3


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a ping to this peer."""

    name: str


@dataclass(frozen=True, slots=True)
class Reopen:
    """Replace the connection to this peer and ask what became of things."""

    name: str


@dataclass(frozen=True, slots=True)
class Lost:
    """Several connections in a row gave no answer."""

    name: str


@dataclass(frozen=True, slots=True)
class Recovered:
    """A lost peer was heard again."""

    name: str


@dataclass(slots=True)
class _Link:
    state: str
    since: float
    reopens: int = 0


class Links:
    """Watches the peers from which something is awaited."""

    def __init__(self):
        self._chart = Chart.load("connection")
        self._links = {}

    def heard(self, name, now):
        """Notes any message from a peer; returns what follows."""
        link = self._links.get(name)
        if link is None:
            return []
        was_lost = link.state == "lost"
        link.state = self._chart.next(link.state, "message")
        link.since = now
        link.reopens = 0
        return [Recovered(name)] if was_lost else []

    def tick(self, awaited, now):
        """Returns probes and reopenings due, given the names awaited now."""
        for name in [name for name in self._links if name not in awaited]:
            del self._links[name]
        steps = []
        for name in awaited:
            link = self._links.get(name)
            if link is None:
                self._links[name] = _Link(self._chart.initial, now)
            else:
                steps += self._check(name, link, now)
        return steps

    def _check(self, name, link, now):
        if now - link.since < self._pause(link):
            return []
        if link.state == "heard":
            link.state = self._chart.next(link.state, "silence")
            link.since = now
            return [Probe(name)]
        return self._timeout(name, link, now)

    def _timeout(self, name, link, now):
        link.since = now
        link.reopens += 1
        if link.state == "reopened" and link.reopens <= REOPENS_BEFORE_LOST:
            return [Reopen(name)]
        newly_lost = link.state == "reopened"
        link.state = self._chart.next(link.state, "timeout")
        lost = [Lost(name)] if newly_lost else []
        return [Reopen(name), *lost]

    def _pause(self, link):
        if link.state == "heard":
            return SILENCE_SECONDS
        pause = PING_TIMEOUT_SECONDS * 2 ** min(link.reopens, 10)
        return min(MAX_PAUSE_SECONDS, pause)
