"""Checks filters against their table and evaluates them over rows."""

import operator

from .commands import And, Compare, Duration, Not, Operator, Or, Show, Value
from .errors import LanguageError, nearest
from .tables import COLUMNS, Kind, find_column

__all__ = ["check_compare", "check_field", "matches", "select"]

_FUNCTIONS = {
    Operator.EQUAL: operator.eq,
    Operator.NOT_EQUAL: operator.ne,
    Operator.LESS: operator.lt,
    Operator.AT_MOST: operator.le,
    Operator.GREATER: operator.gt,
    Operator.AT_LEAST: operator.ge,
    Operator.CONTAINS: lambda cell, value: value in cell,
}
_EQUALITIES = frozenset({Operator.EQUAL, Operator.NOT_EQUAL})
_COMPARISONS = frozenset(Operator) - {Operator.CONTAINS}
_OPERATORS = {
    Kind.TEXT: frozenset(Operator),
    Kind.NUMBER: _COMPARISONS,
    Kind.DURATION: _COMPARISONS,
    Kind.FLAG: _EQUALITIES,
    Kind.LIST: frozenset({Operator.CONTAINS}),
}
_HINTS = {
    Kind.TEXT: "a text; put it in double quotes",
    Kind.NUMBER: "a number",
    Kind.DURATION: "a duration with its unit, such as 200ms or 3s",
    Kind.FLAG: "true or false",
    Kind.LIST: "a text; put it in double quotes",
}


def check_field(table, name, place):
    """Returns the column ``name`` of ``table``; raises LanguageError without it."""
    column = find_column(table, name)
    if column is None:
        names = [column.name for column in COLUMNS[table]]
        hint = nearest(name, names)
        expected = () if hint else names
        raise _error(f'no field "{name}" in {table}{hint}', place, expected)
    return column


def check_compare(table, compare):
    """Raises LanguageError where a comparison does not fit its column."""
    column = check_field(table, compare.field, compare.place)
    _check_operator(column.kind, compare)
    if not _fits(column.kind, compare.value):
        message = f'"{compare.field}" is compared with {_HINTS[column.kind]}'
        raise _error(message, compare.place)


def matches(condition, row):
    """Tells whether ``row``, a mapping of cells by field, satisfies a filter.

    An absent cell differs from every value and satisfies no other comparison.
    Raises LanguageError where a cell cannot be compared with its value.
    """
    match condition:
        case None:
            return True
        case Compare():
            return _compare(condition, row.get(condition.field))
        case Not(operand):
            return not matches(operand, row)
        case And(operands):
            return all([matches(operand, row) for operand in operands])
        case Or(operands):
            return any([matches(operand, row) for operand in operands])
    raise TypeError(f"not a filter: {condition!r}")


def select(show: Show, rows):
    """Returns the rows that ``show`` asks for, sorted and cut; see :func:`matches`."""
    chosen = [row for row in rows if matches(show.where, row)]
    if show.order is not None:
        chosen = _sorted(chosen, show.order)
    return chosen if show.limit is None else chosen[: show.limit]


def _compare(compare, cell):
    if cell is None:
        return compare.operator is Operator.NOT_EQUAL
    kind = _kind_of(cell, compare.value)
    if kind is None or not _fits(kind, compare.value):
        message = f'"{compare.field}" holds {cell!r} in a row, which does not compare'
        raise _error(message, compare.place)
    _check_operator(kind, compare)
    return _FUNCTIONS[compare.operator](cell, _plain(kind, compare.value))


def _check_operator(kind, compare):
    allowed = _OPERATORS[kind]
    if compare.operator not in allowed:
        message = f'"{compare.operator}" does not compare "{compare.field}", a {kind}'
        raise _error(message, compare.place, [o for o in Operator if o in allowed])


def _kind_of(cell, value):
    match cell:
        case bool():
            return Kind.FLAG
        case int() | float():
            return Kind.DURATION if isinstance(value, Duration) else Kind.NUMBER
        case str():
            return Kind.TEXT
        case list() | tuple():
            return Kind.LIST
    return None


def _fits(kind, value: Value):
    match kind:
        case Kind.DURATION:
            return isinstance(value, Duration)
        case Kind.NUMBER:
            return isinstance(value, int | float) and not isinstance(value, bool)
        case Kind.FLAG:
            return isinstance(value, bool)
    return isinstance(value, str)


def _plain(kind, value):
    return value.milliseconds if kind is Kind.DURATION else value


def _sorted(rows, order):
    present = [row for row in rows if row.get(order.field) is not None]
    absent = [row for row in rows if row.get(order.field) is None]
    try:
        present.sort(key=lambda row: row[order.field], reverse=order.descending)
    except TypeError as error:
        message = f'"{order.field}" holds cells that do not compare: {error}'
        raise _error(message, order.place) from error
    return present + absent


def _error(message, place, expected=()):
    if place is None:
        return LanguageError(message, "", 1, 1, expected)
    return LanguageError(message, place.text, place.line, place.column, expected)
