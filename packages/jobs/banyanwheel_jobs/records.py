"""Records of a job on the log.

The key of a job holds its submission, which the final state replaces once the job has
ended. A second key holds its progress, if any was stored before the end.
"""

import msgspec

from banyanwheel_core import decoding

from .model import JobState, Submission

__all__ = [
    "Accepted",
    "Ended",
    "Progress",
    "Withdrawn",
    "decode",
    "encode",
    "job_key",
    "progress_key",
    "split_key",
]

_PROGRESS_PREFIX = "p:"


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A job as its owner accepted it, in ``epoch``."""

    submission: Submission
    epoch: int


class Progress(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Done and failed runs of a job, as (step, index, run).

    ``replacements`` are the runs, not all of them placed, that replaced one whose end
    was unknown. It may have ended before they started.
    """

    done: tuple[tuple[int, int, int], ...]
    failed: tuple[tuple[int, int, int], ...]
    replacements: tuple[tuple[int, int, int], ...] = ()


class Ended(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The end of a job; ``ended_ms`` is Unix time.

    ``done`` and ``replacements`` are as in :class:`Progress`; ``fingerprint`` is that
    of the submission.
    """

    state: JobState
    ended_ms: int
    done: tuple[tuple[int, int, int], ...] = ()
    reason: str = ""
    fingerprint: bytes = b""
    replacements: tuple[tuple[int, int, int], ...] = ()

    def supersedes(self, task, run):
        """Tells whether a later run of the task may have started after this run ended.

        A run that completed its task is not superseded.
        """
        completing = _run_of(task, self.done)
        if completing is not None:
            return run != completing
        replacement = _run_of(task, self.replacements)
        return replacement is not None and run < replacement


class Withdrawn(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A cancel of a job that isn't stored; one that arrives later is not run.

    ``canceled_ms`` is Unix time.
    """

    canceled_ms: int


def _run_of(task, runs):
    """Returns the run of a task among (step, index, run), None if there is none."""
    for step, index, run in runs:
        if (step, index) == (task.step, task.index):
            return run
    return None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Accepted | Progress | Ended | Withdrawn)


def encode(record):
    """Encodes a record as bytes."""
    return _ENCODER.encode(record)


def decode(data):
    """Decodes a record; raises msgspec.MsgspecError if the data isn't one."""
    return decoding.decode(_DECODER, data)


def job_key(job_id):
    """Returns the key that holds a job's submission or final state."""
    return job_id


def progress_key(job_id):
    """Returns the key that holds a job's progress."""
    return _PROGRESS_PREFIX + job_id


def split_key(key):
    """Returns the id of the job, and whether the key holds its progress."""
    if key.startswith(_PROGRESS_PREFIX):
        return key.removeprefix(_PROGRESS_PREFIX), True
    return key, False
