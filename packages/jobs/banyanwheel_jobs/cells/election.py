"""Which dispatchers place tasks in a cell at present.

The first candidates of a cell place tasks in it. When one of them has been silent, the
next candidates fill its place, each a little later than the one before, so that mostly
one of them acts. Nothing is agreed on: for a moment too many may place tasks, which
costs only messages, since each runner accounts for its own resources.
"""

from dataclasses import dataclass

from .cell import CELL_PLACERS

__all__ = ["CLAIMS_TIMEOUT_S", "Election"]

CLAIMS_TIMEOUT_S = 0.7  # several claims are sent in this time
STARTUP_GRACE_S = 1.0  # hosts that start together differ by this much
STAGGER_S = 0.15  # between candidates that fill one place
STEP_DOWN_DELAY_S = 2.0  # after enough earlier candidates have returned


@dataclass(slots=True)
class _Candidacy:
    """This dispatcher's part in one cell; times in seconds of its clock."""

    placing: bool = False
    short_since: float | None = None  # since when too few earlier candidates place
    enough_since: float | None = None


class Election:
    """Decides in which cells this dispatcher places tasks.

    ``address`` is that of this dispatcher, ``started_at`` the time of its start.
    """

    def __init__(self, address, started_at):
        self._address = address
        self._grace_until = started_at + STARTUP_GRACE_S
        self._cells = ()
        self._candidacies = {}

    @property
    def cells(self):
        """All cells of the deployment."""
        return self._cells

    @property
    def placing(self):
        """The cells in which this dispatcher places tasks."""
        return tuple(
            cell
            for cell in self._cells
            if cell.name in self._candidacies and self._candidacies[cell.name].placing
        )

    @property
    def runners(self):
        """The addresses of the runners of these cells."""
        return frozenset().union(*(cell.runners for cell in self.placing))

    def homes(self, live):
        """Returns the runners that are at home with this dispatcher.

        Those of a cell are divided among its placers, which ``live`` gives as for
        :meth:`update`. While the placers don't agree on who is live, a runner may be at
        home with two of them, or with none.
        """
        homes = set()
        for cell in self.placing:
            placers = sorted({self._address, *live.get(cell.name, ())})
            first, count = placers.index(self._address), len(placers)
            homes.update(sorted(cell.runners)[first::count])
        return homes

    def set_cells(self, cells):
        """Replaces the cells, after a change of the list of members."""
        self._cells = cells
        self._candidacies = {
            cell.name: self._candidacies.get(cell.name, _Candidacy())
            for cell in cells
            if self._address in cell.candidates
        }

    def update(self, live, now):
        """Decides anew; ``live`` maps the names of cells to addresses heard of lately.

        Returns whether any decision changed.
        """
        before = self.placing
        for cell in self._cells:
            candidacy = self._candidacies.get(cell.name)
            if candidacy is not None:
                rank = cell.candidates.index(self._address)
                heard = live.get(cell.name, frozenset())
                earlier = sum(name in heard for name in cell.candidates[:rank])
                self._decide(candidacy, rank, earlier, now)
        return self.placing != before

    def _decide(self, candidacy, rank, earlier, now):
        """Decides for one cell, where ``earlier`` earlier candidates place tasks."""
        if rank < CELL_PLACERS:
            candidacy.placing = True
        elif earlier < CELL_PLACERS:
            candidacy.enough_since = None
            if candidacy.short_since is None:
                candidacy.short_since = max(now, self._grace_until)
            delay_s = STAGGER_S * (rank - CELL_PLACERS + 1)
            if now - candidacy.short_since >= delay_s:
                candidacy.placing = True
        else:
            candidacy.short_since = None
            if candidacy.enough_since is None:
                candidacy.enough_since = now
            if now - candidacy.enough_since >= STEP_DOWN_DELAY_S:
                candidacy.placing = False
