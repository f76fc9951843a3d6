import io
import json

import pytest

from banyanwheel_client.__main__ import main
from banyanwheel_client.context import Environment
from banyanwheel_client.errors import UsageError
from banyanwheel_client.status import ExitStatus
from banyanwheel_client.story import Story

JOB = "a" * 16


def write(directory, name, *lines):
    path = directory / f"{name}.log"
    path.write_text("\n".join(json.dumps(line) for line in lines))
    return str(path)


def line(timestamp, event, **fields):
    return {"timestamp": timestamp, "message_type": event, **fields}


def events(story):
    return [(row["process"], row["event"]) for row in story.rows]


def test_lines_of_a_job_its_tasks_and_no_others_are_told_in_order(tmp_path):
    front = write(
        tmp_path,
        "front",
        line(1.0, "request:run", job=JOB),
        line(1.1, "request:run", job="b" * 16),
        line(3.0, "job:ended", job=JOB, state="completed"),
    )
    side = write(tmp_path, "side", line(2.0, "run:ended", task=f"{JOB}.0.0.1", run=1))
    story = Story.from_files(JOB, [side, front])
    assert events(story) == [
        ("front", "request:run"),
        ("side", "run:ended"),
        ("front", "job:ended"),
    ]


def test_a_clock_that_jumps_back_does_not_change_the_order_of_a_file(tmp_path):
    front = write(
        tmp_path,
        "front",
        line(10.0, "request:run", job=JOB),
        line(8.0, "task:placed", job=JOB),
        line(8.1, "job:ended", job=JOB),
    )
    story = Story.from_files(JOB, [front])
    assert [event for _, event in events(story)] == [
        "request:run",
        "task:placed",
        "job:ended",
    ]


def test_gaps_and_unreadable_lines_are_told(tmp_path):
    front = write(
        tmp_path,
        "front",
        line(1.0, "request:run", job=JOB),
        line(2.0, "log:lines-left-out", lines=7),
        line(3.0, "job:ended", job=JOB),
    )
    with open(front, "a") as stream:
        stream.write('\n{"cut off')
    story = Story.from_files(JOB, [front])
    assert [row.get("lines") for row in story.rows] == [None, 7, None]
    assert story.unreadable == 1


def test_a_missing_file_is_named():
    with pytest.raises(UsageError, match="nowhere.log"):
        Story.from_files(JOB, ["nowhere.log"])


def test_the_command_prints_json_lines(tmp_path):
    front = write(tmp_path, "front", line(1.0, "request:run", job=JOB, tasks=8))
    env = Environment(io.StringIO(), io.StringIO(), io.StringIO(), tmp_path)
    assert main(["explain", JOB, front], env) is ExitStatus.OK
    assert json.loads(env.stdout.getvalue()) == {
        "time": 1.0,
        "process": "front",
        "event": "request:run",
        "tasks": 8,
    }
