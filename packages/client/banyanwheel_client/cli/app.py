"""The subcommands."""

from typing import Annotated

import msgspec
import typer

from banyanwheel_core.models import JobSpec

from ..client import DEFAULT_TRY_TIMEOUT_S
from ..errors import UsageError
from .run import Options, Run

__all__ = ["app"]

app = typer.Typer(
    add_completion=False,
    no_args_is_help=False,
    pretty_exceptions_enable=False,
    help="Asks what a banyanwheel system does, and tells it what to do.",
)

Entries = Annotated[
    list[str] | None,
    typer.Option(
        "--entry",
        metavar="URL",
        help="An entry to use; may be given again (or BANYANWHEEL_ENTRIES).",
    ),
]
Patience = Annotated[
    float,
    typer.Option(
        min=0, metavar="SECONDS", help="How long to retry what was refused, not run."
    ),
]
TryTimeout = Annotated[
    float,
    typer.Option(
        min=0.01, metavar="SECONDS", help="How long one entry may take to answer."
    ),
]
AsJson = Annotated[
    bool, typer.Option("--json", help="Print JSON lines, also on a terminal.")
]


@app.callback()
def _main():
    """Keeps the subcommand's name in the command line."""


@app.command()
def submit(
    context: typer.Context,
    file: Annotated[str, typer.Argument(help="A job as JSON; - is standard input.")],
    entry: Entries = None,
    patience: Patience = 0.0,
    try_timeout: TryTimeout = DEFAULT_TRY_TIMEOUT_S,
    as_json: AsJson = False,
):
    """Submits a job and prints its answer."""
    run = Run(context.obj, Options(tuple(entry or ()), patience, try_timeout, as_json))
    spec = _read_job(run.environment, file)
    run.printer.answer(run.call(lambda client: client.submit(spec)))


def _read_job(environment, file):
    data = _read(environment, file)
    try:
        return msgspec.json.decode(data, type=JobSpec)
    except msgspec.MsgspecError as error:
        raise UsageError(f"{file}: {error}") from error


def _read(environment, file):
    if file == "-":
        return environment.stdin.read().encode()
    try:
        with open(file, "rb") as stream:
            return stream.read()
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from error
