"""A caller of the system that records what it sent and what it was told."""

import http.client
import itertools
import json
import threading
import urllib.error
import urllib.request
from dataclasses import dataclass

from .calls import in_thread
from .history import CallerSent, CallerTold

__all__ = ["ANSWER_TIMEOUT_S", "Caller", "Told", "job_of"]

ANSWER_TIMEOUT_S = 30
DEADLINE_MS = 8_000
HOST = "desk.example"
PREFIX = "/counter/"


@dataclass(frozen=True, slots=True)
class Told:
    """What the caller was told; ``status`` is 0 where the connection broke.

    ``refused`` tells that the connection was never made.
    """

    status: int
    state: str = ""
    retry_after: str = ""
    refused: bool = False

    @property
    def accepted(self):
        """Whether a job was taken, or has ended."""
        return self.status in (200, 202)


def job_of(tasks, run_ms, *, stored=True, cpu=1_000, label=""):
    """Returns the body of a job of one step."""
    step = {"count": tasks, "cpu": cpu, "estimateMs": run_ms}
    if label:
        step["requiredLabel"] = label
    body = {"spec": json.dumps({"run_ms": run_ms}), "steps": [step]}
    return body if stored else body | {"bestEffort": True}


class Caller:
    """Sends requests to dispatchers given by name; ``addresses`` maps them.

    It closes its connection ``patience_s`` after it has sent a request.
    """

    def __init__(
        self,
        addresses,
        history,
        name="caller",
        deadline_ms=DEADLINE_MS,
        patience_s=ANSWER_TIMEOUT_S,
    ):
        self._addresses = addresses
        self._history = history
        self._name = name
        self._deadline_ms = deadline_ms
        self._patience_s = patience_s
        self._numbers = itertools.count()
        self._lock = threading.Lock()

    def submit(self, dispatcher, job_id, job):
        """Hands a job in; returns a :class:`Told`."""
        return self._call("submit", "POST", dispatcher, job_id, job)

    def state(self, dispatcher, job_id):
        """Asks for a job's state."""
        return self._call("state", "GET", dispatcher, job_id)

    def cancel(self, dispatcher, job_id):
        """Cancels a job."""
        return self._call("cancel", "DELETE", dispatcher, job_id)

    def submit_later(self, dispatcher, job_id, job):
        """Submits in a thread; returns a function that waits for the answer."""
        return in_thread(self.submit, dispatcher, job_id, job)

    def _call(self, verb, method, dispatcher, job_id, job=None):
        with self._lock:
            name = f"{self._name}-{next(self._numbers)}"
        sent = CallerSent(
            process=self._name,
            request=name,
            dispatcher=dispatcher,
            verb=verb,
            job=job_id,
            tasks=sum(step["count"] for step in job["steps"]) if job else 0,
            stored=not (job or {}).get("bestEffort", False),
        )
        self._history.record(sent)
        told = self._send(method, dispatcher, job_id, job)
        self._history.record(
            CallerTold(
                process=self._name,
                request=name,
                status=told.status,
                state=told.state,
                refused=told.refused,
            )
        )
        return told

    def _send(self, method, dispatcher, job_id, job):
        request = urllib.request.Request(
            f"http://{self._addresses[dispatcher]}{PREFIX}{job_id}",
            method=method,
            data=None if job is None else json.dumps(job).encode(),
            headers={"Host": HOST, "Request-Deadline-Ms": str(self._deadline_ms)},
        )
        try:
            with urllib.request.urlopen(request, timeout=self._patience_s) as response:
                body = json.load(response)
                return Told(response.status, body.get("state", ""))
        except urllib.error.HTTPError as error:
            with error:
                return Told(error.code, "", error.headers.get("Retry-After", ""))
        except urllib.error.URLError as error:
            return Told(0, refused=isinstance(error.reason, ConnectionRefusedError))
        except (OSError, http.client.HTTPException, ValueError):
            return Told(0)
