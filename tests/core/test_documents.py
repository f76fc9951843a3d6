import json

import pytest

from banyanwheel_core.documents import (
    MAX_TASKS,
    ConfigurationDocument,
    JobDocument,
    StepDocument,
)
from banyanwheel_core.errors import FindingsError
from banyanwheel_core.findings import MAX_FINDINGS

NESTED = "[" * 5000 + "1" + "]" * 5000
QUEUE = '{"name": "q", "host": "h", "prefix": "/p/", "service": "s"}'


def places(caught):
    return {finding.place for finding in caught.value.findings}


def test_a_job_has_defaults():
    job = JobDocument.from_json(b'{"queue": "counter", "steps": [{"cpu": 100}]}')
    assert job.steps == (StepDocument(cpu=100),)
    assert (job.spec, job.transient) == ("", False)


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ('{"steps": [{}]}', "queue"),
        ('{"queue": "q"}', "steps"),
        ('{"queue": "q", "steps": []}', "steps"),
        ('{"queue": "q", "steps": [{"count": 0}]}', "steps[0].count"),
        ('{"queue": "q", "steps": [{"cpu": -1}]}', "steps[0].cpu"),
        ('{"queue": "q", "steps": [{"cpu": "much"}]}', "steps[0].cpu"),
        ('{"queue": "q", "steps": [{"cup": 1}]}', "steps[0].cup"),
        ('{"queue": "q", "steps": [{"after": [0]}]}', "steps[0].after[0]"),
        ('{"queue": "q", "steps": [{"count": 10001}]}', "steps"),
        ('{"queue": "q", "steps": [{}], "spec": "%s"}' % ("x" * 4001), "spec"),
        ("{", "syntax"),
        ("[]", ""),
        (f'{{"queue": "q", "steps": {NESTED}}}', "syntax"),
    ],
)
def test_a_fault_of_a_job_is_told_with_its_place(text, place):
    with pytest.raises(FindingsError) as caught:
        JobDocument.from_json(text.encode())
    assert places(caught) == {place}


def test_all_faults_of_a_job_are_told_together():
    text = b'{"queue": 3, "steps": [{"cpu": -1}, {"gpus": "one"}], "stored": true}'
    with pytest.raises(FindingsError) as caught:
        JobDocument.from_json(text)
    assert places(caught) == {"queue", "steps[0].cpu", "steps[1].gpus", "stored"}


@pytest.mark.parametrize(
    "steps",
    [
        [0] * 9_000,
        [{"after": [9] * 9_000}],
        [{"after": [-1] * 9_000}],
        [{f"x{number}": 1 for number in range(9_000)}],
    ],
    ids=["steps", "later", "negative", "unknown"],
)
def test_the_first_faults_of_many_are_told(steps):
    """Those of one body took 300 MB."""
    text = json.dumps({"queue": "q", "steps": steps})
    with pytest.raises(FindingsError) as caught:
        JobDocument.from_json(text.encode())
    assert len(caught.value.findings) == MAX_FINDINGS


def test_more_steps_than_tasks_are_one_fault():
    text = json.dumps({"queue": "q", "steps": [{}] * (MAX_TASKS + 1)})
    with pytest.raises(FindingsError, match="10001 entries, more than 10000") as caught:
        JobDocument.from_json(text.encode())
    assert places(caught) == {"steps"}


def test_a_configuration_is_read_from_toml_and_json():
    toml = '[[queues]]\nname = "q"\nhost = "h"\nprefix = "/p/"\nservice = "s"\n'
    read = ConfigurationDocument.from_toml(toml)
    assert read == ConfigurationDocument.from_json(b'{"queues": [%s]}' % QUEUE.encode())
    assert read.queues[0].max_attempts == 1
    assert read.version is None


def test_faults_of_a_configuration_have_their_lines():
    toml = '[[queues]]\nname = "q"\nhots = "h"\nprefix = "p"\nservice = "s"\n'
    with pytest.raises(FindingsError) as caught:
        ConfigurationDocument.from_toml(toml, "new.toml")
    found = {(finding.place, finding.line) for finding in caught.value.findings}
    assert ("queues[0].hots", 3) in found
    assert ("queues[0].prefix", 4) in found
    assert {place for place, _ in found} >= {"queues[0].host"}


def test_a_queue_is_named_once():
    with pytest.raises(FindingsError) as caught:
        ConfigurationDocument.from_json(f'{{"queues": [{QUEUE}, {QUEUE}]}}'.encode())
    assert places(caught) == {"queues[1].name"}


def test_a_document_that_is_too_large_is_not_read():
    with pytest.raises(FindingsError) as caught:
        JobDocument.from_json(b" " * (4 * 1024 * 1024 + 1))
    assert places(caught) == {"document"}
