import io
import json
import os
import signal
import subprocess
import sys

import pytest

from banyanwheel_core.errors import ListenError
from banyanwheel_daemon.context import Environment
from banyanwheel_daemon.service import SETTINGS_VARIABLE, run_service
from banyanwheel_daemon.settings import DispatcherSettings, RunnerSettings
from banyanwheel_daemon.status import ExitStatus

COMMON = """
[process]
name = "side-1"
data_centre = "gulf-a"
address = "127.0.0.1:0"
[log]
address = "127.0.0.1:1"
partitions = 4
"""
SETTINGS = COMMON + '[worker]\nheartbeats = "127.0.0.1:0"\n'


@pytest.fixture
def env():
    return Environment(io.StringIO(), io.StringIO())


@pytest.fixture
def environ(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    return {SETTINGS_VARIABLE: str(path)}


@pytest.fixture
def run(monkeypatch):
    """Returns what the role was run with; ``run.error`` is raised by it."""
    calls = []

    def run(*arguments):
        calls.append(arguments)
        if run.error:
            raise run.error

    run.calls, run.error = calls, None
    monkeypatch.setattr("banyanwheel_daemon.dispatcher.run", run)
    monkeypatch.setattr("banyanwheel_daemon.runner.run", run)
    return run


@pytest.mark.parametrize(
    ("section", "kind"),
    [
        ('[worker]\nheartbeats = "127.0.0.1:0"\n', RunnerSettings),
        (
            '[callers]\nlisten = "127.0.0.1:0"\nready = "127.0.0.1:0"\n',
            DispatcherSettings,
        ),
    ],
)
def test_the_settings_that_the_environment_names_tell_the_role(
    env, environ, tmp_path, run, section, kind
):
    (tmp_path / "settings.toml").write_text(COMMON + section)
    assert run_service(environ, env) is ExitStatus.OK
    ((settings, given),) = run.calls
    assert (type(settings), settings.process.name, given) == (kind, "side-1", env)


@pytest.mark.parametrize("environ", [{}, {SETTINGS_VARIABLE: ""}])
def test_the_variable_is_required(env, environ):
    assert run_service(environ, env) is ExitStatus.USAGE
    assert env.stderr.getvalue() == (
        "banyanwheeld: BANYANWHEEL_SETTINGS has to name the settings file\n"
    )


def test_every_fault_of_the_settings_is_printed(env, environ, tmp_path, run):
    text = SETTINGS.replace("= 4", "= 0").replace('"side-1"', '""')
    (tmp_path / "settings.toml").write_text(text)
    assert run_service(environ, env) is ExitStatus.SETTINGS
    lines = env.stderr.getvalue().splitlines()
    assert len(lines) == 2
    assert all("settings.toml" in line for line in lines)
    assert run.calls == []


def test_an_error_of_the_role_is_printed_as_one_line(env, environ, run):
    run.error = ListenError("127.0.0.1:80:\n  permission denied")
    assert run_service(environ, env) is ExitStatus.FAILED
    assert env.stderr.getvalue() == "banyanwheeld: 127.0.0.1:80: permission denied\n"


def test_a_started_process_has_loaded_no_library_of_the_command_line(environ):
    process = subprocess.Popen(
        [sys.executable, "-X", "importtime", "-m", "banyanwheel_daemon.service"],
        env=os.environ | environ,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    first = json.loads(process.stdout.readline())
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=30)
    assert (first["message_type"], first["process"]) == ("process:started", "side-1")
    assert process.returncode == ExitStatus.OK
    imported = {line.rpartition("|")[2].strip() for line in errors.splitlines()}
    assert "banyanwheel_platform.http_server" in imported
    assert not imported & {"typer", "pydantic"}
