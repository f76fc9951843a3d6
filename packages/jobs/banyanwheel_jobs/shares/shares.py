"""The order of the jobs that wait for room, by worth and by floors."""

import copy
from dataclasses import dataclass
from typing import NamedTuple

from ..model import TRANSIENT_PARTITION
from .account import ServiceAccount
from .widths import WidthClass
from .worth import Worth, work_core_ms

__all__ = ["Precedence", "Shares"]

FIRST_TIER = 0  # classes below their floor, and callers that return as told
NORMAL_TIER = 1
TOO_LATE_TIER = 2


class Precedence(NamedTuple):
    """The place of a job among those that wait while room is short; lowest first."""

    tier: int
    cost: float  # negative worth per core-ms, or the time of receipt
    priority: int  # of its queue; decides between equals


@dataclass(slots=True)
class _Entry:
    worth: Worth
    width_class: WidthClass
    core_ms: float
    returns: bool


class Shares:
    """The accounts of all services, and the worth of each open job."""

    def __init__(self):
        self.services = {}
        self._entries = {}  # by job

    def copy(self):
        """Returns the same accounts and jobs, for dry runs."""
        other = copy.copy(self)
        other.services = copy.deepcopy(self.services)
        other._entries = dict(self._entries)
        return other

    def arrive(self, job, *, returns=False):
        """Records a new job. One that ``returns`` comes when a refusal told it to."""
        submission = job.submission
        account = self._account(job).queue(submission.queue.name)
        core_ms = work_core_ms(submission)
        width = sum(step.count for step in submission.steps)
        width_class = account.arrive(width, core_ms)
        worth = Worth.from_submission(submission, core_ms, account.mean_core_ms)
        self._entries[job] = _Entry(worth, width_class, core_ms, returns)

    def settle(self, job, *, served):
        """Records that a job was served, or was refused or given up."""
        entry = self._entries.pop(job, None)
        if entry is not None:
            queue = self._account(job).queue(job.submission.queue.name)
            queue.settle(entry.width_class, entry.core_ms, served)

    def forget(self, job):
        """Drops a job that its caller withdrew, or that another process owns now."""
        self._entries.pop(job, None)

    def refresh(self, now, capacity_of):
        """Lets old demand fade; returns the services that became short, or enough.

        ``capacity_of(service)`` is in core-ms a second.
        """
        changed = []
        for service, account in self.services.items():
            was_short = account.short
            account.refresh(now, capacity_of(service))
            if account.short is not was_short:
                changed.append(service)
        return changed

    def queue_account(self, service, queue):
        """Returns the QueueAccount of a queue, or None if no job of it has come."""
        account = self.services.get(service)
        return account.queues.get(queue) if account else None

    def classes_below_floor(self, service, queue):
        """Returns the names of the width classes of a queue that go first now."""
        account = self.services.get(service)
        below = account.below_floor if account else ()
        return sorted(each.name.lower() for name, each in below if name == queue)

    def precedence(self, job, now):
        """Returns the Precedence of a job."""
        entry = self._entries.get(job)
        if entry is None or now > job.late_until:
            return Precedence(
                TOO_LATE_TIER, job.received_at, job.submission.queue.priority
            )
        waited_s = now - job.received_at
        density = entry.worth.density(waited_s, job.waiting_work_cpu_s)
        first = entry.returns or (
            entry.worth.probably_on_time(waited_s) and self._is_below_floor(job, entry)
        )
        tier = FIRST_TIER if first else NORMAL_TIER
        return Precedence(tier, -density, job.submission.queue.priority)

    def must_leave_room(self, job, now):
        """Returns whether a job leaves the room to others while it is short.

        That is so for a transient job that has not begun and is unlikely to be on time:
        the jobs that arrive while it runs are worth more.
        """
        entry = self._entries.get(job)
        return (
            entry is not None
            and not entry.returns
            and job.partition == TRANSIENT_PARTITION
            and self._account(job).short
            and not job.may_have_begun
            and not entry.worth.probably_on_time(now - job.received_at)
        )

    def _is_below_floor(self, job, entry):
        below = self._account(job).below_floor
        return (job.submission.queue.name, entry.width_class) in below

    def _account(self, job):
        service = job.submission.queue.service
        account = self.services.get(service)
        if account is None:
            account = self.services[service] = ServiceAccount()
        return account
