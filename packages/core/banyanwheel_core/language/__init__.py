"""The operators' query and command language."""

from .commands import (
    And,
    CancelJob,
    CancelJobs,
    Command,
    Compare,
    Drain,
    DrainKind,
    Duration,
    Filter,
    Not,
    Operator,
    Or,
    Order,
    Place,
    Reconfigure,
    Show,
    Submit,
    Undrain,
    Why,
)
from .errors import LanguageError
from .filters import matches, select
from .parser import parse, suggest, unfinished_word
from .printing import command_text
from .tables import COLUMNS, Column, Kind, Table

__all__ = [
    "COLUMNS",
    "And",
    "CancelJob",
    "CancelJobs",
    "Column",
    "Command",
    "Compare",
    "Drain",
    "DrainKind",
    "Duration",
    "Filter",
    "Kind",
    "LanguageError",
    "Not",
    "Operator",
    "Or",
    "Order",
    "Place",
    "Reconfigure",
    "Show",
    "Submit",
    "Table",
    "Undrain",
    "Why",
    "command_text",
    "matches",
    "parse",
    "select",
    "suggest",
    "unfinished_word",
]
