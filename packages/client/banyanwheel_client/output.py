"""Prints answers and rows: tables for people, JSON lines for programs."""

import msgspec
from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.measure import Measurement
from rich.table import Table
from rich.text import Text

from banyanwheel_core.language import LanguageError

__all__ = ["Printer"]

MAX_TABLE_WIDTH = 100_000  # columns


class Printer:
    """Writes to the environment's streams."""

    def __init__(self, environment, as_json=False):
        self._stdout = environment.stdout
        self._stderr = environment.stderr
        self._terminal = environment.terminal
        self._as_json = as_json or not environment.terminal

    def document(self, document):
        """Prints an answer or a problem as one line of JSON."""
        print(msgspec.json.encode(document).decode(), file=self._stdout)

    def rows(self, rows):
        """Prints rows; a table's columns are those of all its rows in order."""
        if self._as_json:
            for row in rows:
                self.document(row)
            return
        if not rows:
            print("no rows", file=self._stdout)
            return
        console = Console(file=self._stdout)
        table = _table(rows)
        # Wider than the terminal, a table is left whole: cells cut short mislead.
        unbounded = console.options.update(max_width=MAX_TABLE_WIDTH)
        console.width = Measurement.get(console, unbounded, table).maximum
        console.print(table)

    def incomplete(self, members):
        """Warns that some members did not answer."""
        self._warn(f"incomplete: no answer from {', '.join(members)}")

    def error(self, error):
        """Prints an error as one line; a person also sees its place in a command."""
        self._warn(" ".join(str(error).split()))
        if self._terminal and isinstance(error, LanguageError):
            print(error.excerpt, file=self._stderr)

    def _warn(self, text):
        print(f"banyanwheel: {text}", file=self._stderr)


def _table(rows):
    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = Table(*columns, box=SIMPLE_HEAD, pad_edge=False)
    for row in rows:
        table.add_row(*(Text(_cell(row.get(name))) for name in columns))
    return table


def _cell(value):
    match value:
        case None:
            return ""
        case str():
            return value
    return msgspec.json.encode(value).decode()
