"""HTTP client of the backend server beside this agent.

A task is sent once and never again. Each request has a connection of its own, so a kept
connection that the server has closed can't swallow a request.
"""

import asyncio
import socket
import time
from http import HTTPStatus

import msgspec
from eliot import log_message
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.netutil import Resolver
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from banyanwheel_core.messages import TaskResult
from banyanwheel_core.models import Reason, TaskOutcome

from .leases import LeaseKeeper, Renewal

__all__ = ["BackendClient", "NumericResolver"]

CONTROL_CONNECTIONS = 2  # kept free of tasks, for leases and stops
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_ANSWER_BYTES = 1024 * 1024
MAX_FAILURE_CHARACTERS = 2_000
ALLOWANCE_MS = 1_000  # over a task's remaining time, for its answer to arrive


class NumericResolver(Resolver):
    """Resolves ``ip`` and port without a look-up, and so without a thread."""

    async def resolve(self, host, port, family=socket.AF_UNSPEC):
        """Returns the address as it is."""
        return [(socket.AF_INET, (host, port))]


class BackendClient:
    """Runs tasks on one backend server at ``address`` (``ip:port``)."""

    def __init__(
        self,
        address,
        connections,
        *,
        lease_ms,
        allowance_ms=ALLOWANCE_MS,
        connect_timeout=CONNECT_TIMEOUT_SECONDS,
        clock=time.monotonic,
    ):
        self._address = address
        self._lease_ms = lease_ms
        self._allowance_ms = allowance_ms
        self._connect_timeout = connect_timeout
        self._clock = clock
        self._closed = False
        self._capacity = max(1, connections - CONTROL_CONNECTIONS)
        self._tasks_client = self._open(self._capacity)
        self._control_client = self._open(CONTROL_CONNECTIONS)
        self._leases = LeaseKeeper(lease_ms / 1000, self._renew, clock)

    @classmethod
    def from_announcement(cls, announcement, *, lease_ms, **options):
        """Returns a client for an announced backend server."""
        return cls(
            announcement.address,
            announcement.connections,
            lease_ms=lease_ms,
            **options,
        )

    @property
    def address(self):
        """The backend server's ``ip:port``."""
        return self._address

    @property
    def capacity(self):
        """The number of tasks that can run at the same time."""
        return self._capacity

    async def run(self, task):
        """Sends a task once; returns a TaskResult and raises nothing."""
        if self._closed:
            return _not_started(task, Reason.STOPPING)
        ended = asyncio.get_running_loop().create_future()
        lease = self._leases.hold(task, lambda: _end(ended))
        started = self._clock()
        try:
            fetch = self._post(task, lease)
            fetch.add_done_callback(lambda fetch: _end(ended, fetch))
            await ended
            result = self._result(task, lease, fetch)
        finally:
            self._leases.release(lease)
        run_ms = round((self._clock() - started) * 1000)
        return msgspec.structs.replace(result, run_ms=run_ms)

    async def stop(self, job_id, index):
        """Asks the backend server to stop a task; its answer tells what came of it."""
        request = self._request("DELETE", f"/tasks/{job_id}/{index}")
        try:
            await self._control_client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            log_message("backend:stop-failed", job=job_id, task=index, fault=str(error))

    def close(self):
        """Starts no further task; those running keep their leases."""
        self._closed = True

    def _open(self, connections):
        return SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=connections,
            resolver=NumericResolver(),
            max_body_size=MAX_ANSWER_BYTES,
            max_buffer_size=MAX_ANSWER_BYTES + 65_536,
        )

    def _request(self, method, path, timeout=None, **options):
        return HTTPRequest(
            f"http://{self._address}{path}",
            method=method,
            connect_timeout=self._connect_timeout,
            request_timeout=timeout or self._lease_ms / 1000,
            follow_redirects=False,
            decompress_response=False,
            **options,
        )

    def _post(self, task, lease):
        """Returns the future of the one request that carries the task."""
        payload = bytes(task.task)

        def produce(write):
            lease.extend(self._clock())
            return write(payload)

        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(payload)),
            "Idempotency-Key": f"{task.job_id}/{task.index}",
            "Lease-Ms": str(self._lease_ms),
        }
        request = self._request(
            "POST",
            f"/tasks/{task.job_id}/{task.index}",
            (max(0, task.remaining_ms) + self._allowance_ms) / 1000,
            headers=headers,
            body_producer=produce,
        )
        return self._tasks_client.fetch(request, raise_error=False)

    def _result(self, task, lease, fetch):
        if lease.lapsed or not fetch.done():
            return _unknown(task, Reason.LEASE_LAPSED)
        if fetch.exception() is not None:
            return self._fault(task, lease, fetch.exception())
        return _judge(task, fetch.result())

    def _fault(self, task, lease, error):
        log_message(
            "backend:no-answer",
            job=task.job_id,
            task=task.index,
            fault=str(error),
            begun=lease.begun,
        )
        if lease.begun:
            return _unknown(task, Reason.OUTCOME_UNKNOWN)
        return _not_started(task, Reason.CONNECT_FAILED)

    async def _renew(self, task, timeout):
        request = self._request(
            "PUT",
            f"/tasks/{task.job_id}/{task.index}/lease",
            timeout,
            headers={"Lease-Ms": str(self._lease_ms)},
            body=b"",
        )
        try:
            response = await self._control_client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            log_message("backend:renewal-failed", job=task.job_id, fault=str(error))
            return Renewal.UNANSWERED
        if response.code == HTTPStatus.GONE:
            return Renewal.GONE
        return Renewal.RENEWED if response.code < 300 else Renewal.UNANSWERED


def _end(ended, fetch=None):
    """Wakes a waiting run; takes up a late failure, which asyncio would log."""
    if not ended.done():
        ended.set_result(None)
    if fetch is not None and not fetch.cancelled():
        fetch.exception()


def _judge(task, response):
    """Reads what an answer says of the task."""
    match response.code:
        case HTTPStatus.OK:
            return _done(task, response)
        case HTTPStatus.GONE:
            return _unknown(task, Reason.LEASE_LAPSED)
        case HTTPStatus.SERVICE_UNAVAILABLE if (
            response.headers.get("Not-Started") == "true"
        ):
            return _not_started(task, Reason.CONNECT_FAILED)
        case code if code >= 400:
            return _failed(task, response)
    return _unknown(task, Reason.OUTCOME_UNKNOWN)


def _done(task, response):
    """Accepts a whole JSON answer; a body without an announced end may be cut off."""
    headers = response.headers
    whole = "Content-Length" in headers or "Transfer-Encoding" in headers
    if not whole or not _is_json(response.body):
        return _unknown(task, Reason.OUTCOME_UNKNOWN)
    body = msgspec.Raw(response.body)
    return TaskResult(task.job_id, task.index, TaskOutcome.DONE, body)


def _failed(task, response):
    text = response.body.decode("utf-8", "replace")[:MAX_FAILURE_CHARACTERS]
    body = msgspec.Raw(msgspec.json.encode(text) if text else b"null")
    return TaskResult(
        task.job_id, task.index, TaskOutcome.FAILED, body, Reason.TASK_FAILED
    )


def _unknown(task, reason):
    return TaskResult(task.job_id, task.index, TaskOutcome.UNKNOWN, reason=reason)


def _not_started(task, reason):
    return TaskResult(task.job_id, task.index, TaskOutcome.NOT_STARTED, reason=reason)


def _is_json(body):
    try:
        msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return False
    return True
