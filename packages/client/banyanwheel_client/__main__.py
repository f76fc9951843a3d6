"""The console script."""

import sys
from contextlib import redirect_stderr, redirect_stdout

import typer
from typer.exceptions import TyperException

from banyanwheel_core.errors import BanyanwheelError

from .cli import app
from .context import Environment
from .output import Printer
from .status import ExitStatus

__all__ = ["main", "run"]


def main(args, env):
    """Runs the command line ``args`` in ``env``; returns an ExitStatus."""
    printer = Printer(env)
    command = typer.main.get_command(app)
    try:
        with redirect_stdout(env.stdout), redirect_stderr(env.stderr):
            status = command.main(args, "banyanwheel", standalone_mode=False, obj=env)
    except TyperException as error:
        printer.error(error.format_message())
        return ExitStatus.USAGE
    except BanyanwheelError as error:
        printer.error(error)
        return getattr(error, "status", ExitStatus.USAGE)
    except (KeyboardInterrupt, typer.Abort):
        printer.error("interrupted")
        return ExitStatus.INTERRUPTED
    return ExitStatus(status or 0)


def run():
    """Entry point of the ``banyanwheel`` program."""
    sys.exit(main(sys.argv[1:], Environment.from_process()))


if __name__ == "__main__":
    run()
