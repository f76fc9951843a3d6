"""The error for text that is not a command, or that does not fit its table."""

from difflib import get_close_matches

from ..errors import FindingsError
from ..findings import Finding

__all__ = ["LanguageError", "nearest"]

EXCERPT_COLUMNS = 72
SOURCE = "command"


class LanguageError(FindingsError):
    """A fault at ``line`` and ``column`` (both from 1) of ``text``.

    ``expected`` holds what could have stood there, as an operator would write it.
    """

    def __init__(self, message, text, line, column, expected=()):
        self.message = message
        self.text = text
        self.line = line
        self.column = column
        self.expected = tuple(expected)
        super().__init__([Finding(self.place, self.sentence, SOURCE)])

    @property
    def place(self):
        """``line:column``."""
        return f"{self.line}:{self.column}"

    @property
    def excerpt(self):
        """The line at fault and, below it, a caret under the column at fault."""
        lines = self.text.split("\n")
        line = lines[self.line - 1] if self.line <= len(lines) else ""
        start = max(0, self.column - 1 - EXCERPT_COLUMNS // 2)
        shown = line[start : start + EXCERPT_COLUMNS].replace("\t", " ")
        caret = " " * (self.column - 1 - start) + "^"
        return f"{shown.rstrip()}\n{caret}"

    @property
    def sentence(self):
        """What is wrong and what was expected, without the place."""
        if not self.expected:
            return self.message
        return f"{self.message}; expected one of: {', '.join(self.expected)}"


def nearest(word, names):
    """Returns ``, did you mean NAME?`` for the nearest of ``names``, or nothing."""
    close = get_close_matches(word, names, n=1)
    return f', did you mean "{close[0]}"?' if close else ""
