"""Decides about the jobs of the partitions that this process owns.

The owner stores a job before accepting it, and the end of a run before acknowledging
it, since the worker may then forget it. It acts only on messages and on the time passed
to it, ``now`` in seconds. Its process supplies ``send(runner, message)``,
``store(partition)``, which writes the partition's journal, and
``event_log(event, **fields)``.
"""

from collections import OrderedDict
from functools import partial

from ..authority import replacement_delay_s
from ..durations.durations import Durations
from ..evacuation import Evacuations
from ..messages import StopTasks, TaskRun
from ..model import TRANSIENT_PARTITION, JobState, partition_of
from ..outcomes import Outcome, Reply
from ..records import Ended, encode, job_key, progress_key
from ..shares.return_places import ReturnPlaces
from ..shares.shares import Shares
from ..shares.waiting_order import WaitingOrder
from .dispatching import Dispatching
from .drains import Drains
from .evacuating import Evacuating
from .partition import Partition
from .progress_handling import ProgressHandling
from .report_handling import ReportHandling
from .runner_needs import RunnerNeeds
from .stored import StoredJobs
from .stragglers import PromisedRoom
from .supervision import Supervision
from .transient import TransientJobs
from .waiting import WaitingJobs

__all__ = ["Owner"]

RETENTION_MARGIN_S = 30.0


class Owner(
    ReportHandling,
    ProgressHandling,
    StoredJobs,
    TransientJobs,
    Dispatching,
    Supervision,
    Evacuating,
    RunnerNeeds,
):
    """The jobs of the owned partitions, and the runners that run their tasks."""

    def __init__(
        self,
        partitions,
        placement,
        *,
        retention_s,
        wall_ms,
        send,
        store,
        event_log,
    ):
        self._partition_count = partitions
        self._placement = placement
        self._durations = Durations()
        self._promised_room = PromisedRoom()
        self._replacement_s = replacement_delay_s(transient=False)
        self._transient_replacement_s = replacement_delay_s(transient=True)
        self._retention_ms = (retention_s + RETENTION_MARGIN_S) * 1000
        self._wall_ms = wall_ms
        self._send = send
        self._store = store
        self._event_log = event_log
        self._partitions = {}
        self._transient = Partition.transient(0.0)
        self._views = {}
        self._waiting = WaitingJobs()
        self._reachable_at = None  # when a runner was last usable, or startup ends
        self._canceled = OrderedDict()  # ids of transient jobs that callers canceled
        self._refused = OrderedDict()  # reasons by id of transient jobs
        self._return_places = ReturnPlaces()
        self._order = WaitingOrder()
        self.drains = Drains()
        self.evacuations = Evacuations.not_followed()
        self._evacuation_checked_at = float("-inf")
        self._any_evacuated = False
        self.shares = Shares()

    @property
    def partitions(self):
        """The partitions owned at present, by number."""
        return self._partitions

    @property
    def views(self):
        """The view of each known runner, by the runner's name."""
        return self._views

    @property
    def pending(self):
        """The number of accepted jobs with no task known to have started, by queue."""
        counts = {}
        for partition in self.all_partitions:
            for job in partition.jobs.values():
                if job.state is JobState.QUEUED:
                    name = job.submission.queue.name
                    counts[name] = counts.get(name, 0) + 1
        return counts

    @property
    def refused(self):
        """The reasons why transient jobs were refused recently, by job id."""
        return self._refused

    @property
    def placement(self):
        """The policy that chooses a runner for each task."""
        return self._placement

    @property
    def durations(self):
        """The expected duration of tasks by kind, as learned here."""
        return self._durations

    @property
    def transient(self):
        """The partition of the transient jobs, which are not stored."""
        return self._transient

    @property
    def all_partitions(self):
        """The owned partitions and that of the transient jobs."""
        return (*self._partitions.values(), self._transient)

    @property
    def held_bytes(self):
        """The memory that the jobs of all partitions take."""
        return sum(partition.held_bytes for partition in self.all_partitions)

    def _partition(self, number):
        if number == TRANSIENT_PARTITION:
            return self._transient
        return self._partitions.get(number)

    # Ownership

    def open(self, number, epoch, records, now, now_ms):
        """Takes over a partition and restores its jobs from ``records``.

        ``records`` are the newest of each key; ``now_ms`` is the Unix time in ms.
        """
        partition = Partition.open(
            number, epoch, records, now, now_ms, now + self._replacement_s
        )
        self._partitions[number] = partition
        self._waiting.update(partition.jobs.values())
        for job in partition.jobs.values():
            self.shares.arrive(job)
        self._event_log(
            "partition:opened",
            partition=number,
            epoch=epoch,
            open_jobs=len(partition.jobs),
            ended_jobs=len(partition.ended),
            unread=partition.unreadable_records,
        )
        return partition

    def close(self, number, reason):
        """Ends the ownership of a partition; callers awaiting an end get NOT_OWNER."""
        partition = self._partitions.pop(number, None)
        if partition is None:
            return
        self._waiting.difference_update(partition.jobs.values())
        for job in partition.jobs.values():
            self.shares.forget(job)
            for reply in job.on_final:
                reply(Reply(Outcome.NOT_OWNER))
        self._event_log(
            "partition:closed", partition=number, epoch=partition.epoch, reason=reason
        )
        partition.journal.abandon()

    def partition_for(self, job_id):
        """Returns the partition of a job, or None if another process owns it."""
        return self._partitions.get(partition_of(job_id, self._partition_count))

    # Ends

    def _end_job(self, partition, job, event, reason=""):
        """Stores a job's final state; callers and runners see it only afterwards."""
        if partition is self._transient:
            self._end_transient(job, event, reason)
            return
        job.ending = state = job.state_after(event)
        job.reason = reason
        self._waiting.discard(job)
        if state is JobState.CANCELED:
            self.shares.forget(job)
        else:
            self.shares.settle(job, served=state is JobState.COMPLETED)
        ended = Ended(
            state,
            self._wall_ms(),
            job.done_runs(),
            reason,
            job.submission.fingerprint,
            job.replacement_runs(),
        )
        records = [(job_key(job.id), encode(ended))]
        if job.progress_stored:
            records.append((progress_key(job.id), None))

        def stored():
            job.state = state
            del partition.jobs[job.id]
            partition.add_ended(job.id, ended)
            self._event_log(
                "job:ended",
                job=job.id,
                state=state,
                reason=reason,
                epoch=partition.epoch,
            )
            self._stop_runs(partition, job.placed())
            self._acknowledge_ends(job)
            for reply in job.on_final:
                reply(Reply(Outcome.STATE, state))

        partition.journal.add(records, stored)
        self._store(partition)

    def _stop_runs(self, partition, tasks):
        by_runner = {}
        for task in tasks:
            task.stopping = True
            by_runner.setdefault(task.runner, []).append(TaskRun(task.id, task.run))
        for runner, runs in by_runner.items():
            message = StopTasks(partition.number, partition.epoch, tuple(runs))
            self._send(runner, message)

    # Time

    def tick(self, now):
        """Does the periodic work.

        Resends assignments, releases the tasks of unresponsive runners, stores
        progress, drops expired jobs and places waiting tasks.
        """
        self.has_reachable_runner(now)
        for view in self._views.values():
            self._resend(view, now)
            self._release_unresponsive(view, now)
        self._release_unlisted(now)
        for partition in self._partitions.values():
            self._survey(partition, now)
            self._store_progress(partition, now)
            self._expire_ended_jobs(partition)
        self._refresh_shares(now)
        self._expire_transient(now)
        self.dispatch(now)

    def _refresh_shares(self, now):
        for service in self.shares.refresh(now, partial(self._capacity_cpu_s, now)):
            account = self.shares.services[service]
            self._event_log(
                "shares:short" if account.short else "shares:enough",
                service=service,
                demand_cpu=round(account.demand_cpu),
                capacity_cpu=round(self._capacity_cpu_s(now, service)),
            )

    def usable_runners(self, now):
        """Returns the number of runners that may get tasks."""
        return sum(view.usable(now) for view in self._views.values())

    def free_cpu(self, now):
        """Returns the free CPU of the usable runners, in thousandths of a core."""
        views = [view for view in self._views.values() if view.usable(now)]
        return sum(max(0, view.free.cpu) for view in views)

    def runners_in_use(self):
        """Returns the runners with runs, or with ends that are being stored."""
        jobs = [job for each in self.all_partitions for job in each.all_jobs]
        in_use = {task.runner for job in jobs for task in job.placed()}
        for job in jobs:
            in_use.update(job.unstored_ends.values(), job.storing_ends.values())
        return in_use

    @property
    def has_waiting_jobs(self):
        """Whether a job may have tasks to place."""
        return bool(self._waiting)

    @property
    def waiting_cpu_ms(self):
        """The estimated work that waits for room, by service.

        It is in thousandths of a core x ms. Jobs that no worker may run don't count.
        """
        return self._waiting.work_by_service

    def find(self, number, task_id):
        """Returns partition, job and task, each None if this owner does not know it."""
        partition = self._partition(number)
        if partition is None:
            return None, None, None
        job, task = partition.find(task_id)
        return partition, job, task
