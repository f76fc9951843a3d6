"""Faults found in outside input, each with its place."""

from dataclasses import dataclass

__all__ = ["MAX_FINDINGS", "Finding"]

MAX_FINDINGS = 100  # reported of one input; one body can have a hundred thousand


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault: ``place`` is a path such as ``tasks[2].declared_ms``.

    ``source`` names the file or request; ``line`` counts from 1, or is None where
    the line is not known.
    """

    place: str
    message: str
    source: str = ""
    line: int | None = None

    def __str__(self):
        where = ":".join(str(part) for part in (self.source, self.line) if part)
        prefix = f"{where}: " if where else ""
        return f"{prefix}{self.place}: {self.message}"
