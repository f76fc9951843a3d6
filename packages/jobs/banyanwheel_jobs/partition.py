"""One ownership of a partition: its jobs and its journal."""

from collections import deque
from dataclasses import dataclass, field

import msgspec

from .job import Job
from .journal import Journal
from .model import TRANSIENT_PARTITION, Submission, TaskId
from .records import Accepted, Ended, Progress, decode, split_key

__all__ = ["Partition", "PendingSubmission"]


@dataclass(frozen=True, slots=True)
class PendingSubmission:
    """A job that is being stored, and who waits for that."""

    submission: Submission
    replies: list


@dataclass(slots=True, eq=False)
class Partition:
    """The jobs of one partition while this process owns it.

    ``opened_at`` is in the owner's seconds. Until it is ``surveyed``, runs may exist
    that the owner doesn't know of.
    """

    number: int
    epoch: int
    opened_at: float
    journal: Journal
    jobs: dict = field(default_factory=dict)
    ended: dict = field(default_factory=dict)
    expiring: deque = field(default_factory=deque)  # (Unix ms of the end, job id)
    pending_submissions: dict = field(default_factory=dict)  # Storing by job id
    closing: dict = field(default_factory=dict)  # ended jobs with runs to be stopped
    surveyed: bool = False
    unreadable_records: int = 0

    @classmethod
    def open(cls, number, epoch, records, now, now_ms, unknown_run_until):
        """Restores a partition from the newest record of each key."""
        partition = cls(number, epoch, now, Journal(epoch))
        progress = {}
        for record in records:
            partition._restore(record, progress, now, now_ms)
        for job_id, stored in progress.items():
            if job_id in partition.jobs:
                partition.jobs[job_id].restore(stored)
        for job in partition.jobs.values():
            for tasks in job.tasks:
                for task in tasks:
                    task.unknown_run_until = unknown_run_until
        partition.expiring = deque(sorted(partition.expiring))
        return partition

    @classmethod
    def transient(cls, now):
        """Returns the place of the jobs that are not stored."""
        return cls(TRANSIENT_PARTITION, 0, now, Journal(0), surveyed=True)

    @property
    def all_jobs(self):
        """The jobs that may have runs."""
        return [*self.jobs.values(), *self.closing.values()]

    def _restore(self, record, progress, now, now_ms):
        job_id, is_progress = split_key(record.key)
        try:
            stored = decode(record.value)
        except msgspec.MsgspecError:
            self.unreadable_records += 1
            return
        match stored:
            case Accepted(submission, epoch):
                age = max(0, now_ms - submission.received_ms) / 1000
                job = Job.from_submission(submission, self.number, epoch, now - age)
                self.jobs[job_id] = job
            case Ended():
                self.add_ended(job_id, stored)
            case Progress() if is_progress:
                progress[job_id] = stored

    def add_ended(self, job_id, ended):
        """Keeps a job's end until nobody may ask for it any more."""
        self.ended[job_id] = ended
        self.expiring.append((ended.ended_ms, job_id))

    def knows(self, job_id):
        """Tells whether a job is stored here."""
        return job_id in self.jobs or job_id in self.ended

    def conflicts(self, submission):
        """Tells whether the id of a submission belongs to another job."""
        job_id = submission.job_id
        if job_id in self.ended:
            known = self.ended[job_id].fingerprint
            return known not in (b"", submission.fingerprint)
        known = self.jobs.get(job_id) or self.pending_submissions.get(job_id)
        return (
            known is not None and known.submission.fingerprint != submission.fingerprint
        )

    def mark_surveyed(self):
        """Notes that every run of this partition's tasks is known by now."""
        self.surveyed = True
        for job in self.jobs.values():
            for tasks in job.tasks:
                for task in tasks:
                    task.unknown_run_until = 0.0

    def find(self, task_id):
        """Returns a job and its task, each None where there is none."""
        job = self.jobs.get(task_id.job) or self.closing.get(task_id.job)
        return job, job.find(TaskId(*task_id)) if job else None
