"""What is stored of a job on the log.

Under a job's key stands its submission, and in its place the final state once it has
ended. Under a second key stands its progress, if it was written before the end.
"""

import msgspec

from .model import JobState, Submission

__all__ = [
    "Accepted",
    "Ended",
    "Progress",
    "decode",
    "encode",
    "job_key",
    "progress_key",
    "split_key",
]

_PROGRESS_PREFIX = "p:"


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A job as it was taken, by an owner of ``epoch``."""

    submission: Submission
    epoch: int


class Progress(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Runs that are done and runs that have failed, as (step, index, run)."""

    done: tuple[tuple[int, int, int], ...]
    failed: tuple[tuple[int, int, int], ...]


class Ended(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A job that has ended at a Unix time; ``done`` as in :class:`Progress`.

    ``fingerprint`` is that of its submission.
    """

    state: JobState
    ended_ms: int
    done: tuple[tuple[int, int, int], ...] = ()
    reason: str = ""
    fingerprint: bytes = b""

    def completing_run(self, task):
        """Returns the run that did a task, None where none is known."""
        for step, index, run in self.done:
            if (step, index) == (task.step, task.index):
                return run
        return None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Accepted | Progress | Ended)


def encode(record):
    """Returns a record as bytes."""
    return _ENCODER.encode(record)


def decode(data):
    """Reads a record; raises msgspec.MsgspecError for anything else."""
    return _DECODER.decode(data)


def job_key(job_id):
    """Returns the key of a job's submission or final state."""
    return job_id


def progress_key(job_id):
    """Returns the key of a job's progress."""
    return _PROGRESS_PREFIX + job_id


def split_key(key):
    """Returns the job's id, and whether the key is that of its progress."""
    if key.startswith(_PROGRESS_PREFIX):
        return key.removeprefix(_PROGRESS_PREFIX), True
    return key, False
