"""Parsed commands and filters, as frozen data."""

from dataclasses import dataclass, field
from enum import StrEnum

from ..documents import ConfigurationDocument, JobDocument
from ..drains import DrainKind
from .tables import Table

__all__ = [
    "And",
    "CancelJob",
    "CancelJobs",
    "Command",
    "Compare",
    "Drain",
    "DrainKind",
    "Duration",
    "Filter",
    "Not",
    "Operator",
    "Or",
    "Order",
    "Place",
    "Reconfigure",
    "Show",
    "Submit",
    "Undrain",
    "Value",
    "Why",
]


@dataclass(frozen=True, slots=True)
class Place:
    """Where a part stood in the text; ``line`` and ``column`` count from 1."""

    text: str
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Duration:
    """A length of time in whole milliseconds."""

    milliseconds: int


class Operator(StrEnum):
    """How a comparison compares; ``~`` means that the cell contains the text."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    AT_MOST = "<="
    GREATER = ">"
    AT_LEAST = ">="
    CONTAINS = "~"


Value = str | bool | int | float | Duration


@dataclass(frozen=True, slots=True)
class Compare:
    """Compares a row's field with a value."""

    field: str
    operator: Operator
    value: Value
    place: Place | None = field(default=None, compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class Not:
    """Holds where the operand does not."""

    operand: "Filter"


@dataclass(frozen=True, slots=True)
class And:
    """Holds where every operand does; has two operands or more."""

    operands: tuple["Filter", ...]


@dataclass(frozen=True, slots=True)
class Or:
    """Holds where any operand does; has two operands or more."""

    operands: tuple["Filter", ...]


Filter = Compare | Not | And | Or


@dataclass(frozen=True, slots=True)
class Order:
    """Sorts rows by a field."""

    field: str
    descending: bool = False
    place: Place | None = field(default=None, compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class Show:
    """Shows rows of a table."""

    table: Table
    where: Filter | None = None
    order: Order | None = None
    limit: int | None = None


@dataclass(frozen=True, slots=True)
class Why:
    """Asks why a job waits, was refused, or runs where it does."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Submit:
    """Submits a job."""

    job: JobDocument


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancels one job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class CancelJobs:
    """Cancels every job that the filter holds for."""

    where: Filter


@dataclass(frozen=True, slots=True)
class Drain:
    """Keeps new work away from a worker, rack or data centre."""

    kind: DrainKind
    name: str


@dataclass(frozen=True, slots=True)
class Undrain:
    """Lifts a drain."""

    kind: DrainKind
    name: str


@dataclass(frozen=True, slots=True)
class Reconfigure:
    """Publishes a configuration on the platform's log."""

    document: ConfigurationDocument


Command = Show | Why | Submit | CancelJob | CancelJobs | Drain | Undrain | Reconfigure
