"""Executes operators' commands at one dispatcher, which asks the others."""

import asyncio
import itertools
from dataclasses import dataclass, field

import msgspec

from banyanwheel_core.documents import JobDocument
from banyanwheel_core.errors import BanyanwheelError, FindingsError
from banyanwheel_core.ids import new_job_id
from banyanwheel_core.language import (
    CancelJob,
    CancelJobs,
    Drain,
    Reconfigure,
    Show,
    Submit,
    Table,
    Undrain,
    Why,
    command_text,
    parse,
    select,
)
from banyanwheel_core.problems import Problem, Reason
from banyanwheel_jobs.messages import InspectionRequest, InspectionResult
from banyanwheel_jobs.model import partition_of
from banyanwheel_jobs.outcomes import Outcome
from banyanwheel_jobs.ports import LogUnavailable

from .inspector import Inspector

__all__ = ["CommandReply", "OperationError", "Operations"]

INSPECTION_TIMEOUT_S = 1.0  # a slower dispatcher is reported as unresponsive
CANCEL_TIMEOUT_S = 3.0  # covers an append to a slow log
SUBMIT_TIMEOUT_S = 5.0
MAX_CONCURRENT_CANCELS = 64
# All dispatchers have the same rows, so only the local ones are returned.
LOCAL_TABLES = (Table.QUEUES, Table.PROCESSES)


@dataclass(frozen=True, slots=True)
class CommandReply:
    """The rows of a command, and the addresses of dispatchers that did not answer."""

    rows: tuple = ()
    unresponsive: tuple = ()


@dataclass(slots=True)
class _Question:
    expected: frozenset
    done: asyncio.Future
    rows: dict = field(default_factory=dict)


class OperationError(BanyanwheelError):
    """A command that failed; ``problem`` is the Problem to answer with."""

    def __init__(self, reason, detail):
        self.problem = Problem.of(reason, detail)
        super().__init__(detail)


def _newest_by_runner(rows):
    """Returns one row for each runner: several dispatchers know the same one."""
    newest = {}
    for row in sorted(rows, key=lambda row: row["age_ms"], reverse=True):
        newest[row["runner"]] = row
    return list(newest.values())


class Operations:
    """Executes operators' commands over all dispatchers.

    ``others()`` returns the addresses of the other dispatchers,
    ``send(address, message)`` sends to one of them, and ``send_reply(asker, message)``
    to one incarnation of it, an (address, incarnation). ``gateway`` is the
    RequestGateway that submits and cancels jobs, and ``partitions`` is the number of
    partitions.
    """

    def __init__(
        self, inspector, gateway, members, partitions, *, others, send, send_reply
    ):
        self._inspector = inspector
        self._gateway = gateway
        self._members = members
        self._partitions = partitions
        self._others = others
        self._send = send
        self._send_reply = send_reply
        self._question_numbers = itertools.count(1)
        self._questions = {}

    async def execute(self, command):
        """Executes a parsed command and returns its CommandReply.

        Raises OperationError if the command fails, and LanguageError if a filter
        doesn't fit the columns of its table.
        """
        match command:
            case Show():
                return await self._show(command)
            case Why(job_id):
                return await self._why(job_id)
            case Submit(job):
                return CommandReply((await self._submit(job),))
            case CancelJob(job_id):
                return CommandReply((await self._cancel(job_id),))
            case CancelJobs(where):
                return await self._cancel_jobs(where)
            case Drain(kind, name):
                return await self._drain(kind, name, drained=True)
            case Undrain(kind, name):
                return await self._drain(kind, name, drained=False)
            case Reconfigure():
                detail = "reconfigure writes to the log directly: give --log"
                raise OperationError(Reason.OPERATORS_ONLY, detail)
        raise TypeError(f"not a command: {command!r}")

    def where(self, job_id, document, wait_s):
        """Tells where the job of a JobDocument would go; see :meth:`Where.explain`."""
        where = self._inspector.where
        return where.explain(job_id, document, wait_s, self._partitions)

    async def _show(self, show):
        question = Show(show.table, show.where)
        if show.table in LOCAL_TABLES:
            rows, unresponsive = self._inspector.answer(question), ()
        else:
            rows, unresponsive = await self._ask_all(question)
        if show.table is Table.WORKERS:
            rows = _newest_by_runner(rows)
        return CommandReply(tuple(select(show, rows)), unresponsive)

    async def _why(self, job_id):
        rows, unresponsive = await self._ask_all(Why(job_id))
        if not rows:
            partition = partition_of(job_id, self._partitions)
            owner = self._gateway.owner_of(partition) or "no dispatcher"
            why = f"not known; partition {partition} is owned by {owner}"
            rows = [{"job": job_id, "state": "unknown", "why": why}]
        return CommandReply(tuple(rows), unresponsive)

    async def _submit(self, job: JobDocument):
        job_id = new_job_id()
        reply = await self._gateway.submit_document(job_id, job, SUBMIT_TIMEOUT_S)
        return {"job": job_id, "result": reply.state or str(reply.outcome)}

    async def _cancel_jobs(self, where):
        rows, unresponsive = await self._ask_all(Show(Table.JOBS, where))
        limit = asyncio.Semaphore(MAX_CONCURRENT_CANCELS)

        async def cancel(job_id):
            async with limit:
                return await self._cancel(job_id)

        job_ids = dict.fromkeys(row["job"] for row in rows)
        return CommandReply(
            tuple(await asyncio.gather(*map(cancel, job_ids))), unresponsive
        )

    async def _cancel(self, job_id):
        reply = await self._gateway.await_cancel(job_id, CANCEL_TIMEOUT_S)
        match reply.outcome:
            case Outcome.STATE:
                result = str(reply.state)
            case Outcome.UNKNOWN_JOB:
                result = "no such job"
            case _:
                result = "outcome unknown"
        return {"job": job_id, "result": result}

    async def _drain(self, kind, name, drained):
        try:
            changed = await self._members.drain(kind, name, drained)
        except LogUnavailable as error:
            raise OperationError(Reason.LOG_UNAVAILABLE, str(error)) from error
        state = "drained" if drained else "not drained"
        result = state if changed else f"already {state}"
        return CommandReply(({"kind": str(kind), "name": name, "result": result},))

    # Other dispatchers

    async def _ask_all(self, question):
        """Returns the rows of all dispatchers and the addresses without an answer."""
        rows = list(self._inspector.answer(question))
        others = frozenset(self._others())
        if not others:
            return rows, ()
        number = next(self._question_numbers)
        done = asyncio.get_running_loop().create_future()
        pending = self._questions[number] = _Question(others, done)
        for address in others:
            self._send(address, InspectionRequest(number, command_text(question)))
        try:
            await asyncio.wait_for(done, INSPECTION_TIMEOUT_S)
        except TimeoutError:
            pass
        finally:
            del self._questions[number]
        for answered in pending.rows.values():
            rows.extend(answered)
        return rows, tuple(sorted(others - pending.rows.keys()))

    def handle_inspect(self, asker, message):
        """Answers another dispatcher's question with rows, or with a fault.

        ``asker`` is its (address, incarnation); the answer is for that one only.
        """
        try:
            rows = self._inspector.answer(parse(message.command))
        except FindingsError as error:
            self._send_reply(asker, InspectionResult(message.number, b"", str(error)))
            return
        data = Inspector.encode(rows)
        self._send_reply(asker, InspectionResult(message.number, data))

    def handle_inspection(self, address, message, event_log):
        """Collects the rows that another dispatcher sent.

        Rows that can't be read and faults are logged; the dispatcher then counts as
        unresponsive.
        """
        question = self._questions.get(message.number)
        if question is None:
            return
        try:
            rows = Inspector.decode(message.rows) if not message.fault else None
        except msgspec.MsgspecError as error:
            event_log("inspection:unreadable", sender=address, fault=str(error))
            return
        if rows is None:
            event_log("inspection:refused", sender=address, fault=message.fault)
            return
        question.rows[address] = rows
        if question.expected <= question.rows.keys() and not question.done.done():
            question.done.set_result(None)
