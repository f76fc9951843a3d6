"""State charts read from the files in ``charts/``.

A chart file names its ``initial`` and ``final`` states and its ``[[transitions]]``,
each with ``event``, ``from`` (a list of states) and ``to``.
"""

import tomllib
from functools import cache
from pathlib import Path

from .errors import ChartError

__all__ = ["CHART_NAMES", "Chart"]

CHARTS = Path(__file__).with_name("charts")
CHART_NAMES = ("job", "task", "run", "process")


class Chart:
    """A lifecycle, interpreted from a table that its file fills."""

    def __init__(self, name, initial, final, table):
        self._name = name
        self._initial = initial
        self._final = final
        self._table = table

    @property
    def initial(self):
        """The state in which a lifecycle begins."""
        return self._initial

    @property
    def final(self):
        """The states that count as ended."""
        return self._final

    @property
    def steps(self):
        """All steps as a mapping of (state, event) to the next state."""
        return dict(self._table)

    @classmethod
    @cache
    def load(cls, name):
        """Reads the chart of this name; raises ChartError where it is malformed."""
        text = (CHARTS / f"{name}.toml").read_text(encoding="utf-8")
        return cls.from_text(name, text)

    @classmethod
    def from_text(cls, name, text):
        """Reads a chart from TOML text."""
        try:
            content = tomllib.loads(text)
            rows = [
                (row["event"], row["from"], row["to"]) for row in content["transitions"]
            ]
            initial = content["initial"]
            final = frozenset(content["final"])
            table = _flatten(rows)
        except (KeyError, TypeError, ValueError) as error:
            raise ChartError(f"chart {name}: {error}") from error
        return cls(name, initial, final, table)

    def bind(self, states):
        """Returns this chart over the members of an enumeration."""
        try:
            table = {
                (states(source), event): states(target)
                for (source, event), target in self._table.items()
            }
            final = frozenset(states(state) for state in self._final)
            return Chart(self._name, states(self._initial), final, table)
        except ValueError as error:
            raise ChartError(f"chart {self._name}: {error}") from error

    def next(self, state, event):
        """Returns the state after ``event``; raises ChartError if forbidden."""
        try:
            return self._table[state, event]
        except KeyError:
            raise ChartError(
                f"chart {self._name}: no {event!r} in state {state!r}"
            ) from None

    def allows(self, state, event):
        """Tells whether the chart has a step for ``event`` in ``state``."""
        return (state, event) in self._table


def _flatten(rows):
    table = {}
    for event, sources, target in rows:
        for source in sources:
            if not (type(event) is type(source) is type(target) is str):
                raise TypeError(f"{event!r} from {source!r} to {target!r}: not names")
            if (source, event) in table:
                raise ValueError(f"two steps for {event!r} in {source!r}")
            table[source, event] = target
    return table
