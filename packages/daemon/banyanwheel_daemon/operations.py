"""Executes operators' commands at a dispatcher."""

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

__all__ = ["OperationError", "Operations", "Reply"]

INSPECTION_S = 1.0  # a dispatcher that takes longer is reported as silent
CANCEL_S = 3.0  # an append to a slow log
SUBMIT_S = 5.0
CONCURRENT_CANCELS = 64
# What every dispatcher knows alike is asked of none but this one.
SHARED_TABLES = (Table.WORKERS, Table.QUEUES, Table.PROCESSES)


@dataclass(frozen=True, slots=True)
class Reply:
    """Rows that answer a command, and the dispatchers that did not answer."""

    rows: tuple = ()
    silent: tuple = ()


@dataclass(slots=True)
class _Question:
    asked: frozenset
    done: asyncio.Future
    rows: dict = field(default_factory=dict)


class OperationError(BanyanwheelError):
    """A command that failed, told as a Problem."""

    def __init__(self, reason, detail):
        self.problem = Problem.of(reason, detail)
        super().__init__(detail)


class Operations:
    """Executes commands with the help of all dispatchers.

    ``others()`` returns the addresses of the other dispatchers and
    ``send(address, message)`` reaches one. ``desk`` takes callers' requests.
    """

    def __init__(self, inspector, desk, members, partitions, *, others, send):
        self._inspector = inspector
        self._desk = desk
        self._members = members
        self._partitions = partitions
        self._others = others
        self._send = send
        self._numbers = itertools.count(1)
        self._questions = {}

    async def execute(self, command):
        """Executes a parsed command and returns its Reply.

        Raises OperationError where it failed, LanguageError where a filter does not
        fit the rows.
        """
        match command:
            case Show():
                return await self._show(command)
            case Why(job_id):
                return await self._why(job_id)
            case Submit(job):
                return Reply((await self._submit(job),))
            case CancelJob(job_id):
                return Reply((await self._cancel(job_id),))
            case CancelJobs(where):
                return await self._cancel_jobs(where)
            case Drain(kind, name):
                return await self._drain(kind, name, drained=True)
            case Undrain(kind, name):
                return await self._drain(kind, name, drained=False)
            case Reconfigure():
                detail = "the log takes configurations from operators: give --log"
                raise OperationError(Reason.OPERATORS_ONLY, detail)
        raise TypeError(f"not a command: {command!r}")

    async def _show(self, show):
        question = Show(show.table, show.where)
        if show.table in SHARED_TABLES:
            rows, silent = self._inspector.answer(question), ()
        else:
            rows, silent = await self._ask_all(question)
        return Reply(tuple(select(show, rows)), silent)

    async def _why(self, job_id):
        rows, silent = await self._ask_all(Why(job_id))
        if not rows:
            partition = partition_of(job_id, self._partitions)
            owner = self._desk.owner_of(partition) or "no dispatcher"
            why = f"not known; partition {partition} is owned by {owner}"
            rows = [{"job": job_id, "state": "unknown", "why": why}]
        return Reply(tuple(rows), silent)

    async def _submit(self, job: JobDocument):
        job_id = new_job_id()
        reply = await self._desk.hand_in(job_id, job, SUBMIT_S)
        return {"job": job_id, "result": reply.state or str(reply.outcome)}

    async def _cancel_jobs(self, where):
        rows, silent = await self._ask_all(Show(Table.JOBS, where))
        turns = asyncio.Semaphore(CONCURRENT_CANCELS)

        async def cancel(job_id):
            async with turns:
                return await self._cancel(job_id)

        job_ids = dict.fromkeys(row["job"] for row in rows)
        return Reply(tuple(await asyncio.gather(*map(cancel, job_ids))), silent)

    async def _cancel(self, job_id):
        reply = await self._desk.call(self._desk.cancel, job_id, CANCEL_S)
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
        return Reply(({"kind": str(kind), "name": name, "result": result},))

    # Other dispatchers

    async def _ask_all(self, question):
        """Returns the rows of all dispatchers, and the names of the silent ones."""
        rows = list(self._inspector.answer(question))
        others = frozenset(self._others())
        if not others:
            return rows, ()
        number = next(self._numbers)
        done = asyncio.get_running_loop().create_future()
        asked = self._questions[number] = _Question(others, done)
        for address in others:
            self._send(address, InspectionRequest(number, command_text(question)))
        try:
            await asyncio.wait_for(done, INSPECTION_S)
        except TimeoutError:
            pass
        finally:
            del self._questions[number]
        for answered in asked.rows.values():
            rows.extend(answered)
        return rows, tuple(sorted(others - asked.rows.keys()))

    def take_inspect(self, address, message):
        """Answers another dispatcher's question."""
        try:
            rows = self._inspector.answer(parse(message.command))
        except FindingsError as error:
            self._send(address, InspectionResult(message.number, b"", str(error)))
            return
        data = Inspector.encode(rows)
        self._send(address, InspectionResult(message.number, data))

    def take_inspection(self, address, message, note):
        """Takes another dispatcher's rows."""
        question = self._questions.get(message.number)
        if question is None:
            return
        try:
            rows = Inspector.decode(message.rows) if not message.fault else None
        except msgspec.MsgspecError as error:
            note("inspection:unreadable", sender=address, fault=str(error))
            return
        if rows is None:
            note("inspection:refused", sender=address, fault=message.fault)
            return
        question.rows[address] = rows
        if question.asked <= question.rows.keys() and not question.done.done():
            question.done.set_result(None)
