"""The part of an owner that tells whether more runners have to be contacted."""

from ..cells.placers import offers_of, suits

__all__ = ["RunnerNeeds"]

UNPLACEABLE_AFTER_S = 0.3  # a job waits this long before more runners are contacted
ROOM_WAIT_S = 1.0  # a stored job waits this long for room in its owner's cells


class RunnerNeeds:
    """Tells for which waiting jobs the known runners may not be enough."""

    def needs_all_runners(self, now):
        """Returns whether the known runners may not be enough.

        That is so while runs of a former owner are searched for, and while a job waits
        that no usable runner of the own cells may run.
        """
        if any(each.recovering for each in self._partitions.values()):
            return True
        if not self.evacuations.known:
            return False
        waiting = [
            job
            for job in self._waiting.samples
            if now - job.received_at > UNPLACEABLE_AFTER_S
        ]
        if not waiting:
            return False
        views = [view for view in self._views.values() if not view.borrowed]
        offers = offers_of(views, now)
        return any(not suits(offers, job.submission) for job in waiting)

    def waiting_for_room(self, now):
        """Returns the submissions of stored jobs that have waited for ``ROOM_WAIT_S``.

        Of those with the same service and labels, one is returned.
        """
        waiting = {}
        for job in self._waiting.active:
            submission = job.submission
            if submission.transient or now - job.received_at <= ROOM_WAIT_S:
                continue
            kind = (submission.queue.service, submission.labels)
            if kind not in waiting and any(job.startable(now)):
                waiting[kind] = submission
        return list(waiting.values())
