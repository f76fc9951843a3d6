"""The subcommands: one for each role, and a check of settings.

Each subcommand imports the module of its role, so that a process loads only what its
role needs.
"""

from pathlib import Path
from typing import Annotated

import typer

from ..service import SETTINGS_VARIABLE
from ..settings import DispatcherSettings, RunnerSettings, check as check_settings
from ..status import ExitStatus

__all__ = ["app"]

DISTRIBUTION = "banyanwheel-daemon"

app = typer.Typer(
    add_completion=False,
    no_args_is_help=False,
    pretty_exceptions_enable=False,
    help="Run one process of a banyanwheel system.",
)

SettingsFile = Annotated[
    Path,
    typer.Option(
        "--settings",
        metavar="FILE",
        envvar=SETTINGS_VARIABLE,
        help="Settings file in TOML.",
    ),
]


def _print_version(context: typer.Context, wanted: bool):
    if wanted:
        from importlib.metadata import version as installed_version

        print(
            f"banyanwheeld {installed_version(DISTRIBUTION)}", file=context.obj.stdout
        )
        raise typer.Exit


@app.callback()
def _main(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Print the version and exit.",
        ),
    ] = False,
):
    """Run one process of a banyanwheel system."""


@app.command()
def dispatcher(context: typer.Context, settings: SettingsFile):
    """Accept jobs from callers, store them in the log and assign their tasks."""
    from .. import dispatcher as role

    return role.run(DispatcherSettings.from_file(settings), context.obj)


@app.command()
def runner(context: typer.Context, settings: SettingsFile):
    """Start and stop the runs of one worker, on behalf of the dispatchers."""
    from .. import runner as role

    return role.run(RunnerSettings.from_file(settings), context.obj)


@app.command()
def check(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="Settings file of either role.")],
):
    """Print every fault of a settings file, one per line."""
    findings = check_settings(file)
    for finding in findings:
        print(finding, file=context.obj.stdout)
    return ExitStatus.SETTINGS if findings else ExitStatus.OK
