"""A caller of the system that records what it sent and what it was told."""

import http.client
import itertools
import threading
import urllib.error
import urllib.request
from dataclasses import dataclass

import msgspec

from banyanwheel_core.models import JobSpec, TaskSpec

from .calls import in_thread
from .history import CallerSent, CallerTold

__all__ = ["Caller", "Told", "job_of"]

ANSWER_TIMEOUT_S = 120


@dataclass(frozen=True, slots=True)
class Told:
    """What the caller was told; ``status`` is 0 where the connection broke.

    ``refused`` tells that the connection was never made.
    """

    status: int
    body: bytes = b""
    refused: bool = False

    @property
    def answer(self):
        """The decoded JSON body; empty where the connection broke."""
        return msgspec.json.decode(self.body) if self.body else {}

    @property
    def outcome(self):
        """The outcome of a failed job, else an empty text."""
        return self.answer.get("outcome", "")

    @property
    def reason(self):
        """The reason of a failed job, else an empty text."""
        return self.answer.get("reason", "")

    @property
    def complete(self):
        """Whether the job is complete."""
        return self.answer.get("state") == "complete"


def job_of(payloads, **fields):
    """Returns a job of one task per payload; a ``run_ms`` in it is also declared."""
    tasks = tuple(
        TaskSpec(payload=payload, declared_ms=payload.get("run_ms", 100))
        for payload in payloads
    )
    defaults = {"service": "counter", "subsidiary": "magnolia", "kind": "stock"}
    return JobSpec(**{**defaults, **fields}, tasks=tasks)


class Caller:
    """Submits jobs through entries given by name; ``entries`` maps to addresses."""

    def __init__(self, entries, history, name="caller"):
        self._entries = entries
        self._history = history
        self._name = name
        self._numbers = itertools.count()
        self._lock = threading.Lock()

    def issue_id(self, entry):
        """Returns a fresh job id."""
        url = f"http://{self._entries[entry]}/v1/job-ids?count=1"
        request = urllib.request.Request(url, method="POST", data=b"")
        with urllib.request.urlopen(request, timeout=ANSWER_TIMEOUT_S) as response:
            return msgspec.json.decode(response.read())["ids"][0]

    def submit(self, entry, job, job_id=""):
        """Submits a job, in the short form without an id; returns a :class:`Told`."""
        with self._lock:
            name = f"{self._name}-{next(self._numbers)}"
        self.record_sent(name, entry, job, job_id)
        told = self._send(entry, job, job_id)
        self.record_told(name, told)
        return told

    def submit_later(self, entry, job, job_id=""):
        """Submits in a thread; returns a function that waits for the answer."""
        return in_thread(self.submit, entry, job, job_id)

    def record_sent(self, name, entry, job, job_id=""):
        """Notes in the history that the submission ``name`` was sent."""
        payloads = (msgspec.json.encode(task.payload) for task in job.tasks)
        event = CallerSent(
            process=self._name,
            request=name,
            entry=entry,
            payloads=tuple(msgspec.Raw(payload) for payload in payloads),
            job_id=job_id,
            idempotent=job.idempotent,
        )
        self._history.record(event)

    def record_told(self, name, told):
        """Notes in the history what the submission ``name`` was told."""
        answer = msgspec.Raw(told.body if _is_json(told.body) else b"null")
        event = CallerTold(
            process=self._name,
            request=name,
            status=told.status,
            refused=told.refused,
            answer=answer,
        )
        self._history.record(event)

    def _send(self, entry, job, job_id):
        address = self._entries[entry]
        path = f"/v1/jobs/{job_id}" if job_id else "/v1/jobs"
        request = urllib.request.Request(
            f"http://{address}{path}",
            method="PUT" if job_id else "POST",
            data=msgspec.json.encode(job),
            headers={"Content-Type": "application/json"},
        )
        try:
            with urllib.request.urlopen(request, timeout=ANSWER_TIMEOUT_S) as response:
                return Told(response.status, response.read())
        except urllib.error.HTTPError as error:
            return Told(error.code, error.read())
        except urllib.error.URLError as error:
            return Told(0, refused=isinstance(error.reason, ConnectionRefusedError))
        except (OSError, http.client.HTTPException):
            return Told(0)


def _is_json(body):
    try:
        msgspec.json.decode(body)
    except msgspec.DecodeError:
        return False
    return True
