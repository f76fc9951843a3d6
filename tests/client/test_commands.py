import asyncio
import json
import signal
import subprocess
import sys
import time

import pytest
from prompt_toolkit.application import create_app_session
from prompt_toolkit.completion import CompleteEvent
from prompt_toolkit.document import Document
from prompt_toolkit.input import create_pipe_input
from prompt_toolkit.output import DummyOutput

from banyanwheel_client.__main__ import main
from banyanwheel_client.cli.prompt import LanguageCompleter
from banyanwheel_client.client import Client, ClientSettings
from banyanwheel_client.errors import UnreachableError
from banyanwheel_client.status import ExitStatus
from banyanwheel_core.language import parse
from banyanwheel_daemon import log_service, publisher
from tests.client.fake_entry import (
    IMPATIENT_S,
    JOB,
    JOB_ID,
    cut,
    dawdle,
    dead_url,
    environment,
    hang,
    refusal,
)

ROWS = (
    '{"worker": "gulf-1", "slots": 8}',
    '{"why": "' + "y" * 200 + '"}',
    '{"worker": "gulf-2", "state": "[x]"}',
)
PROGRAM = f"""
import sys
sys.path[:0] = {sys.path!r}
from banyanwheel_client.__main__ import run
run()
"""


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (
            ["show", "jobs", "where", "kind", "~", "pri", "limit", "3"],
            'show jobs where kind ~ "pri" limit 3',
        ),
        (["ask", "show   members"], "show members"),
        (["why", JOB_ID.format(1)], f"why {JOB_ID.format(1)}"),
        (["cancel", "jobs", "where", "kind=price"], 'cancel jobs where kind = "price"'),
        (["drain", "rack", "r-1"], "drain rack r-1"),
        (["undrain", "data-centre", "cairns"], "undrain data-centre cairns"),
    ],
)
def test_subcommands_send_the_language(tmp_path, entry, jobs, arguments, text):
    env = environment(tmp_path)
    status = main([*arguments, "--entry", entry(rows=ROWS).url], env)
    assert status is ExitStatus.OK
    assert jobs.commands == [text]
    assert env.stdout.getvalue().splitlines() == [
        json.dumps(json.loads(row), separators=(",", ":")) for row in ROWS
    ]


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("new.toml", "[limits]\nmax_tasks = 5\n"),
        ("new.json", '{"limits": {"max_tasks": 5}}'),
    ],
)
def test_a_configuration_file_is_published(tmp_path, entry, jobs, name, text):
    path = tmp_path / name
    path.write_text(text)
    env = environment(tmp_path)
    arguments = ["reconfigure", str(path), "--from", "-1", "--entry", entry().url]
    assert main(arguments, env) is ExitStatus.OK
    command = parse(jobs.commands[0])
    assert (command.base, command.document["limits"]["max_tasks"]) == (-1, 5)


def test_all_faults_of_a_configuration_file_are_told_with_their_lines(tmp_path, entry):
    path = tmp_path / "new.toml"
    path.write_text("[limits]\nmax_tasks = 0\n\n[drains]\nwokers = []\n")
    env = environment(tmp_path)
    arguments = ["reconfigure", str(path), "--entry", entry().url]
    assert main(arguments, env) is ExitStatus.USAGE
    assert f"{path}:2" in env.stderr.getvalue()
    assert f"{path}:5" in env.stderr.getvalue()


def test_a_person_sees_a_table(tmp_path, entry):
    env = environment(tmp_path, terminal=True)
    assert main(["show", "workers", "--entry", entry(rows=ROWS).url], env) == 0
    assert all(
        word in env.stdout.getvalue() for word in ("worker", "gulf-2", "[x]", "y" * 200)
    )


def test_members_that_did_not_answer_are_named(tmp_path, entry):
    env = environment(tmp_path)
    url = entry(rows=[*ROWS, '{"incomplete": ["gulf-3"]}']).url
    assert main(["show", "workers", "--entry", url], env) is ExitStatus.INCOMPLETE
    assert "gulf-3" in env.stderr.getvalue()
    assert "gulf-3" not in env.stdout.getvalue()


def test_a_question_is_repeated_through_the_next_entry(tmp_path, entry):
    env = environment(tmp_path)
    first, second = entry(after=[cut]), entry(rows=ROWS)
    urls = ["--entry", first.url, "--entry", second.url]
    assert main(["show", "workers", *urls], env) is ExitStatus.OK


@pytest.mark.parametrize(
    "arguments",
    [
        ["drain", "rack", "r-1"],
        ["cancel", "jobs", "where", "kind=price"],
        ["reconfigure", "-"],
    ],
)
def test_a_change_is_not_repeated_after_a_lost_answer(tmp_path, entry, jobs, arguments):
    env = environment(tmp_path, stdin="{}")
    first, second = entry(after=[cut]), entry(rows=ROWS)
    urls = ["--entry", dead_url(), "--entry", first.url, "--entry", second.url]
    assert main([*arguments, *urls], env) is ExitStatus.UNKNOWN
    assert len(jobs.commands) == 1


def run_impatiently(entry, text):
    async def run():
        client = Client(ClientSettings((entry.url,), try_timeout=IMPATIENT_S))
        try:
            return await client.command(parse(text))
        finally:
            client.close()

    return asyncio.run(run())


@pytest.mark.parametrize(
    "text", ["drain rack r/r-1", "undrain worker w-1", "reconfigure {}"]
)
def test_a_change_of_the_configuration_has_a_longer_timeout(entry, text):
    assert run_impatiently(entry(before=[dawdle]), text).rows == ()


def test_other_commands_have_the_timeout_of_a_try(entry):
    with pytest.raises(UnreachableError):
        run_impatiently(entry(before=[dawdle] * 2), "show workers")


def test_a_timeout_that_is_asked_for_holds_for_a_change(tmp_path, entry):
    env = environment(tmp_path)
    options = ["--entry", entry(before=[dawdle]).url, "--try-timeout", str(IMPATIENT_S)]
    assert main(["drain", "worker", "w-1", *options], env) is ExitStatus.UNKNOWN


def test_a_change_is_awaited_until_an_entry_gives_up_on_the_log():
    one_append = log_service.REQUEST_TIMEOUT_S + publisher.LOST_ANSWER_WAIT_S
    verdict = publisher.APPEND_ATTEMPTS * one_append + publisher.VERDICT_WAIT_S
    assert ClientSettings(()).change_timeout > verdict


def test_a_conflict_has_its_own_status(tmp_path, entry):
    env = environment(tmp_path, stdin="{}")
    url = entry(before=[refusal("", "not-run", 409)]).url
    assert main(["reconfigure", "-", "--entry", url], env) is ExitStatus.CONFLICT


def test_the_prompt_runs_line_by_line_and_goes_on_after_an_error(tmp_path, entry, jobs):
    lines = f"show job\n\nshow members\nsubmit {JOB}\n"
    env = environment(tmp_path, stdin=lines)
    status = main(["prompt", "--entry", entry(rows=ROWS).url], env)
    assert status is ExitStatus.USAGE
    assert jobs.commands == ["show members"]
    assert list(jobs.bodies) == [JOB_ID.format(1)]
    assert env.stderr.getvalue().count("\n") == 1


def test_a_person_gets_a_prompt_with_history(tmp_path, entry, jobs):
    env = environment(tmp_path, terminal=True)
    env.stdin.isatty = lambda: True
    arguments = ["prompt", "--entry", entry(rows=ROWS).url]
    with create_pipe_input() as keys, create_app_session(keys, DummyOutput()):
        keys.send_text("show knid\rshow members\r\x04")
        assert main(arguments, env) is ExitStatus.OK
    assert jobs.commands == ["show members"]
    assert "show knid\n     ^" in env.stderr.getvalue()
    assert "+show knid" in (tmp_path / "history").read_text()


def test_the_prompt_completes_the_word_at_the_cursor():
    document = Document("drain data-c")
    (completion,) = LanguageCompleter().get_completions(document, CompleteEvent())
    assert completion.text == "data-centre"
    assert completion.start_position == -len("data-c")


@pytest.mark.parametrize(
    ("lines", "words"),
    [
        (f"submit {JOB}", f"{JOB_ID.format(1)}: interrupted, outcome unknown"),
        ("drain rack r-1", "banyanwheel: interrupted, outcome unknown"),
        ("show jobs", "banyanwheel: interrupted, nothing took effect"),
    ],
)
def test_an_interrupted_script_stops_and_tells_the_outcome(entry, jobs, lines, words):
    arguments = ["prompt", "--entry", entry(after=[hang]).url, "--try-timeout", "60"]
    child = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, *arguments],
        stdin=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    child.stdin.write(f"{lines}\ncancel jobs where kind = price\n")
    child.stdin.flush()
    while not jobs.bodies and not jobs.commands and child.poll() is None:
        time.sleep(0.01)
    child.send_signal(signal.SIGINT)
    _, errors = child.communicate(timeout=60)
    assert child.returncode == ExitStatus.INTERRUPTED
    assert words in errors
    assert len(jobs.commands) + len(jobs.bodies) == 1
