"""The jobs of an owner that may have tasks to place."""

__all__ = ["WaitingJobs"]


class WaitingJobs:
    """A set of jobs. Those that no usable worker may run are parked.

    A placement round passes over parked jobs, however many there are, until the
    workers change.
    """

    def __init__(self):
        self._active = set()
        self._work = {}  # in thousandths of a core x ms, by active job
        self._work_by_service = {}
        self._added = []  # since they were last taken
        self._parked = {}  # sets of jobs by their needs
        self._needs = {}  # by parked job
        self._supply = frozenset()  # of workers, when the parked jobs were last checked

    def __bool__(self):
        return bool(self._active or self._needs)

    @property
    def active(self):
        """The jobs that are not parked."""
        return self._active

    @property
    def work_by_service(self):
        """The estimated work of the active jobs' waiting tasks, by service.

        It is in thousandths of a core x ms, and kept as jobs come and go: summing it up
        would take longer the more jobs wait.
        """
        return self._work_by_service

    @property
    def samples(self):
        """The active jobs, and one of the parked jobs for each kind of needs."""
        return [*self._active, *(next(iter(jobs)) for jobs in self._parked.values())]

    def add(self, job):
        """Adds a job, or has a parked one tried again."""
        self._unpark(job)
        self._active.add(job)
        self.recount(job)
        self._added.append(job)

    def recount(self, job):
        """Counts the waiting work of an active job anew, after tasks were placed."""
        if job in self._active:
            self._set_work(job, round(1000 * job.waiting_work_cpu_s))

    def _set_work(self, job, work):
        service = job.submission.queue.service
        change = work - self._work.pop(job, 0)
        if work:
            self._work[job] = work
        total = self._work_by_service.get(service, 0) + change
        if total:
            self._work_by_service[service] = total
        else:
            self._work_by_service.pop(service, None)

    def reorder(self, job):
        """Has the place of a job found anew, if it still waits."""
        if job in self._active:
            self._added.append(job)

    def take_added(self):
        """Returns the jobs that were added since the last call."""
        added, self._added = self._added, []
        return added

    def update(self, jobs):
        """Adds several jobs."""
        for job in jobs:
            self.add(job)

    def discard(self, job):
        """Removes a job if it is there."""
        self._unpark(job)
        self._active.discard(job)
        self._set_work(job, 0)

    def difference_update(self, jobs):
        """Removes several jobs."""
        for job in jobs:
            self.discard(job)

    def try_again(self, job):
        """Has a parked job tried again, since its needs may have changed."""
        if job in self._needs:
            self.add(job)

    def park(self, job, needs, supply):
        """Parks a job until ``supply`` changes so that a worker may run it.

        ``needs`` is a frozen set of (service, label, resources).
        """
        self._active.discard(job)
        self._set_work(job, 0)
        self._parked.setdefault(needs, set()).add(job)
        self._needs[job] = needs
        self._supply = supply

    def _unpark(self, job):
        needs = self._needs.pop(job, None)
        if needs is not None:
            self._parked[needs].discard(job)
            if not self._parked[needs]:
                del self._parked[needs]

    def unpark_possible(self, room):
        """Has the parked jobs tried again that a worker of a Room may run."""
        if not self._parked or room.supply == self._supply:
            return
        self._supply = room.supply
        for needs in list(self._parked):
            if any(
                room.pool(service, label).may_run(resources)
                for service, label, resources in needs
            ):
                self.update(list(self._parked[needs]))
