import io
import json

import pytest

from banyanwheel_daemon.event_log import (
    CLIENT_LINES_PER_S,
    MAX_TEXT,
    ROUTINE_LINES_PER_S,
    EventLog,
)
from banyanwheel_daemon.logs import JsonLines
from banyanwheel_daemon.metrics import Metrics


class World:
    """An event log, its time and what it has written."""

    def __init__(self):
        self.second = 1.0
        self.log = EventLog(Metrics("one", "dispatcher"), lambda: self.second)
        self.stream = io.StringIO()

    def written(self, event):
        lines = map(json.loads, self.stream.getvalue().splitlines())
        return [line for line in lines if line["message_type"] == event]


@pytest.fixture
def world():
    world = World()
    lines = JsonLines(world.stream)
    lines.start()
    yield world
    lines.stop()


@pytest.mark.parametrize("event", ["client:refused", "request:invalid"])
def test_lines_that_clients_cause_leave_others_alone(world, event):
    """Crowds wrote a line for each request, or used up the lines of all others."""
    for _ in range(3 * ROUTINE_LINES_PER_S):
        world.log(event)
    world.log("task:started")
    assert len(world.written(event)) == CLIENT_LINES_PER_S
    assert len(world.written("task:started")) == 1
    world.second += 1
    world.log(event)
    (left_out,) = world.written("log:lines-left-out")
    assert left_out["lines"] == 3 * ROUTINE_LINES_PER_S - CLIENT_LINES_PER_S


def test_failures_are_always_written(world):
    for _ in range(2 * ROUTINE_LINES_PER_S):
        world.log("request:refused")
    assert len(world.written("request:refused")) == 2 * ROUTINE_LINES_PER_S


def test_a_long_text_is_cut(world):
    """A heartbeat of legal size wrote a line of 260 KB."""
    world.log("heartbeat:refused", service="x" * 260_000, reason="no-answer")
    (line,) = world.written("heartbeat:refused")
    assert line["service"] == "x" * MAX_TEXT + "…"
    assert line["reason"] == "no-answer"
