"""Serves requests for jobs of the partitions that a dispatcher owns."""

from banyanwheel_jobs.messages import ForwardedReply
from banyanwheel_jobs.model import Submission
from banyanwheel_jobs.outcomes import RETRY_AFTER_MS, Outcome, Reply

__all__ = ["MAX_UNCONFIRMED", "PartitionRequests"]

# Requests of other dispatchers that wait for the log to confirm; they come again.
MAX_UNCONFIRMED = 4_096


class PartitionRequests:
    """Requests of callers here, and those that other dispatchers forward.

    ``now()`` returns monotonic seconds. ``ownership``, ``admits`` and ``send_reply``
    are those of the RequestGateway.
    """

    def __init__(self, owner, now, ownership, admits, send_reply):
        self._owner = owner
        self._now = now
        self._ownership = ownership
        self._admits = admits
        self._send_reply = send_reply
        self._unconfirmed = set()  # (entry, number) of other dispatchers' requests

    def serve(self, ask, reply, on_wait):
        """Serves a request; ``on_wait(cancel)`` is called if it waits for the log.

        ``cancel()`` ends the wait without a reply.
        """
        match ask.verb:
            case "submit":
                self._submit(ask, reply)
            case "state" | "cancel":
                confirmed = self._reply_when_confirmed(ask, reply, on_wait)
                self._serve_known(ask, confirmed, on_wait)

    def handle_ask(self, entry, ask):
        """Serves a request that another dispatcher forwarded.

        ``entry`` is its (address, incarnation). The reply is for that incarnation only:
        the next one uses the same numbers for requests of its own.
        """
        if ask.verb == "cancel-transient":
            self._owner.cancel_transient(ask.job_id)
            return
        key = entry, ask.number
        if key in self._unconfirmed:
            return

        def reply(answer):
            self._unconfirmed.discard(key)
            self._send_reply(
                entry,
                ForwardedReply(
                    ask.number, answer.outcome, answer.state, answer.retry_ms
                ),
            )

        def wait(cancel):
            if len(self._unconfirmed) < MAX_UNCONFIRMED:
                self._unconfirmed.add(key)
            else:
                cancel()

        self.serve(ask, reply, wait)

    def _serve_known(self, ask, reply, on_wait):
        if ask.verb == "state":
            leave = self._owner.ask(ask.job_id, reply)
        else:
            leave = self._owner.cancel(ask.job_id, reply, self._now())
        if leave is not None:
            on_wait(leave)

    def _submit(self, ask, reply):
        partition = self._owner.partition_for(ask.job_id)
        new = partition is not None and not (
            partition.knows(ask.job_id) or ask.job_id in partition.pending_submissions
        )
        if new and (self._ownership.stalled(partition) or not self._admits(ask)):
            reply(Reply(Outcome.NOT_STORED, retry_ms=RETRY_AFTER_MS))
            return
        submission = Submission(
            ask.job_id, ask.queue, ask.spec, ask.steps, ask.received_ms
        )
        self._owner.submit(submission, reply, self._now())

    def _reply_when_confirmed(self, ask, reply, on_wait):
        """Wraps ``reply`` to have the log confirm what this owner can't know alone.

        That is that a job is unknown when its state is asked for, and a cancel that the
        log didn't store. Once a renewal sent from then on has confirmed the ownership,
        the request is served again. That answer is passed on for a state; a cancel
        waits again while it is not stored.
        """

        def checked_reply(answer):
            if answer.outcome is Outcome.UNKNOWN_JOB and ask.verb == "state":
                final = reply
            elif answer.outcome is Outcome.NOT_STORED:
                final = checked_reply
            else:
                reply(answer)
                return
            on_wait(
                self._ownership.call_when_confirmed(
                    lambda: self._serve_known(ask, final, on_wait)
                )
            )

        return checked_reply
