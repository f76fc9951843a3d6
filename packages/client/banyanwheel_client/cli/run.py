"""What every subcommand shares: its options, client and printer."""

import asyncio
from dataclasses import dataclass

from ..client import Client, ClientSettings
from ..context import Environment
from ..errors import ProblemError, UsageError
from ..output import Printer

__all__ = ["Options", "Run"]

ENTRIES_VARIABLE = "BANYANWHEEL_ENTRIES"


@dataclass(frozen=True, slots=True)
class Options:
    """Options of a subcommand; times are seconds."""

    entries: tuple[str, ...]
    patience: float
    try_timeout: float
    as_json: bool


class Run:
    """One run of a subcommand."""

    def __init__(self, environment: Environment, options: Options):
        self.environment = environment
        self.printer = Printer(environment, options.as_json)
        self._options = options

    def call(self, work):
        """Runs ``work(client)`` to its end and returns what it returns."""
        return asyncio.run(self._call(work))

    async def _call(self, work):
        client = Client(self._settings())
        try:
            return await work(client)
        except ProblemError as error:
            if self._options.as_json:
                self.printer.answer(error.problem)
            raise
        finally:
            client.close()

    def _settings(self):
        text = self.environment.variables.get(ENTRIES_VARIABLE, "")
        entries = self._options.entries or tuple(text.replace(",", " ").split())
        if not entries:
            raise UsageError(f"no entry: give --entry URL or set {ENTRIES_VARIABLE}")
        for entry in entries:
            if not entry.startswith(("http://", "https://")):
                raise UsageError(f"--entry {entry}: not an http or https URL")
        return ClientSettings(
            entries, self._options.patience, self._options.try_timeout
        )
