"""The tables that operators can ask for, and their columns."""

from dataclasses import dataclass
from enum import StrEnum, auto

__all__ = ["COLUMNS", "Column", "Kind", "Table", "find_column"]


class Table(StrEnum):
    """Names of the tables."""

    JOBS = "jobs"
    TASKS = "tasks"
    WORKERS = "workers"
    QUEUES = "queues"
    FLOWS = "flows"
    MEMBERS = "members"
    CONFIGURATION = "configuration"
    REFUSALS = "refusals"


class Kind(StrEnum):
    """What the cells of a column hold; an absent cell is null in any column."""

    TEXT = auto()
    NUMBER = auto()
    DURATION = auto()  # a number of milliseconds
    FLAG = auto()  # true or false
    LIST = auto()  # of texts


@dataclass(frozen=True, slots=True)
class Column:
    """One column of a table."""

    name: str
    kind: Kind
    meaning: str


def _texts(**columns):
    return _columns(Kind.TEXT, columns)


def _numbers(**columns):
    return _columns(Kind.NUMBER, columns)


def _durations(**columns):
    return _columns(Kind.DURATION, columns)


def _flags(**columns):
    return _columns(Kind.FLAG, columns)


def _lists(**columns):
    return _columns(Kind.LIST, columns)


def _columns(kind, columns):
    return tuple(Column(name, kind, meaning) for name, meaning in columns.items())


_FLOW = _texts(
    service="service that the work is for",
    subsidiary="subsidiary that submitted it",
    kind="kind of work",
)
_PLACE = _texts(
    data_centre="data centre of the worker",
    rack="rack of the worker",
)

COLUMNS = {
    Table.JOBS: (
        *_texts(
            job="job id", state="waiting or running: a job with an answer is not listed"
        ),
        *_FLOW,
        *_numbers(
            tasks="tasks of the job",
            waiting="tasks not sent to a worker",
            running="tasks sent and without a result",
            done="tasks with a result",
        ),
        *_texts(
            coordinator="member that decides on the job",
            workers="workers that its tasks were sent to, with commas between",
            why="why it waits, or where it runs",
        ),
    ),
    Table.TASKS: (
        *_texts(job="job id"),
        *_numbers(task="position in the job, from 0"),
        *_texts(worker="worker that runs the task", state="state of the task"),
        *_FLOW,
    ),
    Table.WORKERS: (
        *_texts(worker="member beside the backend server"),
        *_PLACE,
        *_lists(services="services of the backend server"),
        *_texts(state="state of the backend server"),
        *_numbers(
            slots="slots in all",
            free_slots="slots that no task and no grant holds",
            running="tasks that the backend server runs",
        ),
        *_durations(queued_ms="estimated time to work off the queue"),
        *_flags(draining="whether a drain keeps new work away"),
    ),
    Table.QUEUES: (
        *_texts(worker="worker that the queue is at"),
        *_FLOW,
        *_texts(coordinator="member that asked for the slots"),
        *_numbers(
            waiting="slots asked for and not granted",
            held="slots that the flow holds at the worker",
        ),
        *_texts(why="what the queue waits for"),
    ),
    Table.FLOWS: (
        *_texts(coordinator="member whose jobs these are"),
        *_FLOW,
        *_numbers(
            jobs="jobs without an answer",
            waiting="tasks not sent to a worker",
            running="tasks sent and without a result",
        ),
    ),
    Table.MEMBERS: (
        *_texts(
            member="name from the member's settings",
            incarnation="drawn at each start of the process",
            address="address of the member",
        ),
        *_PLACE,
        *_lists(services="services of the backend server"),
        *_numbers(
            slots="slots in all",
            memory_mb="memory for tasks",
            accelerators="accelerators for tasks",
        ),
        *_durations(
            lifetime_ms="how long an announcement holds",
            age_ms="time since the last announcement",
        ),
        *_flags(leaving="whether the member has said that it leaves"),
        *_texts(successor="member that holds the answers of one that left"),
    ),
    Table.CONFIGURATION: (
        *_numbers(offset="offset of the version in force"),
        *_texts(path="path of the setting, dotted", value="the setting as JSON"),
    ),
    Table.REFUSALS: (
        *_texts(
            process="name of the entry or member",
            counter="what was counted",
            reason="stable reason",
        ),
        *_numbers(count="occurrences since the process started"),
    ),
}


def find_column(table, name):
    """Returns the column ``name`` of ``table``, or None."""
    return next((column for column in COLUMNS[table] if column.name == name), None)
