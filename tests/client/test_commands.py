import json
import signal
import subprocess
import sys
import time

import pytest

from banyanwheel_client.__main__ import main
from banyanwheel_client.status import ExitStatus
from tests.client.fake_entry import (
    JOB,
    JOB_ID,
    cut,
    dead_url,
    environment,
    hang,
    refusal,
)

ROWS = ('{"worker": "gulf-1", "slots": 8}', '{"worker": "gulf-2", "state": "[x]"}')
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
        (["reconfigure", "-", "--from", "7"], 'reconfigure {"a":1} from 7'),
    ],
)
def test_subcommands_send_the_language(tmp_path, entry, jobs, arguments, text):
    env = environment(tmp_path, stdin='{"a": 1}')
    status = main([*arguments, "--entry", entry(rows=ROWS).url], env)
    assert status is ExitStatus.OK
    assert jobs.commands == [text]
    assert env.stdout.getvalue().splitlines() == [
        json.dumps(json.loads(row), separators=(",", ":")) for row in ROWS
    ]


def test_a_person_sees_a_table(tmp_path, entry):
    env = environment(tmp_path, terminal=True)
    assert main(["show", "workers", "--entry", entry(rows=ROWS).url], env) == 0
    assert all(word in env.stdout.getvalue() for word in ("worker", "gulf-2", "[x]"))


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


def test_an_interrupted_submission_names_the_job(entry, jobs, tmp_path):
    url = entry(after=[hang]).url
    job = tmp_path / "job.json"
    job.write_text(JOB)
    arguments = ["submit", str(job), "--entry", url, "--try-timeout", "60"]
    child = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, *arguments], stderr=subprocess.PIPE, text=True
    )
    while not jobs.bodies and child.poll() is None:
        time.sleep(0.01)
    child.send_signal(signal.SIGINT)
    _, errors = child.communicate(timeout=60)
    assert child.returncode == ExitStatus.INTERRUPTED
    assert f"{JOB_ID.format(1)}: interrupted, outcome unknown" in errors
