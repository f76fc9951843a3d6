"""Documents that people write: jobs, and the configuration of the queues.

Durations are whole milliseconds; ``cpu`` is in thousandths of a core.
"""

from itertools import islice
from typing import Annotated

import msgspec
from msgspec import Meta

from . import checking
from .errors import FindingsError
from .findings import MAX_FINDINGS, Finding

__all__ = [
    "MAX_AMOUNT",
    "MAX_TASKS",
    "MAX_DOCUMENT_BYTES",
    "NAME_PATTERN",
    "ConfigurationDocument",
    "JobDocument",
    "LimitsDocument",
    "QueueDocument",
    "StepDocument",
]

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
MAX_TASKS = 10_000  # far above the widest jobs; bounds what one request can cost
MAX_AMOUNT = 2**31 - 1  # of a resource or a time; sums of them can be encoded
MAX_SPEC_BYTES = 4_000  # the longest text that the platform passes to a worker
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"

Count = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
Positive = Annotated[int, Meta(ge=1)]
Text = Annotated[str, Meta(min_length=1)]


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the documents' parts."""


class StepDocument(_Part):
    """Tasks alike; ``after`` numbers the steps, from 0, that must be done before."""

    count: Positive = 1
    cpu: Count = 0
    memory_mb: Count = 0
    gpus: Count = 0
    estimate_ms: Count = 0
    after: tuple[Count, ...] = ()
    label: str = ""
    rack: str = ""
    max_per_worker: Count = 0
    checkpoints: bool = False


class JobDocument(_Part):
    """A job for a queue; ``spec`` is passed to the workers as it is.

    A ``transient`` job is not stored: it is answered at its end, or handed in again.
    """

    queue: Text
    steps: Annotated[tuple[StepDocument, ...], Meta(min_length=1, max_length=MAX_TASKS)]
    spec: str = ""
    transient: bool = False

    @classmethod
    def from_json(cls, data, source=""):
        """Reads JSON; raises FindingsError with the places of its faults.

        Reports the first ``MAX_FINDINGS`` faults.
        """
        job = _read_json(data, cls, source)
        findings = list(islice(_faults_of_steps(job.steps, source), MAX_FINDINGS))
        if len(job.spec.encode()) > MAX_SPEC_BYTES:
            message = f"is longer than {MAX_SPEC_BYTES} bytes"
            findings.append(Finding("spec", message, source))
        if findings:
            raise FindingsError(findings)
        return job


class QueueDocument(_Part):
    """A queue, and the host and path prefix under which callers reach it.

    A job is on time if it ends within ``slack_factor`` times its longest chain of
    work and ``target_ms`` more. ``priority`` 0 comes first.
    """

    name: Text
    host: Text
    prefix: Annotated[str, Meta(pattern=r"^/.*/$")]
    service: Text
    priority: Count = 0
    max_attempts: Positive = 1
    slack_factor: Annotated[float, Meta(gt=0)] = 1.0
    target_ms: Count = 0


class LimitsDocument(_Part):
    """Bounds on what callers send."""

    max_body_bytes: Positive = 262_144


class ConfigurationDocument(_Part):
    """One version of the configuration; without ``version``, the next one."""

    queues: tuple[QueueDocument, ...]
    limits: LimitsDocument = LimitsDocument()
    version: Positive | None = None

    @classmethod
    def from_toml(cls, text, source=""):
        """Reads TOML; raises FindingsError with the line of each fault."""
        _check_size(text.encode(), source)
        document = checking.check(checking.TomlSource.parse(text, source), cls)
        return _with_distinct_names(document, source)

    @classmethod
    def from_json(cls, data, source=""):
        """Reads JSON; raises FindingsError with the place of each fault."""
        return _with_distinct_names(_read_json(data, cls, source), source)


def _read_json(data, kind, source):
    _check_size(data, source)
    try:
        plain = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise FindingsError([Finding("syntax", str(error), source)]) from error
    try:
        # Documents forbid unknown keys, so this accepts no more than a check does.
        return msgspec.convert(plain, kind)
    except msgspec.ValidationError:
        return checking.convert(plain, kind, source)


def _faults_of_steps(steps, source):
    if sum(step.count for step in steps) > MAX_TASKS:
        yield Finding("steps", f"have more than {MAX_TASKS} tasks", source)
    for number, step in enumerate(steps):
        for index, before in enumerate(step.after):
            if before >= number:
                place = f"steps[{number}].after[{index}]"
                yield Finding(place, "is not an earlier step", source)


def _with_distinct_names(document, source):
    seen = set()
    findings = []
    for number, queue in enumerate(document.queues):
        if queue.name in seen:
            message = f"'{queue.name}' names two queues"
            findings.append(Finding(f"queues[{number}].name", message, source))
        seen.add(queue.name)
    if findings:
        raise FindingsError(findings)
    return document


def _check_size(data, source):
    if len(data) > MAX_DOCUMENT_BYTES:
        message = f"is {len(data)} bytes, more than {MAX_DOCUMENT_BYTES}"
        raise FindingsError([Finding("document", message, source)])
