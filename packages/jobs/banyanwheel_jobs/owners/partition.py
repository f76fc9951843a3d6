"""A partition of the log that a dispatcher owns: its jobs and its journal."""

from collections import deque
from dataclasses import dataclass, field

import msgspec

from ..model import TRANSIENT_PARTITION, Submission, TaskId
from ..open_work import HeldTable
from ..records import Accepted, Ended, Progress, Withdrawn, decode, split_key
from .job import Job
from .journal import Journal

__all__ = ["Partition", "PendingSubmission"]


@dataclass(frozen=True, slots=True)
class PendingSubmission:
    """A submission that is being stored, and who waits for it.

    ``replies`` are those of its submitters; ``requests`` are functions that serve other
    requests for the job, with what is known then.
    """

    submission: Submission
    replies: list
    requests: list = field(default_factory=list)

    def wait(self, request):
        """Has ``request()`` called later; returns a function that takes this back."""
        self.requests.append(request)

        def leave():
            if request in self.requests:
                self.requests.remove(request)

        return leave

    def serve_requests(self):
        """Serves the requests that wait."""
        requests = list(self.requests)
        self.requests.clear()
        for request in requests:
            request()


@dataclass(slots=True, eq=False)
class Partition:
    """The jobs of one partition while this process owns it.

    ``opened_at`` is in seconds of the owner's clock. Until the partition is
    ``surveyed``, its tasks may have runs that the owner doesn't know of.
    ``pending_submissions`` holds a :class:`PendingSubmission` for each job that is
    being stored. ``withdrawn`` are the ids that were canceled before a job of that id
    was stored.
    """

    number: int
    epoch: int
    opened_at: float
    journal: Journal
    jobs: HeldTable = field(default_factory=HeldTable.of_jobs)
    ended: dict = field(default_factory=dict)
    withdrawn: dict = field(default_factory=dict)  # Unix ms of the cancel, by id
    # (Unix ms of the end or of the cancel, job id)
    expiring: deque = field(default_factory=deque)
    pending_submissions: dict = field(default_factory=dict)  # by job id
    # ended jobs whose runs must stop
    closing: HeldTable = field(default_factory=HeldTable.of_jobs)
    surveyed: bool = False
    inherited: bool = False  # a former owner left jobs that have not ended
    unreadable_records: int = 0

    @classmethod
    def open(cls, number, epoch, records, now, now_ms, unknown_run_until):
        """Restores a partition from the newest record of each key.

        ``now`` and ``unknown_run_until`` are in seconds of the owner's clock;
        ``now_ms`` is Unix time.
        """
        partition = cls(number, epoch, now, Journal(epoch))
        progress = {}
        for record in records:
            partition._restore(record, progress, now, now_ms)
        for job_id, stored in progress.items():
            if job_id in partition.jobs:
                partition.jobs[job_id].restore(stored)
        partition.inherited = bool(partition.jobs)
        for job in partition.jobs.values():
            for tasks in job.tasks:
                for task in tasks:
                    task.unknown_run_until = unknown_run_until
                    task.end_unknown = True
        partition.expiring = deque(sorted(partition.expiring))
        return partition

    @classmethod
    def transient(cls, now):
        """Returns the partition of the jobs that are not stored."""
        return cls(TRANSIENT_PARTITION, 0, now, Journal(0), surveyed=True)

    @property
    def recovering(self):
        """Whether runs of a former owner are searched for."""
        return self.inherited and not self.surveyed

    @property
    def all_jobs(self):
        """The jobs that may have runs."""
        return [*self.jobs.values(), *self.closing.values()]

    @property
    def held_bytes(self):
        """The memory that these jobs take."""
        return self.jobs.held_bytes + self.closing.held_bytes

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
            case Withdrawn(canceled_ms):
                self.withdraw(job_id, canceled_ms)
            case Progress() if is_progress:
                progress[job_id] = stored

    def add_ended(self, job_id, ended):
        """Keeps the end of a job for as long as a caller may ask for it."""
        self.withdrawn.pop(job_id, None)
        self.ended[job_id] = ended
        self.expiring.append((ended.ended_ms, job_id))

    def withdraw(self, job_id, canceled_ms):
        """Keeps the id of a canceled job that isn't stored for as long as an end."""
        self.withdrawn[job_id] = canceled_ms
        self.expiring.append((canceled_ms, job_id))

    def pop_expired(self, oldest_kept_ms):
        """Forgets the ends and cancels before a Unix time; returns their job ids."""
        expired = []
        while self.expiring and self.expiring[0][0] < oldest_kept_ms:
            at_ms, job_id = self.expiring.popleft()
            if job_id in self.pending_submissions:
                continue
            # A later end or cancel has an entry of its own.
            if job_id in self.ended and self.ended[job_id].ended_ms <= at_ms:
                del self.ended[job_id]
                expired.append(job_id)
            elif self.withdrawn.get(job_id, at_ms + 1) <= at_ms:
                del self.withdrawn[job_id]
                expired.append(job_id)
        return expired

    def knows(self, job_id):
        """Tells whether the partition has a job, open or ended."""
        return job_id in self.jobs or job_id in self.ended

    def conflicts(self, submission):
        """Tells whether another job has the id of a submission."""
        job_id = submission.job_id
        if job_id in self.ended:
            known = self.ended[job_id].fingerprint
            return known not in (b"", submission.fingerprint)
        known = self.jobs.get(job_id) or self.pending_submissions.get(job_id)
        return (
            known is not None and known.submission.fingerprint != submission.fingerprint
        )

    def mark_surveyed(self):
        """Records that the owner knows every run and end of the partition's tasks."""
        for _, tasks in self.end_survey():
            for task in tasks:
                task.end_unknown = False

    def end_survey(self):
        """Records that no run goes on that the owner doesn't know of.

        Returns (job, tasks) pairs of the tasks with a run whose end may be unknown.
        """
        self.surveyed = True
        unknown = []
        for job in self.jobs.values():
            all_tasks = [task for tasks in job.tasks for task in tasks]
            for task in all_tasks:
                task.unknown_run_until = 0.0
            unknown.append((job, [task for task in all_tasks if task.has_unknown_end]))
        return unknown

    def find(self, task_id):
        """Returns the job and the task with an id, each None if there is none."""
        job = self.jobs.get(task_id.job) or self.closing.get(task_id.job)
        return job, job.find(TaskId(*task_id)) if job else None
