"""Signals that reach a process while it starts.

Until the interpreter runs the first statement of ``service.py``, signals have the
kernel's default action, and no code of this project can change that: SIGHUP and
SIGTERM then end the process without a line. So a signal is sent at its delay after the
start of the process; where the interpreter isn't that far yet, once SIGHUP has another
action or the first library is loaded.
"""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from banyanwheel_daemon.service import SETTINGS_VARIABLE
from banyanwheel_daemon.status import ExitStatus
from tests.standins.process import environment

COMMON = """
[process]
name = "one"
data_centre = "gulf-a"
address = "127.0.0.1:0"
[log]
address = "127.0.0.1:1"
partitions = 4
"""
SECTIONS = {
    "dispatcher": '[callers]\nlisten = "127.0.0.1:0"\nready = "127.0.0.1:0"\n',
    "runner": '[worker]\nheartbeats = "127.0.0.1:0"\n',
}
DELAYS_S = (0, 0.02, 0.05, 0.1, 0.2, 0.3)
HANG_S = 60
STOP_EVENTS = ["process:stopping", "process:stopped"]
HANGUP_BIT = 1 << (signal.SIGHUP - 1)
# Loaded before the first statement, or built into the interpreter.
EARLY_MODULES = {
    "banyanwheel_daemon",
    "banyanwheel_daemon.service",
    "_signal",
    "enum",
    "gc",
    "os",
    "signal",
    "sys",
}
# Writes the name of each module that is loaded while SIGHUP would end the process.
REPORT_LOADS = """
import _signal, runpy, sys

def report(event, arguments):
    blocked = _signal.pthread_sigmask(_signal.SIG_BLOCK, ())
    handled = _signal.getsignal(_signal.SIGHUP) != _signal.SIG_DFL
    if event == "import" and not handled and _signal.SIGHUP not in blocked:
        print(arguments[0], file=sys.stderr)

sys.addaudithook(report)
runpy.run_module("banyanwheel_daemon.service", run_name="__main__", alter_sys=True)
"""


@pytest.fixture(params=sorted(SECTIONS))
def variables(request, tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(COMMON + SECTIONS[request.param])
    return {SETTINGS_VARIABLE: str(path)}


@pytest.fixture
def start(variables):
    """Starts a process as the deploy file does; it is killed if the test fails."""
    children = []

    def start(*arguments):
        paths = (environment()["PYTHONPATH"], *sys.path)
        child = subprocess.Popen(
            [sys.executable, "-S", *arguments],
            env=os.environ | variables | {"PYTHONPATH": os.pathsep.join(paths)},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=restore_hangup,
        )
        children.append(child)
        return child

    yield start
    for child in children:
        if child.poll() is None:
            child.kill()
            child.communicate()


def restore_hangup():
    """Undoes what a child inherits if the tests run under nohup: SIGHUP ignored."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def start_and_signal(start, number, delay_s):
    """Starts a process and sends it a signal after a delay."""
    child = start("-m", "banyanwheel_daemon.service")
    time.sleep(delay_s)
    deadline = time.monotonic() + HANG_S
    while not (has_loaded_library(child.pid) or outlives_hangup(child.pid)):
        assert child.poll() is None
        assert time.monotonic() < deadline
    child.send_signal(number)
    return child


def has_loaded_library(pid):
    """Whether a process has loaded the first extension module that both roles need."""
    return "/msgspec/" in Path(f"/proc/{pid}/maps").read_text()


def outlives_hangup(pid):
    """Whether a process has blocked SIGHUP or handles it."""
    status = Path(f"/proc/{pid}/status").read_text()
    masks = dict(line.split(":", 1) for line in status.splitlines())
    return bool((int(masks["SigBlk"], 16) | int(masks["SigCgt"], 16)) & HANGUP_BIT)


def read_events(child, *, until):
    """Reads log lines up to the event ``until``; returns the events."""
    events = []
    while until not in events:
        line = child.stdout.readline()
        assert line, (child.wait(HANG_S), events, child.stderr.read())
        events.append(json.loads(line)["message_type"])
    return events


def outcome(child):
    """Waits for a process; returns its status, stop events and standard error."""
    output, errors = child.communicate(timeout=HANG_S)
    events = [json.loads(line)["message_type"] for line in output.splitlines()]
    return child.returncode, [event for event in events if event in STOP_EVENTS], errors


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_a_process_that_starts_outlives_a_hangup(start, delay_s):
    """The interpreter's default action ended it until its libraries were loaded."""
    child = start_and_signal(start, signal.SIGHUP, delay_s)
    read_events(child, until="process:reload-ignored")
    assert child.poll() is None


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_process_that_starts_is_stopped_in_order(start, number):
    """It was killed without a line, or ended with a traceback of its imports.

    The processes are stopped side by side, since a dispatcher takes some seconds.
    """
    children = {delay: start_and_signal(start, number, delay) for delay in DELAYS_S}
    outcomes = {delay: outcome(child) for delay, child in children.items()}
    assert outcomes == dict.fromkeys(DELAYS_S, (ExitStatus.OK, STOP_EVENTS, ""))


def test_a_hangup_while_a_process_starts_leaves_its_stop_as_it_is(start):
    child = start_and_signal(start, signal.SIGHUP, 0)
    child.terminate()
    assert outcome(child) == (ExitStatus.OK, STOP_EVENTS, "")


def test_signals_are_blocked_before_a_library_is_loaded(start):
    child = start("-c", REPORT_LOADS)
    read_events(child, until="process:started")
    child.terminate()
    _, errors = child.communicate(timeout=HANG_S)
    loaded = errors.splitlines()
    assert set(loaded[loaded.index("banyanwheel_daemon") :]) <= EARLY_MODULES
