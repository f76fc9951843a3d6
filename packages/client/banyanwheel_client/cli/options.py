"""The options that all subcommands share."""

from functools import wraps
from inspect import Parameter, Signature, signature
from typing import Annotated

import typer

from ..client import DEFAULT_TRY_TIMEOUT_S, DEFAULT_WAIT_S
from .run import Options, Run

__all__ = ["AsJson", "with_run"]

Dispatchers = Annotated[
    list[str] | None,
    typer.Option(
        "--dispatcher",
        metavar="URL",
        help="A dispatcher to use; may be given again (or BANYANWHEEL_DISPATCHERS).",
    ),
]
LogAddress = Annotated[
    str,
    typer.Option(
        "--log",
        metavar="IP:PORT",
        envvar="BANYANWHEEL_LOG",
        help="The platform's log, which takes configurations.",
    ),
]
Wait = Annotated[
    float,
    typer.Option(min=0, metavar="SECONDS", help="How long to wait for a job's end."),
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
        min=0.01,
        metavar="SECONDS",
        help="How long one dispatcher may take to answer.",
    ),
]
AsJson = Annotated[
    bool, typer.Option("--json", help="Print JSON lines, also on a terminal.")
]


def _shared(
    context: typer.Context,
    dispatcher: Dispatchers = None,
    log: LogAddress = "",
    patience: Patience = 0.0,
    try_timeout: TryTimeout = DEFAULT_TRY_TIMEOUT_S,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
):
    options = Options(
        tuple(dispatcher or ()), log, patience, try_timeout, wait, as_json
    )
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
