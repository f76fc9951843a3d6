"""The part of an owner that runs transient jobs, which are not stored."""

from dataclasses import dataclass

from ..messages import StopTasks, TaskRun
from ..model import TRANSIENT_PARTITION, JobState, Submission
from ..outcomes import RETRY_AFTER_MS, Outcome, Reply
from ..placing.placement import ON_TIME_TIER, cannot_end_in_time, cannot_finish, rank
from ..placing.retry_times import backlog_time_s, capacity_cpu_s, overload_retry_ms
from ..shares.forecast import hopeless_jobs
from .job import Job

__all__ = ["TransientJobs"]

UNREACHABLE_AFTER_S = 0.5  # jobs are refused after this time without a usable runner
# After a power loss of all machines, a runner gets its worker's first heartbeat within
# this time. Jobs that arrive meanwhile may still count, as late.
STARTUP_S = 2.5
# Why jobs end without having been served or turned down.
WITHDRAWN = frozenset(("caller-left", "canceled", "dispatcher-stopping"))
MAX_CANCELED_IDS = 5_000  # far more than are canceled within their deadlines
MAX_REFUSED_IDS = 2_000  # for operators who ask why; overload refuses some 100 a second


@dataclass(frozen=True, slots=True)
class _Call:
    """A caller's submission; times in seconds of the owner's clock."""

    submission: Submission
    reply: object
    received_at: float
    expires_at: float
    confirmed_at: float | None


class TransientJobs:
    """Keeps callers' jobs in memory only and replies when they end."""

    def has_reachable_runner(self, now):
        """Returns whether a runner was usable recently, or may soon be at startup."""
        if any(view.usable(now) for view in self._views.values()):
            self._reachable_at = now
        elif self._reachable_at is None:
            self._reachable_at = now + STARTUP_S
        return now - self._reachable_at < UNREACHABLE_AFTER_S

    def has_transient(self, job_id):
        """Returns whether a job is open here, or runs of it are being stopped."""
        return job_id in self._transient.jobs or job_id in self._transient.closing

    def run_transient(self, submission, reply, now, expires_at, confirmed_at=None):
        """Runs a job without storing it; replies when it has ended.

        A repeated submission joins the running job and can only extend its deadline,
        ``expires_at``, in the owner's seconds. A job that another dispatcher forwarded
        may only run for a bounded time after ``confirmed_at``, when that dispatcher
        last confirmed it; :meth:`confirm_transient` extends that.
        """
        self._add_transient(_Call(submission, reply, now, expires_at, confirmed_at))
        if self._any_evacuated and submission.job_id in self._transient.jobs:
            self._return_evacuated((self._transient.jobs[submission.job_id],), now)
        self.dispatch(now)

    def _add_transient(self, call):
        job_id = call.submission.job_id
        if job_id in self._canceled:
            call.reply(Reply(Outcome.STATE, JobState.CANCELED))
            return
        if job_id in self._transient.closing:
            # The runs of an earlier submission of this job must end first.
            self._transient.closing[job_id].resubmissions.append(call)
            return
        job = self._transient.jobs.get(job_id)
        if job is None:
            job = Job.from_submission(
                call.submission, TRANSIENT_PARTITION, 0, call.received_at
            )
            job.confirmed_at = call.confirmed_at
            self._transient.jobs[job_id] = job
            self._waiting.add(job)
            returns = self._return_places.take(job_id, call.received_at)
            self.shares.arrive(job, returns=returns)
            if returns:
                self._event_log.count("banyanwheel.shares", "returned-as-told")
        elif call.confirmed_at is None:
            self.confirm_transient(job_id, float("inf"))
        else:
            self.confirm_transient(job_id, call.confirmed_at)
        job.expires_at = max(job.expires_at or call.expires_at, call.expires_at)
        job.on_final.append(call.reply)

    def confirm_transient(self, job_id, confirmed_at):
        """Records that the dispatcher of a forwarded job's caller still wants it."""
        job = self._transient.jobs.get(job_id)
        if job is not None and job.confirmed_at is not None:
            job.confirmed_at = max(job.confirmed_at, confirmed_at)

    def confirmed_stamps(self):
        """Returns (job, stamp) pairs of the forwarded jobs, by runner with their runs.

        The stamp is the newest one that the runner sent before the confirmation.
        """
        stamps = {}
        for job in self._transient.jobs.values():
            if job.confirmed_at is None:
                continue
            for runner in {task.runner for task in job.placed()}:
                view = self._views.get(runner)
                if view is not None:
                    stamp = view.trust.newest_before(job.confirmed_at)
                    stamps.setdefault(runner, []).append((job.id, stamp))
        return stamps

    def pending_stops(self):
        """Returns (runner, StopTasks) pairs for the runs of jobs that are over.

        They are repeated with each heartbeat, since a heartbeat extends the authority
        for all runs of this dispatcher, and an earlier stop may have been lost.
        """
        by_runner = {}
        for job in self._transient.closing.values():
            for task in job.placed():
                by_runner.setdefault(task.runner, []).append(TaskRun(task.id, task.run))
        return [
            (runner, StopTasks(TRANSIENT_PARTITION, 0, tuple(runs)))
            for runner, runs in by_runner.items()
        ]

    def remove_transient_caller(self, job_id, reply):
        """Drops a caller that has left; without any caller the job is aborted."""
        closing = self._transient.closing.get(job_id)
        if closing is not None:
            closing.resubmissions = [
                call for call in closing.resubmissions if call.reply is not reply
            ]
        job = self._transient.jobs.get(job_id)
        if job is None or reply not in job.on_final:
            return
        job.on_final.remove(reply)
        if not job.on_final:
            self.abort_transient(job_id, "caller-left")

    def cancel_transient(self, job_id):
        """Cancels a transient job for its caller; returns whether it was known.

        A submission of the same job that arrives later is not run either.
        """
        self._canceled[job_id] = True
        if len(self._canceled) > MAX_CANCELED_IDS:
            self._canceled.popitem(last=False)
        job = self._transient.jobs.get(job_id)
        if job is None:
            return False
        self._end_transient(job, "cancel", "canceled")
        return True

    def was_canceled(self, job_id):
        """Returns whether a caller canceled the transient job of this id."""
        return job_id in self._canceled

    def abort_transient(self, job_id, reason):
        """Stops a transient job; its callers get IN_DOUBT and must submit it again."""
        job = self._transient.jobs.get(job_id)
        if job is not None:
            replies, job.on_final = job.on_final, []
            self._end_transient(job, "cancel", reason)
            for reply in replies:
                reply(Reply(Outcome.IN_DOUBT))

    def _end_transient(self, job, event, reason=""):
        del self._transient.jobs[job.id]
        self._waiting.discard(job)
        job.apply_event(event)
        if reason in WITHDRAWN:
            self.shares.forget(job)
        else:
            self.shares.settle(job, served=job.state is JobState.COMPLETED)
        job.reason = reason
        self._event_log("job:ended", job=job.id, state=job.state, reason=reason)
        placed = job.placed()
        if placed:
            self._transient.closing[job.id] = job
            self._stop_runs(self._transient, placed)
        for reply in job.on_final:
            reply(Reply(Outcome.STATE, job.state))

    def close_transient(self, job, now):
        """Drops an ended job without runs, and lets waiting submissions of it run."""
        if self._transient.closing.get(job.id) is job and not job.placed():
            del self._transient.closing[job.id]
            for call in job.resubmissions:
                self._add_transient(call)
            if job.resubmissions:
                self.dispatch(now)

    def _expire_transient(self, now):
        self._check_evacuated(now)
        contended = self._has_contention(now)
        too_late = self._hopeless(now)
        for job in list(self._transient.jobs.values()):
            if now >= job.expires_at:
                too_late.pop(job, None)
                self.abort_transient(job.id, "deadline")
            elif not job.may_have_begun:
                if job not in too_late and not self.has_reachable_runner(now):
                    self._refuse_transient(job, "no-runner", now)
            elif cannot_finish(job, now, contended):
                self._event_log.count("banyanwheel.refusals", "begun-too-late")
                self.abort_transient(job.id, "begun-too-late")
        for job, retry_ms in self._retry_times(too_late, now).items():
            self._refuse_transient(job, "too-late", now, retry_ms)

    def _retry_times(self, too_late, now):
        """Returns after how many ms the callers of refused jobs return, by job."""
        if not too_late:
            return {}
        waiting = [job for job in self._waiting.active if job not in too_late]
        backlog_s = backlog_time_s(waiting, self._views.values(), now)
        return {job: overload_retry_ms(job.id, backlog_s) for job in too_late}

    def _hopeless(self, now):
        """Returns the jobs that can't end in time, given the work ahead of them."""
        hopeless = dict.fromkeys(
            job
            for job in self._transient.jobs.values()
            if not job.may_have_begun and cannot_end_in_time(job, now)
        )
        by_service = {}
        for job in self._waiting.active:
            if job.partition == TRANSIENT_PARTITION and job not in hopeless:
                by_service.setdefault(job.submission.queue.service, []).append(job)
        for service, jobs in by_service.items():
            capacity = self._capacity_cpu_s(now, service)
            jobs.sort(key=lambda job: self.shares.precedence(job, now))
            hopeless.update(dict.fromkeys(hopeless_jobs(jobs, capacity, now)))
        return hopeless

    def _capacity_cpu_s(self, now, service):
        return capacity_cpu_s(self._views.values(), now, service)

    def _has_contention(self, now):
        """Returns whether jobs that can still be on time wait for room."""
        return any(rank(job, now).tier == ON_TIME_TIER for job in self._waiting.active)

    def _refuse_transient(self, job, reason, now, retry_ms=RETRY_AFTER_MS):
        """Refuses a job none of whose tasks can have started."""
        del self._transient.jobs[job.id]
        self._waiting.discard(job)
        self._event_log.count("banyanwheel.refusals", reason)
        self._event_log(
            "request:refused",
            job=job.id,
            reason=reason,
            waited_ms=round((now - job.received_at) * 1000),
            retry_ms=retry_ms,
        )
        self.shares.settle(job, served=False)
        self._return_places.keep(job.id, now + retry_ms / 1000, now)
        self._refused[job.id] = reason
        if len(self._refused) > MAX_REFUSED_IDS:
            self._refused.popitem(last=False)
        for reply in job.on_final:
            reply(Reply(Outcome.NOT_STORED, retry_ms=retry_ms, reason=reason))
