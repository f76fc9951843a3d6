"""The entry point of the ``banyanwheeld`` program."""

import sys
from contextlib import redirect_stderr, redirect_stdout

import typer
from typer.exceptions import TyperException

from .cli import app
from .context import Environment
from .service import run_reporting
from .status import ExitStatus

__all__ = ["main", "run"]


def main(args, env):
    """Runs the arguments ``args`` with the streams of ``env``; returns an ExitStatus.

    Errors are written to the standard error stream.
    """
    command = typer.main.get_command(app)

    def run_command():
        with redirect_stdout(env.stdout), redirect_stderr(env.stderr):
            return command.main(args, "banyanwheeld", standalone_mode=False, obj=env)

    try:
        return run_reporting(run_command, env)
    except TyperException as error:
        env.report(error.format_message())
        return ExitStatus.USAGE
    except typer.Abort:
        return ExitStatus.INTERRUPTED


def run():
    """Runs the arguments of this process and exits with their status."""
    sys.exit(main(sys.argv[1:], Environment.from_process()))


if __name__ == "__main__":
    run()
