"""Writes commands as text that parses back to an equal command."""

from decimal import Decimal

import msgspec

from .commands import (
    And,
    CancelJob,
    CancelJobs,
    Compare,
    Drain,
    Duration,
    Not,
    Or,
    Reconfigure,
    Show,
    Submit,
    Undrain,
    Why,
)

__all__ = ["command_text"]


def command_text(command):
    """Returns the text of ``command``."""
    match command:
        case Show():
            return _show_text(command)
        case Why(job_id):
            return f"why {job_id}"
        case Submit(job):
            return f"submit {_json(job)}"
        case CancelJob(job_id):
            return f"cancel {job_id}"
        case CancelJobs(where):
            return f"cancel jobs where {_filter_text(where)}"
        case Drain(kind, name):
            return f"drain {kind} {name}"
        case Undrain(kind, name):
            return f"undrain {kind} {name}"
        case Reconfigure(document):
            return f"reconfigure {_json(document)}"
    raise TypeError(f"not a command: {command!r}")


def _show_text(show):
    parts = [f"show {show.table}"]
    if show.where is not None:
        parts.append(f"where {_filter_text(show.where)}")
    if show.order is not None:
        suffix = " desc" if show.order.descending else ""
        parts.append(f"order by {show.order.field}{suffix}")
    if show.limit is not None:
        parts.append(f"limit {show.limit}")
    return " ".join(parts)


def _filter_text(condition):
    match condition:
        case Compare(field, operator, value):
            return f"{field} {operator} {_value_text(value)}"
        case Not(operand):
            return f"not {_nested_text(operand, And | Or)}"
        case And(operands):
            return " and ".join(_nested_text(part, And | Or) for part in operands)
        case Or(operands):
            return " or ".join(_nested_text(part, Or) for part in operands)
    raise TypeError(f"not a filter: {condition!r}")


def _nested_text(condition, bracketed):
    text = _filter_text(condition)
    return f"({text})" if isinstance(condition, bracketed) else text


def _value_text(value):
    match value:
        case Duration(milliseconds):
            return f"{milliseconds}ms"
        case str() | bool():
            return _json(value)
    return format(Decimal(repr(value)), "f")


def _json(value):
    return msgspec.json.encode(value).decode()
