"""Parses the text of a command."""

import re
from functools import cache

from lark import Lark
from lark.exceptions import UnexpectedInput, UnexpectedToken, VisitError

from .builder import CommandBuilder
from .errors import LanguageError
from .tables import COLUMNS, Table

__all__ = ["parse", "suggest", "unfinished_word"]

MAX_QUERY_CHARACTERS = 8_192
MAX_DOCUMENT_CHARACTERS = 1_048_576  # of a command that carries JSON
MAX_TERMS = 100  # comparisons and negations in one filter
DOCUMENT_COMMANDS = ("submit", "reconfigure")
TERM_RULES = frozenset({"comparison", "negation"})
WORDS_FOR_TERMINALS = {
    "$END": "the end of the command",
    "DURATION": "a duration",
    "FLAG": "true or false",
    "JSON_OBJECT": "a JSON object",
    "NAME": "a name",
    "NUMBER": "a number",
    "OPERATOR": "a comparison",
    "QUOTED": "a quoted text",
    "WHOLE": "a whole number",
    "WORD": "a word",
}


def parse(text):
    """Returns the command that ``text`` stands for; raises LanguageError."""
    _check_text(text)
    try:
        tree = _grammar().parse(text)
        _check_size(text, tree)
        return CommandBuilder(text).transform(tree)
    except UnexpectedInput as error:
        raise _syntax_error(text, error) from None
    except VisitError as error:
        raise error.orig_exc from None


def suggest(text):
    """Returns the words that may follow ``text``, or end the word that ends it."""
    partial = unfinished_word(text)
    head = text[: len(text) - len(partial)]
    try:
        terminals = _terminals_after(head)
    except UnexpectedInput:
        return ()
    words = []
    for terminal in sorted(terminals):
        words.extend(_suggestions(terminal, head))
    return tuple(word for word in words if word.startswith(partial))


def unfinished_word(text):
    """Returns the word, perhaps empty, that ends ``text``."""
    return re.search(r"[\w.-]*$", text).group()


@cache
def _grammar():
    return Lark.open("grammar.lark", rel_to=__file__, parser="lalr")


def _check_text(text):
    try:
        text.encode()
    except UnicodeEncodeError:
        raise LanguageError("not text that UTF-8 can carry", "", 1, 1) from None
    with_document = text.lstrip().startswith(DOCUMENT_COMMANDS)
    limit = MAX_DOCUMENT_CHARACTERS if with_document else MAX_QUERY_CHARACTERS
    if len(text) > limit:
        message = f"a command of this kind has at most {limit} characters"
        raise LanguageError(message, text, *_line_and_column(text, limit))


def _check_size(text, tree):
    terms = sum(1 for part in tree.iter_subtrees() if part.data in TERM_RULES)
    if terms > MAX_TERMS:
        raise LanguageError(
            f"a filter has at most {MAX_TERMS} comparisons and negations", text, 1, 1
        )


def _syntax_error(text, error):
    at_end = isinstance(error, UnexpectedToken) and error.token.type == "$END"
    position = len(text.rstrip()) if at_end else error.pos_in_stream
    words = sorted({_plain_word(name) for name in _terminals_after(text[:position])})
    if at_end:
        message = "the command is not complete"
    else:
        found = re.match(r"\w+|.", text[position:], re.DOTALL).group()
        message = f"unexpected {found[:40]!r}"
    return LanguageError(message, text, *_line_and_column(text, position), words)


def _terminals_after(text):
    cursor = _grammar().parse_interactive(text)
    cursor.exhaust_lexer()
    return cursor.accepts()


def _line_and_column(text, position):
    before = text[:position]
    return before.count("\n") + 1, position - (before.rfind("\n") + 1) + 1


def _plain_word(terminal):
    if terminal in WORDS_FOR_TERMINALS:
        return WORDS_FOR_TERMINALS[terminal]
    return _grammar().get_terminal(terminal).pattern.value


def _suggestions(terminal, head):
    if terminal == "NAME":
        return _names_after(head)
    return () if terminal in WORDS_FOR_TERMINALS else (_plain_word(terminal),)


def _names_after(head):
    words = head.split()
    if words == ["show"]:
        return tuple(Table)
    if len(words) > 1 and words[1] in set(Table):
        return tuple(column.name for column in COLUMNS[Table(words[1])])
    return ()
