"""Division of the runners into cells, each with a few dispatchers that place tasks.

A cell holds the runners of one data centre, or a part of them; a small deployment is a
single cell. Every dispatcher derives the same cells from the same list of members.
"""

import zlib
from dataclasses import dataclass, field
from itertools import chain, zip_longest

__all__ = ["CELL_PLACERS", "Cell", "Host", "build_cells"]

CELL_PLACERS = 4  # dispatchers that place tasks in one cell
MAX_RUNNERS_IN_SINGLE_CELL = 24  # a larger deployment has a cell per data centre
RUNNERS_PER_CELL = 48  # a data centre gets the count of cells nearest to this size


@dataclass(frozen=True, slots=True)
class Host:
    """A member of the system: ``power`` is its processor's speed relative to others."""

    address: str
    data_centre: str
    power: float = 1.0


@dataclass(frozen=True, slots=True)
class Cell:
    """Some of the runners, and the dispatchers that may place tasks there.

    ``candidates`` are addresses of dispatchers, those that should place tasks first.
    ``runners`` are addresses too.
    """

    name: str
    candidates: tuple[str, ...] = ()
    runners: frozenset = field(default=frozenset(), repr=False)


def build_cells(dispatchers, runners):
    """Returns the cells of a deployment, given its dispatchers and runners as Hosts.

    The loss of one runner changes only its own cell, unless the number of cells
    changes; the loss of one dispatcher replaces at most one placer in each cell of its
    data centre.
    """
    if not dispatchers:
        return ()
    ranked = _rank_by_data_centre(dispatchers)
    if len(runners) <= MAX_RUNNERS_IN_SINGLE_CELL:
        # The placers are taken from all data centres in turn.
        turns = chain.from_iterable(zip_longest(*ranked.values()))
        candidates = tuple(address for address in turns if address is not None)
        return (Cell("all", candidates, frozenset(host.address for host in runners)),)
    by_data_centre = {name: [] for name in ranked}
    for host in runners:
        by_data_centre[_nearest(host, ranked)].append(host.address)
    return tuple(
        cell
        for name, addresses in by_data_centre.items()
        for cell in _split(name, addresses, ranked[name])
    )


def _rank_by_data_centre(dispatchers):
    """Returns addresses by data centre, those of the fastest hosts first."""
    ranked = {}
    for host in sorted(dispatchers, key=lambda host: (-host.power, host.address)):
        ranked.setdefault(host.data_centre, []).append(host.address)
    return dict(sorted(ranked.items()))


def _nearest(host, data_centres):
    """Returns the host's data centre, or another one if that has no dispatcher."""
    if host.data_centre in data_centres:
        return host.data_centre
    return max(data_centres, key=lambda name: _hash(host.data_centre, name))


def _split(data_centre, addresses, candidates):
    """Splits the runners of a data centre; each cell prefers other dispatchers."""
    count = max(1, round(len(addresses) / RUNNERS_PER_CELL))
    members = [set() for _ in range(count)]
    for address in addresses:
        # Rendezvous hashing: a change of the count moves few runners.
        number = max(range(count), key=lambda number: _hash(address, number))
        members[number].add(address)
    for number, runners in enumerate(members):
        first = number * CELL_PLACERS % len(candidates)
        order = (*candidates[first:], *candidates[:first])
        yield Cell(f"{data_centre}/{number}", order, frozenset(runners))


def _hash(*parts):
    return zlib.crc32("|".join(map(str, parts)).encode())
