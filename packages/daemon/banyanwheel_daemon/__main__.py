"""The entry point of the ``banyanwheeld`` program."""

import sys
from contextlib import redirect_stderr, redirect_stdout

import typer
from typer.exceptions import TyperException

from banyanwheel_core.errors import BanyanwheelError, FindingsError

from .cli import app
from .context import Environment
from .status import ExitStatus

__all__ = ["main", "run"]


def main(args, env):
    """Runs the arguments ``args`` with the streams of ``env``; returns an ExitStatus.

    Errors are written to the standard error stream.
    """
    command = typer.main.get_command(app)
    try:
        with redirect_stdout(env.stdout), redirect_stderr(env.stderr):
            status = command.main(args, "banyanwheeld", standalone_mode=False, obj=env)
    except TyperException as error:
        env.report(error.format_message())
        return ExitStatus.USAGE
    except FindingsError as error:
        for finding in error.findings:
            env.report(finding)
        return ExitStatus.SETTINGS
    except BanyanwheelError as error:
        env.report(error)
        return ExitStatus.FAILED
    except (KeyboardInterrupt, typer.Abort):
        return ExitStatus.INTERRUPTED
    return ExitStatus(status or 0)


def run():
    """Runs the arguments of this process and exits with their status."""
    sys.exit(main(sys.argv[1:], Environment.from_process()))


if __name__ == "__main__":
    run()
