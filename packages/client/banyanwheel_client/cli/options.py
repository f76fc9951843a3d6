"""The options that all subcommands share."""

from functools import wraps
from inspect import Parameter, Signature, signature
from typing import Annotated

import typer

from ..client import DEFAULT_CHANGE_TIMEOUT_S, DEFAULT_TRY_TIMEOUT_S
from .run import Options, Run

__all__ = ["AsJson", "with_run"]

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
    float | None,
    typer.Option(
        min=0.01,
        metavar="SECONDS",
        help="How long one entry may take to answer;"
        f" {DEFAULT_TRY_TIMEOUT_S:g} unless given,"
        f" or {DEFAULT_CHANGE_TIMEOUT_S:g} for a change of the configuration.",
    ),
]
AsJson = Annotated[
    bool, typer.Option("--json", help="Print JSON lines, also on a terminal.")
]


def _shared(
    context: typer.Context,
    entry: Entries = None,
    patience: Patience = 0.0,
    try_timeout: TryTimeout = None,
    as_json: AsJson = False,
):
    options = Options(tuple(entry or ()), patience, try_timeout, as_json)
    return Run(context.obj, options)


def with_run(function):
    """Gives a subcommand the shared options; it takes a Run in their place."""
    shared = signature(_shared).parameters
    own = list(signature(function).parameters.values())[1:]

    @wraps(function)
    def subcommand(**arguments):
        run = _shared(**{name: arguments.pop(name) for name in shared})
        return function(run, **arguments)

    parameters = [
        parameter.replace(kind=Parameter.KEYWORD_ONLY)
        for parameter in (*own, *shared.values())
    ]
    subcommand.__signature__ = Signature(parameters)
    subcommand.__annotations__ = {p.name: p.annotation for p in parameters}
    return subcommand
