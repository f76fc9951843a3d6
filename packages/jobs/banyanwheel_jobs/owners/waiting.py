"""The jobs of an owner that may have tasks to place."""

__all__ = ["WaitingJobs"]


class WaitingJobs:
    """A set of jobs. Those that no usable worker may run are parked.

    A placement round passes over parked jobs, however many there are, until the
    workers change.
    """

    def __init__(self):
        self._active = set()
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
    def samples(self):
        """The active jobs, and one of the parked jobs for each kind of needs."""
        return [*self._active, *(next(iter(jobs)) for jobs in self._parked.values())]

    def add(self, job):
        """Adds a job, or has a parked one tried again."""
        self._unpark(job)
        self._active.add(job)
        self._added.append(job)

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
