"""Decides about the jobs of the partitions that this process owns.

The owner stores a job before it is accepted and an end before the worker may forget it.
It is driven by messages and the time. Its process carries out ``send(runner, message)``
and ``store(partition)``, and keeps what ``note(event, **fields)`` tells.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from .authority import replacement_delay
from .ends import EndHandling
from .headroom import Headroom
from .job import Job, TaskState
from .messages import Order, StartTasks, StopTasks, TaskRun
from .model import TRANSIENT, JobState, Submission, partition_of
from .partition import EndedJob, Partition
from .placement import is_hopeless, rank
from .records import Accepted, Ended, Progress, encode, job_key, progress_key

__all__ = ["Outcome", "Owner", "Reply"]

PROGRESS_DELAY_S = 1.5  # ends wait this long for the job's own end; RULES allow 4 s
# An order is void well before its owner gives a silent runner up and places the task
# elsewhere: SILENT_AFTER_S and this are less than TRANSIENT_AUTHORITY_S.
ORDER_LIFE_S = 0.35
UNLISTED_S = 0.5  # a run that its runner's reports lack for this long is not there
RESEND_S = 0.3  # an order that no report shows is sent again
RETENTION_MARGIN_S = 30.0
UNREACHED_S = 0.5  # without a usable runner, jobs are refused
CANCELED_KEPT = 5_000  # far above the jobs canceled within their deadlines
RETRY_AFTER_MS = 1_000  # the log is usually back, or the partition moved, by then
SOUND_SHARE = 0.5  # of the runners, below which suspicion is not acted on
MISFITS_PER_ROUND = 32  # jobs without a place that a round passes over


class Outcome(StrEnum):
    """What came of a caller's request."""

    ACCEPTED = "accepted"
    STATE = "state"
    UNKNOWN_JOB = "unknown-job"
    NOT_STORED = "not-stored"  # it will never run
    IN_DOUBT = "in-doubt"  # it may be stored
    NOT_OWNER = "not-owner"


@dataclass(frozen=True, slots=True)
class Reply:
    """An outcome, with the job's state where there is one."""

    outcome: Outcome
    state: str = ""
    retry_ms: int = 0


@dataclass(slots=True)
class _Sent:
    """An order that no report has shown yet."""

    resources: object
    message: StartTasks
    sent_at: float


class Owner(EndHandling):
    """The jobs of some partitions, and the runners that they are placed at."""

    def __init__(
        self,
        partitions,
        placement,
        *,
        retention_s,
        wall_ms,
        send,
        store,
        note,
    ):
        self._partition_count = partitions
        self._placement = placement
        self._replacement_s = replacement_delay(transient=False)
        self._transient_replacement_s = replacement_delay(transient=True)
        self._retention_ms = (retention_s + RETENTION_MARGIN_S) * 1000
        self._wall_ms = wall_ms
        self._send = send
        self._store = store
        self._note = note
        self._partitions = {}
        self._transient = Partition.transient(0.0)
        self._views = {}
        self._waiting = set()  # jobs that may have tasks to place
        self._reached_at = float("-inf")  # when a runner could be used
        self._canceled = OrderedDict()  # ids of transient jobs that callers canceled

    @property
    def partitions(self):
        """The partitions owned now, by number."""
        return self._partitions

    @property
    def views(self):
        """The runners known, by name."""
        return self._views

    @property
    def pending(self):
        """The number of accepted jobs with no task started, by queue."""
        counts = {}
        for partition in self._all_partitions():
            for job in partition.jobs.values():
                if job.state is JobState.QUEUED:
                    name = job.submission.queue.name
                    counts[name] = counts.get(name, 0) + 1
        return counts

    @property
    def transient(self):
        """The place of the jobs that are not stored."""
        return self._transient

    def _all_partitions(self):
        return (*self._partitions.values(), self._transient)

    def _partition(self, number):
        if number == TRANSIENT:
            return self._transient
        return self._partitions.get(number)

    # Ownership

    def open(self, number, epoch, records, now, now_ms):
        """Begins to own a partition whose newest records have been read."""
        partition = Partition.open(
            number, epoch, records, now, now_ms, now + self._replacement_s
        )
        self._partitions[number] = partition
        self._waiting.update(partition.jobs.values())
        self._note(
            "partition:opened",
            partition=number,
            epoch=epoch,
            open_jobs=len(partition.jobs),
            ended_jobs=len(partition.ended),
            unread=partition.unread,
        )
        return partition

    def close(self, number, reason):
        """Ends the ownership of a partition."""
        partition = self._partitions.pop(number, None)
        if partition is None:
            return
        self._waiting.difference_update(partition.jobs.values())
        for job in partition.jobs.values():
            for reply in job.on_final:
                reply(Reply(Outcome.NOT_OWNER))
        self._note(
            "partition:closed", partition=number, epoch=partition.epoch, reason=reason
        )
        partition.journal.abandon()

    def partition_for(self, job_id):
        """Returns the partition of a job, None where another process owns it."""
        return self._partitions.get(partition_of(job_id, self._partition_count))

    # Callers

    def submit(self, submission, reply, now):
        """Stores a job and then accepts it; a repeat joins what is there."""
        partition = self.partition_for(submission.job_id)
        if partition is None:
            reply(Reply(Outcome.NOT_OWNER))
        elif submission.job_id in partition.jobs or (
            submission.job_id in partition.ended
        ):
            reply(Reply(Outcome.ACCEPTED))
        elif submission.job_id in partition.storing:
            partition.storing[submission.job_id].append(reply)
        else:
            self._accept(partition, submission, reply, now)

    def _accept(self, partition, submission, reply, now):
        replies = partition.storing[submission.job_id] = [reply]
        record = encode(Accepted(submission, partition.epoch))

        def stored():
            del partition.storing[submission.job_id]
            self._admit(partition, submission, now)
            for answer in replies:
                answer(Reply(Outcome.ACCEPTED))

        def abandoned(sent):
            partition.storing.pop(submission.job_id, None)
            outcome = Outcome.IN_DOUBT if sent else Outcome.NOT_STORED
            for answer in replies:
                answer(Reply(outcome, retry_ms=RETRY_AFTER_MS))

        records = [(job_key(submission.job_id), record)]
        partition.journal.add(records, stored, abandoned)
        self._store(partition)

    def _admit(self, partition, submission: Submission, now):
        job = Job.from_submission(submission, partition.number, partition.epoch, now)
        partition.jobs[job.id] = job
        self._waiting.add(job)

    def ask(self, job_id, reply):
        """Tells the state of a job, after a store of its end that is under way."""
        partition = self.partition_for(job_id)
        if partition is None:
            reply(Reply(Outcome.NOT_OWNER))
        elif job_id in partition.ended:
            reply(Reply(Outcome.STATE, partition.ended[job_id].state))
        elif job_id not in partition.jobs:
            reply(Reply(Outcome.UNKNOWN_JOB))
        elif partition.jobs[job_id].ending:
            partition.jobs[job_id].on_final.append(reply)
        else:
            reply(Reply(Outcome.STATE, partition.jobs[job_id].state))

    def cancel(self, job_id, reply, now):
        """Cancels a job; the reply comes once that is stored."""
        partition = self.partition_for(job_id)
        if partition is None:
            reply(Reply(Outcome.NOT_OWNER))
        elif job_id in partition.ended:
            reply(Reply(Outcome.STATE, partition.ended[job_id].state))
        elif job_id not in partition.jobs:
            reply(Reply(Outcome.UNKNOWN_JOB))
        else:
            job = partition.jobs[job_id]
            job.on_final.append(reply)
            if job.live:
                self._end_job(partition, job, JobState.CANCELED, "canceled")

    # Transient jobs

    def reaches_runners(self, now):
        """Whether any runner could be used a short while ago."""
        if any(view.usable(now) for view in self._views.values()):
            self._reached_at = now
        return now - self._reached_at < UNREACHED_S

    def run_transient(self, submission, reply, now, expires_at):
        """Runs a job that is not stored; the reply comes at its end."""
        job_id = submission.job_id
        if job_id in self._canceled:
            reply(Reply(Outcome.STATE, JobState.CANCELED))
            return
        if job_id in self._transient.closing:
            # Runs of an earlier attempt must be over first.
            self._transient.closing[job_id].successor = lambda: self.run_transient(
                submission, reply, now, expires_at
            )
            return
        job = self._transient.jobs.get(job_id)
        if job is None:
            job = Job.from_submission(submission, TRANSIENT, 0, now)
            self._transient.jobs[job_id] = job
            self._waiting.add(job)
        job.expires_at = max(job.expires_at or expires_at, expires_at)
        job.on_final.append(reply)
        self.dispatch(now)

    def leave_transient(self, job_id, reply):
        """Ends a caller's waiting; the job is canceled when nobody waits any more."""
        job = self._transient.jobs.get(job_id)
        if job is None or reply not in job.on_final:
            return
        job.on_final.remove(reply)
        if not job.on_final:
            self.give_up_transient(job_id, "caller-left")

    def cancel_transient(self, job_id):
        """Cancels a transient job for its caller; returns whether there was one.

        A copy of the job that arrives later is not run either.
        """
        self._canceled[job_id] = True
        if len(self._canceled) > CANCELED_KEPT:
            self._canceled.popitem(last=False)
        job = self._transient.jobs.get(job_id)
        if job is None:
            return False
        self._end_transient(job, JobState.CANCELED, "canceled")
        return True

    def give_up_transient(self, job_id, reason):
        """Stops a transient job whose caller has to hand it in again."""
        job = self._transient.jobs.get(job_id)
        if job is not None:
            replies, job.on_final = job.on_final, []
            self._end_transient(job, JobState.CANCELED, reason)
            for reply in replies:
                reply(Reply(Outcome.IN_DOUBT))

    def _end_transient(self, job, state, reason=""):
        del self._transient.jobs[job.id]
        self._waiting.discard(job)
        job.state = state
        self._note("job:ended", job=job.id, state=state, reason=reason)
        placed = job.placed()
        if placed:
            self._transient.closing[job.id] = job
            self._stop_runs(self._transient, placed)
        for reply in job.on_final:
            reply(Reply(Outcome.STATE, state))

    def close_transient(self, job):
        """Forgets a job that has ended once it has no run left."""
        if self._transient.closing.get(job.id) is job and not job.placed():
            del self._transient.closing[job.id]
            if job.successor:
                job.successor()

    def _expire_transient(self, now):
        for job in list(self._transient.jobs.values()):
            if now >= job.expires_at:
                self.give_up_transient(job.id, "deadline")
            elif job.state is JobState.QUEUED:
                if is_hopeless(job, now):
                    self._refuse_transient(job, "too-late", now)
                elif not self.reaches_runners(now):
                    self._refuse_transient(job, "no-runner", now)

    def _refuse_transient(self, job, reason, now):
        """Refuses a job of which nothing has started."""
        del self._transient.jobs[job.id]
        self._waiting.discard(job)
        self._note.count("banyanwheel.refusals", reason)
        self._note(
            "request:refused",
            job=job.id,
            reason=reason,
            waited_ms=round((now - job.received_at) * 1000),
        )
        for reply in job.on_final:
            reply(Reply(Outcome.NOT_STORED, retry_ms=RETRY_AFTER_MS))

    # Ends

    def _end_job(self, partition, job, state, reason=""):
        """Stores a job's final state, and then shows it."""
        if partition is self._transient:
            self._end_transient(job, state, reason)
            return
        job.ending = state
        job.reason = reason
        self._waiting.discard(job)
        now_ms = self._wall_ms()
        records = [
            (job_key(job.id), encode(Ended(state, now_ms, job.done_runs(), reason)))
        ]
        if job.progress_stored:
            records.append((progress_key(job.id), None))

        def stored():
            job.state = state
            del partition.jobs[job.id]
            partition.ended[job.id] = EndedJob(
                state, job.done_runs(), job.submission.queue.name
            )
            partition.expiring.append((now_ms, job.id))
            self._note(
                "job:ended",
                job=job.id,
                state=state,
                reason=reason,
                epoch=partition.epoch,
            )
            self._stop_runs(partition, job.placed())
            self._take_ends(job)
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

    # Placing

    def dispatch(self, now):
        """Places the tasks that may start, most urgent job first."""
        if not self._waiting:
            return
        views = self._usable_views(now)
        if not views:
            return
        headroom = Headroom.of(views)
        misfits = 0
        for job in sorted(self._waiting, key=lambda job: rank(job, now)):
            if not headroom.admits(job, now):
                continue
            if not self._place_job(job, views, headroom, now):
                misfits += 1
                if misfits >= MISFITS_PER_ROUND:
                    return

    def _usable_views(self, now):
        """Returns the runners that may get tasks, sound ones where there are enough."""
        usable = [view for view in self._views.values() if view.usable(now)]
        sound = [view for view in usable if not view.suspected(now)]
        # Where most seem unsound, the fault lies with the jobs.
        return sound if len(sound) >= SOUND_SHARE * len(usable) else usable

    def _place_job(self, job, views, headroom, now):
        """Places what it can of a job; returns False where a task found no room."""
        used = {}
        complete = True
        for task in list(job.startable(now)):
            view = self._placement.choose(job, task, views, used, now)
            if view is None or not headroom.admits(job, now):
                complete = False
                break
            partition = self._partition(job.partition)
            job.place(task, view.name, partition.epoch, now)
            step = job.step_of(task)
            order = Order(
                task.id, task.run, step.resources, step.estimate_ms, task.checkpoint
            )
            headroom.take(step.resources)
            view.outstanding[task.id, task.run] = _Sent(step.resources, None, now)
            used.setdefault(view, []).append(order)
        for view, orders in used.items():
            self._order(job, view, orders, now)
        if complete and not self._has_waiting(job):
            self._waiting.discard(job)
        return complete

    def _has_waiting(self, job):
        return job.live and any(
            task.state is TaskState.WAITING for tasks in job.tasks for task in tasks
        )

    def _order(self, job, view, orders, now):
        partition = self._partition(job.partition)
        expires = view.trust.stamp_at(job.expires_at) if job.expires_at else 0
        urgency = rank(job, now).urgency(now)
        spec = job.submission.spec
        incarnation = view.worker.incarnation
        valid = view.trust.stamp_at(now + ORDER_LIFE_S)

        def message(chosen):
            return StartTasks(
                partition.number,
                partition.epoch,
                incarnation,
                spec,
                urgency,
                valid,
                expires,
                chosen,
            )

        self._note(
            "task:placed",
            job=job.id,
            runner=view.name,
            runs=[f"{order.task}#{order.run}" for order in orders],
            slack_ms=round(urgency * 1000),
            report_age_ms=round((now - view.heard_at) * 1000),
            free_cpu=view.free.cpu,
            slowness=round(view.slowness, 2),
        )
        self._send(view.name, message(tuple(orders)))
        for order in orders:
            sent = view.outstanding[order.task, order.run]
            sent.message = message((order,))

    # Time

    def tick(self, now):
        """Does what is due: resends, gives up silent runners, stores progress."""
        for view in self._views.values():
            self._resend(view, now)
            self._give_up_silent(view, now)
        self._release_unlisted(now)
        for partition in self._partitions.values():
            self._survey(partition, now)
            self._store_progress(partition, now)
            self._expire(partition)
        self._expire_transient(now)
        self.dispatch(now)

    def _resend(self, view, now):
        if not view.outstanding or now - view.heard_at > RESEND_S:
            return
        for sent in view.outstanding.values():
            if now - sent.sent_at > RESEND_S:
                sent.sent_at = now
                valid = view.trust.stamp_at(now + ORDER_LIFE_S)
                sent.message = msgspec.structs.replace(sent.message, valid_stamp=valid)
                self._note.count("banyanwheel.retries", "order-unseen")
                self._send(view.name, sent.message)

    def _release_unlisted(self, now):
        """Frees tasks whose runner says, again and again, that it has no such run."""
        for partition in self._all_partitions():
            for job in partition.all_jobs:
                for task in job.placed():
                    view = self._views.get(task.runner)
                    if view is not None and self._is_unlisted(view, task, now):
                        self._release(job, task, "unlisted")
                self.close_transient(job)

    def _is_unlisted(self, view, task, now):
        key = (task.id, task.run)
        if (
            key in view.outstanding
            or key in view.listed
            or now - view.heard_at > UNLISTED_S
        ):
            task.unlisted_since = None
            return False
        if task.unlisted_since is None:
            task.unlisted_since = now
        return now - task.unlisted_since > UNLISTED_S

    def _give_up_silent(self, view, now):
        if now - view.heard_at < self._transient_replacement_s:
            return
        self._release_runs(self._transient, view, "runner-silent")
        if now - view.heard_at < self._replacement_s:
            return
        for partition in self._partitions.values():
            trusted_at = max(view.trust.received_at, partition.opened_at)
            if now - trusted_at < self._replacement_s:
                continue
            self._release_runs(partition, view, "runner-silent")

    def _release_runs(self, partition, view, reason, keep=frozenset()):
        """Frees the tasks placed at a runner whose runs are certainly over."""
        for job in partition.all_jobs:
            for task in job.placed():
                if task.runner != view.name or (task.id, task.run) in keep:
                    continue
                view.outstanding.pop((task.id, task.run), None)
                self._release(job, task, reason)
            self.close_transient(job)

    def _release(self, job, task, reason):
        self._note(
            "task:released",
            task=str(task.id),
            run=task.run,
            runner=task.runner,
            reason=reason,
        )
        self._note.count("banyanwheel.retries", reason)
        job.release(task)
        if job.live:
            self._waiting.add(job)

    def usable_runners(self, now):
        """Returns how many runners may get tasks."""
        return sum(view.usable(now) for view in self._views.values())

    def free_cpu(self, now):
        """Returns the room of the usable runners, in thousandths of a core."""
        views = [view for view in self._views.values() if view.usable(now)]
        return sum(max(0, view.free.cpu) for view in views)

    def has_runs(self, runner):
        """Whether tasks are placed at a runner."""
        return any(
            task.runner == runner
            for partition in self._all_partitions()
            for job in partition.all_jobs
            for task in job.placed()
        )

    def _survey(self, partition, now):
        if partition.surveyed:
            return
        known = all(
            view.settled and view.epochs.get(partition.number) == partition.epoch
            for view in self._views.values()
        )
        if known or now - partition.opened_at > self._replacement_s:
            partition.survey()
            self._note(
                "partition:surveyed",
                partition=partition.number,
                epoch=partition.epoch,
                by="reports" if known else "time",
            )

    def _store_progress(self, partition, now):
        for job in partition.jobs.values():
            if (
                job.unstored
                and job.live
                and (now - job.unstored_since > PROGRESS_DELAY_S)
            ):
                self._store_job_progress(partition, job)

    def _store_job_progress(self, partition, job):
        ends, job.unstored = job.unstored, {}
        job.in_store.update(ends)
        job.progress_stored = True
        record = encode(Progress(job.done_runs(), job.failed_runs()))
        partition.journal.add(
            [(progress_key(job.id), record)], lambda: self._take_ends(job, ends)
        )
        self._store(partition)

    def _expire(self, partition):
        oldest = self._wall_ms() - self._retention_ms
        records = []
        while partition.expiring and partition.expiring[0][0] < oldest:
            _, job_id = partition.expiring.popleft()
            partition.ended.pop(job_id, None)
            records.append((job_key(job_id), None))
        if records:
            partition.journal.add(records, lambda: None)
            self._store(partition)

    def find(self, number, task_id):
        """Returns partition, job and task, each None where unknown here."""
        partition = self._partition(number)
        if partition is None:
            return None, None, None
        job, task = partition.find(task_id)
        return partition, job, task
