"""Submits jobs and commands through any of several dispatchers."""

import asyncio
import time
from dataclasses import dataclass
from errno import ECONNREFUSED, EHOSTUNREACH, ENETUNREACH
from socket import gaierror
from typing import Any
from urllib.parse import quote

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from banyanwheel_core.documents import JobDocument
from banyanwheel_core.ids import new_job_id
from banyanwheel_core.language import (
    CancelJob,
    Drain,
    Show,
    Undrain,
    Why,
    command_text,
)
from banyanwheel_core.problems import Effect, Reason

from .errors import (
    ProblemError,
    RefusedError,
    UnknownOutcomeError,
    UnreachableError,
    error_from_problem,
)
from .problem import read_problem

__all__ = ["Client", "ClientSettings", "JobEnd", "Reply", "Where"]

DEFAULT_TRY_TIMEOUT_S = 5.0
DEFAULT_WAIT_S = 60.0  # for a job's end
CONNECT_TIMEOUT_S = 2.0
ROUNDS = 2  # over all dispatchers, while none of them may have read the request
ROUND_PAUSE_S = 0.2  # after the first round; doubles each round
MAX_ROUND_PAUSE_S = 2.0
POLL_S = 0.2  # between questions about a stored job
ANSWER_MARGIN_S = 0.5  # a dispatcher answers before the try is given up
MAX_BODY_BYTES = 64 * 1024 * 1024
UNSENT_ERRORS = frozenset({ECONNREFUSED, EHOSTUNREACH, ENETUNREACH})
JSON_HEADERS = {"Content-Type": "application/json"}
TEXT_HEADERS = {"Content-Type": "text/plain; charset=utf-8"}
FINAL_STATES = frozenset({"completed", "failed", "canceled"})


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Dispatchers in the order of use; times are seconds."""

    dispatchers: tuple[str, ...]
    patience: float = 0.0
    try_timeout: float = DEFAULT_TRY_TIMEOUT_S
    wait: float = DEFAULT_WAIT_S


@dataclass(frozen=True, slots=True)
class Reply:
    """Rows that answer a command, and the dispatchers that did not answer."""

    rows: tuple[dict[str, Any], ...]
    incomplete: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Where:
    """Asks where a job would go; ``job_id`` is empty for one that has none yet."""

    job: JobDocument
    job_id: str = ""


class JobEnd(msgspec.Struct, frozen=True):
    """A job's last known state."""

    id: str
    state: str

    @property
    def final(self):
        """Whether the job has ended."""
        return self.state in FINAL_STATES


class _NoAnswer(Exception):
    """One try got no answer; ``sent`` tells whether a dispatcher may have read it."""

    def __init__(self, dispatcher, cause, sent):
        self.sent = sent
        super().__init__(f"{dispatcher}: {cause}")


class Client:
    """Calls the system; a request may be repeated through another dispatcher.

    The client names the job, and every repeat uses that name, so a lost answer never
    makes two jobs of one.
    """

    def __init__(self, settings):
        self._settings = settings
        self._http = AsyncHTTPClient(force_instance=True, max_body_size=MAX_BODY_BYTES)
        self._next = 0
        self._unanswered = ""

    @property
    def unanswered(self):
        """The id of a job that was sent and has no end yet, or nothing."""
        return self._unanswered

    def close(self):
        """Releases the HTTP client."""
        self._http.close()

    async def submit(self, job) -> JobEnd:
        """Submits a JobDocument and waits for its end.

        Raises the ClientError that tells what is known of the job otherwise.
        """
        give_up = time.monotonic() + self._settings.patience
        while True:
            try:
                return await self._submit_once(new_job_id(), msgspec.json.encode(job))
            except RefusedError as refusal:
                pause = refusal.problem.retry_after_ms / 1000
                if not pause or time.monotonic() + pause > give_up:
                    raise
                await asyncio.sleep(pause)

    async def command(self, command) -> Reply:
        """Runs a parsed command at a dispatcher.

        A command that changes more than one job is sent again only where the first
        dispatcher is certain not to have read it.
        """
        repeatable = isinstance(command, Show | Why | CancelJob | Drain | Undrain)
        body = command_text(command).encode()
        response = await self._deliver("/v1/commands", body, TEXT_HEADERS, repeatable)
        return _read_rows(response)

    async def where(self, question) -> Reply:
        """Asks a dispatcher where the job of a :class:`Where` would go."""
        path = f"/v1/where?id={quote(question.job_id)}"
        body = msgspec.json.encode(question.job)
        return _read_rows(await self._deliver(path, body, JSON_HEADERS, True))

    async def _submit_once(self, job_id, body):
        """Submits under one id, and asks until the end or the limit."""
        limit = time.monotonic() + self._settings.wait
        self._unanswered = job_id
        tries = _Tries(job_id)
        pause = ROUND_PAUSE_S
        end = None
        while end is None:
            end = await self._hand_in_round(job_id, body, tries)
            if end is None:
                tries.end_round(time.monotonic() >= limit)
                await asyncio.sleep(pause)
                pause = min(pause * 2, MAX_ROUND_PAUSE_S)
        while not end.final and time.monotonic() < limit:
            await asyncio.sleep(POLL_S)
            end = await self._ask(job_id) or end
        if end.final:
            self._unanswered = ""
        return end

    async def _hand_in_round(self, job_id, body, tries):
        """Asks each dispatcher once; returns a JobEnd, None without an answer."""
        tries.begin_round()
        for _ in self._settings.dispatchers:
            try:
                return await self._put(job_id, body)
            except _NoAnswer as error:
                tries.unanswered(error)
            except ProblemError as error:
                tries.told(error)
                self._use_next()
        return None

    async def _put(self, job_id, body):
        wait_ms = round((self._settings.try_timeout - ANSWER_MARGIN_S) * 1000)
        path = f"/v1/jobs/{job_id}?wait_ms={max(1, wait_ms)}"
        response = await self._try("PUT", path, body, JSON_HEADERS)
        if response.code >= 300:
            raise error_from_problem(read_problem(response))
        return msgspec.json.decode(response.body, type=JobEnd)

    async def _ask(self, job_id):
        """Returns the job's state, None where it is not known now."""
        try:
            response = await self._try("GET", f"/v1/jobs/{job_id}", None, {})
        except _NoAnswer:
            return None
        if response.code != 200:
            return None
        return msgspec.json.decode(response.body, type=JobEnd)

    async def _deliver(self, path, body, headers, repeatable):
        """Posts a command or question until a dispatcher answers it."""
        last = None
        for number in range(ROUNDS):
            if number:
                await asyncio.sleep(ROUND_PAUSE_S)
            for _ in self._settings.dispatchers:
                try:
                    response = await self._try("POST", path, body, headers)
                except _NoAnswer as error:
                    last = error
                    if error.sent and not repeatable:
                        raise UnknownOutcomeError(f"outcome unknown: {last}") from error
                    continue
                if response.code != 200:
                    raise error_from_problem(read_problem(response))
                return response
        raise UnreachableError(f"no dispatcher answered: {last}")

    async def _try(self, method, path, body, headers):
        """Sends one request to the dispatcher in use; moves on without an answer."""
        dispatcher = self._settings.dispatchers[self._next]
        timeout_s = self._settings.try_timeout
        request = HTTPRequest(
            dispatcher.rstrip("/") + path,
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
            self._use_next()
            raise _NoAnswer(dispatcher, error, _may_be_sent(error)) from error
        if response.code >= 500 and not read_problem(response).outcome:
            # A balancer's own words, or a dispatcher's fault: neither tells anything.
            self._use_next()
            raise _NoAnswer(dispatcher, f"HTTP status {response.code}", sent=True)
        return response

    def _use_next(self):
        self._next = (self._next + 1) % len(self._settings.dispatchers)


class _Tries:
    """Weighs the tries of one job under one id, in rounds over all dispatchers.

    "Not run" holds only while no other try may have been taken.
    """

    def __init__(self, job_id):
        self._job_id = job_id
        self._rounds = 0
        self._sent = False
        self._last = None
        self._refusal = None

    def begin_round(self):
        """Forgets the refusal of the round before."""
        self._rounds += 1
        self._refusal = None

    def unanswered(self, error):
        """Takes in a try without an answer."""
        self._sent = self._sent or error.sent
        self._last = error

    def told(self, error):
        """Takes in a refusal or an unknown outcome; raises it where it is final."""
        self._last = error
        problem = error.problem
        if problem.outcome == Effect.UNKNOWN:
            self._sent = True
        elif problem.reason in (Reason.NOT_ACCEPTED, Reason.NO_CONFIGURATION):
            self._refusal = error
        else:
            raise error

    def end_round(self, expired):
        """Raises the error that tells the outcome, unless another round may help."""
        if self._sent:
            if expired:
                message = f"{self._job_id}: outcome unknown: {self._last}"
                raise UnknownOutcomeError(message)
        elif self._refusal is not None:
            raise self._refusal
        elif self._rounds >= ROUNDS:
            raise UnreachableError(f"{self._job_id}: not run: {self._last}")


def _read_rows(response):
    rows = [msgspec.json.decode(line) for line in response.body.splitlines()]
    if rows and rows[-1].keys() == {"incomplete"}:
        return Reply(tuple(rows[:-1]), tuple(rows[-1]["incomplete"]))
    return Reply(tuple(rows))


def _may_be_sent(error):
    if isinstance(error, gaierror):
        return False
    return getattr(error, "errno", None) not in UNSENT_ERRORS
