"""Prints answers and rows: tables for people, JSON lines for programs."""

import msgspec
from rich.console import Console
from rich.table import Table

__all__ = ["Printer"]


class Printer:
    """Writes to the environment's streams."""

    def __init__(self, environment, as_json):
        self._stdout = environment.stdout
        self._stderr = environment.stderr
        self._as_json = as_json or not environment.terminal

    def answer(self, answer):
        """Prints an answer or a problem as one line of JSON."""
        self._line(answer)

    def rows(self, rows):
        """Prints rows, whose columns are those of all rows in order."""
        if self._as_json:
            for row in rows:
                self._line(row)
            return
        console = Console(file=self._stdout)
        if not rows:
            console.print("no rows")
            return
        console.print(_table(rows))

    def error(self, error):
        """Prints an error as one line."""
        print(f"banyanwheel: {error}", file=self._stderr)

    def _line(self, value):
        print(msgspec.json.encode(value).decode(), file=self._stdout)


def _table(rows):
    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = Table(*columns)
    for row in rows:
        table.add_row(*(_cell(row.get(name)) for name in columns))
    return table


def _cell(value):
    match value:
        case None:
            return ""
        case str():
            return value
    return msgspec.json.encode(value).decode()
