import io
import json

from banyanwheel_core.models import Reason
from banyanwheel_daemon.logs import Branch, JsonLines, continue_job
from banyanwheel_daemon.metrics import REFUSALS, Metrics


def test_the_parts_of_a_job_are_json_lines_under_the_job_id():
    stream = io.StringIO()
    lines = JsonLines(stream)
    lines.start()
    with continue_job("job-1", Branch.ENTRY, "entry-1", tasks=3):
        pass
    continue_job("job-1", Branch.EXECUTOR, "agent-1").finish()
    lines.stop()
    messages = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert {message["task_uuid"] for message in messages} == {"job-1"}
    levels = [tuple(message["task_level"]) for message in messages]
    assert len(set(levels)) == 4
    assert messages[0]["tasks"] == 3


def test_counters_by_reason_gauges_and_totals_are_rendered():
    metrics = Metrics("agent-1", "agent")
    metrics.count(REFUSALS, Reason.QUOTA)
    metrics.count(REFUSALS, Reason.QUOTA, 2)
    metrics.gauge("banyanwheel.free.slots", lambda: 7)
    metrics.total("banyanwheel.bytes", lambda: 9)
    text = metrics.render().decode()
    metrics.close()
    (counted,) = [line for line in text.splitlines() if 'reason="quota"' in line]
    assert counted.startswith("banyanwheel_refusals_total")
    assert counted.endswith(" 3.0")
    assert any(
        line.startswith("banyanwheel_free_slots") and line.endswith(" 7.0")
        for line in text.splitlines()
    )
    assert "# TYPE banyanwheel_bytes_total counter" in text
