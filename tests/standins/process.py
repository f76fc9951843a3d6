"""Starting real processes, and ending just those that were started."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

__all__ = ["STOP_TIMEOUT_S", "Process", "StandIns"]

STOP_TIMEOUT_S = 60
ROOT = Path(__file__).resolve().parents[2]
PACKAGES = [
    *(ROOT / "packages" / name for name in ("core", "jobs", "daemon", "client")),
    ROOT / "platform",
]


class Process:
    """One child process; ``ready`` is the object of its ready line."""

    def __init__(self, name, arguments, errors, output=subprocess.PIPE, variables=None):
        self.name = name
        self.ready = {}
        self._asked = False
        self._errors = Path(errors)
        with self._errors.open("ab") as stream:
            self._child = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=environment() | (variables or {}),
                stdout=output,
                stderr=stream,
                text=True,
            )

    @property
    def pid(self):
        """The process id."""
        return self._child.pid

    @property
    def running(self):
        """Whether the process has not ended."""
        return self._child.poll() is None

    def wait_ready(self):
        """Reads the ready line; raises RuntimeError if the process ends first."""
        line = self._child.stdout.readline()
        if not line:
            self._child.wait(STOP_TIMEOUT_S)
            raise RuntimeError(f"{self.name} did not start: {self.errors()}")
        self.ready = json.loads(line)
        return self

    def errors(self):
        """What the process wrote to its standard error."""
        return self._errors.read_text()

    def send_kill(self):
        """Has the process end at once, without waiting for it."""
        self._child.kill()

    def kill(self):
        """Ends the process at once."""
        self.send_kill()
        self._child.wait()

    def freeze(self):
        """Stops the process where it is until :meth:`thaw`."""
        os.kill(self.pid, signal.SIGSTOP)

    def thaw(self):
        """Lets a frozen process go on."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self):
        """Asks the process to stop gracefully, once."""
        if self.running and not self._asked:
            self._asked = True
            self._child.terminate()

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Waits for the end; returns the exit status, or None if it runs on."""
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def ask_to_stop(self):
        """Asks the process to stop, also where it is frozen."""
        if self.running:
            self.thaw()
            self.terminate()

    def close(self):
        """Ends the process in any state and releases its pipe."""
        self.ask_to_stop()
        if self.wait() is None:
            self.kill()
        if self._child.stdout is not None:
            self._child.stdout.close()


def environment():
    """The environment of a child, in which the packages of this tree win."""
    path = os.pathsep.join(str(part) for part in (ROOT, *PACKAGES))
    return {**os.environ, "PYTHONPATH": path}


class StandIns:
    """Starts stand-ins, and ends them all when its context ends."""

    def __init__(self, directory):
        self._directory = Path(directory)
        self._processes = []

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for process in self._processes:
            process.close()

    def start(self, module, **options):
        """Starts ``tests.standins.<module>`` and waits until it listens."""
        return self.launch(module, **options).wait_ready()

    def launch(self, module, **options):
        """Starts ``tests.standins.<module>`` without waiting.

        ``label`` names the process where it has no name of its own.
        """
        arguments = ["-m", f"tests.standins.{module}"]
        label = options.pop("label", "")
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        name = label or options.get("name", module)
        process = Process(name, arguments, self._directory / f"{name}.err")
        self._processes.append(process)
        return process
