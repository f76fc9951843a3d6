"""The part of an owner that serves requests for the jobs that are stored."""

from functools import partial

from ..model import JobState, Submission
from ..outcomes import RETRY_AFTER_MS, Outcome, Reply
from ..records import Accepted, Ended, Withdrawn, encode, job_key
from .job import Job
from .partition import PendingSubmission

__all__ = ["MAX_WITHDRAWN_IDS", "StoredJobs"]

MAX_WITHDRAWN_IDS = 500  # in a partition; canceled ids of which no job is stored


class StoredJobs:
    """Stores submissions and cancels before it answers them."""

    def submit(self, submission, reply, now):
        """Stores a job and then accepts it.

        A repeated submission is not stored again: it gets the reply of the first one.
        """
        partition = self.partition_for(submission.job_id)
        if partition is None:
            reply(Reply(Outcome.NOT_OWNER))
        elif partition.conflicts(submission):
            reply(Reply(Outcome.CONFLICT))
        elif partition.knows(submission.job_id):
            reply(Reply(Outcome.ACCEPTED))
        elif submission.job_id in partition.pending_submissions:
            partition.pending_submissions[submission.job_id].replies.append(reply)
        else:
            self._store_submission(partition, submission, reply, now)

    def _store_submission(self, partition, submission, reply, now):
        job_id = submission.job_id
        pending = PendingSubmission(submission, [reply])
        partition.pending_submissions[job_id] = pending
        record = Accepted(submission, partition.epoch)
        if job_id in partition.withdrawn:
            record = Ended(
                JobState.CANCELED,
                self._wall_ms(),
                reason="canceled before it was stored",
                fingerprint=submission.fingerprint,
            )

        def stored():
            del partition.pending_submissions[job_id]
            if isinstance(record, Ended):
                partition.add_ended(job_id, record)
                self._event_log(
                    "job:ended",
                    job=job_id,
                    state=record.state,
                    reason=record.reason,
                    epoch=partition.epoch,
                )
            else:
                self._add_job(partition, submission, now)
            for answer in pending.replies:
                answer(Reply(Outcome.ACCEPTED))
            pending.serve_requests()

        def abandoned(sent):
            partition.pending_submissions.pop(job_id, None)
            outcome = Outcome.IN_DOUBT if sent else self._unsent_outcome(partition)
            for answer in pending.replies:
                answer(Reply(outcome, retry_ms=RETRY_AFTER_MS))
            pending.serve_requests()

        partition.journal.add([(job_key(job_id), encode(record))], stored, abandoned)
        self._store(partition)

    def _unsent_outcome(self, partition):
        """Returns the outcome of a request that this owner has not sent to the log.

        If the partition has moved, another owner may store the job, or have it already.
        """
        if self._partitions.get(partition.number) is partition:
            return Outcome.NOT_STORED
        return Outcome.NOT_OWNER

    def _add_job(self, partition, submission: Submission, now):
        job = Job.from_submission(submission, partition.number, partition.epoch, now)
        partition.jobs[job.id] = job
        self._waiting.add(job)
        self.shares.arrive(job)

    def ask(self, job_id, reply):
        """Replies with a job's state; waits if the job's end is just being stored.

        While the job itself is being stored, the request waits for that, and a
        function is returned that ends the wait without a reply.
        """
        partition = self.partition_for(job_id)
        if partition is None:
            reply(Reply(Outcome.NOT_OWNER))
        elif job_id in partition.ended:
            reply(Reply(Outcome.STATE, partition.ended[job_id].state))
        elif job_id in partition.pending_submissions:
            pending = partition.pending_submissions[job_id]
            return pending.wait(partial(self.ask, job_id, reply))
        elif job_id not in partition.jobs:
            reply(Reply(Outcome.UNKNOWN_JOB))
        elif partition.jobs[job_id].ending:
            partition.jobs[job_id].on_final.append(reply)
        else:
            reply(Reply(Outcome.STATE, partition.jobs[job_id].state))
        return None

    def cancel(self, job_id, reply, now):
        """Cancels a job; replies once the cancellation is stored.

        An id of which there is no job gets UNKNOWN_JOB once the log has it as canceled,
        so that no submission that is still on its way is run; NOT_STORED if the log
        doesn't answer. Waits for a submission as :meth:`ask` does.
        """
        partition = self.partition_for(job_id)
        if partition is None:
            reply(Reply(Outcome.NOT_OWNER))
        elif job_id in partition.ended:
            reply(Reply(Outcome.STATE, partition.ended[job_id].state))
        elif job_id in partition.pending_submissions:
            self._event_log("job:cancel-waits", job=job_id, waits_for="submission")
            pending = partition.pending_submissions[job_id]
            return pending.wait(partial(self.cancel, job_id, reply, now))
        elif job_id not in partition.jobs:
            self._store_withdrawal(partition, job_id, reply)
        else:
            job = partition.jobs[job_id]
            job.on_final.append(reply)
            if job.live:
                self._end_job(partition, job, "cancel", "canceled")
        return None

    def _store_withdrawal(self, partition, job_id, reply):
        """Stores that an id was canceled; a submission that arrives later is not run.

        Submissions that come while this is being stored are appended after it.
        """
        new = job_id not in partition.withdrawn
        if new and len(partition.withdrawn) >= MAX_WITHDRAWN_IDS:
            self._event_log.count("banyanwheel.refusals", "withdrawn-limit")
            reply(Reply(Outcome.IN_DOUBT))
            return
        now_ms = self._wall_ms()
        partition.withdraw(job_id, now_ms)

        def abandoned(sent):
            if new:
                partition.withdrawn.pop(job_id, None)
            reply(Reply(Outcome.IN_DOUBT if sent else self._unsent_outcome(partition)))

        partition.journal.add(
            [(job_key(job_id), encode(Withdrawn(now_ms)))],
            lambda: reply(Reply(Outcome.UNKNOWN_JOB)),
            abandoned,
        )
        self._store(partition)
