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
from banyanwheel_client.status import ExitStatus
from tests.client.fake_dispatcher import (
    JOB,
    JOB_ID,
    cut,
    dead_url,
    environment,
    hang,
)

ROWS = (
    '{"worker": "i-1", "free_cpu": 8}',
    '{"why": "' + "y" * 200 + '"}',
    '{"worker": "i-2", "state": "[x]"}',
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
            ["show", "jobs", "where", "queue", "~", "pri", "limit", "3"],
            'show jobs where queue ~ "pri" limit 3',
        ),
        (["ask", "show   processes"], "show processes"),
        (["why", JOB_ID], f"why {JOB_ID}"),
        (
            ["cancel", "jobs", "where", "queue=price"],
            'cancel jobs where queue = "price"',
        ),
        (["drain", "rack", "r-1"], "drain rack r-1"),
        (["undrain", "data-centre", "cairns"], "undrain data-centre cairns"),
    ],
)
def test_subcommands_send_the_language(tmp_path, dispatcher, jobs, arguments, text):
    env = environment(tmp_path)
    status = main([*arguments, "--dispatcher", dispatcher(rows=ROWS).url], env)
    assert status is ExitStatus.OK
    assert jobs.commands == [text]
    assert env.stdout.getvalue().splitlines() == [
        json.dumps(json.loads(row), separators=(",", ":")) for row in ROWS
    ]


@pytest.mark.parametrize("extra", [(), ("--id", JOB_ID)])
def test_a_job_is_asked_about_and_not_submitted(tmp_path, dispatcher, jobs, extra):
    env = environment(tmp_path, stdin=JOB)
    first, second = dispatcher(after=[cut]), dispatcher(rows=ROWS)
    urls = ["--dispatcher", first.url, "--dispatcher", second.url]
    assert main(["where", "-", *extra, *urls], env) is ExitStatus.OK
    assert {json.loads(text)["queue"] for text in jobs.commands} == {"counter"}
    assert not jobs.puts
    assert len(env.stdout.getvalue().splitlines()) == len(ROWS)


@pytest.mark.parametrize("text", ["{", '{"queue": "q", "steps": []}'])
def test_a_faulty_job_is_told_as_by_submit(tmp_path, dispatcher, text):
    told = []
    for subcommand in ("submit", "where"):
        env = environment(tmp_path, stdin=text)
        urls = ["--dispatcher", dispatcher(rows=ROWS).url]
        assert main([subcommand, "-", *urls], env) is ExitStatus.USAGE
        told.append(env.stderr.getvalue())
    assert told[0] == told[1] != ""


def test_a_person_sees_a_table(tmp_path, dispatcher):
    env = environment(tmp_path, terminal=True)
    assert (
        main(["show", "workers", "--dispatcher", dispatcher(rows=ROWS).url], env) == 0
    )
    assert all(
        word in env.stdout.getvalue() for word in ("worker", "i-2", "[x]", "y" * 200)
    )


def test_members_that_did_not_answer_are_named(tmp_path, dispatcher):
    env = environment(tmp_path)
    url = dispatcher(rows=[*ROWS, '{"incomplete": ["i-3"]}']).url
    assert main(["show", "workers", "--dispatcher", url], env) is ExitStatus.INCOMPLETE
    assert "i-3" in env.stderr.getvalue()
    assert "i-3" not in env.stdout.getvalue()


def test_a_question_is_repeated_through_the_next_dispatcher(tmp_path, dispatcher):
    env = environment(tmp_path)
    first, second = dispatcher(after=[cut]), dispatcher(rows=ROWS)
    urls = ["--dispatcher", first.url, "--dispatcher", second.url]
    assert main(["show", "workers", *urls], env) is ExitStatus.OK


@pytest.mark.parametrize(
    "arguments",
    [
        ["cancel", "jobs", "where", "queue=price"],
    ],
)
def test_a_change_is_not_repeated_after_a_lost_answer(
    tmp_path, dispatcher, jobs, arguments
):
    env = environment(tmp_path)
    first, second = dispatcher(after=[cut]), dispatcher(rows=ROWS)
    urls = [
        "--dispatcher",
        dead_url(),
        "--dispatcher",
        first.url,
        "--dispatcher",
        second.url,
    ]
    assert main([*arguments, *urls], env) is ExitStatus.UNKNOWN
    assert len(jobs.commands) == 1


def test_the_prompt_runs_line_by_line_and_goes_on_after_an_error(
    tmp_path, dispatcher, jobs
):
    lines = f"show job\n\nshow processes\nsubmit {JOB}\n"
    env = environment(tmp_path, stdin=lines)
    status = main(["prompt", "--dispatcher", dispatcher(rows=ROWS).url], env)
    assert status is ExitStatus.USAGE
    assert jobs.commands == ["show processes"]
    assert jobs.job_id
    assert env.stderr.getvalue().count("\n") == 1


def test_a_person_gets_a_prompt_with_history(tmp_path, dispatcher, jobs):
    env = environment(tmp_path, terminal=True)
    env.stdin.isatty = lambda: True
    arguments = ["prompt", "--dispatcher", dispatcher(rows=ROWS).url]
    with create_pipe_input() as keys, create_app_session(keys, DummyOutput()):
        keys.send_text("show quues\rshow processes\r\x04")
        assert main(arguments, env) is ExitStatus.OK
    assert jobs.commands == ["show processes"]
    assert "show quues\n     ^" in env.stderr.getvalue()
    assert "+show quues" in (tmp_path / "history").read_text()


def test_the_prompt_completes_the_word_at_the_cursor():
    document = Document("drain data-c")
    (completion,) = LanguageCompleter().get_completions(document, CompleteEvent())
    assert completion.text == "data-centre"
    assert completion.start_position == -len("data-c")


@pytest.mark.parametrize(
    ("lines", "words"),
    [
        (f"submit {JOB}", "interrupted, outcome unknown"),
        ("drain rack r-1", "banyanwheel: interrupted, outcome unknown"),
        ("show jobs", "banyanwheel: interrupted, nothing took effect"),
    ],
)
def test_an_interrupted_script_stops_and_tells_the_outcome(
    dispatcher, jobs, lines, words
):
    arguments = [
        "prompt",
        "--dispatcher",
        dispatcher(after=[hang]).url,
        "--try-timeout",
        "60",
    ]
    child = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, *arguments],
        stdin=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        # A shell's background job ignores SIGINT, and its children inherit that.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    child.stdin.write(f"{lines}\ncancel jobs where queue = price\n")
    child.stdin.flush()
    while not jobs.bodies and not jobs.commands and child.poll() is None:
        time.sleep(0.01)
    child.send_signal(signal.SIGINT)
    _, errors = child.communicate(timeout=60)
    assert child.returncode == ExitStatus.INTERRUPTED
    assert words in errors
    assert len(jobs.commands) + len(jobs.bodies) == 1
