import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
TESTS = "tests/core/test_documents.py"
REST = "pytest -k it, seed 1 | no answer | issue 7"


def collect(*options):
    command = [sys.executable, "-m", "pytest", "--collect-only", TESTS, *options]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    ids = [line for line in run.stdout.splitlines() if line.startswith(TESTS)]
    return run.returncode, ids, run.stdout + run.stderr


@pytest.fixture
def known_red(tmp_path):
    path = tmp_path / "known-red.txt"

    def write(text):
        path.write_text(text)
        return f"--known-red={path}"

    return write


def test_just_the_listed_test_is_passed_over_and_printed(known_red):
    _, ids, _ = collect()
    listed = next(test for test in ids if "[" in test)
    status, rest, output = collect(known_red(f"# why\n\n{listed} | {REST}\n"))
    assert status == 0
    assert sorted([*rest, listed]) == sorted(ids)
    assert f"not run: {listed}: no answer (issue 7)" in output


@pytest.mark.parametrize(
    ("text", "words"),
    [
        (f"{TESTS}::test_gone | {REST}", "without a test"),
        (f"{TESTS} | {REST}", "without a test"),
        (f"# why\n{TESTS}::test_gone", ":2: is not 'test | command"),
        (f"{TESTS}::test_gone | {REST} | ", "is not 'test | command"),
        (f"{TESTS}::test_gone | {REST}\n" * 2, ":2: "),
    ],
)
def test_a_faulty_list_is_an_error(known_red, text, words):
    status, ids, output = collect(known_red(text))
    assert status == pytest.ExitCode.USAGE_ERROR
    assert words in output
