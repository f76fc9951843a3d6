"""What every subcommand shares: its options, client and printer."""

import asyncio
from dataclasses import dataclass
from urllib.parse import urlsplit

from banyanwheel_core.language import Show, Submit, Why

from ..client import Client, ClientSettings
from ..context import Environment
from ..errors import InterruptionError, ProblemError, UsageError
from ..output import Printer
from ..status import ExitStatus

__all__ = ["Options", "Run"]

ENTRIES_VARIABLE = "BANYANWHEEL_ENTRIES"


@dataclass(frozen=True, slots=True)
class Options:
    """Options of a subcommand; times are seconds.

    ``try_timeout`` is None for the client's own timeouts.
    """

    entries: tuple[str, ...]
    patience: float
    try_timeout: float | None
    as_json: bool


class Run:
    """One run of a subcommand."""

    def __init__(self, environment: Environment, options: Options):
        self._environment = environment
        self._options = options
        self._printer = Printer(environment, options.as_json)
        self._settings = _client_settings(environment, options)

    @property
    def environment(self):
        """The environment that the run was started in."""
        return self._environment

    @property
    def printer(self):
        """Prints as the options ask."""
        return self._printer

    def execute(self, command):
        """Executes a parsed command and prints what came of it."""
        return asyncio.run(self._execute(command))

    async def _execute(self, command):
        client = Client(self._settings)
        try:
            return await self._print_result(client, command)
        except ProblemError as error:
            if self._options.as_json:
                self._printer.document(error.problem)
            raise
        except asyncio.CancelledError:
            raise _interruption(client, command) from None
        finally:
            client.close()

    async def _print_result(self, client, command):
        if isinstance(command, Submit):
            self._printer.document(await client.submit(command.spec))
            return ExitStatus.OK
        reply = await client.command(command)
        self._printer.rows(reply.rows)
        if not reply.incomplete:
            return ExitStatus.OK
        self._printer.incomplete(reply.incomplete)
        return ExitStatus.INCOMPLETE


def _interruption(client, command):
    if client.unanswered:
        return InterruptionError(f"{client.unanswered}: interrupted, outcome unknown")
    if isinstance(command, Show | Why | Submit):
        return InterruptionError("interrupted, nothing took effect")
    return InterruptionError("interrupted, outcome unknown")


def _client_settings(environment, options):
    text = environment.variables.get(ENTRIES_VARIABLE, "")
    entries = options.entries or tuple(text.replace(",", " ").split())
    if not entries:
        raise UsageError(f"no entry: give --entry URL or set {ENTRIES_VARIABLE}")
    for entry in entries:
        _check_entry(entry)
    if options.try_timeout is None:
        return ClientSettings(entries, options.patience)
    timeout = options.try_timeout
    return ClientSettings(entries, options.patience, timeout, timeout)


def _check_entry(entry):
    try:
        parts = urlsplit(entry)
        valid = parts.scheme in ("http", "https") and parts.hostname and parts.port != 0
    except ValueError:
        valid = False
    if not valid:
        raise UsageError(f"--entry {entry}: not an http or https URL")
