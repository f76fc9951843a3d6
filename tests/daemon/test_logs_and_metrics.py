import io
import json
import subprocess
import sys

from eliot import log_message

from banyanwheel_daemon.logs import JsonLines
from banyanwheel_daemon.metrics import REFUSALS, Metrics
from tests.standins.process import environment


def test_messages_are_written_as_json_lines_until_stop():
    stream = io.StringIO()
    lines = JsonLines(stream)
    lines.start()
    log_message("job:ended", job="job-1", tasks=3)
    lines.stop()
    log_message("job:ended", job="job-2")
    (line,) = stream.getvalue().splitlines()
    message = json.loads(line)
    assert (message["message_type"], message["job"]) == ("job:ended", "job-1")
    assert message["tasks"] == 3


def test_counters_by_reason_gauges_and_totals_are_rendered():
    metrics = Metrics("dispatcher-1", "dispatcher")
    metrics.count(REFUSALS, "too-late")
    metrics.count(REFUSALS, "too-late", 2)
    metrics.gauge("banyanwheel.free.room", lambda: 7)
    text = metrics.render().decode()
    assert metrics.totals == {(REFUSALS, "too-late"): 3}
    metrics.close()
    (counted,) = [line for line in text.splitlines() if 'reason="too-late"' in line]
    assert counted.startswith("banyanwheel_refusals_total")
    assert counted.endswith(" 3.0")
    assert any(
        line.startswith("banyanwheel_free_room") and line.endswith(" 7.0")
        for line in text.splitlines()
    )


def test_values_from_before_the_first_rendering_are_kept():
    metrics = Metrics("dispatcher-1", "dispatcher")
    metrics.count(REFUSALS, "too-late")
    metrics.observe("banyanwheel.request.duration", 0.2, queue="q")
    metrics.render()
    metrics.count(REFUSALS, "too-late", 2)
    metrics.observe("banyanwheel.request.duration", 0.4, queue="q")
    text = metrics.render().decode()
    metrics.close()
    lines = text.splitlines()
    assert any(
        line.startswith(REFUSALS.replace(".", "_")) and line.endswith(" 3.0")
        for line in lines
    )
    (count,) = [
        line
        for line in lines
        if line.startswith("banyanwheel_request_duration") and "_count" in line
    ]
    assert count.endswith(" 2.0")


def test_roles_do_not_import_opentelemetry_or_lark():
    """Importing them takes a sixth of the start of a process."""
    code = (
        "import sys; import banyanwheel_daemon.dispatcher, banyanwheel_daemon.runner;"
        "sys.exit(any(m.startswith(('opentelemetry', 'lark')) for m in sys.modules))"
    )
    run = subprocess.run([sys.executable, "-c", code], env=environment(), check=False)
    assert run.returncode == 0
