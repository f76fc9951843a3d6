import json

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


def submit(tmp_path, *urls, options=(), job=JOB):
    env = environment(tmp_path, stdin=job)
    entries = [part for url in urls for part in ("--entry", url)]
    return main(["submit", "-", *entries, *options], env), env


def test_a_job_is_submitted_under_an_id_issued_before(tmp_path, entry, jobs):
    status, env = submit(tmp_path, entry().url)
    assert status is ExitStatus.OK
    assert json.loads(env.stdout.getvalue())["results"] == [{"price": 7}]
    assert jobs.puts == [JOB_ID.format(1)]
    assert json.loads(jobs.bodies[JOB_ID.format(1)])["kind"] == "price"


@pytest.mark.parametrize("fault", [cut, hang, lambda handler: handler.send_error(502)])
def test_a_lost_answer_is_fetched_by_the_same_id_through_the_next_entry(
    tmp_path, entry, jobs, fault
):
    first, second = entry(after=[fault]), entry()
    status, env = submit(
        tmp_path, first.url, second.url, options=["--try-timeout", "1"]
    )
    assert status is ExitStatus.OK
    assert jobs.puts == [JOB_ID.format(1)] * 2
    assert list(jobs.bodies) == [JOB_ID.format(1)]


def test_a_dead_entry_is_passed_over(tmp_path, entry):
    env = environment(
        tmp_path, stdin=JOB, BANYANWHEEL_ENTRIES=f"{dead_url()},{entry().url}"
    )
    assert main(["submit", "-"], env) is ExitStatus.OK


def test_entries_that_are_all_dead_are_unreachable(tmp_path):
    status, env = submit(tmp_path, dead_url(), dead_url())
    assert status is ExitStatus.UNREACHABLE
    assert env.stderr.getvalue().startswith("banyanwheel: no entry answered")
    assert env.stderr.getvalue().count("\n") == 1


@pytest.mark.parametrize(
    ("reason", "outcome", "code", "status"),
    [
        ("queue-full", "not-run", 429, ExitStatus.REFUSED),
        ("task-failed", "ran", 500, ExitStatus.FAILED),
        ("coordinator-gone", "unknown", 503, ExitStatus.UNKNOWN),
        ("id-conflict", "not-run", 409, ExitStatus.CONFLICT),
        ("cancelled", "not-run", 409, ExitStatus.REFUSED),
        ("cancelled", "unknown", 409, ExitStatus.UNKNOWN),
        ("expired-id", "", 410, ExitStatus.UNKNOWN),
    ],
)
def test_each_outcome_has_its_exit_status(
    tmp_path, entry, jobs, reason, outcome, code, status
):
    fault = refusal(reason, outcome, code)
    got, env = submit(tmp_path, entry(before=[fault]).url, options=["--json"])
    assert got is status
    assert json.loads(env.stdout.getvalue())["reason"] == reason
    assert env.stderr.getvalue().startswith(f"banyanwheel: {reason}")
    assert jobs.bodies == {}


def test_a_refusal_is_retried_under_a_fresh_id_within_the_patience(
    tmp_path, entry, jobs
):
    fault = refusal("queue-full", "not-run", 429, Retry_After="0")
    url = entry(before=[fault, fault]).url
    status, _ = submit(tmp_path, url, options=["--patience", "60"])
    assert status is ExitStatus.OK
    assert jobs.puts == [JOB_ID.format(number) for number in (1, 2, 3)]


def test_a_refusal_is_final_without_patience(tmp_path, entry, jobs):
    fault = refusal("queue-full", "not-run", 429, Retry_After="0")
    status, _ = submit(tmp_path, entry(before=[fault]).url)
    assert status is ExitStatus.REFUSED
    assert len(jobs.puts) == 1


def test_a_stopping_entry_is_passed_over_by_the_same_id(tmp_path, entry, jobs):
    fault = refusal("stopping", "not-run", Retry_After="1")
    status, _ = submit(tmp_path, entry(before=[fault]).url, entry().url)
    assert status is ExitStatus.OK
    assert jobs.puts == [JOB_ID.format(1)] * 2


def test_not_run_by_a_stopping_entry_is_not_believed_after_a_lost_answer(
    tmp_path, entry, jobs
):
    stopping = refusal("stopping", "not-run")
    first, second = entry(after=[cut]), entry(before=[stopping])
    status, _ = submit(tmp_path, first.url, second.url)
    assert status is ExitStatus.OK
    assert jobs.puts == [JOB_ID.format(1)] * 3


def test_answers_that_stay_lost_leave_the_outcome_unknown(
    tmp_path, entry, jobs, monkeypatch
):
    monkeypatch.setattr("banyanwheel_client.client.GRACE_S", 0)
    job = json.dumps({**json.loads(JOB), "deadline_ms": 1})
    status, env = submit(tmp_path, entry(after=[cut] * 1000).url, job=job)
    assert status is ExitStatus.UNKNOWN
    assert JOB_ID.format(1) in env.stderr.getvalue()
    assert list(jobs.bodies) == [JOB_ID.format(1)]


def test_a_job_of_two_tasks_that_says_idempotent_is_not_sent(tmp_path, entry, jobs):
    job = json.dumps({**json.loads(JOB), "tasks": [{}, {}], "idempotent": True})
    status, env = submit(tmp_path, entry().url, job=job)
    assert status is ExitStatus.USAGE
    assert "idempotent: only a job of one task" in env.stderr.getvalue()
    assert jobs.issued == 0


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        ([], "Missing command"),
        (["submit", "-"], "no entry"),
        (["submit", "-", "--entry", "ftp://x"], "not an http"),
        (["submit", "-", "--entry", "http://x:y"], "not an http"),
        (["submit", "absent.json", "--entry", "http://x"], "No such file"),
        (["submit", "-", "--entry", "http://x"], "$.tasks"),
        (["show", "job", "--entry", "http://x"], '1:6: no table "job"'),
        (["nothing"], "No such command"),
    ],
)
def test_wrong_use_is_told_in_one_line(tmp_path, arguments, words):
    env = environment(tmp_path, stdin=JOB.replace("{}", "3"))
    assert main(arguments, env) is ExitStatus.USAGE
    assert words in env.stderr.getvalue()
    assert env.stderr.getvalue().count("\n") == 1


def test_an_entry_without_ids_is_passed_over(tmp_path, entry, jobs):
    fault = refusal("no-coordinator", "not-run", Retry_After="1")
    status, _ = submit(tmp_path, entry(ids=[fault]).url, entry().url)
    assert status is ExitStatus.OK
    status, _ = submit(tmp_path, entry(ids=[fault]).url)
    assert status is ExitStatus.REFUSED


def test_a_balancer_that_lost_its_entry_is_asked_again(tmp_path, entry, jobs):
    def bad_gateway(handler):
        handler.send_error(502)

    url = entry(ids=[bad_gateway], after=[bad_gateway]).url
    status, _ = submit(tmp_path, url)
    assert status is ExitStatus.OK
    assert list(jobs.bodies) == jobs.puts[:1] == jobs.puts[1:]
