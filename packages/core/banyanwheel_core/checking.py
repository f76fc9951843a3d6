"""Checks outside data against a typed structure and collects its faults.

A structure is a data class or a msgspec structure. A field whose type has a class
method ``parse`` is read from text by it; ``parse`` raises ValueError for a fault.
"""

import dataclasses
import difflib
import re
import tomllib
from collections.abc import Mapping
from functools import cache
from typing import Annotated, get_args, get_origin, get_type_hints

import msgspec

from .errors import FindingsError
from .findings import MAX_FINDINGS, Finding

__all__ = ["TomlSource", "check", "convert", "nearest"]

_SYNTAX_LINE = re.compile(r" \(at line (?P<line>\d+), column \d+\)$")
_HEADER = re.compile(r"^\s*\[\[?\s*(?P<key>[^\[\]]+?)\s*\]\]?\s*(#.*)?$")
_ASSIGNMENT = re.compile(
    r"""^\s*(?P<key>(?:[\w-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[\w-]+|"[^"]*"|'[^']*'))*)\s*="""
)
_KEY_PART = re.compile(r"""[\w-]+|"[^"]*"|'[^']*'""")
_ERROR_PATH = re.compile(r" - at `(?P<path>.*)`$")


@dataclasses.dataclass(frozen=True, slots=True)
class TomlSource:
    """Data read from TOML text; ``lines`` maps a path of keys to its line."""

    data: dict
    lines: Mapping
    name: str = ""

    @classmethod
    def parse(cls, text, name=""):
        """Reads TOML; raises FindingsError with the line of a syntax error."""
        try:
            data = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            raise FindingsError([_syntax_finding(str(error), name)]) from error
        except RecursionError as error:
            message = "is nested too deeply"
            raise FindingsError([Finding("syntax", message, name)]) from error
        return cls(data, _key_lines(text), name)

    def line_of(self, path):
        """Returns the line of the innermost key on ``path`` that has one."""
        keys = tuple(key for key in path if isinstance(key, str))
        for length in range(len(keys), 0, -1):
            if keys[:length] in self.lines:
                return self.lines[keys[:length]]
        return None


def check(source, structure):
    """Checks a :class:`TomlSource` and returns the structure.

    Raises FindingsError with the first ``MAX_FINDINGS`` faults, each with its key and
    line.
    """
    return _convert(source.data, structure, source.name, source.line_of)


def convert(data, structure, source=""):
    """Checks plain data, such as decoded JSON, and returns the structure.

    Raises FindingsError with the first ``MAX_FINDINGS`` faults, each with its key.
    """
    return _convert(data, structure, source, lambda path: None)


def nearest(word, known):
    """Returns ``, did you mean 'x'?`` for the known word nearest, or an empty text."""
    matches = difflib.get_close_matches(word, known, n=1)
    return f", did you mean '{matches[0]}'?" if matches else ""


def _convert(data, structure, source, line_of):
    walk = _Walk(source, line_of)
    try:
        walk.visit(data, structure, ())
        if not walk.findings:
            value = walk.leaf(data, structure, ())
    except _EnoughFindings:
        pass
    if walk.findings:
        raise FindingsError(walk.findings)
    return value


class _EnoughFindings(Exception):
    """Ends a walk whose data has too many faults to report."""


class _Walk:
    """Visits data along its type, so that one fault does not hide the next."""

    def __init__(self, source, line_of):
        self.findings = []
        self._source = source
        self._line_of = line_of

    def visit(self, value, kind, path):
        while get_origin(kind) is Annotated:
            if not isinstance(value, (dict, list)):
                break
            kind, *constraints = get_args(kind)
            limit = _max_length(constraints)
            if isinstance(value, list) and len(value) > limit:
                self._add(path, f"has {len(value)} entries, more than {limit}")
                return
        if _is_structure(kind) and isinstance(value, dict):
            self._visit_fields(value, kind, path)
        elif get_origin(kind) is dict and isinstance(value, dict):
            self._visit_items(value, kind, path)
        elif get_origin(kind) is tuple and isinstance(value, list):
            for index, item in enumerate(value):
                self.visit(item, get_args(kind)[0], (*path, index))
        else:
            self.leaf(value, kind, path)

    def leaf(self, value, kind, path):
        """Converts a value; keeps the fault as a finding."""
        try:
            return msgspec.convert(value, kind, dec_hook=_parse)
        except msgspec.ValidationError as error:
            text = str(error)
            inner = _ERROR_PATH.search(text)
            suffix = inner["path"].removeprefix("$") if inner else ""
            self._add(path, _ERROR_PATH.sub("", text), suffix)
            return None

    def _visit_fields(self, value, structure, path):
        known, required = _fields_of(structure)
        for key, item in value.items():
            if key in known:
                self.visit(item, known[key], (*path, key))
            else:
                self._add((*path, key), f"unknown key{nearest(key, known)}")
        for key in required:
            if key not in value:
                self._add((*path, key), "is missing")

    def _visit_items(self, value, kind, path):
        key_kind, item_kind = get_args(kind)
        for key, item in value.items():
            self.leaf(key, key_kind, (*path, key))
            self.visit(item, item_kind, (*path, key))

    def _add(self, path, message, suffix=""):
        line = self._line_of(path)
        place = (_place(path) + suffix).lstrip(".")
        self.findings.append(Finding(place, message, self._source, line))
        if len(self.findings) >= MAX_FINDINGS:
            raise _EnoughFindings


@cache
def _fields_of(structure):
    """Returns the types of a structure's fields by key, and the required keys."""
    kinds = get_type_hints(structure, include_extras=True)
    fields = msgspec.inspect.type_info(structure).fields
    known = {field.encode_name: kinds[field.name] for field in fields}
    return known, tuple(field.encode_name for field in fields if field.required)


def _max_length(constraints):
    lengths = (getattr(each, "max_length", None) for each in constraints)
    return min((each for each in lengths if each is not None), default=float("inf"))


def _is_structure(kind):
    if not isinstance(kind, type):
        return False
    return issubclass(kind, msgspec.Struct) or dataclasses.is_dataclass(kind)


def _parse(kind, value):
    if not isinstance(value, str):
        raise TypeError(f"Expected `str`, got `{type(value).__name__}`")
    return kind.parse(value)


def _place(path):
    parts = (f"[{key}]" if isinstance(key, int) else f".{key}" for key in path)
    return "".join(parts).lstrip(".")


def _syntax_finding(message, source):
    match = _SYNTAX_LINE.search(message)
    line = int(match["line"]) if match else None
    return Finding("syntax", _SYNTAX_LINE.sub("", message), source, line)


def _key_lines(text):
    """Maps each key path that stands on a line of its own to its first line."""
    lines = {}
    table = ()
    for number, line in enumerate(text.splitlines(), start=1):
        if header := _HEADER.match(line):
            table = _split_key(header["key"])
            lines.setdefault(table, number)
        elif assignment := _ASSIGNMENT.match(line):
            lines.setdefault((*table, *_split_key(assignment["key"])), number)
    return lines


def _split_key(key):
    return tuple(part.strip("\"'") for part in _KEY_PART.findall(key))
