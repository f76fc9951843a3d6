"""Executes operators' commands on an entry."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

import msgspec

from banyanwheel_core.documents import Document
from banyanwheel_core.errors import BanyanwheelError
from banyanwheel_core.language import (
    COLUMNS,
    CancelJob,
    CancelJobs,
    Drain,
    DrainKind,
    Reconfigure,
    Show,
    Submit,
    Table,
    Undrain,
    Why,
    matches,
    select,
)
from banyanwheel_core.models import Answer, JobSpec, JobState, Outcome, Reason

from .problems import PLAIN_TYPE, Problem

__all__ = [
    "Desk",
    "Inspection",
    "NotPublished",
    "OperationError",
    "Operations",
    "PublishConflict",
    "Published",
    "Reply",
    "Row",
    "Verdict",
]

PUBLISH_ATTEMPTS = 8  # of a drain that meets conflicts
CONFLICT_PAUSE_S = 0.05  # before the next attempt
CONCURRENT_CANCELS = 64
DRAIN_LISTS = {
    DrainKind.WORKER: "workers",
    DrainKind.RACK: "racks",
    DrainKind.DATA_CENTRE: "data_centres",
}
FLOW_FIELDS = ("coordinator", "service", "subsidiary", "kind")

Row = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Inspection:
    """Rows of a table, and the members that did not answer for theirs."""

    rows: tuple[Row, ...]
    silent: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Published:
    """The document is the version in force at ``offset``."""

    offset: int


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """Nothing changed: the version at ``offset`` came first."""

    offset: int


@dataclass(frozen=True, slots=True)
class NotPublished:
    """The document was rejected, or the log did not answer for it.

    ``outcome`` is NOT_RUN where the document is certain not to take effect.
    """

    outcome: Outcome
    detail: str
    place: str = ""


Verdict = Published | PublishConflict | NotPublished


class Desk(Protocol):
    """What an entry does for its operators."""

    async def inspect(self, table: Table) -> Inspection:
        """Asks every agent for its rows of ``table``.

        It is never asked for FLOWS or CONFIGURATION, which follow from the others.
        """

    async def why(self, job_id: str) -> list[Row]:
        """Returns what is known of a job's waiting, refusal and placement."""

    async def submit(self, spec: JobSpec) -> Answer:
        """Submits a job under a fresh id and waits for its answer."""

    async def cancel(self, job_id: str) -> Answer:
        """Cancels a job and waits for its answer."""

    def configuration(self) -> tuple[int, dict[str, Any]]:
        """Returns the offset and the decoded document of the version in force."""

    async def publish(self, document: dict[str, Any], base: int) -> Verdict:
        """Publishes a document made from the version at the offset ``base``."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Rows that answer a command, and the members that did not answer."""

    rows: tuple[Row, ...]
    silent: tuple[str, ...] = ()


class OperationError(BanyanwheelError):
    """A command that failed, told as a :class:`Problem`."""

    def __init__(self, status, title, detail, outcome, place=""):
        self.problem = Problem(
            PLAIN_TYPE, title, status, detail, outcome=outcome, place=place
        )
        super().__init__(f"{title}: {detail}")


class Operations:
    """Executes parsed commands at a desk."""

    def __init__(self, desk: Desk, conflict_pause_s=CONFLICT_PAUSE_S):
        self._desk = desk
        self._conflict_pause_s = conflict_pause_s

    async def execute(self, command) -> Reply:
        """Executes a command.

        Raises OperationError where it failed, LanguageError where a filter does not
        fit the rows, FindingsError with every fault of a configuration.
        """
        match command:
            case Show():
                return await self._show(command)
            case Why(job_id):
                return Reply(tuple(await self._desk.why(job_id)))
            case Submit(spec):
                answer = await self._desk.submit(spec)
                return Reply((msgspec.to_builtins(answer),))
            case CancelJob(job_id):
                return Reply((await self._cancel(job_id),))
            case CancelJobs(where):
                return await self._cancel_jobs(where)
            case Drain(kind, name):
                return await self._change_drain(kind, name, drained=True)
            case Undrain(kind, name):
                return await self._change_drain(kind, name, drained=False)
            case Reconfigure(document, base):
                return await self._reconfigure(document, base)
        raise TypeError(f"not a command: {command!r}")

    async def _show(self, show):
        if show.table is Table.CONFIGURATION:
            inspection = Inspection(_configuration_rows(*self._desk.configuration()))
        elif show.table is Table.FLOWS:
            jobs = await self._desk.inspect(Table.JOBS)
            inspection = Inspection(_flow_rows(jobs.rows), jobs.silent)
        else:
            inspection = await self._desk.inspect(show.table)
        chosen = select(show, inspection.rows)
        rows = tuple(_in_column_order(show.table, row) for row in chosen)
        return Reply(rows, inspection.silent)

    async def _cancel_jobs(self, where):
        inspection = await self._desk.inspect(Table.JOBS)
        job_ids = [row["job"] for row in inspection.rows if matches(where, row)]
        turns = asyncio.Semaphore(CONCURRENT_CANCELS)

        async def cancel(job_id):
            async with turns:
                return await self._cancel(job_id)

        rows = await asyncio.gather(*map(cancel, dict.fromkeys(job_ids)))
        return Reply(tuple(rows), inspection.silent)

    async def _cancel(self, job_id):
        try:
            answer = await self._desk.cancel(job_id)
        except BanyanwheelError as error:
            return {"job": job_id, "result": "outcome unknown", "detail": str(error)}
        row = {"job": job_id, "result": _result_text(answer)}
        if answer.reason is not None:
            row["reason"] = str(answer.reason)
        if answer.detail:
            row["detail"] = answer.detail
        return row

    async def _change_drain(self, kind, name, drained):
        for _ in range(PUBLISH_ATTEMPTS):
            base, document = self._desk.configuration()
            changed = _with_drain(document, kind, name, drained)
            if changed is None:
                return Reply((_drain_row(kind, name, drained, base, changed=False),))
            verdict = await self._desk.publish(changed, base)
            match verdict:
                case Published(offset):
                    row = _drain_row(kind, name, drained, offset, changed=True)
                    return Reply((row,))
                case PublishConflict():
                    await asyncio.sleep(self._conflict_pause_s)
                case NotPublished():
                    raise _not_published(verdict)
        raise _conflict(verdict.offset, base)

    async def _reconfigure(self, document, base):
        if base is None:
            base, _ = self._desk.configuration()
        Document.from_json(msgspec.json.encode(document))
        verdict = await self._desk.publish(document, base)
        match verdict:
            case Published(offset):
                return Reply(({"result": "in force", "offset": offset, "from": base},))
            case PublishConflict(offset):
                raise _conflict(offset, base)
        raise _not_published(verdict)


def _result_text(answer):
    if answer.state is JobState.COMPLETE:
        return "complete"
    if answer.state is not JobState.FAILED:
        return str(answer.state)
    match answer.outcome:
        case Outcome.NOT_RUN if answer.reason is Reason.CANCELLED:
            return "cancelled, not run"
        case Outcome.NOT_RUN:
            return "failed, not run"
        case Outcome.RAN:
            return "failed, ran"
    return "failed, outcome unknown"


def _with_drain(document, kind, name, drained):
    """Returns the changed document, or None where there is nothing to change."""
    drains = document.get("drains", {})
    names = set(drains.get(DRAIN_LISTS[kind], ()))
    if (name in names) == drained:
        return None
    names ^= {name}
    return {**document, "drains": {**drains, DRAIN_LISTS[kind]: sorted(names)}}


def _drain_row(kind, name, drained, offset, changed):
    state = "drained" if drained else "not drained"
    result = state if changed else f"already {state}"
    return {"kind": str(kind), "name": name, "result": result, "offset": offset}


def _in_column_order(table, row):
    names = [column.name for column in COLUMNS[table] if column.name in row]
    return {name: row[name] for name in names} | row


def _flow_rows(jobs):
    flows = {}
    for job in jobs:
        key = tuple(job[name] for name in FLOW_FIELDS)
        row = flows.setdefault(
            key, dict(zip(FLOW_FIELDS, key, strict=True)) | {"jobs": 0}
        )
        row["jobs"] += 1
        for name in ("waiting", "running"):
            row[name] = row.get(name, 0) + job[name]
    return tuple(flows.values())


def _configuration_rows(offset, document):
    return tuple(
        {"offset": offset, "path": path, "value": msgspec.json.encode(value).decode()}
        for path, value in _leaves(document, "")
    )


def _leaves(value, path):
    if not isinstance(value, dict) or not value:
        yield path, value
        return
    for name, part in value.items():
        yield from _leaves(part, f"{path}.{name}" if path else name)


def _conflict(winner, base):
    detail = f"made from offset {base}, but the version at offset {winner} came first"
    return OperationError(
        HTTPStatus.CONFLICT, "configuration conflict", detail, Outcome.NOT_RUN
    )


def _not_published(verdict):
    rejected = verdict.outcome is Outcome.NOT_RUN and verdict.place
    status = HTTPStatus.BAD_REQUEST if rejected else HTTPStatus.GATEWAY_TIMEOUT
    return OperationError(
        status, "not published", verdict.detail, verdict.outcome, verdict.place
    )
