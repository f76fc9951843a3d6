import io
import sys
from types import ModuleType

import pytest

import banyanwheel_daemon
from banyanwheel_core.errors import ListenError
from banyanwheel_daemon.__main__ import main
from banyanwheel_daemon.context import Environment
from banyanwheel_daemon.settings import DispatcherSettings, RunnerSettings
from banyanwheel_daemon.status import ExitStatus

PROCESS = """
[process]
name = "front-1"
data_centre = "gulf-a"
address = "127.0.0.1:0"
[log]
address = "127.0.0.1:1"
partitions = 4
"""
DISPATCHER = PROCESS + '[callers]\nlisten = "127.0.0.1:0"\nready = "127.0.0.1:0"\n'
RUNNER = PROCESS + '[worker]\nheartbeats = "127.0.0.1:0"\n'


@pytest.fixture
def env():
    return Environment(io.StringIO(), io.StringIO())


@pytest.fixture
def write(tmp_path):
    def write(text):
        path = tmp_path / "settings.toml"
        path.write_text(text)
        return str(path)

    return write


@pytest.fixture
def role_module(monkeypatch):
    """Returns a function that replaces a role's module by one with just ``run``."""

    def install(role, run):
        name = f"banyanwheel_daemon.{role}"
        module = ModuleType(name)
        module.run = run
        monkeypatch.setitem(sys.modules, name, module)
        monkeypatch.setattr(banyanwheel_daemon, role, module, raising=False)

    return install


@pytest.mark.parametrize(
    ("role", "text", "kind"),
    [
        ("dispatcher", DISPATCHER, DispatcherSettings),
        ("runner", RUNNER, RunnerSettings),
    ],
)
def test_a_role_runs_with_its_settings(env, write, role_module, role, text, kind):
    calls = []
    role_module(role, lambda *args: calls.append(args))
    assert main([role, "--settings", write(text)], env) is ExitStatus.OK
    ((settings, given),) = calls
    assert isinstance(settings, kind)
    assert given is env


def test_an_error_of_a_role_is_printed_as_one_line(env, write, role_module):
    def run(settings, env):
        raise ListenError("127.0.0.1:80:\n  permission denied")

    role_module("dispatcher", run)
    assert (
        main(["dispatcher", "--settings", write(DISPATCHER)], env) is ExitStatus.FAILED
    )
    assert env.stderr.getvalue() == ("banyanwheeld: 127.0.0.1:80: permission denied\n")


@pytest.mark.parametrize(
    ("role", "stream"), [("check", "stdout"), ("dispatcher", "stderr")]
)
def test_every_fault_of_the_settings_is_printed_with_its_place(
    env, write, role, stream
):
    path = write(DISPATCHER.replace('"gulf-a"', "3").replace("listen", "lisen"))
    args = [role, path] if role == "check" else [role, "--settings", path]
    assert main(args, env) is ExitStatus.SETTINGS
    lines = getattr(env, stream).getvalue().splitlines()
    assert any(f"{path}:4: process.data_centre" in line for line in lines)
    assert any("callers.lisen" in line and "'listen'" in line for line in lines)


def test_valid_settings_print_nothing(env, write):
    assert main(["check", write(RUNNER)], env) is ExitStatus.OK
    assert env.stdout.getvalue() == env.stderr.getvalue() == ""


@pytest.mark.parametrize("args", [[], ["nonsense"], ["dispatcher"], ["check"]])
def test_a_wrong_command_line_is_a_usage_error(env, args):
    assert main(args, env) is ExitStatus.USAGE
    assert env.stderr.getvalue().startswith("banyanwheeld: ")


def test_the_version_is_printed(env):
    assert main(["--version"], env) is ExitStatus.OK
    assert env.stdout.getvalue().startswith("banyanwheeld ")
