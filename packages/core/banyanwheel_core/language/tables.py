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
    PARTITIONS = "partitions"
    PROCESSES = "processes"
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


COLUMNS = {
    Table.JOBS: (
        *_texts(
            job="job id",
            queue="queue that it was handed in to",
            service="service whose workers run it",
            state="queued until a task is known to have started, then running",
            dispatcher="process that decides about it",
        ),
        *_flags(stored="whether it is kept on the log"),
        *_numbers(
            tasks="tasks of the job",
            waiting="tasks without a run",
            placed="tasks with a run at a runner",
            done="tasks that are done",
            failed_runs="runs that have failed",
        ),
        *_durations(
            age_ms="time since it was received",
            slack_ms="time left to start what remains and end on time",
        ),
        *_texts(why="why it waits, or where it runs"),
    ),
    Table.TASKS: (
        *_texts(job="job id"),
        *_numbers(
            step="number of its step, from 0", index="number in the step, from 0"
        ),
        *_texts(state="waiting, placed or done", runner="runner that holds its run"),
        *_numbers(
            run="number of its newest run",
            failed_runs="runs that have failed",
            restarts="runs that were stopped because they stood still or crawled",
        ),
    ),
    Table.WORKERS: (
        *_texts(
            worker="id of the worker",
            runner="address of the runner beside it",
            data_centre="data centre of both",
            service="service that it belongs to",
        ),
        *_lists(labels="its labels, such as its kind and rack"),
        *_numbers(
            cpu="thousandths of a core",
            free_cpu="thousandths of a core that are free",
            memory_mb="memory for tasks",
            free_memory_mb="memory that is free",
            gpus="accelerators",
            slowness="run time of recent tasks over their estimates",
        ),
        *_flags(
            accepting="whether its runner takes tasks for it",
            suspected="whether it is left out since runs failed or stood still there",
            on_trial="whether it gets two tasks at a time until its pace is known",
            drained="whether a drain keeps new work away",
            evacuated="whether an evacuation of its data centre keeps new work away",
        ),
        *_durations(age_ms="time since its runner was heard"),
    ),
    Table.QUEUES: (
        *_texts(
            queue="name of the queue",
            host="host under which callers reach it",
            prefix="path prefix under which callers reach it",
            service="service whose workers run its jobs",
        ),
        *_numbers(
            priority="0 comes first",
            max_attempts="failed runs of a task that end its job",
            slack_factor="times the longest chain of work until a job is late",
            pending="accepted jobs with no task started, over all dispatchers",
            version="version of the configuration",
        ),
        *_durations(target_ms="added to the time until a job is late"),
        *_numbers(
            demand_cpu="thousandths of a core that its jobs need here at present",
            served_percent="of its jobs that ended here in the last seconds",
        ),
        *_lists(below_floor="width classes that go first: usual, wide, widest"),
    ),
    Table.PARTITIONS: (
        *_numbers(partition="number of the partition", epoch="its owner's epoch"),
        *_texts(dispatcher="process that owns it"),
        *_numbers(jobs="jobs that have not ended", ended="ended jobs that are kept"),
        *_flags(
            surveyed="whether all runs of its jobs are known",
            stalled="whether the log gives no answers for it",
        ),
    ),
    Table.PROCESSES: (
        *_texts(
            process="address of the process",
            role="dispatcher or runner",
            data_centre="data centre of the process",
        ),
        *_durations(age_ms="time since it was heard by the dispatcher asked"),
    ),
    Table.REFUSALS: (
        *_texts(
            process="name of the dispatcher",
            counter="what was counted",
            reason="stable reason",
        ),
        *_numbers(count="occurrences since the process started"),
    ),
}


def find_column(table, name):
    """Returns the column ``name`` of ``table``, or None."""
    return next((column for column in COLUMNS[table] if column.name == name), None)
