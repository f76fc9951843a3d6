"""Builds commands out of the parser's tree."""

import re
from decimal import Decimal

import msgspec
from lark import v_args
from lark.visitors import Transformer_NonRecursive

from ..documents import NAME_PATTERN, ConfigurationDocument, JobDocument
from ..errors import FindingsError
from ..ids import is_job_id
from .commands import (
    And,
    CancelJob,
    CancelJobs,
    Compare,
    Drain,
    DrainKind,
    Duration,
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
from .errors import LanguageError, nearest
from .filters import check_compare, check_field
from .tables import Table

__all__ = ["CommandBuilder"]

MAX_DURATION_MS = 999_999_999_999
UNITS_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000}


@v_args(inline=True)
class CommandBuilder(Transformer_NonRecursive):
    """Turns each rule of the grammar into its data class.

    Methods are named for the rules. Nesting in the text is bounded by the text's
    length only, so the tree is walked without recursion.
    """

    def __init__(self, text):
        super().__init__()
        self._text = text

    def show(self, name, *clauses):
        """``show TABLE [where] [order] [limit]``."""
        table = self._table(name)
        where, order, limit = clauses
        self._check_filter(table, where)
        if order is not None:
            check_field(table, order.field, order.place)
        return Show(table, where, order, limit)

    def why(self, word):
        """``why JOB_ID``."""
        return Why(self._job_id(word))

    def submit(self, document):
        """``submit JSON``."""
        return Submit(self._read(JobDocument, document))

    def cancel_job(self, word):
        """``cancel JOB_ID``."""
        return CancelJob(self._job_id(word))

    def cancel_jobs(self, where):
        """``cancel jobs where FILTER``."""
        self._check_filter(Table.JOBS, where)
        return CancelJobs(where)

    def drain(self, kind, word):
        """``drain KIND NAME``."""
        return Drain(kind, self._name(kind, word))

    def undrain(self, kind, word):
        """``undrain KIND NAME``."""
        return Undrain(kind, self._name(kind, word))

    def reconfigure(self, document):
        """``reconfigure JSON``."""
        return Reconfigure(self._read(ConfigurationDocument, document))

    def place(self, token):
        """``worker``, ``rack`` or ``data-centre``."""
        return DrainKind(str(token))

    def where(self, condition):
        """``where FILTER``."""
        return condition

    def order(self, field, descending):
        """``order by FIELD [desc]``."""
        return Order(str(field), descending is not None, self._place(field))

    def limit(self, token):
        """``limit N``."""
        return int(token)

    def any_of(self, *operands):
        """``FILTER or FILTER``."""
        return operands[0] if len(operands) == 1 else Or(operands)

    def all_of(self, *operands):
        """``FILTER and FILTER``."""
        return operands[0] if len(operands) == 1 else And(operands)

    def negation(self, operand):
        """``not FILTER``."""
        return Not(operand)

    def comparison(self, field, operator, token):
        """``FIELD OPERATOR VALUE``."""
        value = self._value(token)
        return Compare(str(field), Operator(operator), value, self._place(field))

    def _value(self, token):
        match token.type:
            case "QUOTED":
                return self._unquote(token)
            case "FLAG":
                return token == "true"
            case "DURATION":
                return self._duration(token)
            case "NUMBER":
                return float(token) if "." in token else int(token)
        return str(token)

    def _duration(self, token):
        number, unit = re.fullmatch(r"([0-9.]+)([a-z]+)", token).groups()
        milliseconds = Decimal(number) * UNITS_MS[unit]
        if milliseconds != int(milliseconds):
            raise self._error("a duration is whole milliseconds", token)
        if milliseconds > MAX_DURATION_MS:
            raise self._error(f"a duration has at most {MAX_DURATION_MS}ms", token)
        return Duration(int(milliseconds))

    def _unquote(self, token):
        try:
            return msgspec.json.decode(str(token), type=str)
        except msgspec.MsgspecError as error:
            raise self._error(str(error), token) from error

    def _read(self, kind, token):
        """Returns the document in a token; raises its faults at the token's place."""
        try:
            return kind.from_json(str(token).encode())
        except FindingsError as error:
            raise self._error(str(error), token) from error

    def _table(self, token):
        if token not in set(Table):
            hint = nearest(token, list(Table))
            expected = () if hint else list(Table)
            raise self._error(f'no table "{token}"{hint}', token, expected)
        return Table(str(token))

    def _job_id(self, token):
        if not is_job_id(token):
            raise self._error("a job id is 16 hexadecimal digits", token)
        return str(token)

    def _name(self, kind, token):
        names = token.split("/", 1) if kind is DrainKind.RACK else [token]
        if any(re.fullmatch(NAME_PATTERN, name) is None for name in names):
            raise self._error("a name is lower-case letters, digits and -", token)
        return str(token)

    def _check_filter(self, table, condition):
        match condition:
            case Compare():
                check_compare(table, condition)
            case Not(operand):
                self._check_filter(table, operand)
            case And(operands) | Or(operands):
                for operand in operands:
                    self._check_filter(table, operand)

    def _place(self, token):
        return Place(self._text, token.line, token.column)

    def _error(self, message, token, expected=()):
        return LanguageError(message, self._text, token.line, token.column, expected)
