"""Runs one process for a service manager: ``python3 -m banyanwheel_daemon.service``.

The environment names the settings file, and the settings tell the role. A machine's
callers wait while it starts, so the process loads no library of the command line, and
collects no garbage while it loads the others. Signals that come meanwhile are held
until the role handles them.
"""

import gc
import os
import signal
import sys

__all__ = ["SETTINGS_VARIABLE", "run_reporting", "run_service"]

if __name__ == "__main__":  # before the libraries are loaded, which takes long
    signal.pthread_sigmask(
        signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    )

SETTINGS_VARIABLE = "BANYANWHEEL_SETTINGS"


def run_service(environ, env):
    """Runs the role of the settings file until it is stopped; returns an ExitStatus.

    ``environ`` names the file; errors are written to the Environment ``env``.
    """
    from .settings import DispatcherSettings, from_file
    from .status import ExitStatus

    path = environ.get(SETTINGS_VARIABLE)
    if not path:
        env.report(f"{SETTINGS_VARIABLE} has to name the settings file")
        return ExitStatus.USAGE

    def run():
        settings = from_file(path, environ)
        if isinstance(settings, DispatcherSettings):
            from . import dispatcher as role
        else:
            from . import runner as role
        return role.run(settings, env)

    return run_reporting(run, env)


def run_reporting(action, env):
    """Returns the ExitStatus of ``action()``, whose errors are written to ``env``."""
    from banyanwheel_core.errors import BanyanwheelError, FindingsError

    from .status import ExitStatus

    try:
        status = action()
    except FindingsError as error:
        for finding in error.findings:
            env.report(finding)
        return ExitStatus.SETTINGS
    except BanyanwheelError as error:
        env.report(error)
        return ExitStatus.FAILED
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    return ExitStatus(status or 0)


def main():
    """Runs this process and exits with its status."""
    gc.disable()
    from .context import Environment

    sys.exit(run_service(os.environ, Environment.from_process()))


if __name__ == "__main__":
    main()
