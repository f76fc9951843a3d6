"""The part of an owner that acts on timeouts of assignments, runners and records."""

import msgspec

from ..messages import StopTasks, TaskRun
from ..records import Progress, encode, job_key, progress_key
from .dispatching import ASSIGNMENT_VALID_S

__all__ = ["Supervision"]

# Ends of runs wait this long, of the 4 s allowed, for the end of their job: its record
# covers them too.
PROGRESS_DELAY_S = 1.5
UNLISTED_S = 0.5  # a run missing from its runner's reports for this long does not exist
RESEND_S = 0.3  # an assignment that no report shows is sent again after this time


class Supervision:
    """Acts on what is overdue.

    Resends assignments, releases tasks of unresponsive runners, stores progress and
    drops jobs past their retention.
    """

    def _resend(self, view, now):
        """Resends unreported assignments with a new expiry to a responsive runner."""
        if not view.outstanding or now - view.heard_at > RESEND_S:
            return
        for key, sent in list(view.outstanding.items()):
            if now - sent.sent_at <= RESEND_S:
                continue
            if view.evacuated or not self._is_wanted(view, sent.message.partition, key):
                self._withdraw(view, key, sent, now)
                continue
            sent.sent_at = now
            valid = view.trust.stamp_at(now + ASSIGNMENT_VALID_S)
            sent.message = msgspec.structs.replace(sent.message, valid_until_ms=valid)
            self._event_log.count("banyanwheel.retries", "order-unseen")
            self._send(view.name, sent.message)

    def _is_wanted(self, view, partition_number, key):
        """Returns whether a run that no report has shown still has to take place."""
        task_id, run = key
        _, job, task = self.find(partition_number, task_id)
        return (
            task is not None
            and job.live
            and not task.stopping
            and (task.runner, task.run) == (view.name, run)
        )

    def _withdraw(self, view, key, sent, now):
        """Stops a run that no report has shown; its stop may have been lost as well."""
        if self._partition(sent.message.partition) is not None:
            stop = StopTasks(
                sent.message.partition, sent.message.epoch, (TaskRun(*key),)
            )
            self._send(view.name, stop)
        if now - sent.sent_at > ASSIGNMENT_VALID_S:
            view.drop_assignment(key)

    def _release_unlisted(self, now):
        """Releases tasks whose runs their runner has not listed for ``UNLISTED_S``."""
        for partition in self.all_partitions:
            for job in partition.all_jobs:
                for task in job.placed():
                    view = self._views.get(task.runner)
                    if view is not None and self._is_unlisted(
                        partition, view, task, now
                    ):
                        self._release(job, task, "unlisted")
                self.close_transient(job, now)

    def _is_unlisted(self, partition, view, task, now):
        key = (task.id, task.run)
        if (
            not view.reconciled
            or not self._reports_on(view, partition)
            or key in view.outstanding
            or key in view.listed
            or now - view.heard_at > UNLISTED_S
        ):
            task.unlisted_since = None
            return False
        if task.unlisted_since is None:
            task.unlisted_since = now
        return now - task.unlisted_since > UNLISTED_S

    def _reports_on(self, view, partition):
        """Returns whether the runner's last report lists the runs of a partition.

        That of a runner that follows another owner, or none yet, doesn't.
        """
        return (
            partition is self._transient
            or view.epochs.get(partition.number) == partition.epoch
        )

    def _release_unresponsive(self, view, now):
        """Releases the tasks of an unresponsive runner once their runs are over.

        A partition opened more recently than the delay is left out.
        """
        if now - view.incarnation_heard_at < self._transient_replacement_s:
            return
        self._release_runs(self._transient, view, "runner-silent", now)
        if now - view.incarnation_heard_at < self._replacement_s:
            return
        for partition in self._partitions.values():
            if now - partition.opened_at > self._replacement_s:
                self._release_runs(partition, view, "runner-silent", now)

    def _release_runs(self, partition, view, reason, now, listed=None):
        """Releases the tasks placed at a runner, except the runs that are ``listed``.

        The caller has made sure that the released runs are over. How they ended is
        unknown if ``listed`` is None.
        """
        for job in partition.all_jobs:
            released = [
                task
                for task in job.placed()
                if task.runner == view.name
                and (listed is None or (task.id, task.run) not in listed)
            ]
            for task in released:
                view.drop_assignment((task.id, task.run))
                self._release(job, task, reason)
            if listed is None:
                self._store_replacements(partition, job, released)
            self.close_transient(job, now)

    def _store_replacements(self, partition, job, tasks):
        """Has tasks placed again once the log has the numbers of their next runs.

        The ends of earlier runs may be reported later, perhaps to another owner, which
        then knows that they must not be acknowledged before a lapse.
        """
        if partition is self._transient or not tasks or not job.live:
            return
        for task in tasks:
            job.reserve_replacement(task, partition.epoch)
        self._event_log(
            "task:replacement-storing",
            job=job.id,
            runs=[f"{task.id}#{job.replacements[task.id]}" for task in tasks],
        )

        def stored():
            for task in tasks:
                task.end_unknown = False
            if job.live:
                self._waiting.add(job)

        self._store_job_progress(partition, job, stored)

    def _release(self, job, task, reason):
        self._event_log(
            "task:released",
            task=str(task.id),
            run=task.run,
            runner=task.runner,
            reason=reason,
        )
        self._event_log.count("banyanwheel.retries", reason)
        job.release(task)
        if job.live:
            self._waiting.add(job)

    def _survey(self, partition, now):
        """Marks a partition as surveyed once no unknown run of its tasks can exist.

        That is so when every runner has reported under the partition's epoch, or when
        the replacement delay has passed.
        """
        if partition.surveyed:
            return
        all_reported = all(
            view.reconciled and view.epochs.get(partition.number) == partition.epoch
            for view in self._views.values()
        )
        if all_reported:
            partition.mark_surveyed()
        elif now - partition.opened_at > self._replacement_s:
            for job, tasks in partition.end_survey():
                self._store_replacements(partition, job, tasks)
        if partition.surveyed:
            self._event_log(
                "partition:surveyed",
                partition=partition.number,
                epoch=partition.epoch,
                by="reports" if all_reported else "time",
            )

    def _store_progress(self, partition, now):
        for job in partition.jobs.values():
            if (
                job.unstored_ends
                and job.live
                and (now - job.unstored_since > PROGRESS_DELAY_S)
            ):
                self._store_job_progress(partition, job)

    def _store_job_progress(self, partition, job, on_stored=None):
        ends, job.unstored_ends = job.unstored_ends, {}
        job.storing_ends.update(ends)
        job.progress_stored = True
        record = encode(
            Progress(job.done_runs(), job.failed_runs(), job.replacement_runs())
        )

        def stored():
            self._acknowledge_ends(job, ends)
            if on_stored is not None:
                on_stored()

        partition.journal.add([(progress_key(job.id), record)], stored)
        self._store(partition)

    def _expire_ended_jobs(self, partition):
        oldest_kept_ms = self._wall_ms() - self._retention_ms
        expired = partition.pop_expired(oldest_kept_ms)
        records = [(job_key(job_id), None) for job_id in expired]
        if records:
            partition.journal.add(records, lambda: None)
            self._store(partition)
