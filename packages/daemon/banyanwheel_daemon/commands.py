"""HTTP for operators: commands as text, rows as JSON lines."""

import msgspec

from banyanwheel_core.errors import FindingsError
from banyanwheel_core.language import LanguageError, parse
from banyanwheel_core.models import Reason

from .handlers import BodyHandler
from .operations import OperationError
from .problems import ProblemError

__all__ = ["CommandsHandler"]

TEXT_TYPE = "text/plain"
ROWS_TYPE = "application/x-ndjson"


class CommandsHandler(BodyHandler):
    """Serves ``POST /v1/commands``: a command as text, its rows as JSON lines.

    Where members did not answer, the last line is ``{"incomplete": [names]}``.
    """

    def initialize(self, operations):
        """Takes the :class:`Operations` to execute with."""
        self._operations = operations

    async def post(self):
        """Executes the command in the body."""
        try:
            reply = await self._operations.execute(parse(self._text()))
        except LanguageError as error:
            detail = f"{error.sentence}\n{error.excerpt}"
            raise ProblemError(Reason.MALFORMED, detail, place=error.place) from error
        except FindingsError as error:
            raise ProblemError.from_findings(error.findings) from error
        except OperationError as error:
            self.write_problem(error.problem)
        else:
            self._write_rows(reply)

    def _text(self):
        try:
            return self.read_body(TEXT_TYPE).decode()
        except UnicodeDecodeError as error:
            detail = f"not UTF-8 at byte {error.start}"
            raise ProblemError(Reason.MALFORMED, detail) from error

    def _write_rows(self, reply):
        lines = list(reply.rows)
        if reply.silent:
            lines.append({"incomplete": reply.silent})
        self.set_header("Content-Type", ROWS_TYPE)
        self.finish(b"".join(msgspec.json.encode(line) + b"\n" for line in lines))
