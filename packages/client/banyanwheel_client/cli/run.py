"""What every subcommand shares: its options, client and printer."""

import asyncio
from dataclasses import dataclass
from urllib.parse import urlsplit

from banyanwheel_core.language import Reconfigure, Show, Submit, Why

from ..client import Client, ClientSettings, Where
from ..context import Environment
from ..errors import InterruptionError, ProblemError, UsageError
from ..output import Printer
from ..publisher import Publisher
from ..status import ExitStatus

__all__ = ["Options", "Run"]

DISPATCHERS_VARIABLE = "BANYANWHEEL_DISPATCHERS"
LOG_VARIABLE = "BANYANWHEEL_LOG"


@dataclass(frozen=True, slots=True)
class Options:
    """Options of a subcommand; times are seconds."""

    dispatchers: tuple[str, ...]
    log: str
    patience: float
    try_timeout: float
    wait: float
    as_json: bool


class Run:
    """One run of a subcommand."""

    def __init__(self, environment: Environment, options: Options):
        self._environment = environment
        self._options = options
        self._printer = Printer(environment, options.as_json)

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
        if isinstance(command, Reconfigure):
            return await self._publish(command.document)
        client = Client(_client_settings(self._environment, self._options))
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

    async def _publish(self, document):
        if not self._options.log:
            raise UsageError(f"no log: give --log IP:PORT or set {LOG_VARIABLE}")
        publisher = Publisher.from_address(self._options.log)
        version = await publisher.publish(document)
        self._printer.rows([{"result": "published", "version": version}])
        return ExitStatus.OK

    async def _print_result(self, client, command):
        if isinstance(command, Submit):
            end = await client.submit(command.job)
            self._printer.document(end)
            return _STATUSES.get(end.state, ExitStatus.UNKNOWN)
        ask = client.where if isinstance(command, Where) else client.command
        reply = await ask(command)
        self._printer.rows(reply.rows)
        if not reply.incomplete:
            return ExitStatus.OK
        self._printer.incomplete(reply.incomplete)
        return ExitStatus.INCOMPLETE


_STATUSES = {
    "completed": ExitStatus.OK,
    "failed": ExitStatus.FAILED,
    "canceled": ExitStatus.FAILED,
}


def _interruption(client, command):
    if client.unanswered:
        return InterruptionError(f"{client.unanswered}: interrupted, outcome unknown")
    if isinstance(command, Show | Why | Submit | Where):
        return InterruptionError("interrupted, nothing took effect")
    return InterruptionError("interrupted, outcome unknown")


def _client_settings(environment, options):
    text = environment.variables.get(DISPATCHERS_VARIABLE, "")
    dispatchers = options.dispatchers or tuple(text.replace(",", " ").split())
    if not dispatchers:
        message = f"no dispatcher: give --dispatcher URL or set {DISPATCHERS_VARIABLE}"
        raise UsageError(message)
    for dispatcher in dispatchers:
        _check_url(dispatcher)
    return ClientSettings(
        dispatchers, options.patience, options.try_timeout, options.wait
    )


def _check_url(dispatcher):
    try:
        parts = urlsplit(dispatcher)
        valid = parts.scheme in ("http", "https") and parts.hostname and parts.port != 0
    except ValueError:
        valid = False
    if not valid:
        raise UsageError(f"--dispatcher {dispatcher}: not an http or https URL")
