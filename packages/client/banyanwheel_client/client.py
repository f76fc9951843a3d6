"""Submits jobs and commands through any of several entries."""

import asyncio
import time
from dataclasses import dataclass
from errno import ECONNREFUSED, EHOSTUNREACH, ENETUNREACH
from socket import gaierror
from typing import Any
from urllib.parse import quote

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from banyanwheel_core.language import (
    CancelJob,
    Drain,
    Reconfigure,
    Show,
    Undrain,
    Why,
    command_text,
)
from banyanwheel_core.models import Answer, JobSpec

from .errors import (
    ClientError,
    RefusedError,
    UnknownOutcomeError,
    UnknownProblemError,
    UnreachableError,
    error_from_problem,
)
from .problem import Problem
from .tries import REASONS_NOT_RUN, ROUNDS, JobTries, NoAnswerError

__all__ = ["Client", "ClientSettings", "Reply"]

DEFAULT_TRY_TIMEOUT_S = 5.0
DEFAULT_CHANGE_TIMEOUT_S = 60.0  # an entry asks an unreachable log several times
CONNECT_TIMEOUT_S = 2.0
GRACE_S = 5.0  # waited beyond a job's deadline before its outcome is called unknown
ROUND_PAUSE_S = 0.2  # after the first round over all entries; doubles each round
MAX_ROUND_PAUSE_S = 2.0
MAX_BODY_BYTES = 64 * 1024 * 1024
UNSENT_ERRORS = frozenset({ECONNREFUSED, EHOSTUNREACH, ENETUNREACH})
JSON_HEADERS = {"Content-Type": "application/json"}
TEXT_HEADERS = {"Content-Type": "text/plain; charset=utf-8"}


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Entries in the order of use; times are seconds.

    ``change_timeout`` takes the place of ``try_timeout`` for a command that changes
    the configuration.
    """

    entries: tuple[str, ...]
    patience: float = 0.0
    try_timeout: float = DEFAULT_TRY_TIMEOUT_S
    change_timeout: float = DEFAULT_CHANGE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class Reply:
    """Rows that answer a command, and the members that did not answer."""

    rows: tuple[dict[str, Any], ...]
    incomplete: tuple[str, ...] = ()


class Client:
    """Calls the system; a request may be repeated through another entry.

    A job's id is obtained before the job is sent, and every repeat uses that id, so
    a lost answer never starts a job twice.
    """

    def __init__(self, settings):
        self._settings = settings
        self._http = AsyncHTTPClient(force_instance=True, max_body_size=MAX_BODY_BYTES)
        self._next = 0
        self._unanswered = ""

    @property
    def unanswered(self):
        """The id of a job that was sent and has no answer yet, or nothing."""
        return self._unanswered

    def close(self):
        """Releases the HTTP client."""
        self._http.close()

    async def submit(self, spec: JobSpec) -> Answer:
        """Submits a job and returns its whole answer.

        Raises the ClientError that tells what is known of the job otherwise.
        """
        give_up = time.monotonic() + self._settings.patience
        body = msgspec.json.encode(spec)
        limit_s = spec.deadline_ms / 1000 + GRACE_S
        while True:
            try:
                return await self._submit_once(body, limit_s)
            except RefusedError as refusal:
                pause = refusal.problem.retry_after
                if pause is None or time.monotonic() + pause > give_up:
                    raise
                await asyncio.sleep(pause)

    async def command(self, command) -> Reply:
        """Runs a parsed command at an entry.

        A command that changes more than one job is sent again only where the first
        entry is certain not to have read it.
        """
        changes = isinstance(command, Drain | Undrain | Reconfigure)
        settings = self._settings
        response = await self._deliver(
            "/v1/commands",
            command_text(command).encode(),
            TEXT_HEADERS,
            repeatable=isinstance(command, Show | Why | CancelJob),
            timeout_s=settings.change_timeout if changes else settings.try_timeout,
        )
        rows = [msgspec.json.decode(line) for line in response.body.splitlines()]
        if rows and rows[-1].keys() == {"incomplete"}:
            return Reply(tuple(rows[:-1]), tuple(rows[-1]["incomplete"]))
        return Reply(tuple(rows))

    async def _submit_once(self, body, limit_s):
        """Submits under one fresh id."""
        response = await self._deliver(
            "/v1/job-ids?count=1",
            b"",
            JSON_HEADERS,
            repeatable=True,
            timeout_s=self._settings.try_timeout,
        )
        job_id = msgspec.json.decode(response.body)["ids"][0]
        self._unanswered = job_id
        try:
            answer = await self._submit_under(job_id, body, limit_s)
        except ClientError:
            self._unanswered = ""
            raise
        self._unanswered = ""
        return answer

    async def _submit_under(self, job_id, body, limit_s):
        """Repeats a job under its id until its answer, or the limit."""
        path = f"/v1/jobs/{quote(job_id, safe='')}"
        limit = time.monotonic() + limit_s
        pause = ROUND_PAUSE_S
        tries = JobTries(job_id)
        while True:
            tries.begin_round()
            for _ in self._settings.entries:
                try:
                    return await self._put(path, body)
                except NoAnswerError as error:
                    tries.unanswered(error)
                except (RefusedError, UnknownProblemError) as error:
                    tries.told(error)
                    self._use_next_entry()
            tries.end_round(expired=time.monotonic() >= limit)
            await asyncio.sleep(pause)
            pause = min(pause * 2, MAX_ROUND_PAUSE_S)

    async def _put(self, path, body):
        timeout_s = self._settings.try_timeout
        response = _checked(await self._try("PUT", path, body, JSON_HEADERS, timeout_s))
        return msgspec.json.decode(response.body, type=Answer)

    async def _deliver(self, path, body, headers, repeatable, timeout_s):
        """Posts a request until an entry answers it."""
        last = None
        for number in range(ROUNDS):
            if number:
                await asyncio.sleep(ROUND_PAUSE_S)
            for _ in self._settings.entries:
                try:
                    response = await self._try("POST", path, body, headers, timeout_s)
                    return _checked(response)
                except NoAnswerError as error:
                    last = error
                    if error.sent and not repeatable:
                        raise UnknownOutcomeError(f"outcome unknown: {last}") from error
                except RefusedError as error:
                    if error.problem.reason not in REASONS_NOT_RUN:
                        raise
                    last = error
                    self._use_next_entry()
            if isinstance(last, RefusedError):
                raise last
        raise UnreachableError(f"no entry answered: {last}")

    async def _try(self, method, path, body, headers, timeout_s):
        """Sends one request to the entry in use; moves on when it has no answer."""
        entry = self._settings.entries[self._next]
        request = HTTPRequest(
            entry.rstrip("/") + path,
            method=method,
            body=body,
            headers=headers,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            self._use_next_entry()
            raise NoAnswerError(entry, error, _may_be_sent(error)) from error
        if response.code >= 500 and not Problem.from_response(response).outcome:
            # A balancer's own words, or an entry's fault: neither tells the outcome.
            self._use_next_entry()
            raise NoAnswerError(entry, f"HTTP status {response.code}", sent=True)
        return response

    def _use_next_entry(self):
        self._next = (self._next + 1) % len(self._settings.entries)


def _may_be_sent(error):
    if isinstance(error, gaierror):
        return False
    return getattr(error, "errno", None) not in UNSENT_ERRORS


def _checked(response):
    if response.code != 200:
        raise error_from_problem(Problem.from_response(response))
    return response
