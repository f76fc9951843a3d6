"""Submits, cancels and asks through any of several entries."""

import asyncio
import time
from dataclasses import dataclass
from errno import ECONNREFUSED, EHOSTUNREACH, ENETUNREACH
from socket import gaierror
from urllib.parse import quote

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from banyanwheel_core.models import Answer, JobSpec, Reason

from .errors import (
    RefusedError,
    UnknownOutcomeError,
    UnreachableError,
    error_from_problem,
)
from .problem import Problem

__all__ = ["Client", "ClientSettings"]

DEFAULT_TRY_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 2.0
GRACE_S = 5.0  # waited beyond a job's deadline before its outcome is called unknown
ROUND_PAUSE_S = 0.2  # between two rounds over all entries
ROUNDS = 2  # over all entries, for requests that take no effect
MAX_BODY_BYTES = 64 * 1024 * 1024
UNSENT_ERRORS = frozenset({ECONNREFUSED, EHOSTUNREACH, ENETUNREACH})
ENTRY_REASONS = frozenset({Reason.STOPPING, Reason.NO_COORDINATOR})


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Entries in the order of use; times are seconds."""

    entries: tuple[str, ...]
    patience: float = 0.0
    try_timeout: float = DEFAULT_TRY_TIMEOUT_S


class _NoResponse(Exception):
    """One try got no answer; ``sent`` tells whether the entry may have read it."""

    def __init__(self, entry, cause, sent):
        self.sent = sent
        super().__init__(f"{entry}: {cause}")


class Client:
    """Calls the system; every request may be repeated through another entry.

    A job's id is obtained before the job is sent, and every repeat uses that id, so
    a lost answer never starts a job twice.
    """

    def __init__(self, settings):
        self._settings = settings
        self._http = AsyncHTTPClient(force_instance=True, max_body_size=MAX_BODY_BYTES)
        self._next = 0

    @property
    def settings(self):
        """The settings that this client was made with."""
        return self._settings

    def close(self):
        """Releases the HTTP client."""
        self._http.close()

    async def issue_id(self):
        """Returns a fresh job id; raises UnreachableError or ProblemError."""
        response = await self._repeat_harmless("POST", "/v1/job-ids?count=1", b"")
        return msgspec.json.decode(response.body)["ids"][0]

    async def submit(self, spec: JobSpec) -> Answer:
        """Submits a job and returns its whole answer.

        Raises the error that tells what is known of the job otherwise.
        """
        give_up = time.monotonic() + self._settings.patience
        body = msgspec.json.encode(spec)
        limit_s = spec.deadline_ms / 1000 + GRACE_S
        while True:
            job_id = await self.issue_id()
            try:
                return await self._submit_under(job_id, body, limit_s)
            except RefusedError as refusal:
                pause = refusal.problem.retry_after
                if pause is None or time.monotonic() + pause > give_up:
                    raise
                await asyncio.sleep(pause)

    async def cancel(self, job_id) -> Answer:
        """Cancels a job and returns its answer, where the system still knows it."""
        path = f"/v1/jobs/{quote(job_id, safe='')}"
        response = await self._repeat_harmless("DELETE", path)
        return msgspec.json.decode(response.body, type=Answer)

    async def command(self, text, repeatable):
        """Runs a command at an entry and returns its rows.

        A command that isn't ``repeatable`` is sent again only where the first entry
        is certain not to have read it.
        """
        headers = {"Content-Type": "text/plain; charset=utf-8"}
        body = text.encode()
        if repeatable:
            response = await self._repeat_harmless(
                "POST", "/v1/commands", body, headers
            )
        else:
            response = await self._send_once("POST", "/v1/commands", body, headers)
        return [msgspec.json.decode(line) for line in response.body.splitlines()]

    async def _submit_under(self, job_id, body, limit_s):
        """Repeats one job under one id until its answer or the limit."""
        path = f"/v1/jobs/{quote(job_id, safe='')}"
        limit = time.monotonic() + limit_s
        doubtful = False
        while time.monotonic() < limit:
            for _ in self._settings.entries:
                try:
                    response = await self._try("PUT", path, body)
                except _NoResponse as error:
                    doubtful = doubtful or error.sent
                    last = str(error)
                    continue
                problem = _problem_in(response)
                if problem is None:
                    return msgspec.json.decode(response.body, type=Answer)
                last = problem.summary
                if problem.reason not in ENTRY_REASONS:
                    raise error_from_problem(problem)
                if not doubtful and problem.retry_after is not None:
                    raise error_from_problem(problem)
                self._use_next_entry()
            await asyncio.sleep(ROUND_PAUSE_S)
        if doubtful:
            raise UnknownOutcomeError(f"{job_id}: outcome unknown: {last}")
        raise UnreachableError(f"{job_id}: not run: {last}")

    async def _repeat_harmless(self, method, path, body=None, headers=None):
        """Sends a request that may be repeated freely until an entry answers."""
        last = "no entry"
        for number in range(ROUNDS):
            if number:
                await asyncio.sleep(ROUND_PAUSE_S)
            for _ in self._settings.entries:
                try:
                    response = await self._try(method, path, body, headers)
                except _NoResponse as error:
                    last = str(error)
                    continue
                return _checked(response)
        raise UnreachableError(f"no entry answered: {last}")

    async def _send_once(self, method, path, body, headers):
        """Sends a request on until one entry may have read it."""
        last = "no entry"
        for _ in self._settings.entries:
            try:
                return _checked(await self._try(method, path, body, headers))
            except _NoResponse as error:
                last = str(error)
                if error.sent:
                    raise UnknownOutcomeError(f"outcome unknown: {last}") from error
        raise UnreachableError(f"no entry answered: {last}")

    async def _try(self, method, path, body=None, headers=None):
        """Sends one request to the entry in use; moves on when it is silent."""
        entry = self._settings.entries[self._next]
        request = HTTPRequest(
            entry.rstrip("/") + path,
            method=method,
            body=body,
            headers=headers or {"Content-Type": "application/json"},
            connect_timeout=min(CONNECT_TIMEOUT_S, self._settings.try_timeout),
            request_timeout=self._settings.try_timeout,
            follow_redirects=False,
        )
        try:
            return await self._http.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            self._use_next_entry()
            raise _NoResponse(entry, error, _may_be_sent(error)) from error

    def _use_next_entry(self):
        self._next = (self._next + 1) % len(self._settings.entries)


def _may_be_sent(error):
    if isinstance(error, gaierror):
        return False
    return getattr(error, "errno", None) not in UNSENT_ERRORS


def _problem_in(response):
    return None if response.code == 200 else Problem.from_response(response)


def _checked(response):
    problem = _problem_in(response)
    if problem is not None:
        raise error_from_problem(problem)
    return response
